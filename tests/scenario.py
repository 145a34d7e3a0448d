#!/usr/bin/env python3
"""Runs a scenario script (docs/TESTING.md) and compares its output.

Usage: scenario.py [--print] [--keep] [--switch=NAME[,NAME]] FILE.fgs
  --print   print the output without comparing it
  --keep    keep the directory of histories and logs, and print its path
  --switch  disable mechanisms in every entry (docs/TESTING.md)
Environment: BUILD (build), FG_PORT_BASE (a block that no other run holds).
Exits with 0 when the output equals FILE.out.
"""

import difflib
import fnmatch
import json
import os
import re
import shlex
import signal
import subprocess
import sys
import time

from demo_verdict import AnswerChecker
import fghttp
from fgcaller import Change, History, Request
from fgsystem import System, port_base

WAIT_DEFAULT_MS = 15000
CHANGE_WAIT_MS = 10000
POLL_INTERVAL_S = 0.02
SCENARIO_MAX_S = 180
FLAGS = ("stream", "retry", "async")


def read_lines(path):
    with open(path, encoding="utf-8") as script:
        return script.read().splitlines()


class ScenarioError(Exception):
    """A statement failed; the scenario ends."""


def split_options(words):
    """Returns a dictionary of the k=v words and flags."""
    options = {}
    for word in words:
        name, eq, value = word.partition("=")
        if not eq and name not in FLAGS:
            raise ScenarioError(f"unknown option {word}")
        options[name] = value
    return options


def pop_timeout_s(words):
    """Removes "within MS" from the end; returns the timeout in seconds."""
    if len(words) >= 2 and words[-2] == "within":
        ms = int(words[-1])
        del words[-2:]
        return ms / 1000
    return WAIT_DEFAULT_MS / 1000


def look_up(obj, path):
    """Returns the value at a dotted path, or None. List items are selected by
    name or index; "length" is the number of items."""
    for part in path.split("."):
        if part == "length" and isinstance(obj, (list, dict)):
            obj = len(obj)
        elif isinstance(obj, list):
            named = [x for x in obj
                     if isinstance(x, dict) and x.get("name") == part]
            if named:
                obj = named[0]
            elif part.isdigit() and int(part) < len(obj):
                obj = obj[int(part)]
            else:
                return None
        elif isinstance(obj, dict):
            obj = obj.get(part)
        else:
            return None
    return obj


def as_text(value):
    return value if isinstance(value, str) else json.dumps(value)


def compare_values(value, op, wanted):
    if op == "==":
        return as_text(value) == wanted
    if op == "!=":
        return as_text(value) != wanted
    if not isinstance(value, (int, float)):
        return False
    return value >= float(wanted) if op == ">=" else value <= float(wanted)


class Scenario:
    """Interprets one script and collects its output in `out`."""

    def __init__(self, build, port_base, directory):
        self.directory = directory  # directory of the script
        self.system = System(build, port_base, self.on_process_event)
        self.test_history = History(self.system.path("test.jsonl"), "test")
        self.callers = History(self.system.path("caller.jsonl"), "caller")
        self.build = build
        self.settings = {}  # settings of every entry
        self.items_by_tag = {}
        self.loads = {}
        self.out = []

    def on_process_event(self, ev, name, **fields):
        self.test_history.add(ev, name=name, **fields)

    def print_line(self, text):
        self.out.append(text)

    # ---- script control ----

    def run(self, lines):
        pos = 0
        while pos < len(lines):
            line = lines[pos].strip()
            if line.startswith("repeat "):
                end = self.find_end(lines, pos)
                self.run_repeat(line.split(), lines[pos + 1:end])
                pos = end
            elif line and not line.startswith("#"):
                self.run_statement(line)
            pos += 1

    def do_include(self, rest):
        self.run(read_lines(os.path.join(self.directory, rest)))

    @staticmethod
    def find_end(lines, pos):
        depth = 0
        for i in range(pos, len(lines)):
            word = lines[i].strip().split(" ")[0]
            depth += (word == "repeat") - (word == "end")
            if depth == 0:
                return i
        raise ScenarioError("repeat without end")

    def run_repeat(self, words, body):
        variable = words[3] if len(words) > 3 else "i"
        for i in range(1, int(words[1]) + 1):
            self.run([re.sub(rf"\${variable}\b", str(i), line)
                      for line in body])

    def run_statement(self, line):
        verb, _, rest = line.partition(" ")
        action = getattr(self, "do_" + verb, None)
        if action is None:
            raise ScenarioError(f"unknown statement: {line}")
        try:
            action(rest.strip())
        except (KeyError, IndexError, ValueError, RuntimeError) as error:
            raise ScenarioError(f"{line}: {error!r}") from error

    # ---- processes ----

    def do_start(self, rest):
        words = shlex.split(rest)
        kind = words[0]
        if kind == "platform":
            self.system.start_standin(kind, "platform", words[1:])
        elif kind in ("engine", "plain"):
            self.system.start_standin(kind, words[1], words[2:])
        elif kind == "entry":
            settings = dict(self.settings)
            settings.update(word.split("=", 1) for word in words[2:])
            self.system.start_entry(words[1], settings)
        else:
            raise ScenarioError(f"cannot start {kind}")

    def do_timing(self, rest):
        self.settings["timing"] = rest

    def do_kill(self, rest):
        self.system.kill(rest)

    def do_stop(self, rest):
        words = rest.split()
        self.system.terminate(words[0])
        if "async" not in words[1:]:
            self.print_line(f"stop {words[0]}: exit status "
                            f"{self.system.wait_exit(words[0])}")

    def do_freeze(self, rest):
        self.system.set_frozen(rest, True)

    def do_thaw(self, rest):
        self.system.set_frozen(rest, False)

    def do_control(self, rest):
        name, _, text = rest.partition(" ")
        addr = self.system.processes[name].control
        op = json.loads(text)
        status, _ = fghttp.request("POST", addr, "/control", op)
        # A process that crashes does not answer.
        if status != 200 and op.get("op") != "crash":
            raise ScenarioError(f"control {name}: status {status}")
        if op.get("op") == "crash":
            self.system.wait_exit(name)

    def set_cut(self, rest, is_cut):
        pair = rest.split()
        for one, other in (pair, pair[::-1]):
            process = self.system.processes[one]
            if process.kind == "platform":
                body = {"op": "cut" if is_cut else "heal", "name": other}
                addr, path = process.control, "/control"
            elif self.system.processes[other].kind == "platform":
                continue
            else:
                body = {"name": other, "cut": is_cut}
                addr, path = process.addr, "/v1/test/cut"
            status, _ = fghttp.request("POST", addr, path, body)
            if status != 200:
                raise ScenarioError(f"{path} at {one}: status {status}")

    def do_cut(self, rest):
        self.set_cut(rest, True)

    def do_heal(self, rest):
        self.set_cut(rest, False)

    # ---- operators and callers ----

    def do_change(self, rest):
        name, _, text = rest.partition(" ")
        body, used = json.JSONDecoder().raw_decode(text)
        words = text[used:].split()
        if "change" not in body:
            body = {"change": body}
        body.setdefault("wait_ms", CHANGE_WAIT_MS)
        change = Change(words[1] if words[:1] == ["async"] else "", body)
        addr = self.system.processes[name].addr
        change.start(addr)
        if change.tag:
            self.items_by_tag[change.tag] = change
            return
        change.finish()
        end = time.monotonic() + WAIT_DEFAULT_MS / 1000
        while (words == ["retry"] and change.status == "down" and
               time.monotonic() < end):
            time.sleep(POLL_INTERVAL_S)
            change.run(addr)
        self.print_line(f"change {name}: {change.status}")

    def choose_addr(self, request, via):
        """Returns the address of the entry `via`, else the first address that
        a lookup returns."""
        if via:
            return self.system.processes[via].addr
        key = "adapter" if request.is_generation() else "service"
        for entry in self.system.entries():
            _, answer = fghttp.request_json(
                "GET", entry.addr, f"/v1/address?{key}={request.target}",
                timeout_s=2)
            if answer.get("addresses"):
                return answer["addresses"][0]
        return next(iter(self.system.processes.values())).addr

    def do_send(self, rest):
        words = shlex.split(rest)
        options = split_options(words[3:])
        request = Request(words[0], words[1], words[2], options)
        if request.tag in self.items_by_tag:
            raise ScenarioError(f"tag {request.tag} is used twice")
        via = options.get("via")
        self.items_by_tag[request.tag] = request
        request.start(self.callers, lambda r: self.choose_addr(r, via))
        if "async" not in options:
            request.finish()

    def do_load(self, rest):
        words = shlex.split(rest)
        tag, args = words[0], [os.path.join(self.build, "bin", "fg-load")]
        for entry in self.system.entries():
            args += ["--address", entry.addr]
        args += ["--caller", "kitchen", "--history",
                 self.system.path(f"caller-{tag}.jsonl")]
        self.loads[tag] = self.system.spawn("load-" + tag, args + words[1:])

    # ---- expectations ----

    def do_expect(self, rest):
        words = rest.split()
        expected_count = None
        if len(words) > 2 and words[1] == "of":
            expected_count = int(words[0])
            words = words[2:]
        pattern, wanted = words[0], words[1:]
        if pattern in self.loads:
            status = self.loads[pattern].wait(SCENARIO_MAX_S)
            self.print_line(f"expect {rest}: " +
                            ("ok" if status == 0 else f"exit status {status}"))
            return
        tags = [t for t in self.items_by_tag
                if fnmatch.fnmatchcase(t, pattern)]
        mismatched = [t for t in tags if not self.matches(t, wanted)]
        if expected_count is None:
            ok = bool(tags) and not mismatched
        else:
            ok = len(tags) - len(mismatched) == expected_count
        self.print_line(f"expect {rest}: " +
                        ("ok" if ok else self.describe_results(tags)))

    def matches(self, tag, wanted):
        item = self.items_by_tag[tag]
        if not item.finish():
            return False
        words = item.result_words()
        return all(words & set(alternatives.split("|"))
                   for alternatives in wanted)

    def describe_results(self, tags):
        parts = [f"{t} {' '.join(sorted(self.items_by_tag[t].result_words()))}"
                 for t in tags]
        return "got " + ("; ".join(parts) if parts else "nothing")

    def do_wait(self, rest):
        words = shlex.split(rest)
        timeout_s = pop_timeout_s(words)
        if words[0] != "until":
            raise ScenarioError("wait needs until")
        words = words[1:]
        end = time.monotonic() + timeout_s
        while True:
            ok, value = self.evaluate_condition(words)
            if ok:
                self.print_line(f"wait {rest}: ok")
                return
            if time.monotonic() > end:
                raise ScenarioError(
                    f"wait {rest}: timed out at {as_text(value)}")
            time.sleep(POLL_INTERVAL_S)

    def evaluate_condition(self, words):
        """Returns (whether the condition holds, value seen)."""
        if words[0] == "log":
            count = self.count_events(words[1], words[2:])
            return count > 0, count
        if words[0] == "row":
            found = self.system.rows(words[1])
            return found > 0, found
        if words[1] == "exited":
            running = self.system.processes[words[0]].running()
            if not running:
                self.system.wait_exit(words[0])
            return not running, "running"
        if words[1] == "catalogue":
            state, words = self.system.catalogue(words[0]), words[1:]
        else:
            state = self.system.state(words[0])
        value = look_up(state, words[1])
        return compare_values(value, words[2], words[3]), value

    def count_events(self, name, words):
        wanted = dict(word.split("=", 1) for word in words)
        return sum(1 for event in self.system.events(name)
                   if all(key in event and
                          fnmatch.fnmatchcase(as_text(event[key]), pattern)
                          for key, pattern in wanted.items()))

    def do_count(self, rest):
        """count log NAME k=v ...: prints the number of events."""
        words = shlex.split(rest)
        count = self.count_events(words[1], words[2:])
        self.print_line(f"count {rest}: {count}")

    def do_say(self, rest):
        self.print_line(rest)

    # ---- histories ----

    def history_files(self):
        names = sorted(os.listdir(self.system.dir))
        return [self.system.path(n) for n in names if n.endswith(".jsonl")]

    def do_check(self, rest):
        if rest != "history":
            raise ScenarioError(f"cannot check {rest}")
        for item in self.items_by_tag.values():
            item.finish()
        errors = self.check_answers() + self.run_history_checker()
        self.print_line("check history: " + ("ok" if not errors else "wrong"))
        for text in errors:
            self.print_line("  " + text)

    def check_answers(self):
        """Checks the answers to callers against the logs of the endpoints."""
        caller, endpoints = [], []
        for path in self.history_files():
            with open(path, encoding="utf-8") as lines:
                events = [json.loads(line) for line in lines]
            is_caller = os.path.basename(path).startswith("caller")
            (caller if is_caller else endpoints).extend(events)
        checker = AnswerChecker({}, caller, endpoints)
        for tag in checker.invokes:
            checker.check_return(tag)
            self.check_planned_stop(checker, tag)
        checker.check_filings()
        return checker.errors

    def check_planned_stop(self, checker, tag):
        """A planned stop must not cut off requests sent before the stop."""
        invoke = checker.invokes[tag]
        answer = checker.returns.get(tag)
        if answer is None or answer["reason"] != "connection_lost":
            return
        for process in self.system.processes.values():
            if process.addr != invoke["entry"] or process.stopped_ms is None:
                continue
            if invoke["t"] < process.stopped_ms:
                checker.add_error(
                    f"{tag}: cut off by the stop of {process.name}")

    def run_history_checker(self):
        """Runs fg-check on all histories, if it is built."""
        checker = os.path.join(self.build, "bin", "fg-check")
        if not os.path.exists(checker):
            print("note: fg-check is not built; checked answers alone",
                  file=sys.stderr)
            return []
        result = subprocess.run([checker] + self.history_files(), text=True,
                                stdout=subprocess.PIPE,
                                stderr=subprocess.STDOUT, timeout=60,
                                check=False)
        return result.stdout.splitlines() if result.returncode else []

    def finish(self):
        for load in self.loads.values():
            if load.poll() is None:
                load.terminate()
                load.wait()
        for exit_error in self.system.stop_all():
            self.print_line(exit_error)
        self.test_history.close()
        self.callers.close()


def run_script(path, switches):
    build = os.environ.get("BUILD", "build")
    lines = read_lines(path)
    if not re.fullmatch(r"# promise: [1-8](, [1-8])*", lines[0]):
        raise SystemExit(f"{path}: the first line must name the promise")
    scenario = Scenario(build, port_base(), os.path.dirname(path))
    if switches:
        scenario.settings["switches"] = "{%s}" % ", ".join(
            f"{name}: true" for name in switches)
    try:
        scenario.run(lines)
    except ScenarioError as error:
        scenario.print_line(f"failed: {error}")
    except BaseException:
        signal.alarm(0)
        scenario.finish()
        scenario.system.remove_files()
        raise
    signal.alarm(0)
    scenario.finish()
    return scenario


def on_alarm(_signum, _frame):
    raise ScenarioError(f"took more than {SCENARIO_MAX_S} s")


def main(args):
    paths = [a for a in args if not a.startswith("--")]
    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    signal.alarm(SCENARIO_MAX_S)
    switches = [name for a in args if a.startswith("--switch=")
                for name in a.partition("=")[2].split(",")]
    scenario = run_script(paths[0], switches)
    out = scenario.out
    if "--print" in args:
        print("\n".join(out))
        ok = not any(line.startswith("failed:") for line in out)
    else:
        expected_path = os.path.splitext(paths[0])[0] + ".out"
        wanted = read_lines(expected_path)
        diff = list(difflib.unified_diff(wanted, out, "expected", "got",
                                         lineterm=""))
        print("\n".join(diff))
        ok = not diff
    if not ok:
        print(scenario.system.logs())
    if "--keep" in args:
        print("kept:", scenario.system.dir)
    else:
        scenario.system.remove_files()
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

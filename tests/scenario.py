#!/usr/bin/env python3
"""Runs a scenario (docs/TESTING.md) and compares its output.

Usage: scenario.py [--print] [--keep] [--switch=NAME[,NAME]] FILE.fgs
  --print   print the output, compare nothing
  --keep    keep the directory of histories and logs, and name it
  --switch  turn mechanisms off in every entry (docs/TESTING.md)
Environment: BUILD (build), FG_PORT_BASE (21000).
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

from demo_verdict import Verdict
import fghttp
from fgcaller import Change, History, Request
from fgsystem import System

WAIT_DEFAULT_MS = 15000
CHANGE_WAIT_MS = 10000
POLL_S = 0.02
SCENARIO_MAX_S = 180
FLAGS = ("stream", "retry", "async")


def read_lines(path):
    with open(path, encoding="utf-8") as script:
        return script.read().splitlines()


class Failure(Exception):
    """The scenario cannot go on."""


def split_options(words):
    """Turns k=v words and flags into a dictionary."""
    options = {}
    for word in words:
        name, eq, value = word.partition("=")
        if not eq and name not in FLAGS:
            raise Failure(f"unknown option {word}")
        options[name] = value
    return options


def take_within(words):
    """Removes "within MS" from the end; returns the bound in seconds."""
    if len(words) >= 2 and words[-2] == "within":
        ms = int(words[-1])
        del words[-2:]
        return ms / 1000
    return WAIT_DEFAULT_MS / 1000


def look_up(obj, path):
    """Value at a dotted path; list items by their name or index."""
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


def compare(value, op, wanted):
    if op == "==":
        return as_text(value) == wanted
    if op == "!=":
        return as_text(value) != wanted
    if not isinstance(value, (int, float)):
        return False
    return value >= float(wanted) if op == ">=" else value <= float(wanted)


class Scenario:
    """Interprets one script."""

    def __init__(self, build, port_base, directory):
        self.directory = directory  # of the script
        self.system = System(build, port_base, self.on_life)
        self.test_history = History(self.system.path("test.jsonl"), "test")
        self.callers = History(self.system.path("caller.jsonl"), "caller")
        self.build = build
        self.settings = {}  # of every entry
        self.tagged = {}
        self.loads = {}
        self.out = []

    def on_life(self, ev, name, **fields):
        self.test_history.add(ev, name=name, **fields)

    def say(self, text):
        self.out.append(text)

    # ---- script ----

    def run(self, lines):
        pos = 0
        while pos < len(lines):
            line = lines[pos].strip()
            if line.startswith("repeat "):
                end = self.find_end(lines, pos)
                self.repeat(line.split(), lines[pos + 1:end])
                pos = end
            elif line and not line.startswith("#"):
                self.statement(line)
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
        raise Failure("repeat without end")

    def repeat(self, words, body):
        variable = words[3] if len(words) > 3 else "i"
        for i in range(1, int(words[1]) + 1):
            self.run([re.sub(rf"\${variable}\b", str(i), line)
                      for line in body])

    def statement(self, line):
        verb, _, rest = line.partition(" ")
        action = getattr(self, "do_" + verb, None)
        if action is None:
            raise Failure(f"unknown statement: {line}")
        try:
            action(rest.strip())
        except (KeyError, IndexError, ValueError, RuntimeError) as error:
            raise Failure(f"{line}: {error!r}") from error

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
            raise Failure(f"cannot start {kind}")

    def do_timing(self, rest):
        self.settings["timing"] = rest

    def do_kill(self, rest):
        self.system.kill(rest)

    def do_stop(self, rest):
        words = rest.split()
        self.system.terminate(words[0])
        if "async" not in words[1:]:
            self.say(f"stop {words[0]}: exit status "
                     f"{self.system.wait_exit(words[0])}")

    def do_freeze(self, rest):
        self.system.freeze(rest, True)

    def do_thaw(self, rest):
        self.system.freeze(rest, False)

    def do_control(self, rest):
        name, _, text = rest.partition(" ")
        addr = self.system.processes[name].control
        op = json.loads(text)
        status, _ = fghttp.request("POST", addr, "/control", op)
        # A process that is told to crash does not answer.
        if status != 200 and op.get("op") != "crash":
            raise Failure(f"control {name}: status {status}")
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
                raise Failure(f"{path} at {one}: status {status}")

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
            self.tagged[change.tag] = change
            return
        change.finish()
        end = time.monotonic() + WAIT_DEFAULT_MS / 1000
        while (words == ["retry"] and change.status == "down" and
               time.monotonic() < end):
            time.sleep(POLL_S)
            change.run(addr)
        self.say(f"change {name}: {change.status}")

    def pick_addr(self, request, via):
        """The named entry, or the first that a lookup answers with."""
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
        if request.tag in self.tagged:
            raise Failure(f"tag {request.tag} is used twice")
        via = options.get("via")
        self.tagged[request.tag] = request
        request.start(self.callers, lambda r: self.pick_addr(r, via))
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
        some = None
        if len(words) > 2 and words[1] == "of":
            some = int(words[0])
            words = words[2:]
        pattern, wanted = words[0], words[1:]
        if pattern in self.loads:
            status = self.loads[pattern].wait(SCENARIO_MAX_S)
            self.say(f"expect {rest}: " +
                     ("ok" if status == 0 else f"exit status {status}"))
            return
        tags = [t for t in self.tagged if fnmatch.fnmatchcase(t, pattern)]
        missed = [t for t in tags if not self.meets(t, wanted)]
        if some is None:
            ok = bool(tags) and not missed
        else:
            ok = len(tags) - len(missed) == some
        self.say(f"expect {rest}: " + ("ok" if ok else self.describe(tags)))

    def meets(self, tag, wanted):
        item = self.tagged[tag]
        if not item.finish():
            return False
        words = item.words()
        return all(words & set(alternatives.split("|"))
                   for alternatives in wanted)

    def describe(self, tags):
        parts = [f"{t} {' '.join(sorted(self.tagged[t].words()))}"
                 for t in tags]
        return "got " + ("; ".join(parts) if parts else "nothing")

    def do_wait(self, rest):
        words = shlex.split(rest)
        within_s = take_within(words)
        if words[0] != "until":
            raise Failure("wait needs until")
        words = words[1:]
        end = time.monotonic() + within_s
        while True:
            ok, value = self.condition(words)
            if ok:
                self.say(f"wait {rest}: ok")
                return
            if time.monotonic() > end:
                raise Failure(f"wait {rest}: timed out at {as_text(value)}")
            time.sleep(POLL_S)

    def condition(self, words):
        """Returns (holds, value seen)."""
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
        return compare(value, words[2], words[3]), value

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
        self.say(f"count {rest}: {count}")

    def do_say(self, rest):
        self.say(rest)

    # ---- histories ----

    def history_files(self):
        names = sorted(os.listdir(self.system.dir))
        return [self.system.path(n) for n in names if n.endswith(".jsonl")]

    def do_check(self, rest):
        if rest != "history":
            raise Failure(f"cannot check {rest}")
        for item in self.tagged.values():
            item.finish()
        wrong = self.check_answers() + self.check_all()
        self.say("check history: " + ("ok" if not wrong else "wrong"))
        for text in wrong:
            self.say("  " + text)

    def check_answers(self):
        """What callers were told against the endpoints' own logs."""
        caller, endpoints = [], []
        for path in self.history_files():
            with open(path, encoding="utf-8") as lines:
                events = [json.loads(line) for line in lines]
            is_caller = os.path.basename(path).startswith("caller")
            (caller if is_caller else endpoints).extend(events)
        verdict = Verdict({}, caller, endpoints)
        for tag in verdict.invokes:
            verdict.check_return(tag)
            self.check_cut_off(verdict, tag)
        verdict.check_filings()
        return verdict.wrong

    def check_cut_off(self, verdict, tag):
        """A stopped entry answers what reached it before its stop."""
        invoke = verdict.invokes[tag]
        ret = verdict.returns.get(tag)
        if ret is None or ret["reason"] != "connection_lost":
            return
        for process in self.system.processes.values():
            if process.addr != invoke["entry"] or process.stopped_ms is None:
                continue
            if invoke["t"] < process.stopped_ms:
                verdict.fail(f"{tag}: cut off by the stop of {process.name}")

    def check_all(self):
        """The history checker, when it is built."""
        checker = os.path.join(self.build, "bin", "fg-check")
        if not os.path.exists(checker):
            print("note: fg-check is not built; checked answers alone",
                  file=sys.stderr)
            return []
        done = subprocess.run([checker] + self.history_files(), text=True,
                              stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, timeout=60,
                              check=False)
        return done.stdout.splitlines() if done.returncode else []

    def finish(self):
        for load in self.loads.values():
            if load.poll() is None:
                load.terminate()
                load.wait()
        for complaint in self.system.stop_all():
            self.say(complaint)
        self.test_history.close()
        self.callers.close()


def run_script(path, switches):
    build = os.environ.get("BUILD", "build")
    port_base = int(os.environ.get("FG_PORT_BASE", "21000"))
    lines = read_lines(path)
    if not re.fullmatch(r"# promise: [1-8](, [1-8])*", lines[0]):
        raise SystemExit(f"{path}: the first line must name the promise")
    scenario = Scenario(build, port_base, os.path.dirname(path))
    if switches:
        scenario.settings["switches"] = "{%s}" % ", ".join(
            f"{name}: true" for name in switches)
    try:
        scenario.run(lines)
    except Failure as failure:
        scenario.say(f"failed: {failure}")
    except BaseException:
        signal.alarm(0)
        scenario.finish()
        scenario.system.remove_files()
        raise
    signal.alarm(0)
    scenario.finish()
    return scenario


def on_alarm(_signum, _frame):
    raise Failure(f"took more than {SCENARIO_MAX_S} s")


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

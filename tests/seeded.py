#!/usr/bin/env python3
"""Runs a whole system under random faults and checks the histories.

Usage: seeded.py [--seed N] [--deployment huerta|association] [--seconds S]
                 [--keep]

Starts a platform, engines, plain services and entry instances on loopback,
sends requests continuously, and injects the faults of a script that depends on
the seed alone. Then heals all faults and stops all entries. Exits with 0 when
new requests are answered DONE after healing and fg-check finds no violation.
"""

import argparse
import glob
import os
import random
import subprocess
import sys
import threading
import time

import fghttp
from fgcaller import History, Request
from fgsystem import System, port_base

ADAPTERS = 40
HEAL_TIMEOUT_S = 40
SHARED_KEYS = 25  # few enough that filings with the same key are concurrent
# Proportions of both deployments, scaled down to one machine.
DEPLOYMENTS = {
    "huerta": {"entries": 8, "engines": 6, "plain": 3, "loads": 5,
               "mix": "interactive=50,draft=20,status=15,filing=15"},
    "association": {"entries": 7, "engines": 4, "plain": 3, "loads": 2,
                    "mix": "interactive=20,draft=50,status=15,filing=15"},
}
TIMING = {"renew_ms": 500, "lease_ms": 3000, "scan_ms": 500, "list_ms": 500,
          "ping_ms": 200, "suspect_ms": 1000, "confirm_ms": 1500,
          "poll_ms": 500}


def fault_script(seed, size, seconds):
    """Returns a list of (time, fault, target, duration); depends on the seed
    and the size alone."""
    rng = random.Random(seed)
    entries = [f"n{i}" for i in range(1, size["entries"] + 1)]
    engines = [f"e{i}" for i in range(1, size["engines"] + 1)]
    plain = [f"p{i}" for i in range(1, size["plain"] + 1)]
    kinds = [("kill", entries), ("stop", entries), ("freeze", entries),
             ("freeze", entries), ("cut", entries), ("cut_platform", entries),
             ("outage", ["platform"]), ("lost_writes", ["platform"]),
             ("slow", ["platform"]), ("restart_empty", engines),
             ("fail_load", engines), ("truncate", engines),
             ("cross", engines), ("garble", engines), ("refuse", engines),
             ("lost_answer", engines), ("lost_answer", plain),
             ("refuse", plain), ("leave", engines), ("leave", plain),
             ("change", entries)]
    script = []
    when = 1.0
    while when < seconds - 2:
        kind, targets = rng.choice(kinds)
        script.append((round(when, 2), kind, rng.choice(targets),
                       round(rng.uniform(0.5, 5.0), 2)))
        when += rng.uniform(0.2, 1.5)
    return script


class SeededRun:
    def __init__(self, build, port_base, seed, size):
        self.seed = seed
        self.size = size
        self.rng = random.Random(seed + 1)
        self.system = System(build, port_base, self.on_process_event)
        self.test_history = History(self.system.path("test.jsonl"), "test")
        self.callers = History(self.system.path("caller.jsonl"), "caller")
        self.load = None
        self.scheduled = []  # (time, function)
        self.current_names = {}  # name in the script -> running process
        self.stopping = threading.Event()
        self.filing_thread = threading.Thread(
            target=self.send_shared_filings, daemon=True)
        self.changes = 0

    def on_process_event(self, ev, name, **fields):
        self.test_history.add(ev, name=name, **fields)

    # ---- Start ----

    def start_entry(self, name):
        mapping = "{" + ", ".join(f"{k}: {v}" for k, v in TIMING.items()) + "}"
        self.system.start_entry(name, {"timing": mapping})

    def start_endpoint(self, kind, name, number):
        options = []
        if kind == "engine":
            options = ["--slots", "4", "--batch", "8", "--token-ms", "5"]
            if number % 2:
                options.append("--checks-fence")
        self.system.start_standin(kind, name, options)

    def start(self):
        self.system.start_standin("platform", "platform", [
            "--loads-per-s", str(self.size["loads"]), "--list-lag-ms", "500",
            "--list-ttl-ms", "3000"])
        for i in range(1, self.size["engines"] + 1):
            self.start_endpoint("engine", f"e{i}", i)
        for i in range(1, self.size["plain"] + 1):
            self.start_endpoint("plain", f"p{i}", i)
        for i in range(1, self.size["entries"] + 1):
            self.start_entry(f"n{i}")
        self.create_adapters()

    def create_adapters(self):
        changes = []
        for i in range(1, ADAPTERS + 1):
            name = f"a{i:04d}"
            changes += [
                {"kind": "adapter_add", "base": "menus", "adapter": name},
                {"kind": "version_add", "adapter": name, "version": "v1"},
                {"kind": "right_grant", "adapter": name, "caller": "*"}]
        change = {"kind": "batch", "changes": changes}
        end = time.monotonic() + HEAL_TIMEOUT_S
        while time.monotonic() < end:
            if self.change(change) == "accepted":
                return
            if self.change({"kind": "preset_set", "preset": "ordinary"}) == \
                    "accepted" and self.has_adapter("a0001"):
                return
            time.sleep(0.2)
        raise RuntimeError("the adapters were not accepted")

    def has_adapter(self, adapter):
        entry = self.system.entries()[0]
        return adapter in fghttp.request("GET", entry.addr,
                                         "/v1/admin/catalogue")[1]

    def change(self, change):
        entries = self.system.entries()
        entry = entries[self.changes % len(entries)]
        self.changes += 1
        body = {"change": change, "wait_ms": 5000}
        return fghttp.request_json("POST", entry.addr, "/v1/admin/change",
                                   body)[1].get("status", "")

    # ---- Load ----

    def start_load(self, seconds):
        addresses = []
        for entry in self.system.entries():
            addresses += ["--address", entry.addr]
        rate = 40
        self.load = subprocess.Popen(
            [os.path.join(self.system.bin, "fg-load"), *addresses,
             "--rate", str(rate), "--requests", str(int(rate * seconds)),
             "--adapter-count", str(ADAPTERS), "--zipf", "1.0",
             "--mix", self.size["mix"], "--seed", str(self.seed),
             "--deadline-ms", "8000", "--draft-deadline-ms", "12000",
             "--workers", "128", "--max-tokens", "24",
             "--history", self.system.path("load.jsonl")],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.filing_thread.start()

    def any_entry(self, _req=None):
        entries = self.system.entries()
        return entries[self.rng.randrange(len(entries))].addr

    def send_shared_filings(self):
        """Sends filings in pairs with the same key, from a few keys, each to a
        random entry."""
        number = 0
        while not self.stopping.is_set():
            pair = []
            for _ in range(2):
                number += 1
                key = f"shared-{number // 2 % SHARED_KEYS}"
                pair.append(Request(f"file{number}", "filing", "orders",
                                    {"key": key, "deadline": 4000,
                                     "prompt": key}))
            for req in pair:
                req.start(self.callers, self.any_entry)
            for req in pair:
                req.finish()

    # ---- Faults ----

    def control(self, name, body):
        process = self.system.processes[name]
        fghttp.request("POST", process.control, "/control", body, timeout_s=2)

    def schedule(self, seconds, action):
        self.scheduled.append((time.monotonic() + seconds, action))

    def run_due(self, everything=False):
        due = [h for h in self.scheduled
               if everything or h[0] <= time.monotonic()]
        self.scheduled = [h for h in self.scheduled if h not in due]
        for _, action in sorted(due, key=lambda h: h[0]):
            action()

    def running_name(self, target):
        name = self.current_names.get(target, target)
        process = self.system.processes[name]
        if not process.running() or process.frozen:
            return None
        return name

    def next_name(self, target):
        name = self.current_names.get(target, target)
        base, _, count = name.partition("r")
        successor = f"{base}r{int(count or 0) + 1}"
        self.current_names[target] = successor
        return successor

    def replace_entry(self, target):
        self.start_entry(self.next_name(target))

    def set_cut(self, one, other, cut):
        for a, b in ((one, other), (other, one)):
            if self.system.processes[a].running():
                fghttp.request("POST", self.system.processes[a].addr,
                               "/v1/test/cut", {"name": b, "cut": cut},
                               timeout_s=2)

    def inject(self, kind, target, seconds):
        name = self.running_name(target)
        if name is None:
            return
        action = getattr(self, "do_" + kind)
        action(target, name, seconds)

    def do_kill(self, target, name, seconds):
        self.system.kill(name)
        self.schedule(seconds, lambda: self.replace_entry(target))

    def do_stop(self, target, name, seconds):
        self.system.processes[name].killed = True  # its end is expected
        self.system.terminate(name)
        self.replace_entry(target)

    def do_freeze(self, target, name, seconds):
        self.system.set_frozen(name, True)
        self.schedule(seconds, lambda: self.system.set_frozen(name, False))

    def do_cut(self, target, name, seconds):
        others = [p.name for p in self.system.entries() if p.name != name]
        other = others[self.rng.randrange(len(others))]
        self.set_cut(name, other, True)
        self.schedule(seconds, lambda: self.set_cut(name, other, False))

    def do_cut_platform(self, target, name, seconds):
        self.control("platform", {"op": "cut", "name": name})
        self.schedule(seconds, lambda: self.control(
            "platform", {"op": "heal", "name": name}))

    def do_outage(self, target, name, seconds):
        self.control(name, {"op": "outage", "ms": int(seconds * 1000)})

    def do_slow(self, target, name, seconds):
        self.control(name, {"op": "slow", "ms": 300, "count": 20})

    def do_lost_writes(self, target, name, seconds):
        self.control(name, {"op": "drop_answer", "path": "/table/txn",
                            "count": 4})

    def do_lost_answer(self, target, name, seconds):
        self.control(name, {"op": "drop_answer", "count": 2})

    def do_restart_empty(self, target, name, seconds):
        self.control(name, {"op": "restart_empty"})

    def do_cross(self, target, name, seconds):
        self.control(name, {"op": "cross"})

    def do_leave(self, target, name, seconds):
        """Starts a replacement, lets the endpoint leave and ends it later."""
        kind = "engine" if target[0] == "e" else "plain"
        self.control(name, {"op": "leave"})
        self.start_endpoint(kind, self.next_name(target), int(target[1:]))
        self.schedule(8, lambda: self.system.terminate(name))

    def do_change(self, target, name, seconds):
        presets = ["ordinary", "peak"]
        body = {"change": {"kind": "preset_set",
                           "preset": presets[self.changes % 2]},
                "wait_ms": 3000}
        self.changes += 1
        addr = self.system.processes[name].addr
        threading.Thread(target=fghttp.request, daemon=True, args=(
            "POST", addr, "/v1/admin/change", body)).start()

    def make_counted_fault(op):
        def action(self, target, name, seconds):
            self.control(name, {"op": op, "count": 2})
        return action

    do_fail_load = make_counted_fault("fail_load")
    do_truncate = make_counted_fault("truncate")
    do_garble = make_counted_fault("garble")
    do_refuse = make_counted_fault("refuse")

    def inject_all(self, script):
        begin = time.monotonic()
        for when, kind, target, seconds in script:
            while time.monotonic() < begin + when:
                self.run_due()
                time.sleep(0.02)
            self.inject(kind, target, seconds)

    # ---- End ----

    def probe(self):
        """Sends requests of each class until one is answered DONE; returns the
        classes without such an answer."""
        end = time.monotonic() + HEAL_TIMEOUT_S
        unserved = {"interactive": "a0001", "status": "orders",
                    "filing": "orders"}
        number = 0
        while unserved and time.monotonic() < end:
            for cls, target in list(unserved.items()):
                number += 1
                req = Request(f"probe{number}", cls, target,
                              {"key": f"probe-{number}", "deadline": 5000})
                req.start(self.callers, self.any_entry)
                req.finish()
                if req.outcome == "DONE" and req.whole:
                    del unserved[cls]
            time.sleep(0.1)
        return sorted(unserved)

    def stop(self):
        """Ends the load, then the entries by a planned stop, then the other
        processes."""
        self.stopping.set()
        self.filing_thread.join(10)
        self.load.wait(60)
        entries = self.system.entries()
        for entry in entries:
            entry.popen.terminate()
        for entry in entries:
            self.system.wait_exit(entry.name)
        return self.system.stop_all()

    def check(self):
        files = sorted(glob.glob(self.system.path("*.jsonl")))
        done = subprocess.run(
            [os.path.join(self.system.bin, "fg-check"), *files],
            capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS),
                        default="huerta")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--keep", action="store_true")
    parser.add_argument("--script", action="store_true",
                        help="print the fault script and exit")
    args = parser.parse_args()
    size = DEPLOYMENTS[args.deployment]
    script = fault_script(args.seed, size, args.seconds)
    if args.script:
        for step in script:
            print(*step)
        return 0
    os.environ["FG_TEST"] = "1"
    run = SeededRun(os.environ.get("BUILD", "build"),
                    port_base(),
                    args.seed, size)
    print(f"seeded: seed {args.seed}, {args.deployment}, {len(script)} faults")
    try:
        run.start()
        run.start_load(args.seconds)
        run.inject_all(script)
        run.run_due(everything=True)
        unserved = run.probe()
        exit_errors = run.stop()
        status, check_output = run.check()
    finally:
        run.system.stop_all()
    print(check_output, end="")
    for cls in unserved:
        print(f"not served after healing: {cls}")
    for exit_error in exit_errors:
        print(exit_error)
    ok = status == 0 and not unserved and not exit_errors
    if args.keep or not ok:
        print(f"histories: {run.system.dir}")
    if not ok:
        print(run.system.logs())
    elif not args.keep:
        run.system.remove_files()
    print(f"seeded: seed {args.seed} {'kept' if ok else 'BROKEN'}")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())

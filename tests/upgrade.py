#!/usr/bin/env python3
"""Replaces the instances of a fleet one after the other by another build, there
and back, under load.

Usage: tests/upgrade.py [COMMIT...]
A former build is made from the repository's history. Where the history lacks the
commit, "skipped upgrade_COMMIT: REASON" is printed.

In each replacement one instance is stopped as planned; amid them one is killed,
the store is silent for two seconds, and the configuration changes. Judged is what
callers and endpoints saw: nothing that may run once ran twice, nothing that was
refused ran, streams that ended whole have all events, engines got no orders of
two owners at a time, all instances hear each other, and callers were served.
Then each build reaches endpoints through the other one, which is stopped at the
end of its grace within answers, and killed.
"""

import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
import traceback

from gateway import config_with_route
from gateway_regions import peers_alive
from gateway_tunnels import (
    TunnelSystem, all_cases, cut_from_endpoints, finish_cases, judge_cases,
    play_undisturbed, start_cases)
from hosted import (
    BIN, System, broken_orders, check, has_all_events, send, send_draft, wait_for)

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
DEFAULT_COMMITS = ["0f11bbc"]
APPLY_S = 4.0  # a change of the configuration is in force everywhere
SERVED_MIN = 0.9


class NoHistory(Exception):
    pass


def build_former(commit):
    """Returns the path of fg-gateway as of the commit."""
    if subprocess.run(["git", "-C", ROOT, "cat-file", "-e", f"{commit}^{{commit}}"],
                      capture_output=True, check=False).returncode != 0:
        raise NoHistory("the history has no such commit")
    folder = os.path.join(ROOT, "out", "former", commit)
    binary = os.path.join(folder, "build", "bin", "fg-gateway")
    if os.path.exists(binary):
        return binary
    shutil.rmtree(folder, ignore_errors=True)
    os.makedirs(folder)
    archive = subprocess.run(["git", "-C", ROOT, "archive", commit],
                             capture_output=True, check=True).stdout
    subprocess.run(["tar", "-x", "-C", folder], input=archive, check=True)
    subprocess.run(["make", "-C", folder, "-j4", "BUILD=build", "build/bin/fg-gateway"],
                   capture_output=True, check=True)
    return binary


class Load:
    """Callers that send to instances that accept requests."""

    def __init__(self, system):
        self.system = system
        self.accepting = list(system.gateways)
        self.sent = []  # (kind, request id, answer)
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(kind, i))
                        for i, kind in enumerate(
                            ["draft", "draft", "order", "order", "lookup"])]
        for thread in self.threads:
            thread.start()

    def run(self, kind, seed):
        rand = random.Random(seed)
        n = 0
        while not self.ended.is_set():
            n += 1
            rid = f"{kind}-{seed}-{n}"
            gateway = rand.choice(self.accepting)
            if kind == "draft":
                answer = send_draft(gateway, f"a{rand.randrange(4)}", rid=rid)
            else:
                answer = send(gateway.front, f"/{kind}/1", rid)
            self.sent.append((kind, rid, answer))
            time.sleep(0.03)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def check_hear_each_other(system):
    names = {g.name for g in system.gateways}
    wait_for("all hear each other", lambda: all(
        peers_alive(g) | {g.name} == names for g in system.gateways), 8)


def replace(system, load, gateway, binary):
    load.accepting.remove(gateway)
    gateway.popen.send_signal(signal.SIGTERM)
    check(gateway.popen.wait(12) == 0, f"{gateway.name}: exit code")
    gateway.binary = binary
    gateway.start()
    wait_for(f"{gateway.name} is ready", gateway.is_ready)
    load.accepting.append(gateway)
    check_hear_each_other(system)


def kill_one(system, load, gateway):
    load.accepting.remove(gateway)
    gateway.kill()
    gateway.start()
    wait_for(f"{gateway.name} is back", gateway.is_ready)
    load.accepting.append(gateway)
    check_hear_each_other(system)


def silence_store(system):
    for proxy in system.store_proxies:
        proxy.silence()
    time.sleep(2)
    for proxy in system.store_proxies:
        proxy.heal()


def change_configuration(system, version):
    name = f"v{version}"
    system.store.put("op", "config", config_with_route(version, name))
    for gateway in system.gateways:
        wait_for(f"{gateway.name}: route {name}", lambda g=gateway: send(
            g.front, f"/{name}/1").status == 200, APPLY_S)


def judge(system, load):
    for kind, rid, answer in load.sent:
        runs = system.run_count(rid)
        if answer.status in (429, 503):
            check(runs == 0, f"{rid}: refused and ran {runs} times")
        if kind == "order":
            check(runs <= 1, f"{rid}: ran {runs} times")
        if kind == "draft" and answer.status == 200 and answer.whole:
            check(has_all_events(answer), f"{rid}: events are missing")
    for engine in system.engines:
        check(not broken_orders(engine), f"{engine.name}: {broken_orders(engine)}")
    served = sum(a.status == 200 and a.whole for _, _, a in load.sent)
    print(f"{served} of {len(load.sent)} served", flush=True)
    check(served >= SERVED_MIN * len(load.sent), "too few served")


def print_logs(system):
    for gateway in system.gateways:
        print(f"--- {gateway.name}\n{gateway.log()[-4000:]}")


def play(former):
    system = System(engines=3, plains=2, gateways=4, dcs=2, proxied=True, binary=former)
    load = Load(system)
    try:
        for step, binary in enumerate((BIN, former)):
            for i, gateway in enumerate(system.gateways):
                replace(system, load, gateway, binary)
                if i == 0:
                    change_configuration(system, 50 + 10 * step)
                elif i == 1:
                    kill_one(system, load, system.gateways[0])
                elif i == 2:
                    silence_store(system)
        load.stop()
        judge(system, load)
    except AssertionError:
        print_logs(system)
        raise
    finally:
        load.stop()
        system.close()


def end_middle(system, sig):
    """The instance in the middle ends within answers that halt at each point."""
    cases = all_cases()
    start_cases(system, cases)
    system.gateways[1].popen.send_signal(sig)
    system.gateways[1].popen.wait(10)
    time.sleep(0.1)
    finish_cases(system, cases)
    judge_cases(system, cases)


def play_tunnels(near, middle, unframed_whole):
    """One build reaches the endpoints through another: the sound end of an
    answer without a length arrives as complete if `unframed_whole`, and the end
    of the instance in the middle never does."""
    system = TunnelSystem(gateways=2, binary=middle)
    try:
        system.gateways[0].kill()
        system.gateways[0].binary = near
        system.gateways[0].start()
        wait_for("ready", system.gateways[0].is_ready)
        check_hear_each_other(system)
        cut_from_endpoints(system)
        cases = play_undisturbed(system)
        judge_cases(system, cases)
        for case in cases:
            whole = case.is_whole(system.engines + system.plains)
            check(whole == (case.framed or unframed_whole),
                  f"{case}: {'whole' if whole else 'not whole'}")
        end_middle(system, signal.SIGTERM)
        system.gateways[1].start()
        wait_for("the middle is back", system.gateways[1].is_ready)
        check_hear_each_other(system)
        wait_for("served again", lambda: all(a.status == 200 and a.whole for a in (
            send_draft(system.gateways[0]),
            send(system.gateways[0].front, "/lookup/1", method="GET"))))
        end_middle(system, signal.SIGKILL)
    except AssertionError:
        print_logs(system)
        raise
    finally:
        system.close()


def run(commit, name, parts):
    try:
        former = build_former(commit)
        for part in parts:
            part(former)
        print(f"ok {name}_{commit}", flush=True)
        return True
    except NoHistory as why:
        print(f"skipped {name}_{commit}: {why}")
        return True
    except AssertionError as why:
        print(f"not ok {name}_{commit}: {why}")
        traceback.print_exc(limit=3)
        return False


TESTS = {
    "upgrade": [play],
    "upgrade_tunnels": [lambda former: play_tunnels(BIN, former, False),
                        lambda former: play_tunnels(former, BIN, True)],
}


def main():
    results = [run(commit, name, parts) for name, parts in TESTS.items()
               for commit in sys.argv[1:] or DEFAULT_COMMITS]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

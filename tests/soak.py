#!/usr/bin/env python3
"""Randomized soak of fg-gateway: real processes behind loopback proxies, with
faults from outside, under load; the promises are checked while it runs.

Usage: tests/soak.py [--seed N] [--rounds N] [--gateways N] [--clients N]
       tests/soak.py --regressions     the seeds of soak_seeds.txt
Prints "ok soak-SEED" or "not ok soak-SEED" with the violations, and keeps the
logs of a failed run. Each round has a disturbed part, in which signals to
instances, spoiled connections, a failing store, failing replicas and changes
overlap; a recovery, which must come within RECOVER_S; and a planned part with
stops, changes and leaving replicas alone.
"""

import argparse
import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

from hosted import (
    EVENTS, Gateway, HERE, HOST, MODEL, Replica, Store, call as request,
    config, get, wait_for)
from soak_judge import Call, Judge
from soak_proxy import DOWN, Proxy, UP

RECOVER_S = 12
CONFIG_S = 2.5
DRAIN_S = 2.5
GRACE_S = 8
ADAPTERS = 24
DISTURB_S = 5.0
SOCKET_S = 6.0
KINDS = {  # kind: (weight, method, time limit s, replicas at most)
    "draft": (5, "POST", 4.0, 2),
    "brief": (2, "POST", 4.0, 1),
    "order": (3, "POST", 1.5, 1),
    "lookup": (2, "GET", 1.5, 2),
}


class Soak:
    def __init__(self, seed, gateways, clients):
        self.rand = random.Random(seed)
        self.seed = seed
        self.judge = Judge()
        self.judge.begin("store")  # until all is up
        self.version = 1
        self.routes = []  # (name, version)
        self.running = True
        self.ids = 0
        self.lock = threading.Lock()
        self._start(gateways)
        self.fronts = {g.front: Proxy(g.front) for g in self.gateways}
        self.threads = [threading.Thread(
            target=Caller(self, self.rand.random()).run, daemon=True)
            for _ in range(clients)]

    def _start(self, gateways):
        self.store = Store()
        self.store.put("op", "config", config(1))
        self.replicas = []
        for i in range(4):
            self._add_replica(f"e{i}", "models", True)
        for i in range(4):
            self._add_replica(f"p{i}", "orders", False)
        self.folder = os.path.join("/tmp", f"soak-{os.getpid()}-{self.seed}")
        os.makedirs(self.folder, exist_ok=True)
        self.store_proxies = [Proxy(self.store.addr) for _ in range(gateways)]
        self.gateways = [Gateway(p.addr, f"g{i}", self.folder)
                         for i, p in enumerate(self.store_proxies)]
        self.lives = {g.name: 0 for g in self.gateways}

    def _add_replica(self, name, service, engine):
        proxies = []

        def public(addr):
            proxies.append(Proxy(addr))
            return proxies[0].addr

        replica = Replica(self.store, name, service, engine, public=public,
                          on_run=lambda r, rid, _: self.judge.ran(r, rid))
        replica.proxy = proxies[0]
        self.replicas.append(replica)

    # State.

    def all_up(self):
        return all(g.popen.poll() is None and g.is_ready()
                   for g in self.gateways)

    def owned(self):
        return sum(len(g.owned()) for g in self.gateways)

    def next_id(self):
        with self.lock:
            self.ids += 1
            return f"s{self.seed}-{self.ids}"

    def check_ends(self):
        """An instance that ended by itself is a violation."""
        for g in self.gateways:
            code = g.popen.poll()
            if code is not None and not getattr(g, "told", False):
                self.judge.blame("CRASH", f"{g.name} ended with {code}")
                g.told = True

    # Changes of operators and signals.

    def change_config(self):
        self.version += 1
        name = f"v{self.version}"
        self.routes = (self.routes + [(name, self.version)])[-6:]
        extra = [{"name": n, "host": HOST, "prefix": f"/{n}/", "kind": "safe",
                  "timeoutMs": 1500, "service": "orders", "maxAttempts": 2}
                 for n, _ in self.routes]
        self.store.put("op", "config", config(self.version,
                                              extra_routes=extra))

    def announce(self):
        adapter = f"a{self.rand.randrange(4)}"
        for r in self.replicas:
            if r.engine:
                r.versions[adapter] = r.versions.get(adapter, 1) + 1
                version = r.versions[adapter]
        self.store.put("op", f"version/{MODEL}.{adapter}", {
            "model": MODEL, "adapter": adapter, "version": version})

    def start_gateway(self, g):
        self.lives[g.name] += 1
        g.told = False
        g.start()

    def restart(self, g, how):
        """Ends the instance by a signal and starts it again."""
        g.told = True
        if how == signal.SIGTERM:
            self.judge.planned.add((g.name, self.lives[g.name]))
            g.popen.send_signal(how)
            try:
                code = g.popen.wait(GRACE_S)
                if code != 0 and g.started():
                    self.judge.blame("STOP", f"{g.name}: exit {code}")
            except subprocess.TimeoutExpired:
                self.judge.blame("STOP", f"{g.name} still runs after "
                                 f"{GRACE_S} s")
                g.popen.kill()
        else:
            g.popen.send_signal(how)
        g.popen.wait()
        time.sleep(0.3)
        self.start_gateway(g)

    def replace_replica(self, planned):
        """One leaves (or vanishes), and another comes."""
        old = self.rand.choice(self.replicas)
        kind = [r for r in self.replicas if r.engine == old.engine]
        if len(kind) < 3:
            return
        self.ids += 1
        self.replicas.remove(old)
        self._add_replica(f"{old.name[0]}x{self.ids}", old.service, old.engine)
        self.judge.leaving[old.name] = (time.monotonic(), DRAIN_S)
        if planned:
            old.drain()

            def end():
                time.sleep(DRAIN_S + 2.0)
                self.store.remove("servers", old.name)
            threading.Thread(target=end, daemon=True).start()
        else:
            self.judge.faulty[old.name] = time.monotonic() + 1e9
            old.die()
            old.proxy.reset()
            time.sleep(0.5)
            self.store.remove("servers", old.name)


class Caller:
    """One client: asks where to connect, keeps its connection, checks. Half of
    them use an open connection until it is closed, whatever the lookup says."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.rand = random.Random(seed)
        self.stubborn = self.rand.random() < 0.5
        self.addresses = []
        self.asked = 0.0
        self.conn = None
        self.front = None

    def run(self):
        while self.soak.running:
            try:
                self.one()
            except (OSError, http.client.HTTPException, ValueError):
                self.drop()
            time.sleep(self.rand.uniform(0.01, 0.08))
        self.drop()

    def drop(self):
        if self.conn is not None:
            self.conn.close()
        self.conn = None

    def look_up(self):
        if time.monotonic() - self.asked < 2 and self.addresses:
            return
        g = self.rand.choice(self.soak.gateways)
        status, text = get(g.directory,
                           f"/api/resolve?name={HOST}&region=r1&zone=dc1")
        if status == 200:
            self.addresses = [a for a in json.loads(text)["addresses"]
                              if a in self.soak.fronts]
            self.asked = time.monotonic()

    def connect(self):
        self.look_up()
        if self.conn is not None and (
                self.stubborn or (self.front in self.addresses and
                                  self.rand.random() < 0.9)):
            return True
        self.drop()
        if not self.addresses:
            return False
        self.front = self.rand.choice(self.addresses)
        host, port = self.soak.fronts[self.front].addr.split(":")
        self.conn = http.client.HTTPConnection(host, int(port),
                                               timeout=SOCKET_S)
        return True

    def choose(self):
        """(kind, path, call)"""
        soak = self.soak
        gateway = next(g for g in soak.gateways if g.front == self.front)
        version = 0
        if soak.routes and self.rand.random() < 0.15:
            kind, version = self.rand.choice(soak.routes)
            limit_s, runs = 1.5, 2
        else:
            kind = self.rand.choices(list(KINDS),
                                     [k[0] for k in KINDS.values()])[0]
            _, _, limit_s, runs = KINDS[kind]
        return kind, Call(soak.next_id(), kind, gateway.name,
                          soak.lives[gateway.name], limit_s, runs, version)

    def one(self):
        """One request; its Call, or None when there is nowhere to send it."""
        if not self.connect():
            return None
        kind, call = self.choose()
        method = KINDS.get(kind, (0, "GET"))[1]
        adapter = f"{MODEL}/a{min(int(self.rand.expovariate(0.25)), ADAPTERS)}"
        fields = {"Host": HOST, "Request-Id": call.rid,
                  "Deadline-Ms": str(int(call.limit_s * 1000))}
        if kind in ("draft", "brief"):
            fields.update({"Model": adapter, "Token-Count": "100,20"})
        self.soak.judge.sent(call)
        status, body, whole = 0, b"", False
        try:
            self.conn.request(method, f"/{kind}/{call.rid}",
                              b"x" if method == "POST" else None, fields)
            res = self.conn.getresponse()
            status = res.status
            body = res.read()
            whole = True
            if res.getheader("Connection") == "close":
                self.drop()
        except (OSError, http.client.HTTPException):
            self.drop()
        self.soak.judge.answered(call, status, whole,
                                 is_right(kind, call.rid, adapter, body))
        return call


def is_right(kind, rid, adapter, body):
    text = body.decode("latin-1")
    if kind in ("draft", "brief"):
        want = [f"data: piece {i} {rid} {adapter}"
                for i in range(1, EVENTS + 1)]
        return [x for x in text.split("\n") if x.startswith("data:")] == want
    return text.startswith("done by ") and text.endswith(f" for {rid}")


# ---- Disturbances: each lasts some time and is undone ----


def pause_gateway(soak, rand):
    g = rand.choice(soak.gateways)
    soak.judge.begin(g.name)
    g.popen.send_signal(signal.SIGSTOP)
    time.sleep(rand.choice((0.2, 0.7, 2.5, 5.0)))
    g.popen.send_signal(signal.SIGCONT)
    soak.judge.finish(g.name)


def kill_gateway(soak, rand):
    some = rand.sample(soak.gateways, rand.choice((1, 1, 2, 3)))
    for g in some:
        soak.judge.begin(g.name)
    for g in some:
        soak.restart(g, signal.SIGKILL)
    for g in some:
        soak.judge.finish(g.name)


def stop_gateway(soak, rand):
    g = rand.choice(soak.gateways)
    soak.judge.begin(g.name)  # other faults may meet the stop
    soak.restart(g, signal.SIGTERM)
    soak.judge.finish(g.name)


def spoil(soak, rand, proxy):
    how = rand.choice(("reset", "silence", "up", "down", "delay", "refuse"))
    if how == "reset":
        proxy.reset()
    elif how == "silence":
        proxy.silence(new_too=rand.random() < 0.5)
    elif how in ("up", "down"):
        proxy.silence((UP,) if how == "up" else (DOWN,))
    elif how == "delay":
        proxy.delay_s = rand.choice((0.02, 0.2, 1.0))
    else:
        proxy.refuse = True
        proxy.reset()
    time.sleep(rand.uniform(0.3, 3.0))
    proxy.heal()


def spoil_store_path(soak, rand):
    i = rand.randrange(len(soak.gateways))
    name = soak.gateways[i].name
    soak.judge.begin(name)
    spoil(soak, rand, soak.store_proxies[i])
    soak.judge.finish(name)


def spoil_front(soak, rand):
    g = rand.choice(soak.gateways)
    soak.judge.begin(g.name)
    spoil(soak, rand, soak.fronts[g.front])
    soak.judge.finish(g.name)


def spoil_replica_path(soak, rand):
    replica = rand.choice(soak.replicas)
    for g in soak.gateways:
        soak.judge.begin(g.name)
    spoil(soak, rand, replica.proxy)
    for g in soak.gateways:
        soak.judge.finish(g.name)


def spoil_store(soak, rand):
    soak.judge.begin("store")
    how = rand.choice(("busy", "reset", "silent", "slow", "lost", "late",
                       "history"))
    store = soak.store
    if how == "slow":
        store.slow_feed_s = 0.8
    elif how in ("lost", "late"):
        store.late_tx_s = 1.5 if how == "late" else 0
        store.lost_tx = 5
    elif how == "history":
        store.drop_history()
    else:
        store.mode = how
    time.sleep(rand.uniform(0.2, 4.0))
    store.mode = "up"
    store.slow_feed_s = 0
    store.lost_tx = 0
    soak.judge.finish("store")


def spoil_answers(soak, rand):
    replica = rand.choice(soak.replicas)
    words = ["not_run", "lost", "silent"]
    words += ["cut", "order_lost"] if replica.engine else \
        ["error", "stray", "reset_body", "cut_end"]
    soak.judge.faulty[replica.name] = time.monotonic() + 5
    replica.faults[rand.choice(words)] = rand.randint(1, 4)


def restart_replica(soak, rand):
    replica = rand.choice(soak.replicas)
    soak.judge.faulty[replica.name] = time.monotonic() + 5
    replica.restart_empty()
    replica.proxy.reset()


def change(soak, rand):
    for _ in range(rand.choice((1, 1, 4))):
        soak.change_config()
        time.sleep(rand.choice((0.0, 0.1)))
    if rand.random() < 0.5:
        soak.announce()


def replace(soak, rand):
    soak.replace_replica(rand.random() < 0.5)


DISTURBANCES = (
    pause_gateway, kill_gateway, stop_gateway, spoil_store_path, spoil_front,
    spoil_replica_path, spoil_store, spoil_answers, restart_replica, change,
    replace)


def disturb(soak):
    """Faults for DISTURB_S, overlapping, in the order that the seed gives."""
    end = time.monotonic() + DISTURB_S
    busy = []
    locks = {name: threading.Lock() for name in (
        "gateway", "path", "store", "replica")}
    kinds = {pause_gateway: "gateway", kill_gateway: "gateway",
             stop_gateway: "gateway", spoil_store: "store"}

    def run(action, rand):
        with locks[kinds.get(action, "replica" if action in (
                restart_replica, replace) else "path")]:
            action(soak, rand)

    told = []
    while time.monotonic() < end:
        action = soak.rand.choice(DISTURBANCES)
        rand = random.Random(soak.rand.random())
        told.append(action.__name__)
        busy.append(threading.Thread(target=run, args=(action, rand)))
        busy[-1].start()
        time.sleep(soak.rand.choice((0.0, 0.1, 0.5, 1.0)))
    for thread in busy:
        thread.join()
    return told


def recover(soak):
    """All instances serve and all engines have an owner again."""
    begin = time.monotonic()
    wait_for("all instances are ready", soak.all_up, RECOVER_S)
    engines = [r for r in soak.replicas if r.engine]
    wait_for("engines have an owner", lambda: soak.owned() >= len(engines),
             RECOVER_S)
    for g in soak.gateways:
        for kind in KINDS:
            wait_for(f"{kind} at {g.name}",
                     lambda k=kind, n=g: served(soak, n, k),
                     max(0.5, begin + 2 * RECOVER_S - time.monotonic()))


def served(soak, gateway, kind):
    caller = Caller(soak, 1)
    caller.addresses = [gateway.front]
    caller.asked = time.monotonic()
    try:
        caller.connect()
        _, method, limit_s, runs = KINDS[kind]
        caller.choose = lambda: (kind, Call(
            soak.next_id(), kind, gateway.name, soak.lives[gateway.name],
            limit_s, runs, 0))
        return caller.one().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        caller.drop()


def planned(soak):
    """Without other faults: a change, a leaving replica, a stop in use."""
    time.sleep(4.2)  # what happened before excuses nothing from here on
    soak.change_config()
    name, _ = soak.routes[-1]
    begin = time.monotonic()
    soak.replace_replica(True)
    g = soak.rand.choice(soak.gateways)
    for other in soak.gateways:
        left = begin + CONFIG_S - time.monotonic()
        wait_for(f"route {name} at {other.name}", lambda n=other: get_route(
            soak, n, name), max(left, 0.05))
    soak.restart(g, signal.SIGTERM)
    wait_for("all instances are ready", soak.all_up, RECOVER_S)


def get_route(soak, gateway, name):
    call = Call(soak.next_id(), name, gateway.name,
                soak.lives[gateway.name], 1.5, 2, soak.version)
    soak.judge.sent(call)
    status = request(gateway.front, f"/{name}/x", call.rid, method="GET",
                     body=None, headers={"Deadline-Ms": "1500"},
                     timeout_s=3).status
    return status not in (0, 404, 503)


def check_orders(soak):
    for replica in soak.replicas:
        holders = {}
        for holder, fence, _, _, status in replica.orders:
            if status == 412:
                continue
            if status == 0:
                soak.judge.blame("LIMIT", f"{replica.name}: too many adapters")
            elif holders.setdefault(fence, holder) != holder:
                soak.judge.blame("ONE", f"{replica.name}: two holders of "
                                 f"{fence}")


def run(seed, rounds, gateways, clients):
    soak = Soak(seed, gateways, clients)
    told = []
    try:
        wait_for("all instances are ready", soak.all_up)
        soak.judge.finish("store")
        for thread in soak.threads:
            thread.start()
        for _ in range(rounds):
            told += disturb(soak)
            soak.check_ends()
            recover(soak)
            planned(soak)
            soak.check_ends()
    except AssertionError as why:
        soak.judge.blame("RECOVER", str(why))
    finally:
        soak.running = False
        for thread in soak.threads:
            thread.join(SOCKET_S + 1)
        check_orders(soak)
        for g in soak.gateways:
            g.end()
    return report(soak, told)


def report(soak, told):
    bad = soak.judge.violations
    words = ", ".join(f"{k} {v}" for k, v in sorted(soak.judge.counts.items()))
    print(f"{'not ok' if bad else 'ok'} soak-{soak.seed}: "
          f"{len(soak.judge.calls)} requests, {len(told)} disturbances")
    print(f"  {words}")
    if not bad:
        shutil.rmtree(soak.folder, ignore_errors=True)
        return True
    for line in bad[:20]:
        print(f"  {line}")
    print(f"  disturbances: {' '.join(told)}")
    print(f"  logs: {soak.folder}")
    return False


def regressions():
    with open(os.path.join(HERE, "soak_seeds.txt"), encoding="utf-8") as f:
        return [int(line.split()[0]) for line in f
                if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--regressions", action="store_true")
    args = parser.parse_args()
    seeds = regressions() if args.regressions else [args.seed]
    results = [run(seed, args.rounds, args.gateways, args.clients)
               for seed in seeds]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

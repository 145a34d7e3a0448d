#!/usr/bin/env python3
"""Randomized soak test of fg-gateway: real processes behind loopback proxies,
under load and external faults, with the guarantees checked throughout.

Usage: tests/soak.py [--seed N] [--rounds N] [--gateways N] [--clients N]
       tests/soak.py --regressions     the seeds of soak_seeds.txt
Prints "ok soak-SEED" or "not ok soak-SEED" with the violations, and keeps the
logs of a failed run. Each round has four parts:
  faults    signals to instances, broken connections, failures of the store and
            of replicas, changes, and crowds of callers that keep to no limit
            overlap
  recovery  all instances must serve again within RECOVER_MAX_S
  planned   a planned stop, a change and a leaving replica, without faults
  stops     (last round) planned stops of several kinds while endpoints are
            silent or slow, with requests that outlast the grace
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

from crowd import Crowd, chunked_head, chunks, request_head
from hosted import (
    EVENTS, Gateway, HERE, HOST, MODEL, Replica, Store, broken_orders, http_get,
    make_config, send, wait_for)
from soak_callers import EagerCaller
from soak_judge import Call, Checker, STREAMS
from soak_proxy import DOWN, Proxy, UP

RECOVER_MAX_S = 12
CONFIG_MAX_S = 2.5
DRAIN_MAX_S = 2.5
PLACES = 64
CALLER_MEMORY_MB = 4
MEMORY_MAX_MB = 32 + CALLER_MEMORY_MB  # of an instance
STOP_MAX_S = 4  # the grace; then the process would be killed
ADAPTERS = 24
DISTURB_S = 5.0
SOCKET_TIMEOUT_S = 10.0
LONG_S = 6.0  # time limit and work of requests that outlast the grace
KINDS = {  # kind: (weight, method, time limit s, replicas at most)
    "draft": (5, "POST", 4.0, 2),
    "brief": (2, "POST", 4.0, 1),
    "order": (3, "POST", 1.5, 1),
    "lookup": (2, "GET", 1.5, 2),
}
LONG_KINDS = {  # kind: (method, replicas at most, kind of route, service)
    "long-brief": ("POST", 1, "streaming", "models"),
    "long-order": ("POST", 1, "unsafe", "orders"),
}


PF_EXITING = 0x4  # of the kernel's task flags


def is_exiting(pid):
    """The process has ended by itself or by a signal, and the kernel is still
    freeing its memory."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as f:
            return bool(int(f.read().rpartition(")")[2].split()[6]) & PF_EXITING)
    except FileNotFoundError:
        return True


def peak_memory_mb(pid):
    """The most resident memory of the process; 0 when it has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as f:
            return max([int(line.split()[1]) / 1024 for line in f
                        if line.startswith("VmHWM:")], default=0)
    except FileNotFoundError:
        return 0


class SoakGateway(Gateway):
    stop_grace_s = STOP_MAX_S

    def write_settings(self, store, extra=f"connections_max: {PLACES}\n"
                       f"caller_memory_mb: {CALLER_MEMORY_MB}\n"):
        super().write_settings(store, extra)


def make_soak_config(version, routes=()):
    names = [(k, f"/{k}/", *LONG_KINDS[k][2:], 1) for k in LONG_KINDS]
    names += [(n, f"/{n}/", "safe", "orders", 2) for n, _ in routes]
    return make_config(version, extra_routes=[
        {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
         "timeoutMs": int(LONG_S * 1000) if name in LONG_KINDS else 1500,
         "service": service, "maxAttempts": attempts}
        for name, prefix, kind, service, attempts in names])


class Soak:
    def __init__(self, seed, gateways, clients, restores):
        self.restores = restores  # the store may return from a copy, and
        # engines check no fencing numbers
        self.n_restored = 0
        self.announced = {}  # adapter -> version
        self.rand = random.Random(seed)
        self.seed = seed
        self.checker = Checker()
        self.checker.begin_fault("store")  # until all instances are ready
        self.config_version = 1
        self.routes = []  # (name, configuration version)
        self.running = True
        self.long_share = 0.0  # of requests that outlast the grace
        self.last_id = 0
        self.lock = threading.Lock()
        self._start(gateways)
        self.fronts = {g.front: Proxy(g.front) for g in self.gateways}
        self.threads = [threading.Thread(
            target=Caller(self, self.rand.random()).run, daemon=True)
            for _ in range(clients)]

    def _start(self, gateways):
        self.store = Store()
        self.store.put("op", "config", make_soak_config(1))
        self.replicas = []
        for i in range(4):
            self._add_replica(f"e{i}", "models", True)
        for i in range(4):
            self._add_replica(f"p{i}", "orders", False)
        self.folder = os.path.join("/tmp", f"soak-{os.getpid()}-{self.seed}")
        os.makedirs(self.folder, exist_ok=True)
        self.store_proxies = [Proxy(self.store.addr) for _ in range(gateways)]
        self.gateways = [SoakGateway(p.addr, f"g{i}", self.folder,
                                     fences_checked=not self.restores)
                         for i, p in enumerate(self.store_proxies)]
        self.incarnations = {g.name: 0 for g in self.gateways}

    def _add_replica(self, name, service, engine):
        proxies = []

        def map_addr(addr):
            proxies.append(Proxy(addr))
            return proxies[0].addr

        replica = Replica(self.store, name, service, engine, map_addr=map_addr,
                          on_run=lambda r, rid, _: self.checker.on_run(r, rid),
                          software=f"v{1 + len(self.replicas) % 2}")
        replica.proxy = proxies[0]
        replica.checks_fences = not self.restores
        self.replicas.append(replica)

    # Observed state.

    def all_ready(self):
        return all(g.popen.poll() is None and g.is_ready()
                   for g in self.gateways)

    def owned_count(self):
        return sum(len(g.owned_endpoints()) for g in self.gateways)

    def next_id(self):
        with self.lock:
            self.last_id += 1
            return f"s{self.seed}-{self.last_id}"

    def check_exits(self):
        """Reports instances that ended without a signal from the test."""
        for g in self.gateways:
            code = g.popen.poll()
            if code is not None and not getattr(g, "end_expected", False):
                self.checker.on_exit(g.name, code, ())
                g.end_expected = True

    def check_memory(self):
        for g in self.gateways:
            mb = peak_memory_mb(g.popen.pid)
            if mb > MEMORY_MAX_MB:
                self.checker.add_violation(
                    "MEMORY", f"{g.name} took {mb:.0f} MB")

    # Changes of operators and signals.

    def change_config(self):
        self.config_version += 1
        name = f"v{self.config_version}"
        self.routes = (self.routes + [(name, self.config_version)])[-6:]
        self.write_config()

    def write_config(self):
        self.store.put("op", "config", make_soak_config(self.config_version,
                                                        self.routes))

    def announce_version(self):
        adapter = f"a{self.rand.randrange(4)}"
        for r in self.replicas:
            if r.engine:
                r.versions[adapter] = r.versions.get(adapter, 1) + 1
                version = r.versions[adapter]
        self.announced[adapter] = version
        self.write_announcement(adapter)

    def write_announcement(self, adapter):
        self.store.put("op", f"version/{MODEL}.{adapter}", {
            "model": MODEL, "adapter": adapter,
            "version": self.announced[adapter]})

    def write_again(self):
        """Writes what a restored store may have lost."""
        self.write_config()
        for adapter in list(self.announced):
            self.write_announcement(adapter)
        names = {r.name for r in self.replicas}
        for replica in list(self.replicas):
            replica.register()
        for key in self.store.keys("servers"):
            if key not in names:
                self.store.remove("servers", key)

    def keep_copies(self):
        while self.running:
            if self.store.mode == "up":
                self.store.keep_copy()
            time.sleep(0.25)

    def start_gateway(self, g):
        self.incarnations[g.name] += 1
        g.end_expected = False
        g.start()

    def stop(self, g, how="once"):
        """Ends the instance with a planned stop. how: "once"; "twice", another
        SIGTERM follows; "frozen", the signal comes while it is paused."""
        began = time.monotonic()
        self.checker.stops[g.name, self.incarnations[g.name]] = (
            began, STOP_MAX_S)
        if how == "frozen":
            self.checker.begin_fault(f"{g.name} frozen")
            g.popen.send_signal(signal.SIGSTOP)
            time.sleep(0.3)
        g.end_expected = True
        started = g.has_started()
        g.popen.send_signal(signal.SIGTERM)
        if how != "once":
            time.sleep(1.0)
            g.popen.send_signal(
                signal.SIGTERM if how == "twice" else signal.SIGCONT)
        try:
            code = g.popen.wait(STOP_MAX_S)
        except subprocess.TimeoutExpired:
            if not is_exiting(g.popen.pid):
                self.checker.add_violation("STOP", f"{g.name} still runs "
                                           f"after {STOP_MAX_S} s")
                g.popen.kill()
            code = g.popen.wait()
        # The signal may come before the process handles it.
        self.checker.on_exit(g.name, code,
                             (0,) if started else (0, -signal.SIGTERM))
        self.checker.end_fault(f"{g.name} frozen")

    def check_sent(self, g):
        """The last start of the instance sent all that it had for callers."""
        with open(g.log_path, encoding="utf-8") as f:
            f.seek(g.log_offset)
            for line in f:
                if "event=unfinished" in line and " unsent_bytes=0 " not in line:
                    self.checker.add_violation("UNSENT", f"{g.name}: {line}")

    def restart(self, g, how):
        """Ends the instance with the signal `how` and starts it again."""
        if how == signal.SIGTERM:
            self.stop(g)
        else:
            self.check_exits()
            g.end_expected = True
            g.popen.send_signal(how)
            self.checker.on_exit(g.name, g.popen.wait(), (-how,))
        time.sleep(0.3)
        self.start_gateway(g)

    def replace_replica(self, planned):
        """Replaces a replica; the old one leaves if `planned`, else
        crashes."""
        old = self.rand.choice(self.replicas)
        kind = [r for r in self.replicas if r.engine == old.engine]
        if len(kind) < 3:
            return
        self.last_id += 1
        self.replicas.remove(old)
        self._add_replica(f"{old.name[0]}x{self.last_id}", old.service,
                          old.engine)
        self.checker.leaving[old.name] = (time.monotonic(), DRAIN_MAX_S)
        if planned:
            old.drain()

            def end():
                time.sleep(DRAIN_MAX_S + 2.0)
                self.store.remove("servers", old.name)
            threading.Thread(target=end, daemon=True).start()
        else:
            self.checker.last_fault[old.name] = time.monotonic() + 1e9
            old.crash()
            old.proxy.reset()
            time.sleep(0.5)
            self.store.remove("servers", old.name)


class Caller:
    """A client that looks up addresses, reuses its connection and checks the
    answers. Half of the clients use a connection until it is closed, even if
    the lookup no longer returns its address."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.rand = random.Random(seed)
        self.keeps_connection = self.rand.random() < 0.5
        self.addresses = []
        self.looked_up_at = 0.0
        self.conn = None
        self.front = None

    def run(self, ended=None):
        while self.soak.running and (ended is None or not ended.is_set()):
            try:
                self.send_one()
            except (OSError, http.client.HTTPException, ValueError):
                self.close()
            time.sleep(self.rand.uniform(0.01, 0.08))
        self.close()

    def close(self):
        if self.conn is not None:
            self.conn.close()
        self.conn = None

    def look_up(self):
        if time.monotonic() - self.looked_up_at < 2 and self.addresses:
            return
        g = self.rand.choice(self.soak.gateways)
        status, text = http_get(g.directory,
                                f"/api/resolve?name={HOST}&region=r1&zone=dc1")
        if status == 200:
            self.addresses = [a for a in json.loads(text)["addresses"]
                              if a in self.soak.fronts]
            self.looked_up_at = time.monotonic()

    def connect(self):
        self.look_up()
        if self.conn is not None and (
                self.keeps_connection or (self.front in self.addresses and
                                          self.rand.random() < 0.9)):
            return True
        self.close()
        if not self.addresses:
            return False
        self.front = self.rand.choice(self.addresses)
        host, port = self.soak.fronts[self.front].addr.split(":")
        self.conn = http.client.HTTPConnection(host, int(port),
                                               timeout=SOCKET_TIMEOUT_S)
        return True

    def choose_request(self):
        """Returns (kind, Call)."""
        soak = self.soak
        long = self.rand.random() < soak.long_share
        gateway = next(g for g in soak.gateways if g.front == self.front)
        version = 0
        if long:
            kind = self.rand.choice(list(LONG_KINDS))
            limit_s, runs = LONG_S, LONG_KINDS[kind][1]
        elif soak.routes and self.rand.random() < 0.15:
            kind, version = self.rand.choice(soak.routes)
            limit_s, runs = 1.5, 2
        else:
            kind = self.rand.choices(list(KINDS),
                                     [k[0] for k in KINDS.values()])[0]
            _, _, limit_s, runs = KINDS[kind]
        call = Call(soak.next_id(), kind, gateway.name,
                    soak.incarnations[gateway.name], limit_s, runs, version)
        call.outlasts_grace = long
        return kind, call

    def send_one(self):
        """Sends one request. Returns its Call, or None without an address."""
        if not self.connect():
            return None
        kind, call = self.choose_request()
        method = KINDS.get(kind, (0, "GET"))[1]
        target = f"/{kind}/{call.rid}"
        if call.outlasts_grace:
            method = LONG_KINDS[kind][0]
            work_s = LONG_S * self.rand.choice((0.5, 0.8, 1.0))
            target += f"?work_ms={int(work_s * 1000)}"
        adapter = f"{MODEL}/a{min(int(self.rand.expovariate(0.25)), ADAPTERS)}"
        fields = {"Host": HOST, "Request-Id": call.rid,
                  "Deadline-Ms": str(int(call.limit_s * 1000))}
        if kind in STREAMS:
            fields.update({"Model": adapter, "Token-Count": "100,20"})
        self.soak.checker.on_sent(call)
        status, body, whole = 0, b"", False
        try:
            self.conn.request(method, target, self.make_body(method), fields)
            res = self.conn.getresponse()
            status = res.status
            body = res.read()
            whole = True
            if res.getheader("Connection") == "close":
                self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        self.soak.checker.on_answered(
            call, status, whole,
            is_expected_body(kind, call.rid, adapter, body))
        return call


    def make_body(self, method):
        """Some bodies come in chunks that take their time."""
        if method != "POST" or self.rand.random() >= self.soak.long_share / 2:
            return b"x" if method == "POST" else None

        def chunks():
            for _ in range(3):
                yield b"x"
                time.sleep(self.rand.choice((0.0, 0.05, 0.2)))
        return chunks()


def is_expected_body(kind, rid, adapter, body):
    text = body.decode("latin-1")
    if kind in STREAMS:
        got = [x.rsplit(" ", 1) for x in text.split("\n")
               if x.startswith("data:")]
        want = [f"data: piece {i} {rid} {adapter}"
                for i in range(1, EVENTS + 1)]
        one_software = len({software for _, software in got}) == 1
        return [piece for piece, _ in got] == want and one_software
    return text.startswith("done by ") and text.endswith(f" for {rid}")


# ---- Faults: each applies a fault, waits and undoes it ----


def pause_gateway(soak, rand):
    g = rand.choice(soak.gateways)
    soak.checker.begin_fault(g.name)
    g.popen.send_signal(signal.SIGSTOP)
    time.sleep(rand.choice((0.2, 0.7, 2.5, 5.0)))
    g.popen.send_signal(signal.SIGCONT)
    soak.checker.end_fault(g.name)


def kill_gateway(soak, rand):
    some = rand.sample(soak.gateways, rand.choice((1, 1, 2, 3)))
    for g in some:
        soak.checker.begin_fault(g.name)
    for g in some:
        soak.restart(g, signal.SIGKILL)
    for g in some:
        soak.checker.end_fault(g.name)


def stop_gateway(soak, rand):
    g = rand.choice(soak.gateways)
    soak.checker.begin_fault(g.name)  # other faults may coincide with the stop
    soak.restart(g, signal.SIGTERM)
    soak.checker.end_fault(g.name)


def break_connections(soak, rand, proxy):
    how = rand.choice(("reset", "silence", "up", "down", "delay", "refuse"))
    if how == "reset":
        proxy.reset()
    elif how == "silence":
        proxy.silence(include_new=rand.random() < 0.5)
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
    soak.checker.begin_fault(name)
    break_connections(soak, rand, soak.store_proxies[i])
    soak.checker.end_fault(name)


def spoil_front(soak, rand):
    g = rand.choice(soak.gateways)
    soak.checker.begin_fault(g.name)
    break_connections(soak, rand, soak.fronts[g.front])
    soak.checker.end_fault(g.name)


def spoil_replica_path(soak, rand):
    replica = rand.choice(soak.replicas)
    begin = time.monotonic()
    for g in soak.gateways:
        soak.checker.begin_fault(g.name)
    break_connections(soak, rand, replica.proxy)
    replica.path_faults.append((begin, time.monotonic() + 1.0))
    for g in soak.gateways:
        soak.checker.end_fault(g.name)


def spoil_store(soak, rand):
    soak.checker.begin_fault("store")
    how = rand.choice(("busy", "reset", "silent", "slow", "lost", "late",
                       "history"))
    store = soak.store
    if how == "slow":
        store.feed_delay_s = 0.8
    elif how in ("lost", "late"):
        store.tx_delay_s = 1.5 if how == "late" else 0
        store.lost_tx_answers = 5
    elif how == "history":
        store.drop_history()
    else:
        store.mode = how
    time.sleep(rand.uniform(0.2, 4.0))
    store.mode = "up"
    store.feed_delay_s = 0
    store.lost_tx_answers = 0
    soak.checker.end_fault("store")


def spoil_answers(soak, rand):
    replica = rand.choice(soak.replicas)
    words = ["not_run", "lost", "silent"]
    words += ["cut", "order_lost"] if replica.engine else \
        ["error", "stray", "reset_body", "cut_end"]
    soak.checker.last_fault[replica.name] = time.monotonic() + 5
    replica.faults[rand.choice(words)] = rand.randint(1, 4)


def restart_replica(soak, rand):
    replica = rand.choice(soak.replicas)
    soak.checker.last_fault[replica.name] = time.monotonic() + 5
    replica.restart_empty()
    replica.proxy.reset()


def change(soak, rand):
    for _ in range(rand.choice((1, 1, 4))):
        soak.change_config()
        time.sleep(rand.choice((0.0, 0.1)))
    if rand.random() < 0.5:
        soak.announce_version()


def replace(soak, rand):
    soak.replace_replica(rand.random() < 0.5)


def restore_store(soak, rand):
    """The store returns from a copy some seconds old. Operators and replicas
    write again what it has lost."""
    soak.checker.begin_fault("store")
    if soak.store.restore(rand.uniform(0.2, 5.0), rand.uniform(0.1, 1.5)):
        soak.n_restored += 1
        time.sleep(rand.uniform(0.1, 1.0))
        soak.write_again()
    time.sleep(1.0)
    soak.checker.end_fault("store")


DISTURBANCES = (
    pause_gateway, kill_gateway, stop_gateway, spoil_store_path, spoil_front,
    spoil_replica_path, spoil_store, spoil_answers, restart_replica, change,
    replace)


DISTURBANCES_WITH_RESTORES = DISTURBANCES + 5 * (restore_store,)


def crowd_callers(soak, rand):
    """Callers that send bodies, heads or nothing, and stay for a while."""
    g = rand.choice(soak.gateways)
    address = rand.choice((g.front, g.front, g.directory, g.ready, g.mesh))
    data, piece = rand.choice((
        (chunked_head(deadline_ms=0) + chunks(60000, 1000), b"1\r\nx\r\n"),
        (chunked_head() + chunks(200000, 5000), b"1\r\nx\r\n"),
        (b"POST /order/1 HTTP/1.1\r\nX: " + b"y" * 6000, b"y"),
        (request_head("/none/1", "GET")[0] * 50, b""), (b"", b"")))
    soak.checker.begin_fault(g.name)
    with Crowd(address, rand.choice((20, PLACES + 20)), data,
               reads=rand.random() < 0.5) as crowd:
        crowd.push()
        crowd.drip(piece)
        time.sleep(rand.uniform(0.2, 2.0))
    soak.checker.end_fault(g.name)


def run_crowds(soak, rand):
    """Besides the other faults, whose choices do not depend on these."""
    for _ in range(rand.choice((1, 2, 3))):
        crowd_callers(soak, rand)


def disturb(soak):
    """Applies overlapping faults for DISTURB_S, chosen by the seed."""
    end = time.monotonic() + DISTURB_S
    threads = []
    locks = {name: threading.Lock() for name in (
        "gateway", "path", "store", "replica")}
    kinds = {pause_gateway: "gateway", kill_gateway: "gateway",
             stop_gateway: "gateway", spoil_store: "store",
             restore_store: "store"}
    choices = DISTURBANCES_WITH_RESTORES if soak.restores else DISTURBANCES

    def run(action, rand):
        with locks[kinds.get(action, "replica" if action in (
                restart_replica, replace) else "path")]:
            action(soak, rand)

    applied = []
    while time.monotonic() < end:
        action = soak.rand.choice(choices)
        rand = random.Random(soak.rand.random())
        applied.append(action.__name__)
        threads.append(threading.Thread(target=run, args=(action, rand)))
        threads[-1].start()
        time.sleep(soak.rand.choice((0.0, 0.1, 0.5, 1.0)))
    for thread in threads:
        thread.join()
    return applied


def recover(soak):
    """Waits until all instances serve and all engines have an owner."""
    begin = time.monotonic()
    wait_for("all instances are ready", soak.all_ready, RECOVER_MAX_S)
    engines = [r for r in soak.replicas if r.engine]
    wait_for("engines have an owner",
             lambda: soak.owned_count() >= len(engines), RECOVER_MAX_S)
    for g in soak.gateways:
        for kind in KINDS:
            wait_for(f"{kind} at {g.name}",
                     lambda k=kind, n=g: is_served(soak, n, k),
                     max(0.5, begin + 2 * RECOVER_MAX_S - time.monotonic()))


def is_served(soak, gateway, kind):
    caller = Caller(soak, 1)
    caller.addresses = [gateway.front]
    caller.looked_up_at = time.monotonic()
    try:
        caller.connect()
        _, method, limit_s, runs = KINDS[kind]
        caller.choose_request = lambda: (kind, Call(
            soak.next_id(), kind, gateway.name,
            soak.incarnations[gateway.name], limit_s, runs, 0))
        return caller.send_one().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        caller.close()


def run_planned_part(soak):
    """Without faults: a change, a leaving replica, a planned stop under
    load."""
    time.sleep(4.2)  # longer than AFTER_FAULT_S: earlier faults excuse nothing
    soak.change_config()
    name, _ = soak.routes[-1]
    begin = time.monotonic()
    soak.replace_replica(True)
    g = soak.rand.choice(soak.gateways)
    for other in soak.gateways:
        left = begin + CONFIG_MAX_S - time.monotonic()
        wait_for(f"route {name} at {other.name}",
                 lambda n=other: is_route_served(soak, n, name),
                 max(left, 0.05))
    soak.restart(g, signal.SIGTERM)
    wait_for("all instances are ready", soak.all_ready, RECOVER_MAX_S)


# ---- Planned stops while endpoints are silent or slow ----


def hold_up_endpoints(soak, rand, done):
    """Again and again, all or some endpoints of a service, or of both, fall
    silent or work at a fifth of their speed."""
    while not done.wait(rand.uniform(0.2, 1.0)):
        service = rand.choice(("models", "orders", ""))
        some = [r for r in soak.replicas if service in ("", r.service)]
        if rand.random() < 0.5:
            some = rand.sample(some, max(1, len(some) // 2))
        length_s = rand.uniform(0.3, 3.0)
        begin = time.monotonic()
        soak.checker.pauses.append((begin, begin + length_s))
        slow = rand.random() < 0.4
        for replica in some:
            if slow:
                replica.slowness = 5.0
            else:
                replica.silent_until = begin + length_s
        done.wait(length_s)
        for replica in some:
            replica.slowness = 1.0
            replica.silent_until = 0.0
        soak.checker.pauses.append((begin, time.monotonic()))


def stop_and_start(soak, g, how, soon_s):
    soak.stop(g, how)
    soak.check_sent(g)
    time.sleep(0.3)
    soak.start_gateway(g)
    if soon_s is not None:
        time.sleep(soon_s)
        soak.stop(g)
        soak.start_gateway(g)


def start_kept_callers(soak, rand, g, n, ended):
    """Starts callers that keep a connection to the instance: n that send one
    request at a time, and n that send in advance."""
    for _ in range(n):
        seed = rand.random()
        caller = Caller(soak, seed)
        caller.keeps_connection = True
        caller.addresses = [g.front]
        caller.looked_up_at = time.monotonic()
        eager = EagerCaller(soak, g, KINDS, is_expected_body, seed)
        for target in (caller.run, eager.run):
            soak.threads.append(threading.Thread(target=target, args=(ended,),
                                                 daemon=True))
            soak.threads[-1].start()


def run_stops_part(soak, rand):
    done = threading.Event()
    holder = threading.Thread(target=hold_up_endpoints, args=(
        soak, random.Random(rand.random()), done))
    some = rand.sample(soak.gateways, 2)
    soak.long_share = 0.2
    for g in some:
        start_kept_callers(soak, rand, g, 4, done)
    time.sleep(1.0)  # long requests are in progress
    holder.start()
    stops = [threading.Thread(target=stop_and_start, args=(
        soak, g, rand.choice(("once", "once", "twice", "frozen")),
        rand.choice((None, None, 0.0, 0.02, 0.3)))) for g in some]
    between_s = rand.choice((0.0, 2.0, STOP_MAX_S + 0.5))
    for thread in stops:
        thread.start()
        soak.change_config()
        time.sleep(between_s)
    for thread in stops:
        thread.join()
    soak.long_share = 0.0
    done.set()
    holder.join()
    wait_for("all instances are ready", soak.all_ready, RECOVER_MAX_S)


def is_route_served(soak, gateway, name):
    call = Call(soak.next_id(), name, gateway.name,
                soak.incarnations[gateway.name], 1.5, 2, soak.config_version)
    soak.checker.on_sent(call)
    status = send(gateway.front, f"/{name}/x", call.rid, method="GET",
                  body=None, headers={"Deadline-Ms": "1500"},
                  timeout_s=3).status
    return status not in (0, 404, 503)


def check_orders(soak):
    for replica in soak.replicas:
        holders = {}
        for i, order in broken_orders(replica) if soak.restores else []:
            soak.checker.add_violation(
                "ONE", f"{replica.name}: order {i}, {order}")
        for holder, fence, _, _, status in replica.orders:
            if status == 412:
                continue
            if status == 0:
                soak.checker.add_violation(
                    "LIMIT", f"{replica.name}: too many adapters")
            elif holders.setdefault(fence, holder) != holder:
                soak.checker.add_violation(
                    "ONE", f"{replica.name}: two holders of "
                    f"{fence}")


def run(seed, rounds, gateways, clients, restores):
    soak = Soak(seed, gateways, clients, restores)
    applied = []
    try:
        wait_for("all instances are ready", soak.all_ready)
        soak.checker.end_fault("store")
        for thread in soak.threads:
            thread.start()
        if restores:
            threading.Thread(target=soak.keep_copies, daemon=True).start()
        for i in range(rounds):
            crowds = threading.Thread(target=run_crowds, args=(
                soak, random.Random(f"{seed} {i}")))
            crowds.start()
            applied += disturb(soak)
            crowds.join()
            soak.check_exits()
            soak.check_memory()
            recover(soak)
            run_planned_part(soak)
            soak.check_exits()
            if i == rounds - 1:
                run_stops_part(soak, random.Random(seed))
                soak.check_exits()
    except AssertionError as why:
        soak.checker.add_violation("RECOVER", str(why))
    finally:
        soak.running = False
        for thread in soak.threads:
            thread.join(SOCKET_TIMEOUT_S + 1)
        check_orders(soak)
        for g in soak.gateways:
            g.kill()
    return report(soak, applied)


def report(soak, applied):
    bad = soak.checker.violations
    words = ", ".join(f"{k} {v}"
                      for k, v in sorted(soak.checker.counts.items()))
    print(f"{'not ok' if bad else 'ok'} soak-{soak.seed}: "
          f"{len(soak.checker.calls)} requests, {len(applied)} disturbances, "
          f"{soak.n_restored} returns of the store")
    print(f"  {words}")
    if not bad:
        shutil.rmtree(soak.folder, ignore_errors=True)
        return True
    for line in bad[:20]:
        print(f"  {line}")
    print(f"  disturbances: {' '.join(applied)}")
    print(f"  logs: {soak.folder}")
    return False


def read_regression_seeds():
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
    parser.add_argument("--restores", action="store_true",
                        help="the store returns from older copies; engines "
                        "check no fencing numbers")
    args = parser.parse_args()
    seeds = read_regression_seeds() if args.regressions else [args.seed]
    results = [run(seed, args.rounds, args.gateways, args.clients,
                   args.restores)
               for seed in seeds]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

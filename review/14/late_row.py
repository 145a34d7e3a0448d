"""A write that the store performs late brings back the row of an ended process.
The live process of that name is no longer known to the others, and both sides
keep the accounts of tenants.

Three gateways, one engine, six tenants, each of which asks for more than its
allotment. For 4.5 s the store loses the answers to some writes and performs them
late: this hits the first write of g0, its own row. g0 is killed 2.2 s after its
start and started again; the late write takes effect after the row of the new
process was written."""

import json
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-3"))
import rig  # noqa: E402

TENANTS = 6
RATE_PER_S = 20000  # tokens
BURST = 20000
TOKENS = (2000, 400)
DEMAND = 2.4  # of the rate, of each tenant
MEASURE_S = 24
WINDOW_S = 8
EXCESS = 0.1
SLACK = 17000
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
LOST_FOR_S = 4.5  # platform_lost
LATE_S = 5.0  # done 1 to 6 s later
KILL_AFTER_S = 2.2
RESTART_S = 0.3

# Bounds of kv-ledger-grown, under the names of deploy/gateway.yaml.
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 176, "stop_grace_s": 8,
          "version_ms": 5000, "drain_ms": 4000, "turn_ms": 3000,
          "first_start": "false", "fences_checked": "true", "lookup_ttl_s": 2,
          "connections_max": 2000, "revoke_ms": 5000, "revoke_strict": "false",
          "quota_window_s": WINDOW_S, "quota_excess": EXCESS,
          "quota_slack": SLACK}

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "slip-sort", "host": rig.HOST, "prefix": "/slip/",
         "kind": "streaming", "timeoutMs": 8000, "service": "models",
         "targetLatencyMs": 1000, "gapTargetMs": 400, "priority": 1,
         "maxAttempts": 1, "resumable": False, "sticky": True,
         "anonymous": False}],
    "services": [{"name": "models", "engine": {
        "slots": 64, "kvCapacity": 133001, "adapterSlots": 6,
        "models": [{"name": rig.MODEL, "adapters": 100}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": f"tenant{i}", "apiKeys": [f"key-of-tenant-{i}"],
                 "priority": 1, "unit": "token_count", "plainTokens": 200,
                 "ratePerS": RATE_PER_S, "burst": BURST}
                for i in range(TENANTS)]}


class LateStore(rig.Store):
    """For LOST_FOR_S, loses the answer to the first write that comes through the
    view in `late_view`, and performs that write LATE_S later."""

    def __init__(self, record):
        self.record = record
        self.late_view = None
        self.late_until = 0.0
        self.writes = []  # (time, whether its answer was lost)
        super().__init__()

    def lose_next_write(self, view):
        self.late_view = view
        self.late_until = time.monotonic() + LOST_FOR_S

    def perform_late(self, tx):
        time.sleep(LATE_S)
        status, body = self.transact(tx)
        self.record.add("late_write", status=status, ver=body.get("ver"),
                        keys=",".join(w["key"] for w in tx["writes"]))

    def handle(self, req):
        if not req.target.startswith("/api/rows-tx"):
            return super().handle(req)
        tx = json.loads(req.body)
        keys = ",".join(w["key"] for w in tx["writes"])
        now = time.monotonic()
        lost = (getattr(req, "view", None) == self.late_view and
                now < self.late_until)
        self.writes.append((now, lost))
        if not lost:
            self.record.add("write", keys=keys)
            return super().handle(req)
        self.late_view = None
        self.record.add("write_unanswered", keys=keys)
        threading.Thread(target=self.perform_late, args=(tx,),
                         daemon=True).start()
        req.sock.recv(1)  # nothing more comes on this channel
        return False


class Load:
    def __init__(self, record, gateways, engine, end):
        self.record = record
        self.gateways = gateways
        self.engine = engine
        self.end = end
        self.lock = threading.Lock()
        self.n = 0
        self.sent = {}  # id -> tenant
        self.answers = {}

    def requester(self, tenant, seed, interval_s):
        chooser = random.Random(seed)
        while time.monotonic() < self.end:
            begin = time.monotonic()
            gateway = chooser.choice(self.gateways)
            with self.lock:
                self.n += 1
                rid = f"slip-{self.n}"
                self.sent[rid] = tenant
            answer = rig.ask(gateway.front, rig.request_bytes(
                "/slip/1", rid, body=b"p" * 200, deadline_ms=8000, headers=[
                    ("Authorization", f"Bearer key-of-tenant-{tenant}"),
                    ("Model", f"{rig.MODEL}/a{1 + tenant % 3}"),
                    ("Token-Count", "%d,%d" % TOKENS),
                    ("Prompt-Prefix", f"aa:1500,{seed + 16:x}:500")]), 9)
            self.record.add("answered", id=rid, tenant=tenant, by=gateway.name,
                            status=answer.status)
            with self.lock:
                key = (gateway.name, answer.status)
                self.answers[key] = self.answers.get(key, 0) + 1
            time.sleep(max(0.0, begin + interval_s *
                           chooser.uniform(0.5, 1.5) - time.monotonic()))


def most_in_a_window(times):
    """Most tokens of runs within any window."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, (last - first + 1) * sum(TOKENS))
    return most


def knows(gateway, name):
    """Whether the gateway counts the instance as alive."""
    state = rig.get_page(gateway.metrics, "/state")[1]
    return any(line.startswith(f"peer {name} ") and "alive=1" in line
               for line in state.splitlines())


def case(record, folder, gateways):
    store = LateStore(record)
    store.put("op", "config", CONFIG)
    engine = rig.Replica(store, "e0", "models", True, dc="z1")
    engine.event_interval_s = 0.005
    ran = {}  # id -> time

    def on_run(replica, rid, headers):
        ran[rid] = time.monotonic()
        record.add("run", id=rid, tenant=headers.get("tenant"))
    engine.on_run = on_run

    for i in range(3):
        gateways.append(rig.Gateway(f"g{i}", store.add_view(), folder, BOUNDS))
    g0, others = gateways[0], gateways[1:]
    for gateway in others:
        gateway.start_first(record)
    time.sleep(3)

    if rig.TROUBLE:
        store.lose_next_write(store.views[0].addr)
    begin = time.monotonic()
    g0.start()
    record.add("started", gateway="g0")
    rig.wait_for("ready", g0.is_ready)
    if rig.TROUBLE:
        time.sleep(max(0, begin + KILL_AFTER_S - time.monotonic()))
        g0.kill()
        record.add("killed", gateway="g0")
        time.sleep(RESTART_S)
        g0.start()
        record.add("started", gateway="g0")
        rig.wait_for("ready", g0.is_ready)
    time.sleep(max(0, begin + LATE_S + 3 - time.monotonic()))
    in_window = [lost for at, lost in store.writes
                 if begin <= at < begin + LOST_FOR_S]
    record.add("writes", n=len(in_window), unanswered=sum(in_window))

    end = time.monotonic() + MEASURE_S
    load = Load(record, gateways, engine, end)
    per_tenant = 8
    interval_s = per_tenant * sum(TOKENS) / (RATE_PER_S * DEMAND)
    threads = [threading.Thread(target=load.requester,
                                args=(t, t * per_tenant + k, interval_s))
               for t in range(TENANTS) for k in range(per_tenant)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    for gateway in others:
        record.add("view", of=gateway.name, g0_alive=int(knows(gateway, "g0")))
    record.add("view", of="g0", g1_alive=int(knows(g0, "g1")),
               g2_alive=int(knows(g0, "g2")))
    for (name, status), count in sorted(load.answers.items()):
        record.add("answers", gateway=name, status=status, n=count)
    if not any(status == 429 for _, status in load.answers):
        raise rig.CannotRun("no tenant reached its allotment")
    broken = 0
    for tenant in range(TENANTS):
        most = most_in_a_window(sorted(
            at for rid, at in ran.items() if load.sent.get(rid) == tenant))
        broken += most > BOUND
        record.add("judged", tenant=tenant, most_in_8_s=most,
                   bound=int(BOUND))
    print(f"{broken} of {TENANTS} tenants were served more than their bound "
          f"of {int(BOUND)} tokens in {WINDOW_S} s")
    return rig.BROKEN if broken else rig.HELD


rig.run_case(case, __file__)

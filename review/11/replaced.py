"""After as many machines were replaced as there are, no request of a tenant with
an allotment is served any more.

Three gateways, one engine, three tenants which ask for a third of their
allotments. One after the other, each machine is replaced as planned work: a new
one starts under another name at another address, then the old one gets SIGTERM
and leaves for good. Some seconds after the third replacement comes the final
fault: all processes are killed, and are back a second later. The rows of the
three machines that left are still in the store, and the three that live are no
majority of six."""

import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-3"))
import rig  # noqa: E402

REPLACED = rig.TROUBLE and os.environ.get("REPLACED", "1") != "0"
TENANTS = 3
RATE_PER_S = 20000  # tokens
TOKENS = (1500, 300)
DEMAND = 0.33  # of the rate
REQUESTERS = 4  # of each tenant
REPLACE_AT_S = (6, 15, 24)  # seconds of traffic
OLD_LEAVES_S = 1.0  # replace_core, planned: the new one first
FINAL_AT_S = 36
DOWN_S = 1.0
RECOVER_S = 15
MEASURE_S = 20
SERVED_PART = 0.25  # RECOVER: less than a quarter is served

# Bounds of kv-ledger-grown, under the names of deploy/gateway.yaml.
BOUNDS = {"retry_ratio": 0.2, "retry_slack": 176, "stop_grace_s": 8,
          "version_ms": 5000, "drain_ms": 4000, "turn_ms": 3000,
          "first_start": "true", "fences_checked": "true", "lookup_ttl_s": 2,
          "connections_max": 2000, "revoke_ms": 5000, "revoke_strict": "false",
          "quota_window_s": 8, "quota_excess": 0.1, "quota_slack": 17000}

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
                 "ratePerS": RATE_PER_S, "burst": RATE_PER_S}
                for i in range(TENANTS)]}


class Load:
    def __init__(self, record, serving):
        self.record = record
        self.serving = serving  # gateways that requesters are told of
        self.lock = threading.Lock()
        self.n = 0
        self.done = []  # (time of the sending, status, whole)
        self.ended = False

    def requester(self, tenant, seed):
        chooser = random.Random(seed)
        interval_s = REQUESTERS * sum(TOKENS) / (RATE_PER_S * DEMAND)
        time.sleep(chooser.random() * interval_s)
        while not self.ended:
            begin = time.monotonic()
            gateway = chooser.choice(self.serving)
            with self.lock:
                self.n += 1
                rid = f"slip-{self.n}"
            answer = rig.ask(gateway.front, rig.request_bytes(
                "/slip/1", rid, body=b"p" * 200, deadline_ms=8000, headers=[
                    ("Authorization", f"Bearer key-of-tenant-{tenant}"),
                    ("Model", f"{rig.MODEL}/a{1 + tenant}"),
                    ("Token-Count", "%d,%d" % TOKENS),
                    ("Prompt-Prefix", f"aa:1200,{seed + 16:x}:300")]), 9)
            self.record.add("answered", id=rid, tenant=tenant, by=gateway.name,
                            status=answer.status, whole=int(answer.whole))
            self.done.append((begin, answer.status, answer.whole))
            time.sleep(max(0.0, begin + interval_s *
                           chooser.uniform(0.5, 1.5) - time.monotonic()))

    def served(self, begin, end):
        """Returns how many requests of that time were served, and sent."""
        part = [d for d in self.done if begin <= d[0] < end]
        return sum(d[1] == 200 and d[2] for d in part), len(part)


def wait_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


def case(record, folder, gateways):
    store = rig.Store()
    store.put("op", "config", CONFIG)
    engine = rig.Replica(store, "e0", "models", True, dc="z1")
    engine.on_run = lambda replica, rid, headers: record.add(
        "run", id=rid, tenant=headers.get("tenant"))
    serving = []

    def add(i):
        gateway = rig.Gateway(f"g{i}", store.addr, folder, BOUNDS)
        gateways.append(gateway)
        gateway.start_first(record)
        return gateway

    for i in range(3):
        serving.append(add(i))
    time.sleep(3)

    load = Load(record, serving)
    threads = [threading.Thread(target=load.requester,
                                args=(t, t * REQUESTERS + k))
               for t in range(TENANTS) for k in range(REQUESTERS)]
    begin = time.monotonic()
    for thread in threads:
        thread.start()
    for i, at_s in enumerate(REPLACE_AT_S if REPLACED else ()):
        wait_until(begin + at_s)
        new = add(3 + i)
        old = serving[0]
        serving.append(new)
        time.sleep(OLD_LEAVES_S)
        serving.remove(old)
        old.process.send_signal(signal.SIGTERM)
        old.process.wait(8)
        record.add("left", gateway=old.name, code=old.process.returncode)
    wait_until(begin + FINAL_AT_S)
    final_at = time.monotonic()
    if rig.TROUBLE:
        for gateway in serving:
            gateway.kill()
            record.add("killed", gateway=gateway.name)
        time.sleep(DOWN_S)
        for gateway in serving:
            gateway.start()
            record.add("started", gateway=gateway.name)
    for gateway in serving:
        rig.wait_for("ready", gateway.is_ready)
    back_at = time.monotonic()
    wait_until(back_at + RECOVER_S + MEASURE_S)
    load.ended = True
    for thread in threads:
        thread.join()

    before, sent_before = load.served(begin, final_at)
    after, sent_after = load.served(back_at + RECOVER_S,
                                    back_at + RECOVER_S + MEASURE_S)
    rows = sorted(store.keys("fulmargauge", "instance/"))
    record.add("rows", instances=",".join(k.split("/")[1] for k in rows))
    for gateway in serving:
        lines = gateway.log().splitlines()
        record.add("refusals", gateway=gateway.name, limit_unknown=sum(
            "reason=limit_unknown" in line for line in lines))
    record.add("judged", served_before=before, sent_before=sent_before,
               served_after=after, sent_after=sent_after)
    print(f"{before} of {sent_before} requests were served before the final "
          f"fault, {after} of {sent_after} later than {RECOVER_S} s after it")
    if sent_after == 0 or before < sent_before * SERVED_PART:
        raise rig.CannotRun("too little was served before the final fault")
    return rig.BROKEN if after < sent_after * SERVED_PART else rig.HELD


rig.run_case(case, __file__)

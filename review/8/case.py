"""Rare adapters are asked for at once at replicas whose memory holds fewer
adapters than they have places."""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))

import deployment as dep  # noqa: E402

WEIGHTS_MB = 66000.0  # for weights and adapters together
MODEL_MB = 65500.0
ADAPTER_MB = 150.0  # three fit
ADAPTER_SLOTS = 6
EVENTS_S = 0.4  # of one event
BACK_S = 2.0


class Engine(dep.Replica):
    """Crashes when it is ordered to load more than it holds, and restarts
    empty."""

    def __init__(self, *args, **kwargs):
        self.too_much = []  # (adapter, MB that it would hold)
        self.down = False
        super().__init__(*args, **kwargs)
        self.load_s = 0.25
        self.event_interval_s = EVENTS_S / 6

    def _apply_order(self, body):
        status = super()._apply_order(body)
        held = set(self.adapters) | set(self.loading)
        mb = MODEL_MB + ADAPTER_MB * len(held)
        if not self.down and status == 202 and body["opcode"] == "load" and (
                mb > WEIGHTS_MB or len(held) > ADAPTER_SLOTS):
            self.down = True
            self.too_much.append((body.get("adapter"), mb))
            threading.Thread(target=self.fall, daemon=True).start()
        return status

    def fall(self):
        self.restart_empty(has_base=True, down_s=BACK_S)
        self.down = False


def play(record, trouble):
    config = dep.make_config(1, engine={
        "adapterSlots": ADAPTER_SLOTS, "weightsMb": WEIGHTS_MB,
        "models": [{"name": dep.MODEL, "weightsMb": MODEL_MB, "loadS": 3.9,
                    "adapters": 100, "adapterMb": ADAPTER_MB}]})
    d = dep.Deployment(config, engine_class=Engine)
    results = []

    def ask(n, machine, adapter):
        rid = f"draft-{n}"
        record.add(f"sent {rid} to {machine.name}, adapter {adapter}")
        status, _, body = dep.http(machine.front, "POST", "/draft/1", {
            "Request-Id": rid, "Deadline-Ms": 8000, "Token-Count": "100,20",
            "Model": f"{dep.MODEL}/{adapter}"}, b"x", 9)
        whole = status == 200 and body.count(b"id: ") == 6
        record.add(f"answered {rid} {status}, {'whole' if whole else 'not whole'}")
        results.append((rid, status, whole))

    threads = []
    for n in range(36):
        adapter = f"a{1 + n % (18 if trouble else 3)}"
        threads.append(threading.Thread(
            target=ask, daemon=True,
            args=(n, d.machines[n % len(d.machines)], adapter)))
        threads[-1].start()
        time.sleep(0.05)
    for t in threads:
        t.join(12)
    for e in d.engines:
        record.add(f"replica {e.name} orders {e.orders}")
        record.add(f"replica {e.name} ran {e.run_ids}")
    broken = []
    for e in d.engines:
        for adapter, mb in e.too_much:
            broken.append(f"LIMIT: {e.name} was ordered to load {adapter}, "
                          f"with which it would hold {mb:.0f} MB of "
                          f"{WEIGHTS_MB:.0f}")
    cut = [r for r in results if r[1] == 200 and not r[2]]
    ran = {rid for e in d.engines for rid in e.run_ids}
    failed = [r for r in results if not r[2] and r[0] in ran]
    record.add(f"{len(results)} requests, {len(cut)} streams cut, "
               f"{len(failed)} begun and not answered in full")
    return broken


dep.run_case(__file__, play)

"""The other half of the fault of case.py: machines are stopped and started in turn
while tenants, all within their limits, send orders whose time limit passes while a
replica works on them."""

import os
import random
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-2"))

import deployment as dep  # noqa: E402

TENANTS = tuple(f"tenant-{i}" for i in range(16))
SENDERS = 12  # of each tenant, some 27 orders a second together
PLAIN_TOKENS = 600
LIMIT_PER_S = 200  # orders
DEADLINE_MS = 300
WORK_S = (0.6, 1.4)
PAUSE_S = (0.05, 0.25)  # of a sender, between an answer and its next order
CONTACT_S = 4  # contactMs: all machines are in touch at each stop
PLAY_S = 75

dep.BOUNDS.update({"revokeMs": 5000, "revokeStrict": False,
                   "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 17000})


class Play:
    def __init__(self, record, machines):
        self.record = record
        self.over = False
        self.serving = set(machines)
        self.lock = threading.Lock()
        self.sent = 0
        self.statuses = {}
        self.refused = []

    def next_id(self):
        with self.lock:
            self.sent += 1
            return f"order-{self.sent}"

    def note(self, rid, status):
        with self.lock:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status in (429, 503):
                self.refused.append(rid)
                self.record.add(f"answered {rid} {status}")

    def send_orders(self, tenant, seed):
        rand = random.Random(seed)
        while not self.over:
            time.sleep(rand.uniform(*PAUSE_S))
            machines = list(self.serving)
            if not machines:
                continue
            try:
                client = dep.Client(rand.choice(machines).front)
                for _ in range(4):
                    rid = self.next_id()
                    client.send("POST", "/order/1", {
                        "Request-Id": rid, "Deadline-Ms": DEADLINE_MS,
                        "Authorization": f"Bearer key-of-{tenant}"},
                        b"12 crates")
                    status, fields, _ = client.receive(5)
                    self.note(rid, status)
                    time.sleep(rand.uniform(*PAUSE_S))
                    if fields.get("connection") == "close":
                        break
                client.close()
            except OSError:
                self.note(None, 0)


def make_config():
    config = dep.make_config(1)
    config["tenants"] = [{
        "name": name, "apiKeys": [f"key-of-{name}"], "priority": 1,
        "unit": "token_count", "plainTokens": PLAIN_TOKENS,
        "ratePerS": LIMIT_PER_S * PLAIN_TOKENS,
        "burst": LIMIT_PER_S * PLAIN_TOKENS} for name in TENANTS]
    return config


def restart(d, p, machine):
    p.record.add(f"SIGTERM to {machine.name}")
    p.serving.discard(machine)
    machine.popen.send_signal(signal.SIGTERM)
    p.record.add(f"{machine.name} ended, status {machine.popen.wait(12)}")
    time.sleep(0.3)
    machine.start()
    d.wait("ready again", machine.is_ready)
    p.serving.add(machine)
    time.sleep(CONTACT_S + 0.2)


def play(record, trouble):
    d = dep.Deployment(make_config(), engines=0)
    for plain in d.plains:
        plain.duration_s = lambda req, usual_s: random.uniform(*WORK_S)
    p = Play(record, d.machines)
    threads = [threading.Thread(target=p.send_orders, args=(tenant, i),
                                daemon=True)
               for tenant in TENANTS for i in range(SENDERS)]
    for t in threads:
        t.start()
    time.sleep(CONTACT_S)
    end = time.monotonic() + PLAY_S
    n = 0
    while time.monotonic() < end - 8:
        if trouble:
            n += 1
            restart(d, p, d.machines[n % len(d.machines)])
        else:
            time.sleep(2)
    p.over = True
    for t in threads:
        t.join(6)
    time.sleep(2)
    ran = {rid for plain in d.plains for rid in plain.run_ids}
    false = [rid for rid in p.refused if rid in ran]
    record.add(f"{n} planned stops; answers {p.statuses}; refused "
               f"{len(p.refused)}, of these run by a replica {false}")
    if not false:
        return []
    return [f"REFUSED: {len(false)} of {len(p.refused)} orders that were "
            "answered 429 or 503 were run by a replica"]


dep.run_case(__file__, play)

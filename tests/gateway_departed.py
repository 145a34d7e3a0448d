"""Scenarios of tests/gateway.py: replicas that have left, after the store's return from an
older copy."""

import threading
import time

from hosted import check, find_log_lines, next_id, send, wait_for

DRAIN_S = 2.5  # drain_ms, the default of the settings


class Orders:
    """Sends orders to all gateways until stop()."""

    def __init__(self, s):
        self.results = []
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(g,)) for g in s.gateways
                        for _ in range(2)]
        for thread in self.threads:
            thread.start()

    def run(self, gateway):
        while not self.ended.wait(0.02):
            rid = next_id()
            self.results.append((rid, send(gateway.front, "/order/1", rid)))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def wait_until_unused(s, replica):
    def is_unused():
        before = len(replica.received)
        time.sleep(0.4)
        return len(replica.received) == before
    wait_for(f"{replica.name} is unused", is_unused, DRAIN_S)


def returned_in_copy(s):
    """A replica whose removal was shown gets no order after the store's return from a
    copy that still lists it, also not when the removal is written again or the store
    returns once more; it is used again when it writes its entry."""
    orders = Orders(s)
    try:
        left = s.plains[0]
        time.sleep(0.3)
        s.store.keep_copy()
        s.store.remove("servers", left.name)
        wait_until_unused(s, left)
        before = len(left.received)
        for n in (1, 2):
            copies = list(s.store.copies)
            check(s.store.restore(), "no copy")
            s.store.copies = copies
            for gateway in s.gateways:
                wait_for("sees it", lambda g=gateway: len(
                    find_log_lines(g, "store_restored")) >= n)
            time.sleep(1.0)
        s.store.remove("servers", left.name)
        time.sleep(DRAIN_S)
        check(len(left.received) == before,
              f"{len(left.received) - before} orders after it had left")
        left.register()
        wait_for("it is used again", lambda: len(left.received) > before)
    finally:
        orders.stop()
    failed = [(rid, a.status) for rid, a in orders.results if a.status not in (200, 503)]
    check(not failed, f"{failed[:5]}")
    for rid, a in orders.results:
        check(a.status == 200 or s.run_count(rid) == 0, f"{rid}: {a.status} and ran")


returned_in_copy.system_options = {"gateways": 3, "plains": 3, "engines": 0}


def started_again_in_copy(s):
    """A replica that is started again under its id, and a live one whose entry was
    removed, are used after the store's return."""
    started, silent = s.plains[:2]
    for plain in (started, silent):
        s.store.remove("servers", plain.name)
    for plain in (started, silent):
        wait_until_unused(s, plain)
    started.boot_ms += 5
    started.register()
    s.store.keep_copy()
    check(s.store.restore(), "no copy")
    wait_for("sees it", lambda: find_log_lines(s.gw, "store_restored"))
    silent.register()
    for plain in (started, silent):
        before = len(plain.received)
        wait_for(f"{plain.name} is used", lambda p=plain, n=before: (
            send(s.gw.front, "/order/1"), len(p.received) > n)[1])


started_again_in_copy.system_options = {"plains": 3, "engines": 0}


SCENARIOS = [returned_in_copy, started_again_in_copy]

"""Scenarios of tests/gateway.py with sound endpoints that fall silent."""

import threading
import time

from gateway_cuts import CuttableSystem
from gateway_stops import (
    KINDS, KeptCaller, add_long_routes, show, write_long_routes)
from gateway_tunnels import cut_from_endpoints
from hosted import (
    check, find_log_lines, has_all_events, http_get, send, send_draft)


def pause(replicas, for_s):
    """None of the replicas reads or answers anything for a while."""
    locks = [r.pause_lock for r in replicas]
    for lock in locks:
        lock.acquire()
    time.sleep(for_s)
    for lock in locks:
        lock.release()


def add_pauses(replicas):
    for r in replicas:
        r.pause_lock = threading.Lock()
        handle = r.server.handle

        def paused_handle(req, handle=handle, lock=r.pause_lock):
            with lock:
                pass
            return handle(req)

        r.server.handle = paused_handle


def silent_sound_endpoints(s):
    """All endpoints are silent for 0.6, 1.3 and 3 s while the configuration
    changes: each request is answered by one of them, in time. Guards against
    requests that are given up because a sound endpoint is silent."""
    add_long_routes(s)
    replicas = s.plains + s.engines
    add_pauses(replicas)
    check(has_all_events(send_draft(s.gw)), "the adapter is not loaded")
    callers = []
    threads = []
    for version, for_s in enumerate((0.6, 1.3, 3.0), 3):
        pausing = threading.Thread(target=pause, args=(replicas, for_s))
        pausing.start()
        some = [KeptCaller(s.gw.front) for _ in range(5 * len(KINDS))]
        for i, caller in enumerate(some):
            caller.at_s = for_s
            threads.append(threading.Thread(
                target=caller.send, args=(list(KINDS)[i % len(KINDS)],)))
            threads[-1].start()
        write_long_routes(s, version, idle_ms=15000 + version)
        callers += some
        pausing.join()
        time.sleep(0.3)
    for thread in threads:
        thread.join()
    show(callers, s)
    for c in callers:
        whole = (has_all_events(c) if c.kind in ("brief", "draft")
                 else c.rid in c.body)
        check(c.status == 200 and c.whole and whole, f"{c.kind}: {c.status}")
        check(c.kind in ("safe", "draft") or s.run_count(c.rid) == 1,
              f"{c.kind} ran {s.run_count(c.rid)} times")


def send_timed(s, path, deadline_ms):
    begin = time.monotonic()
    a = send(s.gw.front, path, method="GET", body=None,
             headers={"Deadline-Ms": str(deadline_ms)})
    return a, time.monotonic() - begin


def hung_endpoints(s):
    """Lookups leave one hung endpoint soon; where both hang, the caller gets its
    answer at its deadline and not before."""
    s.plains[0].faults["silent"] = 1000
    for _ in range(8):
        a, took_s = send_timed(s, "/lookup/1", 1500)
        check(a.status == 200 and took_s < 1.2, f"{a.status} {took_s:.2f} s")
    s.plains[1].faults["silent"] = 1000
    a, took_s = send_timed(s, "/lookup/1", 1500)
    check(a.status == 504 and 1.4 < took_s < 2.0, f"{a.status} {took_s:.2f} s")


def hung_after_slow_answer(s):
    """One answer that took almost the time of a lookup does not hold lookups at
    a hung endpoint until their deadline."""
    s.plains[0].work_s = s.plains[1].work_s = 1.35
    check(send(s.gw.front, "/order/1").status == 200, "slow, but answered")
    s.plains[0].work_s = s.plains[1].work_s = 0
    for _ in range(8):
        check(send(s.gw.front, "/order/1").status == 200, "quick")
    s.plains[0].faults["silent"] = 1000
    took = []
    for _ in range(8):
        a, took_s = send_timed(s, "/lookup/1", 1500)
        took.append((a.status, round(took_s, 2)))
    print(took)
    check(not [t for t in took if t[0] != 200], f"{took}")


def silent_engine_beside_slow_loads(s):
    """Streams stay at a silent engine that has their adapter, while the other one
    would have to load it, slowly."""
    add_long_routes(s)
    check(has_all_events(send_draft(s.gw)), "the adapter is not loaded")
    has = [e for e in s.engines if e.run_ids]
    others = [e for e in s.engines if not e.run_ids]
    check(len(has) == 1 and others, "one engine has the adapter")
    for other in others:
        other.load_s = 8
    add_pauses(has)
    pausing = threading.Thread(target=pause, args=(has, 3))
    pausing.start()
    callers = [KeptCaller(s.gw.front) for _ in range(4)]
    threads = [threading.Thread(target=c.send, args=("draft",))
               for c in callers]
    for thread in threads:
        thread.start()
    for thread in [pausing, *threads]:
        thread.join()
    for c in callers:
        c.at_s = 0.0
    show(callers, s)
    check(not [c for c in callers if not has_all_events(c)], "not served")


def hung_engine_alone_with_adapter(s):
    """A stream at a hung engine goes on at another one, which first loads the
    adapter."""
    add_long_routes(s)
    check(has_all_events(send_draft(s.gw)), "the adapter is not loaded")
    next(e for e in s.engines if e.run_ids).faults["silent"] = 1000
    began = time.monotonic()
    c = KeptCaller(s.gw.front).send("draft")
    took_s = time.monotonic() - began
    check(has_all_events(c) and took_s < 4, f"{c.status} {took_s:.2f} s")


def silence_is_not_out_of_reach(s):
    """Requests to endpoints that are silent and accept connections do not go
    through another instance."""
    write_long_routes(s)
    replicas = s.plains + s.engines
    add_pauses(replicas)
    for _ in range(4):
        check(has_all_events(send_draft(s.gateways[0])), "not served")
    pausing = threading.Thread(target=pause, args=(replicas, 2.5))
    pausing.start()
    callers = []
    threads = []
    while pausing.is_alive():
        callers.append(KeptCaller(s.gateways[0].front))
        threads.append(threading.Thread(
            target=callers[-1].send, args=(list(KINDS)[len(callers) % 4],)))
        threads[-1].start()
        time.sleep(0.02)
    pausing.join()
    for thread in threads:
        thread.join()
    check(not [c for c in callers if c.status != 200], "not answered")
    check(not find_log_lines(s.gateways[0], "unreached"), "not reached")
    metrics = http_get(s.gateways[1].metrics, "/metrics")[1]
    check('fg_gw_tunnels_total{outcome="open"}' not in metrics, "a tunnel")


silence_is_not_out_of_reach.system_options = {"gateways": 2}

def hung_endpoint_behind_hop(s):
    """Lookups leave a hung endpoint that is reached through another instance, also
    while others are sent to it. Guards against a tunnel's opening that is taken for
    a sign of the endpoint."""
    cut_from_endpoints(s)
    used = send(s.gateways[0].front, "/lookup/1", method="GET", body=None).body
    for plain in s.plains:
        if f" {plain.name} " in used:
            plain.faults["silent"] = 1000
    callers = []

    def run():
        begin = time.monotonic()
        a = send(s.gateways[0].front, "/lookup/1", method="GET", body=None)
        callers.append((a.status, time.monotonic() - begin))

    threads = [threading.Thread(target=run) for _ in range(30)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    lost = [c for c in callers if c[0] != 200]
    print(f"{len(callers)} lookups, {len(lost)} not answered, the longest took "
          f"{max(took_s for _, took_s in callers):.2f} s")
    check(not lost, f"{len(lost)} of {len(callers)} not answered: {lost[:3]}")


hung_endpoint_behind_hop.system_options = {"gateways": 3}
hung_endpoint_behind_hop.system_class = CuttableSystem

SCENARIOS = [silent_sound_endpoints, hung_endpoints, hung_after_slow_answer,
             silent_engine_beside_slow_loads, hung_engine_alone_with_adapter,
             silence_is_not_out_of_reach, hung_endpoint_behind_hop]

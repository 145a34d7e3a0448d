#!/usr/bin/env python3
"""Scenarios of fg-gateway processes with stand-ins of the users' store and
replicas.

Usage: tests/gateway.py [NAME ...]     all scenarios when none is named
       tests/gateway.py --lane I/N     each N-th of them, from the I-th on
Prints "ok NAME" or "not ok NAME" with the reason; exits with 0 when all pass.
"""

import http.client
import json
import os
import random
import signal
import socket
import sys
import threading
import time
import traceback

from gateway_cut_heads import SCENARIOS as CUT_HEAD_SCENARIOS
from gateway_cuts import SCENARIOS as CUT_SCENARIOS
from gateway_broken_streams import SCENARIOS as BROKEN_STREAM_SCENARIOS
from gateway_numbers import SCENARIOS as NUMBER_SCENARIOS
from gateway_bad_answers import SCENARIOS as BAD_ANSWER_SCENARIOS
from gateway_engine_room import SCENARIOS as ENGINE_ROOM_SCENARIOS
from gateway_idle_ends import SCENARIOS as IDLE_END_SCENARIOS
from gateway_names import SCENARIOS as NAME_SCENARIOS
from gateway_departed import SCENARIOS as DEPARTED_SCENARIOS
from gateway_odd_rows import SCENARIOS as ODD_ROW_SCENARIOS
from gateway_tunnels import SCENARIOS as TUNNEL_SCENARIOS
from gateway_refusals import SCENARIOS as REFUSAL_SCENARIOS
from gateway_old_callers import SCENARIOS as OLD_CALLER_SCENARIOS
from gateway_order import SCENARIOS as ORDER_SCENARIOS
from gateway_order_ends import SCENARIOS as ORDER_END_SCENARIOS
from gateway_regions import SCENARIOS as REGION_SCENARIOS
from gateway_spoilt_answers import SCENARIOS as SPOILT_ANSWER_SCENARIOS
from gateway_spoilt_requests import SCENARIOS as SPOILT_REQUEST_SCENARIOS
from gateway_silence import SCENARIOS as SILENCE_SCENARIOS
from gateway_stop_arrivals import SCENARIOS as STOP_ARRIVAL_SCENARIOS
from gateway_stop_bodies import SCENARIOS as STOP_BODY_SCENARIOS
from gateway_stop_signals import SCENARIOS as STOP_SIGNAL_SCENARIOS
from gateway_stops import SCENARIOS as STOP_SCENARIOS
from gateway_stop_lengths import SCENARIOS as STOP_LENGTH_SCENARIOS
from gateway_stop_ends import SCENARIOS as STOP_END_SCENARIOS
from gateway_stop_hops import SCENARIOS as STOP_HOP_SCENARIOS
from gateway_stop_logs import SCENARIOS as STOP_LOG_SCENARIOS
from gateway_stop_tails import SCENARIOS as STOP_TAIL_SCENARIOS
from gateway_keys import SCENARIOS as KEY_SCENARIOS
from gateway_revoke import SCENARIOS as REVOKE_SCENARIOS
from gateway_limits import SCENARIOS as LIMIT_SCENARIOS
from gateway_stutter import SCENARIOS as STUTTER_SCENARIOS
from gateway_versions import SCENARIOS as VERSION_SCENARIOS
from hosted import (
    Answer, EVENTS, Gateway, HERE, HOST, MODEL, PEAK_MB, Replica, Store, System,
    broken_orders, check, event_ids, find_log_line, find_log_lines,
    has_all_events, http_get, make_config, next_id, peak_memory_mb, send,
    send_draft, wait_for)

EVENT_DELAY_MAX_S = 0.25  # setting passMs of the users' platform


def config_with_route(version, name):
    return make_config(version, extra_routes=[
        {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": "safe",
         "timeoutMs": 900, "service": "orders", "maxAttempts": 1}])


# ---- Scenarios ----


def serves(s):
    """Serves one request of each kind, an address lookup and the metrics."""
    a = send_draft(s.gw)
    check(a.status == 200 and has_all_events(a),
          f"stream: {a.status} {a.body}")
    check("Response-Stamp" in a.headers, "no signature")
    a = send(s.gw.front, "/order/1")
    check(a.status == 200 and a.body.startswith("done by"), "order")
    a = send(s.gw.front, "/lookup/1", method="GET", body=None)
    check(a.status == 200, "lookup")
    check(send(s.gw.front, "/none/1").status == 404, "unknown route")
    status, text = http_get(s.gw.directory,
                            f"/api/resolve?name={HOST}&region=r1&zone=dc1")
    check(status == 200 and json.loads(text)["addresses"] == [s.gw.front],
          f"lookup of addresses: {status} {text}")
    status, text = http_get(s.gw.metrics, "/metrics")
    check(status == 200 and "fg_gw_requests_total" in text, "metrics")


def read_event_times(address, rid):
    """Returns [(event, arrival time)] of one stream."""
    host, port = address.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=8)
    conn.request("POST", "/draft/1", b"x", {
        "Host": HOST, "Request-Id": rid, "Deadline-Ms": "4000",
        "Model": MODEL, "Token-Count": "9,9"})
    res = conn.getresponse()
    out = []
    for line in res:
        if line.startswith(b"id: "):
            out.append((int(line[4:]), time.monotonic()))
    conn.close()
    return out


def events_pass_at_once(s):
    """Of the events of concurrent streams, 99 % reach the caller within
    EVENT_DELAY_MAX_S."""
    delays = []

    def run():
        for _ in range(5):
            rid = next_id()
            got = read_event_times(s.gw.front, rid)
            sent_at = {**s.engines[0].sent_at, **s.engines[1].sent_at}
            delays.extend(at - sent_at[(rid, i)] for i, at in got)

    threads = [threading.Thread(target=run) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(len(delays) == 40 * EVENTS, f"{len(delays)} events")
    delays.sort()
    p99 = delays[len(delays) * 99 // 100]
    print(f"events late by {delays[len(delays) // 2] * 1e3:.1f} ms (p50), "
          f"{p99 * 1e3:.1f} ms (p99)")
    check(p99 < EVENT_DELAY_MAX_S, f"p99 {p99:.3f} s")


def adapter_slots(s):
    """With more adapters than slots at one engine, each adapter is served and
    no more are loaded than there are slots."""
    for i in range(10):
        a = send_draft(s.gw, f"a{i}")
        check(has_all_events(a), f"a{i}: {a.status}")
    check(not [o for o in s.engines[0].orders if o[2] == "overfull"],
          "more adapters than slots")
    check({o[0] for o in s.engines[0].orders} == {"g0"}, "one holder")


adapter_slots.system_options = {"engines": 1}


def resumes(s):
    """A stream that is cut within an event is resumed at another engine."""
    shared = {"cut": 1}
    for engine in s.engines:
        engine.faults = shared
    rid = next_id()
    a = send_draft(s.gw, rid=rid)
    check(has_all_events(a), f"{a.status} {event_ids(a)}")
    check(s.run_count(rid) == 2, f"ran {s.run_count(rid)} times")


def not_resumable(s):
    """A stream that is cut and not resumable does not end as complete."""
    for engine in s.engines:
        engine.faults["cut"] = 1
    rid = next_id()
    a = send_draft(s.gw, path="/brief/1", rid=rid)
    check(not a.whole, "the part counts as whole")
    check(s.run_count(rid) == 1, f"ran {s.run_count(rid)} times")


def closed_streams(s):
    """A stream with neither length nor chunks ends with its connection. One that
    ends inside an event is resumed or does not count as complete."""
    for fault, path, whole, runs in (("closed", "/draft/1", True, 1),
                                     ("closed", "/brief/1", True, 1),
                                     ("closed_cut", "/draft/1", True, 2),
                                     ("closed_cut", "/brief/1", False, 1)):
        shared = {fault: 1}
        for engine in s.engines:
            engine.faults = shared
        rid = next_id()
        a = send_draft(s.gw, path=path, rid=rid)
        check(a.whole == whole, f"{fault} {path}: whole {a.whole}")
        check(not whole or has_all_events(a), f"{fault} {path}: {a.body}")
        check(s.run_count(rid) == runs, f"{fault} {path}: {s.run_count(rid)}")


def endless_answers(s):
    """Bytes without end that are no answer, in a head or in a body, end with the
    time limit or before, take bounded memory, and the connection is closed."""
    replicas = s.plains + s.engines
    for fault in ("endless_junk", "endless_head", "endless_body",
                  "endless_event"):
        for replica in replicas:
            replica.faults = {fault: 100}
        paths = ["/order/1", "/lookup/1"] * 4
        if fault != "endless_body":
            paths += ["/brief/1", "/draft/1"] * 2
        answers = []
        threads = [threading.Thread(target=lambda p=path: answers.append(
            send_draft(s.gw, path=p) if p[1] in "bd" else
            send(s.gw.front, p))) for path in paths]
        begin = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took = time.monotonic() - begin
        for replica in replicas:
            replica.faults = {}
        peak = peak_memory_mb(s.gw)
        print(f"{fault}: {took:.1f} s, peak {peak:.0f} MB")
        check(took < 6, f"{fault}: {took:.1f} s")
        check(not [a for a in answers if a.status == 200 and a.whole], fault)
        check(peak < PEAK_MB, f"{fault}: {peak:.0f} MB")
        wait_for("all closed", lambda: all(
            "endless" not in t.name for t in threading.enumerate()) and
            sum(r.endless_closed for r in replicas) >= len(paths) - 2)
        for replica in replicas:
            replica.endless_closed = 0
        check(s.gw.popen.poll() is None, "the process ended")
    wait_for("served again", lambda: send(s.gw.front, "/lookup/1",
                                          method="GET").status == 200)


def endless_store(s):
    """Answers of the store without end take bounded memory; the instance serves
    meanwhile and reads the store again afterwards."""
    for mode in ("endless_head", "endless_body"):
        s.store.mode = mode
        s.store.put("op", "config", make_config(2, extra_routes=[]))
        wait_for("calls fail", lambda: "failures=0" not in
                 s.gw.state().split("feed op ")[1].split("\n")[0])
        for _ in range(20):
            check(send(s.gw.front, "/order/1").status == 200, mode)
            time.sleep(0.05)
        peak = peak_memory_mb(s.gw)
        print(f"{mode}: peak {peak:.0f} MB")
        check(peak < PEAK_MB, f"{mode}: {peak:.0f} MB")
        s.store.mode = "up"
        wait_for("reads again", lambda: "failures=0" in
                 s.gw.state().split("feed op ")[1].split("\n")[0])


def runs_once(s):
    """A filing without an answer is neither repeated nor reported as not
    run."""
    for plain in s.plains:
        plain.faults["lost"] = 1
    rid = next_id()
    a = send(s.gw.front, "/order/1", rid)
    check(a.status == 502, f"status {a.status}")
    check(s.run_count(rid) == 1, f"ran {s.run_count(rid)} times")


def not_run_elsewhere(s):
    """A request that a replica did not run is sent to another one."""
    for plain in s.plains:
        plain.faults["not_run"] = 1
    rid = next_id()
    a = send(s.gw.front, "/order/1", rid)
    check(a.status == 200 and s.run_count(rid) == 1,
          f"{a.status} {s.run_count(rid)}")
    for plain in s.plains:
        plain.faults["not_run"] = 50
    rid = next_id()
    a = send(s.gw.front, "/order/1", rid)
    check(a.status == 503 and "Retry-After" in a.headers, f"{a.status}")
    check(s.run_count(rid) == 0, "ran after it was refused")


def safe_repeats(s):
    """A lookup that fails on one replica is answered by another."""
    for fault in ("lost", "error", "reset_body"):
        for plain in s.plains:
            plain.faults = {}
        s.plains[0].faults[fault] = 1
        s.plains[1].faults[fault] = 0
        for _ in range(4):
            a = send(s.gw.front, "/lookup/1", method="GET", body=None)
            check(a.status == 200 and a.body.startswith("done by"),
                  f"{fault}: {a.status} {a.body!r}")


def body_without_length(s):
    """A body without a length is complete when the connection is closed, not
    when it is reset."""
    for plain in s.plains:
        plain.faults["cut_end"] = 1
    a = send(s.gw.front, "/order/1")
    check(a.status == 200 and a.whole and a.body.startswith("done by"),
          f"ended: {a.status}")
    for plain in s.plains:
        plain.faults = {"reset_body": 1}
    a = send(s.gw.front, "/order/1")
    check(a.status == 502, f"reset: {a.status} {a.body!r}")


def stray_answer(s):
    """An answer with the id of another request is discarded."""
    for plain in s.plains:
        plain.faults["stray"] = 2
    for _ in range(4):
        a = send(s.gw.front, "/order/1")
        check(a.status == 200 and a.body.startswith("done by"),
              f"{a.status} {a.body!r}")


def late_copy(s):
    """A second copy of an earlier answer that arrives late, without an id, on
    a connection in use again, reaches no caller."""
    spoiled = s.plains[0]
    for path, method in (("/lookup/1", "GET"), ("/order/1", "POST")):
        before = len(spoiled.received)
        wait_for("a connection in use", lambda p=path, m=method: (
            send(s.gw.front, p, method=m), len(spoiled.received) > before)[1])
        spoiled.faults["late_copy"] = 1
        while spoiled.faults["late_copy"] == 1:
            rid = next_id()
            a = send(s.gw.front, path, rid, method=method)
            if method == "GET":
                check(a.status == 200 and rid in a.body, f"{a.body}")
            else:
                check(a.status == 502 or rid in a.body, f"{a.body}")
                check(s.run_count(rid) == 1, "run again")
    check(s.gw.log().count("reason=answer_without_id") >= 2, "not noticed")


def silent_replica(s):
    """A lookup is retried when a replica does not answer."""
    s.plains[0].faults["silent"] = 20
    for _ in range(4):
        a = send(s.gw.front, "/lookup/1", method="GET", body=None)
        check(a.status == 200, f"{a.status}")


def limit_from_first_byte(s):
    """A caller whose body comes slowly is answered at its time limit, which
    counts from the request's first byte; the endpoint gets what is left."""
    s.plains[0].work_s = s.plains[1].work_s = 3.0
    host, port = s.gw.front.split(":")
    rid = next_id()
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        begin = time.monotonic()
        sock.sendall((f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                      f"Request-Id: {rid}\r\nDeadline-Ms: 1200\r\n"
                      "Content-Length: 4\r\n\r\n").encode())
        for _ in range(4):
            time.sleep(0.2)
            sock.sendall(b"x")
        answer = sock.recv(65536)
        took_s = time.monotonic() - begin
    check(answer.split()[1:2] == [b"504"], f"{answer}")
    check(took_s < 1.45, f"answered after {took_s:.2f} s")
    limits = [int(h["deadline-ms"]) for p in s.plains for r, h in p.received
              if r == rid]
    check(len(limits) == 1 and limits[0] <= 400, f"sent with {limits} ms")


def caller_leaves(s):
    """The request at the replica is cancelled soon after the caller leaves."""
    for engine in s.engines:
        engine.event_interval_s = 0.2
    host, port = s.gw.front.split(":")
    sock = socket.create_connection((host, int(port)))
    rid = next_id()
    sock.sendall((f"POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                  f"Request-Id: {rid}\r\nModel: {MODEL}/a1\r\n"
                  "Token-Count: 9,9\r\nContent-Length: 0\r\n\r\n").encode())
    wait_for("it runs", lambda: s.run_count(rid) == 1)
    sock.recv(1)
    sock.close()
    wait_for("the replica sees it", lambda: any(
        r == rid for e in s.engines for r, _ in e.disconnects), 1.0)


def planned_stop(s):
    """A planned stop finishes running requests, refuses late ones and exits
    with 0."""
    for engine in s.engines:
        engine.event_interval_s = 0.4
    host, port = s.gw.front.split(":")
    running = http.client.HTTPConnection(host, int(port), timeout=10)
    rid = next_id()
    running.request("POST", "/draft/1", b"x",
                    {"Host": HOST, "Request-Id": rid,
                     "Model": f"{MODEL}/a1", "Token-Count": "9,9"})
    wait_for("it runs", lambda: s.run_count(rid) == 1)
    begin = time.monotonic()
    s.gw.popen.send_signal(signal.SIGTERM)
    wait_for("not ready", lambda: not s.gw.is_ready(), 2)
    check(send(s.gw.front, "/order/1").status == 200, "still answers")
    res = running.getresponse()
    a = Answer(res.status, res.read().decode(), {}, True)
    check(has_all_events(a), f"cut off: {event_ids(a)}")
    check(time.monotonic() - begin > 1.5, "the stream was too short to tell")
    late = send_draft(s.gw, rid="late")
    if s.run_count("late") > 0:
        check(has_all_events(late), f"late stream: {event_ids(late)}")
    else:
        check(late.status in (0, 503), f"late stream: {late.status}")
    check(s.gw.popen.wait(10) == 0, "exit code")


def stop_meets_request(s):
    """A request that arrives when a planned stop ends is answered or does not
    run. The process is paused so that it sees both in one event loop
    iteration."""
    host, port = s.gw.front.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    conn.connect()
    for _ in range(8):  # opens connections to the replicas that stay idle
        check(send(s.gw.front, "/order/1").status == 200, "before")
    s.gw.popen.send_signal(signal.SIGTERM)
    wait_for("stopping", lambda: "event=stopping" in s.gw.log())
    time.sleep(1.2)
    s.gw.popen.send_signal(signal.SIGSTOP)
    rid = next_id()
    conn.request("POST", "/order/1", b"x", {"Host": HOST, "Request-Id": rid})
    time.sleep(0.6)
    s.gw.popen.send_signal(signal.SIGCONT)
    try:
        answered = conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        answered = False
    s.gw.popen.wait(10)
    check(answered or s.run_count(rid) == 0, "passed on and cut off")


def store_away(s):
    """Requests are served during an outage of the store; changes are read
    after it."""
    for mode in ("reset", "busy"):
        s.store.mode = mode
        wait_for("loss noticed", lambda: "store_lost" in s.gw.log())
        check(has_all_events(send_draft(s.gw)), f"{mode}: no service")
        check(send_draft(s.gw, "fresh-" + mode).status == 200,
              f"{mode}: no loads")
        s.store.put("op", "config",
                    config_with_route(s.store.version + 10, mode))
        s.store.drop_history()
        s.store.mode = "up"
        wait_for("new route", lambda: send(
            s.gw.front, f"/{mode}/1").status == 200, 5)


def silent_feed(s):
    """An instance whose feed gets no answer learns from a peer that its
    configuration is outdated."""
    s.store.unanswered_feeds["op"] = 1
    s.store.put("op", "config", make_config(50))
    wait_for("one feed is silent",
             lambda: s.store.unanswered_feeds["op"] == 0, 12)
    s.store.put("op", "config", config_with_route(60, "new"))
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: send(
            g.front, "/new/1").status == 200, 3)
    check(any("configuration_behind" in g.log() for g in s.gateways),
          "nobody was behind")


silent_feed.system_options = {"gateways": 2, "dcs": 2}


def silent_reader(s):
    """The feed of the instance that reads the store for both gets no
    answer."""
    wait_for_follower(s)
    s.store.unanswered_feeds["op"] = 1
    s.store.put("op", "config", make_config(50))
    wait_for("the feed is silent",
             lambda: s.store.unanswered_feeds["op"] == 0, 12)
    s.store.put("op", "config", config_with_route(60, "new"))
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: send(
            g.front, "/new/1").status == 200, 3)


silent_reader.system_options = {"gateways": 2}


def behind_a_slow_store(s):
    """An instance that knows that it is outdated still waits for a slow
    store."""
    s.store.unanswered_feeds["op"] = 1
    s.store.put("op", "config", make_config(50))
    wait_for("one feed is silent",
             lambda: s.store.unanswered_feeds["op"] == 0, 12)
    s.store.put("op", "config", config_with_route(60, "new"))
    s.store.feed_delay_s = 0.85
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: send(
            g.front, "/new/1").status == 200, 6)


behind_a_slow_store.system_options = {"gateways": 2}


def unknown_after_outage(s):
    """An unknown route gets 503 during an outage of the store and 404 again
    after it, without a change in the store."""
    check(send(s.gw.front, "/none/1").status == 404, "before")
    s.store.mode = "reset"
    s.store.put("servers", "wake", {"odd": 1})
    s.store.put("op", "version/wake", {"odd": 1})
    wait_for("uncertain", lambda: send(
        s.gw.front, "/none/1").status == 503, 8)
    s.store.mode = "up"
    wait_for("known again", lambda: send(
        s.gw.front, "/none/1").status == 404, 3)


def before_configuration(s):
    """Without a configuration an instance is not ready and answers 503, not
    404."""
    store = Store()
    gateway = Gateway(store.addr, "g9", s.folder.name)
    try:
        wait_for("it answers", lambda: send(
            gateway.front, "/order/1").status == 503)
        check(not gateway.is_ready(), "ready without a configuration")
    finally:
        gateway.kill()


def rows_of_others(s):
    """Invalid rows in the store are logged and have no effect."""
    s.store.put_raw("servers", "odd1", b"\xff\xfe")
    s.store.put("servers", "odd2", {"service": 4})
    s.store.put_raw("op", "config", b"{")
    s.store.put_raw("op", "version/x", b"[]")
    s.store.put_raw("fulmargauge", "instance/odd", b"zz")
    wait_for("told", lambda: all(w in s.gw.log() for w in (
        "entry_refused", "configuration_refused", "announcement_refused",
        "instance_row_refused")))
    check(has_all_events(send_draft(s.gw)), "no service")


def draining_replica(s):
    """A draining replica gets no new request."""
    s.plains[0].drain()
    wait_for("seen", lambda: "event=leaving" in s.gw.log(), 3)
    before = len(s.plains[0].received)
    for _ in range(6):
        check(send(s.gw.front, "/order/1").status == 200, "no service")
    check(len(s.plains[0].received) == before, "a draining replica was used")


def address_reused(s):
    """A new replica at a known address is not mistaken for the previous
    one."""
    s.plains[0].name = "p9"
    for _ in range(6):
        a = send(s.gw.front, "/order/1")
        check(a.status == 200, f"{a.status}")
    check("address_reused" in s.gw.log(), "not noticed")


def engine_restarts_empty(s):
    """An engine that restarts empty gets its base model and adapters again."""
    check(has_all_events(send_draft(s.gw)), "before")
    s.engines[0].restart_empty()
    wait_for("base model ordered", lambda: s.engines[0].has_base, 5)
    wait_for("serves again", lambda: has_all_events(send_draft(s.gw)), 5)


engine_restarts_empty.system_options = {"engines": 1}


def order_without_answer(s):
    """When the answer to an order is lost, the state of the engine is read
    again, in time for a request with a limit of 0.9 s."""
    s.store.put("op", "config", make_config(40, timeout_ms=900))
    wait_for("configuration", lambda: "version=40" in s.gw.log())
    s.engines[0].faults["order_lost"] = 1
    a = send_draft(s.gw, "a7")
    check(has_all_events(a), f"{a.status}")
    check("order_failed" in s.gw.log(), "no order was lost")


order_without_answer.system_options = {"engines": 1}


def version_announced(s):
    """An announced version replaces the old one; requests then name it."""
    check(has_all_events(send_draft(s.gw)), "before")
    for engine in s.engines:
        engine.versions["a1"] = 2
    s.store.put("op", f"version/{MODEL}.a1",
                {"model": MODEL, "adapter": "a1", "version": 2})
    wait_for("replaced", lambda: any(
        e.adapters.get("a1") == 2 for e in s.engines), 3)

    def named():
        rid = next_id()
        whole = has_all_events(send_draft(s.gw, rid=rid))
        return whole and "2" in {h.get("expect-version") for e in s.engines
                                 for r, h in e.received if r == rid}

    wait_for("requests name the version", named, 6)


def two_instances(s):
    """Either instance serves every adapter; when one dies, the other takes
    over."""
    for i, gateway in enumerate(s.gateways):
        for k in range(4):
            a = send_draft(gateway, f"a{i}{k}")
            check(has_all_events(a), f"{gateway.name}: {a.status}")
    for engine in s.engines:
        check(len({o[0] for o in engine.orders}) <= 1,
              f"holders of {engine.name}: {engine.orders}")
    s.gateways[0].popen.kill()
    wait_for("taken over",
             lambda: len(s.gateways[1].owned_endpoints()) == 2, 8)
    for k in range(4):
        check(has_all_events(send_draft(s.gateways[1], f"b{k}")),
              "after the loss")
    status, text = http_get(s.gateways[1].directory,
                            f"/api/resolve?name={HOST}&region=r1&zone=dc1")
    check(json.loads(text)["addresses"] == [s.gateways[1].front],
          f"addresses: {text}")


two_instances.system_options = {"gateways": 2}


def paused_holder(s):
    """A lease holder gives no order with an old fencing number after a
    pause."""
    paused = next(g for g in s.gateways if g.owned_endpoints())
    other = next(g for g in s.gateways if g is not paused)
    paused.popen.send_signal(signal.SIGSTOP)
    wait_for("taken over", lambda: len(other.owned_endpoints()) == 2, 8)
    for k in range(3):
        check(has_all_events(send_draft(other, f"c{k}")), "during the pause")
    paused.popen.send_signal(signal.SIGCONT)
    for k in range(3):
        check(has_all_events(send_draft(paused, f"d{k}")), "after the pause")
    for engine in s.engines:
        late = [o for o in engine.orders if o[4] == 412]
        check(len(late) <= 1, f"orders under an old number: {late}")


paused_holder.system_options = {"gateways": 2}


def read_counter(gateway, name):
    lines = http_get(gateway.metrics, "/metrics")[1].splitlines()
    return sum(int(line.split()[-1]) for line in lines
               if line.split(" ")[0] == name)


def asks_owners(s):
    """Owners are asked for the requests in flight at their engines; an owner
    that does not answer delays a request only briefly."""
    bare = {"Model": MODEL}  # the base model is at both engines
    for _ in range(12):
        for gateway in s.gateways:
            check(has_all_events(send_draft(gateway, headers=bare)), "before")
    for gateway in s.gateways:
        check(read_counter(gateway, "fg_gw_totals_asked_total") > 0,
              f"{gateway.name} never asked")
    s.gateways[1].popen.send_signal(signal.SIGSTOP)
    for _ in range(12):
        begin = time.monotonic()
        check(has_all_events(send_draft(s.gw, headers=bare)), "owner paused")
        check(time.monotonic() - begin < 0.5, "held up")
    check(read_counter(s.gw, "fg_gw_totals_late_total") > 0, "none was late")


asks_owners.system_options = {"gateways": 2}


def wait_for_follower(s):
    """Waits until one of two instances reads the store for both; returns its
    index and the other instance."""
    return wait_for("one of two reads the store", lambda: next(
        ((1 - i, g) for i, g in enumerate(s.gateways)
         if g.reads_store(False) and s.gateways[1 - i].reads_store()), None))


def check_learns_changes(s, gateway, version, name):
    """Checks that `gateway` learns of a route and a leaving replica in 2.5
    s."""
    leaving = next(p for p in s.plains if not p.draining)
    s.store.put("op", "config", config_with_route(version, name))
    leaving.drain()
    wait_for(f"route {name}", lambda: send(
        gateway.front, f"/{name}/1").status == 200, 2.5)
    wait_for("leaving", lambda: gateway.log().count("event=leaving")
             >= sum(p.draining for p in s.plains), 2.5)


def one_reader(s):
    """One of two instances reads the store; the other learns changes from it,
    also those made while it was not running."""
    _, follower = wait_for_follower(s)
    calls = follower.store_calls()
    check_learns_changes(s, follower, 50, "early")
    time.sleep(2)
    check(follower.store_calls() - calls <= 1,
          f"{follower.store_calls() - calls} calls")
    follower.kill()
    s.store.put("servers", "other", {"odd": 1})
    follower.start()
    wait_for_follower(s)
    calls = follower.store_calls()
    check_learns_changes(s, follower, 60, "late")
    time.sleep(2)
    check(follower.store_calls() - calls <= 1,
          f"{follower.store_calls() - calls} calls after a start")


one_reader.system_options = {"gateways": 2, "plains": 4}


def reader_paused(s):
    """An instance reads the store itself when its reader is paused."""
    i, follower = wait_for_follower(s)
    s.gateways[i].popen.send_signal(signal.SIGSTOP)
    check_learns_changes(s, follower, 50, "paused")
    s.gateways[i].popen.send_signal(signal.SIGCONT)
    wait_for_follower(s)
    check_learns_changes(s, follower, 60, "resumed")


reader_paused.system_options = {"gateways": 2, "plains": 4}


def reader_cut(s):
    """An instance reads the store itself when its reader gets no answer or no
    connection; the former reader then learns from it."""
    for n, fault in enumerate(("silence", "refuse")):
        i, follower = wait_for_follower(s)
        if fault == "silence":
            s.store_proxies[i].silence()
        else:
            s.store_proxies[i].refuse = True
            s.store_proxies[i].reset()
        check_learns_changes(s, follower, 50 + 20 * n, fault)
        s.store_proxies[i].heal()
        wait_for_follower(s)


reader_cut.system_options = {"gateways": 2, "plains": 4, "proxied": True}


def lapsed_entries(s):
    """Entries that lapse during an outage of the store and return soon after
    it stay in use throughout, at the instance that reads the store and at the
    one that follows it."""
    wait_for_follower(s)
    for _ in range(2):
        s.store.mode = "busy"
        for gateway in s.gateways:
            wait_for("loss noticed", lambda g=gateway: g.log().count(
                "event=store_lost") > g.log().count("event=store_regained"))
        time.sleep(1.0)
        for plain in s.plains:
            s.store.remove("servers", plain.name)
        s.store.mode = "up"
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            for gateway in s.gateways:
                status = send(gateway.front, "/order/1").status
                check(status == 200, f"{gateway.name}: {status}")
            time.sleep(0.02)
        for plain in s.plains:
            plain.register()
        for gateway in s.gateways:
            wait_for("entries are back", lambda g=gateway: g.state().count(
                "listed=1") == 4)
        wait_for_follower(s)


lapsed_entries.system_options = {"gateways": 2}


def instances_known(s):
    """True when the rows of all running instances and of the owners of all
    engines are in the store, and each engine has one owner."""
    rows = s.store.keys("fulmargauge")
    owners = [v for k, v in rows.items() if k.startswith("owner/")]
    return (all(f"instance/{g.name}" in rows for g in s.gateways) and
            len(owners) == len(s.engines) and
            not any(v.startswith("0" * 16) for v in owners) and
            sum(len(g.owned_endpoints()) for g in s.gateways) ==
            len(s.engines))


def check_store_restored(s):
    """The store returns from an older copy. What was in force stays in force:
    the configuration, the announced version, the leaving of a replica. What
    the instances wrote is written again, and no fencing number falls."""
    wait_for("rows written", lambda: instances_known(s))
    s.store.keep_copy()
    s.store.put("op", "config", config_with_route(9, "new"))
    s.store.put("op", f"version/{MODEL}.a1",
                {"model": MODEL, "adapter": "a1", "version": 2})
    for engine in s.engines:
        engine.versions["a1"] = 2
    s.plains[0].drain()
    late = Gateway(s.store.addr, "g9", s.folder.name,
                   fences_checked=s.gw.fences_checked)
    s.gateways.append(late)
    for gateway in s.gateways:
        wait_for("new route", lambda g=gateway: send(
            g.front, "/new/1").status == 200)
        wait_for("leaving", lambda g=gateway: g.state().count("usable=0"))
        wait_for("version", lambda g=gateway: "version_announced" in g.log())
    wait_for("g9 written", lambda: instances_known(s))
    for gateway in s.gateways:
        check(send_draft(gateway).status == 200, "before the return")
    s.plains[0].received.clear()
    before = time.monotonic()
    check(s.store.restore(), "no copy")
    rids = []
    while time.monotonic() - before < 5:
        for gateway in s.gateways:
            rids.append(next_id())
            a = send(gateway.front, "/new/1", rids[-1])
            check(a.status == 200, f"{gateway.name}, new route: {a.status}")
            rids.append(next_id())
            send_draft(gateway, f"a{len(rids) % 9}", rid=rids[-1])
        time.sleep(0.05)
    check(instances_known(s), f"rows: {s.store.keys('fulmargauge')}")
    for gateway in s.gateways:
        check("event=store_restored" in gateway.log(), "no log line")
        a = send_draft(gateway)
        check(a.status == 200, f"after the return: {a.status}")
    check(not s.plains[0].received, "a leaving replica got requests")
    check(all(s.run_count(rid) <= 1 for rid in rids), "run twice")
    for engine in s.engines:
        check(engine.adapters.get("a1", 2) == 2, "older adapter version")
        check(not broken_orders(engine), f"{broken_orders(engine)}")
        fences = [o[1] for o in engine.orders]
        check(fences == sorted(fences), "a fencing number fell")
        check(fences[-1] >> 40 == s.store.era, "fencing number of this era")


def store_restored(s):
    check_store_restored(s)


store_restored.system_options = {"gateways": 2}


def store_restored_unfenced(s):
    check_store_restored(s)


store_restored_unfenced.system_options = {"gateways": 2,
                                          "fences_checked": False}


def era_not_usable(s):
    """Answers without an era, or with a bad one, are not used once the store
    has stated its era. Requests go on."""
    s.store.era = "x"
    wait_for("logged", lambda: "era_not_a_number" in s.gw.log())
    check(send(s.gw.front, "/order/1").status == 200, "order")
    s.store.era = None
    check(send(s.gw.front, "/order/1").status == 200, "order")
    s.store.era = 5
    wait_for("era known", lambda: " era=5 " in s.gw.state())
    check(s.gw.log().count("event=store_restored") == 1, "one return")
    s.store.era = 4
    wait_for("refused", lambda: s.gw.log().count("event=era_refused") > 1)
    check(send(s.gw.front, "/order/1").status == 200, "order")
    s.store.era = 5
    s.store.put("op", "config", config_with_route(9, "new"))
    wait_for("read again",
             lambda: send(s.gw.front, "/new/1").status == 200)
    check(s.gw.log().count("event=store_restored") == 1, "one return")


def owner_killed_unfenced(s):
    """The engines check no fencing numbers. Owners that are killed, paused
    and stopped are followed by others, without a turn and in order."""
    wait_for("rows written", lambda: instances_known(s))
    end = time.monotonic() + 14
    killed = paused = False
    stopped = None
    n = 0
    while time.monotonic() < end:
        left = end - time.monotonic()
        for i, gateway in enumerate(s.gateways):
            n += 1
            if i == 1 and paused and stopped is None:
                continue
            send_draft(gateway, f"a{n % 30}", headers={"Deadline-Ms": "600"})
        if left < 12.5 and not killed:
            killed = True
            s.gateways[0].kill()
            s.gateways[0].start()
        if left < 9 and not paused:
            paused = True
            s.gateways[1].popen.send_signal(signal.SIGSTOP)
        if left < 5 and paused and stopped is None:
            s.gateways[1].popen.send_signal(signal.SIGCONT)
            stopped = max(s.gateways[0], s.gateways[2],
                          key=lambda g: len(g.owned_endpoints()))
            stopped.popen.send_signal(signal.SIGTERM)
    for engine in s.engines:
        check(not broken_orders(engine), f"{broken_orders(engine)}")
        holders = {o[0] for o in engine.orders}
        check(holders, "no orders")
    check("event=released" in stopped.log(), "no release")


owner_killed_unfenced.system_options = {"gateways": 3, "engines": 4,
                                        "fences_checked": False}


def runs_elsewhere(s, leaver, path, count=8):
    """Sends requests; returns how many the leaver received."""
    before = len(leaver.received)
    for _ in range(count):
        check(send(s.gw.front, path).status == 200, "served elsewhere")
    return len(leaver.received) - before


def said_leaving(s):
    """A replica that says in an answer that it leaves gets no more requests,
    before the registry says so: said in an answer, on a refusal, and on the
    head of a stream. After a restart under its id it is used again."""
    plain = s.plains[0]
    plain.leaving = True
    while plain.received == []:
        check(send(s.gw.front, "/order/1").status == 200, "order")
    check(runs_elsewhere(s, plain, "/order/1") == 0, "after an answer")
    plain.restart_empty()
    wait_for("used again",
             lambda: send(s.gw.front, "/order/1").status == 200 and
             s.gw.state().count("usable=0") == 0)
    wait_for("requests", lambda: runs_elsewhere(s, plain, "/lookup/1") > 0)
    plain.leaving = True
    plain.faults["not_run"] = 1
    wait_for("a refusal", lambda: runs_elsewhere(s, plain, "/lookup/1") >= 1)
    check(runs_elsewhere(s, plain, "/order/1") == 0, "after a refusal")
    engine = s.engines[0]
    engine.leaving = True
    engine.event_interval_s = 0.1
    drafts = [threading.Thread(target=send_draft, args=(s.gw, f"a{i}"))
              for i in range(8)]
    for draft in drafts:
        draft.start()
    wait_for("said", lambda: s.gw.log().count("event=said_leaving") >= 3)
    before = len(engine.received)
    for i in range(8):
        a = send_draft(s.gw, f"a{i}")
        check(has_all_events(a), f"draft: {a.status}")
    check(len(engine.received) == before, "after a stream's head")
    for draft in drafts:
        draft.join()


def asked_pause(s):
    """A replica whose refusal asks for a pause gets no request for that long.
    When all ask for one, callers are refused at once, with the time after
    which to come back."""
    one, two = s.plains
    one.pause_text = "1.2"
    one.faults["pause"] = 1
    while one.faults["pause"] == 1:
        check(send(s.gw.front, "/order/1").status == 200, "elsewhere")
    begin = time.monotonic()
    before = len(one.received)
    while time.monotonic() - begin < 1.0:
        check(send(s.gw.front, "/lookup/1").status == 200, "elsewhere")
    check(len(one.received) == before, "request in the pause")
    time.sleep(0.3)
    two.pause_text = "1"
    two.faults["pause"] = 1
    while two.faults["pause"] == 1:
        check(send(s.gw.front, "/order/1").status == 200, "elsewhere")
    check(len(one.received) > before, "not used after the pause")
    time.sleep(1.1)
    for plain in (one, two):
        plain.pause_text = "3"
        plain.faults["pause"] = 1
    wait_for("both ask", lambda: (send(s.gw.front, "/order/1"),
                                  s.gw.log().count("event=paused") >= 4)[1])
    begin = time.monotonic()
    a = send(s.gw.front, "/order/1")
    took = time.monotonic() - begin
    check(a.status == 503 and took < 0.5, f"{a.status} after {took:.2f} s")
    check(2 < float(a.headers["Retry-After"]) < 3.6, f"{a.headers}")
    time.sleep(float(a.headers["Retry-After"]))
    check(send(s.gw.front, "/order/1").status == 200, "after the pause")


def bad_pause(s):
    """A Retry-After that is no number of seconds has no effect; zero is no
    pause; an hour is cut to a minute."""
    one = s.plains[0]
    for text in ("soon", "-3", "1e9x", "", "0", "0.0"):
        one.pause_text = text
        one.faults["pause"] = 1
        while one.faults["pause"] == 1:
            send(s.gw.front, "/order/1")
        check(send(s.gw.front, "/order/1").status == 200, f"{text!r} pauses")
    check(s.gw.log().count("event=pause_refused") == 4, "logged")
    one.pause_text = "3600"
    one.faults["pause"] = 1
    while one.faults["pause"] == 1:
        send(s.gw.front, "/order/1")
    check("event=pause_cut" in s.gw.log(), "not cut")
    a = send(s.gw.front, "/order/1")
    check(a.status == 503, f"in the pause: {a.status}")
    check(50 < float(a.headers["Retry-After"]) < 61, f"{a.headers}")


bad_pause.system_options = {"plains": 1}


def crashing_request(s):
    """A request that crashes every replica is refused after three crashes, at
    both instances."""
    extra = [Replica(s.store, f"x{i}", "orders", False) for i in range(4)]
    for replica in s.plains + extra:
        replica.faults["crash"] = 1
    seen = wait_for("entries read", lambda: s.gw.state().count(
        "service=orders") == 6 and s.gateways[1].state().count(
        "service=orders") == 6)
    check(seen, "entries")
    for n in range(1, 4):
        a = send(s.gw.front, "/order/poison")
        check(a.status == 502, f"crash: {a.status}")
        for gateway in s.gateways:
            wait_for(f"crash {n} told to {gateway.name}",
                     lambda g=gateway, k=n:
                     f"crashes={k} refused={int(k == 3)}" in g.state())
    for gateway in s.gateways:
        a = send(gateway.front, "/order/poison")
        check(a.status == 503, f"{gateway.name}: {a.status}")
    alive = [r for r in s.plains + extra if r.faults["crash"] == 1]
    check(len(alive) == 3, f"{len(alive)} replicas live")


crashing_request.system_options = {"gateways": 2}


def limit_lines(s):
    """The log tells which limit an endpoint named, that it named none any more,
    and that it named none that is a number; /state counts the requests."""
    plain = s.plains[0]
    for text, line in (("1", "per_s=1"), ("0", "per_s=0"), ("0.25", "per_s=0.25"),
                       ("7e9999", "limit_refused"), ("nan", "limit_refused"),
                       ("-1", "limit_refused"), ("0x10", "limit_refused"),
                       ("1.2.3", "limit_refused"), ("", "limit_refused"),
                       ("9" * 400, "per_s=1000000000")):
        plain.restart_empty()  # forgets the limit before
        wait_for("restarted", lambda: "limit_per_s=-1" in s.gw.state())
        s.gw.log_offset = os.path.getsize(s.gw.log_path)
        plain.limit_text = text
        wait_for(f"a line for {text!r}", lambda want=line: (
            send(s.gw.front, "/order/1"),
            want in s.gw.log()[s.gw.log_offset:])[1], 15)
    plain.limit_text = "50"
    wait_for("a limit", lambda: (send(s.gw.front, "/order/1"),
                                 "per_s=50" in s.gw.log())[1])
    plain.limit_text = None
    wait_for("a line for its end", lambda: (
        send(s.gw.front, "/order/1"),
        "event=limit_gone" in s.gw.log())[1], 15)
    before = len(plain.received)
    counts = [int(line.split(" sends=")[1].split()[0])
              for line in s.gw.state().splitlines() if "service=orders" in line]
    check(counts == [before], f"{counts} of {before}")


limit_lines.system_options = {"plains": 1, "engines": 0}


def send_for(gateways, path, interval_s, length_s, adapters=1):
    """Each gateway gets requests at that interval; returns (time, answer)."""
    sent = []
    end = time.monotonic() + length_s

    def run(gateway, seed):
        rand = random.Random(seed)
        while time.monotonic() < end:
            begin = time.monotonic()
            if path.startswith("/draft"):
                a = send_draft(gateway, f"a{rand.randrange(adapters)}", path)
            else:
                a = send(gateway.front, path)
            sent.append((begin, a))
            time.sleep(interval_s)

    threads = [threading.Thread(target=run, args=(g, 2 * i + k))
               for i, g in enumerate(gateways) for k in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sent


def check_limit(replica, since, limit_per_s):
    """The rule LIMIT: in no WINDOW_S more than one and a half times what the
    limit allows, and five."""
    window_s = 4.0
    allowed = 1.5 * limit_per_s * window_s + 5
    times = [t for t in replica.received_at if t >= since]
    worst = max((sum(t <= u < t + window_s for u in times) for t in times),
                default=0)
    print(f"{replica.name}: {len(times)} requests, {worst} in {window_s:.0f} s, "
          f"{allowed:g} allowed")
    check(worst <= allowed, f"{replica.name}: {worst} in {window_s} s")


def limited_endpoint(s):
    """Endpoints that name a limit get no more from all instances together, from
    CONTACT_S after they named it; the others serve what they do not take."""
    plain, engine = s.plains[0], s.engines[0]
    plain.limit_text = "1"
    engine.limit_text = "0.5"
    begin = time.monotonic()
    drafts = []
    thread = threading.Thread(target=lambda: drafts.extend(
        send_for(s.gateways, "/draft/1", 0.1, 13, 4)))
    thread.start()
    orders = send_for(s.gateways, "/order/1", 0.1, 13)
    thread.join()
    check_limit(plain, begin + CONTACT_S, 1)
    check_limit(engine, begin + CONTACT_S, 0.5)
    late = [a.status for at, a in orders + drafts if at > begin + 2]
    served = sum(status == 200 for status in late)
    check(served >= 0.95 * len(late), f"served {served} of {len(late)}")


limited_endpoint.system_options = {"gateways": 3, "engines": 3}


def limited_service(s):
    """When all endpoints of a service name a limit, what is beyond it is refused
    at once with a time to come back; when they name none any more, all is served
    again."""
    for plain in s.plains:
        plain.limit_text = "2"
    send_for(s.gateways, "/order/1", 0.05, 1)
    sent = send_for(s.gateways, "/order/1", 0.05, 4)
    refused = [a for _, a in sent if a.status == 503]
    served = [a for _, a in sent if a.status == 200]
    print(f"{len(served)} served, {len(refused)} refused")
    check(refused and len(served) >= 2 and
          len(served) + len(refused) == len(sent), "other answers")
    times = [float(a.headers["Retry-After"]) for a in refused]
    check(all(0 < t <= 2 for t in times), f"times to come back: {times}")
    check(find_log_lines(s.gw, "refused")[-1]["reason"] == "endpoints_limited",
          "reason")
    begin = time.monotonic()
    send(s.gw.front, "/order/1")
    check(time.monotonic() - begin < 0.3, "held")
    for plain in s.plains:
        plain.limit_text = None
    wait_for("limits gone", lambda: (
        send(s.gw.front, "/order/1"),
        s.gw.state().count("limit_per_s=-1") >= 2)[1])
    sent = send_for([s.gw], "/order/1", 0.05, 1)
    check(all(a.status == 200 for _, a in sent), "not all served")


limited_service.system_options = {"engines": 0}


def crash_after_first_event(s):
    """A request during which an endpoint crashes counts for the crash also if
    an event of its answer came: its key and its part are blocked."""
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
        engine.crash_events = 1
    for i in range(3):
        a = send_with_parts(s.gw, [FIRST_PART, BAD_PART], f"a{i}", "/brief/1")
        check(a.status == 200 and not a.whole, f"crash: {a.status}")
        wait_for("a line for the request", lambda n=i: len(
            {line["id"] for line in find_log_lines(s.gw, "lost_in_crash")}) > n)
    wait_for("blocked", lambda: "blocked_part bad " in s.gw.state(), 3)
    a = send_with_parts(s.gw, [FIRST_PART, BAD_PART], "a4")
    check(a.status == 503, f"bad part: {a.status}")


crash_after_first_event.system_options = {"engines": 4}


def crash_known_at_once(s):
    """A crash is known soon after it, though no other request needs the
    endpoint and its registry entry stays."""
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
        engine.back_s = 5
    begin = time.monotonic()
    send_with_parts(s.gw, [FIRST_PART, BAD_PART], "a1", "/brief/1")
    wait_for("the crash is known",
             lambda: find_log_lines(s.gw, "lost_in_crash"), 2)
    print(f"known {time.monotonic() - begin:.2f} s after the request")


def bad_part_outlives_all(s):
    """A part that was blocked is refused after all instances ended together."""
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
    wait_for("blocked", lambda: (
        send_with_parts(s.gw, [FIRST_PART, BAD_PART], "a1", "/brief/1"),
        "blocked_part bad " in s.gw.state())[1])
    wait_for("stored", lambda: s.store.keys("fulmargauge", "blocked/"), 5)
    for gateway in s.gateways:
        gateway.kill()
    for gateway in s.gateways:
        gateway.start()
    for gateway in s.gateways:
        wait_for("ready", gateway.is_ready)
        wait_for(f"known at {gateway.name}",
                 lambda g=gateway: "blocked_part bad " in g.state(), 2)
        a = send_with_parts(gateway, ["f2", BAD_PART])
        check(a.status == 503, f"{gateway.name}: {a.status}")


bad_part_outlives_all.system_options = {"engines": 4, "gateways": 2}


def evidence_outlives_all(s):
    """Crashes that were not enough to block a part count after all instances
    ended together, and sound parts are still known to be sound. Otherwise a bad
    part starts anew with each end, and the first crashes block sound parts."""
    stored = lambda: " ".join(
        s.store.keys("fulmargauge", "evidence/").values())
    for i in range(8):
        a = send_with_parts(s.gateways[i % 2], [FIRST_PART, f"x{i}"])
        check(a.status == 200, f"sound request: {a.status}")
    wait_for("whole runs stored", lambda: "whole " in stored(), 10)
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
    crashes = lambda: sum(len(e.crashed_at) for e in s.engines)
    send_with_parts(s.gw, [FIRST_PART, BAD_PART], "a1", "/brief/1")
    if crashes() < 2:
        send_with_parts(s.gw, [FIRST_PART, BAD_PART], "a2", "/brief/1")
    wait_for("losses stored", lambda: stored().count("loss ") >= 2, 8)
    for gateway in s.gateways:
        check("blocked_part" not in gateway.state(), "blocked too early")
        gateway.kill()
    for gateway in s.gateways:
        gateway.start()
    for gateway in s.gateways:
        wait_for("ready", gateway.is_ready)
    before = crashes()
    send_with_parts(s.gw, ["f2", BAD_PART], "a3", "/brief/1")
    check(crashes() == before + 1, f"{crashes() - before} more crashes")
    for gateway in s.gateways:
        wait_for(f"blocked at {gateway.name}",
                 lambda g=gateway: "blocked_part bad " in g.state(), 3)
        check("blocked_part f1 " not in gateway.state(), "sound part blocked")
    a = send_with_parts(s.gw, [FIRST_PART, "x9"], "a4")
    check(a.status == 200, f"sound request after the crashes: {a.status}")


evidence_outlives_all.system_options = {"engines": 6, "gateways": 2}


CONTACT_S = 4.0  # contactMs of the users' deployments
ARRIVALS_MAX = 3  # at endpoints, once an instance must know a bad part


class PartTraffic:
    """Callers that send requests until stop(): sound ones that share the first
    part and others, and from start_bad() on also ones with a bad part."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.running = True
        self.sound = []  # (time, id, answer)
        self.bad = []
        self.threads = [self.start(i, self.sound, 0.08) for i in range(4)]

    def start(self, seed, sent, interval_s):
        thread = threading.Thread(target=self.send_all,
                                  args=(random.Random(seed), sent, interval_s))
        thread.start()
        return thread

    def start_bad(self):
        self.threads += [self.start(i, self.bad, 0.4) for i in range(10, 12)]

    def send_all(self, rand, sent, interval_s):
        while self.running:
            begin = time.monotonic()
            middle = f"{rand.randrange(6):x}"
            parts = [FIRST_PART, middle]
            if sent is self.bad:
                parts.insert(rand.randrange(3), BAD_PART)
            answer = send_with_parts(rand.choice(self.gateways), parts,
                                     f"a{rand.randrange(4)}")
            sent.append((begin, answer))
            time.sleep(interval_s)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


def served_share(sent, begin, end):
    """Share of the requests of that time that were served at once, and their
    number."""
    served = [a.status == 200 and has_all_events(a)
              for at, a in sent if begin <= at < end]
    return sum(served) / max(len(served), 1), len(served)


def crashing_part(s):
    """Requests that share a part which crashes engines, no two alike: from
    CONTACT_S after the fifth crash, no more than ARRIVALS_MAX reach an engine
    (BUDGET). From twice that time on, sound requests with the same first part
    are served at least half as often as before (LOST)."""
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
        engine.back_s = 1.0
    traffic = PartTraffic(s.gateways)
    try:
        time.sleep(1)  # adapters are loaded
        begin = time.monotonic()
        time.sleep(3)
        traffic.start_bad()
        crashed = lambda: sorted(t for e in s.engines for t in e.crashed_at)
        wait_for("five crashes, or none more for 6 s", lambda: len(
            crashed()) >= 5 or crashed() and
            time.monotonic() > crashed()[-1] + 6)
        bad_since = crashed()[0]
        last = crashed()[min(len(crashed()), 5) - 1]
        time.sleep(max(last + 3 * CONTACT_S - time.monotonic(), 0))
    finally:
        traffic.stop()
    late = sum(at > last + CONTACT_S
               for e in s.engines
               for at, (_, head) in zip(e.received_at, e.received)
               if BAD_PART in head.get("prompt-prefix", ""))
    before, n_before = served_share(traffic.sound, begin, bad_since)
    after, n_after = served_share(traffic.sound, last + 2 * CONTACT_S,
                                  last + 3 * CONTACT_S)
    print(f"{len(crashed())} crashes, {late} late arrivals; sound requests "
          f"served: {before:.2f} of {n_before}, {after:.2f} of {n_after}")
    check(len(crashed()) < 5 or late <= ARRIVALS_MAX,
          f"{late} requests with the bad part arrived late")
    check(min(n_before, n_after) >= 20, "too few sound requests")
    check(after >= before / 2, "sound requests refused")


crashing_part.system_options = {"engines": 6, "gateways": 3, "dcs": 2}


FIRST_PART = "f1"
BAD_PART = "bad"


def send_with_parts(gateway, parts, adapter="a1", path="/draft/1"):
    """Sends a request with these prompt parts and one of its own."""
    rid = next_id()
    prefix = ",".join(f"{p}:10" for p in [*parts, f"e{rid[3:]}"])
    return send(gateway.front, path, rid, body=rid.encode(), headers={
        "Model": f"{MODEL}/{adapter}", "Token-Count": "100,20",
        "Prompt-Prefix": prefix})


def crash_lines(s):
    """The log tells which requests were lost at each crash, with which keys
    and prompt parts, and that each instance knows of the crash."""
    for engine in s.engines:
        engine.bad_parts = {BAD_PART}
    for i in range(3):
        send_with_parts(s.gateways[i % 2], [FIRST_PART, BAD_PART], f"a{i}",
                        "/brief/1")
        wait_for("a line for the request", lambda n=i: len(
            {line["id"] for g in s.gateways
             for line in find_log_lines(g, "lost_in_crash")}) > n)
    lost = [line for g in s.gateways
            for line in find_log_lines(g, "lost_in_crash")]
    keys = {line["request_key"] for line in lost}
    check(all(line["phase"] == "begun" for line in lost), f"phases: {lost}")
    check(all(line["parts"] == "f1,bad" for line in lost), f"parts: {lost}")
    check(len(keys) == 3, f"keys: {lost}")
    for gateway in s.gateways:
        wait_for(f"reports known at {gateway.name}", lambda g=gateway: keys <= {
            line["request_key"]
            for line in find_log_lines(g, "crash_counted")}, 2)


crash_lines.system_options = {"engines": 4, "gateways": 2}


def request_lines(s):
    """The log line of a request has the fields that the operations page names,
    and the metrics count its outcome."""
    page = os.path.join(HERE, "..", "docs", "OPERATIONS-gateway.md")
    with open(page, encoding="utf-8") as f:
        text = f.read()
    begin = text.index("Fields of `request` lines:")
    words = text[begin:text.index("-1 means", begin)].split("`")[3::2]
    served, lost, refused = next_id(), next_id(), next_id()
    check(send_draft(s.gw, rid=served).status == 200, "served")
    for plain in s.plains:
        plain.faults = {"lost": 1}
    check(send(s.gw.front, "/order/1", lost).status == 502, "lost")
    for plain in s.plains:
        plain.faults = {"not_run": 50}
    check(send(s.gw.front, "/order/1", refused).status == 503, "refused")
    for rid, event, reason, absent in (
            (served, "answered", "200", set()),
            (lost, "failed", "connection_lost", {"adapter"}),
            (refused, "refused", "endpoint_full", {"adapter"})):
        line = wait_for(f"line of {event}",
                        lambda r=rid, e=event: find_log_line(s, r, e))
        check(line["reason"] == reason, f"{event}: {line}")
        missing = set(words) - set(line) - absent
        check(not missing, f"{event} lacks {missing}")
    metrics = http_get(s.gw.metrics, "/metrics")[1]
    for text in ('fg_gw_requests_total{kind="streaming",outcome="answered"} 1',
                 'fg_gw_requests_total{kind="unsafe",outcome="failed"} 1',
                 'fg_gw_reasons_total{outcome="refused",'
                 'reason="endpoint_full"} 1',
                 'fg_gw_waiting{for="load"} 0',
                 'fg_gw_waiting_ms{for="endpoint"} 0',
                 'fg_gw_repeats_left{service="orders"}'):
        check(text in metrics, f"metrics lack {text}")


def bad_input(s):
    """Invalid requests get the right status, and the instance still serves."""
    host, port = s.gw.front.split(":")

    def raw(data, limit_s=5):
        sock = socket.create_connection((host, int(port)), limit_s)
        with sock:
            sock.sendall(data)
            try:
                return sock.recv(4096)[9:12]
            except OSError:
                return b""

    check(raw(b"hello\r\n\r\n") == b"400", "malformed")
    check(raw(b"GET / HTTP/1.1\r\n\r\n") == b"400", "no host")
    check(raw(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"y" * 9000 +
              b"\r\n\r\n") == b"431", "large head")
    check(raw(b"POST /order/1 HTTP/1.1\r\nHost: kitchen.example\r\n"
              b"Content-Length: 70000\r\n\r\n") == b"413", "large body")
    check(raw(b"POST /order/1 HTTP/1.1\r\nHost: kitchen.example\r\n"
              b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
              b"0\r\n\r\n") == b"400", "two lengths")
    check(raw(b"GET /order/1 HTT") == b"408", "slow head")
    half = [socket.create_connection((host, int(port))) for _ in range(30)]
    check(send(s.gw.front, "/order/1").status == 200, "no service")
    for sock in half:
        sock.close()


def settings_change(s):
    """Changed settings are loaded or refused; a log line tells which."""
    s.gw.write_settings(s.store.addr, "lookup_ttl_s: 4\n")
    wait_for("reloaded", lambda: s.gw.log().count("event=reloaded") == 1, 6)
    text = http_get(s.gw.directory, f"/api/resolve?name={HOST}&region=r1")[1]
    check(json.loads(text)["ttlS"] == 4, f"not in force: {text}")
    s.gw.write_settings(s.store.addr, "lookup_ttl_s: soon\n")
    s.gw.popen.send_signal(signal.SIGHUP)
    wait_for("refused", lambda: "event=refused" in s.gw.log(), 6)
    check(send(s.gw.front, "/order/1").status == 200, "no service")


def overload_reasons(s):
    """A request that cannot be answered in its time is refused as no_time, and
    with the setting `overload` as overload_deadline, with what it gave way to,
    estimate and objective; counters and /state tell of it. Guards against
    refusals that an operator cannot explain."""
    store = s.store.addr

    def refuse():
        rid = next_id()
        a = send_draft(s.gw, rid=rid, headers={
            "Token-Count": "100000,20", "Deadline-Ms": "2000"})
        check(a.status == 503 and "Retry-After" in a.headers,
              f"{a.status} {a.headers}")
        check(s.run_count(rid) == 0, "it ran")
        return find_log_line(s, rid, "refused")

    line = refuse()
    check(line["reason"] == "no_time" and "estimate_ms" not in line, f"{line}")
    check("overload service" not in s.gw.state(), "state with it off")
    s.gw.kill()
    s.gw.write_settings(store, "lookup_ttl_s: 2\noverload: true\n")
    s.gw.start()
    wait_for("ready", s.gw.is_ready)
    wait_for("served", lambda: has_all_events(send_draft(s.gw)), 15)
    line = refuse()
    check(line["reason"] == "overload_deadline", f"{line}")
    check(line["gave_way_to"] == "5" and line["objective_ms"] == "800" and
          int(line["estimate_ms"]) > 2000, f"{line}")
    state = s.gw.state()
    check("overload service=models run_pressure=" in state, state)
    check("overload_rank service=models rank=5 " in state, state)
    metrics = http_get(s.gw.metrics, "/metrics")[1]
    check('fg_gw_overload_total{reason="overload_deadline",rank="5",'
          'gave_way_to="5"} 1' in metrics, "counter")


SCENARIOS = [
    serves, events_pass_at_once, adapter_slots, resumes, not_resumable,
    closed_streams, endless_answers, endless_store,
    runs_once, not_run_elsewhere, safe_repeats, body_without_length,
    stray_answer, late_copy, silent_replica, limit_from_first_byte,
    caller_leaves, planned_stop,
    stop_meets_request, store_away, silent_feed, silent_reader,
    unknown_after_outage, behind_a_slow_store, before_configuration,
    rows_of_others, draining_replica, address_reused,
    engine_restarts_empty, order_without_answer, version_announced,
    two_instances, paused_holder, asks_owners, one_reader,
    reader_paused, reader_cut, lapsed_entries, store_restored,
    store_restored_unfenced, era_not_usable, owner_killed_unfenced,
    said_leaving, asked_pause, bad_pause, limit_lines,
    limited_endpoint, limited_service, crashing_request, crash_lines,
    crash_after_first_event, crash_known_at_once, bad_part_outlives_all,
    evidence_outlives_all,
    crashing_part, request_lines, bad_input, settings_change, overload_reasons,
    *VERSION_SCENARIOS, *CUT_SCENARIOS, *TUNNEL_SCENARIOS, *ODD_ROW_SCENARIOS, *REFUSAL_SCENARIOS,
    *BROKEN_STREAM_SCENARIOS, *NUMBER_SCENARIOS, *DEPARTED_SCENARIOS, *ENGINE_ROOM_SCENARIOS,
    *BAD_ANSWER_SCENARIOS, *SPOILT_ANSWER_SCENARIOS,
    *SPOILT_REQUEST_SCENARIOS, *NAME_SCENARIOS,
    *REGION_SCENARIOS, *ORDER_SCENARIOS, *ORDER_END_SCENARIOS,
    *STOP_SCENARIOS, *STOP_BODY_SCENARIOS, *STOP_SIGNAL_SCENARIOS,
    *STOP_ARRIVAL_SCENARIOS, *STOP_TAIL_SCENARIOS, *STOP_LENGTH_SCENARIOS,
    *STOP_END_SCENARIOS, *STOP_HOP_SCENARIOS, *STOP_LOG_SCENARIOS,
    *SILENCE_SCENARIOS, *KEY_SCENARIOS, *REVOKE_SCENARIOS, *LIMIT_SCENARIOS,
    *IDLE_END_SCENARIOS, *CUT_HEAD_SCENARIOS, *OLD_CALLER_SCENARIOS, *STUTTER_SCENARIOS,
]


def run(scenario):
    system = None
    try:
        system_class = getattr(scenario, "system_class", System)
        system = system_class(**getattr(scenario, "system_options", {}))
        scenario(system)
        print(f"ok {scenario.__name__}", flush=True)
        return True
    except Exception as why:  # one scenario must not end the others
        print(f"not ok {scenario.__name__}: {why!r}")
        traceback.print_exc(limit=2)
        if system is not None:
            for gateway in system.gateways:
                print(f"--- {gateway.name}\n{gateway.log()[-6000:]}")
        return False
    finally:
        if system is not None:
            system.close()


def main():
    names = sys.argv[1:]
    if names and names[0] == "--lane":
        lane, lanes = map(int, names[1].split("/"))
        chosen = SCENARIOS[lane - 1::lanes]
    else:
        chosen = [s for s in SCENARIOS if not names or s.__name__ in names]
    results = [run(s) for s in chosen]
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Scenarios of fg-gateway with real processes, against stand-ins of the users'
store and replicas.

Usage: tests/gateway.py [NAME ...]     all scenarios when none is named
Prints "ok NAME" or "not ok NAME" with the reason; exits 0 when all hold.
"""

import http.client
import json
import os
import signal
import socket
import sys
import threading
import time
import traceback

from hosted import (
    Answer, EVENTS, Gateway, HERE, HOST, MODEL, Replica, Store, System,
    all_pieces, call, config, draft, expect, get, next_id, pieces, wait_for)

PASS_S = 0.25  # passMs of the users' platform


def with_route(version, name):
    return config(version, extra_routes=[
        {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": "safe",
         "timeoutMs": 900, "service": "orders", "maxAttempts": 1}])


# ---- Scenarios ----


def serves(s):
    """The whole path, once."""
    a = draft(s.gw)
    expect(a.status == 200 and all_pieces(a), f"stream: {a.status} {a.body}")
    expect("Response-Stamp" in a.headers, "no signature")
    a = call(s.gw.front, "/order/1")
    expect(a.status == 200 and a.body.startswith("done by"), "order")
    a = call(s.gw.front, "/lookup/1", method="GET", body=None)
    expect(a.status == 200, "lookup")
    expect(call(s.gw.front, "/none/1").status == 404, "unknown route")
    status, text = get(s.gw.directory,
                       f"/api/resolve?name={HOST}&region=r1&zone=dc1")
    expect(status == 200 and json.loads(text)["addresses"] == [s.gw.front],
           f"lookup of addresses: {status} {text}")
    status, text = get(s.gw.pages, "/metrics")
    expect(status == 200 and "fg_gw_requests_total" in text, "metrics")


def arrivals(address, rid):
    """[(event, time)] of one stream, as its pieces arrive."""
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
    """Events of streams side by side reach their callers within PASS_S of
    being made, 99 of 100 of them and more."""
    late = []

    def run():
        for _ in range(5):
            rid = next_id()
            got = arrivals(s.gw.front, rid)
            made = {**s.engines[0].made, **s.engines[1].made}
            late.extend(at - made[(rid, i)] for i, at in got)

    threads = [threading.Thread(target=run) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expect(len(late) == 40 * EVENTS, f"{len(late)} events")
    late.sort()
    p99 = late[len(late) * 99 // 100]
    print(f"events late by {late[len(late) // 2] * 1e3:.1f} ms (p50), "
          f"{p99 * 1e3:.1f} ms (p99)")
    expect(p99 < PASS_S, f"p99 {p99:.3f} s")


def adapter_slots(s):
    """More adapters than slots, one engine: each is served, none too many."""
    for i in range(10):
        a = draft(s.gw, f"a{i}")
        expect(all_pieces(a), f"a{i}: {a.status}")
    expect(not [o for o in s.engines[0].orders if o[2] == "overfull"],
           "more adapters than slots")
    expect({o[0] for o in s.engines[0].orders} == {"g0"}, "one holder")


adapter_slots.system = {"engines": 1}


def resumes(s):
    """A stream that is cut inside an event goes on elsewhere, whole."""
    shared = {"cut": 1}
    for engine in s.engines:
        engine.faults = shared
    rid = next_id()
    a = draft(s.gw, rid=rid)
    expect(all_pieces(a), f"{a.status} {pieces(a)}")
    expect(s.ran(rid) == 2, f"ran {s.ran(rid)} times")


def not_resumable(s):
    """A stream that may not be resumed ends broken, never as whole."""
    for engine in s.engines:
        engine.faults["cut"] = 1
    rid = next_id()
    a = draft(s.gw, path="/brief/1", rid=rid)
    expect(not a.whole, "the part counts as whole")
    expect(s.ran(rid) == 1, f"ran {s.ran(rid)} times")


def runs_once(s):
    """A filing whose answer is lost is neither repeated nor called not run."""
    for plain in s.plains:
        plain.faults["lost"] = 1
    rid = next_id()
    a = call(s.gw.front, "/order/1", rid)
    expect(a.status == 502, f"status {a.status}")
    expect(s.ran(rid) == 1, f"ran {s.ran(rid)} times")


def not_run_elsewhere(s):
    """What a replica did not run, another one runs."""
    for plain in s.plains:
        plain.faults["not_run"] = 1
    rid = next_id()
    a = call(s.gw.front, "/order/1", rid)
    expect(a.status == 200 and s.ran(rid) == 1, f"{a.status} {s.ran(rid)}")
    for plain in s.plains:
        plain.faults["not_run"] = 50
    rid = next_id()
    a = call(s.gw.front, "/order/1", rid)
    expect(a.status == 503 and "Retry-After" in a.headers, f"{a.status}")
    expect(s.ran(rid) == 0, "ran after it was refused")


def safe_repeats(s):
    """A lookup that fails on one replica is answered by another."""
    for fault in ("lost", "error", "reset_body"):
        for plain in s.plains:
            plain.faults = {}
        s.plains[0].faults[fault] = 1
        s.plains[1].faults[fault] = 0
        for _ in range(4):
            a = call(s.gw.front, "/lookup/1", method="GET", body=None)
            expect(a.status == 200 and a.body.startswith("done by"),
                   f"{fault}: {a.status} {a.body!r}")


def body_without_length(s):
    """A body that ends with its connection is whole, one that is reset is
    not."""
    for plain in s.plains:
        plain.faults["cut_end"] = 1
    a = call(s.gw.front, "/order/1")
    expect(a.status == 200 and a.whole and a.body.startswith("done by"),
           f"ended: {a.status}")
    for plain in s.plains:
        plain.faults = {"reset_body": 1}
    a = call(s.gw.front, "/order/1")
    expect(a.status == 502, f"reset: {a.status} {a.body!r}")


def stray_answer(s):
    """An answer to another request is dropped."""
    for plain in s.plains:
        plain.faults["stray"] = 2
    for _ in range(4):
        a = call(s.gw.front, "/order/1")
        expect(a.status == 200 and a.body.startswith("done by"),
               f"{a.status} {a.body!r}")


def silent_replica(s):
    """A lookup leaves a replica that says nothing."""
    s.plains[0].faults["silent"] = 20
    for _ in range(4):
        a = call(s.gw.front, "/lookup/1", method="GET", body=None)
        expect(a.status == 200, f"{a.status}")


def caller_leaves(s):
    """The replica's work ends soon after its caller left."""
    for engine in s.engines:
        engine.event_s = 0.2
    host, port = s.gw.front.split(":")
    sock = socket.create_connection((host, int(port)))
    rid = next_id()
    sock.sendall((f"POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                  f"Request-Id: {rid}\r\nModel: {MODEL}/a1\r\n"
                  "Token-Count: 9,9\r\nContent-Length: 0\r\n\r\n").encode())
    wait_for("it runs", lambda: s.ran(rid) == 1)
    sock.recv(1)
    sock.close()
    wait_for("the replica sees it", lambda: any(
        r == rid for e in s.engines for r, _ in e.left), 1.0)


def planned_stop(s):
    """A stop finishes what runs, refuses what comes late, and exits with 0."""
    for engine in s.engines:
        engine.event_s = 0.4
    host, port = s.gw.front.split(":")
    running = http.client.HTTPConnection(host, int(port), timeout=10)
    rid = next_id()
    running.request("POST", "/draft/1", b"x",
                    {"Host": HOST, "Request-Id": rid,
                     "Model": f"{MODEL}/a1", "Token-Count": "9,9"})
    wait_for("it runs", lambda: s.ran(rid) == 1)
    begin = time.monotonic()
    s.gw.popen.send_signal(signal.SIGTERM)
    wait_for("not ready", lambda: not s.gw.is_ready(), 2)
    expect(call(s.gw.front, "/order/1").status == 200, "still answers")
    res = running.getresponse()
    a = Answer(res.status, res.read().decode(), {}, True)
    expect(all_pieces(a), f"cut off: {pieces(a)}")
    expect(time.monotonic() - begin > 1.5, "the stream was too short to tell")
    late = draft(s.gw, rid="late")
    expect(late.status in (0, 503), f"late stream: {late.status}")
    expect(s.ran("late") == 0, "a late stream ran")
    expect(s.gw.popen.wait(10) == 0, "exit code")


def stop_meets_request(s):
    """A request that arrives as a planned stop ends is answered, or is not
    passed on: the process is paused so that both meet in one turn."""
    host, port = s.gw.front.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    conn.connect()
    for _ in range(8):  # leaves idle connections to the replicas
        expect(call(s.gw.front, "/order/1").status == 200, "before")
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
    expect(answered or s.ran(rid) == 0, "passed on and cut off")


def store_away(s):
    """The store's outages stop no service; afterwards all is read."""
    for mode in ("reset", "busy"):
        s.store.mode = mode
        wait_for("loss noticed", lambda: "store_lost" in s.gw.log())
        expect(all_pieces(draft(s.gw)), f"{mode}: no service")
        expect(draft(s.gw, "fresh-" + mode).status == 200,
               f"{mode}: no loads")
        s.store.put("op", "config", with_route(s.store.version + 10, mode))
        s.store.drop_history()
        s.store.mode = "up"
        wait_for("new route", lambda: call(
            s.gw.front, f"/{mode}/1").status == 200, 5)


def silent_feed(s):
    """An instance whose feed fell silent learns from the other that it is
    behind."""
    s.store.mute["op"] = 1
    s.store.put("op", "config", config(50))
    wait_for("one feed is silent", lambda: s.store.mute["op"] == 0, 12)
    s.store.put("op", "config", with_route(60, "new"))
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: call(
            g.front, "/new/1").status == 200, 3)
    expect(any("configuration_behind" in g.log() for g in s.gateways),
           "nobody was behind")


silent_feed.system = {"gateways": 2, "dcs": 2}


def silent_reader(s):
    """The feed of the instance that reads for both fell silent."""
    reader_and_follower(s)
    s.store.mute["op"] = 1
    s.store.put("op", "config", config(50))
    wait_for("the feed is silent", lambda: s.store.mute["op"] == 0, 12)
    s.store.put("op", "config", with_route(60, "new"))
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: call(
            g.front, "/new/1").status == 200, 3)


silent_reader.system = {"gateways": 2}


def behind_a_slow_store(s):
    """Knowing that it is behind, an instance still waits for a slow store."""
    s.store.mute["op"] = 1
    s.store.put("op", "config", config(50))
    wait_for("one feed is silent", lambda: s.store.mute["op"] == 0, 12)
    s.store.put("op", "config", with_route(60, "new"))
    s.store.slow_feed_s = 0.85
    for gateway in s.gateways:
        wait_for(f"new route at {gateway.name}", lambda g=gateway: call(
            g.front, "/new/1").status == 200, 6)


behind_a_slow_store.system = {"gateways": 2}


def unknown_after_outage(s):
    """An outage of the store makes an unknown route uncertain, its end makes
    it unknown again, without waiting for a change."""
    expect(call(s.gw.front, "/none/1").status == 404, "before")
    s.store.mode = "reset"
    s.store.put("servers", "wake", {"odd": 1})
    s.store.put("op", "version/wake", {"odd": 1})
    wait_for("uncertain", lambda: call(
        s.gw.front, "/none/1").status == 503, 8)
    s.store.mode = "up"
    wait_for("known again", lambda: call(
        s.gw.front, "/none/1").status == 404, 3)


def before_configuration(s):
    """Without a configuration: not ready, and 503 rather than 404."""
    store = Store()
    gateway = Gateway(store.addr, "g9", s.folder.name)
    try:
        wait_for("it answers", lambda: call(
            gateway.front, "/order/1").status == 503)
        expect(not gateway.is_ready(), "ready without a configuration")
    finally:
        gateway.end()


def rows_of_others(s):
    """Entries and configurations that cannot be read change nothing."""
    s.store.put_raw("servers", "odd1", b"\xff\xfe")
    s.store.put("servers", "odd2", {"service": 4})
    s.store.put_raw("op", "config", b"{")
    s.store.put_raw("op", "version/x", b"[]")
    s.store.put_raw("fulmargauge", "instance/odd", b"zz")
    wait_for("told", lambda: all(w in s.gw.log() for w in (
        "entry_refused", "configuration_refused", "announcement_refused",
        "instance_row_refused")))
    expect(all_pieces(draft(s.gw)), "no service")


def draining_replica(s):
    """A replica that leaves gets no new request."""
    s.plains[0].drain()
    wait_for("seen", lambda: "event=leaving" in s.gw.log(), 3)
    before = len(s.plains[0].seen)
    for _ in range(6):
        expect(call(s.gw.front, "/order/1").status == 200, "no service")
    expect(len(s.plains[0].seen) == before, "a draining replica was used")


def address_reused(s):
    """Another replica at a known address is not taken for the one before."""
    s.plains[0].name = "p9"
    for _ in range(6):
        a = call(s.gw.front, "/order/1")
        expect(a.status == 200, f"{a.status}")
    expect("address_reused" in s.gw.log(), "not noticed")


def engine_restarts_empty(s):
    """An engine that comes back with nothing gets its model and adapters."""
    expect(all_pieces(draft(s.gw)), "before")
    s.engines[0].restart_empty()
    wait_for("base model ordered", lambda: s.engines[0].has_base, 5)
    wait_for("serves again", lambda: all_pieces(draft(s.gw)), 5)


engine_restarts_empty.system = {"engines": 1}


def order_without_answer(s):
    """The answer to an order is lost: the engine's state is read anew, in time
    for a request that may take 0.9 s."""
    s.store.put("op", "config", config(40, timeout_ms=900))
    wait_for("configuration", lambda: "version=40" in s.gw.log())
    s.engines[0].faults["order_lost"] = 1
    a = draft(s.gw, "a7")
    expect(all_pieces(a), f"{a.status}")
    expect("order_failed" in s.gw.log(), "no order was lost")


order_without_answer.system = {"engines": 1}


def version_announced(s):
    """A new version replaces the old one and is asked for."""
    expect(all_pieces(draft(s.gw)), "before")
    for engine in s.engines:
        engine.versions["a1"] = 2
    s.store.put("op", f"version/{MODEL}.a1",
                {"model": MODEL, "adapter": "a1", "version": 2})
    wait_for("replaced", lambda: any(
        e.adapters.get("a1") == 2 for e in s.engines), 3)

    def named():
        rid = next_id()
        whole = all_pieces(draft(s.gw, rid=rid))
        return whole and "2" in {h.get("expect-version") for e in s.engines
                                 for r, h in e.seen if r == rid}

    wait_for("requests name the version", named, 6)


def two_instances(s):
    """Either instance serves every adapter; one dies, the other takes over."""
    for i, gateway in enumerate(s.gateways):
        for k in range(4):
            a = draft(gateway, f"a{i}{k}")
            expect(all_pieces(a), f"{gateway.name}: {a.status}")
    for engine in s.engines:
        expect(len({o[0] for o in engine.orders}) <= 1,
               f"holders of {engine.name}: {engine.orders}")
    s.gateways[0].popen.kill()
    wait_for("taken over", lambda: len(s.gateways[1].owned()) == 2, 8)
    for k in range(4):
        expect(all_pieces(draft(s.gateways[1], f"b{k}")), "after the loss")
    status, text = get(s.gateways[1].directory,
                       f"/api/resolve?name={HOST}&region=r1&zone=dc1")
    expect(json.loads(text)["addresses"] == [s.gateways[1].front],
           f"addresses: {text}")


two_instances.system = {"gateways": 2}


def paused_holder(s):
    """A holder that was paused gives no order under an old number."""
    paused = next(g for g in s.gateways if g.owned())
    other = next(g for g in s.gateways if g is not paused)
    paused.popen.send_signal(signal.SIGSTOP)
    wait_for("taken over", lambda: len(other.owned()) == 2, 8)
    for k in range(3):
        expect(all_pieces(draft(other, f"c{k}")), "during the pause")
    paused.popen.send_signal(signal.SIGCONT)
    for k in range(3):
        expect(all_pieces(draft(paused, f"d{k}")), "after the pause")
    for engine in s.engines:
        late = [o for o in engine.orders if o[4] == 412]
        expect(len(late) <= 1, f"orders under an old number: {late}")


paused_holder.system = {"gateways": 2}


def counter(gateway, name):
    lines = get(gateway.pages, "/metrics")[1].splitlines()
    return sum(int(line.split()[-1]) for line in lines
               if line.split(" ")[0] == name)


def asks_owners(s):
    """Owners are asked what is in flight at engines; one that does not answer
    holds up a request for some ms only."""
    bare = {"Model": MODEL}  # is at both engines
    for _ in range(12):
        for gateway in s.gateways:
            expect(all_pieces(draft(gateway, headers=bare)), "before")
    for gateway in s.gateways:
        expect(counter(gateway, "fg_gw_totals_asked_total") > 0,
               f"{gateway.name} never asked")
    s.gateways[1].popen.send_signal(signal.SIGSTOP)
    for _ in range(12):
        begin = time.monotonic()
        expect(all_pieces(draft(s.gw, headers=bare)), "owner paused")
        expect(time.monotonic() - begin < 0.5, "held up")
    expect(counter(s.gw, "fg_gw_totals_late_total") > 0, "none was late")


asks_owners.system = {"gateways": 2}


def reader_and_follower(s):
    """The one that does not read the store, and the number of the other."""
    return wait_for("one of two reads the store", lambda: next(
        ((1 - i, g) for i, g in enumerate(s.gateways)
         if g.reads_store(False) and s.gateways[1 - i].reads_store()), None))


def learns_changes(s, gateway, version, name):
    """A route and the leaving of a replica are known within 2.5 s."""
    leaving = next(p for p in s.plains if not p.draining)
    s.store.put("op", "config", with_route(version, name))
    leaving.drain()
    wait_for(f"route {name}", lambda: call(
        gateway.front, f"/{name}/1").status == 200, 2.5)
    wait_for("leaving", lambda: gateway.log().count("event=leaving")
             >= sum(p.draining for p in s.plains), 2.5)


def one_reader(s):
    """One of two instances reads the store, the other learns from it, also
    when it starts later than a change."""
    _, follower = reader_and_follower(s)
    calls = follower.store_calls()
    learns_changes(s, follower, 50, "early")
    time.sleep(2)
    expect(follower.store_calls() - calls <= 1,
           f"{follower.store_calls() - calls} calls")
    follower.end()
    s.store.put("servers", "other", {"odd": 1})
    follower.start()
    reader_and_follower(s)
    calls = follower.store_calls()
    learns_changes(s, follower, 60, "late")
    time.sleep(2)
    expect(follower.store_calls() - calls <= 1,
           f"{follower.store_calls() - calls} calls after a start")


one_reader.system = {"gateways": 2, "plains": 4}


def reader_paused(s):
    """An instance whose reader stands still reads the store itself."""
    i, follower = reader_and_follower(s)
    s.gateways[i].popen.send_signal(signal.SIGSTOP)
    learns_changes(s, follower, 50, "paused")
    s.gateways[i].popen.send_signal(signal.SIGCONT)
    reader_and_follower(s)
    learns_changes(s, follower, 60, "resumed")


reader_paused.system = {"gateways": 2, "plains": 4}


def reader_cut(s):
    """... and one whose reader cannot reach the store, or is refused; then
    the one cut off learns from its neighbour."""
    for n, fault in enumerate(("silence", "refuse")):
        i, follower = reader_and_follower(s)
        if fault == "silence":
            s.store_proxies[i].silence()
        else:
            s.store_proxies[i].refuse = True
            s.store_proxies[i].reset()
        learns_changes(s, follower, 50 + 20 * n, fault)
        s.store_proxies[i].heal()
        reader_and_follower(s)


reader_cut.system = {"gateways": 2, "plains": 4, "proxied": True}


def lapsed_entries(s):
    """Entries that an outage of the store made lapse are missed for no moment
    if they are back soon, at the instance that reads the store and at the one
    that follows it."""
    reader_and_follower(s)
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
                status = call(gateway.front, "/order/1").status
                expect(status == 200, f"{gateway.name}: {status}")
            time.sleep(0.02)
        for plain in s.plains:
            plain.register()
        for gateway in s.gateways:
            wait_for("entries are back", lambda g=gateway: g.state().count(
                "listed=1") == 4)
        reader_and_follower(s)


lapsed_entries.system = {"gateways": 2}


def crashing_request(s):
    """A request that crashes each replica it runs on is refused after three,
    at the other instance too."""
    extra = [Replica(s.store, f"x{i}", "orders", False) for i in range(4)]
    for replica in s.plains + extra:
        replica.faults["crash"] = 1
    seen = wait_for("entries read", lambda: s.gw.state().count(
        "service=orders") == 6 and s.gateways[1].state().count(
        "service=orders") == 6)
    expect(seen, "entries")
    for n in range(1, 4):
        a = call(s.gw.front, "/order/poison")
        expect(a.status == 502, f"crash: {a.status}")
        for gateway in s.gateways:
            wait_for(f"crash {n} told to {gateway.name}", lambda g=gateway, k=n:
                     f"crashes={k} refused={int(k == 3)}" in g.state())
    for gateway in s.gateways:
        a = call(gateway.front, "/order/poison")
        expect(a.status == 503, f"{gateway.name}: {a.status}")
    alive = [r for r in s.plains + extra if r.faults["crash"] == 1]
    expect(len(alive) == 3, f"{len(alive)} replicas live")


crashing_request.system = {"gateways": 2}


def line_of(s, rid, event):
    lines = [dict(f.split("=", 1) for f in line.split() if "=" in f)
             for line in s.gw.log().splitlines()
             if f" id={rid} " in line and f"event={event} " in line]
    return lines[0] if lines else None


def request_lines(s):
    """A request's id leads to a line with the fields that the operators' page
    names, and the metrics count its end."""
    page = os.path.join(HERE, "..", "docs", "OPERATIONS-gateway.md")
    with open(page, encoding="utf-8") as f:
        text = f.read()
    begin = text.index("Fields of `request` lines:")
    words = text[begin:text.index("-1 means", begin)].split("`")[3::2]
    served, lost, refused = next_id(), next_id(), next_id()
    expect(draft(s.gw, rid=served).status == 200, "served")
    for plain in s.plains:
        plain.faults = {"lost": 1}
    expect(call(s.gw.front, "/order/1", lost).status == 502, "lost")
    for plain in s.plains:
        plain.faults = {"not_run": 50}
    expect(call(s.gw.front, "/order/1", refused).status == 503, "refused")
    for rid, event, reason, absent in (
            (served, "answered", "200", set()),
            (lost, "failed", "connection_lost", {"adapter"}),
            (refused, "refused", "endpoint_full", {"adapter"})):
        line = wait_for(f"line of {event}",
                        lambda r=rid, e=event: line_of(s, r, e))
        expect(line["reason"] == reason, f"{event}: {line}")
        missing = set(words) - set(line) - absent
        expect(not missing, f"{event} lacks {missing}")
    metrics = get(s.gw.pages, "/metrics")[1]
    for text in ('fg_gw_requests_total{kind="streaming",outcome="answered"} 1',
                 'fg_gw_requests_total{kind="unsafe",outcome="failed"} 1',
                 'fg_gw_reasons_total{outcome="refused",'
                 'reason="endpoint_full"} 1',
                 'fg_gw_waiting{for="load"} 0',
                 'fg_gw_waiting_ms{for="endpoint"} 0',
                 'fg_gw_repeats_left{service="orders"}'):
        expect(text in metrics, f"metrics lack {text}")


def bad_input(s):
    """Bad requests get a clear status, and the instance goes on."""
    host, port = s.gw.front.split(":")

    def raw(data, limit_s=5):
        sock = socket.create_connection((host, int(port)), limit_s)
        with sock:
            sock.sendall(data)
            try:
                return sock.recv(4096)[9:12]
            except OSError:
                return b""

    expect(raw(b"hello\r\n\r\n") == b"400", "malformed")
    expect(raw(b"GET / HTTP/1.1\r\n\r\n") == b"400", "no host")
    expect(raw(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"y" * 9000 +
               b"\r\n\r\n") == b"431", "large head")
    expect(raw(b"POST /order/1 HTTP/1.1\r\nHost: kitchen.example\r\n"
               b"Content-Length: 70000\r\n\r\n") == b"413", "large body")
    expect(raw(b"POST /order/1 HTTP/1.1\r\nHost: kitchen.example\r\n"
               b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
               b"0\r\n\r\n") == b"400", "two lengths")
    expect(raw(b"GET /order/1 HTT") == b"408", "slow head")
    half = [socket.create_connection((host, int(port))) for _ in range(30)]
    expect(call(s.gw.front, "/order/1").status == 200, "no service")
    for sock in half:
        sock.close()


def settings_change(s):
    """Changed settings are taken or refused, with a line that says which."""
    s.gw.write_settings(s.store.addr, "lookup_ttl_s: 4\n")
    wait_for("reloaded", lambda: s.gw.log().count("event=reloaded") == 1, 6)
    text = get(s.gw.directory, f"/api/resolve?name={HOST}&region=r1")[1]
    expect(json.loads(text)["ttlS"] == 4, f"not in force: {text}")
    s.gw.write_settings(s.store.addr, "lookup_ttl_s: soon\n")
    s.gw.popen.send_signal(signal.SIGHUP)
    wait_for("refused", lambda: "event=refused" in s.gw.log(), 6)
    expect(call(s.gw.front, "/order/1").status == 200, "no service")


SCENARIOS = [
    serves, events_pass_at_once, adapter_slots, resumes, not_resumable, runs_once,
    not_run_elsewhere, safe_repeats, body_without_length,
    stray_answer, silent_replica, caller_leaves, planned_stop,
    stop_meets_request, store_away, silent_feed, silent_reader,
    unknown_after_outage, behind_a_slow_store, before_configuration,
    rows_of_others, draining_replica, address_reused,
    engine_restarts_empty, order_without_answer, version_announced,
    two_instances, paused_holder, asks_owners, one_reader,
    reader_paused, reader_cut, lapsed_entries, crashing_request,
    request_lines, bad_input, settings_change,
]


def run(scenario):
    system = None
    try:
        system = System(**getattr(scenario, "system", {}))
        scenario(system)
        print(f"ok {scenario.__name__}", flush=True)
        return True
    except (AssertionError, StopIteration) as why:
        print(f"not ok {scenario.__name__}: {why}")
        traceback.print_exc(limit=2)
        if system is not None:
            for gateway in system.gateways:
                print(f"--- {gateway.name}\n{gateway.log()[-6000:]}")
        return False
    finally:
        if system is not None:
            system.end()


def main():
    names = sys.argv[1:]
    chosen = [s for s in SCENARIOS if not names or s.__name__ in names]
    results = [run(s) for s in chosen]
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main())

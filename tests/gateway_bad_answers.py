"""Scenarios of tests/gateway.py: answers with a status that is none, and
answers without end."""

import re
import threading
import time

from gateway_cuts import CuttableSystem
from gateway_tunnels import cut_from_endpoints
from hosted import (
    PEAK_MB, Gateway, System, check, find_log_lines, has_all_events, http_get, make_config,
    next_id, peak_memory_mb, send, send_draft, wait_for)

BAD_STATUSES = ("000", "0", "001", "020", "099", "101", "600", "999", "0200", "1000",
                "65736", "-200", "2x0", "+200", "")
FRAMINGS = ("length", "chunks", "end", "none")
PATHS = ("/order/1", "/lookup/1", "/draft/1", "/brief/1")
AT_ONCE_S = 1.5  # far less than Deadline-Ms
FLOOD_CALLERS = 40
FLOOD_DEADLINE_MS = 6000
# What an instance reads of informational answers, and what the buffers of two
# sockets take on top of it.
FLOOD_MAX_BYTES = 64 * 1024 + 8 * 1024 * 1024


class GenerousGateway(Gateway):
    retry_slack = 10000


class GenerousSystem(System):
    gateway_class = GenerousGateway


class GenerousCuttableSystem(CuttableSystem):
    gateway_class = GenerousGateway


def bad_answer(status, framing):
    """An answer_with of a replica."""

    def answer(replica, req, rid):
        head = (f"HTTP/1.1 {status} X\r\nRequest-Id: {rid}\r\n"
                f"Response-Stamp: {replica.name}\r\n")
        text = {"length": head + "Content-Length: 4\r\n\r\nbody",
                "chunks": head + "Transfer-Encoding: chunked\r\n\r\n"
                                 "4\r\nbody\r\n0\r\n\r\n",
                "end": head + "\r\nbody", "none": head + "\r\n"}[framing]
        req.sock.sendall(text.encode())
        if framing == "end":
            return False
        replica.wait_for_disconnect(req, rid, 8)
        return False

    return answer


def flood(begin, piece):
    """An answer_with that writes without end, until the caller closes."""

    def answer(replica, req, rid):
        try:
            req.sock.sendall(begin(replica, rid))
            while True:
                req.sock.sendall(piece)
                replica.endless_bytes += len(piece)
        except OSError:
            replica.endless_closed += 1
        return False

    return answer


def own_head(replica, rid):
    return (f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\nResponse-Stamp: "
            f"{replica.name}\r\nTransfer-Encoding: chunked\r\n\r\n").encode()


FLOODS = {
    "informational": flood(lambda *_: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
    "others": flood(lambda *_: b"", b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
                                    b"Content-Length: 2\r\n\r\nno" * 400),
    "extensions": flood(own_head, (b"1;e=" + b"x" * 4000 + b"\r\na\r\n") * 4),
}


def call(gateway, path, rid, deadline_ms=4000):
    if path[1] in "db":
        return send_draft(gateway, path=path, rid=rid,
                          headers={"Deadline-Ms": str(deadline_ms)})
    return send(gateway.front, path, rid, headers={"Deadline-Ms": str(deadline_ms)})


def judge_bad(s, status, framing, path):
    """All endpoints answer so: the caller gets no answer of theirs, at once."""
    rid = next_id()
    begin = time.monotonic()
    a = call(s.gateways[0], path, rid)
    took_s = time.monotonic() - begin
    what = f"{path} {status} {framing}"
    check(a.status in (502, 503, 504), f"{what}: {a.status}")
    check("Response-Stamp" not in a.headers, f"{what}: the endpoint's answer")
    check(took_s < AT_ONCE_S, f"{what}: {took_s:.1f} s")
    runs = s.run_count(rid)
    check(runs == 0 or a.status != 503, f"{what}: ran, and 503")
    check(runs <= (1 if path == "/order/1" else 2), f"{what}: ran {runs} times")


def judge_statuses(s, cases):
    replicas = s.plains + s.engines
    for status, framing in cases:
        for replica in replicas:
            replica.answer_with = bad_answer(status, framing)
        for path in PATHS:
            judge_bad(s, status, framing, path)
    for replica in replicas:
        replica.answer_with = None
    seen = int(re.search(r"^fg_gw_bad_statuses_total (\d+)$", http_get(
        s.gateways[0].metrics, "/metrics")[1], re.M)[1])
    check(seen >= len(cases) * len(PATHS), f"{seen} bad statuses counted")
    logged = {line.get("status") for line in find_log_lines(s.gateways[0], "bad_status")}
    check("000" in logged, f"logged: {logged}")


def status_that_is_none(s):
    """Guards against an answer with the status 000, or another that is none, that
    reaches a caller or keeps it waiting until its deadline."""
    send_draft(s.gw)
    judge_statuses(s, [(status, framing) for status in BAD_STATUSES
                       for framing in FRAMINGS])
    wait_for("served again", lambda: has_all_events(send_draft(s.gw)))
    for replica in (s.plains[0], s.engines[0]):
        replica.answer_with = bad_answer("000", "length")
    for _ in range(8):
        a = send(s.gw.front, "/lookup/1")
        check(a.status == 200, f"lookup beside a sound endpoint: {a.status}")
        a = send_draft(s.gw)
        check(has_all_events(a), f"draft beside a sound endpoint: {a.status}")


def status_that_is_none_through_instance(s):
    cut_from_endpoints(s)
    judge_statuses(s, [(status, framing)
                       for status in ("000", "099", "101", "600", "999", "0200")
                       for framing in ("length", "end")])


def informational_answers(s):
    """Some informational answers precede the answer; those without end are cut
    off, and their endpoint's requests are served elsewhere."""

    def hint(replica, req, rid):
        for status in ("100 Continue", "102 Processing", "103 Early Hints"):
            req.sock.sendall(f"HTTP/1.1 {status}\r\nLink: </a>\r\n\r\n".encode())
        return (replica.answer_stream if replica.engine
                else replica.answer_plain)(req, rid)

    for replica in s.plains + s.engines:
        replica.answer_with = hint
    for path in PATHS:
        a = call(s.gateways[0], path, next_id())
        check(a.status == 200 and a.whole, f"{path}: {a.status}")
    for replica in s.plains + s.engines:
        replica.answer_with = None
    judge_flood(s)


def judge_flood(s):
    """All endpoints answer so, and then all but one of each service."""
    for what, answer in FLOODS.items():
        print(what)
        play_flood(s, s.plains + s.engines, answer,
                   lambda status: status in (502, 503))
        for replica in (s.plains[0], s.engines[0]):
            replica.answer_with = None
        play_flood(s, s.plains[1:] + s.engines[1:], answer,
                   lambda status: status == 200)
        for replica in s.plains + s.engines:
            replica.answer_with = None
        check(send(s.gateways[0].front, "/lookup/1").status == 200, "not served")


def play_flood(s, replicas, answer, expected):
    for replica in replicas:
        replica.answer_with = answer
        replica.endless_bytes = replica.endless_closed = 0
    answers = []

    def run(path):
        begin = time.monotonic()
        a = call(s.gateways[0], path, next_id(), FLOOD_DEADLINE_MS)
        answers.append((path, a.status, time.monotonic() - begin))

    threads = [threading.Thread(target=run, args=(("/lookup/1", "/draft/1")[i % 2],))
               for i in range(FLOOD_CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    sent = sum(r.endless_bytes for r in s.plains + s.engines)
    floods = sum(r.endless_closed for r in s.plains + s.engines)
    slowest = max(took for _, _, took in answers)
    peak = peak_memory_mb(s.gateways[0])
    print(f"{floods} floods, {sent / 1e6:.1f} MB, slowest {slowest:.2f} s, peak "
          f"{peak:.0f} MB, {sorted({status for _, status, _ in answers})}")
    check(sent <= max(floods, 1) * FLOOD_MAX_BYTES, f"{sent} bytes of {floods} floods")
    check(peak < PEAK_MB, f"peak {peak:.0f} MB")
    check(slowest < FLOOD_DEADLINE_MS / 2000, f"{slowest:.1f} s")
    check(all(expected(status) for _, status, _ in answers), f"{answers}")
    check(floods > 0 or expected(200), "no flood")


def floods_through_instance(s):
    cut_from_endpoints(s)
    judge_flood(s)


def bad_answers_to_orders(s):
    """The answers to orders and reports are none: bounded memory, no load counts
    as done, and the engine is used again when it answers."""
    for mode in ("000", "600", "flood"):
        for engine in s.engines:
            engine.order_answers = mode
        for n in range(6):
            a = send_draft(s.gw, f"{mode}{n}", headers={"Deadline-Ms": "1000"})
            check(a.status in (200, 502, 503, 504), f"{mode}: {a.status}")
        check(s.gw.popen.poll() is None, "the process ended")
        peak = peak_memory_mb(s.gw)
        check(peak < PEAK_MB, f"{mode}: {peak:.0f} MB")
        check(not any(o[2] == "overfull" for e in s.engines for o in e.orders),
              f"{mode}: overfull")
    for engine in s.engines:
        engine.order_answers = None
    wait_for("loads again", lambda: has_all_events(send_draft(s.gw, "later")))
    check(find_log_lines(s.gw, "unreadable_answer"), "no log line")


def bad_answers_of_store(s):
    """An answer of the store with a status that is none is no answer: what was
    read stays in force."""
    for n, mode in enumerate(("status_000", "status_0200", "endless_informational"), 2):
        s.store.mode = mode
        s.store.put("op", "config", make_config(n, extra_routes=[]))
        wait_for("calls fail", lambda: "failures=0" not in
                 s.gw.state().split("feed op ")[1].split("\n")[0])
        for _ in range(10):
            check(send(s.gw.front, "/order/1").status == 200, mode)
        peak = peak_memory_mb(s.gw)
        check(peak < PEAK_MB, f"{mode}: {peak:.0f} MB")
        s.store.mode = "up"
        wait_for("reads again", lambda: "failures=0" in
                 s.gw.state().split("feed op ")[1].split("\n")[0])


for scenario in (status_that_is_none, informational_answers):
    scenario.system_class = GenerousSystem
for scenario in (status_that_is_none_through_instance,
                 floods_through_instance):
    scenario.system_class = GenerousCuttableSystem
    scenario.system_options = {"gateways": 3}

SCENARIOS = [status_that_is_none, status_that_is_none_through_instance,
             informational_answers, floods_through_instance,
             bad_answers_to_orders, bad_answers_of_store]

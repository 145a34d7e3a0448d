"""Scenarios of tests/gateway.py: a refusal that an endpoint writes once more on a kept
connection, where the answer to another request is due."""

import http.client
import itertools
import socket
import threading
import time

from gateway_tunnels import TunnelSystem, cut_from_endpoints
from hosted import (
    HOST, check, event_ids, find_log_lines, has_all_events, make_config, next_id,
    reset_connection, send, send_draft, wait_for)

STATUSES = (408, 421, 429, 503)
IDS = ("none", "earlier")
# While the connection is idle, before the answer that is due, and in the middle of the
# work on the request.
MOMENTS = ("idle", "at_once", "amid_work")


class Copy:
    """A refusal that is written again: `rid` is the earlier request that it had
    refused."""

    def __init__(self, status, not_run, stamped, with_id, moment):
        self.status = status
        self.not_run = not_run
        self.stamped = stamped
        self.with_id = with_id
        self.moment = moment
        self.second = None  # id of the request that meets the copy
        self.written = 0
        self.reused = False
        self.sock = None

    def __str__(self):
        return (f"{self.status}{' Not-Run' if self.not_run else ''}"
                f"{' stamped' if self.stamped else ''} id={self.with_id} {self.moment}")

    def headers(self, replica, first):
        out = []
        if self.not_run:
            out.append(("Not-Run", "1"))
        if self.stamped:
            out.append(("Response-Stamp", replica.name))
        if self.with_id == "earlier":
            out.append(("Request-Id", first))
        return out

    def serve(self, replica, req, rid):
        body = f"done by {replica.name} for {rid}".encode()
        fields = [("Request-Id", rid), ("Response-Stamp", replica.name),
                  ("Keep-Alive", "timeout=9")]
        if rid != self.second:
            self.sock = req.sock
            self.first = rid
            req.answer(200, body, fields)
            if self.moment == "idle" and self.second is None:
                time.sleep(0.02)
                self.write(replica, req)
            return True
        self.reused = self.reused or req.sock is self.sock
        if self.moment == "amid_work":
            time.sleep(0.03)
        if self.moment != "idle":
            self.write(replica, req)
        time.sleep(0.03)
        req.answer(200, body, fields)
        return True

    def write(self, replica, req):
        self.written += 1
        req.answer(self.status, headers=self.headers(replica, self.first))


COPIES = [Copy(*c) for c in itertools.product(
    STATUSES, (True, False), (True, False), IDS, MOMENTS)]


def meet_copy(s, copy, path):
    """Sends one request and then the one that meets the copy; returns its answer."""
    method = "GET" if "lookup" in path else "POST"
    copy.second = None
    for replica in s.plains:
        replica.answer_with = copy.serve
    check(send(s.gw.front, path, method=method).status == 200, "not served")
    if copy.moment == "idle":
        time.sleep(0.05)
    copy.second = next_id()
    return send(s.gw.front, path, copy.second, method=method)


def judge(s, copy, path, answer):
    runs = s.run_count(copy.second)
    check(answer.status in (200, 502), f"{path} {copy}: {answer.status}, ran {runs} times")
    if answer.status == 200:
        check(answer.body == f"done by p0 for {copy.second}", f"{path} {copy}: {answer.body}")
    if path == "/order/1":
        check(runs == 1, f"{path} {copy}: ran {runs} times")
    if copy.with_id == "earlier" or copy.moment == "idle":
        check(answer.status == 200, f"{path} {copy}: {answer.status}")


def refusal_written_again(s):
    """A refusal that the endpoint writes once more where the answer to another request
    is due says nothing about that request: it ran, once."""
    reused = 0
    for copy in COPIES:
        for path in ("/order/1", "/lookup/1"):
            judge(s, copy, path, meet_copy(s, copy, path))
        reused += copy.reused
    check(all(c.written > 0 for c in COPIES), "no copy was written")
    check(reused >= len(COPIES) / 2, f"{reused} of {len(COPIES)} on kept connections")


refusal_written_again.system_options = {"engines": 0, "plains": 1}


def refusal_again_through_tunnel(s):
    """The same through another instance, where each connection carries one request."""
    cut_from_endpoints(s)
    for copy in COPIES[::5]:
        for path in ("/order/1", "/lookup/1"):
            judge(s, copy, path, meet_copy(s, copy, path))


refusal_again_through_tunnel.system_options = {"gateways": 2, "plains": 1}
refusal_again_through_tunnel.system_class = TunnelSystem


class RawEndpoint:
    """A plain service that decides about each byte: `serve(self, sock)` gets each
    connection. It writes refusals of the kind in `status` and `with_id`."""

    def __init__(self, s, serve):
        self.status = None
        self.with_id = None
        self.runs = []
        self.serve = serve
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()
        s.plains[0].crash()  # ends the connections to the former address
        s.plains[0].addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        s.plains[0].register()
        wait_for("it is used", lambda: (send(s.gw.front, "/order/1"), self.runs)[1])

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(sock,), daemon=True).start()

    def guard(self, sock):
        try:
            self.serve(self, sock)
        except (OSError, ValueError):
            pass
        sock.close()

    def write_refusal(self, sock, earlier):
        if self.status is not None:
            sock.sendall(answer_bytes(
                self.status, earlier if self.with_id == "earlier" else None,
                extra="Not-Run: 1\r\n"))

    def write_answer(self, sock, rid):
        sock.sendall(answer_bytes(200, rid, rid.encode()))


def read_head(sock):
    """Returns (fields with lower-case names, bytes of the body that came with them)."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(4096)
        if not more:
            raise ValueError
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in lines)}, body


def answer_bytes(status, rid, body=b"", extra=""):
    echo = "" if rid is None else f"Request-Id: {rid}\r\n"
    return (f"HTTP/1.1 {status} X\r\n{echo}Response-Stamp: p0\r\n{extra}"
            f"Content-Length: {len(body)}\r\nKeep-Alive: timeout=9\r\n\r\n").encode() + body


BODY_BYTES = 4 * 1024 * 1024  # more than the buffers of a connection hold


def serve_slowly(endpoint, sock):
    """Writes the refusal when the head of a later request has come, and reads on."""
    earlier = None
    while True:
        fields, body = read_head(sock)
        if earlier is not None:
            endpoint.write_refusal(sock, earlier)
        left = int(fields.get("content-length", "0")) - len(body)
        while left > 0:
            data = sock.recv(65536)
            if not data:
                return
            left -= len(data)
            time.sleep(0.0005)
        earlier = fields["request-id"]
        endpoint.runs.append(earlier)
        endpoint.write_answer(sock, earlier)


def refusal_again_in_body(s):
    """The same while the body of the request is being sent: the endpoint reads on."""
    s.store.put("op", "config", {**make_config(2), "limits": {
        "maxBodyBytes": 2 * BODY_BYTES, "headerTimeoutMs": 2000, "idleTimeoutMs": 15000}})
    wait_for("in force", lambda: " configuration=2 " in s.gw.state())
    endpoint = RawEndpoint(s, serve_slowly)
    for endpoint.status, endpoint.with_id in itertools.product(STATUSES, IDS):
        case = f"{endpoint.status} {endpoint.with_id}"
        send(s.gw.front, "/order/1")  # leaves a connection that is kept
        rid = next_id()
        a = send(s.gw.front, "/order/1", rid, body=b"x" * BODY_BYTES)
        runs = endpoint.runs.count(rid)
        check(a.status in (200, 502) and runs <= 1, f"{case}: {a.status}, ran {runs} times")
        check(a.status != 200 or a.body == rid, f"{case}: {a.body!r}")
        check(endpoint.with_id == "none" or a.status == 200, f"{case}: {a.status}")


refusal_again_in_body.system_options = {"engines": 0, "plains": 1}


def serve_and_refuse_unasked(endpoint, sock):
    """Writes the refusal when no request comes; breaks requests "lost-..." off."""
    sock.settimeout(0.05)
    try:
        fields, _ = read_head(sock)
    except TimeoutError:
        endpoint.n_unasked += 1
        endpoint.write_refusal(sock, "earlier-one")
        sock.settimeout(None)
        fields, _ = read_head(sock)
    sock.settimeout(None)
    while True:
        rid = fields["request-id"]
        endpoint.runs.append(rid)
        if rid.startswith("lost-"):
            sock.sendall(answer_bytes(200, rid, b"all of it")[:-4])
            time.sleep(0.05)
            reset_connection(sock)
            return
        endpoint.write_answer(sock, rid)
        fields, _ = read_head(sock)


def refusal_on_checked_connection(s):
    """A refusal on a connection that was opened to look whether the endpoint lives, and
    that carries no request, is none of the request that comes next."""
    endpoint = RawEndpoint(s, serve_and_refuse_unasked)
    for endpoint.status, endpoint.with_id in itertools.product(STATUSES, IDS):
        case = f"{endpoint.status} {endpoint.with_id}"
        endpoint.n_unasked = 0
        a = send(s.gw.front, "/order/1", "lost-" + next_id())
        check(a.status == 502, f"{case}: broken off: {a.status}")
        wait_for("it looks whether the endpoint lives", lambda: endpoint.n_unasked, 3)
        for _ in range(3):
            rid = next_id()
            a = send(s.gw.front, "/order/1", rid)
            runs = endpoint.runs.count(rid)
            check(a.status == 200 and a.body == rid and runs == 1,
                  f"{case}: {a.status}, ran {runs} times")


refusal_on_checked_connection.system_options = {"engines": 0, "plains": 1}


def refusal_without_id(s):
    """Requests that name no id share no connection, since nothing would tell their
    answers apart."""
    socks = []

    def serve(replica, req, rid):
        socks.append(req.sock)
        req.answer(200, b"done", [("Response-Stamp", replica.name),
                                  ("Keep-Alive", "timeout=9")])
        return True

    s.plains[0].answer_with = serve
    host, port = s.gw.front.split(":")
    for _ in range(4):
        conn = http.client.HTTPConnection(host, int(port), timeout=5)
        conn.request("POST", "/order/1", b"x", {"Host": HOST})
        status = conn.getresponse().status
        conn.close()
        check(status == 200, f"{status}")
    check(len(set(socks)) == 4, "a connection was used again")


refusal_without_id.system_options = {"engines": 0, "plains": 1}


def unproven_refusals(s):
    """An answer 408, 429 or 503 in which the endpoint does not say that it has not run
    the request does not reach a caller as a promise that it has not."""
    for status, stamped in itertools.product((408, 429, 503), (True, False)):
        def serve(replica, req, rid, status=status, stamped=stamped):
            req.answer(status, b"", [("Request-Id", rid)] + (
                [("Response-Stamp", replica.name)] if stamped else []))
            return True
        for replica in s.engines + s.plains:
            replica.answer_with = serve
        for path in ("/order/1", "/brief/1"):
            rid = next_id()
            a = (send(s.gw.front, path, rid) if "order" in path
                 else send_draft(s.gw, path=path, rid=rid))
            check(a.status == 502 and s.run_count(rid) == 1,
                  f"{path} {status}: {a.status}, ran {s.run_count(rid)} times")
            check("Response-Stamp" not in a.headers, "another status is stamped")


unproven_refusals.system_options = {"engines": 1, "plains": 1}


def refused_orders_again(s):
    """A refusal of an order that the engine writes once more is not the answer to the
    next order: no engine gets more loads than it has room for, and streams are served.
    """
    for _ in range(4):
        for engine in s.engines:
            engine.faults = {"order_refused": 2, "report_refused": 1}
        threads = [threading.Thread(target=send_draft, args=(s.gw, f"a{i}"))
                   for i in range(9)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    for engine in s.engines:
        engine.faults = {}
        check(not any(o[2] == "overfull" for o in engine.orders), "too many loads")
        check(engine.refusals_again == 0,
              f"{engine.refusals_again} refusals on connections that were used again")
    wait_for("served", lambda: all(has_all_events(send_draft(s.gw, f"a{i}"))
                                   for i in range(3)))


refused_orders_again.system_options = {"engines": 2, "plains": 0}


def refused_report_again(s):
    """The same for the report that is asked for before a stream: the stream that
    follows on the connection is not refused by it."""
    wait_for("served", lambda: has_all_events(send_draft(s.gw)))
    for _ in range(5):
        for engine in s.engines:
            port = int(engine.server.addr.split(":")[1])
            engine.server.stop()
            engine.server.start(port)
            engine.faults = {"report_refused": 1}
        rid = next_id()
        a = send_draft(s.gw, rid=rid)
        check(a.status != 503 or s.run_count(rid) == 0,
              f"{a.status}, ran {s.run_count(rid)} times")
        check(not a.whole or a.status != 200 or has_all_events(a), f"{event_ids(a)}")
    check(find_log_lines(s.gw, "start_not_confirmed"), "no report was asked for")


refused_report_again.system_options = {"engines": 1, "plains": 0}


def report_copied_before_unload(s):
    """A late copy of the answer to a report is not taken for the answer to an
    unload, which the engine still carries out: it is not ordered to load more
    than it holds."""
    engine = s.engines[0]
    for i in range(6):
        check(has_all_events(send_draft(s.gw, f"a{i}")), f"a{i} is not served")
    engine.unload_wait_s = 1.0
    engine.faults["report_copied"] = 1000
    for i in range(6, 10):
        engine.faults["order_refused"] = 1  # makes it ask for a report
        a = send_draft(s.gw, f"a{i}")
        print(f"a{i}: {a.status}")
    overfull = [o for o in engine.orders if o[2] == "overfull"]
    print(f"{engine.reports_again} reports again, {len(overfull)} overfull")
    check(not overfull, f"{len(overfull)} loads beyond the engine's places")
    engine.faults["report_copied"] = 0
    wait_for("a9 is served", lambda: has_all_events(send_draft(s.gw, "a9")))


report_copied_before_unload.system_options = {"engines": 1}

SCENARIOS = [
    report_copied_before_unload,
    refusal_written_again, refusal_again_through_tunnel, refusal_again_in_body,
    refusal_on_checked_connection, refusal_without_id,
    unproven_refusals, refused_orders_again, refused_report_again,
]

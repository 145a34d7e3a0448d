"""Scenarios of tests/gateway.py: answers that end within their head or body, at
each place where a parser changes its state. No part counts as whole."""

import itertools
import threading
import time

from gateway_tunnels import TunnelSystem, cut_from_endpoints
from hosted import (
    EVENTS, HOST, Replica, broken_orders, check, has_all_events, make_config, next_id,
    reset_connection, send, send_draft, wait_for)

THREADS = 12
PATHS = {"order": "POST", "lookup": "GET", "lookup_head": "HEAD",
         "draft": "POST", "brief": "POST"}
INTERIM = {"": b"", "100": b"HTTP/1.1 100 Continue\r\n\r\n",
           "103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"}
FRAMINGS = ("length", "chunks", "unframed", "204", "304")


def body_pieces(path, name, rid):
    if path in ("draft", "brief"):
        return [f"id: {i}\ndata: piece {i} {rid}\n\n".encode()
                for i in range(1, EVENTS + 1)]
    return [f"done by {name}".encode(), f" for {rid}".encode()]


def make_answer(path, interim, framing, name, rid):
    """Returns (head with what comes before it, body) of a whole answer."""
    status = framing if framing in ("204", "304") else "200"
    head = INTERIM[interim] + (
        f"HTTP/1.1 {status} OK\r\nRequest-Id: {rid}\r\n"
        f"Response-Stamp: {name}\r\n").encode()
    if path in ("draft", "brief"):
        head += b"Content-Type: text/event-stream\r\n"
    pieces = body_pieces(path, name, rid)
    body = b"" if status != "200" else b"".join(pieces)
    if framing == "length":
        head += b"Content-Length: %d\r\n" % len(body)
    if framing == "chunks":
        head += b"Transfer-Encoding: chunked\r\n"
        body = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)
        body += b"0\r\n\r\n"
    return head + b"\r\n", b"" if path == "lookup_head" else body


def places_in_head(head):
    """Lengths of the parts of a head that end within or around a token."""
    places, at = set(), 0
    for line in head.split(b"\r\n")[:-1]:
        end = at + len(line)
        colon = head.find(b":", at, end)
        places |= {at, min(at + 3, end), end, end + 1}
        places |= {colon, colon + 1, (colon + end) // 2} if colon > 0 else {
            end - 3}
        at = end + 2
    return sorted(p for p in places if 0 < p < len(head))


class Cut:
    """An answer of which the first `part` bytes are sent; None: all."""

    def __init__(self, path, interim, framing, part, end):
        self.path, self.interim, self.framing = path, interim, framing
        self.part, self.end = part, end
        self.rid = f"cut{int(next_id()[3:]):05d}"  # all of the same length
        self.answer = None

    def __str__(self):
        return (f"{self.path} {self.interim} {self.framing} {self.part} "
                f"{self.end}")

    def serve(self, replica, req):
        head, body = make_answer(self.path, self.interim, self.framing,
                                 replica.name, self.rid)
        req.sock.sendall((head + body)[:self.part])
        if self.end == "reset":
            reset_connection(req.sock)
        return self.part is None and self.framing != "unframed"

    def send(self, gateway):
        if self.path in ("draft", "brief"):
            self.answer = send_draft(gateway, path=f"/{self.path}/1",
                                     rid=self.rid)
            return
        method = PATHS[self.path]
        self.answer = send(
            gateway.front, f"/{self.path.split('_')[0]}/1", self.rid, method,
            b"x" if method == "POST" else None)

    def judge(self, runs):
        a = self.answer
        check(runs > 0, f"{self}: not played, {a.status}")
        check(self.path != "order" or runs == 1, f"{self}: ran {runs} times")
        if self.part is None:
            check(a.whole and a.status in (200, 204, 304),
                  f"{self}: {a.status} {a.body!r}")
            return
        check(a.status in (502, 504) or not a.whole,
              f"{self}: {a.status} looks whole: {a.body!r}")


def cuts_of(path):
    """Each place of the head in each kind of answer and each end, and places
    in the body; the places of an interim head once."""
    cuts = []
    for framing, interim in itertools.product(FRAMINGS, INTERIM):
        if interim and framing not in ("length", "204"):
            continue
        head, body = make_answer(path, interim, framing, "p0", "cut00000")
        parts = places_in_head(head)
        if framing != "length":
            parts = [p for p in parts if p < 20 or p > len(head) - 8]
        if body and framing != "unframed":
            parts += [len(head), len(head) + 1, len(head) + len(body) // 2,
                      len(head) + len(body) - 1]
        cuts += [Cut(path, interim, framing, part, end)
                 for part in parts for end in ("closed", "reset")]
        if body and framing == "unframed":
            cuts += [Cut(path, interim, framing, len(head) + n, "reset")
                     for n in (0, 1, len(body) // 2)]
        cuts.append(Cut(path, interim, framing, None, "closed"))
    if path in ("draft", "brief"):
        cuts = [c for c in cuts if c.framing not in ("204", "304")]
    return cuts


def play(s, cuts):
    by_id = {c.rid: c for c in cuts}
    for replica in s.engines + s.plains:
        replica.answer_with = lambda r, req, rid: by_id[rid].serve(r, req)
    left = iter(cuts)
    lock = threading.Lock()

    def run():
        while True:
            with lock:
                cut = next(left, None)
            if cut is None:
                return
            cut.send(s.gateways[0])

    threads = [threading.Thread(target=run) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for replica in s.engines + s.plains:
        replica.answer_with = None
    wrong = []
    for cut in cuts:
        try:
            cut.judge(s.run_count(cut.rid))
        except AssertionError as why:
            wrong.append(str(why))
    print(f"{len(cuts)} answers, {len(wrong)} wrong")
    check(not wrong, f"{len(wrong)}: " + "; ".join(wrong[:6]))


def cut_heads(s):
    """No part of an answer to an order, lookup, draft or brief counts as
    whole."""
    check(has_all_events(send_draft(s.gw)), "no service")
    play(s, [c for path in PATHS for c in cuts_of(path)])


def cut_heads_hop(s):
    """The same through another instance."""
    cut_from_endpoints(s)
    play(s, [c for path in PATHS for c in cuts_of(path)])


cut_heads_hop.system_options = {"gateways": 2}
cut_heads_hop.system_class = TunnelSystem


class CuttingSocket:
    """Sends `part` bytes of an answer and ends the connection."""

    def __init__(self, sock, part, end):
        self.sock, self.part, self.end = sock, part, end

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def sendall(self, data):
        self.sock.sendall(data[:self.part])
        if self.end == "reset":
            reset_connection(self.sock)
        raise OSError("cut")


def cut_control_answers(servers, target, example):
    """From now on the answers to `target` end at each place of `example` in
    turn. Returns the list of what is still to be played."""
    parts = [*places_in_head(example), len(example), len(example) + 2]
    left = [(part, end) for part in parts for end in ("closed", "reset")]

    def wrap(handle):
        def serve(req):
            if req.target.startswith(target) and left:
                req.sock = CuttingSocket(req.sock, *left.pop())
            return handle(req)
        return serve

    for server in servers:
        server.handle = wrap(server.handle)
    return left


def cut_engine_answers(s):
    """Answers to orders, and to the reports that are asked for after them, that
    end within their head are no answers. The orders stay right; each stream is
    served or refused as not run, and served once answers are whole."""
    servers = [e.server for e in s.engines]
    plans = {target: cut_control_answers(
        servers, target, b"HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n")
        for target in ("/api/order", "/api/report")}
    planned = len(plans["/api/order"])
    for i in range(planned):
        rid = next_id()
        a = send_draft(s.gw, f"c{i}", rid=rid)
        check(has_all_events(a) or a.status == 503 and not s.run_count(rid),
              f"adapter c{i}: {a.status}")
        if not any(plans.values()):
            break
    for target, left in plans.items():
        print(f"{target}: {planned - len(left)} of {planned} cut")
        check(planned - len(left) >= 20, f"{target}: {len(left)} not played")
        del left[:]
    wait_for("a stream", lambda: has_all_events(send_draft(s.gw, "last")))
    for engine in s.engines:
        check(not broken_orders(engine), f"{broken_orders(engine)}")
        check(not [o for o in engine.orders if o[2] == "overfull"], "overfull")


def cut_store_answers(s):
    """Answers of the store that end within their head are no answers: the
    instance goes on serving and takes the next configuration."""
    left = cut_control_answers([s.store.server], "/api/rows-feed",
                               b"HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n")
    planned = len(left)

    def all_cut():
        s.store.put("op", "config", make_config(2 + s.store.version))
        time.sleep(0.02)
        check(send(s.gw.front, "/order/1").status == 200, "no service")
        return planned - len(left) >= 20

    wait_for("cut", all_cut)
    del left[:]
    s.store.put("op", "config", make_config(2 + s.store.version, extra_routes=[
        {"name": "after", "host": HOST, "prefix": "/after/", "kind": "safe",
         "timeoutMs": 900, "service": "orders", "maxAttempts": 1}]))
    wait_for("the new route", lambda: send(
        s.gw.front, "/after/1", method="GET", body=None).status == 200, 6)
    check(has_all_events(send_draft(s.gw)), "no streams")


def cut_store_writes(s):
    """The same for transactions, whose outcome is then open: each new engine
    gets an owner, and orders stay right."""
    left = cut_control_answers([s.store.server], "/api/rows-tx",
                               b"HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n")
    left[:] = left[::4]  # each takes about a second
    planned = len(left)
    for i in range(planned):
        s.engines.append(Replica(s.store, f"n{i}", "models", True))
        wait_for("an owner", lambda: len(
            s.gw.owned_endpoints()) == len(s.engines))
        check(has_all_events(send_draft(s.gw, f"w{i}")), "no stream")
    check(not left, f"{len(left)} of {planned} not played")
    for engine in s.engines:
        check(not broken_orders(engine), f"{broken_orders(engine)}")


SCENARIOS = [cut_heads, cut_heads_hop, cut_engine_answers, cut_store_answers,
             cut_store_writes]

"""Callers of tests/stop_rig.py: requests that are drawn at random, and the
connections that send them."""

import random
import re
import socket
import threading
import time

from fghttp import connect_slow_reader
from gateway_stops import KINDS, LONG_MS
from hosted import HOST, MODEL

TIMEOUT_S = LONG_MS / 1000 + 4
READ_EVERY_S = 0.05
WEIGHTS = {"brief": 5, "draft": 3, "unsafe": 2, "safe": 1}
STREAMS = ("brief", "draft")


def draw_events(rand, few_long, in_stop):
    """Mean 57, a heavy tail up to 190. An instance that sees few long ones sees
    them in its stop."""
    n = max(1, min(int(rand.lognormvariate(3.75, 0.9)), 190))
    if not few_long:
        return n
    return rand.randint(120, 190) if in_stop and rand.random() < 0.25 else \
        min(n, 60)


class Request:
    """One request, what its replica does with it, and what its caller saw."""

    def __init__(self, rand, rid, gateway, rig, slow, in_stop):
        self.rid = rid
        self.gateway = gateway
        self.kind = rand.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        self.events = draw_events(rand, gateway in rig.few_long, in_stop)
        self.interval_s = 1 / rand.uniform(20, 45) / rig.speed
        self.work_s = min(rand.lognormvariate(-1.5, 1.2), 3.0)  # plain ones
        self.body_size = rand.choice((200, 40000 if slow else 2000))
        self.break_at = rand.random() if rand.random() < 0.03 else None
        self.limit_s = rand.choice((LONG_MS / 1000, LONG_MS / 1000, 6.0))
        self.closes = rand.random() < 0.1
        self.pieces = self.make_pieces(rand)
        self.span_s = rand.uniform(0, 0.6)  # over which a body's pieces are sent
        self.worked = []  # (begin, end) of each run at a replica
        self.broken_off = False  # by a replica
        self.first_at = self.sent_at = None  # first and last byte
        self.status, self.whole, self.body, self.end_at = 0, False, b"", None
        self.last_answer = False  # it says that the connection closes
        self.error = None

    def make_pieces(self, rand):
        """The request in one piece or in several."""
        fields = [f"{KINDS[self.kind]} /long-{self.kind}/{self.rid} HTTP/1.1",
                  f"Host: {HOST}", f"Request-Id: {self.rid}",
                  f"Deadline-Ms: {int(self.limit_s * 1000)}"]
        if self.kind in STREAMS:
            fields += [f"Model: {MODEL}/a{rand.randrange(8)}",
                       f"Token-Count: 100,{self.events}"]
        if self.closes:
            fields.append("Connection: close")
        body = b""
        if KINDS[self.kind] == "POST":
            body = b"y" * rand.choice((1, 40, 3000))
            if rand.random() < 0.5:
                fields.append("Transfer-Encoding: chunked")
                half = len(body) // 2
                body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in
                                (body[:half], body[half:]) if part)
                body += b"0\r\n\r\n"
            else:
                fields.append(f"Content-Length: {len(body)}")
        text = ("\r\n".join(fields) + "\r\n\r\n").encode()
        cuts = sorted(rand.randrange(len(body)) for _ in range(
            rand.choice((0, 0, 1, 3)) if body else 0))
        parts = [body[a:b] for a, b in zip([0, *cuts], [*cuts, len(body)])]
        return [text + parts[0], *[p for p in parts[1:] if p]]

    def has_exact_body(self):
        if self.kind in STREAMS:
            ids = [int(i) for i in re.findall(rb"(?:^|\n)id: (\d+)\n",
                                              self.body)]
            return ids == list(range(1, self.events + 1))
        return self.body == self.rid.encode().ljust(self.body_size, b".")

    def facts(self, begin):
        def at(t):
            return "none" if t is None else f"{t - begin:.3f}"
        worked = ", ".join(f"{at(a)} to {at(b)}" for a, b in self.worked)
        return (f"{self.rid} {self.kind} at {self.gateway.name}, {self.events} "
                f"events, limit {self.limit_s:.0f} s: first byte "
                f"{at(self.first_at)}, last byte {at(self.sent_at)}, end "
                f"{at(self.end_at)}, status {self.status}, "
                f"{'whole' if self.whole else 'not whole'}, "
                f"{self.body.count(b'id: ')} events received, error "
                f"{self.error!r}, replica at work {worked or 'never'}")


def read_answer(data):
    """Returns (status, fields, body, bytes used), used 0 if not yet complete."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return 0, b"", b"", 0
    fields = head.lower()
    status = int(head[9:12])
    if b"transfer-encoding: chunked" not in fields:
        stated = re.search(rb"content-length: (\d+)", fields)
        if stated is None:
            return status, fields, rest, 0  # as long as its connection
        length = int(stated.group(1))
        return status, fields, rest[:length], (
            len(head) + 4 + length if len(rest) >= length else 0)
    body, at = b"", 0
    while (line := rest.find(b"\r\n", at)) >= 0:
        size = int(rest[at:line], 16)
        if len(rest) < line + 4 + size:
            break
        if size == 0:
            return status, fields, body, len(head) + 4 + line + 4
        body += rest[line + 2:line + 2 + size]
        at = line + 4 + size
    return status, fields, body, 0


class Caller:
    """One connection and its requests. A request after the first is sent at once
    (pipelined), while the answer before it arrives (early), or after it."""

    def __init__(self, rig, rand, number):
        self.rig = rig
        self.at_s = rand.uniform(0, rig.load_s)
        self.idle_s = rand.choice((0, 0, rand.uniform(0, 6)))
        arrival = self.at_s + self.idle_s
        stopping = [g for g, at in rig.stops_at
                    if at < arrival < at + rig.grace_s]
        serving = [g for g, at in rig.stops_at
                   if arrival < at or g in rig.restarted]
        share = rand.random()
        self.gateway = rand.choice(
            (stopping if share < 0.6 else serving if share < 0.95 else None)
            or rig.system.gateways)
        self.read_rate = rand.choice((0, 0, 0, rand.uniform(6000, 20000)))
        self.mode = rand.choice(("pipelined", "early", "early", "after"))
        self.early_share = rand.uniform(0.1, 1.0)
        self.requests = [
            Request(rand, f"s{rig.seed}-{number}-{i}", self.gateway,
                    rig, self.read_rate > 0, self.gateway in stopping)
            for i in range(rand.choice((1, 1, 2, 3)))]
        for r in self.requests:
            rig.requests[r.rid] = r
        self.received = b""
        self.n_answered = 0
        self.n_wanted = len(self.requests)
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        time.sleep(max(0, self.rig.begin + self.at_s - time.monotonic()))
        host, port = self.gateway.front.split(":")
        try:
            self.sock = (
                connect_slow_reader(host, int(port), TIMEOUT_S)
                if self.read_rate else
                socket.create_connection((host, int(port)), TIMEOUT_S))
        except OSError:
            return
        writer = threading.Thread(target=self.write, daemon=True)
        writer.start()
        try:
            self.read()
        except OSError as why:
            self.note_end(why)
        self.ended = True
        writer.join()
        self.sock.close()

    def write(self):
        last_at = self.rig.begin + self.rig.load_s
        time.sleep(self.idle_s)
        try:
            for i, r in enumerate(self.requests):
                while i > 0 and not self.ended and not self.may_send(i):
                    time.sleep(0.01)
                if self.ended or time.monotonic() > last_at:
                    self.n_wanted = i
                    if self.n_answered >= i:  # the reader waits for no answer
                        self.sock.shutdown(socket.SHUT_RD)
                    return
                r.first_at = time.monotonic()
                for k, piece in enumerate(r.pieces):
                    time.sleep(r.span_s / len(r.pieces) if k > 0 else 0)
                    self.sock.sendall(piece)
                r.sent_at = time.monotonic()
        except OSError:
            pass  # the reader notes the end

    def may_send(self, i):
        if self.mode == "pipelined" or self.n_answered >= i:
            return True
        before = self.requests[i - 1]
        return (self.mode == "early" and before.kind in STREAMS and
                self.n_answered == i - 1 and self.received.count(b"id: ") >=
                self.early_share * before.events)

    def read(self):
        """Reads until all is answered or the connection ends."""
        size = int(self.read_rate * READ_EVERY_S) if self.read_rate else 65536
        while self.n_answered < self.n_wanted:
            data = self.sock.recv(size)
            if not data:
                self.note_end(None)
                return
            self.received += data
            while self.n_answered < self.n_wanted and self.take_answer():
                if self.requests[self.n_answered - 1].last_answer:
                    return
            if self.read_rate:
                time.sleep(READ_EVERY_S)

    def take_answer(self):
        r = self.requests[self.n_answered]
        complete = b"\r\n0\r\n\r\n" in self.received or \
            b"content-length:" in self.received[:600].lower()
        status, fields, body, used = \
            read_answer(self.received) if complete else (0, b"", b"", 0)
        if used == 0:
            return False
        r.status, r.body, r.whole = status, body, True
        r.last_answer = b"connection: close" in fields
        r.end_at = time.monotonic()
        self.received = self.received[used:]
        self.n_answered += 1
        return True

    def note_end(self, why):
        now = time.monotonic()
        for r in self.requests[self.n_answered:]:
            r.end_at, r.error = now, why or "closed"
        r = self.requests[self.n_answered]
        r.status, _, r.body, _ = read_answer(self.received)

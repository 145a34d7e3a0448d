"""Callers of tests/soak.py on kept connections that send their next request
before they have read the last answer; some read slowly."""

import random
import socket
import time

from fghttp import connect_slow_reader
from hosted import HOST, MODEL
from soak_judge import Call, STREAMS
from stop_rig_callers import read_answer

ADAPTER = f"{MODEL}/a1"
IN_ADVANCE = 2  # requests at most whose answers are not read yet
TIMEOUT_S = 10.0
SLOW_READ_BYTES = 200  # each READ_EVERY_S
READ_EVERY_S = 0.05


class EagerCaller:
    """`kinds` are those of tests/soak.py; is_expected(kind, id, adapter, body)
    tells a whole answer."""

    def __init__(self, soak, gateway, kinds, is_expected, seed):
        self.soak = soak
        self.gateway = gateway
        self.kinds = kinds
        self.is_expected = is_expected
        self.rand = random.Random(seed)
        self.slow = self.rand.random() < 0.5

    def run(self, ended):
        while not ended.is_set():
            self.pending = []
            self.received = b""
            try:
                with self.connect() as sock:
                    self.use(sock, ended)
            except OSError:
                pass
            status = read_answer(self.received)[0]
            for call in self.pending:  # nothing more comes for them
                self.soak.checker.on_answered(call, status, False, False)
                status = 0
            time.sleep(self.rand.uniform(0.05, 0.3))

    def connect(self):
        """Not through a proxy, which would read for a slow reader."""
        host, port = self.gateway.front.split(":")
        if self.slow:
            return connect_slow_reader(host, int(port), TIMEOUT_S)
        return socket.create_connection((host, int(port)), TIMEOUT_S)

    def use(self, sock, ended):
        """Sends and reads until the connection ends or, after `ended`, all is
        answered."""
        while self.pending or not ended.is_set():
            if not ended.is_set() and self.sends_now():
                self.send_next(sock)
            data = sock.recv(SLOW_READ_BYTES if self.slow else 65536)
            if not data:
                return
            self.received += data
            while self.pending and (closes := self.take_answer()) is not None:
                if closes:
                    self.pending = []  # no answer is due to them
                    return
            if self.slow:
                time.sleep(READ_EVERY_S)

    def sends_now(self):
        """Another one is sent when an answer has begun to arrive, or at once."""
        return not self.pending or (
            len(self.pending) < IN_ADVANCE and
            (self.received != b"" or self.rand.random() < 0.3))

    def send_next(self, sock):
        kind = self.rand.choice(list(self.kinds))
        _, method, limit_s, runs_max = self.kinds[kind]
        call = Call(self.soak.next_id(), kind, self.gateway.name,
                    self.soak.incarnations[self.gateway.name], limit_s,
                    runs_max, 0)
        body = "x" if method == "POST" else ""
        fields = [f"{method} /{kind}/{call.rid} HTTP/1.1", f"Host: {HOST}",
                  f"Request-Id: {call.rid}", f"Content-Length: {len(body)}",
                  f"Deadline-Ms: {int(limit_s * 1000)}"]
        if kind in STREAMS:
            fields += [f"Model: {ADAPTER}", "Token-Count: 100,20"]
        self.soak.checker.on_sent(call)
        self.pending.append(call)
        sock.sendall(("\r\n".join(fields) + "\r\n\r\n" + body).encode())

    def take_answer(self):
        """Returns None if there is no whole answer yet, else whether it ends the
        connection."""
        status, fields, body, used = read_answer(self.received)
        if used == 0:
            return None
        call = self.pending.pop(0)
        self.received = self.received[used:]
        self.soak.checker.on_answered(call, status, True, self.is_expected(
            call.kind, call.rid, ADAPTER, body))
        if self.pending:
            self.pending[0].sent_at = time.monotonic()  # its turn comes now
        return b"connection: close" in fields

"""Scenarios of tests/gateway.py with callers that have not received the end of
an answer yet when the instance closes their connection, and that send another
request meanwhile."""

import threading
import time

from fghttp import connect_slow_reader
from gateway_stops import LONG_MS, add_long_routes, check_exit, stop
from hosted import HOST, MODEL, check, next_id

CALLERS = 8
EVENTS = 190
PIECE = b"x" * 230
WORK_S = 1.2  # until the replica has sent the whole answer
READ_BYTES_PER_S = 14000
READ_EVERY_S = 0.05
SIGNAL_AFTER_S = 0.3
READER_PAUSE_S = 4.5
NEXT_AT_EVENT = 150  # the caller sends its next request then


def answer_with_events(replica, req, rid):
    """A stream, or a plain answer as long as that; sent within WORK_S."""
    streamed = replica.engine
    events = [b"id: %d\ndata: %s\n\n" % (i, PIECE)
              for i in range(1, EVENTS + 1)]
    if not streamed:
        time.sleep(WORK_S)
        body = b"".join(events)
        req.sock.sendall(replica.response_head(
            rid, f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        return True
    req.sock.sendall(replica.response_head(
        rid, "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n").encode())
    for event in events:
        req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(WORK_S / EVENTS)
    req.sock.sendall(b"0\r\n\r\n")
    return True


class SlowCaller:
    """Reads an answer at READ_BYTES_PER_S. With `following`, sends another
    request on the same connection at NEXT_AT_EVENT."""

    def __init__(self, front, kind, following=False, close=False):
        host, port = front.split(":")
        self.sock = connect_slow_reader(host, int(port), 15)
        self.kind = kind
        self.rid = next_id()
        self.following = following
        self.close = close
        self.received = b""
        self.error = None

    def request(self):
        fields = [f"POST /long-{self.kind}/{self.rid} HTTP/1.1",
                  f"Host: {HOST}", f"Request-Id: {self.rid}",
                  f"Deadline-Ms: {LONG_MS}", "Content-Length: 1"]
        if self.kind == "brief":
            fields += [f"Model: {MODEL}/a1", f"Token-Count: 100,{EVENTS}"]
        if self.close:
            fields.append("Connection: close")
        return ("\r\n".join(fields) + "\r\n\r\nx").encode()

    def events(self):
        return self.received.count(b"id: ")

    def is_whole(self):
        return self.events() == EVENTS and (
            self.kind != "brief" or b"\r\n0\r\n\r\n" in self.received)

    def read_on(self):
        """Reads one portion. Returns False at the end of the connection."""
        data = self.sock.recv(int(READ_BYTES_PER_S * READ_EVERY_S))
        self.received += data
        return bool(data)

    def run(self):
        sent = not self.following
        try:
            self.sock.sendall(self.request())
            while self.read_on():
                if not sent and self.events() >= NEXT_AT_EVENT:
                    self.sock.sendall(next_request())
                    sent = True
                if self.is_whole() and (not self.following or
                                        self.has_next_answer()):
                    break
                time.sleep(READ_EVERY_S)
        except OSError as why:
            self.error = why
        self.end_at = time.monotonic()
        self.sock.close()

    def has_next_answer(self):
        return self.received.count(b"HTTP/1.1 ") > 1


def next_request():
    return (f"POST /order/next HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {next_id()}\r\nContent-Length: 1\r\n\r\nx").encode()


def read_slowly(s, kind, stopped=True, **options):
    """CALLERS requests of this kind, and a stop meanwhile. Each answer arrives
    whole."""
    add_long_routes(s)
    for replica in s.engines + s.plains:
        replica.answer_with = answer_with_events
    callers = [SlowCaller(s.gw.front, kind, **options) for _ in range(CALLERS)]
    threads = [threading.Thread(target=c.run) for c in callers]
    for thread in threads:
        thread.start()
    time.sleep(SIGNAL_AFTER_S)
    began = stop(s.gw) if stopped else time.monotonic()
    for replica in s.plains:
        replica.answer_with = None
    if stopped:
        check_exit(s.gw, began)
        print(f"left after {time.monotonic() - began:.1f} s")
    for thread in threads:
        thread.join()
    for c in callers:
        print(f"{c.rid}: {c.events()} events, "
              f"{'whole' if c.is_whole() else 'cut'} after "
              f"{c.end_at - began:.1f} s, {c.error!r}")
    cut = [c for c in callers if not c.is_whole()]
    check(not cut, f"{len(cut)} of {len(callers)} answers are cut")
    # After "Connection: close", no answer to a further request is due.
    unanswered = [c for c in callers if c.following and not c.has_next_answer()
                  and b"Connection: close" not in c.received]
    check(not unanswered, f"{len(unanswered)} next requests have no answer")


def tails_of_streams_in_stop(s):
    """A stream that the replica has finished is not reset while its last bytes
    are on their way to a caller that sends its next request."""
    read_slowly(s, "brief", following=True)


def tails_of_orders_in_stop(s):
    """The same of a plain answer."""
    read_slowly(s, "unsafe", following=True)


def tails_without_next_request(s):
    """The same of a stream whose caller sends nothing more."""
    read_slowly(s, "brief")


def tails_of_closed_connections(s):
    """A caller that asks for the end of the connection and sends more
    nevertheless gets the whole answer; no stop."""
    read_slowly(s, "brief", stopped=False, following=True,
                close=True)


def answer_at_length(replica, req, rid):
    body = PIECE * 8000
    req.sock.sendall(replica.response_head(
        rid, f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    return True


def reader_that_pauses(s):
    """A caller whose window stays closed for longer than a lost peer is waited
    for, and that acknowledges the probes, gets the whole answer."""
    add_long_routes(s)
    for replica in s.plains:
        replica.answer_with = answer_at_length
    caller = SlowCaller(s.gw.front, "unsafe")
    caller.sock.sendall(caller.request())
    time.sleep(READER_PAUSE_S)
    size = len(PIECE) * 8000
    try:
        while len(caller.received) <= size and (
                data := caller.sock.recv(65536)):
            caller.received += data
    except OSError as why:
        caller.error = why
    caller.sock.close()
    print(f"{len(caller.received)} bytes, {caller.error!r}")
    check(len(caller.received) > size, "the answer is cut")


SCENARIOS = [reader_that_pauses, tails_of_streams_in_stop, tails_of_orders_in_stop,
             tails_without_next_request, tails_of_closed_connections]

"""Scenarios of tests/gateway.py with ends of connections: by an instance after
a pause, by a caller that closes its side, and in a stop under a next request."""

import os
import socket
import subprocess
import threading
import time

from gateway_old_callers import check_readable, send_old
from gateway_stop_lengths import (
    EVENT_INTERVAL_S, LONG_EVENTS, SHORT_EVENTS, LengthCaller,
    answer_by_length, prepare, send_lengths)
from gateway_stop_tails import (
    CALLERS, EVENTS as TAIL_EVENTS, PIECE, READ_EVERY_S, SIGNAL_AFTER_S,
    SlowCaller, answer_at_length, answer_with_events)
from gateway_stops import GRACE_S, add_long_routes, check_exit, stop
from hosted import (
    EVENTS, FewDescriptorsGateway, Gateway, HOST, Replica, System, check,
    event_ids, next_id, read_to_end, reset_connection, send, wait_for)

PAUSE_S = 3  # longer than a close waits for its peer
UNREAD_S = 0.5
QUICK_EVENTS, QUICK_S = 180, 0.004  # before a stream moves to another engine
SLOW_EVENTS, SLOW_S = 10, 0.1  # and after it
SILENT_S = 2.5  # longer than an instance waits for a first event
REPORTED_S = 0.5  # until instances know what an engine holds
JUDGED_S = 0.2  # a request without an answer is lost later than this


def answer_with_late_end(replica, req, rid):
    """Pauses between the last event and the end of the stream."""
    req.sock.sendall(replica.response_head(
        rid, "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(1, EVENTS + 1):
        event = b"id: %d\ndata: piece %d\n\n" % (i, i)
        req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    time.sleep(PAUSE_S)
    req.sock.sendall(b"0\r\n\r\n")
    return True


def old_callers_late_end(s):
    """A whole stream without chunks ends in an orderly way, also long after its
    last event."""
    for engine in s.engines:
        engine.answer_with = answer_with_late_end
    a, end = send_old(s.gw.front, "/brief/1")
    check_readable(a, "late end")
    check(len(event_ids(a)) == EVENTS, f"{a.body!r}")
    check(end == "closed", f"ended by: {end}")


def check_whole(caller):
    """Reads the rest of an answer of answer_at_length() and checks it."""
    received, error = read_to_end(caller.sock)
    caller.sock.close()
    print(f"{len(received)} bytes, {error!r}")
    check(len(received) > len(PIECE) * 8000, "the answer is cut")


def send_slow_order(s, **options):
    """Returns a caller that reads slowly, whose long answer was given out."""
    add_long_routes(s)
    for replica in s.plains:
        replica.answer_with = answer_at_length
    caller = SlowCaller(s.gw.front, "unsafe", **options)
    caller.sock.sendall(caller.request())
    wait_for("answered", lambda: s.run_count(caller.rid) == 1)
    return caller


def half_closed_callers(s):
    """A caller that closes its side after its whole answer was given out
    receives all of it."""
    caller = send_slow_order(s)
    time.sleep(UNREAD_S)
    caller.sock.shutdown(socket.SHUT_WR)
    check_whole(caller)


class BufferedCaller(SlowCaller):
    """Reads as slowly, but its kernel takes the whole answer at once. Sends a
    next request."""

    def __init__(self, front, kind):
        super().__init__(front, kind, following=True)
        self.sock.close()
        host, port = front.split(":")
        self.sock = socket.create_connection((host, int(port)), 15)

    def run(self):
        self.sent_at = None
        try:
            self.sock.sendall(self.request())
            while self.read_on() and not self.has_next_answer():
                if self.sent_at is None and self.events() >= 150:
                    self.sock.sendall(self.next_request())
                    self.sent_at = time.monotonic()
                time.sleep(READ_EVERY_S)
        except OSError as why:
            self.error = why
        self.end_at = time.monotonic()
        self.sock.close()

    def next_request(self):
        return (f"POST /order/next-{self.rid} HTTP/1.1\r\nHost: kitchen.example"
                f"\r\nRequest-Id: n{self.rid[1:]}\r\nContent-Length: 1\r\n\r\nx"
                ).encode()


def next_request_in_stop(s):
    """A request that comes while the caller still reads an answer that did not
    announce the end of its connection is answered, or not read."""
    add_long_routes(s)
    for replica in s.engines:
        replica.answer_with = answer_with_events
    callers = [BufferedCaller(s.gw.front, "brief") for _ in range(CALLERS)]
    threads = [threading.Thread(target=c.run) for c in callers]
    for thread in threads:
        thread.start()
    time.sleep(SIGNAL_AFTER_S)
    began = stop(s.gw)
    check_exit(s.gw, began)
    print(f"left after {time.monotonic() - began:.1f} s")
    for thread in threads:
        thread.join()
    lost = 0
    for c in callers:
        sent = -1 if c.sent_at is None else c.sent_at - began
        lost += (not c.has_next_answer() and c.sent_at is not None and
                 c.error is None and c.end_at - c.sent_at > JUDGED_S)
        print(f"{c.rid}: {c.events()} events, next sent at {sent:.2f} s, "
              f"{'answered' if c.has_next_answer() else 'not answered'}, ended "
              f"at {c.end_at - began:.2f} s, {c.error!r}")
    check(all(c.events() == TAIL_EVENTS for c in callers), "answers are cut")
    check(lost == 0, f"{lost} next requests were read and got no answer")


def long_streams_after_early_ends(s):
    """Streams that use their length are not begun late in a stop when those
    before them ended early."""
    prepare(s)
    begin = time.monotonic()
    by_length = s.engines[0].answer_with

    def end_early(replica, req, rid):
        req.sock.sendall(replica.response_head(
            rid, "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(1, SHORT_EVENTS + 1):
            event = b"id: %d\ndata: x\n\n" % i
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.028)
        req.sock.sendall(b"0\r\n\r\n")
        return True

    for engine in s.engines:
        engine.answer_with = end_early
    for c in [LengthCaller(s, begin, i * 0.1, LONG_EVENTS) for i in range(10)]:
        c.thread.join()
        check(len(event_ids(c.answer)) == SHORT_EVENTS, f"{c.answer.status}")
    for engine in s.engines:
        engine.answer_with = by_length
    send_late(s)


def long_streams_after_brief_ones(s):
    """Nor when those before them had few events."""
    prepare(s)
    begin = time.monotonic()
    for c in [LengthCaller(s, begin, i * 0.1, 2) for i in range(10)]:
        c.thread.join()
        check(c.is_served(), f"before the stop: {c.answer.status}")
    send_late(s)


class MovedStreams:
    """Engines that break off each stream after quick events, and whose other
    engine goes on slowly."""

    def __init__(self):
        self.begun = set()

    def answer(self, replica, req, rid):
        first = rid not in self.begun
        self.begun.add(rid)
        last = int(req.get("Last-Event-Id") or 0)
        n = QUICK_EVENTS if first else SLOW_EVENTS
        req.sock.sendall(replica.response_head(
            rid, "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(last + 1, last + 1 + n):
            event = b"id: %d\ndata: x\n\n" % i
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(QUICK_S if first else SLOW_S)
        if first:
            reset_connection(req.sock)
            return False
        req.sock.sendall(b"0\r\n\r\n")
        return True


def long_streams_after_moved_ones(s):
    """Events that a stream had from another engine before do not make the one
    that goes on with it look quick."""
    prepare(s, slowness=SLOW_S / EVENT_INTERVAL_S)
    by_length = s.engines[0].answer_with
    moved = MovedStreams()
    for engine in s.engines:
        engine.answer_with = moved.answer
    begin = time.monotonic()
    events = QUICK_EVENTS + SLOW_EVENTS
    callers = [LengthCaller(s, begin, i * 0.1, events, "draft")
               for i in range(8)]
    for c in callers:
        c.thread.join()
    served = sum(c.is_served() for c in callers)
    check(served >= 6, f"{served} of {len(callers)} went on")
    for engine in s.engines:
        engine.answer_with = by_length
    send_late(s)


def add_unknown_engine(s):
    """Streams have told the pace of the first engine, not of this one."""
    prepare(s)
    begin = time.monotonic()
    for c in [LengthCaller(s, begin, i * 0.1, SHORT_EVENTS) for i in range(6)]:
        c.thread.join()
        check(c.is_served(), f"before the stop: {c.answer.status}")
    unused = Replica(s.store, "e9", "models", engine=True)
    s.engines.append(unused)
    unused.answer_with = answer_by_length
    unused.adapters["a1"] = 1
    unused.register()
    wait_for("usable", lambda: "endpoint=e9" in s.gw.log())
    time.sleep(REPORTED_S)


def unknown_engine_beside_a_quick_one(s):
    """A stream in a stop is not refused because of an engine whose pace is not
    known, as long as another one is quick enough."""
    add_unknown_engine(s)
    callers = send_lengths(s, [(0.3 + i * 0.2, SHORT_EVENTS) for i in range(4)])
    served = sum(c.is_served() for c in callers)
    check(served == len(callers), f"{served} of {len(callers)} served")


def unknown_engine_beside_a_silent_one(s):
    """Nor is one withdrawn from a silent engine for such an engine, which would
    not get it."""
    add_unknown_engine(s)

    def answer_late(replica, req, rid):
        time.sleep(SILENT_S)
        return answer_by_length(replica, req, rid)

    s.engines[0].answer_with = answer_late
    callers = send_lengths(
        s, [(0.3 + i * 0.1, SHORT_EVENTS) for i in range(4)], "draft")
    served = sum(c.is_served() for c in callers)
    check(served == len(callers), f"{served} of {len(callers)} served")


for scenario in (unknown_engine_beside_a_quick_one,
                 unknown_engine_beside_a_silent_one):
    scenario.system_options = {"engines": 1}


def send_late(s):
    for replica in s.plains:
        replica.work_s = 0.3
    others = threading.Thread(target=send_orders, args=(s.gw.front, 3.6))
    others.start()
    send_lengths(s, [(at_s, LONG_EVENTS) for at_s in (3.2, 3.4, 3.6)])
    others.join()


def send_orders(front, for_s):
    """Keeps an instance that stops in use."""
    end = time.monotonic() + for_s
    while time.monotonic() < end:
        send(front, "/order/1")
        time.sleep(0.25)


class FewDescriptorsSystem(System):
    gateway_class = FewDescriptorsGateway


def send_and_stay(front):
    """Returns the connection of a caller that asked for its end, has its whole
    answer and does not close its side."""
    host, port = front.split(":")
    sock = socket.create_connection((host, int(port)), 5)
    sock.sendall((f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: "
                  f"{next_id()}\r\nConnection: close\r\nContent-Length: 1\r\n"
                  "\r\nx").encode())
    data, _ = read_to_end(sock)
    return sock, data.split(b" ", 2)[1:2] == [b"200"]


def slow_reader_beside_closed_connections(s):
    """Closed connections whose callers have their whole answers give way before
    one whose caller still reads."""
    caller = send_slow_order(s, close=True)
    time.sleep(UNREAD_S)
    for replica in s.plains:
        replica.answer_with = None
    others = [send_and_stay(s.gw.front) for _ in range(90)]
    print(f"{sum(ok for _, ok in others)} of {len(others)} others served")
    check_whole(caller)
    for sock, _ in others:
        sock.close()


slow_reader_beside_closed_connections.system_class = FewDescriptorsSystem


def endpoints_beside_closed_connections(s):
    """Nor do they keep requests from reaching an endpoint."""
    add_long_routes(s)
    others = [send_and_stay(s.gw.front) for _ in range(90)]
    for replica in s.plains:
        replica.work_s = 0.3
    answers = []
    threads = [threading.Thread(target=lambda: answers.append(
        send(s.gw.front, "/order/1"))) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for sock, _ in others:
        sock.close()
    served = sum(a.status == 200 for a in answers)
    print(f"{served} of {len(answers)} served, {[a.status for a in answers]}")
    check(served == len(answers), f"{len(answers) - served} are not served")


endpoints_beside_closed_connections.system_class = FewDescriptorsSystem


class StuckLogGateway(Gateway):
    """Nobody reads what it logs."""

    def start(self):
        self.log_end, self.log_begin = os.pipe()
        os.set_blocking(self.log_begin, False)
        try:
            while True:
                os.write(self.log_begin, b"x")
        except BlockingIOError:
            pass
        os.set_blocking(self.log_begin, True)
        self.popen = subprocess.Popen(
            [self.binary, "--config", self.settings_path],
            stdout=self.log_begin, stderr=self.log_begin)

    def log(self):
        return ""


class StuckLogSystem(System):
    gateway_class = StuckLogGateway


def stuck_log_in_stop(s):
    """Nor is a stop longer than its grace for a caller that does not read while
    nobody reads the log."""
    caller = send_slow_order(s)
    began = stop(s.gw)
    s.gw.popen.wait(2 * GRACE_S)
    left_s = time.monotonic() - began
    print(f"left after {left_s:.2f} s")
    caller.sock.close()
    os.close(s.gw.log_begin)
    os.close(s.gw.log_end)
    check(left_s < GRACE_S, "still runs at the end of the grace")


stuck_log_in_stop.system_class = StuckLogSystem


SCENARIOS = [old_callers_late_end, half_closed_callers, next_request_in_stop,
             long_streams_after_early_ends, long_streams_after_brief_ones,
             long_streams_after_moved_ones,
             unknown_engine_beside_a_quick_one,
             unknown_engine_beside_a_silent_one,
             slow_reader_beside_closed_connections,
             endpoints_beside_closed_connections, stuck_log_in_stop]

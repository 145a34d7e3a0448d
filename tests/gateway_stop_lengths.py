"""Scenarios of tests/gateway.py with streams of many lengths in a planned stop:
one that can't end in time is refused as not run, whatever streams came before,
and one that can is served."""

import threading
import time

from gateway_stops import LONG_MS, add_long_routes, check_exit, stop
from hosted import MODEL, check, event_ids, next_id, send

EVENT_INTERVAL_S = 0.028
TOKENS_PER_EVENT = 3
SHORT_EVENTS = 20
LONG_EVENTS = 190


def answer_by_length(replica, req, rid):
    """Sends as many events as the request allows tokens for."""
    tokens = int(req.get("Token-Count").split(",")[1])
    req.sock.sendall(replica.response_head(
        rid, "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(1, tokens // TOKENS_PER_EVENT + 1):
        event = b"id: %d\ndata: x\n\n" % i
        req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(replica.slowness * EVENT_INTERVAL_S)
    req.sock.sendall(b"0\r\n\r\n")
    return True


class LengthCaller:
    """Sends one request for a stream of that many events, `at_s` after
    `begin`."""

    def __init__(self, s, begin, at_s, events, kind="brief"):
        self.s = s
        self.kind = kind
        self.at_s = at_s
        self.events = events
        self.rid = next_id()
        self.answer = None
        self.thread = threading.Thread(target=self.run, args=(begin,))
        self.thread.start()

    def run(self, begin):
        time.sleep(max(0, begin + self.at_s - time.monotonic()))
        self.answer = send(
            self.s.gw.front, f"/long-{self.kind}/{self.rid}", self.rid, timeout_s=15,
            headers={"Model": f"{MODEL}/a1", "Deadline-Ms": str(LONG_MS),
                     "Token-Count": f"100,{self.events * TOKENS_PER_EVENT}"})

    def is_served(self):
        return (self.answer.status == 200 and self.answer.whole and
                len(event_ids(self.answer)) == self.events)

    def is_refused(self):
        """Refused as not run, or the process had left before."""
        if self.s.run_count(self.rid) > 0:
            return False
        return self.answer.status == 0 or (
            self.answer.status == 503 and
            "Retry-After" in self.answer.headers)


def send_lengths(s, wanted, kind="brief"):
    """Sends streams over a stop, by (seconds after the signal, events), and
    checks that each is whole or refused. Returns the callers."""
    callers = [LengthCaller(s, time.monotonic(), at_s, events, kind)
               for at_s, events in wanted]
    began = stop(s.gw)
    for c in callers:
        c.thread.join()
    check_exit(s.gw, began)
    for c in callers:
        print(f"{c.rid} of {c.events} events at {c.at_s:.1f} s: "
              f"{c.answer.status} {'whole' if c.is_served() else 'not'} ran "
              f"{s.run_count(c.rid)}")
    cut = [c for c in callers if not c.is_served() and not c.is_refused()]
    check(not cut, f"{len(cut)} streams are cut")
    return callers


def prepare(s, slowness=1.0):
    add_long_routes(s)
    for engine in s.engines:
        engine.answer_with = answer_by_length
        engine.slowness = slowness


def long_streams_after_short_ones(s):
    """Streams that last longer than all before them are not begun late in a
    stop; short ones are."""
    prepare(s)
    begin = time.monotonic()
    for c in [LengthCaller(s, begin, i * 0.1, SHORT_EVENTS) for i in range(10)]:
        c.thread.join()
        check(c.is_served(), f"before the stop: {c.answer.status}")
    callers = send_lengths(
        s, [(i * 0.25, SHORT_EVENTS) for i in range(16)] +
        [(at_s, LONG_EVENTS) for at_s in (3.2, 3.4, 3.6)])
    served = sum(c.is_served() for c in callers if c.events == SHORT_EVENTS)
    check(served >= 14, f"{served} of 16 short streams served")


def short_streams_after_a_long_one(s):
    """A long stream before the stop does not make the instance refuse short
    ones."""
    prepare(s)
    begin = time.monotonic()
    c = LengthCaller(s, begin, 0, LONG_EVENTS)
    c.thread.join()
    check(c.is_served(), f"before the stop: {c.answer.status}")
    callers = send_lengths(s, [(i * 0.25, SHORT_EVENTS) for i in range(16)])
    served = sum(c.is_served() for c in callers)
    check(served >= 14, f"{served} of 16 short streams served")


def first_stream_in_stop(s):
    """While the pace of streams is unknown, none is begun that its time limit
    lets outlast the stop."""
    prepare(s, slowness=2.0)
    send_lengths(s, [(at_s, LONG_EVENTS) for at_s in (0.5, 1.0)])


SCENARIOS = [long_streams_after_short_ones, short_streams_after_a_long_one,
             first_stream_in_stop]

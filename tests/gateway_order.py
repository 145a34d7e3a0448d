"""Scenarios of tests/gateway.py: streams over endpoints that pause, while the
instances that they go through, or come from, end."""

import http.client
import signal
import threading
import time

from gateway_tunnels import TunnelSystem
from hosted import (
    EVENTS, HOST, MODEL, check, event_ids, find_log_lines, has_all_events, make_config,
    next_id, send_draft, wait_for)

EVENT_S = 0.4
ADAPTERS = ["a1", "a2", "a3", "a4"]


class PausingEngine:
    """Answers of one engine: streams in chunks or without framing, by turns, none
    of which goes on while `paused` is set."""

    def __init__(self, replica):
        self.replica = replica
        self.running = threading.Event()
        self.running.set()
        self.count = 0
        replica.answer_with = self.answer

    def answer(self, replica, req, rid):
        self.count += 1
        framed = self.count % 2 == 0
        first = int(req.get("Last-Event-Id", "0")) + 1
        self.running.wait()
        head = "Content-Type: text/event-stream\r\n"
        if framed:
            head += "Transfer-Encoding: chunked\r\n"
        req.sock.sendall(replica.response_head(rid, head + "\r\n").encode())
        for i in range(first, EVENTS + 1):
            event = f"id: {i}\ndata: piece {i} {rid}\n\n".encode()
            if framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            self.running.wait()
            req.sock.sendall(event)
            time.sleep(EVENT_S)
        if framed:
            req.sock.sendall(b"0\r\n\r\n")
        return framed


class StreamCaller(threading.Thread):
    """Reads one stream; takes it up at another instance when it breaks off, if
    `others` has one."""

    def __init__(self, gateway, adapter, others=()):
        super().__init__()
        self.gateway = gateway
        self.adapter = adapter
        self.others = list(others)
        self.rids = []
        self.attempts = []  # Answer of each attempt
        self.start()

    def run(self):
        first_rid, seen = None, 0
        for gateway in [self.gateway, *self.others]:
            rid = next_id()
            self.rids.append(rid)
            headers = {} if seen == 0 else {
                "Last-Event-Id": str(seen), "Resumes": first_rid}
            first_rid = first_rid or rid
            a = read_stream(gateway.front, rid, self.adapter, headers)
            self.attempts.append(a)
            if a.ids:
                seen = a.ids[-1]
            if a.whole or seen == EVENTS:
                return
            time.sleep(0.3)

    def problem(self):
        """What breaks the order of the stream, or None."""
        ids = [i for a in self.attempts for i in a.ids]
        if ids != list(range(1, len(ids) + 1)):
            return f"events {ids}"
        if self.attempts[-1].whole and self.attempts[-1].status == 200 and \
                ids != list(range(1, EVENTS + 1)):
            return f"complete with events {ids}"
        foreign = [a.foreign for a in self.attempts if a.foreign]
        return f"foreign text {foreign}" if foreign else None


class Attempt:
    def __init__(self):
        self.status, self.ids, self.whole, self.foreign = 0, [], False, None


def read_stream(front, rid, adapter, headers):
    a = Attempt()
    host, port = front.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=15)
    try:
        conn.request("POST", "/draft/1", b"x", {
            "Host": HOST, "Request-Id": rid, "Deadline-Ms": "12000",
            "Model": f"{MODEL}/{adapter}", "Token-Count": "9,9", **headers})
        res = conn.getresponse()
        a.status = res.status
        try:
            body = res.read()
            a.whole = True
        except http.client.IncompleteRead as cut:
            body = cut.partial
        for line in body.split(b"\n"):
            if line.startswith(b"id: "):
                a.ids.append(int(line[4:]))
            elif line and not line.startswith(b"data: piece") and \
                    a.status == 200:
                a.foreign = line
    except (OSError, http.client.HTTPException):
        pass
    finally:
        conn.close()
    return a


def play(s, end_instances):
    """Streams at the first instance while all engines pause for 2.6 s, so that
    many go through the other instances; `end_instances` ends some."""
    s.store.put("op", "config", make_config(2, timeout_ms=12000))
    for gateway in s.gateways:
        for adapter in ADAPTERS:
            wait_for("the adapter", lambda g=gateway, a=adapter:
                     has_all_events(send_draft(g, a)))
    engines = [PausingEngine(r) for r in s.engines]
    for e in engines:
        e.running.clear()
    callers = [StreamCaller(s.gateways[0], a) for a in ADAPTERS * 2]
    s.store.put("op", "config", make_config(3, timeout_ms=12000, idle_ms=14000))
    time.sleep(1.9)
    # The silence is noticed after 2 s; soon a probe shows that they listen.
    for i in range(40):
        callers.append(StreamCaller(s.gateways[0], ADAPTERS[i % 4],
                                    [s.gateways[-1]]))
        time.sleep(0.01)
    for e in engines:
        e.running.set()
    time.sleep(2 * EVENT_S)
    end_instances()
    for c in callers:
        c.join()
    for r in s.engines:
        r.answer_with = None
    whole = len([c for c in callers if c.attempts[-1].whole])
    bad = [c.problem() for c in callers if c.problem()]
    via = [line for line in find_log_lines(s.gateways[0], "ended")
           if line["module"] == "tunnel"]
    print(f"{len(callers)} streams, {whole} whole, {len(via)} tunnels ended, "
          f"{len(bad)} wrong: {bad[:3]}")
    check(not bad, f"{len(bad)} of {len(callers)}: {bad[0] if bad else None}")


def streams_when_middle_is_killed(s):
    """Guards against streams that end as complete with the instance in the
    middle, or go on with events twice."""
    def end():
        for gateway in s.gateways[1:3]:
            gateway.popen.kill()
    play(s, end)


def streams_when_middle_stops(s):
    """The same with a planned stop whose grace ends within the streams."""
    def end():
        for gateway in s.gateways[1:3]:
            gateway.popen.send_signal(signal.SIGTERM)
    play(s, end)


def streams_when_caller_side_stops(s):
    """The same where the instance of the callers stops; they take their streams
    up at another one."""
    def end():
        s.gateways[0].popen.send_signal(signal.SIGTERM)
    play(s, end)


SCENARIOS = [streams_when_middle_is_killed, streams_when_middle_stops,
             streams_when_caller_side_stops]
for scenario in SCENARIOS:
    scenario.system_class = TunnelSystem
    scenario.system_options = {"gateways": 4}

"""Scenarios of tests/gateway.py: answers that come through another instance,
which ends at each point of an answer."""

import signal
import socket
import threading
import time

from cut_path import REFUSE
from gateway_cuts import CuttableSystem
from hosted import (
    EVENTS, Gateway, HOST, check, find_log_lines, has_all_events, next_id, send, send_draft,
    wait_for)

STREAM_POINTS = ("before_head", "in_head", "between_events", "in_event", "last_event")
CHUNK_POINTS = ("in_chunk_head", "in_last_chunk")
PLAIN_POINTS = ("before_head", "in_head", "in_body", "whole_body")


class StoppingGateway(Gateway):
    """Its planned stop ends while answers are still under way."""

    stop_grace_s = 1


class TunnelSystem(CuttableSystem):
    gateway_class = StoppingGateway


class RetryingGateway(StoppingGateway):
    """Its part of the retry budget is enough for all streams of a scenario."""

    retry_slack = 250


class RetryingSystem(CuttableSystem):
    gateway_class = RetryingGateway


class Case:
    """One request whose endpoint halts at a point of its answer."""

    def __init__(self, path, framed, point):
        self.path = path
        self.framed = framed
        self.point = point
        self.rid = next_id()
        self.at_point = threading.Event()
        self.go_on = threading.Event()
        self.answer = None
        self.thread = None

    def __str__(self):
        return f"{self.path} {'framed' if self.framed else 'unframed'} {self.point}"

    @property
    def is_stream(self):
        return self.path == "/draft/1"

    def expected_body(self, replica):
        return f"done by {replica.name} for {self.rid}"

    def pieces(self, replica, first):
        """[(name of the point after the piece, bytes)] of the whole answer."""
        head = replica.response_head(self.rid).encode()
        body = self.expected_body(replica).encode()
        if not self.is_stream:
            end = b"Content-Length: %d\r\n\r\n" % len(body) if self.framed else b"\r\n"
            return [("before_head", b""), ("in_head", head), (None, end),
                    ("in_body", body[:5]), ("whole_body", body[5:])]
        end = b"Content-Type: text/event-stream\r\n"
        if self.framed:
            end += b"Transfer-Encoding: chunked\r\n"
        out = [("before_head", b""), ("in_head", head), (None, end + b"\r\n")]
        for i in range(first, EVENTS + 1):
            event = f"id: {i}\ndata: piece {i} {self.rid}\n\n".encode()
            parts = (event[:7], event[7:])
            if self.framed:
                parts = [b"%x\r\n%s\r\n" % (len(p), p) for p in parts]
            middle = i == EVENTS // 2
            out.append(("in_event" if middle else None, parts[0]))
            if middle and self.framed:
                out.append(("in_chunk_head", parts[1][:1]))
                parts[1] = parts[1][1:]
            out.append(("between_events" if middle else
                        "last_event" if i == EVENTS else None, parts[1]))
        if self.framed:
            out += [("in_last_chunk", b"0\r"), (None, b"\n\r\n")]
        return out

    def serve(self, replica, req):
        first = int(req.get("Last-Event-Id", "0")) + 1
        for name, data in self.pieces(replica, first):
            req.sock.sendall(data)
            if name == self.point and not self.at_point.is_set():
                self.at_point.set()
                self.go_on.wait(10)
        return self.framed

    def start(self, gateway):
        def run():
            if self.is_stream:
                self.answer = send_draft(gateway, rid=self.rid)
            else:
                self.answer = send(gateway.front, self.path, self.rid,
                                   method="GET" if "lookup" in self.path else "POST")
        self.thread = threading.Thread(target=run)
        self.thread.start()

    def is_whole(self, replicas):
        if self.answer.status != 200 or not self.answer.whole:
            return False
        if self.is_stream:
            return has_all_events(self.answer)
        return self.answer.body in [self.expected_body(r) for r in replicas]


def stream_points():
    """(framed, point) of each place where a stream can halt."""
    return [(framed, point) for framed in (True, False)
            for point in STREAM_POINTS + (CHUNK_POINTS if framed else ())]


def all_cases(case_class=Case):
    plain = [(framed, point) for framed in (True, False) for point in PLAIN_POINTS]
    return [case_class(path, framed, point)
            for path, places in (("/draft/1", stream_points()),
                                 ("/order/1", plain), ("/lookup/1", plain))
            for framed, point in places]


def cut_from_endpoints(s):
    """From now on the first instance reaches endpoints through another one."""
    s.cuts.cut(0, REFUSE)
    wait_for("cut", lambda: (send_draft(s.gateways[0]), send(
        s.gateways[0].front, "/lookup/1", method="GET"),
        find_log_lines(s.gateways[0], "endpoints_cut"))[2])
    wait_for("served", lambda: all(has_all_events(
        send_draft(s.gateways[0])) for _ in range(4)))


def begin_cases(s, cases):
    """Returns when each answer is at its point."""
    by_id = {c.rid: c for c in cases}
    for replica in s.engines + s.plains:
        replica.answer_with = lambda r, req, rid: by_id[rid].serve(r, req)
    for case in cases:
        case.start(s.gateways[0])
    for case in cases:
        check(case.at_point.wait(3), f"{case}: not begun")


def start_cases(s, cases):
    """Returns when each answer is at its point and its bytes have arrived."""
    begin_cases(s, cases)
    time.sleep(0.1)


def finish_cases(s, cases):
    for case in cases:
        case.go_on.set()
    for case in cases:
        case.thread.join()
    for replica in s.engines + s.plains:
        replica.answer_with = None


def judge_cases(s, cases):
    """What looks complete is complete; work that may have run is not said not to
    have run, and an order ran once."""
    replicas = s.engines + s.plains
    for case in cases:
        a = case.answer
        whole = case.is_whole(replicas)
        check(whole or a.status != 200 or not a.whole,
              f"{case}: complete with {a.body!r}")
        check(a.status not in (429, 503), f"{case}: {a.status} after it ran")
        if case.path == "/order/1":
            runs = s.run_count(case.rid)
            check(runs == 1, f"{case}: ran {runs} times")


def play_undisturbed(s):
    """Returns all cases, after answers in which no endpoint halts."""
    cases = all_cases()
    for case in cases:
        case.go_on.set()
    start_cases(s, cases)
    finish_cases(s, cases)
    return cases


def tunnel_whole_answers(s):
    """Answers of each framing arrive as complete through another instance."""
    cut_from_endpoints(s)
    for case in play_undisturbed(s):
        check(case.is_whole(s.engines + s.plains),
              f"{case}: {case.answer.status} {case.answer.body!r}")


tunnel_whole_answers.system_options = {"gateways": 2}
tunnel_whole_answers.system_class = TunnelSystem


def check_middle_ends(s, end_middle):
    """Answers through another instance that ends at each point of them."""
    cut_from_endpoints(s)
    cases = all_cases()
    start_cases(s, cases)
    end_middle(s.gateways[1])
    s.gateways[1].popen.wait(10)
    time.sleep(0.1)
    finish_cases(s, cases)
    judge_cases(s, cases)
    check(s.gateways[1].popen.returncode is not None, "has not ended")
    for case in cases:
        check(case.framed or not case.is_whole(s.engines + s.plains),
              f"{case}: did not go through the other instance")
    broken = [c for c in cases if c.point == "between_events" and not c.framed]
    check(all(not c.answer.whole for c in broken), "not broken off")


def middle_killed_in_answer(s):
    """The end of the instance in the middle is not the end of the answer."""
    check_middle_ends(s, lambda middle: middle.popen.kill())


middle_killed_in_answer.system_options = {"gateways": 2}
middle_killed_in_answer.system_class = TunnelSystem


def middle_killed_frozen(s):
    """The same where it is frozen first."""
    def end(middle):
        middle.popen.send_signal(signal.SIGSTOP)
        time.sleep(0.2)
        middle.popen.kill()
    check_middle_ends(s, end)


middle_killed_frozen.system_options = {"gateways": 2}
middle_killed_frozen.system_class = TunnelSystem


def middle_stopped_in_answer(s):
    """The same at the end of the grace of a planned stop."""
    check_middle_ends(s, lambda middle: middle.popen.send_signal(signal.SIGTERM))


middle_stopped_in_answer.system_options = {"gateways": 2}
middle_stopped_in_answer.system_class = TunnelSystem


def middle_killed_stream_goes_on(s):
    """Streams that the end of the instance in the middle breaks go on through
    another one."""
    cut_from_endpoints(s)
    cases = [Case("/draft/1", framed, point)
             for framed, point in stream_points() for _ in range(4)]
    start_cases(s, cases)
    used = {line["via"] for line in find_log_lines(s.gateways[0], "ended")}
    check(not used, f"ended before: {used}")
    s.gateways[1].kill()
    time.sleep(0.1)
    finish_cases(s, cases)
    judge_cases(s, cases)
    whole = sum(c.is_whole(s.engines) for c in cases)
    check(whole == len(cases), f"{whole} of {len(cases)} went on")


middle_killed_stream_goes_on.system_options = {"gateways": 3}
middle_killed_stream_goes_on.system_class = RetryingSystem


def tunnel_request_cut(s):
    """A request whose sender ends within its body is not run by the endpoint:
    bodies state their length, also those that a caller sends in chunks."""
    cut_from_endpoints(s)
    rid = next_id()
    a = send(s.gateways[0].front, "/order/1", rid, body=b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n",
             headers={"Transfer-Encoding": "chunked"})
    check(a.status == 200, f"{a.status}")
    fields = [h for p in s.plains for r, h in p.received if r == rid]
    check([h.get("content-length") for h in fields] == ["5"], f"{fields}")
    host, port = s.gateways[1].mesh.split(":")
    for framing in ("", "Tunnel-Framing: chunked\r\n"):
        rid = next_id()
        sock = socket.create_connection((host, int(port)), 5)
        sock.sendall(b"POST /tunnel/p0 HTTP/1.1\r\nHost: tunnel\r\n%s"
                     b"Content-Length: 0\r\n\r\n" % framing.encode())
        check(b" 200 " in sock.recv(4096), "no tunnel")
        before = len(s.plains[0].raw)
        sock.sendall(b"POST /order/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
                     b"Content-Length: 5\r\n\r\nab" % (HOST.encode(), rid.encode()))
        sock.close()
        wait_for("the tunnel ends", lambda: " tunnels=0 " in s.gateways[1].state())
        time.sleep(0.1)
        check(s.run_count(rid) == 0 and len(s.plains[0].raw) == before,
              f"{framing!r}: a part of the request was run")


tunnel_request_cut.system_options = {"gateways": 2}
tunnel_request_cut.system_class = TunnelSystem


SCENARIOS = [
    tunnel_request_cut,
    tunnel_whole_answers, middle_killed_in_answer, middle_killed_frozen,
    middle_stopped_in_answer, middle_killed_stream_goes_on,
]

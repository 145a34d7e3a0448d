"""Scenarios of tests/gateway.py: streams that break after they have begun, and whose next
endpoint does not go on with them."""

import socket

from gateway_cuts import CuttableSystem
from gateway_tunnels import cut_from_endpoints
from hosted import (
    EVENTS, Gateway, HOST, MODEL, check, find_log_lines, next_id, read_to_end,
    reset_connection, wait_for)

BROKEN_AFTER = 3  # whole events, and half of the next one
CHUNKED = "Transfer-Encoding: chunked\r\n"
STREAM = "Content-Type: text/event-stream\r\n"
TEXT = "Content-Type: text/plain\r\n"
ERROR_TEXT = "the backend is unhappy\n\n"


def event(i, rid):
    return f"id: {i}\ndata: piece {i} {rid}\n\n"


def as_chunks(text):
    return f"{len(text):x}\r\n{text}\r\n0\r\n\r\n" if text else "0\r\n\r\n"


class GenerousGateway(Gateway):
    """Each broken stream may be sent again."""

    retry_slack = 10000


class GenerousSystem(CuttableSystem):
    gateway_class = GenerousGateway


class Next:
    """What the next endpoint answers: status, fields and body, framed in one way."""

    def __init__(self, name, status, fields, body, framing, goes_on=False):
        self.name = f"{name} {status} {framing}"
        self.status = status
        self.fields = fields
        self.body = body
        self.framing = framing
        self.goes_on = goes_on

    def write(self, replica, req, rid):
        """Returns False: the connection ends with the answer."""
        body = "".join(self.body(rid))
        head = (f"HTTP/1.1 {self.status} X\r\nRequest-Id: {rid}\r\n"
                f"Response-Stamp: {replica.name}\r\n{self.fields}")
        if self.framing == "length":
            text = f"{head}Content-Length: {len(body)}\r\n\r\n{body}"
        elif self.framing == "chunks":
            text = f"{head}{CHUNKED}\r\n{as_chunks(body)}"
        else:
            text = f"{head}\r\n{body}"
        req.sock.sendall(text.encode())
        return False


def rest_of(rid):
    return [event(i, rid) for i in range(BROKEN_AFTER + 1, EVENTS + 1)]


def make_answers():
    out = []
    for framing in ("length", "chunks", "end"):
        for status in (400, 404, 408, 429, 500, 503, 504):
            out.append(Next("error", status, TEXT, lambda rid: [ERROR_TEXT], framing))
        for status in (404, 500):
            out.append(Next("error as events", status, STREAM, rest_of, framing))
        out += [
            Next("redirect", 302, "Location: /x\r\n" + STREAM, rest_of, framing),
            Next("other type", 200, TEXT, rest_of, framing),
            Next("no type", 200, "", rest_of, framing),
            Next("encoded", 200, STREAM + "Content-Encoding: gzip\r\n", rest_of, framing),
            Next("partial", 206, STREAM, rest_of, framing),
            Next("text as events", 200, STREAM, lambda rid: [ERROR_TEXT], framing),
            Next("head in events", 200, STREAM, lambda rid: [
                "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror\n\n"], framing),
            Next("from the first", 200, STREAM, lambda rid: [
                event(i, rid) for i in range(1, EVENTS + 1)], framing),
            Next("again", 200, STREAM, lambda rid: [
                event(i, rid) for i in range(BROKEN_AFTER, EVENTS + 1)], framing),
            Next("text first", 200, STREAM, lambda rid: [ERROR_TEXT, *rest_of(rid)],
                 framing),
            Next("text amid", 200, STREAM, lambda rid: [
                *rest_of(rid)[:1], event(2, rid), *rest_of(rid)[1:]], framing),
            Next("goes on", 200, STREAM, rest_of, framing, goes_on=True),
        ]
    out += [
        Next("nothing", 204, STREAM, lambda rid: [], "end"),
        Next("created", 201, STREAM, lambda rid: [], "length"),
    ]
    return out


class Unfinished:
    """Reset before, in and after the head of the next answer."""

    goes_on = False

    def __init__(self, text):
        self.name = f"reset after {text!r}"
        self.text = text

    def write(self, replica, req, rid):
        req.sock.sendall(self.text.encode())
        reset_connection(req.sock)
        return False


RESETS = [Unfinished(t) for t in (
    "", "HTTP/1.1 200 O", f"HTTP/1.1 200 OK\r\n{STREAM}", f"HTTP/1.1 200 OK\r\n{STREAM}\r\n")]


def serve_stream(later):
    """The first endpoint breaks its stream within an event; later[n] answers the n-th
    send after it, and the last of them all others."""
    sends = []

    def serve(replica, req, rid):
        if req.get("Last-Event-Id") is None:
            text = replica.response_head(rid, STREAM + CHUNKED + "\r\n")
            part = "".join(event(i, rid) for i in range(1, BROKEN_AFTER + 1)) + "id: 4\nda"
            req.sock.sendall(f"{text}{len(part):x}\r\n{part}\r\n".encode())
            reset_connection(req.sock)
            return False
        sends.append(replica.name)
        return later[min(len(sends), len(later)) - 1].write(replica, req, rid)
    return serve


def read_raw(gateway, rid, fields=""):
    """Returns all bytes that the caller gets."""
    host, port = gateway.front.split(":")
    sock = socket.create_connection((host, int(port)), 8)
    sock.sendall((f"POST /draft/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {rid}\r\n"
                  f"Deadline-Ms: 4000\r\nModel: {MODEL}/a1\r\nToken-Count: 9,9\r\n{fields}"
                  "Connection: close\r\nContent-Length: 1\r\n\r\nx").encode())
    out, _ = read_to_end(sock)
    sock.close()
    return out.decode()


def read_chunks(text):
    """Returns (body, whether the last chunk came, bytes after it)."""
    body = ""
    while True:
        line, found, rest = text.partition("\r\n")
        if not found:
            return body, False, ""
        size = int(line, 16)
        if size == 0:
            return body, rest.startswith("\r\n"), rest[2:]
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False, ""
        text = rest[size + 2:]


def judge(name, text, rid, goes_on):
    head, _, rest = text.partition("\r\n\r\n")
    if BROKEN_AFTER and head.startswith("HTTP/1.1 502"):
        return
    check(head.startswith("HTTP/1.1 200 "), f"{name}: {text!r}")
    check(head.count("Response-Stamp") == 1, f"{name}: {head!r}")
    body, whole, after = read_chunks(rest)
    check(after == "", f"{name}: bytes after the answer: {after!r}")
    events = [event(i, rid) for i in range(1, EVENTS + 1)]
    n = body.count("\n\n")
    check(body == "".join(events[:n]), f"{name}: {body!r}")
    check(not whole or n == EVENTS, f"{name}: complete with {n} of {EVENTS} events")
    check(n >= BROKEN_AFTER, f"{name}: {n} events")
    check(not goes_on or (whole and n == EVENTS), f"{name}: did not go on")


def play(s, answers):
    rid = next_id()
    for engine in s.engines:
        engine.answer_with = serve_stream(answers)
    judge(" then ".join(a.name for a in answers), read_raw(s.gw, rid), rid,
          answers[-1].goes_on and len(answers) == 1)


def prepare(s):
    """Both engines have the adapter, so that each send reaches one of them."""
    wait_for("served", lambda: read_raw(s.gw, next_id()).endswith("0\r\n\r\n"))
    for engine in s.engines:
        engine.adapters["a1"] = 1


def broken_stream_meets_error(s):
    """A stream that breaks and whose next endpoint does not go on with it has whole
    events and a visibly broken end: nothing of the other answer is in it."""
    prepare(s)
    answers = make_answers() + RESETS
    for answer in answers:
        play(s, [answer])
    sent = find_log_lines(s.gw, "resume_sent")
    check(len(sent) >= len(answers) * 0.9, f"{len(sent)} of {len(answers)} went on")


broken_stream_meets_error.system_options = {"engines": 3, "plains": 0}


def broken_stream_meets_refusal(s):
    """The same where the next endpoint refuses and a third one is asked."""
    prepare(s)
    refusal = Next("refusal", 503, "Not-Run: 1\r\n", lambda rid: [], "length")
    for answer in make_answers()[::4]:
        play(s, [refusal, answer])


broken_stream_meets_refusal.system_options = {"engines": 3, "plains": 0}


def broken_stream_through_tunnel(s):
    """The same through another instance."""
    cut_from_endpoints(s)
    for answer in make_answers()[::2] + RESETS:
        play(s, [answer])


broken_stream_through_tunnel.system_options = {"gateways": 2, "engines": 3, "plains": 2}
def broken_stream_without_ids(s):
    """A stream whose events have no ids is not sent again by another endpoint after it
    has begun: its events would come twice."""
    prepare(s)

    def serve(replica, req, rid):
        text = replica.response_head(rid, STREAM + CHUNKED + "\r\n")
        part = "".join(f"data: piece {i}\n\n" for i in range(3))
        req.sock.sendall(f"{text}{len(part):x}\r\n{part}\r\n".encode())
        reset_connection(req.sock)
        return False

    for engine in s.engines:
        engine.answer_with = serve
    for _ in range(4):
        body, whole, _ = read_chunks(read_raw(s.gw, next_id()).partition("\r\n\r\n")[2])
        check(not whole and body.count("\n\n") <= 3, f"{body!r}")


broken_stream_without_ids.system_options = {"engines": 3, "plains": 0}


def caller_takes_up_stream(s):
    """A caller that takes up a stream does not get events again that it has, from an
    endpoint that starts over."""
    prepare(s)
    check(read_raw(s.gw, "begun").endswith("0\r\n\r\n"), "not begun")
    for first in (1, BROKEN_AFTER, BROKEN_AFTER + 1):
        answer = Next("from", 200, STREAM, lambda rid, first=first: [
            event(i, rid) for i in range(first, EVENTS + 1)], "chunks")
        for engine in s.engines:
            engine.answer_with = answer.write
        text = read_raw(s.gw, "taken-up",
                        f"Last-Event-Id: {BROKEN_AFTER}\r\nResumes: begun\r\n")
        head, _, rest = text.partition("\r\n\r\n")
        if first <= BROKEN_AFTER:
            check(head.startswith("HTTP/1.1 502"), f"from {first}: {text!r}")
        else:
            body, whole, _ = read_chunks(rest)
            check(whole and body == "".join(rest_of("taken-up")), f"{text!r}")


caller_takes_up_stream.system_options = {"engines": 2, "plains": 0}


for scenario in (broken_stream_meets_error, broken_stream_meets_refusal,
                 broken_stream_through_tunnel, broken_stream_without_ids,
                 caller_takes_up_stream):
    scenario.system_class = GenerousSystem


SCENARIOS = [
    broken_stream_meets_error, broken_stream_meets_refusal, broken_stream_through_tunnel,
    broken_stream_without_ids, caller_takes_up_stream,
]

"""Scenarios of tests/gateway.py: answers that halt at each point of them while the
instance of their callers ends, streams that were sent again, and bodies of callers
that are sent again."""

import signal
import socket
import threading
import time

from gateway_cuts import CuttableSystem
from gateway_tunnels import (
    Case, TunnelSystem, all_cases, begin_cases, cut_from_endpoints, finish_cases, judge_cases,
    start_cases)
from hosted import (
    EVENTS, HOST, MODEL, Answer, check, event_ids, has_all_events, make_config, next_id,
    read_to_end, send_draft, wait_for)
from si_http import Server, read_request

STREAM_FIELDS = {"Model": f"{MODEL}/a1", "Token-Count": "100,20"}


# ---- Callers ----

def read_answer(sock):
    """Returns the answer with as much of its body as came; whole only if its framing
    says so."""
    data, _ = read_to_end(sock)
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return Answer(0, "", {}, False)
    lines = head.decode().split("\r\n")
    fields = {name.lower(): value.strip() for name, value in
              (line.split(":", 1) for line in lines[1:])}
    status = int(lines[0].split()[1])
    if "transfer-encoding" in fields:
        text, whole = decode_chunks(body)
    else:
        length = int(fields["content-length"])
        text, whole = body[:length], len(body) >= length
    return Answer(status, text.decode(), fields, whole)


def decode_chunks(body):
    text = b""
    while b"\r\n" in body:
        size, body = body.split(b"\r\n", 1)
        n = int(size, 16)
        if n == 0:
            return text, body == b"\r\n"
        text += body[:n]
        body = body[n + 2:]
    return text, False


def exchange(gateway, method, target, rid, body=b"x", fields=None, chunks=None):
    """Sends one request, its body in chunks of these sizes if `chunks` is set."""
    host, port = gateway.front.split(":")
    head = {"Host": HOST, "Request-Id": rid, "Deadline-Ms": "4000",
            "Connection": "close", **(fields or {})}
    if chunks:
        head["Transfer-Encoding"] = "chunked"
        body = encode_chunks(body, chunks)
    else:
        head["Content-Length"] = str(len(body))
    text = f"{method} {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in head.items())
    try:
        with socket.create_connection((host, int(port)), timeout=15) as sock:
            sock.sendall(text.encode() + b"\r\n" + body)
            return read_answer(sock)
    except OSError:
        return Answer(0, "", {}, False)


def encode_chunks(body, sizes):
    out = b""
    for i in range(len(body)):
        n = sizes[i % len(sizes)]
        if not body:
            break
        out += b"%x\r\n%s\r\n" % (len(body[:n]), body[:n])
        body = body[n:]
    return out + b"0\r\n\r\n"


class EndCase(Case):
    """As Case; the caller keeps the part of the answer that it got."""

    def __init__(self, path, framed, point, pause_s=None):
        super().__init__(path, framed, point)
        self.fields = {}
        self.pause_s = pause_s

    def pieces(self, replica, first):
        out = super().pieces(replica, first)
        if self.point == "whole_body":
            # Otherwise the next request may come while this endpoint still halts.
            out[1] = (out[1][0], out[1][1] + b"Connection: close\r\n")
        return out

    def serve(self, replica, req):
        if self.pause_s is not None:
            threading.Thread(target=self.end_pause, daemon=True).start()
        return super().serve(replica, req)

    def end_pause(self):
        self.at_point.wait()
        time.sleep(self.pause_s)
        self.go_on.set()

    def start(self, gateway):
        def run():
            fields = dict(STREAM_FIELDS) if self.is_stream else {}
            self.answer = exchange(
                gateway, "GET" if "lookup" in self.path else "POST", self.path,
                self.rid, fields={**fields, **self.fields})
        self.thread = threading.Thread(target=run)
        self.thread.start()

    def take_up(self):
        """The case of a caller who takes up the rest of the stream."""
        rest = EndCase(self.path, self.framed, None)
        rest.go_on.set()
        ids = event_ids(self.answer)
        if ids:
            rest.fields = {"Last-Event-Id": str(ids[-1]), "Resumes": self.rid}
        return rest


# ---- The instance of the callers ends ----

def take_up_streams(s, cases, gateway):
    """Callers whose streams broke off get exactly the rest at another instance."""
    broken = [c for c in cases if c.is_stream and not c.answer.whole]
    rests = [c.take_up() for c in broken]
    by_id = {c.rid: c for c in rests}
    for engine in s.engines:
        engine.answer_with = lambda r, req, rid: by_id[rid].serve(r, req)
    for rest in rests:
        rest.start(gateway)
    for rest in rests:
        rest.thread.join()
    for engine in s.engines:
        engine.answer_with = None
    wrong = []
    for case, rest in zip(broken, rests):
        ids = event_ids(case.answer) + event_ids(rest.answer)
        if event_ids(case.answer) == list(range(1, EVENTS + 1)):
            continue  # nothing is left
        if ids != list(range(1, EVENTS + 1)) or not rest.answer.whole:
            wrong.append(f"{case}: {ids}, {rest.answer.status}")
    check(not wrong, f"{len(wrong)} of {len(broken)} not taken up: {wrong[:3]}")
    return len(broken)


def check_near_ends(s, sig, far):
    """Answers that halt at each point until their callers' instance has ended."""
    if far:
        cut_from_endpoints(s)
    wait_for("the adapter elsewhere", lambda: has_all_events(
        send_draft(s.gateways[-1])))
    cases = all_cases(EndCase)
    start_cases(s, cases)
    s.gateways[0].popen.send_signal(sig)
    code = s.gateways[0].popen.wait(10)
    finish_cases(s, cases)
    whole = sum(c.is_whole(s.engines + s.plains) for c in cases)
    statuses = [c.answer.status for c in cases]
    print(f"{len(cases)} answers, {whole} whole, {statuses.count(0)} without a "
          f"status, exit {code}")
    judge_cases(s, cases)
    print(f"{take_up_streams(s, cases, s.gateways[-1])} streams taken up")
    check(sig == signal.SIGKILL or code == 0, f"exit {code}")
    check(sig == signal.SIGKILL or 0 not in statuses, "not answered")


def near_stopped_in_answer(s):
    """At the end of the grace each answer is visibly broken off, or said not to be
    known; a stream goes on at another instance. Guards against ends that callers
    take for the end of the answer."""
    check_near_ends(s, signal.SIGTERM, False)


def near_stopped_in_far_answer(s):
    """The same where the answers come through another instance."""
    check_near_ends(s, signal.SIGTERM, True)


def near_killed_in_answer(s):
    """The same where the instance is killed."""
    check_near_ends(s, signal.SIGKILL, False)


for scenario in (near_stopped_in_answer, near_stopped_in_far_answer,
                 near_killed_in_answer):
    scenario.system_class = TunnelSystem
    scenario.system_options = {"gateways": 3}


# ---- Pauses that end within the grace ----

def check_pauses(s, stopping, longest_s):
    """Streams pause at each point for 0.5 s to `longest_s`, plain answers for 0.5 s."""
    cases = all_cases(EndCase)
    for i, case in enumerate(cases):
        case.pause_s = 0.5
        if case.is_stream and case.point not in ("before_head", "in_head"):
            case.pause_s = (0.5, 0.7, longest_s)[i % 3]
    begin_cases(s, cases)
    for gateway in stopping:
        gateway.popen.send_signal(signal.SIGTERM)
    for case in cases:
        case.thread.join()
    codes = [g.popen.wait(10) for g in stopping]
    for replica in s.engines + s.plains:
        replica.answer_with = None
    judge_cases(s, cases)
    cut = [f"{c} {c.pause_s}: {c.answer.status}" for c in cases
           if not c.is_whole(s.engines + s.plains)]
    print(f"{len(cases)} answers, {len(cut)} not whole, exit {codes}")
    check(not cut, f"{len(cut)} of {len(cases)}: {cut[:3]}")
    check(set(codes) == {0}, f"exit {codes}")


def pauses_over_stop(s):
    """A planned stop lets answers end whose endpoints pause at any point."""
    check(has_all_events(send_draft(s.gw)), "the adapter is not loaded")
    check_pauses(s, s.gateways[:1], 1.0)


def pauses_over_all_stops(s):
    """The same where the instances that the answers go through stop as well."""
    cut_from_endpoints(s)
    check_pauses(s, s.gateways, 3.0)


for scenario in (pauses_over_stop, pauses_over_all_stops):
    scenario.system_class = CuttableSystem
    scenario.system_options = {"gateways": 3}


# ---- Streams sent again ----

class LateEngines:
    """The first endpoint of each stream is silent until wake(), the second one
    begins before that, or later for the streams in `late_seconds`."""

    def __init__(self, engines, late_seconds):
        self.late_seconds = late_seconds
        self.lock = threading.Lock()
        self.sends = {}  # request id -> number of sends
        self.awake = threading.Event()
        for engine in engines:
            engine.answer_with = self.answer

    def count_again(self):
        with self.lock:
            return len([n for n in self.sends.values() if n > 1])

    def answer(self, replica, req, rid):
        with self.lock:
            n = self.sends[rid] = self.sends.get(rid, 0) + 1
        first = int(req.get("Last-Event-Id", "0")) + 1
        if n == 1 or rid in self.late_seconds:
            self.awake.wait(8)
        if n > 1 and rid in self.late_seconds:
            time.sleep(0.3)
        req.sock.sendall(replica.response_head(
            rid, "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(first, EVENTS + 1):
            event = f"id: {i}\ndata: send {n} {rid}\n\n".encode()
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.05)
        req.sock.sendall(b"0\r\n\r\n")
        return True


def check_late_first(s):
    for adapter in ("a1", "a2"):
        wait_for("loaded", lambda a=adapter: all(
            has_all_events(send_draft(s.gw, a)) for _ in range(4)))
    cases = [EndCase("/draft/1", True, None) for _ in range(12)]
    engines = LateEngines(s.engines, {c.rid for c in cases[::2]})
    for i, case in enumerate(cases):
        case.fields = {"Model": f"{MODEL}/a{1 + i // 2 % 2}"}
        case.start(s.gw)
    wait_for("some are sent again", engines.count_again, 5)
    time.sleep(0.25)
    engines.awake.set()
    for case in cases:
        case.thread.join()
    for engine in s.engines:
        engine.answer_with = None
    again = [engines.sends[c.rid] > 1 for c in cases]
    whole = sum(has_all_events(c.answer) for c in cases)
    print(f"{len(cases)} streams, {whole} whole, {sum(again)} sent again, "
          f"{sum(again[::2])} of them begun after the first woke")
    for case in cases:
        a = case.answer
        data = [line.split()[2:] for line in a.body.splitlines()
                if line.startswith("data: ")]
        check(event_ids(a) == list(range(1, len(event_ids(a)) + 1)),
              f"events {event_ids(a)}")
        check(all(d == [data[0][0], case.rid] for d in data), f"events of {data}")
        check(not a.whole or a.status != 200 or has_all_events(a), "not whole")
    check(whole == len(cases), f"{whole} of {len(cases)} whole")
    for i in range(4):
        a = send_draft(s.gw, f"a{1 + i % 2}")
        check(has_all_events(a), f"afterwards: {a.status} {a.body!r}")


def first_send_wakes_late(s):
    """An endpoint that answers a stream when it was sent again, before or after the
    other endpoint has begun to answer: the caller sees the events of one of them."""
    check_late_first(s)


def first_far_send_wakes_late(s):
    """The same through another instance."""
    cut_from_endpoints(s)
    check_late_first(s)


for scenario in (first_send_wakes_late, first_far_send_wakes_late):
    scenario.system_class = CuttableSystem
    scenario.system_options = {"gateways": 3}


# ---- Bodies of callers ----

EARLY = "X-Early"  # what the endpoint does before it reads the body
EARLY_MODES = ("refuse", "refuse_close", "answer", "answer_close", "slow")
EARLY_S = 0.1  # until the body is read
SLOW_S = 0.4


def read_exactly(sock, n_bytes):
    """Returns the request of that length; the next one stays in the socket."""
    data = b""
    while len(data) < n_bytes:
        piece = sock.recv(n_bytes - len(data))
        if not piece:
            return None
        data += piece
    return read_request(sock, data)[0]


class EarlyServer(Server):
    """Answers a request with the field EARLY before its body was read, the first
    time that it comes to any endpoint."""

    seen = set()

    def _serve(self, sock):
        try:
            while self.serve_next(sock):
                pass
        except (OSError, ValueError):
            pass
        sock.close()

    def serve_next(self, sock):
        while b"\r\n\r\n" not in (data := sock.recv(65536, socket.MSG_PEEK)):
            if not data:
                return False
            time.sleep(0.005)
        head = data.split(b"\r\n\r\n")[0].decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:])
        mode, rid = fields.get(EARLY.lower()), fields.get("request-id")
        first = rid not in self.seen
        if mode and first:
            self.seen.add(rid)
            self.answer_early(sock, mode, rid)
            if mode.endswith("close"):
                return False
            time.sleep(SLOW_S if mode == "slow" else EARLY_S)
        request = read_exactly(sock, data.index(b"\r\n\r\n") + 4 +
                               int(fields.get("content-length", "0")))
        if request is None or mode in ("refuse", "answer") and first:
            return request is not None
        return self.handle(request) is not False

    def answer_early(self, sock, mode, rid):
        head = {"refuse": "503 X\r\nNot-Run: 1", "answer": "200 OK"}.get(
            mode.split("_")[0])
        if head is not None:
            sock.sendall(f"HTTP/1.1 {head}\r\nRequest-Id: {rid}\r\nResponse-Stamp: x\r\n"
                         "Content-Length: 5\r\n\r\nearly".encode())


def check_received(s, rid, target, body):
    """Each endpoint that read the request got it unchanged. Returns how many."""
    got = [raw for p in s.plains for raw in p.raw
           if f"request-id: {rid}\r\n" in raw.split(b"\r\n\r\n")[0].decode().lower()]
    for raw in got:
        check(raw.startswith(f"POST {target} HTTP/1.1\r\n".encode()),
              f"{raw[:80]}")
        check(raw.split(b"\r\n\r\n", 1)[1] == body, f"{rid}: body changed")
    return len(got)


def bodies_sent_again(s):
    """Requests with a body in chunks, or a long one that endpoints answer before it
    was read: every endpoint gets the same method, path, query and body, also when
    the request is sent again and while the instance stops."""
    config = make_config(2)
    config["limits"]["maxBodyBytes"] = 2 << 20
    s.store.put("op", "config", config)
    for plain in s.plains:
        port = int(plain.server.addr.split(":")[1])
        plain.server.stop()
        plain.server = EarlyServer(plain.handle, port)
    wait_for("served", lambda: exchange(
        s.gw, "POST", "/lookup/1", next_id(), bytes(100000)).status == 200)
    body = bytes(i * 7 % 251 for i in range(700001))
    outcomes = []

    def play(path, fault, mode, chunks):
        rid = next_id()
        target = f"{path}a%2Fb/%20c;d?x={rid}&y=%3F/?&z"
        a = exchange(s.gw, "POST", target, rid, body, {EARLY: mode} if mode else {},
                     chunks)
        outcomes.append((path, fault or mode, bool(chunks), a.status,
                         check_received(s, rid, target, body), a.body[-30:]))
        runs = s.run_count(rid)
        check(a.whole or a.status == 0, "not whole")
        check(a.status == 200 or path == "/order/" or fault, f"{outcomes[-1]}")
        check(a.status != 503 or runs == 0, f"{outcomes[-1]}: ran")
        check(path != "/order/" or runs <= 1, f"{outcomes[-1]}: ran {runs} times")
        check(a.status != 200 or rid in a.body or a.body == "early",
              f"{outcomes[-1]}")

    kinds = [(path, chunks) for path in ("/lookup/", "/order/")
             for chunks in (None, (1000, 1, 65536, 17))]
    for path, chunks in kinds:
        for fault in ("not_run", "lost"):
            s.plains[0].faults = s.plains[1].faults = {fault: 1}
            play(path, fault, None, chunks)
        for mode in EARLY_MODES[:-1]:
            play(path, None, mode, chunks)
    threads = [threading.Thread(target=play, args=(path, None, "slow", chunks))
               for path, chunks in kinds]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    s.gw.popen.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    check(s.gw.popen.wait(10) == 0, "exit code")
    for outcome in outcomes:
        print(outcome)
    late = [o for o in outcomes if o[1] == "slow"]
    check(all(o[3] == 200 and o[4] >= 1 for o in late), f"{late}")


SCENARIOS = [
    near_stopped_in_answer, near_stopped_in_far_answer, near_killed_in_answer,
    pauses_over_stop, pauses_over_all_stops, first_send_wakes_late,
    first_far_send_wakes_late, bodies_sent_again,
]

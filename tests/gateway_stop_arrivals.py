"""Scenarios of tests/gateway.py with requests that arrive in pieces, or lie
unread in the kernel, in each phase of a planned stop."""

import random
import select
import signal
import socket
import threading
import time

from gateway_stop_tails import READ_EVERY_S, SlowCaller, answer_with_events
from gateway_stops import (
    LONG_MS, UNREAD_BYTES, add_long_routes, check_exit, stop)
from hosted import (
    EVENTS, HOST, MODEL, check, find_log_lines, next_id, reset_connection,
    wait_for, with_grace)

ROUNDS = 4
CALLERS = 40
ALIVE_S = 0.3  # a connection that took bytes for this long was read from


class PieceCaller:
    """Sends one request in pieces from `at_s` on, and reads all the time. `end`
    is "not sent", "answered", "closed" or "reset"."""

    def __init__(self, front, kind, chunked, kept, at_s, gaps_s):
        host, port = front.split(":")
        self.addr = (host, int(port))
        self.kind, self.chunked, self.kept = kind, chunked, kept
        self.at_s, self.gaps_s = at_s, gaps_s
        self.rid = next_id()
        self.got = b""
        self.sent_all = False
        self.first_s = self.end_s = 0.0
        self.end = "not sent"
        self.sock = socket.create_connection(self.addr, 15) if kept else None

    def pieces(self):
        """The head with the first bytes of the body, then the rest."""
        n = len(self.gaps_s) + 1
        length = ("Transfer-Encoding: chunked" if self.chunked
                  else f"Content-Length: {100 * n}")
        fields = [f"POST /long-{self.kind}/{self.rid} HTTP/1.1",
                  f"Host: {HOST}", f"Request-Id: {self.rid}",
                  f"Deadline-Ms: {LONG_MS}", length]
        if self.kind != "unsafe":
            fields += [f"Model: {MODEL}/a1", "Token-Count: 100,6"]
        body = [b"x" * 100] * n
        if self.chunked:
            body = [b"64\r\n" + b + b"\r\n" for b in body]
            body[-1] += b"0\r\n\r\n"
        body[0] = ("\r\n".join(fields) + "\r\n\r\n").encode() + body[0]
        return body

    def read_for(self, for_s):
        """Returns False at the end of the connection."""
        until = time.monotonic() + for_s
        while (left := until - time.monotonic()) > 0 and not self.is_answered():
            if not select.select([self.sock], [], [], left)[0]:
                break
            data = self.sock.recv(65536)
            if not data:
                self.end = "closed"
                return False
            self.got += data
        return not self.is_answered()

    def is_answered(self):
        if self.status() == 200 and b"chunked" in self.got:
            return self.got.endswith(b"0\r\n\r\n")
        head, gap, body = self.got.partition(b"\r\n\r\n")
        if not gap or b"Content-Length: " not in head:
            return False
        length = head.split(b"Content-Length: ")[1].split(b"\r\n")[0]
        return len(body) >= int(length)

    def status(self):
        return int(self.got[9:12] or 0)

    def run(self, began):
        try:
            if self.kept and not self.read_for(
                    began + self.at_s - time.monotonic()):
                self.end = "not sent"
                return
            time.sleep(max(0, began + self.at_s - time.monotonic()))
            if not self.kept:
                self.sock = socket.create_connection(self.addr, 15)
            self.first_s = time.monotonic() - began
            for piece, gap_s in zip(self.pieces(), [*self.gaps_s, None]):
                self.sock.sendall(piece)
                self.sent_all = gap_s is None
                if not self.read_for(15 if gap_s is None else gap_s):
                    break
        except ConnectionRefusedError:
            return
        except OSError:
            self.end = "reset"
        finally:
            self.end_s = time.monotonic() - began
            if self.sock is not None:
                self.sock.close()
        if self.is_answered():
            self.end = "answered"

    def is_wrong(self, s):
        """It ran without a whole answer, was refused although it ran, or was cut
        after it was read in part."""
        runs = s.run_count(self.rid)
        if self.end == "answered":
            return runs != (self.status() == 200)
        return self.end != "not sent" and (
            runs > 0 or self.end_s - self.first_s > ALIVE_S)

    def __str__(self):
        return (f"{self.rid} {self.kind} {'chunks' if self.chunked else 'length'}"
                f" {'kept' if self.kept else 'new'} {len(self.gaps_s) + 1} pieces"
                f" from {self.first_s:.3f} to {self.end_s:.3f} s: {self.end}"
                f" {self.status()}")


def draw_gaps(rand):
    pieces = rand.choice((1, 2, 3, 6))
    whole_s = rand.uniform(0, 0.6)
    return [whole_s / pieces] * (pieces - 1)


def draw_callers(front, rand, times, last):
    """Callers that send their first or last piece at these times."""
    callers = []
    for at_s in times:
        gaps = draw_gaps(rand)
        callers.append(PieceCaller(
            front, rand.choice(("unsafe", "brief", "draft")),
            rand.random() < 0.6, rand.random() < 0.6,
            max(0.0, at_s - last * sum(gaps)), gaps))
    return callers


def run_callers(callers, began):
    threads = [threading.Thread(target=c.run, args=(began,)) for c in callers]
    for thread in threads:
        thread.start()
    return threads


def show(callers, s):
    """Prints how often each end was seen; returns the wrong ones."""
    counts = {}
    for c in callers:
        what = (c.end, c.status(), s.run_count(c.rid))
        counts[what] = counts.get(what, 0) + 1
    for (end, status, runs), n in sorted(counts.items()):
        print(f"  {n} {end} {status or ''} ran {runs}")
    wrong = [c for c in callers if c.is_wrong(s)]
    for c in wrong:
        print(f"  wrong: {c}")
    return wrong


def restart(s):
    s.gw.start()
    wait_for("ready", s.gw.is_ready)
    wait_for("the engines", lambda: len(s.gw.owned_endpoints()) == 2)


def warm_up(s):
    """The instance learns how long requests take."""
    callers = [PieceCaller(s.gw.front, kind, False, False, 0, [])
               for kind in ("unsafe", "brief", "draft")]
    for thread in run_callers(callers, time.monotonic()):
        thread.join()
    check(all(c.status() == 200 for c in callers), "not served before the stop")


def set_work(s, work_s):
    add_long_routes(s)
    for replica in s.plains + s.engines:
        replica.work_s = work_s
        replica.event_interval_s = work_s / EVENTS


def play_round(s, callers, freeze=None):
    """Stops the instance with these callers; `freeze` is the time during which
    it does not run. Returns the wrong ones."""
    began = stop(s.gw)
    threads = run_callers(callers, began)
    if freeze is not None:
        time.sleep(began + freeze[0] - time.monotonic())
        s.gw.popen.send_signal(signal.SIGSTOP)
        time.sleep(began + freeze[1] - time.monotonic())
        s.gw.popen.send_signal(signal.SIGCONT)
    check_exit(s.gw, began)
    for thread in threads:
        thread.join()
    return show(callers, s)


def pieces_over_stop(s):
    """Requests in pieces over the whole of the grace, most of them around the
    last answers and the end of the process."""
    set_work(s, 0.3)
    wrong = []
    for seed in range(2):
        rand = random.Random(seed)
        times = [rand.choice((rand.uniform(0, 8.3), rand.uniform(7.1, 7.5),
                              rand.uniform(7.6, 7.9)))
                 for _ in range(2 * CALLERS)]
        warm_up(s)
        wrong += play_round(s, draw_callers(s.gw.front, rand, times, last=True))
        restart(s)
    check(not wrong, f"{len(wrong)} requests cut or answered untruly")


def begin_unread(s, freeze):
    """Requests whose first piece lies in the kernel, of some also the connection,
    when listeners and idle connections are closed. Each gets an answer."""
    set_work(s, 0.03)
    bad = []
    for seed in range(ROUNDS):
        rand = random.Random(seed)
        times = [rand.uniform(freeze[0] + 0.02, freeze[1] - 0.02)
                 for _ in range(CALLERS)]
        warm_up(s)
        callers = draw_callers(s.gw.front, rand, times, last=False)
        bad += play_round(s, callers, freeze)
        bad += [c for c in callers if c.end != "answered"]
        restart(s)
    check(not bad, f"{len(bad)} of {ROUNDS * CALLERS} without a true answer")


def unread_at_quiet_end(s):
    """At the end of 1.5 s without a request."""
    begin_unread(s, (1.45, 1.63))


def unread_at_last_answers(s):
    """At the time of the last answers."""
    begin_unread(s, (0.7, 0.8))


unread_at_last_answers.system_class = with_grace(1)


ENDS = ("answered", "refused", "failed", "caller_left", "cut_by_stop",
        "refused_half_read", "left_half_read", "request_timed_out")
ENDS_GRACE_S = 3
LARGE = bytes(UNREAD_BYTES)


def answer_by_id(replica, req, rid):
    """The request's id says how it ends."""
    if rid == "quick" or not replica.engine and rid != "unread":
        return replica.answer_plain(req, rid)
    if rid == "silent":
        time.sleep(2 * ENDS_GRACE_S)
        return False
    if rid == "unread":
        req.answer(200, LARGE, [("Request-Id", rid),
                                ("Response-Stamp", replica.name)])
        return True
    req.sock.sendall(replica.response_head(
        rid, "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(1, 1000):
        piece = b"x" * (60000 if rid == "stalled" else 10)
        event = b"id: %d\ndata: %s\n\n" % (i, piece)
        req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        time.sleep(0.02)
        if rid == "broken" and i == 3:
            reset_connection(req.sock)
            return False
    return True


def ends_are_logged(s):
    """Each request that was read, also in part, has one line in the log of the
    stopped instance that names its id and its end."""
    add_long_routes(s)
    for replica in s.engines + s.plains:
        replica.answer_with = answer_by_id
    kinds = {"quick": ("unsafe", "answered"), "broken": ("brief", "failed"),
             "silent": ("brief", "failed"), "long": ("brief", "failed"),
             "stalled": ("brief", "failed"), "unread": ("unsafe", "answered"),
             "closed": ("brief", "caller_left"),
             "reset": ("brief", "caller_left"),
             "late": ("brief", "refused"),
             "half": ("unsafe", "refused_half_read"),
             "half-closed": ("unsafe", "left_half_read"),
             "half-reset": ("unsafe", "left_half_read"),
             "half-slow": ("unsafe", "request_timed_out")}
    kinds_at_once = [rid for rid in kinds
                     if rid != "late" and not rid.startswith("half")]
    callers = {}
    for rid, (kind, _) in kinds.items():
        c = PieceCaller(s.gw.front, kind, True, True, 0,
                        [0] if rid.startswith("half") else [])
        c.rid = rid
        callers[rid] = c
        if rid in kinds_at_once:
            c.sock.sendall(c.pieces()[0])
    wait_for("they run", lambda: all(
        s.run_count(rid) for rid in kinds
        if rid in kinds_at_once))
    time.sleep(0.1)
    began = stop(s.gw)
    for rid in ("half-closed", "half-reset", "half-slow"):
        callers[rid].sock.sendall(callers[rid].pieces()[0])
    time.sleep(0.3)
    for rid in ("closed", "half-closed"):
        callers[rid].sock.close()
    for rid in ("reset", "half-reset"):
        reset_connection(callers[rid].sock)
    time.sleep(began + 2 - time.monotonic())
    for rid in ("late", "half"):
        callers[rid].sock.sendall(callers[rid].pieces()[0])
    check_exit(s.gw, began)
    wrong = []
    for rid, (_, expected) in kinds.items():
        lines = [line for end in ENDS for line in find_log_lines(s.gw, end)
                 if line.get("id") == rid]
        ends = [(line["event"], line.get("reason")) for line in lines]
        cuts = [line["reason"] for line in find_log_lines(s.gw, "answer_cut")
                if line.get("id") == rid]
        print(f"{rid}: {ends} answer_cut {cuts}")
        if [end for end, _ in ends] != [expected]:
            wrong.append(rid)
        callers[rid].sock.close()
    check(not wrong, f"no line, or others: {wrong}")


ends_are_logged.system_class = with_grace(ENDS_GRACE_S)


class NextCaller(SlowCaller):
    """Reads a stream, and meanwhile sends more on the same connection, a piece at
    a time from event `next_at` on."""

    def __init__(self, front, next_at, pieces, portion_bytes):
        super().__init__(front, "brief")
        self.next_at = next_at
        self.next_id = next_id()
        self.pieces = [p.replace(b"RID", self.next_id.encode()) for p in pieces]
        self.portion_bytes = portion_bytes

    def read_on(self):
        data = self.sock.recv(self.portion_bytes)
        self.received += data
        return bool(data)

    def read_if_any(self):
        return (not select.select([self.sock], [], [], 0)[0] or
                self.read_on())

    def next_status(self):
        return int((self.received.split(b"HTTP/1.1 ")[2:] or [b"0"])[0][:3])

    def run(self):
        pieces = list(self.pieces)
        try:
            self.sock.sendall(self.request())
            while self.read_on() if not pieces else self.read_if_any():
                if pieces and self.events() >= self.next_at:
                    self.sock.sendall(pieces.pop(0))
                if self.is_whole() and self.next_status() > 0:
                    break
                time.sleep(READ_EVERY_S)
        except OSError as why:
            self.error = why
        self.sock.close()


NEXT_HEAD = (f"POST /long-unsafe/RID HTTP/1.1\r\nHost: {HOST}\r\n"
             f"Request-Id: RID\r\nDeadline-Ms: {LONG_MS}\r\n"
             "Transfer-Encoding: chunked\r\n\r\n").encode()
CHUNKS = [b"64\r\n" + b"x" * 100 + b"\r\n"] * 6
LAST_CHUNK = b"0\r\n\r\n"
FOLLOWING = {  # what arrives during and after an answer
    "whole": [NEXT_HEAD, *CHUNKS, LAST_CHUNK],
    "half": [NEXT_HEAD, *CHUNKS],
    "stray": [*CHUNKS, LAST_CHUNK],  # the rest of no request
}


def check_next(s, c):
    """Returns whether the answer to what followed the stream is a true one."""
    runs = s.run_count(c.next_id)
    last = b"Connection: close" in c.received.split(b"HTTP/1.1 ")[1]
    if c.what == "whole":
        return runs == (c.next_status() == 200) and (
            last or c.next_status() in (0, 200, 503))
    return runs == 0 and (last or c.next_status() in (0, 400, 408, 503))


def stream_with_following(s, portion_bytes, at_events):
    """Streams in a planned stop, during which and after which more arrives in
    pieces: each is whole."""
    add_long_routes(s)
    for engine in s.engines:
        engine.answer_with = answer_with_events
    callers = []
    for what, pieces in FOLLOWING.items():
        for at_event in at_events:
            c = NextCaller(s.gw.front, at_event, pieces, portion_bytes)
            c.what = what
            callers.append(c)
    threads = [threading.Thread(target=c.run) for c in callers]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    began = stop(s.gw)
    check_exit(s.gw, began)
    for thread in threads:
        thread.join()
    wrong = []
    print(*[f"{line['phase']} from {line['after_ms']} ms"
            for line in find_log_lines(s.gw, "stop_phase")], sep=", ")
    for c in callers:
        print(f"{c.what} from event {c.next_at}: {c.events()} events, next "
              f"{c.next_status()} ran {s.run_count(c.next_id)}, {c.error!r}")
        if not c.is_whole() or not check_next(s, c):
            wrong.append(c.rid)
    check(not wrong, f"{len(wrong)} of {len(callers)} cut or untrue")


def chunks_during_streams(s):
    """The callers read at once."""
    stream_with_following(s, 65536, (1, 100, 150, 180, 190))


def chunks_behind_slow_streams(s):
    """The callers read slowly: the rest arrives when nothing but the end of the
    answer, on its way, keeps the connection open."""
    stream_with_following(s, 700, (160, 170, 180, 190))


def chunks_at_last_answers(s):
    """The callers read so slowly that the rest arrives around the last answers."""
    stream_with_following(s, 380, (182, 186, 190))


def stream_waits_for_body(s):
    """A stream does not begin before its body in chunks is complete, also in a
    planned stop."""
    add_long_routes(s)
    warm_up(s)
    callers = [PieceCaller(s.gw.front, kind, True, kept, 0.2, [0.4])
               for kind in ("brief", "draft") for kept in (True, False)]
    began = stop(s.gw)
    threads = run_callers(callers, began)
    time.sleep(0.5)
    check(not [c for c in callers if s.run_count(c.rid)], "ran before its end")
    for thread in threads:
        thread.join()
    check_exit(s.gw, began)
    check(not show(callers, s), "cut or answered untruly")
    check(all(c.status() == 200 for c in callers), "not served")


SCENARIOS = [pieces_over_stop, unread_at_quiet_end, unread_at_last_answers,
             ends_are_logged, chunks_during_streams,
             chunks_behind_slow_streams,
             chunks_at_last_answers, stream_waits_for_body]

"""Scenarios of tests/gateway.py: endpoints that send answers twice, the copy
late: while their connection is idle, while the next answer is due on it, or in
the middle of that."""

import random
import threading
import time

from gateway_broken_streams import GenerousSystem
from gateway_cut_heads import body_pieces, make_answer, places_in_head
from hosted import (
    EVENTS, HOST, Replica, check, find_log_lines, has_all_events, make_config,
    next_id, send, send_draft, wait_for)

CALLERS = 8
LATEST_S = 0.15  # of a copy


class Stutterer:
    """Answers requests at a replica, and sends a copy of each answer later;
    with `middle`, copies may come in the middle of an answer. `share` is the
    share of answers with a copy."""

    def __init__(self, middle, share=0.5, seed=1):
        self.middle = middle
        self.share = share
        self.rand = random.Random(seed)
        self.locks = {}  # socket -> lock of its bytes
        self.copies = 0

    def write(self, sock, pieces):
        """Returns False when the connection has ended."""
        lock = self.locks.setdefault(sock, threading.Lock())
        try:
            if self.middle:
                for piece in pieces:
                    with lock:
                        sock.sendall(piece)
                    time.sleep(0.005)
                return True
            with lock:
                sock.sendall(b"".join(pieces))
            return True
        except OSError:
            return False

    def serve(self, replica, req, rid):
        body = f"done by {replica.name} for {rid}".encode()
        head = replica.response_head(
            rid, f"Keep-Alive: timeout=9\r\nContent-Length: {len(body)}\r\n\r\n")
        head = head.encode()
        pieces = [head[:30], head[30:], body[:5], body[5:]]
        time.sleep(self.rand.uniform(0, 0.03))
        ok = self.write(req.sock, pieces)
        if ok and self.rand.random() < self.share:
            threading.Thread(target=self.copy, args=(req.sock, pieces)).start()
        return ok

    def copy(self, sock, pieces):
        time.sleep(self.rand.uniform(0, LATEST_S))
        lock = self.locks[sock]
        try:
            with lock:
                sock.sendall(b"".join(pieces))
            self.copies += 1
        except OSError:
            pass  # the connection was closed


def send_plain(s, kinds, seconds):
    """Sends requests for some time; returns [(kind, id, answer)] with the time
    at which each began."""
    results = []
    until = time.monotonic() + seconds

    def run(i):
        while time.monotonic() < until:
            kind = kinds[i % len(kinds)]
            rid = next_id() + f"c{i}"
            began = time.monotonic()
            results.append((began, kind, rid, send(
                s.gw.front, f"/{kind}/1", rid,
                "POST" if kind == "order" else "GET",
                b"x" if kind == "order" else None)))

    threads = [threading.Thread(target=run, args=(i,)) for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def judge_stutter(s, kinds, middle):
    stutterers = [Stutterer(middle, seed=i) for i in range(len(s.plains))]
    for plain, stutterer in zip(s.plains, stutterers):
        plain.answer_with = stutterer.serve
    first = send_plain(s, kinds, 0.5)
    wait_for("a sighting", lambda: find_log_lines(s.gw, "stutters"), 3)
    after = send_plain(s, kinds, 2.0)
    for name, results in (("before", first), ("after", after)):
        print(f"{name}: {len(results)} requests, failed:", [
            k for _, k, _, a in results if a.status != 200])
    print(f"{sum(t.copies for t in stutterers)} copies")
    for _, kind, rid, a in first + after:
        check(a.status != 200 or not a.whole or a.body in [
            f"done by {p.name} for {rid}" for p in s.plains],
            f"{kind}: another answer: {a.body!r}")
        check(kind != "order" or s.run_count(rid) == 1,
              f"order ran {s.run_count(rid)} times")
    failed = [a for _, kind, _, a in after
              if a.status != 200 and (kind == "order" or not middle)]
    check(not failed, f"{len(failed)} of {len(after)} failed")


def stutter_between(s):
    """Once an endpoint was seen to send answers twice, no order fails for a
    copy, and no caller gets another one's answer."""
    judge_stutter(s, ("order", "lookup"), False)
    check(len(find_log_lines(s.gw, "stutters")) == 1, "logged more than once")


def stutter_within(s):
    """The same where copies come in the middle of answers. Lookups, which may run
    again, still share connections; one may fail when its tries are used up."""
    judge_stutter(s, ("order", "lookup"), True)


class PlacedCopy:
    """A service with one replica, whose second answer on a connection has a
    copy of the first one within it, at `part` bytes."""

    def __init__(self, s, i, part, paused):
        self.part, self.paused = part, paused
        self.name = f"svc{i}"
        self.last = {}  # socket -> the first answer on it
        self.played = False
        self.replica = Replica(s.store, f"q{i:02d}", self.name, False)
        self.replica.answer_with = self.serve

    def whole(self, rid):
        head, body = make_answer("order", "", "length", self.replica.name, rid)
        return head, body

    def serve(self, replica, req, rid):
        answer = b"".join(self.whole(rid))
        copy = self.last.get(req.sock)
        if copy is None:
            self.last[req.sock] = answer
            req.sock.sendall(answer)
            return True
        self.played = True
        pieces = [answer[:self.part], copy, answer[self.part:]]
        for piece in pieces if self.paused else [b"".join(pieces)]:
            req.sock.sendall(piece)
            time.sleep(0.05)
        return True

    def play(self, s):
        """Returns what is wrong, or None."""
        for _ in range(2):
            rid = f"cut{int(next_id()[3:]):05d}"
            a = send(s.gw.front, f"/{self.name}/1", rid)
        where = f"copy at {self.part}{' paused' if self.paused else ''}"
        if not self.played:
            return f"{where}: not played"
        if a.status == 200 and a.whole and (
                a.body.encode() != self.whole(rid)[1]):
            return f"{where}: another answer: {a.body!r}"
        return None


def stutter_places(s):
    """The first copy that an endpoint sends within another answer is not taken
    for a part of that, at each place of the answer."""
    head, body = make_answer("order", "", "length", "q00", "cut00000")
    parts = [*places_in_head(head), *range(len(head), len(head) + len(body), 5)]
    cases = [PlacedCopy(s, 2 * i + paused, part, paused)
             for i, part in enumerate(parts) for paused in (False, True)]
    config = make_config(2, extra_routes=[
        {"name": c.name, "host": HOST, "prefix": f"/{c.name}/",
         "kind": "unsafe", "timeoutMs": 1500, "service": c.name,
         "maxAttempts": 1} for c in cases])
    config["services"] += [{"name": c.name, "healthPath": "/health"}
                           for c in cases]
    s.store.put("op", "config", config)
    wait_for("the routes", lambda: send(
        s.gw.front, f"/{cases[-1].name}/1").status == 200)
    cases[-1].last.clear()
    wrong = [w for w in [c.play(s) for c in cases] if w]
    print(f"{len(cases)} places, {len(wrong)} wrong")
    check(not wrong, "; ".join(wrong[:6]))


class SpoiltStream:
    """A stream with the bytes `spoil` after `part` bytes of its events, at the
    first endpoint that it comes from."""

    def __init__(self, path, framing, part, what):
        self.path, self.framing = path, framing
        self.part, self.what = part, what
        self.rid = f"cut{int(next_id()[3:]):05d}"
        self.spoilt = False

    def __str__(self):
        return f"{self.path} {self.framing} {self.what} at {self.part}"

    def serve(self, replica, req):
        first = int(req.get("Last-Event-Id", "0"))
        head, _ = make_answer("draft", "", "unframed", replica.name, self.rid)
        events = b"".join(body_pieces("draft", replica.name, self.rid)[first:])
        if self.framing == "length":
            head = head[:-2] + b"Content-Length: %d\r\n\r\n" % len(events)
        is_first = not self.spoilt
        if is_first:
            self.spoilt = True
            copy = (b"id: 1\ndata: again\n\n" if self.what == "id" else
                    b"".join(make_answer("draft", "", self.what, replica.name,
                                         "cutother")))
            events = events[:self.part] + copy + events[self.part:]
        req.sock.sendall(head + events)
        # A caller may use the connection again, which must not end then.
        return self.framing == "length" and not is_first

    def judge(self, a):
        """Returns what is wrong, or None."""
        body = a.body.encode()
        if a.status == 200 and a.whole:
            expected = b"".join(body_pieces("draft", "", self.rid))
            return None if body == expected else f"{self}: {a.body!r}"
        return f"{self}: {a.status}" if self.path == "draft" else None


def stutter_in_streams(s):
    """A stream in which another answer or an earlier event is inserted is not
    passed on with that: one that can be resumed goes on at another endpoint,
    and others break off."""
    pieces = body_pieces("draft", "", "cut00000")
    ends = [sum(map(len, pieces[:n])) for n in range(1, EVENTS + 1)]
    parts = [*ends, 0, 3, ends[1] + 9, ends[2] - 1]
    streams = [SpoiltStream(path, framing, part, what)
               for path in ("draft", "brief")
               for framing in ("unframed", "length")
               for what in ("unframed", "length", "chunks", "id")
               for part in (ends[:-1] if what == "id" else parts)
               if framing == "unframed" or part < ends[-1]]
    by_id = {c.rid: c for c in streams}
    wait_for("a stream", lambda: has_all_events(send_draft(s.gw)))
    for engine in s.engines:
        engine.answer_with = lambda r, req, rid: by_id[rid].serve(r, req)
    wrong = [w for w in [c.judge(send_draft(
        s.gw, path=f"/{c.path}/1", rid=c.rid)) for c in streams] if w]
    print(f"{len(streams)} streams, {len(wrong)} wrong")
    check(not wrong, "; ".join(wrong[:4]))


stutter_in_streams.system_class = GenerousSystem


def streams_without_ids(s):
    """Streams without ids, and events without them, are passed on as they
    are."""
    texts = ("data: a\n\ndata: a\n\n", ": hello\n\nid: 0\ndata: a\n\nid: 7\n"
             "data: b\n\n: still here\n\nevent: end\ndata: HTTP/1.1 200 OK\n\n")
    for text in texts:
        for engine in s.engines:
            engine.answer_with = lambda r, req, rid, t=text: req.sock.sendall(
                (r.response_head(rid, "Content-Type: text/event-stream\r\n\r\n")
                 + t).encode()) is not None
        a = send_draft(s.gw)
        check(a.status == 200 and a.whole and a.body == text,
              f"{a.status} {a.body!r}")


SCENARIOS = [stutter_between, stutter_within, stutter_places,
             stutter_in_streams, streams_without_ids]

"""Scenarios of tests/gateway.py: requests whose head or framing is spoilt, so that
another reader would see other requests in the same bytes. Callers send and read
raw bytes."""

from gateway_spoilt_answers import (
    BODY, CHUNKS, CODING, FOLDED, LENGTH, SOUND, SPOILT_CODINGS, SPOILT_FOLDS,
    SPOILT_FRAMES, SPOILT_NAMES, SPOILT_TRAILERS, Form, chunked, connect, with_length,
    with_trailer)
from hosted import HOST, check, http_get, next_id, read_to_end, send, wait_for

# Refused also before there was a check of our own.
REFUSED_BEFORE = [
    Form([b"Content-Length\t: 4"]), Form([b"Transfer-Encoding: xchunked"], CHUNKS),
    Form([LENGTH, b"Content-Length: 5"]), Form([LENGTH, LENGTH]),
    Form([LENGTH, CODING], CHUNKS), Form([CODING, LENGTH], CHUNKS),
    *[Form([b"Content-Length: " + value]) for value in (
        b"4x", b"+4", b"4 4", b"-4", b"", b"4,4", b"0x4")],
    *[with_length(line) for line in (
        b"X", b": v", b"X\0Y: v", b"X(Y: v", b"X\xe4: v", b"X\x01Y: v", b"X: a\x01b")],
    *[chunked(size + b"\r\nbody\r\n0\r\n\r\n") for size in (b"+4", b"0x4", b"g", b"")]]


def request(rid, path=b"/order/1", lines=(), after=b"", first=False):
    own = [b"Host: " + HOST.encode(), b"Request-Id: " + rid.encode(),
           b"Deadline-Ms: 4000"]
    lines = [*lines, *own] if first else [*own, *lines]
    return b"\r\n".join([b"POST " + path + b" HTTP/1.1", *lines, b"", after])


def sound_request(rid):
    return request(rid, lines=[b"Content-Length: 0"])


def call(s, text):
    """Returns what the caller gets until its connection ends."""
    with connect(s.gw) as sock:
        sock.sendall(text)
        return read_to_end(sock)[0]


def received(s):
    return [raw for replica in s.plains + s.engines for raw in replica.raw
            if b"/order/" in raw[:40]]


def find_accepted(s, form, first):
    """Sends a request of that form with another one behind it, or in its body.
    Returns what is wrong, or None."""
    rid, hidden = next_id(), next_id()
    before = len(received(s))
    raw = call(s, request(rid, lines=form.lines, after=form.after, first=first) +
               sound_request(hidden))
    if not raw.startswith(b"HTTP/1.1 400 ") or raw.count(b"HTTP/1.1") != 1:
        return f"{form} {first}: {raw!r}"
    if len(received(s)) > before:
        return f"{form} {first}: {received(s)[before:]}"
    return None


def judge_refused(s, forms, places=(False, True)):
    wrong = [w for form in forms for first in places
             for w in [find_accepted(s, form, first)] if w]
    print(f"{len(forms) * len(places)} requests, {len(wrong)} wrong")
    for line in wrong[:12]:
        print(" ", line[:300])
    check(not wrong, f"{len(wrong)} were not refused")
    check(send(s.gw.front, "/order/1").status == 200, "no service")


def smuggled_request(s):
    """Guards against a body that is read as the next request, and run: its length
    is stated in a line that one reader counts as a field and another does not."""
    wrong = []
    for line in (b"Content Length: %d", b"Content-Length : %d", b" Content-Length: %d",
                 b"X: a\r\n Content-Length: %d", b"\tContent-Length: %d",
                 b"Content-Leng th: %d"):
        for first in (False, True):
            rid, hidden = next_id(), next_id()
            body = sound_request(hidden)
            raw = call(s, request(rid, lines=[line % len(body)], after=body,
                                  first=first))
            runs = s.run_count(rid) + s.run_count(hidden)
            if not raw.startswith(b"HTTP/1.1 400 ") or raw.count(
                    b"HTTP/1.1") != 1 or runs > 0:
                wrong.append(f"{line} {first}: {runs} runs, {raw!r}")
    for line in wrong:
        print(" ", line[:300])
    check(not wrong, f"{len(wrong)} of 12 were read as two requests")


def spoilt_requests(s):
    """Guards against requests that are read in one way here and in another one
    elsewhere."""
    judge_refused(s, SPOILT_NAMES + SPOILT_FOLDS + SPOILT_CODINGS)
    judge_refused(s, SPOILT_FRAMES + SPOILT_TRAILERS, (False,))
    judge_refused(s, [with_length(b"content-length : 4"),
                      with_length(b"content length: 4"),
                      *[with_length(line) for line in FOLDED]])
    rid = next_id()
    raw = call(s, request(rid, path=b"/order/1\tx", lines=[LENGTH], after=BODY))
    check(raw.startswith(b"HTTP/1.1 400 ") and s.run_count(rid) == 0,
          f"tab in a target: {raw!r}")
    page = http_get(s.gw.metrics, "/metrics")[1]
    check('fg_gw_malformed_requests_total{rule="name"}' in page, "not counted")
    wait_for("a log line", lambda: "reason=malformed rule=" in s.gw.log())


def spoilt_requests_already_refused(s):
    """Requests that http-parser refuses by itself."""
    judge_refused(s, REFUSED_BEFORE)


def sound_unusual_requests(s):
    """Guards against a check that is stricter than the protocol."""
    for form in [form for form in SOUND if form.lines]:
        for first in (False, True):
            rid, second = next_id(), next_id()
            raw = call(s, request(rid, lines=form.lines, after=form.after,
                                  first=first) +
                       request(second, lines=[b"Connection: close", b"Content-Length: 0"]))
            check(raw.count(b"HTTP/1.1 200 OK") == 2 and
                  s.run_count(rid) == s.run_count(second) == 1, f"{form}: {raw!r}")
            got = next(raw for raw in received(s) if rid.encode() in raw)
            check(got.endswith(b"\r\n\r\n" + BODY), f"{form}: {got!r}")


def trailer_of_request(s):
    """Guards against a field of a trailer that reaches an endpoint as a field of
    the head, or that is taken for one here."""
    form = with_trailer(b"X-Late: 1\r\nRequest-Id: other\r\nHost: other")
    rid = next_id()
    raw = call(s, request(rid, lines=[b"Connection: close", *form.lines],
                          after=form.after))
    check(raw.startswith(b"HTTP/1.1 200 ") and s.run_count(rid) == 1, f"{raw!r}")
    got = received(s)[-1]
    check(b"X-Late" not in got and b"other" not in got, f"{got!r}")


SCENARIOS = [smuggled_request, spoilt_requests, spoilt_requests_already_refused,
             sound_unusual_requests, trailer_of_request]

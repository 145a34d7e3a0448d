"""Scenarios of tests/gateway.py: callers that speak HTTP/1.0 and read an answer
without chunks, up to its length or to the end of the connection."""

import signal
import socket
import threading
import time

from hosted import (
    EVENTS, HOST, MODEL, Answer, check, event_ids, has_all_events, next_id, wait_for,
    with_grace)


def send_old(front, path, fields="", method="POST", slow_s=0):
    """Sends a request of HTTP/1.0. The answer counts as whole where such a
    caller takes it for whole."""
    host, port = front.split(":")
    rid = next_id()
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall((
            f"{method} {path} HTTP/1.0\r\nHost: {HOST}\r\nRequest-Id: {rid}\r\n"
            f"Model: {MODEL}/a1\r\nToken-Count: 100,20\r\n{fields}"
            + ("Content-Length: 1\r\n\r\nx" if method == "POST"
               else "\r\n")).encode())
        sock.settimeout(5)
        slow_until = time.monotonic() + slow_s
        data, end = b"", "closed"
        while end == "closed":
            if time.monotonic() < slow_until:
                time.sleep(0.25)
            try:
                piece = sock.recv(16384)
            except ConnectionResetError:
                end = "reset"
                break
            except TimeoutError:
                end = "open"
                break
            if not piece:
                break
            data += piece
            head, _, body = data.partition(b"\r\n\r\n")
            headers = dict(line.split(": ", 1) for line in
                           head.decode().split("\r\n")[1:])
            if len(body) >= int(headers.get("Content-Length", 1 << 30)):
                end = "length"
        if not data:
            return Answer(0, "", {}, False), end
        status = int(data.split()[1])
        return Answer(status, body.decode(), headers,
                      end in ("closed", "length")), end


def check_readable(a, what):
    check(a.status == 200 and "Transfer-Encoding" not in a.headers,
          f"{what}: {a.status} {a.headers}")


def old_callers(s):
    """A caller of HTTP/1.0 gets streams without chunks that end with the
    connection, plain answers as before, and no interim answer."""
    for path in ("/draft/1", "/brief/1"):
        for fields in ("", "Connection: keep-alive\r\n"):
            a, end = send_old(s.gw.front, path, fields)
            check_readable(a, path)
            check(has_all_events(a) and end == "closed", f"{end} {a.body!r}")
            check(a.body.startswith("id: 1\n") and a.body.endswith("\n\n"),
                  f"other bytes: {a.body!r}")
            check(a.headers.get("Connection") == "close", f"{a.headers}")
    for path, method in (("/order/1", "POST"), ("/lookup/1", "GET")):
        a, end = send_old(s.gw.front, path, "", method)
        check_readable(a, path)
        check(a.whole and a.body.startswith("done by"), f"{path}: {a.body!r}")
    a, end = send_old(s.gw.front, "/order/1", "Expect: 100-continue\r\n")
    check(a.status == 200 and a.body.startswith("done by"),
          f"an interim answer: {a.status} {a.body!r}")


def old_callers_cut(s):
    """A broken stream does not count as whole: the connection is reset. One
    that can be resumed goes on without a seam."""
    wait_for("a stream", lambda: has_all_events(
        send_old(s.gw.front, "/brief/1")[0]))
    for fault in ("cut", "closed_cut"):
        for engine in s.engines:
            engine.faults = {fault: 1}
        a, end = send_old(s.gw.front, "/brief/1")
        check_readable(a, fault)
        check(end == "reset" and 0 < len(event_ids(a)) < EVENTS,
              f"{fault}: {end} {a.body!r}")
        for engine in s.engines:
            engine.faults = {}
        s.engines[0].faults = {fault: 1}
        for _ in range(4):
            a, end = send_old(s.gw.front, "/draft/1")
            check_readable(a, fault)
            check(end == "closed" and has_all_events(a),
                  f"{fault}: {end} {a.body!r}")


def old_callers_end(s):
    """Nor does a stream count as whole whose instance stops or is killed."""
    for engine in s.engines:
        engine.event_interval_s = 0.5
    for end in (lambda g: g.popen.send_signal(signal.SIGTERM),
                lambda g: g.popen.kill()):
        results = []
        threads = [threading.Thread(target=lambda: results.append(send_old(
            s.gw.front, "/brief/1"))) for _ in range(4)]
        before = sum(len(e.run_ids) for e in s.engines)
        for thread in threads:
            thread.start()
        wait_for("all run", lambda n=before: sum(
            len(e.run_ids) for e in s.engines) == n + 4)
        time.sleep(0.6)
        end(s.gw)
        s.gw.popen.wait(10)
        for thread in threads:
            thread.join()
        for a, how in results:
            check(how == "reset" and 0 < len(event_ids(a)) < EVENTS,
                  f"{how}: {a.status} {a.body!r}")
        s.gw.start()
        wait_for("ready", s.gw.is_ready)


def old_callers_slow(s):
    """Nor does one whose last bytes were dropped because the caller read
    too slowly."""
    line = "data: " + "x" * 1000 + "\n\n"
    sizes = [n * 180 for n in range(1, 26)]  # in lines
    turns = iter(sizes)
    lock = threading.Lock()

    def serve(replica, req, rid):
        with lock:
            n = next(turns)
        head = replica.response_head(rid, "Content-Type: text/event-stream\r\n")
        req.sock.sendall(f"{head}\r\n{line * n}data: end {n}\n\n".encode())
        return False

    for engine in s.engines:
        engine.answer_with = serve
    results = []
    threads = [threading.Thread(target=lambda: results.append(send_old(
        s.gw.front, "/brief/1", slow_s=6))) for _ in sizes]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = [a for a, _ in results if a.body.count("data: end") == 1]
    parts = [len(a.body) for a, _ in results if a.whole and a not in whole]
    print(f"{len(whole)} of {len(results)} whole; {len(parts)} parts look so")
    check(0 < len(whole) < len(results), "no stream of a size that matters")
    check(not parts, f"parts look whole: {parts}")


old_callers_end.system_class = with_grace(1)


SCENARIOS = [old_callers, old_callers_cut, old_callers_end, old_callers_slow]

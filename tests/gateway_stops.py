"""Scenarios of tests/gateway.py with planned stops while requests are in
progress: each request is answered, refused as not run or visibly broken off,
and the process ends by itself with exit code 0."""

import http.client
import signal
import socket
import subprocess
import threading
import time

from hosted import (
    EVENTS, HOST, MODEL, check, find_log_lines, has_all_events, make_config,
    next_id, read_to_end, send, wait_for, with_grace)

GRACE_S = 8  # Gateway.stop_grace_s; then the process would be killed
UNREAD_BYTES = 16 << 20  # more than the sockets take
LONG_MS = 12000  # time limit of the routes added here


def write_long_routes(s, version=2, idle_ms=15000, **fields):
    """Routes of each kind whose time limit is longer than the grace."""
    routes = [{"name": f"long-{kind}", "host": HOST, "prefix": f"/long-{kind}/",
               "kind": kind, "timeoutMs": LONG_MS, "service": "orders",
               "maxAttempts": attempts}
              for kind, attempts in (("unsafe", 1), ("safe", 2))]
    routes += [{"name": f"long-{name}", "host": HOST,
                "prefix": f"/long-{name}/", "kind": "streaming",
                "timeoutMs": LONG_MS, "service": "models",
                "maxAttempts": 1 + resumable, "resumable": resumable}
               for name, resumable in (("brief", False), ("draft", True))]
    s.store.put("op", "config", {**make_config(
        version, timeout_ms=LONG_MS, idle_ms=idle_ms, extra_routes=routes),
        **fields})


def add_long_routes(s):
    write_long_routes(s)
    wait_for("the routes", lambda: send(
        s.gw.front, "/long-safe/1", method="GET", body=None).status == 200)


KINDS = {"unsafe": "POST", "safe": "GET", "brief": "POST", "draft": "POST"}


class KeptCaller:
    """A caller with an open connection, which sends one request at a time."""

    def __init__(self, front):
        host, port = front.split(":")
        self.conn = http.client.HTTPConnection(host, int(port), timeout=15)
        self.conn.connect()

    def send(self, kind):
        """Sets status (0: the connection ended before an answer), whole, rid,
        and read, whether the whole request was written."""
        self.kind = kind
        self.rid = next_id()
        self.status, self.whole, self.read, self.body = 0, False, False, ""
        self.headers = {}
        fields = {"Host": HOST, "Request-Id": self.rid,
                  "Deadline-Ms": str(LONG_MS)}
        if kind in ("brief", "draft"):
            fields.update({"Model": f"{MODEL}/a1", "Token-Count": "100,20"})
        try:
            self.conn.request(KINDS[kind], f"/long-{kind}/{self.rid}",
                              b"x" if KINDS[kind] == "POST" else None, fields)
            self.read = True
            res = self.conn.getresponse()
            self.status, self.headers = res.status, dict(res.getheaders())
            self.body = res.read().decode()
            self.whole = True
        except (OSError, http.client.HTTPException) as why:
            self.why = repr(why)
        finally:
            self.conn.close()
        return self


def stop(gateway):
    """Begins a planned stop; returns its time."""
    gateway.popen.send_signal(signal.SIGTERM)
    return time.monotonic()


def check_exit(gateway, began):
    """The process ends by itself within the grace."""
    try:
        code = gateway.popen.wait(began + GRACE_S - time.monotonic())
    except subprocess.TimeoutExpired:
        raise AssertionError("still runs at the end of the grace") from None
    check(code == 0, f"exit {code}: {gateway.log()[-300:]}")


def is_true_answer(s, caller):
    """The answer is whole, or says truly what became of the request."""
    runs = s.run_count(caller.rid)
    if caller.status == 503:
        return runs == 0 and "Retry-After" in caller.headers
    if caller.status in (502, 504):
        return runs > 0
    if caller.status == 0:
        return runs == 0  # nothing was passed on
    if caller.kind in ("brief", "draft"):
        return has_all_events(caller) or not caller.whole
    return caller.whole and caller.rid in caller.body


def show(callers, s):
    for c in callers:
        print(f"{c.kind} at {c.at_s:.1f} s: {c.status} "
              f"{'whole' if c.whole else 'cut'} ran {s.run_count(c.rid)}")


def stop_with_streams(s):
    """Streams that outlast the grace are broken off and the process exits with
    0. Guards against an abort at the end of a planned stop."""
    add_long_routes(s)
    for engine in s.engines:
        engine.event_interval_s = 12 / EVENTS
    callers = [KeptCaller(s.gw.front) for _ in range(10)]
    threads = [threading.Thread(target=c.send, args=("brief",))
               for c in callers]
    for thread in threads:
        thread.start()
    wait_for("all run", lambda: sum(s.run_count(c.rid) for c in callers) == 10)
    began = stop(s.gw)
    for thread in threads:
        thread.join()
    for c in callers:
        c.at_s = 0.0
    show(callers, s)
    check_exit(s.gw, began)
    check(not [c for c in callers if c.whole], "a part counts as whole")


# The other instance takes over the engines and is told of what runs there.
stop_with_streams.system_options = {"gateways": 2}


def send_over_grace(s, kind):
    """Sends a request every 0.2 s over the grace, each on a connection that was
    open before. Returns the callers and the beginning of the stop."""
    callers = [KeptCaller(s.gw.front) for _ in range(5 * GRACE_S)]
    began = stop(s.gw)

    def run(i, caller):
        time.sleep(max(0, began + i * 0.2 - time.monotonic()))
        caller.at_s = time.monotonic() - began
        caller.send(kind)

    threads = [threading.Thread(target=run, args=(i, c))
               for i, c in enumerate(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return callers, began


def check_late_requests(s, kind, work_s):
    add_long_routes(s)
    for plain in s.plains:
        plain.work_s = work_s
    for engine in s.engines:
        engine.event_interval_s = work_s / EVENTS
    callers, began = send_over_grace(s, kind)
    show(callers, s)
    check_exit(s.gw, began)
    wrong = [c for c in callers if not is_true_answer(s, c)]
    check(not wrong, f"{len(wrong)} of {len(callers)} not answered, the first "
                     f"at {wrong[0].at_s if wrong else 0:.1f} s")
    served = [c for c in callers if c.status == 200 and c.whole]
    check(len(served) >= 5, f"only {len(served)} served")
    cut = [c for c in callers if c.status == 200 and not c.whole]
    check(not cut, f"{len(cut)} streams broken off in calm")


def late_orders_of_stop(s):
    """Orders that come late in the grace are answered or refused as not run.
    Guards against orders that run and are cut off without an answer."""
    check_late_requests(s, "unsafe", 2.5)


def late_quick_orders_of_stop(s):
    """The same with orders that take less than a second."""
    check_late_requests(s, "unsafe", 0.8)


def late_lookups_of_stop(s):
    """The same with lookups."""
    check_late_requests(s, "safe", 2.5)


def late_briefs_of_stop(s):
    """The same with streams that cannot be resumed."""
    check_late_requests(s, "brief", 2.5)


def late_drafts_of_stop(s):
    """The same with streams that can be resumed."""
    check_late_requests(s, "draft", 2.5)


ShortGraceSystem = with_grace(1)


def short_grace(s):
    """With the shortest grace, an order in progress is answered and the process
    ends before it would be killed, wherever in a tick the signal comes."""
    add_long_routes(s)
    for plain in s.plains:
        plain.work_s = 3
    problems = []
    for i in range(5):
        caller = KeptCaller(s.gw.front)
        thread = threading.Thread(target=caller.send, args=("unsafe",))
        thread.start()
        wait_for("it runs", lambda c=caller: s.run_count(c.rid) == 1)
        time.sleep(0.02 * i)
        began = stop(s.gw)
        try:
            code = s.gw.popen.wait(1)
        except subprocess.TimeoutExpired:
            s.gw.kill()
            code = None
        ended_s = time.monotonic() - began
        thread.join()
        print(f"exit {code} after {ended_s:.2f} s, order {caller.status}")
        if code != 0 or caller.status != 504:
            problems.append((code, caller.status))
        s.gw.start()
        wait_for("ready", s.gw.is_ready)
    check(not problems, f"{len(problems)} of 5: {problems}")


short_grace.system_class = ShortGraceSystem


def stop_of_frozen(s):
    """A signal that comes while the process is frozen begins the grace: an order
    in progress is answered and the process ends before it would be killed."""
    add_long_routes(s)
    for plain in s.plains:
        plain.work_s = 6
    problems = []
    for frozen_s in (1.5, 1.5, 0.8, 0.8):
        caller = KeptCaller(s.gw.front)
        thread = threading.Thread(target=caller.send, args=("unsafe",))
        thread.start()
        wait_for("it runs", lambda c=caller: s.run_count(c.rid) == 1)
        s.gw.popen.send_signal(signal.SIGSTOP)
        began = stop(s.gw)
        time.sleep(frozen_s)
        s.gw.popen.send_signal(signal.SIGCONT)
        code = s.gw.popen.wait(5)
        ended_s = time.monotonic() - began
        thread.join()
        print(f"exit {code} after {ended_s:.2f} s, order {caller.status}")
        if code != 0 or caller.status != 504 or ended_s >= 3:
            problems.append((code, caller.status, ended_s))
        s.gw.start()
        wait_for("ready", s.gw.is_ready)
    check(not problems, f"{len(problems)} of 4: {problems}")


stop_of_frozen.system_class = with_grace(3)


def raw_request(rid, method="POST", version="1.1", kind="unsafe", fields=""):
    return (f"{method} /long-{kind}/{rid} HTTP/{version}\r\nHost: {HOST}\r\n"
            f"Request-Id: {rid}\r\nDeadline-Ms: {LONG_MS}\r\n{fields}\r\n")


def answers_at_end_of_stop(s):
    """Callers of each shape get one whole answer, which says that the connection
    closes, at the end of a planned stop; what follows in a pipeline does not
    run."""
    add_long_routes(s)
    for plain in s.plains:
        plain.work_s = 3
    host, port = s.gw.front.split(":")
    one = "Content-Length: 1\r\n"
    early = {  # name: (status, text, run count)
        "head": (504, raw_request("r1", "HEAD", kind="safe"), 1),
        "1.0": (504, raw_request("r2", version="1.0", fields=one) + "x", 1),
        "pipelined": (504, raw_request("r3", fields=one) + "x" +
                      raw_request("r4", fields=one) + "x", 1),
    }
    late = {
        "half head": (503, raw_request("r5")[:30], 0),
        "half body": (503, raw_request("r6", fields="Content-Length: 9\r\n") +
                      "x", 0),
        "continue": (503, raw_request("r7", fields=one + "Expect: 100-continue"
                                      "\r\n"), 0),
        "half head, 1.0": (503, raw_request("r8", version="1.0")[:-2], 0),
        "new": (503, raw_request("r9", fields=one) + "x", 0),
    }
    socks = {name: socket.create_connection((host, int(port)), 5)
             for name in [*early, *late, "idle"]}
    for name, (_, text, _) in early.items():
        socks[name].sendall(text.encode())
    wait_for("they run", lambda: all(
        s.run_count(f"r{i}") == 1 for i in (1, 2, 3)))
    began = stop(s.gw)
    time.sleep(0.45)
    for name, (_, text, _) in late.items():
        socks[name].sendall(text.encode())
    answers = {name: read_to_end(sock) for name, sock in socks.items()}
    check(s.gw.popen.wait(began + 1.0 - time.monotonic()) == 0, "exit")
    check(answers.pop("idle") == (b"", None), "the idle one")
    wrong = []
    for name, (status, text, runs) in {**early, **late}.items():
        got, end = answers[name]
        got = got.decode().removeprefix("HTTP/1.1 100 Continue\r\n\r\n")
        print(f"{name}: {got.splitlines()[:1]} {end}")
        rid = text.split("Request-Id: ")[-1].split("\r\n")[0]
        if not (got.startswith(f"HTTP/1.1 {status} ") and end is None and
                got.endswith("\r\n\r\n") and "Connection: close" in got and
                got.count("HTTP/1.1") == 1 and
                ("Retry-After" in got) == (status == 503)):
            wrong.append((name, got, end))
        if name != "pipelined" and s.run_count(rid) != runs:
            wrong.append((name, "ran", s.run_count(rid)))
    check(s.run_count("r4") == 0, "the second of the pipeline ran")
    check(not wrong, f"{wrong}")


answers_at_end_of_stop.system_class = ShortGraceSystem

def stop_is_no_crash(s):
    """The end of the process says nothing about endpoints: sound ones are not
    reported as gone, nor requests there as lost in a crash."""
    for plain in s.plains:
        plain.faults["lost"] = 1
    for _ in s.plains:
        check(send(s.gw.front, "/order/1").status == 502, "not lost")
    check_exit(s.gw, stop(s.gw))
    for event in ("gone", "lost_in_crash"):
        lines = find_log_lines(s.gw, event)
        check(not lines, f"{event}: {lines}")


def stop_with_unread_answer(s):
    """A caller that does not read its answer, which comes just before the end
    of the grace, finds it broken off. Guards against an abort while an answer is
    still sent."""
    add_long_routes(s)

    def answer(replica, req, rid):
        time.sleep(GRACE_S - 1.5)
        req.answer(200, bytes(UNREAD_BYTES),
                   [("Request-Id", rid), ("Response-Stamp", replica.name)])
        return True

    for plain in s.plains:
        plain.answer_with = answer
    host, port = s.gw.front.split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(f"POST /long-unsafe/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                       "Request-Id: unread\r\nContent-Length: 0\r\n"
                       f"Deadline-Ms: {LONG_MS}\r\n\r\n".encode())
        wait_for("it runs", lambda: s.run_count("unread"))
        check_exit(s.gw, stop(s.gw))
        n_bytes = 0
        try:
            while data := caller.recv(1 << 20):
                n_bytes += len(data)
            check(False, f"{n_bytes} bytes and an orderly end")
        except ConnectionResetError:
            check(n_bytes < UNREAD_BYTES, "all was sent")
    line = find_log_lines(s.gw, "unfinished")[-1]
    check(int(line["unsent_bytes"]) > 0, f"unfinished: {line}")


def route_without_name(s):
    """A route without a name is served, also during a planned stop."""
    s.store.put("op", "config", make_config(2, extra_routes=[
        {"host": HOST, "prefix": "/unnamed/", "kind": "unsafe",
         "timeoutMs": 1500, "service": "orders", "maxAttempts": 1}]))
    wait_for("served", lambda: send(s.gw.front, "/unnamed/1").status == 200)
    began = stop(s.gw)
    check(send(s.gw.front, "/unnamed/1").status == 200, "not served")
    check_exit(s.gw, began)


SCENARIOS = [
    route_without_name,
    short_grace, stop_of_frozen, answers_at_end_of_stop, stop_with_streams,
    stop_is_no_crash, stop_with_unread_answer, late_orders_of_stop,
    late_quick_orders_of_stop,
    late_lookups_of_stop, late_briefs_of_stop, late_drafts_of_stop,
]

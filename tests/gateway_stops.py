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
    next_id, send, send_draft, wait_for)

GRACE_S = 8  # Gateway.stop_grace_s; then the process would be killed
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


SCENARIOS = [
    stop_with_streams, late_orders_of_stop, late_quick_orders_of_stop,
    late_lookups_of_stop, late_briefs_of_stop, late_drafts_of_stop,
]

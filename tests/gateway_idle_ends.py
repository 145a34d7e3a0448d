"""Scenarios of tests/gateway.py with kept connections that the instance closes
while no request is in progress on them, and with requests that cross the close."""

import os
import select
import signal
import socket
import threading
import time

from hosted import (
    HOST, Proxy, System, Gateway, check, find_log_lines, make_config, next_id,
    wait_for)

CALLERS = 40
DELAYS_S = (0.001, 0.012, 0.05)  # one way
IDLE_S = 2.6  # longer than a delivered answer counts as in transit
LONG_MS, SHORT_MS = 15000, 1000
SPREAD_S = 0.03
RESET_WITHIN_S = 0.2  # lossSlackMs of the users' platform
ANSWER_WITHIN_S = 3
ANSWERED, RESET, ENDED, SILENT = "answered", "reset", "ended", "silent"


class KeptConnection:
    def __init__(self, addr):
        host, port = addr.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=5)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self):
        self.sock.sendall(
            f"GET /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {next_id()}\r\nDeadline-Ms: 1500\r\n\r\n".encode())

    def read_answer(self, within_s=ANSWER_WITHIN_S):
        """Returns how the request that was sent ended."""
        self.sock.settimeout(within_s)
        got = b""
        try:
            while b"done by" not in got:
                data = self.sock.recv(65536)
                if not data:
                    return ENDED
                got += data
        except TimeoutError:
            return SILENT
        except OSError:
            return RESET
        return ANSWERED if got.startswith(b"HTTP/1.1 200") else got[:12]

    def use(self):
        self.send()
        check(self.read_answer() == ANSWERED, "a request on an open connection")

    def wait_for_end(self, within_s):
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        check(poll.poll(within_s * 1000), f"not closed within {within_s} s")
        check(self.sock.recv(1) == b"", "bytes without a request")

    def is_reset(self, within_s):
        """Returns whether a reset comes within this time."""
        poll = select.poll()
        poll.register(self.sock, select.POLLERR | select.POLLHUP)
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if any(e & (select.POLLERR | select.POLLHUP)
                   for _, e in poll.poll(20)):
                return True
        return False


def set_idle_limit(s, version, idle_ms):
    s.store.put("op", "config", make_config(version, idle_ms=idle_ms))


def send_at(conn, at, results, index):
    time.sleep(max(0.0, at - time.monotonic()))
    try:
        conn.send()
    except OSError:
        results[index] = RESET
        return
    results[index] = conn.read_answer()


def shorter_idle_limit(s):
    """Requests that callers send around a shorter idle limit, on connections that
    were idle for longer than that, are answered."""
    version = 1
    for delay_s in DELAYS_S:
        proxy = Proxy(s.gw.front)
        proxy.delay_s = delay_s
        conns = [KeptConnection(proxy.addr) for _ in range(CALLERS)]
        for conn in conns:
            conn.use()
        time.sleep(IDLE_S)
        version += 1
        set_idle_limit(s, version, SHORT_MS)
        wait_for("it is in force", lambda v=version: any(
            line.get("version") == str(v)
            for line in find_log_lines(s.gw, "configuration")))
        begin = time.monotonic()
        results = [None] * CALLERS
        threads = [threading.Thread(target=send_at, args=(
            conn, begin + SPREAD_S * 6 * i / CALLERS, results, i))
            for i, conn in enumerate(conns)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lost = [r for r in results if r != ANSWERED]
        check(not lost, f"{delay_s} s each way: {len(lost)} of {CALLERS} "
                        f"without an answer: {lost[:4]}")
        version += 1
        set_idle_limit(s, version, LONG_MS)
        wait_for("it is in force", lambda v=version: any(
            line.get("version") == str(v)
            for line in find_log_lines(s.gw, "configuration")))


def request_behind_idle_close(s):
    """A request that comes behind the close of an idle connection is not read: its
    caller sees a reset at once."""
    for n, idle_ms in enumerate((300, 1000, 2400)):
        set_idle_limit(s, 2 + n, idle_ms)
    # A longer limit that callers may know holds on.
    time.sleep(0.5)
    conns = [KeptConnection(s.gw.front) for _ in range(CALLERS)]
    for conn in conns:
        conn.use()
    before = len(s.plains[0].received) + len(s.plains[1].received)
    silent = 0
    for conn in conns:
        conn.wait_for_end(20)
        conn.send()
        silent += not conn.is_reset(RESET_WITHIN_S)
    check(silent == 0, f"{silent} of {CALLERS} requests got no answer and no reset "
                       f"within {RESET_WITHIN_S} s")
    after = len(s.plains[0].received) + len(s.plains[1].received)
    check(after == before, "a request behind the close has run")


class FewPlacesGateway(Gateway):
    def write_settings(self, store, extra=""):
        super().write_settings(store, "lookup_ttl_s: 2\nconnections_max: "
                               f"{CALLERS}\n" + extra)


class FewPlacesSystem(System):
    gateway_class = FewPlacesGateway


def request_meets_yielded_place(s):
    """A connection that has sent a request keeps its place although a new
    connection was accepted before the request was read."""
    conns = [KeptConnection(s.gw.front) for _ in range(CALLERS)]
    for conn in conns:
        conn.use()
    os.kill(s.gw.popen.pid, signal.SIGSTOP)
    time.sleep(0.1)
    new = KeptConnection(s.gw.front)
    for conn in conns[:-1]:
        conn.send()
    os.kill(s.gw.popen.pid, signal.SIGCONT)
    results = [conn.read_answer() for conn in conns[:-1]]
    lost = [r for r in results if r != ANSWERED]
    check(not lost, f"{len(lost)} of {len(results)} without an answer: {lost[:4]}")
    new.use()


def request_behind_yielded_place(s):
    """A request that comes behind the close of a connection that gave its place is
    reset at once."""
    conns = [KeptConnection(s.gw.front) for _ in range(CALLERS)]
    for conn in conns:
        conn.use()
    new = []
    for _ in range(8):
        new.append(KeptConnection(s.gw.front))
        new[-1].use()
    silent = 0
    for conn in conns[:8]:
        conn.wait_for_end(1)
        conn.send()
        silent += not conn.is_reset(RESET_WITHIN_S)
    check(silent == 0, f"{silent} of 8 requests got no answer and no reset "
                       f"within {RESET_WITHIN_S} s")


for scenario in (request_meets_yielded_place, request_behind_yielded_place):
    scenario.system_class = FewPlacesSystem
for scenario in (shorter_idle_limit, request_behind_idle_close,
                 request_meets_yielded_place, request_behind_yielded_place):
    scenario.system_options = {"engines": 0}

SCENARIOS = [shorter_idle_limit, request_behind_idle_close,
             request_meets_yielded_place, request_behind_yielded_place]

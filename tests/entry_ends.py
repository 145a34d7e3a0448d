#!/usr/bin/env python3
"""Ends of fg-entry's connections in a planned stop, seen by callers that read
slowly.

Usage: tests/entry_ends.py [NAME ...]     all scenarios when none is named
"""

import signal
import socket
import sys
import threading
import time
import urllib.request

from bad_input import CALLER, VALID_BODY
from entry_crowds import PLACES, STOP_MAX_MS, run
from hosted import check, read_to_end, wait_for

REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_REQUEST = REQUEST.replace(b"\r\n\r\n",
                               b"\r\nConnection: close\r\n\r\n")
CALLERS = 8
AT_WORK_S = 0.3
READ_RATE = 2000  # bytes a second
READ_EVERY_S = 0.05
NEXT_AFTER_S = 0.4
IDLE_S = 1
ORDERS = 16


def connect_smallest(address):
    """Returns a socket whose kernel takes a part of a page only."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.settimeout(10)
    sock.connect((host, int(port)))
    return sock


class SlowCaller:
    """Reads one answer at READ_RATE, and sends its next request `after_s` after
    `begin`."""

    def __init__(self, address, request=REQUEST):
        self.sock = connect_smallest(address)
        self.sock.sendall(request)
        self.body, self.length, self.why = b"", 1, None

    def start(self, begin, after_s):
        self.thread = threading.Thread(target=self.run, args=(begin, after_s))
        self.thread.start()

    def run(self, begin, after_s):
        data, next_at = b"", begin + after_s
        try:
            while len(self.body) < self.length:
                if next_at is not None and time.monotonic() >= next_at:
                    next_at = None
                    self.sock.sendall(REQUEST)
                piece = self.sock.recv(int(READ_RATE * READ_EVERY_S))
                if not piece:
                    break
                data += piece
                head, found, self.body = data.partition(b"\r\n\r\n")
                if found:
                    self.length = int(head.lower().split(
                        b"content-length: ")[1].split()[0])
                time.sleep(READ_EVERY_S)
        except OSError as why:
            self.why = why
        self.sock.close()


def check_whole(callers, begin, after_s):
    for c in callers:
        c.start(begin, after_s)
    for c in callers:
        c.thread.join()
        print(f"{len(c.body)} of {c.length} bytes, {c.why!r}")
    cut = sum(len(c.body) < c.length for c in callers)
    check(cut == 0, f"{cut} of {len(callers)} answers are cut")


def tail_of_answer(e):
    """An answer that was given out before the stop arrives whole, also where
    its caller sends more before it has read all."""
    callers = [SlowCaller(e.address) for _ in range(CALLERS)]
    time.sleep(AT_WORK_S)
    began = time.monotonic()
    e.popen.send_signal(signal.SIGTERM)
    e.process.killed = True
    check_whole(callers, began, NEXT_AFTER_S)
    code = e.popen.wait(10)
    print(f"left with {code} after {time.monotonic() - began:.2f} s")
    check(code == 0, f"exit code {code}")


def read_page(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as answer:
        return answer.read().decode()


def post(key):
    body = VALID_BODY.encode()
    return (f"POST /v1/filings HTTP/1.1\r\nHost: x\r\n{CALLER}"
            f"Idempotency-Key: {key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def count_whole(data):
    """Returns how many whole answers there are."""
    n = 0
    while True:
        head, found, data = data.partition(b"\r\n\r\n")
        if not found:
            return n
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        if len(data) < length:
            return n
        n, data = n + 1, data[length:]


def tails_of_kept_connection(e):
    """Answers that were given out on a connection that stays open arrive whole
    in a stop, also where the caller sends more before it has read all."""
    sock = connect_smallest(e.address)
    for i in range(ORDERS):
        sock.sendall(post(f"kept{i}"))
    wait_for("answered", lambda: f"fulmargauge_done_total {ORDERS}\n" in
             read_page(e.control, "/metrics"))
    time.sleep(AT_WORK_S)
    began, sent, data, why = time.monotonic(), False, b"", None
    e.popen.send_signal(signal.SIGTERM)
    e.process.killed = True
    try:
        while piece := sock.recv(int(READ_RATE * READ_EVERY_S)):
            data += piece
            time.sleep(READ_EVERY_S)
            if not sent and time.monotonic() - began > NEXT_AFTER_S:
                sent = True
                sock.sendall(post("next"))
    except OSError as error:
        why = error
    sock.close()
    n = count_whole(data)
    code = e.popen.wait(10)
    print(f"{n} of {ORDERS} answers, {why!r}, left with {code} after "
          f"{time.monotonic() - began:.2f} s")
    check(n >= ORDERS, f"{ORDERS - n} of {ORDERS} answers are cut")
    check(code == 0, f"exit code {code}")


def tail_of_last_answer(e):
    """The same of a caller that asks for the end of the connection, without a
    stop."""
    callers = [SlowCaller(e.address, LAST_REQUEST) for _ in range(CALLERS)]
    check_whole(callers, time.monotonic(), NEXT_AFTER_S)


def tail_of_idle_connection(e):
    """The same of a connection that the entry ends as idle."""
    callers = [SlowCaller(e.address) for _ in range(CALLERS)]
    time.sleep(IDLE_S + 1)
    check_whole(callers, time.monotonic(), NEXT_AFTER_S)


def send_and_stay(address):
    """Sends a request that ends its connection, and reads the whole answer.
    Returns the socket, which stays open."""
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(LAST_REQUEST)
    read_to_end(sock)
    return sock


def slow_reader_beside_closed_connections(e):
    """Closed connections whose callers have their whole answers give way before
    one whose caller still reads."""
    caller = SlowCaller(e.address, LAST_REQUEST)
    time.sleep(AT_WORK_S)
    others = [send_and_stay(e.address) for _ in range(2 * PLACES)]
    check_whole([caller], time.monotonic(), NEXT_AFTER_S)
    for sock in others:
        sock.close()


def stop_beside_a_silent_reader(e):
    """A caller that reads nothing holds up a stop for a limited time."""
    caller = SlowCaller(e.address)
    time.sleep(AT_WORK_S)
    e.popen.send_signal(signal.SIGTERM)
    e.process.killed = True
    check(e.popen.wait(STOP_MAX_MS / 1000 + 1) == 0, "exit code")
    caller.sock.close()


for scenario in (tail_of_answer, tails_of_kept_connection, tail_of_last_answer,
                 stop_beside_a_silent_reader):
    scenario.limits = {}
slow_reader_beside_closed_connections.limits = {"connections_max": PLACES}
tail_of_idle_connection.limits = {"header_timeout_ms": IDLE_S * 1000}
SCENARIOS = [tail_of_answer, tails_of_kept_connection, tail_of_last_answer,
             tail_of_idle_connection,
             slow_reader_beside_closed_connections,
             stop_beside_a_silent_reader]

if __name__ == "__main__":
    results = [run(s) for s in SCENARIOS
               if not sys.argv[1:] or s.__name__ in sys.argv[1:]]
    sys.exit(0 if all(results) and results else 1)

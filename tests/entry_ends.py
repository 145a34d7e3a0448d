#!/usr/bin/env python3
"""Ends of fg-entry's connections in a planned stop, seen by callers that read
slowly.

Usage: tests/entry_ends.py [NAME ...]     all scenarios when none is named
"""

import signal
import socket
import sys
import time

from entry_crowds import run
from hosted import check, read_to_end

REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
CALLERS = 8
AT_WORK_S = 0.3


def connect_smallest(address):
    """Returns a socket whose kernel takes a part of a page only."""
    host, port = address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
    sock.settimeout(10)
    sock.connect((host, int(port)))
    return sock


def tail_of_answer(e):
    """An answer that was given out before the stop arrives whole, also where
    its caller sends more before it has read all."""
    callers = [connect_smallest(e.address) for _ in range(CALLERS)]
    for sock in callers:
        sock.sendall(REQUEST)
    time.sleep(AT_WORK_S)
    began = time.monotonic()
    e.popen.send_signal(signal.SIGTERM)
    e.process.killed = True
    code = e.popen.wait(10)
    print(f"left with {code} after {time.monotonic() - began:.2f} s")
    cut = 0
    for sock in callers:
        try:
            sock.sendall(REQUEST)
        except OSError as why:
            print(f"next request: {why!r}")
        data, why = read_to_end(sock)
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        print(f"{len(body)} of {length} bytes, {why!r}")
        cut += len(body) < length
        sock.close()
    check(code == 0, f"exit code {code}")
    check(cut == 0, f"{cut} of {CALLERS} answers are cut")


tail_of_answer.limits = {}
SCENARIOS = [tail_of_answer]

if __name__ == "__main__":
    results = [run(s) for s in SCENARIOS
               if not sys.argv[1:] or s.__name__ in sys.argv[1:]]
    sys.exit(0 if all(results) and results else 1)

#!/usr/bin/env python3
"""Sends JSON requests over HTTP for the tests.

Usage: fghttp.py METHOD IP:PORT PATH [JSON]
Prints the body of the answer; exits with 0 when the status is 200.
"""

import http.client
import json
import socket
import sys
import time

TIMEOUT_S = 10
SMALL_WINDOW_BYTES = 4096
SMALL_SEGMENT_BYTES = 536  # limits the send buffer of the peer as well


def connect_slow_reader(host, port, timeout_s):
    """Returns a connected socket with the smallest possible receive window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                    SMALL_SEGMENT_BYTES)
    sock.settimeout(timeout_s)
    sock.connect((host, port))
    return sock


def request(method, addr, path, body=None, headers=None, timeout_s=TIMEOUT_S,
            read_after_s=0):
    """Returns (status, text); the status is 0 without a complete answer.
    Starts to read the answer read_after_s after sending the request."""
    host, port = addr.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        if read_after_s > 0:
            conn.sock = connect_slow_reader(host, int(port), timeout_s)
        conn.request(method, path, data, headers or {})
        time.sleep(read_after_s)
        res = conn.getresponse()
        return res.status, res.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        conn.close()


def request_json(method, addr, path, body=None, headers=None,
                 timeout_s=TIMEOUT_S):
    """Returns (status, object); the object is {} if the answer is not a JSON
    object."""
    status, text = request(method, addr, path, body, headers, timeout_s)
    try:
        obj = json.loads(text)
    except ValueError:
        obj = {}
    return status, obj if isinstance(obj, dict) else {}


def main(args):
    body = json.loads(args[3]) if len(args) > 3 else None
    status, text = request(args[0], args[1], args[2], body)
    print(text)
    return 0 if status == 200 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

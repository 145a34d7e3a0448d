#!/usr/bin/env python3
"""Sends invalid requests to an entry instance and checks the errors.

Starts a platform, a plain service and one entry; checks status and reason of
each answer, and that the entry still serves valid requests. Prints one line
for each case; exits with 0 when all pass.
"""

import json
import os
import socket
import sys
import time

import fghttp
from fgsystem import System, port_base

HALF_OPEN_CONNECTIONS = 50
LARGE_BODY_BYTES = 1 << 20
# Header lines of a valid request.
CALLER = "X-Caller: kitchen\r\n"
KEY = "Idempotency-Key: k1\r\n"
VALID_BODY = json.dumps({"service": "orders", "body": {"crates": 1}})


def send_raw(addr, path, body, headers, method="POST"):
    """Sends a request that http.client refuses to send; returns (status,
    object)."""
    host, port = addr.split(":")
    text = (f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}")
    with socket.create_connection((host, int(port)), 10) as sock:
        sock.sendall(text.encode())
        answer = b""
        while True:
            data = sock.recv(65536)
            if not data:
                break
            answer += data
    head, _, rest = answer.decode("utf-8", "replace").partition("\r\n\r\n")
    status = int(head.split(" ")[1]) if head else 0
    try:
        return status, json.loads(rest)
    except ValueError:
        return status, {}


# name, path, body, headers, status, reason
CASES = [
    ("no JSON", "/v1/filings", "{\"service\":", CALLER + KEY, 400,
     "bad_request"),
    ("no object", "/v1/filings", "[1,2]", CALLER + KEY, 400, "bad_request"),
    ("doubled field", "/v1/status",
     "{\"service\":\"orders\",\"service\":\"x\",\"body\":{}}", CALLER, 400,
     "bad_request"),
    ("unknown field", "/v1/generate",
     json.dumps({"adapter": "a", "prompt": "x", "promt": "y"}), CALLER, 400,
     "bad_request"),
    ("wrong type", "/v1/generate", json.dumps({"adapter": 1, "prompt": "x"}),
     CALLER, 400, "bad_request"),
    ("missing field", "/v1/generate", json.dumps({"adapter": "a"}), CALLER,
     400, "bad_request"),
    ("number too large", "/v1/generate",
     json.dumps({"adapter": "a", "prompt": "x", "max_tokens": 10**9}), CALLER,
     400, "bad_request"),
    ("unknown class", "/v1/generate",
     json.dumps({"adapter": "a", "prompt": "x", "class": "filing"}), CALLER,
     400, "bad_request"),
    ("no caller", "/v1/filings", VALID_BODY, KEY, 400, "bad_request"),
    ("no key", "/v1/filings", VALID_BODY, CALLER, 400, "no_key"),
    ("two keys", "/v1/filings", VALID_BODY,
     CALLER + KEY + "Idempotency-Key: k2\r\n", 400, "bad_request"),
    ("two callers", "/v1/filings", VALID_BODY, CALLER + CALLER + KEY, 400,
     "bad_request"),
    ("long key", "/v1/filings", VALID_BODY,
     CALLER + "Idempotency-Key: " + "k" * 200 + "\r\n", 400, "bad_request"),
    ("unknown adapter", "/v1/generate",
     json.dumps({"adapter": "nobody", "prompt": "x"}), CALLER, 404,
     "unknown_adapter"),
    ("past deadline", "/v1/generate",
     json.dumps({"adapter": "a", "prompt": "x", "deadline_ms": 0}), CALLER,
     400, "bad_request"),
    ("large body", "/v1/filings",
     json.dumps({"service": "orders", "body": {"x": "y" * LARGE_BODY_BYTES}}),
     CALLER + KEY, 413, "bad_request"),
    ("no such path", "/v1/nothing", "{}", CALLER, 404, "bad_request"),
    ("broken change", "/v1/admin/change", "{\"change\":7}", "", 400,
     "bad_request"),
]


def check_cases(addr):
    failed = 0
    for name, path, body, headers, status, reason in CASES:
        got, answer = send_raw(addr, path, body, headers)
        ok = (got == status and answer.get("reason") == reason and
              answer.get("outcome") == "NOT_RUN" and answer.get("message"))
        failed += not ok
        print(f"{name}: {'ok' if ok else f'got {got} {answer}'}")
    return failed


def check_half_open(addr):
    """Connections without a complete request do not block other requests."""
    host, port = addr.split(":")
    socks = []
    for i in range(HALF_OPEN_CONNECTIONS):
        sock = socket.create_connection((host, int(port)), 10)
        if i % 2:
            sock.sendall(b"POST /v1/filings HTTP/1.1\r\nContent-Length: 9\r\n")
        socks.append(sock)
    status, answer = send_raw(addr, "/v1/filings", VALID_BODY, CALLER + KEY)
    for sock in socks:
        sock.close()
    ok = status == 200 and answer.get("outcome") == "DONE"
    print(f"half-open connections: {'ok' if ok else f'got {status} {answer}'}")
    return not ok


def wait_serving(system, name):
    end = time.monotonic() + 15
    while time.monotonic() < end:
        state = system.state(name)
        if state.get("serving") and len(state.get("endpoints", [])) == 1:
            return
        time.sleep(0.05)
    raise RuntimeError("the entry does not serve")


def main():
    system = System(os.environ.get("BUILD", "build"),
                    port_base(),
                    lambda *args, **fields: None)
    try:
        system.start_standin("platform", "platform", [])
        system.start_standin("plain", "p1", [])
        system.start_entry("n1", {})
        wait_serving(system, "n1")
        addr = system.processes["n1"].addr
        failed = check_cases(addr)
        failed += check_half_open(addr)
        status, _ = fghttp.request("DELETE", addr, "/v1/status")
        failed += status != 405
        print(f"other method: {'ok' if status == 405 else status}")
    finally:
        exit_errors = system.stop_all()
        system.remove_files()
    for exit_error in exit_errors:
        print(exit_error)
    return 1 if failed or exit_errors else 0


if __name__ == "__main__":
    sys.exit(main())

#!/usr/bin/env python3
"""Crowds of callers that keep to no limit, before an fg-entry process. What is
judged does not depend on the speed of the machine: the process lives, its memory
and its descriptors stay under a bound, and an ordinary request is answered
afterwards, on both addresses.

Usage: tests/entry_crowds.py [NAME ...]     all scenarios when none is named
The scenarios run one after the other, apart from other load.
"""

import json
import os
import signal
import subprocess
import sys
import time
import traceback

import fghttp
from bad_input import CALLER, VALID_BODY, send_raw, wait_serving
from crowd import Crowd
from crowds import MACHINE_MB, REST_MB, count_descriptors, memory_mb
from fgsystem import STOP_TIMEOUT_S, System, port_base
from hosted import check, wait_for

KIB = 1024
MIB = 1024 * KIB
BODY_MAX = 4 * MIB
CROWD = 64
PLACES = 16
OVER_PLACES = 40
STOP_MAX_MS = 8000

next_key = [0]


class Entry:
    """Platform, plain service and one entry whose limits are lowered."""

    def __init__(self, limits):
        self.system = System(os.environ.get("BUILD", "build"),
                             port_base(),
                             lambda *args, **fields: None)
        self.system.start_standin("platform", "platform", [])
        self.system.start_standin("plain", "p1", [])
        self.control = self.system.free_address()
        self.system.start_entry("n1", {
            "control": self.control, "limits": json.dumps(limits),
            "timing": json.dumps({"stop_max_ms": STOP_MAX_MS})})
        wait_serving(self.system, "n1")
        self.process = self.system.processes["n1"]
        self.address = self.process.addr
        self.popen = self.process.popen

    def check_served(self):
        check(self.popen.poll() is None,
              f"the entry has ended with {self.popen.poll()}")
        status, answer = 0, {}
        for _ in range(5):
            next_key[0] += 1
            try:
                status, answer = send_raw(
                    self.address, "/v1/filings", VALID_BODY,
                    CALLER + f"Idempotency-Key: k{next_key[0]}\r\n")
            except OSError as why:
                answer = {"error": repr(why)}
            if status not in (429, 503):
                break
            time.sleep(answer.get("retry_after_ms", 0) / 1000)
        check(status == 200 and answer.get("outcome") == "DONE",
              f"an ordinary request got {status} {answer}")
        status, _ = fghttp.request("GET", self.control, "/v1/state",
                                   timeout_s=5)
        check(status == 200, f"the operator's address got {status}")

    def check_all(self):
        mb = memory_mb(self)
        print(f"n1: {mb:.0f} MB at most")
        check(mb <= MACHINE_MB, f"it took {mb:.0f} MB of {MACHINE_MB}")
        self.check_served()

    def close(self):
        errors = self.system.stop_all()
        self.system.remove_files()
        return errors


def post_head(length=None, path="/v1/filings"):
    framing = ("Transfer-Encoding: chunked" if length is None
               else f"Content-Length: {length}")
    next_key[0] += 1
    return (f"POST {path} HTTP/1.1\r\nHost: x\r\n{CALLER}"
            f"Idempotency-Key: c{next_key[0]}\r\n{framing}\r\n\r\n").encode()


def push_bodies(e, address, data, drip=None):
    with Crowd(address, CROWD, data) as crowd:
        crowd.push()
        if drip is not None:
            crowd.drip(drip)
        e.check_all()
    wait_for("the memory of the crowd is given back",
             lambda: memory_mb(e, "VmRSS") <= REST_MB)
    e.check_served()


def unfinished_bodies(e):
    """Bodies that stop short of their end."""
    push_bodies(e, e.address, post_head(BODY_MAX) + b"x" * (BODY_MAX - KIB),
                b"x")


def unfinished_bodies_of_operators(e):
    push_bodies(e, e.control, post_head(BODY_MAX, "/v1/admin/change") +
                b"x" * (BODY_MAX - KIB), b"x")


def unfinished_chunked_bodies(e):
    piece = b"%x\r\n%s\r\n" % (65536, b"x" * 65536)
    push_bodies(e, e.address, post_head() + piece * 63, b"1\r\nx\r\n")


def bodies_beyond_the_limit(e):
    piece = b"%x\r\n%s\r\n" % (65536, b"x" * 65536)
    push_bodies(e, e.address, post_head() + piece * 128)


def large_json_trees(e):
    """Whole bodies whose parsed form is many times their size."""
    text = b"[" + b"[]," * (MIB // 3 - 2) + b"[]]"
    push_bodies(e, e.address, post_head(len(text)) + text)


for scenario in (unfinished_bodies, unfinished_bodies_of_operators,
                 unfinished_chunked_bodies, bodies_beyond_the_limit):
    scenario.limits = {"body_max_bytes": BODY_MAX}
large_json_trees.limits = {"body_max_bytes": MIB}


def fill_places(e, address, data, drip=None):
    before = count_descriptors(e)
    with Crowd(address, OVER_PLACES, data) as crowd:
        crowd.push()
        if drip is not None:
            crowd.drip(drip)
        for _ in range(3):
            e.check_all()
            check(count_descriptors(e) <= before + 2 * PLACES + 16,
                  "too many descriptors")
            time.sleep(0.3)
    e.check_served()


def places_taken_by_silence(e):
    fill_places(e, e.address, b"")


def places_taken_by_dripping_heads(e):
    fill_places(e, e.address, b"POST /v1/filings HTTP/1.1\r\nX: ", b"y")


def places_taken_by_dripping_bodies(e):
    fill_places(e, e.address, post_head(), b"1\r\nx\r\n")


def places_of_operators_taken(e):
    fill_places(e, e.control, b"GET /v1/state HTTP/1.1\r\nX: ", b"y")


def stop_beside_a_crowd(e):
    """A planned stop ends in its time with exit code 0."""
    with Crowd(e.address, OVER_PLACES, post_head()) as crowd:
        crowd.push()
        crowd.drip(b"1\r\nx\r\n")
        e.popen.send_signal(signal.SIGTERM)
        try:
            code = e.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            code = None
        check(code == 0, f"exit code {code}")
        e.process.killed = True


for scenario in (places_taken_by_silence, places_taken_by_dripping_heads,
                 places_taken_by_dripping_bodies, places_of_operators_taken,
                 stop_beside_a_crowd):
    scenario.limits = {"connections_max": PLACES}

SCENARIOS = [
    unfinished_bodies, unfinished_bodies_of_operators,
    unfinished_chunked_bodies, bodies_beyond_the_limit, large_json_trees,
    places_taken_by_silence, places_taken_by_dripping_heads,
    places_taken_by_dripping_bodies, places_of_operators_taken,
    stop_beside_a_crowd,
]


def run(scenario):
    entry = None
    try:
        entry = Entry(scenario.limits)
        scenario(entry)
        errors = entry.close()
        entry = None
        check(not errors, f"{errors}")
        print(f"ok {scenario.__name__}", flush=True)
        return True
    except (AssertionError, RuntimeError, OSError) as why:
        print(f"not ok {scenario.__name__}: {why}", flush=True)
        traceback.print_exc(limit=2)
        if entry is not None:
            print(entry.system.logs()[-3000:])
        return False
    finally:
        if entry is not None:
            entry.close()


def main():
    names = sys.argv[1:]
    results = [run(s) for s in SCENARIOS
               if not names or s.__name__ in names]
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main())

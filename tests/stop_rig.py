#!/usr/bin/env python3
"""Planned stops in series under a drawn load: real gateways, stand-ins of
engines and plain services, and callers of many kinds, judged by rule LOST.

Usage: tests/stop_rig.py [--seed N] [--count M] [--faults]
Prints "ok seed N: FIGURES" or "not ok seed N: REASON" with the caller's facts and
the log lines that name the request. A request is lost if its connection ends
without a complete answer once it ran, or later than LOSS_SLACK_S after its last
byte was sent. Not counted: its replica broke off; its time limit was reached; or
the replica was at work in the last sixth of the grace on a request that was sent
no later than EARLY_S after the SIGTERM. Nothing is due after an answer with
"Connection: close", nor behind an answer that was broken off.
"""

import argparse
import random
import subprocess
import sys
import threading
import time
from collections import Counter

from gateway_stops import stop, write_long_routes
from hosted import reset_connection, send, wait_for, with_grace
from soak import is_exiting
from stop_rig_callers import Caller
from stop_rig_faults import Faults

LOSS_SLACK_S = 0.2
EARLY_S = 3.0
WARM_UP_S = 2.0
STOPS_MAX_S = 9.0  # from the first stop to the last
LIMIT_SLACK_S = 0.1  # a time limit may be counted from the first byte on
PIECE = b"x" * 200


class Rig:
    def __init__(self, seed, with_faults):
        rand = random.Random(seed)
        self.seed = seed
        self.grace_s = rand.choice((8, 8, 5))
        self.system = with_grace(self.grace_s)(
            engines=rand.choice((2, 3)), plains=2, gateways=3)
        s = self.system
        write_long_routes(s)
        for g in s.gateways:
            wait_for(f"routes at {g.name}", lambda f=g.front: send(
                f, "/long-safe/1", method="GET", body=None).status == 200)
        for replica in s.engines + s.plains:
            replica.answer_with = self.answer
            replica.slots = 40
            replica.register()
        self.few_long = rand.sample(s.gateways, rand.choice((0, 1, 2)))
        self.stops_at = self.draw_stops(rand)
        self.load_s = self.stops_at[-1][1] + self.grace_s
        self.speed = rand.choice((1, 1, 5))  # of streams
        self.disturbed = rand.random() < 0.7
        self.restarted = [g for g in s.gateways if rand.random() < 0.7]
        self.stops = []  # (gateway, time of SIGTERM, time of exit)
        self.faults = []
        self.requests = {}
        self.callers = [Caller(self, rand, i)
                        for i in range(rand.choice((100, 250, 400)))]
        self.others = Faults(self) if with_faults else None

    def draw_stops(self, rand):
        at_s, stops = WARM_UP_S, []
        for g in rand.sample(self.system.gateways, 3):
            stops.append((g, at_s))
            gap_s = 0 if rand.random() < 0.15 else rand.uniform(2, 9)
            at_s = min(at_s + gap_s, WARM_UP_S + STOPS_MAX_S)
        return stops

    # Replicas.

    def answer(self, replica, req, rid):
        r = self.requests.get(rid)
        if r is None:  # a probe of the rig
            return replica.answer_plain(req, rid)
        work = [time.monotonic(), None]
        r.worked.append(work)
        try:
            return self.send_answer(replica, req, r)
        finally:
            work[1] = time.monotonic()

    def send_answer(self, replica, req, r):
        break_at = None if r.break_at is None or len(r.worked) > 1 else \
            int(r.break_at * r.events) + 1
        if not replica.engine:
            time.sleep(replica.slowness * r.work_s)
            replica.stay_silent()
            if break_at is not None:
                return self.break_off(req, r)
            req.answer(200, r.rid.encode().ljust(r.body_size, b"."),
                       [("Request-Id", r.rid), ("Response-Stamp", replica.name)])
            return True
        req.sock.sendall(replica.response_head(
            r.rid, "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(int(req.get("Last-Event-Id", "0")) + 1, r.events + 1):
            replica.stay_silent()
            if i == break_at:
                return self.break_off(req, r)
            event = b"id: %d\ndata: %s\n\n" % (i, PIECE)
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(replica.slowness * r.interval_s)
        req.sock.sendall(b"0\r\n\r\n")
        return True

    @staticmethod
    def break_off(req, r):
        r.broken_off = True
        reset_connection(req.sock)
        return False

    def hold_up_replicas(self):
        rand, end = random.Random(self.seed), self.begin + self.load_s
        while time.monotonic() < end:
            time.sleep(rand.uniform(0.5, 2.5))
            replica = rand.choice(self.system.engines + self.system.plains)
            if rand.random() < 0.5:
                replica.silent_until = time.monotonic() + 1
            else:
                replica.slowness = 5.0
                time.sleep(rand.uniform(0.3, 2.0))
                replica.slowness = 1.0

    # Stops.

    def stop_one(self, g, at_s):
        time.sleep(max(0, self.begin + at_s - time.monotonic()))
        began = stop(g)
        entry = [g, began, None]
        self.stops.append(entry)
        try:
            code = g.popen.wait(began + self.grace_s - time.monotonic())
        except subprocess.TimeoutExpired:
            if not is_exiting(g.popen.pid):
                self.faults.append(f"{g.name} still runs at the end of the grace")
                g.popen.kill()
            code = g.popen.wait()
        entry[2] = time.monotonic()
        if code != 0:
            self.faults.append(f"{g.name}: exit {code}")
        if g in self.restarted:
            g.start()

    # Judgement.

    def judge(self, r, not_due, behind):
        """Returns what became of the request, "LOST" or another fault in upper
        case."""
        ran = self.system.run_count(r.rid) > 0
        if r.whole:
            if r.status == 503 and ran:
                return "RAN"
            if r.status == 200:
                return "served" if r.has_exact_body() else "MIXED"
            return "refused" if r.status in (408, 429, 503) else "failed"
        if r.first_at is None:
            return "unsent"
        if not_due or r.end_at is None:
            return "not_due_ran" if ran else "not_due"
        if not ran:
            if behind:
                return "behind"
            # A slow reader sees the end of the process late.
            exits = [e for g, _, e in self.stops
                     if g is r.gateway and e is not None and e >= r.first_at]
            if r.sent_at is None or \
                    min([r.end_at, *exits]) <= r.sent_at + LOSS_SLACK_S:
                return "unread"
        return self.find_excuse(r) or "LOST"

    def find_excuse(self, r):
        if r.broken_off:
            return "replica_broke_off"
        if r.end_at >= r.first_at + r.limit_s - LIMIT_SLACK_S:
            return "time_limit"
        if self.others is not None and self.others.is_excused(r):
            return "paused"
        for _, began, exit_at in self.stops:
            last_sixth = began + self.grace_s * 5 / 6
            if began <= r.end_at <= exit_at + 1 and \
                    r.first_at <= began + EARLY_S and any(
                        a <= began + self.grace_s and b >= last_sixth
                        for a, b in r.worked):
                return "at_work_at_end"
        return None

    def judge_all(self):
        """Returns the counts of all requests, of those sent in a stop, and of those
        sent early in it."""
        counts, in_stops, early = Counter(), Counter(), Counter()
        for caller in self.callers:
            not_due = behind = False
            for r in caller.requests:
                word = self.judge(r, not_due, behind)
                counts[word] += 1
                ages = [r.first_at - began for g, began, exit_at in self.stops
                        if g is r.gateway and r.first_at is not None and
                        began <= r.first_at <= exit_at]
                in_stops[word] += len(ages)
                early[word] += sum(age <= EARLY_S for age in ages)
                if word.isupper():
                    self.faults.append(f"{word}: {r.facts(self.begin)}, reads "
                                       f"{caller.read_rate:.0f} B/s, "
                                       f"{caller.mode}{self.log_of(r)}")
                not_due |= r.last_answer
                behind |= not r.whole
        return counts, in_stops, early

    def log_of(self, r):
        return "".join(f"\n    {g.name}: {line}" for g in self.system.gateways
                       for line in g.log().splitlines()
                       if f"={r.rid} " in line + " ")

    def run(self):
        self.begin = time.monotonic()
        threads = [threading.Thread(target=self.stop_one, args=stop_at)
                   for stop_at in self.stops_at]
        if self.disturbed:
            threads.append(threading.Thread(target=self.hold_up_replicas))
        threads += [c.thread for c in self.callers]
        if self.others is not None:
            threads += self.others.threads()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.judge_all()


def format_shares(counts):
    due = sum(counts[w] for w in (
        "LOST", "served", "refused", "failed", "replica_broke_off",
        "time_limit", "at_work_at_end", "paused"))
    return ", ".join(f"{name} {counts[word] / max(1, due):.3f}"
                     for name, word in (("cut unexcused", "LOST"),
                                        ("refused", "refused"),
                                        ("served", "served"))) + f" of {due}"


def run(seed, with_faults):
    rig = Rig(seed, with_faults)
    try:
        counts, in_stops, early = rig.run()
    finally:
        rig.system.close()
    bad = rig.faults
    kinds = ", ".join(sorted({fault.split(":")[0] for fault in bad}))
    print(f"not ok seed {seed}: {len(bad)} faults ({kinds})" if bad else
          f"ok seed {seed}")
    print("  " + ", ".join(f"{word} {n}" for word, n in sorted(counts.items())))
    print(f"  sent in a stop: {format_shares(in_stops)}; in its first "
          f"{EARLY_S:.0f} s: {format_shares(early)}")
    if with_faults:
        print(f"  {rig.others.names()}")
    if bad:
        print(f"  grace {rig.grace_s} s, SIGTERM at " + ", ".join(
            f"{began - rig.begin:.3f} ({g.name})" for g, began, _ in rig.stops))
    for fault in bad:
        print(f"  {fault}")
    sys.stdout.flush()
    return not bad


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--faults", action="store_true")
    args = parser.parse_args()
    results = [run(args.seed + i, args.faults) for i in range(args.count)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

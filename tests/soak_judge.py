"""Checks what callers and replicas observe in a soak against the guarantees of
fg-gateway.

Every request has a unique id. The checker is told when a replica begins to run
a request and what the caller was answered, in any order, and records each
violation at once. Times are those of time.monotonic().
"""

import threading
import time

NOT_RUN = (408, 421, 429, 503)
STREAMS = ("draft", "brief", "long-brief")  # kinds of requests
REJECTED = (400, 401, 403, 404, 413, 431)
# A final answer may come this long after the time limit of its route.
LIMIT_SLACK_S = 0.5
# Violations that a fault may cause are ignored for this long after the fault.
AFTER_FAULT_S = 4.0


class Call:
    def __init__(self, rid, kind, gateway, incarnation, limit_s, runs_max,
                 version):
        self.rid = rid
        self.kind = kind  # draft, brief, order, lookup, or the name of a route
        self.gateway = gateway
        self.incarnation = incarnation  # number of starts of the gateway
        self.limit_s = limit_s
        self.runs_max = runs_max
        self.version = version  # of the configuration that added the route
        self.sent_at = time.monotonic()
        self.runs = []  # (replica, time)
        self.status = None
        self.outlasts_grace = False  # by the work that it asks for


class Checker:
    def __init__(self):
        self.lock = threading.Lock()
        self.calls = {}
        self.faults = {}  # gateway or "store" -> [[from, to or None]]
        self.leaving = {}  # replica -> (time, drain limit in s)
        # (gateway, incarnation) -> newest configuration version seen in force
        self.newest_version = {}
        self.stops = {}  # (gateway, incarnation) -> (time, grace in s)
        self.pauses = []  # (from, to) of endpoints that are silent or slow
        self.last_fault = {}  # replica -> end of its last own fault
        self.violations = []
        self.counts = {}

    def add_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    # Faults.

    def begin_fault(self, name):
        with self.lock:
            self.faults.setdefault(name, []).append(
                [time.monotonic(), None])

    def end_fault(self, name):
        with self.lock:
            for period in self.faults.get(name, []):
                if period[1] is None:
                    period[1] = time.monotonic()

    def is_undisturbed(self, names, since):
        """True when none of these had a fault since AFTER_FAULT_S before
        `since`."""
        for name in names:
            for period in self.faults.get(name, []):
                if period[1] is None or period[1] > since - AFTER_FAULT_S:
                    return False
        return True

    # Events.

    def on_sent(self, call):
        with self.lock:
            self.calls[call.rid] = call

    def on_run(self, replica, rid):
        now = time.monotonic()
        with self.lock:
            call = self.calls.get(rid)
            if call is None:
                self.add_violation("UNASKED", f"{rid} ran at {replica.name}")
                return
            call.runs.append((replica.name, now))
            if len({name for name, _ in call.runs}) > call.runs_max or (
                    call.runs_max == 1 and len(call.runs) > 1):
                self.add_violation("TWICE",
                                   f"{call.kind} {rid} ran {call.runs}")
            if call.status in NOT_RUN:
                self.add_violation("REFUSED", f"{call.kind} {rid} ran at "
                                   f"{replica.name} after {call.status}")
            self._check_leaving(call, replica, now)

    def _check_leaving(self, call, replica, now):
        since = self.leaving.get(replica.name)
        if since is None or now < since[0] + since[1]:
            return
        if self.is_undisturbed([call.gateway, "store"], min(now, since[0])):
            self.add_violation("DRAIN", f"{call.rid} reached {replica.name} "
                               f"{now - since[0]:.2f} s after it began to "
                               f"leave, by {call.gateway}")

    def on_answered(self, call, status, whole, is_expected):
        """A status of 0 means that the connection ended without an answer;
        whole means that the body was complete."""
        now = time.monotonic()
        took_s = now - call.sent_at
        with self.lock:
            call.status = status
            word = f"{call.kind} {status}" if whole else f"{call.kind} broken"
            self.counts[word] = self.counts.get(word, 0) + 1
            where = f"{call.kind} {call.rid} by {call.gateway}"
            if status in NOT_RUN and call.runs:
                self.add_violation("REFUSED",
                                   f"{where}: {status}, ran {call.runs}")
            if status == 200 and whole and not is_expected:
                self.add_violation("MIXED", f"{where}: not the whole answer")
            if status in REJECTED:
                self._check_denied(call, where, status)
            elif status == 200:
                key = (call.gateway, call.incarnation)
                self.newest_version[key] = max(
                    call.version, self.newest_version.get(key, 0))
            if took_s > call.limit_s + LIMIT_SLACK_S and self.is_undisturbed(
                    [call.gateway, f"{call.gateway} frozen"], call.sent_at):
                self.add_violation("LATE", f"{where}: {took_s:.2f} s")
            if not whole or status == 0:
                self._check_lost(call, where)

    def _check_denied(self, call, where, status):
        if status != 404:
            self.add_violation("DENIED", f"{where}: {status}")
        elif call.version <= self.newest_version.get(
                (call.gateway, call.incarnation), 0):
            self.add_violation("CONFIG", f"{where}: 404 after version "
                               f"{call.version} was in force")
        elif call.version == 0:
            self.add_violation("DENIED", f"{where}: 404")

    def _check_lost(self, call, where):
        """A planned stop must not cut off a request that runs at a replica. Only
        a stream may be broken off, if it outlasts the grace."""
        stop = self.stops.get((call.gateway, call.incarnation))
        if not call.runs or stop is None:
            return
        if not self.is_undisturbed([call.gateway], call.sent_at):
            return
        if any(t > call.sent_at - AFTER_FAULT_S
               for n, t in self.last_fault.items()
               if n in {name for name, _ in call.runs}):
            return
        if call.status == 200 and call.kind in STREAMS and \
                self._may_outlast(call, *stop):
            return
        self.add_violation("LOST", f"{where}: cut off by a planned stop, "
                           f"status {call.status}, ran {call.runs}")

    def _may_outlast(self, call, began, grace_s):
        """The work lasts, or an endpoint was held up, until the last second of
        the grace or the time limit."""
        end = min(began + grace_s - 1, call.sent_at + call.limit_s - 0.1)
        return time.monotonic() >= end and (
            call.outlasts_grace or any(
                to > call.sent_at for _, to in self.pauses))

    def on_exit(self, name, code, allowed):
        """A process ended; a negative code is that of a signal."""
        if code not in allowed:
            self.add_violation("EXIT", f"{name}: exit {code}, not {allowed}")

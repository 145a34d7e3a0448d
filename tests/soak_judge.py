"""What callers and replicas of a soak saw, held against the promises.

Every request has an id of its own. The judge hears when a replica begins to
run it and what its caller was told, in any order, and notes each violation at
once. Times are of time.monotonic().
"""

import threading
import time

NOT_RUN = (408, 421, 429, 503)
DENIED = (400, 401, 403, 404, 413, 431)
# Slack of a final answer behind the route's time limit.
LATE_S = 0.5
# A disturbance excuses what comes this long after it.
CONTACT_S = 4.0


class Call:
    def __init__(self, rid, kind, gateway, life, limit_s, runs_max, version):
        self.rid = rid
        self.kind = kind  # draft, brief, order, lookup, or a route's name
        self.gateway = gateway
        self.life = life  # process of the gateway, counted
        self.limit_s = limit_s
        self.runs_max = runs_max
        self.version = version  # of the configuration that added its route
        self.sent = time.monotonic()
        self.ran = []  # (replica, time)
        self.status = None


class Judge:
    def __init__(self):
        self.lock = threading.Lock()
        self.calls = {}
        self.disturbed = {}  # name of a gateway or "store" -> [(from, to)]
        self.leaving = {}  # replica -> (time, drain bound in s)
        self.seen_version = {}  # (gateway, life) -> newest seen in force
        self.planned = set()  # (gateway, life) under a planned stop alone
        self.faulty = {}  # replica -> last time of a fault of its own
        self.violations = []
        self.counts = {}

    def blame(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    # Disturbances.

    def begin(self, name):
        with self.lock:
            self.disturbed.setdefault(name, []).append(
                [time.monotonic(), None])

    def finish(self, name):
        with self.lock:
            for span in self.disturbed.get(name, []):
                if span[1] is None:
                    span[1] = time.monotonic()

    def calm(self, names, since):
        """No disturbance of these since CONTACT_S before a moment."""
        for name in names:
            for span in self.disturbed.get(name, []):
                if span[1] is None or span[1] > since - CONTACT_S:
                    return False
        return True

    # What happens.

    def sent(self, call):
        with self.lock:
            self.calls[call.rid] = call

    def ran(self, replica, rid):
        now = time.monotonic()
        with self.lock:
            call = self.calls.get(rid)
            if call is None:
                self.blame("UNASKED", f"{rid} ran at {replica.name}")
                return
            call.ran.append((replica.name, now))
            if len({name for name, _ in call.ran}) > call.runs_max or (
                    call.runs_max == 1 and len(call.ran) > 1):
                self.blame("TWICE", f"{call.kind} {rid} ran {call.ran}")
            if call.status in NOT_RUN:
                self.blame("REFUSED", f"{call.kind} {rid} ran at "
                           f"{replica.name} after {call.status}")
            self._check_leaving(call, replica, now)

    def _check_leaving(self, call, replica, now):
        since = self.leaving.get(replica.name)
        if since is None or now < since[0] + since[1]:
            return
        if self.calm([call.gateway, "store"], min(now, since[0])):
            self.blame("DRAIN", f"{call.rid} reached {replica.name} "
                       f"{now - since[0]:.2f} s after it began to leave, "
                       f"by {call.gateway}")

    def answered(self, call, status, whole, right):
        """status 0: the connection ended without an answer."""
        now = time.monotonic()
        took = now - call.sent
        with self.lock:
            call.status = status
            word = f"{call.kind} {status}" if whole else f"{call.kind} broken"
            self.counts[word] = self.counts.get(word, 0) + 1
            where = f"{call.kind} {call.rid} by {call.gateway}"
            if status in NOT_RUN and call.ran:
                self.blame("REFUSED", f"{where}: {status}, ran {call.ran}")
            if status == 200 and whole and not right:
                self.blame("MIXED", f"{where}: not the whole answer")
            if status in DENIED:
                self._check_denied(call, where, status)
            elif status == 200:
                key = (call.gateway, call.life)
                self.seen_version[key] = max(call.version,
                                             self.seen_version.get(key, 0))
            if took > call.limit_s + LATE_S and self.calm(
                    [call.gateway], call.sent):
                self.blame("LATE", f"{where}: {took:.2f} s")
            if not whole or status == 0:
                self._check_lost(call, where)

    def _check_denied(self, call, where, status):
        if status != 404:
            self.blame("DENIED", f"{where}: {status}")
        elif call.version <= self.seen_version.get(
                (call.gateway, call.life), 0):
            self.blame("CONFIG", f"{where}: 404 after version "
                       f"{call.version} was in force")
        elif call.version == 0:
            self.blame("DENIED", f"{where}: 404")

    def _check_lost(self, call, where):
        """A planned stop cuts off nothing that was passed on."""
        if not call.ran or (call.gateway, call.life) not in self.planned:
            return
        if not self.calm([call.gateway], call.sent):
            return
        if any(t > call.sent - CONTACT_S for n, t in self.faulty.items()
               if n in {name for name, _ in call.ran}):
            return
        self.blame("LOST", f"{where}: cut off by a planned stop, "
                   f"ran {call.ran}")

"""Scenarios of tests/gateway.py with planned stops of an instance that reaches
endpoints through another one, and of the one in the middle."""

import http.client
import math
import random
import re
import threading
import time

from gateway_cuts import CuttableSystem
from gateway_stops import GRACE_S, LONG_MS, add_long_routes, check_exit, stop
from gateway_tunnels import cut_from_endpoints
from hosted import HOST, MODEL, check, event_ids, find_log_lines, next_id

BEFORE_S = 3.0  # callers send this long before the first stop
CALLERS = 110
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_EARLY_S = 3.0  # an end in the last sixth excuses those sent by then
LIMIT_SLACK_S = 0.3
JUDGED_S = 0.2  # a request without an answer is lost later than this
STREAMS = 20
EARLIER_S = 0.5
OWN_STOP_S = 2.0
KINDS = ("brief", "draft", "unsafe")


class HopCaller:
    """Sends one request at its time, and notes what came of it."""

    def __init__(self, rand, gateway, at):
        self.gateway, self.at = gateway, at
        self.kind = rand.choice(KINDS)
        self.events = rand.randint(150 if rand.random() < 0.3 else 1, 190)
        self.interval_s = rand.uniform(0.025, 0.05)
        self.work_s = rand.uniform(0.02, 1.0)  # of an order
        self.rid = next_id()
        self.worked = []  # [begin, end] of each run at a replica, end inf before
        self.status, self.body, self.whole, self.error = 0, "", False, None
        self.headers = {}
        self.connected = False
        self.sent_at = self.end_at = at
        self.thread = threading.Thread(target=self.run)

    def run(self):
        time.sleep(max(0.0, self.at - time.monotonic()))
        host, port = self.gateway.front.split(":")
        conn = http.client.HTTPConnection(host, int(port),
                                          timeout=LONG_MS / 1000 + 4)
        fields = {"Host": HOST, "Request-Id": self.rid,
                  "Deadline-Ms": str(LONG_MS)}
        if self.kind != "unsafe":
            fields.update({"Model": f"{MODEL}/a1",
                           "Token-Count": f"100,{self.events}"})
        try:
            conn.connect()
            self.connected = True
            conn.request("POST", f"/long-{self.kind}/{self.rid}", b"x", fields)
            self.sent_at = time.monotonic()
            res = conn.getresponse()
            self.status, self.headers = res.status, dict(res.getheaders())
            while data := res.read1(65536):
                self.body += data.decode()
            self.whole = not res.length  # None of one in chunks
        except (OSError, http.client.HTTPException) as why:
            self.error = why
        finally:
            self.end_at = time.monotonic()
            conn.close()

    def serve(self, replica, req):
        work = [time.monotonic(), math.inf]
        self.worked.append(work)
        try:
            if self.kind == "unsafe":
                self.serve_order(replica, req)
            else:
                self.serve_stream(replica, req)
        finally:
            work[1] = time.monotonic()
        return True

    def serve_order(self, replica, req):
        time.sleep(self.work_s)
        req.sock.sendall((replica.response_head(
            self.rid, f"Content-Length: {len(self.rid)}\r\n\r\n") +
            self.rid).encode())

    def serve_stream(self, replica, req):
        req.sock.sendall(replica.response_head(
            self.rid, "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(int(req.get("Last-Event-Id", "0")) + 1, self.events + 1):
            time.sleep(self.interval_s)
            event = b"id: %d\ndata: piece %d\n\n" % (i, i)
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        req.sock.sendall(b"0\r\n\r\n")

    def is_served(self):
        if self.status != 200 or not self.whole:
            return False
        if self.kind == "unsafe":
            return self.body == self.rid
        return event_ids(self) == list(range(1, self.events + 1))

    def is_excused(self, stops):
        """Its time limit was reached, or its replica was still at work in the
        last sixth of a stop that began no more than 3 s before it: that of its
        instance, or, if that one does not stop, of the one in the middle."""
        if self.end_at - self.sent_at >= LONG_MS / 1000 - LIMIT_SLACK_S:
            return True
        own = [stop for stop in stops if stop[0] is self.gateway]
        return any(self.sent_at <= began + SENT_EARLY_S and
                   any(begin < began + GRACE_S and end > began + LAST_SIXTH_S
                       for begin, end in self.worked)
                   for _, began in own or stops)

    def fault(self, stops):
        """Returns what is wrong with its end, or None."""
        ran = len(self.worked) > 0
        if self.is_served():
            return None
        if self.status == 200 and self.whole:
            return "complete with a part"
        if self.status == 503:
            if ran:
                return "refused after it ran"
            return None if "Retry-After" in self.headers else "no time to return"
        if ran and self.kind == "draft" and not any(
                g is self.gateway for g, _ in stops):
            return "did not go on"
        if ran:
            return None if self.is_excused(stops) else "lost"
        if self.connected and self.end_at - self.sent_at > JUDGED_S:
            return "read and not answered"
        return None

    def describe(self, begin):
        worked = ", ".join(f"{a - begin:.2f} to {b - begin:.2f}"
                           for a, b in self.worked)
        return (f"{self.rid} {self.kind} at {self.gateway.name}, {self.events} "
                f"events of {self.interval_s * 1000:.0f} ms: sent at "
                f"{self.sent_at - begin:.2f}, end at {self.end_at - begin:.2f}, "
                f"status {self.status}, {len(event_ids(self))} events, error "
                f"{self.error!r}, at work {worked or 'never'}")


def serve_callers(s, callers):
    by_id = {c.rid: c for c in callers}
    for replica in s.engines + s.plains:
        replica.answer_with = lambda r, req, rid: by_id[rid].serve(r, req)


def check_stops(s, seed, stops_s):
    """Sends requests to the first instance, which is cut from the endpoints.
    `stops_s` has the instances to stop, by index, each with its time after the
    first stop."""
    rand = random.Random(seed)
    add_long_routes(s)
    cut_from_endpoints(s)
    begin = time.monotonic() + BEFORE_S
    callers = [HopCaller(rand, s.gateways[0], begin - BEFORE_S + rand.uniform(
        0, BEFORE_S + GRACE_S)) for _ in range(CALLERS)]
    serve_callers(s, callers)
    for c in callers:
        c.thread.start()
    stops, hops = [], {}
    for index, at_s in stops_s:
        time.sleep(max(0.0, begin + at_s - time.monotonic()))
        hops[index] = int(re.search(
            r" tunnels=(\d+) ", s.gateways[1].state()).group(1))
        stops.append((s.gateways[index], stop(s.gateways[index])))
    for gateway, began in stops:
        check_exit(gateway, began)
    for c in callers:
        c.thread.join()
    judge(s, callers, stops, begin)
    print(f"tunnels in the middle as each stopped: {hops}")
    check(max(hops.values()) > 0, "nothing went through the middle")


def judge(s, callers, stops, begin):
    faults = [(c, c.fault(stops)) for c in callers]
    counts = {}
    for c, fault in faults:
        end = (fault or ("served" if c.is_served() else
                         "excused" if c.worked else f"not run {c.status}"))
        counts[end] = counts.get(end, 0) + 1
    n_ended = len(find_log_lines(s.gateways[0], "ended"))
    print(f"{counts}, tunnels that ended in an answer: {n_ended}")
    wrong = [(c, fault) for c, fault in faults if fault]
    for c, fault in wrong:
        print(f"{fault}: {c.describe(begin)}")
        for gateway in s.gateways:
            for line in gateway.log().splitlines():
                if f" id={c.rid} " in line:
                    print("   ", line)
    check(not wrong, f"{len(wrong)} of {len(callers)}")
    for c in callers:
        check(c.kind != "unsafe" or len(c.worked) <= 1, f"{c.rid} ran twice")
    return counts


def middle_stops(s):
    """Answers through an instance that stops are whole, and new ones go through
    another one."""
    check_stops(s, 1, [(1, 0.0)])


def cut_instance_stops(s):
    """The same where the instance that goes through another one stops."""
    check_stops(s, 2, [(0, 0.0)])


def middle_stops_then_cut(s):
    """The same where both stop."""
    check_stops(s, 3, [(1, 0.0), (0, 2.0)])


def cut_stops_then_middle(s):
    """The same where both stop, the other one first."""
    check_stops(s, 4, [(0, 0.0), (1, 2.0)])


def check_broken_in_own_stop(s, kind):
    """Streams that could end within the grace of their own instance, but not
    within that of the one in the middle."""
    add_long_routes(s)
    cut_from_endpoints(s)
    begin = time.monotonic() + EARLIER_S
    rand = random.Random(5)
    callers = [HopCaller(rand, s.gateways[0], begin - EARLIER_S)
               for _ in range(STREAMS)]
    for c in callers:
        c.kind, c.events, c.interval_s = kind, 190, 0.043
    serve_callers(s, callers)
    for c in callers:
        c.thread.start()
    time.sleep(max(0.0, begin - time.monotonic()))
    stops = [(s.gateways[1], stop(s.gateways[1]))]
    time.sleep(max(0.0, begin + OWN_STOP_S - time.monotonic()))
    stops.append((s.gateways[0], stop(s.gateways[0])))
    for gateway, began in stops:
        check_exit(gateway, began)
    for c in callers:
        c.thread.join()
    judge(s, callers, stops, begin)
    check(find_log_lines(s.gateways[0], "ended"), "no tunnel was broken")


def streams_go_on_in_own_stop(s):
    """Resumable streams that the end of the instance in the middle breaks go on
    through another one while their own instance stops, until its last answers."""
    check_broken_in_own_stop(s, "draft")


def streams_of_one_run_in_own_stop(s):
    """On a route that is not resumable they are whole."""
    check_broken_in_own_stop(s, "brief")


SCENARIOS = [middle_stops, cut_instance_stops, middle_stops_then_cut,
             cut_stops_then_middle, streams_go_on_in_own_stop,
             streams_of_one_run_in_own_stop]

for scenario in SCENARIOS:
    scenario.system_options = {"gateways": 3}
    scenario.system_class = CuttableSystem

"""Scenarios of tests/gateway.py with instances that are cut from endpoints, and
with brittle endpoints."""

import http.client
import threading
import time

from cut_path import HANG, ONE_WAY, REFUSE, RESET_NEW, Path
from hosted import (
    HOST, MODEL, System, check, find_log_lines, has_all_events, next_id, send, send_draft,
    wait_for)

CONTACT_S = 4.0  # setting contactMs of the users' platform


class Cuts:
    """Paths from each gateway to each replica: paths[gateway][name]."""

    def __init__(self):
        self.paths = []

    def add_gateway(self, store, replicas):
        """Returns the address at which the store shows the paths."""
        paths = {r.name: Path(r.addr) for r in replicas}
        self.paths.append(paths)
        return store.add_view({r.addr: paths[r.name].addr for r in replicas})

    def cut(self, gateway, mode, names=None):
        for name, path in self.paths[gateway].items():
            if names is None or name in names:
                path.cut(mode)

    def heal(self, gateway):
        for path in self.paths[gateway].values():
            path.heal()


class CuttableSystem(System):
    """As System, with s.cuts between the gateways and the replicas."""

    def __init__(self, **options):
        self.cuts = Cuts()
        super().__init__(**options)

    def gateway_store(self, store):
        return self.cuts.add_gateway(self.store, self.engines + self.plains)


def cut_lines(s):
    """The log tells an instance that reaches no endpoint from one endpoint that
    has ended: most endpoints are not reached there, it says that it is cut and
    when it no longer is, and the other instances say nothing of it."""
    s.cuts.cut(0, REFUSE)
    for _ in range(12):
        send_draft(s.gateways[0], next_id())
        send(s.gateways[0].front, "/lookup/1", method="GET", body=None)
        send(s.gateways[1].front, "/lookup/1", method="GET", body=None)
    lines = find_log_lines(s.gateways[0], "unreached")
    check(2 * max(int(line["unreached"]) for line in lines) >
          int(lines[-1]["of"]), f"{lines}")
    check(len(find_log_lines(s.gateways[0], "endpoints_cut")) == 1,
          "does not say that it is cut")
    check(not find_log_lines(s.gateways[1], "unreached"), "the other too")
    check(not find_log_lines(s.gateways[1], "endpoints_cut"), "the other too")
    s.cuts.heal(0)
    wait_for("reached again", lambda: (
        send(s.gateways[0].front, "/lookup/1", method="GET", body=None),
        find_log_lines(s.gateways[0], "reached_again"))[1])
    wait_for("no longer cut", lambda: find_log_lines(
        s.gateways[0], "endpoints_back"))
    s.plains[0].crash()
    for paths in s.cuts.paths:  # a path itself would still accept
        paths["p0"].cut(REFUSE)
    for gateway in s.gateways:
        wait_for("one endpoint", lambda g=gateway: (
            send(g.front, "/lookup/1", method="GET", body=None), [
                line for line in find_log_lines(g, "unreached")
                if line["endpoint"] == "p0"])[1])
    line = find_log_lines(s.gateways[1], "unreached")[-1]
    check((line["unreached"], line["of"]) == ("1", "4"), f"{line}")


cut_lines.system_options = {"gateways": 2}
cut_lines.system_class = CuttableSystem

class Callers:
    """Sends first tries to some gateways at a steady rate, each kind in turn."""

    KINDS = ("/lookup/1", "/order/1", "/draft/1")

    def __init__(self, s, gateways, interval_s=0.06):
        self.s = s
        self.results = []  # (gateway index, kind, id, time, answer)
        self.stop = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(g, k))
                        for g in gateways for k in range(len(self.KINDS))]
        self.interval_s = interval_s * len(self.KINDS)
        for thread in self.threads:
            thread.start()

    def run(self, g, k):
        kind = self.KINDS[k]
        gateway = self.s.gateways[g]
        n = 0
        while not self.stop.wait(self.interval_s):
            rid = next_id()
            n += 1
            begin = time.monotonic()
            if kind == "/draft/1":
                a = send_draft(gateway, f"a{n % 3}", rid=rid)
            else:
                a = send(gateway.front, kind, rid,
                         method="GET" if "lookup" in kind else "POST")
            self.results.append((g, kind, rid, begin, a))

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def share(self, gateways, begin, end):
        """(served, sent) of the first tries sent in that time."""
        some = [r for r in self.results
                if r[0] in gateways and begin <= r[3] < end]
        return len([r for r in some if is_served(r)]), len(some)

    def check_promises(self, s):
        for g, kind, rid, _, a in self.results:
            runs = s.run_count(rid)
            if a.status in (503, 429):
                check(runs == 0, f"{rid} ran and got {a.status}")
                check("Retry-After" in a.headers, f"{rid}: no time")
            if kind == "/order/1":
                check(runs <= 1, f"{rid} ran {runs} times")
            if a.status == 200 and a.whole and kind != "/draft/1":
                check(rid in a.body, f"{rid} got {a.body}")


def is_served(result):
    _, kind, _, _, a = result
    return has_all_events(a) if kind == "/draft/1" else a.status == 200


def check_cut(s, mode, cut, others, names=None, length_s=3.0):
    """The users' rule: from contactMs after a cut began, first tries at the cut
    instances are served at least two thirds as often as those at the others, or
    no more than 10 + 1 in 50 of all fail there."""
    callers = Callers(s, [*cut, *others])
    try:
        time.sleep(0.5)
        begin = time.monotonic() + CONTACT_S
        for g in cut:
            s.cuts.cut(g, mode, names)
        time.sleep(CONTACT_S + length_s)
        end = time.monotonic()
        for g in cut:
            s.cuts.heal(g)
        time.sleep(1.0)
    finally:
        callers.end()
    served, sent = callers.share(cut, begin, end)
    other_served, other_sent = callers.share(others, begin, end)
    print(f"{mode}: {served} of {sent}, the others {other_served} of "
          f"{other_sent}")
    callers.check_promises(s)
    check(other_served >= 0.9 * other_sent, "the others are not served")
    check(served * other_sent * 3 >= 2 * other_served * sent or
          sent - served <= 10 + (sent + other_sent) / 50,
          f"{mode}: {served} of {sent}, the others {other_served} of "
          f"{other_sent}")


def cut_from_all(s):
    """Callers of an instance that is cut from all endpoints are served."""
    for mode in (REFUSE, HANG, RESET_NEW, ONE_WAY):
        check_cut(s, mode, [0], [1, 2])


cut_from_all.system_options = {"gateways": 3, "dcs": 2}
cut_from_all.system_class = CuttableSystem


def cut_all_but_one(s):
    """The same while only one instance reaches the endpoints."""
    for mode in (REFUSE, HANG):
        check_cut(s, mode, [0, 1], [2])


cut_all_but_one.system_options = {"gateways": 3, "dcs": 2}
cut_all_but_one.system_class = CuttableSystem


def cut_from_service(s):
    """The same for a cut from the endpoints of one service, or from some of
    them."""
    check_cut(s, HANG, [0], [1], names=["p0", "p1"])
    check_cut(s, REFUSE, [0], [1], names=["e0", "e1"])
    check_cut(s, HANG, [0], [1], names=["e0", "p0"])


cut_from_service.system_options = {"gateways": 2}
cut_from_service.system_class = CuttableSystem


def silent_for_a_second(s):
    """An endpoint that is silent for a second and goes on is no cut: what it
    runs is answered."""
    for gateway in s.gateways:
        send(gateway.front, "/order/1")
    results = []

    def order(gateway):
        rid = next_id()
        results.append((rid, send(gateway.front, "/order/1", rid)))

    for _ in range(3):
        for paths in s.cuts.paths:
            for path in paths.values():
                path.pause(1.2)
        threads = [threading.Thread(target=order, args=(g,))
                   for g in s.gateways for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    failed = [(rid, a.status) for rid, a in results if a.status != 200]
    check(not failed, f"{len(failed)} of {len(results)}: {failed[:4]}")


silent_for_a_second.system_options = {"gateways": 2, "engines": 0}
silent_for_a_second.system_class = CuttableSystem


def cut_is_no_crash(s):
    """Streams that an instance loses because it is cut do not count as crashes
    of endpoints: the prompt part that they share is not blocked."""
    for engine in s.engines:
        engine.event_interval_s = 0.3

    def draft(i):
        rid = next_id()
        return send_draft(s.gateways[0], f"a{i}", rid=rid, headers={
            "Prompt-Prefix": f"f1:10,{i:x}{rid[3:]}:10"})

    wait_for("served", lambda: all(has_all_events(draft(i)) for i in range(4)))
    for _ in range(2):
        threads = [threading.Thread(target=draft, args=(i,))
                   for i in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.6)
        s.cuts.cut(0, REFUSE)
        for thread in threads:
            thread.join()
        time.sleep(1.0)
        s.cuts.heal(0)
        wait_for("reached again", lambda: has_all_events(draft(0)))
    for gateway in s.gateways:
        lines = find_log_lines(gateway, "lost_in_crash")
        check(not lines, f"{len(lines)} at {gateway.name}: {lines[:2]}")
    check(all(draft(i).status == 200 for i in range(4)), "refused")


cut_is_no_crash.system_options = {"gateways": 2, "engines": 4}
cut_is_no_crash.system_class = CuttableSystem


def tunnel_promises(s):
    """Through another instance the promises are those of a direct connection:
    an answer that breaks off is not complete, work that may have run is not run
    again, a caller that leaves ends the work, and a pause binds both."""
    s.cuts.cut(0, REFUSE)
    wait_for("cut", lambda: (send_draft(s.gateways[0], next_id()), send(
        s.gateways[0].front, "/lookup/1", method="GET"),
        find_log_lines(s.gateways[0], "endpoints_cut"))[2])
    check(send(s.gateways[0].front, "/order/1").status == 200, "no tunnel")
    for plain in s.plains:
        plain.faults = {"lost": 1}
    rid = next_id()
    a = send(s.gateways[0].front, "/order/1", rid)
    check(a.status == 502 and s.run_count(rid) == 1,
          f"{a.status}, ran {s.run_count(rid)} times")
    for plain in s.plains:
        plain.faults = {"reset_body": 1}
    a = send(s.gateways[0].front, "/order/1")
    check(a.status == 502, f"broken off: {a.status} {a.body!r}")
    for plain in s.plains:
        plain.faults = {"cut_end": 1}
    a = send(s.gateways[0].front, "/order/1")
    check(a.status == 200 and a.body.startswith("done by"), f"{a.body!r}")
    for plain in s.plains:
        plain.faults = {"not_run": 9}
    rid = next_id()
    a = send(s.gateways[0].front, "/order/1", rid)
    check(a.status == 503 and s.run_count(rid) == 0, f"{a.status}")
    for plain in s.plains:
        plain.faults = {"pause": 1}
        plain.pause_text = "3"
    while any(p.faults["pause"] for p in s.plains):
        send(s.gateways[0].front, "/order/1")
    time.sleep(0.5)
    before = [len(p.received) for p in s.plains]
    for _ in range(10):
        for gateway in s.gateways:
            send(gateway.front, "/order/1")
    after = [len(p.received) for p in s.plains]
    check(before == after, f"requests in the pause: {before} {after}")
    for engine in s.engines:
        engine.event_interval_s = 0.3
    rid = next_id()
    host, port = s.gateways[0].front.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=8)
    conn.request("POST", "/draft/1", b"x", {
        "Host": HOST, "Request-Id": rid, "Model": f"{MODEL}/a1",
        "Token-Count": "9,9"})
    conn.getresponse().readline()
    conn.sock.close()
    conn.close()
    wait_for("the endpoint sees it", lambda: any(
        r == rid for e in s.engines for r, _ in e.disconnects), 1.5)
    rid = next_id()
    results = []
    thread = threading.Thread(target=lambda: results.append(
        send_draft(s.gateways[0], rid=rid)))
    thread.start()
    wait_for("it runs", lambda: s.run_count(rid) == 1)
    time.sleep(0.4)
    s.gateways[1].kill()
    thread.join()
    a = results[0]
    check(not a.whole or has_all_events(a), f"{a.status} {a.body!r}")


tunnel_promises.system_options = {"gateways": 2}
tunnel_promises.system_class = CuttableSystem


def tunnel_is_for_instances(s):
    """Callers cannot use the port for tunnels to reach an address, and an
    endpoint that is not registered is not connected to."""
    status = send(s.gw.mesh, "/tunnel/none").status
    check(status in (403, 503), f"{status}")
    status = send(s.gw.mesh, "/tunnel/127.0.0.1:1").status
    check(status in (403, 503), f"{status}")
    a = send(s.gw.mesh, "/tunnel/p0")
    check(a.status != 200, f"without other instances: {a.status}")


tunnel_is_for_instances.system_options = {"engines": 0}


def press(s, gateways, length_s, callers, path="/lookup/1"):
    """Callers that each send the next request when the last one is answered.
    Returns [(gateway index, id, answer, seconds)]."""
    end = time.monotonic() + length_s
    results = []

    def run(g):
        while time.monotonic() < end:
            rid = next_id()
            begin = time.monotonic()
            a = send(s.gateways[g].front, path, rid,
                     method="GET" if "lookup" in path else "POST")
            results.append((g, rid, a, time.monotonic() - begin))
            if a.status != 200:
                time.sleep(0.05)  # comes back sooner than it is asked to

    threads = [threading.Thread(target=run, args=(g,))
               for g in gateways for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def check_brittle(s, text, survives, gateways, callers, path="/lookup/1"):
    """The users' rule: in one time in which a service's endpoints are brittle,
    they fall over no more often than 2 + a tenth of their number; and they are
    used meanwhile."""
    for plain in s.plains:
        plain.fell_at = []
        plain.brittle_text = text
    press(s, gateways, CONTACT_S, 2, path)
    for plain in s.plains:
        plain.brittle_max = survives
    results = press(s, gateways, 4.0, callers, path)
    falls = sum(len(p.fell_at) for p in s.plains)
    served = len([r for r in results if r[2].status == 200])
    for plain in s.plains:
        plain.brittle_max = None
        plain.brittle_text = None
    print(f"{text} {path}: {falls} falls, {served} of {len(results)} served")
    check(falls <= 2 + len(s.plains) / 10, f"{text}: {falls} falls")
    for g, rid, a, took in results:
        if a.status == 503:
            check("Retry-After" in a.headers and s.run_count(rid) == 0,
                  f"{rid}: refused and ran {s.run_count(rid)} times")
            check(took < 1.0, f"{rid}: refused after {took:.2f} s")
    capacity = 4.0 * sum(p.room / p.work_s for p in s.plains)
    capacity *= len(gateways) / len(s.gateways)
    check(served > 0.5 * capacity, f"{text}: {served} of {capacity:.0f}")


def brittle_service(s):
    """Brittle endpoints are not pressed until they fall over, by callers of all
    instances or of one, whatever number they name."""
    for plain in s.plains:
        plain.room = plain.slots = 6
        plain.work_s = 0.06
        plain.register()
    for text, survives in (("0", 0), ("1", 1), ("soon", 0)):
        check_brittle(s, text, survives, [0, 1, 2], 12)
    check_brittle(s, "2", 2, [0], 30)
    check_brittle(s, "1", 1, [0, 1, 2], 12, "/order/1")
    results = press(s, [0, 1, 2], 1.0, 12)
    served = len([r for r in results if r[2].status == 200])
    check(served > 60, f"still limited afterwards: {served}")


brittle_service.system_options = {"gateways": 3, "plains": 3, "engines": 0}


SCENARIOS = [brittle_service, cut_lines, cut_is_no_crash, tunnel_promises,
             tunnel_is_for_instances, cut_from_all, cut_all_but_one, cut_from_service,
             silent_for_a_second]

"""Scenarios of tests/gateway.py with planned stops whose signal comes twice, at
the start, in a pause of the process, or in an outage, and with callers that
read slowly."""

import signal
import socket
import threading
import time

from gateway_limits import KEY, LimitGateway, LimitSystem, account_holder
from gateway_silence import add_pauses, pause
from gateway_stops import (
    GRACE_S, KINDS, KeptCaller, add_long_routes, is_true_answer, show,
    stop, write_long_routes)
from gateway_tunnels import TunnelSystem, cut_from_endpoints
from hosted import (
    EVENTS, HOST, MODEL, Gateway, check, http_get, next_id,
    read_to_end, reset_connection, send, send_draft, wait_for, with_grace)
from si_store import Store


ShortGraceSystem = with_grace(4)


class Load:
    """Callers of all kinds at one gateway, each on a connection that was open
    before, one every `every_s` for `for_s`."""

    def __init__(self, gateway, for_s=GRACE_S, every_s=0.25):
        self.gateway = gateway
        self.callers = [KeptCaller(gateway.front)
                        for _ in range(int(for_s / every_s))]
        self.begin = time.monotonic()
        kinds = list(KINDS)
        self.threads = [
            threading.Thread(target=self.run, args=(
                c, kinds[i % len(kinds)], i * every_s))
            for i, c in enumerate(self.callers)]
        for thread in self.threads:
            thread.start()

    def run(self, caller, kind, at_s):
        time.sleep(max(0, self.begin + at_s - time.monotonic()))
        caller.at_s = at_s
        caller.send(kind)

    def judge(self, s, served_min):
        for thread in self.threads:
            thread.join()
        print(f"--- {self.gateway.name}")
        show(self.callers, s)
        wrong = [c for c in self.callers if not is_true_answer(s, c)]
        check(not wrong, f"{self.gateway.name}: {len(wrong)} not answered "
                         f"truthfully, the first at "
                         f"{wrong[0].at_s if wrong else 0:.1f} s")
        served = sum(c.status == 200 and c.whole for c in self.callers)
        check(served >= served_min, f"{self.gateway.name}: {served} served")


def prepare(s, work_s):
    add_long_routes(s)
    for gateway in s.gateways:
        wait_for("routes", lambda g=gateway: send(
            g.front, "/long-safe/1", method="GET", body=None).status == 200)
        wait_for("adapter", lambda g=gateway: send_draft(g).status == 200)
    for plain in s.plains:
        plain.work_s = work_s
    for engine in s.engines:
        engine.event_interval_s = work_s / EVENTS


class Exit(threading.Thread):
    """Watches the end of a process that was told to stop."""

    def __init__(self, gateway):
        self.began = stop(gateway)
        self.gateway = gateway
        super().__init__(target=self.watch, daemon=True)
        self.start()

    def watch(self):
        self.gateway.popen.wait()
        self.took_s = time.monotonic() - self.began

    def check(self, grace_s=GRACE_S):
        """The process ended by itself, with 0 and within the grace."""
        self.join(max(0, self.began + grace_s - time.monotonic()))
        check(not self.is_alive(), f"{self.gateway.name}: still runs")
        print(f"{self.gateway.name}: ended after {self.took_s:.1f} s")
        check(self.took_s < grace_s, f"{self.gateway.name}: too late")
        check(self.gateway.popen.returncode == 0,
              f"exit {self.gateway.popen.returncode}: "
              f"{self.gateway.log()[-300:]}")


def stop_signalled_again(s):
    """More signals during a stop change nothing; a grace that was changed just
    before is kept to; two instances stop at once."""
    twice, shorter = s.gateways[:2]
    prepare(s, 0.4)
    shorter.stop_grace_s = 3
    shorter.write_settings(s.store.addr)
    shorter.popen.send_signal(signal.SIGHUP)
    wait_for("reloaded", lambda: "event=reloaded" in shorter.log())
    loads = [Load(g, 4, 0.1) for g in s.gateways]
    time.sleep(0.5)
    exits = [Exit(g) for g in s.gateways]
    time.sleep(1)
    twice.popen.send_signal(signal.SIGTERM)
    time.sleep(1)
    twice.popen.send_signal(signal.SIGINT)
    for gone in exits:
        gone.check(gone.gateway.stop_grace_s)
    for load in loads:
        load.judge(s, 4)


stop_signalled_again.system_class = ShortGraceSystem
stop_signalled_again.system_options = {"gateways": 4}


def stop_in_outage(s):
    """A stop during an outage of the store, and one during a pause of all
    endpoints: each request is answered, and the process ends in time."""
    prepare(s, 0.8)
    replicas = s.plains + s.engines
    add_pauses(replicas)
    s.store_proxies[0].silence()
    loads = [Load(g) for g in s.gateways]
    time.sleep(0.5)
    exits = [Exit(g) for g in s.gateways]
    time.sleep(1)
    pause(replicas, 3)
    for gone in exits:
        gone.check()
    for load in loads:
        load.judge(s, 4)


stop_in_outage.system_options = {"gateways": 2, "proxied": True}


def stop_while_frozen(s):
    """The signal comes while the process is frozen: the grace counts from the
    signal, and what is in progress or came meanwhile is answered. Guards
    against a process that is killed with requests in progress because it counts
    the grace from the end of the pause."""
    prepare(s, 2.4)
    for engine in s.engines:
        engine.event_interval_s = 12 / EVENTS
    loads = [Load(g, 4) for g in s.gateways]
    time.sleep(1)
    for gateway in s.gateways:
        gateway.popen.send_signal(signal.SIGSTOP)
    time.sleep(0.2)
    exits = [Exit(s.gateways[0])]
    time.sleep(2.8)
    s.gateways[0].popen.send_signal(signal.SIGCONT)
    time.sleep(4)
    exits.append(Exit(s.gateways[1]))
    time.sleep(3)
    s.gateways[1].popen.send_signal(signal.SIGCONT)
    for gone in exits:
        gone.check()
    for load in loads:
        load.judge(s, 0)


stop_while_frozen.system_options = {"gateways": 2}


def stop_at_start(s):
    """A stop before the first configuration, and at several times of the start,
    ends the process with 0 at once."""
    store = Store()
    store.mode = "silent"
    gateways = [Gateway(store.addr, f"g{5 + i}", s.folder.name)
                for i in range(4)]
    try:
        exits = []
        for i, gateway in enumerate(gateways):
            wait_for("it listens", gateway.has_started)
            if i == 0:
                wait_for("it answers", lambda: send(
                    gateways[0].front, "/order/1").status == 503)
            exits.append(Exit(gateway))
        gateways.append(Gateway(store.addr, "g9", s.folder.name))
        wait_for("it listens", gateways[-1].has_started)
        exits.append(Exit(gateways[-1]))
        for gone in exits:
            gone.check(4)
    finally:
        for gateway in gateways:
            gateway.kill()


LARGE_BYTES = 14 * 1024 * 1024
EVENT_BYTES = 16 * 1024


def answer_large(replica, req, rid):
    """A large answer, or a stream of as many bytes."""
    head = replica.response_head(rid)
    if not replica.engine:
        head += f"Content-Length: {LARGE_BYTES}\r\n\r\n"
        req.sock.sendall(head.encode() + b"x" * LARGE_BYTES)
        return True
    head += ("Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n")
    req.sock.sendall(head.encode())
    for i in range(1, LARGE_BYTES // EVENT_BYTES + 1):
        event = b"id: %d\ndata: %s\n\n" % (i, b"x" * EVENT_BYTES)
        req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    req.sock.sendall(b"0\r\n\r\n")
    return True


def open_raw(address, receive_bytes=None):
    host, port = address.split(":")
    sock = socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.settimeout(15)
    sock.connect((host, int(port)))
    return sock


def raw_request(kind, rid, fields=""):
    return (f"{KINDS[kind]} /long-{kind}/{rid} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {rid}\r\nDeadline-Ms: 12000\r\n"
            f"Model: {MODEL}/a1\r\nToken-Count: 100,20\r\n{fields}"
            "Content-Length: 0\r\n\r\n").encode()


class SlowReader(threading.Thread):
    """Sends a request at a time, and reads its answer over `read_s`."""

    def __init__(self, front, kind, at, read_s):
        super().__init__()
        self.sock = open_raw(front, 65536)
        self.kind, self.at, self.read_s = kind, at, read_s
        self.rid = next_id()
        self.size, self.whole, self.end = 0, False, b""
        self.start()

    def run(self):
        time.sleep(max(0, self.at - time.monotonic()))
        begin = time.monotonic()
        self.sock.sendall(raw_request(self.kind, self.rid))
        try:
            while data := self.sock.recv(65536):
                self.size += len(data)
                self.end = (self.end + data)[-5:]
                if self.kind == "safe":
                    self.whole = self.size > LARGE_BYTES
                else:
                    self.whole = self.end == b"0\r\n\r\n"
                if self.whole:
                    break
                due = begin + self.size / LARGE_BYTES * self.read_s
                time.sleep(max(0, due - time.monotonic()))
        except OSError:
            pass
        self.took_s = time.monotonic() - begin
        self.sock.close()


def slow_readers_of_stop(s):
    """Large answers to slow readers over a planned stop are sent to their end
    if there is time, and visibly broken off if not. Guards against an answer
    that is cut at a fixed time after its connection was closed."""
    prepare(s, 0)
    for replica in s.plains + s.engines:
        replica.answer_with = answer_large
    begin = time.monotonic() + 0.2
    cells = [(kind, at_s, read_s) for kind in ("safe", "brief", "draft")
             for at_s, read_s in ((0, 6.5), (0.9, 6.8), (0.3, 30))]
    readers = [SlowReader(s.gw.front, kind, begin + at_s, read_s)
               for kind, at_s, read_s in cells]
    time.sleep(begin + 0.7 - time.monotonic())
    gone = Exit(s.gw)
    gone.check()
    for (kind, at_s, read_s), r in zip(cells, readers):
        r.join()
        print(f"{kind} from {at_s} s, over {read_s} s: {r.size} bytes, "
              f"{'whole' if r.whole else 'cut'} after {r.took_s:.1f} s")
    for (kind, at_s, read_s), r in zip(cells, readers):
        check(r.whole == (read_s < GRACE_S), f"{kind} from {at_s} s over "
              f"{read_s} s: {'whole' if r.whole else 'cut'}")


def read_answers(sock):
    """Returns [(status, body)] of the whole answers on a connection."""
    data, _ = read_to_end(sock)
    sock.close()
    out = []
    while b"\r\n\r\n" in data:
        head, rest = data.split(b"\r\n\r\n", 1)
        size = [int(line[15:]) for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")]
        if not size or len(rest) < size[0]:
            break
        out.append((int(head[9:12]), rest[:size[0]].decode()))
        data = rest[size[0]:]
    return out


def pipelined_in_stop(s):
    """A second request on a connection, sent together with the first one, while
    it runs, or as its answer comes, is answered or not run."""
    prepare(s, 0.6)
    cells = []

    def run(cell):
        at, gap_s, ids, sock = cell
        time.sleep(max(0, at - time.monotonic()))
        first, second = (raw_request("unsafe", rid) for rid in ids)
        try:
            if gap_s == 0:
                sock.sendall(first + second)
            else:
                sock.sendall(first)
                time.sleep(gap_s)
                sock.sendall(second)
        except OSError:
            pass
        cell.append(read_answers(sock))

    begin = time.monotonic() + 0.3
    for i in range(20):
        for gap_s in (0, 0.3, 0.6):
            cells.append([begin + i * 0.2, gap_s, (next_id(), next_id()),
                          open_raw(s.gw.front)])
    threads = [threading.Thread(target=run, args=(c,)) for c in cells]
    for thread in threads:
        thread.start()
    time.sleep(0.6)
    gone = Exit(s.gw)
    for thread in threads:
        thread.join()
    gone.check(4)
    for at, gap_s, ids, _, answers in cells:
        what = f"at {at - begin:.1f} s, gap {gap_s}: {answers}"
        print(what, [s.run_count(rid) for rid in ids])
        for i, rid in enumerate(ids):
            status = answers[i][0] if i < len(answers) else 0
            ran = s.run_count(rid)
            check(ran == 0 if status in (0, 503) else
                  status == 200 and rid in answers[i][1], what)


pipelined_in_stop.system_class = ShortGraceSystem


def calls_of_others_in_stop(s):
    """Calls to the other ports that are half sent when idle connections are
    closed in a planned stop get their answer."""
    gw = s.gw
    calls = [(gw.ready, "/api/readiness"), (gw.metrics, "/metrics"),
             (gw.metrics, "/state"),
             (gw.directory, f"/api/resolve?name={HOST}&region=r1"),
             (gw.mesh, "/rows")]
    socks = [[open_raw(address) for address, _ in calls] for _ in range(12)]
    answers = {}

    def run(i, k):
        time.sleep(0.15 * i)
        half = f"GET {calls[k][1]} HTTP/1.1\r\nHost: x\r\n".encode()
        try:
            socks[i][k].sendall(half[:-5])
            time.sleep(0.4)
            socks[i][k].sendall(half[-5:] + b"\r\n")
        except OSError:
            return
        answers[i, k] = read_answers(socks[i][k])

    gone = Exit(gw)
    threads = [threading.Thread(target=run, args=(i, k))
               for i in range(len(socks)) for k in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    gone.check()
    for k, (_, path) in enumerate(calls):
        print(path, [[status for status, _ in answers.get((i, k), [])]
                     for i in range(len(socks))])
    missing = [(i, calls[k][1]) for i in range(len(socks))
               for k in range(len(calls)) if not answers.get((i, k))]
    check(not missing, f"{len(missing)} without an answer: {missing[0:1]}")


class OverloadGateway(LimitGateway):
    def write_settings(self, store, extra=""):
        super().write_settings(store, "overload: true\n" + extra)


class WaitSystem(LimitSystem):
    gateway_class = OverloadGateway


def put_long_limits(s, version, rate, burst):
    write_long_routes(s, version, tenants=[{
        "name": "w1", "apiKeys": [KEY], "unit": "token_count",
        "plainTokens": 400, "ratePerS": rate, "burst": burst}])
    for gateway in s.gateways:
        wait_for("limit", lambda g=gateway: "limit workspace=" in g.state())


def level(gateway):
    """Tokens left in the workspace's account, at its holder."""
    return max([float(field[6:]) for line in gateway.state().splitlines()
                if line.startswith("limit ") and " here=1 " in line
                for field in line.split() if field.startswith("level=")],
               default=-1.0)


def call(s, gateway, kind, tokens, fields, out):
    rid = next_id()
    a = send(gateway.front, f"/long-{kind}/{rid}", rid, method=KINDS[kind],
             headers={"Authorization": f"Bearer {KEY}", "Deadline-Ms": "9000",
                      "Model": f"{MODEL}/a1", "Token-Count": tokens, **fields})
    a.rid, a.kind = rid, kind
    out.append(a)


def send_waiting(s, gateway, for_s, stop_at_s, begin_stop):
    """Sends requests that wait, every 0.2 s; begin_stop() is called after
    `stop_at_s`. Judges the answers and returns how many requests ran."""
    answers, threads = [], []
    begin = time.monotonic()
    for i in range(int(for_s / 0.2)):
        if i == int(stop_at_s / 0.2):
            begin_stop()
        for kind, tokens, fields in (
                ("draft", "90,10", {"Model": f"{MODEL}/b{i}"}),
                ("brief", "90,10", {"Model": f"{MODEL}/c{i}"}),
                ("draft", "9,9", {"Resumes": f"none{i}", "Last-Event-Id": "2"}),
                ("safe", "9,9", {})):
            threads.append(threading.Thread(target=call, args=(
                s, gateway, kind, tokens, fields, answers)))
            threads[-1].start()
        time.sleep(max(0, begin + 0.2 * (i + 1) - time.monotonic()))
    for thread in threads:
        thread.join()
    counts = {}
    for a in answers:
        what = (a.kind, a.status, "whole" if a.whole else "cut",
                s.run_count(a.rid))
        counts[what] = counts.get(what, 0) + 1
    print(f"{gateway.name}: {counts}")
    for a in answers:
        runs = s.run_count(a.rid)
        check(runs == 0 and "Retry-After" in a.headers
              if a.status in (429, 503) else is_true_answer(s, a),
              f"{a.kind} {a.rid}: {a.status} ran {runs}")
    return sum(s.run_count(a.rid) for a in answers)


def waits_in_stop(s):
    """Requests that wait for an adapter load, for the account of their
    workspace, whose holder is frozen, or for the version of their stream, are
    refused as not run or served, and their tokens are given back."""
    put_long_limits(s, 3, 6000, 12000)
    for gateway in s.gateways:
        wait_for("served", lambda g=gateway: send_draft(g, headers={
            "Authorization": f"Bearer {KEY}"}).status == 200)
    holder = wait_for("holder", lambda: account_holder(s))
    leaver, other = [g for g in s.gateways if g is not holder]
    for engine in s.engines:
        engine.load_s = 30
    wait_for("a full account", lambda: level(holder) > 11000, 20)
    put_long_limits(s, 4, 10, 12000)
    wait_for("a low rate", lambda: all(
        " rate_per_s=10 " in g.state() for g in s.gateways))
    before = level(holder)
    exits = []
    ran = send_waiting(s, leaver, 3.4, 0.6, lambda: exits.append(Exit(leaver)))
    exits[0].check()
    time.sleep(1)
    after = level(holder)
    print(f"account: {before:.0f} before, {after:.0f} after, {ran} ran")
    check(after > before - 300 - 20 * ran, "tokens are not given back")

    def freeze_holder():
        holder.popen.send_signal(signal.SIGSTOP)
        exits.append(Exit(other))

    send_waiting(s, other, 3, 1, freeze_holder)
    exits[1].check()
    holder.popen.send_signal(signal.SIGCONT)


waits_in_stop.system_class = WaitSystem
waits_in_stop.system_options = {"gateways": 3}


CutSystem = with_grace(4, TunnelSystem)


def stop_around_tunnels(s):
    """The instance in the middle of tunnels stops, then the one of the callers:
    each request is answered truthfully, and orders do not go into a tunnel that
    is about to end."""
    near, middle = s.gateways[:2]
    prepare(s, 0.01)
    cut_from_endpoints(s)
    for plain in s.plains:
        plain.work_s = 0.8
    for engine in s.engines:
        engine.event_interval_s = 0.8
    load = Load(near, 4, 0.1)
    wait_for("tunnels", lambda: [
        line for line in http_get(middle.metrics, "/state")[1].split()
        if line.startswith("tunnels=") and int(line[8:]) > 3])
    time.sleep(0.5)
    gone = Exit(middle)
    gone.check(4)
    load.judge(s, 8)
    for engine in s.engines:
        engine.event_interval_s = 0.1
    lost = [c for c in load.callers if c.kind == "unsafe" and c.status != 200]
    check(not lost, f"{len(lost)} orders without their answer")
    load = Load(near, 4, 0.1)
    time.sleep(0.5)
    gone = Exit(near)
    gone.check(4)
    load.judge(s, 4)


stop_around_tunnels.system_class = CutSystem
stop_around_tunnels.system_options = {"gateways": 3}


def lost_in_stop(s):
    """Requests that their endpoint loses during a stop are sent again if there
    is time and they may run twice, else answered truthfully."""
    prepare(s, 0.4)
    load = Load(s.gw, 4, 0.1)
    time.sleep(0.3)
    gone = Exit(s.gw)
    seen = set()

    def lose_first(replica, req, rid):
        if rid in seen or int(rid[3:]) % 8 > 3:
            answer = (replica.answer_stream if replica.engine
                      else replica.answer_plain)
            return answer(req, rid)
        seen.add(rid)
        time.sleep(0.2)
        reset_connection(req.sock)
        return False

    for replica in s.plains + s.engines:
        replica.answer_with = lose_first
    gone.check(4)
    load.judge(s, 4)
    again = [c for c in load.callers
             if c.status == 200 and s.run_count(c.rid) > 1]
    check(again, "none was sent again")


lost_in_stop.system_class = ShortGraceSystem


SCENARIOS = [
    stop_signalled_again, stop_in_outage, stop_while_frozen, stop_at_start,
    slow_readers_of_stop, pipelined_in_stop, calls_of_others_in_stop,
    waits_in_stop, stop_around_tunnels, lost_in_stop,
]

#!/usr/bin/env python3
"""Crowds of callers that keep to no limit, before fg-gateway processes. What is
judged does not depend on the speed of the machine: each process lives, its memory
and its descriptors stay under a bound, and an ordinary request on the front and on
the directory is answered afterwards.

Usage: tests/crowds.py [NAME ...]     all scenarios when none is named
The scenarios run one after the other, apart from other load.
"""

import os
import resource
import signal
import subprocess
import sys
import threading
import time

from crowd import (
    Crowd, chunked_head, chunks, connect, length_head, request_head)
from gateway import run
from gateway_cuts import CuttableSystem
from cut_path import REFUSE
from hosted import (
    FewDescriptorsGateway, Gateway, HOST, Replica, System, check, http_get,
    make_config, send, wait_for)

MIB = 1 << 20
BODY_MAX = 4 * MIB  # maxBodyBytes of the users' deployments
MACHINE_MB = 160  # memory of the users' smallest machine
REST_MB = 32  # of an instance without callers
CROWD = 64  # callers; CROWD * BODY_MAX is far above MACHINE_MB
PLACES = 16  # connections_max, where it is lowered
OVER_PLACES = 40  # callers before so few places
SLOW_MS = 20000


def add_route(name, kind, timeout_ms=SLOW_MS, attempts=1):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "service": "crowded",
            "maxAttempts": attempts}


def put_limits(s, version=2, **limits):
    """Puts the routes of this file into force, and limits of the pages."""
    config = make_config(version, extra_routes=[
        add_route("slow", "unsafe"), add_route("big", "safe"),
        add_route("flow", "streaming")])
    config["services"].append({"name": "crowded", "healthPath": "/health"})
    config["limits"] = {"maxHeaderBytes": 8192, "maxBodyBytes": BODY_MAX,
                        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                        **limits}
    s.store.put("op", "config", config)
    for gateway in s.gateways:
        wait_for("the configuration", lambda g=gateway:
                 f" configuration={version} " in g.state())


class Crowded:
    """A system with a service of its own for the requests of a crowd: ordinary
    requests go to other endpoints."""

    crowded = None

    def __init__(self, **options):
        super().__init__(**{"engines": 1, **options})
        put_limits(self)
        for gateway in self.gateways:
            wait_for("the service of the crowd", lambda g=gateway: send(
                g.front, "/big/1", method="GET", body=None).status == 200)

    def gateway_store(self, store):
        if self.crowded is None:
            self.crowded = Replica(self.store, "c0", "crowded", False)
            self.plains.append(self.crowded)
        return super().gateway_store(store)


class CrowdSystem(Crowded, System):
    pass


class FewPlacesGateway(Gateway):
    def write_settings(self, store, extra=f"connections_max: {PLACES}\n"):
        super().write_settings(store, extra)


class FewPlacesSystem(CrowdSystem):
    gateway_class = FewPlacesGateway


class FewDescriptorsSystem(CrowdSystem):
    gateway_class = FewDescriptorsGateway


class TunnelCrowdSystem(Crowded, CuttableSystem):
    def __init__(self, **options):
        super().__init__(gateways=2, **options)


# ---- What is judged ----


def memory_mb(gateway, field="VmHWM"):
    """Resident memory: the most so far, or now with the field VmRSS."""
    with open(f"/proc/{gateway.popen.pid}/status", encoding="ascii") as f:
        for line in f:
            if line.startswith(field + ":"):
                return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


def unread_mb(gateway):
    """What the kernel holds of the process's connections: it counts as memory of
    the users' machines."""
    folder = f"/proc/{gateway.popen.pid}/fd"
    inodes = set()
    for fd in os.listdir(folder):
        try:
            target = os.readlink(os.path.join(folder, fd))
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as f:
        for line in f.readlines()[1:]:
            fields = line.split()
            if fields[9] in inodes and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
    return total / MIB


def count_descriptors(gateway):
    return len(os.listdir(f"/proc/{gateway.popen.pid}/fd"))


def check_lives(gateway):
    check(gateway.popen.poll() is None,
          f"{gateway.name} has ended with {gateway.popen.poll()}")


def check_memory(gateway, bound_mb=MACHINE_MB):
    check_lives(gateway)
    mb = memory_mb(gateway)
    unread = unread_mb(gateway)
    print(f"{gateway.name}: {mb:.0f} MB at most, {unread:.0f} MB unread")
    check(mb + unread <= bound_mb,
          f"{gateway.name} took {mb:.0f} MB and {unread:.0f} MB unread of "
          f"{bound_mb}")


def check_served(gateway, host=HOST):
    """An ordinary request, also after a refusal that asks to come back, and a
    lookup are answered."""
    check_lives(gateway)
    status = 0
    for _ in range(5):
        a = send(gateway.front, "/order/1")
        status = a.status
        if status not in (429, 503):
            break
        time.sleep(float(a.headers.get("Retry-After", "0")))
    check(status == 200, f"an ordinary request got {status}")
    status, _ = http_get(gateway.directory,
                         f"/api/resolve?name={host}&region=r1&zone=dc1")
    check(status == 200, f"an address lookup got {status}")


def check_all(s, bound_mb=MACHINE_MB):
    for gateway in s.gateways:
        check_memory(gateway, bound_mb)
        check_served(gateway)


def check_rest(gateway):
    """What was taken for callers is given back when they have left."""
    wait_for(f"{REST_MB} MB or less after the crowd", lambda: memory_mb(
        gateway, "VmRSS") <= REST_MB)


# ---- Memory: bodies ----


def push_bodies(s, address, data, then=None):
    """The crowd sends, stays, and goes; ordinary callers are served meanwhile."""
    with Crowd(address, CROWD, data) as crowd:
        crowd.push()
        if then is not None:
            crowd.drip(then)
        check_all(s)
    check_rest(s.gw)
    check_served(s.gw)


def unfinished_chunked_bodies(s):
    """Bodies in large chunks that stop short of the limit and drip on."""
    data = chunked_head(deadline_ms=0) + chunks(BODY_MAX - 65536, 65536)
    push_bodies(s, s.gw.front, data, b"1\r\nx\r\n")


def unfinished_announced_bodies(s):
    """Bodies with a length that stop short of their end."""
    data = (length_head(BODY_MAX, deadline_ms=0) +
            b"x" * (BODY_MAX - 1024))
    push_bodies(s, s.gw.front, data, b"x")


def unfinished_bodies_in_small_chunks(s):
    """Bodies in chunks of 64 bytes."""
    data = chunked_head(deadline_ms=0) + chunks(BODY_MAX - 65536, 64)
    push_bodies(s, s.gw.front, data, b"1\r\nx\r\n")


def unfinished_bodies_in_single_bytes(s):
    """Bodies in chunks of one byte, each of which takes six on the wire."""
    data = chunked_head(deadline_ms=0) + chunks(11 * MIB // 4, 1)
    push_bodies(s, s.gw.front, data, b"1\r\nx\r\n")


def bodies_beyond_the_limit(s):
    """Chunked bodies that are sent on and on."""
    data = chunked_head(deadline_ms=0) + chunks(2 * BODY_MAX, 65536)
    push_bodies(s, s.gw.front, data)


def announced_bodies_beyond_the_limit(s):
    """A body that is announced as too large is not read, and each caller learns
    why."""
    data = length_head(200 * MIB) + b"x" * (8 * MIB)
    with Crowd(s.gw.front, 40, data) as crowd:
        crowd.push()
        statuses = crowd.read_answers()
        check_all(s, REST_MB + 16)
    check(statuses == [413] * 40, f"{statuses}")


def ordinary_client_over_the_limit(s):
    """A client that sends its whole body before it reads learns that the body is
    too large."""
    for address in (s.gw.front, s.gw.directory):
        statuses = [send(address, "/order/1", body=b"x" * (2 * BODY_MAX)).status
                    for _ in range(20)]
        check(statuses == [413] * 20, f"{statuses}")
    check_all(s, REST_MB + 16)


def bodies_that_give_way_are_answered(s):
    """Whose body gives way to others learns that it has not run, and when to come
    back."""
    data = chunked_head(deadline_ms=0) + chunks(BODY_MAX - 65536, 65536)
    with Crowd(s.gw.front, CROWD, data) as crowd:
        crowd.push()
        ended = [m for m in crowd.members if not m.open]
        check(ended, "all bodies are held")
        check(not [m for m in ended if m.status != 503 or
                   b"Retry-After" not in m.answer],
              f"{[m.answer[:40] for m in ended]}")
        check_all(s)


def check_bodies_on(s, address):
    data = chunked_head(path="/x") + chunks(BODY_MAX - 65536, 65536)
    with Crowd(address, CROWD, data) as crowd:
        crowd.push()
        check_all(s, REST_MB + 16)
    data = length_head(BODY_MAX, path="/x") + b"x" * (BODY_MAX - 1024)
    with Crowd(address, CROWD, data) as crowd:
        crowd.push()
        check_all(s, REST_MB + 16)


def bodies_on_directory(s):
    """No page of the directory takes a body."""
    check_bodies_on(s, s.gw.directory)


def bodies_on_readiness(s):
    check_bodies_on(s, s.gw.ready)


def bodies_on_metrics(s):
    check_bodies_on(s, s.gw.metrics)


def bodies_on_relay(s):
    check_bodies_on(s, s.gw.mesh)


def whole_body(path, work_ms):
    return request_head(
        f"{path}?work_ms={work_ms}", deadline_ms=SLOW_MS,
        fields=(f"Content-Length: {BODY_MAX}",))


def push_whole_bodies(s, gateway, path, work_ms):
    """Whole bodies to a service that is slow. Who is refused did not run."""
    ids = []

    def make():
        head, rid = whole_body(path, work_ms)
        ids.append(rid)
        return head + b"x" * BODY_MAX

    with Crowd(gateway.front, CROWD, make) as crowd:
        crowd.push()
        check_all(s)
        for m, rid in zip(crowd.members, ids):
            if m.open:
                m.read_some()
            if m.status in (408, 413, 429, 503):
                check(s.run_count(rid) == 0, f"{m.status}, but it ran")
    check_all(s)


def whole_bodies_to_slow_service(s):
    push_whole_bodies(s, s.gw, "/slow/1", SLOW_MS - 4000)
    check_rest(s.gw)


def whole_bodies_through_instance(s):
    """The first instance reaches the endpoints through the second one only."""
    s.cuts.cut(0, REFUSE)
    wait_for("through the other", lambda: send(
        s.gateways[0].front, "/order/1").status == 200)
    push_whole_bodies(s, s.gateways[0], "/slow/1", SLOW_MS - 4000)


whole_bodies_through_instance.system_class = TunnelCrowdSystem


def idle_connections_after_bodies(s):
    """A connection that waits for its next request does not keep the last body."""
    data = length_head(BODY_MAX, path="/order/1") + b"x" * BODY_MAX
    crowds = []
    try:
        for _ in range(CROWD // 4):
            crowd = Crowd(s.gw.front, 4, data).push()
            crowd.read_answers(limit_s=20)
            crowds.append(crowd)
        check_all(s)
    finally:
        for crowd in crowds:
            crowd.close()


# ---- Memory: other bytes ----


def requests_behind_a_request(s):
    """Bytes that follow a request in progress."""
    head, _ = request_head(f"/slow/1?work_ms={SLOW_MS - 4000}",
                           deadline_ms=SLOW_MS, fields=("Content-Length: 1",))
    with Crowd(s.gw.front, 1000, head + b"x" + b"y" * 300000) as crowd:
        crowd.push()
        check_all(s)


def answers_not_read(s):
    """Callers that do not read answers of 3 MB."""
    body = b"z" * (3 * MIB)

    def answer(replica, req, rid):
        del replica
        req.answer(200, body, [("Request-Id", rid), ("Response-Stamp", "s")])
        return True

    s.crowded.answer_with = answer
    data = request_head("/big/1", "GET")[0]
    with Crowd(s.gw.front, 200, data, reads=False) as crowd:
        crowd.push()
        time.sleep(1)  # answers arrive
        check_all(s)
    check_rest(s.gw)


def push_streams(s):
    """Callers that do not read streams of large events."""
    event = b"data: " + b"z" * 60000 + b"\n\n"

    def stream(replica, req, rid):
        req.sock.sendall(replica.response_head(
            rid, "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
        try:
            for i in range(1, 2000):
                text = b"id: %d\n%s" % (i, event)
                req.sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))
        except OSError:
            pass
        return False

    s.crowded.answer_with = stream
    data = request_head("/flow/1", fields=("Content-Length: 1",),
                        deadline_ms=SLOW_MS)[0] + b"x"
    with Crowd(s.gw.front, 200, data, reads=False) as crowd:
        crowd.push()
        time.sleep(2)  # the streams come to a stand
        check_all(s)
    for gateway in s.gateways:
        check_rest(gateway)


def streams_not_read(s):
    push_streams(s)


def streams_not_read_through_instance(s):
    """The instance in the middle does not hold what the first one cannot pass
    on."""
    s.cuts.cut(0, REFUSE)
    wait_for("through the other", lambda: send(
        s.gateways[0].front, "/order/1").status == 200)
    push_streams(s)


streams_not_read_through_instance.system_class = TunnelCrowdSystem


def heads_without_end(s):
    """Heads of 8 KB that never end, on as many connections as there are places."""
    data = (b"POST /order/1 HTTP/1.1\r\nHost: " + HOST.encode() +
            b"\r\nX: " + b"y" * 8000)
    with Crowd(s.gw.front, 1024, data) as crowd:
        crowd.push()
        crowd.drip(b"y", 0.5)
        check_all(s)


def chunk_extension_without_end(s):
    data = chunked_head(deadline_ms=0) + b"1;" + b"e" * (BODY_MAX * 2)
    with Crowd(s.gw.front, 16, data) as crowd:
        crowd.push()
        check_all(s, REST_MB + 16)


def trailer_without_end(s):
    data = (chunked_head(deadline_ms=0) + b"1\r\nx\r\n0\r\n" +
            b"T: " + b"t" * (BODY_MAX * 2))
    with Crowd(s.gw.front, 16, data) as crowd:
        crowd.push()
        check_all(s, REST_MB + 16)


# ---- Places ----


def fill_places(s, address, data, drip=None, every_s=0.2):
    """More callers than places stay; ordinary ones are still served."""
    with Crowd(address, OVER_PLACES, data) as crowd:
        crowd.push()
        if drip is not None:
            crowd.drip(drip, every_s)
        for _ in range(3):
            check_all(s)
            check(http_get(s.gw.ready, "/api/readiness")[0] == 200,
                  "not ready")
            check(http_get(s.gw.metrics, "/metrics")[0] == 200, "no metrics")
            time.sleep(0.3)
    check_served(s.gw)


def places_taken_by_dripping_bodies(s):
    fill_places(s, s.gw.front, chunked_head(deadline_ms=0), b"1\r\nx\r\n")


def places_taken_by_dripping_heads(s):
    fill_places(s, s.gw.front, b"POST /order/1 HTTP/1.1\r\nX: ", b"y")


def places_taken_by_silence(s):
    fill_places(s, s.gw.front, b"")


def places_taken_after_an_answer(s):
    """Connections that wait for their next request give way too."""
    fill_places(s, s.gw.front, request_head("/none/1", "GET")[0])


def places_taken_on_directory(s):
    fill_places(s, s.gw.directory, b"GET /api/resolve HTTP/1.1\r\nX: ", b"y")


def places_taken_on_readiness(s):
    fill_places(s, s.gw.ready, b"GET /api/readiness HTTP/1.1\r\nX: ", b"y")


def places_taken_on_metrics(s):
    fill_places(s, s.gw.metrics, b"GET /metrics HTTP/1.1\r\nX: ", b"y")


def places_taken_on_relay(s):
    fill_places(s, s.gw.mesh, b"GET /rows HTTP/1.1\r\nX: ", b"y")


for scenario in (
        places_taken_by_dripping_bodies, places_taken_by_dripping_heads,
        places_taken_by_silence, places_taken_after_an_answer,
        places_taken_on_directory, places_taken_on_readiness,
        places_taken_on_metrics, places_taken_on_relay):
    scenario.system_class = FewPlacesSystem


def descriptors_taken(s):
    """More callers than the process has descriptors: endpoints, the store and
    the other ports are still reached."""
    with Crowd(s.gw.front, 2 * FewDescriptorsGateway.descriptors) as crowd:
        crowd.push()
        for _ in range(3):
            check_all(s)
            time.sleep(0.3)
        put_limits(s, 3)  # the store is still read
    check_served(s.gw)


descriptors_taken.system_class = FewDescriptorsSystem


# ---- Time ----


def check_ends(s, data, drip):
    """The callers' requests are ended, whatever they still send."""
    with Crowd(s.gw.front, 8, data) as crowd:
        crowd.push()
        crowd.drip(drip)
        statuses = crowd.read_answers(limit_s=40)
        check(statuses == [408] * 8, f"{statuses}")
    check_all(s)


def dripping_body_ends(s):
    """A body that arrives byte by byte ends with the time that its caller
    waits."""
    check_ends(s, chunked_head(deadline_ms=4000), b"1\r\nx\r\n")


def dripping_body_without_deadline_ends(s):
    """Without one, it ends with the limit for all requests."""
    s.gw.write_settings(s.store.addr, "read_timeout_s: 4\n")
    s.gw.popen.send_signal(signal.SIGHUP)
    check_ends(s, chunked_head(deadline_ms=0), b"1\r\nx\r\n")


def dripping_chunk_extension_ends(s):
    check_ends(s, chunked_head(deadline_ms=0) + b"1\r\nx\r\n1;", b"e")


def dripping_trailer_ends(s):
    check_ends(s, chunked_head(deadline_ms=0) + b"1\r\nx\r\n0\r\nT: ", b"t")


# ---- Refusals, ends and stops ----


def no_invitation_to_a_refused_body(s):
    """100-continue is not answered with 100 where the body will be refused."""
    for address, length, status in (
            (s.gw.front, BODY_MAX + 1, 413), (s.gw.directory, 10000, 413),
            (s.gw.ready, 10000, 413), (s.gw.metrics, 10000, 413),
            (s.gw.mesh, 10000, 413)):
        head = request_head(fields=(f"Content-Length: {length}",
                                    "Expect: 100-continue"))[0]
        with Crowd(address, 4, head) as crowd:
            crowd.push()
            statuses = crowd.read_answers()
            check(statuses == [status] * 4, f"{address}: {statuses}")
            check(not [m for m in crowd.members if b" 100 " in m.answer],
                  "invited")
    head = request_head(f"/api/resolve?name={HOST}&region=r1&zone=dc1", "GET",
                        fields=("Content-Length: 1", "Expect: 100-continue"))[0]
    with Crowd(s.gw.directory, 1, head + b"x") as crowd:
        crowd.push()
        check(crowd.read_answers() == [200], "a page with a body")
    head = request_head("/none/1", fields=("Content-Length: 9",
                                           "Expect: 100-continue"))[0]
    with Crowd(s.gw.front, 1, head) as crowd:
        crowd.push()
        check(crowd.read_answers() == [404] and
              b" 100 " not in crowd.members[0].answer, "invited to nothing")
    head = request_head(fields=("Content-Length: 1", "Expect: 100-continue"))[0]
    with Crowd(s.gw.front, 1, head) as crowd:
        crowd.push()
        wait_for("the invitation", lambda: (
            crowd.members[0].read_some(),
            b" 100 " in crowd.members[0].answer)[1])
    check_all(s)


def callers_that_end_in_the_middle(s):
    """Callers that reset, or close their side, at any point of a request."""
    before = count_descriptors(s.gw)
    data = length_head(BODY_MAX) + b"x" * MIB
    for cut in (1, 20, 60, 200, 70000, len(data)):
        with Crowd(s.gw.front, CROWD, data[:cut]) as crowd:
            crowd.push()
            for i, m in enumerate(crowd.members):
                if i % 2 and m.open:
                    m.sock.shutdown(1)
    check_all(s)
    check_rest(s.gw)
    wait_for("the descriptors", lambda: count_descriptors(
        s.gw) <= before + 8)


def old_callers(s):
    """HTTP/1.0, with bodies that never end."""
    data = (b"POST /order/1 HTTP/1.0\r\nHost: " + HOST.encode() +
            b"\r\nContent-Length: %d\r\n\r\n" % BODY_MAX +
            b"x" * (BODY_MAX - 1024))
    push_bodies(s, s.gw.front, data, b"x")


def many_small_requests_on_one_connection(s):
    data = b"".join(request_head("/none/1", "GET")[0] for _ in range(20000))
    with Crowd(s.gw.front, 4, data, reads=False) as crowd:
        crowd.push()
        check_all(s, REST_MB + 16)
    check_rest(s.gw)


def refused_crowd_logs_little(s):
    """A flood of refused callers is no flood of lines."""
    before = len(s.gw.log().splitlines())
    begin = time.monotonic()
    with Crowd(s.gw.front, 1, b"") as crowd:
        for _ in range(20):
            with Crowd(s.gw.front, 200, b"hello\r\n\r\n") as refused:
                refused.push()
                refused.read_answers()
        del crowd
    seconds = time.monotonic() - begin
    lines = [line for line in s.gw.log().splitlines()[before:]
             if "module=caller" in line]
    check(len(lines) <= 50 * (seconds + 2), f"{len(lines)} lines")
    check_all(s)


def stop_beside_a_crowd(s):
    """A planned stop ends in its grace with exit code 0."""
    crowds = [
        Crowd(s.gw.front, 32, chunked_head(deadline_ms=0) +
              chunks(BODY_MAX - 65536, 65536)).push(),
        Crowd(s.gw.front, 32, b"POST / HTTP/1.1\r\nX: ").push(),
        Crowd(s.gw.directory, 32, b"").push(),
    ]
    try:
        crowds[0].drip(b"1\r\nx\r\n")
        crowds[1].drip(b"y")
        check_lives(s.gw)
        s.gw.popen.send_signal(signal.SIGTERM)
        try:
            code = s.gw.popen.wait(Gateway.stop_grace_s)
        except subprocess.TimeoutExpired:
            code = None
        check(code == 0, f"exit code {code}")
    finally:
        for crowd in crowds:
            crowd.close()


def lower_limit_during_a_crowd(s):
    """A configuration that lowers the limit of bodies while they arrive."""
    data = chunked_head(deadline_ms=0) + chunks(BODY_MAX - 65536, 65536)
    with Crowd(s.gw.front, CROWD, data) as crowd:
        crowd.push()
        crowd.drip(b"1\r\nx\r\n")
        put_limits(s, 3, maxBodyBytes=65536)
        with Crowd(s.gw.front, CROWD, data) as more:
            more.push()
            statuses = more.read_answers()
            check(set(statuses) <= {413, 503}, f"{statuses}")
            check_all(s)
    check_rest(s.gw)


# ---- What must not change ----


def slow_but_honest_body(s):
    """A body of the largest size, as slow as its caller's deadline allows, with
    pauses below the limit."""
    sock = connect(s.gw.front)
    sock.settimeout(30)
    head, _ = request_head("/big/1", deadline_ms=SLOW_MS,
                           fields=(f"Content-Length: {BODY_MAX}",))
    sock.sendall(head)
    for _ in range(8):
        sock.sendall(b"x" * (BODY_MAX // 8))
        time.sleep(2.0)
    answer = sock.recv(65536)
    sock.close()
    check(answer[9:12] == b"200", f"{answer[:60]}")


def slow_body_on_a_short_route(s):
    """The time limit of a route does not count while the body arrives, as long as
    its caller waits."""
    sock = connect(s.gw.front)
    sock.settimeout(30)
    sock.sendall(request_head("/order/1", deadline_ms=8000,
                              fields=("Content-Length: 8",))[0])
    for _ in range(8):
        sock.sendall(b"x")
        time.sleep(0.5)
    answer = sock.recv(65536)
    sock.close()
    check(answer[9:12] == b"200", f"{answer[:60]}")


def largest_body_in_calm(s):
    for path in ("/order/1", "/big/1", "/slow/1"):
        a = send(s.gw.front, path, body=b"x" * BODY_MAX, timeout_s=30)
        check(a.status == 200, f"{path}: {a.status}")


def large_body_behind_requests(s):
    """Requests sent at once on one connection are answered in turn, also where a
    large body is among the bytes behind the first."""
    sock = connect(s.gw.front)
    sock.settimeout(10)
    sock.sendall(b"".join((
        request_head("/slow/1?work_ms=400", fields=("Content-Length: 1",))[0],
        b"x", request_head("/none/1", "GET")[0],
        request_head("/big/1", fields=("Content-Length: 300000",))[0],
        b"y" * 300000)))
    answers = b""
    while answers.count(b"HTTP/1.1 ") < 3:
        data = sock.recv(65536)
        check(data, f"{answers}")
        answers += data
    sock.close()
    statuses = [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]]
    check(statuses == [b"200", b"404", b"200"], f"{statuses}")


def reuse_near_the_idle_limit(s):
    """A connection is used again after four fifths of the idle limit."""
    put_limits(s, 3, idleTimeoutMs=3000)
    sock = connect(s.gw.front)
    for _ in range(3):
        sock.sendall(request_head("/none/1", "GET")[0])
        check(sock.recv(65536)[9:12] == b"404", "no answer")
        time.sleep(2.4)
    sock.close()


def honest_callers_beside_a_crowd(s):
    """A slow body that advances is served while others hold more and do not."""
    data = chunked_head(deadline_ms=0) + chunks(BODY_MAX - 65536, 65536)
    sock = connect(s.gw.front)
    sock.settimeout(30)
    head, _ = request_head("/big/1", deadline_ms=SLOW_MS,
                           fields=(f"Content-Length: {MIB}",))
    sent = threading.Event()

    def send_body():
        try:
            sock.sendall(head)
            for _ in range(64):
                sock.sendall(b"x" * (MIB // 64))
                time.sleep(0.1)
        except OSError:
            pass  # the answer tells why
        sent.set()

    sender = threading.Thread(target=send_body)
    sender.start()
    while not sent.is_set():
        with Crowd(s.gw.front, CROWD, data) as crowd:
            crowd.push()
    sender.join()
    answer = sock.recv(65536)
    sock.close()
    check(answer[9:12] == b"200", f"{answer[:60]}")
    check_all(s)


SCENARIOS = [
    unfinished_chunked_bodies, unfinished_announced_bodies,
    unfinished_bodies_in_small_chunks, unfinished_bodies_in_single_bytes,
    bodies_beyond_the_limit, announced_bodies_beyond_the_limit,
    ordinary_client_over_the_limit, bodies_that_give_way_are_answered,
    bodies_on_directory, bodies_on_readiness, bodies_on_metrics,
    bodies_on_relay, whole_bodies_to_slow_service,
    whole_bodies_through_instance, idle_connections_after_bodies,
    requests_behind_a_request, answers_not_read, streams_not_read,
    streams_not_read_through_instance, heads_without_end,
    chunk_extension_without_end, trailer_without_end,
    places_taken_by_dripping_bodies, places_taken_by_dripping_heads,
    places_taken_by_silence, places_taken_after_an_answer,
    places_taken_on_directory, places_taken_on_readiness,
    places_taken_on_metrics, places_taken_on_relay, descriptors_taken,
    dripping_body_ends, dripping_body_without_deadline_ends,
    dripping_chunk_extension_ends, dripping_trailer_ends,
    no_invitation_to_a_refused_body, callers_that_end_in_the_middle,
    old_callers, many_small_requests_on_one_connection,
    refused_crowd_logs_little, stop_beside_a_crowd,
    lower_limit_during_a_crowd, slow_but_honest_body,
    slow_body_on_a_short_route, largest_body_in_calm,
    large_body_behind_requests, reuse_near_the_idle_limit,
    honest_callers_beside_a_crowd,
]


def main():
    names = sys.argv[1:]
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    chosen = [s for s in SCENARIOS if not names or s.__name__ in names]
    for scenario in chosen:
        if not hasattr(scenario, "system_class"):
            scenario.system_class = CrowdSystem
    results = [run(s) for s in chosen]
    return 0 if all(results) and results else 1


if __name__ == "__main__":
    sys.exit(main())

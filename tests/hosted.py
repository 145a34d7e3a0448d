"""Runs fg-gateway processes with stand-ins of the users' store and replicas,
and sends requests to them."""

import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin", "hosted"))

from si_http import reset_connection  # noqa: E402, F401
from si_ports import free_ports  # noqa: E402
from si_replica import EVENTS, MODEL, Replica  # noqa: E402
from si_store import Store  # noqa: E402

from soak_proxy import Proxy  # noqa: E402

BIN = os.path.join(os.environ.get("BUILD", "build"), "bin", "fg-gateway")
HOST = "kitchen.example"
WAIT_S = 15


def wait_for(what, condition, limit_s=WAIT_S):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not seen within {limit_s} s: {what}")


def check(ok, what):
    if not ok:
        raise AssertionError(what)


LEASE_MS = 3000  # an engine does not return to an earlier owner within it


def broken_orders(replica):
    """Orders that break the rule for owners: a fencing number that is lower
    than, or the same as, that of another owner before, or an owner that comes
    back within the lease after another one ordered. (index, order) of each.
    Orders that arrived while connections to the replica were disturbed, or
    soon after, do not count."""
    broken = []
    for i, (holder, fence, *_) in enumerate(replica.orders):
        other = False
        if any(begin <= replica.order_times[i] < end
               for begin, end in replica.path_faults):
            continue
        for k in range(i - 1, -1, -1):
            if replica.orders[k][0] != holder:
                other = True
                if replica.orders[k][1] >= fence:
                    broken.append((i, replica.orders[i]))
                    break
            elif other:
                passed = replica.order_times[i] - replica.order_times[k]
                if passed * 1000 < LEASE_MS:
                    broken.append((i, replica.orders[i]))
                break
    return broken


def make_config(version, timeout_ms=4000, idle_ms=15000, extra_routes=()):
    routes = [
        {"name": "draft", "host": HOST, "prefix": "/draft/",
         "kind": "streaming", "timeoutMs": timeout_ms, "service": "models",
         "targetLatencyMs": 800, "priority": 1, "maxAttempts": 2,
         "resumable": True},
        {"name": "brief", "host": HOST, "prefix": "/brief/",
         "kind": "streaming", "timeoutMs": timeout_ms, "service": "models",
         "targetLatencyMs": 800, "priority": 1, "maxAttempts": 1,
         "resumable": False},
        {"name": "order", "host": HOST, "prefix": "/order/", "kind": "unsafe",
         "timeoutMs": 1500, "service": "orders", "targetLatencyMs": 150,
         "priority": 2, "maxAttempts": 1},
        {"name": "lookup", "host": HOST, "prefix": "/lookup/", "kind": "safe",
         "timeoutMs": 1500, "service": "orders", "targetLatencyMs": 150,
         "priority": 2, "maxAttempts": 2},
        *extra_routes,
    ]
    engine = {"slots": 64, "kvCapacity": 150000, "adapterSlots": 6,
              "models": [{"name": MODEL, "adapters": 100}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "models", "engine": engine},
                         {"name": "orders", "healthPath": "/health"}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536,
                       "headerTimeoutMs": 600, "idleTimeoutMs": idle_ms}}


class Gateway:
    """A gateway process; `store` is the address that it uses for the store,
    `binary` what the next start runs."""

    regions = {"dc1": "r1", "dc2": "r1"}
    stop_grace_s = 8
    retry_slack = 58

    def __init__(self, store, name, folder, dc="dc1", fences_checked=True,
                 binary=BIN):
        ports = free_ports(5)
        self.front, self.ready, self.directory, self.mesh, self.metrics = (
            "127.0.0.1:%d" % p for p in ports)
        self.name = name
        self.dc = dc
        self.fences_checked = fences_checked
        self.settings_path = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.write_settings(store)
        self.binary = binary
        self.popen = None
        self.start()

    def write_settings(self, store, extra="lookup_ttl_s: 2\n"):
        with open(self.settings_path, "w", encoding="utf-8") as f:
            f.write(f"name: {self.name}\nregion: {self.regions[self.dc]}\n"
                    f"dc: {self.dc}\n"
                    f"front: {self.front}\nready: {self.ready}\n"
                    f"directory: {self.directory}\nmesh: {self.mesh}\n"
                    f"metrics: {self.metrics}\nstore: {store}\n"
                    f"retry_ratio: 0.2\nretry_slack: {self.retry_slack}\n"
                    f"stop_grace_s: {self.stop_grace_s}\n"
                    f"version_ms: 3000\nturn_ms: {LEASE_MS}\n"
                    f"fences_checked: {str(self.fences_checked).lower()}\n"
                    f"{extra}"
                    "data_centres:\n" + "".join(
                        f"  - name: {dc}\n    region: {region}\n"
                        for dc, region in self.regions.items()))

    def start(self):
        self.log_offset = (os.path.getsize(self.log_path)
                           if os.path.exists(self.log_path) else 0)
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                [self.binary, "--config", self.settings_path], stdout=log, stderr=log)

    def has_started(self):
        """True when the process of the last start has begun to serve."""
        with open(self.log_path, "rb") as f:
            f.seek(self.log_offset)
            return b"event=started" in f.read()

    def log(self):
        with open(self.log_path, encoding="utf-8") as f:
            return f.read()

    def is_ready(self):
        return http_get(self.ready, "/api/readiness")[0] == 200

    def state(self):
        return http_get(self.metrics, "/state")[1]

    def reads_store(self, expected=True):
        return f" reads_store={int(expected)} " in self.state()

    def store_calls(self):
        return sum(int(w[6:]) for w in self.state().split()
                   if w.startswith("calls="))

    def owned_endpoints(self):
        return [line for line in self.state().splitlines()
                if line.startswith("endpoint") and " fence=0 " not in line]

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class FewDescriptorsGateway(Gateway):
    """Its limit of descriptors is below connections_max."""

    descriptors = 96

    def __init__(self, store, name, folder, dc, fences_checked, binary):
        script = os.path.join(folder, name + ".sh")
        with open(script, "w", encoding="utf-8") as f:
            f.write(f"#!/bin/sh\nulimit -n {self.descriptors}\n"
                    f"exec {os.path.abspath(binary)} \"$@\"\n")
        os.chmod(script, 0o755)
        super().__init__(store, name, folder, dc, fences_checked, script)


class System:
    """Store, replicas and gateways. With `proxied`, each gateway reaches the
    store through a proxy of its own, in `store_proxies`."""

    gateway_class = Gateway

    def __init__(self, engines=2, plains=2, gateways=1, proxied=False, dcs=1,
                 fences_checked=True, software=("v1",), binary=BIN):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", make_config(1))
        self.engines = [Replica(self.store, f"e{i}", "models", True,
                                software=software[i % len(software)])
                        for i in range(engines)]
        self.plains = [Replica(self.store, f"p{i}", "orders", False)
                       for i in range(plains)]
        self.store_proxies = [Proxy(self.store.addr)
                              for _ in range(gateways if proxied else 0)]
        stores = [p.addr for p in self.store_proxies] or [self.store.addr]
        self.gateways = [self.gateway_class(
            self.gateway_store(stores[i % len(stores)]), f"g{i}",
            self.folder.name, f"dc{1 + i % dcs}", fences_checked, binary)
            for i in range(gateways)]
        for engine in self.engines:
            engine.checks_fences = fences_checked
        self.gw = self.gateways[0]
        try:
            for gateway in self.gateways:
                wait_for("ready", gateway.is_ready)
        except AssertionError:
            for gateway in self.gateways:
                print(f"--- {gateway.name} is not ready\n{gateway.log()}")
                gateway.kill()
            raise
        if engines > 0:
            wait_for("engines have an owner", lambda: sum(
                len(g.owned_endpoints()) for g in self.gateways) == engines)

    def gateway_store(self, store):
        """Address of the store for the next gateway."""
        return store

    def run_count(self, rid):
        return sum(r.run_ids.count(rid) for r in self.engines + self.plains)

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        self.folder.cleanup()


PEAK_MB = 120  # the smallest machine of the users has 160 MB


def peak_memory_mb(gateway):
    with open(f"/proc/{gateway.popen.pid}/status", encoding="utf-8") as f:
        line = next(line for line in f if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def http_get(addr, path):
    host, port = addr.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        conn.request("GET", path)
        res = conn.getresponse()
        return res.status, res.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        conn.close()


def read_to_end(sock):
    """Returns what arrives until the connection ends, and the error that ended it,
    or None."""
    out = b""
    try:
        while data := sock.recv(65536):
            out += data
    except OSError as why:
        return out, why
    return out, None


def with_grace(grace_s, base=System):
    """Returns a kind of `base` whose planned stops have that grace."""
    gateway = type("GraceGateway", (base.gateway_class,),
                   {"stop_grace_s": grace_s})
    return type("GraceSystem", (base,), {"gateway_class": gateway})


class Answer:
    def __init__(self, status, body, headers, whole):
        self.status = status
        self.body = body
        self.headers = headers
        self.whole = whole


request_count = [0]


def next_id():
    request_count[0] += 1
    return f"req{request_count[0]}"


def send(addr, path, rid=None, method="POST", body=b"x", headers=None,
         timeout_s=8):
    host, port = addr.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    fields = {"Host": HOST, "Request-Id": rid or next_id(),
              "Deadline-Ms": "4000", **(headers or {})}
    try:
        conn.request(method, path, body, fields)
        res = conn.getresponse()
    except (OSError, http.client.HTTPException):
        conn.close()
        return Answer(0, "", {}, False)
    try:
        text = res.read().decode()
        return Answer(res.status, text, dict(res.getheaders()), True)
    except (OSError, http.client.HTTPException):
        return Answer(res.status, "", dict(res.getheaders()), False)
    finally:
        conn.close()


def send_draft(gw, adapter="a1", path="/draft/1", rid=None, headers=None):
    return send(gw.front, path, rid, headers={
        "Model": f"{MODEL}/{adapter}", "Token-Count": "100,20",
        **(headers or {})})


def event_ids(answer):
    return [int(line[4:]) for line in answer.body.splitlines()
            if line.startswith("id: ")]


def software_versions(answer):
    """The versions of the engines that made the answer's events."""
    return {line.split()[-1] for line in answer.body.splitlines()
            if line.startswith("data: ")}


def has_all_events(answer):
    return answer.whole and event_ids(answer) == list(range(1, EVENTS + 1))


def find_log_lines(gateway, event):
    return [dict(f.split("=", 1) for f in line.split() if "=" in f)
            for line in gateway.log().splitlines()
            if f"event={event} " in line]


def find_log_line(s, rid, event):
    lines = [line for line in find_log_lines(s.gw, event)
             if line.get("id") == rid]
    return lines[0] if lines else None

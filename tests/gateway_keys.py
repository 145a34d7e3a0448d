"""Scenarios of tests/gateway.py with workspaces and their keys."""

import socket
import threading
import signal
import time

from cut_path import REFUSE
from gateway_cuts import CuttableSystem
from hosted import (
    HOST, System, check, find_log_line, find_log_lines, has_all_events,
    http_get, make_config, next_id, send, send_draft,
    wait_for)

SECRET = "sk-9f3c/secret+"  # part of each key
K1, K2, K3, UNKNOWN = (SECRET + s for s in ("one==", "two,2", "three", "none"))
BODY_401 = "no valid API key\n"


def tenant(name, *keys, **fields):
    return {"name": name, "apiKeys": list(keys), **fields}


def keys_config(version, tenants):
    """The usual routes, and two that need no key: /open/ and /free/, which
    streams."""
    config = make_config(version, extra_routes=[
        {"name": "open", "host": HOST, "prefix": "/open/", "kind": "safe",
         "timeoutMs": 1500, "service": "orders", "priority": 2,
         "maxAttempts": 2, "anonymous": True},
        {"name": "free", "host": HOST, "prefix": "/free/",
         "kind": "streaming", "timeoutMs": 4000, "service": "models",
         "targetLatencyMs": 800, "priority": 1, "maxAttempts": 2,
         "resumable": True, "anonymous": True}])
    if tenants is not None:
        config["tenants"] = tenants
    return config


def put_tenants(s, *tenants, gateways=None):
    """Puts the next configuration in force. Returns its version."""
    s.config_version += 1
    s.store.put("op", "config", keys_config(s.config_version, tenants))
    wait_config(s.gateways if gateways is None else gateways,
                s.config_version)
    return s.config_version


def wait_config(gateways, version):
    for gateway in gateways:
        wait_for(f"configuration {version}", lambda g=gateway: [
            line for line in find_log_lines(g, "configuration")
            if line["version"] == str(version)])


class KeySystem(System):
    """As System, with the workspaces acme and bolt. Nothing that a replica
    receives, a log, or a page for operators may hold a key."""

    def __init__(self, **options):
        self.config_version = 1
        super().__init__(**options)
        put_tenants(self, tenant("acme", K1), tenant("bolt", K2, priority=0))

    def check_no_key(self):
        for replica in self.engines + self.plains:
            for raw in replica.raw:
                check(SECRET.encode() not in raw, f"{replica.name}: {raw!r}")
        for gateway in self.gateways:
            check(SECRET not in gateway.log(), f"log of {gateway.name}")
            for page in ("/state", "/metrics"):
                check(SECRET not in http_get(gateway.metrics, page)[1],
                      f"{page} of {gateway.name}")


class CuttableKeySystem(KeySystem, CuttableSystem):
    pass


def bearer(key, **fields):
    return {"Authorization": f"Bearer {key}", **fields}


def order(s, key=None, path="/order/1", headers=None, gateway=None):
    """Returns (answer, headers that replicas received for it)."""
    rid = next_id()
    fields = {**({} if key is None else bearer(key)), **(headers or {})}
    a = send((gateway or s.gw).front, path, rid, headers=fields)
    return a, received(s, rid)


def received(s, rid):
    return [fields for r in s.engines + s.plains
            for got, fields in r.received if got == rid]


def raw_call(gateway, text):
    """Sends the bytes and returns the answer's status."""
    host, port = gateway.front.split(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(text.encode())
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(4096)
            if not piece:
                break
            data += piece
        return int(data[9:12] or 0)


def raw_order(rid, fields, body="Content-Length: 1\r\n\r\nx",
              path="/order/1"):
    return (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {rid}\r\n"
            f"Deadline-Ms: 4000\r\n{fields}{body}")


def check_tenants(s, rid, names):
    got = [fields.get("tenant") for fields in received(s, rid)]
    check(got == names, f"{rid}: {got} instead of {names}")


# ---- Scenarios ----


def key_replaced(s):
    """Guards against a key, or a workspace that a caller claims, that reaches an
    endpoint: in any spelling, repeated, or in a trailer."""
    a, got = order(s, K1, headers={"Tenant": "bolt"})
    check(a.status == 200 and got[0]["tenant"] == "acme", f"{a.status} {got}")
    rid = next_id()
    a = send_draft(s.gw, rid=rid, headers=bearer(K2))
    check(has_all_events(a), f"stream: {a.status}")
    check_tenants(s, rid, ["bolt"])
    check(received(s, rid)[0]["request-urgency"] == "2", "urgency of bolt")
    rid = next_id()
    a = send_draft(s.gw, rid=rid, headers=bearer(K1))
    check(received(s, rid)[0]["request-urgency"] == "5", "urgency of acme")
    key = f"Authorization: Bearer {K1}\r\n"
    chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    for fields, body in (
            (f"aUTHORIZATION:bEARER   {K1}\r\ntenant: bolt\r\n", None),
            (key + key, None),
            (f"{key}Proxy-Authorization: Bearer {K2}\r\n", None),
            (f"{key}TENANT: bolt\r\nTenant: {K2}\r\n", None),
            (key, f"{chunked}{key}\r\n"),
            (key, f"{chunked}authorization: bearer {K2}\r\n"
                  f"Proxy-Authorization: {K2}\r\nTenant: {K2}\r\n\r\n")):
        rid = next_id()
        status = raw_call(s.gw, raw_order(
            rid, fields, **({} if body is None else {"body": body})))
        check(status == 200, f"{status} for {fields!r} {body!r}")
        check_tenants(s, rid, ["acme"])
    for fields in (f"Authorization : Bearer {K2}\r\n{key}",
                   f"{key}Authorization : Bearer {K2}\r\n",
                   f"{key}Tenant : bolt\r\n", f"{key}X: a\r\n Tenant: bolt\r\n"):
        rid = next_id()
        status = raw_call(s.gw, raw_order(rid, fields))
        check(status == 400, f"{status} for {fields!r}")
        check(not received(s, rid), f"{fields!r} reached an endpoint")
    s.check_no_key()


def bad_credentials(s):
    """Guards against a request that is served without a valid key."""
    before = sum(len(r.received) for r in s.engines + s.plains)
    for path in ("/order/1", "/lookup/1", "/draft/1", "/brief/1"):
        for fields in ({}, bearer(""), bearer(UNKNOWN), bearer(K1[:-1]),
                       bearer(K1 + "="), bearer(K1.upper()),
                       bearer(f"{K1} {K1}"), bearer(f"{K1}, Bearer {K2}"),
                       bearer("x" * 600), {"Authorization": K1},
                       {"Authorization": f"Basic {K1}"},
                       {"X-Authorization": "Bearer x"}, {"Tenant": "acme"}):
            a = send(s.gw.front, path, headers=fields)
            check(a.status == 401, f"{a.status} for {fields} at {path}")
            check(a.body == BODY_401, f"{a.body!r}")
            check("Retry-After" not in a.headers, f"{a.headers}")
    key = f"Authorization: Bearer {K1}\r\n"
    chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    for fields, body in (
            (f"{key}authorization: Bearer {K2}\r\n", None),
            (f"{key}Authorization: Basic {K1}\r\n", None),
            ("", f"{chunked}{key}\r\n")):
        status = raw_call(s.gw, raw_order(
            next_id(), fields, **({} if body is None else {"body": body})))
        check(status == 401, f"{status} for {fields!r} {body!r}")
    status = raw_call(s.gw, raw_order(next_id(), f"Authorization : Bearer {K1}\r\n"))
    check(status == 400, f"{status} for a name with a blank")
    check(sum(len(r.received) for r in s.engines + s.plains) == before,
          "an endpoint got one of them")
    rid = next_id()
    send(s.gw.front, "/order/1", rid, headers=bearer(UNKNOWN))
    line = wait_for("line", lambda: find_log_line(s, rid, "denied"))
    check(line["reason"] == "unknown_key", f"{line}")
    metrics = http_get(s.gw.metrics, "/metrics")[1]
    check('fg_gw_reasons_total{outcome="denied",reason="no_key"}' in metrics,
          "not counted")
    s.check_no_key()


STALE_S = 3.5  # without a confirmation, a configuration may be outdated


def unknown_while_stale(s):
    """Guards against 401, which is final for a caller, from an instance that may
    not know a new key yet: its feed fails and no other instance confirms that
    there is nothing newer."""
    away, other = s.gateways
    for proxy in s.store_proxies[:1]:
        proxy.refuse = True
        proxy.reset()
    wait_for("store lost", lambda: find_log_lines(away, "store_lost"))
    time.sleep(STALE_S)
    a = order(s, UNKNOWN, gateway=away)[0]
    check(a.status == 401, f"confirmed by the other instance: {a.status}")
    other.popen.send_signal(signal.SIGSTOP)
    wait_for("may be behind", lambda: order(
        s, UNKNOWN, gateway=away)[0].status == 503, 6)
    rid = next_id()
    a = send(away.front, "/order/1", rid, headers=bearer(UNKNOWN))
    check(a.status == 503 and "Retry-After" in a.headers, f"{a.status}")
    line = wait_for("line", lambda: find_log_line(s, rid, "refused"))
    check(line["reason"] == "configuration_stale", f"{line}")
    check(order(s, K1, gateway=away)[0].status == 200, "a known key")
    check(order(s, gateway=away)[0].status == 401, "no key at all")
    other.popen.send_signal(signal.SIGCONT)
    wait_for("the other", lambda: order(
        s, UNKNOWN, gateway=other)[0].status == 401, 6)
    put_tenants(s, tenant("acme", K1, K3), gateways=[other])
    check(order(s, K3, gateway=other)[0].status == 200, "the new key")
    a = order(s, K3, gateway=away)[0]
    check(a.status in (200, 503), f"a new key: {a.status}")
    s.store_proxies[0].heal()
    wait_config([away], s.config_version)
    check(order(s, K3, gateway=away)[0].status == 200, "the new key")
    wait_for("current", lambda: order(
        s, UNKNOWN, gateway=away)[0].status == 401, 6)
    check(order(s, K2, gateway=away)[0].status == 401, "the withdrawn key")
    s.check_no_key()


unknown_while_stale.system_options = {"gateways": 2, "proxied": True, "dcs": 2}


HEARTBEAT_MAX_S = 1.1  # to other regions; sooner within one


def newer_reported(s):
    """Guards against 401 for a new key from an instance whose feed seems well,
    while another one has reported that it read a newer configuration; it may
    have taken that one by then."""
    away = s.gateways[0]
    s.store_proxies[0].silence()
    put_tenants(s, tenant("acme", K1, K3), gateways=s.gateways[1:])
    for n in range(3, 6):  # rows that are no configuration
        s.store.put("op", f"version/{n}",
                    {"model": "base", "adapter": "a1", "version": n})
    time.sleep(HEARTBEAT_MAX_S + 0.2)
    known = f"configuration={s.config_version} " in away.state()
    for key, status in ((K3, 200), (UNKNOWN, 401)):
        a = order(s, key, gateway=away)[0]
        check(a.status == (status if known else 503), f"{key}: {a.status}")
    check(order(s, K1, gateway=away)[0].status == 200, "a known key")
    s.store_proxies[0].heal()
    s.store_proxies[0].reset()
    wait_config([away], s.config_version)
    check(order(s, K3, gateway=away)[0].status == 200, "the new key")
    wait_for("current", lambda: order(
        s, UNKNOWN, gateway=away)[0].status == 401, 6)
    s.check_no_key()


newer_reported.system_options = {"gateways": 2, "proxied": True, "dcs": 2}


def rows_are_for_instances(s):
    """Guards against keys in clear text at the port for other instances, which
    answered anyone who asked for the configuration's row."""
    put_tenants(s, tenant("acme", K1))
    for path in ("/rows/0/0", "/rows/0/0?known", "/rows/2/0"):
        a = send(s.gw.mesh, path, method="GET", body=None)
        check(a.status == 403 and SECRET not in a.body, f"{path}: {a.status}")


def row_removed(s):
    """Guards against 503 for good instead of 401: an instance that started after
    a row was removed is not behind those that saw the removal."""
    s.store.put("op", "version/9", {"model": "base", "adapter": "a9",
                                    "version": 9})
    put_tenants(s, tenant("acme", K1))
    s.store.remove("op", "version/9")
    time.sleep(HEARTBEAT_MAX_S)
    s.gateways[0].kill()
    s.gateways[0].start()
    wait_for("ready", s.gateways[0].is_ready)
    time.sleep(2 * HEARTBEAT_MAX_S)
    check("event=configuration_behind" not in s.gateways[0].log(),
          "takes itself to be behind")
    for gateway in s.gateways:
        a = order(s, UNKNOWN, gateway=gateway)[0]
        check(a.status == 401, f"{gateway.name}: {a.status}")
    s.check_no_key()


row_removed.system_options = {"gateways": 2, "dcs": 2}


def hears_from_nobody(s):
    """Guards against a key that works for good at an instance that cannot learn
    of its end, with revoke_strict; and against refusals where no key is needed."""
    s.gw.write_settings(s.store.addr, "lookup_ttl_s: 2\nrevoke_strict: true\n"
                                      "revoke_ms: 4000\n")
    s.gw.kill()
    s.gw.start()
    wait_for("ready", s.gw.is_ready)
    check(order(s, K1)[0].status == 200, "before")
    s.store.mode = "busy"
    since = time.monotonic()
    wait_for("no key accepted", lambda: order(s, K1)[0].status == 503, 8)
    took = time.monotonic() - since
    check(3 < took < 6, f"after {took:.1f} s")
    a = order(s, K1)[0]
    check(a.status == 503 and "Retry-After" in a.headers, f"{a.status}")
    for key in (K1, UNKNOWN, None):
        a, got = order(s, key, "/open/1")
        check(a.status == 200 and "tenant" not in got[0], f"{key}: {a.status}")
    s.store.mode = "up"
    wait_for("accepted again", lambda: order(s, K1)[0].status == 200, 8)
    check(order(s, UNKNOWN)[0].status == 401, "an unknown key")
    s.check_no_key()


def start_draft(s, results, key, adapter, path="/draft/1", headers=None):
    rid = next_id()
    thread = threading.Thread(target=lambda: results.append(send_draft(
        s.gw, adapter, path, rid,
        {**({} if key is None else bearer(key)), **(headers or {})})))
    thread.start()
    return rid, thread


def wait_for_load(s, adapter):
    """Waits until an engine loads the adapter: the request for it waits."""
    wait_for(f"load of {adapter}", lambda: any(
        o[2] == "load" and o[3] == adapter
        for e in s.engines for o in e.orders))


def slow_loads(s):
    for engine in s.engines:
        engine.load_s = 1.2


def key_withdrawn(s):
    """Guards against requests that run for a key after it was withdrawn, and
    against answers that break off because of it."""
    check(order(s, K3)[0].status == 401, "not added yet")
    put_tenants(s, tenant("acme", K1, K3), tenant("bolt", K2))
    check(order(s, K3)[1][0]["tenant"] == "acme", "added")
    check(has_all_events(send_draft(s.gw, headers=bearer(K3))), "stream")
    for engine in s.engines:
        engine.event_interval_s = 0.3
    running, waiting = [], []
    running_id, running_thread = start_draft(s, running, K3, "a1")
    wait_for("it runs", lambda: s.run_count(running_id) == 1)
    slow_loads(s)
    waiting_id, waiting_thread = start_draft(s, waiting, K3, "a2")
    wait_for_load(s, "a2")
    put_tenants(s, tenant("acme", K1), tenant("bolt", K2))
    check(order(s, K3)[0].status == 401, "withdrawn")
    check(order(s, K1)[0].status == 200, "the other key of the workspace")
    running_thread.join()
    waiting_thread.join()
    check(has_all_events(running[0]), f"running stream: {running[0].status}")
    check(waiting[0].status == 401 and s.run_count(waiting_id) == 0,
          f"waiting: {waiting[0].status}, ran {s.run_count(waiting_id)} times")
    line = wait_for("line", lambda: find_log_line(s, waiting_id, "denied"))
    check(line["reason"] == "key_withdrawn", f"{line}")
    a = send_draft(s.gw, headers=bearer(K3, **{
        "Resumes": running_id, "Last-Event-Id": "2"}))
    check(a.status == 401, f"resumed: {a.status}")
    s.check_no_key()


def key_while_connecting(s):
    """Guards against a request that is sent for a key which was withdrawn after
    an endpoint was chosen, while the connection was opened and the endpoint's
    start confirmed."""
    engine = s.engines[0]
    for _ in range(5):
        put_tenants(s, tenant("acme", K1))
        check(has_all_events(send_draft(s.gw, headers=bearer(K1))), "before")
        for sock in list(engine.server.socks):
            sock.shutdown(socket.SHUT_RDWR)
        time.sleep(0.1)  # the gateway sees that its connection ended
        engine.report_s = 0.3
        results = []
        rid, thread = start_draft(s, results, K1, "a1")
        wait_for("its report is asked for", lambda: (
            "starts_checked_total" in http_get(s.gw.metrics, "/metrics")[1]))
        put_tenants(s, tenant("bolt", K2))
        thread.join()
        engine.report_s = 0.0
        check(results[0].status == 401 and s.run_count(rid) == 0,
              f"{results[0].status}, ran {s.run_count(rid)} times")
        line = wait_for("line", lambda r=rid: find_log_line(s, r, "denied"))
        if line["reason"] == "key_withdrawn" and line["sends"] != "0":
            s.check_no_key()
            return
    check(False, "never withdrawn while connecting")


key_while_connecting.system_options = {"engines": 1}


def key_moved(s):
    """Guards against 401 for a key that is in force, and against a request that
    is attributed to the former workspace of its key."""
    check(order(s, K1)[1][0]["tenant"] == "acme", "before")
    slow_loads(s)
    results = []
    rid, thread = start_draft(s, results, K1, "a3")
    wait_for_load(s, "a3")
    put_tenants(s, tenant("acme", K3), tenant("bolt", K1, K2))
    check(order(s, K1)[1][0]["tenant"] == "bolt", "after")
    thread.join()
    check(has_all_events(results[0]), f"waiting: {results[0].status}")
    check_tenants(s, rid, ["bolt"])
    # To two workspaces: it is accepted for neither.
    put_tenants(s, tenant("acme", K1), tenant("bolt", K1, K2))
    check(order(s, K1)[0].status == 401, "of two workspaces")
    check(order(s, K2)[0].status == 200, "another key of one of them")
    lines = [text for text in s.gw.log().splitlines()
             if "event=bad_entry" in text]
    check(len(lines) == 1 and "acme" in lines[0] and "bolt" in lines[0],
          f"{lines}")
    s.check_no_key()


QUOTA_SETTINGS = ("lookup_ttl_s: 2\nquota_window_s: 8\nquota_excess: 0.1\n"
                  "quota_slack: 17000\n")


def key_moved_with_limit(s):
    """Guards against a request of a moved key that is charged to no workspace or
    to the former one, and against one that waits for good for its tokens."""
    s.gw.write_settings(s.store.addr, QUOTA_SETTINGS)
    s.gw.kill()
    s.gw.start()
    wait_for("ready", s.gw.is_ready)
    limit = {"unit": "token_count", "ratePerS": 50, "burst": 1000,
             "plainTokens": 1}
    put_tenants(s, tenant("acme", K1, **limit), tenant("bolt", K2, **limit))
    wait_for("a full bucket", lambda: limit_levels(s) == [1000, 1000], 25)
    slow_loads(s)
    results = []
    rid, thread = start_draft(s, results, K1, "a3",
                              headers={"Token-Count": "700,100"})
    wait_for_load(s, "a3")
    wait_for("charged", lambda: min(limit_levels(s)) < 400)
    put_tenants(s, tenant("acme", K3, **limit), tenant("bolt", K1, **limit))
    thread.join()
    check(has_all_events(results[0]), f"waiting: {results[0].status}")
    check_tenants(s, rid, ["bolt"])
    a = send_draft(s.gw, headers=bearer(K1, **{"Token-Count": "700,100"}))
    check(a.status == 429 and "Retry-After" in a.headers,
          f"bolt is not charged: {a.status}")
    a = send_draft(s.gw, headers=bearer(K3, **{"Token-Count": "700,100"}))
    check(has_all_events(a), f"acme is still charged: {a.status}")
    s.check_no_key()


def limit_levels(s):
    return [float(field.split("=")[1]) for line in s.gw.state().splitlines()
            if line.startswith("limit ") for field in line.split()
            if field.startswith("level=")]


def anonymous_route(s):
    """Guards against 401 where no key is needed, and against a request there
    that is not attributed to its key's workspace."""
    for key, name in ((None, None), (K1, "acme"), (UNKNOWN, None),
                      ("", None), ("x" * 600, None)):
        a, got = order(s, key, "/open/1", {"Tenant": "bolt"})
        check(a.status == 200, f"{key}: {a.status}")
        check(got[0].get("tenant") == name, f"{key}: {got}")
        check("authorization" not in got[0], f"{key}: {got}")
    rid = next_id()
    status = raw_call(s.gw, raw_order(
        rid, f"Authorization: Bearer {K1}\r\nAuthorization: Bearer {K2}\r\n",
        path="/open/1"))
    check(status == 200, f"two keys: {status}")
    check_tenants(s, rid, [None])
    # A key that is withdrawn while its request waits.
    slow_loads(s)
    results = []
    rid, thread = start_draft(s, results, K1, "a4", "/free/1")
    wait_for_load(s, "a4")
    put_tenants(s, tenant("bolt", K2))
    thread.join()
    check(has_all_events(results[0]), f"withdrawn: {results[0].status}")
    check_tenants(s, rid, [None])
    s.check_no_key()


def workspaces_introduced(s):
    """Guards against keys that reach endpoints because their requests came
    before the first configuration with workspaces."""
    s.config_version += 1
    s.store.put("op", "config", keys_config(s.config_version, None))
    wait_config(s.gateways, s.config_version)
    for replica in s.engines + s.plains:
        replica.raw.clear()
    a, got = order(s, "plain-text", headers={"Tenant": "any"})
    check(a.status == 200, f"without workspaces: {a.status}")
    check((got[0]["authorization"], got[0]["tenant"]) ==
          ("Bearer plain-text", "any"), f"without workspaces: {got}")
    slow_loads(s)
    valid, none, free = [], [], []
    rid, thread = start_draft(s, valid, K1, "a5", headers={"Tenant": "bolt"})
    none_id, none_thread = start_draft(s, none, None, "a5")
    free_id, free_thread = start_draft(s, free, UNKNOWN, "a5", "/free/1")
    wait_for_load(s, "a5")
    put_tenants(s, tenant("acme", K1))
    for t in (thread, none_thread, free_thread):
        t.join()
    check(has_all_events(valid[0]), f"valid: {valid[0].status}")
    check_tenants(s, rid, ["acme"])
    check(none[0].status == 401 and s.run_count(none_id) == 0,
          f"none: {none[0].status}")
    check(has_all_events(free[0]), f"anonymous: {free[0].status}")
    check_tenants(s, free_id, [None])
    s.check_no_key()


def key_on_detours(s):
    """Guards against a key in requests that are repeated, resumed by the
    gateway, or sent through another instance."""
    for plain in s.plains:
        plain.faults = {"lost": 1}
    rid = next_id()
    a = send(s.gw.front, "/lookup/1", rid, "GET", None, bearer(K1))
    check(s.run_count(rid) == 2, f"ran {s.run_count(rid)} times")
    check_tenants(s, rid, ["acme"] * 2)
    for plain in s.plains:
        plain.faults = {"not_run": 1}
    rid = next_id()
    check(send(s.gw.front, "/order/1", rid, headers=bearer(K1)).status == 200,
          "sent elsewhere")
    for plain in s.plains:
        plain.faults = {}
    shared = {"cut": 1}
    for engine in s.engines:
        engine.faults = shared
    rid = next_id()
    a = send_draft(s.gw, rid=rid, headers=bearer(K1))
    check(has_all_events(a), f"resumed: {a.status}")
    names = {fields.get("tenant") for fields in received(s, rid)}
    check(s.run_count(rid) == 2 and names == {"acme"}, f"resumed: {names}")
    s.cuts.cut(0, REFUSE)
    wait_for("cut", lambda: (
        send_draft(s.gw, headers=bearer(K1)),
        send(s.gw.front, "/lookup/1", method="GET", headers=bearer(K1)),
        find_log_lines(s.gw, "endpoints_cut"))[2])
    for key, name in ((K1, "acme"), (K2, "bolt")):
        a, got = order(s, key)
        check(a.status == 200 and got[-1]["tenant"] == name,
              f"tunnel: {a.status} {got}")
        rid = next_id()
        a = send_draft(s.gw, rid=rid, headers=bearer(key))
        check(has_all_events(a), f"tunnel: {a.status}")
        check(received(s, rid)[-1]["tenant"] == name, "stream in a tunnel")
    check(order(s, UNKNOWN)[0].status == 401, "unknown, while cut")
    s.check_no_key()


key_on_detours.system_options = {"gateways": 2}


def keys_not_logged(s):
    """Guards against keys in log lines about faulty configurations, and against
    a faulty entry that costs other workspaces their keys."""
    put_tenants(s, tenant("acme", K1, K1, 7, "", SECRET + " x"),
                tenant("", K2), tenant("bolt"), {"apiKeys": [K3]}, 7,
                tenant("bad", K3, ratePerS="many", priority=-1),
                tenant("Cord & Co", K2))
    lines = [line for line in s.gw.log().splitlines()
             if "event=bad_entry" in line]
    check(len(lines) == 9, f"{len(lines)} lines: {lines}")
    for key, name in ((K1, "acme"), (K2, "Cord & Co"), (K3, "bad")):
        a, got = order(s, key)
        check(a.status == 200 and got[0]["tenant"] == name, f"{name}: {got}")
    refused = 0
    for text in (f'{{"version":90,"tenants":[{{"apiKeys":["{K1}" 7]}}]}}',
                 f'{{"version":91,"tenants":[{{"apiKeys":["{SECRET}]}}]}}',
                 f'{{"version":92,"tenants":[{SECRET}]}}',
                 f'{{"version":93,"tenants":{{"{K1}":"{K2}"}}}}'):
        s.store.put_raw("op", "config", text.encode())
        refused += 1
        wait_for("refused", lambda n=refused: len(find_log_lines(
            s.gw, "configuration_refused")) == n)
    check(order(s, K1)[0].status == 200, "the one before stays in force")
    check(order(s)[0].status == 401, "keys are still needed")
    s.check_no_key()


SCENARIOS = [rows_are_for_instances, 
    key_replaced, bad_credentials, unknown_while_stale, newer_reported,
    row_removed, hears_from_nobody, key_withdrawn, key_while_connecting,
    key_moved, key_moved_with_limit, anonymous_route, workspaces_introduced,
    key_on_detours, keys_not_logged,
]

for scenario in SCENARIOS:
    scenario.system_class = (CuttableKeySystem if scenario is key_on_detours
                             else KeySystem)

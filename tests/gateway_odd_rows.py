"""Scenarios of tests/gateway.py: rows of the store's tables that another writer
left and that cannot be used."""

import json
import re
import time

from hosted import (
    check, find_log_lines, has_all_events, http_get, make_config, next_id, send,
    send_draft, wait_for)

DEEP = 10000
TABLE = "fulmargauge"  # of the instances' own rows
ENTRY = {"service": "orders", "addr": "127.0.0.1:9", "zone": "dc1", "slots": 6,
         "born": 1700000000000, "models": [], "version": "v1", "state": "ready",
         "sequence": 0}


def entry(**fields):
    """An entry with some fields replaced, by their JSON text."""
    texts = {k: json.dumps(v) for k, v in ENTRY.items()}
    texts.update(fields)
    return ("{" + ", ".join(f'"{k}": {v}' for k, v in texts.items()
                            if v is not None) + "}").encode()


NUMBERS = ["4294967296", "9007199254740993", "9223372036854775807",
           "9223372036854775808", "18446744073709551616", "1" * 400, "1e400", "-1",
           "-9223372036854775809", "1.5", "1e3", "NaN", '"6"', "true", "[]", "{}"]
ADDRESSES = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:+80",
             "127.0.0.1: 80", "127.0.0.1:" + "9" * 60, "127.0.0.1:", "127.0.0.1", ":80",
             "", "host:80", "[::1]:80", "127.0.0.1:80 ", "1" * 5000]

ODD_ENTRIES = [
    b"", b"null", b"7", b"[]", b"{", b'"x"', b"\xff\xfe", b"\x00" * 8, b"{}",
    b"[" * DEEP, b"[" * DEEP + b"]" * DEEP, b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    entry(models="[" * DEEP + "]" * DEEP), entry(slots="[" * DEEP + "]" * DEEP),
    *[entry(slots=n) for n in NUMBERS if n != "1e3"],
    *[entry(born=n) for n in NUMBERS if n not in ("1e3", "4294967296")],
    *[entry(addr=json.dumps(a)) for a in ADDRESSES],
    *[entry(**{k: t}) for k in ("service", "addr", "zone", "state")
      for t in (None, "null", "7", "[]", "{}", '""', json.dumps("x" * 60000))],
    entry(state='"leaving"'), entry(state='"READY"'),
    entry(service='"\\u0000orders"'), entry(zone='"\\ud800"'),
    entry(service='"orders"')[:-1], entry() + entry(),
    entry(addr='"127.0.0.1:9", "addr": 7'),
]

# Keys that cannot stand in a header field of a request.
ODD_KEYS = ["", " ", "a b", "a\r\nX-Injected: 1", "a\x00b", "\ud800", "é", "x" * 200,
            "a\tb", "\x7f"]


def rows_of_other_parts(s):
    """Guards against a row of another part that is taken for the configuration,
    an endpoint, or a row of the instances, or for its removal."""
    draft = make_config(40)
    for route in draft["routes"]:
        route["service"] = "models"
    for table, key in (("op", "config"), ("servers", s.plains[0].name),
                       ("servers", "foreign"), (TABLE, "instance/foreign")):
        value = draft if table == "op" else json.loads(entry())
        s.store.put_in_part(table, "draft", key, json.dumps(value).encode())
    s.store.put_in_part("servers", "draft", s.plains[1].name, None)
    s.store.put("op", "config", make_config(3))
    for gateway in s.gateways:
        wait_for("in force", lambda g=gateway: any(
            line.get("version") == "3" for line in find_log_lines(g, "configuration")))
        check(not any(line.get("version") == "40" for line in find_log_lines(
            gateway, "configuration")), "the draft is in force")
        check("endpoint=foreign" not in gateway.log(), "an entry of another part")
        for _ in range(6):
            rid = next_id()
            check(send(gateway.front, "/order/1", rid).status == 200, "order")
            check(sum(p.run_ids.count(rid) for p in s.plains) == 1, "ran elsewhere")
    for plain in s.plains:
        check(plain.run_ids, f"{plain.name} got no order")


def refused_count(gateway):
    return sum(int(n) for n in re.findall(
        r"^fg_gw_rows_refused_total\S* (\d+)$", http_get(gateway.metrics, "/metrics")[1],
        re.M))


def feed_version(gateway, table):
    return int(re.search(rf"^feed {table} version=(\d+) ", gateway.state(), re.M)[1])


def wait_for_feed(s, table="servers"):
    """Until all instances have read what the store has now."""
    version = s.store.version
    for gateway in s.gateways:
        wait_for(f"{gateway.name} follows {table}", lambda g=gateway: (
            g.popen.poll() is None and feed_version(g, table) >= version))


def check_served(s):
    for gateway in s.gateways:
        check(gateway.popen.poll() is None, f"{gateway.name} ended")
        check(has_all_events(send_draft(gateway)), "a stream is not served")
        for _ in range(4):
            rid = next_id()
            a = send(gateway.front, "/order/1", rid)
            check(a.status == 200 and s.run_count(rid) == 1, f"{a.status}")


def check_unused(s, keys):
    for gateway in s.gateways:
        used = {line.split()[1] for line in gateway.state().splitlines()
                if line.startswith("endpoint ")} & set(keys)
        check(not used, f"{gateway.name} has {used}")


def odd_entries(s):
    """Entries of replicas that cannot be used end no instance, hide no other entry
    and do not stop the feed; each is named in the log and counted."""
    before = [refused_count(g) for g in s.gateways]
    keys = []
    for i, raw in enumerate(ODD_ENTRIES):
        keys.append(f"odd-{i}")
        s.store.put_raw("servers", keys[-1], raw)
    wait_for_feed(s)
    check_served(s)
    check_unused(s, keys)
    named = {line["key"] for line in find_log_lines(s.gateways[0], "entry_refused")}
    check(set(keys) <= named, f"not named: {set(keys) - named}")
    check(all(refused_count(g) - n >= len(keys)
              for g, n in zip(s.gateways, before)), "not counted")
    for key in keys:
        s.store.remove("servers", key)
    wait_for_feed(s)
    check_served(s)


odd_entries.system_options = {"gateways": 2}


def odd_entries_at_start(s):
    """The same for an instance that reads all entries at its start, and after the
    store dropped its history."""
    for i, raw in enumerate(ODD_ENTRIES):
        s.store.put_raw("servers", f"odd-{i}", raw)
    s.store.drop_history()
    s.gateways[1].kill()
    s.gateways[1].start()
    wait_for("ready", s.gateways[1].is_ready)
    wait_for_feed(s)
    check_served(s)
    check_unused(s, [f"odd-{i}" for i in range(len(ODD_ENTRIES))])


odd_entries_at_start.system_options = {"gateways": 2}


def odd_keys(s):
    """Keys that are no name of a replica: the other rows of the same answer hold, and
    nothing of the key reaches a replica."""
    for at_start in (False, True):
        for key in ODD_KEYS:
            s.store.put_raw("servers", key, entry(addr=json.dumps(s.plains[0].addr)))
        s.plains[1].slots = 5 + at_start
        s.plains[1].register()
        if at_start:
            s.gateways[1].kill()
            s.gateways[1].start()
            wait_for("ready", s.gateways[1].is_ready)
        wait_for_feed(s)
        check_served(s)
    for plain in s.plains:
        check(not any("x-injected" in h for _, h in plain.received), "smuggled")
    for gateway in s.gateways:
        endpoints = [line for line in gateway.state().splitlines()
                     if line.startswith("endpoint ")]
        check(len(endpoints) == len(s.engines + s.plains), f"{endpoints}")


odd_keys.system_options = {"gateways": 2}


def entry_turns_odd(s):
    """A replica whose entry turns odd gets no request from then on; when the entry is
    mended it is used again, and what it said before still holds."""
    for raw in (b"{", entry(born="1e400"), entry(addr='"127.0.0.1:0"'),
                entry(slots="99999999999"), entry(born="9223372036854775807")):
        s.store.put_raw("servers", "p1", raw)
        wait_for_feed(s)
        before = len(s.plains[1].received)
        check_served(s)
        check(len(s.plains[1].received) == before, f"{raw[:60]}: it is used")
        s.plains[1].register()
        wait_for_feed(s)
        wait_for("used again", lambda n=before: (
            send(s.gateways[0].front, "/order/1"), len(s.plains[1].received) > n)[1])
    s.plains[1].leaving = True
    wait_for("it said so", lambda: (send(s.gateways[0].front, "/order/1"), find_log_lines(
        s.gateways[0], "said_leaving"))[1])
    s.store.put_raw("servers", "p1", entry(born='"x"', addr=json.dumps(s.plains[1].addr)))
    wait_for_feed(s)
    s.plains[1].register()
    wait_for_feed(s)
    before = len(s.plains[1].received)
    for _ in range(10):
        send(s.gateways[0].front, "/order/1")
    check(len(s.plains[1].received) == before, "used after it said that it leaves")


def odd_own_rows(s):
    """Rows of the instances' own table that cannot be read: an instance keeps what it
    knows of the others, and lookups name addresses only."""
    row = s.store.keys(TABLE, "instance/g1")["instance/g1"].split()
    odd = ["", " ", "x" * 60000, "\xff", "zz r d 1:1 2:2", " ".join(row[:4]),
           " ".join([*row, "more"]), " ".join([row[0], *row[1:4], '1.1.1.1:1","x']),
           " ".join([*row[:3], "127.0.0.1:0", row[4]]),
           " ".join([*row[:4], "127.0.0.1:65536"]), " ".join(["-1", *row[1:]]),
           " ".join(["1" * 17, *row[1:]]), " ".join(["0", *row[1:]])]
    tables = ("instance/odd", "instance/g1", "instance_features/g1", "owner/e0",
              "owner/none", "blocked/zz", "blocked/1", "evidence/dc1")
    for text in [*odd, "99999999999999999999 4294967296 -1 x", "[" * DEEP,
                 "loss 1 2 4294967296 -1 9 9;" * 100, "whole -1 99999999999 -5;;;"]:
        for key in tables:
            s.store.put_raw(TABLE, key, text.encode("latin-1"))
        wait_for_feed(s, TABLE)
        text = http_get(s.gateways[0].directory,
                        "/api/resolve?name=x&region=r1&zone=dc1")[1]
        check(set(json.loads(text)["addresses"]) == {g.front for g in s.gateways},
              f"{text}")
    check_served(s)
    check(find_log_lines(s.gateways[0], "instance_row_refused"), "not named")


odd_own_rows.system_options = {"gateways": 2}


def odd_announcements(s):
    """Announcements and configurations that cannot be read change nothing."""
    texts = [b"", b"null", b"[" * DEEP, b'{"model": "base", "adapter": "a1"}', b"\xff",
             *[b'{"model": "base", "adapter": "a1", "version": %s}' % n.encode()
               for n in NUMBERS if n not in ("4294967296", "9007199254740993", "1e3")],
             b'{"model": 7, "adapter": "a1", "version": 2}',
             b'{"model": "base", "adapter": ["a1"], "version": 99}']
    for i, raw in enumerate(texts):
        s.store.put_raw("op", f"version/base.a{i}", raw)
        s.store.put_raw("op", "version/base.a1", raw)
        s.store.put_raw("op", "config", raw)
    s.store.put_raw("op", "version/a\x00b", b"{}")
    wait_for_feed(s, "op")
    check_served(s)
    check(find_log_lines(s.gateways[0], "announcement_refused"), "not named")
    check(find_log_lines(s.gateways[0], "configuration_refused"), "not named")


odd_announcements.system_options = {"gateways": 2}
rows_of_other_parts.system_options = {"gateways": 3}


def own_row(s):
    return s.store.keys(TABLE, "instance/g1").get("instance/g1")


def knows_g1(s):
    lines = [line for line in s.gw.state().splitlines()
             if line.startswith("peer") and "g1" in line]
    return any(" alive=1" in line for line in lines)


def restart_g1(s, changed_from):
    """Returns the row of the new process, once g0 knows it."""
    s.gateways[1].kill()
    s.gateways[1].start()
    wait_for("a new row", lambda: own_row(s) not in (None, changed_from))
    wait_for("g0 knows g1", lambda: knows_g1(s))
    return own_row(s)


def late_row_of_ended_process(s):
    """The row of an ended process, which the store writes seconds later, does
    not replace that of its successor."""
    g1 = s.gateways[1]
    g1.kill()
    s.store.remove(TABLE, "instance/g1")
    s.store.late_s = 3.0
    s.store.late_key = "instance/g1"
    g1.start()
    wait_for("its write", lambda: s.store.late_key is None)
    row = restart_g1(s, None)
    wait_for("the late write", lambda: s.store.late_statuses, 6)
    time.sleep(0.5)
    print(f"late write: {s.store.late_statuses}")
    check(own_row(s) == row, "the row of the ended process is back")
    wait_for("g0 knows g1", lambda: knows_g1(s), 3)


late_row_of_ended_process.system_options = {"gateways": 2}


def row_of_ended_process_is_back(s):
    """An instance that finds the row of the process before it in place of its own
    writes its own again."""
    old = own_row(s)
    row = restart_g1(s, old)
    s.store.put_raw(TABLE, "instance/g1", old.encode())
    wait_for("its own row", lambda: own_row(s) == row, 3)
    wait_for("g0 knows g1", lambda: knows_g1(s), 3)
    check(find_log_lines(s.gateways[1], "own_row_replaced"), "no log line")


row_of_ended_process_is_back.system_options = {"gateways": 2}

SCENARIOS = [
    late_row_of_ended_process, row_of_ended_process_is_back,
    odd_entries, odd_entries_at_start, odd_keys, entry_turns_odd, odd_own_rows, odd_announcements,
    rows_of_other_parts,
]

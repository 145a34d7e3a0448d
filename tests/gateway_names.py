"""Scenarios of tests/gateway.py: names of models and adapters at and beyond what an
order can hold."""

import time

from hosted import (
    check, find_log_lines, has_all_events, send, send_draft, wait_for)

NAME_MAX_BYTES = 95


def names_at_bounds(s):
    """Guards against a name that ends the owner of an engine by an assertion, or
    that an order cannot spell."""
    for gateway in s.gateways:
        for n in (1, NAME_MAX_BYTES - 1, NAME_MAX_BYTES):
            name = f"{gateway.name}{n}".ljust(n, "x")[:n]
            wait_for(name, lambda g=gateway, a=name: has_all_events(send_draft(g, a)))
        for name in ("y" * (NAME_MAX_BYTES + 1), "y" * 108, "y" * 7000, "\xff\xfe",
                     "caf\xe9", "a/" + "y" * 100):
            begin = time.monotonic()
            a = send_draft(gateway, name)
            took_s = time.monotonic() - begin
            check(a.status == 400, f"{name[:20]}: {a.status}")
            check(took_s < 1, f"{name[:20]}: {took_s:.1f} s")
        for model in ("m" * (NAME_MAX_BYTES + 1) + "/a1", "\xff", "/a1"):
            a = send(gateway.front, "/draft/1", headers={"Model": model})
            check(a.status == 400, f"{model[:20]}: {a.status}")
        a = send(gateway.front, "/order/1", headers={"Model": "m" * 200})
        check(a.status == 200, f"a service that is no engine: {a.status}")
        check(has_all_events(send_draft(gateway, "a1")), "ordinary")
        check(find_log_lines(gateway, "failed")[-1].get("reason") == "unusable_name",
              "no reason")
        check(gateway.popen.poll() is None, f"{gateway.name} ended")
    for engine in s.engines:
        for _, _, opcode, adapter, _ in engine.orders:
            check(adapter is None or len(adapter) <= NAME_MAX_BYTES, f"{adapter}")
            check(adapter is not None or opcode == "load", "unload of the model")


names_at_bounds.system_options = {"gateways": 3, "engines": 3}

SCENARIOS = [names_at_bounds]

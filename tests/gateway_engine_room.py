"""Scenarios of tests/gateway.py: engines whose memory holds fewer adapters than
they have slots."""

import threading
import time

from hosted import (
    MODEL, check, find_log_lines, has_all_events, make_config, send_draft, wait_for)

MODEL_MB = 65500.0
ADAPTER_MB = 150.0
FIT = 3
ADAPTERS = 18
BURST = 36


def put_sizes(s, version, memory, model=MODEL_MB, adapter=ADAPTER_MB):
    config = make_config(version)
    engine = config["services"][0]["engine"]
    engine["weightsMb"] = memory
    engine["models"] = [{"name": MODEL, "adapters": 100, "weightsMb": model,
                         "adapterMb": adapter}]
    s.store.put("op", "config", config)
    for gateway in s.gateways:
        wait_for("in force", lambda g=gateway: any(
            line.get("version") == str(version)
            for line in find_log_lines(g, "configuration")))


def drafts(s, n, adapters, pause_s=0.05):
    """Sends n drafts, one after the other, and returns their answers."""
    answers = []

    def run(i):
        answers.append(send_draft(s.gateways[i % len(s.gateways)],
                                  f"a{1 + i % adapters}",
                                  headers={"Deadline-Ms": "8000"}))

    threads = [threading.Thread(target=run, args=(i,)) for i in range(n)]
    for thread in threads:
        thread.start()
        time.sleep(pause_s)
    for thread in threads:
        thread.join()
    return answers


def overfull(s):
    return [(e.name, o[3]) for e in s.engines for o in e.orders
            if o[2] == "overfull"]


def engine_memory_binds(s):
    """Guards against engines that crash because places stand for memory."""
    for engine in s.engines:
        engine.adapters_max = FIT
    put_sizes(s, 2, MODEL_MB + FIT * ADAPTER_MB + 50)
    answers = drafts(s, BURST, ADAPTERS)
    whole = sum(has_all_events(a) for a in answers)
    print(f"{whole} of {len(answers)} whole; overfull: {overfull(s)}")
    check(not overfull(s), f"overfull: {overfull(s)}")
    check(whole > BURST / 2, f"{whole} of {BURST} answered")
    for n in range(ADAPTERS):
        a = wait_for(f"a{n + 1}", lambda n=n: has_all_events(
            send_draft(s.gw, f"a{n + 1}")))
        check(a, f"a{n + 1}")
    check(not overfull(s), f"overfull: {overfull(s)}")


def engine_memory_shrinks(s):
    """A configuration with less memory while engines hold more: no further load
    until there is room."""
    put_sizes(s, 2, MODEL_MB + 6 * ADAPTER_MB)
    drafts(s, 24, 12)
    put_sizes(s, 3, MODEL_MB + FIT * ADAPTER_MB)
    time.sleep(0.3)
    before = [len(e.orders) for e in s.engines]
    drafts(s, BURST, ADAPTERS)
    for engine, begin in zip(s.engines, before):
        held = None
        for _, _, opcode, adapter, status in engine.orders[begin:]:
            if opcode == "load" and status == 202:
                held = adapter
        check(held is None or len(engine.adapters) <= FIT,
              f"{engine.name} loaded {held} and holds {len(engine.adapters)}")
    check(not overfull(s), f"overfull: {overfull(s)}")


def adapter_larger_than_engine(s):
    """An adapter that no engine can hold is refused at once, and never ordered."""
    put_sizes(s, 2, MODEL_MB + ADAPTER_MB - 1)
    time.sleep(0.3)
    begin = time.monotonic()
    a = send_draft(s.gw, "a1")
    took_s = time.monotonic() - begin
    check(a.status == 503 and "Retry-After" in a.headers, f"{a.status}")
    check(took_s < 1, f"{took_s:.1f} s")
    check(any(line.get("reason") == "adapter_larger_than_engine"
              for line in find_log_lines(s.gw, "refused")), "no reason")
    check(not any(o[2] == "load" and o[3] for e in s.engines for o in e.orders),
          "ordered")


def odd_sizes(s):
    """Sizes that are absent or make no sense do not limit; each is logged."""
    for version, memory in enumerate((0, -1, "66000", None, [1]), 2):
        put_sizes(s, version, memory)
        check(has_all_events(send_draft(s.gw, f"a{version}")), f"{memory}")
    put_sizes(s, 7, MODEL_MB + ADAPTER_MB, model=0, adapter=-3)
    check(has_all_events(send_draft(s.gw, "a7")), "no sizes")
    versions = len(find_log_lines(s.gw, "bad_sizes"))
    check(versions == 5, f"{versions} log lines")


for scenario in (engine_memory_binds, engine_memory_shrinks,
                 adapter_larger_than_engine, odd_sizes):
    scenario.system_options = {"gateways": 3, "engines": 3, "plains": 0}

SCENARIOS = [engine_memory_binds, engine_memory_shrinks,
             adapter_larger_than_engine, odd_sizes]

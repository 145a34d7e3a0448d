"""Scenarios of tests/gateway.py with planned stops whose signal comes twice, at
the start, in a pause of the process, or in an outage, and with callers that
read slowly."""

import signal
import threading
import time

from gateway_silence import add_pauses, pause
from gateway_stops import (
    GRACE_S, KINDS, KeptCaller, add_long_routes, is_true_answer, show,
    stop)
from hosted import (
    EVENTS, Gateway, check, send, send_draft, wait_for)
from si_store import Store


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
    prepare(s, 0.8)
    shorter.stop_grace_s = 4
    shorter.write_settings(s.store.addr)
    shorter.popen.send_signal(signal.SIGHUP)
    wait_for("reloaded", lambda: "event=reloaded" in shorter.log())
    loads = [Load(g) for g in s.gateways]
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


SCENARIOS = [
    stop_signalled_again, stop_in_outage, stop_while_frozen, stop_at_start,
]

"""Scenarios of tests/gateway.py with several data centres of one region."""

import signal
import time

from hosted import check, wait_for


def peers_alive(gateway):
    """Names of the instances that the gateway sees alive."""
    return {line.split()[1] for line in gateway.state().splitlines()
            if line.startswith("peer ") and " alive=1 " in line}


def reader_of(gateways):
    readers = [g for g in gateways if g.reads_store()]
    return readers[0] if len(readers) == 1 else None


def check_seen(gateways, down, limit_s):
    """All but the one that is down see each other alive all the time."""
    others = [g for g in gateways if g is not down]
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        for g in others:
            missing = {o.name for o in others if o is not g} - peers_alive(g)
            check(not missing, f"{g.name} takes {missing} for dead")
        time.sleep(0.05)


def forwarder_gone(s):
    """The instance that forwards heartbeats to its data centre is paused, and
    then killed: its neighbours and the other data centre must not take each
    other for dead."""
    names = {g.name for g in s.gateways}
    halves = [s.gateways[0::2], s.gateways[1::2]]
    for g in s.gateways:
        wait_for("all are known", lambda g=g: peers_alive(g) | {g.name} == names)
    readers = [wait_for("one reads", lambda h=h: reader_of(h)) for h in halves]
    time.sleep(1)
    readers[0].popen.send_signal(signal.SIGSTOP)
    check_seen(s.gateways, readers[0], 4)
    readers[0].popen.send_signal(signal.SIGCONT)
    wait_for("it is back", lambda: all(
        peers_alive(g) | {g.name} == names for g in s.gateways))
    time.sleep(1)
    readers[1].kill()
    check_seen(s.gateways, readers[1], 4)


forwarder_gone.system_options = {"gateways": 6, "dcs": 2, "engines": 0}

SCENARIOS = [forwarder_gone]

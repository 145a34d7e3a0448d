"""Scenarios of tests/gateway.py with instances that are cut from endpoints, and
with brittle endpoints."""

import threading
import time

from cut_path import HANG, ONE_WAY, REFUSE, RESET_NEW, Path
from hosted import (
    System, check, find_log_lines, has_all_events, next_id, send, send_draft,
    wait_for)

CONTACT_S = 4.0  # setting contactMs of the users' platform


class Cuts:
    """Paths from each gateway to each replica: paths[gateway][replica]."""

    def __init__(self, system_views):
        self.views = system_views
        self.paths = []

    def add_gateway(self, store):
        self.paths.append({})
        self.views.append({})
        return store.add_view(self.views[-1])

    def add_replica(self, replica):
        for shown, paths in zip(self.views, self.paths):
            path = Path(replica.addr)
            shown[replica.addr] = path.addr
            paths[replica.name] = path

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
        self.cuts = Cuts([])
        super().__init__(**options)

    def gateway_store(self, store):
        addr = self.cuts.add_gateway(self.store)
        for replica in self.engines + self.plains:
            path = Path(replica.addr)
            self.cuts.views[-1][replica.addr] = path.addr
            self.cuts.paths[-1][replica.name] = path
        return addr


def cut_lines(s):
    """The log tells an instance that reaches no endpoint from one endpoint that
    has ended: by how many endpoints are not reached, and at which instances."""
    s.cuts.cut(0, REFUSE)
    for _ in range(12):
        send_draft(s.gateways[0], next_id())
        send(s.gateways[0].front, "/lookup/1", method="GET", body=None)
        send(s.gateways[1].front, "/lookup/1", method="GET", body=None)
    lines = find_log_lines(s.gateways[0], "unreached")
    check({line["endpoint"] for line in lines} >= {"e0", "e1"}, f"{lines}")
    check(max(int(line["unreached"]) for line in lines) ==
          int(lines[-1]["of"]), f"{lines}")
    check(not find_log_lines(s.gateways[1], "unreached"), "the other too")
    s.cuts.heal(0)
    wait_for("reached again", lambda: (
        send(s.gateways[0].front, "/lookup/1", method="GET", body=None),
        find_log_lines(s.gateways[0], "reached_again"))[1])
    s.plains[0].crash()
    for _ in range(12):
        for gateway in s.gateways:
            send(gateway.front, "/lookup/1", method="GET", body=None)
    for gateway in s.gateways:
        wait_for("one endpoint", lambda g=gateway: [
            line for line in find_log_lines(g, "unreached")
            if line["endpoint"] == "p0"])
    line = find_log_lines(s.gateways[1], "unreached")[-1]
    check((line["unreached"], line["of"]) == ("1", "4"), f"{line}")


cut_lines.system_options = {"gateways": 2}
cut_lines.system_class = CuttableSystem

SCENARIOS = [cut_lines]

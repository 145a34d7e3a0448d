"""Scenarios of tests/gateway.py in which the store turns single instances away
while keys of workspaces are added and withdrawn."""

import re
import time

from hosted import (
    Gateway, System, check, find_log_lines, http_get, make_config, send,
    wait_for)

REVOKE_S = 5.0  # from the store's acknowledgement, setting revokeMs
AWAY_MODES = ("busy", "limited", "reset", "silent")
MODEL_ROW = {"model": "m", "version": 1}


class TurnedAwaySystem(System):
    """As System; the store can turn each gateway away. The configuration has a
    workspace with one key, which s.change_key() replaces."""

    def __init__(self, **options):
        self.views = []
        self.version = 1
        self.key = None
        self.more_keys = []
        super().__init__(**{"engines": 0, **options})
        for gateway in self.gateways:
            wait_for("hears all", lambda g=gateway: g.state().count(
                " alive=1 ") == len(self.gateways) - 1)
        self.change_key()
        for gateway in self.gateways:
            wait_for("keys in effect", lambda g=gateway: key_status(
                g, None) == 401)

    def gateway_store(self, store):
        self.views.append(self.store.add_view())
        return self.views[-1]

    def turn_away(self, gateways, mode, table=None):
        for gateway in gateways:
            self.store.turn_away(self.views[gateway], mode, table)

    def change_key(self):
        """Writes a configuration with another key. Returns (former key, new
        key, time of the acknowledgement)."""
        former = self.key
        self.version += 1
        self.key = f"key-{self.version}"
        self.store.put("op", "config", {
            **make_config(self.version),
            "tenants": [{"name": "green", "apiKeys": [
                self.key, *self.more_keys]}]})
        return former, self.key, time.monotonic()

    def check_key_changes(self, gateways, what):
        """A key that is withdrawn stops working within REVOKE_S, and the one
        that replaces it works, at all these gateways."""
        former, key, begin = self.change_key()
        left = {(g, k) for g in gateways for k in (former, key)}
        took_s = {}
        while left and time.monotonic() - begin < REVOKE_S + 2:
            for g, k in sorted(left):
                status = key_status(self.gateways[g], k)
                if status == (401 if k == former else 200):
                    took_s[g, k] = time.monotonic() - begin
                    left.discard((g, k))
            time.sleep(0.02)
        check(not left, f"{what}: not in effect: {left}")
        print(f"{what}: in effect after {max(took_s.values()):.2f} s")
        check(max(took_s.values()) < REVOKE_S, f"{what}: {took_s}")
        for g in gateways:
            statuses = [key_status(self.gateways[g], k)
                        for k in (former, key, former, key)]
            check(statuses == [401, 200, 401, 200],
                  f"{what}: later at g{g}: {statuses}")


def key_status(gateway, key):
    headers = {} if key is None else {"Authorization": f"Bearer {key}"}
    return send(gateway.front, "/lookup/1", method="GET", body=None,
                headers=headers).status


def state_value(gateway, line, name):
    """The value of NAME=VALUE in the first line of /state that begins so."""
    for text in gateway.state().splitlines():
        if text.startswith(line):
            return re.search(rf"\b{name}=(\S+)", text).group(1)
    return None


def count(gateway, name):
    """Sum of a counter over its labels."""
    text = http_get(gateway.metrics, "/metrics")[1]
    return sum(int(line.split()[-1]) for line in text.splitlines()
               if line.startswith(f"fg_gw_{name}_total"))


def fetches(gateway):
    """Calls to other instances for configuration rows."""
    return count(gateway, "config_fetches")


def restart_strict(s, g, revoke_ms):
    """Starts the instance again with revoke_strict, which is read at starts."""
    gateway = s.gateways[g]
    gateway.kill()
    gateway.write_settings(s.views[g], "revoke_strict: true\n"
                           f"revoke_ms: {revoke_ms}\n")
    gateway.start()
    wait_for("serves", lambda: key_status(gateway, s.key) == 200)
    for i, other in enumerate(s.gateways):
        if i != g and other.popen.poll() is None:
            wait_for("hears others", lambda: " alive=1 " in gateway.state())


def wait_until_served(s, gateways):
    """The instances read the store again."""
    for g in gateways:
        gateway = s.gateways[g]
        wait_for(f"served again: {gateway.name}", lambda g=gateway: g.log(
        ).count("event=store_lost") == g.log().count("event=store_regained"))
        wait_for("ends to take rows from others", lambda g=gateway: state_value(
            g, "configuration_rows", "from_others") == "0")


def one_turned_away(s):
    """Fails if an instance keeps an old configuration while the store answers
    it 503 or 429, resets or never answers, and no neighbour reads the store."""
    for mode in AWAY_MODES:
        taken = len(find_log_lines(s.gateways[1], "configuration_taken"))
        s.turn_away([1], mode)
        s.check_key_changes([1], f"{mode}, at once")
        time.sleep(2.5)
        s.check_key_changes([1], f"{mode}, later")
        lines = find_log_lines(s.gateways[1], "configuration_taken")
        check(len(lines) > taken, f"{mode}: not taken from another instance")
        check(lines[-1]["instance"] == "g0", f"{lines[-1]}")
        s.turn_away([1], "up")
        wait_until_served(s, [1])
    begun = find_log_lines(s.gateways[1], "configuration_from_others")
    ended = find_log_lines(s.gateways[1], "configuration_from_store")
    check(len(begun) == len(ended) >= len(AWAY_MODES), f"{begun} {ended}")
    check({line["reason"] for line in begun} <= {"reads_fail", "behind"},
          f"{begun}")
    check(not find_log_lines(s.gateways[0], "configuration_from_others"),
          "the instance that is served takes rows from another one")


one_turned_away.system_options = {"gateways": 2, "dcs": 2}
one_turned_away.system_class = TurnedAwaySystem


def data_centre_turned_away(s):
    """Fails if the instances of a data centre keep an old configuration while
    the store turns all of them away and serves those of another one."""
    for mode in ("busy", "silent"):
        s.turn_away([1, 3], mode)
        s.check_key_changes([1, 3], f"{mode}, at once")
        time.sleep(2.5)
        s.check_key_changes([1, 3], f"{mode}, later")
        s.turn_away([1, 3], "up")
        wait_until_served(s, [1, 3])
    s.check_key_changes(range(4), "healed")


data_centre_turned_away.system_options = {"gateways": 4, "dcs": 2}
data_centre_turned_away.system_class = TurnedAwaySystem


def large_configuration(s):
    """Fails if a configuration with 10,000 keys does not get from one instance to
    another, whether the other follows it or the store turns the other away."""
    s.more_keys = [f"{n:05d}" + "k" * 43 for n in range(10000)]
    s.check_key_changes(range(3), "large")
    failures = [count(g, "relay_failures") for g in s.gateways]
    s.check_key_changes(range(3), "large, relayed")
    s.turn_away([1], "busy")
    s.check_key_changes(range(3), "large, turned away")
    check(key_status(s.gateways[1], s.more_keys[-1]) == 200, "last key")
    check(not find_log_lines(s.gateways[1], "answer_refused"), "refused")
    check(s.gateways[0].reads_store() != s.gateways[2].reads_store(),
          "no follower")
    check([count(g, "relay_failures") for g in s.gateways] == failures,
          "not relayed to the follower")


large_configuration.system_options = {"gateways": 3, "dcs": 2}
large_configuration.system_class = TurnedAwaySystem


class TwoRegionsGateway(Gateway):
    regions = {"dc1": "r1", "dc2": "r2"}


class TwoRegionsSystem(TurnedAwaySystem):
    gateway_class = TwoRegionsGateway


def region_turned_away(s):
    """The same for all instances of a region, which hear of a change only
    through the rarer heartbeats between regions."""
    for mode in ("busy", "silent"):
        s.turn_away([1, 3], mode)
        s.check_key_changes([1, 3], f"{mode}, at once")
        time.sleep(2.5)
        s.check_key_changes([1, 3], f"{mode}, later")
        s.turn_away([1, 3], "up")
        wait_until_served(s, [1, 3])


region_turned_away.system_options = {"gateways": 4, "dcs": 2}
region_turned_away.system_class = TwoRegionsSystem


def reader_turned_away(s):
    """Fails if the instance that reads the store for its data centre keeps an
    old configuration when it is turned away, or its neighbours with it."""
    for mode in AWAY_MODES:
        reader = wait_for("one reader", lambda: (
            [i for i, g in enumerate(s.gateways) if g.reads_store()]
            if sum(g.reads_store() for g in s.gateways) == 1 else None))[0]
        s.turn_away([reader], mode)
        s.check_key_changes(range(3), f"{mode}, at once")
        time.sleep(2.5)
        s.check_key_changes(range(3), f"{mode}, later")
        s.turn_away([reader], "up")
        wait_until_served(s, [reader])


reader_turned_away.system_options = {"gateways": 3}
reader_turned_away.system_class = TurnedAwaySystem


def healing_skips_no_row(s):
    """Fails if rows from another instance hide rows of the store: after the
    store answers again, the feed goes on from what was read from the store."""
    s.turn_away([1], "busy")
    wait_for("lost", lambda: find_log_lines(s.gateways[1], "store_lost"))
    read = int(state_value(s.gateways[1], "feed op", "version"))
    s.store.put("op", "version/m/a1", {**MODEL_ROW, "adapter": "a1"})
    s.check_key_changes([1], "away")
    check(int(state_value(s.gateways[1], "feed op", "version")) == read,
          "rows of another instance advance the feed")
    check(int(state_value(s.gateways[1], "configuration_rows", "known")) >
          read, "not known")
    s.gateways[0].kill()
    # Nobody can give these rows: they come from the store.
    s.store.put("op", "version/m/a2", {**MODEL_ROW, "adapter": "a2"})
    former, key, _ = s.change_key()
    time.sleep(1.0)
    check(key_status(s.gateways[1], former) == 200, "knows what nobody told")
    s.turn_away([1], "up")
    wait_until_served(s, [1])
    wait_for("the store's key", lambda: key_status(s.gateways[1], key) == 200,
             4)
    check(key_status(s.gateways[1], former) == 401, "former key")
    lines = find_log_lines(s.gateways[1], "version_announced")
    check(sorted(line["adapter"] for line in lines) == ["a1", "a2"],
          f"announcements: {lines}")
    for n in range(3):
        s.check_key_changes([1], f"healed {n}")
    versions = [int(line["version"]) for line in find_log_lines(
        s.gateways[1], "configuration")]
    check(versions == sorted(set(versions)), f"went back: {versions}")


healing_skips_no_row.system_options = {"gateways": 2, "dcs": 2}
healing_skips_no_row.system_class = TurnedAwaySystem


def restored_while_away(s):
    """Fails if an instance that is turned away takes rows of an earlier era of
    the store for newer ones, or does not follow the new era: version numbers
    begin again at lower ones."""
    s.store.keep_copy()
    time.sleep(0.1)
    for n in range(3):
        s.check_key_changes([0, 1], f"before {n}")
    s.turn_away([1], "busy")
    wait_for("lost", lambda: find_log_lines(s.gateways[1], "store_lost"))
    check(s.store.restore(), "no copy")
    s.check_key_changes([0, 1], "restored")
    s.turn_away([1], "up")
    wait_until_served(s, [1])
    s.check_key_changes([0, 1], "healed")
    for gateway in s.gateways:
        versions = [int(line["version"]) for line in find_log_lines(
            gateway, "configuration")]
        check(versions == sorted(set(versions)), f"went back: {versions}")


restored_while_away.system_options = {"gateways": 2, "dcs": 2}
restored_while_away.system_class = TurnedAwaySystem


def others_confirm(s):
    """Fails if an instance that is turned away but hears others counts its
    configuration as outdated: it would answer 503 to keys that hold
    (revoke_strict) and to unknown ones. Nothing is fetched meanwhile."""
    restart_strict(s, 1, 3500)
    s.turn_away([1], "busy")
    wait_for("lost", lambda: find_log_lines(s.gateways[1], "store_lost"))
    before = fetches(s.gateways[1])
    end = time.monotonic() + 8
    while time.monotonic() < end:
        statuses = [key_status(s.gateways[1], k) for k in (s.key, "none")]
        check(statuses == [200, 401], f"{statuses}")
        time.sleep(0.05)
    check(fetches(s.gateways[1]) == before, "calls while nobody is ahead")
    s.check_key_changes([1], "strict")


others_confirm.system_options = {"gateways": 2, "dcs": 2}
others_confirm.system_class = TurnedAwaySystem


def hears_nobody(s):
    """Fails if an instance that hears nobody stops serving without
    revoke_strict, or goes on with it: no key could be seen to be withdrawn."""
    s.gateways[0].kill()
    s.turn_away([1], "silent")
    gateway = s.gateways[1]
    end = time.monotonic() + 7
    while time.monotonic() < end:
        check(key_status(gateway, s.key) == 200, "does not serve")
        time.sleep(0.1)
    check(key_status(gateway, "none") == 503, "final answer to a new key")
    s.turn_away([1], "up")
    wait_until_served(s, [1])
    restart_strict(s, 1, 3000)
    begin = time.monotonic()
    s.turn_away([1], "busy")
    wait_for("stops serving", lambda: key_status(gateway, s.key) == 503, 6)
    # The last confirmation may be as old as a call of the feed takes.
    check(time.monotonic() - begin > 0.5, "too early")
    check(key_status(gateway, None) == 503, "without a key")
    line = find_log_lines(gateway, "refused")[-1]
    check(line["reason"] == "configuration_stale", f"{line}")
    s.turn_away([1], "up")
    wait_for("serves again", lambda: key_status(gateway, s.key) == 200, 4)


hears_nobody.system_options = {"gateways": 2, "dcs": 2}
hears_nobody.system_class = TurnedAwaySystem


def starts_turned_away(s):
    """Fails if an instance that starts while the store turns its reads of the
    configuration away serves nobody although another instance knows it."""
    s.gateways[1].kill()
    s.turn_away([1], "busy", "op")
    s.gateways[1].start()
    wait_for("serves", lambda: key_status(s.gateways[1], s.key) == 200, 6)
    lines = find_log_lines(s.gateways[1], "configuration_from_others")
    check(lines[-1]["reason"] == "no_configuration", f"{lines}")
    s.check_key_changes([1], "started")
    s.turn_away([1], "up")
    wait_until_served(s, [1])
    s.check_key_changes([0, 1], "healed")


starts_turned_away.system_options = {"gateways": 2, "dcs": 2}
starts_turned_away.system_class = TurnedAwaySystem


def no_fetch_without_workspaces(s):
    """Fails if deployments without workspaces ask other instances."""
    s.store.put("op", "config", make_config(50))
    for gateway in s.gateways:
        wait_for("no keys", lambda g=gateway: key_status(g, None) == 200)
    before = fetches(s.gateways[1])
    s.turn_away([1], "busy")
    s.store.put("op", "config", make_config(60))
    time.sleep(3)
    check(fetches(s.gateways[1]) == before, "asks")
    check(not find_log_lines(s.gateways[1], "configuration_from_others"),
          "log line")


no_fetch_without_workspaces.system_options = {"gateways": 2, "dcs": 2}
no_fetch_without_workspaces.system_class = TurnedAwaySystem


SCENARIOS = [
    one_turned_away, data_centre_turned_away, region_turned_away,
    reader_turned_away, large_configuration, healing_skips_no_row, restored_while_away,
    others_confirm, hears_nobody, starts_turned_away,
    no_fetch_without_workspaces,
]

"""Scenarios of tests/gateway.py with limits of workspaces over all instances."""

import http.client
import signal
import threading
import time

from hosted import (
    Gateway, System, check, http_get, make_config, next_id, send, wait_for)

RATE = 4200
WINDOW_S = 8
EXCESS = 0.1
SLACK = 2000
TOKENS = 100  # of one request
KEY = "key-of-w1"
RECOVER_S = 15
RETIRED_S = 40  # silence, mark, removal
FORGOTTEN_S = 11  # of a removed row


class LimitGateway(Gateway):
    def write_settings(self, store, extra=""):
        super().write_settings(store, "lookup_ttl_s: 2\n"
                               f"quota_window_s: {WINDOW_S}\n"
                               f"quota_excess: {EXCESS}\n"
                               f"quota_slack: {SLACK}\n" + extra)


class LimitSystem(System):
    gateway_class = LimitGateway


class Calls:
    """Requests of one workspace: (time sent, id, answer) of each."""

    def __init__(self, s):
        self.s = s
        self.sent = []

    def call(self, gateway):
        rid = next_id()
        at = time.monotonic()
        a = send(gateway.front, "/lookup/1", rid, headers={
            "Authorization": f"Bearer {KEY}", "Token-Count": "80,20"})
        self.sent.append((at, rid, a))
        return a

    def press(self, gateways, length_s, callers=6):
        """Returns the answers to callers that never pause."""
        first = len(self.sent)
        end = time.monotonic() + length_s

        def run(gateway):
            while time.monotonic() < end:
                if self.call(gateway).status != 200:
                    time.sleep(0.01)

        threads = [threading.Thread(target=run, args=(gateways[i % len(gateways)],))
                   for i in range(callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.sent[first:]

    def tokens_run(self, sent):
        return TOKENS * sum(self.s.run_count(rid) for _, rid, _ in sent)

    def judge(self, sent, rate):
        """Tokens that ran, in any window of WINDOW_S, against the limit."""
        bound = (rate * WINDOW_S + rate) * (1 + EXCESS) + SLACK
        run = sorted((at, self.s.run_count(rid)) for at, rid, _ in sent)
        for at, _ in run:
            tokens = TOKENS * sum(n for t, n in run if at <= t < at + WINDOW_S)
            check(tokens <= bound, f"{tokens} tokens of {bound:.0f} in a window")

    def check_refused(self, sent):
        for _, rid, a in sent:
            if a.status in (429, 503):
                check("Retry-After" in a.headers, f"{rid}: no Retry-After")
                check(self.s.run_count(rid) == 0, f"{rid}: refused and ran")


def put_limit(s, version, rate):
    config = make_config(version)
    config["tenants"] = [{"name": "w1", "apiKeys": [KEY], "unit": "token_count",
                          "plainTokens": 400, "ratePerS": rate, "burst": rate}]
    s.store.put("op", "config", config)
    wait_for("limit", lambda: all("limit workspace=" in g.state()
                                  for g in s.gateways))


def account_holder(s):
    return next(g for g in s.gateways if " here=1 " in g.state())


def prepare(s):
    put_limit(s, 2, RATE)
    calls = Calls(s)
    wait_for("first", lambda: calls.call(s.gw).status == 200)
    return calls


def limit_of_workspace(s):
    """Callers through one instance and through all get the limit, no more, and
    those beyond it a 429 with the time at which they are served."""
    calls = prepare(s)
    for gateways in ([s.gateways[0]], [s.gateways[2]], s.gateways):
        sent = calls.press(gateways, 3)
        tokens = calls.tokens_run(sent)
        refused = [a for _, _, a in sent if a.status == 429]
        print(f"{len(gateways)} instances: {tokens} tokens in 3 s, "
              f"{len(refused)} of {len(sent)} refused")
        check(tokens <= (RATE * 3 + RATE) * (1 + EXCESS) + SLACK,
              f"{tokens} tokens in 3 s")
        check(tokens >= 0.7 * RATE * 3, f"only {tokens} tokens in 3 s")
        check(refused, "nothing refused")
    calls.check_refused(calls.sent)
    calls.judge(calls.sent, RATE)
    for gateway in s.gateways:
        sent = calls.press([gateway], 0.5)
        last = [a for _, _, a in sent if a.status == 429][-1]
        time.sleep(float(last.headers["Retry-After"]))
        check(calls.call(gateway).status == 200, "came back in time, refused")


def limit_outlives_holder(s):
    """The holder of the account is killed, and is frozen."""
    calls = prepare(s)
    calls.press(s.gateways, 1)
    for fault in (signal.SIGKILL, signal.SIGSTOP):
        holder = account_holder(s)
        others = [g for g in s.gateways if g is not holder]
        holder.popen.send_signal(fault)
        sent = calls.press(others, 3)
        if fault == signal.SIGKILL:
            holder.kill()
            holder.start()
            wait_for("ready", holder.is_ready)
        else:
            holder.popen.send_signal(signal.SIGCONT)
        tokens = calls.tokens_run(sent)
        print(f"{holder.name} {fault.name}: {tokens} tokens in 3 s")
        check(tokens >= 0.4 * RATE * 3, f"only {tokens} tokens in 3 s")
        calls.press(s.gateways, 2)
    calls.check_refused(calls.sent)
    calls.judge(calls.sent, RATE)


def limit_lowered(s):
    """A lower limit binds; without one, all is admitted."""
    calls = prepare(s)
    calls.press(s.gateways, 1)
    put_limit(s, 3, RATE / 4)
    wait_for("in force", lambda: all(
        "fg_gw_configuration_version 3" in read_metrics(g) for g in s.gateways))
    sent = calls.press(s.gateways, 4)
    tokens = calls.tokens_run(sent)
    print(f"lowered: {tokens} tokens in 4 s")
    check(tokens <= (RATE + RATE / 4) * (1 + EXCESS) + SLACK,
          f"{tokens} tokens in 4 s")
    calls.check_refused(sent)


def read_metrics(gateway):
    return http_get(gateway.metrics, "/metrics")[1]


def limit_returns_tokens(s):
    """Tokens of requests that no endpoint ran are there for the next ones: more
    than the rate alone gives."""
    calls = prepare(s)
    time.sleep(1)
    for plain in s.plains:
        plain.faults["not_run"] = 1 << 30
    sent = calls.press([account_holder(s)], 1)
    check(calls.tokens_run(sent) == 0, "ran")
    for plain in s.plains:
        plain.faults["not_run"] = 0
    tokens = calls.tokens_run(calls.press(s.gateways, 1))
    print(f"after {len(sent)} that did not run: {tokens} tokens in 1 s")
    check(tokens > 1.3 * RATE, f"only {tokens} tokens in 1 s")
    calls.check_refused(calls.sent)
    calls.judge(calls.sent, RATE)


TENANTS = 6
TENANT_RATE = 800  # tokens a second, far below what is asked
TENANT_CALLERS = 24
HOLDER_STOPS = 8
ORDER_WORK_S = 0.6


def put_tenant_limits(s):
    config = make_config(2)
    limits = {"calm": 10_000_000,
              **{f"hot{i}": TENANT_RATE for i in range(TENANTS)}}
    config["tenants"] = [
        {"name": name, "apiKeys": [f"key-of-{name}"], "unit": "token_count",
         "plainTokens": TOKENS, "ratePerS": rate, "burst": rate}
        for name, rate in limits.items()]
    s.store.put("op", "config", config)
    wait_for("limits", lambda: all(
        g.state().count("limit workspace=") == 1 + TENANTS for g in s.gateways))


class Crowd:
    """Callers beyond their limits, and orders of one that is far below its own,
    at whichever instances serve."""

    def __init__(self, s):
        self.s = s
        self.serving = list(s.gateways)
        self.over = threading.Event()
        self.statuses = {}
        self.orders = []  # (id, status, the process that took it)
        self.threads = [
            threading.Thread(target=self.press, args=(f"hot{i}", k))
            for i in range(TENANTS) for k in range(TENANT_CALLERS)]
        self.threads += [threading.Thread(target=self.order, args=(k,))
                         for k in range(6)]
        for thread in self.threads:
            thread.start()

    def gateway(self, seed):
        serving = self.serving
        return serving[seed % len(serving)]

    def press(self, tenant, seed):
        while not self.over.wait(0.02 + 0.01 * (seed % 8)):
            seed += 1
            try:
                a = send(self.gateway(seed).front, "/lookup/1", headers={
                    "Authorization": f"Bearer key-of-{tenant}"})
            except (OSError, http.client.HTTPException):
                continue
            self.statuses[a.status] = self.statuses.get(a.status, 0) + 1

    def order(self, seed):
        while not self.over.wait(0.02):
            seed += 1
            rid = next_id()
            gateway = self.gateway(seed)
            process = gateway.popen
            try:
                status = send(gateway.front, "/order/1", rid, headers={
                    "Authorization": "Bearer key-of-calm",
                    "Deadline-Ms": "300"}).status
            except (OSError, http.client.HTTPException):
                status = 0
            self.orders.append((rid, status, process))

    def end(self):
        self.over.set()
        for thread in self.threads:
            thread.join()


def holders_stop_above_limits(s):
    """Instances that hold accounts stop one after the other while their
    workspaces are above the limits. No other process ends, and no order that ran
    is answered as one that did not."""
    put_tenant_limits(s)
    for plain in s.plains:
        plain.duration_s = lambda req, usual_s: (
            ORDER_WORK_S if req.target.startswith("/order/") else 0.0)
    crowd = Crowd(s)
    ends = []
    for n in range(HOLDER_STOPS):
        time.sleep(0.5)
        gateway = s.gateways[n % len(s.gateways)]
        crowd.serving = [g for g in s.gateways if g is not gateway]
        gateway.popen.send_signal(signal.SIGTERM)
        ends.append(gateway.popen.wait(15))
        for other in crowd.serving:
            if other.popen.poll() is not None:
                ends.append(other.popen.returncode)
                other.start()
        gateway.start()
        wait_for("ready", gateway.is_ready)
        crowd.serving = list(s.gateways)
    crowd.end()
    refused = [rid for rid, status, _ in crowd.orders if status in (429, 503)]
    print(f"answers {crowd.statuses}; {len(crowd.orders)} orders, "
          f"{len(refused)} refused; processes ended with {ends}")
    check(not any(ends) and len(ends) == HOLDER_STOPS,
          f"processes ended with {ends}")
    check(crowd.statuses.get(429, 0) > 0, "nothing was above its limit")
    ran = [rid for rid in refused if s.run_count(rid) > 0]
    check(not ran, f"ran and were refused: {ran}")
    for g in s.gateways:
        check("state_fault" not in g.log(), f"{g.name}: state_fault")


def limit_after_replacements(s):
    """Requests within their limit are served after each instance was replaced
    by one of another name, and all of these were killed and are back."""
    calls = prepare(s)
    old = list(s.gateways)
    for i, gateway in enumerate(old):
        new = type(gateway)(s.store.addr, f"h{i}", s.folder.name)
        s.gateways.append(new)
        wait_for("ready", new.is_ready)
        gateway.popen.send_signal(signal.SIGTERM)
        check(gateway.popen.wait(15) == 0, "exit code")
    live = [g for g in s.gateways if g not in old]
    for gateway in live:
        gateway.kill()
    for gateway in live:
        gateway.start()
    for gateway in live:
        wait_for("ready", gateway.is_ready)
    time.sleep(RECOVER_S)
    answers = [calls.call(g).status for g in live for _ in range(4)]
    check(answers == [200] * len(answers), f"{answers}")
    rows = s.store.keys("fulmargauge", "instance/")
    check(len(rows) == len(live), f"rows of {sorted(rows)}")


def instance_rows(s):
    return {k.split("/")[1] for k in s.store.keys("fulmargauge", "instance/")}


def add_gateway(s, name):
    new = type(s.gateways[0])(s.store.addr, name, s.folder.name)
    s.gateways.append(new)
    wait_for("ready", new.is_ready)
    return new


def kill_and_restart(gateways):
    for gateway in gateways:
        gateway.kill()
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        wait_for("ready", gateway.is_ready)


def limit_after_deaths(s):
    """Requests within their limit are served after each instance was killed for
    good and replaced by one of another name, and all of these were killed and
    are back."""
    calls = prepare(s)
    old = list(s.gateways)
    live = [add_gateway(s, f"h{i}") for i in range(2)]
    for gateway in old[:2]:
        gateway.kill()
    wait_for("rows of the dead are removed", lambda: not instance_rows(s) & {
        g.name for g in old[:2]}, RETIRED_S)
    old[2].kill()
    kill_and_restart(live)
    time.sleep(RECOVER_S)
    answers = [calls.call(g).status for g in live for _ in range(4)]
    check(answers == [200] * len(answers), f"{answers}")


def limit_after_pause(s):
    """An instance that was paused until the others removed its row announces
    itself again, and serves."""
    calls = prepare(s)
    paused = s.gateways[2]
    paused.popen.send_signal(signal.SIGSTOP)
    wait_for("its row is removed", lambda: paused.name not in instance_rows(s),
             RETIRED_S)
    paused.popen.send_signal(signal.SIGCONT)
    wait_for("its row is back", lambda: paused.name in instance_rows(s))
    wait_for("it is alive for the others", lambda: all(
        any(line.startswith(f"peer {paused.name} ") and "alive=1" in line
            for line in g.state().splitlines()) for g in s.gateways[:2]))
    time.sleep(1)
    answers = [calls.call(g).status for g in s.gateways for _ in range(4)]
    check(answers == [200] * len(answers), f"{answers}")


def removal_without_history(s):
    """An instance whose row was removed while another one could not read, and
    whose removal the store has forgotten, no longer counts there."""
    calls = prepare(s)
    left, right = s.gateways
    left.popen.send_signal(signal.SIGSTOP)
    right.popen.send_signal(signal.SIGTERM)
    check(right.popen.wait(15) == 0, "exit code")
    check(right.name not in instance_rows(s), "its row is still there")
    s.store.drop_history()
    s.store.put("servers", "other", {})  # a newer version than those dropped
    s.store.drop_history()
    left.popen.send_signal(signal.SIGCONT)
    wait_for("forgotten", lambda: f"peer {right.name} " not in left.state())
    time.sleep(FORGOTTEN_S)
    check(calls.call(left).status == 200, "refused")


for scenario in (limit_after_deaths, limit_after_pause):
    scenario.system_class = LimitSystem
    scenario.system_options = {"gateways": 3, "plains": 3, "engines": 0}
removal_without_history.system_class = LimitSystem
removal_without_history.system_options = {"gateways": 2, "engines": 0}

for scenario in (limit_of_workspace, limit_outlives_holder, limit_lowered,
                 limit_returns_tokens, limit_after_replacements,
                 holders_stop_above_limits):
    scenario.system_class = LimitSystem
    scenario.system_options = {"gateways": 3, "plains": 3, "engines": 0}

SCENARIOS = [limit_of_workspace, limit_outlives_holder, limit_lowered,
             limit_returns_tokens, limit_after_replacements,
             holders_stop_above_limits, limit_after_deaths, limit_after_pause,
             removal_without_history]

"""Streams without a length that come through another gateway, which is killed."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from system import (  # noqa: E402
    MODEL, CannotRun, Gateway, Path, Replica, Store, make_config, request,
    run_case, wait_for)

ZONES = ("mvd-a", "slt-a", "tbo-a")
ENGINES = 5
ADAPTERS = 20
EVENTS = 57          # of manifest-summary
EVENT_S = 0.08
CUT_RATE = 20        # streams a second at the gateway that is cut
OTHER_RATE = 2       # at each other one
UNFRAMED_SHARE = 0.05
ROUNDS = 5
CUT_S = 5.0
KILL_AT_S = 4.0      # into the cut
DOWN_S = 2.0
PAUSE_S = 6.0        # calm between the rounds


class Case:
    def __init__(self, record):
        self.record = record
        self.unframed_at = set()  # names of the replicas
        self.results = []         # (request id, gateway, Answer)
        self.unframed = set()     # request ids
        self.n = 0

    async def run(self, replica, fields, method, target, writer):
        """An event stream; a share of them ends with its connection."""
        rid = fields["request-id"]
        unframed = (replica.name in self.unframed_at and
                    random.random() < UNFRAMED_SHARE)
        first = int(fields.get("last-event-id", "0")) + 1
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += "".join(f"{k}: {v}\r\n"
                        for k, v in replica.stamp(fields).items())
        if unframed:
            self.unframed.add(rid)
            self.record.add("unframed", rid, "at", replica.name)
        else:
            head += "Transfer-Encoding: chunked\r\n"
        writer.write(head.encode() + b"\r\n")
        for i in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {i}\ndata: piece {i} of {rid}\n\n".encode()
            writer.write(event if unframed else
                         b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.record.add("run ends", rid, "at", replica.name)
        return not unframed

    async def call(self, gateway):
        self.n += 1
        rid = f"{self.n:08x}"
        self.record.add("send", rid, "to", gateway.name)
        answer = await request(gateway.front, "POST", "/summary/1", {
            "Request-Id": rid, "Deadline-Ms": "15000",
            "Model": f"{MODEL}/a{random.randrange(ADAPTERS)}",
            "Token-Count": "1460,170"}, b"x" * 600, limit_s=15.0)
        events = answer.body.count(b"id: ")
        self.record.add("answer", rid, answer.status, "events", events,
                        "complete" if answer.whole else "broken off")
        self.results.append((rid, gateway, answer))

    async def traffic(self, gateway, rate):
        calls = []
        try:
            while True:
                calls.append(asyncio.create_task(self.call(gateway)))
                await asyncio.sleep(random.expovariate(rate))
        except asyncio.CancelledError:
            await asyncio.gather(*calls)

    def wrong(self):
        """Streams that ended as complete without all events in order."""
        out = []
        for rid, _, answer in self.results:
            if answer.status != 200 or not answer.whole:
                continue
            ids = [int(line[4:]) for line in answer.body.split(b"\n")
                   if line.startswith(b"id: ")]
            if ids != list(range(1, EVENTS + 1)):
                out.append((rid, len(ids)))
        return out


async def play(record, scratch, trouble, ends):
    random.seed(os.environ.get("SEED"))
    case = Case(record)
    store = Store()
    store.put("op", "config", make_config())
    replicas = [Replica(record, store, f"e{i}", "menu-models", True,
                        ZONES[i % 3], case.run) for i in range(ENGINES)]
    for replica in replicas:
        await replica.start()
    # The first gateway reaches the replicas on paths that can be cut.
    paths = [Path(r.addr) for r in replicas]
    for path in paths:
        await path.heal()
    view = store.add_view({r.addr: p.addr for r, p in zip(replicas, paths)})
    gateways = [Gateway(record, scratch, f"g{i}", ZONES[i],
                        view if i == 0 else store.addr) for i in range(3)]
    for gateway in gateways:
        ends.append(gateway.end)
        gateway.start()
    for gateway in gateways:
        await wait_for("ready", gateway.is_ready)
    await asyncio.sleep(3)
    traffic = [asyncio.create_task(case.traffic(
        g, CUT_RATE if i == 0 else OTHER_RATE))
        for i, g in enumerate(gateways)]
    await asyncio.sleep(6)
    for n in range(ROUNDS):
        victim = gateways[1 + n % 2]
        if trouble:
            for replica, path in zip(replicas, paths):
                record.say("cut", gateways[0].name, "from", replica.name)
                await path.cut()
            case.unframed_at = {replicas[(n + k) % ENGINES].name
                                for k in range(3)}
        await asyncio.sleep(KILL_AT_S)
        if trouble:
            victim.signal(signal.SIGKILL)
        await asyncio.sleep(CUT_S - KILL_AT_S)
        if trouble:
            record.say("heal")
            for path in paths:
                await path.heal()
            case.unframed_at = set()
        await asyncio.sleep(DOWN_S - (CUT_S - KILL_AT_S))
        if trouble:
            victim.start()
        await asyncio.sleep(PAUSE_S)
    for task in traffic:
        task.cancel()
    await asyncio.gather(*traffic, return_exceptions=True)
    served = sum(1 for _, _, a in case.results if a.status == 200 and a.whole)
    record.say(len(case.results), "streams,", served, "answered as complete,",
               len(case.unframed), "of them without a length")
    if served < len(case.results) / 2:
        raise CannotRun("under half of the streams were served")
    wrong = case.wrong()
    for rid, n in wrong:
        record.say("complete with", n, "of", EVENTS, "events:", rid)
    return not wrong


run_case(HERE, play)

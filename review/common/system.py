"""A small deployment on loopback addresses: gateways started with the command
and the settings template of the deploy file, the project's stand-in of the
platform's store, and stand-ins of replicas, network paths and requesters."""

import asyncio
import fcntl
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "standin", "hosted"))

from si_store import Store  # noqa: E402, F401

HOST = "kitchen.example"
MODEL = "m0"
BEAT_S = 1.2
ZONES = {"mvd-a": "montevideo", "slt-a": "salto", "tbo-a": "tacuarembo"}
# The bounds of the installation on the users' page.
BOUNDS = {
    "retryBudgetRatio": 0.2, "retryBudgetSlack": 58, "graceS": 8,
    "version_ms": 5000, "drainMs": 2500, "leaseMs": 3000,
    "fencingRequired": "true", "contactMs": 4000, "lossSlackMs": 200}


class CannotRun(Exception):
    """The case cannot be judged."""


# ---- Record ----

class Record:
    """Lines of record.txt, each with the time since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def add(self, *words):
        line = " ".join(str(w) for w in words)
        self.file.write(f"{self.now():8.3f} {line}\n")

    def say(self, *words):
        self.add(*words)
        self.file.flush()
        print(*words, flush=True)


# ---- Gateways ----

PORTS = range(20000, 32000)
BLOCK_PORTS = 100
block = []  # the ports that are left of the block that this run holds


def hold_block():
    """Takes a block of ports that no other run holds; the lock lasts as long as
    this process."""
    folder = os.path.join(tempfile.gettempdir(), "fulmargauge-review-ports")
    os.makedirs(folder, exist_ok=True)
    for first in random.sample(PORTS[::BLOCK_PORTS],
                               len(PORTS) // BLOCK_PORTS):
        lock = os.open(os.path.join(folder, str(first)),
                       os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            continue
        block.extend(range(first, first + BLOCK_PORTS))
        return
    raise CannotRun("no block of ports is free")


def free_port():
    if not block:
        hold_block()
    while block:
        port = block.pop()
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise CannotRun("no port is free")


def look_up(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if fields is not None else None
    return "" if fields is None else str(fields)


def render(template, fields):
    """Fills the template in as the platform's page on deployment says."""
    def section(match):
        entries = fields.get(match[1], {})
        return "".join(
            match[2].replace("{{@}}", str(k)).replace("{{.}}", str(v))
            for k, v in entries.items())
    template = re.sub(r"{{#(\w+)}}\n?(.*?){{/\1}}\n?", section, template,
                      flags=re.S)
    return re.sub(r"{{([\w.]+)}}", lambda m: look_up(fields, m[1]), template)


class Gateway:
    def __init__(self, record, folder, name, zone, store, bounds=None):
        self.record = record
        self.name = name
        self.zone = zone
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as f:
            template = f.read()
        ports = [free_port() for _ in range(5)]
        self.front, self.ready, self.directory, self.mesh, self.metrics = (
            f"127.0.0.1:{p}" for p in ports)
        text = render(template, {
            "node": name, "zone": zone, "region": ZONES[zone],
            "ip": "127.0.0.1", "internalPorts": [ports[3], ports[3]],
            "listen": {"front": self.front, "ready": self.ready,
                       "directory": self.directory},
            "platform": {"addr": store}, "bounds": {**BOUNDS, **(bounds or {})},
            "firstStart": "true", "zones": ZONES})
        # All machines share one address here, so that the port differs.
        text = re.sub(r"(?m)^metrics: .*$", f"metrics: {self.metrics}", text)
        self.settings = os.path.join(folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(text)
        self.log_path = os.path.join(folder, name + ".log")
        words = role["run"].split()
        self.command = [os.path.join(ROOT, words[0]), *words[1:-1],
                        self.settings]
        if not os.path.exists(self.command[0]):
            raise CannotRun(f"{words[0]} has not been built")
        self.process = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.record.add("start", self.name)

    def signal(self, number):
        self.record.say("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def get(self, address, path):
        return await request(address, "GET", path, {}, limit_s=2.0)

    async def is_ready(self):
        return (await self.get(self.ready, "/api/readiness")).status == 200

    async def state(self):
        return (await self.get(self.metrics, "/state")).body.decode()

    def log(self):
        with open(self.log_path, encoding="utf-8") as f:
            return f.read()


async def wait_for(what, condition, limit_s=15):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not seen within {limit_s} s: {what}")


# ---- HTTP ----

async def read_head(reader):
    """Returns the first line and the fields, with lower-case names."""
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    return lines[0], fields


class Answer:
    status = 0     # 0: none
    fields = {}
    body = b""
    whole = False  # the answer is complete


async def read_body(reader, answer, slow):
    """`slow`: (bytes, seconds): reads so many bytes, then waits."""
    async def read(n):
        data = await reader.read(min(n, slow[0]) if slow else n)
        if slow:
            await asyncio.sleep(slow[1])
        if not data:
            raise EOFError
        return data
    if answer.fields.get("transfer-encoding") == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            left = int(line.split(b";")[0], 16)
            if left == 0:
                await reader.readuntil(b"\r\n")
                answer.whole = True
                return
            while left > 0:
                data = await read(left)
                answer.body += data
                left -= len(data)
            await reader.readexactly(2)
    left = int(answer.fields.get("content-length", "0"))
    while left > 0:
        data = await read(left)
        answer.body += data
        left -= len(data)
    answer.whole = True


async def request(address, method, path, fields, body=b"", limit_s=10.0,
                  slow=None, receive_buffer=None):
    """Sends one request on a connection of its own."""
    answer = Answer()
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            sock = socket.socket()
            sock.setblocking(False)
            if receive_buffer:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                receive_buffer)
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port)))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=receive_buffer or 65536)
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            if body or method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            line, answer.fields = await read_head(reader)
            answer.status = int(line.split()[1])
            await read_body(reader, answer, slow)
    except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError,
            ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_request(reader):
    """Returns (method, target, fields, body), or None at the end."""
    try:
        line, fields = await read_head(reader)
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError):
        return None
    method, target, _ = line.split(" ", 2)
    return method, target, fields, body


# ---- Replicas ----

class Replica:
    """A replica of the platform: an engine with adapters, or a plain service.
    run(replica, fields, method, target, writer) answers a request; it returns
    False when the connection is to be closed."""

    def __init__(self, record, store, name, service, engine, zone, run):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.engine = engine
        self.zone = zone
        self.run = run
        self.addr = None
        self.shown = None  # the address that it registers
        self.server = None
        self.listed = True
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = 0
        self.fence = 0
        self.adapters = {}  # name -> end of its load
        self.writers = set()
        self.runs = []      # (time, request id)

    receive_buffer = None  # of its connections, in bytes

    async def start(self):
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                self.receive_buffer)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.shown = self.addr
        self.beat_task = asyncio.create_task(self.beat())

    def entry(self):
        now = time.monotonic()
        models = []
        if self.engine:
            models = [{"name": MODEL, "version": 1, "adapters": [
                f"{a}@1" for a, end in self.adapters.items() if end <= now]}]
        return {"service": self.service, "addr": self.shown, "zone": self.zone,
                "version": "v1", "slots": 64 if self.engine else 6,
                "state": "draining" if self.leaving else "ready",
                "coldLeftMs": 0, "sequence": self.sequence,
                "born": self.born, "models": models}

    def register(self):
        self.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            if self.listed:
                self.register()
            await asyncio.sleep(BEAT_S)

    def exit(self):
        """Ends as a process does: all its connections are closed."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None or await self.handle(*req, writer) is False:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def answer(writer, status, fields, body=b""):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(head.encode() + b"\r\n" + body)

    def stamp(self, fields):
        return {"Request-Id": fields.get("request-id", ""),
                "Response-Stamp": f"{self.name}.{len(self.runs)}"}

    async def handle(self, method, target, fields, body, writer):
        if fields.get("expect-instance", self.name) != self.name:
            self.answer(writer, 421, {"Instance-Id": self.name,
                                      "Not-Run": "1"})
        elif target == "/api/order":
            self.answer(writer, self.apply_order(json.loads(body)), {})
        elif target == "/api/report":
            self.answer(writer, 200, {}, self.report())
        elif self.lacks_adapter(fields):
            self.answer(writer, 421, {
                "Instance-Id": self.name, "Not-Run": "1",
                "Request-Id": fields.get("request-id", "")})
        else:
            rid = fields.get("request-id", "-")
            self.runs.append((time.monotonic(), rid))
            self.record.add("run", rid, "at", self.name)
            return await self.run(self, fields, method, target, writer)
        await writer.drain()
        return True

    def lacks_adapter(self, fields):
        model = fields.get("model", "")
        if not self.engine or "/" not in model:
            return False
        end = self.adapters.get(model.split("/", 1)[1])
        return end is None or end > time.monotonic()

    def apply_order(self, order):
        if order["fenceToken"] < self.fence:
            return 412
        self.fence = order["fenceToken"]
        name = order.get("adapter")
        if name is None:
            return 200
        if (order["opcode"] == "load") == (name in self.adapters):
            return 200 if self.adapters.get(name, 0) <= time.monotonic() else 202
        if order.get("expected") != self.sequence:
            return 409
        self.sequence += 1
        if order["opcode"] == "unload":
            del self.adapters[name]
            return 200
        self.adapters[name] = time.monotonic() + 0.25
        return 202

    def report(self):
        now = time.monotonic()
        entry = self.entry()
        return json.dumps({
            "stage": "both", "models": entry["models"], "busy": False,
            "sequence": self.sequence, "born": self.born,
            "coming": [f"{MODEL}/{a}@1" for a, end in self.adapters.items()
                       if end > now],
            "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 150000,
            "handles": 0}).encode()


# ---- Paths ----

class Path:
    """The network path from one gateway to one replica. While it is cut, new
    connections are refused and open ones are reset."""

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.writers = set()
        self.server = None

    async def heal(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1",
                                                 self.port)

    async def cut(self):
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def accept(self, reader, writer):
        host, port = self.target.split(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            abort(writer)
            return
        pair = {writer, far}
        self.writers |= pair
        await asyncio.gather(self.forward(reader, far, pair),
                             self.forward(far_reader, writer, pair))
        self.writers -= pair
        writer.close()
        far.close()

    async def forward(self, reader, writer, pair):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            for w in pair:
                abort(w)


def abort(writer):
    """Resets the connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        b"\1\0\0\0\0\0\0\0")
    except OSError:
        pass
    writer.transport.abort()


# ---- Configuration ----

def make_config(version=1):
    def route(name, kind, service, timeout_ms, attempts, resumable=False):
        return {"name": name, "host": HOST, "prefix": f"/{name}/",
                "kind": kind, "timeoutMs": timeout_ms, "service": service,
                "targetLatencyMs": 800, "priority": 1,
                "maxAttempts": attempts, "resumable": resumable,
                "sticky": service == "menu-models"}
    engine = {"slots": 64, "kvCapacity": 149868, "adapterSlots": 6,
              "weightsMb": 66500,
              "models": [{"name": MODEL, "weightsMb": 65100, "loadS": 2.9,
                          "adapters": 3000, "adapterMb": 12}]}
    return {"version": version, "routes": [
        route("draft", "streaming", "menu-models", 4000, 2, True),
        route("brief", "streaming", "menu-models", 12000, 1),
        route("summary", "streaming", "menu-models", 15000, 2, True),
        route("order", "unsafe", "orders-app", 3000, 1),
        route("lookup", "safe", "orders-app", 12000, 2)],
        "services": [{"name": "menu-models", "engine": engine},
                     {"name": "orders-app", "healthPath": "/health"}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


# ---- Running a case ----

def run_case(folder, play):
    """Runs `await play(record, folder of settings, trouble)`, which returns
    whether the rule held, and exits as the issue says."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    ends = []
    status = 2
    try:
        with tempfile.TemporaryDirectory() as scratch:
            try:
                held = asyncio.run(play(record, scratch, trouble, ends))
                status = 0 if held else 1
            finally:
                for end in ends:
                    end()
    except (CannotRun, OSError) as why:
        record.say("cannot run:", why)
    record.say({0: "the rule held", 1: "THE RULE WAS BROKEN",
                2: "the case could not run"}[status])
    record.file.close()
    sys.stdout.flush()
    os._exit(status)  # connections of the stand-ins may be open still

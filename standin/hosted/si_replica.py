"""Stand-in of a replica of the users' platform: an engine or a plain service.

`faults` maps a word to how many answers it still spoils:
  not_run     503 with Not-Run              lost       runs, then resets
  cut         a stream ends inside an event cut_end    a body without a length
  reset_body  the same, reset midway                   that ends as it should
  stray       another answer comes first    error      500 of the application
  silent      nothing is said               crash      the replica dies
  order_lost  an order is carried out and not answered
"""

import json
import threading
import time

from si_http import Server, reset

MODEL = "base"
EVENTS = 6


class Replica:
    """`public` maps the address it listens on to the one it registers; `on_run`
    hears (replica, request id, headers) when a request begins to run."""

    def __init__(self, store, name, service, engine, dc="dc1", slots=6,
                 public=None, on_run=None):
        self.store = store
        self.on_run = on_run
        self.name = name
        self.service = service
        self.engine = engine
        self.dc = dc
        self.slots = slots
        self.lock = threading.Lock()
        self.faults = {}
        self.ran = []       # ids of requests that it began to run
        self.seen = []      # (id, headers) of every request
        self.left = []      # (id, seconds) after which a caller was gone
        self.made = {}      # (id, event) -> time.monotonic() when it was sent
        self.orders = []    # (holder, fence, opcode, adapter, status)
        self.event_s = 0.01
        self.draining = False
        self.born = int(time.time() * 1000)
        self.has_base = True
        self.adapters = {}  # name -> version
        self.versions = {}  # newest of each adapter
        self.sequence = 0
        self.fence = 0
        self.load_s = 0.03
        self.coming = {}
        self.server = Server(self.handle)
        self.addr = public(self.server.addr) if public else self.server.addr
        self.register()

    def register(self):
        models = []
        if self.engine and self.has_base:
            models = [{"name": MODEL, "version": 1,
                       "adapters": [f"{a}@{v}"
                                    for a, v in self.adapters.items()]}]
        self.store.put("servers", self.name, {
            "service": self.service, "addr": self.addr, "zone": self.dc,
            "slots": self.slots, "born": self.born, "models": models,
            "state": "draining" if self.draining else "ready",
            "sequence": self.sequence})

    def drain(self):
        self.draining = True
        self.register()

    def die(self):
        self.server.stop()

    def restart_empty(self):
        """The same id and address; holds nothing."""
        port = int(self.server.addr.split(":")[1])
        self.server.stop()
        time.sleep(0.05)
        self.born = int(time.time() * 1000) + 1
        self.coming = {}
        self.has_base = False
        self.adapters = {}
        self.sequence = 0
        self.fence = 0
        self.server.start(port)
        self.register()

    def take(self, fault):
        with self.lock:
            left = self.faults.get(fault, 0)
            if left > 0:
                self.faults[fault] = left - 1
            return left > 0

    def handle(self, req):
        expect = req.get("Expect-Instance")
        if expect is not None and expect != self.name:
            req.answer(421, headers=[("Instance-Id", self.name)])
            return True
        if req.target == "/api/order":
            return self.order(req)
        if req.target == "/api/report":
            return self.report(req)
        return self.request(req)

    # Orders.

    def order(self, req):
        body = json.loads(req.body)
        with self.lock:
            status = self._order(body)
            self.orders.append((body["holder"], body["fenceToken"],
                                body["opcode"], body.get("adapter"), status))
        if self.take("order_lost"):
            self.wait_closed(req, None, 10)
            return False
        req.answer(status)
        return True

    def _order(self, body):
        name = body.get("adapter")
        if body["fenceToken"] < self.fence:
            return 412
        self.fence = body["fenceToken"]
        self._arrive()
        if name is None:
            if self.has_base:
                return 200
            self.has_base = True
            self.sequence += 1
            return 202
        if not self.has_base:
            return 409
        if body["opcode"] == "unload":
            if name not in self.adapters:
                return 200
        elif name in self.coming:
            return 202
        elif self.adapters.get(name, 0) >= body.get("version", 1):
            return 200
        if body.get("expected") != self.sequence:
            return 409
        self.sequence += 1
        if body["opcode"] == "unload":
            del self.adapters[name]
            return 200
        self.coming[name] = time.monotonic() + self.load_s
        if len(set(self.adapters) | set(self.coming)) > 6:
            self.orders.append(("", 0, "overfull", name, 0))
        return 202

    def _arrive(self):
        for name, at in list(self.coming.items()):
            if time.monotonic() >= at:
                del self.coming[name]
                self.adapters[name] = self.versions.get(name, 1)

    def report(self, req):
        with self.lock:
            self._arrive()
            models = []
            if self.has_base:
                models = [{"name": MODEL, "version": 1,
                           "adapters": [f"{a}@{v}"
                                        for a, v in self.adapters.items()]}]
            body = {"models": models, "busy": False,
                    "sequence": self.sequence, "born": self.born,
                    "coming": [f"{MODEL}/{a}@1" for a in self.coming]}
        req.answer(200, json.dumps(body).encode())
        return True

    # Requests.

    def request(self, req):
        rid = req.get("Request-Id")
        self.seen.append((rid, dict(req.headers)))
        model = req.get("Model", "")
        if self.engine and "/" in model:
            with self.lock:
                self._arrive()
                name = model.split("/", 1)[1]
                want = int(req.get("Expect-Version", "0"))
                absent = self.adapters.get(name, 0) < max(want, 1)
            if absent:
                req.answer(421, headers=[("Instance-Id", self.name)])
                return True
        if self.take("not_run"):
            req.answer(503, headers=[("Not-Run", "1")])
            return True
        self.ran.append(rid)
        if self.on_run is not None:
            self.on_run(self, rid, req.headers)
        if self.take("crash"):
            self.die()
            self.store.remove("servers", self.name)
            return False
        if self.take("silent"):
            self.wait_closed(req, rid, 10)
            return False
        if self.take("lost"):
            reset(req.sock)
            return False
        if self.engine:
            return self.stream(req, rid)
        return self.plain(req, rid)

    def wait_closed(self, req, rid, limit_s):
        begin = time.monotonic()
        req.sock.settimeout(limit_s)
        try:
            data = req.sock.recv(1)
        except OSError:
            data = b""
        if not data:
            self.left.append((rid, time.monotonic() - begin))

    def head(self, rid, extra=""):
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\n"
                f"Response-Stamp: {self.name}\r\n{extra}")

    def plain(self, req, rid):
        body = f"done by {self.name} for {rid}".encode()
        if self.take("error"):
            req.answer(500, b"no", [("Request-Id", rid),
                                    ("Response-Stamp", self.name)])
            return True
        if self.take("stray"):
            req.answer(200, b"of another", [("Request-Id", "someone-else"),
                                            ("Response-Stamp", self.name)])
        if self.take("reset_body"):
            req.sock.sendall(self.head(rid).encode() + b"\r\n" + body[:4])
            time.sleep(0.02)
            reset(req.sock)
            return False
        if self.take("cut_end"):
            req.sock.sendall(self.head(rid).encode() + b"\r\n" + body)
            return False
        req.answer(200, body, [("Request-Id", rid),
                               ("Response-Stamp", self.name),
                               ("Keep-Alive", "timeout=9")])
        return True

    def stream(self, req, rid):
        first = int(req.get("Last-Event-Id", "0")) + 1
        adapter = req.get("Model", "")
        head = self.head(rid, "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n")
        req.sock.sendall(head.encode())
        cut = self.take("cut")
        for i in range(first, EVENTS + 1):
            event = f"id: {i}\ndata: piece {i} {rid} {adapter}\n\n".encode()
            if cut and i == first + 2:
                half = event[:9]
                req.sock.sendall(b"%x\r\n%s\r\n" % (len(half), half))
                time.sleep(0.02)
                reset(req.sock)
                return False
            self.made[(rid, i)] = time.monotonic()
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            req.sock.settimeout(self.event_s)
            try:
                if req.sock.recv(1) == b"":
                    self.left.append((rid, i))
                    return False
            except TimeoutError:
                pass
            finally:
                req.sock.settimeout(None)
        req.sock.sendall(b"0\r\n\r\n")
        return True

"""Stand-in of a replica of the users' platform: an engine or a plain service.

`faults` maps a fault to the number of answers that it still affects:
  not_run     503 with Not-Run
  lost        the request runs, then the connection is reset
  silent      the request runs, but nothing is sent
  crash       the replica stops when the request runs
  cut         the connection is reset within an event of the stream
  cut_end     a complete body without a length; the connection is closed
  reset_body  a body without a length, reset in its middle
  stray       an answer to another request is sent first
  late_copy   the same, without an id
  error       the application answers with status 500
  order_lost  an order is carried out, but not answered
  order_refused, report_refused
              refused, and the refusal is written again when the next call has
              come on the same connection
  report_copied
              answered, and the answer is written again when the next call has
              come on the same connection
  endless_junk, endless_head, endless_body, endless_event
              bytes without end, until the caller closes: no answer at all,
              fields of its head, a body without a length, one event
  closed      a stream without length or chunks, ended with its connection
  closed_cut  the same, ended inside an event
  pause       503 with Not-Run and the Retry-After in `pause_text`
"""

import json
import threading
import time

from si_http import Server, reset_connection

MODEL = "base"
EVENTS = 6


class Replica:
    """map_addr(listen address) returns the address to register;
    on_run(replica, request id, headers) is called when a request begins to
    run. `answer_with`, when set, answers requests that run instead of this
    class: answer_with(replica, request, request id) returns False to close the
    connection. A request whose target ends with work_ms=N takes that long."""

    def __init__(self, store, name, service, engine, dc="dc1", slots=6,
                 map_addr=None, on_run=None, software="v1"):
        self.store = store
        self.on_run = on_run
        self.answer_with = None
        self.refused_on = {}  # socket -> status to write again
        self.refusals_again = 0
        self.report_copies = {}  # socket -> body of a report to write again
        self.reports_again = 0
        self.unload_wait_s = 0.0  # an unload waits for runs, this long
        self.unload_ends = {}  # adapter -> time.monotonic() of its end
        self.name = name
        self.first_name = name
        self.service = service
        self.engine = engine
        self.dc = dc
        self.slots = slots
        self.lock = threading.Lock()
        self.faults = {}
        self.run_ids = []  # ids of the requests that began to run
        self.received = []  # (id, headers) of every request
        self.raw = []  # every call as it was received, also orders and reports
        self.received_at = []  # time.monotonic(), for each of `received`
        self.bad_parts = set()  # ids of prompt parts that crash the replica
        self.crash_delay_s = 0.03  # from the answer's head to the crash
        self.crash_events = 0  # events sent before it
        self.back_s = 0.5  # from a crash by a part to the next start
        self.crashed_at = []  # time.monotonic() of the crashes by a part
        self.lifetime = 0
        self.disconnects = []  # (id, seconds waited or event number)
        self.sent_at = {}  # (id, event) -> time.monotonic()
        self.orders = []  # (holder, fence, opcode, adapter, status)
        self.path_faults = []  # (begin, end) in time.monotonic()
        self.order_times = []  # time.monotonic(), for each of `orders`
        self.event_interval_s = 0.01
        self.draining = False
        self.boot_ms = int(time.time() * 1000)
        self.software = software
        self.late_entry = False  # does not write its entry
        self.checks_fences = True
        self.leaving = False  # says so in all answers
        self.endless_bytes = 0  # sent by the endless faults
        self.endless_closed = 0  # endless answers that the caller closed
        self.limit_text = None  # Server-Limit of all answers
        self.pause_text = "1"
        self.brittle_text = None  # Server-Brittle of all answers
        self.brittle_max = None  # rejections a second that it survives
        self.room = None  # requests at a time; None: any number
        self.work_s = 0.0  # of a plain request
        self.silent_until = 0.0  # time.monotonic(); nothing is answered before
        self.slowness = 1.0  # factor of the time that requests take
        self.active = 0
        self.rejected_at = []  # time.monotonic() of the last rejections
        self.fell_at = []  # time.monotonic() of each fall
        self.has_base = True
        self.adapters = {}  # name -> version
        self.adapters_max = 6  # more are noted in `orders` as "overfull"
        self.versions = {}  # adapter -> newest version
        self.sequence = 0
        self.fence = 0
        self.order_answers = None  # bad ones to orders and reports
        self.load_s = 0.03
        self.report_s = 0.0  # until a report is answered
        self.loading = {}  # adapter -> time.monotonic() of the end of its load
        self.server = Server(self.handle)
        self.addr = (map_addr(self.server.addr) if map_addr
                     else self.server.addr)
        self.register()

    def register(self):
        if self.late_entry:
            return
        models = []
        if self.engine and self.has_base:
            models = [{"name": MODEL, "version": 1,
                       "adapters": [f"{a}@{v}"
                                    for a, v in self.adapters.items()]}]
        self.store.put("servers", self.name, {
            "service": self.service, "addr": self.addr, "zone": self.dc,
            "slots": self.slots, "born": self.boot_ms, "models": models,
            "version": self.software,
            "state": "draining" if self.draining else "ready",
            "sequence": self.sequence})

    def drain(self):
        self.draining = True
        self.register()

    def crash(self):
        self.server.stop()

    def restart_empty(self, has_base=False, down_s=0.05):
        """Restarts with the same id and address, without adapters and, unless
        has_base, without model."""
        port = int(self.server.addr.split(":")[1])
        self.server.stop()
        time.sleep(down_s)
        self.boot_ms = int(time.time() * 1000) + 1
        self.loading = {}
        self.has_base = has_base
        self.adapters = {}
        self.sequence = 0
        self.fence = 0
        self.leaving = False
        self.server.start(port)
        self.register()

    def has_bad_part(self, req):
        parts = req.get("Prompt-Prefix", "").split(",")[:-1]
        return any(p.split(":")[0] in self.bad_parts for p in parts)

    def crash_by_part(self, req, rid):
        """Begins to answer, crashes, and starts again under another id."""
        req.sock.sendall(self.response_head(
            rid, "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(1, self.crash_events + 1):
            event = f"id: {i}\ndata: piece {i}\n\n".encode()
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        lifetime = self.lifetime
        time.sleep(self.crash_delay_s)
        with self.lock:
            if lifetime != self.lifetime:
                return
            self.lifetime += 1
            self.crashed_at.append(time.monotonic())
        port = int(self.server.addr.split(":")[1])
        self.server.stop()
        time.sleep(self.back_s)
        old_name = self.name
        self.name = f"{self.first_name}.{self.lifetime}"
        self.boot_ms = int(time.time() * 1000)
        self.adapters = {}
        self.loading = {}
        self.sequence = 0
        self.fence = 0
        self.server.start(port)
        self.store.remove("servers", old_name)
        self.register()

    def consume_fault(self, fault):
        with self.lock:
            left = self.faults.get(fault, 0)
            if left > 0:
                self.faults[fault] = left - 1
            return left > 0

    def stay_silent(self):
        while time.monotonic() < self.silent_until:
            time.sleep(0.02)

    def duration_s(self, req, usual_s):
        """What the request takes, unless the replica falls silent."""
        _, asked, work_ms = req.target.rpartition("work_ms=")
        return int(work_ms) / 1000 if asked else self.slowness * usual_s

    def handle(self, req):
        self.raw.append(req.raw)
        self.stay_silent()
        if self.leaving:
            req.extra_headers = [("Server-Leaving", "1")]
        if self.brittle_text is not None:
            req.extra_headers.append(("Server-Brittle", self.brittle_text))
        if self.limit_text is not None:
            req.extra_headers.append(("Server-Limit", self.limit_text))
        expect = req.get("Expect-Instance")
        if expect is not None and expect != self.name:
            req.answer(421, headers=[("Instance-Id", self.name), *self.echo(req)])
            return True
        self.write_refusal_again(req)
        self.write_report_again(req)
        if self.order_answers is not None and req.target in (
                "/api/order", "/api/report"):
            return self.answer_badly(req)
        if req.target == "/api/order":
            return self.handle_order(req)
        if req.target == "/api/report":
            return self.handle_report(req)
        return self.handle_request(req)

    # Refusals.

    def echo(self, req):
        rid = req.get("Request-Id")
        return [] if rid is None else [("Request-Id", rid)]

    def refuse_and_repeat(self, req, status):
        """Refuses a call; the refusal comes again with the next call on the same
        connection."""
        req.answer(status)
        self.refused_on[req.sock] = status

    def write_refusal_again(self, req):
        status = self.refused_on.pop(req.sock, None)
        if status is not None:
            self.refusals_again += 1
            req.answer(status, headers=[("Not-Run", "1")] if status == 503 else [])

    def write_report_again(self, req):
        body = self.report_copies.pop(req.sock, None)
        if body is not None:
            self.reports_again += 1
            req.answer(200, body)

    # Orders.

    def answer_badly(self, req):
        """Answers an order or a report with the status or the bytes in
        `order_answers`, or with informational answers without end."""
        if isinstance(self.order_answers, bytes):
            req.sock.sendall(self.order_answers)
            return True
        if self.order_answers != "flood":
            req.sock.sendall(f"HTTP/1.1 {self.order_answers} X\r\n"
                             "Content-Length: 2\r\n\r\n{}".encode())
            return True
        try:
            while True:
                req.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" * 100)
        except OSError:
            return False

    def handle_order(self, req):
        if self.consume_fault("order_refused"):
            self.refuse_and_repeat(req, 409)
            return True
        body = json.loads(req.body)
        with self.lock:
            status = self._apply_order(body)
            self.orders.append((body["holder"], body["fenceToken"],
                                body["opcode"], body.get("adapter"), status))
            self.order_times.append(time.monotonic())
        if self.consume_fault("order_lost"):
            self.wait_for_disconnect(req, None, 10)
            return False
        req.answer(status)
        return True

    def _apply_order(self, body):
        name = body.get("adapter")
        if body["fenceToken"] < self.fence and self.checks_fences:
            return 412
        self.fence = body["fenceToken"]
        self._finish_loads()
        if name is None:
            if self.has_base:
                return 200
            self.has_base = True
            self.sequence += 1
            return 202
        if not self.has_base:
            return 409
        if body["opcode"] == "unload":
            if name in self.unload_ends:
                return 202
            if name not in self.adapters:
                return 200
        elif name in self.loading:
            return 202
        elif self.adapters.get(name, 0) >= body.get("version", 1):
            return 200
        if body.get("expected") != self.sequence:
            return 409
        self.sequence += 1
        if body["opcode"] == "unload":
            if self.unload_wait_s > 0:
                self.unload_ends[name] = time.monotonic() + self.unload_wait_s
                return 202
            del self.adapters[name]
            return 200
        self.loading[name] = time.monotonic() + self.load_s
        if len(set(self.adapters) | set(self.loading)) > self.adapters_max:
            self.orders.append(("", 0, "overfull", name, 0))
        return 202

    def _finish_loads(self):
        for name, done_at in list(self.loading.items()):
            if time.monotonic() >= done_at:
                del self.loading[name]
                self.adapters[name] = self.versions.get(name, 1)
        for name, done_at in list(self.unload_ends.items()):
            if time.monotonic() >= done_at:
                del self.unload_ends[name]
                self.adapters.pop(name, None)

    def handle_report(self, req):
        if self.consume_fault("report_refused"):
            self.refuse_and_repeat(req, 503)
            return True
        time.sleep(self.report_s)
        with self.lock:
            self._finish_loads()
            models = []
            if self.has_base:
                models = [{"name": MODEL, "version": 1,
                           "adapters": [f"{a}@{v}"
                                        for a, v in self.adapters.items()]}]
            body = {"models": models, "busy": False,
                    "sequence": self.sequence, "born": self.boot_ms,
                    "coming": [f"{MODEL}/{a}@1" for a in self.loading]}
        answer = json.dumps(body).encode()
        req.answer(200, answer)
        if self.consume_fault("report_copied"):
            self.report_copies[req.sock] = answer
        return True

    # Requests.

    def handle_request(self, req):
        """Runs the request if there is room."""
        with self.lock:
            full = self.room is not None and self.active >= self.room
            self.active += not full
        if full:
            self.reject(req)
            return True
        try:
            return self.run_request(req)
        finally:
            with self.lock:
                self.active -= 1

    def reject(self, req):
        """Turns a request away for want of room; a brittle replica that does so
        too often within a second falls over and is back a second later."""
        now = time.monotonic()
        with self.lock:
            self.rejected_at = [t for t in self.rejected_at if t > now - 1]
            self.rejected_at.append(now)
            falls = (self.brittle_max is not None and
                     len(self.rejected_at) > self.brittle_max)
            if falls:
                self.fell_at.append(now)
                self.rejected_at = []
        if falls:
            port = int(self.server.addr.split(":")[1])
            self.server.stop()
            time.sleep(1.0)
            self.server.start(port)
            return
        req.answer(503, headers=[("Not-Run", "1"), *self.echo(req)])

    def run_request(self, req):
        rid = req.get("Request-Id")
        self.received_at.append(time.monotonic())
        self.received.append((rid, dict(req.headers)))
        model = req.get("Model", "")
        if self.engine and "/" in model:
            with self.lock:
                self._finish_loads()
                name = model.split("/", 1)[1]
                want = int(req.get("Expect-Version", "0"))
                absent = self.adapters.get(name, 0) < max(want, 1)
            if absent:
                req.answer(421, headers=[("Instance-Id", self.name), *self.echo(req)])
                return True
        if self.consume_fault("pause"):
            req.answer(503, headers=[("Not-Run", "1"), *self.echo(req),
                                     ("Retry-After", self.pause_text)])
            return True
        if self.consume_fault("not_run"):
            req.answer(503, headers=[("Not-Run", "1"), *self.echo(req)])
            return True
        self.run_ids.append(rid)
        if self.on_run is not None:
            self.on_run(self, rid, req.headers)
        if self.has_bad_part(req):
            self.crash_by_part(req, rid)
            return False
        if self.consume_fault("crash"):
            self.crash()
            self.store.remove("servers", self.name)
            return False
        if self.consume_fault("silent"):
            self.wait_for_disconnect(req, rid, 10)
            return False
        if self.consume_fault("lost"):
            reset_connection(req.sock)
            return False
        for fault in ("junk", "head", "body", "event"):
            if self.consume_fault("endless_" + fault):
                self.send_endlessly(req, rid, fault)
                return False
        if self.answer_with is not None:
            return self.answer_with(self, req, rid)
        if self.engine:
            return self.answer_stream(req, rid)
        return self.answer_plain(req, rid)

    def send_endlessly(self, req, rid, what):
        if what == "junk":
            piece = b"\x00junk" * 1000
        elif what == "head":
            req.sock.sendall(self.response_head(rid).encode())
            piece = b"X-Filler: 123456789\r\n" * 200
        else:
            kind = "text/event-stream" if what == "event" else "text/plain"
            req.sock.sendall(self.response_head(
                rid, f"Content-Type: {kind}\r\n\r\n").encode())
            piece = b"data: x" + b"y" * 60000
        try:
            while True:
                req.sock.sendall(piece)
                self.endless_bytes += len(piece)
        except OSError:
            self.endless_closed += 1

    def wait_for_disconnect(self, req, rid, limit_s):
        begin = time.monotonic()
        req.sock.settimeout(limit_s)
        try:
            data = req.sock.recv(1)
        except OSError:
            data = b""
        if not data:
            self.disconnects.append((rid, time.monotonic() - begin))

    def response_head(self, rid, extra=""):
        leaving = "Server-Leaving: 1\r\n" if self.leaving else ""
        limit = ("" if self.limit_text is None
                 else f"Server-Limit: {self.limit_text}\r\n")
        brittle = ("" if self.brittle_text is None
                   else f"Server-Brittle: {self.brittle_text}\r\n")
        return (f"HTTP/1.1 200 OK\r\nRequest-Id: {rid}\r\n"
                f"Response-Stamp: {self.name}\r\n{leaving}{limit}{brittle}"
                f"{extra}")

    def answer_plain(self, req, rid):
        body = f"done by {self.name} for {rid}".encode()
        time.sleep(self.duration_s(req, self.work_s))
        self.stay_silent()
        if self.consume_fault("error"):
            req.answer(500, b"no", [("Request-Id", rid),
                                    ("Response-Stamp", self.name)])
            return True
        if self.consume_fault("stray"):
            req.answer(200, b"of another", [("Request-Id", "someone-else"),
                                            ("Response-Stamp", self.name)])
        if self.consume_fault("late_copy"):
            req.answer(200, b"of another", [("Response-Stamp", self.name)])
        if self.consume_fault("reset_body"):
            req.sock.sendall(self.response_head(rid).encode() + b"\r\n" +
                             body[:4])
            time.sleep(0.02)
            reset_connection(req.sock)
            return False
        if self.consume_fault("cut_end"):
            req.sock.sendall(self.response_head(rid).encode() + b"\r\n" + body)
            return False
        req.answer(200, body, [("Request-Id", rid),
                               ("Response-Stamp", self.name),
                               ("Keep-Alive", "timeout=9")])
        return True

    def send_closed_stream(self, req, rid, first, cut):
        text = self.response_head(
            rid, "Content-Type: text/event-stream\r\n\r\n")
        for i in range(first, EVENTS + 1):
            text += (f"id: {i}\ndata: piece {i} {rid} {req.get('Model')} "
                     f"{self.software}\n\n")
        req.sock.sendall(text.encode()[:-9] if cut else text.encode())

    def answer_stream(self, req, rid):
        first = int(req.get("Last-Event-Id", "0")) + 1
        for fault in ("closed", "closed_cut"):
            if self.consume_fault(fault):
                self.send_closed_stream(req, rid, first, fault == "closed_cut")
                return False
        adapter = req.get("Model", "")
        head = self.response_head(rid, "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n")
        req.sock.sendall(head.encode())
        cut = self.consume_fault("cut")
        interval_s = self.duration_s(
            req, self.event_interval_s * EVENTS) / EVENTS
        for i in range(first, EVENTS + 1):
            self.stay_silent()
            event = (f"id: {i}\ndata: piece {i} {rid} {adapter} "
                     f"{self.software}\n\n").encode()
            if cut and i == first + 2:
                half = event[:9]
                req.sock.sendall(b"%x\r\n%s\r\n" % (len(half), half))
                time.sleep(0.02)
                reset_connection(req.sock)
                return False
            self.sent_at[(rid, i)] = time.monotonic()
            req.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            req.sock.settimeout(interval_s)
            try:
                if req.sock.recv(1) == b"":
                    self.disconnects.append((rid, i))
                    return False
            except TimeoutError:
                pass
            finally:
                req.sock.settimeout(None)
        req.sock.sendall(b"0\r\n\r\n")
        return True

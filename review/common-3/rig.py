"""What the cases 11 to 14 share: gateway processes with the command of the
deploy file, requesters on plain sockets, and the record of a case.

The stand-ins of the store and of replicas are the project's own
(standin/hosted), extended in the cases where they lack something that the users'
pages describe."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standin", "hosted"))

from si_http import Server, reset_connection  # noqa: E402, F401
from si_replica import MODEL, Replica  # noqa: E402, F401
from si_store import Store  # noqa: E402, F401

BINARY = os.path.join(ROOT, "target", "bin", "fg-gateway")
HOST = "review.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """record.txt of a case: one line an event, in the order of their times."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def add(self, what, **fields):
        with self.lock:
            self.file.write("%8.3f %s %s\n" % (
                time.monotonic() - self.begin, what,
                " ".join(f"{k}={v}" for k, v in fields.items())))

    def close(self):
        self.file.close()


used_ports = set()


def free_ports(n):
    """Ports below those that the kernel gives to outgoing connections."""
    ports = []
    chooser = random.Random()
    for _ in range(2000):
        port = chooser.randrange(12000, 30000)
        if port in used_ports:
            continue
        with socket.socket() as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        ports.append(port)
        if len(ports) == n:
            return ports
    raise CannotRun("no free ports")


def wait_for(what, condition, limit_s=15):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun(f"not seen within {limit_s} s: {what}")


def get_page(address, path):
    """Returns (status, body); status 0 without an answer."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=2) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n\r\n".encode())
            data = b""
            while piece := sock.recv(65536):
                data += piece
    except OSError:
        return 0, ""
    head, _, body = data.partition(b"\r\n\r\n")
    try:
        return int(head.split(b" ")[1]), body.decode()
    except (IndexError, ValueError):
        return 0, ""


class Gateway:
    """One fg-gateway, with the settings of deploy/gateway.yaml."""

    def __init__(self, name, store, folder, bounds, zone="z1",
                 zones=(("z1", "r1"),)):
        self.name = name
        self.path = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.zones = zones
        self.settings = {"name": name, "region": dict(zones)[zone], "dc": zone,
                         "store": store, **bounds}
        self.process = None
        self.choose_ports()

    def choose_ports(self):
        ports = free_ports(5)
        (self.front, self.ready, self.directory, self.mesh,
         self.metrics) = ("127.0.0.1:%d" % p for p in ports)
        values = {"front": self.front, "ready": self.ready,
                  "directory": self.directory, "mesh": self.mesh,
                  "metrics": self.metrics, **self.settings}
        with open(self.path, "w", encoding="utf-8") as f:
            for key, value in values.items():
                f.write(f"{key}: {value}\n")
            f.write("data_centres:\n")
            for dc, region in self.zones:
                f.write(f"  - name: {dc}\n    region: {region}\n")

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [BINARY, "--config", self.path], cwd=ROOT, stdout=log,
                stderr=log)

    def is_ready(self):
        return get_page(self.ready, "/api/readiness")[0] == 200

    def start_first(self, record):
        """Starts the process and waits until it is ready. Another program may
        have taken one of the free ports meanwhile: then others are chosen."""
        for _ in range(3):
            self.start()
            wait_for(f"{self.name} is ready or has ended", lambda:
                     self.is_ready() or self.process.poll() is not None)
            if self.process.poll() is None:
                record.add("started", gateway=self.name)
                return
            record.add("not_started", gateway=self.name,
                       log=self.log().strip()[-200:].replace("\n", "|"))
            self.choose_ports()
        raise CannotRun(f"{self.name} does not start")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()


def request_bytes(path, rid, method="POST", body=b"", deadline_ms=4000,
                  headers=()):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {rid}\r\nDeadline-Ms: {deadline_ms}\r\n")
    head += "".join(f"{k}: {v}\r\n" for k, v in headers)
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Reader:
    """Parses one answer on a connection; read(n) reads at most n bytes."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = None

    def read(self, n=65536):
        """Returns False at the end of the answer or of the connection."""
        if self.whole or self.error:
            return False
        try:
            piece = self.sock.recv(n)
        except OSError as why:
            self.error = type(why).__name__
            return False
        if not piece:
            self.error = "closed"
            return False
        self.data += piece
        self._parse()
        return not self.whole

    def _parse(self):
        if not self.headers:
            head, found, rest = self.data.partition(b"\r\n\r\n")
            if not found:
                return
            lines = head.decode("latin-1").split("\r\n")
            self.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                name, _, value = line.partition(":")
                self.headers[name.lower()] = value.strip()
            self.data = rest
        if "chunked" in self.headers.get("transfer-encoding", ""):
            self._parse_chunks()
        else:
            self.body += self.data
            self.data = b""
            length = int(self.headers.get("content-length", "0"))
            self.whole = len(self.body) >= length

    def _parse_chunks(self):
        while True:
            line, found, rest = self.data.partition(b"\r\n")
            if not found:
                return
            size = int(line.split(b";")[0], 16)
            if len(rest) < size + 2:
                return
            self.body += rest[:size]
            self.data = rest[size + 2:]
            if size == 0:
                self.whole = True
                return


def ask(address, data, timeout_s):
    """Sends one request on a new channel and reads its answer."""
    host, port = address.split(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout=timeout_s)
    except OSError as why:
        reader = Reader(None)
        reader.error = type(why).__name__
        return reader
    with sock:
        reader = Reader(sock)
        try:
            sock.sendall(data)
        except OSError as why:
            reader.error = type(why).__name__
            return reader
        while reader.read():
            pass
        return reader


def end_case(signo, frame):
    raise CannotRun("ended by a signal")


def run_case(case, script):
    """Runs case(record, folder), which returns HELD or BROKEN, and exits with
    that. `case` puts what it starts into `gateways`; all are ended here."""
    here = os.path.dirname(os.path.abspath(script))
    record = Record(here)
    sys.dont_write_bytecode = True
    signal.signal(signal.SIGTERM, end_case)
    signal.signal(signal.SIGINT, end_case)
    gateways = []
    code = NOT_RUN
    try:
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/bin/fg-gateway is not built")
        with tempfile.TemporaryDirectory() as folder:
            try:
                record.add("begin", trouble=int(TROUBLE))
                code = case(record, folder, gateways)
            finally:
                for gateway in gateways:
                    gateway.kill()
                if os.environ.get("KEEP_LOGS"):
                    for gateway in gateways:
                        with open(os.path.join(os.environ["KEEP_LOGS"],
                                               gateway.name + ".log"), "w",
                                  encoding="utf-8") as f:
                            f.write(gateway.log())
    except CannotRun as why:
        record.add("cannot_run", why=str(why).replace(" ", "_"))
        print(f"cannot run: {why}")
    record.add("end", exit=code)
    record.close()
    sys.stdout.flush()
    os._exit(code)

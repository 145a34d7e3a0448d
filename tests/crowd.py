"""Crowds of callers that keep to no limit, for tests/crowds.py."""

import selectors
import socket
import threading
import time

from hosted import HOST, next_id

SEND_STEP = 1 << 20
QUIET_S = 1.5  # a crowd has pushed what it can when no byte moved for so long
PUSH_MAX_S = 60


def connect(address):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    return sock


def unread_bytes(address):
    """Bytes that the kernel holds for the process that listens there."""
    port = "%04X" % int(address.split(":")[1])
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as f:
        for line in f.readlines()[1:]:
            fields = line.split()
            if fields[1].endswith(":" + port) and fields[3] != "0A":
                total += int(fields[4].split(":")[1], 16)
    return total


def wait_until_read(address):
    """Returns when the process has read all, or reads no more for QUIET_S."""
    left, since = -1, time.monotonic()
    while left != 0 and time.monotonic() - since < QUIET_S:
        now_left = unread_bytes(address)
        if now_left != left:
            left, since = now_left, time.monotonic()
        time.sleep(0.05)


def request_head(path="/order/1", method="POST", fields=(), deadline_ms=4000):
    """The head of a request up to the empty line, and its id."""
    rid = next_id()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"Request-Id: {rid}"]
    if deadline_ms:
        lines.append(f"Deadline-Ms: {deadline_ms}")
    return "\r\n".join([*lines, *fields]).encode() + b"\r\n\r\n", rid


def chunked_head(**options):
    return request_head(fields=("Transfer-Encoding: chunked",), **options)[0]


def length_head(length, **options):
    return request_head(fields=(f"Content-Length: {length}",), **options)[0]


def chunks(total, size):
    """`total` bytes of a body, in chunks of `size` bytes, without the last."""
    piece = b"%x\r\n%s\r\n" % (size, b"x" * size)
    return piece * (total // size)


class Member:
    """One connection: sends `data`, and reads and keeps the begin of what comes
    unless `reads` is false."""

    def __init__(self, address, data, reads=True):
        self.data = memoryview(data)
        self.reads = reads
        self.answer = b""
        self.open = True
        try:
            self.sock = connect(address)
            self.sock.setblocking(False)
        except OSError:
            self.sock = None
            self.open = False

    @property
    def status(self):
        """Status of the first answer that is not interim; 0: none."""
        at = 0
        while self.answer[at:at + 12] == b"HTTP/1.1 100":
            at = self.answer.find(b"\r\n\r\n", at) + 4
        text = self.answer[at + 9:at + 12]
        return int(text) if text.isdigit() else 0

    def send_some(self):
        """Returns how many bytes the kernel took."""
        try:
            n = self.sock.send(self.data[:SEND_STEP])
        except BlockingIOError:
            return 0
        except OSError:
            self.data = self.data[:0]
            return 0
        self.data = self.data[n:]
        return n

    def read_some(self):
        """Returns how many bytes came; the connection may have ended."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return 0
        except OSError:
            data = b""
        if not data:
            self.open = False
        elif len(self.answer) < 4096:
            self.answer += data
        return len(data)

    def close(self):
        if self.sock is not None:
            self.sock.close()
        self.open = False


class Crowd:
    """Connections to one address, each of which sends the same bytes, or those
    that `data()` returns for it."""

    def __init__(self, address, count, data=b"", reads=True):
        self.address = address
        self.stop_dripping = threading.Event()
        self.dripper = None
        self.members = [
            Member(address, data() if callable(data) else data, reads)
            for _ in range(count)]

    def push(self):
        """Sends and reads until all was sent and read, or nothing moves any more."""
        begin = moved_at = time.monotonic()
        with selectors.DefaultSelector() as selector:
            for m in self.members:
                if m.open and self._events(m):
                    selector.register(m.sock, self._events(m), m)
            while any(m.open and m.data for m in self.members):
                now = time.monotonic()
                if now - moved_at > QUIET_S or now - begin > PUSH_MAX_S:
                    break
                for key, events in selector.select(0.1):
                    m = key.data
                    moved = 0
                    if events & selectors.EVENT_READ:
                        moved += m.read_some()
                    if m.open and events & selectors.EVENT_WRITE:
                        moved += m.send_some()
                    if moved:
                        moved_at = time.monotonic()
                    if not m.open or not self._events(m):
                        selector.unregister(m.sock)
                    else:
                        selector.modify(m.sock, self._events(m), m)
        wait_until_read(self.address)
        return self

    @staticmethod
    def _events(m):
        return ((selectors.EVENT_READ if m.reads else 0) |
                (selectors.EVENT_WRITE if m.data else 0))

    def drip(self, piece, every_s=0.2):
        """Sends the piece on each open connection again and again."""
        def run():
            while not self.stop_dripping.wait(every_s):
                for m in self.members:
                    if m.open and m.sock is not None:
                        try:
                            m.sock.send(piece)
                        except BlockingIOError:
                            pass
                        except OSError:
                            m.open = False
        self.dripper = threading.Thread(target=run)
        self.dripper.start()
        return self

    def read_answers(self, limit_s=10, wanted=None):
        """Reads until each connection ended or was answered (with `wanted`)."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            for m in self.members:
                if m.open:
                    m.read_some()
            if all(not m.open or m.status and wanted in (None, m.status)
                   for m in self.members):
                break
            time.sleep(0.05)
        return [m.status for m in self.members]

    def close(self):
        self.stop_dripping.set()
        if self.dripper is not None:
            self.dripper.join()
        for m in self.members:
            m.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

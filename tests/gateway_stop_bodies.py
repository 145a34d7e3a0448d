"""Scenarios of tests/gateway.py with callers that still send, or read slowly,
when their connection is about to be closed."""

import socket
import threading
import time

from gateway_stops import check_exit, stop
from hosted import HOST, check, next_id, read_to_end

CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"


class SendingCaller:
    """Sends a request's body on and on, and reads the answer late."""

    def __init__(self, front, head, piece, every_s=0.002):
        host, port = front.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=15)
        self.rid = next_id()
        self.sock.sendall(head.replace("RID", self.rid).encode())
        self.piece = piece
        self.every_s = every_s

    def send_for(self, for_s):
        """Returns when the time has passed, or the connection fails."""
        end = time.monotonic() + for_s
        try:
            while time.monotonic() < end:
                self.sock.sendall(self.piece)
                time.sleep(self.every_s)
        except OSError:
            pass

    def read(self):
        """Returns the bytes of the answer until the connection ends."""
        out, _ = read_to_end(self.sock)
        self.sock.close()
        return out


def refused_while_sending(s):
    """The answer to a request that is refused before its body is read reaches a
    caller that still sends. It is whole."""
    large = (f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: RID\r\n"
             "Content-Length: 900000\r\n\r\n")
    chunked = (f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n"
               "Request-Id: RID\r\nTransfer-Encoding: chunked\r\n\r\n")
    for head, piece, status in (
            (large, CHUNK, b"413"), (chunked, CHUNK, b"413"),
            ("hello\r\n\r\n", CHUNK, b"400"),
            ("GET / HTTP/1.1\r\nA: " + "y" * 9000, b"y" * 500, b"431")):
        callers = [SendingCaller(s.gw.front, head, piece) for _ in range(10)]
        threads = [threading.Thread(target=c.send_for, args=(0.3,))
                   for c in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        answers = [c.read() for c in callers]
        read = [a for a in answers
                if a[9:12] == status and a.endswith(b"\r\n\r\n")]
        print(f"{status.decode()}: {len(read)} of {len(answers)} read")
        check(len(read) == len(answers), f"{status}: {answers[0][:60]}")
        check(not [c for c in callers if s.run_count(c.rid)], "it ran")


def body_over_end_of_stop(s):
    """A caller whose body still arrives at the end of a planned stop learns that
    the request has not run."""
    head = (f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: RID\r\n"
            "Transfer-Encoding: chunked\r\n\r\n")
    callers = [SendingCaller(s.gw.front, head, b"1\r\nx\r\n", 0.02)
               for _ in range(10)]
    threads = [threading.Thread(target=c.send_for, args=(8,))
               for c in callers]
    began = stop(s.gw)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check_exit(s.gw, began)
    answers = [c.read() for c in callers]
    good = [a for a in answers if a[9:12] == b"503" and b"Retry-After" in a]
    check(len(good) == 10, f"{len(good)} of 10 answered; {answers[0][:60]}")
    check(not [c for c in callers if s.run_count(c.rid)], "it ran")


SCENARIOS = [refused_while_sending, body_over_end_of_stop]

"""A small HTTP/1.1 server for stand-ins that inject faults on connections."""

import socket
import struct
import threading

from si_ports import STANDINS, free_ports


def reset_connection(sock):
    """Closes the socket so that the peer sees a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


class Request:
    def __init__(self, method, target, headers, body, sock):
        self.method = method
        self.target = target
        self.headers = headers  # lower-case names
        self.body = body
        self.sock = sock
        self.raw = b""  # the request as it was received
        self.extra_headers = []  # of each answer

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)

    def answer(self, status, body=b"", headers=()):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{k}: {v}\r\n"
                        for k, v in [*headers, *self.extra_headers])
        self.sock.sendall(head.encode() + b"\r\n" + body)


def read_request(sock, buffered):
    """Returns (Request, or None when the connection ends, bytes after it)."""
    while b"\r\n\r\n" not in buffered:
        data = sock.recv(65536)
        if not data:
            return None, b""
        buffered += data
    head, buffered = buffered.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    while len(buffered) < length:
        data = sock.recv(65536)
        if not data:
            return None, b""
        buffered += data
    request = Request(method, target, headers, buffered[:length], sock)
    request.raw = head + b"\r\n\r\n" + request.body
    return request, buffered[length:]


class Server:
    """Serves each connection in a thread until stop(). `handle` takes a
    Request and returns False to close the connection."""

    def __init__(self, handle, port=None):
        self.handle = handle
        self.lock = threading.Lock()
        self.socks = set()
        self.listener = None
        self.addr = None
        self.start(port or free_ports(1, STANDINS)[0])

    def start(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self.listener,),
                         daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        buffered = b""
        try:
            while True:
                request, buffered = read_request(sock, buffered)
                if request is None or self.handle(request) is False:
                    break
        except (OSError, ValueError):
            pass
        with self.lock:
            self.socks.discard(sock)
        sock.close()

    def stop(self, with_reset=True):
        """Stops listening and closes all connections."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            socks = list(self.socks)
        for sock in socks:
            if with_reset:
                reset_connection(sock)
            else:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

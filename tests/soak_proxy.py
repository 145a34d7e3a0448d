"""A loopback TCP proxy that spoils connections, for tests/soak.py.

One thread runs all proxies. Each part of data waits delay_s; with refuse new
connections are reset. reset() ends all connections at once; silence() makes the
open ones pass nothing more, in both or one direction, without telling either
side. tests/hosted.py puts proxies before the store for scenarios, too.
"""

import asyncio
import socket
import struct
import threading

UP, DOWN = "up", "down"


class _Loop:
    """The event loop's thread, started with the first proxy."""

    loop = None

    @classmethod
    def get(cls):
        if cls.loop is None:
            cls.loop = asyncio.new_event_loop()
            threading.Thread(target=cls.loop.run_forever,
                             daemon=True).start()
        return cls.loop


def _abort(writer):
    """Closes so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class _Pair:
    def __init__(self, near, far):
        self.near = near  # writer to the side that connected
        self.far = far
        self.silent = set()

    def abort(self):
        _abort(self.near)
        _abort(self.far)


class Proxy:
    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.refuse = False
        self.hold = set()  # directions that new connections do not pass
        self.pairs = set()
        self.addr = None
        self._run(self._listen())

    def _run(self, coro):
        future = asyncio.run_coroutine_threadsafe(coro, _Loop.get())
        return future.result(5)

    async def _listen(self):
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.addr = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        host, port = self.target.split(":")
        if self.refuse:
            _abort(writer)
            return
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            _abort(writer)
            return
        pair = _Pair(writer, far)
        pair.silent |= self.hold
        self.pairs.add(pair)
        await asyncio.gather(self._pump(pair, reader, far, UP),
                             self._pump(pair, far_reader, writer, DOWN))
        self.pairs.discard(pair)
        pair.near.close()
        pair.far.close()

    async def _pump(self, pair, reader, writer, direction):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                if direction in pair.silent:
                    if not data:
                        break
                    continue
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            pair.abort()

    def reset(self):
        async def all_pairs():
            for pair in list(self.pairs):
                pair.abort()
        self._run(all_pairs())

    def silence(self, directions=(UP, DOWN), new_too=True):
        """Open connections stay silent for good; new ones until heal()."""
        for pair in list(self.pairs):
            pair.silent |= set(directions)
        if new_too:
            self.hold = set(directions)

    def heal(self):
        self.delay_s = 0.0
        self.refuse = False
        self.hold = set()

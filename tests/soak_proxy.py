"""A loopback TCP proxy with injected network faults.

One thread runs all proxies. Each block of data is delayed by delay_s; with
refuse, new connections are reset. reset() resets all connections; silence()
drops the data of open connections in one or both directions, without closing
them. tests/soak.py uses proxies on all paths, tests/hosted.py on the path to
the store.
"""

import asyncio
import socket
import struct
import threading

UP, DOWN = "up", "down"


class _Loop:
    """Event loop in a thread, started with the first proxy."""

    loop = None

    @classmethod
    def get(cls):
        if cls.loop is None:
            cls.loop = asyncio.new_event_loop()
            threading.Thread(target=cls.loop.run_forever,
                             daemon=True).start()
        return cls.loop


def _abort(writer):
    """Closes the connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


class _Connection:
    def __init__(self, inbound, outbound):
        self.inbound = inbound  # writer to the side that opened the connection
        self.outbound = outbound
        self.silent = set()

    def abort(self):
        _abort(self.inbound)
        _abort(self.outbound)


class Proxy:
    def __init__(self, target):
        self.target = target
        self.delay_s = 0.0
        self.refuse = False
        self.silence_new = set()  # directions silent in new connections
        self.connections = set()
        self.addr = None
        self._run(self._listen())

    def _run(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, _Loop.get())
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
            outbound_reader, outbound = await asyncio.open_connection(
                host, int(port))
        except OSError:
            _abort(writer)
            return
        conn = _Connection(writer, outbound)
        conn.silent |= self.silence_new
        self.connections.add(conn)
        await asyncio.gather(
            self._forward(conn, reader, outbound, UP),
            self._forward(conn, outbound_reader, writer, DOWN))
        self.connections.discard(conn)
        conn.inbound.close()
        conn.outbound.close()

    async def _forward(self, conn, reader, writer, direction):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                if direction in conn.silent:
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
            conn.abort()

    def reset(self):
        async def abort_all():
            for conn in list(self.connections):
                conn.abort()
        self._run(abort_all())

    def silence(self, directions=(UP, DOWN), include_new=True):
        """Drops all further data of the open connections; with include_new
        also of those opened before heal(). heal() does not restore them."""
        for conn in list(self.connections):
            conn.silent |= set(directions)
        if include_new:
            self.silence_new = set(directions)

    def heal(self):
        self.delay_s = 0.0
        self.refuse = False
        self.silence_new = set()

"""Paths from one gateway to the replicas that can be cut, as tests/gateway_cuts.py
does: each path is a listening socket of its own that forwards to one replica."""

import select
import socket
import threading
import time

from hosted import reset_connection
from si_ports import STANDINS, free_ports

REFUSE, HANG, RESET_NEW, ONE_WAY = "refuse", "hang", "reset_new", "one_way"


class Path:
    """Forwards connections to `target`. Modes of a cut:
      refuse     open connections are reset, new ones refused
      hang       open ones go silent, new ones are not established
      reset_new  open ones live on, new ones are refused
      one_way    what the replica sends is lost, new ones are not established
    """

    def __init__(self, target):
        self.target = target
        self.lock = threading.Lock()
        self.pairs = []
        self.silent_up = False
        self.silent_down = False
        self.fillers = []
        self.paused_until = 0.0
        self.listener = None
        self.port = free_ports(1, STANDINS)[0]
        self._listen()
        self.addr = "127.0.0.1:%d" % self.port

    def _listen(self, backlog=128):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(backlog)
        if backlog > 0:
            threading.Thread(target=self._accept, args=(self.listener,),
                             daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            host, port = self.target.split(":")
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                reset_connection(near)
                continue
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.append((near, far))
            threading.Thread(target=self._serve, args=(near, far),
                             daemon=True).start()

    def pause(self, seconds):
        """Holds all data back for so long, as a frozen replica does."""
        self.paused_until = time.monotonic() + seconds

    def _serve(self, near, far):
        down = threading.Thread(target=self._forward, args=(far, near, False),
                                daemon=True)
        down.start()
        self._forward(near, far, True)
        down.join()
        with self.lock:
            if (near, far) in self.pairs:
                self.pairs.remove((near, far))
        near.close()
        far.close()

    def _forward(self, source, sink, up):
        while True:
            try:
                # A close does not end another thread's recv().
                poll = select.poll()
                poll.register(source, select.POLLIN)
                while not poll.poll(20) and source.fileno() >= 0:
                    pass
                data = source.recv(65536)
                while time.monotonic() < self.paused_until:
                    time.sleep(0.01)
                if self.silent_up if up else self.silent_down:
                    if not data:
                        return
                    continue
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except (OSError, ValueError):  # ValueError: closed meanwhile
                reset_connection(source)
                reset_connection(sink)
                return

    def _stop_listening(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def cut(self, mode):
        self._stop_listening()
        if mode == REFUSE:
            with self.lock:
                for pair in self.pairs:
                    reset_connection(pair[0])
                    reset_connection(pair[1])
                self.pairs.clear()
        if mode in (HANG, ONE_WAY):
            self.silent_up = mode == HANG
            self.silent_down = True
            # A full queue of the listener: the kernel drops further SYNs.
            self._listen(backlog=0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self.fillers.append(filler)

    def heal(self):
        """New connections are forwarded again; silent ones stay silent."""
        with self.lock:
            silent, self.pairs = (self.pairs, []) if self.silent_down else (
                [], self.pairs)
        for pair in silent:
            reset_connection(pair[0])
            reset_connection(pair[1])
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self._stop_listening()
        self.silent_up = self.silent_down = False
        self._listen()

"""Ports of a block that no other run holds. The kernel gives none of them to
other sockets, so that an address stays free while nothing listens there."""

import fcntl
import os
import socket
import threading
import time

BLOCKS = (20000, 22000, 24000, 26000, 28000, 30000, 18000, 16000, 14000, 12000,
          10000, 8000)
BLOCK_WAIT_S = 300
HALF = 1000  # ports of a block's first half, and of its second one
STANDINS, INSTANCES = 0, HALF  # first port within the block
next_port = {STANDINS: 0, INSTANCES: 0}
port_lock = threading.Lock()  # of next_port
block_lock = []  # the open file whose lock holds the block of ports


def open_lock(path):
    """Opens the file of a block, which another user may own; None if it cannot be
    created."""
    try:
        return open(path, encoding="utf-8")
    except FileNotFoundError:
        pass
    try:
        return open(path, "x", encoding="utf-8")
    except OSError:
        return None


def try_blocks(folder):
    for block in BLOCKS:
        lock = open_lock(os.path.join(folder, str(block)))
        if lock is None:
            continue
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        block_lock.append(lock)
        return block
    return None


def hold_port_block():
    """Returns the first port of a block that no other run holds, as
    scripts/port-base.sh does. Waits for one while all are in use."""
    folder = os.path.join(os.environ.get("TMPDIR", "/tmp"),
                          "fulmargauge-ports")
    os.makedirs(folder, exist_ok=True)
    try:
        os.chmod(folder, 0o1777)
    except PermissionError:
        pass  # another user's
    end = time.monotonic() + BLOCK_WAIT_S
    while True:
        block = try_blocks(folder)
        if block is not None:
            return block
        if time.monotonic() >= end:
            raise RuntimeError("all blocks of ports are in use")
        time.sleep(0.2)


def port_base():
    """Returns the first port of the block from FG_PORT_BASE, or of one that
    this run holds from now on."""
    if "FG_PORT_BASE" not in os.environ:
        os.environ["FG_PORT_BASE"] = str(hold_port_block())
    return int(os.environ["FG_PORT_BASE"])


def free_ports(n, half=INSTANCES):
    """Returns ports of the block that this run holds."""
    base = port_base()
    ports = []
    for _ in range(HALF):
        with port_lock:
            port = base + half + next_port[half] % HALF
            next_port[half] += 1
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
                ports.append(port)
            except OSError:
                continue
        if len(ports) == n:
            return ports
    raise RuntimeError("no free port")

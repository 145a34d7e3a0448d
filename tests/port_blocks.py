#!/usr/bin/env python3
"""Blocks of ports of runs beside each other, and of other users.

Prints "ok NAME" or "not ok NAME" with the reason; exits with 0 when all pass."""

import fcntl
import os
import shutil
import subprocess
import sys
import tempfile
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(HERE, "..", "standin", "hosted")
SCRIPTS = os.path.join(HERE, "..", "scripts")
sys.path.insert(0, STANDINS)

from si_ports import BLOCKS  # noqa: E402

NOBODY = 65534
PROGRAM = "import si_ports; print(si_ports.hold_port_block())"
SHELL = ". ./port-base.sh; echo $FG_PORT_BASE"


def run_as(uid, tmpdir, command):
    """Returns the output of a process that looks for a block."""
    env = {"PATH": "/usr/bin:/bin", "TMPDIR": tmpdir,
           "PYTHONDONTWRITEBYTECODE": "1"}
    done = subprocess.run(command, cwd=tmpdir, env=env, user=uid,
                          capture_output=True, text=True, timeout=60,
                          check=False)
    return done.stdout.strip() or done.stderr.strip()[-200:]


WAYS = (["/usr/bin/python3", "-c", PROGRAM], ["sh", "-c", SHELL])


def another_user(tmpdir):
    """A folder of locks that another user has made does not end a run."""
    if os.getuid() != 0:
        return
    os.chmod(tmpdir, 0o1777)
    for first in WAYS:
        for second in WAYS:
            out = run_as(0, tmpdir, first)
            assert out == str(BLOCKS[0]), out
            out = run_as(NOBODY, tmpdir, second)
            assert out == str(BLOCKS[0]), out


def all_in_use(tmpdir):
    """A run that finds all blocks in use waits for one."""
    folder = os.path.join(tmpdir, "fulmargauge-ports")
    os.makedirs(folder)
    locks = [open(os.path.join(folder, str(b)), "w", encoding="utf-8")
             for b in BLOCKS]
    for lock in locks:
        fcntl.flock(lock, fcntl.LOCK_EX)
    timer = threading.Timer(1.0, locks[3].close)
    timer.start()
    out = run_as(os.getuid(), tmpdir, WAYS[0])
    timer.join()
    assert out == str(BLOCKS[3]), out


def main():
    failed = 0
    for test in (another_user, all_in_use):
        try:
            with tempfile.TemporaryDirectory() as tmpdir:
                # Another user may not see the folder of the sources.
                for path in (os.path.join(STANDINS, "si_ports.py"),
                             os.path.join(SCRIPTS, "port-base.sh")):
                    shutil.copy(path, tmpdir)
                test(tmpdir)
            print(f"ok {test.__name__}")
        except Exception as why:  # the next one runs all the same
            failed += 1
            print(f"not ok {test.__name__}: {why!r}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

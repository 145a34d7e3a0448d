"""Starts, signals and ends the processes of a scenario; reads histories."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import fghttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin", "hosted"))

from si_ports import port_base  # noqa: E402, F401

READY_TIMEOUT_S = 15
STOP_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.02
PORT_COUNT = 900


def now_ms():
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class Process:
    def __init__(self, name, kind, addr, control, popen, history):
        self.name = name
        self.kind = kind  # platform, engine, plain or entry
        self.addr = addr
        self.control = control
        self.popen = popen
        self.history = history
        self.frozen = False
        self.killed = False
        self.stopped_ms = None  # when a planned stop began

    def running(self):
        return self.popen.poll() is None


class System:
    """All processes of a run, with one directory for their files."""

    def __init__(self, build, port_base, on_process_event):
        self.bin = os.path.join(build, "bin")
        self.dir = tempfile.mkdtemp(prefix="fgs-")
        self.next_port = port_base
        self.last_port = port_base + PORT_COUNT
        self.processes = {}
        # Called with "live" or "dead" and the name of a process.
        self.on_process_event = on_process_event

    def free_port(self):
        """Returns a port without a listener."""
        while self.next_port < self.last_port:
            port = self.next_port
            self.next_port += 1
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue
        raise RuntimeError("no free port")

    def free_address(self):
        return f"127.0.0.1:{self.free_port()}"

    def path(self, name):
        return os.path.join(self.dir, name)

    def spawn(self, name, args):
        # ThreadSanitizer does not see the locks of GLib's slice allocator.
        # FG_TEST enables cuts between entries and the setting `switches`.
        env = dict(os.environ, G_SLICE="always-malloc", FG_TEST="1")
        with open(self.path(name + ".log"), "ab") as log:
            return subprocess.Popen(args, stdin=subprocess.DEVNULL,
                                    stdout=log, stderr=log, env=env)

    def add(self, process):
        self.processes[process.name] = process
        self.wait_ready(process)
        self.on_process_event("live", process.name, kind=process.kind)

    def wait_ready(self, process):
        path = {"platform": "/instances", "entry": "/v1/state",
                "engine": "/v1/state", "plain": "/"}[process.kind]
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end and process.running():
            if fghttp.request("GET", process.addr, path, timeout_s=1)[0]:
                return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{process.name} does not answer")

    def platform_addr(self):
        return self.processes["platform"].addr

    def start_standin(self, kind, name, options):
        addr, control = self.free_address(), self.free_address()
        history = self.path(name + ".jsonl")
        args = [os.path.join(self.bin, "standin-" + kind), "--listen", addr,
                "--control", control, "--name", name]
        if kind != "platform":
            service = "menus" if kind == "engine" else "orders"
            args += ["--platform", self.platform_addr(), "--region", "coast",
                     "--dc", "north", "--service", service,
                     "--history", history]
        popen = self.spawn(name, args + options)
        self.add(Process(name, kind, addr, control, popen, history))

    def start_entry(self, name, settings):
        addr, history = self.free_address(), self.path(name + ".jsonl")
        values = {"name": name, "region": "coast", "dc": "north",
                  "http": addr, "rpc": self.free_address(),
                  "platform": self.platform_addr(), "history": history}
        values.update(settings)
        config = self.path(name + ".yaml")
        with open(config, "w", encoding="utf-8") as out:
            out.writelines(f"{k}: {v}\n" for k, v in values.items())
        popen = self.spawn(name, [os.path.join(self.bin, "fg-entry"),
                                  "--config", config])
        self.add(Process(name, "entry", addr, None, popen, history))

    def entries(self):
        return [p for p in list(self.processes.values())
                if p.kind == "entry" and p.running() and not p.frozen]

    def state(self, name):
        """Returns the state of a process; {} when it does not answer."""
        process = self.processes[name]
        path = "/instances" if process.kind == "platform" else "/v1/state"
        return fghttp.request_json("GET", process.addr, path, timeout_s=2)[1]

    def catalogue(self, name):
        return fghttp.request_json("GET", self.processes[name].addr,
                                   "/v1/admin/catalogue", timeout_s=2)[1]

    def rows(self, prefix):
        """Returns the number of rows of the platform with a key prefix."""
        path = f"/table/scan?prefix={prefix}&limit=1000"
        _, answer = fghttp.request_json("GET", self.platform_addr(), path)
        return len(answer.get("rows", []))

    def events(self, name):
        """Returns the events of a process; of all processes for "all"."""
        names = list(self.processes) if name == "all" else [name]
        events = []
        for process_name in names:
            path = self.processes[process_name].history
            if not os.path.exists(path):
                continue
            with open(path, encoding="utf-8") as lines:
                # The last line may be incomplete.
                events += [json.loads(l) for l in lines if l.endswith("\n")]
        return events

    def kill(self, name):
        process = self.processes[name]
        process.killed = True
        process.popen.kill()
        process.popen.wait()
        self.on_process_event("dead", name)

    def terminate(self, name):
        process = self.processes[name]
        process.stopped_ms = now_ms()
        process.popen.terminate()

    def wait_exit(self, name):
        """Returns the exit status, or None when the process does not end."""
        process = self.processes[name]
        try:
            status = process.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return None
        if not process.killed:
            process.killed = True
            self.on_process_event("dead", name)
        return status

    def set_frozen(self, name, frozen):
        process = self.processes[name]
        process.frozen = frozen
        process.popen.send_signal(signal.SIGSTOP if frozen
                                  else signal.SIGCONT)

    def stop_all(self):
        """Ends all processes; returns messages about unexpected exits."""
        exit_errors = []
        running = [p for p in self.processes.values() if p.running()]
        # Entries first: a planned stop needs the platform for the handover.
        entries = [p for p in running if p.kind == "entry"]
        self.terminate_all(entries, exit_errors)
        self.terminate_all([p for p in running if p not in entries],
                           exit_errors)
        for process in self.processes.values():
            if (process.kind == "entry" and process not in running and
                    not process.killed):
                exit_errors.append(f"{process.name}: ended by itself, status "
                                   f"{process.popen.returncode}")
        return exit_errors

    def terminate_all(self, running, exit_errors):
        for process in running:
            if process.frozen:
                self.set_frozen(process.name, False)
            process.popen.terminate()
        for process in running:
            try:
                status = process.popen.wait(STOP_TIMEOUT_S)
                if status != 0:
                    exit_errors.append(f"{process.name}: exit status {status}")
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()
                exit_errors.append(f"{process.name}: did not end")

    def logs(self):
        """Returns the last log lines of each process, for a failed run."""
        text = ""
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log") and os.path.getsize(self.path(name)):
                with open(self.path(name), encoding="utf-8",
                          errors="replace") as log:
                    text += f"--- {name}\n" + "".join(log.readlines()[-8:])
        return text

    def remove_files(self):
        shutil.rmtree(self.dir, ignore_errors=True)

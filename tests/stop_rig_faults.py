"""What else happens around the stops of tests/stop_rig.py, drawn at random:
pauses of a process, trouble of the store, changes of settings, engines that
leave, refuse orders or ended. Only a pause excuses, for CONTACT_S, what its own
instance does."""

import random
import signal
import threading
import time

from gateway_stops import write_long_routes

CONTACT_S = 4.0
DRAIN_S = 2.5


class Faults:
    """Applies 2 to 6 faults over the time of the stops. Their draws do not change
    those of the rig."""

    def __init__(self, rig):
        self.rig = rig
        self.pauses = []  # (gateway, begin, end)
        self.config_version = 2
        self.lock = threading.Lock()
        rand = random.Random(f"faults {rig.seed}")
        kinds = (self.pause, self.pause, self.spoil_store, self.spoil_store,
                 self.change_settings, self.drain_engine, self.refuse_orders,
                 self.add_waiting_loads)
        last_s = rig.load_s - 1.0
        self.applied = sorted(
            ((rand.uniform(0.5, last_s), rand.choice(kinds),
              random.Random(rand.random()))
             for _ in range(rand.randint(2, 6))), key=lambda f: f[0])

    def threads(self):
        return [threading.Thread(target=self.apply, args=f)
                for f in self.applied]

    def apply(self, at_s, fault, rand):
        time.sleep(max(0, self.rig.begin + at_s - time.monotonic()))
        fault(rand)

    def names(self):
        return ", ".join(f"{fault.__name__} at {at_s:.1f}"
                         for at_s, fault, _ in self.applied)

    def is_excused(self, r):
        """The process of the request's instance was paused while it had the
        request, or shortly before."""
        return any(g is r.gateway and r.end_at >= begin and
                   r.first_at <= end + CONTACT_S
                   for g, begin, end in self.pauses)

    def pause(self, rand):
        g = rand.choice(self.rig.system.gateways)
        popen = g.popen
        if popen.poll() is not None:
            return
        with self.lock:
            pause = [g, time.monotonic(), time.monotonic() + 10]
            self.pauses.append(pause)
        popen.send_signal(signal.SIGSTOP)
        time.sleep(rand.choice((0.1, 0.4, 1.2)))
        popen.send_signal(signal.SIGCONT)
        pause[2] = time.monotonic()

    def spoil_store(self, rand):
        store = self.rig.system.store
        store.mode = rand.choice(("busy", "reset", "silent"))
        time.sleep(rand.uniform(0.5, 4.0))
        store.mode = "up"

    def change_settings(self, rand):
        """Same routes, another time after which idle connections are closed."""
        with self.lock:
            self.config_version += 1
            write_long_routes(self.rig.system, self.config_version,
                              rand.choice((2000, 5000, 15000)))

    def drain_engine(self, rand):
        """One engine leaves and comes back; the others serve."""
        engine = rand.choice(self.rig.system.engines)
        engine.drain()
        time.sleep(DRAIN_S + rand.uniform(0.0, 2.0))
        engine.draining = False
        engine.register()

    def refuse_orders(self, rand):
        for engine in self.rig.system.engines:
            engine.faults["order_refused"] = rand.randint(1, 6)

    def add_waiting_loads(self, rand):
        """Engines lose their adapters, and load them again slowly."""
        for engine in self.rig.system.engines:
            with engine.lock:
                engine.adapters.clear()
                engine.load_s = rand.uniform(0.1, 2.0)

"""Deterministic event loops on one virtual time, so that waiting costs no real time."""

import asyncio
import heapq
from types import SimpleNamespace

MS_PER_S = 1_000.0
# Turns of one loop at one point in time after which it counts as a busy loop.
MAX_TURNS = 10_000


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop of one simulated process. It only runs when the simulation lets it run."""

    def __init__(self, simulation):
        super().__init__()
        self._simulation = simulation
        self._selector = SimpleNamespace(select=lambda timeout: [])
        self._clock_resolution = 1e-6
        self.is_paused = False

    def time(self):
        return self._simulation.now_ms / MS_PER_S

    def _process_events(self, event_list):
        pass

    def _write_to_self(self):
        pass

    @property
    def next_ms(self):
        """Return the time of the next callback, or infinity."""
        if self.is_paused:
            return float("inf")
        if self._ready:
            return self._simulation.now_ms
        return self._scheduled[0].when() * MS_PER_S if self._scheduled else float("inf")

    def run_due(self):
        """Run the callbacks that are due now."""
        asyncio.events._set_running_loop(self)
        try:
            self._run_once()
        finally:
            asyncio.events._set_running_loop(None)


class Simulation:
    """Virtual time, timed events outside of any process, and the loops of the processes."""

    def __init__(self):
        self.now_ms = 0.0
        self.loops = []
        self._events = []
        self._sequence = 0

    def new_loop(self):
        """Return the loop of a new process."""
        loop = VirtualLoop(self)
        self.loops.append(loop)
        return loop

    def at(self, delay_ms, callback):
        """Call a function after a delay."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._sequence, callback))

    def advance(self, duration_ms):
        """Run everything that is due within a duration."""
        end_ms = self.now_ms + duration_ms
        turns = 0
        while True:
            next_ms = self._events[0][0] if self._events else float("inf")
            next_ms = min([next_ms, *(loop.next_ms for loop in self.loops)])
            if next_ms > end_ms:
                break
            turns = turns + 1 if next_ms <= self.now_ms else 0
            assert turns < MAX_TURNS, "a process never waits"
            self.now_ms = max(self.now_ms, next_ms)
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            for loop in self.loops:
                if loop.next_ms <= self.now_ms + 1e-3:
                    loop.run_due()
        self.now_ms = end_ms

    def close(self):
        """Drop all pending work."""
        for loop in self.loops:
            for task in asyncio.all_tasks(loop):
                task._log_destroy_pending = False
            loop._ready.clear()
            loop._scheduled.clear()
            loop.close()

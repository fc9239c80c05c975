"""Faults of the queue soak that stop and starve processes of workers.

Guards against two faults at one process, of which one would let it go on while the other stops it.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest

from scripts import queue_soak_faults
from scripts.queue_soak_faults import QueueFaults


class Processes:
    """Notes the signals that processes get."""

    def __init__(self, names):
        self.stoppable = list(names)
        self.noted = []
        self.held = set()

    def pause(self, process):
        assert process not in self.held
        self.held.add(process)
        self.noted.append(process)

    def resume(self, process):
        self.held.remove(process)

    async def starve(self, process, for_s, pauses):
        self.pause(process)
        assert for_s >= 4.0 and 0.1 <= pauses() <= queue_soak_faults.LONGEST_PAUSE_S
        await asyncio.sleep(0.02)
        self.resume(process)


@pytest.mark.parametrize("kinds", [["stop_workers"], ["starve_workers"], ["stop_workers"] * 2])
@pytest.mark.parametrize("names", ["", "a", "abcd"])
def test_each_process_has_one_fault_at_a_time_and_goes_on(monkeypatch, kinds, names):
    monkeypatch.setattr(queue_soak_faults, "SHORTEST_STOP_S", 0.01)
    processes = Processes(names)
    cell = SimpleNamespace(fleet_processes=processes)
    faults = QueueFaults(cell, None, None, 1, kinds, 0.03)
    rng = random.Random(1)

    async def main():
        injected = []
        for _ in range(30):
            kind = rng.choice([*kinds, "stop_workers", "starve_workers"])
            injected.append(asyncio.create_task(faults._inject(kind)))
            await asyncio.sleep(0.005)
        await asyncio.gather(*injected)

    asyncio.run(main())
    assert not processes.held
    assert set(processes.noted) == set(names)

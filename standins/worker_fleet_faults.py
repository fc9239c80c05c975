"""Faults of the workers of the fleet stand-in."""

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """A fault of one worker until a time.

    Attributes
    ----------
    kind
        ``cut``: no effect and no response. ``mute``: effect and no response. ``lose``: the response
        is lost, as the worker's flavour says. ``late``: effect seconds later and no response.
        ``unhealthy``: refused with 429 or 503. ``slow``: delays before and after the effect.
        ``down``: all connections are closed.
    share
        Share of the calls that the fault applies to.
    """

    kind: str
    until_s: float
    share: float


class FleetFaults:
    """Faults of each worker until their times."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._by_worker: dict[str, list[WorkerFault]] = {}

    def add_worker(self, worker_id: str) -> None:
        """Add a worker without faults."""
        self._by_worker[worker_id] = []

    def rename(self, old: str, new: str) -> None:
        """Give a worker another id. Its faults end."""
        del self._by_worker[old]
        self.add_worker(new)

    def add(self, workers: Iterable[str], fault: WorkerFault) -> None:
        """Add a fault to some workers. Unknown ones are ignored."""
        for worker_id in self._by_worker.keys() & set(workers):
            self._by_worker[worker_id].append(fault)

    def draw(self, worker_id: str, now_s: float) -> set[str]:
        """Return the kinds of faults that apply to a call."""
        faults = [fault for fault in self._by_worker[worker_id] if fault.until_s > now_s]
        self._by_worker[worker_id] = faults
        return {fault.kind for fault in faults if self._rng.random() < fault.share}

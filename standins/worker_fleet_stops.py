"""Fleet in a process that is stopped, resumed and starved at times."""

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from standins.worker_fleet import DueEvent, Fleet, Record
from standins.worker_fleet_state import FleetWorker

# A process that is starved goes on after a shorter time.
STOP_GAP_S = 1.0
LATENESS_S = (0.02, 0.8)


@dataclass(frozen=True, slots=True)
class ResumeFlavour:
    """What the workers of a process do when it goes on after a stop.

    Attributes
    ----------
    clock_stands_still
        Whether the workers' clocks, runs and leases have stood still, as those of a suspended
        machine. The other fields count only for clocks that ran on.
    ends_first
        Whether runs whose work time is over end before the lapsed leases are enforced.
    lateness_s
        How long after the resumption leases that lapsed during the stop are enforced.
    renews_lapsed
        Whether a call that comes before that can extend a lapsed lease.
    """

    clock_stands_still: bool = False
    ends_first: bool = True
    lateness_s: float = 0.0
    renews_lapsed: bool = False


def draw_flavour(rng: random.Random, clock: str) -> ResumeFlavour:
    """Return the flavour of a process, whose clock ``runs on``, ``stands still`` or is drawn."""
    stands_still = rng.random() < 0.5
    lateness_s = rng.choice((0.0, rng.uniform(*LATENESS_S)))
    return ResumeFlavour(
        stands_still if clock == "any" else clock == "stands still",
        rng.random() < 0.5,
        round(lateness_s, 3),
        rng.random() < 0.3,
    )


class ProcessClock:
    """The steady clock, which notes stops of the process.

    Parameters
    ----------
    resume
        Called with start and end of a stop before the first reading after it is returned.
    """

    def __init__(
        self,
        resume: Callable[[float, float], None],
        read_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._resume = resume
        self._read_s = read_s
        self._last_s = read_s()

    def now_s(self) -> float:
        """Return the time."""
        now_s = self._read_s()
        since_s, self._last_s = self._last_s, now_s
        if now_s - since_s > STOP_GAP_S:
            self._resume(since_s, now_s)
        return now_s


class StoppableFleet(Fleet):
    """Fleet whose events happen when its process gets to them, and not when they are due."""

    def __init__(
        self, rng: random.Random, record: Record, flavour: ResumeFlavour, process: str
    ) -> None:
        super().__init__(rng, record)
        self._flavour = flavour
        self._process = process
        self._enforced_s = 0.0
        self._lapsing: list[tuple[FleetWorker, int]] = []

    def resume(self, since_s: float, now_s: float) -> None:
        """Go on after a stop. Must come before any call that follows the stop."""
        gap = {"since": since_s, "gap_s": round(now_s - since_s, 3)}
        self._record(
            {"t": now_s, "event": "resume", "process": self._process, **gap} | asdict(self._flavour)
        )
        if self._flavour.clock_stands_still:
            self._shift(now_s - since_s)
            return
        self._enforced_s = now_s + self._flavour.lateness_s
        self._lapsing = [
            (worker, worker.life)
            for worker in self.workers.values()
            if worker.lease_ms is not None and worker.real_s(worker.lease_ms) <= now_s
        ]
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Apply the events that are due, as events of this moment."""
        if now_s < self._enforced_s:
            if self._flavour.ends_first:
                self._apply(self._pop_due(now_s), now_s, leases=False)
            return
        if not self._flavour.ends_first:
            self._enforce(now_s)
        self._apply(self._pop_due(now_s), now_s, leases=not self._lapsing)
        self._enforce(now_s)

    def _enforce(self, now_s: float) -> None:
        """Enforce the leases that lapsed during the last stop."""
        lapsing, self._lapsing = self._lapsing, []
        for worker, life in lapsing:
            if worker.life != life or worker.lease_ms is None:
                continue
            is_renewed = worker.real_s(worker.lease_ms) > now_s
            if not is_renewed or not self._flavour.renews_lapsed:
                self._lapse(worker, now_s)

    def _pop_due(self, now_s: float) -> list[DueEvent]:
        due = []
        while self._due and self._due[0][0] <= now_s:
            due.append(heapq.heappop(self._due))
        return due

    def _apply(self, due: list[DueEvent], now_s: float, *, leases: bool) -> None:
        """Apply events, and put checks of leases back unless they are to be applied, too."""
        for event in due:
            _, _, is_lease, apply = event
            if is_lease and not leases:
                heapq.heappush(self._due, event)
            else:
                apply(now_s)

    def _shift(self, gap_s: float) -> None:
        """Take the time of a stop out of the clocks and of everything that is due."""
        for worker in self.workers.values():
            worker.started_s += gap_s
        # The order of the heap stays.
        self._due = [(due_s + gap_s, *rest) for due_s, *rest in self._due]

    def _log_worker(self, worker: FleetWorker, event: str, now_s: float, **fields: Any) -> None:
        super()._log_worker(worker, event, now_s, process=self._process, **fields)

"""Work that preemption has lost, and the limit on it."""

from dataclasses import dataclass

MS_PER_S = 1_000.0
# Time over which the limit on lost work evens out. A burst of urgent work lasts a few seconds.
BURST_S = 2.0


@dataclass(slots=True)
class PreemptionUsage:
    """Preemptions under this leader, and a token bucket of the work that they may lose.

    Attributes
    ----------
    stopped_runs
        Number of runs that were stopped for other work.
    lost_work
        Work in millicores times milliseconds that these stops have lost.
    held_cpu_millis
        Millicores that are kept for steps at present.
    next_check_ms
        Time of the next search for steps that need preemption.
    """

    stopped_runs: int = 0
    lost_work: float = 0.0
    held_cpu_millis: int = 0
    next_check_ms: float = 0.0
    _available: float | None = None
    _refilled_ms: float = 0.0

    @property
    def is_exhausted(self) -> bool:
        """Return whether no more work may be lost for now.

        The last preemption may exceed the limit, which then takes longer to recover: on few workers
        the limit is less than one task.
        """
        return self._available is not None and self._available <= 0

    def refill(self, work_per_s: float, now_ms: float) -> None:
        """Add the work that may be lost since the last call.

        Parameters
        ----------
        work_per_s
            Work in millicores times milliseconds that may be lost in a second.
        """
        limit = work_per_s * BURST_S
        added = work_per_s * (now_ms - self._refilled_ms) / MS_PER_S
        self._available = limit if self._available is None else self._available + added
        self._available = min(limit, self._available)
        self._refilled_ms = now_ms

    def spend(self, work: float) -> None:
        """Count work that a stop loses."""
        self.stopped_runs += 1
        self.lost_work += work
        self._available = (self._available or 0.0) - work

"""Readings of the clock of a worker's present incarnation."""

from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT
from nutmeglb_decisions.queues.silent_workers import ClockGap


class WorkerClock:
    """The last reading of a worker's clock, from which the time there is estimated."""

    def __init__(self) -> None:
        self._clock_ms = 0.0
        self._read_ms: float | None = None

    def record(self, clock_ms: float, now_ms: float) -> None:
        """Record a reading that has arrived at ``now_ms`` of the clock of this process."""
        self._clock_ms = clock_ms
        self._read_ms = now_ms

    def reset(self) -> None:
        """Forget the reading, after the worker has restarted."""
        self._read_ms = None

    def gap(self, clock_ms: float, now_ms: float) -> ClockGap | None:
        """Return the time from the last reading to one that arrives now, ``None`` without one."""
        if self._read_ms is None:
            return None
        return ClockGap(clock_ms - self._clock_ms, now_ms - self._read_ms)

    def earliest_ms(self, now_ms: float) -> float | None:
        """Return the time that a slow clock shows now, ``None`` without a reading."""
        if self._read_ms is None:
            return None
        return self._clock_ms + (now_ms - self._read_ms) * (1 - MAX_CLOCK_DRIFT)


def longest_lease_ms(deadline_ms: float, clock_ms: float) -> float:
    """Return the longest time until a deadline on a worker's clock, which shows ``clock_ms``."""
    return (deadline_ms - clock_ms) / (1 - MAX_CLOCK_DRIFT)

"""Clock with times in milliseconds, injectable for tests and measurements."""

import time
from collections.abc import Callable

NANOSECONDS_PER_MS = 1_000_000


def _monotonic_ms() -> float:
    return time.monotonic_ns() / NANOSECONDS_PER_MS


def _wall_ms() -> float:
    return time.time_ns() / NANOSECONDS_PER_MS


class Clock:
    """Reads monotonic and wall-clock time in milliseconds.

    Parameters
    ----------
    monotonic
        Source of monotonic time in milliseconds. Used for leases and timeouts within a process.
    wall
        Source of wall-clock time in milliseconds since the Unix epoch. Used for times that are
        shown, sent to other processes or stored, such as the time of a claimed idempotency key.
    """

    def __init__(
        self,
        monotonic: Callable[[], float] = _monotonic_ms,
        wall: Callable[[], float] = _wall_ms,
    ) -> None:
        self._monotonic = monotonic
        self._wall = wall

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return self._monotonic()

    def wall_ms(self) -> float:
        """Return wall-clock time in milliseconds since the Unix epoch."""
        return self._wall()


class ManualClock(Clock):
    """Clock for tests, whose time changes only through ``advance``.

    Parameters
    ----------
    start_ms
        Initial monotonic and wall-clock time in milliseconds.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._time_ms = start_ms
        super().__init__(lambda: self._time_ms, lambda: self._time_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError("a monotonic clock cannot move backwards; pass a positive duration")
        self._time_ms += duration_ms

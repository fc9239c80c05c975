"""Hybrid logical clock that puts the events of several instances into causal order."""

from nutmeglb_formats.clock import Clock

# Smallest step between two events of one instance. Wall-clock times in milliseconds have a
# resolution of about 0.0002 ms as a float.
STEP_MS = 0.001
# Timestamps further ahead are ignored, so that one wrong clock cannot shift the timeline of all
# instances.
MAX_AHEAD_MS = 60_000.0


class HybridLogicalClock:
    """Wall-clock time, advanced so that an event sorts after every event that it can depend on."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._order_ms = 0.0

    def stamp_ms(self) -> float:
        """Return the timestamp of an outgoing peer frame in milliseconds."""
        return max(self._order_ms, self._clock.wall_ms())

    def observe(self, sent_ms: float) -> None:
        """Advance to the timestamp of an incoming peer frame. Later events sort after it."""
        if self._order_ms < sent_ms <= self._clock.wall_ms() + MAX_AHEAD_MS:
            self._order_ms = sent_ms

    def advance(self) -> float:
        """Advance the clock and return the timestamp of the next event in milliseconds."""
        self._order_ms = max(self._clock.wall_ms(), self._order_ms + STEP_MS)
        return self._order_ms

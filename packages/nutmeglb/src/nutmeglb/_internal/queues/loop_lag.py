"""Event loop lag, so that delays of this process are not mistaken for unresponsive peers."""

import asyncio
from collections import deque
from collections.abc import Callable

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock

logger = get_logger("loop")

# Interval between samples of the clock, which is also the accuracy of measured stalls.
SAMPLE_INTERVAL_MS = 50.0
# Shorter delays are not counted as stalls, since ordinary timers are a few milliseconds late.
MIN_STALL_MS = 10.0
# Stalls are kept for longer than any call to a worker takes, so each call can be checked for them.
STALL_RETENTION_MS = 10_000.0
# Longer stalls are logged: they delay urgent work by a fifth of its usual objective.
LOGGED_STALL_MS = 250.0
# If this process did not run for a larger share of the wait for an answer, the answer may have
# arrived in time without being read.
MIN_STALLED_SHARE = 0.5
MS_PER_S = 1_000.0


class LoopLag:
    """Records periods in which the event loop was blocked or the process was paused.

    Parameters
    ----------
    clock
        Clock that also advances while the machine is suspended.
    sleep
        Waits for a number of seconds. Tests replace it.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        sleep: Callable[[float], asyncio.Future[None]] | None = None,
    ) -> None:
        self._clock = clock
        self._sleep = sleep or asyncio.sleep
        self._due_ms = float("inf")
        self._stalls: deque[tuple[float, float]] = deque()
        self._stalled = metrics.counter(
            "nutmeglb_loop_stalled_ms_total", "Milliseconds by which the event loop was late."
        )

    @property
    def _overdue_ms(self) -> float:
        overdue_ms = self._clock.now_ms() - self._due_ms
        return overdue_ms if overdue_ms > MIN_STALL_MS else 0.0

    def stalled_ms(self, since_ms: float) -> float:
        """Return how long this process was stalled since ``since_ms``.

        ``since_ms`` may lie at most ``STALL_RETENTION_MS`` in the past.
        """
        now_ms = self._clock.now_ms()
        total_ms = min(self._overdue_ms, now_ms - since_ms)
        for end_ms, length_ms in self._stalls:
            total_ms += max(0.0, end_ms - max(since_ms, end_ms - length_ms))
        return total_ms

    def explains_missing_answer(self, sent_ms: float) -> bool:
        """Return whether a stall of this process may be why a call sent at ``sent_ms`` failed."""
        waited_ms = self._clock.now_ms() - sent_ms
        return self.stalled_ms(sent_ms) > MIN_STALLED_SHARE * waited_ms

    async def run(self) -> None:
        """Sample the clock until cancelled. Only the leader does, to spare followers the load."""
        try:
            while True:
                self._due_ms = self._clock.now_ms() + SAMPLE_INTERVAL_MS
                await self._sleep(SAMPLE_INTERVAL_MS / MS_PER_S)
                self._record()
        finally:
            self._due_ms = float("inf")

    def _record(self) -> None:
        now_ms, late_ms = self._clock.now_ms(), self._overdue_ms
        if late_ms:
            self._stalls.append((now_ms, late_ms))
            self._stalled.inc(late_ms)
        if late_ms > LOGGED_STALL_MS:
            logger.warning("the process did not run for a while", stalled_ms=round(late_ms))
        while self._stalls and self._stalls[0][0] < now_ms - STALL_RETENTION_MS:
            self._stalls.popleft()

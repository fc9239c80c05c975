"""Rate limit of the process's store calls, with priorities.

The store counts every call and its capacity does not grow with the number of instances, so each
instance keeps to a fixed rate. Lease renewals have the highest priority, because a late renewal
costs the domain its leader.
"""

import asyncio
import heapq
import itertools

from nutmeglb._internal.context import CallPriority, Metrics
from nutmeglb_formats.clock import Clock

BURST_S = 0.5
MIN_BURST_CALLS = 4.0
PRIORITY_RANK = {priority: rank for rank, priority in enumerate(CallPriority)}

WaitingCall = tuple[int, int, asyncio.Future[None], CallPriority]


class CallLimiter:
    """Token bucket whose waiting calls are served by priority, then in order of arrival.

    Parameters
    ----------
    calls_per_s
        Sustained rate. After an idle period, a burst of half a second's calls is admitted.
    """

    def __init__(self, calls_per_s: float, clock: Clock, metrics: Metrics) -> None:
        self._rate_per_ms = calls_per_s / 1_000
        self._max_tokens = max(MIN_BURST_CALLS, calls_per_s * BURST_S)
        self._clock = clock
        self._tokens = self._max_tokens
        self._refilled_ms = clock.now_ms()
        self._waiting: list[WaitingCall] = []
        self._arrival_numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self._delayed_counter = metrics.counter(
            "nutmeglb_store_calls_delayed_total", "Store calls that waited for the call limiter."
        )
        self._waiting_gauge = metrics.gauge(
            "nutmeglb_store_calls_waiting", "Store calls waiting for the call limiter."
        )

    async def acquire(self, priority: CallPriority, timeout_ms: float) -> bool:
        """Wait until a call is admitted. Return whether that was within ``timeout_ms``."""
        if self.try_acquire():
            return True
        admission: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._waiting,
            (PRIORITY_RANK[priority], next(self._arrival_numbers), admission, priority),
        )
        self._delayed_counter.inc(priority=priority.value)
        self._waiting_gauge.set(len(self._waiting))
        self._start_timer()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await admission
        except TimeoutError:
            return False
        return True

    def try_acquire(self) -> bool:
        """Admit a call now if a token is available and no call is waiting."""
        self._refill()
        if self._waiting or self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def admit_waiting(self) -> None:
        """Admit waiting calls while tokens are available."""
        self._refill()
        while self._waiting and self._tokens >= 1:
            admission = heapq.heappop(self._waiting)[2]
            if not admission.done():
                self._tokens -= 1
                admission.set_result(None)
        self._waiting_gauge.set(len(self._waiting))
        self._start_timer()

    def _refill(self) -> None:
        now_ms = self._clock.now_ms()
        added_tokens = (now_ms - self._refilled_ms) * self._rate_per_ms
        self._tokens = min(self._max_tokens, self._tokens + added_tokens)
        self._refilled_ms = now_ms

    def _start_timer(self) -> None:
        if self._timer is None and self._waiting:
            delay_ms = max(1.0, (1 - self._tokens) / self._rate_per_ms)
            self._timer = asyncio.get_running_loop().call_later(delay_ms / 1_000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.admit_waiting()

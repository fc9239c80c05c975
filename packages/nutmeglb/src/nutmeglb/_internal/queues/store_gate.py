"""Circuit breaker that refuses submissions immediately while the store does not answer.

Load pattern: a store outage during a burst of submissions. The outcome of an unanswered write stays
unknown until the store recovers, and the caller gets no definite answer. After an unanswered write,
no further writes are therefore sent until a read has been answered. After another unanswered call,
such as the watch of the configuration, writes wait for the answer to one read, so that the first
submission of an outage at each instance is refused as well instead of waiting for its outcome.
"""

import asyncio
from collections.abc import Callable

from result import Err

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import QueueStore
from nutmeglb._internal.telemetry.logs import get_logger

logger = get_logger("store gate")

# Interval between probes. A probe reads one key.
PROBE_INTERVAL_MS = 120.0
MS_PER_S = 1_000.0


class StoreGate:
    """Decides whether writes for callers' jobs may be sent to the store.

    Parameters
    ----------
    on_change
        Called with whether writes are allowed, when that changes.
    """

    def __init__(self, store: QueueStore, on_change: Callable[[bool], None]) -> None:
        self._store = store
        self._on_change = on_change
        self._background = BackgroundTasks()
        self._allows_writes = True
        self._check: asyncio.Task[None] | None = None

    @property
    def allows_writes(self) -> bool:
        """Return whether the store is assumed to answer."""
        return self._allows_writes

    def check(self) -> None:
        """Read once before the next write, since a call of another component was not answered."""
        if self._allows_writes and self._check is None:
            self._check = self._background.spawn(self._read_once())

    async def wait_for_check(self) -> None:
        """Wait for the answer to the read of ``check``, if one is in flight."""
        if self._check is not None:
            await asyncio.wait([self._check])

    def record_failure(self) -> None:
        """Block writes after an unanswered call, and probe until a read is answered."""
        if not self._allows_writes:
            return
        self._allows_writes = False
        logger.warning("store call not answered; refusing submissions until a probe succeeds")
        self._on_change(False)
        self._background.spawn(self._probe())

    async def stop(self) -> None:
        """Stop probing."""
        await self._background.cancel()

    async def _read_once(self) -> None:
        found = await self._store.get(keys.TERM)
        self._check = None
        if isinstance(found, Err):
            self.record_failure()

    async def _probe(self) -> None:
        while isinstance(await self._store.get(keys.TERM), Err):
            await asyncio.sleep(PROBE_INTERVAL_MS / MS_PER_S)
        self._allows_writes = True
        logger.info("store answers again; accepting submissions")
        self._on_change(True)

"""Refuses submissions at once while the store does not answer.

Load pattern answered: a store outage during a burst. A write that is not answered leaves its
submission in doubt until the store is back, and its caller without a true answer. So after one such
write no other is sent until a read has been answered.
"""

import asyncio
from collections.abc import Callable

from result import Err

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import QueueStore
from nutmeglb._internal.telemetry.logs import get_logger

logger = get_logger("store gate")

# Between two probes; a probe is a read of one key.
PROBE_MS = 120.0
MS_PER_S = 1_000.0


class StoreGate:
    """Whether writes of callers' jobs are sent to the store.

    Parameters
    ----------
    on_change
        Called with whether the gate is open.
    """

    def __init__(self, store: QueueStore, on_change: Callable[[bool], None]) -> None:
        self._store = store
        self._on_change = on_change
        self._background = BackgroundTasks()
        self._allows_writes = True

    @property
    def allows_writes(self) -> bool:
        """Return whether the store is thought to answer."""
        return self._allows_writes

    def record_failure(self) -> None:
        """Close after a call without answer, and probe until one is answered."""
        if not self._allows_writes:
            return
        self._allows_writes = False
        logger.warning("the store does not answer; submissions are refused")
        self._on_change(False)
        self._background.spawn(self._probe())

    async def stop(self) -> None:
        """End the probes."""
        await self._background.cancel()

    async def _probe(self) -> None:
        while isinstance(await self._store.get(keys.TERM), Err):
            await asyncio.sleep(PROBE_MS / MS_PER_S)
        self._allows_writes = True
        logger.info("the store answers again")
        self._on_change(True)

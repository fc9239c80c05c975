"""Stores what the leader has learned of workers and run times, and reads it at a takeover."""

import asyncio
from collections import Counter

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.hint_record import HintRecord
from nutmeglb._internal.queues.ports import QueueStore
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import learned_state
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.worker_speed import speed_class
from nutmeglb_formats.models.queue_records import LearnedState

logger = get_logger("learned")

# A successor learns again what changed in this time. A record has about 6 kB for 176 workers.
STORE_INTERVAL_S = 5.0


class LearnedStore:
    """Reads and writes the record of one leader."""

    def __init__(
        self, store: QueueStore, cell: Cell, key_revision: int, metrics: Metrics | None
    ) -> None:
        self._cell = cell
        self._record = HintRecord(store, keys.LEARNED, LearnedState, key_revision)
        self._workers = metrics and metrics.gauge(
            "nutmeglb_queue_workers_by_speed", "Workers by their learned speed."
        )

    async def load(self) -> None:
        """Restore what a former leader has learned, if the store has it."""
        state = await self._record.load()
        if state is not None:
            learned_state.restore(self._cell, state)
            logger.info("learned speeds read", machines=len(state.speeds))

    async def run(self) -> None:
        """Store what has changed, until cancelled."""
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            self._count_workers()
            if self._cell.speeds.progress_is_visible:
                await self._record.save(learned_state.encode(self._cell))

    def _count_workers(self) -> None:
        if not self._workers:
            return
        counts = Counter(speed_class(worker.slowness) for worker in self._cell.workers.values())
        for name in ("fast", "average", "slow"):
            self._workers.set(counts[name], speed=name)

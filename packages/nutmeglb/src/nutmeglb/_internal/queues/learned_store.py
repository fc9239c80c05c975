"""Stores what the leader has learned of workers and run times, and reads it at a takeover."""

import asyncio
from collections import Counter

from result import Err, Ok

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import QueueStore, StoredPut
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import learned_state
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.worker_speed import speed_class
from nutmeglb_formats.models.queue_records import (
    LearnedState,
    decode_queue_record,
    encode_queue_record,
)

logger = get_logger("learned")

# A successor learns again what changed in this time. A record has about 6 kB for 176 workers.
STORE_INTERVAL_S = 5.0


class LearnedStore:
    """Reads and writes the record of one leader.

    The record is a hint: it is written without a retry, and only while the leader key is that of
    this term, so that a former leader does not replace it.
    """

    def __init__(
        self, store: QueueStore, cell: Cell, key_revision: int, metrics: Metrics | None
    ) -> None:
        self._store = store
        self._cell = cell
        self._key_revision = key_revision
        self._stored: LearnedState | None = None
        self._workers = metrics and metrics.gauge(
            "nutmeglb_queue_workers_by_speed", "Workers by their learned speed."
        )

    async def load(self) -> None:
        """Restore what a former leader has learned, if the store has it."""
        found = await self._store.get(keys.LEARNED)
        if isinstance(found, Err) or found.ok_value is None:
            return
        loaded = decode_queue_record(found.ok_value.value, keys.LEARNED)
        if not isinstance(loaded, Ok) or not isinstance(loaded.ok_value, LearnedState):
            logger.error("malformed record of learned speeds ignored", key=keys.LEARNED)
            return
        learned_state.restore(self._cell, loaded.ok_value)
        logger.info("learned speeds read", machines=len(loaded.ok_value.speeds))

    async def run(self) -> None:
        """Store what has changed, until cancelled."""
        while True:
            await asyncio.sleep(STORE_INTERVAL_S)
            self._count_workers()
            if self._cell.speeds.progress_is_visible:
                await self._save()

    async def _save(self) -> None:
        state = learned_state.encode(self._cell)
        if state == self._stored:
            return
        put = StoredPut(keys.LEARNED, encode_queue_record(state))
        saved = await self._store.commit({keys.LEADER: self._key_revision}, [put])
        if isinstance(saved, Ok) and saved.ok_value.applied:
            self._stored = state

    def _count_workers(self) -> None:
        if not self._workers:
            return
        counts = Counter(speed_class(worker.slowness) for worker in self._cell.workers.values())
        for name in ("fast", "average", "slow"):
            self._workers.set(counts[name], speed=name)

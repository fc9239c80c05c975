"""The hints that a leader leaves for the next one: learned speeds, and addresses of workers."""

import asyncio

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.hint_record import HintRecord
from nutmeglb._internal.queues.learned_store import LearnedStore
from nutmeglb._internal.queues.ports import QueueStore
from nutmeglb_decisions.queues import worker_addresses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import WorkerAddresses

# Workers of which a successor does not know the address are waited for until their leases end. A
# record has about 12 kB for 176 workers, and is written only when they change, so also right after
# the listing that shows a new one.
ADDRESS_INTERVAL_S = 0.25


class LeaderHints:
    """Reads the hints at a takeover, and writes them during the term."""

    def __init__(
        self,
        store: QueueStore,
        cell: Cell,
        clock: Clock,
        key_revision: int,
        metrics: Metrics | None,
    ) -> None:
        self._cell = cell
        self._clock = clock
        self._learned = LearnedStore(store, cell, key_revision, metrics)
        self._addresses = HintRecord(store, keys.ADDRESSES, WorkerAddresses, key_revision)
        self._former: WorkerAddresses | None = None

    async def load(self) -> None:
        """Read what the store has."""
        _, self._former = await asyncio.gather(self._learned.load(), self._addresses.load())

    def recall_workers(self) -> None:
        """Add the workers for which steps wait and which have no entry any more."""
        if self._former is not None:
            worker_addresses.restore(self._cell, self._former)

    async def run(self) -> None:
        """Store what has changed, until cancelled."""
        await asyncio.gather(self._learned.run(), self._run_addresses())

    async def _run_addresses(self) -> None:
        while True:
            record = worker_addresses.encode(self._cell, self._clock.now_ms())
            await self._addresses.save(record)
            await asyncio.sleep(ADDRESS_INTERVAL_S)

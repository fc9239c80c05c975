"""Group commit of job progress by the leader.

Every commit also increments a counter and requires the counter's previous revision. Commits
therefore take effect in order and exactly once, even when an answer is lost or a write is applied
late.
"""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from result import Err

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.authority import Term
from nutmeglb._internal.queues.ports import QueueStore, StoredItem, StoredPut
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import progress, record_size
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Job
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import (
    Counter,
    JobProgress,
    decode_queue_record,
    encode_queue_record,
)

logger = get_logger("commits")

# The store accepts 32 entries in a transaction. Two are used by conditions and one by the counter.
MAX_BATCH_ENTRIES = 28
RETRY_MS = 60.0
MAX_RETRY_MS = 500.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class _ProgressWrite:
    job: Job
    progress: JobProgress
    key: str
    value: bytes
    removals: tuple[str, ...]


class Committer:
    """Stores the progress of dirty jobs in batches, one transaction per batch.

    Parameters
    ----------
    on_lost
        Called with the cause when a commit shows that the leadership has ended.
    on_stored
        Called after each committed batch.
    """

    def __init__(
        self,
        cell: Cell,
        store: QueueStore,
        clock: Clock,
        term: Term,
        writer: str,
        interval_ms: float,
        on_lost: Callable[[str], None],
        on_stored: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._store = store
        self._clock = clock
        self._term = term
        self._writer = writer
        self._interval_ms = interval_ms
        self._on_lost = on_lost
        self._on_stored = on_stored
        self._wake = asyncio.Event()
        self._flush_waiters: list[asyncio.Future[None]] = []
        self._removals: list[str] = []
        self._revision = 0
        self._number = 0
        self._is_committing = False

    async def load_counter(self) -> bool:
        """Read the commit counter. Return whether the store answered."""
        found = await self._store.get(keys.COMMIT)
        if isinstance(found, Err):
            return False
        if found.ok_value is not None:
            self._revision = found.ok_value.revision
            loaded = decode_queue_record(found.ok_value.value, keys.COMMIT)
            counter = None if isinstance(loaded, Err) else loaded.ok_value
            if isinstance(counter, Counter):
                self._number = counter.number
            else:
                # Commits depend on the revision of the key; the number only tells them apart.
                logger.error("malformed commit counter; counting from 0", key=keys.COMMIT)
        return True

    def request_commit(self) -> None:
        """Start a commit if any job is dirty."""
        if self._cell.dirty:
            self._wake.set()

    async def flush_progress(self) -> None:
        """Wait until all jobs that are dirty now are stored."""
        if not self._cell.dirty and not self._is_committing:
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._flush_waiters.append(future)
        self._wake.set()
        await future

    async def run(self) -> None:
        """Commit until cancelled or until the leadership has ended."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._is_committing = True
            waiting, self._flush_waiters = self._flush_waiters, []
            jobs = list(self._cell.dirty.values())
            self._cell.dirty.clear()
            for batch in _batches([_encode_write(job) for job in jobs]):
                if not await self._store_batch(batch):
                    return
                for write in batch:
                    progress.committed(self._cell, write.job, write.progress)
                self._on_stored()
            if not await self._store_removals():
                return
            self._is_committing = False
            for future in waiting:
                if not future.done():
                    future.set_result(None)
            if self._cell.dirty or self._flush_waiters or self._removals:
                self._wake.set()
            await asyncio.sleep(self._interval_ms / MS_PER_S)

    def remove(self, keys_to_remove: Sequence[str]) -> None:
        """Remove keys from the store after the next commit of progress."""
        self._removals.extend(keys_to_remove)
        if self._removals:
            self._wake.set()

    async def _store_removals(self) -> bool:
        while self._removals:
            batch = self._removals[:MAX_BATCH_ENTRIES]
            if not await self.commit(*self._next_counter(), batch):
                return False
            del self._removals[: len(batch)]
        return True

    def _next_counter(self) -> tuple[Counter, list[StoredPut]]:
        """Return the next counter value and the write that stores it."""
        self._number += 1
        counter = Counter(self._number, self._writer)
        return counter, [StoredPut(keys.COMMIT, encode_queue_record(counter))]

    async def _store_batch(self, batch: Sequence[_ProgressWrite]) -> bool:
        """Store a batch, retrying without limit. Return false when the leadership has ended."""
        counter, puts = self._next_counter()
        puts += [StoredPut(write.key, write.value) for write in batch]
        removals = [key for write in batch for key in write.removals]
        return await self.commit(counter, puts, removals)

    async def commit(
        self, counter: Counter, puts: Sequence[StoredPut], removals: Sequence[str]
    ) -> bool:
        """Retry a transaction until its outcome is known. Return whether it took effect."""
        expected = {keys.LEADER: self._term.key_revision, keys.COMMIT: self._revision}
        delay_ms = RETRY_MS
        while True:
            committed = await self._store.commit(expected, puts, removals)
            if isinstance(committed, Err):
                error = committed.err_value
                unknown = isinstance(error, StoreOutcomeUnknown)
                logger.warning("commit failed; retrying", unknown=unknown, cause=str(error))
                await asyncio.sleep(delay_ms / MS_PER_S)
                delay_ms = min(MAX_RETRY_MS, 2 * delay_ms)
                continue
            commit = committed.ok_value
            if commit.applied:
                self._revision = commit.revision
                return True
            stored = (commit.found or {}).get(keys.COMMIT)
            if stored is not None and _matches_counter(stored, counter):
                # An earlier attempt at this write took effect, but its answer was lost.
                self._revision = stored.revision
                return True
            self._on_lost("a commit was rejected: the leader key has changed or was removed")
            return False


def _matches_counter(item: StoredItem, counter: Counter) -> bool:
    return item.value == encode_queue_record(counter)


def _encode_write(job: Job) -> _ProgressWrite:
    encoded, job_id = progress.encode(job), job.job_id
    progress.begin_commit(job, encoded)
    value = encode_queue_record(encoded)
    record_size.record_encoded(job, encoded)
    if not encoded.final:
        return _ProgressWrite(job, encoded, keys.progress(job_id), value, ())
    removals = (keys.accepted(job_id), keys.cancelled(job_id), keys.progress(job_id))
    return _ProgressWrite(job, encoded, keys.final(job_id), value, removals)


def _batches(writes: Sequence[_ProgressWrite]) -> list[list[_ProgressWrite]]:
    batches: list[list[_ProgressWrite]] = []
    entries = MAX_BATCH_ENTRIES + 1
    for write in writes:
        size = 1 + len(write.removals)
        if entries + size > MAX_BATCH_ENTRIES:
            batches.append([])
            entries = 0
        batches[-1].append(write)
        entries += size
    return batches

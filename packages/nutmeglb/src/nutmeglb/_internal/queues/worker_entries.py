"""Reads the entries of the workers in the store. An entry that cannot be used is left out alone."""

import asyncio
from collections.abc import Awaitable, Callable, Collection

from result import Err, Ok, Result

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.ports import Platform, StoredItem
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import InvariantViolation, StoreError
from nutmeglb_formats.models.queues import QueueWorker

logger = get_logger("worker entries")

DEFECT_REASON = "defect"
OTHER_REASON = "other"
# Ignored entries of which changes are known. Further ones are counted, and logged in one line.
MAX_REPORTED = 1_000
MS_PER_S = 1_000.0


class WorkerEntries:
    """Reads the list of workers, and reports each ignored entry once.

    Workers rewrite their entries at every heartbeat, and the list is read twice a second. So an
    ignored entry is counted when its revision changes, and logged when the reason changes.
    """

    def __init__(self, platform: Platform, metrics: Metrics | None, log: DecisionLog) -> None:
        self._platform = platform
        self._log = log
        self._ignored = metrics and metrics.counter(
            "nutmeglb_queue_entries_ignored_total",
            "Versions of worker entries that were ignored, by the field at fault.",
        )
        # Revision and cause by the key of the entry.
        self._reported: dict[str, tuple[int, str]] = {}
        self._is_full = False
        self._revision = 0
        self._former_revision = 0
        self._last_defect = ""

    async def run(
        self, interval_ms: Callable[[], float], refresh: Callable[[], Awaitable[None]]
    ) -> None:
        """Call ``refresh``, which reads and applies the list, periodically until cancelled.

        An unexpected exception does not end the term, since the next leader reads the same list.
        """
        while True:
            await asyncio.sleep(interval_ms() / MS_PER_S)
            try:
                await refresh()
            except InvariantViolation:
                raise
            except Exception as error:
                if repr(error) != self._last_defect:
                    self._last_defect = repr(error)
                    self._log.defect("worker list", error)

    async def read(self) -> Result[list[QueueWorker], StoreError]:
        """Read all entries, and return the workers of those that can be used."""
        listing = await self._platform.store.range(self._platform.workers_prefix, large=True)
        if isinstance(listing, Err):
            return Err(listing.err_value)
        self._former_revision, self._revision = self._revision, listing.ok_value.revision
        workers = []
        ignored = set()
        for item in listing.ok_value.items:
            worker = self._decode(item)
            if worker is None:
                ignored.add(item.key)
            else:
                workers.append(worker)
        for key in self._reported.keys() - ignored:
            del self._reported[key]
        return Ok(workers)

    async def read_changes(self, worker_ids: Collection[str]) -> list[QueueWorker]:
        """Return all entries of some workers since the listing before the last one, in order.

        Those between the two were not read, as during an outage. Without an answer, or after too
        long an outage, there are none.
        """
        prefix = self._platform.workers_prefix
        found = await self._platform.store.changes(prefix, self._former_revision, 0)
        if isinstance(found, Err) or found.ok_value.history_lost:
            return []
        keys = {prefix + worker_id for worker_id in worker_ids}
        entries = [
            self._decode(change)
            for change in found.ok_value.changes
            if isinstance(change, StoredItem) and change.key in keys
        ]
        return [worker for worker in entries if worker is not None]

    def _decode(self, item: StoredItem) -> QueueWorker | None:
        try:
            decoded = self._platform.decode_worker(item)
        except Exception as error:
            cause = repr(error)
            if self._is_change(item, DEFECT_REASON, cause):
                self._log.defect("worker entry", error)
            return None
        if isinstance(decoded, Ok):
            return decoded.ok_value
        error_context = decoded.err_value.context
        reason = str(error_context.get("field", OTHER_REASON))
        if self._is_change(item, reason, str(error_context.get("cause", ""))):
            logger.warning("malformed worker entry ignored", cause=str(decoded.err_value))
        return None

    def _is_change(self, item: StoredItem, reason: str, cause: str) -> bool:
        """Count a new version of an ignored entry. Return whether it has to be logged."""
        revision, known_cause = self._reported.get(item.key, (0, None))
        if item.revision == revision:
            return False
        if known_cause is None and len(self._reported) >= MAX_REPORTED:
            self._log_full()
            return False
        self._reported[item.key] = (item.revision, cause)
        if self._ignored:
            self._ignored.inc(reason=reason)
        return cause != known_cause

    def _log_full(self) -> None:
        if not self._is_full:
            self._is_full = True
            logger.error("too many ignored worker entries; others are not logged", of=MAX_REPORTED)

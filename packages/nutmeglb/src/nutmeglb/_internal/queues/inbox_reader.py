"""Polls the store for accepted jobs and cancellations that the leader was not notified of."""

import asyncio
from collections.abc import Callable, Container

from result import Err, Ok

from nutmeglb._internal.queues import keys, stored_jobs
from nutmeglb._internal.queues.ports import QueueStore, Removal
from nutmeglb._internal.queues.stored_jobs import Inbox
from nutmeglb._internal.telemetry.logs import get_logger

logger = get_logger("inbox")

MS_PER_S = 1_000.0


class InboxReader:
    """Polls the store for jobs and cancellations that were accepted after a revision.

    Parameters
    ----------
    known_job_ids
        Ids of jobs that the leader already has, which are skipped.
    interval_ms
        Returns the interval between reads.
    on_inbox
        Called with the jobs and cancellations found by a read.
    """

    def __init__(
        self,
        store: QueueStore,
        known_job_ids: Container[str],
        interval_ms: Callable[[], float],
        on_inbox: Callable[[Inbox], None],
    ) -> None:
        self._store = store
        self._known_job_ids = known_job_ids
        self._interval_ms = interval_ms
        self._on_inbox = on_inbox

    async def run(self, revision: int) -> None:
        """Poll for changes after a revision until cancelled."""
        while True:
            await asyncio.sleep(self._interval_ms() / MS_PER_S)
            found = await self._store.changes(keys.ACCEPTED, revision, 0)
            if isinstance(found, Err):
                continue
            if found.ok_value.history_lost:
                revision = await self._read_all(revision)
                continue
            revision = max(revision, found.ok_value.revision)
            unknown = [
                change
                for change in found.ok_value.changes
                if not isinstance(change, Removal)
                and change.key.removeprefix(keys.ACCEPTED) not in self._known_job_ids
            ]
            self._on_inbox(stored_jobs.decode_inbox(unknown, revision))

    async def _read_all(self, revision: int) -> int:
        """Read all accepted jobs. Return the revision to continue from."""
        inbox = await stored_jobs.read_inbox(self._store)
        if not isinstance(inbox, Ok):
            return revision
        logger.info("read all accepted jobs, since the store no longer has the changes")
        self._on_inbox(inbox.ok_value)
        return inbox.ok_value.revision

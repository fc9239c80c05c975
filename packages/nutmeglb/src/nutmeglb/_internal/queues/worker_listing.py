"""Reads the entries of the workers periodically and applies them to the cell."""

from collections.abc import Callable, Iterable

from result import Ok

from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.worker_entries import WorkerEntries
from nutmeglb._internal.queues.worker_links import WorkerLinks
from nutmeglb_decisions.queues import leaving_workers, reports
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.entry_age import EntryAge, StoreContact
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queues import QueueWorker


class WorkerListing:
    """The entries of all workers, as one leader reads them.

    Parameters
    ----------
    entries
        The entries of the workers in the store.
    contact
        Since when the store has answered this instance; ``None`` if that is not known.
    links
        Links to the workers, refreshed after the entries were applied.
    request_pass
        Called then.
    """

    def __init__(
        self,
        cell: Cell,
        entries: WorkerEntries,
        clock: Clock,
        contact: StoreContact | None,
        live: LiveSettings,
        links: WorkerLinks,
        request_pass: Callable[[], None],
    ) -> None:
        self._cell = cell
        self._entries = entries
        self._clock = clock
        self._live = live
        limits = live.current.queues
        self._contact = contact or StoreContact(limits.worker_beat_ms)
        cell.entry_age = EntryAge.of(
            limits.worker_stable_ms, limits.worker_beat_ms, limits.worker_timeout_ms
        )
        self._links = links
        self._request_pass = request_pass
        self._was_proven = True

    async def run(self) -> None:
        """Read the entries until cancelled."""
        await self._entries.run(lambda: self._live.current.queues.list_ms, self._refresh)

    async def _refresh(self) -> None:
        sent_ms = self._clock.now_ms()
        workers = await self._entries.read()
        if isinstance(workers, Ok):
            await self._note_ended(workers.ok_value)
            self.apply(workers.ok_value, sent_ms)
        else:
            self._contact.record_failure(self._clock.now_ms())

    async def _note_ended(self, workers: Iterable[QueueWorker]) -> None:
        """Find out which incarnations that have ended had announced that they leave."""
        listed = {worker.worker_id: worker.started_ms for worker in workers}
        ended = [
            worker.worker_id
            for worker in self._cell.workers.values()
            if worker.listed
            and listed.get(worker.worker_id) != worker.info.started_ms
            and not leaving_workers.has_left(self._cell, worker.worker_id)
        ]
        if ended:
            for info in await self._entries.read_changes(ended):
                reports.note_announcement(self._cell, info)

    def apply(self, workers: Iterable[QueueWorker], sent_ms: float) -> None:
        """Apply entries that were requested at ``sent_ms``, in one listing of the store."""
        now_ms = self._clock.now_ms()
        self._contact.record(now_ms)
        self._cell.entry_age.record_listing(sent_ms, self._contact.since_ms)
        reports.apply_worker_list(self._cell, workers, now_ms)
        self._links.refresh()
        self._request_pass()

    def log_age(self) -> None:
        """Log when the entries have become too old for starts, and when they are recent again."""
        now_ms = self._clock.now_ms()
        overdue_ms = now_ms - self._cell.entry_age.proven_until_ms
        is_proven = overdue_ms <= 0
        if is_proven == self._was_proven:
            return
        self._was_proven = is_proven
        if is_proven:
            self._cell.log_decision("starts_resumed", "the entries of workers are recent")
        else:
            self._cell.log_decision(
                "starts_withheld",
                "the entries of workers are too old to prove their capacity",
                store_answers_for_ms=round(max(0.0, now_ms - self._contact.since_ms)),
            )

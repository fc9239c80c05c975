"""Journal of the failure domain: group commit, loading and snapshots."""

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context, LeadershipChange
from nutmeglb._internal.journal_store import JournalStore
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions import journal as core
from nutmeglb_formats.exceptions import (
    InvariantViolation,
    JournalError,
    JournalOutcomeUnknown,
    NutmegError,
)
from nutmeglb_formats.models.journal import JournalHead, encode_record

logger = get_logger("journal")

SnapshotSource = Callable[[], Sequence[Any] | None]

LOAD_ATTEMPTS = 5
LOAD_RETRY_DELAY_MS = 100.0
# Number of times that a snapshot yields to the event loop, so that callers can first apply the
# outcomes of their appends.
SNAPSHOT_YIELDS = 10


class DomainJournal:
    """Implements the ``Journal`` protocol of ``context.py``."""

    name = "journal"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._commit_interval_ms = ctx.settings.journal.commit_interval_ms
        self._core = core.JournalCore(self._commit_interval_ms, ctx.rng)
        self._store = JournalStore(ctx.store, ctx.domain, ctx.rng)
        self._head = JournalHead()
        self._background = BackgroundTasks()
        self._snapshot_sources: list[SnapshotSource] = []
        self._append_ids = itertools.count(1)
        self._pending_appends: dict[int, asyncio.Future[Result[None, JournalError]]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._became_idle = asyncio.Event()
        self._load_task: asyncio.Task[Result[list[Any], JournalError]] | None = None
        self._is_snapshotting = False
        metrics = ctx.metrics
        self._appends_counter = metrics.counter(
            "nutmeglb_journal_appends_total", "Appends by outcome."
        )
        self._pages_counter = metrics.counter("nutmeglb_journal_pages_total", "Pages committed.")
        self._records_counter = metrics.counter(
            "nutmeglb_journal_records_total", "Records committed."
        )
        self._append_duration = metrics.histogram(
            "nutmeglb_journal_append_duration_ms", "Duration of appends in milliseconds."
        )
        self._snapshots_counter = metrics.counter(
            "nutmeglb_journal_snapshots_total", "Snapshots written."
        )
        self._violations_counter = metrics.counter(
            "nutmeglb_invariant_violations_total", "Violated guarantees."
        )

    async def start(self) -> None:
        """Subscribe to leadership changes."""
        self._ctx.leadership.subscribe(self._on_leadership)

    async def drain(self, deadline_ms: float) -> None:
        """Wait until every append has an outcome, at most until the deadline."""
        while self._pending_appends and self._ctx.clock.now_ms() < deadline_ms:
            await asyncio.sleep(self._commit_interval_ms / 1_000)

    async def stop(self) -> None:
        """Close the journal and cancel all tasks."""
        self._close("the instance stops")
        if self._timer is not None:
            self._timer.cancel()
        await self._background.cancel()
        for number in list(self._pending_appends):
            self._resolve_append(
                core.ResolveAppend(number, core.AppendOutcome.UNKNOWN, "the instance stops")
            )

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""
        return {
            "epoch": self._core.epoch,
            "next_page": self._core.next_seq,
            "waiting": len(self._pending_appends),
            "snapshot": self._head.snapshot,
        }

    def add_snapshot_source(self, source: SnapshotSource) -> None:
        """Add a function that returns the records of a component's full state."""
        self._snapshot_sources.append(source)

    async def append(self, records: Sequence[Any]) -> Result[None, JournalError]:
        """Commit records as part of a group commit.

        ``JournalOutcomeUnknown`` means that the records may be in the journal. After any other
        error they are not in the journal and never will be.
        """
        if not self._may_write():
            return Err(
                _journal_error(core.AppendOutcome.FAILED, "this instance does not lead the domain")
            )
        number = next(self._append_ids)
        outcome_future: asyncio.Future[Result[None, JournalError]] = asyncio.Future()
        self._pending_appends[number] = outcome_future
        started_ms = self._ctx.clock.now_ms()
        encoded = [encode_record(record) for record in records]
        self._apply_effects(self._core.append(number, encoded, started_ms))
        result = await outcome_future
        self._append_duration.observe(self._ctx.clock.now_ms() - started_ms)
        return result

    async def load(self) -> Result[list[Any], JournalError]:
        """Read the snapshot's records and all later ones, in order.

        Concurrent calls share one read. The journal accepts appends after it.
        """
        if self._load_task is None or self._load_task.done():
            self._load_task = self._background.spawn(self._load())
        return await asyncio.shield(self._load_task)

    def _may_write(self) -> bool:
        """Return whether this instance may write now. Checked immediately before every write."""
        leadership = self._ctx.leadership
        return leadership.is_leader() and self._core.epoch == leadership.epoch

    def _on_leadership(self, change: LeadershipChange) -> None:
        if not change.is_self or change.epoch != self._core.epoch:
            self._close("this instance no longer leads the failure domain")

    def _close(self, cause: str) -> None:
        self._apply_effects(self._core.close(cause))

    async def _load(self) -> Result[list[Any], JournalError]:
        if self._core.epoch == self._ctx.leadership.epoch:
            self._core.hold()
        else:
            self._close("the journal is loaded under a new epoch")
        while not self._core.is_idle:
            self._became_idle.clear()
            await self._became_idle.wait()
        cause = "this instance does not lead the domain"
        for _ in range(LOAD_ATTEMPTS):
            if not self._ctx.leadership.is_leader():
                break
            loaded = await self._try_load(self._ctx.leadership.epoch)
            if isinstance(loaded, Ok):
                return Ok(loaded.ok_value)
            cause = str(loaded.err_value)
            logger.warning("cannot load the journal; retrying while attempts remain", cause=cause)
            await asyncio.sleep(self._ctx.rng.uniform(0.5, 1.0) * LOAD_RETRY_DELAY_MS / 1_000)
        self._close("the journal could not be loaded")
        return Err(_journal_error(core.AppendOutcome.FAILED, cause))

    async def _try_load(self, epoch: int) -> Result[list[Any], NutmegError]:
        try:
            loaded = await self._store.load(epoch)
        except InvariantViolation as violation:
            self._violations_counter.inc(invariant=str(violation.context.get("invariant")))
            self._ctx.events.emit("invariant_violated", str(violation))
            return Err(violation)
        if isinstance(loaded, Err):
            return Err(loaded.err_value)
        if self._ctx.leadership.epoch != epoch:
            return Err(_journal_error(core.AppendOutcome.FAILED, "the epoch changed"))
        records = loaded.ok_value.records
        self._head = loaded.ok_value.head
        self._core.open(epoch, loaded.ok_value.next_seq)
        self._ctx.events.emit("journal_loaded", "takeover", epoch=epoch, records=len(records))
        self._apply_effects(self._core.advance(self._ctx.clock.now_ms()))
        return Ok(records)

    def _apply_effects(self, effects: Sequence[core.Effect]) -> None:
        for effect in effects:
            match effect:
                case core.WritePage():
                    self._background.spawn(self._write_page(effect))
                case core.ReadPage(seq):
                    self._background.spawn(self._read_page(seq))
                case core.ResolveAppend():
                    self._resolve_append(effect)
                case core.PageCommitted(seq, records):
                    self._pages_counter.inc()
                    self._records_counter.inc(records)
        if self._core.is_idle:
            self._became_idle.set()
        self._schedule_timer()
        if effects:
            self._start_snapshot_if_due()

    def _resolve_append(self, resolution: core.ResolveAppend) -> None:
        outcome_future = self._pending_appends.pop(resolution.append, None)
        if outcome_future is None or outcome_future.done():
            return
        self._appends_counter.inc(outcome=resolution.outcome.name.lower())
        if resolution.outcome is core.AppendOutcome.COMMITTED:
            outcome_future.set_result(Ok(None))
        else:
            outcome_future.set_result(Err(_journal_error(resolution.outcome, resolution.cause)))

    async def _write_page(self, effect: core.WritePage) -> None:
        if not self._may_write():
            result = core.WriteResult.NOT_APPLIED
            self._close("this instance no longer leads the failure domain")
        else:
            result = await self._store.write(effect)
        self._apply_effects(self._core.on_written(effect.seq, result, self._ctx.clock.now_ms()))

    async def _read_page(self, seq: int) -> None:
        found = await self._store.read_back(seq)
        now_ms = self._ctx.clock.now_ms()
        if isinstance(found, Err):
            logger.warning(
                "cannot read back a page with an unknown write outcome; retrying",
                page=seq,
                cause=str(found.err_value),
            )
            self._apply_effects(self._core.on_read_failed(seq, now_ms))
        else:
            self._apply_effects(self._core.on_read(seq, *found.ok_value, now_ms))

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due_ms = self._core.next_due_ms()
        if due_ms is not None:
            delay_ms = max(1.0, due_ms - self._ctx.clock.now_ms())
            self._timer = asyncio.get_running_loop().call_later(delay_ms / 1_000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._apply_effects(self._core.advance(self._ctx.clock.now_ms()))

    def _start_snapshot_if_due(self) -> None:
        pages_since_snapshot = self._core.next_seq - 1 - self._head.snapshot
        is_due = pages_since_snapshot >= self._ctx.settings.journal.snapshot_pages
        if is_due and self._core.epoch is not None and not self._is_snapshotting:
            self._is_snapshotting = True
            self._background.spawn(self._snapshot())

    async def _snapshot(self) -> None:
        try:
            await self._take_snapshot()
        finally:
            # After a failure, limits the attempts to one per commit interval.
            await asyncio.sleep(self._commit_interval_ms / 1_000)
            self._is_snapshotting = False

    async def _take_snapshot(self) -> None:
        epoch, seq, records = await self._consistent_state()
        if epoch is None or records is None or not self._may_write():
            return
        written = await self._store.write_snapshot(records, seq, epoch, self._head)
        if isinstance(written, Err):
            logger.warning(
                "journal snapshot not written; a later commit triggers it again",
                cause=str(written.err_value),
            )
            await self._reload_head()
            return
        self._head = written.ok_value
        self._snapshots_counter.inc()
        self._ctx.events.emit("journal_snapshot", "page limit", page=seq, records=len(records))
        while self._head.oldest <= self._head.snapshot and self._may_write():
            deleted = await self._store.delete_pages(epoch, self._head)
            if isinstance(deleted, Err):
                await self._reload_head()
                return
            self._head = deleted.ok_value

    async def _consistent_state(self) -> tuple[int | None, int, list[Any] | None]:
        """Return the epoch, the last page and the records of a state that includes this page.

        Callers apply the outcome of an append without awaiting anything else. After a few
        iterations of the event loop without a new page, the state of each of them includes the
        last page.
        """
        seq = -1
        while seq != self._core.next_seq - 1:
            seq = self._core.next_seq - 1
            for _ in range(SNAPSHOT_YIELDS):
                await asyncio.sleep(0)
        parts = [source() for source in self._snapshot_sources]
        complete = [part for part in parts if part is not None]
        if not parts or len(complete) < len(parts):
            return self._core.epoch, seq, None
        return self._core.epoch, seq, [record for part in complete for record in part]

    async def _reload_head(self) -> None:
        """Read the head again after a write of it that failed or has an unknown outcome."""
        head = await self._store.read_head()
        if isinstance(head, Ok):
            self._head = head.ok_value


def _journal_error(outcome: core.AppendOutcome, cause: str) -> JournalError:
    context = {"cause": cause}
    if outcome is core.AppendOutcome.UNKNOWN:
        return JournalOutcomeUnknown(
            "The records may be in the journal",
            context=context,
            hint="Look up the object before you repeat the command",
        )
    return JournalError(
        "The records are not in the journal",
        context=context,
        hint="Repeat the command; it is forwarded to the leader of the failure domain",
    )

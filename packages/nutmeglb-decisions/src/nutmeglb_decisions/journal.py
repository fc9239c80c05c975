"""Group commit of a failure domain's journal, as a state machine without I/O.

At most one page is in flight. Its number and id stay the same over all retries, so a lost response
is resolved by reading back the page stored under that number.
"""

import random
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

from nutmeglb_decisions.invariants import require
from nutmeglb_formats.identifiers import new_id
from nutmeglb_formats.models.journal import PAGE_LIMIT_BYTES

INVARIANT = "journal_epoch"
# Reserves 10,000 bytes for the page's own fields and to stay below the store's request limit.
MAX_PAGE_RECORD_BYTES = PAGE_LIMIT_BYTES - 10_000
APPEND_TIMEOUT_MS = 3_000.0


class AppendOutcome(Enum):
    """Outcome of an append. ``UNKNOWN`` means that its records may be in the journal."""

    COMMITTED = auto()
    FAILED = auto()
    UNKNOWN = auto()


class WriteResult(Enum):
    """Result of one attempt to write a page."""

    APPLIED = auto()
    CONDITION_FAILED = auto()
    NOT_APPLIED = auto()
    UNKNOWN = auto()


class _Stage(Enum):
    WRITING = auto()
    READING = auto()
    WAITING = auto()


@dataclass(frozen=True, slots=True)
class WritePage:
    """Write a page if its number is unused and the stored epoch equals the page's epoch."""

    seq: int
    page_id: str
    epoch: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read back the id of the page stored under a number, and the stored epoch."""

    seq: int


@dataclass(frozen=True, slots=True)
class ResolveAppend:
    """Report the outcome of an append to its caller."""

    append: int
    outcome: AppendOutcome
    cause: str


@dataclass(frozen=True, slots=True)
class PageCommitted:
    """A page was committed to the store."""

    seq: int
    records: int


Effect = WritePage | ReadPage | ResolveAppend | PageCommitted


@dataclass(slots=True)
class _Entry:
    """Records of one append that are written in the same page."""

    append: int
    records: tuple[bytes, ...]
    size: int
    deadline_ms: float
    is_last: bool


@dataclass(slots=True)
class _PageWrite:
    """The page in flight and the entries that wait for it.

    ``is_outcome_unknown`` is set when a write may have been applied without a response.
    """

    page: WritePage
    entries: list[_Entry]
    stage: _Stage = _Stage.WRITING
    is_outcome_unknown: bool = False
    retry_at_ms: float = 0.0


@dataclass(slots=True)
class _OpenJournal:
    epoch: int
    next_seq: int
    pending: deque[_Entry] = field(default_factory=deque)
    partially_committed: set[int] = field(default_factory=set)


class JournalCore:
    """Collects records into pages and retries each page until its outcome is known.

    Parameters
    ----------
    interval_ms
        Minimum time between the starts of two commits. After an idle period a commit starts
        immediately.
    """

    def __init__(self, interval_ms: float, rng: random.Random) -> None:
        self._interval_ms = interval_ms
        self._rng = rng
        self._open: _OpenJournal | None = None
        self._page_write: _PageWrite | None = None
        self._is_on_hold = False
        self._next_start_ms = float("-inf")

    @property
    def epoch(self) -> int | None:
        """Return the epoch under which the journal is open, ``None`` if it is closed."""
        return self._open.epoch if self._open else None

    @property
    def next_seq(self) -> int:
        """Return the number of the next page, 0 if the journal is closed."""
        return self._open.next_seq if self._open else 0

    @property
    def is_idle(self) -> bool:
        """Return whether no page is in flight."""
        return self._page_write is None

    @property
    def waiting(self) -> int:
        """Return the number of queued entries."""
        return len(self._open.pending) if self._open else 0

    def open(self, epoch: int, next_seq: int) -> None:
        """Accept records under an epoch, or resume after ``hold``."""
        require(
            self._open is None or epoch >= self._open.epoch,
            INVARIANT,
            "The journal would be reopened under an older epoch",
            epoch=epoch,
        )
        require(
            self._page_write is None,
            INVARIANT,
            "The journal would be opened while a page is in flight",
        )
        self._is_on_hold = False
        if self._open is not None and self._open.epoch == epoch:
            self._open.next_seq = next_seq
        else:
            self._open = _OpenJournal(epoch, next_seq)

    def hold(self) -> None:
        """Start no further page until ``open`` is called. Appends are queued."""
        self._is_on_hold = True

    def close(self, cause: str) -> list[Effect]:
        """Stop accepting records. A page in flight is still resolved but not retried."""
        if self._open is None:
            return []
        effects = self._resolve(list(self._open.pending), AppendOutcome.FAILED, cause)
        self._open = None
        if self._page_write is not None and self._page_write.stage is _Stage.WAITING:
            effects += self._abandon(self._page_write, cause)
        return effects

    def append(self, number: int, records: Sequence[bytes], now_ms: float) -> list[Effect]:
        """Queue the encoded records of append ``number``."""
        if self._open is None:
            return [ResolveAppend(number, AppendOutcome.FAILED, "the journal is not open")]
        if not records:
            return [ResolveAppend(number, AppendOutcome.COMMITTED, "")]
        chunks = list(_split_into_pages(records))
        if any(size > MAX_PAGE_RECORD_BYTES for _, size in chunks):
            return [ResolveAppend(number, AppendOutcome.FAILED, "a record is larger than a page")]
        deadline_ms = now_ms + APPEND_TIMEOUT_MS
        for index, (chunk, size) in enumerate(chunks, start=1):
            entry = _Entry(number, chunk, size, deadline_ms, index == len(chunks))
            self._open.pending.append(entry)
        return self.advance(now_ms)

    def advance(self, now_ms: float) -> list[Effect]:
        """Start or retry a commit if it is due, and fail appends past their deadline."""
        effects = self._expire(now_ms)
        page_write = self._page_write
        if page_write is not None:
            if page_write.stage is _Stage.WAITING and now_ms >= page_write.retry_at_ms:
                page_write.stage = _Stage.WRITING
                effects.append(self._write(page_write))
            return effects
        if self._open is None or not self._open.pending or self._is_on_hold:
            return effects
        if now_ms < self._next_start_ms:
            return effects
        self._next_start_ms = now_ms + self._interval_ms
        self._page_write = self._build_page(self._open)
        return [*effects, self._write(self._page_write)]

    def next_due_ms(self) -> float | None:
        """Return the time of the next call of ``advance``, ``None`` if none is needed."""
        times = []
        if self._page_write is not None and self._page_write.stage is _Stage.WAITING:
            times.append(self._page_write.retry_at_ms)
        if self._open is not None and self._open.pending:
            times.append(self._open.pending[0].deadline_ms)
            if self._page_write is None and not self._is_on_hold:
                times.append(self._next_start_ms)
        if self._page_write is not None and self._page_write.entries:
            deadlines = [entry.deadline_ms for entry in self._page_write.entries]
            if self._page_write.is_outcome_unknown:
                times.append(min(deadlines))
            elif self._page_write.stage is _Stage.WAITING:
                times.append(max(deadlines))
        return min(times, default=None)

    def on_written(self, seq: int, result: WriteResult, now_ms: float) -> list[Effect]:
        """Process the result of ``WritePage``."""
        page_write = self._page_write
        if (
            page_write is None
            or page_write.page.seq != seq
            or page_write.stage is not _Stage.WRITING
        ):
            return []
        if result is WriteResult.APPLIED:
            return self._on_committed(page_write, now_ms)
        if result is WriteResult.NOT_APPLIED:
            return self._schedule_retry(page_write, "the store is unavailable", now_ms)
        page_write.is_outcome_unknown = (
            page_write.is_outcome_unknown or result is WriteResult.UNKNOWN
        )
        page_write.stage = _Stage.READING
        return [ReadPage(seq)]

    def on_read_failed(self, seq: int, now_ms: float) -> list[Effect]:
        """Process the failure of ``ReadPage``."""
        page_write = self._page_write
        if (
            page_write is None
            or page_write.page.seq != seq
            or page_write.stage is not _Stage.READING
        ):
            return []
        return self._schedule_retry(page_write, "the store is unavailable", now_ms)

    def on_read(self, seq: int, page_id: str | None, epoch: int, now_ms: float) -> list[Effect]:
        """Process the result of ``ReadPage``: the id of the stored page and the stored epoch."""
        page_write = self._page_write
        if (
            page_write is None
            or page_write.page.seq != seq
            or page_write.stage is not _Stage.READING
        ):
            return []
        if page_id == page_write.page.page_id:
            return self._on_committed(page_write, now_ms)
        if page_id is not None:
            # The number is taken by another leader's page, so this page was never written.
            page_write.is_outcome_unknown = False
        if page_id is not None or epoch > page_write.page.epoch:
            cause = "another instance leads the failure domain"
            page_write.stage = _Stage.WAITING
            return [*self._abandon(page_write, cause), *self.close(cause)]
        return self._schedule_retry(page_write, "the page is not written yet", now_ms)

    def _build_page(self, open_journal: _OpenJournal) -> _PageWrite:
        entries: list[_Entry] = []
        size = 0
        while open_journal.pending and size + open_journal.pending[0].size <= MAX_PAGE_RECORD_BYTES:
            entry = open_journal.pending.popleft()
            entries.append(entry)
            size += entry.size
        records = tuple(record for entry in entries for record in entry.records)
        page = WritePage(open_journal.next_seq, new_id(self._rng), open_journal.epoch, records)
        return _PageWrite(page, entries)

    def _write(self, page_write: _PageWrite) -> WritePage:
        require(
            self._open is not None and page_write.page.epoch == self._open.epoch,
            INVARIANT,
            "A page of an older epoch would be written",
            epoch=page_write.page.epoch,
        )
        return page_write.page

    def _schedule_retry(self, page_write: _PageWrite, cause: str, now_ms: float) -> list[Effect]:
        page_write.stage = _Stage.WAITING
        page_write.retry_at_ms = now_ms + self._interval_ms
        if self._open is None:
            return self._abandon(page_write, cause)
        return self._expire(now_ms)

    def _abandon(self, page_write: _PageWrite, cause: str) -> list[Effect]:
        self._page_write = None
        outcome = AppendOutcome.UNKNOWN if page_write.is_outcome_unknown else AppendOutcome.FAILED
        return self._resolve(page_write.entries, outcome, cause)

    def _on_committed(self, page_write: _PageWrite, now_ms: float) -> list[Effect]:
        self._page_write = None
        effects: list[Effect] = [PageCommitted(page_write.page.seq, len(page_write.page.records))]
        if self._open is not None:
            self._open.next_seq = page_write.page.seq + 1
            partial = (entry.append for entry in page_write.entries if not entry.is_last)
            self._open.partially_committed.update(partial)
        finished = [entry for entry in page_write.entries if entry.is_last]
        effects += self._resolve(finished, AppendOutcome.COMMITTED, "")
        return effects + self.advance(now_ms)

    def _expire(self, now_ms: float) -> list[Effect]:
        """Resolve appends past their deadline. A page with unknown outcome is still retried.

        As long as no write of the page has an unknown outcome, a write in progress is awaited
        first, because its result may still show that the page was not written.
        """
        effects: list[Effect] = []
        page_write = self._page_write
        if page_write is not None:
            expired = [entry for entry in page_write.entries if now_ms >= entry.deadline_ms]
            waits = page_write.stage is _Stage.WAITING and not page_write.is_outcome_unknown
            if waits and len(expired) == len(page_write.entries):
                return self._abandon(page_write, "the store is unavailable") + self._expire(now_ms)
            if page_write.is_outcome_unknown and expired:
                page_write.entries = [entry for entry in page_write.entries if entry not in expired]
                effects += self._resolve(expired, AppendOutcome.UNKNOWN, "the store did not answer")
        if self._open is None:
            return effects
        overdue = []
        while self._open.pending and now_ms >= self._open.pending[0].deadline_ms:
            overdue.append(self._open.pending.popleft())
        return effects + self._resolve(overdue, AppendOutcome.FAILED, "the store is unavailable")

    def _resolve(self, entries: list[_Entry], outcome: AppendOutcome, cause: str) -> list[Effect]:
        effects: list[Effect] = []
        partial = self._open.partially_committed if self._open else set()
        for append in dict.fromkeys(entry.append for entry in entries):
            is_partial = append in partial and outcome is AppendOutcome.FAILED
            effects.append(
                ResolveAppend(append, AppendOutcome.UNKNOWN if is_partial else outcome, cause)
            )
            partial.discard(append)
        return effects


def _split_into_pages(records: Sequence[bytes]) -> Iterator[tuple[tuple[bytes, ...], int]]:
    """Split records into chunks that fit into a page, each with its size in bytes."""
    chunk: list[bytes] = []
    total = 0
    for record in records:
        if chunk and total + len(record) > MAX_PAGE_RECORD_BYTES:
            yield tuple(chunk), total
            chunk, total = [], 0
        chunk.append(record)
        total += len(record)
    yield tuple(chunk), total

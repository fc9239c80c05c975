"""Group commit of a failure domain's journal, as a state machine without I/O.

One page is in flight at a time. Its number and its id stay the same over all retries, so a lost
response is resolved by reading the position back.
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
# Room for the page's own fields, and below the store's limit for a whole request.
PAGE_RECORD_BYTES = PAGE_LIMIT_BYTES - 10_000
APPEND_LIMIT_MS = 3_000.0


class Outcome(Enum):
    """What became of the records of an append."""

    COMMITTED = auto()
    FAILED = auto()
    UNKNOWN = auto()


class Written(Enum):
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
    """Write a page of encoded records if its number is free and the stored epoch is the page's."""

    seq: int
    page_id: str
    epoch: int
    records: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ReadPage:
    """Read the id of a page and the stored epoch."""

    seq: int


@dataclass(frozen=True, slots=True)
class Resolve:
    """Answer an append."""

    append: int
    outcome: Outcome
    cause: str


@dataclass(frozen=True, slots=True)
class PageCommitted:
    """A page is in the store."""

    seq: int
    records: int


Effect = WritePage | ReadPage | Resolve | PageCommitted


@dataclass(slots=True)
class _Entry:
    """Records of one append that go into one page."""

    append: int
    records: tuple[bytes, ...]
    size: int
    deadline_ms: float
    is_last: bool


@dataclass(slots=True)
class _Flight:
    page: WritePage
    entries: list[_Entry]
    stage: _Stage = _Stage.WRITING
    uncertain: bool = False
    retry_at_ms: float = 0.0


@dataclass(slots=True)
class _Open:
    epoch: int
    next_seq: int
    pending: deque[_Entry] = field(default_factory=deque)
    partly_committed: set[int] = field(default_factory=set)


class JournalCore:
    """Collects records into pages and drives each page to a known outcome.

    Parameters
    ----------
    interval_ms
        Shortest time between the starts of two commits. After a quiet time a commit starts at once.
    """

    def __init__(self, interval_ms: float, rng: random.Random) -> None:
        self._interval_ms = interval_ms
        self._rng = rng
        self._open: _Open | None = None
        self._flight: _Flight | None = None
        self._held = False
        self._next_start_ms = float("-inf")

    @property
    def epoch(self) -> int | None:
        """Return the epoch under which the journal is open, ``None`` when it is closed."""
        return self._open.epoch if self._open else None

    @property
    def next_seq(self) -> int:
        """Return the number of the next page."""
        return self._open.next_seq if self._open else 0

    @property
    def is_idle(self) -> bool:
        """Return whether no page is in flight."""
        return self._flight is None

    @property
    def waiting(self) -> int:
        """Return the number of appends in the queue."""
        return len(self._open.pending) if self._open else 0

    def open(self, epoch: int, next_seq: int) -> None:
        """Begin to accept records under an epoch, or continue after ``hold``."""
        require(
            self._open is None or epoch >= self._open.epoch,
            INVARIANT,
            "The journal was opened under an older epoch",
            epoch=epoch,
        )
        require(self._flight is None, INVARIANT, "The journal was opened with a page in flight")
        self._held = False
        if self._open is not None and self._open.epoch == epoch:
            self._open.next_seq = next_seq
        else:
            self._open = _Open(epoch, next_seq)

    def hold(self) -> None:
        """Start no further page until ``open``. Appends wait."""
        self._held = True

    def close(self, cause: str) -> list[Effect]:
        """Accept no more records. A page in flight is still resolved, but not repeated."""
        if self._open is None:
            return []
        effects = self._resolve(list(self._open.pending), Outcome.FAILED, cause)
        self._open = None
        if self._flight is not None and self._flight.stage is _Stage.WAITING:
            effects += self._abandon(self._flight, cause)
        return effects

    def append(self, number: int, records: Sequence[bytes], now_ms: float) -> list[Effect]:
        """Queue the encoded records of append ``number``."""
        if self._open is None:
            return [Resolve(number, Outcome.FAILED, "the journal is not open")]
        if not records:
            return [Resolve(number, Outcome.COMMITTED, "")]
        chunks = list(_chunks(records))
        if any(size > PAGE_RECORD_BYTES for _, size in chunks):
            return [Resolve(number, Outcome.FAILED, "a record is larger than a page")]
        deadline_ms = now_ms + APPEND_LIMIT_MS
        for index, (chunk, size) in enumerate(chunks, start=1):
            entry = _Entry(number, chunk, size, deadline_ms, index == len(chunks))
            self._open.pending.append(entry)
        return self.advance(now_ms)

    def advance(self, now_ms: float) -> list[Effect]:
        """Start or repeat a commit when it is due, and give up on appends that waited too long."""
        effects = self._expire(now_ms)
        flight = self._flight
        if flight is not None:
            if flight.stage is _Stage.WAITING and now_ms >= flight.retry_at_ms:
                flight.stage = _Stage.WRITING
                effects.append(self._write(flight))
            return effects
        if self._open is None or not self._open.pending or self._held:
            return effects
        if now_ms < self._next_start_ms:
            return effects
        self._next_start_ms = now_ms + self._interval_ms
        self._flight = self._build(self._open)
        return [*effects, self._write(self._flight)]

    def due_ms(self) -> float | None:
        """Return when ``advance`` has something to do, ``None`` when it has nothing."""
        times = []
        if self._flight is not None and self._flight.stage is _Stage.WAITING:
            times.append(self._flight.retry_at_ms)
        if self._open is not None and self._open.pending:
            times.append(self._open.pending[0].deadline_ms)
            if self._flight is None and not self._held:
                times.append(self._next_start_ms)
        if self._flight is not None and self._flight.entries:
            deadlines = [entry.deadline_ms for entry in self._flight.entries]
            if self._flight.uncertain:
                times.append(min(deadlines))
            elif self._flight.stage is _Stage.WAITING:
                times.append(max(deadlines))
        return min(times, default=None)

    def written(self, seq: int, result: Written, now_ms: float) -> list[Effect]:
        """Process the result of ``WritePage``."""
        flight = self._flight
        if flight is None or flight.page.seq != seq or flight.stage is not _Stage.WRITING:
            return []
        if result is Written.APPLIED:
            return self._committed(flight, now_ms)
        if result is Written.NOT_APPLIED:
            return self._wait(flight, "the store is unavailable", now_ms)
        flight.uncertain = flight.uncertain or result is Written.UNKNOWN
        flight.stage = _Stage.READING
        return [ReadPage(seq)]

    def read_failed(self, seq: int, now_ms: float) -> list[Effect]:
        """Process a failed ``ReadPage``."""
        flight = self._flight
        if flight is None or flight.page.seq != seq or flight.stage is not _Stage.READING:
            return []
        return self._wait(flight, "the store is unavailable", now_ms)

    def read(self, seq: int, page_id: str | None, epoch: int, now_ms: float) -> list[Effect]:
        """Process the result of ``ReadPage``: the id of the page found, and the stored epoch."""
        flight = self._flight
        if flight is None or flight.page.seq != seq or flight.stage is not _Stage.READING:
            return []
        if page_id == flight.page.page_id:
            return self._committed(flight, now_ms)
        if page_id is not None:
            # Another leader's page has this number, so this one was never written.
            flight.uncertain = False
        if page_id is not None or epoch > flight.page.epoch:
            cause = "another instance leads the failure domain"
            flight.stage = _Stage.WAITING
            return [*self._abandon(flight, cause), *self.close(cause)]
        return self._wait(flight, "the page is not written yet", now_ms)

    def _build(self, opened: _Open) -> _Flight:
        entries: list[_Entry] = []
        size = 0
        while opened.pending and size + opened.pending[0].size <= PAGE_RECORD_BYTES:
            entry = opened.pending.popleft()
            entries.append(entry)
            size += entry.size
        records = tuple(record for entry in entries for record in entry.records)
        page = WritePage(opened.next_seq, new_id(self._rng), opened.epoch, records)
        return _Flight(page, entries)

    def _write(self, flight: _Flight) -> WritePage:
        require(
            self._open is not None and flight.page.epoch == self._open.epoch,
            INVARIANT,
            "A page of an older epoch was about to be written",
            epoch=flight.page.epoch,
        )
        return flight.page

    def _wait(self, flight: _Flight, cause: str, now_ms: float) -> list[Effect]:
        flight.stage = _Stage.WAITING
        flight.retry_at_ms = now_ms + self._interval_ms
        if self._open is None:
            return self._abandon(flight, cause)
        return self._expire(now_ms)

    def _abandon(self, flight: _Flight, cause: str) -> list[Effect]:
        self._flight = None
        outcome = Outcome.UNKNOWN if flight.uncertain else Outcome.FAILED
        return self._resolve(flight.entries, outcome, cause)

    def _committed(self, flight: _Flight, now_ms: float) -> list[Effect]:
        self._flight = None
        effects: list[Effect] = [PageCommitted(flight.page.seq, len(flight.page.records))]
        if self._open is not None:
            self._open.next_seq = flight.page.seq + 1
            partly = (entry.append for entry in flight.entries if not entry.is_last)
            self._open.partly_committed.update(partly)
        finished = [entry for entry in flight.entries if entry.is_last]
        effects += self._resolve(finished, Outcome.COMMITTED, "")
        return effects + self.advance(now_ms)

    def _expire(self, now_ms: float) -> list[Effect]:
        """Give up on appends past their limit. A page with unknown outcome is still repeated.

        While the first attempt to write a page is in progress, its end is awaited, because it can
        still show that the page was not written.
        """
        effects: list[Effect] = []
        flight = self._flight
        if flight is not None:
            expired = [entry for entry in flight.entries if now_ms >= entry.deadline_ms]
            waits = flight.stage is _Stage.WAITING and not flight.uncertain
            if waits and len(expired) == len(flight.entries):
                return self._abandon(flight, "the store is unavailable") + self._expire(now_ms)
            if flight.uncertain and expired:
                flight.entries = [entry for entry in flight.entries if entry not in expired]
                effects += self._resolve(expired, Outcome.UNKNOWN, "the store did not answer")
        if self._open is None:
            return effects
        overdue = []
        while self._open.pending and now_ms >= self._open.pending[0].deadline_ms:
            overdue.append(self._open.pending.popleft())
        return effects + self._resolve(overdue, Outcome.FAILED, "the store is unavailable")

    def _resolve(self, entries: list[_Entry], outcome: Outcome, cause: str) -> list[Effect]:
        effects: list[Effect] = []
        partly = self._open.partly_committed if self._open else set()
        for append in dict.fromkeys(entry.append for entry in entries):
            is_partly = append in partly and outcome is Outcome.FAILED
            effects.append(Resolve(append, Outcome.UNKNOWN if is_partly else outcome, cause))
            partly.discard(append)
        return effects


def _chunks(records: Sequence[bytes]) -> Iterator[tuple[tuple[bytes, ...], int]]:
    """Split records into parts that fit into a page."""
    chunk: list[bytes] = []
    total = 0
    for record in records:
        if chunk and total + len(record) > PAGE_RECORD_BYTES:
            yield tuple(chunk), total
            chunk, total = [], 0
        chunk.append(record)
        total += len(record)
    yield tuple(chunk), total

"""Group commit of the journal on a simulated store.

Guards against the loss of acknowledged records, stored records that are reported as failed, and
pages written by a leader of an older epoch.
"""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from nutmeglb_decisions import journal
from nutmeglb_decisions.journal import (
    AppendOutcome,
    JournalCore,
    ReadPage,
    ResolveAppend,
    WritePage,
    WriteResult,
)
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.journal import (
    Page,
    decode_page,
    encode_page,
    encode_record,
    join_page,
)
from nutmeglb_formats.models.tasks import AttemptEnded

INTERVAL_MS = 100.0


@dataclass
class Leader:
    """A leader: its state machine, its store calls in flight and the outcomes of its appends."""

    core: JournalCore
    epoch: int
    writes: list[WritePage] = field(default_factory=list)
    reads: list[int] = field(default_factory=list)
    late: list[WritePage] = field(default_factory=list)
    outcomes: dict[int, AppendOutcome] = field(default_factory=dict)


def make_core() -> JournalCore:
    core = JournalCore(INTERVAL_MS, random.Random(1))
    core.open(1, 1)
    return core


def outcomes(effects: list[journal.Effect]) -> list[tuple[int, AppendOutcome]]:
    return [(item.append, item.outcome) for item in effects if isinstance(item, ResolveAppend)]


def test_first_record_is_written_at_once_and_later_ones_after_the_interval() -> None:
    core = make_core()
    (write,) = core.append(1, [b"a"], 0.0)
    assert isinstance(write, WritePage)
    assert core.append(2, [b"b"], 1.0) == core.append(3, [b"c"], 2.0) == []
    assert outcomes(core.on_written(1, WriteResult.APPLIED, 10.0)) == [(1, AppendOutcome.COMMITTED)]
    assert core.advance(99.0) == []
    assert core.next_due_ms() == 100.0
    (write,) = core.advance(100.0)
    assert isinstance(write, WritePage)
    assert (write.seq, write.records) == (2, (b"b", b"c"))


@pytest.mark.parametrize(
    ("result", "stored_page", "epoch", "expected"),
    [
        (WriteResult.UNKNOWN, "own", 1, AppendOutcome.COMMITTED),
        (WriteResult.UNKNOWN, "own", 2, AppendOutcome.COMMITTED),
        (WriteResult.UNKNOWN, "other", 2, AppendOutcome.FAILED),
        (WriteResult.UNKNOWN, None, 2, AppendOutcome.UNKNOWN),
        (WriteResult.UNKNOWN, None, 1, None),
        (WriteResult.CONDITION_FAILED, None, 2, AppendOutcome.FAILED),
        (WriteResult.CONDITION_FAILED, "own", 1, AppendOutcome.COMMITTED),
        (WriteResult.CONDITION_FAILED, None, 1, None),
    ],
)
def test_append_outcome_after_reading_the_page_back(
    result: WriteResult, stored_page: str | None, epoch: int, expected: AppendOutcome | None
) -> None:
    core = make_core()
    (write,) = core.append(1, [b"a"], 0.0)
    assert isinstance(write, WritePage)
    assert core.on_written(1, result, 5.0) == [ReadPage(1)]
    page_id = write.page_id if stored_page == "own" else stored_page
    effects = core.on_read(1, page_id, epoch, 6.0)
    assert outcomes(effects) == ([(1, expected)] if expected else [])
    if expected is None:
        assert core.advance(6.0 + INTERVAL_MS) == [write]


@pytest.mark.parametrize(
    ("result", "expected"),
    [(WriteResult.NOT_APPLIED, AppendOutcome.FAILED), (WriteResult.UNKNOWN, AppendOutcome.UNKNOWN)],
)
def test_append_waits_no_longer_than_its_timeout(
    result: WriteResult, expected: AppendOutcome
) -> None:
    core = make_core()
    core.append(1, [b"a"], 0.0)
    core.append(2, [b"b"], 100.0)
    core.on_written(1, result, 5.0)
    if result is WriteResult.UNKNOWN:
        core.on_read_failed(1, 6.0)
    late = core.advance(journal.APPEND_TIMEOUT_MS + 100.0)
    assert outcomes(late) == [(1, expected), (2, AppendOutcome.FAILED)]
    assert core.is_idle == (expected is AppendOutcome.FAILED)


def test_large_append_is_split_and_a_larger_record_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(journal, "MAX_PAGE_RECORD_BYTES", 10)
    core = make_core()
    (write,) = core.append(1, [b"aaaa", b"bbbb", b"cccc"], 0.0)
    assert isinstance(write, WritePage) and write.records == (b"aaaa", b"bbbb")
    effects = core.on_written(1, WriteResult.APPLIED, 200.0)
    assert outcomes(effects) == [] and effects[-1].records == (b"cccc",)  # type: ignore[union-attr]
    assert outcomes(core.on_written(2, WriteResult.APPLIED, 201.0)) == [
        (1, AppendOutcome.COMMITTED)
    ]
    assert outcomes(core.append(2, [b"x" * 11], 300.0)) == [(2, AppendOutcome.FAILED)]


def test_closing_fails_waiting_appends_and_older_epochs_cannot_open() -> None:
    core = make_core()
    core.append(1, [b"a"], 0.0)
    core.append(2, [b"b"], 0.0)
    assert outcomes(core.close("lost")) == [(2, AppendOutcome.FAILED)]
    assert outcomes(core.on_written(1, WriteResult.APPLIED, 1.0)) == [(1, AppendOutcome.COMMITTED)]
    core.open(3, 2)
    with pytest.raises(InvariantViolation):
        core.open(2, 2)


@pytest.mark.parametrize("count", [0, 1, 23, 24, 255, 256, 70_000])
def test_joined_page_equals_encoded_page(count: int) -> None:
    records = (AttemptEnded("j", 1, 2, "succeeded", True),) * count
    data = join_page("p1", 7, [encode_record(record) for record in records])
    assert data == encode_page(Page("p1", 7, records))
    assert decode_page(data).unwrap() == Page("p1", 7, records)


class JournalMachine(RuleBasedStateMachine):
    """Successive leaders append through a store with refused, lost and late calls."""

    @initialize()
    def start(self) -> None:
        self.now_ms = 0.0
        self.epoch = 0
        self.pages: list[WritePage] = []
        self.leaders: list[Leader] = []
        self.appended = 0
        self.take_over()

    @rule()
    def take_over(self) -> None:
        """Add a leader that has read the whole journal, without informing former leaders."""
        self.epoch += 1
        core = JournalCore(INTERVAL_MS, random.Random(self.epoch))
        core.open(self.epoch, len(self.pages) + 1)
        self.leaders.append(Leader(core, self.epoch))

    @rule(index=st.integers(0, 3), count=st.integers(1, 3))
    def append(self, index: int, count: int) -> None:
        leader = self.leaders[-1 - index % len(self.leaders)]
        for _ in range(count):
            self.appended += 1
            record = str(self.appended).encode()
            self._apply_effects(leader, leader.core.append(self.appended, [record], self.now_ms))

    @rule(duration_ms=st.sampled_from((10.0, 100.0, 3_500.0)))
    def advance(self, duration_ms: float) -> None:
        self.now_ms += duration_ms
        for leader in self.leaders:
            self._apply_effects(leader, leader.core.advance(self.now_ms))

    @rule(fault=st.sampled_from(("none", "none", "refused", "lost", "late")))
    def answer_writes(self, fault: str) -> None:
        for leader in self.leaders:
            writes, leader.writes = leader.writes, []
            for write in writes:
                self._answer_write(leader, write, fault)

    @rule()
    def late_writes_arrive(self) -> None:
        for leader in self.leaders:
            late, leader.late = leader.late, []
            for write in late:
                self._apply_write(write)

    @rule(fault=st.sampled_from(("none", "failed", "stale")))
    def answer_reads(self, fault: str) -> None:
        for leader in self.leaders:
            reads, leader.reads = leader.reads, []
            for seq in reads:
                if fault == "failed":
                    effects = leader.core.on_read_failed(seq, self.now_ms)
                else:
                    pages = self.pages if fault == "none" else self.pages[: seq - 1]
                    page_id = pages[seq - 1].page_id if seq <= len(pages) else None
                    epoch = self.epoch if fault == "none" else leader.epoch
                    effects = leader.core.on_read(seq, page_id, epoch, self.now_ms)
                self._apply_effects(leader, effects)

    @rule()
    def former_leader_learns(self) -> None:
        for leader in self.leaders[:-1]:
            self._apply_effects(leader, leader.core.close("lost"))

    def _answer_write(self, leader: Leader, write: WritePage, fault: str) -> None:
        result = WriteResult.UNKNOWN
        if fault == "refused":
            result = WriteResult.NOT_APPLIED
        elif fault == "late":
            leader.late.append(write)
        else:
            applied = self._apply_write(write)
            if fault == "none":
                result = WriteResult.APPLIED if applied else WriteResult.CONDITION_FAILED
        self._apply_effects(leader, leader.core.on_written(write.seq, result, self.now_ms))

    def _apply_write(self, write: WritePage) -> bool:
        applies = write.epoch == self.epoch and write.seq == len(self.pages) + 1
        if applies:
            self.pages.append(write)
        return applies

    def _apply_effects(self, leader: Leader, effects: list[journal.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, WritePage):
                leader.writes.append(effect)
            elif isinstance(effect, ReadPage):
                leader.reads.append(effect.seq)
            elif isinstance(effect, ResolveAppend):
                leader.outcomes.setdefault(effect.append, effect.outcome)

    @invariant()
    def outcomes_agree_with_the_store(self) -> None:
        if not hasattr(self, "pages"):
            return
        stored = [int(record) for page in self.pages for record in page.records]
        assert len(stored) == len(set(stored))
        epochs = [page.epoch for page in self.pages]
        assert epochs == sorted(epochs)
        for leader in self.leaders:
            for append, outcome in leader.outcomes.items():
                if outcome is not AppendOutcome.UNKNOWN:
                    assert (append in stored) == (outcome is AppendOutcome.COMMITTED)


TestJournal = seed(13)(JournalMachine).TestCase
TestJournal.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, database=None
)

"""Journal with the real store client and the store stand-in, under successive leaders.

Guards against acknowledged records that are missing when a new leader loads the journal.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import pytest

from nutmeglb._internal.context import Context, LeadershipChange, Put
from nutmeglb._internal.journal import DomainJournal
from nutmeglb_decisions import journal as core
from nutmeglb_formats.exceptions import JournalError, JournalOutcomeUnknown
from nutmeglb_formats.models.leader import encode_epoch, epoch_key
from nutmeglb_formats.models.tasks import AttemptEnded
from standins.store import StoreServer
from tests.lib.coordination import run, until
from tests.lib.domain import Network, make_context

TXN = ["/v3/kv/txn"]
PAGES = "domains/d1/journal/"


class FixedLeadership:
    """Leadership that is controlled by the test."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.is_leading = True
        self._subscribers: list[Callable[[LeadershipChange], None]] = []

    def is_leader(self) -> bool:
        return self.is_leading

    def subscribe(self, callback: Callable[[LeadershipChange], None]) -> None:
        self._subscribers.append(callback)

    def lose(self) -> None:
        self.is_leading = False
        for callback in self._subscribers:
            callback(LeadershipChange(self.epoch, None, False, False))


class JournaledComponent:
    """A component that keeps its records and provides them for snapshots."""

    def __init__(self, journal: DomainJournal) -> None:
        self.journal = journal
        self.records: list[Any] | None = None
        journal.add_snapshot_source(lambda: self.records)

    async def load(self) -> None:
        self.records = list((await self.journal.load()).unwrap())

    async def append(self, records: Sequence[Any]) -> None:
        assert (await self.journal.append(records)).is_ok()
        assert self.records is not None
        self.records.extend(records)


class Domain:
    """Successive leaders of one failure domain."""

    def __init__(self) -> None:
        self.server = StoreServer()
        self.server.start()
        self.network = Network()
        self.epochs = itertools.count(1)
        self.contexts: list[Context] = []
        self.journals: list[DomainJournal] = []

    async def leader(self) -> tuple[DomainJournal, JournaledComponent, FixedLeadership]:
        epoch = next(self.epochs)
        ctx = make_context(self.server, self.network, f"i{epoch}")
        leadership = FixedLeadership(epoch)
        ctx.leadership = leadership  # type: ignore[assignment]
        value = encode_epoch(epoch)
        assert value is not None
        assert (await ctx.store.txn([], [Put(epoch_key("d1"), value)])).unwrap()
        journal = DomainJournal(ctx)
        await journal.start()
        self.contexts.append(ctx)
        self.journals.append(journal)
        return journal, JournaledComponent(journal), leadership


def with_domain(test: Callable[[Domain], Awaitable[None]]) -> None:
    async def body() -> None:
        domain = Domain()
        try:
            await test(domain)
        finally:
            for journal, ctx in zip(domain.journals, domain.contexts, strict=True):
                await journal.stop()
                ctx.store.close()  # type: ignore[attr-defined]
            await domain.server.stop()

    run(body)


def record(index: int) -> AttemptEnded:
    return AttemptEnded("j1", index, 1, "succeeded", True)


def test_next_leader_reads_every_record_in_order() -> None:
    async def test(domain: Domain) -> None:
        journal, state, _ = await domain.leader()
        await state.load()
        txns = domain.server.counts["/v3/kv/txn"]
        await asyncio.gather(*(journal.append([record(index)]) for index in range(50)))
        assert domain.server.counts["/v3/kv/txn"] - txns < 10
        _, next_state, _ = await domain.leader()
        await next_state.load()
        assert next_state.records == [record(index) for index in range(50)]
        error = (await journal.append([record(99)])).unwrap_err()
        assert type(error) is JournalError
        assert "another instance" in str(error)

    with_domain(test)


@pytest.mark.parametrize("kind", ["lose_response", "timeout", "refuse"])
def test_fault_during_a_commit_is_resolved(kind: str) -> None:
    async def test(domain: Domain) -> None:
        _, state, _ = await domain.leader()
        await state.load()
        domain.server.set_faults([{"kind": kind, "paths": TXN, "times": 2}])
        for index in range(3):
            await state.append([record(index)])
        _, next_state, _ = await domain.leader()
        await next_state.load()
        assert next_state.records == [record(index) for index in range(3)]

    with_domain(test)


@pytest.mark.parametrize(
    ("kind", "error"), [("lose_response", JournalOutcomeUnknown), ("refuse", JournalError)]
)
def test_append_during_an_outage_reports_whether_the_outcome_is_known(
    kind: str, error: type[Exception], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(core, "APPEND_TIMEOUT_MS", 200.0)

    async def test(domain: Domain) -> None:
        journal, state, _ = await domain.leader()
        await state.load()
        faults = [
            {"kind": kind, "paths": TXN},
            {"kind": "refuse", "paths": ["/v3/kv/range"]},
        ]
        domain.server.set_faults(faults)
        assert type((await journal.append([record(0)])).unwrap_err()) is error
        domain.server.set_faults([])
        while (await journal.append([record(1)])).is_err():
            await asyncio.sleep(0.01)
        _, next_state, _ = await domain.leader()
        await next_state.load()
        indexes = [0, 1] if kind == "lose_response" else [1]
        assert next_state.records == [record(index) for index in indexes]

    with_domain(test)


def test_load_with_stale_reads_fails_until_it_is_complete() -> None:
    async def test(domain: Domain) -> None:
        _, state, _ = await domain.leader()
        await state.load()
        await state.append([record(0)])
        domain.server.set_faults([{"kind": "stale"}])
        await state.append([record(1)])
        next_journal, next_state, _ = await domain.leader()
        assert (await next_journal.load()).is_err()
        domain.server.set_faults([])
        await next_state.load()
        assert next_state.records == [record(0), record(1)]

    with_domain(test)


def test_snapshots_replace_pages_and_alternate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("nutmeglb._internal.journal_store.MAX_PAGE_RECORD_BYTES", 400)

    async def test(domain: Domain) -> None:
        journal, state, _ = await domain.leader()
        await state.load()
        for index in range(60):
            if index == 5:
                domain.server.set_faults([{"kind": "stale", "instances": ["i2"]}])
            await state.append([record(index)])
        await until(lambda: int(str(journal.status()["snapshot"])) > 30)
        pages = (await domain.contexts[0].store.range(PAGES)).unwrap()
        assert len(pages) < 60
        next_journal, next_state, _ = await domain.leader()
        # The pages after those in the stale read have been deleted, so their numbers look unused.
        # Only the comparison of the head reveals that records are missing.
        assert (await next_journal.load()).is_err()
        domain.server.set_faults([])
        await next_state.load()
        assert next_state.records == [record(index) for index in range(60)]

    with_domain(test)


def test_no_snapshot_while_a_component_has_no_state() -> None:
    async def test(domain: Domain) -> None:
        journal, state, _ = await domain.leader()
        await state.load()
        journal.add_snapshot_source(lambda: None)
        for index in range(30):
            await state.append([record(index)])
        assert journal.status()["snapshot"] == 0

    with_domain(test)


def test_appends_wait_while_the_journal_is_loaded_again() -> None:
    async def test(domain: Domain) -> None:
        journal, state, leadership = await domain.leader()
        await state.load()
        appends = [asyncio.create_task(journal.append([record(index)])) for index in range(5)]
        await asyncio.sleep(0)
        loaded = await asyncio.gather(journal.load(), journal.load())
        assert all(result.is_ok() for result in [*loaded, *await asyncio.gather(*appends)])
        leadership.lose()
        assert (await journal.append([record(9)])).is_err()
        assert (await journal.load()).is_err()

    with_domain(test)

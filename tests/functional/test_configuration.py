"""Configuration over the real store client and the stand-in, several instances in one event loop.

Guards against a ticket that is lost, reverted or filed twice under store faults and partitions.
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from nutmeglb._internal import configuration, ticket_filing, ticket_store
from nutmeglb._internal.configuration import TicketConfiguration
from nutmeglb._internal.ticket_filing import TicketFiling
from nutmeglb_decisions import ticket_log
from nutmeglb_formats.exceptions import (
    NotFound,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TicketConflict,
)
from nutmeglb_formats.models.config import Team
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket
from standins.store import StoreServer
from tests.lib.coordination import run, until
from tests.lib.domain import Network, make_context

TXN = ["/v3/kv/txn"]


class Cell:
    """Instances in two failure domains."""

    def __init__(self) -> None:
        self.server = StoreServer()
        self.server.start()
        self.network = Network()
        self.nodes: dict[str, TicketConfiguration] = {}
        self.filings: dict[str, TicketFiling] = {}

    async def add(self, name: str, domain: str = "d1") -> TicketConfiguration:
        ctx = make_context(self.server, self.network, name, domain)
        node = self.nodes[name] = TicketConfiguration(ctx)
        self.filings[name] = TicketFiling(ctx, node)
        await node.start()
        return node

    async def file_many(self, name: str, first: int, last: int) -> None:
        for number in range(first, last + 1):
            filed = await self.filings[name].file(team_ticket(f"t{number}", number - 1, number))
            assert filed.unwrap() == number


def team_ticket(ticket_id: str, base: int, quota: int = 1, team: str = "color") -> Ticket:
    return Ticket(ticket_id, base, "mira", "summary", teams=(Team(team, Resources(quota, 1, 0)),))


def with_cell(test: Callable[[Cell], Awaitable[None]]) -> None:
    async def body() -> None:
        cell = Cell()
        try:
            await test(cell)
        finally:
            for node in cell.nodes.values():
                await node.stop()
            await cell.server.stop()

    run(body)


async def numbers(cell: Cell, number: int) -> None:
    await until(lambda: all(node.current().number == number for node in cell.nodes.values()))


def test_filed_ticket_reaches_every_instance() -> None:
    async def test(cell: Cell) -> None:
        for name in "abc":
            await (await cell.add(name)).wait_loaded()
        await cell.file_many("a", 1, 5)
        await numbers(cell, 5)
        assert cell.nodes["c"].current().teams["color"].quota.cpu_millis == 5
        tickets = (await cell.filings["b"].list(3)).unwrap()
        assert [item.number for item in tickets] == [5, 4, 3]
        assert (await cell.filings["b"].get(2)).unwrap().ticket.ticket_id == "t2"
        assert isinstance((await cell.filings["b"].get(9)).unwrap_err(), NotFound)

    with_cell(test)


def test_of_two_racing_operators_exactly_one_succeeds() -> None:
    async def test(cell: Cell) -> None:
        for name in "ab":
            await (await cell.add(name)).wait_loaded()
        for base in range(5):
            results = await asyncio.gather(
                cell.filings["a"].file(team_ticket(f"a{base}", base, 1)),
                cell.filings["b"].file(team_ticket(f"b{base}", base, 2)),
            )
            errors = [result.err_value for result in results if result.is_err()]
            assert [type(error) for error in errors] == [TicketConflict]
            await numbers(cell, base + 1)

    with_cell(test)


@pytest.mark.parametrize("kind", ["lose_response", "timeout"])
def test_lost_response_is_resolved_by_reading_back(kind: str) -> None:
    async def test(cell: Cell) -> None:
        await (await cell.add("a")).wait_loaded()
        cell.server.set_faults([{"kind": kind, "paths": TXN, "times": 1}])
        assert (await cell.filings["a"].file(team_ticket("t1", 0))).unwrap() == 1
        await cell.file_many("a", 2, 2)

    with_cell(test)


def test_unknown_outcome_filed_again_is_one_ticket(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(cell: Cell) -> None:
        await (await cell.add("a")).wait_loaded()
        monkeypatch.setattr(ticket_filing, "FILING_TIMEOUT_MS", 300.0)
        cell.server.set_faults([{"kind": "lose_response", "paths": TXN}, {"kind": "stale"}])
        error = (await cell.filings["a"].file(team_ticket("t1", 0))).unwrap_err()
        assert isinstance(error, StoreOutcomeUnknown)
        cell.server.set_faults([])
        monkeypatch.setattr(ticket_filing, "FILING_TIMEOUT_MS", 20_000.0)
        assert (await cell.filings["a"].file(team_ticket("t1", 0))).unwrap() == 1
        await cell.file_many("a", 2, 2)

    with_cell(test)


def test_refused_store_is_not_an_unknown_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(cell: Cell) -> None:
        await (await cell.add("a")).wait_loaded()
        monkeypatch.setattr(ticket_filing, "FILING_TIMEOUT_MS", 300.0)
        cell.server.set_faults([{"kind": "refuse"}])
        error = (await cell.filings["a"].file(team_ticket("t1", 0))).unwrap_err()
        assert isinstance(error, StoreUnavailable)

    with_cell(test)


def test_domain_without_the_store_receives_tickets_from_peers() -> None:
    async def test(cell: Cell) -> None:
        await (await cell.add("a")).wait_loaded()
        cut = await cell.add("b", "d2")
        await cut.wait_loaded()
        cell.server.set_faults([{"kind": "cut", "instances": ["b", "c"]}])
        await cell.file_many("a", 1, 3)
        await numbers(cell, 3)
        late = await cell.add("c", "d2")
        await late.wait_loaded()
        assert late.current().number == 3
        assert cut.stale_since_ms is None

    with_cell(test)


def test_instance_without_store_and_peers_is_stale_and_keeps_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration, "STALE_AFTER_MS", 50.0)

    async def test(cell: Cell) -> None:
        node = await cell.add("a")
        await node.wait_loaded()
        await cell.file_many("a", 1, 1)
        await cell.server.stop()
        await until(lambda: node.stale_since_ms is not None)
        assert node.current().number == 1
        unloaded = await cell.add("b")
        cell.network.isolate("b")
        await asyncio.sleep(0.05)
        assert not unloaded.is_loaded
        cell.server.start()
        await unloaded.wait_loaded()
        assert unloaded.current().number == 1

    with_cell(test)


def test_stale_reads_never_revert_and_do_not_hide_tickets_from_peers() -> None:
    async def test(cell: Cell) -> None:
        for name in "ab":
            await (await cell.add(name)).wait_loaded()
        seen: list[int] = []
        cell.nodes["b"].subscribe(lambda old, new: seen.append(new.number))
        cell.server.set_faults([{"kind": "stale", "instances": ["b"]}])
        await cell.file_many("a", 1, 3)
        await numbers(cell, 3)
        assert seen == sorted(seen)

    with_cell(test)


def test_ticket_applied_by_the_watch_during_a_read_is_not_a_gap() -> None:
    async def test(cell: Cell) -> None:
        for name in "ab":
            await (await cell.add(name)).wait_loaded()
        await until(lambda: len(cell.server.watchers) == 2)
        slow = {"kind": "delay", "delay_ms": 200, "instances": ["b"], "paths": ["/v3/kv/range"]}
        cell.server.set_faults([slow])
        reading = asyncio.create_task(cell.nodes["b"].catch_up())
        await cell.file_many("a", 1, 1)
        await until(lambda: cell.nodes["b"].current().number == 1)
        assert not reading.done()
        assert (await reading).is_ok()

    with_cell(test)


def test_startup_uses_the_snapshot_and_old_tickets_are_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ticket_store, "SNAPSHOT_INTERVAL_TICKETS", 10)
    monkeypatch.setattr(ticket_store, "HISTORY_TICKETS", 20)
    monkeypatch.setattr(ticket_log, "HISTORY_TICKETS", 20)

    async def test(cell: Cell) -> None:
        node = await cell.add("a")
        await node.wait_loaded()
        slow = await cell.add("b")
        await slow.wait_loaded()
        cell.network.isolate("b")
        cell.server.set_faults([{"kind": "cut", "instances": ["b"]}])
        await cell.file_many("a", 1, 60)
        await until(lambda: node.store.fence.oldest > 20)
        reads = cell.server.counts["/v3/kv/range"]
        cell.server.set_faults([])
        late = await cell.add("c")
        cell.network.isolate("c")
        await late.wait_loaded()
        assert cell.server.counts["/v3/kv/range"] - reads < 10
        await numbers(cell, 60)
        assert late.current() == node.current() == slow.current()
        assert (await cell.filings["c"].file(team_ticket("t60", 59, 60))).unwrap() == 60

    with_cell(test)

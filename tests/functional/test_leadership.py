"""Leadership of several instances in one event loop, with the real store client and a stand-in.

Guards against errors in how the state machine is connected to store calls, messages and timers.
"""

from collections.abc import Awaitable, Callable

from nutmeglb._internal.context import InUseGrant, LeadershipChange, LeadershipMode
from nutmeglb._internal.leadership import DomainLeadership
from standins.store import StoreServer
from tests.lib.coordination import run, until
from tests.lib.domain import Network, make_context

NAMES = ("a", "b", "c")


class Domain:
    """Three instances of one failure domain."""

    def __init__(self) -> None:
        self.server = StoreServer()
        self.server.start()
        self.network = Network()
        self.contexts = {name: make_context(self.server, self.network, name) for name in NAMES}
        self.nodes = {name: DomainLeadership(ctx) for name, ctx in self.contexts.items()}
        self.changes: dict[str, list[LeadershipChange]] = {name: [] for name in NAMES}
        for name, node in self.nodes.items():
            node.subscribe(self.changes[name].append)

    def leaders(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.is_leader()]

    async def leader(self, *, other_than: str = "") -> str:
        await until(lambda: any(name != other_than for name in self.leaders()))
        (name,) = self.leaders()
        return name


def with_domain(test: Callable[[Domain], Awaitable[None]]) -> None:
    async def body() -> None:
        domain = Domain()
        try:
            for node in domain.nodes.values():
                await node.start()
            await test(domain)
        finally:
            for name, node in domain.nodes.items():
                await node.stop()
                domain.contexts[name].store.close()  # type: ignore[attr-defined]
            await domain.server.stop()

    run(body)


def test_planned_stop_hands_over_with_the_grants_in_use() -> None:
    async def test(domain: Domain) -> None:
        first_leader = await domain.leader()
        grant = InUseGrant("g1", "shade-engine", "e1", "a", 500.0)
        for node in domain.nodes.values():
            node.set_grant_reporter(lambda: [grant])
        await domain.nodes[first_leader].drain(
            domain.contexts[first_leader].clock.now_ms() + 20_000
        )
        # The successor has this instance's pledge, so it need not wait after the process ends.
        assert domain.nodes[first_leader].epoch == 2
        second_leader = await domain.leader(other_than=first_leader)
        settled = [change for change in domain.changes[second_leader] if change.settled][-1]
        assert settled.in_use == (grant,)
        assert settled.epoch == domain.nodes[second_leader].epoch == 2

    with_domain(test)


def test_leader_without_the_store_keeps_authority_on_promises_and_epoch() -> None:
    async def test(domain: Domain) -> None:
        first_leader = await domain.leader()
        node = domain.nodes[first_leader]
        await domain.server.stop()
        await until(lambda: node.mode is LeadershipMode.PEER_PROMISES)
        domain.server.data.expire_leases()
        assert domain.leaders() == [first_leader]
        domain.server.start()
        await until(lambda: node.mode is LeadershipMode.STORE)
        assert node.is_leader()
        assert node.epoch == 1

    with_domain(test)


def test_isolated_leader_loses_authority_before_another_is_elected() -> None:
    async def test(domain: Domain) -> None:
        first_leader = await domain.leader()
        domain.network.isolate(first_leader)
        domain.server.set_faults([{"kind": "cut", "instances": [first_leader]}])
        second_leader = await domain.leader(other_than=first_leader)
        assert domain.nodes[first_leader].mode is LeadershipMode.NONE
        assert domain.nodes[second_leader].epoch == 2
        domain.server.set_faults([])
        domain.network.cut.clear()
        await until(lambda: domain.nodes[first_leader].leader_instance == second_leader)
        assert domain.leaders() == [second_leader]

    with_domain(test)


def test_lost_response_to_the_election_is_resolved() -> None:
    async def body() -> None:
        domain = Domain()
        rule = {"kind": "lose_response", "paths": ["/v3/kv/txn"], "times": 1}
        domain.server.set_faults([rule])
        node = domain.nodes["a"]
        domain.network.buses = {"a": domain.network.buses["a"]}
        await node.start()
        await until(node.is_leader)
        assert node.epoch == 1
        await node.stop()
        await domain.server.stop()

    run(body)

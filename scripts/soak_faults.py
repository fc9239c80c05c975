"""Fault injection for soak runs: one to three faults at a time, chosen by a seeded generator."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager

from scripts.soak_checks import Records, Span, Violation
from scripts.soak_records import Recorder
from tests.lib.cluster import Cluster, Node, eventually

# Longer than the leases in the settings of the test cluster: 2 s for leadership, 3 s for tasks.
OUTAGE_S = (4.0, 6.0)
SHORT_FAULT_S = (1.0, 2.0)
SETTLE_DELAY_S = (0.5, 3.0)
# Weights of one, two and three concurrent faults.
CONCURRENT_FAULT_WEIGHTS = (5, 3, 2)
LEADER_SHARE = 0.5
get_loop = asyncio.get_running_loop

Fault = Callable[[], Awaitable[None]]
Rule = Mapping[str, object]


class FaultInjector:
    """Injects faults into a cluster and repairs them.

    Parameters
    ----------
    recorder
        Collects the records of endpoints and workers before they are killed.
    """

    def __init__(
        self, cluster: Cluster, rng: random.Random, records: Records, recorder: Recorder
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.failures: list[Violation] = []
        self._cluster = cluster
        self._rng = rng
        self._records = records
        self._recorder = recorder
        self._store_rules: dict[int, Sequence[Rule]] = {}
        self._last_rule_number = 0
        self._claimed: set[str] = set()
        self._partitioned_domains: set[str] = set()
        self._faults_by_kind: dict[str, Fault] = {
            "entry_killed": self._kill_entry,
            "entry_paused": self._pause_entry,
            "entry_stopped": self._stop_entry,
            "domain_killed": self._kill_domain,
            "domain_paused": self._pause_domain,
            "domain_cut_from_store": self._partition_from_store,
            "domain_cut_from_peers": self._partition_from_peers,
            "domain_cut_from_both": self._partition_from_both,
            "store_refusing": lambda: self._store_fault("refuse", SHORT_FAULT_S),
            "store_slow": lambda: self._store_fault("delay", SHORT_FAULT_S, delay_ms=700),
            "store_stale": lambda: self._store_fault("stale", SHORT_FAULT_S),
            "store_losing_responses": lambda: self._store_fault("lose_response", SHORT_FAULT_S),
            "store_out": lambda: self._store_fault("cut", OUTAGE_S),
            "list_out": lambda: self._list_fault(refuse=True),
            "list_stale": lambda: self._list_fault(stale=True),
            "endpoint_killed": lambda: self._kill_node("endpoint"),
            "endpoint_frozen": lambda: self._freeze_node("endpoint", SHORT_FAULT_S),
            "endpoint_leaving": self._mark_endpoint_leaving,
            "worker_killed": lambda: self._kill_node("worker"),
            "worker_frozen": lambda: self._freeze_node("worker", OUTAGE_S),
            "worker_failing_starts": self._fail_starts,
        }

    async def run(self, deadline_s: float) -> None:
        """Inject faults until the event loop time ``deadline_s``.

        Faults are injected in rounds, and all faults of a round are repaired before the next round
        starts or the method returns. The kinds are used in random order, each once before any kind
        is repeated.
        """
        order: list[str] = []
        while get_loop().time() < deadline_s:
            if len(order) < len(CONCURRENT_FAULT_WEIGHTS):
                order += self._rng.sample(sorted(self._faults_by_kind), len(self._faults_by_kind))
            count = self._rng.choices((1, 2, 3), CONCURRENT_FAULT_WEIGHTS)[0]
            chosen = [order.pop(0) for _ in range(count)]
            await asyncio.gather(*(self._inject(kind) for kind in chosen))
            await asyncio.sleep(self._rng.uniform(*SETTLE_DELAY_S))

    async def _inject(self, kind: str) -> None:
        self.counts[kind] += 1
        started_s = get_loop().time()
        try:
            await self._faults_by_kind[kind]()
        except AssertionError as error:
            cause = f"{kind}: {error}"
            self.failures.append(Violation("recovery", cause, get_loop().time()))
        self._recorder.record_fault(kind, started_s, get_loop().time())

    # Entry instances

    async def _kill_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                entry.process.kill()
                await self._sleep(SHORT_FAULT_S)
                await self._recorder.restart_entry(entry)

    async def _pause_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                entry.process.send(signal.SIGSTOP)
                await self._sleep(OUTAGE_S)
                entry.process.send(signal.SIGCONT)

    async def _stop_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                started_s = get_loop().time()
                status = await self._cluster.terminate(entry)
                self._records.planned_stops.append(Span(entry.name, started_s, get_loop().time()))
                if status != 0:
                    cause = f"{entry.name} ended with status {status} after SIGTERM"
                    self.failures.append(Violation("G7", cause, get_loop().time()))
                await self._recorder.restart_entry(entry)

    async def _kill_domain(self) -> None:
        async with self._claim_entries() as entries, self._unreachable(entries):
            for entry in entries:
                entry.process.kill()
            if entries:
                await self._sleep(SHORT_FAULT_S)
            await asyncio.gather(*(self._recorder.restart_entry(entry) for entry in entries))

    async def _pause_domain(self) -> None:
        async with self._claim_entries() as entries, self._unreachable(entries):
            for entry in entries:
                entry.process.send(signal.SIGSTOP)
            if entries:
                await self._sleep(OUTAGE_S)
            for entry in entries:
                entry.process.send(signal.SIGCONT)

    # Network partitions

    async def _partition_from_store(self) -> None:
        async with self._claim_domain() as domain:
            if domain is not None:
                names = [entry.name for entry in self._cluster.entries(domain)]
                async with self._store_rule({"kind": "cut", "instances": names}):
                    await self._sleep(OUTAGE_S)

    async def _partition_from_peers(self) -> None:
        async with self._claim_domain() as domain:
            if domain is not None:
                async with self._peer_partition(domain):
                    await self._sleep(OUTAGE_S)

    async def _partition_from_both(self) -> None:
        async with self._claim_domain() as domain:
            if domain is None:
                return
            entries = self._cluster.entries(domain)
            rule = {"kind": "cut", "instances": [entry.name for entry in entries]}
            async with (
                self._unreachable(entries),
                self._peer_partition(domain),
                self._store_rule(rule),
            ):
                await self._sleep(OUTAGE_S)

    @asynccontextmanager
    async def _peer_partition(self, domain: str) -> AsyncIterator[None]:
        self._partitioned_domains.add(domain)
        self._cluster.partition_peers(*self._partitioned_domains)
        try:
            yield
        finally:
            self._partitioned_domains.discard(domain)
            self._cluster.partition_peers(*self._partitioned_domains)

    # Store and list

    async def _store_fault(
        self, kind: str, duration_range_s: tuple[float, float], **values: object
    ) -> None:
        async with self._store_rule({"kind": kind, **values}):
            await self._sleep(duration_range_s)

    @asynccontextmanager
    async def _store_rule(self, rule: Rule) -> AsyncIterator[None]:
        self._last_rule_number += 1
        number = self._last_rule_number
        self._store_rules[number] = [rule]
        await self._apply_store_rules()
        try:
            yield
        finally:
            del self._store_rules[number]
            await self._apply_store_rules()

    async def _apply_store_rules(self) -> None:
        rules = [rule for group in self._store_rules.values() for rule in group]
        await self._cluster.store_faults(*rules)

    async def _list_fault(self, **faults: object) -> None:
        async with self._claim_exclusively("list") as unclaimed:
            if unclaimed:
                started_s = get_loop().time()
                await self._cluster.list_faults(**faults)
                await self._sleep(SHORT_FAULT_S)
                await self._cluster.list_faults()
                self._recorder.list_faults.append(Span("list", started_s, get_loop().time()))

    # Endpoints and workers

    async def _kill_node(self, role: str) -> None:
        async with self._claim(role) as node:
            if node is not None:
                await self._recorder.kill(node)
                await self._sleep(SHORT_FAULT_S)
                await self._cluster.start_node(node)

    async def _freeze_node(self, role: str, duration_range_s: tuple[float, float]) -> None:
        async with self._claim(role) as node:
            if node is not None:
                node.process.send(signal.SIGSTOP)
                await self._sleep(duration_range_s)
                node.process.send(signal.SIGCONT)

    async def _mark_endpoint_leaving(self) -> None:
        async with self._claim("endpoint") as node, self._claim_exclusively("list") as unclaimed:
            if node is None or not unclaimed:
                return
            await self._cluster.put_into_list(node, state="leaving")
            started_s = get_loop().time()
            await self._sleep(OUTAGE_S)
            self._records.leaving.append(Span(node.name, started_s, get_loop().time()))
            await self._cluster.put_into_list(node)

    async def _fail_starts(self) -> None:
        async with self._claim("worker") as node:
            if node is not None:
                await self._recorder.set_worker_faults(node, fail_starts=True)
                await self._sleep(OUTAGE_S)
                await self._recorder.set_worker_faults(node)

    # Claims on nodes and domains

    @asynccontextmanager
    async def _claim(self, role: str) -> AsyncIterator[Node | None]:
        """Choose a node that no other fault uses. At least one entry per domain stays free."""
        unclaimed = [node for node in self._cluster.of_role(role) if node.name not in self._claimed]
        if role == "entry":
            unclaimed = [node for node in unclaimed if self._has_spare_entry(node)]
        node = await self._choose_node(unclaimed) if unclaimed else None
        if node is not None:
            self._claimed.add(node.name)
        try:
            yield node
        finally:
            if node is not None:
                self._claimed.discard(node.name)

    async def _choose_node(self, unclaimed: list[Node]) -> Node:
        leaders = await self._recorder.leaders()
        leading = [node for node in unclaimed if node.name in leaders]
        if leading and self._rng.random() < LEADER_SHARE:
            return self._rng.choice(leading)
        return self._rng.choice(unclaimed)

    def _has_spare_entry(self, node: Node) -> bool:
        others = {entry.name for entry in self._cluster.entries(node.domain)} - {node.name}
        return node.domain not in self._claimed and bool(others - self._claimed)

    @asynccontextmanager
    async def _claim_domain(self) -> AsyncIterator[str | None]:
        unclaimed = [
            domain for domain in self._cluster.layout.domains if domain not in self._claimed
        ]
        domain = self._rng.choice(unclaimed) if unclaimed else None
        if domain is not None:
            self._claimed.add(domain)
        try:
            yield domain
        finally:
            self._claimed.discard(domain or "")

    @asynccontextmanager
    async def _claim_entries(self) -> AsyncIterator[list[Node]]:
        """Choose a failure domain without other faults and claim all of its entry instances."""
        async with self._claim_domain() as domain:
            entries = self._cluster.entries(domain) if domain is not None else []
            names = {entry.name for entry in entries}
            if names & self._claimed:
                entries, names = [], set()
            self._claimed |= names
            try:
                yield entries
            finally:
                self._claimed -= names

    @asynccontextmanager
    async def _claim_exclusively(self, name: str) -> AsyncIterator[bool]:
        unclaimed = name not in self._claimed
        self._claimed.add(name)
        try:
            yield unclaimed
        finally:
            if unclaimed:
                self._claimed.discard(name)

    @asynccontextmanager
    async def _unreachable(self, entries: Sequence[Node]) -> AsyncIterator[None]:
        started_s = get_loop().time()
        try:
            yield
        finally:
            for entry in entries:
                span = Span(entry.name, started_s, get_loop().time())
                self._records.unreachable.append(span)

    async def _sleep(self, duration_range_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*duration_range_s))


async def wait_ready(cluster: Cluster, entry: Node) -> None:
    """Wait until an entry instance is ready.

    Raises
    ------
    AssertionError
        If it is not ready within ``tests.lib.cluster.CONDITION_TIMEOUT_S``.
    """
    await eventually(lambda: cluster.ready(entry), f"{entry.name} is ready")

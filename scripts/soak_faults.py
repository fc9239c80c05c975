"""Faults of a soak run: one at a time, together, and repeated. Chosen by a seeded generator."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager

from scripts.soak_checks import Records, Span, Violation
from scripts.soak_records import Recorder
from tests.lib.cluster import Cluster, Node, eventually

# Longer than every lease of the harness's settings: 2 s of leadership, 3 s of tasks.
OUTAGE_S = (4.0, 6.0)
SHORT_S = (1.0, 2.0)
SETTLE_S = (0.5, 3.0)
# Weights of one, two and three faults at the same time.
TOGETHER_WEIGHTS = (5, 3, 2)
LEADER_SHARE = 0.5
NOW = asyncio.get_running_loop

Fault = Callable[[], Awaitable[None]]
Rule = Mapping[str, object]


class FaultInjector:
    """Breaks parts of a cluster and repairs them.

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
        self._next_rule = 0
        self._busy: set[str] = set()
        self._cut_domains: set[str] = set()
        self._kinds: dict[str, Fault] = {
            "entry_killed": self._kill_entry,
            "entry_paused": self._pause_entry,
            "entry_stopped": self._stop_entry,
            "domain_killed": self._kill_domain,
            "domain_paused": self._pause_domain,
            "domain_cut_from_store": self._cut_store,
            "domain_cut_from_peers": self._cut_peers,
            "domain_cut_from_both": self._cut_both,
            "store_refusing": lambda: self._store_fault("refuse", SHORT_S),
            "store_slow": lambda: self._store_fault("delay", SHORT_S, delay_ms=700),
            "store_stale": lambda: self._store_fault("stale", SHORT_S),
            "store_losing_responses": lambda: self._store_fault("lose_response", SHORT_S),
            "store_out": lambda: self._store_fault("cut", OUTAGE_S),
            "list_out": lambda: self._list_fault(refuse=True),
            "list_stale": lambda: self._list_fault(stale=True),
            "endpoint_killed": lambda: self._kill_other("endpoint"),
            "endpoint_frozen": lambda: self._freeze_other("endpoint", SHORT_S),
            "endpoint_leaving": self._leave_endpoint,
            "worker_killed": lambda: self._kill_other("worker"),
            "worker_frozen": lambda: self._freeze_other("worker", OUTAGE_S),
            "worker_failing_starts": self._fail_starts,
        }

    async def run(self, deadline_s: float) -> None:
        """Inject faults until the loop time ``deadline_s``, then repair everything.

        Every kind is used once in random order before any kind is used again.
        """
        order: list[str] = []
        while NOW().time() < deadline_s:
            if len(order) < len(TOGETHER_WEIGHTS):
                order += self._rng.sample(sorted(self._kinds), len(self._kinds))
            count = self._rng.choices((1, 2, 3), TOGETHER_WEIGHTS)[0]
            chosen = [order.pop(0) for _ in range(count)]
            await asyncio.gather(*(self._inject(kind) for kind in chosen))
            await asyncio.sleep(self._rng.uniform(*SETTLE_S))

    async def _inject(self, kind: str) -> None:
        self.counts[kind] += 1
        started_s = NOW().time()
        try:
            await self._kinds[kind]()
        except AssertionError as error:
            cause = f"{kind}: {error}"
            self.failures.append(Violation("recovery", cause, NOW().time()))
        self._recorder.note_fault(kind, started_s, NOW().time())

    # Entry instances

    async def _kill_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                entry.process.kill()
                await self._pause(SHORT_S)
                await self._recorder.restart_entry(entry)

    async def _pause_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                entry.process.send(signal.SIGSTOP)
                await self._pause(OUTAGE_S)
                entry.process.send(signal.SIGCONT)

    async def _stop_entry(self) -> None:
        async with self._claim("entry") as entry:
            if entry is None:
                return
            async with self._unreachable([entry]):
                started_s = NOW().time()
                status = await self._cluster.terminate(entry)
                self._records.planned_stops.append(Span(entry.name, started_s, NOW().time()))
                if status != 0:
                    cause = f"{entry.name} ended with status {status} after SIGTERM"
                    self.failures.append(Violation("G7", cause, NOW().time()))
                await self._recorder.restart_entry(entry)

    async def _kill_domain(self) -> None:
        async with self._claim_entries() as entries, self._unreachable(entries):
            for entry in entries:
                entry.process.kill()
            if entries:
                await self._pause(SHORT_S)
            await asyncio.gather(*(self._recorder.restart_entry(entry) for entry in entries))

    async def _pause_domain(self) -> None:
        async with self._claim_entries() as entries, self._unreachable(entries):
            for entry in entries:
                entry.process.send(signal.SIGSTOP)
            if entries:
                await self._pause(OUTAGE_S)
            for entry in entries:
                entry.process.send(signal.SIGCONT)

    # Networks

    async def _cut_store(self) -> None:
        async with self._claim_domain() as domain:
            if domain is not None:
                names = [entry.name for entry in self._cluster.entries(domain)]
                async with self._store_rule({"kind": "cut", "instances": names}):
                    await self._pause(OUTAGE_S)

    async def _cut_peers(self) -> None:
        async with self._claim_domain() as domain:
            if domain is not None:
                async with self._peers_cut(domain):
                    await self._pause(OUTAGE_S)

    async def _cut_both(self) -> None:
        async with self._claim_domain() as domain:
            if domain is None:
                return
            entries = self._cluster.entries(domain)
            rule = {"kind": "cut", "instances": [entry.name for entry in entries]}
            async with (
                self._unreachable(entries),
                self._peers_cut(domain),
                self._store_rule(rule),
            ):
                await self._pause(OUTAGE_S)

    @asynccontextmanager
    async def _peers_cut(self, domain: str) -> AsyncIterator[None]:
        self._cut_domains.add(domain)
        self._cluster.cut_peers(*self._cut_domains)
        try:
            yield
        finally:
            self._cut_domains.discard(domain)
            self._cluster.cut_peers(*self._cut_domains)

    # Store and list

    async def _store_fault(self, kind: str, time_s: tuple[float, float], **values: object) -> None:
        async with self._store_rule({"kind": kind, **values}):
            await self._pause(time_s)

    @asynccontextmanager
    async def _store_rule(self, rule: Rule) -> AsyncIterator[None]:
        self._next_rule += 1
        number = self._next_rule
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
        async with self._only_one("list") as free:
            if free:
                started_s = NOW().time()
                await self._cluster.list_faults(**faults)
                await self._pause(SHORT_S)
                await self._cluster.list_faults()
                self._recorder.list_faults.append(Span("list", started_s, NOW().time()))

    # Endpoints and workers

    async def _kill_other(self, role: str) -> None:
        async with self._claim(role) as node:
            if node is not None:
                await self._recorder.kill(node)
                await self._pause(SHORT_S)
                await self._cluster.start_node(node)

    async def _freeze_other(self, role: str, time_s: tuple[float, float]) -> None:
        async with self._claim(role) as node:
            if node is not None:
                node.process.send(signal.SIGSTOP)
                await self._pause(time_s)
                node.process.send(signal.SIGCONT)

    async def _leave_endpoint(self) -> None:
        async with self._claim("endpoint") as node, self._only_one("list") as free:
            if node is None or not free:
                return
            await self._cluster.put_into_list(node, state="leaving")
            started_s = NOW().time()
            await self._pause(OUTAGE_S)
            self._records.leaving.append(Span(node.name, started_s, NOW().time()))
            await self._cluster.put_into_list(node)

    async def _fail_starts(self) -> None:
        async with self._claim("worker") as node:
            if node is not None:
                await self._recorder.worker_faults(node, fail_starts=True)
                await self._pause(OUTAGE_S)
                await self._recorder.worker_faults(node)

    # Details

    @asynccontextmanager
    async def _claim(self, role: str) -> AsyncIterator[Node | None]:
        """Choose a node that no other fault uses. At least one entry per domain is left alone."""
        free = [node for node in self._cluster.of_role(role) if node.name not in self._busy]
        if role == "entry":
            free = [node for node in free if self._others_free(node)]
        node = await self._choose(free) if free else None
        if node is not None:
            self._busy.add(node.name)
        try:
            yield node
        finally:
            if node is not None:
                self._busy.discard(node.name)

    async def _choose(self, free: list[Node]) -> Node:
        leaders = await self._recorder.leaders()
        leading = [node for node in free if node.name in leaders]
        if leading and self._rng.random() < LEADER_SHARE:
            return self._rng.choice(leading)
        return self._rng.choice(free)

    def _others_free(self, node: Node) -> bool:
        others = {entry.name for entry in self._cluster.entries(node.domain)} - {node.name}
        return node.domain not in self._busy and bool(others - self._busy)

    @asynccontextmanager
    async def _claim_domain(self) -> AsyncIterator[str | None]:
        free = [domain for domain in self._cluster.layout.domains if domain not in self._busy]
        domain = self._rng.choice(free) if free else None
        if domain is not None:
            self._busy.add(domain)
        try:
            yield domain
        finally:
            self._busy.discard(domain or "")

    @asynccontextmanager
    async def _claim_entries(self) -> AsyncIterator[list[Node]]:
        """Choose a failure domain without other faults and claim all its entry instances."""
        async with self._claim_domain() as domain:
            entries = self._cluster.entries(domain) if domain is not None else []
            names = {entry.name for entry in entries}
            if names & self._busy:
                entries, names = [], set()
            self._busy |= names
            try:
                yield entries
            finally:
                self._busy -= names

    @asynccontextmanager
    async def _only_one(self, name: str) -> AsyncIterator[bool]:
        free = name not in self._busy
        self._busy.add(name)
        try:
            yield free
        finally:
            if free:
                self._busy.discard(name)

    @asynccontextmanager
    async def _unreachable(self, entries: Sequence[Node]) -> AsyncIterator[None]:
        started_s = NOW().time()
        try:
            yield
        finally:
            for entry in entries:
                span = Span(entry.name, started_s, NOW().time())
                self._records.unreachable.append(span)

    async def _pause(self, time_s: tuple[float, float]) -> None:
        await asyncio.sleep(self._rng.uniform(*time_s))


async def wait_ready(cluster: Cluster, entry: Node) -> None:
    """Wait until an entry instance is ready.

    Raises
    ------
    AssertionError
        When it does not become ready within a generous limit.
    """
    await eventually(lambda: cluster.ready(entry), f"{entry.name} is ready")

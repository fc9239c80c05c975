"""In-memory context and agent stand-ins for tests of the job service."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

from result import Err, Ok, Result

from nutmeglb._internal.context import Context, LeadershipChange, LeadershipMode, Member
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import JournalError, PeerError
from nutmeglb_formats.models.config import Config, JobKind, Policy, RequestClass, Team
from nutmeglb_formats.models.instances import Instance, InstanceRole
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.journal import JOURNAL_RECORDS
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.wire import registry
from standins.agent import AgentServer
from standins.agent_state import AgentState

GIB = 1 << 30
WAIT_TIMEOUT_S = 20.0
STORE_DOWN = JournalError("The store is down", hint="Wait")


def make_config(**changes: Any) -> Config:
    """Return a configuration with two teams and one failure domain ``a``."""
    quota = Resources(64_000, 512 * GIB, 8)
    values: dict[str, Any] = {
        "number": 1,
        "teams": {name: Team(name, quota) for name in ("labs", "counters")},
        "policies": {"default": Policy("default", domain_weights={"a": 1.0})},
    }
    return Config(**{**values, **changes})


def make_spec(submission: str = "s1", **changes: Any) -> JobSpec:
    """Return a small batch job."""
    values: dict[str, Any] = {
        "submission_id": submission,
        "name": "recalibration",
        "team": "labs",
        "kind": JobKind.BATCH,
        "tasks": 1,
        "resources": Resources(1_000, GIB, 0),
        "job_class": RequestClass.DEFERRED,
        "run_ms": 1_000.0,
        "command": "run_ms=30",
    }
    return JobSpec(**{**values, **changes})


class MemoryJournal:
    """In-memory journal that encodes and decodes its records as the store would."""

    def __init__(self) -> None:
        self.items: list[list[Any]] = []
        self.available = True

    async def append(self, records: Sequence[Any]) -> Result[None, JournalError]:
        await asyncio.sleep(0)
        if not self.available:
            return Err(STORE_DOWN)
        self.items.extend(JOURNAL_RECORDS.to_items(record) for record in records)
        return Ok(None)

    async def load(self) -> Result[list[Any], JournalError]:
        return Ok([JOURNAL_RECORDS.from_items(item).unwrap() for item in self.items])

    def add_snapshot_source(self, source: Callable[[], Sequence[Any]]) -> None:
        self.source = source


class FixedLeadership:
    """Leadership set by the test."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._callbacks: list[Callable[[LeadershipChange], None]] = []
        self.epoch = 0
        self.leader_instance: str | None = None
        self.mode = LeadershipMode.STORE

    def is_leader(self) -> bool:
        return self.leader_instance == self._instance

    def authority_expires_at_ms(self) -> float:
        return float("inf")

    def subscribe(self, callback: Callable[[LeadershipChange], None]) -> None:
        self._callbacks.append(callback)

    def change(self, epoch: int, leader: str | None) -> None:
        self.epoch, self.leader_instance = epoch, leader
        is_self = leader == self._instance
        for callback in self._callbacks:
            callback(LeadershipChange(epoch, leader, is_self, settled=True))


class FixedConfig:
    """Configuration set by the test."""

    stale_since_ms = None

    def __init__(self, config: Config) -> None:
        self._config = config
        self._callbacks: list[Callable[[Config, Config], None]] = []

    def current(self) -> Config:
        return self._config

    def subscribe(self, callback: Callable[[Config, Config], None]) -> None:
        self._callbacks.append(callback)

    def set(self, config: Config) -> None:
        old, self._config = self._config, config
        for callback in self._callbacks:
            callback(old, config)


class FixedInstances:
    """Instance list set by the test."""

    def __init__(self) -> None:
        self.items: list[Instance] = []
        self._callbacks: list[Callable[[], None]] = []

    def instances(self, role: InstanceRole, domain: str | None = None) -> Sequence[Instance]:
        return [i for i in self.items if i.role is role and domain in (None, i.domain)]

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)

    def set(self, items: Sequence[Instance]) -> None:
        self.items = list(items)
        for callback in self._callbacks:
            callback()


class MemoryBus:
    """Peer bus that passes encoded frames between the instances of one test."""

    def __init__(self, instance: str, domain: str, buses: dict[str, "MemoryBus"]) -> None:
        self._instance = instance
        self._domain = domain
        self._buses = buses
        self._handlers: dict[type[Any], Any] = {}
        buses[instance] = self

    def on(self, message_type: type[Any], handler: Any) -> None:
        self._handlers[message_type] = handler

    async def request(self, instance: str, message: Any, timeout_ms: float) -> Result[Any, Any]:
        bus = self._buses.get(instance)
        if bus is None:
            return Err(PeerError("The peer is not connected", hint="Wait"))
        frame = registry.encode(message, sender=self._instance, epoch=0)
        handler = bus._handlers[type(message)]
        reply = await handler(self._instance, registry.decode(frame).unwrap().message)
        frame = registry.encode(reply, sender=instance, epoch=0)
        return Ok(registry.decode(frame).unwrap().message)

    def members(self, domain: str | None = None) -> Sequence[Member]:
        return []

    def relay_of(self, domain: str) -> str | None:
        names = sorted(n for n, bus in self._buses.items() if bus._domain == domain)
        return names[0] if names else None


class MemoryEvents:
    """Event log that records only the kinds of events."""

    def __init__(self) -> None:
        self.kinds: list[str] = []

    def emit(self, kind: str, cause: str, **fields: object) -> None:
        self.kinds.append(kind)


SETTINGS = Settings.model_validate(
    {
        "instance": {"id": "e1", "failure_domain": "a"},
        "store": {"address": "127.0.0.1:1"},
        "platform": {"list_url": "http://127.0.0.1:1/"},
        "peer": {"secret": "secret-of-peers"},
        "tokens": {"operator": "operator-token"},
        "tasks": {"task_lease_ms": 800, "sync_wait_ms": 200},
        "leadership": {"margin_ms": 50},
    }
)


def make_context(
    instance: str,
    domain: str,
    journal: MemoryJournal,
    buses: dict[str, MemoryBus],
    config: Config | None = None,
) -> Context:
    """Return a context whose components are in memory."""
    return Context(
        settings=SETTINGS,
        clock=Clock(),
        rng=random.Random(1),
        instance_id=instance,
        domain=domain,
        peers=cast(Any, MemoryBus(instance, domain, buses)),
        instances=FixedInstances(),
        store=cast(Any, None),
        config=FixedConfig(config or make_config()),
        leadership=FixedLeadership(instance),
        journal=journal,
        events=cast(Any, MemoryEvents()),
        metrics=cast(Any, MetricsRegistry()),
    )


def start_agents(count: int, *, cpu_millis: int = 4_000) -> list[AgentServer]:
    """Start agents in this process, two per rack."""
    agents = []
    for number in range(count):
        capacity = Resources(cpu_millis, 16 * GIB, 0)
        state = AgentState(f"w{number}", capacity, Clock(), rack=f"r{number // 2}")
        agents.append(AgentServer(state))
        agents[-1].start()
    return agents


def worker_instances(agents: Sequence[AgentServer], domain: str = "a") -> list[Instance]:
    """Return an instance list with the given agents as workers."""
    return [
        Instance(agent.state.worker, InstanceRole.WORKER, domain, f"127.0.0.1:{agent.port}")
        for agent in agents
    ]


async def until(condition: Callable[[], Any]) -> Any:
    """Wait until a condition returns a true value, and return it."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > deadline:
            raise TimeoutError(f"the condition did not become true within {WAIT_TIMEOUT_S} s")
        await asyncio.sleep(0.01)
    return value

"""Contexts of several entry instances in one event loop, with an in-memory peer bus."""

import asyncio
import inspect
import random
from collections.abc import Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.context import Context, Member, MemberState
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.store.client import StoreClient
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import PeerError
from nutmeglb_formats.models.instances import Instance, InstanceRole
from nutmeglb_formats.wire import registry
from standins.store import StoreServer
from tests.lib.coordination import RecordedEvents, RecordedMetrics, store_settings


class Network:
    """Connects the buses of all instances, except for the partitioned pairs in ``cut``."""

    def __init__(self) -> None:
        self.buses: dict[str, MemoryBus] = {}
        self.cut: set[frozenset[str]] = set()

    def connected(self, one: str, other: str) -> bool:
        both_started = one in self.buses and other in self.buses
        return both_started and frozenset((one, other)) not in self.cut

    def isolate(self, name: str) -> None:
        self.cut |= {frozenset((name, other)) for other in self.buses if other != name}


class MemoryBus:
    """In-memory ``PeerBus`` that encodes and decodes each message as on the wire."""

    def __init__(self, network: Network, instance_id: str, domain: str) -> None:
        self._network = network
        self._id = instance_id
        self.domain = domain
        self._tasks: set[asyncio.Task[Any]] = set()
        self._handlers: dict[type[Any], Callable[[str, Any], Any]] = {}
        network.buses[instance_id] = self

    def send(self, instance_id: str, message: object) -> None:
        if self.connected(instance_id):
            bus = self._network.buses[instance_id]
            task = asyncio.create_task(bus.deliver(self._id, self._copy(message)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def broadcast_domain(self, message: object) -> None:
        for member in self.members(self.domain):
            self.send(member.instance_id, message)

    async def request(
        self, instance_id: str, message: object, timeout_ms: float
    ) -> Result[Any, PeerError]:
        await asyncio.sleep(0)
        if not self.connected(instance_id):
            return Err(PeerError("the peer is not connected", hint="test"))
        reply = self._network.buses[instance_id].receive(self._id, self._copy(message))
        if inspect.isawaitable(reply):
            reply = await reply
        return Ok(self._copy(reply)) if reply is not None else Err(PeerError("none", hint="test"))

    def on(self, message_type: type[Any], handler: Callable[[str, Any], Any]) -> None:
        self._handlers[message_type] = handler

    def members(self, domain: str | None = None) -> Sequence[Member]:
        return [
            Member(name, bus.domain, "", "", MemberState.LIVE)
            for name, bus in sorted(self._network.buses.items())
            if domain in (None, bus.domain)
        ]

    def connected(self, instance_id: str) -> bool:
        return instance_id != self._id and self._network.connected(self._id, instance_id)

    def relay_of(self, domain: str) -> str | None:
        others = [m.instance_id for m in self.members(domain) if self.connected(m.instance_id)]
        return others[0] if others else None

    def subscribe(self, callback: Callable[[], None]) -> None:
        pass

    async def deliver(self, sender: str, message: Any) -> None:
        reply = self.receive(sender, message)
        if inspect.isawaitable(reply):
            await reply

    def receive(self, sender: str, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        return handler(sender, message) if handler else None

    def _copy(self, message: object) -> Any:
        frame = registry.encode(message, sender=self._id, epoch=0)
        return registry.decode(frame).unwrap().message


class ListedInstances:
    """``InstanceList`` of the instances of a network."""

    def __init__(self, network: Network) -> None:
        self._network = network

    def instances(self, role: InstanceRole, domain: str | None = None) -> Sequence[Instance]:
        return [
            Instance(name, InstanceRole.ENTRY, bus.domain, "")
            for name, bus in self._network.buses.items()
            if role is InstanceRole.ENTRY and domain in (None, bus.domain)
        ]

    def subscribe(self, callback: Callable[[], None]) -> None:
        pass


def make_settings(server: StoreServer, name: str, domain: str) -> Settings:
    """Return settings with short intervals."""
    sections: dict[str, Any] = {
        "instance": {"id": name, "failure_domain": domain},
        "store": store_settings(server).model_dump(),
        "platform": {"list_url": "http://127.0.0.1:1/"},
        "peer": {"secret": "secret-for-tests", "heartbeat_ms": 100},
        "leadership": {"lease_s": 1, "renew_ms": 200, "margin_ms": 200, "promise_ms": 600},
        "journal": {"commit_interval_ms": 10, "snapshot_pages": 10},
        "tokens": {"operator": "operator-token"},
    }
    return Settings.model_validate(sections)


def make_context(server: StoreServer, network: Network, name: str, domain: str = "d1") -> Context:
    """Return a context with a real store client, but no configuration, leadership or journal."""
    settings = make_settings(server, name, domain)
    clock, rng, metrics = Clock(), random.Random(name), RecordedMetrics()
    unset: Any = None
    return Context(
        settings=settings,
        clock=clock,
        rng=rng,
        instance_id=name,
        domain=domain,
        peers=MemoryBus(network, name, domain),
        instances=ListedInstances(network),
        store=StoreClient(settings.store, name, clock, rng, metrics),
        config=unset,
        leadership=unset,
        journal=unset,
        events=RecordedEvents(),
        metrics=metrics,
    )

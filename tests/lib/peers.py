"""Peer buses of several instances in one event loop."""

import asyncio
import random
from collections.abc import Callable

from nutmeglb._internal.peers.bus import Bus
from nutmeglb._internal.peers.handshakes import HandshakeGate
from nutmeglb._internal.settings.models import Settings
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.instances import Instance, InstanceRole
from tests.lib.metrics import RecordingMetrics

MAX_HANDSHAKES = 64

SECRET = "correct horse"
HEARTBEAT_MS = 50.0
WAIT_TIMEOUT_S = 20.0


class FixedInstanceList:
    """An instance list set by the test."""

    def __init__(self) -> None:
        self._items: list[Instance] = []
        self._subscribers: list[Callable[[], None]] = []

    def instances(self, role: InstanceRole, domain: str | None = None) -> list[Instance]:
        return [i for i in self._items if i.role is role and domain in (None, i.domain)]

    def subscribe(self, callback: Callable[[], None]) -> None:
        self._subscribers.append(callback)

    def set(self, items: list[Instance]) -> None:
        self._items = items
        for callback in self._subscribers:
            callback()


def peer_settings(instance_id: str, domain: str, fault_file: str = "") -> Settings:
    """Return settings with short intervals."""
    return Settings.model_validate(
        {
            "instance": {"id": instance_id, "failure_domain": domain},
            "store": {"address": "127.0.0.1:1"},
            "platform": {"list_url": "http://127.0.0.1:1/list"},
            "peer": {
                "secret": SECRET,
                "heartbeat_ms": HEARTBEAT_MS,
                "suspect_ms": 10 * HEARTBEAT_MS,
                "reconnect_max_ms": 100,
                "fault_file": fault_file,
            },
            "tokens": {"operator": "operator-token"},
        }
    )


class BusGroup:
    """Peer buses that share one instance list."""

    def __init__(self) -> None:
        self.list = FixedInstanceList()
        self.buses: dict[str, Bus] = {}
        self.metrics: dict[str, RecordingMetrics] = {}

    async def start(self, instance_id: str, domain: str, fault_file: str = "") -> Bus:
        """Start a bus and add it to the instance list."""
        settings = peer_settings(instance_id, domain, fault_file)
        metrics = self.metrics[instance_id] = RecordingMetrics()
        gate = HandshakeGate(MAX_HANDSHAKES, Clock(), metrics)
        bus = Bus(settings, Clock(), random.Random(instance_id), self.list, metrics, gate)
        await bus.start()
        self.buses[instance_id] = bus
        entry = Instance(instance_id, InstanceRole.ENTRY, domain, bus.bound_address)
        others = [
            i for i in self.list.instances(InstanceRole.ENTRY) if i.instance_id != instance_id
        ]
        self.list.set([*others, entry])
        return bus

    async def stop(self) -> None:
        """Stop every bus."""
        await asyncio.gather(*(bus.stop() for bus in self.buses.values()))


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after ``WAIT_TIMEOUT_S``."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)

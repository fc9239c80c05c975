"""Assembly of an entry instance and its lifecycle from start to planned stop."""

import asyncio
import random
import secrets
import signal
from collections.abc import Mapping
from typing import Any

from nutmeglb._internal.admin.server import AdminServer
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb._internal.configuration import TicketConfiguration
from nutmeglb._internal.context import Component, Context
from nutmeglb._internal.discovery.instance_list import PolledInstanceList
from nutmeglb._internal.jobs.service import JobService
from nutmeglb._internal.journal import DomainJournal
from nutmeglb._internal.leadership import DomainLeadership
from nutmeglb._internal.lifecycle import Lifecycle, LifecycleState
from nutmeglb._internal.node_status import NodeStatus
from nutmeglb._internal.peers.bus import Bus, LocalState
from nutmeglb._internal.peers.handshakes import HandshakeGate
from nutmeglb._internal.ports_file import write_ports_file
from nutmeglb._internal.routing.assembly import create_routing
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.store.client import StoreClient
from nutmeglb._internal.telemetry.events import EventRing
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb._internal.ticket_filing import TicketFiling
from nutmeglb_decisions.intake.limits import limit_handshakes
from nutmeglb_decisions.membership import MemberChanged
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exit_status import ExitStatus

logger = get_logger("node")

SEED_BITS = 64
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Node:
    """All components of one entry instance.

    Most components register their message handlers when they are created, before the bus starts.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        clock = Clock()
        rng = random.Random(secrets.randbits(SEED_BITS))
        metrics = MetricsRegistry()
        instance = settings.instance
        events = EventRing(instance.id, clock, settings.log.timeline_events)
        instances = PolledInstanceList(settings, clock, metrics)
        machine = settings.machine
        gate = HandshakeGate(
            limit_handshakes(machine.memory_mb, machine.max_descriptors), clock, metrics
        )
        bus = Bus(settings, clock, rng, instances, metrics, gate, self._member_changed, events)
        store = StoreClient(settings.store, instance.id, clock, rng, metrics)
        self._events = events
        self._bus = bus
        self._store = store
        # Configuration, leadership and journal take the context as argument and are then set in it.
        unset: Any = None
        self._ctx = Context(
            settings,
            clock,
            rng,
            instance.id,
            instance.failure_domain,
            bus,
            instances,
            store,
            config=unset,
            leadership=unset,
            journal=unset,
            events=events,
            metrics=metrics,
        )
        configuration = self._ctx.config = TicketConfiguration(self._ctx)
        leadership = self._ctx.leadership = DomainLeadership(self._ctx)
        journal = self._ctx.journal = DomainJournal(self._ctx)
        jobs = JobService(self._ctx)
        self._routing = create_routing(self._ctx)
        status = NodeStatus(
            self._ctx, bus, configuration, self._lifecycle_state, self._components_status
        )
        self._admin = AdminServer(
            settings.listen.admin,
            settings.tokens,
            AdminServices(
                TicketFiling(self._ctx, configuration), jobs, status, events, metrics.render
            ),
            machine,
            clock,
            metrics,
        )
        events.set_epoch_source(lambda: leadership.epoch)
        bus.set_local_state(self._local_state)
        # The administration API starts before the bus, because heartbeats announce its address. The
        # leadership starts last, so that every component has subscribed before the first change.
        self._components: list[Component] = [
            instances,
            self._admin,
            bus,
            configuration,
            journal,
            jobs,
            *self._routing.components,
            leadership,
        ]
        # Callers' requests drain first. The leadership is handed over last, when no component needs
        # its grants.
        drain_order = [*reversed(self._routing.components), jobs, journal, leadership]
        self._lifecycle = Lifecycle(
            clock, settings.stop, self._components, drain_order, self._begin_drain
        )

    async def run(self) -> ExitStatus:
        """Start, serve until a stop signal, drain and stop.

        Raises
        ------
        OSError
            When a listener cannot be bound or the ports file cannot be written.
        """
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop.set)
        try:
            await self._lifecycle.start()
            self._write_ports_file()
            logger.info("serving")
            await stop.wait()
            await self._lifecycle.drain()
        finally:
            await self._lifecycle.stop()
            self._store.close()
        logger.info("stopped")
        return ExitStatus.OK

    def _begin_drain(self) -> None:
        self._events.emit("stop_begun", "stop signal")
        self._bus.announce_leaving()

    def _write_ports_file(self) -> None:
        path = self._settings.listen.ports_file
        if path:
            addresses = {
                "caller": self._routing.listener.bound_address,
                "admin": self._admin.address,
                "peer": self._bus.bound_address,
            }
            write_ports_file(path, addresses)

    def _local_state(self) -> LocalState:
        leadership, config = self._ctx.leadership, self._ctx.config
        return LocalState(
            leadership.leader_instance or "",
            leadership.epoch,
            config.current().number,
            config.stale_since_ms,
            self._admin.address,
        )

    def _lifecycle_state(self) -> LifecycleState:
        return self._lifecycle.state

    def _components_status(self) -> Mapping[str, Mapping[str, object]]:
        return self._lifecycle.status()

    def _member_changed(self, change: MemberChanged) -> None:
        state = change.state.value if change.state else "gone"
        self._events.emit(f"member_{state}", change.cause, peer=change.instance_id)


async def run(settings: Settings) -> ExitStatus:
    """Run an entry instance until SIGTERM or SIGINT and return its exit status."""
    return await Node(settings).run()

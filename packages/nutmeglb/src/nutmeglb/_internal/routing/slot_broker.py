"""Leader side of the slot protocol."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Container, Iterable, Mapping
from typing import Any

from result import Ok

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context, InUseGrant, LeadershipChange
from nutmeglb._internal.routing.leaving import LeavingEndpoints
from nutmeglb._internal.routing.outbox import Outbox
from nutmeglb._internal.routing.slot_client import SlotClient
from nutmeglb._internal.routing.violations import ViolationReporter
from nutmeglb._internal.routing.witness import (
    RECORD_TIMEOUT_MS,
    WitnessedGrants,
    WitnessRecords,
)
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.routing.broker import EndpointView, HeldSlot, Send, SlotBrokerCore
from nutmeglb_decisions.routing.service_broker import GRANT_MARGIN_MS
from nutmeglb_decisions.routing.spillover import Spillover
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.instances import InstanceRole
from nutmeglb_formats.wire.routing import (
    BrokerReady,
    DomainSummary,
    ReleaseOutcome,
    SlotCancel,
    SlotGrant,
    SlotRelease,
    SlotRequest,
    WitnessedGrant,
    WitnessQuery,
    WitnessStatus,
)

logger = get_logger("routing")
MS_PER_S = 1_000.0
# Prevents a busy loop when an event is due that cannot be applied yet, such as a probe.
MIN_TIMER_DELAY_MS = 5.0
# Releases kept while a new leader learns the slots in use. Older ones are dropped; their slots
# expire.
MAX_EARLY_RELEASES = 10_000


class SlotBroker:
    """Runs the broker core while this instance leads its domain."""

    name = "slot-broker"

    def __init__(
        self,
        ctx: Context,
        leaving: LeavingEndpoints,
        spillover: Spillover,
        violations: ViolationReporter,
        witnessed_grants: WitnessedGrants,
        witness_records: WitnessRecords,
    ) -> None:
        self._ctx = ctx
        self._leaving_endpoints = leaving
        self._spillover = spillover
        self._violations = violations
        self._witnessed_grants = witnessed_grants
        self._witness_records = witness_records
        self._core: SlotBrokerCore | None = None
        self._epoch = -1
        self._outbox: Outbox | None = None
        self._client: SlotClient | None = None
        self._own_grants: list[SlotGrant] = []
        self._timer: asyncio.TimerHandle | None = None
        self._background = BackgroundTasks()
        self._early_releases: deque[tuple[str, SlotRelease]] = deque(maxlen=MAX_EARLY_RELEASES)
        self._connected_members: set[str] = set()
        self._disconnected_ms: dict[str, float] = {}
        self._free_slots_gauge = ctx.metrics.gauge(
            "nutmeglb_slots_free", "Free slots of the domain."
        )
        self._queue_length_gauge = ctx.metrics.gauge(
            "nutmeglb_slot_queue_length", "Requests without a slot."
        )

    def attach(self, outbox: Outbox, client: SlotClient) -> None:
        """Set the components that are created after the broker."""
        self._outbox = outbox
        self._client = client

    async def start(self) -> None:
        """Subscribe to changes of leadership, configuration, endpoints and peers."""
        self._ctx.leadership.subscribe(self._on_leadership)
        self._ctx.config.subscribe(self._on_config)
        self._ctx.instances.subscribe(self._configure)
        self._ctx.peers.subscribe(self._on_peers)
        self._leaving_endpoints.subscribe(self._on_endpoint_leaving)

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: grants continue until the leadership is released and handed over."""

    async def stop(self) -> None:
        """Stop granting slots."""
        self._reset()
        await self._background.cancel()

    def status(self) -> Mapping[str, object]:
        """Return slots and queues per service."""
        if self._core is None:
            return {"leading": False}
        services = {
            name: {
                "free_slots": broker.pool.free_slots,
                "usable_slots": broker.pool.usable_slots,
                "queued": broker.queued,
                "grants": len(broker.grants),
            }
            for name, broker in self._core.services().items()
        }
        return {"leading": True, "services": services}

    def summary(self) -> DomainSummary | None:
        """Return the domain's load, or ``None`` when this instance does not lead it."""
        if self._core is None or not self._ctx.leadership.is_leader():
            return None
        self._witnessed_grants.flush_ended(self._ctx.leadership.epoch)
        summary = self._core.summary()
        for name, item in summary.services.items():
            self._free_slots_gauge.set(float(item.free_slots), service=name)
            self._queue_length_gauge.set(float(item.queued), service=name)
        return summary

    def receive(self, sender: str, message: Any) -> None:
        """Apply a slot message. Without authority it has no effect.

        A sender repeats its slot requests to the next leader. Releases that arrive before the slots
        in use are known are applied afterwards.
        """
        match message:
            case SlotRequest():
                self._apply(lambda core, now_ms: core.request(now_ms, sender, message))
            case SlotRelease():
                if sender == self._ctx.instance_id:
                    self._end_own_grant(message)
                if self._core is None:
                    self._early_releases.append((sender, message))
                self._apply(lambda core, now_ms: core.release(now_ms, sender, message))
            case SlotCancel():
                self._apply(lambda core, now_ms: core.cancel(message))
            case _:
                logger.warning("ignored a message that is not a slot message", sender=sender)

    def _end_own_grant(self, release: SlotRelease) -> None:
        if release.outcome is ReleaseOutcome.ABANDONED and release.hold_ms > 0.0:
            self._witnessed_grants.abandon_grant(release.grant_id)
        else:
            self._witnessed_grants.end_grant(release.grant_id)

    def _apply(self, step: Callable[[SlotBrokerCore, float], list[Send] | None]) -> None:
        if self._core is None or not self._ctx.leadership.is_leader():
            return
        try:
            effects = step(self._core, self._ctx.clock.now_ms())
        except InvariantViolation as violation:
            self._violations.report(violation)
            return
        self._send_effects(effects or [])
        self._set_timer()

    def _send_effects(self, effects: list[Send]) -> None:
        assert self._outbox is not None
        for effect in effects:
            if effect.recipient != self._ctx.instance_id:
                self._outbox.send(effect.recipient, effect.message)
            elif isinstance(effect.message, SlotGrant):
                self._queue_own_grant(effect.message)
            elif self._client is not None:
                self._client.on_refused(effect.recipient, effect.message)

    def _queue_own_grant(self, grant: SlotGrant) -> None:
        if not self._own_grants:
            asyncio.get_running_loop().call_soon(self._witness_own_grants)
        self._own_grants.append(grant)

    def _witness_own_grants(self) -> None:
        grants, self._own_grants = self._own_grants, []
        if not grants:
            return
        self._background.spawn(self._witness_and_use(grants))

    async def _witness_and_use(self, grants: list[SlotGrant]) -> None:
        own = self._ctx.instance_id
        records = [
            WitnessedGrant(
                grant.grant_id,
                grant.service,
                grant.endpoint,
                own,
                grant.start_within_ms + grant.max_run_ms,
            )
            for grant in grants
        ]
        may_use = await self._witnessed_grants.record(grants[0].epoch, records)
        for grant in grants:
            if may_use and self._client is not None:
                self._client.on_grant(own, grant)
                continue
            unused = SlotRelease(grant.grant_id, grant.service, ReleaseOutcome.UNUSED)
            self.receive(own, unused)

    def _set_timer(self) -> None:
        due_ms = self._core.next_timer_ms() if self._core is not None else None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_ms is None:
            return
        delay_ms = max(MIN_TIMER_DELAY_MS, due_ms - self._ctx.clock.now_ms())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / MS_PER_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._apply(lambda core, now_ms: core.tick(now_ms))

    def _on_leadership(self, change: LeadershipChange) -> None:
        if not change.is_self or not change.settled:
            self._reset()
            return
        if self._epoch != change.epoch:
            self._reset()
            self._epoch = change.epoch
            self._background.spawn(self._start_leading(change))

    async def _start_leading(self, change: LeadershipChange) -> None:
        unknown = await self._unknown_holders(change)
        leadership = self._ctx.leadership
        if self._core is not None or not leadership.is_leader() or leadership.epoch != change.epoch:
            return
        self._core = SlotBrokerCore(
            self._ctx.domain,
            change.epoch,
            self._ctx.settings.routing.grant_start_ms,
            self._ctx.rng,
            self._spillover,
        )
        self._configure()
        held = _group_by_service(change.in_use)
        self._core.recover(self._ctx.clock.now_ms(), held, bool(unknown))
        self._ctx.events.emit(
            "slots_recovered",
            "a new leader took over",
            in_use=len(change.in_use),
            unknown_holders=",".join(unknown),
        )
        while self._early_releases:
            self.receive(*self._early_releases.popleft())
        # All slots are recorded, because an instance that restarted under its old id cannot report
        # the slots that it held before.
        self._record_unreported(())
        self._set_timer()
        self._ctx.peers.broadcast_domain(BrokerReady(change.epoch))
        if self._client is not None:
            self._client.on_leader_ready(self._ctx.instance_id)

    async def _unknown_holders(self, change: LeadershipChange) -> list[str]:
        """Return the missing instances that may hold unreported grants.

        The grants of a missing instance have expired when its connection was lost long enough ago.
        The grants of a missing former leader are known when it is the only missing instance and an
        instance that answers was its witness.
        """
        services = self._ctx.config.current().services.values()
        max_hold_ms = max((service.max_run_ms for service in services), default=0.0)
        max_hold_ms += self._ctx.settings.routing.grant_start_ms + GRANT_MARGIN_MS
        now_ms = self._ctx.clock.now_ms()
        unknown = [
            name
            for name in change.unknown_holders
            if now_ms - self._disconnected_ms.get(name, now_ms) < max_hold_ms
        ]
        if len(unknown) != 1:
            return unknown
        return [] if unknown[0] in await self._witnessed_leaders() else unknown

    async def _witnessed_leaders(self) -> set[str]:
        leaders = set(self._witness_records.leaders())
        for member in self._ctx.peers.members(self._ctx.domain):
            if not self._ctx.peers.connected(member.instance_id):
                continue
            answer = await self._ctx.peers.request(
                member.instance_id, WitnessQuery(), RECORD_TIMEOUT_MS
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, WitnessStatus):
                leaders |= set(answer.ok_value.leaders)
        return leaders

    def _record_unreported(self, reporting: Container[str]) -> None:
        """Record at the witness the slots that no ``reporting`` instance can report later."""
        if self._core is None:
            return
        now_ms = self._ctx.clock.now_ms()
        held = self._core.slots_unreported_by(now_ms, reporting)
        records = [
            WitnessedGrant(item.grant_id, service, item.endpoint, item.holder, item.hold_ms)
            for service, item in held
        ]
        if records or self._witnessed_grants.needs_witness():
            epoch = self._ctx.leadership.epoch
            self._background.spawn(self._witnessed_grants.record(epoch, records))

    def _reset(self) -> None:
        self._core = None
        self._epoch = -1
        self._own_grants = []
        self._witnessed_grants.reset()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_config(self, old: Config, new: Config) -> None:
        self._configure()

    def _configure(self) -> None:
        services = self._ctx.config.current().services
        endpoint_views: dict[str, list[EndpointView]] = defaultdict(list)
        for item in self._ctx.instances.instances(InstanceRole.ENDPOINT, self._ctx.domain):
            leaving = self._leaving_endpoints.is_leaving(item)
            endpoint_views[item.service].append(
                EndpointView(item.instance_id, item.address, leaving)
            )
        self._apply(lambda core, now_ms: core.configure(now_ms, services, endpoint_views))

    def _on_endpoint_leaving(self, endpoint: str) -> None:
        self._apply(lambda core, now_ms: core.mark_leaving(endpoint))

    def _on_peers(self) -> None:
        now_ms = self._ctx.clock.now_ms()
        connected = {
            member.instance_id
            for member in self._ctx.peers.members(self._ctx.domain)
            if self._ctx.peers.connected(member.instance_id)
        }
        lost = self._connected_members - connected
        self._connected_members = connected
        for instance_id in connected:
            self._disconnected_ms.pop(instance_id, None)
        for instance_id in lost:
            self._disconnected_ms[instance_id] = now_ms
            self._withdraw_requests_of(instance_id)
        if lost or self._witnessed_grants.needs_witness():
            self._record_unreported(connected | {self._ctx.instance_id})

    def _withdraw_requests_of(self, holder: str) -> None:
        self._apply(lambda core, now_ms: core.withdraw_requests_of(holder))


def _group_by_service(in_use: Iterable[InUseGrant]) -> dict[str, list[HeldSlot]]:
    """Group grants by service. A grant reported by its holder and a witness counts once."""
    grants_by_id = {grant.grant_id: grant for grant in in_use}
    held: dict[str, list[HeldSlot]] = defaultdict(list)
    for grant in grants_by_id.values():
        item = HeldSlot(grant.grant_id, grant.holder, grant.endpoint, grant.hold_ms)
        held[grant.service].append(item)
    return held

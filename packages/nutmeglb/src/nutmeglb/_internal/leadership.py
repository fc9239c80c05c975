"""I/O layer of leadership: store calls, peer messages and timers around the state machine."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import (
    Context,
    InUseGrant,
    LeadershipChange,
    LeadershipMode,
    MemberState,
)
from nutmeglb._internal.leadership_store import LeadershipStore
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions import leadership_events as ev
from nutmeglb_decisions.leadership import LeadershipCore
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.instances import InstanceRole
from nutmeglb_formats.wire import leadership as wire

logger = get_logger("leadership")

TICK_INTERVAL_MS = 100.0
PEER_TIMEOUT_MS = 1_000.0
RELEASE_TIMEOUT_MS = 2_000.0
REPLY_GRACE_MS = 50.0


class DomainLeadership:
    """Implements the ``Leadership`` protocol of ``context.py``.

    ``is_leader`` and ``authority_expires_at_ms`` read the monotonic clock on every call. They are
    therefore correct after a pause of the process even before the event loop handles any event.
    """

    name = "leadership"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        settings = ctx.settings.leadership
        times = ev.LeadershipTimes(
            lease_ms=settings.lease_s * 1_000.0,
            renew_ms=settings.renew_ms,
            margin_ms=settings.margin_ms,
            promise_ms=settings.promise_ms,
        )
        self._tick_interval_ms = min(TICK_INTERVAL_MS, settings.renew_ms / 4)
        self._core = LeadershipCore(ctx.instance_id, times, ctx.rng, ctx.clock.now_ms())
        self._store = LeadershipStore(ctx.store, ctx.domain, settings.lease_s)
        self._background = BackgroundTasks()
        self._subscribers: list[Callable[[LeadershipChange], None]] = []
        self._grant_reporter: Callable[[], Sequence[InUseGrant]] = tuple
        self._release_task: asyncio.Task[None] | None = None
        self._successor_pledged = asyncio.Event()
        self._is_stopping = False
        self._has_failed = False
        self._changes_counter = ctx.metrics.counter(
            "nutmeglb_leadership_changes_total", "Changes of leader or authority seen here."
        )
        self._is_leader_gauge = ctx.metrics.gauge(
            "nutmeglb_leadership_is_leader", "1 while this instance leads its failure domain."
        )
        self._epoch_gauge = ctx.metrics.gauge(
            "nutmeglb_leadership_epoch", "Highest epoch of the failure domain known here."
        )
        self._violations_counter = ctx.metrics.counter(
            "nutmeglb_invariant_violations_total", "Violated guarantees."
        )

    @property
    def epoch(self) -> int:
        """Return the highest known epoch."""
        return self._core.known_epoch

    @property
    def leader_instance(self) -> str | None:
        """Return the instance that leads the domain, if known."""
        return self._core.leader

    @property
    def mode(self) -> LeadershipMode:
        """Return the source of this instance's authority."""
        now_ms = self._ctx.clock.now_ms()
        if self._has_failed or not self._core.has_authority(now_ms):
            return LeadershipMode.NONE
        if now_ms < self._core.lease_authority_expires_at_ms():
            return LeadershipMode.STORE
        return LeadershipMode.PEER_PROMISES

    def is_leader(self) -> bool:
        """Return whether this instance has authority now and all earlier grants are resolved."""
        return self._core.settled and self._ctx.clock.now_ms() < self.authority_expires_at_ms()

    def authority_expires_at_ms(self) -> float:
        """Return the monotonic time in milliseconds at which the authority ends."""
        if self._has_failed:
            return float("-inf")
        return self._core.authority_expires_at_ms(self._ctx.clock.now_ms())

    def subscribe(self, callback: Callable[[LeadershipChange], None]) -> None:
        """Call ``callback`` after every change."""
        self._subscribers.append(callback)

    def set_grant_reporter(self, reporter: Callable[[], Sequence[InUseGrant]]) -> None:
        """Set the source of the grants that a new leader must know: own and witnessed ones."""
        self._grant_reporter = reporter

    async def start(self) -> None:
        """Register message handlers and start the timer."""
        peers = self._ctx.peers
        peers.on(wire.Pledge, self._on_pledge)
        peers.on(wire.Promise, self._on_promise)
        peers.on(wire.LeaderNotice, self._on_leader_notice)
        peers.on(wire.LeaderReleased, self._on_leader_released)
        peers.subscribe(self._on_peers_changed)
        self._background.spawn(self._run_timer())

    async def drain(self, deadline_ms: float) -> None:
        """Release the leadership and wait until a successor has requested the grants in use.

        A successor that can no longer reach this instance has to wait for the length of a lease.
        """
        release_deadline_ms = min(deadline_ms, self._ctx.clock.now_ms() + RELEASE_TIMEOUT_MS)
        was_leader = await self._release_leadership(release_deadline_ms)
        if not was_leader or not self._reachable_peers():
            return
        remaining_ms = max(0.0, release_deadline_ms - self._ctx.clock.now_ms())
        try:
            async with asyncio.timeout(remaining_ms / 1_000):
                await self._successor_pledged.wait()
        except TimeoutError:
            logger.warning("no successor requested the grants in time; stopping without a handover")
        # The reply to the successor is sent while this coroutine sleeps.
        await asyncio.sleep(REPLY_GRACE_MS / 1_000)

    async def stop(self) -> None:
        """Release the leadership, if that has not been done, and cancel all tasks."""
        if not self._is_stopping:
            await self._release_leadership(self._ctx.clock.now_ms() + RELEASE_TIMEOUT_MS)
        await self._background.cancel()

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""
        return {
            "epoch": self.epoch,
            "leader": self.leader_instance,
            "is_leader": self.is_leader(),
            "mode": self.mode.value,
            "settled": self._core.settled,
        }

    async def _run_timer(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(self._tick_interval_ms / 1_000)

    async def _release_leadership(self, release_deadline_ms: float) -> bool:
        """Release the leadership. Return whether this instance held it."""
        self._is_stopping = True
        self._release_task = None
        self._handle_event(ev.StopRequested())
        if self._release_task is None:
            return False
        remaining_ms = max(0.0, release_deadline_ms - self._ctx.clock.now_ms())
        done, _ = await asyncio.wait({self._release_task}, timeout=remaining_ms / 1_000)
        if not done:
            logger.warning("lease not released in time; a successor waits until it expires")
        return True

    def _reachable_peers(self) -> frozenset[str]:
        return frozenset(
            member.instance_id
            for member in self._ctx.peers.members(self._ctx.domain)
            if member.state is not MemberState.SUSPECTED
            and member.instance_id != self._ctx.instance_id
            and self._ctx.peers.connected(member.instance_id)
        )

    def _tick(self) -> None:
        domain = self._ctx.domain
        entries = self._ctx.instances.instances(InstanceRole.ENTRY)
        listed = frozenset(item.instance_id for item in entries if item.domain == domain)
        # An empty list cannot be valid, because this instance is an entry instance itself.
        self._handle_event(ev.Tick(listed if entries else None, self._reachable_peers()))

    def _on_peers_changed(self) -> None:
        if not self._is_stopping:
            self._tick()

    def _handle_event(self, event: ev.Event) -> ev.Answer | None:
        if self._has_failed:
            return None
        try:
            effects = self._core.handle(event, self._ctx.clock.now_ms())
        except InvariantViolation as violation:
            self._handle_violation(violation)
            raise
        answer = None
        for effect in effects:
            if isinstance(effect, ev.Answer):
                answer = effect
            else:
                self._apply_effect(effect)
        return answer

    def _handle_violation(self, violation: InvariantViolation) -> None:
        """Drop all authority until a restart, because the state can no longer be trusted."""
        self._has_failed = True
        self._violations_counter.inc(invariant=str(violation.context.get("invariant")))
        self._ctx.events.emit("invariant_violated", str(violation))
        logger.error(
            "invariant violated; this instance has no authority until it is restarted",
            cause=str(violation),
        )
        self._publish(ev.LeadershipChanged(self.epoch, None, False, False))

    def _apply_effect(self, effect: ev.Effect) -> None:
        match effect:
            case ev.LeadershipChanged():
                self._publish(effect)
            case ev.SendNotice(epoch):
                self._ctx.peers.broadcast_domain(wire.LeaderNotice(epoch))
            case ev.ReleaseLeadership():
                self._release_task = self._background.spawn(self._revoke_and_announce(effect))
            case ev.SendPledge():
                self._background.spawn(self._send_pledge(effect))
            case ev.SendPromise():
                self._background.spawn(self._send_promise(effect))
            case _:
                self._background.spawn(self._call_store(effect))

    async def _call_store(self, effect: ev.Effect) -> None:
        event = await self._store.execute(effect, self._ctx.clock.now_ms())
        if event is not None:
            self._handle_event(event)

    async def _revoke_and_announce(self, effect: ev.ReleaseLeadership) -> None:
        if effect.lease is not None:
            await self._store.execute(ev.RevokeLease(effect.lease), self._ctx.clock.now_ms())
        self._ctx.peers.broadcast_domain(wire.LeaderReleased(effect.epoch))
        # The bus sends queued messages when this coroutine yields.
        await asyncio.sleep(0)

    async def _send_pledge(self, effect: ev.SendPledge) -> None:
        reply = await self._request(effect.instance, wire.Pledge(effect.epoch), wire.PledgeReply)
        if isinstance(reply, Err):
            return
        value: wire.PledgeReply = reply.ok_value
        self._handle_event(
            ev.PledgeAnswered(
                effect.instance, effect.round_id, value.accepted, value.known_epoch, value.grants
            )
        )

    async def _send_promise(self, effect: ev.SendPromise) -> None:
        reply = await self._request(effect.instance, wire.Promise(effect.epoch), wire.PromiseReply)
        if isinstance(reply, Err):
            return
        value: wire.PromiseReply = reply.ok_value
        self._handle_event(
            ev.PromiseAnswered(
                effect.instance,
                effect.epoch,
                effect.sent_ms,
                value.granted,
                value.known_epoch,
                value.store_reachable,
            )
        )

    async def _request(self, instance: str, message: object, kind: type[Any]) -> Result[Any, str]:
        reply = await self._ctx.peers.request(instance, message, PEER_TIMEOUT_MS)
        if isinstance(reply, Err):
            return Err(str(reply.err_value))
        if not isinstance(reply.ok_value, kind):
            return Err("the reply has an unexpected type")
        return Ok(reply.ok_value)

    def _on_pledge(self, sender: str, message: wire.Pledge) -> wire.PledgeReply | None:
        answer = self._handle_event(ev.PledgeRequested(sender, message.epoch))
        if answer is None:
            return None
        if self._is_stopping and answer.accepted:
            self._successor_pledged.set()
        grants = self._held_grants() if answer.accepted else ()
        return wire.PledgeReply(answer.accepted, answer.known_epoch, grants)

    def _on_promise(self, sender: str, message: wire.Promise) -> wire.PromiseReply | None:
        answer = self._handle_event(ev.PromiseRequested(sender, message.epoch))
        if answer is None:
            return None
        return wire.PromiseReply(answer.accepted, answer.known_epoch, answer.store_reachable)

    def _on_leader_notice(self, sender: str, message: wire.LeaderNotice) -> None:
        self._handle_event(ev.NoticeReceived(sender, message.epoch))

    def _on_leader_released(self, sender: str, message: wire.LeaderReleased) -> None:
        self._handle_event(ev.ReleaseReceived(sender, message.epoch))

    def _held_grants(self) -> tuple[wire.HeldGrant, ...]:
        return tuple(
            wire.HeldGrant(item.grant_id, item.service, item.endpoint, item.holder, item.hold_ms)
            for item in self._grant_reporter()
        )

    def _publish(self, changed: ev.LeadershipChanged) -> None:
        settled_now = changed.is_self and changed.settled
        grants = (*changed.grants, *self._held_grants()) if settled_now else ()
        in_use = {
            item.grant_id: InUseGrant(
                item.grant_id, item.service, item.endpoint, item.holder, item.hold_ms
            )
            for item in grants
        }
        change = LeadershipChange(
            changed.epoch,
            changed.leader,
            changed.is_self,
            changed.settled,
            tuple(in_use.values()),
            changed.unknown_holders,
        )
        self._record_change(change)
        for callback in self._subscribers:
            callback(change)

    def _record_change(self, change: LeadershipChange) -> None:
        self._changes_counter.inc()
        self._is_leader_gauge.set(1.0 if change.is_self and change.settled else 0.0)
        self._epoch_gauge.set(float(change.epoch))
        cause = "authority" if change.is_self else "follows" if change.leader_instance else "none"
        self._ctx.events.emit(
            "leadership_changed",
            cause,
            epoch=change.epoch,
            leader=change.leader_instance,
            settled=change.settled,
            in_use=len(change.in_use),
            unknown_holders=list(change.unknown_holders),
        )

"""Requests slots from the domain's leader and tracks the grants that this instance holds."""

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from nutmeglb._internal.context import Context, InUseGrant, LeadershipChange
from nutmeglb._internal.routing.outbox import Outbox
from nutmeglb._internal.routing.witness import WitnessRecords
from nutmeglb_decisions.routing.spillover import Spillover
from nutmeglb_formats.wire.routing import (
    BrokerReady,
    RefusalReason,
    ReleaseOutcome,
    SlotCancel,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

# Releases kept while no leader is reachable. Older ones are dropped; their slots expire.
MAX_UNSENT_RELEASES = 10_000
MS_PER_S = 1_000.0


class SlotRequester(Protocol):
    """A request that waits for a slot."""

    def slot_request(self) -> SlotRequest:
        """Return the current slot request, to send it again."""

    def granted(self, grant: SlotGrant) -> None:
        """Handle a grant."""

    def refused(self, message: SlotRefused) -> None:
        """Handle a refusal."""


@dataclass(slots=True)
class _HeldGrant:
    grant: SlotGrant
    expires_at_ms: float


class SlotClient:
    """Instance side of the slot protocol.

    Parameters
    ----------
    spillover
        Load of the other domains, used while the own domain has no reachable leader.
    """

    def __init__(
        self, ctx: Context, outbox: Outbox, witness_records: WitnessRecords, spillover: Spillover
    ) -> None:
        self._ctx = ctx
        self._outbox = outbox
        self._witness_records = witness_records
        self._spillover = spillover
        self._waiting: dict[str, SlotRequester] = {}
        self._held_grants: dict[str, _HeldGrant] = {}
        self._unsent_releases: deque[SlotRelease] = deque(maxlen=MAX_UNSENT_RELEASES)
        self._is_leader_connected = False
        ctx.leadership.set_grant_reporter(self.in_use)
        ctx.leadership.subscribe(self._on_leadership)
        ctx.peers.subscribe(self._on_peers)
        ctx.peers.on(BrokerReady, self._on_broker_ready)

    @property
    def waiting(self) -> int:
        """Return the number of requests without a slot."""
        return len(self._waiting)

    def in_use(self) -> list[InUseGrant]:
        """Return the grants that a new leader must know: own and witnessed ones."""
        now_ms = self._ctx.clock.now_ms()
        self._remove_expired(now_ms)
        own = [
            InUseGrant(
                grant_id,
                held.grant.service,
                held.grant.endpoint,
                self._ctx.instance_id,
                held.expires_at_ms - now_ms,
            )
            for grant_id, held in self._held_grants.items()
        ]
        return own + self._witness_records.in_use()

    def request_slot(self, message: SlotRequest, requester: SlotRequester) -> None:
        """Request a slot. ``requester`` is called back once, with a grant or a refusal."""
        self._waiting[message.request_id] = requester
        leader = self._reachable_leader()
        if leader is not None:
            self._outbox.send(leader, message)
        else:
            self._spill_over(message.request_id, message.service)

    def cancel(self, slot_request_id: str, service: str) -> None:
        """Withdraw a slot request."""
        self._waiting.pop(slot_request_id, None)
        leader = self._reachable_leader()
        if leader is not None:
            self._outbox.send(leader, SlotCancel(slot_request_id, service))

    def release(self, message: SlotRelease) -> None:
        """Release a grant. The release is kept and sent later while no leader is reachable."""
        held = self._held_grants.get(message.grant_id)
        if held is not None and message.outcome is ReleaseOutcome.ABANDONED:
            held.expires_at_ms = self._ctx.clock.now_ms() + message.hold_ms
            loop = asyncio.get_running_loop()
            loop.call_later(
                message.hold_ms / MS_PER_S, self._held_grants.pop, message.grant_id, None
            )
        else:
            self._held_grants.pop(message.grant_id, None)
        leader = self._reachable_leader()
        if leader is not None:
            self._outbox.send(leader, message)
        else:
            self._unsent_releases.append(message)

    def on_grant(self, sender: str, grant: SlotGrant) -> None:
        """Pass a grant to its request. A grant of an earlier epoch is ignored."""
        if grant.epoch < self._ctx.leadership.epoch:
            return
        if grant.grant_id in self._held_grants:
            return
        max_hold_ms = grant.start_within_ms + grant.max_run_ms
        self._held_grants[grant.grant_id] = _HeldGrant(
            grant, self._ctx.clock.now_ms() + max_hold_ms
        )
        requester = self._waiting.pop(grant.request_id, None)
        if requester is None:
            self.release(SlotRelease(grant.grant_id, grant.service, ReleaseOutcome.UNUSED))
            return
        requester.granted(grant)

    def on_refused(self, sender: str, message: SlotRefused) -> None:
        """Pass a refusal to its request."""
        requester = self._waiting.pop(message.request_id, None)
        if requester is not None:
            requester.refused(message)

    def on_leader_ready(self, sender: str) -> None:
        """Resend releases and slot requests to a leader that has started to grant slots."""
        leader = self._reachable_leader()
        if leader is not None and leader == sender:
            self._is_leader_connected = True
            self._resend(leader)

    def _on_broker_ready(self, sender: str, message: BrokerReady) -> None:
        self.on_leader_ready(sender)

    def _reachable_leader(self) -> str | None:
        leader = self._ctx.leadership.leader_instance
        if leader is None:
            return None
        if leader == self._ctx.instance_id:
            return leader if self._ctx.leadership.is_leader() else None
        return leader if self._ctx.peers.connected(leader) else None

    def _on_leadership(self, change: LeadershipChange) -> None:
        if change.leader_instance is None or (change.is_self and not change.settled):
            self._is_leader_connected = False
            self._spill_over_all()
            return
        # If this instance is the settled leader, it is reachable once its broker is set up.
        self._is_leader_connected = False
        asyncio.get_running_loop().call_soon(self._on_peers)

    def _on_peers(self) -> None:
        leader = self._reachable_leader()
        is_reachable = leader is not None
        if is_reachable and not self._is_leader_connected and leader is not None:
            self._resend(leader)
        elif self._is_leader_connected and not is_reachable:
            self._spill_over_all()
        self._is_leader_connected = is_reachable

    def _resend(self, leader: str) -> None:
        while self._unsent_releases:
            self._outbox.send(leader, self._unsent_releases.popleft())
        for requester in self._waiting.values():
            self._outbox.send(leader, requester.slot_request())

    def _spill_over_all(self) -> None:
        for slot_request_id, requester in list(self._waiting.items()):
            self._spill_over(slot_request_id, requester.slot_request().service)

    def _spill_over(self, slot_request_id: str, service: str) -> None:
        requester = self._waiting.get(slot_request_id)
        if requester is None or requester.slot_request().forwarded:
            return
        now_ms = self._ctx.clock.now_ms()
        domain = self._spillover.choose(now_ms, service, float("inf"))
        if domain is None:
            return
        del self._waiting[slot_request_id]
        requester.refused(SlotRefused(slot_request_id, RefusalReason.NO_LEADER, domain))

    def _remove_expired(self, now_ms: float) -> None:
        ended = [key for key, held in self._held_grants.items() if held.expires_at_ms <= now_ms]
        for grant_id in ended:
            del self._held_grants[grant_id]

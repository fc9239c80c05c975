"""Asks the domain's leader for slots, and knows the grants that this instance holds."""

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

# Releases kept while no leader is known. Older ones are dropped; their slots expire.
UNSENT_RELEASES = 10_000
MS_PER_S = 1_000.0


class SlotUser(Protocol):
    """A request that waits for a slot."""

    def slot_request(self) -> SlotRequest:
        """Return the request as it is now, for sending it again."""

    def granted(self, grant: SlotGrant) -> None:
        """Use a grant."""

    def refused(self, message: SlotRefused) -> None:
        """Handle a refusal."""


@dataclass(slots=True)
class _Held:
    grant: SlotGrant
    until_ms: float


class SlotClient:
    """The instance's side of the slot messages.

    Parameters
    ----------
    spillover
        Load of the other domains, used while the own domain has no reachable leader.
    """

    def __init__(
        self, ctx: Context, outbox: Outbox, witness: WitnessRecords, spillover: Spillover
    ) -> None:
        self._ctx = ctx
        self._outbox = outbox
        self._witness = witness
        self._spillover = spillover
        self._waiting: dict[str, SlotUser] = {}
        self._held: dict[str, _Held] = {}
        self._unsent: deque[SlotRelease] = deque(maxlen=UNSENT_RELEASES)
        self._leader_reachable = False
        ctx.leadership.set_grant_reporter(self.in_use)
        ctx.leadership.subscribe(self._on_leadership)
        ctx.peers.subscribe(self._on_peers)
        ctx.peers.on(BrokerReady, self._on_ready)

    @property
    def waiting(self) -> int:
        """Return the number of requests without a slot."""
        return len(self._waiting)

    def in_use(self) -> list[InUseGrant]:
        """Return the grants that a new leader must know: own and witnessed ones."""
        now_ms = self._ctx.clock.now_ms()
        self._forget_ended(now_ms)
        own = [
            InUseGrant(
                grant_id,
                held.grant.service,
                held.grant.endpoint,
                self._ctx.instance_id,
                held.until_ms - now_ms,
            )
            for grant_id, held in self._held.items()
        ]
        return own + self._witness.in_use()

    def ask(self, message: SlotRequest, user: SlotUser) -> None:
        """Ask for a slot. ``user`` is called back once."""
        self._waiting[message.request_id] = user
        leader = self._leader()
        if leader is not None:
            self._outbox.send(leader, message)
        else:
            self._spill(message.request_id, message.service)

    def cancel(self, slot_id: str, service: str) -> None:
        """Withdraw a slot request."""
        self._waiting.pop(slot_id, None)
        leader = self._leader()
        if leader is not None:
            self._outbox.send(leader, SlotCancel(slot_id, service))

    def release(self, message: SlotRelease) -> None:
        """End a grant. It is sent later when no leader can be reached."""
        held = self._held.get(message.grant_id)
        if held is not None and message.outcome is ReleaseOutcome.ABANDONED:
            held.until_ms = self._ctx.clock.now_ms() + message.hold_ms
            loop = asyncio.get_running_loop()
            loop.call_later(message.hold_ms / MS_PER_S, self._held.pop, message.grant_id, None)
        else:
            self._held.pop(message.grant_id, None)
        leader = self._leader()
        if leader is not None:
            self._outbox.send(leader, message)
        else:
            self._unsent.append(message)

    def on_grant(self, sender: str, grant: SlotGrant) -> None:
        """Hand a grant to its request. A grant of an outdated leader is not used."""
        if grant.epoch < self._ctx.leadership.epoch:
            return
        if grant.grant_id in self._held:
            return
        longest_ms = grant.start_within_ms + grant.max_run_ms
        self._held[grant.grant_id] = _Held(grant, self._ctx.clock.now_ms() + longest_ms)
        user = self._waiting.pop(grant.request_id, None)
        if user is None:
            self.release(SlotRelease(grant.grant_id, grant.service, ReleaseOutcome.UNUSED))
            return
        user.granted(grant)

    def on_refused(self, sender: str, message: SlotRefused) -> None:
        """Hand a refusal to its request."""
        user = self._waiting.pop(message.request_id, None)
        if user is not None:
            user.refused(message)

    def leader_ready(self, sender: str) -> None:
        """Send everything again to a leader that has begun to grant slots."""
        leader = self._leader()
        if leader is not None and leader == sender:
            self._leader_reachable = True
            self._send_again(leader)

    def _on_ready(self, sender: str, message: BrokerReady) -> None:
        self.leader_ready(sender)

    def _leader(self) -> str | None:
        leader = self._ctx.leadership.leader_instance
        if leader is None:
            return None
        if leader == self._ctx.instance_id:
            return leader if self._ctx.leadership.is_leader() else None
        return leader if self._ctx.peers.connected(leader) else None

    def _on_leadership(self, change: LeadershipChange) -> None:
        if change.leader_instance is None or (change.is_self and not change.settled):
            self._leader_reachable = False
            self._spill_all()
            return
        # A settled leader of its own is reachable once its broker has been set up.
        self._leader_reachable = False
        asyncio.get_running_loop().call_soon(self._on_peers)

    def _on_peers(self) -> None:
        leader = self._leader()
        reachable = leader is not None
        if reachable and not self._leader_reachable and leader is not None:
            self._send_again(leader)
        elif self._leader_reachable and not reachable:
            self._spill_all()
        self._leader_reachable = reachable

    def _send_again(self, leader: str) -> None:
        while self._unsent:
            self._outbox.send(leader, self._unsent.popleft())
        for user in self._waiting.values():
            self._outbox.send(leader, user.slot_request())

    def _spill_all(self) -> None:
        for slot_id, user in list(self._waiting.items()):
            self._spill(slot_id, user.slot_request().service)

    def _spill(self, slot_id: str, service: str) -> None:
        user = self._waiting.get(slot_id)
        if user is None or user.slot_request().forwarded:
            return
        now_ms = self._ctx.clock.now_ms()
        domain = self._spillover.choose(now_ms, service, float("inf"))
        if domain is None:
            return
        del self._waiting[slot_id]
        user.refused(SlotRefused(slot_id, RefusalReason.NO_LEADER, domain))

    def _forget_ended(self, now_ms: float) -> None:
        ended = [key for key, held in self._held.items() if held.until_ms <= now_ms]
        for grant_id in ended:
            del self._held[grant_id]

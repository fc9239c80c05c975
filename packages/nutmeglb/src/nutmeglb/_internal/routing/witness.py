"""Witness records: copies of the grants that only the leader knows, kept by one other instance.

They cover the grants that the leader uses itself and the slots of instances that are no longer
connected. If the leader failed without a copy, its successor would have to count all slots as in
use for the service's maximum run time.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from result import Ok

from nutmeglb._internal.context import Context, InUseGrant, MemberState
from nutmeglb_formats.wire.routing import (
    WitnessAnswer,
    WitnessedGrant,
    WitnessQuery,
    WitnessRecord,
    WitnessStatus,
)

# Covers several round trips inside a domain. A slower witness is replaced.
RECORD_TIMEOUT_MS = 250.0


@dataclass(slots=True)
class _RecordedGrant:
    grant: WitnessedGrant
    expires_at_ms: float


class WitnessRecords:
    """Records that this instance keeps for a leader."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._records: dict[str, _RecordedGrant] = {}
        self._leaders: dict[str, int] = {}
        ctx.peers.on(WitnessRecord, self._on_record)
        ctx.peers.on(WitnessQuery, self._on_query)

    def in_use(self) -> list[InUseGrant]:
        """Return the grants that a new leader must know."""
        now_ms = self._ctx.clock.now_ms()
        self._remove_expired(now_ms)
        return [
            InUseGrant(
                grant_id,
                record.grant.service,
                record.grant.endpoint,
                record.grant.holder,
                record.expires_at_ms - now_ms,
            )
            for grant_id, record in self._records.items()
        ]

    def leaders(self) -> tuple[str, ...]:
        """Return the leaders that use this instance as their witness."""
        return tuple(self._leaders)

    def _on_query(self, sender: str, message: WitnessQuery) -> WitnessStatus:
        return WitnessStatus(self.leaders())

    def _on_record(self, sender: str, message: WitnessRecord) -> WitnessAnswer:
        if message.epoch < self._ctx.leadership.epoch:
            return WitnessAnswer(accepted=False)
        now_ms = self._ctx.clock.now_ms()
        self._remove_expired(now_ms)
        # The leader of this epoch has learned the records of earlier epochs.
        self._leaders = {
            name: epoch for name, epoch in self._leaders.items() if epoch >= message.epoch
        }
        self._leaders[sender] = message.epoch
        for grant_id in message.ended:
            self._records.pop(grant_id, None)
        for grant in message.grants:
            self._records[grant.grant_id] = _RecordedGrant(grant, now_ms + grant.hold_ms)
        return WitnessAnswer(accepted=True)

    def _remove_expired(self, now_ms: float) -> None:
        ended = [key for key, record in self._records.items() if record.expires_at_ms <= now_ms]
        for grant_id in ended:
            del self._records[grant_id]


class WitnessedGrants:
    """Grants that only this leader knows, and the witness that keeps copies of them."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._witness: str | None = None
        self._active_grants: dict[str, _RecordedGrant] = {}
        self._ended_grant_ids: list[str] = []
        self._abandoned_grant_ids: deque[str] = deque()

    def reset(self) -> None:
        """Discard the witness and all grants when the leadership ends."""
        self._witness = None
        self._active_grants.clear()
        self._ended_grant_ids.clear()
        self._abandoned_grant_ids.clear()

    def end_grant(self, grant_id: str) -> None:
        """Remove an ended grant. The witness is notified with the next record."""
        if self._active_grants.pop(grant_id, None) is not None:
            self._ended_grant_ids.append(grant_id)

    def abandon_grant(self, grant_id: str) -> None:
        """Keep an abandoned grant, because the endpoint may still work on its request.

        It was recorded for the longest time that its slot can be in use, so neither the witness nor
        this leader needs another record. Abandoned grants whose time is over are removed.
        """
        if grant_id not in self._active_grants:
            return
        now_ms = self._ctx.clock.now_ms()
        while self._abandoned_grant_ids:
            record = self._active_grants.get(self._abandoned_grant_ids[0])
            if record is not None and record.expires_at_ms > now_ms:
                break
            self._active_grants.pop(self._abandoned_grant_ids.popleft(), None)
        self._abandoned_grant_ids.append(grant_id)

    def needs_witness(self) -> bool:
        """Return whether a new witness must be chosen."""
        return self._witness is None or not self._ctx.peers.connected(self._witness)

    def flush_ended(self, epoch: int) -> None:
        """Notify the witness of ended grants without waiting for the next record."""
        if self._witness is None or not self._ended_grant_ids:
            return
        ended, self._ended_grant_ids = tuple(self._ended_grant_ids), []
        self._ctx.peers.send(self._witness, WitnessRecord(epoch, (), ended))

    async def record(self, epoch: int, grants: Sequence[WitnessedGrant]) -> bool:
        """Record grants at the witness before they are used. Without grants, only choose one.

        Returns
        -------
        bool
            False when a witness knows a newer epoch: the grants must not be used. True when a
            witness has recorded them, or when no live, connected instance of the domain answers.
        """
        now_ms = self._ctx.clock.now_ms()
        for grant in grants:
            self._active_grants[grant.grant_id] = _RecordedGrant(grant, now_ms + grant.hold_ms)
        refused: set[str] = set()
        while (witness := self._choose_witness(refused)) is not None:
            accepted = await self._send_record(witness, epoch, grants)
            if accepted is not None:
                return accepted
            refused.add(witness)
        return True

    def _choose_witness(self, refused: set[str]) -> str | None:
        """Prefer the current witness while it is connected, so that it has all records."""
        candidates = [
            member.instance_id
            for member in self._ctx.peers.members(self._ctx.domain)
            if member.instance_id != self._ctx.instance_id
            and member.instance_id not in refused
            and member.state is MemberState.LIVE
            and self._ctx.peers.connected(member.instance_id)
        ]
        if self._witness in candidates:
            return self._witness
        return candidates[0] if candidates else None

    async def _send_record(
        self, witness: str, epoch: int, grants: Sequence[WitnessedGrant]
    ) -> bool | None:
        now_ms = self._ctx.clock.now_ms()
        if witness != self._witness:
            grants = [
                _with_remaining_hold(item, now_ms)
                for item in self._active_grants.values()
                if item.expires_at_ms > now_ms
            ]
        ended, self._ended_grant_ids = tuple(self._ended_grant_ids), []
        message = WitnessRecord(epoch, tuple(grants), ended)
        answer = await self._ctx.peers.request(witness, message, RECORD_TIMEOUT_MS)
        if not isinstance(answer, Ok) or not isinstance(answer.ok_value, WitnessAnswer):
            return None
        self._witness = witness
        return answer.ok_value.accepted


def _with_remaining_hold(record: _RecordedGrant, now_ms: float) -> WitnessedGrant:
    grant = record.grant
    return WitnessedGrant(
        grant.grant_id,
        grant.service,
        grant.endpoint,
        grant.holder,
        record.expires_at_ms - now_ms,
    )

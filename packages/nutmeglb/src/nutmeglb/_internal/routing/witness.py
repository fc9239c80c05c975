"""Witness records: grants that the leader uses itself are known to one more instance.

When the leader dies, its own grants would otherwise be lost with it, and their slots would have to
be held for their maximum run time.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Ok

from nutmeglb._internal.context import Context, InUseGrant, MemberState
from nutmeglb_formats.wire.routing import SlotGrant, WitnessAnswer, WitnessedGrant, WitnessRecord

# Several round trips inside a domain. A slower witness is replaced.
RECORD_TIMEOUT_MS = 250.0


@dataclass(slots=True)
class _Record:
    leader: str
    grant: WitnessedGrant
    until_ms: float


class WitnessRecords:
    """Records that this instance keeps for a leader."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._records: dict[str, _Record] = {}
        ctx.peers.on(WitnessRecord, self._on_record)

    def in_use(self) -> list[InUseGrant]:
        """Return the grants that a new leader must know."""
        now_ms = self._ctx.clock.now_ms()
        self._expire(now_ms)
        return [
            InUseGrant(
                grant_id,
                record.grant.service,
                record.grant.endpoint,
                record.leader,
                record.until_ms - now_ms,
            )
            for grant_id, record in self._records.items()
        ]

    def _on_record(self, sender: str, message: WitnessRecord) -> WitnessAnswer:
        if message.epoch < self._ctx.leadership.epoch:
            return WitnessAnswer(accepted=False)
        now_ms = self._ctx.clock.now_ms()
        self._expire(now_ms)
        for grant_id in message.ended:
            self._records.pop(grant_id, None)
        for grant in message.grants:
            self._records[grant.grant_id] = _Record(sender, grant, now_ms + grant.hold_ms)
        return WitnessAnswer(accepted=True)

    def _expire(self, now_ms: float) -> None:
        ended = [key for key, record in self._records.items() if record.until_ms <= now_ms]
        for grant_id in ended:
            del self._records[grant_id]


class WitnessedGrants:
    """Grants that this leader uses itself, and the witness that knows them."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._witness: str | None = None
        self._active: dict[str, tuple[SlotGrant, float]] = {}
        self._ended: list[str] = []

    def reset(self) -> None:
        """Forget everything when the leadership ends."""
        self._witness = None
        self._active.clear()
        self._ended.clear()

    def end(self, grant_id: str) -> None:
        """Remove a grant. The witness learns it with the next record."""
        if self._active.pop(grant_id, None) is not None:
            self._ended.append(grant_id)

    def flush_ended(self, epoch: int) -> None:
        """Tell the witness about ended grants when no new grant does so."""
        if self._witness is None or not self._ended:
            return
        ended, self._ended = tuple(self._ended), []
        self._ctx.peers.send(self._witness, WitnessRecord(epoch, (), ended))

    async def record(self, grants: Sequence[SlotGrant], hold_ms: float) -> bool:
        """Record grants before their use.

        Parameters
        ----------
        hold_ms
            Longest time from now during which the slots may be in use.

        Returns
        -------
        bool
            False when a witness knows a newer epoch, so that the grants must not be used. True
            when a witness has them, or when no instance of the domain is connected.
        """
        until_ms = self._ctx.clock.now_ms() + hold_ms
        for grant in grants:
            self._active[grant.grant_id] = (grant, until_ms)
        refused: set[str] = set()
        while (witness := self._choose(refused)) is not None:
            accepted = await self._send(witness, grants)
            if accepted is not None:
                return accepted
            refused.add(witness)
        return True

    def _choose(self, refused: set[str]) -> str | None:
        """Keep the witness while it is connected, so that one instance has all records."""
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

    async def _send(self, witness: str, grants: Sequence[SlotGrant]) -> bool | None:
        now_ms = self._ctx.clock.now_ms()
        if witness != self._witness:
            items = [item for item in self._active.values() if item[1] > now_ms]
        else:
            items = [self._active[g.grant_id] for g in grants if g.grant_id in self._active]
        ended, self._ended = tuple(self._ended), []
        message = WitnessRecord(
            grants[0].epoch,
            tuple(
                WitnessedGrant(grant.grant_id, grant.service, grant.endpoint, until_ms - now_ms)
                for grant, until_ms in items
            ),
            ended,
        )
        answer = await self._ctx.peers.request(witness, message, RECORD_TIMEOUT_MS)
        if not isinstance(answer, Ok) or not isinstance(answer.ok_value, WitnessAnswer):
            return None
        self._witness = witness
        return answer.ok_value.accepted

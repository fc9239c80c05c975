"""Grants that a leader records with a witness instance."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from result import Ok, Result

from nutmeglb._internal.context import MemberState
from nutmeglb._internal.routing.witness import WitnessedGrants
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.wire.routing import WitnessAnswer, WitnessedGrant, WitnessRecord

HOLD_MS = 1_000.0


class Peers:
    """Peers that accept every record, and the records that each of them received."""

    def __init__(self) -> None:
        self.reachable = ["b", "c"]
        self.records: dict[str, list[WitnessRecord]] = {"b": [], "c": []}

    def members(self, domain: str) -> list[Any]:
        return [SimpleNamespace(instance_id=n, state=MemberState.LIVE) for n in self.records]

    def connected(self, instance_id: str) -> bool:
        return instance_id in self.reachable

    def send(self, instance_id: str, message: WitnessRecord) -> None:
        self.records[instance_id].append(message)

    async def request(
        self, instance_id: str, message: WitnessRecord, timeout_ms: float
    ) -> Result[WitnessAnswer, None]:
        self.send(instance_id, message)
        return Ok(WitnessAnswer(accepted=True))


class Leader:
    """Leader with a grant recorder and a clock that the test sets."""

    def __init__(self) -> None:
        self.peers, self.clock = Peers(), ManualClock(0.0)
        ctx = SimpleNamespace(instance_id="a", domain="d", peers=self.peers, clock=self.clock)
        self.grants = WitnessedGrants(cast(Any, ctx))

    def record(self, *grant_ids: str) -> None:
        grants = [WitnessedGrant(item, "shop", "ep", "a", HOLD_MS) for item in grant_ids]
        assert asyncio.run(self.grants.record(1, grants))


def test_abandoned_grant_costs_no_message_and_a_new_witness_receives_it() -> None:
    """Guards the slot limit (G1) if the witness fails after the leader abandoned an exchange."""
    leader = Leader()
    leader.record("abandoned", "completed")
    leader.grants.abandon_grant("abandoned")
    leader.grants.flush_ended(1)
    assert len(leader.peers.records["b"]) == 1
    leader.grants.end_grant("completed")
    leader.grants.flush_ended(1)
    assert [record.ended for record in leader.peers.records["b"]] == [(), ("completed",)]
    leader.clock.advance(400.0)
    leader.peers.reachable.remove("b")
    leader.record()
    (record,) = leader.peers.records["c"]
    assert [(item.grant_id, item.hold_ms) for item in record.grants] == [("abandoned", 600.0)]


def test_abandoned_grants_are_removed_after_their_time() -> None:
    """Guards against the memory of every abandoned exchange of a leader."""
    leader = Leader()
    for number in range(50):
        leader.record(str(number))
        leader.grants.abandon_grant(str(number))
        leader.clock.advance(HOLD_MS / 4)
    assert sorted(leader.grants._active_grants, key=int) == ["46", "47", "48", "49"]

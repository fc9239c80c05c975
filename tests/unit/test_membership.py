"""Membership: guards against new work for silent or leaving instances, and wrong relays."""

import pytest

from nutmeglb_decisions.membership import Membership
from nutmeglb_formats.models.instances import Instance, InstanceRole, InstanceState, MemberState
from nutmeglb_formats.wire.membership import Heartbeat

SUSPECT_MS = 3_000.0


def entry(instance_id: str, domain: str, state: InstanceState = InstanceState.LIVE) -> Instance:
    return Instance(instance_id, InstanceRole.ENTRY, domain, f"{instance_id}:1", state)


def heartbeat(domain: str, **fields: object) -> Heartbeat:
    return Heartbeat(domain, "peer:1", "admin:1", **fields)


def make_membership(*names: str, own: str = "a1") -> Membership:
    membership = Membership(own, own[0], SUSPECT_MS)
    membership.on_platform_list([entry(name, name[0]) for name in names], 0.0)
    return membership


def state_of(membership: Membership, instance_id: str) -> MemberState | None:
    member = membership.member(instance_id)
    return member.state if member else None


@pytest.mark.parametrize(
    ("last_heartbeat_ms", "leaving", "now_ms", "expected"),
    [
        (None, False, 0.0, MemberState.SUSPECTED),
        (0.0, False, 2_999.0, MemberState.LIVE),
        (0.0, False, 3_000.0, MemberState.SUSPECTED),
        (0.0, True, 10.0, MemberState.LEAVING),
        (0.0, True, 3_000.0, MemberState.SUSPECTED),
    ],
)
def test_state_follows_heartbeats(
    last_heartbeat_ms: float | None, leaving: bool, now_ms: float, expected: MemberState
) -> None:
    membership = make_membership("a1", "a2")
    if last_heartbeat_ms is not None:
        membership.on_heartbeat("a2", heartbeat("a", leaving=leaving), last_heartbeat_ms)
    membership.advance(now_ms)
    assert state_of(membership, "a2") is expected


def test_member_listed_as_leaving_is_leaving_despite_heartbeats() -> None:
    membership = make_membership("a1", "a2")
    membership.on_heartbeat("a2", heartbeat("a"), 0.0)
    changes = membership.on_platform_list([entry("a2", "a", InstanceState.LEAVING)], 1.0)
    assert [(change.instance_id, change.state) for change in changes] == [
        ("a2", MemberState.LEAVING)
    ]


def test_member_missing_from_the_list_is_kept_while_heartbeats_arrive() -> None:
    membership = make_membership("a1", "a2")
    membership.on_heartbeat("a2", heartbeat("a"), 0.0)
    membership.on_platform_list([], 1.0)
    assert state_of(membership, "a2") is MemberState.LIVE
    membership.advance(SUSPECT_MS)
    assert state_of(membership, "a2") is None


@pytest.mark.parametrize(
    ("leader", "own", "expected"),
    [("", "a1", True), ("a2", "a1", False), ("a2", "a2", True), ("gone", "a1", True)],
)
def test_relay_is_the_leader_or_the_lowest_live_id(leader: str, own: str, expected: bool) -> None:
    membership = make_membership("a1", "a2", own=own)
    for other in {"a1", "a2"} - {own}:
        membership.on_heartbeat(other, heartbeat("a"), 0.0)
    membership.set_leader("a", 1, leader)
    assert membership.is_relay() is expected


def test_older_epoch_does_not_replace_the_leader() -> None:
    membership = make_membership("a1", "a2")
    membership.on_heartbeat("a2", heartbeat("a", leader="a2", leader_epoch=7), 0.0)
    membership.on_heartbeat("a3", heartbeat("a", leader="a3", leader_epoch=6), 0.0)
    assert membership.leader_of("a") == (7, "a2")


def test_only_one_side_of_each_pair_connects() -> None:
    names = ("a1", "a2", "b1", "b2")
    connections = set()
    for own in names:
        membership = make_membership(*names, own=own)
        for other in names:
            if other != own and other[0] == own[0]:
                membership.on_heartbeat(other, heartbeat(other[0]), 0.0)
        connections |= {(own, target) for target in membership.dial_targets()}
    assert connections == {("a1", "a2"), ("b1", "b2"), ("a1", "b1")}


def test_relay_of_avoids_unreachable_instances_and_follows_the_relay_of_its_domain() -> None:
    membership = make_membership("a1", "a2", "b1", "b2", own="a2")
    assert membership.relay_of("b") == "b1"
    assert membership.relay_of("b", {"b1"}) == "b2"
    membership.on_heartbeat("a1", heartbeat("a", relays={"b": "b2"}), 0.0)
    assert membership.relay_of("b") == "b2"
    assert membership.relay_of("c") is None


def test_connected_instance_is_a_relay_although_a_connection_attempt_failed() -> None:
    membership = make_membership("a1", "b1")
    membership.on_heartbeat("b1", heartbeat("b"), 0.0)
    membership.on_connection("b1", True, 0.0)
    assert membership.relay_of("b", {"b1"}) == "b1"

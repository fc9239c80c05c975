"""A leader on a weak machine hands over to a follower on a stronger one."""

import asyncio

import pytest

from nutmeglb_decisions.queues.succession import (
    CONSECUTIVE_CHECKS,
    FULL_STRENGTH,
    SuccessorSelector,
)
from tests.lib.queue_path import job_body, run_scenario

JOBS = [f"{number:016x}" for number in range(8)]
WEAK_MBPS = 10.0
STRONG_MBPS = 1_000.0
# Several renewal intervals long.
REVOKE_DELAY_S = 0.5
# The runs of a chain take longer in total than a weak leader waits before a handover.
CHAIN = [
    {"count": 2, "cpu": 500, "estimate_ms": 700, "after": [n - 1] if n else []} for n in range(7)
]


def test_weak_leader_hands_over_to_a_stronger_follower():
    """Guards against an idle cell after a weak machine was elected while others restarted."""

    async def scenario(path):
        for runner in path.runners:
            runner.data.run_ms = 700.0
        for job_id in JOBS:
            assert (await path.call("POST", job_id, job_body(steps=CHAIN)))[0] == 200
        strong = await path.add_entry("strong", STRONG_MBPS)
        await path.until(lambda: strong.node.is_leading)
        for job_id in JOBS:
            await path.until_state(job_id, "completed", entry=1)
        tasks = [task for task, _ in path.starts]
        assert len(tasks) == len(set(tasks)) == sum(step["count"] for step in CHAIN) * len(JOBS)

    run_scenario(scenario, entries=1, link_mbps=WEAK_MBPS)


def test_leader_whose_lease_is_revoked_slowly_stays_in_cooldown_after_the_handover():
    """Guards against a weak leader that campaigns again at once, as if it had lost the store."""

    async def scenario(path):
        weak, held = path.leader.node, path.leader.node._election
        revoke_lease = held._store.lease_revoke

        async def revoke_lease_slowly(lease):
            await asyncio.sleep(REVOKE_DELAY_S)
            return await revoke_lease(lease)

        held._store.lease_revoke = revoke_lease_slowly
        await weak._hand_over()
        assert held.term is None
        assert held.strength == 0.0

    run_scenario(scenario, entries=1, link_mbps=WEAK_MBPS)


@pytest.mark.parametrize(
    ("own", "checks", "follower"),
    [
        (0.4, [{"a": 1.0}] * CONSECUTIVE_CHECKS, "a"),
        (0.4, [{"a": 1.0}] * (CONSECUTIVE_CHECKS - 1), ""),
        (0.4, [{"a": 1.0}, {}, *[{"a": 1.0}] * (CONSECUTIVE_CHECKS - 1)], ""),
        (0.4, [{"a": 1.0}, {"a": 0.0}, *[{"a": 1.0}] * (CONSECUTIVE_CHECKS - 1)], ""),
        (0.4, [{"a": 0.7, "b": 1.0}] * CONSECUTIVE_CHECKS, "b"),
        (0.4, [{"a": 0.6}] * (CONSECUTIVE_CHECKS + 1), ""),
        (0.9, [{"a": FULL_STRENGTH}] * (CONSECUTIVE_CHECKS + 1), ""),
    ],
    ids=["stable", "too early", "away", "draining", "strongest", "small gain", "strong enough"],
)
def test_leader_hands_over_only_to_a_follower_that_stays_stronger(own, checks, follower):
    """A change of leader interrupts work for one second, so the gain must be large enough."""
    succession = SuccessorSelector()
    successor = ""
    for strengths in checks:
        successor = succession.choose_successor(own, strengths)
    assert successor == follower

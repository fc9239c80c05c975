"""Time for which a new leader waits for orders of a former one."""

from dataclasses import replace

import pytest

from tests.lib.queue_path import run_scenario

LONG_MS = 60_000.0


@pytest.mark.parametrize(
    ("age_ms", "ends", "no_former_orders"),
    [(LONG_MS, "planned", True), (-LONG_MS, "planned", False), (LONG_MS, "lost", False)],
    ids=["resigned", "resigned early", "lost"],
)
def test_successor_waits_only_for_orders_that_may_still_be_sent(age_ms, ends, no_former_orders):
    """Guards against work that is idle for seconds after each planned handover.

    A leader that resigns early in its term cannot tell whether its predecessor may still send
    orders.
    """

    async def scenario(path):
        former = path.leader
        other = next(entry for entry in path.entries if entry is not former)
        held = former.node._election
        claimed_ms = held._clock.now_ms() - age_ms
        held._term = replace(held.term, claimed_ms=claimed_ms)
        if ends == "planned":
            await former.node.drain(former.frontend)
        else:
            await held.stop()
            await held.step_down("lost")
        await path.until(lambda: other.node.is_leading)
        term, leader = other.node._election.term, other.node._leader
        assert (term.number, term.no_former_orders) == (1, no_former_orders)
        orders_until_ms = leader.cell.takeover_wait_deadline_ms - leader.cell.lease_expiry_after_ms
        if no_former_orders:
            assert orders_until_ms <= leader.cell.started_ms
        else:
            assert orders_until_ms >= term.claimed_ms + held._settings.authority_ms

    run_scenario(scenario)

"""Tasks on workers that have crashed start again as soon as it is proved that they do not run."""

import asyncio

import pytest

from nutmeglb_decisions.queues import lifecycle, orders
from nutmeglb_decisions.queues.orders import StartOutcome
from tests.lib.queues import CellWorld, job, step, worker_info
from tests.lib.worker_link import Link

JOB = "00000000000000aa"
STARTED, UNKNOWN = StartOutcome.STARTED, StartOutcome.UNKNOWN
NOT_DELIVERED = StartOutcome.NOT_DELIVERED


def world_with_started_gang(count=3, workers=4):
    """Return a world with a gang of one task per worker, and its unanswered start orders."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n + 1}") for n in range(workers)))
    world.add(job(JOB, step(count, cpu=16_000, gang=True)))
    world.schedule()
    world.schedule()
    started, world.started = world.started, []
    assert len(started) == count
    return world, started


@pytest.mark.parametrize(
    ("outcome", "certain", "restarts"),
    [
        (NOT_DELIVERED, True, True),
        # An earlier copy of the order may still be carried out.
        (NOT_DELIVERED, False, False),
        (UNKNOWN, False, False),
    ],
)
def test_gang_with_one_member_that_was_not_delivered_starts_again_at_once(
    outcome, certain, restarts
):
    """Guards against a gang that is held for a lease by each dead worker that it is placed on."""
    world, (*healthy, dead) = world_with_started_gang()
    for order in healthy:
        world.answer(order, STARTED)
    world.answer(dead, outcome, certain)
    for order in healthy:
        world.end(order, "stopped")
    world.now_ms += 250.0
    world.schedule()
    assert (len(world.started) == 3) == restarts
    assert dead.worker_id not in {order.worker_id for order in world.started}
    assert {order.run for order in world.started} <= {dead.run + 1}


@pytest.mark.parametrize(
    ("answers", "orders_sent", "holds_task"),
    [
        ([NOT_DELIVERED], 1, False),
        ([UNKNOWN, NOT_DELIVERED], 2, True),
        ([UNKNOWN, UNKNOWN], 2, True),
    ],
)
def test_order_that_reached_no_worker_ends_its_run(answers, orders_sent, holds_task):
    link = Link(answers)
    asyncio.run(link.link.start(link.order))
    assert len(link.sent) == orders_sent
    assert bool(link.worker.runs) == holds_task
    link.clock.advance(250.0)
    assert not link.worker.accepts_starts(link.clock.now_ms())


@pytest.mark.parametrize(
    ("outcome", "certain", "restarts"),
    [
        (NOT_DELIVERED, True, True),
        (StartOutcome.UNHEALTHY, True, True),
        (NOT_DELIVERED, False, False),
    ],
)
def test_gang_with_several_members_on_a_dead_worker_starts_again_at_once(
    outcome, certain, restarts
):
    """Guards against members that are held because another one's refusal was applied first."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n + 1}") for n in range(2)))
    world.add(job(JOB, step(2, cpu=8_000, gang=True)))
    world.schedule()
    world.schedule()
    refused, world.started = world.started, []
    assert len({order.worker_id for order in refused}) == 1
    world.answer(refused[0], outcome)
    world.answer(refused[1], outcome, certain)
    world.now_ms += 250.0
    world.schedule()
    assert len(world.started) == (2 if restarts else 0)


def test_order_that_was_stopped_before_it_was_sent_does_not_hold_its_task():
    """Guards against a task that waits for a dead worker to confirm a stop of nothing."""
    link = Link()
    (run,) = link.worker.runs.values()
    lifecycle.stop_run(link.world.cell, run)
    asyncio.run(link.link.start(link.order))
    assert link.sent == []
    assert not link.worker.runs


def test_gang_does_not_plan_its_start_on_a_silent_worker():
    """Guards against a gang that waits for a worker that has crashed while others become free."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(3)))
    world.add(job("b", step(2, cpu=10_000, estimate_ms=5_000.0)))
    world.schedule()
    busy = {order.worker_id for order in world.answer_starts()}
    gang = world.add(job(JOB, step(2, cpu=16_000, gang=True)))
    world.schedule()
    (idle,) = {"w0", "w1", "w2"} - busy
    assert idle in gang.steps[0].plan.counts
    orders.unanswered(world.cell, world.worker(idle), world.now_ms)
    world.now_ms += 100.0
    world.schedule()
    assert gang.steps[0].plan.counts.keys() == busy

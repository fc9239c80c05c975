"""Work starts on free capacity although hundreds of better-ranked steps cannot start."""

from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import placing
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_formats.models.queues import AdviceTiming
from tests.lib.queues import ADVISED, URGENT, CellWorld, job, step, worker_info

WORKERS = 176
STEPS_AHEAD = 400
# Passes run about every 10 ms, so this is well under a second.
PASSES = 20
MIN_PAUSE_MS = 10.0
FIRST_QUEUE = replace(
    URGENT, name="first", prefix="/first/", advice=AdviceTiming(14.0, 0.2, 1_500.0)
)
LAST_QUEUE = replace(ADVISED, name="last", prefix="/last/", priority=2)


@pytest.fixture
def large_world():
    world = CellWorld()
    world.show(*(worker_info(f"w{n:03}") for n in range(WORKERS)))
    for worker in world.cell.workers.values():
        worker.charge(step(cpu=8_000).charged)
    return world


def add_step_with_tickets(world, job_id, spec, queue, *, stored):
    """Add a job whose step has tickets for all workers, and return the step."""
    (added_step,) = world.add(job(job_id, spec, queue=queue)).steps
    expires_at_ms = world.now_ms + 1_500.0
    added_step.advice.good = added_step.selected = set(world.cell.workers)
    added_step.advice.asked = {w.worker_id: w.info.started_ms for w in world.cell.workers.values()}
    added_step.advice.tickets = dict.fromkeys(world.cell.workers, ("t", expires_at_ms))
    added_step.recorded = set(added_step.selected) if stored else set()
    return added_step


def add_step_with_unstored_workers(world, number):
    add_step_with_tickets(world, f"j{number}", step(2), FIRST_QUEUE, stored=False)


def add_step_larger_than_free_capacity(world, number):
    add_step_with_tickets(world, f"j{number}", step(2, cpu=9_000), FIRST_QUEUE, stored=True)


def add_gang_beyond_the_advice_budget(world, number):
    world.add(job(f"j{number}", step(20, cpu=4_500, gang=True), queue=ADVISED))
    world.cell.advice_calls["other"] = (world.now_ms + 60_000.0, 1e9)


@pytest.mark.parametrize(
    "add_ahead",
    [
        add_step_with_unstored_workers,
        add_step_larger_than_free_capacity,
        add_gang_beyond_the_advice_budget,
    ],
)
def test_work_that_fits_starts_despite_better_ranked_steps_that_cannot(large_world, add_ahead):
    """Guards against idle jobs that no pass ever reaches."""
    for number in range(STEPS_AHEAD):
        add_ahead(large_world, number)
    last = add_step_with_tickets(large_world, "last", step(4), LAST_QUEUE, stored=True)
    started = []
    for _ in range(PASSES):
        placing.schedule(
            large_world.cell, 4, large_world.rng, large_world.now_ms, large_world.now_ms
        )
        started += [e.task for e in large_world.cell.take_effects() if isinstance(e, StartTask)]
        large_world.now_ms += MIN_PAUSE_MS
    assert {task for task in started if task.startswith("last.")} == {
        last.task_name(index) for index in range(4)
    }

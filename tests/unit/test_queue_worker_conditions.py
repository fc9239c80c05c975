"""Waiting steps name the condition that keeps starts away from each of their workers."""

import pytest

from nutmeglb_decisions.queues import orders, waiting
from nutmeglb_decisions.queues.cell import KeptWorker
from nutmeglb_decisions.queues.state import Isolation
from nutmeglb_decisions.queues.worker_conditions import Condition, condition_of, summarize
from tests.lib.queues import CellWorld, job, step, worker_info

AGE_MS = 300.0


def be_silent(world, worker):
    orders.unanswered(world.cell, worker, world.now_ms)


def have_stray_runs(world, worker):
    worker.stray_runs[("x.0.0.0", 1)] = None


def be_unsettled(world, worker):
    worker.settled = False
    worker.first_answer_ms = world.now_ms


def have_an_old_entry(world, worker):
    worker.starts_until_ms = world.now_ms


def be_avoided(world, worker):
    worker.avoided_until_ms = world.now_ms + 9_000.0


def be_kept_to_empty(world, worker):
    (added,) = world.cell.jobs["a"].steps
    worker.set_kept(True)
    world.cell.kept_workers["w1"] = KeptWorker(added, added.tasks[0], world.now_ms)


def be_kept_until_proved(world, worker):
    be_kept_to_empty(world, worker)
    (run,) = worker.runs.values()
    run.isolation, run.ordered_ms = Isolation.UNTIL_PROVED, world.now_ms


def be_kept_for_run(world, worker):
    be_kept_until_proved(world, worker)
    (run,) = worker.runs.values()
    run.isolation = Isolation.WHOLE_RUN


def be_used(world, worker):
    worker.charge(step(1, 15_000).charged)


@pytest.mark.parametrize(
    ("hold", "condition", "age_ms"),
    [
        (be_silent, Condition.SILENT, AGE_MS),
        (be_unsettled, Condition.UNSETTLED, AGE_MS),
        (have_stray_runs, Condition.STRAY_RUNS, 0.0),
        (have_an_old_entry, Condition.OLD_ENTRY, AGE_MS),
        (be_avoided, Condition.AVOIDED, 0.0),
        (be_kept_to_empty, Condition.KEPT_TO_EMPTY, AGE_MS),
        (be_kept_until_proved, Condition.KEPT_UNTIL_PROVED, AGE_MS),
        (be_kept_for_run, Condition.KEPT_FOR_RUN, AGE_MS),
        (be_used, Condition.USED, 0.0),
    ],
)
def test_first_condition_that_keeps_starts_away_is_named(hold, condition, age_ms):
    """Guards against a wait of which the log does not tell what holds it."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    added = world.add(job("a", step(1, 1_000)))
    world.schedule()
    (order,) = world.answer_starts()
    worker = world.worker(order.worker_id)
    assert condition_of(world.cell, worker, world.now_ms) is None
    world.cell.workers["w1"] = worker
    hold(world, worker)
    world.now_ms += AGE_MS
    assert condition_of(world.cell, worker, world.now_ms) == (condition, world.now_ms - age_ms)
    text = summarize(world.cell, [worker], world.now_ms)
    assert text == f"{condition}:1:{age_ms:.0f}"
    assert text in waiting.explain(world.cell, added.steps[0], world.now_ms).held_in_service

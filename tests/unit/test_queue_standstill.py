"""Log lines that explain why accepted jobs are idle."""

import pytest

from nutmeglb_decisions.queues import orders, waiting
from nutmeglb_decisions.queues.idle_jobs import POLL_INTERVAL_MS, UNRESOLVED_MS, IdleJobMonitor
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.waiting import RUNS_ON_SILENT_WORKERS
from tests.lib.queues import ADVISED, BATCH, CellWorld, job, step, worker_info


def world_with_waiting_job(count, queue=BATCH, **changes):
    """Return a world with two workers and a waiting job."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job("a", step(count, **changes), queue=queue))
    return world


def decisions_of_polls(world, *intervals_ms):
    """Return kind, cause and fields of the decisions that polls at these intervals log."""
    monitor = IdleJobMonitor()
    world.cell.take_decisions()
    for duration_ms in (0.0, *intervals_ms):
        world.now_ms += duration_ms
        monitor.poll(world.cell, world.now_ms)
    decisions = world.cell.take_decisions()
    return [(d.kind, d.cause, dict(d.fields)) for d in decisions]


@pytest.mark.parametrize(
    ("prepare", "cause", "expected_fields"),
    [
        (lambda world: None, "advice not requested yet", {"asked": 0, "good": 0}),
        (lambda world: world.schedule(), "advice call outstanding", {"call_left_ms": 1_354}),
        (
            lambda world: (world.schedule(), world.advise(world.asked[0])),
            "advice approved no worker",
            {"asked": 2, "good": 0},
        ),
        (
            lambda world: (world.schedule(), world.advise(world.asked[0], "w1")),
            "no valid ticket",
            {"good": 1},
        ),
    ],
)
def test_idle_job_beside_free_capacity_is_explained(prepare, cause, expected_fields):
    world = world_with_waiting_job(2, queue=ADVISED)
    prepare(world)
    ((kind, logged_cause, fields),) = decisions_of_polls(world, POLL_INTERVAL_MS)
    assert (kind, logged_cause) == ("job_idle", cause)
    assert fields["idle_ms"] == POLL_INTERVAL_MS
    assert fields["used_share"] == 0.0
    assert expected_fields.items() <= fields.items()


@pytest.mark.parametrize(
    ("prepare", "polls_ms"),
    [
        (lambda world: None, ()),
        (lambda world: world.schedule(), (POLL_INTERVAL_MS,)),
        (
            lambda world: [w.charge(w.free) for w in world.cell.workers.values()],
            (POLL_INTERVAL_MS,),
        ),
    ],
    ids=["idle too briefly", "running", "no free capacity"],
)
def test_job_that_is_not_idle_is_not_logged(prepare, polls_ms):
    world = world_with_waiting_job(2)
    prepare(world)
    assert decisions_of_polls(world, *polls_ms) == []


@pytest.mark.parametrize(
    ("reports", "cause"),
    [
        (True, "its start order has no outcome"),
        (False, "its worker does not report, and its lease has not expired"),
    ],
)
def test_run_without_an_outcome_is_logged(reports, cause):
    world = world_with_waiting_job(1)
    world.schedule()
    world.now_ms += UNRESOLVED_MS + 1.0
    if reports:
        for worker_id in ("w1", "w2"):
            world.report(worker_id, running=())
    ((kind, logged_cause, fields),) = decisions_of_polls(world)
    assert (kind, logged_cause, fields["state"]) == ("run_unresolved", cause, "ordered")


def test_long_run_with_reports_is_not_logged():
    world = world_with_waiting_job(1)
    world.schedule()
    (order,) = world.answer_starts(StartOutcome.STARTED)
    world.now_ms += UNRESOLVED_MS + 1.0
    world.report(order.worker_id)
    assert decisions_of_polls(world) == []


def world_with_lost_worker(world):
    """Let the worker of the only run of a step fall silent."""
    world.schedule()
    (order,) = world.answer_starts()
    orders.unanswered(world.cell, world.worker(order.worker_id), world.now_ms)


@pytest.mark.parametrize(
    ("prepare", "queue", "changes", "cause", "expected_fields"),
    [
        (
            world_with_lost_worker,
            BATCH,
            {},
            RUNS_ON_SILENT_WORKERS,
            {"held_runs": 1, "lease_left_ms": 2_300, "cause_for_ms": 0},
        ),
        (
            lambda world: (
                world.schedule(),
                world.advise(world.asked[0], "w1"),
                world.worker("w1").charge(world.worker("w1").free),
            ),
            ADVISED,
            {},
            "no valid ticket",
            {"full": 1, "unasked_roomy": 0, "ends": "the next advice call"},
        ),
        (
            lambda world: (
                [w.charge(w.free) for w in world.cell.workers.values()],
                world.schedule(),
                setattr(world, "now_ms", world.now_ms + 15_000.0),
                world.schedule(),
            ),
            BATCH,
            {"gang": True},
            "no free capacity",
            {"unplanned": "too late to be useful"},
        ),
    ],
    ids=["run on a silent worker", "approved worker is full", "gang without a plan"],
)
def test_log_line_of_a_waiting_step_names_the_condition_that_holds_it(
    prepare, queue, changes, cause, expected_fields
):
    """Guards against a wait whose cause, duration and end cannot be found in the logs."""
    world = world_with_waiting_job(1, queue, **changes)
    prepare(world)
    world.cell.take_decisions()
    world.now_ms += 4_000.0
    waiting.log_long_waits(world.cell, world.now_ms)
    (line,) = [d for d in world.cell.take_decisions() if d.kind == "step_waiting"]
    assert line.cause == cause
    assert dict(line.fields)["ends"]
    assert expected_fields.items() <= dict(line.fields).items()

"""What the log tells of a worker that did not answer for a while."""

import pytest

from nutmeglb_decisions.queues import orders, silent_workers
from nutmeglb_decisions.queues.silent_workers import ClockGap
from nutmeglb_formats.models.queues import EndedTask, RunningTask, WorkerReport
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info


def world_with_run():
    world = CellWorld()
    world.show(worker_info())
    world.add(job("a", step(), queue=BATCH))
    world.schedule()
    (order,) = world.started
    return world, world.worker("w1"), order


def lines_of(world, kind):
    return [line for line in world.cell.take_decisions() if line.kind == kind]


@pytest.mark.parametrize(
    ("calls", "counted"),
    [
        ([], 0),
        ([(True, False)], 1),
        ([(True, False), (True, False)], 2),
        # A call on a kept connection shows nothing new.
        ([(True, False), (False, False)], 1),
        ([(True, False), (False, True)], 0),
    ],
)
def test_calls_that_a_silent_worker_accepts_are_counted(calls, counted):
    world, worker, _ = world_with_run()
    for is_connected, is_refused in calls:
        silent_workers.record_unanswered(worker, is_connected, is_refused)
    assert worker.connected_calls == counted
    silent_workers.record_answer(
        world.cell, worker, WorkerReport(0.0, worker.started_ms, (), ()), None, world.now_ms
    )
    assert worker.connected_calls == 0


@pytest.mark.parametrize(
    ("listed", "ended", "running", "done"),
    [
        (True, (), 1, 0),
        (False, ("done",), 0, 1),
        (False, ("lapsed",), 0, 0),
        (False, (), 0, 0),
    ],
)
def test_first_answer_after_a_silence_shows_what_became_of_presumed_ends(
    listed, ended, running, done
):
    world, worker, order = world_with_run()
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(60_000.0)
    report = WorkerReport(
        500.0,
        worker.started_ms,
        (RunningTask(order.task, order.run, "", 100, 0),) if listed else (),
        tuple(EndedTask(1, order.task, order.run, outcome, "") for outcome in ended),
    )
    world.cell.take_decisions()
    silent_workers.record_answer(world.cell, worker, report, ClockGap(500.0, 9_000.0), world.now_ms)
    (line,) = lines_of(world, "worker_answers_again")
    fields = dict(line.fields)
    assert line.cause == "same incarnation"
    assert (fields["presumed_but_running"], fields["presumed_but_done"]) == (running, done)
    assert (fields["worker_clock_ms"], fields["leader_clock_ms"]) == (500, 9_000)
    assert fields["silent_for_ms"] == 60_000


def test_answer_without_a_silence_is_not_logged():
    world, worker, _ = world_with_run()
    report = WorkerReport(0.0, worker.started_ms, (), ())
    silent_workers.record_answer(world.cell, worker, report, None, world.now_ms)
    assert not lines_of(world, "worker_answers_again")

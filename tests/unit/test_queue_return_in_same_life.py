"""What happens when a worker that was presumed lost answers in the same life, with its run."""

import pytest

from nutmeglb_decisions.queues import orders
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.models.queues import RunningTask
from tests.lib.queues import CellWorld, job, step, worker_info

LAPSED_MS = 6_500.0
SILENCE_MS = 1_000.0


def world_with_second_run(is_second_answered):
    """Return a world, the first run of its task, whose lease has lapsed, and the second one."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job("a", step()))
    world.schedule()
    (first,) = world.answer_starts()
    world.report(first.worker_id)
    world.tick(SILENCE_MS)
    orders.unanswered(world.cell, world.worker(first.worker_id), world.now_ms)
    world.tick(LAPSED_MS)
    world.schedule()
    (second,) = world.started
    assert second.worker_id != first.worker_id and second.run > first.run
    if is_second_answered:
        world.answer(second, StartOutcome.STARTED)
    return world, first, second


def stopped_runs(world):
    """Return the runs for which a pass orders a stop."""
    world.stopped.clear()
    world.schedule()
    return {(stop.worker_id, stop.run) for stop in world.stopped}


def line_kinds(world):
    return [line.kind for line in world.cell.take_decisions()]


def running(order):
    return (RunningTask(order.task, order.run, "", 50),)


@pytest.mark.parametrize("is_second_answered", [False, True])
def test_first_run_is_stopped_if_it_is_still_active(is_second_answered):
    """The next pass after the first report orders the stop. The second run continues."""
    world, first, _ = world_with_second_run(is_second_answered)
    world.report(first.worker_id, running=running(first))
    assert stopped_runs(world) == {(first.worker_id, first.run)}
    kinds = line_kinds(world)
    assert "stray_run" in kinds and "presumed_end_contradicted" in kinds
    assert not world.worker(first.worker_id).accepts_starts(world.now_ms)


@pytest.mark.parametrize("is_second_answered", [False, True])
def test_second_run_is_stopped_if_the_first_has_ended_done(is_second_answered):
    world, first, second = world_with_second_run(is_second_answered)
    world.report(first.worker_id, ((first.task, first.run, "done", ""),), running=())
    assert stopped_runs(world) == {(second.worker_id, second.run)}
    assert world.cell.finished["a"].state == "completed"


@pytest.mark.parametrize("first_ends_first", [True, False])
def test_end_of_the_other_run_as_done_changes_nothing(first_ends_first):
    """Both may end as done, since a run that is being stopped may complete. One end counts."""
    world, first, second = world_with_second_run(True)
    world.report(first.worker_id, running=running(first))
    ends = [first, second] if first_ends_first else [second, first]
    for order in ends:
        world.report(order.worker_id, ((order.task, order.run, "done", ""),), running=())
    assert world.cell.finished["a"].state == "completed"
    assert line_kinds(world).count("step_completed") == 1
    assert not any(worker.runs or worker.stray_runs for worker in world.cell.workers.values())
    assert all(not worker.used.cpu_millis for worker in world.cell.workers.values())


@pytest.mark.parametrize("is_placed_again", [False, True])
def test_run_is_kept_if_its_task_has_not_started_again(is_placed_again):
    """The run is adopted while its task waits, and replaced otherwise."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step()))
    world.schedule()
    (first,) = world.answer_starts()
    world.tick(SILENCE_MS)
    orders.unanswered(world.cell, world.worker("w1"), world.now_ms)
    world.tick(LAPSED_MS)
    if is_placed_again:
        world.show(worker_info("w1"), worker_info("w2"))
        world.schedule()
    world.report("w1", running=running(first))
    assert ("w1" in {worker_id for worker_id, _ in stopped_runs(world)}) == is_placed_again
    assert ((first.task, first.run) in world.worker("w1").runs) != is_placed_again

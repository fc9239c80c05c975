"""Losses that no leader has seen do not add up for tasks that have never been started."""

from nutmeglb_formats.models.queues import RunningTask
from tests.lib.queues import CellWorld, job, step, worker_info
from tests.unit.test_queue_worker_losses import next_leader


def full_worker_with_waiting_tasks(tasks: int) -> CellWorld:
    """Return a world with one running task, while the others wait for the only worker.

    Another worker of the step was lost when this leader took over.
    """
    world = CellWorld()
    world.show(worker_info("w1", 1_000))
    added = world.add(job("a", step(tasks, 1_000, estimate_ms=60_000.0)))
    world.schedule()
    world.answer_starts()
    world.tick(1_000.0)
    world.report("w1")
    added.steps[0].may_have_lost_runs = True
    world.schedule()
    return world


def complete_running_task(world: CellWorld) -> None:
    """Report the end of the running task, and start the next one."""
    ((task, number),) = world.worker("w1").runs
    world.report("w1", ((task, number, "done", ""),))
    world.schedule()
    world.answer_starts()
    world.tick(1_000.0)
    world.report("w1")


def replace_leader(world: CellWorld, term: int) -> CellWorld:
    """Return the world of the next leader, to which the worker has reported its run."""
    running = tuple(RunningTask(task, run, "", 10) for task, run in world.worker("w1").runs)
    successor = next_leader(world, term)
    successor.show(worker_info("w1", 1_000))
    successor.report("w1", running=running)
    successor.tick(1_000.0)
    successor.report("w1")
    successor.schedule()
    return successor


def test_numbers_are_reserved_only_for_tasks_that_are_about_to_start():
    """Guards against one loss more per change of leader for each task that only waits."""
    world = full_worker_with_waiting_tasks(8)
    complete_running_task(world)
    tasks = world.cell.jobs["a"].steps[0].tasks
    reserved = [task.index for task in tasks if task.losses and task.losses.reserved_run]
    assert reserved == [task.index for task in tasks if task.run is not None]


def test_changes_of_leader_do_not_give_up_tasks_that_were_never_started():
    """Guards against a healthy job that is shown as failed after some changes of leader."""
    world = full_worker_with_waiting_tasks(8)
    for term in range(1, 6):
        complete_running_task(world)
        assert world.cell.jobs["a"].final is None
        world = replace_leader(world, term)
        given_up = [line for line in world.cell.take_decisions() if line.kind == "task_given_up"]
        assert not given_up

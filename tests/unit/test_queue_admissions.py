"""An admission of the gates is used up by the run that it was given for, ordered or not yet."""

import pytest

from nutmeglb_decisions.queues import placing, run_numbers
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.task_losses import ASSUMED, Loss, TaskLosses
from tests.lib.queues import job, step, worker_info
from tests.unit.test_queue_quotas import running, team_world

CPU = 9_000
SUSPECT = Loss(is_proved=True, is_suspect=True, was_alone=False)


def world_with_losses(room: int, tasks: int, loss: Loss | None, gang: bool = False):
    """Return a world whose tasks were lost before, with durable workers, and its step."""
    world = team_world(workers=6, a=CPU * room)
    added = world.add(job("lost", step(tasks, cpu=CPU, gang=gang), team="a")).steps[0]
    added.has_proved_task = True
    added.recorded = added.selected = set(world.cell.workers)
    for task in added.tasks if loss is not None else ():
        task.losses = TaskLosses({1: loss})
        task.last_run = 1
        added.lossy_tasks.add(task.index)
    world.store()
    return world, added


def run_pass(world) -> list[str]:
    """Run one pass without storing its progress, and return the tasks that it starts."""
    placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
    return [order.task for order in world.cell.take_effects() if isinstance(order, StartTask)]


@pytest.mark.parametrize("loss", [ASSUMED, SUSPECT], ids=["assumed", "suspect"])
@pytest.mark.parametrize("room", [1, 2, 3])
def test_numbers_are_reserved_for_no_more_runs_than_a_team_may_have(room, loss):
    """Guards against losses that the next leader counts for tasks that were not to start."""
    world, added = world_with_losses(room, 6, loss)
    for _ in range(3):
        assert run_pass(world) == []
        reserved = [task.index for task in added.tasks if task.losses.reserved_run]
        assert reserved == list(range(room))
    world.store()
    assert len(run_pass(world)) == room
    assert running(world, "a") == room


@pytest.mark.parametrize("gang", [False, True])
def test_run_whose_number_is_being_stored_keeps_its_admission(gang):
    """Guards against other work of the team that starts on the admission of this run."""
    world, added = world_with_losses(2, 2, ASSUMED, gang)
    world.add(job("other", step(2, cpu=CPU), team="a"))
    for _ in range(3):
        assert run_pass(world) == []
    world.store()
    assert len(run_pass(world)) == 2
    assert {run.step for worker in world.cell.workers.values() for run in worker.runs.values()} == {
        added
    }


def test_run_starts_on_a_stored_worker_although_a_better_one_has_become_free():
    """Guards against a task whose number is stored again and again instead of being ordered."""
    world, added = world_with_losses(1, 1, ASSUMED)
    assert run_pass(world) == []
    ((stored, _),) = added.tasks[0].losses.reserved_lives
    world.store()
    for worker in world.cell.workers.values():
        worker.slowness = 2.0 if worker.worker_id == stored else 0.5
    assert run_pass(world) == ["lost.0.0.0"]
    assert added.tasks[0].run.worker_id == stored


def test_gang_whose_number_is_being_stored_keeps_its_room():
    """Guards against a gang that finds its workers taken each time its number is stored."""
    world, added = world_with_losses(6, 6, ASSUMED, gang=True)
    (later,) = world.add(job("later", step(6, cpu=CPU))).steps
    later.recorded = later.selected = set(world.cell.workers)
    for _ in range(3):
        assert run_pass(world) == []
    world.store()
    assert len(run_pass(world)) == 6
    assert all(task.run for task in added.tasks)


@pytest.mark.parametrize("members", [1, 6])
def test_workers_chosen_before_remain_stored_for_a_run(members):
    """Guards against a run whose number is stored again for each choice of other workers."""
    world, added = world_with_losses(12, members, ASSUMED, gang=members > 1)
    world.show(*(worker_info(f"w{n}") for n in range(12)))
    workers = list(world.cell.workers.values())
    for first in range(len(workers) - members + 1):
        chosen = workers[first : first + members]
        run_numbers.next_number(world.cell, added, added.tasks, chosen, world.now_ms)
    lives = added.tasks[0].losses.reserved_lives
    assert set(lives) == {(each.worker_id, 1_000) for each in workers[-len(lives) :]}
    assert len(lives) == max(run_numbers.MAX_RESERVED_LIVES, 2 * members)
    world.store()
    for first in range(len(workers) - len(lives), len(workers) - members + 1):
        chosen = workers[first : first + members]
        assert run_numbers.next_number(world.cell, added, added.tasks, chosen, world.now_ms) == 2

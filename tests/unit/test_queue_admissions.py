"""An admission of the gates is used up by the run that it was given for, ordered or not yet."""

import pytest

from nutmeglb_decisions.invariants import QUOTA, require
from nutmeglb_decisions.queues import placing, quotas, run_numbers
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.state import RunState
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
    (other,) = world.add(job("other", step(2, cpu=CPU), team="a")).steps
    other.recorded = other.selected = set(world.cell.workers)
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


@pytest.mark.parametrize("room", [1, 2, 3])
@pytest.mark.parametrize("suspects", [1, 2])
def test_suspects_and_other_tasks_of_a_step_do_not_share_one_admission(room, suspects):
    """Guards against a team at its limit whose lost task ends the terms of all leaders."""
    world = team_world(a=9_000 * room)
    added = world.add(job("lost", step(6, cpu=9_000), team="a")).steps[0]
    added.has_proved_task = True
    added.recorded = set(world.cell.workers)
    added.selected = set(world.cell.workers)
    for task in added.tasks[:suspects]:
        task.losses = TaskLosses({1: Loss(is_proved=True, is_suspect=True, was_alone=False)})
        task.last_run = 1
        added.lossy_tasks.add(task.index)
        # Its number is stored while the limit of the team is reached.
        worker = world.worker(sorted(world.cell.workers)[task.index])
        run_numbers.next_number(world.cell, added, (task,), (worker,), world.now_ms)
    world.store()
    for _ in range(4):
        world.schedule()
        assert running(world, "a") <= room
        world.now_ms += 100.0
    assert running(world, "a") == room


@pytest.mark.parametrize("gang", [False, True])
def test_step_that_violates_an_invariant_is_set_aside_and_others_proceed(gang, monkeypatch):
    """Guards against one step that ends the term of each leader that places it."""
    world = team_world(a=20_000)
    bad = world.add(job("bad", step(3, cpu=6_000, gang=gang), team="a"))
    world.add(job("good", step(2, cpu=1_000)))
    record_start, started = quotas.QuotaGate.record_start, []

    def failing(gate, step):
        started.append(step)
        require(step.job is not bad or started.count(step) < 2, QUOTA, "A start exceeds the limit")
        record_start(gate, step)

    monkeypatch.setattr(quotas.QuotaGate, "record_start", failing)
    for _ in range(3):
        placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
        world.store()
    lines = [line for line in world.cell.take_decisions() if line.kind == "step_defect"]
    assert [line.job for line in lines] == ["bad"]
    assert "A start exceeds the limit" in lines[0].cause
    runs = [run for worker in world.cell.workers.values() for run in worker.runs.values()]
    assert sum(run.step.job.job_id == "good" for run in runs) == 2
    left = [run.state for run in runs if run.step.job is bad]
    assert left == [RunState.STOPPING if gang else RunState.ORDERED]
    used = sum(worker.used.cpu_millis for worker in world.cell.workers.values())
    assert used == 2 * 1_000 + 6_000

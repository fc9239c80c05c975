"""Runs on a worker that has turned slow move where their job is in time only elsewhere."""

import math

import pytest

from nutmeglb_decisions.queues import slow_runs
from nutmeglb_decisions.queues.run_progress import RunProgress
from nutmeglb_decisions.queues.state import RunState
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info

JOB = "00000000000000aa"
FACTOR = 6.0
# With the objective of its queue, a job of this declared run time has 5.4 s.
WORK_MS = 2_000.0
SLOW = math.log(FACTOR)


def world_with_slow_run(points, age_ms, temporary_log=SLOW, others=("w2",), **changes):
    """Return a world with two tasks, both on a worker that works at a sixth of its speed."""
    world = CellWorld()
    world.show(worker_info("w1"), *(worker_info(name) for name in others))
    spec = step(2, cpu=2_000, estimate_ms=WORK_MS, **changes)
    world.add(job(JOB, spec, queue=BATCH))
    world.schedule()
    world.answer_starts()
    world.tick(age_ms)
    world.report("w1")
    worker = world.worker("w1")
    speed = world.cell.speeds.of(worker)
    speed.temporary_log = temporary_log
    worker.slowness = speed.slowness
    for run in worker.runs.values():
        rate = 100 / (WORK_MS * speed.slowness)
        run.progress = RunProgress(0.0, 0, 0.0, 0, world.now_ms, points, points_per_ms=rate)
    return world


@pytest.mark.parametrize(
    ("points", "age_ms", "changes", "moved"),
    [
        (10, 1_500.0, {"checkpoints": True}, 2),
        (10, 1_500.0, {}, 2),
        # The work is lost without a checkpoint, and there is no time to do it again.
        (60, 3_000.0, {}, 0),
        (60, 3_000.0, {"checkpoints": True}, 2),
        # The job is in time on the slow worker.
        (95, 500.0, {"checkpoints": True}, 0),
        # The job is late anyway.
        (10, 5_300.0, {"checkpoints": True}, 0),
        # Half of the usual speed is no reason to throw work away.
        (10, 1_500.0, {"checkpoints": True, "temporary_log": math.log(1.9)}, 0),
        (10, 1_500.0, {"checkpoints": True, "temporary_log": 0.0}, 0),
        (10, 1_500.0, {"checkpoints": True, "gang": True}, 2),
        (10, 1_500.0, {"gang": True}, 0),
        # There is no other worker.
        (10, 1_500.0, {"checkpoints": True, "others": ()}, 0),
    ],
)
def test_run_is_moved_if_its_job_is_in_time_only_elsewhere(points, age_ms, changes, moved):
    world = world_with_slow_run(points, age_ms, **changes)
    slow_runs.move_slow_runs(world.cell, world.now_ms)
    states = [run.state for run in world.worker("w1").runs.values()]
    assert states.count(RunState.STOPPING) == moved
    slow_runs.move_slow_runs(world.cell, world.now_ms)
    assert len(world.cell.effects) == moved


def test_moved_task_starts_elsewhere_only_after_its_former_run_has_ended():
    world = world_with_slow_run(10, 1_500.0)
    slow_runs.move_slow_runs(world.cell, world.now_ms)
    world.schedule()
    assert not world.started
    stopped = tuple((*key, "stopped", "") for key in world.worker("w1").runs)
    world.report("w1", stopped)
    world.schedule()
    assert {order.worker_id for order in world.started} == {"w2"}


def test_run_without_visible_progress_is_not_moved():
    world = world_with_slow_run(10, 1_500.0)
    for run in world.worker("w1").runs.values():
        run.progress = None
    slow_runs.move_slow_runs(world.cell, world.now_ms)
    assert not world.cell.effects

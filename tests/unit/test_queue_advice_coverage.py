"""Steps that wait ask advice about every worker that may run them, in few calls."""

from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import advice_coverage, orders, reports
from nutmeglb_decisions.queues.advice_coverage import WIDEN_AFTER_MS
from nutmeglb_decisions.queues.ended_lives import OtherIncarnation, end_life
from nutmeglb_decisions.queues.task_losses import Loss, TaskLosses
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import ADVISED, CellWorld, job, step, worker_info

JOB = "00000000000000aa"
RESTARTED_MS = 2_000


def world_with_call(workers, spec):
    """Return a world with a waiting step, and its first advice call."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n:02}") for n in range(workers)))
    world.add(job(JOB, spec, queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.asked.clear()
    return world, call


@pytest.mark.parametrize("good", [(), ("w00",)])
def test_worker_that_restarts_during_a_call_is_asked_about_again(good):
    """Guards against an answer about a former incarnation that counts for the next one."""
    world, call = world_with_call(1, step())
    infos = [replace(worker_info("w00"), started_ms=RESTARTED_MS)]
    reports.apply_worker_list(world.cell, infos, world.now_ms)
    world.report("w00", running=())
    world.advise(call, *good)
    world.schedule()
    assert not world.started
    assert [again.workers for again in world.asked] == [("w00",)]


def fill(world, worker_id):
    worker = world.worker(worker_id)
    worker.charge(worker.free)


def avoid(world, worker_id):
    world.worker(worker_id).avoided_until_ms = world.now_ms + 60_000.0


def silence(world, worker_id):
    orders.unanswered(world.cell, world.worker(worker_id), world.now_ms)


@pytest.mark.parametrize("obstruct", [fill, avoid, silence])
@pytest.mark.parametrize("spec", [step(), step(2, cpu=8_000, gang=True)], ids=["single", "gang"])
def test_step_whose_approved_workers_cannot_be_used_asks_about_others(spec, obstruct):
    """Guards against a job that is idle beside workers with room which it never asked about."""
    world, call = world_with_call(45, spec)
    good = call.workers if spec.gang else call.workers[:1]
    for worker_id in good:
        obstruct(world, worker_id)
    world.advise(call, *good)
    asked = set()
    while world.now_ms < 1_000.0 + WIDEN_AFTER_MS + 1_000.0:
        world.now_ms += 100.0
        world.schedule()
        calls, world.asked = world.asked, []
        for again in calls:
            asked |= set(again.workers) - set(call.workers)
            world.advise(again, *(w for w in again.workers if w in good or w not in call.workers))
    assert asked
    world.schedule()
    world.schedule()
    assert len(world.started) == spec.count


def test_suspect_asks_about_empty_workers_while_its_approved_ones_have_other_work():
    """Guards against a task that waits for an empty worker while others are empty."""
    world, call = world_with_call(45, step())
    good = call.workers[:1]
    world.worker(good[0]).charge(Resources(500))
    world.worker(good[0]).runs[("other", 1)] = None
    (waiting,) = world.cell.jobs[JOB].steps
    waiting.tasks[0].losses = TaskLosses({1: Loss(True, True, False)})
    waiting.lossy_tasks.add(0)
    named = advice_coverage.further_workers(
        waiting,
        [world.worker(worker_id) for worker_id in good],
        [worker for worker in world.cell.workers.values() if worker.worker_id not in call.workers],
        world.now_ms,
    )
    assert len(named) == 45 - len(call.workers)


def test_step_that_waits_beside_workers_with_room_makes_few_calls():
    """Guards against calls for waiting steps that keep others from being asked about."""
    world, call = world_with_call(100, step())
    fill(world, call.workers[0])
    world.advise(call, call.workers[0])
    named = list(call.workers)
    calls = 0
    for _ in range(200):
        world.now_ms += 100.0
        world.schedule()
        for again in world.asked:
            unasked = set(again.workers) - set(named)
            calls += bool(unasked)
            named += sorted(unasked)
            world.advise(again, call.workers[0])
        world.asked.clear()
    # Each worker is asked about once.
    assert len(named) == len(set(named)) == 100
    assert calls <= 3


def test_gang_makes_no_call_for_each_worker_that_joins():
    """Guards against calls for single new workers that keep other steps from their first call.

    Crashed workers come back under another id, so there are always some that were not asked about.
    """
    world, call = world_with_call(24, step(18, cpu=5_000, gang=True))
    good = call.workers[:6]
    for worker_id in good:
        fill(world, worker_id)
    world.advise(call, *good)
    calls = 0
    duration_ms = 6_000.0
    for number in range(20):
        infos = [worker.info for worker in world.cell.workers.values()]
        world.show(*infos, worker_info(f"x{number:02}", cpu=5_000))
        world.now_ms += duration_ms / 20
        world.schedule()
        for again in world.asked:
            calls += 1
            world.advise(again, *(w for w in again.workers if w in good))
        world.asked.clear()
    assert 1 <= calls <= duration_ms / WIDEN_AFTER_MS


def test_step_is_asked_about_although_better_ranked_ones_use_all_calls():
    """Guards against a job that is idle beside free capacity, since advice is never requested."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n:02}") for n in range(12)))
    last = world.add(job("last", step(), queue=ADVISED))
    # It is too late to be useful, so all others go first.
    last.accepted_ms -= 60_000.0
    for number in range(20):
        for each in range(8):
            world.add(job(f"{number}-{each}", step(estimate_ms=100.0), queue=ADVISED))
        world.schedule()
        for call in world.asked:
            world.advise(call)
        world.asked.clear()
        world.now_ms += 200.0
    assert last.steps[0].advice.asked


@pytest.mark.parametrize("is_replaced", [True, False])
def test_worker_that_is_lost_during_a_call_is_not_recorded(is_replaced):
    """Guards against a next leader that waits for a worker on which nothing was ever started."""
    world, call = world_with_call(2, step())
    worker = world.worker("w00")
    if is_replaced:
        evidence = OtherIncarnation(worker.info.address, worker.started_ms, world.now_ms)
        end_life(world.cell, worker, evidence, world.now_ms, world.now_ms)
    else:
        orders.unanswered(world.cell, worker, world.now_ms)
    world.advise(call, "w00", "w01")
    (waiting,) = world.cell.jobs[JOB].steps
    assert waiting.recorded == waiting.selected == {"w01"}

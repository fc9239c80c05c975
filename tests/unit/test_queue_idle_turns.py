"""Steps that have waited long go first while workers are kept for tasks that may crash them."""

import math

import pytest

from nutmeglb_decisions.queues import idle_turns, orders, placing
from nutmeglb_decisions.queues.idle_turns import MAX_TURNS, TURN_AFTER_MS
from nutmeglb_decisions.queues.task_losses import Loss, TaskLosses
from nutmeglb_decisions.queues.waiting_order import ranked_steps
from tests.lib.queues import ADVISED, URGENT, CellWorld, job, step, worker_info

WAITED_MS = 60_000.0


def world_with_late_step(is_kept=True) -> CellWorld:
    """Return a world with a waiting step, a full worker, one for a suspect and an avoided one."""
    world = CellWorld()
    world.show(worker_info("w1", 1_000))
    world.add(job("busy", step(1, 1_000)))
    world.schedule()
    world.show(worker_info("w1", 1_000), worker_info("w2"))
    if is_kept:
        suspect = world.add(job("suspect", step(1, 1_000))).steps[0]
        suspect.tasks[0].losses = TaskLosses({1: Loss(True, True, False)})
        suspect.tasks[0].last_run = 1
        suspect.lossy_tasks.add(0)
        world.schedule()
    else:
        world.worker("w2").avoided_until_ms = math.inf
    world.answer_starts()
    world.show(worker_info("w1", 1_000), worker_info("w2"), worker_info("w3", 1_000))
    world.worker("w3").avoided_until_ms = math.inf
    world.add(job("late", step(1, 1_000)))
    world.schedule()
    assert ("w2" in world.cell.kept_workers) == is_kept
    return world


def turns_of(world):
    ranked = ranked_steps(world.cell, world.now_ms, world.now_ms, placing.rank_of)
    return [each.job.job_id for each in idle_turns.choose_turns(world.cell, ranked, world.now_ms)]


@pytest.mark.parametrize(
    ("waited_ms", "is_kept", "used_cpu", "turns"),
    [
        (TURN_AFTER_MS, True, 0, ["late"]),
        (TURN_AFTER_MS - 1.0, True, 0, []),
        (TURN_AFTER_MS, False, 0, []),
        (TURN_AFTER_MS, True, 9_000, []),
    ],
    ids=["due", "too early", "no worker is kept", "most capacity is used"],
)
def test_step_takes_a_turn_after_a_wait_beside_free_capacity(waited_ms, is_kept, used_cpu, turns):
    world = world_with_late_step(is_kept)
    turns_of(world)
    world.now_ms += waited_ms
    if used_cpu:
        world.worker("w2").charge(step(1, used_cpu).charged)
    assert turns_of(world) == turns


def test_steps_that_have_waited_longest_take_their_turn_first():
    world = world_with_late_step()
    for number in range(MAX_TURNS + 2):
        world.add(job(f"later{number}", step(1, 1_000)))
        turns_of(world)
        world.now_ms += 10.0
    world.now_ms += TURN_AFTER_MS
    assert turns_of(world) == ["late", *(f"later{number}" for number in range(MAX_TURNS - 1))]


def test_step_that_has_waited_long_is_not_overtaken_when_a_worker_opens():
    """Guards against late work that never starts while tasks crash their workers."""
    world = world_with_late_step()
    world.now_ms += WAITED_MS
    for number in range(3):
        world.add(job(f"new{number}", step(1, 1_000), queue=URGENT))
    world.schedule()
    world.worker("w3").avoided_until_ms = 0.0
    world.schedule()
    assert [order.task for order in world.started] == ["late.0.0.0"]


def test_runs_on_a_silent_worker_do_not_count_as_capacity_in_use():
    world = world_with_late_step()
    turns_of(world)
    world.now_ms += TURN_AFTER_MS
    world.worker("w2").charge(step(1, 12_000).charged)
    assert turns_of(world) == []
    orders.unanswered(world.cell, world.worker("w2"), world.now_ms)
    assert turns_of(world) == ["late"]


def test_step_with_a_turn_renews_its_tickets_although_no_worker_is_expected_to_open():
    """Guards against a step whose approved workers open only while it has no valid ticket."""
    world = world_with_late_step()
    world.add(job("advised", step(2, 700, gang=True), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.asked.clear()
    world.advise(call, "w1")
    world.schedule()
    world.now_ms += WAITED_MS
    world.schedule()
    assert [each.step for each in world.asked] == ["advised.0.0"]

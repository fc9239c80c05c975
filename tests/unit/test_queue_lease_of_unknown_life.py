"""A restarted worker may grant a longer lease than ordered, for a deadline of its last clock."""

import pytest

from nutmeglb_decisions.queues import orders, unknown_life_leases
from nutmeglb_decisions.queues.cell import Cell
from tests.lib.queue_lease_world import LeaseWorld
from tests.lib.queue_world import replay
from tests.lib.queues import CellWorld, job, step, worker_info

# Idle until the clock of the worker is far above the longest lease.
IDLE = ("advance", 9_000)
RESTART = ("restart", "w0", 4_000, 5, 60_000)
LONG_TASK = ("submit", 4)
STARTED = ("until", " STARTS ")
# Its new entry is read by the next leader only.
RESTART_SHOWN = ("restart", "w0", 4_000, 5, 10)
CUT = ("cut", "w0", -1, "both")
# The run has outlasted the ordered lease, but not yet the longest one.
WAIT = ("advance", 14_000)
CASES = {
    "order_is_answered": [IDLE, RESTART, ("advance", 20), LONG_TASK, STARTED, ("advance", 2)],
    "order_is_not_answered": [
        IDLE,
        RESTART,
        ("advance", 20),
        ("fault", "w0", "start", "no_answer", 0, 2),
        LONG_TASK,
        STARTED,
    ],
    "second_copy_of_an_order_reaches_the_next_life": [
        IDLE,
        ("fault", "w0", "start", "lost", 0, 1),
        LONG_TASK,
        ("advance", 100),
        RESTART,
        STARTED,
    ],
    "order_arrives_shortly_before_its_timeout": [
        IDLE,
        LONG_TASK,
        STARTED,
        ("advance", 300),
        ("fault", "w0", "start", "lost", 0, 1),
        LONG_TASK,
        ("until", " lost"),
        RESTART,
        ("fault", "w0", "start", "slow", 0, 1),
        STARTED,
    ],
    "run_is_adopted_after_a_planned_stop": [
        IDLE,
        RESTART_SHOWN,
        ("advance", 20),
        LONG_TASK,
        STARTED,
        ("resign", 1),
        ("until", "run_adopted"),
    ],
    "worker_is_cut_off_before_a_planned_stop": [
        IDLE,
        RESTART,
        ("advance", 20),
        LONG_TASK,
        STARTED,
        ("advance", 2),
        CUT,
        ("resign", 1),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_run_of_an_unknown_life_ends_before_its_task_starts_again(name):
    """The worker restarts unseen, carries out an order, and is cut off from all instances."""
    replay([*CASES[name], CUT, WAIT], make_world=LeaseWorld)


LEASE_MS, LONGEST_MS = 6_300.0, 10_400.0


def world_with_run(**changes: object) -> CellWorld:
    """Return a world with a run whose order is about to be sent."""
    world = CellWorld(cell=Cell(0, LEASE_MS, 350.0, LONGEST_MS))
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job("a", step(**changes)))
    world.schedule()
    return world


@pytest.mark.parametrize(
    ("granted_ms", "unanswered", "is_reported", "expected_ms"),
    [
        # Per row: granted lease by the answer or no answer, unanswered copies, whether a report
        # shows the run, and when it ends after the last call with a deadline.
        (6_100.0, 0, False, LEASE_MS),
        (LEASE_MS + 1.0, 0, False, LONGEST_MS),
        (10_200.0, 0, False, LONGEST_MS),
        (None, 0, False, LONGEST_MS),
        (None, 1, False, LONGEST_MS),
        (6_100.0, 1, False, LONGEST_MS),
        (None, 0, True, LEASE_MS),
        (10_200.0, 0, True, LEASE_MS),
        (None, 1, True, LONGEST_MS),
    ],
)
def test_run_counts_as_active_for_the_longest_lease_unless_its_life_is_known(
    granted_ms, unanswered, is_reported, expected_ms
):
    world = world_with_run()
    (run,) = world.cell.active["a"].steps[0].live_runs
    worker, sent_ms = world.worker(run.worker_id), world.now_ms
    unknown_life_leases.record_deadline(world.cell, worker, sent_ms)
    if granted_ms is not None:
        unknown_life_leases.record_start_answer(
            world.cell, run.worker_id, run.task, run.number, sent_ms, sent_ms + granted_ms
        )
    run.unanswered_orders = unanswered
    if is_reported:
        world.report(run.worker_id)
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(expected_ms - 1.0)
    assert worker.runs
    world.tick(1.0)
    assert not worker.runs


def test_lasting_task_does_not_wait_for_the_longest_lease():
    """Guards against a lasting task that is idle for longer than callers allow."""
    world = world_with_run(lasting=True)
    (run,) = world.cell.active["a"].steps[0].live_runs
    worker = world.worker(run.worker_id)
    unknown_life_leases.record_deadline(world.cell, worker, world.now_ms)
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(LEASE_MS)
    assert not worker.runs


def test_other_runs_of_the_worker_do_not_wait_and_remain_free_of_suspicion():
    """Guards against a wait for all runs, and against losses that count without their suspect."""
    world = world_with_run()
    (run,) = world.cell.active["a"].steps[0].live_runs
    worker = world.worker(run.worker_id)
    world.answer_starts()
    world.report(worker.worker_id)
    run.proved_active = True
    world.add(job("b", step()))
    world.schedule()
    (second,) = world.cell.active["b"].steps[0].live_runs
    assert second.worker_id == worker.worker_id
    unknown_life_leases.record_deadline(world.cell, worker, world.now_ms)
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(LEASE_MS)
    assert list(worker.runs.values()) == [second]
    loss = world.cell.active["a"].steps[0].tasks[0].losses.by_run[run.number]
    assert loss.is_beside_suspect
    assert worker.worker_id in world.cell.active["b"].steps[0].recorded
    world.tick(LONGEST_MS - LEASE_MS)
    assert not worker.runs


@pytest.mark.parametrize(
    ("granted_ms", "is_silent", "is_reported", "expected"),
    [
        # In flight, answered by the known life, by an unknown one, then shown by a report.
        (None, False, False, False),
        (6_100.0, False, False, False),
        (10_200.0, False, False, True),
        (10_200.0, False, True, False),
        (None, True, False, True),
        (6_100.0, True, False, False),
    ],
)
def test_orders_are_ruled_out_for_the_successor_only_if_no_known_lease_is_longer(
    granted_ms, is_silent, is_reported, expected
):
    world = world_with_run()
    (run,) = world.cell.active["a"].steps[0].live_runs
    if granted_ms is not None:
        world.answer_starts()
        unknown_life_leases.record_start_answer(
            world.cell, run.worker_id, run.task, run.number, 0.0, granted_ms
        )
    if is_reported:
        world.report(run.worker_id)
    if is_silent:
        orders.unanswered(world.cell, world.worker(run.worker_id), world.now_ms)
    assert unknown_life_leases.may_outlast_orders(world.cell, world.now_ms) == expected


@pytest.mark.parametrize(
    ("term", "restarts", "expected_ms"),
    [(0, False, LEASE_MS), (0, True, LONGEST_MS), (1, False, LONGEST_MS), (1, True, LONGEST_MS)],
)
def test_first_answer_of_a_life_may_follow_a_deadline_for_another_one(term, restarts, expected_ms):
    world = CellWorld(cell=Cell(term, LEASE_MS, 350.0, LONGEST_MS))
    world.show(worker_info("w1"))
    worker = world.worker("w1")
    if restarts:
        world.tick(2 * LONGEST_MS)
        world.report("w1", started_ms=9_000)
    orders.extend_lease(worker, world.now_ms + LEASE_MS)
    assert worker.lease_expires_at_ms == world.now_ms + expected_ms

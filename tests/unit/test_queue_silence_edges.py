"""Leases and stops of workers that stand still or fall silent, in rare orders of events."""

import math

import pytest

from nutmeglb_decisions.queues import reports, unknown_life_leases, worker_addresses
from nutmeglb_decisions.queues.cell import Cell
from tests.lib.queue_lease_world import LeaseWorld
from tests.lib.queue_silence_cases import KILLS
from tests.lib.queue_world import World, replay
from tests.lib.queues import CellWorld, worker_info


class WorldWithoutKillTime(World):
    queue_settings = {"max_kill_ms": 0}


@pytest.mark.parametrize(
    "name", ["cut_off_and_kills_400_ms_late", "cut_off_and_kills_1000_ms_late"]
)
def test_cases_of_late_kills_need_the_time_that_is_counted_for_kills(name):
    """Fails if another wait covers the case, which then guards nothing."""
    with pytest.raises(AssertionError, match="TWICE"):
        replay(KILLS[name], make_world=WorldWithoutKillTime)


def test_first_answer_in_the_first_term_does_not_count_the_longest_lease():
    """The encoder of the addresses writes ``restarted_ms`` of workers that have not restarted."""
    world = CellWorld(cell=Cell(0, 7_272.0, 350.0, 11_354.0))
    reports.apply_worker_list(world.cell, [worker_info("w1")], world.now_ms)
    worker = world.worker("w1")
    assert worker.restarted_ms == -math.inf
    worker_addresses.encode(world.cell, world.now_ms)
    unknown_life_leases.record_first_answer(world.cell, worker, world.now_ms)
    assert worker.lease_expires_at_ms <= world.now_ms + 7_272.0


def test_unanswered_copy_of_an_order_of_long_ago_does_not_lengthen_the_wait():
    """No copy can still arrive, and reports have shown the run for longer than any lease."""
    world = replay(
        [
            ("advance", 9_000),
            ("fault", "w0", "start", "lost", 0, 1),
            ("submit", 4),
            ("until", " STARTS "),
            ("advance", 31_000),
            ("cut", "w0", -1, "both"),
            ("advance", 16_000),
        ],
        finish=False,
        make_world=LongRunWorld,
    )
    lines = [line.split() for line in world.trace]
    cut_ms = next(float(line[0]) for line in lines if line[1:3] == ["STEP", "cut"])
    lost_ms = next(float(line[0]) for line in lines if "runs_lost" in line)
    assert lost_ms - cut_ms <= 7_272.0 + 500.0


class LongRunWorld(LeaseWorld):
    def task_size(self, task):
        cpu, run_ms = super().task_size(task)
        return cpu, run_ms * 4.0


@pytest.mark.parametrize("stalled_ms", [700, 2_700, 9_000])
def test_run_whose_stop_was_accepted_before_a_stall_ends_before_its_task_starts_again(stalled_ms):
    """The clock of the worker stands still, and the run is hidden while it is being stopped."""
    replay(
        [
            ("advance", 9_000),
            ("habit", "w0", 200, True, False),
            ("fault", "w0", "start", "no_answer", 0, 2),
            ("submit", 4),
            ("until", "w0 stop"),
            ("advance", 3),
            ("stall", "w0", True, False),
            ("advance", stalled_ms),
            ("wake", "w0"),
            ("advance", 3_000),
        ],
        finish=False,
        make_world=LeaseWorld,
    )


@pytest.mark.parametrize("stalled_ms", [1_200, 9_000])
def test_stop_of_a_former_leader_beside_two_stalls_ends_before_its_task_starts_again(stalled_ms):
    """The worker settles by a report that was requested while it stood still."""
    replay(
        [
            ("advance", 9_000),
            ("habit", "w0", 200, True, False),
            ("fault", "w0", "start", "no_answer", 0, 2),
            ("submit", 4),
            ("until", "w0 stop"),
            ("advance", 3),
            ("stall", "w0", True, False),
            ("hand_over", 1),
            ("until", "leads term"),
            ("advance", 20),
            ("wake", "w0"),
            ("advance", 8),
            ("stall", "w0", True, False),
            ("advance", stalled_ms),
            ("wake", "w0"),
            ("advance", 3_000),
        ],
        finish=False,
        make_world=LeaseWorld,
    )


def test_worker_that_answers_as_unhealthy_does_not_count_as_stalled():
    """Its process goes on and ends the runs with their lease."""
    world = replay(
        [
            ("advance", 9_000),
            ("submit", 4),
            ("until", " STARTS "),
            ("advance", 2_000),
            ("stall", "w0", False, False),
            ("advance", 4_000),
            ("health", "w0", False),
            ("wake", "w0"),
            ("advance", 26_000),
        ],
        finish=False,
        make_world=LeaseWorld,
    )
    lines = [line.split() for line in world.trace]
    woken_ms = next(float(line[0]) for line in lines if line[1:3] == ["STEP", "wake"])
    started_ms = [float(line[0]) for line in lines if line[2:3] == ["STARTS"]]
    assert started_ms[1] - woken_ms <= 7_272.0 + 1_000.0

"""Leases on the clock of a slow worker, and records of workers that a step no longer names."""

import asyncio
from dataclasses import replace

import pytest
from result import Ok

from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT
from nutmeglb._internal.queues.lease_bounds import NETWORK_MARGIN_MS
from nutmeglb._internal.queues.ports import OrderAnswer
from nutmeglb._internal.queues.worker_link import LeaderCallbacks, WorkerLink
from nutmeglb_decisions.queues import placing, progress, ranking, reports
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import StepProgress, WorkerReport
from tests.lib.queues import (
    ADVISED,
    BATCH,
    STOP_ENDS_AFTER_MS,
    CellWorld,
    job,
    step,
    worker_info,
)

LEASE_MS = 6_000


class SlowWorker:
    """A worker whose clock is 2 % slow."""

    def __init__(self, clock):
        self.clock = clock
        self.lease_expires_at_ms = 0.0

    @property
    def worker_clock_ms(self):
        return self.clock.now_ms() * (1 - MAX_CLOCK_DRIFT)

    async def hold(self, info, fence, last_seen, deadline_ms, wait_ms):
        return Ok(WorkerReport(self.worker_clock_ms, info.started_ms, (), ()))

    async def start(self, info, order):
        remaining_ms = (order.deadline_ms - self.worker_clock_ms) / (1 - MAX_CLOCK_DRIFT)
        self.lease_expires_at_ms = self.clock.now_ms() + remaining_ms
        return OrderAnswer(StartOutcome.STARTED)


@pytest.mark.parametrize("idle_ms", [0.0, 10_000.0, 60_000.0])
def test_lease_of_a_start_expires_before_a_successor_stops_waiting(idle_ms):
    """A successor does not know when the former leader last read the worker's clock."""

    async def scenario():
        clock = ManualClock()
        gateway = SlowWorker(clock)
        cell = Cell(0, LEASE_MS / (1 - MAX_CLOCK_DRIFT) + NETWORK_MARGIN_MS, STOP_ENDS_AFTER_MS)
        worker = cell.workers["w1"] = Worker(worker_info())

        async def flush_progress():
            return None

        callbacks = LeaderCallbacks(
            lambda: None,
            flush_progress,
            lambda w: None,
            lambda: True,
            lambda s: False,
        )
        link = WorkerLink(cell, worker, gateway, clock, 1, LEASE_MS, callbacks)
        await link._renew()
        clock.advance(idle_ms)
        world = CellWorld(now_ms=clock.now_ms(), cell=cell)
        world.add(job("a", step()))
        world.schedule()
        await link.start(*world.started)
        assert gateway.lease_expires_at_ms > clock.now_ms()
        # The leader resigns and its successor takes over immediately.
        assert gateway.lease_expires_at_ms <= clock.now_ms() + cell.lease_expiry_after_ms

    asyncio.run(scenario())


def test_worker_that_left_during_an_advice_call_is_not_recorded_again():
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    added = world.add(job("a", step(2), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.show(worker_info("w1"))
    assert "w2" not in world.cell.workers
    world.advise(call, "w1", "w2")
    for _ in range(3):
        world.tick(5_000.0)
        world.show(worker_info("w1"))
    assert "w2" not in added.steps[0].recorded


def test_worker_that_is_no_longer_approved_causes_no_endless_advice_calls():
    """Advice is requested again after a restart, since the worker's properties may have changed."""
    world = CellWorld()
    world.show(worker_info("w1", cpu=1_000), worker_info("w2", cpu=1_000))
    world.add(job("a", step(4, cpu=900), queue=ADVISED))
    world.schedule()
    world.advise(world.asked.pop(), "w1", "w2")
    world.schedule()
    world.answer_starts()
    world.show(worker_info("w1", cpu=1_000), worker_info("w2", cpu=1_000, started_ms=2_000))
    calls = 0
    for _ in range(400):
        world.asked.clear()
        world.schedule()
        for call in world.asked:
            calls += 1
            world.advise(call, "w1")
        world.now_ms += 10.0
    # Tickets of 1,500 ms are renewed 938 ms before they expire.
    assert calls <= 4_000 / (1_500 - 938) + 2


def test_steps_tried_in_turn_leave_capacity_reserved_for_a_gang_that_is_not_tried():
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("busy", step(1, cpu=8_000), queue=BATCH))
    world.schedule()
    world.answer_starts()
    ranks = {"filler": 0, "gang": 1, "single": 2}
    world.add(job("gang", step(2, cpu=8_000, gang=True), queue=BATCH))
    world.schedule()
    gang = world.cell.jobs["gang"].steps[0]
    assert gang.plan is not None
    world.schedule()
    world.add(job("filler", step(1, cpu=20_000), queue=BATCH))
    world.add(job("single", step(1, cpu=4_000, estimate_ms=10_000.0), queue=BATCH))
    single = world.cell.jobs["single"].steps[0]
    single.recorded.add("w1")
    single.selected.add("w1")

    def rank(ranked, start_ms, now_ms, estimates):
        computed_rank = ranking.rank_of(ranked, start_ms, now_ms, estimates)
        return replace(computed_rank, tier=0, priority=ranks[ranked.job.job_id])

    starts = []
    # The filler exhausts the worker checks for the best ranks; then one other step has its turn.
    for max_worker_checks in (100, 2.6, 2.6, 2.6):
        world.now_ms += 10.0
        placing.schedule(
            world.cell,
            4,
            world.rng,
            world.now_ms,
            world.now_ms,
            rank,
            max_worker_checks=max_worker_checks,
        )
        starts += [e.task for e in world.cell.take_effects() if isinstance(e, StartTask)]
    assert gang.plan is not None
    assert starts == []


def test_worker_that_has_not_answered_this_leader_stays_recorded_until_its_runs_have_ended():
    """The worker may still run orders of a former leader although its entry was removed."""
    stored = JobProgress(BATCH.name, "", 0.0, [], [StepProgress(0, 0, ["w1", "w2"], [], [])])
    world = CellWorld()
    world.cell.takeover_wait_deadline_ms = world.now_ms + 6_300.0
    progress.restore(world.cell, job("a", step()), stored, world.now_ms, world.now_ms)
    reports.apply_worker_list(world.cell, [worker_info("w1"), worker_info("w2")], world.now_ms)
    world.report("w1", running=())
    for _ in range(3):
        reports.apply_worker_list(world.cell, [worker_info("w1")], world.now_ms)
        world.tick(1_000.0)
        world.schedule()
    (encoded,) = progress.encode(world.cell.jobs["a"]).steps
    assert (encoded.workers, world.started) == (["w1", "w2"], [])


def test_worker_dropped_during_a_commit_is_not_recorded_when_the_commit_ends():
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    added = world.add(job("a", step(2)))
    world.schedule()
    in_flight_progress = progress.encode(added)
    world.answer_starts()
    for worker_id in ("w1", "w2"):
        runs = world.worker(worker_id).runs.values()
        world.report(worker_id, tuple((run.task, run.number, "failed", "") for run in runs))
    world.show(worker_info("w1"))
    progress.committed(world.cell, added, in_flight_progress)
    assert added.steps[0].recorded == {"w1"}

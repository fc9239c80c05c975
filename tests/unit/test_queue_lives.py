"""Workers that restart under the same id: runs started before and after the restart.

The wall clock may be set back at a restart, so a later incarnation may report an earlier start.
"""

import asyncio
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import lifecycle, orders, reports
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.reports import MAX_ENDS_PER_REPORT
from nutmeglb_formats.models.queues import EndedTask, RunningTask, WorkerReport
from tests.lib.queues import (
    LEASE_EXPIRY_AFTER_MS,
    STOP_ENDS_AFTER_MS,
    CellWorld,
    job,
    step,
    worker_info,
)
from tests.lib.worker_link import Link

JOB = "00000000000000aa"
LATER_START_MS, EARLIER_START_MS = 2_000, 500


def restart_w1(world, started_ms, listed):
    """Restart w1; its new entry reaches the leader before its first report if ``listed``."""
    world.now_ms += 10.0
    world.ends.clear()
    if listed:
        read_entry_of_w1(world, started_ms)


def read_entry_of_w1(world, started_ms):
    infos = [worker.info for worker in world.cell.workers.values()]
    changed = [replace(i, started_ms=started_ms) if i.worker_id == "w1" else i for i in infos]
    reports.apply_worker_list(world.cell, changed, world.now_ms)


def world_with_runs_on_w1(count, workers=1):
    """Return a world with live runs, and the start orders of the runs on w1."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n + 1}") for n in range(workers)))
    world.add(job(JOB, step(count, cpu=16_000 // count)))
    world.schedule()
    return world, [order for order in world.answer_starts() if order.worker_id == "w1"]


@pytest.mark.parametrize("started_ms", [LATER_START_MS, EARLIER_START_MS])
@pytest.mark.parametrize("listed", [True, False])
def test_run_accepted_by_the_current_incarnation_continues(started_ms, listed):
    """Guards against a second run of a task that a restarted worker has already accepted."""
    world, (first, second) = world_with_runs_on_w1(2)
    world.end(first)
    restart_w1(world, started_ms, listed)
    live_runs = (RunningTask(second.task, second.run, "", 100),)
    for _ in range(2):
        world.report("w1", running=live_runs, started_ms=started_ms)
        world.schedule()
    assert not world.started
    # After a restart, ends are numbered from 1 again.
    world.report("w1", ((second.task, second.run, "done", ""),), (), started_ms)
    assert not world.cell.active


@pytest.mark.parametrize("started_ms", [LATER_START_MS, EARLIER_START_MS])
@pytest.mark.parametrize("listed", [True, False])
def test_run_absent_from_the_current_incarnation_starts_again(started_ms, listed):
    """Guards against a lost task when its worker restarts without the run."""
    world, (order,) = world_with_runs_on_w1(1)
    restart_w1(world, started_ms, listed)
    world.report("w1", running=(), started_ms=started_ms)
    read_entry_of_w1(world, started_ms)
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


@pytest.mark.parametrize("listed", [True, False])
def test_order_in_flight_is_kept_when_its_worker_restarts(listed):
    """The restarted worker may still accept the order, so its answer or a stop decides."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job(JOB, step()))
    world.schedule()
    (order,) = world.started
    world.started.clear()
    restart_w1(world, LATER_START_MS, listed)
    world.report("w1", running=(), started_ms=LATER_START_MS)
    world.schedule()
    assert not world.started
    world.answer(order, StartOutcome.UNKNOWN, certain=False)
    orders.apply_stop_answer(world.cell, "w1", order.task, order.run, world.now_ms)
    world.now_ms += 1_000.0
    world.report("w1", running=(), started_ms=LATER_START_MS)
    read_entry_of_w1(world, LATER_START_MS)
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


@pytest.mark.parametrize("is_stopping", [False, True])
def test_restarted_worker_is_barred_from_an_order_with_an_unanswered_copy(is_stopping):
    """Guards against a copy of an order that reaches the worker after its restart."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job(JOB, step()))
    world.schedule()
    (order,) = world.started
    world.started.clear()
    run = (order.worker_id, order.task, order.run)
    # The first of two copies is not answered.
    orders.record_start_sent(world.cell, *run, 1)
    if is_stopping:
        world.answer(order, StartOutcome.UNKNOWN, certain=False)
        orders.apply_stop_answer(world.cell, *run, world.now_ms)
    else:
        world.answer(order, StartOutcome.STARTED)
    world.schedule()
    world.stopped.clear()
    world.now_ms += 1_000.0
    world.report(order.worker_id, running=(), started_ms=LATER_START_MS)
    world.schedule()
    assert [(stop.worker_id, stop.task, stop.run) for stop in world.stopped] == [run]
    assert not world.started
    orders.apply_stop_answer(world.cell, *run, world.now_ms)
    world.now_ms += STOP_ENDS_AFTER_MS
    world.report(order.worker_id, running=(), started_ms=LATER_START_MS)
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


@pytest.mark.parametrize(
    ("copies", "after_ms", "is_barred"), [(2, 0.0, True), (1, 0.0, False), (2, 60_000.0, False)]
)
@pytest.mark.parametrize("outcome", ["done", "failed", "stopped"])
def test_ended_run_is_barred_in_the_next_life_of_its_worker(copies, after_ms, is_barred, outcome):
    """Guards against a second run of an ended task by a late copy of its order (review, case 7)."""
    world, (first, _) = world_with_runs_on_w1(2)
    key = (first.task, first.run)
    for _ in range(copies):
        orders.record_start_sent(world.cell, "w1", *key, 1)
    orders.record_start_sent(world.cell, "w1", *key, -1)
    world.end(first, outcome)
    world.now_ms += after_ms
    for life in (LATER_START_MS, LATER_START_MS + 1_000):
        world.stopped.clear()
        restart_w1(world, life, listed=True)
        world.report("w1", running=(), started_ms=life)
        world.schedule()
        stops = [(stop.task, stop.run) for stop in world.stopped]
        assert (key in stops) == is_barred
        if is_barred:
            orders.apply_stop_answer(world.cell, "w1", *key, world.now_ms)
            assert not world.worker("w1").accepts_starts(world.now_ms)
        world.now_ms += 2 * STOP_ENDS_AFTER_MS
        world.report("w1", running=(), started_ms=life)
        assert key not in world.worker("w1").stray_runs


def test_run_of_a_restarted_silent_worker_expires():
    """Guards against a run that neither a report nor the end of its lease can end."""
    world, (order,) = world_with_runs_on_w1(1)
    worker = world.worker("w1")
    restart_w1(world, LATER_START_MS, listed=True)
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(1_000.0)
    assert (order.task, order.run) in worker.runs
    world.tick(LEASE_EXPIRY_AFTER_MS)
    assert not worker.runs


def test_entry_that_lags_behind_a_report_changes_nothing():
    """Guards against a worker whose restart is not noticed until its new entry arrives."""
    world, (order,) = world_with_runs_on_w1(1)
    restart_w1(world, LATER_START_MS, listed=False)
    live_runs = (RunningTask(order.task, order.run, "", 100),)
    world.report("w1", running=live_runs, started_ms=LATER_START_MS)
    former_infos = [worker.info for worker in world.cell.workers.values()]
    for infos in (former_infos, [replace(former_infos[0], started_ms=LATER_START_MS)]):
        reports.apply_worker_list(world.cell, infos, world.now_ms)
        assert world.worker("w1").settled
        assert world.worker("w1").runs


@pytest.mark.parametrize("started_ms", [LATER_START_MS, EARLIER_START_MS])
def test_order_carries_no_deadline_on_the_clock_of_a_former_incarnation(started_ms):
    """Guards against a lease deadline computed from the clock of the former incarnation."""
    link = Link()
    info = replace(link.worker.info, started_ms=started_ms)
    reports.apply_worker_list(link.world.cell, [info], link.clock.now_ms())
    asyncio.run(link.link.start(link.order))
    assert link.sent == []
    link.next_report = WorkerReport(50.0, started_ms, (), ())
    asyncio.run(link.link._renew())
    link.world.started.clear()
    link.world.now_ms += 1_000.0
    link.world.schedule()
    asyncio.run(link.link.start(*link.world.started))
    renewal, order = link.sent
    assert renewal is None
    assert order.deadline_ms == 6_050


ENDED = (EndedTask(1, "00000000000000bb.0.0.0", 1, "done", ""),)


@pytest.mark.parametrize(
    ("interruption", "acknowledged_ends"),
    [
        ("answer", [0, 1, 1]),
        ("silence", [0, 1, 0]),
        ("idle", [0, 1, 0]),
        ("later entry", [0, 1, 0]),
        ("earlier entry", [0, 1, 0]),
        ("later report", [0, 1, 0]),
        ("earlier report", [0, 1, 0]),
    ],
)
def test_ends_are_discarded_only_by_the_incarnation_that_reported_them(
    monkeypatch, interruption, acknowledged_ends
):
    """Guards against a second run after a restarted worker discarded an end not yet read."""
    real_sleep = asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda delay, result=None: real_sleep(0))
    link = Link()
    born = link.worker.info.started_ms
    other = LATER_START_MS if "later" in interruption else EARLIER_START_MS

    async def scenario():
        link.next_report = WorkerReport(0.0, born, (), ENDED)
        await link.link._renew()
        if interruption == "silence":
            link.answers = [StartOutcome.UNKNOWN]
        if "report" in interruption:
            link.next_report = WorkerReport(0.0, other, (), ())
        await link.link._renew()
        if "entry" in interruption:
            info = replace(link.worker.info, started_ms=other)
            reports.apply_worker_list(link.world.cell, [info], link.clock.now_ms())
        if interruption != "idle":
            await link.link._renew()
            return
        link.worker.runs.clear()
        link.worker.settled = True
        running = asyncio.create_task(link.link.run())
        await real_sleep(0)
        link.link.wake()
        while len(link.last_seen_sent) < 3:
            await real_sleep(0)
        running.cancel()

    asyncio.run(scenario())
    assert link.last_seen_sent == acknowledged_ends


def test_late_stored_end_of_a_former_incarnation_acknowledges_no_end_of_the_current_one():
    """Guards against a worker that restarts and gets a new order while progress is stored.

    Acknowledging the stored end would make the new incarnation discard an end not yet reported.
    """
    link = Link()

    async def restart_worker_and_send_order():
        if link.worker.started_ms != LATER_START_MS:
            info = replace(link.worker.info, started_ms=LATER_START_MS)
            reports.apply_worker_list(link.world.cell, [info], link.clock.now_ms())
            await link.link.start(link.order)

    async def scenario():
        link.link._callbacks.flush_progress = restart_worker_and_send_order
        link.next_report = WorkerReport(0.0, link.worker.info.started_ms, (), ENDED)
        await link.link._renew()
        link.next_report = WorkerReport(0.0, LATER_START_MS, (), ())
        await link.link._renew()
        await link.link._renew()

    asyncio.run(scenario())
    assert link.last_seen_sent == [0, 0, 0]


@pytest.mark.parametrize(("entry_is_read", "started"), [(False, 0), (True, 4)])
def test_tasks_are_not_placed_by_the_capacity_of_a_former_incarnation(entry_is_read, started):
    """Guards against an over-committed worker that returned with less capacity."""
    world = CellWorld()
    world.show(worker_info("w1", cpu=16_000))
    world.report("w1", running=(), started_ms=LATER_START_MS)
    if entry_is_read:
        world.show(worker_info("w1", cpu=4_000, started_ms=LATER_START_MS))
    world.add(job(JOB, step(16)))
    world.schedule()
    assert len(world.started) == started


@pytest.mark.parametrize("listed", [True, False])
def test_run_on_a_restarted_worker_does_not_expire_before_its_longest_lease(listed):
    """Guards against a second run: the order may carry a deadline for the worker's former clock."""
    world, (order,) = world_with_runs_on_w1(1)
    world.cell.max_lease_expiry_after_ms = 10_400.0
    restart_w1(world, LATER_START_MS, listed)
    if not listed:
        live_runs = (RunningTask(order.task, order.run, "", 100),)
        world.report("w1", running=live_runs, started_ms=LATER_START_MS)
    orders.unanswered(world.cell, world.worker("w1"), world.now_ms)
    world.tick(10_399.0)
    assert world.worker("w1").runs
    world.tick(1.0)
    assert not world.worker("w1").runs


@pytest.mark.parametrize("answered_before", [False, True])
@pytest.mark.parametrize("source", ["entry", "report"])
def test_order_placed_on_a_former_incarnation_is_not_sent_again(source, answered_before):
    """Guards against an over-committed worker that has restarted as another kind."""
    link = Link(response_delay_ms=10.0)
    former = link.worker.started_ms

    def restart():
        info = replace(link.worker.info, started_ms=LATER_START_MS)
        if source == "entry":
            reports.apply_worker_list(link.world.cell, [info], link.clock.now_ms())
        link.next_report = WorkerReport(50.0, LATER_START_MS, (), ())
        asyncio.run(link.link._renew())

    restart()
    assert link.worker.started_ms != former
    link.sent.clear()
    if answered_before:
        orders.record_start_sent(link.world.cell, "w1", link.order.task, link.order.run, 1)
    asyncio.run(link.link.start(link.order))
    assert link.sent == []


@pytest.mark.parametrize("is_stopped", [False, True])
def test_run_that_the_restarted_worker_may_have_accepted_is_stopped_first(is_stopped):
    """Guards against a second run: an order may be answered by an incarnation not yet known."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job(JOB, step()))
    world.now_ms += 100.0
    world.schedule()
    (order,) = world.answer_starts()
    run = (order.worker_id, order.task, order.run)
    if is_stopped:
        lifecycle.stop_run(world.cell, world.worker(order.worker_id).runs[run[1:]])
        orders.apply_stop_answer(world.cell, *run, world.now_ms)
    world.schedule()
    world.stopped.clear()
    world.now_ms += 10.0
    world.report(order.worker_id, running=(), started_ms=LATER_START_MS)
    world.schedule()
    assert [(stop.worker_id, stop.task, stop.run) for stop in world.stopped] == [run]
    assert not world.started


@pytest.mark.parametrize("end_count", [MAX_ENDS_PER_REPORT, 1])
def test_worker_with_more_ends_than_a_report_holds_is_not_settled(end_count):
    """Guards against a task that starts again although its end is not reported yet."""
    world = CellWorld()
    world.show(worker_info("w1"))
    worker = world.worker("w1")
    worker.settled = False
    ends = tuple(("00000000000000bb.0.0.0", n, "done", "") for n in range(1, end_count + 1))
    world.report("w1", ends, running=())
    assert worker.settled == (end_count < MAX_ENDS_PER_REPORT)

"""A queue task never has two runs at once and is never lost, whatever its workers answer."""

import pytest

from nutmeglb_decisions.queues import orders, progress, queries, reports, stuck_runs
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.state import JobState
from nutmeglb_formats.models.queues import RunningTask
from tests.lib.queues import BATCH, STOP_ENDS_AFTER_MS, CellWorld, job, step, worker_info

JOB = "00000000000000aa"


def world_with_scheduled_job(*steps, workers=1, **changes):
    world = CellWorld()
    world.show(*(worker_info(f"w{n + 1}") for n in range(workers)))
    world.add(job(JOB, *steps, **changes))
    world.schedule()
    return world


def test_run_on_a_long_idle_worker_does_not_expire_before_its_order_is_sent():
    """Guards against a second run while the first order is still in flight."""
    world = world_with_scheduled_job(step())
    world.tick(0.0)
    world.schedule()
    assert len(world.started) == 1
    assert world.worker("w1").runs


def test_run_expires_with_its_lease_and_restarts():
    world = world_with_scheduled_job(step(), workers=2)
    first = world.answer_starts()[0]
    world.worker(first.worker_id).unanswered_since_ms = world.now_ms
    world.tick(6_400.0)
    world.schedule()
    (second,) = world.started
    assert (second.task, second.run) == (first.task, first.run + 1)
    assert second.worker_id != first.worker_id


def test_worker_is_contacted_before_its_runs_expire():
    """A leader that was paused for longer than a lease first asks which runs ended and how."""
    world = world_with_scheduled_job(step(), workers=2)
    first = world.answer_starts()[0]
    world.tick(60_000.0)
    world.schedule()
    assert not world.started
    world.end(first)
    assert not world.cell.active


@pytest.mark.parametrize(
    ("outcome", "certain", "stops", "restarts"),
    [
        (StartOutcome.NO_CAPACITY, True, 0, 1),
        (StartOutcome.TICKET, True, 0, 1),
        (StartOutcome.UNHEALTHY, True, 0, 1),
        (StartOutcome.LATE, True, 0, 1),
        (StartOutcome.OTHER_INCARNATION, True, 0, 1),
        # An earlier copy of the order may still start the run, so a stop has to void it first.
        (StartOutcome.NO_CAPACITY, False, 1, 0),
        (StartOutcome.UNKNOWN, False, 1, 0),
        # The worker already has the run, and its reports show the outcome.
        (StartOutcome.STALE_RUN, True, 0, 0),
    ],
)
def test_answer_to_a_start_decides_between_stop_and_restart(outcome, certain, stops, restarts):
    """Guards against a restart while the previous order may still take effect."""
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.started
    world.started.clear()
    world.answer(order, outcome, certain)
    world.now_ms += 1_000.0
    world.schedule()
    assert (len(world.stopped), len(world.started)) == (stops, restarts)


def test_task_of_a_voided_order_restarts_once_the_worker_reports_no_run():
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.started
    world.started.clear()
    world.answer(order, StartOutcome.UNKNOWN, certain=False)
    orders.apply_stop_answer(world.cell, order.worker_id, order.task, order.run, world.now_ms)
    world.now_ms += STOP_ENDS_AFTER_MS
    world.report(order.worker_id, running=())
    world.now_ms += 1_000.0
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


def test_report_sent_before_the_answer_does_not_end_a_run():
    """Guards against an outdated report that arrives after the answer to a start."""
    world = world_with_scheduled_job(step())
    (order,) = world.answer_starts()
    worker = world.worker("w1")
    report = reports.WorkerReport(world.now_ms, 1_000, (), ())
    sent_ms = world.now_ms - 5.0
    reports.apply_report(world.cell, worker, report, sent_ms, world.now_ms, world.now_ms)
    assert (order.task, order.run) in worker.runs


@pytest.mark.parametrize(
    ("outcomes", "final"),
    [
        (["done"], JobState.COMPLETED),
        (["failed", "done"], JobState.COMPLETED),
        (["failed", "failed"], JobState.FAILED),
        (["stopped", "lapsed", "failed", "done"], JobState.COMPLETED),
    ],
)
def test_run_outcomes_decide_the_state_of_the_job(outcomes, final):
    """Only failed runs count towards the attempts of a task."""
    world = world_with_scheduled_job(step())
    for outcome in outcomes:
        (order,) = world.answer_starts()
        world.end(order, outcome)
        world.now_ms += 3_000.0
        world.schedule()
    status = queries.status_of(world.cell, JOB)
    assert status is not None and status.state == final
    assert world.worker("w1").used.cpu_millis == 0


def test_restart_carries_the_last_checkpoint():
    world = world_with_scheduled_job(step(checkpoints=True))
    (order,) = world.answer_starts()
    world.end(order, "stopped", "0001")
    world.schedule()
    assert [start.checkpoint for start in world.started] == ["0001"]


def test_completion_is_not_reported_before_it_is_stored():
    """Guards against reporting a job as completed that a new leader would run again."""
    world = world_with_scheduled_job(step())
    (order,) = world.answer_starts()
    worker = world.worker("w1")
    end = reports.EndedTask(1, order.task, order.run, "done", "")
    report = reports.WorkerReport(world.now_ms, 1_000, (), (end,))
    reports.apply_report(world.cell, worker, report, world.now_ms, world.now_ms, world.now_ms)
    status = queries.status_of(world.cell, JOB)
    assert status is not None and status.state == JobState.RUNNING
    world.store()
    status = queries.status_of(world.cell, JOB)
    assert status is not None and status.state == JobState.COMPLETED


def test_gang_restarts_as_a_whole_after_all_members_ended():
    world = world_with_scheduled_job(step(3, gang=True), workers=2)
    first = world.answer_starts()
    assert len(first) == 3
    world.end(first[0], "stopped")
    world.schedule()
    assert not world.started
    assert len(world.stopped) == 2
    world.end(first[1], "stopped")
    world.end(first[2], "broken")
    world.schedule()
    assert {start.run for start in world.started} == {first[0].run + 1}
    assert len(world.started) == 3


def test_one_completed_member_completes_its_gang():
    world = world_with_scheduled_job(step(3, gang=True))
    start_orders = world.answer_starts()
    world.end(start_orders[1], "done")
    world.end(start_orders[0], "broken")
    status = queries.status_of(world.cell, JOB)
    assert status is not None and status.state == JobState.COMPLETED


def test_new_incarnation_ends_the_runs_of_the_former_one():
    world = world_with_scheduled_job(step())
    (order,) = world.answer_starts()
    world.show(worker_info("w1", started_ms=2_000))
    world.now_ms += 10.0
    world.report("w1", running=())
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


def next_leader(world, found=()):
    """Return the world of the next leader, restored from the stored progress."""
    successor = CellWorld(now_ms=world.now_ms)
    successor.cell.term = 1
    successor.cell.takeover_wait_deadline_ms = world.now_ms + 11_000.0
    for former_job in world.cell.active.values():
        stored = progress.encode(former_job)
        progress.restore(successor.cell, former_job.record, stored, successor.now_ms, 0.0)
    infos = [worker.info for worker in world.cell.workers.values()]
    reports.apply_worker_list(successor.cell, infos, successor.now_ms)
    return successor


def test_next_leader_waits_for_workers_that_may_run_the_task():
    """Guards against a second run on a reachable worker while another one still has the first."""
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.answer_starts()
    other = next(w for w in ("w1", "w2") if w != order.worker_id)
    successor = next_leader(world)
    successor.report(other, running=())
    successor.schedule()
    assert not successor.started
    successor.tick(11_100.0)
    successor.schedule()
    assert [start.worker_id for start in successor.started] == [other]


def test_next_leader_adopts_runs_and_starts_the_rest():
    world = world_with_scheduled_job(step(2))
    first, second = world.answer_starts()
    successor = next_leader(world)
    successor.report("w1", running=(RunningTask(first.task, first.run, "", 100),))
    successor.schedule()
    assert [start.task for start in successor.started] == [second.task]
    assert successor.started[0].run > second.run


def test_job_that_was_never_started_does_not_wait_for_workers():
    """A step stores its workers before a start, so a step without stored workers cannot run."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job(JOB, step()))
    successor = next_leader(world)
    successor.report("w2", running=())
    successor.schedule()
    assert [start.worker_id for start in successor.started] == ["w2"]


@pytest.mark.parametrize(
    ("answer", "ended", "pending"),
    [
        (None, None, 1),
        (StartOutcome.UNHEALTHY, None, 1),
        (StartOutcome.STARTED, None, 0),
        (StartOutcome.STARTED, "failed", 0),
    ],
)
def test_job_is_pending_until_a_worker_reports_a_start(answer, ended, pending):
    """Guards against a queue reported as empty before its jobs start, also by the next leader."""
    world = world_with_scheduled_job(step(2), queue=BATCH)
    order = world.started[0]
    if answer is not None:
        world.answer(order, answer)
    if ended is not None:
        world.end(order, ended)
    assert queries.pending(world.cell, BATCH.key) == pending
    successor = next_leader(world)
    assert queries.pending(successor.cell, BATCH.key) == (0 if ended else 1)
    if answer == StartOutcome.STARTED and not ended:
        successor.report("w1", running=(RunningTask(order.task, order.run, "", 100),))
        assert queries.pending(successor.cell, BATCH.key) == 0


def test_run_of_an_unknown_job_is_stopped_and_nothing_is_placed_beside_it():
    """Guards against an over-committed worker: the size of such a run is unknown."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.report("w1", running=(RunningTask("00000000000000bb.0.0.0", 1, "", 100),))
    world.add(job(JOB, step()))
    world.schedule()
    assert [stop.task for stop in world.stopped] == ["00000000000000bb.0.0.0"]
    assert not world.started
    world.report("w1", (("00000000000000bb.0.0.0", 1, "stopped", ""),), ())
    world.schedule()
    assert len(world.started) == 1


@pytest.mark.parametrize("is_stop_answered", [True, False])
def test_nothing_is_placed_beside_a_stray_run_while_its_stop_is_in_progress(is_stop_answered):
    """Guards against an over-committed worker: a run that is being stopped may be in no list."""
    stray = ("00000000000000bb.0.0.0", 1)
    world = CellWorld()
    world.show(worker_info("w1"))
    world.report("w1", running=(RunningTask(*stray, "", 100),))
    world.add(job(JOB, step()))
    if is_stop_answered:
        orders.apply_stop_answer(world.cell, "w1", *stray, world.now_ms)
    world.now_ms += STOP_ENDS_AFTER_MS - 1.0
    world.report("w1", running=())
    world.schedule()
    assert not world.started
    world.now_ms += 1.0
    world.report("w1", running=())
    world.schedule()
    assert len(world.started) == is_stop_answered
    # An unanswered stop is repeated although no report shows the run any more.
    assert len(world.stopped) == (1 if is_stop_answered else 3)


def test_repeatedly_reported_failures_count_once():
    """Guards against a job that fails too early: ends are reported again until they are stored."""
    world = world_with_scheduled_job(step(), queue=BATCH)
    (order,) = world.answer_starts()
    world.end(order, "failed")
    successor = next_leader(world)
    successor.report("w1", ((order.task, order.run, "failed", ""),), ())
    status = queries.status_of(successor.cell, JOB)
    assert status is not None and status.state == JobState.RUNNING


@pytest.mark.parametrize(
    ("gang", "activities_of_w1", "activities_of_w2", "stopped"),
    [
        # A gang member that has finished its part waits for the slowest one.
        (True, (0, 0, 0), (900, 900, 900), set()),
        # All members are idle. Only the one that became idle first is stopped.
        (True, (0, 0, 0), (900, 0, 0), set()),
        (True, (0, 0, 0, 0), (900, 0, 0, 0), {"w1"}),
        (False, (0, 0, 0), (900, 900, 900), {"w1"}),
        # A single report of a run that has just started does not suffice.
        (False, (0,), (900,), set()),
        (False, (0, 0, 900), (900, 900, 900), set()),
    ],
)
def test_only_stuck_runs_are_stopped(gang, activities_of_w1, activities_of_w2, stopped):
    """Guards against stopping a healthy gang when its first member has finished."""
    world = world_with_scheduled_job(step(2, cpu=9_000, gang=gang, estimate_ms=60_000.0), workers=2)
    runs = {order.worker_id: order for order in world.answer_starts()}
    for activities in zip(activities_of_w1, activities_of_w2, strict=True):
        for worker_id, activity in zip(("w1", "w2"), activities, strict=True):
            order = runs[worker_id]
            running_task = RunningTask(order.task, order.run, "", 100, activity)
            world.report(worker_id, running=(running_task,))
        stuck_runs.stop_stuck_runs(world.cell, world.now_ms)
        world.now_ms += 1_400.0
    world.now_ms += 2_000.0
    stuck_runs.stop_stuck_runs(world.cell, world.now_ms)
    world.schedule()
    assert {stop.worker_id for stop in world.stopped} == stopped


@pytest.mark.parametrize(
    ("presume", "shown_as", "cause"),
    [
        (lambda world, order: world.answer(order, StartOutcome.UNHEALTHY), "running", "unhealthy"),
        (lambda world, order: world.answer(order, StartOutcome.UNHEALTHY), "done", "unhealthy"),
        (lambda world, order: world.answer(order, StartOutcome.UNHEALTHY), "lapsed", None),
        (lambda world, order: silent_until_lease_expiry(world, order), "running", "lapsed"),
        # The run may have ended before its lease.
        (lambda world, order: silent_until_lease_expiry(world, order), "done", None),
        (lambda world, order: silent_until_lease_expiry(world, order), "lapsed", None),
    ],
)
def test_report_that_contradicts_a_presumed_end_is_logged(presume, shown_as, cause):
    """Guards against a task with two runs that no log explains."""
    world = world_with_scheduled_job(step())
    (order,) = world.started
    presume(world, order)
    world.cell.take_decisions()
    if shown_as == "running":
        world.report("w1", running=(RunningTask(order.task, order.run, "", 100),))
    else:
        world.report("w1", ((order.task, order.run, shown_as, ""),), running=())
    logged = [d.cause for d in world.cell.take_decisions() if d.kind == "presumed_end_contradicted"]
    assert logged == ([cause] if cause else [])


def silent_until_lease_expiry(world, order):
    world.answer(order, StartOutcome.STARTED)
    world.worker(order.worker_id).unanswered_since_ms = world.now_ms
    world.tick(6_400.0)


@pytest.mark.parametrize(
    ("outcome", "certain"),
    [
        (StartOutcome.UNKNOWN, False),
        (StartOutcome.UNHEALTHY, False),
        (StartOutcome.UNHEALTHY, True),
        (StartOutcome.TICKET, False),
    ],
)
def test_run_that_a_report_shows_continues_when_the_answers_to_its_order_are_lost(outcome, certain):
    """Guards against work that runs a second time since its worker's answers were lost."""
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.started
    world.started.clear()
    world.report(order.worker_id, running=(RunningTask(order.task, order.run, "", 100),))
    world.answer(order, outcome, certain)
    world.now_ms += 1_000.0
    world.schedule()
    assert (world.stopped, world.started) == ([], [])
    world.end(order)
    assert not world.cell.active


@pytest.mark.parametrize("listed_again", [False, True])
@pytest.mark.parametrize("age_ms", [1.0, 100.0, STOP_ENDS_AFTER_MS - 1.0])
def test_stopped_run_holds_its_task_and_capacity_while_no_report_lists_it(age_ms, listed_again):
    """Guards against a second run, and an over-committed worker, while a stop is in progress."""
    world = world_with_scheduled_job(step(cpu=16_000), workers=2)
    (order,) = world.started
    world.started.clear()
    world.answer(order, StartOutcome.UNKNOWN, certain=False)
    orders.apply_stop_answer(world.cell, order.worker_id, order.task, order.run, world.now_ms)
    world.now_ms += age_ms
    world.report(order.worker_id, running=())
    if listed_again:
        world.report(order.worker_id, running=(RunningTask(order.task, order.run, "", 100),))
    world.now_ms += 1_000.0
    world.schedule()
    assert not world.started
    assert world.worker(order.worker_id).free.cpu_millis == 0
    world.end(order, "stopped")
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


def test_active_run_that_a_report_lacks_is_stopped_before_its_task_starts_again():
    """Guards against an incomplete report that is taken as the end of a run."""
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.answer_starts()
    world.now_ms += 1_000.0
    world.report(order.worker_id, running=())
    world.schedule()
    assert [(stop.task, stop.run) for stop in world.stopped] == [(order.task, order.run)]
    assert not world.started
    orders.apply_stop_answer(world.cell, order.worker_id, order.task, order.run, world.now_ms)
    world.now_ms += STOP_ENDS_AFTER_MS
    world.report(order.worker_id, running=())
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


def test_number_refused_as_old_holds_its_task_until_a_stop_is_certain():
    """Guards against a second run: a refused number may be that of a run about to end."""
    world = world_with_scheduled_job(step(), workers=2)
    (order,) = world.answer_starts(StartOutcome.STALE_RUN)
    world.now_ms += 10.0
    world.report(order.worker_id, running=())
    world.schedule()
    assert (len(world.stopped), world.started) == (1, [])


def test_second_run_of_a_task_is_stopped_when_the_first_has_completed_it():
    """Guards against work done twice after the end of a lost worker's run becomes known."""
    world = world_with_scheduled_job(step(), step(estimate_ms=5_000.0), workers=2)
    first, _ = world.answer_starts()
    world.worker(first.worker_id).unanswered_since_ms = world.now_ms
    world.tick(6_400.0)
    world.schedule()
    second = next(start for start in world.started if start.task == first.task)
    world.answer(second, StartOutcome.STARTED)
    world.end(first)
    world.schedule()
    assert (second.task, second.run) in {(stop.task, stop.run) for stop in world.stopped}

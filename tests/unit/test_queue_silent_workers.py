"""Workers that do not answer for a while: what is concluded, and what the log tells."""

import asyncio

import pytest
from result import Err

from nutmeglb_decisions.queues import (
    orders,
    progress,
    queries,
    reports,
    silent_workers,
    takeover_wait,
)
from nutmeglb_decisions.queues.silent_workers import ClockGap
from nutmeglb_decisions.queues.state import JobState
from nutmeglb_formats.exceptions import AgentError
from nutmeglb_formats.models.queues import EndedTask, RunningTask, WorkerReport
from tests.lib.queues import (
    BATCH,
    LEASE_EXPIRY_AFTER_MS,
    CellWorld,
    job,
    step,
    worker_info,
)
from tests.lib.worker_link import Link


def world_with_run():
    world = CellWorld()
    world.show(worker_info())
    world.add(job("a", step(), queue=BATCH))
    world.schedule()
    (order,) = world.started
    return world, world.worker("w1"), order


def lines_of(world, kind):
    return [line for line in world.cell.take_decisions() if line.kind == kind]


@pytest.mark.parametrize(
    ("calls", "counted"),
    [
        ([], 0),
        ([True], 1),
        ([True, True], 2),
        ([True, False], 0),
        ([True, True, False], 2),
    ],
)
def test_calls_that_a_silent_worker_accepts_are_counted(calls, counted):
    world, worker, _ = world_with_run()
    for is_connected in calls:
        silent_workers.record_unanswered(world.cell, worker, is_connected, world.now_ms)
    assert worker.connected_calls == counted
    silent_workers.record_answer(
        world.cell, worker, WorkerReport(0.0, worker.started_ms, (), ()), None, world.now_ms
    )
    assert worker.connected_calls == 0


@pytest.mark.parametrize(
    ("listed", "ended", "running", "done"),
    [
        (True, (), 1, 0),
        (False, ("done",), 0, 1),
        (False, ("lapsed",), 0, 0),
        (False, (), 0, 0),
    ],
)
def test_first_answer_after_a_silence_shows_what_became_of_presumed_ends(
    listed, ended, running, done
):
    world, worker, order = world_with_run()
    orders.unanswered(world.cell, worker, world.now_ms)
    world.tick(60_000.0)
    report = WorkerReport(
        500.0,
        worker.started_ms,
        (RunningTask(order.task, order.run, "", 100, 0),) if listed else (),
        tuple(EndedTask(1, order.task, order.run, outcome, "") for outcome in ended),
    )
    world.cell.take_decisions()
    silent_workers.record_answer(world.cell, worker, report, ClockGap(500.0, 9_000.0), world.now_ms)
    (line,) = lines_of(world, "worker_answers_again")
    fields = dict(line.fields)
    assert line.cause == "same incarnation"
    assert (fields["presumed_but_running"], fields["presumed_but_done"]) == (running, done)
    assert (fields["worker_clock_ms"], fields["leader_clock_ms"]) == (500, 9_000)
    assert fields["silent_for_ms"] == 60_000


def test_answer_without_a_silence_is_not_logged():
    world, worker, _ = world_with_run()
    report = WorkerReport(0.0, worker.started_ms, (), ())
    silent_workers.record_answer(world.cell, worker, report, None, world.now_ms)
    assert not lines_of(world, "worker_answers_again")


CONNECTED, NOT_CONNECTED = True, False
STALL_MS = 20_000.0


def fail_calls(world, worker, calls):
    """Let calls to a worker have no answer."""
    orders.unanswered(world.cell, worker, world.now_ms)
    for is_connected in calls:
        silent_workers.record_unanswered(world.cell, worker, is_connected, world.now_ms)


@pytest.mark.parametrize(
    ("calls", "waited_ms", "starts"),
    [
        ([NOT_CONNECTED, CONNECTED, CONNECTED], 15_000.0, 0),
        ([NOT_CONNECTED, CONNECTED, CONNECTED], STALL_MS, 1),
        # The lease may expire before the second call.
        ([NOT_CONNECTED, CONNECTED], LEASE_EXPIRY_AFTER_MS, 0),
        # The backlog of a listener may be full after some connections.
        ([CONNECTED, CONNECTED, NOT_CONNECTED, NOT_CONNECTED], 15_000.0, 0),
        ([NOT_CONNECTED, CONNECTED, NOT_CONNECTED], LEASE_EXPIRY_AFTER_MS, 1),
        ([NOT_CONNECTED, NOT_CONNECTED, NOT_CONNECTED], LEASE_EXPIRY_AFTER_MS, 1),
    ],
)
def test_task_on_a_worker_whose_process_stands_still_does_not_start_elsewhere(
    calls, waited_ms, starts
):
    """Guards against a second run beside one that goes on after its lease."""
    world, worker, order = world_with_run()
    world.cell.max_stall_ms = STALL_MS
    world.answer_starts()
    world.show(worker_info("w2"))
    fail_calls(world, worker, calls)
    world.tick(waited_ms)
    world.schedule()
    assert [start.worker_id for start in world.started] == ["w2"] * starts
    assert ((order.task, order.run) in worker.runs) != bool(starts)


def test_run_that_ends_before_its_worker_counts_as_lost_starts_no_second_one():
    world, worker, order = world_with_run()
    world.cell.max_stall_ms = STALL_MS
    world.answer_starts()
    world.show(worker_info("w2"))
    fail_calls(world, worker, [CONNECTED, CONNECTED])
    world.tick(9_000.0)
    report = WorkerReport(9_000.0, worker.started_ms, (), ())
    silent_workers.record_answer(world.cell, worker, report, None, world.now_ms)
    world.end(order)
    world.schedule()
    assert not world.started
    assert queries.status_of(world.cell, "a").state == JobState.COMPLETED


@pytest.mark.parametrize(
    ("calls", "waited_ms", "is_waited_for"),
    [
        ([CONNECTED, CONNECTED], 15_000.0, True),
        ([CONNECTED, CONNECTED], STALL_MS, False),
        ([CONNECTED, CONNECTED, NOT_CONNECTED], 15_000.0, True),
        ([CONNECTED, NOT_CONNECTED], 11_000.0, False),
        ([NOT_CONNECTED, NOT_CONNECTED], 11_000.0, False),
    ],
)
def test_next_leader_waits_for_a_worker_whose_process_stands_still(calls, waited_ms, is_waited_for):
    former, _, order = world_with_run()
    former.answer_starts()
    world = CellWorld(now_ms=former.now_ms)
    world.cell.term, world.cell.max_stall_ms = 1, STALL_MS
    world.cell.takeover_wait_deadline_ms = world.now_ms + 11_000.0
    (former_job,) = former.cell.active.values()
    progress.restore(world.cell, former_job.record, progress.encode(former_job), world.now_ms, 0.0)
    reports.apply_worker_list(world.cell, [worker_info("w1"), worker_info("w2")], world.now_ms)
    world.report("w2", running=())
    fail_calls(world, world.worker("w1"), calls)
    waits = takeover_wait.waits(world.cell, takeover_wait.TakeoverWait(0.0, 0.0, 0.0), 1.0)
    assert ("w1" in waits) != (world.worker("w1").stalled_since_ms is not None)
    world.tick(waited_ms)
    world.schedule()
    assert [start.task for start in world.started] == ([] if is_waited_for else [order.task])


@pytest.mark.parametrize(("calls", "left_ms"), [([CONNECTED], 6_300.0), ([NOT_CONNECTED], 0.0)])
def test_answer_without_a_report_ends_a_stall_and_starts_the_lease_again(calls, left_ms):
    world, worker, _ = world_with_run()
    world.cell.max_stall_ms = STALL_MS
    fail_calls(world, worker, calls)
    world.now_ms = worker.lease_expires_at_ms
    silent_workers.record_other_answer(world.cell, worker, world.now_ms)
    assert not silent_workers.may_have_active_runs(world.cell, worker, world.now_ms)
    assert worker.lease_expires_at_ms - world.now_ms == left_ms


class AnsweringLink(Link):
    """A link whose worker answers renewals without a report."""

    context = {}

    async def hold(self, worker, fence, last_seen, deadline_ms, wait_ms):
        return Err(AgentError("no report", context=self.context, hint="none"))


@pytest.mark.parametrize(
    ("context", "is_stalled"),
    [
        ({"answered": True}, False),
        # Another worker has answered, at an address that may be outdated.
        ({"answered": True, "other_incarnation": True}, True),
        ({"connected": True}, True),
        ({"not_sent": True}, True),
    ],
)
def test_only_an_answer_of_the_worker_itself_ends_its_stall(context, is_stalled):
    link = AnsweringLink()
    link.context, link.worker.has_moved = context, True
    link.world.cell.max_stall_ms = STALL_MS
    fail_calls(link.world, link.worker, [CONNECTED, CONNECTED])
    asyncio.run(link.link._renew())
    now_ms = link.clock.now_ms()
    assert silent_workers.may_have_active_runs(link.world.cell, link.worker, now_ms) == is_stalled


def test_another_incarnation_has_not_stood_still():
    world, worker, _ = world_with_run()
    world.cell.max_stall_ms = STALL_MS
    fail_calls(world, worker, [CONNECTED, CONNECTED])
    reports.apply_worker_list(world.cell, [worker_info(started_ms=9_000)], world.now_ms)
    assert not silent_workers.may_have_active_runs(world.cell, worker, world.now_ms)

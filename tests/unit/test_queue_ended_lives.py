"""Runs of a worker end when another worker answers at its address.

Guards against tasks that are held for a full lease after a crash although it is proved that they do
not run, and against a second run after an answer that proves nothing.
"""

import asyncio
from dataclasses import replace

import pytest
from result import Err, Ok

from nutmeglb_decisions.queues import progress, reports
from nutmeglb_decisions.queues.ended_lives import OtherIncarnation, end_life
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.exceptions import AgentError
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import RunningTask, StepProgress, WorkerReport
from nutmeglb_platform.http import Answer
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info
from tests.lib.worker_link import Link

JOB = "00000000000000aa"
ADDRESS, OTHER_ADDRESS = "10.0.0.1:1", "10.0.0.2:1"
STARTED_MS = 1_000
UNKNOWN, REPLACED = StartOutcome.UNKNOWN, StartOutcome.OTHER_INCARNATION


def world_with_run_on_w1(state):
    """Return a world whose only run is on w1 in the given state, with another idle worker."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job(JOB, step()))
    world.schedule()
    (order,) = world.started
    world.started.clear()
    if state == "running":
        world.answer(order, StartOutcome.STARTED)
    if state == "stopping":
        world.answer(order, UNKNOWN, certain=False)
    world.show(worker_info("w1"), worker_info("w2", address=OTHER_ADDRESS))
    world.now_ms += 100.0
    return world, order


def other_incarnation_answers(world, **changes):
    """Apply an answer to a call that was sent 10 ms ago, and return the lost runs."""
    evidence = OtherIncarnation(ADDRESS, STARTED_MS, world.now_ms - 10.0)
    worker = world.worker("w1")
    return end_life(world.cell, worker, replace(evidence, **changes), world.now_ms, world.now_ms)


@pytest.mark.parametrize("state", ["ordered", "running", "stopping"])
def test_task_of_a_replaced_worker_starts_again_at_once(state):
    world, order = world_with_run_on_w1(state)
    (lost,) = other_incarnation_answers(world)
    assert (lost.task, lost.number) == (order.task, order.run)
    world.schedule()
    world.schedule()
    (again,) = world.started
    assert (again.worker_id, again.run) == ("w2", order.run + 1)
    assert other_incarnation_answers(world) == []


def change_address(world):
    infos = [worker_info("w1", address=OTHER_ADDRESS), worker_info("w2")]
    reports.apply_worker_list(world.cell, infos, world.now_ms)


def restart(world):
    infos = [worker_info("w1", started_ms=STARTED_MS + 500), worker_info("w2")]
    reports.apply_worker_list(world.cell, infos, world.now_ms)


def confirm_run(world):
    (run,) = world.worker("w1").runs.values()
    run.confirmed_ms = world.now_ms - 5.0


@pytest.mark.parametrize(
    ("event", "changes"),
    [
        (change_address, {}),
        (restart, {}),
        (lambda world: world.report("w1"), {}),
        (confirm_run, {}),
        (lambda world: None, {"started_ms": 0}),
        (lambda world: None, {"address": OTHER_ADDRESS}),
    ],
    ids=[
        "entry with another address",
        "restart under the same id",
        "report to a later call",
        "start confirmed by a later call",
        "unknown start time",
        "answer from a former address",
    ],
)
def test_answer_that_may_be_about_another_life_ends_no_run(event, changes):
    world, _ = world_with_run_on_w1("running")
    event(world)
    assert other_incarnation_answers(world, **changes) == []
    assert world.worker("w1").runs
    world.schedule()
    assert not world.started


@pytest.mark.parametrize("started_ms", [STARTED_MS, 0], ids=["same life", "no start time"])
def test_answer_from_an_address_that_only_another_entry_names_ends_no_run(started_ms):
    """Guards against a second run after another writer has replaced the entry of a worker."""
    world, _ = world_with_run_on_w1("running")
    world.report("w1")
    foreign = worker_info("w1", address=OTHER_ADDRESS, started_ms=started_ms, service="other")
    reports.apply_worker_list(
        world.cell, [foreign, worker_info("w2", address="10.0.0.3:1")], world.now_ms
    )
    world.now_ms += 100.0
    # The worker has answered this leader at its former address.
    assert other_incarnation_answers(world, address=OTHER_ADDRESS) == []
    assert world.worker("w1").runs


@pytest.mark.parametrize(("asked_ms_ago", "adopted"), [(20.0, 0), (-20.0, 1)])
def test_report_requested_before_the_proof_does_not_bring_the_run_back(asked_ms_ago, adopted):
    """Guards against a run that is adopted again from an answer that another one has overtaken."""
    world, order = world_with_run_on_w1("running")
    other_incarnation_answers(world)
    proof_ms = world.now_ms
    world.now_ms += 50.0
    running = (RunningTask(order.task, order.run, "", 50, 1),)
    report = WorkerReport(world.now_ms, STARTED_MS, running, ())
    worker = world.worker("w1")
    sent_ms = proof_ms - asked_ms_ago
    reports.apply_report(world.cell, worker, report, sent_ms, world.now_ms, world.now_ms)
    assert len(worker.runs) == adopted
    assert worker.is_replaced == (not adopted)


def test_replaced_worker_gets_no_task_until_it_reports():
    """A worker may start again under its id; its entry may still be that of the former life."""
    world, _ = world_with_run_on_w1("running")
    other_incarnation_answers(world)
    reports.apply_worker_list(world.cell, [worker_info("w1")], world.now_ms)
    world.schedule()
    assert not world.started
    world.report("w1", running=(), started_ms=STARTED_MS + 500)
    restart(world)
    world.report("w1", running=(), started_ms=STARTED_MS + 500)
    world.worker("w2").avoided_until_ms = world.now_ms + 1.0
    world.schedule()
    world.schedule()
    assert [order.worker_id for order in world.started] == ["w1"]


def test_next_leader_does_not_wait_for_a_worker_that_was_replaced():
    """Guards against a wait that each new leader starts again for workers that are gone."""
    world = CellWorld()
    world.cell.started_ms = world.now_ms
    world.cell.takeover_wait_deadline_ms = world.now_ms + 11_300.0
    stored = JobProgress(BATCH.name, "", 0.0, [], [StepProgress(0, 0, ["w1", "w2"], [], [])])
    progress.restore(world.cell, job("a", step()), stored, world.now_ms, world.now_ms)
    infos = [worker_info("w1"), worker_info("w2", address=OTHER_ADDRESS)]
    reports.apply_worker_list(world.cell, infos, world.now_ms)
    world.report("w2")
    world.now_ms += 100.0
    world.schedule()
    assert not world.started
    other_incarnation_answers(world)
    world.schedule()
    assert [order.worker_id for order in world.started] == ["w2"]
    (added_step,) = world.cell.jobs["a"].steps
    assert added_step.recorded == {"w2"}
    reports.apply_worker_list(world.cell, infos[1:], world.now_ms)
    assert "w1" not in world.cell.workers


async def hold(link):
    await asyncio.wait_for(link.link._renew(), 10.0)


@pytest.mark.parametrize(
    "call",
    [
        lambda link: link.link.start(link.order),
        lambda link: link.link.stop(link.order),
        hold,
    ],
    ids=["start", "stop", "hold"],
)
def test_each_call_that_another_incarnation_answers_ends_the_runs(call):
    link = Link([REPLACED])

    async def hold_of_other_incarnation(*arguments):
        return Err(AgentError("no", context={"other_incarnation": True}, hint="none"))

    link.hold = hold_of_other_incarnation
    asyncio.run(call(link))
    assert not link.worker.runs
    assert link.worker.is_replaced
    assert not link.worker.accepts_starts(link.clock.now_ms() + 60_000.0)


@pytest.mark.parametrize(("status", "is_other"), [(421, True), (409, False), (503, False)])
def test_only_status_421_of_a_renewal_tells_of_another_incarnation(status, is_other):
    class Http:
        async def call(self, *arguments):
            return Ok(Answer(status, {"clock_ms": 5}))

    gateway = RunnerGateway(Http(), 100.0)
    answer = asyncio.run(gateway.hold(worker_info(), 7, 0, None, 0))
    assert answer.err_value.context["other_incarnation"] == is_other

"""Orders that cannot be sent or that fail have an outcome and a log line."""

import asyncio
from types import SimpleNamespace

import pytest

from nutmeglb._internal.queues.leader_callbacks import LeaderCallbacks
from nutmeglb._internal.queues.order_slots import OrderSlots
from nutmeglb._internal.queues.ports import OrderAnswer
from nutmeglb._internal.queues.worker_links import WorkerLinks
from nutmeglb_decisions.queues import lifecycle, orders
from nutmeglb_decisions.queues.cell import KeptWorker
from nutmeglb_decisions.queues.effects import PaceTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.poll_wait import LONG_POLL_MS, STRAY_POLL_MS
from nutmeglb_decisions.queues.worker_losses import PROVING_MS
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.queues import RunningTask, WorkerReport
from tests.lib.queues import BATCH, STOP_ENDS_AFTER_MS, CellWorld, job, step, worker_info
from tests.lib.worker_link import Link

JOB = "00000000000000aa"


def make_links(world, link_fails=False):
    """Return links to the workers of a cell, which never answer."""

    async def hold(*arguments):
        if link_fails:
            raise ValueError("unexpected report")
        await asyncio.Event().wait()

    async def wait_forever():
        await asyncio.Event().wait()

    callbacks = LeaderCallbacks(
        lambda: world.now_ms,
        wait_forever,
        lambda _: None,
        lambda: True,
        lambda _: False,
    )
    log = SimpleNamespace(defect=lambda part, error: None)
    clock = ManualClock(world.now_ms)
    return WorkerLinks(
        world.cell, SimpleNamespace(hold=hold, close=lambda: 0), clock, log, 7, 6_000, callbacks
    )


def world_with_order():
    """Return a world and a start order whose resources are allocated on its worker."""
    world = CellWorld()
    world.show(worker_info())
    world.add(job(JOB, step()))
    world.schedule()
    (order,) = world.started
    world.started.clear()
    return world, order


def decision_causes(world, kind):
    """Return the causes of the logged decisions of one kind about w1."""
    decisions = world.cell.take_decisions()
    return [d.cause for d in decisions if d.kind == kind and d.worker == "w1"]


@pytest.mark.parametrize("link_fails", [False, True])
def test_start_without_a_link_releases_its_capacity_and_is_placed_again(link_fails):
    """Guards against a lost task whose run no answer, report or lease expiry can end."""
    world, order = world_with_order()
    links = make_links(world, link_fails)

    async def scenario():
        if link_fails:
            links.refresh()
            links._links["w1"].wake()
            while "w1" in links._links:
                await asyncio.sleep(0)
        links.send_order(order)
        await links.stop()

    asyncio.run(scenario())
    assert not world.worker("w1").runs
    assert decision_causes(world, "start_refused") == ["no_link"]
    world.now_ms += 1_000.0
    if link_fails:
        world.report("w1", running=())
    world.schedule()
    assert [start.run for start in world.started] == [order.run + 1]


@pytest.mark.parametrize(
    "make_order",
    [
        lambda order: StopTask("w1", order.task, order.run),
        lambda order: PaceTask("w1", order.task, order.run, 50),
    ],
)
def test_stop_or_pace_order_without_a_link_is_logged_and_its_run_is_kept(make_order):
    """A stop is repeated after the next report, so the run may continue until then."""
    world, order = world_with_order()
    make_links(world).send_order(make_order(order))
    assert decision_causes(world, "order_not_sent") == ["the worker has no link"]
    assert (order.task, order.run) in world.worker("w1").runs


def test_order_to_an_absent_worker_is_logged():
    world, order = world_with_order()
    links = make_links(world)
    del world.cell.workers["w1"]
    links.send_order(order)
    assert decision_causes(world, "order_not_sent") == ["the worker has no link"]


@pytest.mark.parametrize(
    "answer", [each for each in StartOutcome if each != StartOutcome.OTHER_INCARNATION]
)
def test_stop_is_repeated_until_the_worker_accepts_it(answer):
    """Guards against a run that is never stopped, and a second concurrent run.

    A refused stop is no proof: the run may continue, or a delayed order may still start it.
    """
    link = Link(answers=[answer])
    (run,) = link.worker.runs.values()
    lifecycle.stop_run(link.world.cell, run)
    (order,) = link.world.cell.take_effects()
    asyncio.run(link.link.stop(order))
    orders.resend_stops(link.world.cell, link.worker)
    assert link.world.cell.take_effects() == ([] if answer == StartOutcome.STARTED else [order])
    is_logged = answer not in (StartOutcome.STARTED, StartOutcome.UNKNOWN)
    assert decision_causes(link.world, "stop_refused") == ([answer] if is_logged else [])


def test_unanswered_stop_is_repeated_before_the_next_renewal():
    """Guards against a renewal that occupies the only connection to a worker.

    It extends the lease of the run to be stopped each time, so that the run never ends.
    """
    link = Link(answers=[StartOutcome.UNKNOWN, StartOutcome.STARTED, StartOutcome.STARTED])
    (run,) = link.worker.runs.values()
    lifecycle.stop_run(link.world.cell, run)
    (order,) = link.world.cell.take_effects()
    stop = (order.task, order.run)

    async def scenario():
        await link.link.stop(order)
        await link.link._renew()
        assert link.sent[0] == stop
        assert link.sent[-1] == stop
        assert len(link.sent) == 3
        assert link.waits_sent == [STRAY_POLL_MS]
        # The stop was accepted: the next renewal waits for the end of the run.
        await link.link._renew()
        assert len(link.sent) == 4

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("ages_ms", "waits_ms"),
    [
        # The report at the time of the proof still lists the run, so only its end matters.
        ([10.0, STOP_ENDS_AFTER_MS, STOP_ENDS_AFTER_MS + 1.0], [350, 0, LONG_POLL_MS]),
        ([STOP_ENDS_AFTER_MS + 500.0, STOP_ENDS_AFTER_MS + 501.0], [0, LONG_POLL_MS]),
    ],
)
def test_report_that_can_prove_the_end_of_a_stopped_run_is_requested_once(ages_ms, waits_ms):
    """Guards against a task that waits for a long poll, and a worker that is polled endlessly."""
    link = Link()
    (run,) = link.worker.runs.values()
    lifecycle.stop_run(link.world.cell, run)
    stopped_ms = link.clock.now_ms()
    link.next_report = WorkerReport(0.0, 1_000, (RunningTask(run.task, run.number, "", 100),), ())
    orders.apply_stop_answer(link.world.cell, "w1", run.task, run.number, stopped_ms)
    for age_ms in ages_ms:
        link.clock.advance(stopped_ms + age_ms - link.clock.now_ms())
        asyncio.run(link.link._renew())
    assert link.waits_sent == waits_ms


@pytest.mark.parametrize("outcome", [StartOutcome.UNKNOWN, StartOutcome.STARTED])
def test_starts_that_wait_for_a_slot_of_a_worker_that_does_not_answer_are_not_sent(outcome):
    """Guards against a burst of starts of which each waits for the timeouts of others."""
    link = Link()
    link.link._order_slots = OrderSlots(1)
    link.world.add(job("b", step(), queue=BATCH))
    link.world.schedule()
    first, second = link.order, link.world.started[-1]
    assert (first.task, second.task) == ("a.0.0.0", "b.0.0.0")

    async def start(worker, order):
        link.sent.append(order.task)
        await asyncio.sleep(0)
        link.clock.advance(400.0)
        return OrderAnswer(outcome)

    link.start = start

    async def scenario():
        await asyncio.gather(link.link.start(first), link.link.start(second))

    asyncio.run(scenario())
    is_answered = outcome == StartOutcome.STARTED
    assert link.sent == ([first.task, second.task] if is_answered else [first.task] * 2)
    assert ((second.task, second.run) in link.worker.runs) == is_answered


@pytest.mark.parametrize(("is_kept", "wait_ms"), [(True, PROVING_MS), (False, LONG_POLL_MS)])
def test_reports_are_requested_more_often_while_workers_are_kept_for_suspects(is_kept, wait_ms):
    """Guards against a worker that stays kept for the rest of a long poll."""
    link = Link()
    (run,) = link.worker.runs.values()
    if is_kept:
        link.world.cell.kept_workers["w2"] = KeptWorker(run.step, run.step.tasks[0], 0.0)
    asyncio.run(link.link._renew())
    assert link.waits_sent == [wait_ms]


def test_idle_worker_that_does_not_answer_is_polled_until_it_does():
    """Guards against a worker that stays unused after a short network partition."""

    async def scenario():
        link = Link([StartOutcome.UNKNOWN, StartOutcome.UNKNOWN])
        link.worker.runs.clear()
        polling = asyncio.create_task(link.link.run())
        await asyncio.sleep(0)
        link.link.wake()
        async with asyncio.timeout(10.0):
            while len(link.sent) < 3:
                await asyncio.sleep(0.01)
        polling.cancel()
        assert link.worker.unanswered_since_ms is None

    asyncio.run(scenario())

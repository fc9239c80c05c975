"""Tasks whose runs were lost with their workers start without other work beside them."""

from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import crashing_tasks, lifecycle, reports, waiting
from nutmeglb_decisions.queues.isolation import (
    MAX_IDLE_WAIT_MS,
    MAX_KEPT_SHARE,
    MAX_UNUSED_MS,
    MAX_WAIT_MS,
)
from nutmeglb_decisions.queues.state import Isolation, JobState
from nutmeglb_decisions.queues.task_losses import ASSUMED, Loss, TaskLosses
from nutmeglb_decisions.queues.worker_losses import PROVING_MS
from nutmeglb_formats.models.queues import StepSpec
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import CellWorld, job, step, worker_info

PASS_MS = 100.0
SUSPECT = Loss(is_proved=True, is_suspect=True, was_alone=False)
BYSTANDER = Loss(is_proved=True, is_suspect=False, was_alone=False)
BESIDE_SUSPECT = replace(BYSTANDER, is_beside_suspect=True)


def world_with_work(workers: int, busy_cpu: int, **busy: object) -> CellWorld:
    """Return a world whose workers each run a long task that has been proved active."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(workers)))
    for number in range(workers):
        spec = step(1, busy_cpu, estimate_ms=60_000.0, **busy)
        world.add(job(f"busy{number}", spec))
    world.schedule()
    world.answer_starts()
    world.tick(PROVING_MS)
    for number in range(workers):
        world.report(f"w{number}")
    return world


def add_lost(world: CellWorld, spec: StepSpec, *losses: Loss, job_id: str = "lost") -> None:
    """Add a job whose tasks all have the given losses."""
    lost = world.add(job(job_id, spec))
    for each in lost.steps[0].tasks:
        each.losses = TaskLosses(dict(enumerate(losses, 1)))
        each.last_run = len(losses)
        lost.steps[0].lossy_tasks.add(each.index)
    world.cell.mark_dirty(lost)


def start_of(world: CellWorld, job_id: str, limit_ms: float) -> float | None:
    """Return after which time the first task of a job starts, or ``None`` within the limit."""
    waited_ms = 0.0
    while waited_ms <= limit_ms:
        world.schedule()
        if any(order.task.startswith(job_id) for order in world.started):
            return waited_ms
        world.tick(PASS_MS)
        waited_ms += PASS_MS
    return None


@pytest.mark.parametrize(
    ("workers", "busy_cpu", "spec", "bound_ms"),
    [
        (2, 12_000, step(), MAX_WAIT_MS),
        (1, 2_000, step(), MAX_IDLE_WAIT_MS),
        (2, 12_000, step(lasting=True), MAX_IDLE_WAIT_MS),
        (2, 12_000, step(2, gang=True), MAX_WAIT_MS),
    ],
    ids=["full_service", "idle_service", "lasting", "gang"],
)
@pytest.mark.parametrize("is_busy_lasting", [False, True])
def test_wait_for_an_empty_worker_ends_although_no_worker_empties(
    workers, busy_cpu, spec, bound_ms, is_busy_lasting
):
    world = world_with_work(workers, busy_cpu, lasting=is_busy_lasting)
    add_lost(world, spec, SUSPECT)
    waited_ms = start_of(world, "lost", 2 * MAX_WAIT_MS)
    assert waited_ms is not None
    assert bound_ms <= waited_ms <= bound_ms + 5 * PASS_MS


def test_suspect_starts_at_once_on_an_empty_worker_and_nothing_is_placed_beside_it():
    world = world_with_work(1, 2_000)
    reports.apply_worker_list(world.cell, [worker_info("w0"), worker_info("w1")], world.now_ms)
    world.report("w1")
    add_lost(world, step(), SUSPECT)
    assert start_of(world, "lost", PASS_MS) is not None
    (order,) = world.answer_starts()
    assert order.worker_id == "w1"
    world.add(job("other", step(4, 4_000)))
    world.schedule()
    assert {each.worker_id for each in world.answer_starts()} == {"w0"}
    world.tick(PROVING_MS)
    world.report("w1")
    world.schedule()
    assert {each.worker_id for each in world.answer_starts()} == {"w1"}


@pytest.mark.parametrize(
    ("losses", "is_isolated"),
    [
        ((BYSTANDER,), False),
        ((SUSPECT,), True),
        ((BYSTANDER, BYSTANDER), True),
        ((BYSTANDER, ASSUMED, ASSUMED), False),
    ],
)
def test_task_lost_once_after_it_was_proved_active_starts_as_usual(losses, is_isolated):
    world = world_with_work(1, 2_000)
    add_lost(world, step(), *losses)
    started_ms = start_of(world, "lost", PASS_MS)
    assert (started_ms is None) == is_isolated


@pytest.mark.parametrize(
    ("losses", "isolation"),
    [
        ((BYSTANDER,), Isolation.NONE),
        ((BESIDE_SUSPECT,) * 2, Isolation.NONE),
        ((BESIDE_SUSPECT,) * 3, Isolation.WHOLE_RUN),
        ((BYSTANDER, BESIDE_SUSPECT), Isolation.NONE),
        ((BYSTANDER,) * 2, Isolation.WHOLE_RUN),
        ((SUSPECT,) * 3, Isolation.UNTIL_PROVED),
        ((SUSPECT, BYSTANDER), Isolation.UNTIL_PROVED),
        ((SUSPECT, BYSTANDER, BYSTANDER), Isolation.WHOLE_RUN),
        ((ASSUMED,) * 3, Isolation.NONE),
    ],
)
def test_isolation_follows_from_what_the_losses_show(losses, isolation):
    world = CellWorld()
    add_lost(world, step(), *losses)
    (added,) = world.cell.jobs["lost"].steps
    assert crashing_tasks.isolation_of(added, added.tasks[0]) == isolation


def test_work_that_was_lost_beside_suspects_does_not_keep_a_worker_each():
    """Guards against healthy work that is idle beside nearly empty workers.

    Each of them was kept for one task that had been lost twice beside a task that crashes workers.
    """
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(3)))
    add_lost(world, step(24), BESIDE_SUSPECT, BESIDE_SUSPECT)
    world.schedule()
    assert len(world.answer_starts()) == 24


def test_suspect_that_was_lost_twice_keeps_its_worker_only_until_it_is_proved_active():
    world = CellWorld()
    world.show(worker_info("w0"))
    add_lost(world, step(estimate_ms=60_000.0), SUSPECT, SUSPECT)
    start_of(world, "lost", PASS_MS)
    world.answer_starts()
    world.add(job("other", step()))
    assert start_of(world, "other", PROVING_MS - PASS_MS) is None
    world.report("w0")
    assert start_of(world, "other", PASS_MS) is not None


def test_one_suspect_of_a_job_is_tried_at_a_time_until_one_is_proved_active():
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(4)))
    add_lost(world, step(3), SUSPECT)
    start_of(world, "lost", PASS_MS)
    (first,) = world.answer_starts()
    world.tick(PROVING_MS)
    world.schedule()
    assert not world.started
    world.report(first.worker_id)
    start_of(world, "lost", PASS_MS)
    assert len(world.answer_starts()) == 2


def test_workers_kept_for_suspects_are_a_bounded_share():
    workers = 8
    world = world_with_work(workers, 12_000)
    for number in range(workers):
        add_lost(world, step(), SUSPECT, job_id=f"lost{number}")
    world.schedule()
    assert len(world.cell.kept_workers) == MAX_KEPT_SHARE * workers


def test_worker_is_released_when_the_task_that_it_is_kept_for_is_cancelled():
    world = world_with_work(1, 12_000)
    add_lost(world, step(), SUSPECT)
    world.schedule()
    assert world.worker("w0").is_kept
    lifecycle.cancel_job(world.cell, "lost", world.now_ms)
    world.schedule()
    assert not world.worker("w0").is_kept


@pytest.mark.parametrize(
    ("losses", "cause"),
    [
        ((SUSPECT, SUSPECT), None),
        ((SUSPECT, Loss(True, True, True)), "a worker crashed at its start while it ran alone"),
        ((SUSPECT, Loss(True, False, True)), None),
        ((SUSPECT, Loss(False, True, True)), None),
        ((SUSPECT,) * 3, "workers were lost at its start too often"),
        ((BYSTANDER,) * 4, None),
        ((BYSTANDER,) * 5, "its runs were lost with their workers the maximum number of times"),
        ((Loss(False, True, True),) * 3, None),
        ((Loss(False, True, True),) * 4, "workers were lost at its start too often"),
    ],
)
def test_task_is_given_up_only_on_evidence_against_it(losses, cause):
    world = CellWorld()
    world.show(worker_info("w0"))
    add_lost(world, step(), *losses)
    world.schedule()
    lines = [line for line in world.cell.take_decisions() if line.kind == "task_given_up"]
    assert [line.cause for line in lines] == ([cause] if cause else [])


def test_wait_for_an_empty_worker_is_explained():
    world = world_with_work(1, 12_000)
    add_lost(world, step(), SUSPECT)
    start_of(world, "lost", PASS_MS)
    waits = waiting.explain(world.cell, world.cell.jobs["lost"].steps[0], world.now_ms)
    assert waits.cause == (
        "runs were lost with their workers: it waits for a worker without other work, at most for"
        " a bounded time"
    )


def test_worker_is_released_when_its_task_waits_for_something_else():
    """Guards against a worker that stays empty for a task that may not start at present."""
    world = world_with_work(1, 12_000)
    add_lost(world, step(), SUSPECT)
    world.schedule()
    assert world.worker("w0").is_kept
    world.cell.jobs["lost"].steps[0].deferral.until_ms = world.now_ms + 60_000.0
    world.tick(MAX_UNUSED_MS + PASS_MS)
    world.schedule()
    assert not world.worker("w0").is_kept


def test_gang_is_not_kept_from_starting_by_the_workers_of_its_last_run():
    world = CellWorld()
    world.show(worker_info("w0"), worker_info("w1"))
    add_lost(world, step(2, 16_000, gang=True), SUSPECT)
    assert start_of(world, "lost", PASS_MS) is not None
    for order in world.answer_starts():
        world.end(order, "failed")
    world.tick(1_000.0)
    assert start_of(world, "lost", PASS_MS) is not None


def test_kept_worker_offers_no_capacity_to_other_work():
    """Guards against steps that wait beside free workers, as theirs is kept for a suspect."""
    world = world_with_work(1, 12_000)
    add_lost(world, step(1, 2_000), SUSPECT)
    world.schedule()
    kept = world.worker("w0")
    assert kept.is_kept and kept.free == Resources()
    world.add(job("other", step()))
    world.schedule()
    world.show(kept.info, worker_info("w1", 1_500))
    world.schedule()
    orders = [order for order in world.answer_starts() if order.task.startswith("other")]
    assert [order.worker_id for order in orders] == ["w1"]
    lifecycle.cancel_job(world.cell, "lost", world.now_ms)
    world.schedule()
    assert kept.free.cpu_millis == 4_000


def test_third_crash_of_a_task_costs_no_other_work_although_no_worker_empties():
    """Guards against a task that starts beside others after two crashes at its start."""
    world = world_with_work(2, 12_000)
    add_lost(world, step(), SUSPECT, SUSPECT)
    assert start_of(world, "lost", 2 * MAX_WAIT_MS) is None
    assert world.cell.finished["lost"].state == JobState.FAILED
    (given_up,) = (each for each in world.cell.decisions if each.kind == "task_given_up")
    assert given_up.cause.startswith("workers crashed at its start twice")

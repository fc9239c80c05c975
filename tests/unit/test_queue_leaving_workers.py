"""A planned leave of a worker says nothing about the tasks that ended with it (review, case 2)."""

from dataclasses import dataclass, replace

import cbor2
import pytest

from nutmeglb_decisions.queues import (
    ended_lives,
    progress,
    reports,
    unseen_runs,
    worker_addresses,
    worker_losses,
)
from nutmeglb_decisions.queues.ended_lives import OtherIncarnation
from nutmeglb_decisions.queues.leaving_workers import MAX_REMEMBERED, remember
from nutmeglb_decisions.queues.task_losses import ASSUMED, RESERVED, Loss
from nutmeglb_formats.codec import TypeRegistry
from nutmeglb_formats.models.queue_records import (
    WorkerAddress,
    WorkerAddresses,
    decode_queue_record,
    encode_queue_record,
)
from tests.lib.queue_release_world import (
    DRAIN_MS,
    LASTING,
    LONG_GANG,
    LONG_TASK,
    ReleaseWorld,
    draw_case,
)
from tests.lib.queue_world import replay
from tests.lib.queues import CellWorld, job, step, worker_info
from tests.unit.test_queue_worker_losses import let_leases_expire, losses_of, next_leader, restart

RELEASES = 6
KINDS = {"lasting": LASTING, "long_task": LONG_TASK, "long_gang": LONG_GANG}


def release_in_turn(*between):
    """Return steps that replace the worker with the work again and again."""
    return [("release_with", 0, DRAIN_MS, 500), *between, ("advance", 11_000)] * RELEASES


ORDERS = {
    "alone": (),
    "leader_killed_after_the_announcement": (("advance", 600), ("kill", 0), ("kill", 1)),
    "leader_replaced_while_the_worker_leaves": (
        ("advance", 1_900), ("replace", 0), ("replace", 1)
    ),
    "leader_killed_after_the_leave": (("advance", 2_500), ("kill", 0), ("kill", 1)),
    "store_down_while_the_worker_leaves": (
        ("advance", 700), ("store_down", True), ("advance", 3_000), ("store_up",)
    ),
    "store_down_right_after_the_announcement": (
        ("advance", 1), ("store_down", True), ("advance", 4_000), ("store_up",)
    ),
    "leader_frozen_while_the_worker_leaves": (
        ("advance", 100), ("pause", 0), ("advance", 4_000), ("resume", 0)
    ),
    "two_workers_at_once": (("release_with", 1, DRAIN_MS, 500),),
}  # fmt: skip


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", ORDERS)
def test_planned_leaves_of_workers_give_up_no_job(name, kind):
    """Guards against a job that is shown as failed although none of its runs has failed."""
    steps = [("submit", KINDS[kind]), ("advance", 1_500), *release_in_turn(*ORDERS[name])]
    replay(steps, make_world=ReleaseWorld)


def test_releases_in_any_order_give_up_no_job():
    failures = {}
    for seed in range(30):
        try:
            replay(draw_case(seed), make_world=ReleaseWorld)
        except AssertionError as error:
            failures[seed] = str(error)
    assert not failures


def world_with_run(**changes) -> CellWorld:
    """Return a world whose worker has just started a run."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step(**changes)))
    world.schedule()
    world.answer_starts()
    world.tick(100.0)
    return world


def announce(world, worker_id="w1"):
    """Let a worker say in its entry that it leaves."""
    info = replace(world.worker(worker_id).info, draining=True)
    reports.apply_worker_list(world.cell, [info], world.now_ms)


def leave_silently(world):
    reports.apply_worker_list(world.cell, [], world.now_ms)
    let_leases_expire(world)


def be_replaced(world):
    info = world.worker("w1").info
    world.now_ms += 3_000.0
    evidence = OtherIncarnation(info.address, info.started_ms, world.now_ms - 1.0)
    ended_lives.end_life(world.cell, world.worker("w1"), evidence, world.now_ms, world.now_ms)


LEAVES = {"silent": leave_silently, "replaced": be_replaced, "back": restart}


@pytest.mark.parametrize("has_announced", [True, False], ids=["planned", "crash"])
@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("changes", [{}, {"lasting": True}], ids=["batch", "lasting"])
def test_only_a_loss_that_was_not_announced_counts(leave, has_announced, changes):
    world = world_with_run(**changes)
    if has_announced:
        announce(world)
    LEAVES[leave](world)
    assert world.cell.jobs["a"].steps[0].tasks[0].run is None
    assert bool(losses_of(world, "a")) != has_announced
    lines = [line for line in world.cell.take_decisions() if line.kind == "runs_lost"]
    assert [line.cause == "left" for line in lines] == [has_announced]


def test_worker_that_stays_after_all_counts_when_it_is_lost():
    world = world_with_run()
    announce(world)
    reports.apply_worker_list(world.cell, [worker_info("w1", revision=1)], world.now_ms)
    let_leases_expire(world)
    assert losses_of(world, "a") == {1: "presumed"}


def next_leader_after(world, former, *infos):
    """Return the world of the next leader, which has read what the former one stored."""
    successor = next_leader(world, 1)
    reports.apply_worker_list(successor.cell, infos, successor.now_ms)
    worker_addresses.restore(successor.cell, former)
    return successor


@pytest.mark.parametrize("has_announced", [True, False], ids=["planned", "crash"])
@pytest.mark.parametrize("is_back", [True, False], ids=["back", "gone"])
def test_next_leader_assumes_no_loss_on_a_worker_that_has_left_as_planned(has_announced, is_back):
    """The evidence falls into the change of leader: the worker leaves while there is none."""
    world = world_with_run()
    if has_announced:
        announce(world)
    former = worker_addresses.encode(world.cell, world.now_ms)
    infos = [worker_info("w1", started_ms=9_000)] if is_back else []
    successor = next_leader_after(world, former, *infos)
    if is_back:
        successor.tick(2_000.0)
        successor.report("w1", running=(), started_ms=9_000)
    else:
        reports.forget_workers(successor.cell, {"w1"})
    (added,) = successor.cell.jobs["a"].steps
    assert not added.unsettled
    unseen_runs.settle_unseen_losses(successor.cell, added)
    assert bool(losses_of(successor, "a")) != has_announced


@pytest.mark.parametrize("is_lost", [True, False])
def test_run_that_was_about_to_start_counts_only_if_a_worker_was_lost_meanwhile(is_lost):
    """Guards against one loss more with each change of leader for a task that was lost before."""
    world = world_with_run()
    let_leases_expire(world)
    world.report("w1", running=(), started_ms=9_000)
    world.tick(1_000.0)
    infos = [worker_info("w1", started_ms=9_000), worker_info("w2")]
    world.show(*infos)
    world.report("w1", running=(), started_ms=9_000)
    world.schedule()
    (order,) = world.started
    successor = next_leader(world, 1)
    before = losses_of(successor, "a")
    assert before.keys() == {1, order.run}
    (added,) = successor.cell.jobs["a"].steps
    if is_lost:
        reports.forget_workers(successor.cell, set(added.unsettled))
    else:
        reports.apply_worker_list(successor.cell, infos, successor.now_ms)
        successor.tick(2_000.0)
        for info in infos:
            successor.report(info.worker_id, running=())
    assert not added.unsettled
    unseen_runs.settle_unseen_losses(successor.cell, added)
    assert losses_of(successor, "a").keys() == ({1, order.run} if is_lost else {1})


VANISHED = Loss(is_proved=False, is_suspect=False, was_alone=False, is_vanished=True)
CRASHED_AT_START = Loss(is_proved=True, is_suspect=True, was_alone=False)
CRASHED_LATER = Loss(is_proved=True, is_suspect=False, was_alone=False)


@pytest.mark.parametrize(
    ("losses", "given_up"),
    [
        ((VANISHED,) * 9, False),
        ((CRASHED_LATER,) * 3, False),
        ((CRASHED_LATER,) * 5, True),
        ((ASSUMED,) * 5, True),
        ((RESERVED,) * 9, False),
        ((replace(VANISHED, is_suspect=True, was_alone=True),) * 9, False),
        ((*(CRASHED_LATER,) * 2, *(VANISHED,) * 9, CRASHED_AT_START), False),
        ((CRASHED_AT_START, replace(CRASHED_AT_START, was_alone=True)), True),
        ((CRASHED_AT_START,) * 2, False),
        ((CRASHED_AT_START,) * 3, True),
    ],
)
def test_lasting_task_is_given_up_only_for_certain_crashes(losses, given_up):
    """It has to be started again however it ends."""
    world = CellWorld()
    world.show(worker_info("w1"))
    added = world.add(job("a", step(lasting=True)))
    task = added.steps[0].tasks[0]
    task.losses = worker_losses.TaskLosses(dict(enumerate(losses, 1)))
    task.last_run = len(losses)
    added.steps[0].lossy_tasks.add(0)
    world.schedule()
    world.tick(worker_losses.MAX_RESTART_INTERVAL_MS)
    world.schedule()
    assert (added.final is not None) == given_up
    assert bool(world.started) != given_up


@dataclass(frozen=True)
class FormerAddresses:
    """The record as releases before announcements were stored know it."""

    workers: list[WorkerAddress]


@pytest.mark.parametrize(
    ("leaving", "unsettled", "version"),
    [([], [], 1), ([("w1", 900)], [], 2), ([], ["w1"], 3), ([("w1", 900)], ["w1"], 3)],
)
def test_record_of_announcements_and_the_former_one_are_read(leaving, unsettled, version):
    """Without announcements the record is the one that former releases write and read."""
    address = WorkerAddress("w1", "farm", "10.0.0.9:1", 900)
    stored = WorkerAddresses([address], leaving, unsettled)
    encoded = encode_queue_record(stored)
    assert decode_queue_record(encoded, "addresses").ok_value == stored
    assert cbor2.loads(encoded)[1] == version
    former = TypeRegistry()
    former.register(707, 1)(FormerAddresses)
    read = former.from_items(cbor2.loads(encoded))
    assert read.is_ok() == (version == 1)
    written = cbor2.dumps(former.to_items(FormerAddresses([address])))
    assert decode_queue_record(written, "addresses").ok_value == WorkerAddresses([address])


def test_number_of_remembered_announcements_is_bounded():
    world = CellWorld()
    remember(world.cell, [(f"w{number}", 1) for number in range(MAX_REMEMBERED + 5)])
    assert len(world.cell.leaving_lives) == MAX_REMEMBERED
    assert "w4" not in world.cell.leaving_lives


def test_progress_of_a_former_leader_restores_runs_that_may_not_have_been_seen():
    world = world_with_run()
    let_leases_expire(world)
    (added,) = world.cell.jobs["a"].steps
    added.tasks[0].losses.reserved_run = 2
    encoded = progress.encode(world.cell.jobs["a"])
    successor = CellWorld()
    progress.restore(successor.cell, added.job.record, encoded, 0.0, 0.0)
    (restored,) = successor.cell.jobs["a"].steps
    assert restored.unseen_tasks == {0}
    assert restored.tasks[0].losses.unseen == {2: ()}

"""Runs that are lost with their worker: which are logged as suspects, and what counts."""

from dataclasses import dataclass, replace

import cbor2
import pytest

from nutmeglb._internal.queues.commits import _encode_write
from nutmeglb_decisions.queues import (
    lifecycle,
    orders,
    placing,
    progress,
    reports,
    run_numbers,
)
from nutmeglb_decisions.queues.absent_runs import LOST
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StartTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.task_losses import MIN_UNUSED_MS, restore_losses
from nutmeglb_decisions.queues.worker_losses import LASTING_RESET_MS
from nutmeglb_formats.codec import TypeRegistry
from nutmeglb_formats.models.queue_records import (
    JobProgress,
    decode_queue_record,
    encode_queue_record,
)
from nutmeglb_formats.models.queues import RunningTask, StepProgress
from tests.lib.queues import (
    LEASE_EXPIRY_AFTER_MS,
    STOP_ENDS_AFTER_MS,
    CellWorld,
    job,
    step,
    worker_info,
)


@dataclass(frozen=True)
class FormerStep:
    """Progress of a step as the releases before losses were stored know it."""

    occurrence: int
    step: int
    workers: list[str]
    done: list[int]
    failures: list[list[int]]


@dataclass(frozen=True)
class FormerProgress:
    """Progress of a job as these releases know it."""

    queue: str
    final: str
    finished_ms: float
    completed: list[int]
    steps: list[FormerStep]
    team: str = ""


def world_before_a_loss() -> CellWorld:
    """Return a world whose worker has an active run, and one that has just been started."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step()))
    world.schedule()
    world.answer_starts()
    world.tick(2_000.0)
    world.report("w1")
    world.add(job("b", step()))
    world.schedule()
    world.answer_starts()
    world.tick(10.0)
    return world


def let_leases_expire(world: CellWorld, worker_id: str = "w1") -> None:
    """Let a worker be silent until the leases of its runs have expired."""
    orders.unanswered(world.cell, world.worker(worker_id), world.now_ms)
    world.tick(10_000.0)


def restart(world: CellWorld, worker_id: str = "w1", started_ms: int = 9_000) -> None:
    """Let a worker answer as another incarnation, which has no runs and accepts all stops."""
    world.tick(3_000.0)
    world.report(worker_id, running=(), started_ms=started_ms)
    for effect in world.cell.take_effects():
        if isinstance(effect, StopTask):
            orders.apply_stop_answer(
                world.cell, effect.worker_id, effect.task, effect.run, world.now_ms
            )
    world.tick(1_000.0)
    world.report(worker_id, running=())
    infos = {each.worker_id: each.info for each in world.cell.workers.values()}
    infos[worker_id] = replace(infos[worker_id], started_ms=started_ms)
    reports.apply_worker_list(world.cell, infos.values(), world.now_ms)


@pytest.mark.parametrize(
    ("lose", "evidence"), [(restart, "proved"), (let_leases_expire, "presumed")]
)
def test_loss_of_a_worker_names_the_runs_that_may_have_crashed_it(lose, evidence):
    world = world_before_a_loss()
    lose(world)
    lines = [line for line in world.cell.take_decisions() if line.kind == "runs_lost"]
    fields = [dict(line.fields) for line in lines]
    assert lines and {line.cause for line in lines} == {evidence}
    assert sum(each["runs"] for each in fields) == 2
    suspects = " ".join(each["suspects"] for each in fields).split()
    assert [each.rpartition(":")[0] for each in suspects] == ["b.0.0.0:1"]


def add_worker(world: CellWorld, worker_id: str) -> None:
    """List one worker more."""
    world.show(*(each.info for each in world.cell.workers.values()), worker_info(worker_id))


def losses_of(world: CellWorld, job_id: str) -> dict[int, str]:
    """Return the losses of the only task of a job by run number, as the evidence of each."""
    losses = world.cell.jobs[job_id].steps[0].tasks[0].losses
    if losses is None:
        return {}
    counted = {n: "proved" if each.is_proved else "presumed" for n, each in losses.by_run.items()}
    return counted | dict.fromkeys(losses.unseen, "undecided")


def next_leader(world: CellWorld, term: int) -> CellWorld:
    """Return the world of the next leader, which reads what is stored. No worker has answered."""
    stored = {
        job_id: decode_queue_record(encode_queue_record(progress.encode(job)), "st").ok_value
        for job_id, job in world.cell.active.items()
    }
    successor = CellWorld(world.now_ms, Cell(term, LEASE_EXPIRY_AFTER_MS, STOP_ENDS_AFTER_MS))
    for job_id, former in world.cell.active.items():
        progress.restore(successor.cell, former.record, stored[job_id], world.now_ms, world.now_ms)
    return successor


def test_worker_that_was_only_cut_off_withdraws_the_losses():
    world = world_before_a_loss()
    let_leases_expire(world)
    assert losses_of(world, "a") == losses_of(world, "b") == {1: "presumed"}
    world.report("w1", running=())
    assert losses_of(world, "a") == losses_of(world, "b") == {}


def test_worker_that_returns_as_another_incarnation_proves_the_losses():
    world = world_before_a_loss()
    let_leases_expire(world)
    world.report("w1", running=(), started_ms=9_000)
    world.report("w1", running=())
    assert losses_of(world, "a") == losses_of(world, "b") == {1: "proved"}


@pytest.mark.parametrize("is_lapsed_before", [False, True])
def test_end_of_the_life_of_a_worker_proves_the_losses(is_lapsed_before):
    """Guards against counts that stay presumed after a worker has been replaced at its address."""
    world = world_before_a_loss()
    if is_lapsed_before:
        let_leases_expire(world)
    reports.end_all_runs(world.cell, world.worker("w1"), LOST, world.now_ms, world.now_ms)
    assert losses_of(world, "a") == losses_of(world, "b") == {1: "proved"}


def test_end_that_the_next_leader_reads_withdraws_the_loss():
    world = world_before_a_loss()
    let_leases_expire(world)
    successor = next_leader(world, 1)
    assert losses_of(successor, "b") == {1: "presumed"}
    successor.show(worker_info("w1"))
    successor.report("w1", (("b.0.0.0", 1, "lapsed", ""),), running=())
    assert losses_of(successor, "b") == {}


@pytest.mark.parametrize("has_suspect", [True, False])
def test_loss_beside_a_suspect_is_told_from_one_without(has_suspect):
    world = world_before_a_loss()
    if not has_suspect:
        world.tick(2_000.0)
        world.report("w1")
    restart(world)
    task = world.cell.jobs["a"].steps[0].tasks[0]
    (loss,) = task.losses.by_run.values()
    assert (loss.is_beside_suspect, loss.is_suspect) == (has_suspect, False)
    assert restore_losses(task.losses.rows(0))[0].by_run == task.losses.by_run


@pytest.mark.parametrize("repeats", [1, 3])
def test_loss_counts_once_and_under_each_leader(repeats):
    world = world_before_a_loss()
    restart(world)
    for term in range(1, 1 + repeats):
        world = next_leader(world, term)
        assert losses_of(world, "b") == {1: "proved"}


def test_task_with_losses_starts_only_after_its_losses_and_run_number_are_stored():
    world = world_before_a_loss()
    restart(world)
    add_worker(world, "w2")
    # Losses and the number of the run are stored in passes of their own.
    started = []
    for _ in range(4):
        stored = {
            task.index: task.losses.stored
            for task in world.cell.jobs["a"].steps[0].tasks
            if task.losses is not None
        }
        placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
        for order in world.cell.take_effects():
            if isinstance(order, StartTask) and order.task == "a.0.0.0":
                started.append(order.run)
                assert {row[1] for row in stored[0]} == {1, order.run}
                assert (0, order.run, order.worker_id, 1_000) in stored[0]
        world.store()
    assert started == [2]


def test_number_that_a_commit_in_progress_removes_counts_as_not_stored():
    """Guards against a start that the next leader does not know of."""
    world = world_before_a_loss()
    restart(world)
    world.store()
    job_a = world.cell.jobs["a"]
    (a_step,) = job_a.steps
    tasks, workers = a_step.tasks, list(world.cell.workers.values())
    assert run_numbers.next_number(world.cell, a_step, tasks, workers, world.now_ms) is None
    world.store()
    assert run_numbers.next_number(world.cell, a_step, tasks, workers, world.now_ms) == 2
    run_numbers.release_number(world.cell, a_step, tasks[0])
    world.cell.dirty.clear()
    written = _encode_write(job_a).progress
    assert run_numbers.next_number(world.cell, a_step, tasks, workers, world.now_ms) is None
    progress.committed(world.cell, job_a, written)
    assert run_numbers.next_number(world.cell, a_step, tasks, workers, world.now_ms) is None
    world.store()
    assert run_numbers.next_number(world.cell, a_step, tasks, workers, world.now_ms) == 2


@pytest.mark.parametrize(
    ("started_ms", "is_running", "found"),
    [
        (1_000, True, {1: "proved"}),
        (1_000, False, {1: "proved"}),
        (2_000, False, {1: "proved", 2: "presumed"}),
    ],
)
def test_run_with_a_stored_number_counts_only_if_its_worker_was_lost(started_ms, is_running, found):
    """Guards against a healthy job that is given up for runs that no leader has ordered."""
    world = world_before_a_loss()
    restart(world)
    add_worker(world, "w2")
    # Its first worker is kept for the other task, so another one is stored for it.
    world.schedule()
    world.schedule()
    assert [(o.run, o.worker_id) for o in world.started if o.task == "a.0.0.0"] == [(2, "w2")]
    successor = next_leader(world, 1)
    assert losses_of(successor, "a") == {1: "proved", 2: "undecided"}
    # Until it is decided, it is stored as it was found.
    assert losses_of(next_leader(successor, 2), "a") == {1: "proved", 2: "undecided"}
    successor.show(worker_info("w1", started_ms=9_000), worker_info("w2", started_ms=started_ms))
    runs = (RunningTask("a.0.0.0", 2, "", 10),) if is_running else ()
    for _ in range(2):
        successor.report("w2", running=runs)
        successor.report("w1", running=())
        successor.tick(STOP_ENDS_AFTER_MS)
    placing.schedule(successor.cell, 4, successor.rng, successor.now_ms, successor.now_ms)
    assert losses_of(successor, "a") == found


@pytest.mark.parametrize(
    ("unused_ms", "counted"),
    [(MIN_UNUSED_MS, {1: "proved", 2: "undecided"}), (MIN_UNUSED_MS + 1.0, {1: "proved"})],
)
def test_number_is_withdrawn_when_no_worker_can_be_chosen_for_its_run(unused_ms, counted):
    """No order of the run was sent, so the next leader must not count a loss."""
    world = world_before_a_loss()
    restart(world)
    add_worker(world, "w2")
    losses = world.cell.jobs["a"].steps[0].tasks[0].losses
    while not losses.reserved_run:
        placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
        world.store()
    for worker_id in ("w1", "w2"):
        orders.unanswered(world.cell, world.worker(worker_id), world.now_ms)
    world.tick(unused_ms)
    placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
    assert losses_of(next_leader(world, 1), "a") == counted


@pytest.mark.parametrize(("stop", "counted"), [("answered", {}), ("unanswered", {1: "presumed"})])
def test_stopped_run_counts_only_if_its_stop_was_not_answered(stop, counted):
    world = world_before_a_loss()
    run = world.cell.jobs["b"].steps[0].tasks[0].run
    lifecycle.stop_run(world.cell, run)
    if stop == "answered":
        orders.apply_stop_answer(world.cell, "w1", run.task, run.number, world.now_ms)
    let_leases_expire(world)
    assert losses_of(world, "b") == counted


@pytest.mark.parametrize("outcome", [StartOutcome.NO_CAPACITY, StartOutcome.UNHEALTHY])
def test_refused_order_counts_for_nothing(outcome):
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("b", step()))
    world.schedule()
    world.answer_starts(outcome)
    let_leases_expire(world)
    assert losses_of(world, "b") == {}


def test_order_without_an_answer_counts_as_it_may_have_started_the_run():
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("b", step()))
    world.schedule()
    for order in world.started:
        world.answer(order, StartOutcome.UNKNOWN, certain=False)
    let_leases_expire(world)
    assert losses_of(world, "b") == {1: "presumed"}


def test_losses_of_a_lasting_task_are_forgotten_after_a_long_run():
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("b", step(lasting=True)))
    world.schedule()
    world.answer_starts()
    restart(world)
    assert losses_of(world, "b") == {1: "proved"}
    world.tick(2_000.0)
    world.report("w1")
    world.schedule()
    world.answer_starts()
    world.tick(LASTING_RESET_MS - 1.0)
    world.report("w1")
    assert losses_of(world, "b") == {1: "proved"}
    world.tick(1.0)
    world.report("w1")
    assert losses_of(world, "b") == {}


# Fields of a stored step before losses were stored.
FORMER_STEP_FIELDS = ("occurrence", "step", "workers", "done", "failures")


TWO_LOSSES = [[0, 3, 5], [0, 4, 8]]


@pytest.mark.parametrize(
    ("losses", "reserved"),
    [([], []), (TWO_LOSSES, []), (TWO_LOSSES, [(0, 4, "w1", 900), (0, 4, "w2", 800)])],
    ids=["none", "losses", "losses_and_workers"],
)
def test_former_and_present_releases_read_the_progress_of_each_other(losses, reserved):
    """A former release ignores losses; without any, the record is the one that it would write."""
    steps = [StepProgress(0, 1, ["w1"], [2], [[0, 1]], losses, reserved)]
    encoded = encode_queue_record(JobProgress("q", "", 0.0, [], steps))
    code, version, (*others, items) = cbor2.loads(encoded)
    assert (code, version) == (702, 1)
    added = [name for name, rows in (("losses", losses), ("reserved", reserved)) if rows]
    assert set(items[0]) == {*FORMER_STEP_FIELDS, *added}
    former = TypeRegistry()
    former.register(702, 2, added=1)(FormerProgress)
    read = former.from_items([code, version, [*others, items]])
    assert read.ok_value.steps == [FormerStep(0, 1, ["w1"], [2], [[0, 1]])]
    rewritten = decode_queue_record(cbor2.dumps(former.to_items(read.ok_value)), "st").ok_value
    assert rewritten.steps == [StepProgress(0, 1, ["w1"], [2], [[0, 1]], [])]
    assert decode_queue_record(encoded, "st").ok_value.steps == steps


@pytest.mark.parametrize("row", [[], [0], [0, 1, 2], [9, 1], [-1, 1]])
def test_malformed_rows_of_failures_are_ignored(row):
    """Guards against a stored record on which the takeover of each leader fails."""
    world = CellWorld()
    stored = JobProgress("batch", "", 0.0, [], [StepProgress(0, 0, [], [-1, 9], [row, [0, 1]])])
    progress.restore(world.cell, job("b", step()), stored, 0.0, 0.0)
    (restored,) = world.cell.jobs["b"].steps
    assert restored.tasks[0].failed_runs == {1}
    assert restored.remaining == 1


@pytest.mark.parametrize("row", [(0, 9, "w1", 900), (9, 2, "w1", 900), (-1, 2, "w1", 900)])
def test_rows_of_workers_for_other_runs_are_ignored(row):
    world = CellWorld()
    steps = [StepProgress(0, 0, [], [], [], [[0, 2, 8]], [row, (0, 2, "w2", 800)])]
    progress.restore(world.cell, job("b", step()), JobProgress("q", "", 0.0, [], steps), 0.0, 0.0)
    assert world.cell.jobs["b"].steps[0].tasks[0].losses.unseen == {2: (("w2", 800),)}


@pytest.mark.parametrize("row", [[], [0, 1], [9, 1, 1], [-1, 1, 1]])
def test_malformed_rows_of_losses_are_ignored(row):
    world = CellWorld()
    stored = JobProgress("batch", "", 0.0, [], [StepProgress(0, 0, [], [], [], [row, [0, 1, 1]])])
    progress.restore(world.cell, job("b", step()), stored, 0.0, 0.0)
    assert losses_of(world, "b") == {1: "proved"}
    assert world.cell.jobs["b"].steps[0].lossy_tasks == {0}

"""Counts the runs that were lost with their worker, per task.

Load pattern: a task crashes each worker that starts it, and takes the work of others along. A run
that a report has shown active for some time did not crash its worker at its start. The others on a
lost worker are suspects. Losses are counted by run number and stored with the progress of the job,
so that they are the same under each leader.
"""

from collections.abc import Sequence
from dataclasses import replace
from enum import StrEnum

from nutmeglb_decisions.queues import leaving_workers
from nutmeglb_decisions.queues.cell import Cell, CountedLosses
from nutmeglb_decisions.queues.crashing_tasks import give_up_if_hopeless
from nutmeglb_decisions.queues.state import (
    Isolation,
    PresumedLosses,
    Run,
    RunState,
    Step,
    Task,
)
from nutmeglb_decisions.queues.task_losses import Loss, TaskLosses
from nutmeglb_decisions.queues.worker_state import Worker

# A worker that a task crashes at its start is gone within the time of two calls that it does not
# answer, each of which takes up to 0.2 s.
PROVING_MS = 500.0
# Losses of a lasting task are forgotten when one of its runs has been active for this long, many
# times as long as a worker needs to return after a crash.
LASTING_RESET_MS = 30_000.0
# A crashed worker refuses connections. One that a run crashed at its start does so by this time
# after the order: the leader's next two calls.
GONE_AFTER_MS = 1_000.0
# Shortest interval between the starts of a lasting task whose runs are lost at their start. It
# doubles with each loss. Callers allow 9 s without a run.
MIN_RESTART_INTERVAL_MS = 500.0
MAX_RESTART_INTERVAL_MS = 5_000.0
# Names of the conditions that keep a suspect from starting.
WAITS_FOR_TRIAL = "trial"
WAITS_FOR_EMPTY_WORKER = "empty_worker"
# Time after a loss for which an announcement may still be read: the store's history is shorter.
ANNOUNCEMENT_READ_MS = 30_000.0
# Workers whose presumed losses are remembered until they answer.
MAX_PRESUMED_WORKERS = 1_000


class LossEvidence(StrEnum):
    """What shows that a run was lost with its worker.

    ``PROVED``: another incarnation has answered. ``PRESUMED``: the lease expired while the worker
    was silent, so that it may only have been cut off. ``LEFT``: the worker had announced that it
    leaves, which says nothing about its tasks.
    """

    PROVED = "proved"
    PRESUMED = "presumed"
    LEFT = "left"


def record_active(cell: Cell, run: Run, sent_ms: float) -> None:
    """Record that a report which was requested at ``sent_ms`` shows a run active."""
    run.is_gone_at_start = False
    if sent_ms < run.ordered_ms + PROVING_MS or run.state == RunState.STOPPING:
        return
    _prove_active(run)
    task = run.step.tasks[run.index]
    if (
        task.losses is not None
        and run.step.spec.lasting
        and sent_ms >= run.ordered_ms + LASTING_RESET_MS
    ):
        run.isolation = Isolation.NONE
        _forget_losses(cell, run.step, task)


def record_unreachable(worker: Worker, now_ms: float) -> None:
    """Record that no connection to a worker could be established.

    A worker that only does not answer may have completed its runs, and crashed later.
    """
    for run in worker.runs.values():
        run.is_gone_at_start |= now_ms <= run.ordered_ms + GONE_AFTER_MS


def record_start_answer(worker: Worker, started: Run) -> None:
    """Record that a worker has accepted an order, which earlier starts have not prevented."""
    for run in worker.runs.values():
        if (
            not run.proved_active
            and run.state == RunState.RUNNING
            and run.confirmed_ms is not None
            and run.worker_started_ms == started.worker_started_ms
            and started.ordered_ms >= run.confirmed_ms + PROVING_MS
        ):
            _prove_active(run)


def _prove_active(run: Run) -> None:
    if run.proved_active:
        return
    run.proved_active = True
    run.step.has_proved_task = True
    if run.isolation == Isolation.UNTIL_PROVED:
        run.isolation = Isolation.NONE


def next_proof_ms(worker: Worker, since_ms: float) -> float | None:
    """Return when a report may first prove a suspect on a worker active, or ``None``.

    Parameters
    ----------
    since_ms
        Time at which the last report was requested.
    """
    if not worker.is_kept:
        return None
    proofs_ms = [
        run.ordered_ms + PROVING_MS
        for run in worker.runs.values()
        if run.isolation != Isolation.NONE and not run.proved_active
    ]
    return min((proof_ms for proof_ms in proofs_ms if proof_ms > since_ms), default=None)


def record_losses(
    cell: Cell,
    worker: Worker,
    lost: Sequence[Run],
    evidence: LossEvidence,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Count and log runs that have ended with their worker.

    A run whose stop the worker had accepted does not count, nor one on a worker that had announced
    that it leaves. One whose order is unanswered does, because it may have started, but proves no
    crash. The caller has ended the runs. Others on the worker may be suspects as well.
    """
    lost = [run for run in lost if not _had_stopped(run)]
    left = [run for run in lost if _is_on_leaving_worker(cell, run)]
    if left:
        _log_losses(cell, worker, left, LossEvidence.LEFT, now_ms)
        lost = [run for run in lost if run not in left]
    if lost:
        _log_losses(cell, worker, lost, evidence, now_ms)
    counted = []
    has_suspect = any(not run.proved_active for run in (*lost, *worker.runs.values()))
    for run in lost:
        task = run.step.tasks[run.index]
        if task.done or run.step.job.final is not None:
            continue
        loss = Loss(
            is_proved=run.has_started
            and (evidence is LossEvidence.PROVED or _is_of_former_life(worker, run)),
            is_suspect=not run.proved_active,
            was_alone=run.began_alone and run.is_gone_at_start,
            is_beside_suspect=run.proved_active and has_suspect,
            is_vanished=evidence is LossEvidence.PRESUMED and not _is_of_former_life(worker, run),
        )
        if task.losses is None:
            task.losses = TaskLosses()
            run.step.lossy_tasks.add(task.index)
        task.losses.by_run[run.number] = loss
        task.losses.waits_since_ms = None
        if run.step.spec.lasting and loss.is_suspect:
            _delay_restart(task, run)
        cell.mark_dirty(run.step.job)
        counted.append(run)
    if counted:
        _remember_counted(cell, worker.worker_id, counted, now_ms)
    for run in counted:
        give_up_if_hopeless(cell, run.step, run.step.tasks[run.index], wall_ms)
    if evidence is LossEvidence.PROVED:
        prove_losses(cell, worker.worker_id, wall_ms)
    elif counted:
        presumed = cell.presumed_losses.setdefault(
            worker.worker_id, PresumedLosses(worker.started_ms, [])
        )
        presumed.runs.extend(counted)
        while len(cell.presumed_losses) > MAX_PRESUMED_WORKERS:
            del cell.presumed_losses[next(iter(cell.presumed_losses))]


def _remember_counted(cell: Cell, worker_id: str, counted: Sequence[Run], now_ms: float) -> None:
    """Remember the losses with one incarnation of a worker, in case that it had left as planned."""
    former = cell.counted_losses.pop(worker_id, None)
    life_ms = counted[-1].worker_started_ms
    same_life = [run for run in former.runs if run.worker_started_ms == life_ms] if former else []
    cell.counted_losses[worker_id] = CountedLosses(now_ms, [*same_life, *counted])
    for known_id, known in list(cell.counted_losses.items()):
        if now_ms <= known.counted_ms + ANNOUNCEMENT_READ_MS:
            break
        del cell.counted_losses[known_id]


def withdraw_losses_of_life(cell: Cell, worker_id: str, started_ms: int) -> None:
    """Withdraw the losses with an incarnation whose announcement that it leaves was read late."""
    presumed = cell.presumed_losses.get(worker_id)
    if presumed is not None and presumed.started_ms == started_ms:
        del cell.presumed_losses[worker_id]
    counted = cell.counted_losses.get(worker_id)
    for run in counted.runs if counted is not None else ():
        if run.worker_started_ms == started_ms and run.step.job.final is None:
            withdraw(cell, run.step, run.index, run.number, "its worker had announced its leave")


def record_answer(cell: Cell, worker: Worker, started_ms: int, wall_ms: float) -> None:
    """Settle the presumed losses of a worker that answers again.

    They are withdrawn if it is the same incarnation, and proved if it is another one.
    """
    presumed = cell.presumed_losses.get(worker.worker_id)
    if presumed is None:
        return
    if presumed.started_ms != started_ms:
        prove_losses(cell, worker.worker_id, wall_ms)
        return
    del cell.presumed_losses[worker.worker_id]
    for run in presumed.runs:
        withdraw(cell, run.step, run.index, run.number)


def prove_losses(cell: Cell, worker_id: str, wall_ms: float) -> None:
    """Turn the presumed losses of a worker into proved ones: it has certainly crashed."""
    presumed = cell.presumed_losses.pop(worker_id, None)
    if presumed is None:
        return
    for run in presumed.runs:
        task = run.step.tasks[run.index]
        loss = task.losses.by_run.get(run.number) if task.losses else None
        if task.losses is None or loss is None or loss.is_proved:
            continue
        task.losses.by_run[run.number] = replace(loss, is_proved=run.has_started, is_vanished=False)
        cell.mark_dirty(run.step.job)
        give_up_if_hopeless(cell, run.step, task, wall_ms)


def withdraw(
    cell: Cell, step: Step, index: int, number: int, cause: str = "its worker answers"
) -> None:
    """Withdraw the loss of a run: by default its worker reports it, so it has not crashed."""
    task = step.tasks[index]
    if task.losses is None or not task.losses.withdraw(number):
        return
    cell.log_decision(
        "loss_withdrawn", cause, job=step.job.job_id,
        task=step.task_name(index), run=number,
    )  # fmt: skip
    cell.mark_dirty(step.job)
    if not task.losses.by_run and not task.losses.unseen:
        _forget_losses(cell, step, task)


def _forget_losses(cell: Cell, step: Step, task: Task) -> None:
    task.losses = None
    step.lossy_tasks.discard(task.index)
    cell.mark_dirty(step.job)


def _log_losses(
    cell: Cell, worker: Worker, lost: Sequence[Run], evidence: LossEvidence, now_ms: float
) -> None:
    """Log runs that ended with their worker, each suspect as ``TASK:RUN:AGE``, latest first."""
    suspects = [run for run in lost if not run.proved_active]
    suspects.sort(key=lambda run: -run.ordered_ms)
    cell.log_decision(
        "runs_lost",
        evidence,
        worker=worker.worker_id,
        runs=len(lost),
        isolated=sum(run.began_alone for run in lost),
        suspects=" ".join(
            f"{run.task}:{run.number}:{now_ms - run.ordered_ms:.0f}" for run in suspects
        ),
        report_age_ms=round(now_ms - worker.last_report_ms),
        connected_calls=worker.connected_calls,
        unconfirmed=sum(run.confirmed_ms is None for run in lost),
    )


def _delay_restart(task: Task, run: Run) -> None:
    """Start a lasting task less often, the more of its runs were lost at their start."""
    seen = sum(loss.is_suspect for loss in task.losses.by_run.values()) if task.losses else 0
    interval_ms = min(MAX_RESTART_INTERVAL_MS, MIN_RESTART_INTERVAL_MS * 2.0**seen)
    task.not_before_ms = max(task.not_before_ms, run.ordered_ms + interval_ms)


def _is_on_leaving_worker(cell: Cell, run: Run) -> bool:
    return leaving_workers.has_announced(cell, run.worker_id, run.worker_started_ms)


def _had_stopped(run: Run) -> bool:
    """Return whether the incarnation that had a run has accepted a stop of it."""
    return run.stop_accepted_by is not None and run.stop_accepted_by == run.worker_started_ms


def _is_of_former_life(worker: Worker, run: Run) -> bool:
    """Return whether a worker is known to have restarted since a run was placed on it."""
    known = run.worker_started_ms and worker.started_ms
    return bool(known) and run.worker_started_ms != worker.started_ms

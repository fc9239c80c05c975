"""Decides which runs count as lost that a former leader was about to start, or may have started.

Load pattern: the leader changes several times within moments, beside the crash of a worker. The
number of a run is stored before its start, so the next leader finds numbers of runs that were never
ordered. These prove nothing against their tasks: a run counts only if an incarnation has ended on
which it was to start.
"""

from collections.abc import Sequence
from dataclasses import replace

from nutmeglb_decisions.queues import leaving_workers, worker_losses
from nutmeglb_decisions.queues.cell import RUNS_PER_TERM, Cell
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.task_losses import ASSUMED, RESERVED, Life, TaskLosses
from nutmeglb_decisions.queues.worker_state import Worker


def record_settled(cell: Cell, worker: Worker) -> None:
    """Record that a worker has reported all runs that former leaders left on it."""
    known_ms = cell.former_lives.get(worker.worker_id)
    is_restart = known_ms is not None and worker.started_ms != known_ms
    is_planned = leaving_workers.has_returned(cell, worker.worker_id, worker.started_ms)
    for job in cell.active.values():
        for step in job.steps:
            if worker.worker_id in step.unsettled:
                step.unsettled.discard(worker.worker_id)
                _withdraw_absent(cell, step, worker)
                may_be_restart = known_ms is None and worker.started_ms > job.record.accepted_ms
                if (is_restart or may_be_restart) and not is_planned:
                    step.may_have_lost_runs = step.has_restarted_worker = True


def _withdraw_absent(cell: Cell, step: Step, worker: Worker) -> None:
    """Withdraw what may count of unseen runs on a worker that has answered without them."""
    life = (worker.worker_id, worker.started_ms)
    for index in sorted(step.unseen_tasks):
        losses = step.tasks[index].losses
        for number, lives in list(losses.unseen.items()) if losses is not None else ():
            if losses is None or life not in lives:
                continue
            losses.unseen[number] = tuple(other for other in lives if other != life)
            cell.mark_dirty(step.job)
            if not losses.unseen[number]:
                worker_losses.withdraw(
                    cell, step, index, number, "its worker was not lost and does not have it"
                )


def settle_unseen_losses(cell: Cell, step: Step) -> None:
    """Decide what counts of the runs that may have been lost while the leader changed.

    All workers of the step have answered, or their runs have certainly ended.
    """
    unseen, step.unseen_tasks = step.unseen_tasks, set()
    for index in sorted(unseen):
        losses = step.tasks[index].losses
        for number, lives in list(losses.unseen.items()) if losses is not None else ():
            _settle_unseen_run(cell, step, index, number, lives)
    if step.may_have_lost_runs:
        _assume_unseen_losses(cell, step)


def _settle_unseen_run(
    cell: Cell, step: Step, index: int, number: int, lives: Sequence[Life]
) -> None:
    """Count a run that was about to start if a worker was lost on which it may have started.

    Parameters
    ----------
    lives
        Incarnations of workers that have ended; empty if the record does not tell.
    """
    losses = step.tasks[index].losses
    if losses is None:
        return
    lost = [life for life in lives if not leaving_workers.has_announced(cell, *life)]
    if lives and not lost:
        worker_losses.withdraw(cell, step, index, number, "its worker had announced its leave")
        return
    if not lives and not step.may_have_lost_runs:
        worker_losses.withdraw(cell, step, index, number, "no worker of the step was lost")
        return
    has_restarted = any(_has_restarted(cell, life) for life in lost) or (
        not lives and step.has_restarted_worker
    )
    del losses.unseen[number]
    losses.by_run[number] = ASSUMED if has_restarted else RESERVED
    cell.mark_dirty(step.job)


def _has_restarted(cell: Cell, life: Life) -> bool:
    """Return whether a worker is known to have another incarnation, and not only silent."""
    worker = cell.workers.get(life[0])
    return worker is not None and worker.started_ms != life[1]


def _assume_unseen_losses(cell: Cell, step: Step) -> None:
    """Count one loss of each waiting task of a step whose workers may have crashed unseen.

    Under the former leader, the task may have crashed a worker shortly before the change of leader.
    Only one such loss is assumed of a task: from then on the number of each run is stored first.
    """
    step.may_have_lost_runs = False
    # A number that no run has: those of this term are higher, and those of former terms lower.
    number = cell.term * RUNS_PER_TERM
    waiting = [task for task in step.tasks if not (task.done or task.run or task.losses)]
    for task in waiting:
        loss = replace(ASSUMED, is_vanished=not step.has_restarted_worker)
        task.losses = TaskLosses({number: loss})
        step.lossy_tasks.add(task.index)
    step.has_restarted_worker = False
    if waiting:
        cell.mark_dirty(step.job)
        cell.log_decision(
            "losses_assumed", "a worker of the step was lost during a change of leader",
            job=step.job.job_id, step=step.name, tasks=len(waiting),
        )  # fmt: skip

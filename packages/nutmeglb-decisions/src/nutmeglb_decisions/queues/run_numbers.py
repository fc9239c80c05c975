"""Reserves the numbers of runs whose tasks have lost runs before.

The number is stored together with the worker on which the run is to start, before the order leaves.
"""

from collections.abc import Iterable, Sequence

from nutmeglb_decisions.queues import worker_losses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Step, Task
from nutmeglb_decisions.queues.task_losses import Life
from nutmeglb_decisions.queues.worker_state import Worker

# Workers that are stored for the next run of a task. For a gang that needs more than half as many
# these are twice those that it needs.
MAX_RESERVED_LIVES = 8


def adopt_number(cell: Cell, step: Step, task: Task, number: int, worker: Worker) -> None:
    """Keep the number of an adopted run reserved, so that the next leader knows of it as well."""
    worker_losses.withdraw(cell, step, task.index, number)
    if task.losses is not None:
        task.losses.reserved_run = number
        task.losses.reserved_lives = _lives_of((worker,))
        cell.mark_dirty(step.job)


def release_number(cell: Cell, step: Step, task: Task) -> None:
    """Withdraw the reservation of a run number: the run does not start for now."""
    if task.losses is not None and task.losses.reserved_run:
        task.losses.reserved_run, task.losses.reserved_lives = 0, ()
        cell.mark_dirty(step.job)


def release_unused_numbers(cell: Cell, step: Step, now_ms: float) -> None:
    """Withdraw the reservations of a step for which no worker has been found for some time.

    No order has been sent, so the next leader must not count a loss. The time doubles with each
    withdrawal, so that a task for which capacity is rarely free still finds its number stored.
    """
    for index in step.lossy_tasks:
        task = step.tasks[index]
        losses = task.losses
        if losses is None or task.run is not None or not losses.reserved_run:
            continue
        if now_ms > losses.wanted_ms + losses.max_unused_ms:
            losses.max_unused_ms *= 2.0
            release_number(cell, step, task)


def next_number(
    cell: Cell, step: Step, tasks: Iterable[Task], workers: Iterable[Worker], now_ms: float
) -> int | None:
    """Return the number of the next run of a task or gang, or ``None`` until it is stored.

    Only a task with losses waits: its losses, the number of the run and its worker are stored
    before the run starts, so that the next leader knows whether it may have been lost.

    Parameters
    ----------
    workers
        Workers that were chosen for the run.
    """
    tasks, lives = list(tasks), _lives_of(workers)
    number = cell.next_run_number(max(task.last_run for task in tasks))
    is_stored = True
    for task in tasks:
        losses = task.losses
        if losses is None:
            continue
        losses.wanted_ms = now_ms
        known = losses.reserved_lives if losses.reserved_run == number else ()
        if losses.reserved_run != number or not _covers(known, lives):
            losses.reserved_run, losses.reserved_lives = number, _joined(known, lives)
            cell.mark_dirty(step.job)
        is_stored &= losses.is_stored(task.index)
    return number if is_stored else None


def reserved_workers(tasks: Iterable[Task], workers: Iterable[Worker]) -> list[Worker]:
    """Return those of the workers that are stored for the next run of a task or gang.

    A run that starts there need not be stored again.
    """
    lives = {life for task in tasks if task.losses for life in task.losses.reserved_lives}
    return [worker for worker in workers if (worker.worker_id, worker.started_ms) in lives]


def _lives_of(workers: Iterable[Worker]) -> tuple[Life, ...]:
    """Return the incarnations of workers, or none if that of one is unknown."""
    lives = {(worker.worker_id, worker.started_ms) for worker in workers}
    return tuple(sorted(lives)) if all(started_ms for _, started_ms in lives) else ()


def _joined(known: Sequence[Life], lives: Sequence[Life]) -> tuple[Life, ...]:
    """Return the incarnations to store: also those chosen before, since they may be free again.

    A task whose worker is taken while its number is being stored could otherwise wait for ever.
    """
    if not lives:
        return ()
    others = [life for life in known if life not in lives]
    kept = max(MAX_RESERVED_LIVES, 2 * len(lives)) - len(lives)
    return (*others[max(0, len(others) - kept) :], *lives)


def _covers(stored: Sequence[Life], lives: Sequence[Life]) -> bool:
    return set(lives) <= set(stored) if lives else not stored

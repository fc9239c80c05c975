"""Workers that have announced that they leave as planned.

Load pattern: the workers of a service are replaced one after the other. Everything that runs on a
worker ends when it leaves, which says nothing about its tasks. Which incarnations have announced it
is stored for the next leader, since their entries are removed when they have left.
"""

from collections.abc import Iterable

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.models.queues import QueueWorker

# Announcements that are remembered, which is a release of all workers at the planned size.
MAX_REMEMBERED = 1_000


def note_entry(cell: Cell, info: QueueWorker) -> bool:
    """Remember that the incarnation in an entry leaves, or forget it if it stays after all.

    Returns
    -------
    bool
        Whether the announcement is new.
    """
    known = cell.leaving_lives.get(info.worker_id)
    if info.draining and known != info.started_ms:
        remember(cell, [(info.worker_id, info.started_ms)])
        return True
    if not info.draining and known == info.started_ms:
        del cell.leaving_lives[info.worker_id]
    return False


def remember(cell: Cell, lives: Iterable[tuple[str, int]]) -> None:
    """Remember incarnations that leave, each as worker id and start time."""
    for worker_id, started_ms in lives:
        cell.leaving_lives.pop(worker_id, None)
        cell.leaving_lives[worker_id] = started_ms
    while len(cell.leaving_lives) > MAX_REMEMBERED:
        del cell.leaving_lives[next(iter(cell.leaving_lives))]


def has_announced(cell: Cell, worker_id: str, started_ms: int) -> bool:
    """Return whether an incarnation of a worker has announced that it leaves."""
    return cell.leaving_lives.get(worker_id) == started_ms


def has_left(cell: Cell, worker_id: str) -> bool:
    """Return whether a worker that is gone has left as planned."""
    if worker_id not in cell.leaving_lives:
        return False
    worker = cell.workers.get(worker_id)
    return worker is None or has_announced(cell, worker_id, worker.started_ms)


def has_returned(cell: Cell, worker_id: str, started_ms: int) -> bool:
    """Return whether an incarnation follows one that has left as planned."""
    return cell.leaving_lives.get(worker_id, started_ms) != started_ms

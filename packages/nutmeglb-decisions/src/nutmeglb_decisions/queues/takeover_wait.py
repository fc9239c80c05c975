"""Computes how long a new leader waits for runs that a former leader may have ordered.

A step waits for those of its recorded workers that have not answered this leader, until all runs
that former leaders ordered have certainly ended. No task is started on such a worker during the
wait, so the time that one leader has waited for it also counts for the next leader.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues import silent_workers
from nutmeglb_decisions.queues.cell import Cell


@dataclass(frozen=True, slots=True)
class TakeoverWait:
    """Times that bound the wait after a takeover.

    Attributes
    ----------
    takeover_ms
        Start of the takeover, in monotonic time.
    max_wait_ms
        Time from then until all runs ordered by any former leader have ended.
    deadline_ms
        End of the wait, which is earlier if no former leader can send orders any more.
    waited_ms
        Per worker: time that former leaders have already waited for it.
    """

    takeover_ms: float
    max_wait_ms: float
    deadline_ms: float
    waited_ms: Mapping[str, float] = field(default_factory=dict)


def begin(cell: Cell, takeover_wait: TakeoverWait) -> None:
    """Start the wait, and set its deadline for each worker in the cell."""
    cell.takeover_wait_deadline_ms = takeover_wait.deadline_ms
    for worker_id in unsettled_workers(cell):
        remaining_wait_ms = max(
            0.0, takeover_wait.max_wait_ms - takeover_wait.waited_ms.get(worker_id, 0.0)
        )
        cell.wait_deadlines_ms[worker_id] = min(
            takeover_wait.deadline_ms, takeover_wait.takeover_ms + remaining_wait_ms
        )


def unsettled_workers(cell: Cell) -> set[str]:
    """Return the workers for which steps wait."""
    return {
        worker_id
        for job in cell.active.values()
        for step in job.steps
        for worker_id in step.unsettled
    }


def expired_waits(cell: Cell, now_ms: float) -> set[str]:
    """Return the workers on which certainly no run of a former leader is left.

    A worker that has answered this leader, and is not settled yet, has had its lease renewed. One
    whose process stands still does not end its runs with their lease.
    """
    if not cell.takeover_wait_deadline_ms:
        return set()
    deadlines_ms = cell.wait_deadlines_ms
    return {
        worker_id
        for worker_id in unsettled_workers(cell)
        if now_ms >= deadlines_ms.get(worker_id, cell.takeover_wait_deadline_ms)
        and not (_has_answered(cell, worker_id) and now_ms < _lease_end_ms(cell, worker_id))
        and not _is_stalled(cell, worker_id, now_ms)
    }


def _has_answered(cell: Cell, worker_id: str) -> bool:
    worker = cell.workers.get(worker_id)
    return worker is not None and worker.first_answer_ms is not None


def _has_stalled(cell: Cell, worker_id: str) -> bool:
    worker = cell.workers.get(worker_id)
    return worker is not None and worker.stalled_since_ms is not None


def _is_stalled(cell: Cell, worker_id: str, now_ms: float) -> bool:
    worker = cell.workers.get(worker_id)
    return worker is not None and silent_workers.may_have_active_runs(cell, worker, now_ms)


def _lease_end_ms(cell: Cell, worker_id: str) -> float:
    return cell.workers[worker_id].lease_expires_at_ms


def waits(cell: Cell, takeover_wait: TakeoverWait, elapsed_ms: float) -> dict[str, float]:
    """Return the time waited so far for each worker that has not answered, in milliseconds.

    Workers whose processes stand still are left out, since their runs may outlast the waited time.
    The next leader finds out by itself whether they still stand still.

    Parameters
    ----------
    elapsed_ms
        Time that has certainly passed since the start of the takeover.
    """
    return {
        worker_id: takeover_wait.waited_ms.get(worker_id, 0.0) + elapsed_ms
        for worker_id in sorted(unsettled_workers(cell))
        if not _has_answered(cell, worker_id) and not _has_stalled(cell, worker_id)
    }

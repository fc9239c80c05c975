"""How long a new leader counts with runs that a former one may have ordered.

A step waits for those of its recorded workers that have not answered this leader, until everything
that former leaders ordered has certainly ended. Nothing is ordered on such a worker meanwhile, so
what one leader has waited for it counts for the next one, too.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.cell import Cell


@dataclass(frozen=True, slots=True)
class Settling:
    """Times of a take-over.

    Attributes
    ----------
    begun_ms
        Beginning of the take-over, in monotonic time.
    longest_ms
        Time from then on until all orders of any former leader have ended.
    until_ms
        End of the wait, which is earlier when no former leader sends orders any more.
    waited_ms
        Per worker: what former leaders have waited for it.
    """

    takeover_ms: float
    max_wait_ms: float
    until_ms: float
    waited_ms: Mapping[str, float] = field(default_factory=dict)


def begin(cell: Cell, settling: Settling) -> None:
    """Begin to wait. The end for each worker is noted in the cell."""
    cell.settle_until_ms = settling.until_ms
    for worker_id in unsettled_workers(cell):
        left_ms = max(0.0, settling.max_wait_ms - settling.waited_ms.get(worker_id, 0.0))
        cell.wait_deadlines_ms[worker_id] = min(settling.until_ms, settling.takeover_ms + left_ms)


def unsettled_workers(cell: Cell) -> set[str]:
    """Return the workers that steps wait for."""
    return {
        worker_id
        for job in cell.active.values()
        for step in job.steps
        for worker_id in step.unsettled
    }


def expired_waits(cell: Cell, now_ms: float) -> set[str]:
    """Return the workers for which the wait is over."""
    if not cell.settle_until_ms:
        return set()
    until_ms = cell.wait_deadlines_ms
    return {
        worker_id
        for worker_id in unsettled_workers(cell)
        if now_ms >= until_ms.get(worker_id, cell.settle_until_ms)
    }


def waits(cell: Cell, settling: Settling, elapsed_ms: float) -> dict[str, float]:
    """Return what has been waited for each worker that has not answered.

    Parameters
    ----------
    elapsed_ms
        Time that has certainly passed since the beginning of the take-over.
    """
    return {
        worker_id: settling.waited_ms.get(worker_id, 0.0) + elapsed_ms
        for worker_id in sorted(unsettled_workers(cell))
    }

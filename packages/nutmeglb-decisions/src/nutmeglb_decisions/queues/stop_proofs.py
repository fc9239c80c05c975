"""Decides by a worker's own clock whether the time that a stop may take there has passed.

A stop takes a bounded time on the clock of its worker. While the worker stands still, that clock
may stand still as well, so the time that has passed here proves nothing about it.
"""

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.worker_state import Worker


def record_accepted(worker: Worker, key: tuple[str, int], clock_ms: float | None) -> None:
    """Record the time on its clock at which a worker accepted a stop, ``None`` if it is unknown."""
    if clock_ms is not None:
        worker.stop_clocks_ms[key] = clock_ms


def record_report(worker: Worker, clock_ms: float, is_first: bool) -> None:
    """Record the time on a worker's clock at which it made a report.

    Parameters
    ----------
    is_first
        Whether the report is the first answer of this life, which bars former leaders.
    """
    worker.report_clock_ms = clock_ms
    if is_first:
        worker.first_answer_clock_ms = clock_ms


def has_passed(cell: Cell, worker: Worker, key: tuple[str, int]) -> bool:
    """Return whether the last report was made after an accepted stop had certainly ended."""
    accepted_ms = worker.stop_clocks_ms.get(key)
    return accepted_ms is None or worker.report_clock_ms - accepted_ms >= cell.max_stop_ms


def has_passed_for_former_leaders(cell: Cell, worker: Worker) -> bool:
    """Return whether the last report was made after the stops of former leaders had ended."""
    if cell.former_orders_end_ms is not None:
        return True
    return worker.report_clock_ms - worker.first_answer_clock_ms >= cell.max_stop_ms


def forget(worker: Worker, key: tuple[str, int]) -> None:
    """Forget the stop of a run that has ended."""
    worker.stop_clocks_ms.pop(key, None)


def forget_life(worker: Worker) -> None:
    """Forget the stops that another incarnation has accepted."""
    worker.stop_clocks_ms.clear()

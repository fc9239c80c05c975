"""What a worker that does not answer shows nevertheless, and how its silence ends.

A worker that is cut off, or whose machine is down, accepts no connections. One whose process stands
still does: its kernel establishes them, although nothing answers.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import DONE
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import WorkerReport


@dataclass(frozen=True, slots=True)
class ClockGap:
    """Time between two readings of a worker's clock, in milliseconds.

    Attributes
    ----------
    worker_ms
        By the clock of the worker; less than ``leader_ms`` by more than the drift if that clock
        stood still, and any value after a restart.
    leader_ms
        By the clock of this process.
    """

    worker_ms: float
    leader_ms: float


def record_unanswered(worker: Worker, is_connected: bool, is_refused: bool) -> None:
    """Record what the attempt to reach a worker has shown.

    Parameters
    ----------
    is_connected
        Whether a new connection was established, on which nothing came back until the timeout.
    is_refused
        Whether no connection could be established.
    """
    if is_connected:
        worker.connected_calls += 1
    elif is_refused:
        worker.connected_calls = 0


def record_answer(
    cell: Cell, worker: Worker, report: WorkerReport, gap: ClockGap | None, now_ms: float
) -> None:
    """Record and log the first report after a silence. Called before the report is applied."""
    connected_calls, worker.connected_calls = worker.connected_calls, 0
    if worker.unanswered_since_ms is None:
        return
    presumed = cell.presumed_ends.keys()
    cell.log_decision(
        "worker_answers_again",
        "same incarnation" if report.started_ms == worker.started_ms else "another incarnation",
        worker=worker.worker_id,
        silent_for_ms=round(now_ms - worker.unanswered_since_ms),
        report_age_ms=round(now_ms - worker.last_report_ms) if worker.last_report_ms else None,
        connected_calls=connected_calls,
        worker_clock_ms=None if gap is None else round(gap.worker_ms),
        leader_clock_ms=None if gap is None else round(gap.leader_ms),
        lease_left_ms=round(worker.lease_expires_at_ms - now_ms),
        runs=len(worker.runs),
        presumed_but_running=len(presumed & {(run.task, run.run) for run in report.running}),
        presumed_but_done=len(
            presumed & {(end.task, end.run) for end in report.ended if end.outcome == DONE}
        ),
    )

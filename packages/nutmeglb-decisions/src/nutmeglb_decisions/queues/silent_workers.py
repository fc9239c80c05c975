"""What a worker that does not answer shows nevertheless, and how its silence ends.

A worker that is cut off, or whose machine is down, accepts no connections. One whose process stands
still does: its kernel establishes them, although nothing answers. Such a worker does not end its
runs when their lease expires, and may complete them when it continues. So its runs count as active
until it answers, has restarted, or has stood still for the longest time that is waited for.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import DONE
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import WorkerReport

# Accepted calls in a row that prove a stall. A single one may fall into the moment at which the
# worker was cut off, so it counts only until the next call.
STALL_PROOF_CALLS = 2


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


def record_unanswered(cell: Cell, worker: Worker, is_connected: bool, now_ms: float) -> None:
    """Record what the attempt to reach a worker has shown.

    No missing connection disproves a stall: after some connections, the kernel of a stalled worker
    may accept no more, and this process may be unable to open one.

    Parameters
    ----------
    is_connected
        Whether a new connection was established, on which nothing came back until the timeout.
    """
    if not is_connected:
        if worker.connected_calls < STALL_PROOF_CALLS:
            _forget_stall(worker)
        return
    worker.connected_calls += 1
    if worker.stalled_since_ms is None:
        worker.stalled_since_ms = now_ms
    if worker.connected_calls == STALL_PROOF_CALLS:
        cell.log_decision(
            "worker_stalled",
            "accepts connections, does not answer",
            worker=worker.worker_id,
            runs=len(worker.runs),
            report_age_ms=_report_age_ms(worker, now_ms),
            lease_left_ms=round(worker.lease_expires_at_ms - now_ms),
            held_for_ms=round(cell.max_stall_ms),
        )


def record_other_answer(cell: Cell, worker: Worker, now_ms: float) -> None:
    """Record an answer without a report, after which the process does not stand still any more.

    If its clock stood still, the lease of its runs goes on for as long as was ordered at most.
    """
    if worker.stalled_since_ms is not None:
        worker.lease_expires_at_ms = max(
            worker.lease_expires_at_ms, now_ms + cell.lease_expiry_after_ms
        )
    _forget_stall(worker)


def _forget_stall(worker: Worker) -> None:
    worker.connected_calls = 0
    worker.stalled_since_ms = None


def may_have_active_runs(cell: Cell, worker: Worker, now_ms: float) -> bool:
    """Return whether a silent worker may continue runs although their lease has expired."""
    since_ms = worker.stalled_since_ms
    return since_ms is not None and now_ms < since_ms + cell.max_stall_ms


def _report_age_ms(worker: Worker, now_ms: float) -> int | None:
    return round(now_ms - worker.last_report_ms) if worker.last_report_ms else None


def record_answer(
    cell: Cell, worker: Worker, report: WorkerReport, gap: ClockGap | None, now_ms: float
) -> None:
    """Record and log the first report after a silence. Called before the report is applied."""
    connected_calls = worker.connected_calls
    _forget_stall(worker)
    if worker.unanswered_since_ms is None:
        return
    presumed = cell.presumed_ends.keys()
    cell.log_decision(
        "worker_answers_again",
        "same incarnation" if report.started_ms == worker.started_ms else "another incarnation",
        worker=worker.worker_id,
        silent_for_ms=round(now_ms - worker.unanswered_since_ms),
        report_age_ms=_report_age_ms(worker, now_ms),
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

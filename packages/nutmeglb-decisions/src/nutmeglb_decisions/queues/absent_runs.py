"""Decides what a report proves about a run that it does not contain.

A report lists active runs and ends that are not acknowledged. A run may be in neither list while it
is being stopped, since its end is listed only when its capacity is free. So absence alone proves no
end. It does once the worker has restarted, or has rejected the number of the run for good.
"""

from collections.abc import Container

from nutmeglb_decisions.queues import presumed_ends
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import end_run, repeat_stop, stop_run
from nutmeglb_decisions.queues.state import Run, RunState, Worker

# Outcome of a run that cannot be active any more, without a reported end.
LOST = "lost"


def apply_absence(
    cell: Cell,
    worker: Worker,
    running: Container[tuple[str, int]],
    sent_ms: float,
    has_restarted: bool,
    now_ms: float,
    wall_ms: float,
) -> list[Run]:
    """End or stop the confirmed runs that a report does not contain. Return the ended ones.

    Parameters
    ----------
    running
        Task and run number of the active runs in the report.
    sent_ms
        Time at which the report was requested. Runs confirmed later may be missing from it.
    has_restarted
        Whether this is the first report of the worker's current incarnation.
    """
    absent = [
        run
        for key, run in worker.runs.items()
        if run.confirmed_ms is not None and run.confirmed_ms < sent_ms and key not in running
    ]
    ended = []
    for run in absent:
        if _has_certainly_ended(cell, run, sent_ms, has_restarted):
            presumed_ends.record(cell, run, LOST, now_ms)
            end_run(cell, run, LOST, "", now_ms, wall_ms)
            ended.append(run)
        elif has_restarted:
            # An unanswered copy of the order may still reach the current incarnation.
            repeat_stop(cell, run)
        elif run.state == RunState.RUNNING:
            cell.log_decision(
                "run_absent",
                "not in the report of its worker",
                task=run.task,
                worker=run.worker_id,
                run=run.number,
                confirmed_ms_ago=round(now_ms - (run.confirmed_ms or now_ms)),
            )
            stop_run(cell, run)
    return ended


def _has_certainly_ended(cell: Cell, run: Run, sent_ms: float, has_restarted: bool) -> bool:
    if has_restarted:
        return not run.unanswered_orders
    if run.state == RunState.ORDERED:
        # Confirmed without being active: the worker has refused the number as used or barred.
        return True
    if run.state != RunState.STOPPING or run.confirmed_ms is None:
        return False
    return sent_ms >= run.confirmed_ms + cell.stop_ends_after_ms


def next_proof_ms(cell: Cell, worker: Worker, since_ms: float) -> float | None:
    """Return when a report may first prove the end of a stopped run, or ``None`` if none waits.

    Parameters
    ----------
    since_ms
        Time at which the last report was requested. What it could prove is not waited for again.
    """
    stopped_ms = [run.confirmed_ms for run in worker.runs.values() if _is_stopping(run)]
    stopped_ms += worker.stray_runs.values()
    proofs_ms = [ms + cell.stop_ends_after_ms for ms in stopped_ms if ms is not None]
    return min((proof_ms for proof_ms in proofs_ms if proof_ms > since_ms), default=None)


def _is_stopping(run: Run) -> bool:
    return run.state == RunState.STOPPING

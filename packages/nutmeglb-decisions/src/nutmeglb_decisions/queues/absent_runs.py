"""Decides what a report proves about a run that it does not contain.

A report lists active runs and ends that are not acknowledged. A run may be in neither list while it
is being stopped, since its end is listed only when its capacity is free. So absence alone proves no
end. It does if the worker has restarted since it had the run, or long enough after it accepted a
stop of the run.
"""

from collections.abc import Container

from nutmeglb_decisions.queues import presumed_ends, stop_proofs, worker_losses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import end_run, repeat_stop
from nutmeglb_decisions.queues.state import Run, RunState
from nutmeglb_decisions.queues.worker_losses import LossEvidence
from nutmeglb_decisions.queues.worker_state import Worker

# Outcome of a run that cannot be active any more, without a reported end.
LOST = "lost"


def apply_absence(
    cell: Cell,
    worker: Worker,
    running: Container[tuple[str, int]],
    sent_ms: float,
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
    """
    absent = [
        run
        for key, run in worker.runs.items()
        if run.confirmed_ms is not None and run.confirmed_ms < sent_ms and key not in running
    ]
    ended = []
    for run in absent:
        if _has_certainly_ended(cell, worker, run, sent_ms):
            presumed_ends.record(cell, run, LOST, now_ms)
            end_run(cell, run, LOST, "", now_ms, wall_ms)
            ended.append(run)
        elif not _is_stop_accepted(worker, run):
            _stop_absent_run(cell, run, now_ms)
    lost = [run for run in ended if run.worker_started_ms != worker.started_ms]
    worker_losses.record_losses(cell, worker, lost, LossEvidence.PROVED, now_ms, wall_ms)
    return ended


def _has_certainly_ended(cell: Cell, worker: Worker, run: Run, sent_ms: float) -> bool:
    confirmed_ms = run.confirmed_ms or 0.0
    is_of_former_life = (
        run.worker_started_ms != worker.started_ms and confirmed_ms <= worker.former_report_ms
    )
    if is_of_former_life and not run.unanswered_orders:
        return True
    return (
        _is_stop_accepted(worker, run)
        and sent_ms >= confirmed_ms + cell.stop_ends_after_ms
        and stop_proofs.has_passed(cell, worker, (run.task, run.number))
    )


def _is_stop_accepted(worker: Worker, run: Run) -> bool:
    """Return whether the current incarnation has accepted a stop of a run."""
    return run.state == RunState.STOPPING and run.stop_accepted_by == worker.started_ms


def _stop_absent_run(cell: Cell, run: Run, now_ms: float) -> None:
    """Order a stop, after which the worker can neither continue the run nor start it late."""
    cell.log_decision(
        "run_absent",
        "not in the report of its worker",
        task=run.task,
        worker=run.worker_id,
        run=run.number,
        state=run.state,
        unanswered_orders=run.unanswered_orders,
        confirmed_ms_ago=round(now_ms - (run.confirmed_ms or now_ms)),
    )
    repeat_stop(cell, run)


def next_proof_ms(cell: Cell, worker: Worker, since_ms: float) -> float | None:
    """Return when a report may first prove what a run waits for, or ``None`` if none does.

    A stopped run waits for its end, and a suspect for the proof that it is active.

    Parameters
    ----------
    since_ms
        Time at which the last report was requested. Proofs that it could give are left out.
    """
    stopped_ms = [run.confirmed_ms for run in worker.runs.values() if _is_stopping(run)]
    stopped_ms += worker.stray_runs.values()
    proofs_ms = [
        ms + cell.stop_ends_after_ms
        for ms in stopped_ms
        if ms is not None and ms + cell.stop_ends_after_ms > since_ms
    ]
    suspect_proof_ms = worker_losses.next_proof_ms(worker, since_ms)
    if suspect_proof_ms is not None:
        proofs_ms.append(suspect_proof_ms)
    return min(proofs_ms, default=None)


def _is_stopping(run: Run) -> bool:
    return run.state == RunState.STOPPING

"""Runs that were lost with their worker, and which of them may have crashed it.

A run that a report has shown active for some time did not crash its worker at its start. The others
on a lost worker are suspects.
"""

from collections.abc import Sequence
from enum import StrEnum

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Run
from nutmeglb_decisions.queues.worker_state import Worker

# A worker that a task crashes at its start is gone within the time of two calls that it does not
# answer, each of which takes up to 0.2 s.
PROVING_MS = 500.0


class LossEvidence(StrEnum):
    """What shows that a run was lost with its worker.

    ``PROVED``: another incarnation has answered. ``PRESUMED``: the lease expired while the worker
    was silent, so that it may only have been cut off.
    """

    PROVED = "proved"
    PRESUMED = "presumed"


def record_active(run: Run, sent_ms: float) -> None:
    """Record that a report which was requested at ``sent_ms`` shows a run active."""
    if sent_ms >= run.ordered_ms + PROVING_MS:
        run.proved_active = True


def log_losses(
    cell: Cell, worker: Worker, lost: Sequence[Run], evidence: LossEvidence, now_ms: float
) -> None:
    """Log runs that ended with their worker, each suspect as ``TASK:RUN:AGE``, latest first."""
    lost = [run for run in lost if not _had_stopped(run)]
    if not lost:
        return
    suspects = [run for run in lost if not run.proved_active]
    suspects.sort(key=lambda run: -run.ordered_ms)
    cell.log_decision(
        "runs_lost",
        evidence,
        worker=worker.worker_id,
        runs=len(lost),
        suspects=" ".join(
            f"{run.task}:{run.number}:{now_ms - run.ordered_ms:.0f}" for run in suspects
        ),
        report_age_ms=round(now_ms - worker.last_report_ms),
    )


def _had_stopped(run: Run) -> bool:
    """Return whether the incarnation that had a run has accepted a stop of it."""
    return run.stop_accepted_by is not None and run.stop_accepted_by == run.worker_started_ms

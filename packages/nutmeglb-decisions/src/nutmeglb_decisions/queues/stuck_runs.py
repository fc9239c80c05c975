"""Runs that make no progress, so that their tasks start elsewhere.

Load pattern answered: tasks that stand still on some workers while others go on. A gang is judged
as a whole: members that have done their share use no processor until the slowest one is done.
"""

from collections.abc import Iterator

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.reports import record_bad_run
from nutmeglb_decisions.queues.state import Run, RunState

# A run that takes this many times its expected duration, and this long beyond it, counts as stuck.
# Sizes spread by a half around their mean; a slow worker takes up to six times as long.
STUCK_FACTOR = 5.0
STUCK_EXTRA_MS = 4_000.0
# A run whose reports show no processor in use over this time counts as stuck. Reports are at most
# 2 s apart, so that two in a row decide.
IDLE_LIMIT_MS = 1_900.0
IDLE_CAUSE = "no processor in use"
OVERDUE_CAUSE = "far beyond its expected duration"


def stop_stuck_runs(cell: Cell, now_ms: float) -> None:
    """Stop runs without progress."""
    for run, cause in list(_stuck_runs(cell, now_ms)):
        worker = cell.workers[run.worker_id]
        cell.log_decision(
            "run_stuck",
            cause,
            task=run.task,
            worker=run.worker_id,
            run=run.number,
            idle_ms=round(run.idle_ms),
            age_ms=round(now_ms - run.ordered_ms),
        )
        record_bad_run(cell, worker, cause, now_ms)
        stop_run(cell, run)


def _stuck_runs(cell: Cell, now_ms: float) -> Iterator[tuple[Run, str]]:
    for worker in cell.workers.values():
        if worker.unanswered_since_ms is not None:
            continue
        for run in worker.runs.values():
            if run.state != RunState.RUNNING or run.step.spec.lasting:
                continue
            if _is_idle(run):
                yield run, IDLE_CAUSE
            elif _is_overdue(run, now_ms):
                yield run, OVERDUE_CAUSE


def _is_idle(run: Run) -> bool:
    """Return whether a run, or its whole gang with this member longest, uses no processor."""
    if run.idle_ms < IDLE_LIMIT_MS:
        return False
    if not run.step.spec.gang:
        return True
    others = run.step.live_runs
    return all(other.idle_ms >= IDLE_LIMIT_MS for other in others) and run is max(
        others, key=lambda other: other.idle_ms
    )


def _is_overdue(run: Run, now_ms: float) -> bool:
    expected_ms = run.expected_end_ms - run.ordered_ms
    return now_ms - run.ordered_ms > STUCK_FACTOR * expected_ms + STUCK_EXTRA_MS

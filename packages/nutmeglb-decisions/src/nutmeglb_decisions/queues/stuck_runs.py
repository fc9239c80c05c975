"""Stops runs that make no progress, so that their tasks start on other workers.

Load pattern: tasks that hang on some workers while others proceed. A gang is judged as a whole,
because members that have finished their part use no CPU until the slowest one has finished.
"""

from collections.abc import Iterator

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.reports import record_bad_run
from nutmeglb_decisions.queues.state import Run, RunState

# A run counts as stuck after its expected duration times this factor plus this time. Task sizes
# spread by a half around their mean, and a slow worker takes up to six times as long.
STUCK_FACTOR = 5.0
STUCK_EXTRA_MS = 4_000.0
# A run counts as stuck if its reports show no CPU usage over this time. Reports are at most 2 s
# apart, so two consecutive ones suffice.
IDLE_LIMIT_MS = 1_900.0
IDLE_CAUSE = "no CPU usage"
OVERDUE_CAUSE = "expected duration exceeded by far"


def stop_stuck_runs(cell: Cell, now_ms: float) -> None:
    """Send stop orders for all stuck runs."""
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
    """Return whether a run is stuck without CPU usage.

    A member of a gang is stuck only if all members are idle and it has been idle the longest.
    """
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

"""Stops runs on workers that announce their end, so that their tasks start elsewhere in time.

Load pattern: a part of the workers leaves at a notice of two seconds. What still runs there then is
lost, with its progress since the last checkpoint, and starts again only when its lease has expired
seconds later. A stop saves the progress and proves the end.
"""

from collections.abc import Callable
from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.gang_plans import expected_end_ms
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.parts import RankedSteps
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass
from nutmeglb_decisions.queues.state import Run, RunState, Worker

# Time that an order and the report of its effect take, besides the stop itself.
ORDER_MS = 100.0


@dataclass(frozen=True, slots=True)
class LeavingOptions:
    """Bounds of the workers and their entries.

    Attributes
    ----------
    max_stop_ms
        Longest time in milliseconds from the answer to a stop until the run has ended.
    entry_age_ms
        Age in milliseconds that a new entry may have when it is read.
    """

    max_stop_ms: float
    entry_age_ms: float


def make_leaving(options: LeavingOptions) -> Callable[[SchedulingPass, RankedSteps], None]:
    """Return the function that stops runs on leaving workers before the steps are placed."""

    def stop_leaving_runs(state: SchedulingPass, ranked: RankedSteps) -> None:
        for worker in state.cell.workers.values():
            if worker.info.draining and worker.info.remaining_ms is not None:
                _update_notice(worker, options, state.now_ms)
                if worker.unanswered_since_ms is None:
                    _stop_runs(state.cell, worker, options, state.now_ms)

    return stop_leaving_runs


def _update_notice(worker: Worker, options: LeavingOptions, now_ms: float) -> None:
    """Compute when a worker may leave, once for each announced time."""
    remaining_ms = worker.info.remaining_ms
    if remaining_ms is not None and remaining_ms != worker.notice_ms:
        worker.notice_ms = remaining_ms
        worker.leaves_at_ms = now_ms + remaining_ms - options.entry_age_ms


def _stop_runs(cell: Cell, worker: Worker, options: LeavingOptions, now_ms: float) -> None:
    """Stop the runs that are not expected to end before a worker leaves, as late as possible."""
    if now_ms < worker.leaves_at_ms - options.max_stop_ms - ORDER_MS:
        return
    for run in list(worker.runs.values()):
        if run.state == RunState.RUNNING and _is_stop_better(cell, run, worker, now_ms):
            cell.log_decision(
                "run_evacuated",
                "its worker leaves before it ends",
                task=run.task,
                worker=run.worker_id,
                run=run.number,
                left_ms=round(worker.leaves_at_ms - now_ms),
                expected_ms=round(expected_end_ms(run, now_ms) - now_ms),
                saves=run.step.spec.checkpoints,
            )
            for member in run.step.live_runs if run.step.spec.gang else [run]:
                stop_run(cell, member)


def _is_stop_better(cell: Cell, run: Run, worker: Worker, now_ms: float) -> bool:
    """Return whether the callers lose less by a stop now than by the end of the worker.

    A run that is lost with its worker is started again when its lease has expired. The worker may
    also stay longer than announced, so work that took longer than a lease and is not saved goes on.
    """
    if run.step.spec.lasting or expected_end_ms(run, now_ms) <= worker.leaves_at_ms:
        return False
    return run.step.spec.checkpoints or now_ms - run.ordered_ms < cell.lease_expiry_after_ms

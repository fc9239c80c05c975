"""Applies the answers of workers to orders."""

from enum import StrEnum

from nutmeglb_decisions.queues import presumed_ends, stop_proofs, worker_losses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StopTask
from nutmeglb_decisions.queues.lifecycle import RETRY_DELAY_MS, end_run, stop_run
from nutmeglb_decisions.queues.state import Run, RunState
from nutmeglb_decisions.queues.worker_state import Worker

# A worker gets no new task for this long after it refused one because of its own state.
REFUSAL_AVOID_MS = 500.0


class StartOutcome(StrEnum):
    """Outcome of the order to start a run."""

    STARTED = "started"
    NO_CAPACITY = "room"
    TICKET = "ticket"
    STALE_RUN = "old"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "incarnation"
    INVALID = "invalid"
    # Not sent, because the authority of this leader has expired.
    WITHHELD = "withheld"
    # Not sent, because the entry of the worker is too old to prove its capacity.
    STALE_ENTRY = "stale_entry"
    # Not sent, because the worker has less capacity than what is charged to it.
    SHRUNK = "shrunk"
    # Not sent, because there is no link to the worker.
    NO_LINK = "no_link"
    # Certainly not received, since no connection to the worker could be established.
    NOT_DELIVERED = "not_delivered"
    UNKNOWN = "unknown"


# Outcomes after which the run may have started, or may still start.
MAY_HAVE_STARTED = frozenset({StartOutcome.STARTED, StartOutcome.STALE_RUN, StartOutcome.UNKNOWN})
# Outcomes that say nothing about the worker.
WITHHELD_HERE = frozenset({StartOutcome.WITHHELD, StartOutcome.STALE_ENTRY, StartOutcome.SHRUNK})


def apply_start_answer(
    cell: Cell,
    worker_id: str,
    task: str,
    number: int,
    outcome: StartOutcome,
    is_conclusive: bool,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Apply the outcome of a start order.

    Parameters
    ----------
    is_conclusive
        Whether no earlier copy of the order is unanswered. Only then does a refusal prove that the
        run never starts.
    """
    worker = cell.workers.get(worker_id)
    run = worker.runs.get((task, number)) if worker else None
    if worker is None or run is None:
        return
    if run.state == RunState.STOPPING:
        if is_conclusive and outcome not in MAY_HAVE_STARTED:
            _end_refused_run(cell, run, outcome, now_ms, wall_ms)
        return
    if run.state == RunState.RUNNING:
        # A report has shown the run, which proves more than any answer to its order.
        return
    if outcome in (StartOutcome.STARTED, StartOutcome.STALE_RUN):
        run.confirmed_ms = now_ms
        run.step.job.has_started = True
        if outcome == StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.has_started = True
            worker_losses.record_start_answer(worker, run)
        return
    cell.log_decision(
        "start_refused",
        outcome,
        task=task,
        worker=worker_id,
        run=number,
        state=run.state,
        is_conclusive=is_conclusive,
        ordered_ms_ago=round(now_ms - run.ordered_ms),
    )
    _avoid_worker(run, worker, outcome, now_ms)
    if outcome == StartOutcome.UNKNOWN or not is_conclusive:
        # Once the worker has answered the stop, a delayed copy of the order can no longer start.
        stop_run(cell, run)
        return
    _end_refused_run(cell, run, outcome, now_ms, wall_ms)


def _end_refused_run(
    cell: Cell, run: Run, outcome: StartOutcome, now_ms: float, wall_ms: float
) -> None:
    """End a run whose only order was refused or not received, so that it never starts."""
    presumed_ends.record(cell, run, outcome, now_ms)
    end_run(cell, run, outcome, "", now_ms, wall_ms)
    run.step.tasks[run.index].not_before_ms = now_ms + RETRY_DELAY_MS


def _avoid_worker(run: Run, worker: Worker, outcome: StartOutcome, now_ms: float) -> None:
    if outcome in WITHHELD_HERE:
        return
    if outcome == StartOutcome.TICKET:
        run.step.advice.tickets.pop(worker.worker_id, None)
        run.step.advice.not_before_ms = now_ms
    else:
        worker.avoided_until_ms = max(worker.avoided_until_ms, now_ms + REFUSAL_AVOID_MS)


def is_start_wanted(cell: Cell, worker_id: str, task: str, number: int) -> bool:
    """Return whether a start order is to be sent: its run is not ended, stopped or shown active."""
    worker = cell.workers.get(worker_id)
    run = worker.runs.get((task, number)) if worker else None
    return run is not None and run.state == RunState.ORDERED


def withheld_cause(worker: Worker, now_ms: float) -> StartOutcome | None:
    """Return why no start may be sent to a worker because of its capacity, ``None`` if one may."""
    if now_ms > worker.starts_until_ms:
        return StartOutcome.STALE_ENTRY
    return StartOutcome.SHRUNK if worker.exceeds_capacity else None


def is_placed_on_current_incarnation(cell: Cell, worker_id: str, task: str, number: int) -> bool:
    """Return whether a worker has not restarted since a run was placed on it."""
    worker = cell.workers.get(worker_id)
    run = worker.runs.get((task, number)) if worker else None
    return worker is not None and run is not None and run.worker_started_ms == worker.started_ms


def record_start_sent(cell: Cell, worker_id: str, task: str, number: int, sent: int) -> None:
    """Count copies of a start order: 1 when a copy is sent, -1 when it is answered."""
    worker = cell.workers.get(worker_id)
    run = worker.runs.get((task, number)) if worker else None
    if run is not None:
        run.unanswered_orders += sent


def apply_stop_answer(
    cell: Cell,
    worker_id: str,
    task: str,
    number: int,
    now_ms: float,
    clock_ms: float | None = None,
) -> None:
    """Record that a worker accepted a stop order: the run ends, or can never start.

    Parameters
    ----------
    clock_ms
        Time on the worker's clock, if the answer contains it.
    """
    worker = cell.workers.get(worker_id)
    if worker is None:
        return
    key = (task, number)
    run = worker.runs.get(key)
    if run is not None:
        run.confirmed_ms = now_ms
        run.stop_accepted_by = worker.started_ms
    elif key in worker.stray_runs:
        worker.stray_runs[key] = now_ms
    else:
        return
    stop_proofs.record_accepted(worker, key, clock_ms)


def extend_lease(worker: Worker, lease_expires_at_ms: float) -> None:
    """Extend the time until which an order or a renewal may keep the runs of a worker alive."""
    worker.lease_expires_at_ms = max(worker.lease_expires_at_ms, lease_expires_at_ms)


def unanswered(cell: Cell, worker: Worker, now_ms: float) -> None:
    """Mark a worker as silent. No task is placed on it until it answers."""
    if worker.unanswered_since_ms is None:
        worker.unanswered_since_ms = now_ms
        cell.log_decision(
            "worker_silent", "call not answered", worker=worker.worker_id, runs=len(worker.runs)
        )


def unanswered_stops(worker: Worker) -> list[StopTask]:
    """Return the stop orders that a worker has not answered, also of runs that no job needs."""
    runs = [
        (run.task, run.number)
        for run in worker.runs.values()
        if run.state == RunState.STOPPING and run.confirmed_ms is None
    ]
    stray_runs = [key for key, confirmed_ms in worker.stray_runs.items() if confirmed_ms is None]
    return [StopTask(worker.worker_id, *key) for key in runs + stray_runs]


def resend_stops(cell: Cell, worker: Worker) -> None:
    """Repeat the stop orders that a worker has not answered."""
    for order in unanswered_stops(worker):
        if order not in cell.effects:
            cell.effects.append(order)

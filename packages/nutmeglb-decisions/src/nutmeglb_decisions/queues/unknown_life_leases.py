"""Counts leases that a worker may have granted in a life that its leader does not know.

A deadline is a time on the clock of one life of a worker. A worker that has restarted under its id
starts a new clock, and grants the longest lease for a deadline of its former one. A restart is
known from the first report of the new life, so a run is in one of two states:

- Its life is known: a report has shown the run, or the answer to its order has a clock that the
  deadline was meant for. Later deadlines are for the same clock, and if the worker restarts, the
  run ends with its life. The lease is the one that was ordered. Not covered: a renewal that is
  carried out seconds late, by a life that has begun meanwhile.
- Its life is unknown: its order has no such answer, or another copy of the order is unanswered,
  which a later life may carry out. Each call that carries a deadline may give it the longest lease.
"""

from nutmeglb_decisions.queues import late_orders
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Run, RunState
from nutmeglb_decisions.queues.worker_state import Worker

# An order times out before its answer can be late by this much.
MAX_LATENESS_MS = 500.0


def record_deadline(cell: Cell, worker: Worker, sent_ms: float) -> None:
    """Record that a call with a deadline is about to be sent, also to a life that is not known."""
    worker.longest_lease_expires_at_ms = max(
        worker.longest_lease_expires_at_ms, sent_ms + cell.max_lease_expiry_after_ms
    )


def record_first_answer(cell: Cell, worker: Worker, now_ms: float) -> None:
    """Count the longest lease from the first answer of a life to this leader.

    Until then, a deadline for another life may have been sent, by a former leader or by this one.
    From then on the worker refuses the calls of former leaders.
    """
    if cell.term > 0 or worker.former_report_ms > 0.0:
        worker.lease_expires_at_ms = max(
            worker.lease_expires_at_ms, now_ms + cell.max_lease_expiry_after_ms
        )


def record_start_answer(
    cell: Cell, worker_id: str, task: str, number: int, sent_ms: float, lease_end_ms: float
) -> None:
    """Record whether the answer to a start order shows a life that the deadline was meant for.

    Parameters
    ----------
    lease_end_ms
        End of the granted lease, by the latest clock that the answer allows.
    """
    worker = cell.workers.get(worker_id)
    run = worker.runs.get((task, number)) if worker else None
    if run is None or run.is_life_known:
        return
    excess_ms = lease_end_ms - sent_ms - (cell.lease_expiry_after_ms - cell.max_kill_ms)
    run.is_life_known = excess_ms <= 0.0
    if excess_ms > MAX_LATENESS_MS:
        cell.log_decision(
            "life_unknown",
            "the clock of its worker does not fit the deadline of the order",
            task=task,
            worker=worker_id,
            run=number,
            excess_ms=round(excess_ms),
        )


def has_unknown_life(run: Run, now_ms: float) -> bool:
    """Return whether a run may be active in a life of its worker that is not known.

    Copies of its order are carried out within a bounded time. Lasting tasks do not wait for any of
    this: callers allow them 9 s without a run, which the longest lease exceeds.
    """
    has_copies = run.unanswered_orders > 0
    may_start_late = has_copies and now_ms < run.ordered_ms + late_orders.MAX_DELAY_MS
    is_unknown = not run.is_life_known or may_start_late
    return is_unknown and not run.step.spec.lasting


def lapsed_runs(worker: Worker, confirmed_ms: float) -> list[Run]:
    """Return the runs of a silent worker whose leases have certainly expired."""
    if confirmed_ms < worker.lease_expires_at_ms:
        return []
    has_longest_expired = confirmed_ms >= worker.longest_lease_expires_at_ms
    return [
        run
        for run in worker.runs.values()
        if has_longest_expired or not has_unknown_life(run, confirmed_ms)
    ]


def may_outlast_orders(cell: Cell, now_ms: float) -> bool:
    """Return whether a known order may have a lease that exceeds the ordered one.

    Its worker has answered it in an unknown life, or is silent. Orders that are merely in flight
    do not count, since under load there is always one.
    """
    return any(
        has_unknown_life(run, now_ms)
        and (run.state == RunState.RUNNING or worker.unanswered_since_ms is not None)
        for worker in cell.workers.values()
        for run in worker.runs.values()
    )

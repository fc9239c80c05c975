"""Remembers runs whose end was inferred, and logs reports that one of them continued.

Without a reported end, a run counts as ended when its worker refused the order, when a report does
not contain it, or when its lease has expired. A report that shows such a run later contradicts the
inference, and its task may have been running twice.
"""

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import PresumedEnd, Run

# Runs are remembered for longer than any lease, so that a contradiction is noticed.
RETENTION_MS = 30_000.0
# Limit of the memory for them.
MAX_PRESUMED_ENDS = 5_000
# Cause of the inference from an expired lease.
LEASE_EXPIRED = "lapsed"
# Outcomes of a run that lost its lease or was refused, which agree with an inferred end.
CONSISTENT_OUTCOMES = frozenset({"stopped", "lapsed"})


def record(cell: Cell, run: Run, cause: str, now_ms: float) -> None:
    """Remember that the end of a run was inferred, and from which state."""
    worker = cell.workers.get(run.worker_id)
    silent_since_ms = worker.unanswered_since_ms if worker else None
    cell.presumed_ends[(run.task, run.number)] = PresumedEnd(
        worker_id=run.worker_id,
        cause=cause,
        at_ms=now_ms,
        state=run.state.value,
        confirmed_for_ms=None if run.confirmed_ms is None else now_ms - run.confirmed_ms,
        lease_left_ms=worker.lease_expires_at_ms - now_ms if worker else 0.0,
        silent_for_ms=None if silent_since_ms is None else now_ms - silent_since_ms,
    )
    _forget_old(cell, now_ms)


def log_contradiction(
    cell: Cell, worker_id: str, key: tuple[str, int], shown_as: str, now_ms: float
) -> None:
    """Log a report on a run that contradicts its inferred end.

    Parameters
    ----------
    shown_as
        ``running``, or the outcome of the run.
    """
    presumed = cell.presumed_ends.get(key)
    if presumed is None or presumed.worker_id != worker_id or shown_as in CONSISTENT_OUTCOMES:
        return
    if presumed.cause == LEASE_EXPIRED and shown_as != "running":
        # The run may have ended before its lease did.
        return
    del cell.presumed_ends[key]
    cell.log_decision(
        "presumed_end_contradicted",
        presumed.cause,
        task=key[0],
        worker=worker_id,
        run=key[1],
        shown_as=shown_as,
        presumed_ms_ago=round(now_ms - presumed.at_ms),
        state=presumed.state,
        confirmed_for_ms=_rounded(presumed.confirmed_for_ms),
        lease_left_ms=round(presumed.lease_left_ms),
        silent_for_ms=_rounded(presumed.silent_for_ms),
    )


def _rounded(duration_ms: float | None) -> int | None:
    return None if duration_ms is None else round(duration_ms)


def _forget_old(cell: Cell, now_ms: float) -> None:
    """Drop entries that are too old or too many. They are in the order of their ends."""
    ends = cell.presumed_ends
    while ends:
        key = next(iter(ends))
        if len(ends) <= MAX_PRESUMED_ENDS and ends[key].at_ms >= now_ms - RETENTION_MS:
            return
        del ends[key]

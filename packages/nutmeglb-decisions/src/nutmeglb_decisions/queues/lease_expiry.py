"""Ends the runs of silent workers when their leases have certainly expired."""

from nutmeglb_decisions.queues import (
    presumed_ends,
    reports,
    silent_workers,
    takeover_wait,
    unknown_life_leases,
)
from nutmeglb_decisions.queues.cell import Cell


def expire_silent_workers(cell: Cell, confirmed_ms: float, wall_ms: float) -> None:
    """End the runs of silent workers whose leases have certainly expired.

    Times are compared with ``confirmed_ms``, until when certainly no other instance was leader: a
    successor may have renewed a lease that had not expired by then. A worker not yet marked as
    silent is called first: this process may have been paused, and the answer shows which runs have
    ended and how. A worker whose process stands still does not end its runs with their lease.
    """
    lapsed = set()
    for worker in cell.workers.values():
        silent = worker.unanswered_since_ms is not None
        has_expired = confirmed_ms >= worker.lease_expires_at_ms and not (
            silent_workers.may_have_active_runs(cell, worker, confirmed_ms)
        )
        runs = unknown_life_leases.lapsed_runs(worker, confirmed_ms)
        if (runs or worker.stray_runs) and silent and has_expired:
            reports.end_runs(cell, worker, runs, presumed_ends.LEASE_EXPIRED, confirmed_ms, wall_ms)
            worker.stray_runs.clear()
            # The worker is called until it answers, because it may report earlier ends and can
            # then be used again.
            worker.settled = False
            if not worker.runs:
                lapsed.add(worker.worker_id)
    if lapsed:
        reports.forget_workers(cell, lapsed)
    expired_waits = takeover_wait.expired_waits(cell, confirmed_ms)
    if expired_waits:
        cell.log_decision(
            "workers_waited_out", "no answer in this term", workers=len(expired_waits)
        )
        reports.forget_workers(cell, expired_waits)
    if confirmed_ms >= cell.takeover_wait_deadline_ms and not takeover_wait.unsettled_workers(cell):
        cell.takeover_wait_deadline_ms = 0.0
        cell.ended_unsettled.clear()

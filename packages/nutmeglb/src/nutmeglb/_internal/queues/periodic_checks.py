"""What the leader checks at a fixed interval. An error in one check leaves the others running."""

from collections.abc import Callable
from functools import partial

from nutmeglb._internal.queues.authority import Authority
from nutmeglb._internal.queues.worker_listing import WorkerListing
from nutmeglb_decisions.queues import (
    lease_expiry,
    lifecycle,
    set_aside,
    slow_runs,
    speeds,
    stuck_runs,
    waiting,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.idle_jobs import IdleJobMonitor


def run(
    cell: Cell,
    authority: Authority,
    listing: WorkerListing,
    idle_jobs: IdleJobMonitor,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Apply time-based changes, such as lease expiry and due occurrences of jobs."""
    checks: dict[str, Callable[[], object]] = {
        "lease_expiry": partial(_expire_silent_workers, cell, authority, wall_ms),
        "entry_age": listing.log_age,
        "speeds": partial(speeds.apply_time, cell, now_ms),
        "stuck_runs": partial(stuck_runs.stop_stuck_runs, cell, now_ms),
        "slow_runs": partial(slow_runs.move_slow_runs, cell, now_ms),
        "long_waits": partial(waiting.log_long_waits, cell, now_ms),
        "idle_jobs": partial(idle_jobs.poll, cell, now_ms),
        "due_occurrences": partial(lifecycle.create_due_occurrences, cell, wall_ms),
    }
    for name, check in checks.items():
        set_aside.contain(cell, name, now_ms, check)


def _expire_silent_workers(cell: Cell, authority: Authority, wall_ms: float) -> None:
    if authority.is_exclusive:
        lease_expiry.expire_silent_workers(cell, authority.confirmed_ms, wall_ms)

"""Times after which runs on a worker have certainly ended, if it keeps to the platform's bounds."""

from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT
from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb_decisions.queues.cell import Cell

# Added to every such time, for the network path of the last call.
NETWORK_MARGIN_MS = 150.0


def new_cell(term: int, settings: QueueSection) -> Cell:
    """Return the empty state of a term, with the bounds of leases and stops.

    Durations on a worker's clock are those of the slowest clock. A lease of any length is followed
    by the time in which the worker ends the runs.
    """
    ended_after_ms = NETWORK_MARGIN_MS + settings.max_kill_ms
    cell = Cell(
        term,
        lease_expiry_after_ms=_longest_ms(settings.lease_of_runs_ms) + ended_after_ms,
        stop_ends_after_ms=_longest_ms(settings.max_stop_ms) + NETWORK_MARGIN_MS,
        max_lease_expiry_after_ms=_longest_ms(settings.max_run_lease_ms) + ended_after_ms,
    )
    cell.max_stop_ms = settings.max_stop_ms
    cell.max_kill_ms = settings.max_kill_ms
    cell.max_stall_ms = settings.max_stall_ms
    return cell


def _longest_ms(worker_clock_ms: float) -> float:
    """Return how long a duration on a worker's clock may take."""
    return worker_clock_ms / (1 - MAX_CLOCK_DRIFT)

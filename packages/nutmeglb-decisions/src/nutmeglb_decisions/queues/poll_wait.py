"""Decides how long a worker may wait for the end of a run before it answers a renewal."""

import math

from nutmeglb_decisions.queues import absent_runs, speeds, worker_losses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.worker_state import Worker

# Longest time that a worker waits in one call for the end of a run (from the platform's protocol).
LONG_POLL_MS = 2_000
# Longest wait while a stop is not answered. It is repeated after each report.
STRAY_POLL_MS = 100


def longest_wait_ms(
    cell: Cell,
    worker: Worker,
    last_report_sent_ms: float,
    now_ms: float,
    has_unanswered_stop: bool,
) -> int:
    """Return the longest wait in milliseconds.

    The next report is requested as soon as it can prove the end of a stopped run, or settle the
    worker. While workers are kept for suspects, one that starts meanwhile waits for a proof.

    Parameters
    ----------
    last_report_sent_ms
        Time at which the last report was requested.
    """
    proof_ms = absent_runs.next_proof_ms(cell, worker, last_report_sent_ms)
    needed_ms = [now_ms + LONG_POLL_MS]
    if proof_ms is not None:
        needed_ms.append(proof_ms)
    learning_ms = speeds.next_report_ms(cell, worker, now_ms)
    if learning_ms is not None:
        needed_ms.append(learning_ms)
    if not worker.settled:
        needed_ms.append(cell.settles_at_ms(worker))
    if cell.kept_workers:
        needed_ms.append(now_ms + worker_losses.PROVING_MS)
    if None in worker.stray_runs.values() or has_unanswered_stop:
        needed_ms.append(now_ms + STRAY_POLL_MS)
    return math.ceil(max(0.0, min(needed_ms) - now_ms))

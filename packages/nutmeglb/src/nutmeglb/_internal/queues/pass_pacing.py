"""Limits the work of a scheduling pass and the pause that leaves the event loop to other work.

Load pattern: hundreds of waiting steps at a leader with little processor time. Commits, answers of
workers and orders share the event loop with the passes, and every start depends on all of them.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.placing import WORKER_CHECKS_PER_PASS

# Minimum pause between passes. Changes within it are handled by one pass.
MIN_PAUSE_MS = 8.0
# Target duration of a pass. A commit or an order takes several iterations of the event loop, each
# of which may contain a pass, and tickets of the advice service must stay valid throughout.
TARGET_PASS_MS = 15.0
# Maximum pause, which applies after a pass during which the process was paused.
MAX_PAUSE_MS = 100.0
# Minimum number of worker checks, so that every step is considered within seconds even on the
# slowest machine.
MIN_WORKER_CHECKS = 2_000
# Maximum change of the limit after one pass, since a single pass may be slow for other reasons.
MAX_GROWTH = 1.25
MAX_SHRINKAGE = 0.5


@dataclass(slots=True)
class PassPacer:
    """Adapts the number of worker checks in a pass to the measured duration of passes.

    Attributes
    ----------
    worker_checks
        Number of workers that the next pass may check.
    pause_ms
        Pause before the next pass.
    """

    worker_checks: int = WORKER_CHECKS_PER_PASS
    pause_ms: float = MIN_PAUSE_MS

    def record_pass(self, took_ms: float) -> None:
        """Update the limits after a pass that took ``took_ms``."""
        factor = TARGET_PASS_MS / took_ms if took_ms > 0 else MAX_GROWTH
        worker_checks = self.worker_checks * min(MAX_GROWTH, max(MAX_SHRINKAGE, factor))
        self.worker_checks = round(
            min(WORKER_CHECKS_PER_PASS, max(MIN_WORKER_CHECKS, worker_checks))
        )
        self.pause_ms = min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, took_ms))

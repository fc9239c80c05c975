"""How much one scheduling pass may look at, and how long other work has the loop after it.

Load pattern answered: hundreds of waiting steps at a leader with little processor time. Commits,
answers of workers and orders share its loop with the passes, and starts depend on all of them.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.placing import LOOKS_PER_PASS

# Changes within this time are answered by one scheduling pass.
MIN_PAUSE_MS = 8.0
# A commit or an order takes some turns of the loop, with a pass in each of them. Tickets have to
# outlast it.
TARGET_PASS_MS = 15.0
# The longest rest, after a pass in which the process was paused.
MAX_PAUSE_MS = 100.0
# Every step has its turn within seconds also on the slowest machine.
MIN_WORKER_CHECKS = 2_000
# Change of the bound after one pass at most, since one pass may be slow for another reason.
MAX_GROWTH = 1.25
MAX_SHRINKAGE = 0.5


@dataclass(slots=True)
class PassPacer:
    """Adapts the bound of a pass to the time that passes take.

    Attributes
    ----------
    looks
        Workers that the next pass may look at.
    rest_ms
        Time until the next pass.
    """

    worker_checks: int = LOOKS_PER_PASS
    pause_ms: float = MIN_PAUSE_MS

    def record_pass(self, took_ms: float) -> None:
        """Note how long a pass took."""
        factor = TARGET_PASS_MS / took_ms if took_ms > 0 else MAX_GROWTH
        worker_checks = self.worker_checks * min(MAX_GROWTH, max(MAX_SHRINKAGE, factor))
        self.worker_checks = round(min(LOOKS_PER_PASS, max(MIN_WORKER_CHECKS, worker_checks)))
        self.pause_ms = min(MAX_PAUSE_MS, max(MIN_PAUSE_MS, took_ms))

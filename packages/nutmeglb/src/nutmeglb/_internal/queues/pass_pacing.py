"""How much one scheduling pass may look at, and how long other work has the loop after it.

Load pattern answered: hundreds of waiting steps at a leader with little processor time. Commits,
answers of workers and orders share its loop with the passes, and starts depend on all of them.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.placing import WORKER_CHECKS_PER_PASS

# Changes within this time are answered by one scheduling pass.
PASS_MS = 8.0
# A commit or an order takes some turns of the loop, with a pass in each of them. Tickets have to
# outlast it.
PASS_LIMIT_MS = 15.0
# The longest rest, after a pass in which the process was paused.
MAX_REST_MS = 100.0
# Every step has its turn within seconds also on the slowest machine.
MIN_LOOKS = 2_000
# Change of the bound after one pass at most, since one pass may be slow for another reason.
GROWTH = 1.25
SHRINKAGE = 0.5


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

    looks: int = WORKER_CHECKS_PER_PASS
    rest_ms: float = PASS_MS

    def note(self, took_ms: float) -> None:
        """Note how long a pass took."""
        factor = PASS_LIMIT_MS / took_ms if took_ms > 0 else GROWTH
        looks = self.looks * min(GROWTH, max(SHRINKAGE, factor))
        self.looks = round(min(WORKER_CHECKS_PER_PASS, max(MIN_LOOKS, looks)))
        self.rest_ms = min(MAX_REST_MS, max(PASS_MS, took_ms))

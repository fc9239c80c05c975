"""Exponential backoff with full jitter."""

import random

INITIAL_BOUND_MS = 50.0
MAX_DOUBLINGS = 20


class Backoff:
    """Delay before the next attempt: random up to a bound that doubles with every failure.

    Parameters
    ----------
    max_ms
        Largest bound in milliseconds.
    """

    def __init__(self, rng: random.Random, max_ms: float) -> None:
        self._rng = rng
        self._max_ms = max_ms
        self._failures = 0

    @property
    def failures(self) -> int:
        """Return the number of failures since the last success."""
        return self._failures

    def next_delay_ms(self) -> float:
        """Count a failure and return the delay in milliseconds."""
        bound_ms = min(self._max_ms, INITIAL_BOUND_MS * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._rng.uniform(0, bound_ms)

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._failures = 0

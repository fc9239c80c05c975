"""Token bucket that limits retries to a share of recent requests."""

# Maximum number of retries saved up by earlier requests, and the number available at the start.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Each request earns ``share`` of a retry; each retry costs one.

    Parameters
    ----------
    share
        Retries earned per request, from the settings key ``routing.retry_budget``.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._available = MAX_SAVED_RETRIES if share > 0 else 0.0

    @property
    def available(self) -> float:
        """Return the number of retries available."""
        return self._available

    def add_request(self) -> None:
        """Add the share of a retry that one request earns."""
        self._available = min(MAX_SAVED_RETRIES, self._available + self._share)

    def take_retry(self) -> bool:
        """Take one retry from the budget. Return whether one was available."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

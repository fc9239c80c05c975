"""Limit of retries as a share of recent requests."""

# Retries saved up by earlier requests. Also the number allowed to an instance that just started.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Each request earns ``share`` of a retry; each retry costs one.

    Parameters
    ----------
    share
        Retries per request, from the settings key ``routing.retry_budget``.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._available = MAX_SAVED_RETRIES if share > 0 else 0.0

    @property
    def available(self) -> float:
        """Return the number of retries available."""
        return self._available

    def add_request(self) -> None:
        """Earn the share of one request."""
        self._available = min(MAX_SAVED_RETRIES, self._available + self._share)

    def take_retry(self) -> bool:
        """Use one retry. Return whether it is allowed."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

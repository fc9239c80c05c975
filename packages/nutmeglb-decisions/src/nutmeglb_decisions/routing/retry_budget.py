"""Limit of retries as a share of recent requests."""

# Retries saved up by earlier requests. Also the number allowed to an instance that just started.
BURST = 10.0


class RetryBudget:
    """Each request earns ``share`` of a retry; each retry costs one.

    Parameters
    ----------
    share
        Retries per request, from the settings key ``routing.retry_budget``.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._saved = BURST if share > 0 else 0.0

    @property
    def saved(self) -> float:
        """Return the number of retries available."""
        return self._saved

    def add_request(self) -> None:
        """Earn the share of one request."""
        self._saved = min(BURST, self._saved + self._share)

    def take_retry(self) -> bool:
        """Use one retry. Return whether it is allowed."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

"""Streaming estimates of service times in constant time per sample."""

import math

MEAN_WEIGHT = 0.02
BUCKETS_PER_OCTAVE = 4
BUCKET_COUNT = 96
MIN_BUCKET_MS = 0.25
# All counts are halved beyond this number of samples, so that old service times lose weight.
DECAY_AFTER_SAMPLES = 200_000
REFRESH_INTERVAL_SAMPLES = 256
# Maximum share of the capacity that exchanges abandoned at their deadline may use.
MAX_ABANDONED_SHARE = 0.01
# Maximum part of a request's timeout that is reserved for running it.
MAX_RESERVE_SHARE = 0.75


class ServiceTimes:
    """Mean and upper quantiles of the duration of exchanges, in milliseconds.

    Parameters
    ----------
    max_run_ms
        Time for which an abandoned exchange keeps its slot.
    """

    def __init__(self, max_run_ms: float) -> None:
        self._max_run_ms = max_run_ms
        self._mean_ms = 0.0
        self._buckets = [0.0] * BUCKET_COUNT
        self._count = 0.0
        self._samples_until_refresh = 1
        self._reserve_ms = 0.0

    @property
    def mean_ms(self) -> float:
        """Return the weighted mean duration; 0 before the first sample."""
        return self._mean_ms

    def reserve_ms(self, timeout_ms: float) -> float:
        """Return how long before its deadline a request must have been started.

        An exchange abandoned at its deadline occupies its slot for ``max_run_ms``. The reserve
        keeps the expected cost of such exchanges below ``MAX_ABANDONED_SHARE`` of the work done.
        """
        return min(self._reserve_ms, MAX_RESERVE_SHARE * timeout_ms)

    def add(self, duration_ms: float) -> None:
        """Record the duration of an exchange."""
        weight = MEAN_WEIGHT if self._count >= 1.0 / MEAN_WEIGHT else 1.0 / (self._count + 1.0)
        self._mean_ms += weight * (duration_ms - self._mean_ms)
        self._buckets[_bucket_of(duration_ms)] += 1.0
        self._count += 1.0
        self._samples_until_refresh -= 1
        if self._samples_until_refresh <= 0:
            self._refresh()

    def _refresh(self) -> None:
        self._samples_until_refresh = REFRESH_INTERVAL_SAMPLES
        if self._count > DECAY_AFTER_SAMPLES:
            self._buckets = [count / 2 for count in self._buckets]
            self._count /= 2
        max_count_above = self._count * MAX_ABANDONED_SHARE * self._mean_ms / self._max_run_ms
        count_above = 0.0
        for index in range(BUCKET_COUNT - 1, -1, -1):
            count_above += self._buckets[index]
            if count_above > max_count_above:
                self._reserve_ms = _upper_bound_ms(index)
                return


def _bucket_of(duration_ms: float) -> int:
    if duration_ms <= MIN_BUCKET_MS:
        return 0
    index = math.ceil(BUCKETS_PER_OCTAVE * math.log2(duration_ms / MIN_BUCKET_MS))
    return min(index, BUCKET_COUNT - 1)


def _upper_bound_ms(index: int) -> float:
    return MIN_BUCKET_MS * float(2.0 ** (index / BUCKETS_PER_OCTAVE))

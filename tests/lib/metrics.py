"""Metrics that record one value per name, without labels."""

from collections import Counter


class _Metric:
    def __init__(self, totals: Counter, name: str) -> None:
        self._totals = totals
        self._name = name

    def inc(self, amount: float = 1.0, **labels: str) -> None:
        self._totals[self._name] += amount

    def set(self, value: float, **labels: str) -> None:
        self._totals[self._name] = value

    def observe(self, value: float, **labels: str) -> None:
        self._totals[self._name] += 1


class RecordingMetrics:
    """Factory of metrics with their values by name in ``totals``, over all labels.

    The value is the sum of a counter, the last value of a gauge, or the number of observations of a
    histogram.
    """

    def __init__(self) -> None:
        self.totals: Counter = Counter()

    def counter(self, name: str, help_text: str) -> _Metric:
        return _Metric(self.totals, name)

    gauge = counter
    histogram = counter

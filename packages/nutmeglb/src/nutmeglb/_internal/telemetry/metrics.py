"""Metrics through aioprometheus, with one registry per process.

Counters and gauges are kept in plain dictionaries and copied to aioprometheus when they are read,
because its collectors serialize the labels on every update (6 µs each).
"""

from collections.abc import Sequence
from typing import TypeVar

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

# Enough for one label value per team at the size of section 1.3 of the design page (230 teams).
MAX_LABEL_SETS = 256
OTHER = "other"
SECONDS_BUCKETS = (
    *(0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
    *(0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, float("inf")),
)

Labels = tuple[tuple[str, str], ...]
CellT = TypeVar("CellT")


class _Series:
    """Maps label sets to canonical ones. Beyond the limit, every value becomes ``other``."""

    def __init__(self) -> None:
        self._known: dict[Labels, Labels] = {}
        self._sets: set[Labels] = set()

    def canonical(self, labels: dict[str, str]) -> Labels:
        """Return the key of a label set."""
        given = tuple(labels.items())
        known = self._known.get(given)
        return known if known is not None else self._add(given)

    def _add(self, given: Labels) -> Labels:
        key = tuple(sorted(given))
        if key not in self._sets:
            if len(self._sets) >= MAX_LABEL_SETS:
                return tuple((name, OTHER) for name, _ in key)
            self._sets.add(key)
        self._known[given] = key
        return key


class PlainCounter:
    """Counter with bounded labels."""

    def __init__(self, collector: Counter) -> None:
        self._collector = collector
        self._series = _Series()
        self._values: dict[Labels, float] = {}

    def inc(self, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount``, which must not be negative."""
        if amount < 0:
            raise ValueError("a counter cannot decrease; use a gauge")
        key = self._series.canonical(labels)
        self._values[key] = self._values.get(key, 0.0) + amount

    def value(self, **labels: str) -> float:
        """Return the value of a label set."""
        return self._values.get(self._series.canonical(labels), 0.0)

    def publish(self) -> None:
        """Copy the values to aioprometheus."""
        for key, value in self._values.items():
            self._collector.set(dict(key), value)


class PlainGauge:
    """Gauge with bounded labels."""

    def __init__(self, collector: Gauge) -> None:
        self._collector = collector
        self._series = _Series()
        self._values: dict[Labels, float] = {}

    def set(self, value: float, **labels: str) -> None:
        """Set the value."""
        self._values[self._series.canonical(labels)] = value

    def value(self, **labels: str) -> float:
        """Return the value of a label set."""
        return self._values.get(self._series.canonical(labels), 0.0)

    def publish(self) -> None:
        """Copy the values to aioprometheus."""
        for key, value in self._values.items():
            self._collector.set(dict(key), value)


class PlainHistogram:
    """Histogram with bounded labels. Values are in seconds."""

    def __init__(self, collector: Histogram) -> None:
        self._collector = collector
        self._series = _Series()

    def observe(self, value: float, **labels: str) -> None:
        """Record ``value``."""
        self._collector.observe(dict(self._series.canonical(labels)), float(value))

    def publish(self) -> None:
        """Do nothing: values are recorded in aioprometheus directly."""


class MetricsRegistry:
    """Implements ``Metrics``."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, PlainCounter | PlainGauge | PlainHistogram] = {}

    def counter(self, name: str, help_text: str) -> PlainCounter:
        """Return a counter. Its name ends with ``_total``."""
        if name not in self._metrics:
            collector = Counter(name, help_text, registry=self._registry)
            self._metrics[name] = PlainCounter(collector)
        return _typed(name, self._metrics[name], PlainCounter)

    def gauge(self, name: str, help_text: str) -> PlainGauge:
        """Return a gauge."""
        if name not in self._metrics:
            collector = Gauge(name, help_text, registry=self._registry)
            self._metrics[name] = PlainGauge(collector)
        return _typed(name, self._metrics[name], PlainGauge)

    def histogram(self, name: str, help_text: str) -> PlainHistogram:
        """Return a histogram of seconds."""
        if name not in self._metrics:
            collector = Histogram(name, help_text, registry=self._registry, buckets=SECONDS_BUCKETS)
            self._metrics[name] = PlainHistogram(collector)
        return _typed(name, self._metrics[name], PlainHistogram)

    def render(self, accepts: Sequence[str] = ()) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in an exposition format, and its HTTP headers."""
        for metric in self._metrics.values():
            metric.publish()
        return render(self._registry, list(accepts))


def _typed(name: str, metric: object, expected: type[CellT]) -> CellT:
    if not isinstance(metric, expected):
        raise TypeError(f"metric {name} exists with another type; use another name")
    return metric

"""Metrics through aioprometheus, with one registry per process.

Counters and gauges are kept in plain dictionaries and copied to aioprometheus when they are read,
because its collectors serialize the labels on every update (6 µs each).
"""

from collections.abc import Sequence
from typing import TypeVar

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

# Allows one label value per team for the 230 teams of section 1.3 of docs/design.md.
MAX_LABEL_SETS = 256
OVERFLOW_LABEL_VALUE = "other"
SECONDS_BUCKETS = (
    *(0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1),
    *(0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, float("inf")),
)

Labels = tuple[tuple[str, str], ...]
MetricT = TypeVar("MetricT")


class _LabelSets:
    """Maps label sets to their keys. Beyond ``MAX_LABEL_SETS``, every label value is ``other``."""

    def __init__(self) -> None:
        self._key_by_labels: dict[Labels, Labels] = {}
        self._keys: set[Labels] = set()

    def canonical_key(self, labels: dict[str, str]) -> Labels:
        """Return the key of a label set: its labels in order of name."""
        label_items = tuple(labels.items())
        canonical = self._key_by_labels.get(label_items)
        return canonical if canonical is not None else self._add(label_items)

    def _add(self, label_items: Labels) -> Labels:
        key = tuple(sorted(label_items))
        if key not in self._keys:
            if len(self._keys) >= MAX_LABEL_SETS:
                return tuple((name, OVERFLOW_LABEL_VALUE) for name, _ in key)
            self._keys.add(key)
        self._key_by_labels[label_items] = key
        return key


class BoundedCounter:
    """Counter with bounded labels."""

    def __init__(self, collector: Counter) -> None:
        self._collector = collector
        self._label_sets = _LabelSets()
        self._values: dict[Labels, float] = {}

    def inc(self, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount``, which must not be negative."""
        if amount < 0:
            raise ValueError("a counter cannot decrease; use a gauge")
        key = self._label_sets.canonical_key(labels)
        self._values[key] = self._values.get(key, 0.0) + amount

    def value(self, **labels: str) -> float:
        """Return the value of a label set."""
        return self._values.get(self._label_sets.canonical_key(labels), 0.0)

    def publish(self) -> None:
        """Copy the values to aioprometheus."""
        for key, value in self._values.items():
            self._collector.set(dict(key), value)


class BoundedGauge:
    """Gauge with bounded labels."""

    def __init__(self, collector: Gauge) -> None:
        self._collector = collector
        self._label_sets = _LabelSets()
        self._values: dict[Labels, float] = {}

    def set(self, value: float, **labels: str) -> None:
        """Set the value."""
        self._values[self._label_sets.canonical_key(labels)] = value

    def value(self, **labels: str) -> float:
        """Return the value of a label set."""
        return self._values.get(self._label_sets.canonical_key(labels), 0.0)

    def publish(self) -> None:
        """Copy the values to aioprometheus."""
        for key, value in self._values.items():
            self._collector.set(dict(key), value)


class BoundedHistogram:
    """Histogram with bounded labels. Its buckets are meant for seconds."""

    def __init__(self, collector: Histogram) -> None:
        self._collector = collector
        self._label_sets = _LabelSets()

    def observe(self, value: float, **labels: str) -> None:
        """Record ``value``."""
        self._collector.observe(dict(self._label_sets.canonical_key(labels)), float(value))

    def publish(self) -> None:
        """Do nothing: values are recorded in aioprometheus directly."""


class MetricsRegistry:
    """Implements ``Metrics``."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._metrics: dict[str, BoundedCounter | BoundedGauge | BoundedHistogram] = {}

    def counter(self, name: str, help_text: str) -> BoundedCounter:
        """Return a counter. Its name ends with ``_total``."""
        if name not in self._metrics:
            collector = Counter(name, help_text, registry=self._registry)
            self._metrics[name] = BoundedCounter(collector)
        return _require_type(name, self._metrics[name], BoundedCounter)

    def gauge(self, name: str, help_text: str) -> BoundedGauge:
        """Return a gauge."""
        if name not in self._metrics:
            collector = Gauge(name, help_text, registry=self._registry)
            self._metrics[name] = BoundedGauge(collector)
        return _require_type(name, self._metrics[name], BoundedGauge)

    def histogram(self, name: str, help_text: str) -> BoundedHistogram:
        """Return a histogram whose buckets are meant for seconds."""
        if name not in self._metrics:
            collector = Histogram(name, help_text, registry=self._registry, buckets=SECONDS_BUCKETS)
            self._metrics[name] = BoundedHistogram(collector)
        return _require_type(name, self._metrics[name], BoundedHistogram)

    def render(self, accepts: Sequence[str] = ()) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in an exposition format, and its HTTP headers."""
        for metric in self._metrics.values():
            metric.publish()
        return render(self._registry, list(accepts))


def _require_type(name: str, metric: object, expected: type[MetricT]) -> MetricT:
    if not isinstance(metric, expected):
        raise TypeError(f"metric {name} exists with another type; use another name")
    return metric

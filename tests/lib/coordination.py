"""Helpers of the coordination tests: recorded metrics and events, store client, event loop."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from nutmeglb._internal.settings.models import StoreSection
from nutmeglb._internal.store.client import StoreClient
from nutmeglb_formats.clock import Clock
from standins.store import StoreServer

TEST_TIMEOUT_S = 30.0


class RecordedMetric:
    """Counter, gauge and histogram in one: sums by label set, and the last value set."""

    def __init__(self) -> None:
        self.sums: Counter[tuple[tuple[str, str], ...]] = Counter()
        self.value = 0.0

    def inc(self, amount: float = 1.0, **labels: str) -> None:
        self.sums[tuple(sorted(labels.items()))] += amount  # type: ignore[assignment]

    def set(self, value: float, **labels: str) -> None:
        self.value = value

    def observe(self, value: float, **labels: str) -> None:
        self.inc(1.0, **labels)

    def total(self, **labels: str) -> float:
        required_labels = set(labels.items())
        return sum(amount for key, amount in self.sums.items() if required_labels <= set(key))


class RecordedMetrics:
    """Metrics factory that keeps every metric by name."""

    def __init__(self) -> None:
        self.by_name: dict[str, RecordedMetric] = {}

    def counter(self, name: str, help_text: str) -> RecordedMetric:
        return self.by_name.setdefault(name, RecordedMetric())

    gauge = counter
    histogram = counter


class RecordedEvents:
    """Event log that keeps every event."""

    def __init__(self) -> None:
        self.events: list[tuple[str, str, dict[str, Any]]] = []

    def emit(self, kind: str, cause: str, **fields: Any) -> None:
        self.events.append((kind, cause, fields))


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test in a new event loop, with a time limit that only guards against a hang."""
    asyncio.run(asyncio.wait_for(test(), TEST_TIMEOUT_S))


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition. ``run`` ends a test whose condition never holds."""
    while not condition():
        await asyncio.sleep(0.005)


async def retry_until_ok(call: Callable[[], Awaitable[Any]]) -> Any:
    """Repeat a call until it returns ``Ok``."""
    while (result := await call()).is_err():
        await asyncio.sleep(0.01)
    return result.ok_value


def store_settings(server: StoreServer, **changes: Any) -> StoreSection:
    """Return client settings with short delays."""
    values = {"call_timeout_ms": 300, "calls_per_s": 2_000, "backoff_max_ms": 100} | changes
    return StoreSection(address=server.address, **values)


def store_client(server: StoreServer, instance: str = "i1", **changes: Any) -> StoreClient:
    """Return a client of the store stand-in."""
    metrics = RecordedMetrics()
    settings = store_settings(server, **changes)
    return StoreClient(settings, instance, Clock(), random.Random(1), metrics)

"""Stops of worker processes in the queue soak: merged records, and which runs were up."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

Event = dict[str, Any]
Spans = Sequence[tuple[float, float]]
# A process that is told to go on notes it within this time; it does nothing before.
NOTED_WITHIN_S = 1.0
STOPPED, CONTINUED = "process_stop", "process_continue"
RESUMED = "resume"


def merge_events(records: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge records by time. The order of each record, whose calls are noted late, stays."""
    return [event for *_, event in heapq.merge(*(_keyed(n, r) for n, r in enumerate(records)))]


def _keyed(number: int, record: Iterable[Event]) -> Iterator[tuple[float, int, int, Event]]:
    latest_s = 0.0
    for order, event in enumerate(record):
        if event["event"] != "call":
            latest_s = max(latest_s, event["t"])
        yield latest_s, number, order, event


def stop_spans(events: Iterable[Event]) -> dict[str, list[tuple[float, float]]]:
    """Return the spans in which each process was stopped.

    A span lasts from the signal that stopped the process until the process notes that it goes on.
    """
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in events:
        present = spans[event["process"]] if "process" in event else []
        if event["event"] == STOPPED:
            present.append((event["t"], float("inf")))
        elif event["event"] == CONTINUED and present:
            present[-1] = (present[-1][0], event["t"])
        elif event["event"] == RESUMED and present:
            start_s, end_s = present[-1]
            if end_s <= event["t"] <= end_s + NOTED_WITHIN_S:
                present[-1] = (start_s, event["t"])
    return dict(spans)


def first_moment_up(
    span: tuple[float, float], stops: Iterable[tuple[float, float]]
) -> float | None:
    """Return the first moment of a span outside all stops, or ``None``. A span may be a moment."""
    at_s, end_s = span
    for start_s, stopped_until_s in sorted(stops):
        if start_s <= at_s < stopped_until_s:
            at_s = stopped_until_s
    return at_s if at_s < end_s or at_s == span[0] else None


def time_up(span: tuple[float, float], stops: Iterable[tuple[float, float]]) -> float:
    """Return how much of a span is outside all stops."""
    at_s, end_s = span
    total_s = 0.0
    for start_s, stopped_until_s in sorted(stops):
        if stopped_until_s > at_s and start_s < end_s:
            total_s += max(0.0, start_s - at_s)
            at_s = max(at_s, stopped_until_s)
    return total_s + max(0.0, end_s - at_s)


def stops_of(stops: Mapping[str, Spans], process: str) -> Spans:
    """Return the stops of a process. The shared process has no name and is not stopped."""
    return stops.get(process, ()) if process else ()

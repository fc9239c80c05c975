"""Merges the events of several instances, from logs and live queries, into one timeline.

Every event has an ``order_ms``, the value of a hybrid logical clock: the instance's wall-clock
time, raised to exceed the time of every earlier event of the same instance and the timestamp of
every peer message received so far. An event caused by a message therefore sorts after the events
that precede the sending, however far the two wall clocks differ. Events that are not causally
related are sorted by their wall clocks.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from result import Err

from nutmeglb_formats.models.events import (
    DECISION_MESSAGE_TYPE,
    EVENT_MESSAGE_TYPE,
    EVENT_VERSION,
    Event,
    EventFilter,
    event_from_items,
)

LINE_LIMIT_CHARACTERS = 100_000
COMMON_LINE_KEYS = ("at_ms", "order_ms", "timestamp", "message_type")
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class LogEvents:
    """Events of a log, and the number of its event lines that cannot be read."""

    events: tuple[Event, ...]
    unreadable_count: int


def merge_events(
    streams: Iterable[Iterable[Event]], event_filter: EventFilter | None = None
) -> list[Event]:
    """Return the distinct events of all streams in causal order.

    An event that occurs in several streams, such as a log and a live answer, is returned once.
    """
    events_by_id: dict[tuple[str, int, float], Event] = {}
    for stream in streams:
        for event in stream:
            if event_filter is None or event_filter.matches(event):
                events_by_id[(event.instance, event.sequence, event.monotonic_ms)] = event
    return sorted(events_by_id.values(), key=_sort_key)


def read_log(lines: Iterable[str]) -> LogEvents:
    """Return the events, decisions and component messages of a log in the order of the lines.

    Damaged lines are skipped and counted; lines of other programs are skipped. A line may have text
    before its JSON object, such as the time and the machine that a log collector adds.
    """
    events = []
    unreadable_count = 0
    for line in lines:
        if "message_type" not in line:
            continue
        items = _line_items(line)
        if items is None:
            continue
        decoded = event_from_items(items)
        if isinstance(decoded, Err):
            unreadable_count += 1
        else:
            events.append(decoded.ok_value)
    return LogEvents(tuple(events), unreadable_count)


def _line_items(line: str) -> object | None:
    """Return the stored form of the event in a line, or ``None`` for a line of another program.

    For a damaged line, a text is returned, which ``event_from_items`` rejects.
    """
    if len(line) > LINE_LIMIT_CHARACTERS:
        return "oversized"
    try:
        message = json.loads(line[max(0, line.find("{")) :])
    except (ValueError, RecursionError):
        return "truncated"
    if not isinstance(message, dict):
        return None
    if message.get("message_type") == EVENT_MESSAGE_TYPE:
        event: object = message.get("event", "absent")
        return event
    if message.get("message_type") == DECISION_MESSAGE_TYPE:
        return _decision_items(message)
    return _component_line_items(message)


def _decision_items(line: dict[str, Any]) -> dict[str, Any]:
    """Return the stored form of an event for a line of the scheduler's decision log."""
    task = line.get("task")
    excluded_keys = {
        "kind",
        "cause",
        "job",
        "task",
        "worker",
        "instance",
        "sequence",
        *COMMON_LINE_KEYS,
    }
    return {
        "version": EVENT_VERSION,
        "instance": line.get("instance"),
        "sequence": line.get("sequence"),
        "monotonic_ms": line.get("at_ms"),
        "wall_ms": line["timestamp"] * MS_PER_S if _is_number(line.get("timestamp")) else None,
        "order_ms": line.get("order_ms"),
        "epoch": 0,
        "kind": line.get("kind"),
        "cause": line.get("cause"),
        "job": line.get("job") or (str(task).partition(".")[0] if task else None),
        "task": task,
        "worker": line.get("worker"),
        "fields": {name: value for name, value in line.items() if name not in excluded_keys},
    }


def _component_line_items(line: dict[str, Any]) -> dict[str, Any] | None:
    """Return the stored form of an event for a log line of a component, such as an election."""
    if not _is_number(line.get("timestamp")) or not isinstance(line.get("text"), str):
        return None
    excluded_keys = {"text", "instance", "level", *COMMON_LINE_KEYS}
    wall_ms = line["timestamp"] * MS_PER_S
    prefix, _, cause = line["text"].partition(": ")
    return {
        "version": EVENT_VERSION,
        "instance": line.get("instance"),
        "sequence": 0,
        "monotonic_ms": wall_ms,
        "wall_ms": wall_ms,
        "order_ms": wall_ms,
        "epoch": 0,
        "kind": prefix,
        "cause": cause,
        "fields": {name: value for name, value in line.items() if name not in excluded_keys},
    }


def _is_number(value: object) -> bool:
    return isinstance(value, int | float)


def _sort_key(event: Event) -> tuple[float, str, int]:
    return event.order_ms, event.instance, event.sequence

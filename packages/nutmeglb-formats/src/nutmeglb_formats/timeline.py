"""Merges the events of several instances, from logs and live queries, into one time line.

Every event carries ``order_ms``, a hybrid logical clock: the instance's wall-clock time, raised to
exceed the time of every earlier event of the same instance and the time stamped on every peer
message received so far. An event caused by a message therefore sorts after the events that precede
the sending, however far the two wall clocks differ. Between events that are not causally related
the order is that of the wall clocks.
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
LINE_TIMES = ("at_ms", "order_ms", "timestamp", "message_type")
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class LogEvents:
    """Events found in a log, and the number of event lines that could not be read."""

    events: tuple[Event, ...]
    damaged: int


def merge(streams: Iterable[Iterable[Event]], wanted: EventFilter | None = None) -> list[Event]:
    """Return the distinct events of all streams in causal order.

    An event that is both in a log and in a live answer appears once.
    """
    distinct: dict[tuple[str, int, float], Event] = {}
    for stream in streams:
        for event in stream:
            if wanted is None or wanted.matches(event):
                distinct[(event.instance, event.sequence, event.monotonic_ms)] = event
    return sorted(distinct.values(), key=_order)


def read_log(lines: Iterable[str]) -> LogEvents:
    """Return events, decisions and lines of components. Truncated and foreign lines are skipped.

    A line may have text before its JSON object, such as the time and machine of a log collector.
    """
    events = []
    damaged = 0
    for line in lines:
        if "message_type" not in line:
            continue
        items = _event_items(line)
        if items is None:
            continue
        decoded = event_from_items(items)
        if isinstance(decoded, Err):
            damaged += 1
        else:
            events.append(decoded.ok_value)
    return LogEvents(tuple(events), damaged)


def _event_items(line: str) -> object | None:
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
    return _text_items(message)


def _decision_items(line: dict[str, Any]) -> dict[str, Any]:
    """Return the items of an event for a line of a scheduler's decision log."""
    task = line.get("task")
    known = {"kind", "cause", "job", "task", "worker", "instance", "sequence", *LINE_TIMES}
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
        "fields": {name: value for name, value in line.items() if name not in known},
    }


def _text_items(line: dict[str, Any]) -> dict[str, Any] | None:
    """Return the items of an event for a line of one of the components, such as an election."""
    if not _is_number(line.get("timestamp")) or not isinstance(line.get("text"), str):
        return None
    known = {"text", "instance", "level", *LINE_TIMES}
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
        "fields": {name: value for name, value in line.items() if name not in known},
    }


def _is_number(value: object) -> bool:
    return isinstance(value, int | float)


def _order(event: Event) -> tuple[float, str, int]:
    return event.order_ms, event.instance, event.sequence

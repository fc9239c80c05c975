"""Events of the timeline, as kept in memory, logged and shown to operators."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from nutmeglb_formats.exceptions import StoredValueError

EVENT_VERSION = 1
EVENT_MESSAGE_TYPE = "event"
DECISION_MESSAGE_TYPE = "decision"
Scalar = str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Event:
    """One decision of an entry instance.

    Attributes
    ----------
    sequence
        Number of the event within its process, from 1.
    monotonic_ms
        Monotonic time of the instance in milliseconds.
    wall_ms
        Wall-clock time of the instance in milliseconds since the Unix epoch.
    order_ms
        Hybrid logical clock in milliseconds, by which timelines are sorted: ``wall_ms``, raised
        where needed to exceed the ``order_ms`` of every event that precedes this one on the same
        instance, or on another instance whose message arrived before.
    epoch
        Highest leadership epoch of the failure domain that the instance knew.
    kind
        Kind of the decision, such as ``job_accepted``.
    cause
        Why the decision was made, in one short phrase.
    request, task, job, ticket, worker, endpoint
        Ids of the objects concerned; ``None`` where there is none.
    fields
        Further values of the decision by name.
    """

    instance: str
    sequence: int
    monotonic_ms: float
    wall_ms: float
    order_ms: float
    epoch: int
    kind: str
    cause: str
    request: str | None = None
    task: str | None = None
    job: str | None = None
    ticket: int | None = None
    worker: str | None = None
    endpoint: str | None = None
    fields: Mapping[str, Scalar] = field(default_factory=dict)


ID_FIELDS = ("request", "task", "job", "ticket", "worker", "endpoint")
_EVENT_ADAPTER = TypeAdapter(Event)
_FIELD_NAMES = tuple(item.name for item in fields(Event))
_FIELD_NAME_SET = frozenset(_FIELD_NAMES)


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events by id and kind. A field that is ``None`` matches every event."""

    request: str | None = None
    task: str | None = None
    job: str | None = None
    ticket: int | None = None
    worker: str | None = None
    endpoint: str | None = None
    kind: str | None = None

    def matches(self, event: Event) -> bool:
        """Return whether the event has all given ids and its kind starts with ``kind``."""
        if self.kind is not None and not event.kind.startswith(self.kind):
            return False
        expected_ids = ((name, getattr(self, name)) for name in ID_FIELDS)
        return all(value is None or getattr(event, name) == value for name, value in expected_ids)


def event_to_items(event: Event) -> dict[str, Any]:
    """Return the stored form of an event, a JSON object without ids that are ``None``."""
    items: dict[str, Any] = {"version": EVENT_VERSION}
    for name in _FIELD_NAMES:
        value = getattr(event, name)
        if value is not None:
            items[name] = value
    return items


def event_from_items(items: object) -> Result[Event, StoredValueError]:
    """Return the event of a stored form after validation. Never raises on bad input."""
    if not isinstance(items, dict):
        return Err(_error("it is not an object"))
    values = dict(items)
    version = values.pop("version", None)
    if type(version) is not int or version != EVENT_VERSION:
        return Err(_error(f"version {str(version)[:20]} is not supported"))
    unknown = [key for key in values if key not in _FIELD_NAME_SET]
    if unknown:
        return Err(_error(f"field {str(unknown[0])[:40]} is unknown"))
    try:
        event = _EVENT_ADAPTER.validate_python(values)
    except ValidationError as error:
        return Err(_error(f"{error.error_count()} invalid fields"))
    if not all(map(math.isfinite, (event.monotonic_ms, event.wall_ms, event.order_ms))):
        return Err(_error("a time is not finite"))
    return Ok(event)


def _error(cause: str) -> StoredValueError:
    return StoredValueError(
        "The event is malformed",
        context={"cause": cause},
        hint="Read it with the release that wrote it",
    )

"""Ticket files: YAML text to tickets, and back.

Every fault names line, path and remedy. A JSON document is valid YAML, so the same parser reads
both.
"""

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglb_formats import quantities, ticket_nodes
from nutmeglb_formats.exceptions import TicketInvalid
from nutmeglb_formats.models.config import (
    JobDefinition,
    JobKind,
    PlacementPolicy,
    Policy,
    RequestClass,
    Service,
    Team,
)
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import TICKET_FORMAT, TICKET_LIMIT_BYTES, Ticket
from nutmeglb_formats.names import NAME_HINT, is_name
from nutmeglb_formats.ticket_nodes import Cursor, Faults
from nutmeglb_formats.yaml_nodes import compose

MAX_TICKET_NUMBER = 9_999_999_999
MAX_COUNT = 1_000_000
MAX_CPU_MILLIS = 100_000_000
MAX_MEMORY_BYTES = 1024**5
MAX_DURATION_MS = 30 * 24 * 3_600_000
WEIGHT_TOLERANCE = 1e-9

_CLASSES = {item.value: item for item in RequestClass}
_JOB_KINDS = {item.value: item for item in (JobKind.BATCH, JobKind.GANG)}
_ALL_KINDS = {item.value: item for item in JobKind}
_PLACEMENTS = {item.value: item for item in PlacementPolicy}

_cpu = ticket_nodes.quantity(
    quantities.parse_cpu, 0, MAX_CPU_MILLIS, f"at most {MAX_CPU_MILLIS // 1000} cores"
)
_memory = ticket_nodes.quantity(
    quantities.parse_memory, 0, MAX_MEMORY_BYTES, f"at most {MAX_MEMORY_BYTES // 1024**4} TiB"
)
_whole_ms = ticket_nodes.quantity(
    quantities.parse_duration, 1, MAX_DURATION_MS, "a duration from 1 ms to 720 h"
)
_count = ticket_nodes.whole(0, MAX_COUNT)
_positive = ticket_nodes.whole(1, MAX_COUNT)


@dataclass(frozen=True, slots=True)
class _Key:
    """How one key of an object is read. ``attribute`` is the field of the model."""

    read: Callable[[Cursor], Any]
    attribute: str
    required: bool = False


def _duration(cursor: Cursor) -> float | None:
    """Return milliseconds as the models have them.

    A float, because the stored form tells 5000 from 5000.0, and a ticket that is filed twice is
    recognized by its stored form.
    """
    value = _whole_ms(cursor)
    return None if value is None else float(value)


def _resources(cursor: Cursor) -> Resources | None:
    values = _read_keys(cursor, _RESOURCES)
    return None if values is None else Resources(**values)


def _placement(cursor: Cursor) -> dict[JobKind, PlacementPolicy] | None:
    read = ticket_nodes.choice(_PLACEMENTS)
    found = {_ALL_KINDS[key]: read(item) for key, item in cursor.known_items(_ALL_KINDS).items()}
    return {kind: policy for kind, policy in found.items() if policy is not None}


def _weights(cursor: Cursor) -> dict[str, float] | None:
    found = {key: ticket_nodes.fraction(item) for key, item in cursor.items().items()}
    weights = {domain: weight for domain, weight in found.items() if weight is not None}
    if sum(weights.values()) > 1 + WEIGHT_TOLERANCE:
        cursor.fault("The weights sum to more than 1", "Lower them: their sum is at most 1")
        return None
    return weights


_RESOURCES = {
    "cpu": _Key(_cpu, "cpu_millis"),
    "memory": _Key(_memory, "memory_bytes"),
    "accelerators": _Key(_count, "accelerators"),
}
_SERVICE = {
    "team": _Key(ticket_nodes.name, "team", required=True),
    "slots": _Key(_positive, "slots"),
    "connections": _Key(_positive, "connections"),
    "max_run": _Key(_duration, "max_run_ms"),
    "queue_limit": _Key(_positive, "queue_limit"),
    "default_class": _Key(ticket_nodes.choice(_CLASSES), "default_class"),
    "default_timeout": _Key(_duration, "default_timeout_ms"),
    "idempotent": _Key(ticket_nodes.flag, "idempotent"),
    "replicas": _Key(_count, "replicas"),
    "resources": _Key(_resources, "resources"),
}
_JOB = {
    "team": _Key(ticket_nodes.name, "team", required=True),
    "domain": _Key(ticket_nodes.name, "domain", required=True),
    "kind": _Key(ticket_nodes.choice(_JOB_KINDS), "kind", required=True),
    "tasks": _Key(_positive, "tasks", required=True),
    "resources": _Key(_resources, "resources", required=True),
    "class": _Key(ticket_nodes.choice(_CLASSES), "job_class"),
    "run": _Key(_duration, "run_ms"),
    "preemptible": _Key(ticket_nodes.flag, "preemptible"),
    "command": _Key(ticket_nodes.text, "command"),
}
_TEAM = {"quota": _Key(_resources, "quota", required=True)}
_POLICY = {
    "placement": _Key(_placement, "placement"),
    "domain_weights": _Key(_weights, "domain_weights"),
    "preemptions_per_minute": _Key(_count, "preemptions_per_minute"),
    "gang_hold": _Key(_duration, "gang_hold_ms"),
    "reclaim": _Key(ticket_nodes.flag, "reclaim"),
}
_SECTIONS: Mapping[str, tuple[type[Any], Mapping[str, _Key]]] = {
    "services": (Service, _SERVICE),
    "jobs": (JobDefinition, _JOB),
    "teams": (Team, _TEAM),
    "policies": (Policy, _POLICY),
}
SECTION_NAMES = tuple(_SECTIONS)
_HEADER = ("format", "id", "base", "author", "summary")


Parsed = Result[Ticket, tuple[TicketInvalid, ...]]


def parse_ticket(text: str, *, file: str = "ticket") -> Parsed:
    """Return the ticket, or every fault that was found. Never raises on bad input."""
    steps = parse_steps(text, file=file)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            parsed: Parsed = end.value
            return parsed


def parse_steps(text: str, *, file: str = "ticket") -> Generator[None, None, Parsed]:
    """Parse as ``parse_ticket`` does, yielding after every step of about a millisecond."""
    faults = Faults(file)
    if len(text.encode(errors="replace")) > TICKET_LIMIT_BYTES:
        hint = f"Split it; the limit is {TICKET_LIMIT_BYTES} bytes"
        faults.add("The ticket is too large", hint, line=1, path="")
        return Err(faults.errors())
    composed = yield from compose(text)
    if isinstance(composed, Err):
        fault = composed.err_value
        faults.add(fault.message, fault.hint, line=fault.line, path="")
        return Err(faults.errors())
    ticket = yield from _ticket(Cursor(composed.ok_value, "", faults))
    errors = faults.errors()
    if ticket is None or errors:
        return Err(errors)
    return Ok(ticket)


def _ticket(root: Cursor) -> Generator[None, None, Ticket | None]:
    items = root.known_items((*_HEADER, "set", "remove"))
    header = _header(root, items)
    objects = yield from _set_objects(items.get("set"))
    removed = _removed_objects(items.get("remove"))
    _check_contents(root, objects, removed)
    if root.faults.errors() or header is None:
        return None
    values: dict[str, Any] = {section: tuple(found) for section, found in objects.items()}
    return Ticket(**header, **values, removed=tuple(removed))


def _header(root: Cursor, items: Mapping[str, Cursor]) -> dict[str, Any] | None:
    for key in _HEADER:
        if key not in items:
            root.fault(f"The key {key!r} is missing", f"Add '{key}: {_EXAMPLES[key]}'")
    if any(key not in items for key in _HEADER):
        return None
    version = items["format"].text()
    if version is not None and version != str(TICKET_FORMAT):
        items["format"].fault("The format is not supported", f"Write 'format: {TICKET_FORMAT}'")
    return {
        "ticket_id": ticket_nodes.name(items["id"]),
        "base": ticket_nodes.whole(0, MAX_TICKET_NUMBER)(items["base"]),
        "author": _filled(items["author"]),
        "summary": _filled(items["summary"]),
    }


_EXAMPLES = {
    "format": "1",
    "id": "2026-12-04-raise-quota",
    "base": "0",
    "author": "your name",
    "summary": "what the ticket changes and why",
}


def _filled(cursor: Cursor) -> str | None:
    value = cursor.text()
    if value is not None and not value.strip():
        cursor.fault("The text is empty", "Write one sentence")
    return value


def _set_objects(cursor: Cursor | None) -> Generator[None, None, dict[str, list[Any]]]:
    objects: dict[str, list[Any]] = {section: [] for section in _SECTIONS}
    sections = cursor.known_items(_SECTIONS) if cursor is not None else {}
    for section, items in sections.items():
        model, keys = _SECTIONS[section]
        for name, item in items.each_item():
            yield
            found = _object(item, name, model, keys)
            if found is not None:
                objects[section].append(found)
    return objects


def _object(cursor: Cursor, name: str, model: type[Any], keys: Mapping[str, _Key]) -> Any | None:
    if not is_name(name):
        cursor.fault("The name is not valid", NAME_HINT)
        return None
    values = _read_keys(cursor, keys)
    return None if values is None else model(name=name, **values)


def _read_keys(cursor: Cursor, keys: Mapping[str, _Key]) -> dict[str, Any] | None:
    items = cursor.known_items(keys)
    complete = True
    for key, reader in keys.items():
        if reader.required and key not in items:
            cursor.fault(f"The key {key!r} is missing", f"Add '{key}: ...' to this object")
            complete = False
    values = {keys[key].attribute: keys[key].read(item) for key, item in items.items()}
    if not complete or any(value is None for value in values.values()):
        return None
    return values


def _removed_objects(cursor: Cursor | None) -> list[str]:
    removed: dict[str, None] = {}
    sections = cursor.known_items(_SECTIONS) if cursor is not None else {}
    for section, items in sections.items():
        for item in items.elements():
            name = ticket_nodes.name(item)
            entry = f"{section}/{name}"
            if name is not None and entry in removed:
                item.fault("The object is removed twice", "Remove one of the two entries")
            if name is not None:
                removed[entry] = None
    return list(removed)


def _check_contents(root: Cursor, objects: dict[str, list[Any]], removed: list[str]) -> None:
    present = {f"{section}/{item.name}" for section, found in objects.items() for item in found}
    for entry in removed:
        if entry in present:
            hint = "Keep it in only one of 'set' and 'remove'"
            root.fault(f"The object {entry} is both set and removed", hint)
    if not present and not removed and not root.faults.errors():
        root.fault("The ticket changes nothing", "Add objects under 'set' or 'remove'")

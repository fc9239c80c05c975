"""Parses ticket files, which are YAML, into tickets.

Every fault names the line, the path and a remedy. A JSON document is valid YAML, so the same parser
reads both. ``ticket_text`` writes ticket files.
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
from nutmeglb_formats.ticket_nodes import Cursor, FaultCollector
from nutmeglb_formats.yaml_nodes import compose

MAX_TICKET_NUMBER = 9_999_999_999
MAX_COUNT = 1_000_000
MAX_CPU_MILLIS = 100_000_000
MAX_MEMORY_BYTES = 1024**5
MAX_DURATION_MS = 30 * 24 * 3_600_000
WEIGHT_TOLERANCE = 1e-9

_REQUEST_CLASSES = {item.value: item for item in RequestClass}
_JOB_KINDS = {item.value: item for item in (JobKind.BATCH, JobKind.GANG)}
_ALL_JOB_KINDS = {item.value: item for item in JobKind}
_PLACEMENTS = {item.value: item for item in PlacementPolicy}

_cpu = ticket_nodes.quantity(
    quantities.parse_cpu, 0, MAX_CPU_MILLIS, f"at most {MAX_CPU_MILLIS // 1000} cores"
)
_memory = ticket_nodes.quantity(
    quantities.parse_memory, 0, MAX_MEMORY_BYTES, f"at most {MAX_MEMORY_BYTES // 1024**4} TiB"
)
_integer_ms = ticket_nodes.quantity(
    quantities.parse_duration, 1, MAX_DURATION_MS, "a duration from 1 ms to 720 h"
)
_count = ticket_nodes.integer(0, MAX_COUNT)
_positive_count = ticket_nodes.integer(1, MAX_COUNT)


@dataclass(frozen=True, slots=True)
class _KeySpec:
    """Reader of one key of an object, and the field of the model that receives the value."""

    read: Callable[[Cursor], Any]
    attribute: str
    required: bool = False


def _duration(cursor: Cursor) -> float | None:
    """Return a duration in milliseconds, as a float like the fields of the models.

    The stored form distinguishes 5000 from 5000.0, and a ticket that is filed twice is recognized
    by the digest of its stored form.
    """
    value = _integer_ms(cursor)
    return None if value is None else float(value)


def _resources(cursor: Cursor) -> Resources | None:
    values = _read_keys(cursor, _RESOURCES_KEYS)
    return None if values is None else Resources(**values)


def _placement(cursor: Cursor) -> dict[JobKind, PlacementPolicy] | None:
    read = ticket_nodes.choice(_PLACEMENTS)
    policy_by_kind = {
        _ALL_JOB_KINDS[key]: read(item) for key, item in cursor.known_items(_ALL_JOB_KINDS).items()
    }
    return {kind: policy for kind, policy in policy_by_kind.items() if policy is not None}


def _weights(cursor: Cursor) -> dict[str, float] | None:
    fraction_by_domain = {key: ticket_nodes.fraction(item) for key, item in cursor.items().items()}
    weights = {
        domain: weight for domain, weight in fraction_by_domain.items() if weight is not None
    }
    if sum(weights.values()) > 1 + WEIGHT_TOLERANCE:
        cursor.fault("The weights sum to more than 1", "Lower them: their sum is at most 1")
        return None
    return weights


_RESOURCES_KEYS = {
    "cpu": _KeySpec(_cpu, "cpu_millis"),
    "memory": _KeySpec(_memory, "memory_bytes"),
    "accelerators": _KeySpec(_count, "accelerators"),
}
_SERVICE_KEYS = {
    "team": _KeySpec(ticket_nodes.name, "team", required=True),
    "slots": _KeySpec(_positive_count, "slots"),
    "connections": _KeySpec(_positive_count, "connections"),
    "max_run": _KeySpec(_duration, "max_run_ms"),
    "queue_limit": _KeySpec(_positive_count, "queue_limit"),
    "default_class": _KeySpec(ticket_nodes.choice(_REQUEST_CLASSES), "default_class"),
    "default_timeout": _KeySpec(_duration, "default_timeout_ms"),
    "idempotent": _KeySpec(ticket_nodes.boolean, "idempotent"),
    "replicas": _KeySpec(_count, "replicas"),
    "resources": _KeySpec(_resources, "resources"),
}
_JOB_KEYS = {
    "team": _KeySpec(ticket_nodes.name, "team", required=True),
    "domain": _KeySpec(ticket_nodes.name, "domain", required=True),
    "kind": _KeySpec(ticket_nodes.choice(_JOB_KINDS), "kind", required=True),
    "tasks": _KeySpec(_positive_count, "tasks", required=True),
    "resources": _KeySpec(_resources, "resources", required=True),
    "class": _KeySpec(ticket_nodes.choice(_REQUEST_CLASSES), "job_class"),
    "run": _KeySpec(_duration, "run_ms"),
    "preemptible": _KeySpec(ticket_nodes.boolean, "preemptible"),
    "command": _KeySpec(ticket_nodes.text, "command"),
}
_TEAM_KEYS = {"quota": _KeySpec(_resources, "quota", required=True)}
_POLICY_KEYS = {
    "placement": _KeySpec(_placement, "placement"),
    "domain_weights": _KeySpec(_weights, "domain_weights"),
    "preemptions_per_minute": _KeySpec(_count, "preemptions_per_minute"),
    "gang_hold": _KeySpec(_duration, "gang_hold_ms"),
    "reclaim": _KeySpec(ticket_nodes.boolean, "reclaim"),
}
_SECTIONS: Mapping[str, tuple[type[Any], Mapping[str, _KeySpec]]] = {
    "services": (Service, _SERVICE_KEYS),
    "jobs": (JobDefinition, _JOB_KEYS),
    "teams": (Team, _TEAM_KEYS),
    "policies": (Policy, _POLICY_KEYS),
}
SECTION_NAMES = tuple(_SECTIONS)
_HEADER_KEYS = ("format", "id", "base", "author", "summary")


ParseResult = Result[Ticket, tuple[TicketInvalid, ...]]


def parse_ticket(text: str, *, file: str = "ticket") -> ParseResult:
    """Return the ticket, or one error per fault. Never raises on bad input."""
    steps = parse_ticket_incrementally(text, file=file)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            parsed: ParseResult = end.value
            return parsed


def parse_ticket_incrementally(
    text: str, *, file: str = "ticket"
) -> Generator[None, None, ParseResult]:
    """Parse like ``parse_ticket``, but yield after every step of about a millisecond.

    The caller can run the event loop between steps.
    """
    faults = FaultCollector(file)
    if len(text.encode(errors="replace")) > TICKET_LIMIT_BYTES:
        hint = f"Split it; the limit is {TICKET_LIMIT_BYTES} bytes"
        faults.add("The ticket is too large", hint, line=1, path="")
        return Err(faults.errors())
    composed = yield from compose(text)
    if isinstance(composed, Err):
        fault = composed.err_value
        faults.add(fault.message, fault.hint, line=fault.line, path="")
        return Err(faults.errors())
    ticket = yield from _parse_document(Cursor(composed.ok_value, "", faults))
    errors = faults.errors()
    if ticket is None or errors:
        return Err(errors)
    return Ok(ticket)


def _parse_document(root: Cursor) -> Generator[None, None, Ticket | None]:
    items = root.known_items((*_HEADER_KEYS, "set", "remove"))
    header = _parse_header(root, items)
    objects = yield from _parse_set(items.get("set"))
    removed = _parse_removed(items.get("remove"))
    _check_contents(root, objects, removed)
    if root.faults.errors() or header is None:
        return None
    values: dict[str, Any] = {section: tuple(parsed) for section, parsed in objects.items()}
    return Ticket(**header, **values, removed=tuple(removed))


def _parse_header(root: Cursor, items: Mapping[str, Cursor]) -> dict[str, Any] | None:
    for key in _HEADER_KEYS:
        if key not in items:
            root.fault(f"The key {key!r} is missing", f"Add '{key}: {_HEADER_EXAMPLES[key]}'")
    if any(key not in items for key in _HEADER_KEYS):
        return None
    version = items["format"].text()
    if version is not None and version != str(TICKET_FORMAT):
        items["format"].fault("The format is not supported", f"Write 'format: {TICKET_FORMAT}'")
    return {
        "ticket_id": ticket_nodes.name(items["id"]),
        "base": ticket_nodes.integer(0, MAX_TICKET_NUMBER)(items["base"]),
        "author": _non_empty_text(items["author"]),
        "summary": _non_empty_text(items["summary"]),
    }


_HEADER_EXAMPLES = {
    "format": "1",
    "id": "2026-12-04-raise-quota",
    "base": "0",
    "author": "your name",
    "summary": "what the ticket changes and why",
}


def _non_empty_text(cursor: Cursor) -> str | None:
    value = cursor.text()
    if value is not None and not value.strip():
        cursor.fault("The text is empty", "Write one sentence")
    return value


def _parse_set(cursor: Cursor | None) -> Generator[None, None, dict[str, list[Any]]]:
    objects: dict[str, list[Any]] = {section: [] for section in _SECTIONS}
    sections = cursor.known_items(_SECTIONS) if cursor is not None else {}
    for section, items in sections.items():
        model, keys = _SECTIONS[section]
        for name, item in items.iter_items():
            yield
            parsed_object = _parse_object(item, name, model, keys)
            if parsed_object is not None:
                objects[section].append(parsed_object)
    return objects


def _parse_object(
    cursor: Cursor, name: str, model: type[Any], keys: Mapping[str, _KeySpec]
) -> Any | None:
    if not is_name(name):
        cursor.fault("The name is not valid", NAME_HINT)
        return None
    values = _read_keys(cursor, keys)
    return None if values is None else model(name=name, **values)


def _read_keys(cursor: Cursor, keys: Mapping[str, _KeySpec]) -> dict[str, Any] | None:
    items = cursor.known_items(keys)
    complete = True
    for key, key_spec in keys.items():
        if key_spec.required and key not in items:
            cursor.fault(f"The key {key!r} is missing", f"Add '{key}: ...' to this object")
            complete = False
    values = {keys[key].attribute: keys[key].read(item) for key, item in items.items()}
    if not complete or any(value is None for value in values.values()):
        return None
    return values


def _parse_removed(cursor: Cursor | None) -> list[str]:
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
    present = {f"{section}/{item.name}" for section, parsed in objects.items() for item in parsed}
    for entry in removed:
        if entry in present:
            hint = "Keep it in only one of 'set' and 'remove'"
            root.fault(f"The object {entry} is both set and removed", hint)
    if not present and not removed and not root.faults.errors():
        root.fault("The ticket changes nothing", "Add objects under 'set' or 'remove'")

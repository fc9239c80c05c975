"""Stored form of tickets and of the snapshot of the ticket log.

Both are CBOR arrays that start with a format version. Peers send them to each other in this form.
"""

import hashlib
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError
from nutmeglb_formats.models.config import Config, JobDefinition, Policy, Service, Team
from nutmeglb_formats.models.ticket import Ticket

STORED_VERSION = 1
SNAPSHOT_LIMIT_BYTES = 1_000_000
TICKET_PREFIX = "tickets/"
TICKET_NUMBER_DIGITS = 10
SNAPSHOT_KEY = "snapshots/tickets"
# Transactions that file a ticket compare this small value instead of the whole snapshot.
FENCE_KEY = "snapshots/tickets-fence"
DIGEST_BYTES = 8

TICKET_RECORDS = TypeRegistry()
_CHANGED_BY_ADAPTER = TypeAdapter(dict[str, int])
_RECENT_ADAPTER = TypeAdapter(dict[str, tuple[int, str]])


@TICKET_RECORDS.register(1, 1)
@dataclass(frozen=True, slots=True)
class NumberedTicket:
    """A ticket at its position in the log."""

    number: int
    ticket: Ticket


# Type codes of the objects in a snapshot.
TICKET_RECORDS.register(10, 1)(Service)
TICKET_RECORDS.register(11, 1)(JobDefinition)
TICKET_RECORDS.register(12, 1)(Team)
TICKET_RECORDS.register(13, 1)(Policy)
SECTION_BY_TYPE: Mapping[type[Any], str] = {
    Service: "services",
    JobDefinition: "jobs",
    Team: "teams",
    Policy: "policies",
}


@dataclass(frozen=True, slots=True)
class TicketLogSnapshot:
    """The configuration after a ticket, with the ids of recent tickets.

    Attributes
    ----------
    recent
        Maps the id of each recent ticket to its number and the digest of its content.
    """

    config: Config
    recent: Mapping[str, tuple[int, str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LogFence:
    """State of the ticket log in the store, which changes when the log is shortened.

    Attributes
    ----------
    snapshot
        Number of the last ticket that the stored snapshot covers; 0 without a snapshot.
    oldest
        Number of the oldest ticket that has not been deleted.
    """

    snapshot: int
    oldest: int


def ticket_key(number: int) -> str:
    """Return the store key of a ticket number."""
    return f"{TICKET_PREFIX}{number:0{TICKET_NUMBER_DIGITS}}"


def ticket_digest(ticket: Ticket) -> str:
    """Return a digest of the content, to compare two tickets that were filed with one id."""
    content = cbor2.dumps(TICKET_RECORDS.to_items(NumberedTicket(0, ticket)), canonical=True)
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def encode_ticket(value: NumberedTicket) -> bytes:
    """Return the stored form of a ticket."""
    return cbor2.dumps([STORED_VERSION, TICKET_RECORDS.to_items(value)])


def decode_ticket(data: bytes) -> Result[NumberedTicket, StoredValueError]:
    """Decode a stored ticket. Never raises on bad input."""
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The stored ticket is not valid CBOR", loaded.err_value))
    match loaded.ok_value:
        case [version, items] if version == STORED_VERSION:
            value: Result[Any, str] = TICKET_RECORDS.from_items(items)
        case _:
            return Err(
                _error("The stored ticket has an unsupported version", "unexpected array items")
            )
    if isinstance(value, Err):
        return Err(_error("The stored ticket is invalid", value.err_value))
    if not isinstance(value.ok_value, NumberedTicket):
        return Err(_error("The stored value is not a ticket", type(value.ok_value).__name__))
    return Ok(value.ok_value)


def snapshot_objects(config: Config) -> Iterator[tuple[str, Any]]:
    """Yield ``"<section>/<object name>"`` and the object, for every object of a configuration."""
    for section in SECTION_BY_TYPE.values():
        for name, item in getattr(config, section).items():
            yield f"{section}/{name}", item


def encode_object(item: Any) -> bytes:
    """Return the encoded form of one object of a snapshot."""
    return cbor2.dumps(TICKET_RECORDS.to_items(item))


def join_snapshot(snapshot: TicketLogSnapshot, objects: Sequence[bytes]) -> bytes:
    """Return the stored form of a snapshot from its objects in encoded form."""
    recent = {ticket_id: list(known) for ticket_id, known in snapshot.recent.items()}
    config = snapshot.config
    changed_by = dict(config.changed_by)
    return cbor2.dumps([STORED_VERSION, config.number, list(objects), changed_by, recent])


def decode_snapshot(data: bytes) -> Result[TicketLogSnapshot, StoredValueError]:
    """Decode a snapshot. Never raises on bad input."""
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The snapshot is not valid CBOR", loaded.err_value))
    match loaded.ok_value:
        case [int(version), *_] if version != STORED_VERSION:
            return Err(_error("The snapshot has an unsupported version", str(version)))
        case [_, int(number), list(objects), dict(changed_by), dict(recent)]:
            return _build_snapshot(number, objects, changed_by, recent)
    return Err(_error("The snapshot is malformed", "unexpected array items"))


def _build_snapshot(
    number: int, objects: list[Any], changed_by: dict[Any, Any], recent: dict[Any, Any]
) -> Result[TicketLogSnapshot, StoredValueError]:
    sections: dict[str, dict[str, Any]] = {section: {} for section in SECTION_BY_TYPE.values()}
    for data in objects:
        loaded = load_cbor(data) if isinstance(data, bytes) else Err("not a byte string")
        item = TICKET_RECORDS.from_items(loaded.ok_value) if isinstance(loaded, Ok) else loaded
        if isinstance(item, Err):
            return Err(_error("An object of the snapshot is invalid", item.err_value))
        if type(item.ok_value) not in SECTION_BY_TYPE:
            return Err(_error("An object of the snapshot has another type", "unexpected type code"))
        sections[SECTION_BY_TYPE[type(item.ok_value)]][item.ok_value.name] = item.ok_value
    try:
        numbers = _CHANGED_BY_ADAPTER.validate_python(changed_by)
        ids = _RECENT_ADAPTER.validate_python(recent)
    except ValidationError as error:
        return Err(
            _error("The snapshot's indexes are invalid", f"{error.error_count()} invalid entries")
        )
    return Ok(TicketLogSnapshot(Config(number=number, changed_by=numbers, **sections), ids))


def encode_fence(fence: LogFence) -> bytes:
    """Return the stored form. Equal fences have equal bytes, so transactions can compare them."""
    value = {"oldest": fence.oldest, "snapshot": fence.snapshot, "version": STORED_VERSION}
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def decode_fence(data: bytes | None) -> Result[LogFence, StoredValueError]:
    """Decode a fence. An absent one stands for a log that was never shortened."""
    if data is None:
        return Ok(LogFence(0, 1))
    try:
        value = json.loads(data)
    except ValueError as error:
        return Err(_error("The fence of the ticket log is not JSON", str(error)))
    match value:
        case {"version": 1, "snapshot": int(snapshot), "oldest": int(oldest)}:
            return Ok(LogFence(snapshot, oldest))
    return Err(_error("The fence of the ticket log cannot be read", "unexpected fields"))


def _error(text: str, cause: str) -> StoredValueError:
    return StoredValueError(
        text, context={"cause": cause}, hint="Run a release of nutmeglb that can read this value"
    )

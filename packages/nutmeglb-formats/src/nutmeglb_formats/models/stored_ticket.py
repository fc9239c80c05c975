"""Stored form of tickets and of the snapshot of the ticket log.

Both are CBOR arrays that start with a format version. Peers relay them in the same form.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.ticket import Ticket

STORED_VERSION = 1
SNAPSHOT_LIMIT_BYTES = 1_000_000
TICKET_PREFIX = "tickets/"
TICKET_NUMBER_DIGITS = 10
SNAPSHOT_KEY = "snapshots/tickets"
# Small companion of the snapshot that proposals compare, instead of the whole snapshot.
FENCE_KEY = "snapshots/tickets-fence"
DIGEST_BYTES = 8

ValueT = TypeVar("ValueT")

STORED = TypeRegistry()


@STORED.register(1, 1)
@dataclass(frozen=True, slots=True)
class NumberedTicket:
    """A ticket at its position in the log."""

    number: int
    ticket: Ticket


@STORED.register(2, 1)
@dataclass(frozen=True, slots=True)
class TicketLogSnapshot:
    """The configuration after a ticket.

    Attributes
    ----------
    recent
        Ids of the latest tickets with their number and the digest of their content.
    """

    config: Config
    recent: Mapping[str, tuple[int, str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LogFence:
    """State of the log in the store: number of the snapshot, and oldest ticket still kept."""

    snapshot: int
    oldest: int


def ticket_key(number: int) -> str:
    """Return the store key of a ticket number."""
    return f"{TICKET_PREFIX}{number:0{TICKET_NUMBER_DIGITS}}"


def digest_of(ticket: Ticket) -> str:
    """Return a digest that tells whether two tickets of one id have the same content."""
    content = cbor2.dumps(STORED.to_items(NumberedTicket(0, ticket)), canonical=True)
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def encode_stored(value: NumberedTicket | TicketLogSnapshot) -> bytes:
    """Return the stored form."""
    return cbor2.dumps([STORED_VERSION, STORED.to_items(value)])


def decode_ticket(data: bytes) -> Result[NumberedTicket, StoredValueError]:
    """Read a stored ticket. Never raises on bad input."""
    return _decode(data, NumberedTicket)


def decode_snapshot(data: bytes) -> Result[TicketLogSnapshot, StoredValueError]:
    """Read a snapshot. Never raises on bad input."""
    return _decode(data, TicketLogSnapshot)


def encode_fence(fence: LogFence) -> bytes:
    """Return the stored form; equal fences have equal bytes."""
    value = {"oldest": fence.oldest, "snapshot": fence.snapshot, "version": STORED_VERSION}
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def decode_fence(data: bytes | None) -> Result[LogFence, StoredValueError]:
    """Read a fence. An absent one stands for a log that was never shortened."""
    if data is None:
        return Ok(LogFence(0, 1))
    try:
        value = json.loads(data)
    except ValueError as error:
        return Err(_error("The fence of the ticket log is not JSON", str(error)))
    match value:
        case {"version": 1, "snapshot": int(snapshot), "oldest": int(oldest)}:
            return Ok(LogFence(snapshot, oldest))
    return Err(_error("The fence of the ticket log cannot be read", "wrong fields"))


def _decode(data: bytes, kind: type[ValueT]) -> Result[ValueT, StoredValueError]:
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The stored value is not valid CBOR", loaded.err_value))
    match loaded.ok_value:
        case [version, items] if version == STORED_VERSION:
            value: Result[Any, str] = STORED.from_items(items)
        case _:
            return Err(_error("The stored value has an unsupported version", "wrong items"))
    if isinstance(value, Err):
        return Err(_error("The stored value is invalid", value.err_value))
    if not isinstance(value.ok_value, kind):
        return Err(_error("The stored value has another type", type(value.ok_value).__name__))
    return Ok(value.ok_value)


def _error(text: str, cause: str) -> StoredValueError:
    return StoredValueError(
        text, context={"cause": cause}, hint="Start a release that can read this value"
    )

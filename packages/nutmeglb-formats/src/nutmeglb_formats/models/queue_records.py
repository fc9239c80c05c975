"""Stored records of queues, each with a version."""

from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError
from nutmeglb_formats.models.queues import QueueJob, StepProgress

QUEUE_RECORDS = TypeRegistry()
record = QUEUE_RECORDS.register

INCOMPATIBLE_RECORD_HINT = "Run a release of nutmeglb that knows this version, or remove the key"


@record(700, 1)
@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """Value of ``in/<job id>``."""

    job: QueueJob


@record(701, 1)
@dataclass(frozen=True, slots=True)
class WithdrawnJob:
    """Value of ``in/<job id>`` after a submission was refused that might still be written."""

    nonce: str


@record(702, 1)
@dataclass(frozen=True, slots=True)
class JobProgress:
    """Value of ``st/<job id>``.

    Attributes
    ----------
    final
        Final state; empty while the job is not finished.
    completed
        Numbers of the completed occurrences.
    """

    queue: str
    final: str
    finished_ms: float
    completed: list[int]
    steps: list[StepProgress]


@record(703, 1)
@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Value of the leader key."""

    instance_id: str
    incarnation: str
    address: str
    term: int
    secret: str


@record(704, 1)
@dataclass(frozen=True, slots=True)
class Counter:
    """Value of a key that orders writes: a number and the writer's random value."""

    number: int
    writer: str


@record(705, 1)
@dataclass(frozen=True, slots=True)
class Waits:
    """Value of the key of waits, written when a leader gives up.

    Attributes
    ----------
    term
        The term that ended. Only the next one may use the record.
    waited
        Rows of worker and time in milliseconds that leaders have waited for it.
    """

    term: int
    waited: list[tuple[str, float]]


def encode_queue_record(value: object) -> bytes:
    """Encode a record."""
    return cbor2.dumps(QUEUE_RECORDS.to_items(value))


def decode_queue_record(data: bytes, key: str) -> Result[Any, StoredValueError]:
    """Decode a record. Never raises on bad input."""
    items = load_cbor(data)
    if isinstance(items, Ok):
        items = QUEUE_RECORDS.from_items(items.ok_value)
    if isinstance(items, Err):
        context = {"key": key, "cause": items.err_value}
        return Err(
            StoredValueError(
                "A stored record is malformed", context=context, hint=INCOMPATIBLE_RECORD_HINT
            )
        )
    return items

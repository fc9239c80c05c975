"""Stored form of a failure domain's leader and epoch.

Both are JSON with a fixed key order, so that equal values have equal bytes and can be compared in
transactions.
"""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglb_formats.exceptions import StoredValueError

LEADER_VERSION = 1


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Value of the leader key of a failure domain.

    Attributes
    ----------
    instance
        Id of the leading instance.
    attempt
        Unique id of the write, by which the writer recognizes it after a lost answer.
    """

    instance: str
    epoch: int
    attempt: str


def leader_key(domain: str) -> str:
    """Return the store key of a failure domain's leader. The key is bound to the leader's lease."""
    return f"domains/{domain}/leader"


def epoch_key(domain: str) -> str:
    """Return the store key of a failure domain's highest epoch."""
    return f"domains/{domain}/epoch"


def encode_epoch(epoch: int) -> bytes | None:
    """Return the stored form of an epoch, or ``None`` for epoch 0, whose key is absent."""
    if epoch == 0:
        return None
    return _encode({"epoch": epoch, "version": LEADER_VERSION})


def decode_epoch(data: bytes) -> Result[int, StoredValueError]:
    """Decode a stored epoch. Never raises on bad input."""
    match _load(data):
        case {"version": 1, "epoch": int(epoch)} if epoch > 0:
            return Ok(epoch)
    return Err(_error("The stored epoch cannot be read"))


def encode_leader(record: LeaderRecord) -> bytes:
    """Return the stored form of a leader."""
    return _encode(
        {
            "attempt": record.attempt,
            "epoch": record.epoch,
            "instance": record.instance,
            "version": LEADER_VERSION,
        }
    )


def decode_leader(data: bytes) -> Result[LeaderRecord, StoredValueError]:
    """Decode a stored leader. Never raises on bad input."""
    match _load(data):
        case {
            "version": 1,
            "instance": str(instance),
            "epoch": int(epoch),
            "attempt": str(attempt),
        }:
            return Ok(LeaderRecord(instance, epoch, attempt))
    return Err(_error("The stored leader cannot be read"))


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _load(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _error(text: str) -> StoredValueError:
    return StoredValueError(text, hint="Run a release of nutmeglb that can read this value")

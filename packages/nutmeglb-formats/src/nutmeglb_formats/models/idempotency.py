"""Journal records of idempotency keys. Times are wall-clock milliseconds since the Unix epoch."""

from dataclasses import dataclass

from nutmeglb_formats.models.journal import record

STORED_BODY_LIMIT_BYTES = 64 * 1024
RETENTION_MS = 24 * 3_600_000.0


@record(code=300, version=1)
@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """A request holds the key and may be dispatched."""

    service: str
    key: str
    request_id: str
    fingerprint: str
    claimed_wall_ms: float
    run_limit_ms: float


@record(code=301, version=1)
@dataclass(frozen=True, slots=True)
class KeyCompleted:
    """The request was answered.

    Attributes
    ----------
    complete
        False when the body exceeds ``STORED_BODY_LIMIT_BYTES`` and was not stored. A repeated
        request is then told that the outcome is unknown.
    """

    service: str
    key: str
    request_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    complete: bool


@record(code=302, version=1)
@dataclass(frozen=True, slots=True)
class KeyReleased:
    """The request was not run, so the key may be claimed again."""

    service: str
    key: str
    request_id: str


@record(code=303, version=1)
@dataclass(frozen=True, slots=True)
class KeyUnknown:
    """The request may have run. The key is not run again."""

    service: str
    key: str
    request_id: str

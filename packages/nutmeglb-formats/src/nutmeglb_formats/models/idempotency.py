"""Journal records of idempotency keys. Record codes 300 to 399.

The owner of a key appends a record before it answers a claim. ``fingerprint`` is a digest of the
method, path and body of the request.
"""

from dataclasses import dataclass

from nutmeglb_formats.models.journal import record

STORED_BODY_LIMIT_BYTES = 64 * 1024
KEY_RETENTION_MS = 24 * 3_600_000.0


@record(code=300, version=1)
@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """A request has claimed the key and may be dispatched.

    Attributes
    ----------
    claimed_wall_ms
        Wall-clock time of the claim in milliseconds since the Unix epoch.
    run_limit_ms
        Time in milliseconds after the claim. If there is no result by then, the outcome is unknown.
    """

    service: str
    key: str
    request_id: str
    fingerprint: str
    claimed_wall_ms: float
    run_limit_ms: float


@record(code=301, version=1)
@dataclass(frozen=True, slots=True)
class KeyCompleted:
    """The request was answered. Repeated requests get the stored response.

    Attributes
    ----------
    complete
        False when the body exceeds ``STORED_BODY_LIMIT_BYTES`` and was not stored. A repeated
        request is then answered with the outcome unknown.
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
    """The request did not run, so the key may be claimed again."""

    service: str
    key: str
    request_id: str


@record(code=303, version=1)
@dataclass(frozen=True, slots=True)
class KeyUnknown:
    """The request may have run. Repeated requests do not run; their outcome is unknown, too."""

    service: str
    key: str
    request_id: str

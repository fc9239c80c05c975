"""Messages of the request path: slots, witness records, forwarding and idempotency keys.

Instances have no common clock. A duration in a message is therefore relative to a moment that both
sides can bound: the time since the request was sent, or since the message was received.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.wire.registry import message

HeaderList = tuple[tuple[str, str], ...]


class RefusalReason(StrEnum):
    """Why a request was not run."""

    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    SHED = "shed"
    NO_ENDPOINT = "no_endpoint"
    NO_LEADER = "no_leader"
    NOT_SETTLED = "not_settled"
    UNKNOWN_SERVICE = "unknown_service"
    SPILL = "spill"
    CONNECT_FAILED = "connect_failed"
    GRANT_EXPIRED = "grant_expired"
    ENDPOINT_LEAVING = "endpoint_leaving"
    BODY_TOO_LARGE = "body_too_large"
    KEY_UNAVAILABLE = "key_unavailable"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    DRAINING = "draining"
    FORWARD_FAILED = "forward_failed"


class ReleaseOutcome(StrEnum):
    """How a slot grant ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNUSED = "unused"
    ABANDONED = "abandoned"


class RequestOutcome(StrEnum):
    """Value of the ``X-Request-Outcome`` header."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ClaimState(StrEnum):
    """State of an idempotency key as its owner reports it."""

    CLAIMED = "claimed"
    IN_PROGRESS = "in_progress"
    STORED = "stored"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    REUSED = "reused"


@message(code=300, version=1)
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Asks the domain's leader for a slot.

    Attributes
    ----------
    timeout_ms
        Time left until the caller's deadline, in milliseconds.
    avoid
        Endpoints that already failed this request.
    forwarded
        Whether the request came from another domain, so that it is not forwarded again.
    """

    request_id: str
    service: str
    request_class: RequestClass
    caller: str
    timeout_ms: float
    idempotent: bool = False
    avoid: tuple[str, ...] = ()
    forwarded: bool = False


@message(code=301, version=1)
@dataclass(frozen=True, slots=True)
class SlotGrant:
    """Permits one dispatch to an endpoint.

    Attributes
    ----------
    waited_ms
        Time between the arrival of the request and the grant at the leader. The holder adds it to
        its own time of sending, which gives a start limit no later than the leader's.
    start_within_ms
        Time after the grant within which the dispatch must begin.
    max_run_ms
        Longest time that the exchange may take after the dispatch.
    """

    request_id: str
    grant_id: str
    service: str
    endpoint: str
    address: str
    waited_ms: float
    start_within_ms: float
    max_run_ms: float
    epoch: int


@message(code=302, version=1)
@dataclass(frozen=True, slots=True)
class SlotRefused:
    """Refuses a slot. ``spill_to`` names the domain to use instead, or is empty."""

    request_id: str
    reason: RefusalReason
    spill_to: str = ""


@message(code=303, version=1)
@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Ends a grant.

    Attributes
    ----------
    duration_ms
        Time from dispatch to the end of the exchange; 0 when it was not dispatched.
    hold_ms
        For an abandoned exchange: time from now during which the endpoint may still be working.
    """

    grant_id: str
    service: str
    outcome: ReleaseOutcome
    duration_ms: float = 0.0
    hold_ms: float = 0.0


@message(code=304, version=1)
@dataclass(frozen=True, slots=True)
class SlotCancel:
    """Withdraws a slot request whose caller has gone."""

    request_id: str
    service: str


@message(code=305, version=1)
@dataclass(frozen=True, slots=True)
class RoutingBatch:
    """Slot messages of one event-loop turn, each as ``[type code, version, fields]``."""

    items: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class WitnessedGrant:
    """A slot that the leader must not be the only one to know.

    Attributes
    ----------
    holder
        Instance that uses the slot: the leader itself, or one that is not connected any more.
        Empty for a slot that is held because nobody knows whether it is in use.
    hold_ms
        Time from the receipt of the record after which the slot is free.
    """

    grant_id: str
    service: str
    endpoint: str
    holder: str
    hold_ms: float


@message(code=306, version=1)
@dataclass(frozen=True, slots=True)
class WitnessRecord:
    """Adds grants of the sending leader to, and removes grants from, a witness's records."""

    epoch: int
    grants: tuple[WitnessedGrant, ...] = ()
    ended: tuple[str, ...] = ()


@message(code=307, version=1)
@dataclass(frozen=True, slots=True)
class WitnessAnswer:
    """Reply to ``WitnessRecord``. ``accepted`` is false when the epoch is outdated."""

    accepted: bool


@message(code=308, version=1)
@dataclass(frozen=True, slots=True)
class WitnessQuery:
    """Asks of which leaders an instance is the witness."""


@message(code=309, version=1)
@dataclass(frozen=True, slots=True)
class WitnessStatus:
    """Reply to ``WitnessQuery``."""

    leaders: tuple[str, ...]


@message(code=316, version=1)
@dataclass(frozen=True, slots=True)
class BrokerReady:
    """Tells the domain that the leader grants slots, so that waiting requests are sent again."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Load of a service in a domain.

    Attributes
    ----------
    slots, free_slots
        Usable and unused slots of all endpoints.
    queued
        Waiting requests.
    mean_ms
        Mean time of an exchange in milliseconds; 0 when unknown.
    """

    slots: int
    free_slots: int
    queued: int
    mean_ms: float


@message(code=310, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class DomainSummary:
    """Load of a domain, sent at most once a second."""

    domain: str
    epoch: int
    services: Mapping[str, ServiceSummary] = field(default_factory=dict)

    @property
    def latest_key(self) -> str:
        """Return the domain: a queued summary replaces only older ones of the same domain."""
        return self.domain


@message(code=311, version=1)
@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request that another domain runs. ``domain`` is the domain that runs it."""

    request_id: str
    domain: str
    service: str
    method: str
    path: str
    headers: HeaderList
    body: bytes
    request_class: RequestClass
    caller: str
    timeout_ms: float
    idempotent: bool


@message(code=312, version=1)
@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Result of a forwarded request. ``reason`` is set unless the outcome is ``answered``."""

    request_id: str
    outcome: RequestOutcome
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    reason: str = ""


@message(code=313, version=1)
@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Claims an idempotency key at its owner before the request is dispatched.

    Attributes
    ----------
    fingerprint
        Digest of method, path and body. The same key with another fingerprint is refused.
    run_limit_ms
        Time after which a claim without a result counts as outcome unknown.
    """

    service: str
    key: str
    request_id: str
    fingerprint: str
    run_limit_ms: float


@message(code=314, version=1)
@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Reply to ``KeyClaim`` and ``KeyResult``. The response is set in state ``stored``."""

    state: ClaimState
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""


@message(code=315, version=1)
@dataclass(frozen=True, slots=True)
class KeyResult:
    """Reports the outcome of a claimed request to the key's owner."""

    service: str
    key: str
    request_id: str
    outcome: RequestOutcome
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    complete: bool = True


@message(code=320, version=1)
@dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """Tells the domain that an endpoint announced its departure in a response header."""

    endpoint: str

"""Peer messages of request routing: slots, witness records, forwarding and idempotency keys.

Type codes 300 to 399. Instances have no common clock. A duration in a message is therefore relative
to a moment that both sides can bound: the time since the request was sent, or since the message was
received. All durations are in milliseconds.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.wire.registry import message

HeaderList = tuple[tuple[str, str], ...]


class RefusalReason(StrEnum):
    """Why a request did not run."""

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
    """How a slot grant ended.

    ``unused``: nothing was sent to the endpoint. ``abandoned``: the endpoint may still be working
    on the request.
    """

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
    """State of an idempotency key as its owner reports it.

    ``claimed``: the sender of the claim may dispatch its request. ``in_progress``: an earlier
    request with the key has no result yet. ``stored``: the response of an earlier request is
    attached. ``unknown``: an earlier request may have run. ``refused``: the claim was not recorded,
    or the receiver does not own the key. ``reused``: the key was claimed with another fingerprint.
    """

    CLAIMED = "claimed"
    IN_PROGRESS = "in_progress"
    STORED = "stored"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    REUSED = "reused"


@message(code=300, version=1)
@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Sent to the leader of the domain to request a slot for one dispatch of a caller's request.

    The leader answers with ``SlotGrant`` or ``SlotRefused``.

    Attributes
    ----------
    request_id
        Id of the slot request. Every attempt to run a caller's request has its own.
    caller
        Name of the caller that sent the request.
    timeout_ms
        Time until the caller's deadline.
    idempotent
        Whether the request may be retried after it reached an endpoint.
    avoid
        Endpoints on which this request has already failed.
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
    """Sent by the leader to the holder of a granted slot. Permits one dispatch to an endpoint.

    Attributes
    ----------
    endpoint, address
        Instance id of the endpoint and ``host:port`` of its listener.
    waited_ms
        Time between the arrival of the slot request at the leader and the grant. The holder adds
        it and ``start_within_ms`` to the time at which it sent the slot request, which gives a
        start deadline no later than the leader's.
    start_within_ms
        Time after the grant within which the dispatch must begin.
    max_run_ms
        Longest time that the exchange may take after the dispatch.
    epoch
        Epoch of the leader that granted the slot.
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
    """Sent by the leader when it refuses a slot.

    ``spill_to`` names the failure domain to which the request is to be forwarded instead, if any.
    """

    request_id: str
    reason: RefusalReason
    spill_to: str = ""


@message(code=303, version=1)
@dataclass(frozen=True, slots=True)
class SlotRelease:
    """Sent by the holder of a grant to the leader when the grant ends. The leader frees the slot.

    Attributes
    ----------
    duration_ms
        Time from the dispatch to the end of the exchange; 0 when nothing was dispatched.
    hold_ms
        For an abandoned exchange: time from receipt during which the endpoint may still be working
        and the leader keeps the slot occupied.
    """

    grant_id: str
    service: str
    outcome: ReleaseOutcome
    duration_ms: float = 0.0
    hold_ms: float = 0.0


@message(code=304, version=1)
@dataclass(frozen=True, slots=True)
class SlotCancel:
    """Sent to the leader to withdraw a slot request that is no longer needed."""

    request_id: str
    service: str


@message(code=305, version=1)
@dataclass(frozen=True, slots=True)
class RoutingBatch:
    """Slot messages of one event-loop iteration, each as ``[type code, version, fields]``."""

    items: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class WitnessedGrant:
    """A slot in use that no connected instance but the leader could report to the next leader.

    Attributes
    ----------
    holder
        Instance that uses the slot: the leader itself, or an instance that is no longer connected.
        Empty for a slot that is held because it is unknown whether it is in use.
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
    """Sent by a leader to its witness, the instance that keeps a copy of grants for it.

    The witness adds ``grants`` to its records and removes those with the ids ``ended``. It reports
    the records to the next leader. Replied to with ``WitnessAnswer``.
    """

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
    """Sent by a new leader to learn whose witness the receiver is. Reply: ``WitnessStatus``."""


@message(code=309, version=1)
@dataclass(frozen=True, slots=True)
class WitnessStatus:
    """Reply to ``WitnessQuery``: the leaders for which the sender keeps records."""

    leaders: tuple[str, ...]


@message(code=316, version=1)
@dataclass(frozen=True, slots=True)
class BrokerReady:
    """Sent by a leader that starts to grant slots.

    Receivers repeat their waiting slot requests and send the releases that they kept meanwhile.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Load of a service in a failure domain.

    Attributes
    ----------
    slots, free_slots
        Number of usable slots, and of unused ones among them, over all endpoints.
    queued
        Number of waiting requests.
    mean_ms
        Mean duration of an exchange in milliseconds; 0 when unknown.
    """

    slots: int
    free_slots: int
    queued: int
    mean_ms: float


@message(code=310, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class DomainSummary:
    """Load of a failure domain, sent by its leader to the other domains at most once a second.

    Receivers use it to choose a domain for spillover, and pass it on within their own domain.
    """

    domain: str
    epoch: int
    services: Mapping[str, ServiceSummary] = field(default_factory=dict)

    @property
    def latest_key(self) -> str:
        """Return the domain, so that a summary replaces only older ones of the same domain."""
        return self.domain


@message(code=311, version=1)
@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Sent to an instance of the failure domain ``domain``, which runs a caller's request.

    ``timeout_ms`` is the time until the caller's deadline. Replied to with ``ForwardResponse``.
    """

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
    """Reply to ``ForwardRequest``.

    Contains the HTTP response of the endpoint if the outcome is ``answered``, else the ``reason``.
    """

    request_id: str
    outcome: RequestOutcome
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    reason: str = ""


@message(code=313, version=1)
@dataclass(frozen=True, slots=True)
class KeyClaim:
    """Sent to the owner of an idempotency key to claim the key before a request is dispatched.

    Replied to with ``KeyAnswer``. The request is dispatched only in state ``claimed``.

    Attributes
    ----------
    fingerprint
        Digest of method, path and body. A claim of the key with another fingerprint is refused.
    run_limit_ms
        Time after which a claim without a result is treated as outcome unknown.
    """

    service: str
    key: str
    request_id: str
    fingerprint: str
    run_limit_ms: float


@message(code=314, version=1)
@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Reply to ``KeyClaim`` and ``KeyResult``. Contains the HTTP response in state ``stored``."""

    state: ClaimState
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""


@message(code=315, version=1)
@dataclass(frozen=True, slots=True)
class KeyResult:
    """Sent to the owner of a claimed idempotency key with the outcome of the request.

    ``complete`` is false if the body of the response is too large to store and therefore left out.
    Replied to with ``KeyAnswer``.
    """

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
    """Sent to all instances of the domain when an endpoint announces its departure in a response.

    Receivers stop dispatching new requests to the endpoint.
    """

    endpoint: str

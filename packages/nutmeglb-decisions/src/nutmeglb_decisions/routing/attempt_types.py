"""Events and effects of the state machine of one request."""

from dataclasses import dataclass
from enum import StrEnum

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.wire.routing import (
    HeaderList,
    RequestOutcome,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the attempt needs to know of a request.

    Attributes
    ----------
    deadline_ms
        Monotonic time of this instance at which the caller gives up.
    forwarded
        Whether the request came from another domain.
    keyed
        Whether an idempotency key is claimed before the dispatch.
    """

    request_id: str
    service: str
    request_class: RequestClass
    caller: str
    deadline_ms: float
    idempotent: bool
    forwarded: bool = False
    has_key: bool = False


class ExchangeEnd(StrEnum):
    """How an exchange with an endpoint ended.

    ``NOT_SENT``: certainly no byte of the request was sent. ``CLOSED``: the endpoint ended the
    exchange without a complete response. ``ABORTED``: this instance ended it.
    """

    RESPONSE = "response"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of an exchange.

    Attributes
    ----------
    request_id
        Request that the response belongs to, as recorded by the dispatcher.
    """

    exchange_id: str
    request_id: str
    end: ExchangeEnd
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Final answer to the caller. ``reason`` is empty when the outcome is ``answered``."""

    outcome: RequestOutcome
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Effect: claim the idempotency key at its owner."""


@dataclass(frozen=True, slots=True)
class RequestSlot:
    """Effect: ask the domain's leader for a slot."""

    message: SlotRequest


@dataclass(frozen=True, slots=True)
class CancelSlot:
    """Effect: withdraw the slot request."""

    slot_request_id: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Effect: send the request to the endpoint unless ``start_by_ms`` has passed."""

    exchange_id: str
    grant: SlotGrant
    start_by_ms: float


@dataclass(frozen=True, slots=True)
class AbortExchange:
    """Effect: close the connection of an exchange."""

    exchange_id: str


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Effect: end a grant."""

    message: SlotRelease


@dataclass(frozen=True, slots=True)
class Forward:
    """Effect: let another domain run the request."""

    domain: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Effect: answer the caller, and report the outcome of the key when one is claimed."""

    answer: Answer


RequestEffect = (
    ClaimKey | RequestSlot | CancelSlot | Dispatch | AbortExchange | ReleaseSlot | Forward | Finish
)
Effects = list[RequestEffect]

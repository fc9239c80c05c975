"""Inputs and effects of the request state machine."""

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
    """Properties of a request that its state machine needs.

    Attributes
    ----------
    deadline_ms
        Time at which the caller's timeout ends, on this instance's monotonic clock.
    forwarded
        Whether the request was forwarded by another domain.
    has_key
        Whether an idempotency key must be claimed before the dispatch.
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

    ``NOT_SENT``: it is certain that no byte of the request was sent. ``CLOSED``: the endpoint ended
    the exchange without a complete response. ``ABORTED``: this instance ended the exchange.
    """

    RESPONSE = "response"
    NOT_SENT = "not_sent"
    CLOSED = "closed"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of an exchange with an endpoint.

    Attributes
    ----------
    request_id
        Request to which the response belongs, as recorded by the dispatcher.
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
    """Final answer to the caller. ``reason`` is empty if the outcome is ``answered``."""

    outcome: RequestOutcome
    status: int = 0
    headers: HeaderList = ()
    body: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Effect: claim the idempotency key at its owner domain."""


@dataclass(frozen=True, slots=True)
class RequestSlot:
    """Effect: request a slot from the domain's leader."""

    message: SlotRequest


@dataclass(frozen=True, slots=True)
class CancelSlot:
    """Effect: withdraw a slot request."""

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
    """Effect: send the release of a grant to the domain's leader."""

    message: SlotRelease


@dataclass(frozen=True, slots=True)
class Forward:
    """Effect: forward the request to another domain."""

    domain: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Effect: answer the caller and report the outcome to the owner of a claimed key."""

    answer: Answer


RequestEffect = (
    ClaimKey | RequestSlot | CancelSlot | Dispatch | AbortExchange | ReleaseSlot | Forward | Finish
)
Effects = list[RequestEffect]

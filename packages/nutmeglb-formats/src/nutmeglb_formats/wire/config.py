"""Peer messages of the configuration, type codes 200 to 299."""

from dataclasses import dataclass

from nutmeglb_formats.wire.registry import message


@message(code=200, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class TicketAnnounce:
    """Number of the last ticket in force at the sender.

    Attributes
    ----------
    confirmed_age_ms
        Time in milliseconds since the store confirmed that there was no later ticket, directly or
        through other peers.
    """

    number: int
    confirmed_age_ms: float


@message(code=201, version=1)
@dataclass(frozen=True, slots=True)
class TicketsWanted:
    """Asks for the tickets after a number."""

    after: int


@message(code=202, version=1)
@dataclass(frozen=True, slots=True)
class TicketRelay:
    """Answer to ``TicketsWanted``, in stored form and in order.

    Attributes
    ----------
    snapshot
        Given when the sender no longer holds the wanted tickets; empty otherwise.
    """

    number: int
    tickets: tuple[bytes, ...] = ()
    snapshot: bytes = b""

"""Peer messages that distribute the configuration. Type codes 200 to 299.

Tickets and snapshots are in the stored form of ``nutmeglb_formats.models.stored_ticket``.
"""

from dataclasses import dataclass

from nutmeglb_formats.wire.registry import message


@message(code=200, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class TicketAnnounce:
    """Announces the last ticket in force at the sender. Sent periodically to all connected peers.

    A receiver with a lower number requests the missing tickets with ``TicketsWanted``.

    Attributes
    ----------
    number
        Number of the last ticket in force at the sender.
    confirmed_age_ms
        Time in milliseconds since the store confirmed that there was no later ticket, directly or
        through other peers.
    """

    number: int
    confirmed_age_ms: float


@message(code=201, version=1)
@dataclass(frozen=True, slots=True)
class TicketsWanted:
    """Requests all tickets with a number above ``after``. Replied to with ``TicketRelay``."""

    after: int


@message(code=202, version=1)
@dataclass(frozen=True, slots=True)
class TicketRelay:
    """Reply to ``TicketsWanted``.

    Attributes
    ----------
    number
        Number of the last ticket in force at the sender.
    tickets
        The requested tickets in stored form, in the order of their numbers. The receiver applies
        them in this order.
    snapshot
        Snapshot of the sender's ticket log in stored form, if the sender no longer holds all of
        the requested tickets; empty otherwise.
    """

    number: int
    tickets: tuple[bytes, ...] = ()
    snapshot: bytes = b""

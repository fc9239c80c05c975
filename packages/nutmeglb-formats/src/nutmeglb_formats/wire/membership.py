"""Peer messages of the membership protocol and of the peer bus itself. Type codes 100 to 199."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from nutmeglb_formats.wire.registry import message


@message(100, 1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent on every connection when it opens and then once per heartbeat interval.

    A receiver suspects a peer whose heartbeats stop.

    Attributes
    ----------
    domain
        Failure domain of the sender.
    peer_address, admin_address
        ``host:port`` of the sender's listeners.
    leader, leader_epoch
        Leader of the sender's failure domain; empty and 0 when unknown.
    leaving
        Whether the sender is stopping.
    ticket
        Number of the last ticket in force at the sender.
    relays
        Maps each other failure domain to the instance there, its leader or a connected one, that
        the sender uses to reach it.
    stale_since_ms
        Wall-clock time in milliseconds since which neither the store nor a peer has confirmed the
        sender's configuration; ``None`` while the configuration is confirmed.
    """

    domain: str
    peer_address: str
    admin_address: str
    leader: str = ""
    leader_epoch: int = 0
    leaving: bool = False
    ticket: int = 0
    relays: Mapping[str, str] = field(default_factory=dict)
    stale_since_ms: float | None = None


@message(101, 1)
@dataclass(frozen=True, slots=True)
class Request:
    """Wraps a message that expects a ``Reply``.

    Attributes
    ----------
    correlation
        Number chosen by the sender, which the reply repeats.
    body
        The wrapped message as ``[type code, version, fields]``.
    """

    correlation: int
    body: list[Any]


@message(102, 1)
@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a ``Request``.

    Attributes
    ----------
    correlation
        Number of the request.
    body
        The answer as ``[type code, version, fields]``; empty when the handler has none.
    error
        Why there is no answer; empty on success.
    """

    correlation: int
    body: list[Any]
    error: str = ""

"""Messages of membership and of the peer bus itself. Type codes 100 to 199."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from nutmeglb_formats.wire.registry import message


@message(100, 1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent on every connection when it opens and then once per heartbeat interval.

    Attributes
    ----------
    peer_address, admin_address
        ``host:port`` of the sender's listeners.
    leader, leader_epoch
        Leader of the sender's failure domain; empty and 0 when unknown.
    leaving
        Whether the sender is stopping.
    ticket
        Number of the last ticket in force at the sender.
    relays
        For each other failure domain, the leader or connected instance that the sender knows.
    stale_since_ms
        Wall-clock time since which neither store nor peer confirmed the sender's configuration.
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
    """A message that expects a reply. ``body`` is ``[type code, version, fields]``."""

    correlation: int
    body: list[Any]


@message(102, 1)
@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a ``Request``. ``body`` is empty when the handler has no answer.

    Attributes
    ----------
    error
        Why there is no answer; empty on success.
    """

    correlation: int
    body: list[Any]
    error: str = ""

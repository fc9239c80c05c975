"""Peer messages of leadership, type codes 500 to 599."""

from dataclasses import dataclass

from nutmeglb_formats.wire.registry import message


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """A slot grant in use. ``hold_ms`` is the time in milliseconds until its slot is freed."""

    grant_id: str
    service: str
    endpoint: str
    holder: str
    hold_ms: float


@message(code=500, version=1)
@dataclass(frozen=True, slots=True)
class Pledge:
    """A new leader asks to refuse older epochs, and for the grants in use."""

    epoch: int


@message(code=501, version=1)
@dataclass(frozen=True, slots=True)
class PledgeReply:
    """Answer to ``Pledge``. A refusal names the highest epoch known."""

    accepted: bool
    known_epoch: int
    grants: tuple[HeldGrant, ...] = ()


@message(code=502, version=1)
@dataclass(frozen=True, slots=True)
class Promise:
    """A leader without the store asks not to campaign and not to follow another epoch."""

    epoch: int


@message(code=503, version=1)
@dataclass(frozen=True, slots=True)
class PromiseReply:
    """Answer to ``Promise``. A refusal names the highest epoch known.

    Attributes
    ----------
    store_reachable
        Whether the sender read the leader from the store a short time ago.
    """

    granted: bool
    known_epoch: int
    store_reachable: bool = False


@message(code=504, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """A leader with authority announces itself once per renewal interval."""

    epoch: int


@message(code=505, version=1)
@dataclass(frozen=True, slots=True)
class LeaderReleased:
    """A leader that stops has given up its authority."""

    epoch: int

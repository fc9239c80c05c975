"""Peer messages about the leadership of a failure domain. Type codes 500 to 599.

All of them are sent between entry instances of the same failure domain.
"""

from dataclasses import dataclass

from nutmeglb_formats.wire.registry import message


@dataclass(frozen=True, slots=True)
class HeldGrant:
    """A slot grant in use, as a follower reports it to a new leader.

    Attributes
    ----------
    holder
        Id of the instance that uses the grant.
    hold_ms
        Time in milliseconds from the report after which the slot is free in any case.
    """

    grant_id: str
    service: str
    endpoint: str
    holder: str
    hold_ms: float


@message(code=500, version=1)
@dataclass(frozen=True, slots=True)
class Pledge:
    """Sent by a new leader to every reachable instance of its domain before it takes authority.

    A receiver that accepts refuses all lower epochs from then on and reports the grants in use.
    """

    epoch: int


@message(code=501, version=1)
@dataclass(frozen=True, slots=True)
class PledgeReply:
    """Reply to ``Pledge``.

    Attributes
    ----------
    known_epoch
        Highest epoch that the sender knows. A refused leader learns from it that it is superseded.
    grants
        Grants in use that the sender knows of. Empty in a refusal.
    """

    accepted: bool
    known_epoch: int
    grants: tuple[HeldGrant, ...] = ()


@message(code=502, version=1)
@dataclass(frozen=True, slots=True)
class Promise:
    """Sent by a leader that cannot reach the store, to keep its authority without it.

    For a limited time, a receiver that grants the promise neither campaigns for the leadership nor
    follows a leader of another epoch.
    """

    epoch: int


@message(code=503, version=1)
@dataclass(frozen=True, slots=True)
class PromiseReply:
    """Reply to ``Promise``.

    Attributes
    ----------
    known_epoch
        Highest epoch that the sender knows.
    store_reachable
        Whether the sender has recently read the leader from the store.
    """

    granted: bool
    known_epoch: int
    store_reachable: bool = False


@message(code=504, version=1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class LeaderNotice:
    """Sent by a leader with authority to its domain, once per renewal interval."""

    epoch: int


@message(code=505, version=1)
@dataclass(frozen=True, slots=True)
class LeaderReleased:
    """Sent by a leader to its domain after it has released its authority.

    Receivers end their promise to this epoch and read the leader from the store immediately.
    """

    epoch: int

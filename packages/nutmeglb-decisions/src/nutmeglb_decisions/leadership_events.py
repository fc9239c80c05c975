"""Events and effects of the leadership state machine."""

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from nutmeglb_formats.models.leader import LeaderRecord


@dataclass(frozen=True, slots=True)
class LeadershipTimes:
    """Intervals in milliseconds. ``margin_ms`` covers differences in clock rates."""

    lease_ms: float = 3_000.0
    renew_ms: float = 1_000.0
    margin_ms: float = 500.0
    promise_ms: float = 2_000.0


class WriteOutcome(Enum):
    """Result of writing the leader key."""

    APPLIED = auto()
    CONDITION_FAILED = auto()
    NOT_APPLIED = auto()
    UNKNOWN = auto()


class RenewOutcome(Enum):
    """Result of renewing the lease."""

    RENEWED = auto()
    LEASE_NOT_FOUND = auto()
    FAILED = auto()


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event with the current view of the other instances.

    Attributes
    ----------
    listed
        Entry instances of the domain in the platform's list; ``None`` if it has not been read yet.
    reachable
        Other instances of the domain that are connected and send heartbeats.
    """

    listed: frozenset[str] | None
    reachable: frozenset[str]


@dataclass(frozen=True, slots=True)
class LeaderRead:
    """The leader and epoch keys were read. Epoch 0 means that the epoch key is absent."""

    leader: LeaderRecord | None
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaderReadFailed:
    """Reading the leader and epoch keys failed."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The call to create a lease ended; ``lease`` is ``None`` if it failed."""

    attempt: str
    sent_ms: float
    lease: int | None


@dataclass(frozen=True, slots=True)
class LeaderWritten:
    """The transaction that writes the leader key ended."""

    attempt: str
    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The call to renew a lease ended."""

    lease: int
    sent_ms: float
    outcome: RenewOutcome


@dataclass(frozen=True, slots=True)
class PledgeRequested:
    """Another instance sent ``Pledge``."""

    sender: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PledgeAnswered:
    """An instance answered this leader's ``Pledge``. ``grants`` is passed on unchanged."""

    sender: str
    round_id: int
    accepted: bool
    known_epoch: int
    grants: tuple[Any, ...] = ()


@dataclass(frozen=True, slots=True)
class PromiseRequested:
    """Another instance sent ``Promise``."""

    sender: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PromiseAnswered:
    """An instance answered this leader's ``Promise``, sent at ``sent_ms``."""

    sender: str
    epoch: int
    sent_ms: float
    granted: bool
    known_epoch: int
    store_reachable: bool = False


@dataclass(frozen=True, slots=True)
class NoticeReceived:
    """Another instance announced itself as leader."""

    sender: str
    epoch: int


@dataclass(frozen=True, slots=True)
class ReleaseReceived:
    """A leader announced that it released its leadership."""

    sender: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is stopping: release the leadership and do not campaign again."""


Event = (
    Tick
    | LeaderRead
    | LeaderReadFailed
    | LeaseGranted
    | LeaderWritten
    | LeaseRenewed
    | PledgeRequested
    | PledgeAnswered
    | PromiseRequested
    | PromiseAnswered
    | NoticeReceived
    | ReleaseReceived
    | StopRequested
)


# Effects


@dataclass(frozen=True, slots=True)
class ReadLeader:
    """Read the leader and epoch keys."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Create a lease for an election attempt."""

    attempt: str


@dataclass(frozen=True, slots=True)
class WriteLeader:
    """Write leader and epoch keys if there is no leader and the epoch is ``expected_epoch``."""

    record: LeaderRecord
    expected_epoch: int
    lease: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of the leader key."""

    lease: int
    sent_ms: float


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke a lease that is no longer needed."""

    lease: int


@dataclass(frozen=True, slots=True)
class ReleaseLeadership:
    """Revoke the lease, if there is one, and then announce the release to the domain."""

    lease: int | None
    epoch: int


@dataclass(frozen=True, slots=True)
class SendPledge:
    """Send ``Pledge``; ``round_id`` is returned in ``PledgeAnswered``."""

    instance: str
    epoch: int
    round_id: int


@dataclass(frozen=True, slots=True)
class SendPromise:
    """Send ``Promise``; ``sent_ms`` is returned in ``PromiseAnswered``."""

    instance: str
    epoch: int
    sent_ms: float


@dataclass(frozen=True, slots=True)
class SendNotice:
    """Announce this instance as leader to the domain."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the ``Pledge`` or ``Promise`` that is being handled.

    Attributes
    ----------
    store_reachable
        Whether this instance has recently read the leader from the store.
    """

    accepted: bool
    known_epoch: int
    store_reachable: bool = False


@dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """The leadership changed. ``grants`` and ``unknown_holders`` are set after a pledge round."""

    epoch: int
    leader: str | None
    is_self: bool
    settled: bool
    grants: tuple[Any, ...] = ()
    unknown_holders: tuple[str, ...] = ()


Effect = (
    ReadLeader
    | GrantLease
    | WriteLeader
    | RenewLease
    | RevokeLease
    | ReleaseLeadership
    | SendPledge
    | SendPromise
    | SendNotice
    | Answer
    | LeadershipChanged
)

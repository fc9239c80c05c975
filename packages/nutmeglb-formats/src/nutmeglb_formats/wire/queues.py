"""Peer messages between the leader of the queues and its followers. Type codes 600 to 699."""

from dataclasses import dataclass, field

from nutmeglb_formats.models.queues import QueueJob
from nutmeglb_formats.wire.registry import message


@message(600, 2)
@dataclass(frozen=True, slots=True)
class JobOffered:
    """Sent by the instance that accepted a job to the leader, which schedules the job.

    Replied to with ``Noted``. A leader that misses the message finds the job in the store.

    Attributes
    ----------
    revision
        Store revision of the write that accepted the job.
    """

    job: QueueJob
    revision: int


@message(601, 1)
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """Sent to the leader after the cancellation of a job is stored. The leader stops the job.

    Replied to with ``Noted``.
    """

    job_id: str


@message(602, 1)
@dataclass(frozen=True, slots=True)
class Noted:
    """Reply to ``JobOffered`` and ``JobCancelled``: the receiver has handled the message."""


@message(603, 1)
@dataclass(frozen=True, slots=True)
class StateQuery:
    """Requests the state of a job from the leader. Replied to with ``StateReply``."""

    job_id: str


@message(604, 2, added=1)
@dataclass(frozen=True, slots=True)
class StateReply:
    """Reply to ``StateQuery``. All fields are empty when the leader does not know the job.

    Attributes
    ----------
    queue
        Key of the queue. Earlier releases send its name.
    team
        Name of the job's team; empty without one. Added in version 2.
    """

    state: str
    queue: str
    team: str = ""


@message(605, 2, added=1)
@dataclass(frozen=True, slots=True)
class PendingQuery:
    """Requests the number of jobs of a queue without a started task from the leader.

    Replied to with ``PendingReply``.

    Attributes
    ----------
    queue
        Key of the queue; its name without ``by_key``.
    by_key
        Whether the queue is identified by its key. Added in version 2. Earlier releases identify it
        by its name, and reject the query instead of counting the jobs of another queue.
    """

    queue: str
    by_key: bool = False


@message(606, 1)
@dataclass(frozen=True, slots=True)
class PendingReply:
    """Reply to ``PendingQuery``: number of jobs without a started task."""

    count: int


@message(607, 1)
@dataclass(frozen=True, slots=True)
class AdviseCall:
    """Sent by the leader to a follower, which asks the advice service which workers suit a step.

    Replied to with ``AdviseResult``.
    """

    step: str
    workers: list[str]
    timeout_ms: float


@message(608, 1)
@dataclass(frozen=True, slots=True)
class AdviseResult:
    """Reply to ``AdviseCall``.

    Attributes
    ----------
    tickets
        Pairs of a worker that may run the step and its ticket for the step.
    valid_ms
        Validity of the tickets in milliseconds, counted from the arrival of the call at the
        follower.
    refused
        Whether the follower or the advice service gave no advice and the leader should retry later.
    """

    tickets: list[tuple[str, str]]
    valid_ms: float
    refused: bool


@message(609, 3, latest_wins=True, added=2)
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Sent by the leader to all followers: queues that refuse new jobs at the moment.

    Attributes
    ----------
    refusing
        Pairs of queue key and time in milliseconds until the queue may accept jobs again. Earlier
        releases send names of queues, here and in ``refusing_teams``.
    refusing_teams
        Rows of queue, team and time in milliseconds until the queue may accept jobs of the team
        again. Added in version 2.
    largest_job_bytes
        Memory at the leader in bytes that a job may take at most; 0 means that the default of
        ``job_memory`` applies. Added in version 3.
    """

    refusing: list[tuple[str, float]]
    refusing_teams: list[tuple[str, str, float]] = field(default_factory=list)
    largest_job_bytes: int = 0


@message(613, 1, latest_wins=True)
@dataclass(frozen=True, slots=True)
class PoolsReport:
    """Sent by the leader to all followers: the largest task that each pool of workers can run.

    Attributes
    ----------
    pools
        Rows of service, label, processors in thousandths of a core, memory in bytes and number of
        accelerators. Each amount is the largest of any worker with this service and label.
    """

    pools: list[tuple[str, str, int, int, int]]


@message(610, 1)
@dataclass(frozen=True, slots=True)
class LeaderResigned:
    """Sent by a leader to all followers when it stops leading, possibly before its lease ends.

    Receivers may then replace the leader record of this incarnation.
    """

    incarnation: str


@message(611, 1)
@dataclass(frozen=True, slots=True)
class StoreProbe:
    """Sent by a leader whose lease renewal failed, to check whether followers reach the store.

    The receiver reads a key from the store. Replied to with ``StoreProbeResult``.
    """


@message(612, 1)
@dataclass(frozen=True, slots=True)
class StoreProbeResult:
    """Reply to ``StoreProbe``: whether the store answered the follower."""

    answered: bool


@message(614, 1)
@dataclass(frozen=True, slots=True)
class StrengthQuery:
    """Sent by a leader on a weak machine to its followers, to find a stronger successor.

    Replied to with ``StrengthReply``.
    """


@message(615, 1)
@dataclass(frozen=True, slots=True)
class StrengthReply:
    """Reply to ``StrengthQuery``.

    Attributes
    ----------
    strength
        Fraction, up to 1, of the resources a leader needs that the sender's machine has; 0 when the
        sender must not lead.
    """

    strength: float

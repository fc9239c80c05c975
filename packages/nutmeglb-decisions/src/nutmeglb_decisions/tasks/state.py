"""In-memory state of jobs and attempts on the leader of a failure domain."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from nutmeglb_decisions.tasks.quarantine import JOB_FAILING_WORKERS
from nutmeglb_decisions.tasks.ranking import Shape
from nutmeglb_formats.models.config import JobKind
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptKey

BITS_PER_BYTE = 8


class Phase(StrEnum):
    """Phase of a live attempt.

    ``RESERVED``: resources are allocated, but the attempt is not committed to the journal.
    ``COMMITTED``: the journal holds it, and it may be sent to the agent. ``HELD``: the agent has
    admitted it as a gang member and waits for the others. ``RUNNING``: the agent reported it
    running.
    """

    RESERVED = "reserved"
    COMMITTED = "committed"
    HELD = "held"
    RUNNING = "running"


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that has not ended.

    Attributes
    ----------
    charged
        Resources allocated to it.
    gang
        Size of its gang, or 0.
    sent
        Whether a request with its start may have reached the agent.
    is_reported
        Whether the agent has reported it.
    hold
        Whether the agent must wait for the other members of the gang.
    stop_cause
        Why it is being stopped, or empty.
    """

    key: AttemptKey
    name: str
    worker: str
    charged: Resources
    phase: Phase
    created_ms: float
    lease_ms: float
    gang: int = 0
    hold: bool = False
    sent: bool = False
    is_reported: bool = False
    stop_cause: str = ""
    started_ms: float = 0.0
    expected_end_ms: float = float("inf")
    throttled: bool = False
    used_cpu: int = 0
    used_memory: int = 0
    peak_cpu: int = 0
    peak_memory: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    Attributes
    ----------
    sequence
        Order of acceptance.
    ticket, service
        Number of the ticket that declared the job, and name of the service whose replicas it runs;
        0 and empty if there is none.
    queued
        Whether the job is in the ranking.
    cancelling
        Whether a cancellation has been sent to the journal but is not committed yet.
    first_unattempted
        Index of the first task that was never attempted.
    retry_indexes
        Indexes of tasks whose last attempt ended without completing them.
    completing
        Attempt numbers, by task index, of completions that are not yet in the journal.
    numbers
        Highest attempt number, by task index, of incomplete tasks that were attempted.
    won
        Number of the attempt that completed a task, by task index, where it is not 1.
    tasks
        Current number of tasks. The replicas of a service can be resized.
    not_before_ms
        End of the backoff of a job whose tasks fail everywhere, or 0.
    failures, failed_workers
        Number of early failures since the last success, and the workers that they occurred on.
    backoff_rounds
        Number of backoffs since the last success.
    hold_count
        How often workers were held for the job.
    next_preemption_ms
        Time before which no further tasks are preempted for the job.
    finished_ms
        Wall-clock time of the end, or 0.
    """

    job_id: str
    spec: JobSpec
    submitted_ms: float
    sequence: int
    ticket: int = 0
    service: str = ""
    accepted_ms: float = 0.0
    queued: bool = False
    cancelled: bool = False
    cancelling: bool = False
    first_unattempted: int = 0
    retry_indexes: deque[int] = field(default_factory=deque)
    live: dict[int, Attempt] = field(default_factory=dict)
    completing: dict[int, int] = field(default_factory=dict)
    done: bytearray = field(default_factory=bytearray)
    done_count: int = 0
    numbers: dict[int, int] = field(default_factory=dict)
    won: dict[int, int] = field(default_factory=dict)
    tasks: int = 0
    not_before_ms: float = 0.0
    failures: int = 0
    failed_workers: set[str] = field(default_factory=set)
    backoff_rounds: int = 0
    hold_count: int = 0
    next_preemption_ms: float = 0.0
    finished_ms: float = 0.0
    shape: Shape = Shape(Resources())
    rack_tasks: dict[str, int] = field(default_factory=dict)
    worker_tasks: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.tasks = self.tasks or self.spec.tasks
        self.done = self.done or bytearray((self.tasks + BITS_PER_BYTE - 1) // BITS_PER_BYTE)

    @property
    def is_gang(self) -> bool:
        """Return whether all tasks start together."""
        return self.spec.kind is JobKind.GANG

    @property
    def is_service(self) -> bool:
        """Return whether ended tasks are replaced."""
        return self.spec.kind is JobKind.SERVICE

    @property
    def ended(self) -> bool:
        """Return whether no further task will start."""
        return self.cancelled or self.finished_ms > 0

    @property
    def waiting(self) -> int:
        """Return the number of tasks without a live attempt that are not complete."""
        return (
            0
            if self.ended
            else len(self.retry_indexes) + max(0, self.tasks - self.first_unattempted)
        )

    @property
    def is_placeable(self) -> bool:
        """Return whether a task, or all incomplete tasks of a gang, may be placed now."""
        if self.is_gang and (self.live or self.completing):
            return False
        # After this many failures the job runs one task at a time until one succeeds.
        if self.failures >= JOB_FAILING_WORKERS and self.live:
            return False
        return self.waiting > 0

    def is_done(self, index: int) -> bool:
        """Return whether the journal holds the completion of a task."""
        byte, bit = divmod(index, BITS_PER_BYTE)
        return byte < len(self.done) and bool(self.done[byte] >> bit & 1)

    def completed_by(self, key: AttemptKey) -> bool:
        """Return whether the journal holds the completion of a task by this attempt."""
        return self.is_done(key.index) and self.won.get(key.index, 1) == key.number

    def set_done(self, index: int, number: int) -> None:
        """Record the completion of a task by an attempt."""
        byte, bit = divmod(index, BITS_PER_BYTE)
        self.done[byte] |= 1 << bit
        self.done_count += 1
        self.numbers.pop(index, None)
        if number != 1:
            self.won[index] = number

    def take_index(self) -> int:
        """Remove and return the index of the next waiting task."""
        if self.retry_indexes:
            return self.retry_indexes.popleft()
        self.first_unattempted += 1
        return self.first_unattempted - 1

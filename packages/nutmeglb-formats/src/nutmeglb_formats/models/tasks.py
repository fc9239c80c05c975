"""Journal records of jobs, attempts and completions. Record codes 400 to 499."""

from dataclasses import dataclass

from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.journal import record


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies a task by its job and its index in the job."""

    job_id: str
    index: int


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """Identifies one attempt to run a task. ``number`` starts at 1 and rises with every attempt."""

    job_id: str
    index: int
    number: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.index}/{self.number}"


def parse_attempt_key(text: str) -> AttemptKey | None:
    """Return the key of the attempt that ``text`` names, or ``None`` when ``text`` is malformed."""
    parts = text.rsplit("/", 2)
    if len(parts) != 3 or not parts[0] or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return AttemptKey(parts[0], int(parts[1]), int(parts[2]))


@record(400, 1)
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was accepted. The last record with the same job id before its first start counts.

    Attributes
    ----------
    submitted_ms
        Wall-clock time of acceptance in milliseconds since the Unix epoch.
    ticket
        Number of the ticket that declared the job, or 0.
    service
        Name of the service if the tasks are its replicas; empty otherwise.
    """

    job_id: str
    spec: JobSpec
    submitted_ms: float
    ticket: int = 0
    service: str = ""


@record(401, 1)
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled. Its waiting tasks are dropped and its running attempts are stopped."""

    job_id: str


@record(402, 1)
@dataclass(frozen=True, slots=True)
class JobResized:
    """The number of replicas of a service changed to ``tasks``."""

    job_id: str
    tasks: int


@record(403, 1)
@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt may be started on a worker. A higher attempt number replaces a lower one.

    Attributes
    ----------
    epoch
        Epoch of the leader that decided the start.
    lease_ms
        Longest time in milliseconds for which the attempt runs after a lease renewal.
    gang
        Number of attempts of the gang that start together, or 0.
    charged
        Capacity charged for the attempt: processors in thousandths of a core, and memory in bytes.
        Empty means the declared amounts.
    """

    job_id: str
    index: int
    number: int
    worker: str
    epoch: int
    lease_ms: float
    gang: int = 0
    charged: tuple[int, ...] = ()


@record(404, 1)
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has certainly ended.

    Attributes
    ----------
    completes
        Whether the task is complete with this attempt.
    """

    job_id: str
    index: int
    number: int
    outcome: str
    completes: bool


@record(405, 1)
@dataclass(frozen=True, slots=True)
class JobProgress:
    """Completions and attempt numbers of a job. Written only in snapshots.

    Attributes
    ----------
    done
        Bit set of complete tasks: bit ``index % 8`` of byte ``index // 8``.
    numbers
        Pairs of task index and highest attempt number, for incomplete tasks.
    won
        Pairs of task index and number of the completing attempt, where that number is not 1.
    finished_ms
        Wall-clock time of the end of the job in milliseconds since the Unix epoch, or 0.
    """

    job_id: str
    done: bytes
    numbers: tuple[tuple[int, int], ...]
    won: tuple[tuple[int, int], ...]
    cancelled: bool
    finished_ms: float = 0.0

"""Journal records of jobs, attempts and completions."""

from dataclasses import dataclass

from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.journal import record


@dataclass(frozen=True, slots=True)
class TaskKey:
    """A task: a job id and the index of the task in its job."""

    job_id: str
    index: int


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """One run of a task. ``number`` starts at 1 and rises with every attempt."""

    job_id: str
    index: int
    number: int

    def __str__(self) -> str:
        return f"{self.job_id}/{self.index}/{self.number}"


def parse_attempt_key(text: str) -> AttemptKey | None:
    """Return the attempt that ``text`` names, or ``None`` when it is malformed."""
    parts = text.rsplit("/", 2)
    if len(parts) != 3 or not parts[0] or not (parts[1].isdecimal() and parts[2].isdecimal()):
        return None
    return AttemptKey(parts[0], int(parts[1]), int(parts[2]))


@record(400, 1)
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job was accepted. Repeated records of the same id count once.

    Attributes
    ----------
    submitted_ms
        Wall-clock time of acceptance in milliseconds.
    ticket
        Number of the ticket that declared the job, or 0.
    service
        Name of the service whose replicas the tasks are, or empty.
    """

    job_id: str
    spec: JobSpec
    submitted_ms: float
    ticket: int = 0
    service: str = ""


@record(401, 1)
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """A job was cancelled. Its waiting tasks are dropped and its live attempts stopped."""

    job_id: str


@record(402, 1)
@dataclass(frozen=True, slots=True)
class JobResized:
    """The number of replicas of a service changed."""

    job_id: str
    tasks: int


@record(403, 1)
@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An attempt may be started on a worker. A later number replaces an earlier one.

    Attributes
    ----------
    lease_ms
        Longest time in milliseconds that the attempt runs after a renewal.
    gang
        Number of attempts that start together, or 0.
    charged
        CPU (millicores) and memory (bytes) charged to the ledger; empty means the declared size.
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
    """An attempt has certainly ended. ``completes`` tells whether the task is complete."""

    job_id: str
    index: int
    number: int
    outcome: str
    completes: bool


@record(405, 1)
@dataclass(frozen=True, slots=True)
class JobProgress:
    """Snapshot only: completions and attempt numbers of a job.

    Attributes
    ----------
    done
        Bit ``index % 8`` of byte ``index // 8`` is set for every complete task.
    numbers
        Pairs of task index and highest attempt number of incomplete tasks.
    won
        Pairs of task index and number of the completing attempt, where it is not 1.
    finished_ms
        Wall-clock time of the end of the job in milliseconds, or 0.
    """

    job_id: str
    done: bytes
    numbers: tuple[tuple[int, int], ...]
    won: tuple[tuple[int, int], ...]
    cancelled: bool
    finished_ms: float = 0.0

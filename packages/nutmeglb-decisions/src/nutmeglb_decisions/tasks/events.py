"""Events that the task scheduler accepts and effects that it asks for."""

from dataclasses import dataclass, field
from typing import Any

from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.agent import SyncResponse
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.jobs import JobSpec


@dataclass(frozen=True, slots=True)
class Submit:
    """Accept a job. ``request`` comes back in ``Answer``; ``wall_ms`` is the wall-clock time."""

    request: int
    spec: JobSpec
    wall_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a job."""

    request: int
    job_id: str


@dataclass(frozen=True, slots=True)
class Committed:
    """The journal holds the records of an ``Append``."""

    batch: int


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """The journal may not hold the records of an ``Append``."""

    batch: int
    error: NutmegError


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker in the platform's instance list."""

    worker: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The platform's instance list of this failure domain, complete."""

    workers: tuple[ListedWorker, ...]


@dataclass(frozen=True, slots=True)
class Synced:
    """An agent answered."""

    worker: str
    response: SyncResponse


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A call to an agent failed."""

    worker: str


@dataclass(frozen=True, slots=True)
class Configured:
    """A configuration came into force. ``wall_ms`` is the wall-clock time."""

    config: Config
    wall_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


Event = (
    Submit
    | Cancel
    | Committed
    | CommitFailed
    | WorkersListed
    | Synced
    | Unreachable
    | Configured
    | Tick
)


@dataclass(frozen=True, slots=True)
class Append:
    """Append records to the journal, then report ``Committed`` or ``CommitFailed``."""

    batch: int
    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class SendCommands:
    """New commands wait for a worker. ``Scheduler.sync_request`` returns them."""

    worker: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of a command: the job id, or an error."""

    request: int
    job_id: str = ""
    error: NutmegError | None = None


@dataclass(frozen=True, slots=True)
class Decided:
    """A decision for the time line."""

    kind: str
    cause: str
    job: str | None = None
    task: str | None = None
    worker: str | None = None
    fields: dict[str, object] = field(default_factory=dict)


Effect = Append | SendCommands | Answer | Decided

"""Events that the task scheduler handles, and effects that it returns to the I/O layer."""

from dataclasses import dataclass, field
from typing import Any

from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.agent import SyncResponse
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.jobs import JobSpec


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit a job. The ``Answer`` carries the same ``request``; ``wall_ms`` is wall-clock time."""

    request: int
    spec: JobSpec
    wall_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a job. The ``Answer`` carries the same ``request``."""

    request: int
    job_id: str


@dataclass(frozen=True, slots=True)
class Committed:
    """The records of an ``Append`` are in the journal."""

    batch: int


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """An ``Append`` failed. Its records may or may not be in the journal."""

    batch: int
    error: NutmegError


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker in the platform's instance list."""

    worker: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The complete list of workers that the platform reports for this failure domain."""

    workers: tuple[ListedWorker, ...]


@dataclass(frozen=True, slots=True)
class Synced:
    """An agent responded to a sync request."""

    worker: str
    response: SyncResponse


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A call to a worker's agent failed."""

    worker: str


@dataclass(frozen=True, slots=True)
class Configured:
    """A configuration took effect. ``wall_ms`` is wall-clock time."""

    config: Config
    wall_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic trigger of time-based checks."""


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
    """Append records to the journal, then send ``Committed`` or ``CommitFailed``."""

    batch: int
    records: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Send the pending commands of a worker. ``Scheduler.sync_request`` returns them."""

    worker: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of a ``Submit`` or ``Cancel``: the job id, or an error."""

    request: int
    job_id: str = ""
    error: NutmegError | None = None


@dataclass(frozen=True, slots=True)
class Decision:
    """Record a decision in the timeline."""

    kind: str
    cause: str
    job: str | None = None
    task: str | None = None
    worker: str | None = None
    fields: dict[str, object] = field(default_factory=dict)


Effect = Append | SendCommands | Answer | Decision

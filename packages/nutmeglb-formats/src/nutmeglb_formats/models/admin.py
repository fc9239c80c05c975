"""Request and response bodies of the administration API. Unknown fields are rejected."""

from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from nutmeglb_formats.models.config import JobKind, RequestClass
from nutmeglb_formats.models.events import Event
from nutmeglb_formats.models.jobs import JobSpec, JobView
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket

TEXT_LIMIT_CHARACTERS = 200
COMMAND_LIMIT_CHARACTERS = 10_000
MAX_TASKS = 1_000_000
MAX_RUN_MS = 30 * 24 * 3_600_000
MAX_LIST_LIMIT = 1_000
DEFAULT_LIST_LIMIT = 100


class Body(BaseModel):
    """Base class of all bodies."""

    # The run time of a service's tasks is infinite, which a JSON number cannot express.
    model_config = ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False, ser_json_inf_nan="strings"
    )


class ResourcesBody(Body):
    """Amounts that a task needs."""

    cpu_millis: int = Field(0, ge=0)
    memory_bytes: int = Field(0, ge=0)
    accelerators: int = Field(0, ge=0)


class JobRequest(Body):
    """Body of ``POST /v1/jobs``. ``run_ms`` is the declared run time of a task in milliseconds."""

    submission_id: str = Field(min_length=1, max_length=TEXT_LIMIT_CHARACTERS)
    name: str = Field(min_length=1, max_length=TEXT_LIMIT_CHARACTERS)
    team: str = Field(min_length=1, max_length=TEXT_LIMIT_CHARACTERS)
    kind: JobKind = JobKind.BATCH
    tasks: int = Field(1, ge=1, le=MAX_TASKS)
    resources: ResourcesBody
    job_class: RequestClass = RequestClass.DEFERRED
    run_ms: float = Field(60_000.0, gt=0, le=MAX_RUN_MS)
    preemptible: bool = True
    command: str = Field("", max_length=COMMAND_LIMIT_CHARACTERS)
    domain: str | None = Field(None, min_length=1, max_length=TEXT_LIMIT_CHARACTERS)

    def to_spec(self) -> JobSpec:
        """Return the job specification."""
        return JobSpec(
            submission_id=self.submission_id,
            name=self.name,
            team=self.team,
            kind=self.kind,
            tasks=self.tasks,
            resources=Resources(**self.resources.model_dump()),
            job_class=self.job_class,
            run_ms=self.run_ms,
            preemptible=self.preemptible,
            command=self.command,
        )


@dataclass(frozen=True, slots=True)
class FiledTicket:
    """An accepted ticket, with its number in the ticket log."""

    number: int
    ticket: Ticket


@dataclass(frozen=True, slots=True)
class WorkerView:
    """State of a worker.

    Attributes
    ----------
    state
        ``live``, ``leaving``, ``unreachable`` or ``quarantined``.
    tasks
        Number of tasks on the worker.
    allocated
        Sum of the resources charged to its tasks.
    used
        Usage measured by the agent; zero when unknown.
    why
        Explanation of the state in one sentence; may be empty.
    """

    worker_id: str
    domain: str
    rack: str
    state: str
    tasks: int
    capacity: Resources
    allocated: Resources
    used: Resources = Resources()
    why: str = ""


@dataclass(frozen=True, slots=True)
class TeamView:
    """Quota and use of a team, as known to the answering instance.

    Attributes
    ----------
    allocated
        Sum of the resources charged to the team's tasks.
    running, waiting
        Number of tasks of the team.
    """

    name: str
    quota: Resources
    allocated: Resources
    running: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class InstanceView:
    """State of an entry instance as the answering instance sees it.

    Attributes
    ----------
    state
        ``live``, ``suspected`` or ``leaving``.
    ticket
        Number of the last ticket in force there; ``None`` when unknown.
    stale_since_ms
        Wall-clock time in milliseconds since which neither the store nor a peer has confirmed its
        configuration; ``None`` while the configuration is confirmed or when unknown.
    """

    instance_id: str
    domain: str
    state: str
    admin_address: str
    ticket: int | None = None
    stale_since_ms: float | None = None


class ErrorItem(Body):
    """One error of a failed call. ``kind`` is the class name of the ``NutmegError``."""

    kind: str
    message: str
    context: dict[str, Any] = {}
    hint: str = ""


class ErrorAnswer(Body):
    """Answer to every failed call."""

    errors: list[ErrorItem]


class TicketAnswer(Body):
    """Answer to ``POST /v1/tickets`` and ``POST /v1/tickets/check``.

    Attributes
    ----------
    number
        Number of the filed ticket; ``None`` for a check.
    touched
        Objects that the ticket sets or removes, as ``"<section>/<object name>"``.
    """

    number: int | None = None
    touched: list[str] = []


class FiledTicketAnswer(Body):
    """Answer to ``GET /v1/tickets/<n>``."""

    number: int
    ticket: Ticket


class TicketSummary(Body):
    """One ticket in the answer to ``GET /v1/tickets``."""

    number: int
    id: str
    author: str
    summary: str
    touched: list[str]


class TicketListAnswer(Body):
    """Answer to ``GET /v1/tickets``, latest ticket first."""

    tickets: list[TicketSummary]


class JobViewAnswer(Body):
    """Base class of answers with jobs. Allows the infinite run time of a service's tasks."""

    model_config = ConfigDict(allow_inf_nan=True)


class JobAnswer(JobViewAnswer):
    """Answer to ``POST /v1/jobs``, to a cancellation and to ``GET /v1/jobs/<id>``."""

    job: JobView


class JobListAnswer(JobViewAnswer):
    """Answer to ``GET /v1/jobs``."""

    jobs: list[JobView]


class WhyAnswer(Body):
    """Answer to ``GET /v1/jobs/<id>/why``: why the job waits, with its events."""

    job_id: str
    state: str
    wait_reason: str
    why: str
    events: list[Event]


class WorkerListAnswer(Body):
    """Answer to ``GET /v1/workers``."""

    workers: list[WorkerView]


class TeamListAnswer(Body):
    """Answer to ``GET /v1/teams``."""

    teams: list[TeamView]


class StatusAnswer(Body):
    """Answer to ``GET /v1/status``.

    Attributes
    ----------
    ticket
        Number of the last ticket in force at the answering instance.
    components
        Maps the name of each component to its status values.
    instances
        The entry instances known to the answering instance.
    """

    instance_id: str
    domain: str
    version: str
    ready: bool
    ticket: int
    components: dict[str, dict[str, Any]]
    instances: list[InstanceView]


class TimelineAnswer(Body):
    """Answer to ``GET /v1/timeline``, oldest event first."""

    events: list[Event]

"""Bodies of the administration API. Requests refuse unknown fields."""

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
    """Base of all bodies."""

    # The run time of a service's tasks is infinite, which JSON numbers cannot express.
    model_config = ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False, ser_json_inf_nan="strings"
    )


class ResourcesBody(Body):
    """Amounts that a task needs."""

    cpu_millis: int = Field(0, ge=0)
    memory_bytes: int = Field(0, ge=0)
    accelerators: int = Field(0, ge=0)


class JobRequest(Body):
    """Body of ``POST /v1/jobs``. Times are in milliseconds."""

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
    """A ticket with its number."""

    number: int
    ticket: Ticket


@dataclass(frozen=True, slots=True)
class WorkerView:
    """State of a worker.

    Attributes
    ----------
    state
        ``live``, ``leaving``, ``unreachable`` or ``quarantined``.
    allocated
        Sum of the resources charged to its tasks.
    used
        Last usage that the agent reported.
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
    """Quota and use of a team, as far as the answering instance knows."""

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
        Number of the last ticket in force there. ``None`` when it is not known.
    stale_since_ms
        Wall-clock time since which neither store nor peer confirmed its configuration.
    """

    instance_id: str
    domain: str
    state: str
    admin_address: str
    ticket: int | None = None
    stale_since_ms: float | None = None


class ErrorItem(Body):
    """One error."""

    kind: str
    message: str
    context: dict[str, Any] = {}
    hint: str = ""


class ErrorAnswer(Body):
    """Answer of every failed call."""

    errors: list[ErrorItem]


class TicketAnswer(Body):
    """Answer of ``POST /v1/tickets`` and ``POST /v1/tickets/check``.

    ``number`` is ``None`` for a check.
    """

    number: int | None = None
    touched: list[str] = []


class FiledTicketAnswer(Body):
    """Answer of ``GET /v1/tickets/<n>``."""

    number: int
    ticket: Ticket


class TicketSummary(Body):
    """Row of ``GET /v1/tickets``."""

    number: int
    id: str
    author: str
    summary: str
    touched: list[str]


class TicketListAnswer(Body):
    """Answer of ``GET /v1/tickets``, latest first."""

    tickets: list[TicketSummary]


class JobViewAnswer(Body):
    """Base of answers with jobs: a service's tasks have an infinite run time."""

    model_config = ConfigDict(allow_inf_nan=True)


class JobAnswer(JobViewAnswer):
    """Answer of ``POST /v1/jobs``, of a cancellation and of ``GET /v1/jobs/<id>``."""

    job: JobView


class JobListAnswer(JobViewAnswer):
    """Answer of ``GET /v1/jobs``."""

    jobs: list[JobView]


class WhyAnswer(Body):
    """Answer of ``GET /v1/jobs/<id>/why``."""

    job_id: str
    state: str
    wait_reason: str
    why: str
    events: list[Event]


class WorkerListAnswer(Body):
    """Answer of ``GET /v1/workers``."""

    workers: list[WorkerView]


class TeamListAnswer(Body):
    """Answer of ``GET /v1/teams``."""

    teams: list[TeamView]


class StatusAnswer(Body):
    """Answer of ``GET /v1/status``. ``components`` maps a component's name to its values."""

    instance_id: str
    domain: str
    version: str
    ready: bool
    ticket: int
    components: dict[str, dict[str, Any]]
    instances: list[InstanceView]


class TimelineAnswer(Body):
    """Answer of ``GET /v1/timeline``, oldest first."""

    events: list[Event]

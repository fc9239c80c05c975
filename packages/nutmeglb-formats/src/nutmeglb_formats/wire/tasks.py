"""Job commands and queries between entry instances."""

from dataclasses import dataclass

from nutmeglb_formats.models.admin import TeamView, WorkerView
from nutmeglb_formats.models.jobs import JobSpec, JobView
from nutmeglb_formats.wire.registry import message


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """A typed error in transit."""

    kind: str
    message: str
    context: dict[str, str]
    hint: str


@message(400, 1)
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Command: accept a job. ``team`` is the requesting team, empty for operators."""

    domain: str
    team: str
    hops: int
    spec: JobSpec


@message(401, 1)
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Command: cancel a job."""

    domain: str
    team: str
    hops: int
    job_id: str


@message(402, 1)
@dataclass(frozen=True, slots=True)
class ShowJob:
    """Query: one job."""

    domain: str
    team: str
    hops: int
    job_id: str


@message(403, 1)
@dataclass(frozen=True, slots=True)
class ListJobs:
    """Query: the newest jobs of a failure domain, only the requesting team's unless empty."""

    domain: str
    team: str
    hops: int
    limit: int


@message(404, 1)
@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Query: the workers of a failure domain."""

    domain: str
    team: str
    hops: int


@message(405, 1)
@dataclass(frozen=True, slots=True)
class ListTeams:
    """Query: quotas and use in a failure domain."""

    domain: str
    team: str
    hops: int


@message(406, 1)
@dataclass(frozen=True, slots=True)
class JobReply:
    """Response to a command or to ``ShowJob``: either a view or an error."""

    view: JobView | None
    error: ErrorBody | None


@message(407, 1)
@dataclass(frozen=True, slots=True)
class ListReply:
    """Response to a list query."""

    jobs: tuple[JobView, ...] = ()
    workers: tuple[WorkerView, ...] = ()
    teams: tuple[TeamView, ...] = ()
    error: ErrorBody | None = None

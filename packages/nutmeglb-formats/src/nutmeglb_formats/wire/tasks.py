"""Peer messages with job commands and queries. Type codes 400 to 499.

The entry instance that receives a caller's command sends it to the leader of the job's failure
domain, if necessary through relays. In all commands and queries, ``domain`` is the failure domain
whose leader answers, ``team`` is the requesting team and empty for operators, and ``hops`` is the
number of times that the message has been forwarded.
"""

from dataclasses import dataclass

from nutmeglb_formats.models.admin import TeamView, WorkerView
from nutmeglb_formats.models.jobs import JobSpec, JobView
from nutmeglb_formats.wire.registry import message


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """A ``NutmegError`` in a reply. ``kind`` is the name of its class."""

    kind: str
    message: str
    context: dict[str, str]
    hint: str


@message(400, 1)
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Command: accept a job. Replied to with ``JobReply``."""

    domain: str
    team: str
    hops: int
    spec: JobSpec


@message(401, 1)
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Command: cancel a job. Replied to with ``JobReply``."""

    domain: str
    team: str
    hops: int
    job_id: str


@message(402, 1)
@dataclass(frozen=True, slots=True)
class ShowJob:
    """Query: state of one job. Replied to with ``JobReply``."""

    domain: str
    team: str
    hops: int
    job_id: str


@message(403, 1)
@dataclass(frozen=True, slots=True)
class ListJobs:
    """Query: the newest jobs of a failure domain, at most ``limit``. Replied to with ``ListReply``.

    A team sees only its own jobs, and operators see the jobs of all teams.
    """

    domain: str
    team: str
    hops: int
    limit: int


@message(404, 1)
@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Query: the workers of a failure domain. Replied to with ``ListReply``."""

    domain: str
    team: str
    hops: int


@message(405, 1)
@dataclass(frozen=True, slots=True)
class ListTeams:
    """Query: quotas and their use in a failure domain. Replied to with ``ListReply``."""

    domain: str
    team: str
    hops: int


@message(406, 1)
@dataclass(frozen=True, slots=True)
class JobReply:
    """Reply to a command or to ``ShowJob``: either a view or an error."""

    view: JobView | None
    error: ErrorBody | None


@message(407, 1)
@dataclass(frozen=True, slots=True)
class ListReply:
    """Reply to a list query. Only the requested list is filled."""

    jobs: tuple[JobView, ...] = ()
    workers: tuple[WorkerView, ...] = ()
    teams: tuple[TeamView, ...] = ()
    error: ErrorBody | None = None

"""Verdict on a submission: whether an instance refuses it at once, why, and when to retry.

Each rule looks at what the instance knows of the load and returns a refusal, or ``None``. The first
refusal counts.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from nutmeglb_decisions.queues import job_memory, pools
from nutmeglb_decisions.queues.pools import Pool
from nutmeglb_decisions.queues.team_limits import effective_limit, exceeds_limit
from nutmeglb_formats.models.queues import QueueConfig, QueueJob, QueueKey


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal: the job has not run and never will under this submission.

    Attributes
    ----------
    cause
        Reason for logs.
    retry_ms
        Time in milliseconds after which the caller may submit the job again.
    by_team
        Whether the caller's own team causes it, by its backlog, share or limit.
    """

    cause: str
    retry_ms: float
    by_team: bool = False


@dataclass(frozen=True, slots=True)
class LoadView:
    """What an instance knows of the load.

    Attributes
    ----------
    refusing
        Queues that refuse jobs, each with the milliseconds until it may accept.
    refusing_teams
        The same by queue and team.
    pools
        What the workers can run; empty if unknown.
    largest_job_bytes
        Memory at the leader that a job may take at most.
    """

    refusing: Mapping[QueueKey, float] = field(default_factory=dict)
    refusing_teams: Mapping[tuple[QueueKey, str], float] = field(default_factory=dict)
    pools: Sequence[Pool] = ()
    config: QueueConfig | None = None
    largest_job_bytes: float = job_memory.DEFAULT_LARGEST_JOB_BYTES


RefusalRule = Callable[[QueueJob, LoadView], Refusal | None]


def unservable(job: QueueJob, view: LoadView) -> Refusal | None:
    """Refuse a job that no worker can run."""
    cause = pools.unservable_cause(job, view.pools)
    return Refusal(cause, pools.UNSERVABLE_RETRY_MS) if cause else None


def too_large_for_leader(job: QueueJob, view: LoadView) -> Refusal | None:
    """Refuse a job that would take a large part of the free memory of the leader."""
    if job_memory.state_bytes(job) <= view.largest_job_bytes:
        return None
    cause = "the job needs too much of the free memory for jobs"
    return Refusal(cause, job_memory.RETRY_MS)


def wider_than_team_limit(job: QueueJob, view: LoadView) -> Refusal | None:
    """Refuse a job with a gang, or a single task, that exceeds the limit of its team."""
    team = view.config.teams.get(job.team) if view.config and view.config.teams else None
    limit = effective_limit(team) if team else None
    if limit is None or not any(exceeds_limit(step, limit) for step in job.steps):
        return None
    cause = f"a gang or task of the job is larger than the limit of team {job.team}"
    return Refusal(cause, pools.UNSERVABLE_RETRY_MS, by_team=True)


def team_overloaded(job: QueueJob, view: LoadView) -> Refusal | None:
    """Refuse a job of a team whose own accepted work takes too long within its limit or share."""
    retry_ms = view.refusing_teams.get((job.queue.key, job.team))
    if retry_ms is None:
        return None
    return Refusal("the accepted jobs of the team take too long", retry_ms, by_team=True)


def queue_overloaded(job: QueueJob, view: LoadView) -> Refusal | None:
    """Refuse a job of a queue whose accepted work occupies all capacity for too long."""
    retry_ms = view.refusing.get(job.queue.key)
    if retry_ms is None:
        return None
    return Refusal("insufficient capacity to start the job in time", retry_ms)


RULES: tuple[RefusalRule, ...] = (
    too_large_for_leader,
    unservable,
    wider_than_team_limit,
    team_overloaded,
    queue_overloaded,
)


def first_refusal(job: QueueJob, view: LoadView) -> Refusal | None:
    """Return the first refusal of the rules, or ``None`` if the job may be accepted."""
    return next((refusal for rule in RULES if (refusal := rule(job, view))), None)

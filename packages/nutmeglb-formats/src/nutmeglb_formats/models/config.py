"""Configuration of the cell, which results from applying tickets in the order of their numbers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from nutmeglb_formats.models.resources import Resources


class RequestClass(StrEnum):
    """Class of a request or job. Urgent work ranks before deferred work."""

    URGENT = "urgent"
    DEFERRED = "deferred"


class JobKind(StrEnum):
    """Kind of a job."""

    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class PlacementPolicy(StrEnum):
    """How placement scores workers."""

    PACK = "pack"
    SPREAD = "spread"


@dataclass(frozen=True, slots=True)
class Service:
    """Request routing policy of a service, and its long-running tasks.

    Attributes
    ----------
    slots, connections
        Maximum number of concurrent requests and of connections per endpoint, over all entry
        instances together.
    max_run_ms
        Longest time in milliseconds that an endpoint works on one request.
    queue_limit
        Maximum number of waiting requests per failure domain.
    default_timeout_ms
        Time in milliseconds until the deadline of requests without ``X-Request-Timeout-Ms``.
    idempotent
        Whether requests without ``X-Idempotent`` may be retried after they reached an endpoint.
    replicas
        Number of long-running tasks per failure domain; 0 when the platform runs the endpoints
        itself.
    resources
        Amounts that one replica needs.
    """

    name: str
    team: str
    slots: int = 8
    connections: int = 64
    max_run_ms: float = 10_000.0
    queue_limit: int = 1_000
    default_class: RequestClass = RequestClass.URGENT
    default_timeout_ms: float = 5_000.0
    idempotent: bool = False
    replicas: int = 0
    resources: Resources = Resources()


@dataclass(frozen=True, slots=True)
class JobDefinition:
    """A batch or gang job declared by a ticket.

    Attributes
    ----------
    domain
        Failure domain whose leader schedules the job.
    resources
        Amounts that one task needs.
    run_ms
        Declared run time of a task in milliseconds. It is only an estimate.
    command
        Opaque text passed to the worker agent.
    """

    name: str
    team: str
    domain: str
    kind: JobKind
    tasks: int
    resources: Resources
    job_class: RequestClass = RequestClass.DEFERRED
    run_ms: float = 60_000.0
    preemptible: bool = True
    command: str = ""


@dataclass(frozen=True, slots=True)
class Team:
    """A team and its quota over the whole cell."""

    name: str
    quota: Resources


@dataclass(frozen=True, slots=True)
class Policy:
    """Ranking and placement policy of the cell.

    Attributes
    ----------
    placement
        Placement policy by kind of job.
    domain_weights
        Fraction of every team quota that each failure domain may use. The sum is at most 1.
    preemptions_per_minute
        Maximum number of preemptions per minute and failure domain.
    gang_hold_ms
        Time in milliseconds for which workers are reserved for a waiting job. It doubles with every
        further reservation, up to a limit. Also the time within which the agents must have admitted
        all tasks of a started gang.
    reclaim
        Whether preemptible work may use resources that other tasks have declared but do not use.
    """

    name: str
    placement: Mapping[JobKind, PlacementPolicy] = field(default_factory=dict)
    domain_weights: Mapping[str, float] = field(default_factory=dict)
    preemptions_per_minute: int = 60
    gang_hold_ms: float = 30_000.0
    reclaim: bool = False


DEFAULT_POLICY_NAME = "default"


@dataclass(frozen=True, slots=True)
class Config:
    """The immutable configuration after the ticket with the number ``number``.

    Attributes
    ----------
    services, jobs, teams, policies
        The objects of each section by name.
    changed_by
        Maps ``"<section>/<object name>"`` to the number of the ticket that last set or removed the
        object.
    """

    number: int = 0
    services: Mapping[str, Service] = field(default_factory=dict)
    jobs: Mapping[str, JobDefinition] = field(default_factory=dict)
    teams: Mapping[str, Team] = field(default_factory=dict)
    policies: Mapping[str, Policy] = field(default_factory=dict)
    changed_by: Mapping[str, int] = field(default_factory=dict)

    @property
    def policy(self) -> Policy:
        """Return the cell's policy, or the built-in default."""
        return self.policies.get(DEFAULT_POLICY_NAME, Policy(DEFAULT_POLICY_NAME))

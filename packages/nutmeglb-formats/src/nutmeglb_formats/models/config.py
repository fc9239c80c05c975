"""Configuration in force: the result of applying tickets in order."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from nutmeglb_formats.models.resources import Resources


class RequestClass(StrEnum):
    """Class of a request or job. Urgent work is ranked before deferred work."""

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
        Limits of each endpoint over all entry instances together.
    max_run_ms
        Longest time in milliseconds that an endpoint works on one request.
    queue_limit
        Requests that may wait per failure domain.
    default_timeout_ms
        Deadline of requests without ``X-Request-Timeout-Ms``, in milliseconds.
    idempotent
        Whether requests without ``X-Idempotent`` may be retried after they reached an endpoint.
    replicas
        Long-running tasks per failure domain. Zero when the platform runs the endpoints itself.
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
        Failure domain whose leader owns the job.
    run_ms
        Declared run time of a task in milliseconds, an estimate only.
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
    """Quota of a team over the whole cell."""

    name: str
    quota: Resources


@dataclass(frozen=True, slots=True)
class Policy:
    """Ranking and placement policy of the cell.

    Attributes
    ----------
    domain_weights
        Share of every team quota that each failure domain may use. Weights sum to at most 1.
    preemptions_per_minute
        Upper bound per failure domain.
    reclaim
        Whether preemptible work may use declared but unused resources.
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
    """Immutable configuration after ticket ``number``. ``jobs`` maps a name to its definition.

    ``changed_by`` maps ``"<section>/<object name>"`` to the number of the ticket that last set or
    removed the object.
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

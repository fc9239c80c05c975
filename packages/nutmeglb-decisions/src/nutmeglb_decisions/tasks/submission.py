"""Validation and identifiers of new jobs."""

import hashlib
import math
import uuid

from nutmeglb_decisions.tasks.quotas import Quotas
from nutmeglb_formats.exceptions import JobRefused
from nutmeglb_formats.models.config import JobDefinition, JobKind, Policy, Service
from nutmeglb_formats.models.jobs import JobSpec

# Job ids are derived from what identifies a job to its owner. A repeated submission therefore
# yields the same job, even if the outcome of the first journal append was unknown.
JOB_ID_NAMESPACE = uuid.UUID("6f1d3c52-7d0f-4b0e-9a1c-2f0f8a3f5b77")
MAX_TASKS = 10_000
MAX_GANG_SIZE = 1_000
MAX_UNFINISHED_JOBS = 20_000


def submitted_job_id(domain: str, team: str, submission_id: str) -> str:
    """Return the id of a submitted job."""
    return _job_id(domain, "submission", team, submission_id)


def ticket_job_id(domain: str, name: str, ticket: int) -> str:
    """Return the id of the job that a ticket declared."""
    return _job_id(domain, "ticket", name, str(ticket))


def service_job_id(domain: str, name: str, ticket: int) -> str:
    """Return the id of the job that runs a service's replicas."""
    return _job_id(domain, "service", name, str(ticket))


def _job_id(domain: str, *parts: str) -> str:
    return f"{domain}.{uuid.uuid5(JOB_ID_NAMESPACE, chr(0).join((domain, *parts))).hex}"


def domain_of(job_id: str) -> str:
    """Return the failure domain that owns a job."""
    return job_id.rpartition(".")[0]


def choose_domain(team: str, submission_id: str, policy: Policy, local_domain: str) -> str:
    """Return the failure domain for a submission that does not name one.

    Uses weighted rendezvous hashing over the configured failure domains, so that every instance
    chooses the same one. Returns the local domain if none is configured.
    """
    best = (-math.inf, local_domain)
    for domain, weight in policy.domain_weights.items():
        if weight <= 0:
            continue
        data = chr(0).join((domain, team, submission_id)).encode()
        number = int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())
        best = max(best, (weight / -math.log((number + 1) / (2**64 + 1)), domain))
    return best[1]


def check_acceptable(spec: JobSpec, quotas: Quotas, jobs: int) -> JobRefused | None:
    """Return why a job cannot be accepted, or ``None`` if it can.

    A job that fits nowhere or exceeds its quota is accepted, because capacity and quotas may grow.
    """
    if quotas.limit(spec.team) is None:
        return _refused("The team is unknown", "File a ticket that declares the team", spec)
    limit = MAX_GANG_SIZE if spec.kind is JobKind.GANG else MAX_TASKS
    if not 1 <= spec.tasks <= limit:
        hint = f"Pass 1 to {limit} tasks"
        return _refused("The number of tasks is out of range", hint, spec, tasks=spec.tasks)
    resources = spec.resources
    if not resources.is_non_negative() or resources.cpu_millis + resources.memory_bytes <= 0:
        return _refused("The declared size is not positive", "Declare processors or memory", spec)
    if spec.kind is JobKind.SERVICE:
        return _refused("Services are declared by tickets", "File a ticket", spec)
    if jobs >= MAX_UNFINISHED_JOBS:
        hint = "Submit again when jobs have finished"
        return _refused(
            "The queue of the failure domain is full", hint, spec, limit=MAX_UNFINISHED_JOBS
        )
    return None


def _refused(text: str, hint: str, spec: JobSpec, **context: object) -> JobRefused:
    return JobRefused(text, context={"team": spec.team, "job": spec.name, **context}, hint=hint)


def spec_of_definition(definition: JobDefinition, ticket: int) -> JobSpec:
    """Return the spec of a job that a ticket declares."""
    return JobSpec(
        submission_id=f"ticket-{ticket}-{definition.name}",
        name=definition.name,
        team=definition.team,
        kind=definition.kind,
        tasks=definition.tasks,
        resources=definition.resources,
        job_class=definition.job_class,
        run_ms=definition.run_ms,
        preemptible=definition.preemptible,
        command=definition.command,
    )


def spec_of_service(service: Service, ticket: int) -> JobSpec:
    """Return the spec of the job that runs the replicas of a service."""
    return JobSpec(
        submission_id=f"service-{ticket}-{service.name}",
        name=service.name,
        team=service.team,
        kind=JobKind.SERVICE,
        tasks=service.replicas,
        resources=service.resources,
        job_class=service.default_class,
        run_ms=float("inf"),
        preemptible=False,
        command=f"service {service.name}",
    )

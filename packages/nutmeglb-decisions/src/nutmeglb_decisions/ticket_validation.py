"""Validation of a complete ticket against the configuration that would result from it."""

import math
from collections.abc import Callable, Iterator
from typing import Any

from nutmeglb_decisions.tasks.quotas import domain_limit
from nutmeglb_formats.exceptions import TicketInvalid
from nutmeglb_formats.models.config import (
    DEFAULT_POLICY_NAME,
    Config,
    JobDefinition,
    JobKind,
    Policy,
    Service,
    Team,
)
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.stored_ticket import NumberedTicket, encode_ticket
from nutmeglb_formats.models.ticket import TICKET_LIMIT_BYTES, Ticket

NAME_LIMIT_CHARACTERS = 100
TEXT_LIMIT_CHARACTERS = 10_000
MAX_COUNT = 1_000_000
WEIGHT_TOLERANCE = 1e-9
SECTIONS = ("services", "jobs", "teams", "policies")

Fault = tuple[str, str, str]


def validate(ticket: Ticket, before: Config, after: Config) -> TicketInvalid | None:
    """Return the first fault of a ticket, or ``None``.

    Parameters
    ----------
    before, after
        Configuration in force and the one that would result from the ticket.
    """
    for entry, message, hint in _faults(ticket, before, after):
        context = {"id": ticket.ticket_id, **({"object": entry} if entry else {})}
        return TicketInvalid(message, context=context, hint=hint)
    return None


def _faults(ticket: Ticket, before: Config, after: Config) -> Iterator[Fault]:
    yield from _envelope_faults(ticket)
    yield from _removal_faults(ticket, before)
    for section, check in _CHECKS.items():
        for item in getattr(ticket, section):
            entry = f"{section}/{item.name}"
            if not _is_name(item.name):
                yield entry, "The name is not valid", "Use 1 to 100 printable characters, no '/'"
            yield from ((entry, message, hint) for message, hint in check(item))
    yield from _reference_faults(after)
    yield from _quota_faults(ticket, after)


def _envelope_faults(ticket: Ticket) -> Iterator[Fault]:
    if not _is_name(ticket.ticket_id):
        yield "", "The id is not valid", "Use 1 to 100 printable characters, no '/'"
    if not ticket.author.strip() or not ticket.summary.strip():
        yield "", "Author and summary are required", "State who changes what, and why"
    if max(len(ticket.author), len(ticket.summary)) > TEXT_LIMIT_CHARACTERS:
        yield "", "Author or summary is too long", f"Use at most {TEXT_LIMIT_CHARACTERS} characters"
    if not ticket.touched():
        yield "", "The ticket changes nothing", "Set or remove an object"
    size = len(encode_ticket(NumberedTicket(0, ticket)))
    if size > TICKET_LIMIT_BYTES:
        yield (
            "",
            f"The ticket has {size} bytes",
            f"Split it; the limit is {TICKET_LIMIT_BYTES} bytes",
        )


def _removal_faults(ticket: Ticket, before: Config) -> Iterator[Fault]:
    defined = [f"{name}/{item.name}" for name in SECTIONS for item in getattr(ticket, name)]
    entries = [*defined, *ticket.removed]
    for entry in sorted({entry for entry in entries if entries.count(entry) > 1}):
        yield entry, "The object occurs twice", "Keep one of the two entries"
    for entry in ticket.removed:
        section, _, name = entry.partition("/")
        if section not in SECTIONS or name not in getattr(before, section):
            yield entry, "The removed object does not exist", "Remove the entry from the ticket"


def _is_name(name: str) -> bool:
    return 0 < len(name) <= NAME_LIMIT_CHARACTERS and name.isprintable() and "/" not in name


def _is_count(value: int, minimum: int) -> bool:
    return minimum <= value <= MAX_COUNT


def _is_duration(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _service_faults(service: Service) -> Iterator[tuple[str, str]]:
    if not _is_count(service.slots, 1):
        yield "slots is out of range", f"Use 1 to {MAX_COUNT}"
    if not service.slots <= service.connections <= MAX_COUNT:
        yield "connections is out of range", "Use at least as many connections as slots"
    if not _is_count(service.queue_limit, 1):
        yield "queue_limit is out of range", f"Use 1 to {MAX_COUNT}"
    if not _is_count(service.replicas, 0):
        yield "replicas is out of range", f"Use 0 to {MAX_COUNT}"
    if not _is_duration(service.max_run_ms) or not _is_duration(service.default_timeout_ms):
        yield "A duration is not positive", "Set max_run and default_timeout to positive durations"
    if not service.resources.is_non_negative():
        yield "A resource is negative", "Use amounts of at least 0"


def _job_faults(job: JobDefinition) -> Iterator[tuple[str, str]]:
    if job.kind not in (JobKind.BATCH, JobKind.GANG):
        yield "The kind is not allowed for a job", "Use batch or gang"
    if not _is_count(job.tasks, 1):
        yield "tasks is out of range", f"Use 1 to {MAX_COUNT}"
    if not _is_duration(job.run_ms):
        yield "run is not positive", "Set run to a positive duration"
    if not job.resources.is_non_negative() or job.resources == Resources():
        yield "The resources are not positive", "Declare the resources that one task needs"
    if len(job.command) > TEXT_LIMIT_CHARACTERS:
        yield "The command is too long", f"Use at most {TEXT_LIMIT_CHARACTERS} characters"


def _team_faults(team: Team) -> Iterator[tuple[str, str]]:
    if not team.quota.is_non_negative():
        yield "The quota is negative", "Use amounts of at least 0"


def _policy_faults(policy: Policy) -> Iterator[tuple[str, str]]:
    weights = policy.domain_weights.values()
    if any(not math.isfinite(weight) or weight < 0 for weight in weights):
        yield "A weight is negative", "Use weights of 0 to 1"
    elif sum(weights) > 1 + WEIGHT_TOLERANCE:
        yield "The weights sum to more than 1", "Lower them: their sum is at most 1"
    if not _is_count(policy.preemptions_per_minute, 0):
        yield "preemptions_per_minute is out of range", f"Use 0 to {MAX_COUNT}"
    if not _is_duration(policy.gang_hold_ms):
        yield "gang_hold is not positive", "Set gang_hold to a positive duration"


_CHECKS: dict[str, Callable[[Any], Iterator[tuple[str, str]]]] = {
    "services": _service_faults,
    "jobs": _job_faults,
    "teams": _team_faults,
    "policies": _policy_faults,
}


def _reference_faults(after: Config) -> Iterator[Fault]:
    domains = after.policy.domain_weights
    owners = [(f"services/{item.name}", item.team) for item in after.services.values()]
    owners += [(f"jobs/{item.name}", item.team) for item in after.jobs.values()]
    for entry, team in owners:
        if team not in after.teams:
            hint = f"Add team {team} in this ticket, or name another team"
            yield entry, "The team does not exist", hint
    for job in after.jobs.values():
        if domains and job.domain not in domains:
            hint = f"Add {job.domain} to domain_weights of policy {DEFAULT_POLICY_NAME}"
            yield f"jobs/{job.name}", "The failure domain has no weight", hint


def _quota_faults(ticket: Ticket, after: Config) -> Iterator[Fault]:
    """Yield a fault for every object that can never run within its team's quota.

    Only teams affected by the ticket are checked, so that an object accepted earlier does not
    block unrelated changes.
    """
    affected = {team.name for team in ticket.teams}
    affected |= {service.team for service in ticket.services}
    affected |= {job.team for job in ticket.jobs}
    if ticket.policies or any(entry.startswith("policies/") for entry in ticket.removed):
        affected = set(after.teams)
    for job in after.jobs.values():
        limit = _domain_quota(after, job.team, job.domain) if job.team in affected else None
        if limit is None:
            continue
        count = job.tasks if job.kind is JobKind.GANG else 1
        if not job.resources.scaled(count).fits_in(limit):
            subject = "The whole gang" if job.kind is JobKind.GANG else "A task"
            message = f"{subject} exceeds the team's quota in failure domain {job.domain}"
            yield f"jobs/{job.name}", message, f"Raise the quota of team {job.team}"
    for team in sorted(affected & set(after.teams)):
        yield from _replica_quota_faults(after, team)


def _replica_quota_faults(after: Config, team: str) -> Iterator[Fault]:
    replica_resources = Resources()
    for service in after.services.values():
        if service.team == team:
            replica_resources += service.resources.scaled(service.replicas)
    for domain in after.policy.domain_weights:
        limit = _domain_quota(after, team, domain)
        if limit is not None and not replica_resources.fits_in(limit):
            message = f"The services' replicas exceed the quota in failure domain {domain}"
            yield f"teams/{team}", message, "Raise the quota, or lower replicas or resources"


def _domain_quota(config: Config, team: str, domain: str) -> Resources | None:
    weights = config.policy.domain_weights
    if team not in config.teams or domain not in weights:
        return None
    return domain_limit(config.teams[team], weights[domain])

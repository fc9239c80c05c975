"""Writes tickets as ticket files, and compares two tickets as text."""

import difflib
from typing import Any

import yaml

from nutmeglb_formats.models.config import JobDefinition, Policy, Service, Team
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import TICKET_FORMAT, Ticket
from nutmeglb_formats.quantities import format_cpu, format_duration, format_memory

LINE_WIDTH = 1_000


def write_ticket(ticket: Ticket) -> str:
    """Return the ticket as YAML text that ``parse_ticket`` reads back to an equal ticket."""
    document: dict[str, Any] = {
        "format": TICKET_FORMAT,
        "id": ticket.ticket_id,
        "base": ticket.base,
        "author": ticket.author,
        "summary": ticket.summary,
    }
    present = {
        "services": {item.name: _service(item) for item in ticket.services},
        "jobs": {item.name: _job(item) for item in ticket.jobs},
        "teams": {item.name: _team(item) for item in ticket.teams},
        "policies": {item.name: _policy(item) for item in ticket.policies},
    }
    present = {section: objects for section, objects in present.items() if objects}
    if present:
        document["set"] = present
    if ticket.removed:
        document["remove"] = _removed(ticket.removed)
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True, width=LINE_WIDTH)


def diff_tickets(old: Ticket, new: Ticket, old_name: str, new_name: str) -> str:
    """Return the unified diff of the two ticket files, or an empty string if they are equal."""
    lines = difflib.unified_diff(
        write_ticket(old).splitlines(), write_ticket(new).splitlines(), old_name, new_name, "", ""
    )
    return "\n".join(line.rstrip("\n") for line in lines)


def _resources(resources: Resources) -> dict[str, Any]:
    return {
        "cpu": format_cpu(resources.cpu_millis),
        "memory": format_memory(resources.memory_bytes),
        "accelerators": resources.accelerators,
    }


def _service(service: Service) -> dict[str, Any]:
    return {
        "team": service.team,
        "slots": service.slots,
        "connections": service.connections,
        "max_run": format_duration(service.max_run_ms),
        "queue_limit": service.queue_limit,
        "default_class": service.default_class.value,
        "default_timeout": format_duration(service.default_timeout_ms),
        "idempotent": service.idempotent,
        "replicas": service.replicas,
        "resources": _resources(service.resources),
    }


def _job(job: JobDefinition) -> dict[str, Any]:
    return {
        "team": job.team,
        "domain": job.domain,
        "kind": job.kind.value,
        "tasks": job.tasks,
        "resources": _resources(job.resources),
        "class": job.job_class.value,
        "run": format_duration(job.run_ms),
        "preemptible": job.preemptible,
        "command": job.command,
    }


def _team(team: Team) -> dict[str, Any]:
    return {"quota": _resources(team.quota)}


def _policy(policy: Policy) -> dict[str, Any]:
    return {
        "placement": {kind.value: choice.value for kind, choice in policy.placement.items()},
        "domain_weights": dict(policy.domain_weights),
        "preemptions_per_minute": policy.preemptions_per_minute,
        "gang_hold": format_duration(policy.gang_hold_ms),
        "reclaim": policy.reclaim,
    }


def _removed(entries: tuple[str, ...]) -> dict[str, list[str]]:
    sections: dict[str, list[str]] = {}
    for entry in entries:
        section, _, name = entry.partition("/")
        sections.setdefault(section, []).append(name)
    return sections

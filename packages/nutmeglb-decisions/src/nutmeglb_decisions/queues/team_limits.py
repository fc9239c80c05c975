"""Limits of teams, as configured, and what they mean for a step."""

import math

from nutmeglb_formats.models.queues import QueueConfig, StepSpec, Team
from nutmeglb_formats.models.resources import Resources

# Stands for no limit on a resource.
UNLIMITED = 1 << 62


def effective_limit(team: Team) -> Resources | None:
    """Return the limit of a team, with ``UNLIMITED`` for 0, or ``None`` if it has no limit."""
    limit = team.limit
    if limit == Resources():
        return None
    return Resources(
        limit.cpu_millis or UNLIMITED,
        limit.memory_bytes or UNLIMITED,
        limit.accelerators or UNLIMITED,
    )


def effective_limits(config: QueueConfig) -> dict[str, Resources]:
    """Return the limits of all teams that have one."""
    limits = {name: effective_limit(team) for name, team in (config.teams or {}).items()}
    return {name: limit for name, limit in limits.items() if limit is not None}


def exceeds_limit(spec: StepSpec, limit: Resources) -> bool:
    """Return whether a step can never start, since one task or its whole gang exceeds a limit."""
    return not spec.needs.scaled(spec.count if spec.gang else 1).fits_in(limit)


def waves(spec: StepSpec, count: int, limit: Resources | None) -> int:
    """Return in how many rounds ``count`` tasks of a step run within the limit of their team."""
    if limit is None or spec.gang:
        return 1
    amounts = (
        (spec.needs.cpu_millis, limit.cpu_millis),
        (spec.needs.memory_bytes, limit.memory_bytes),
        (spec.needs.accelerators, limit.accelerators),
    )
    at_once = min((most // needed for needed, most in amounts if needed), default=count)
    return max(1, math.ceil(count / max(1, at_once)))

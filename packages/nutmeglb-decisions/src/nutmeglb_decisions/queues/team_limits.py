"""Limits of teams, as configured."""

from nutmeglb_formats.models.queues import QueueConfig, Team
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

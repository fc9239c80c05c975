"""Resources that teams use, compared with their limits. Shared by all schedulers of the product."""

from collections.abc import Mapping

from nutmeglb_formats.models.resources import Resources

NO_RESOURCES = Resources()


class TeamUse:
    """Limits and use of all teams.

    Parameters
    ----------
    limits
        Largest amount of each resource that a team may use, by team.
    """

    def __init__(self, limits: Mapping[str, Resources] | None = None) -> None:
        self._limits: Mapping[str, Resources] = limits or {}
        self._used: dict[str, Resources] = {}

    def limit(self, team: str) -> Resources | None:
        """Return a team's limit."""
        return self._limits.get(team)

    def limits(self) -> Mapping[str, Resources]:
        """Return the limits of all teams."""
        return self._limits

    def used(self, team: str) -> Resources:
        """Return the resources that a team uses."""
        return self._used.get(team, NO_RESOURCES)

    def admits(self, team: str, amount: Resources) -> bool:
        """Return whether a team may use ``amount`` more."""
        limit, used = self._limits.get(team), self.used(team)
        return (
            limit is not None
            and used.cpu_millis + amount.cpu_millis <= limit.cpu_millis
            and used.memory_bytes + amount.memory_bytes <= limit.memory_bytes
            and used.accelerators + amount.accelerators <= limit.accelerators
        )

    def share(self, team: str) -> float:
        """Return the dominant share of a team: use relative to its limit, 0 to 1."""
        limit = self._limits.get(team)
        return self.used(team).dominant_share(limit) if limit is not None else float("inf")

    def add(self, team: str, amount: Resources) -> None:
        """Add to a team's use, even beyond the limit."""
        self._used[team] = self.used(team) + amount

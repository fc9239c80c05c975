"""Limits of one failure domain on the resources that each team may use."""

from collections.abc import Mapping

from nutmeglb_decisions.invariants import QUOTA, require
from nutmeglb_formats.models.config import Config, Team
from nutmeglb_formats.models.resources import Resources

NO_RESOURCES = Resources()


def domain_limit(team: Team, weight: float) -> Resources:
    """Return the part of a team's quota that a domain of this weight may use, rounded down."""
    return Resources(
        int(team.quota.cpu_millis * weight),
        int(team.quota.memory_bytes * weight),
        int(team.quota.accelerators * weight),
    )


class Quotas:
    """Limits and use of all teams in one failure domain.

    Each domain has a fixed part of every quota, so that the sum over all domains stays within the
    quota without communication between them.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._limits: dict[str, Resources] = {}
        self._used: dict[str, Resources] = {}

    def configure(self, config: Config) -> None:
        """Set the limits from a configuration. Tasks above a lowered limit keep running."""
        weight = config.policy.domain_weights.get(self._domain, 0.0)
        self._limits = {name: domain_limit(team, weight) for name, team in config.teams.items()}

    def limit(self, team: str) -> Resources | None:
        """Return a team's limit in this failure domain."""
        return self._limits.get(team)

    def limits(self) -> Mapping[str, Resources]:
        """Return the limits of all teams."""
        return self._limits

    def used(self, team: str) -> Resources:
        """Return the resources that a team uses in this failure domain."""
        return self._used.get(team, NO_RESOURCES)

    def admits(self, team: str, resources: Resources) -> bool:
        """Return whether a team may use ``resources`` more."""
        limit = self._limits.get(team)
        return limit is not None and (self.used(team) + resources).fits_in(limit)

    def share(self, team: str) -> float:
        """Return the dominant share of a team: use relative to its limit, 0 to 1."""
        limit = self._limits.get(team)
        return self.used(team).dominant_share(limit) if limit is not None else float("inf")

    def charge(self, team: str, resources: Resources) -> None:
        """Add to a team's use.

        Raises
        ------
        InvariantViolation
            The team would exceed its limit.
        """
        require(self.admits(team, resources), QUOTA, "A start exceeds a team's quota", team=team)
        self.charge_existing(team, resources)

    def charge_existing(self, team: str, resources: Resources) -> None:
        """Add existing use, even beyond the limit."""
        self._used[team] = self.used(team) + resources

    def refund(self, team: str, resources: Resources) -> None:
        """Subtract from a team's use."""
        remaining_use = self.used(team) - resources
        require(remaining_use.is_non_negative(), QUOTA, "A team's use is below zero", team=team)
        self._used[team] = remaining_use

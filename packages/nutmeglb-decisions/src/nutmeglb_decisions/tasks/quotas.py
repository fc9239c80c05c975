"""Limits of one failure domain on the resources that each team may use."""

from nutmeglb_decisions.invariants import QUOTA, require
from nutmeglb_decisions.shares import TeamUse
from nutmeglb_formats.models.config import Config, Team
from nutmeglb_formats.models.resources import Resources


def domain_limit(team: Team, weight: float) -> Resources:
    """Return the part of a team's quota that a domain of this weight may use, rounded down."""
    return Resources(
        int(team.quota.cpu_millis * weight),
        int(team.quota.memory_bytes * weight),
        int(team.quota.accelerators * weight),
    )


class Quotas(TeamUse):
    """Limits and use of all teams in one failure domain.

    Each domain has a fixed part of every quota, so that the sum over all domains stays within the
    quota without communication between them.
    """

    def __init__(self, domain: str) -> None:
        super().__init__()
        self._domain = domain

    def configure(self, config: Config) -> None:
        """Set the limits from a configuration. Tasks above a lowered limit keep running."""
        weight = config.policy.domain_weights.get(self._domain, 0.0)
        self._limits = {name: domain_limit(team, weight) for name, team in config.teams.items()}

    def charge(self, team: str, resources: Resources) -> None:
        """Add to a team's use.

        Raises
        ------
        InvariantViolation
            The team would exceed its limit.
        """
        require(self.admits(team, resources), QUOTA, "A start exceeds a team's quota", team=team)
        self.add(team, resources)

    def refund(self, team: str, resources: Resources) -> None:
        """Subtract from a team's use."""
        remaining_use = self.used(team) - resources
        require(remaining_use.is_non_negative(), QUOTA, "A team's use is below zero", team=team)
        self._used[team] = remaining_use

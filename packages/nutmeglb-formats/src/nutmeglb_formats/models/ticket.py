"""Change tickets. A ticket contains the complete new state of every object that it sets."""

from dataclasses import dataclass

from nutmeglb_formats.models.config import JobDefinition, Policy, Service, Team

TICKET_FORMAT = 1
TICKET_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket as filed. Its number is its position in the ticket log.

    Attributes
    ----------
    ticket_id
        Unique id chosen by the author. The same ticket filed twice with one id counts once.
    base
        Number of the last ticket that the author knew. Later changes to the same objects conflict.
    removed
        Objects to remove, as ``"<section>/<object name>"``.
    """

    ticket_id: str
    base: int
    author: str
    summary: str
    services: tuple[Service, ...] = ()
    jobs: tuple[JobDefinition, ...] = ()
    teams: tuple[Team, ...] = ()
    policies: tuple[Policy, ...] = ()
    removed: tuple[str, ...] = ()

    def touched(self) -> frozenset[str]:
        """Return all objects that the ticket sets or removes, as ``"<section>/<object name>"``."""
        names = {f"services/{service.name}" for service in self.services}
        names |= {f"jobs/{job.name}" for job in self.jobs}
        names |= {f"teams/{team.name}" for team in self.teams}
        names |= {f"policies/{policy.name}" for policy in self.policies}
        return frozenset(names | set(self.removed))

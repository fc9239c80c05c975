"""Change tickets: the whole new state of every object that they touch."""

from dataclasses import dataclass

from nutmeglb_formats.models.config import JobDefinition, Policy, Service, Team

TICKET_FORMAT = 1
TICKET_LIMIT_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket as filed. It gets its number from its position in the log.

    Attributes
    ----------
    ticket_id
        Unique id chosen by the author. The same id filed twice is one ticket.
    base
        Number of the last ticket that the author had seen.
    removed
        Removed objects as ``"<section>/<object name>"``.
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
        """Return every object set or removed, as ``"<section>/<object name>"``."""
        names = {f"services/{service.name}" for service in self.services}
        names |= {f"jobs/{job.name}" for job in self.jobs}
        names |= {f"teams/{team.name}" for team in self.teams}
        names |= {f"policies/{policy.name}" for policy in self.policies}
        return frozenset(names | set(self.removed))

"""Services that the administration API calls and other components implement."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from result import Result

from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.admin import FiledTicket, InstanceView, TeamView, WorkerView
from nutmeglb_formats.models.events import Event, EventFilter
from nutmeglb_formats.models.jobs import JobSpec, JobView
from nutmeglb_formats.models.ticket import Ticket


class TicketService(Protocol):
    """The ticket log."""

    async def file(self, ticket: Ticket) -> Result[int, NutmegError]:
        """Validate and propose a ticket. Return its number.

        Errors are ``TicketInvalid``, ``TicketConflict`` and ``StoreError``.
        """

    async def check(self, ticket: Ticket) -> Result[None, NutmegError]:
        """Validate a ticket against the configuration in force without filing it."""

    async def get(self, number: int) -> Result[FiledTicket, NutmegError]:
        """Return an accepted ticket, or ``NotFound``."""

    async def list(self, limit: int) -> Result[Sequence[FiledTicket], NutmegError]:
        """Return the latest accepted tickets, latest first."""


class JobService(Protocol):
    """Jobs of all failure domains. ``team`` is ``None`` for an operator.

    A team receives ``PermissionRefused`` or ``NotFound`` for the jobs of another team.
    """

    async def submit(
        self, spec: JobSpec, domain: str | None = None
    ) -> Result[JobView, NutmegError]:
        """Accept a job in a failure domain, by default in that of this instance."""

    async def cancel(self, job_id: str, team: str | None) -> Result[JobView, NutmegError]:
        """Cancel a job."""

    async def show(self, job_id: str, team: str | None) -> Result[JobView, NutmegError]:
        """Return a job."""

    async def list(self, team: str | None, limit: int) -> Result[Sequence[JobView], NutmegError]:
        """Return the latest jobs, latest first."""

    async def workers(self) -> Result[Sequence[WorkerView], NutmegError]:
        """Return the workers of all reachable failure domains."""

    async def teams(self) -> Result[Sequence[TeamView], NutmegError]:
        """Return quota and use of all teams."""


class StatusService(Protocol):
    """State of this instance and its view of the others."""

    def identity(self) -> tuple[str, str]:
        """Return instance id and failure domain."""

    def status(self) -> Mapping[str, Mapping[str, Any]]:
        """Return the status values per component."""

    def instances(self) -> Sequence[InstanceView]:
        """Return all known entry instances, including this one."""

    def ticket_number(self) -> int:
        """Return the number of the last ticket in force here."""

    def ready(self) -> bool:
        """Return whether the instance accepts requests: configured and not draining."""


class EventQuery(Protocol):
    """Queries on the timeline of this instance."""

    def query(self, event_filter: EventFilter, limit: int) -> Sequence[Event]:
        """Return the latest matching events, oldest first."""


@dataclass(frozen=True, slots=True)
class AdminServices:
    """Services that the administration API calls.

    Attributes
    ----------
    render_metrics
        Returns the rendered metrics and their HTTP headers for the given ``Accept`` values.
    """

    tickets: TicketService
    jobs: JobService
    status: StatusService
    events: EventQuery
    render_metrics: Callable[[Sequence[str]], tuple[bytes, Mapping[str, str]]]

"""In-memory services for tests of the administration API."""

import contextlib
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.admin.server import AdminServer
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb._internal.settings.models import MachineSection, TokensSection
from nutmeglb._internal.telemetry.events import EventRing
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_formats.clock import Clock, ManualClock
from nutmeglb_formats.exceptions import NotFound, NutmegError, TicketConflict
from nutmeglb_formats.models.admin import FiledTicket, InstanceView, TeamView, WorkerView
from nutmeglb_formats.models.jobs import JobSpec, JobState, JobView, WaitReason
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket

OPERATOR, COUNTERS, LABS = "operator-token-1", "counters-token-1", "labs-token-1"
TOKENS = TokensSection.model_validate(
    {"operator": OPERATOR, "team.counters": COUNTERS, "team.labs": LABS}
)


class FakeTickets:
    """Ticket log that refuses a ticket if one after its base has changed the same object."""

    def __init__(self) -> None:
        self.filed: list[FiledTicket] = []
        self.failure: NutmegError | None = None

    async def file(self, ticket: Ticket) -> Result[int, NutmegError]:
        if self.failure is not None:
            return Err(self.failure)
        for filed in self.filed:
            if filed.ticket.ticket_id == ticket.ticket_id:
                return Ok(filed.number)
        checked = await self.check(ticket)
        if isinstance(checked, Err):
            return checked
        self.filed.append(FiledTicket(len(self.filed) + 1, ticket))
        return Ok(len(self.filed))

    async def check(self, ticket: Ticket) -> Result[None, NutmegError]:
        for filed in self.filed[ticket.base :]:
            if filed.ticket.ticket_id == ticket.ticket_id:
                continue
            shared = sorted(filed.ticket.touched() & ticket.touched())
            if shared:
                context = {"ticket": filed.number, "object": shared[0]}
                hint = f"Read ticket {filed.number}, then write yours against it"
                message = "A later ticket changed the same object"
                return Err(TicketConflict(message, context=context, hint=hint))
        return Ok(None)

    async def get(self, number: int) -> Result[FiledTicket, NutmegError]:
        if 1 <= number <= len(self.filed):
            return Ok(self.filed[number - 1])
        return Err(NotFound("The ticket does not exist", hint="Run 'nutmegctl ticket list'"))

    async def list(self, limit: int) -> Result[Sequence[FiledTicket], NutmegError]:
        return Ok(self.filed[::-1][:limit])


class FakeJobs:
    """Jobs that wait until they are cancelled or finished by the test."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobView] = {}

    async def submit(
        self, spec: JobSpec, domain: str | None = None
    ) -> Result[JobView, NutmegError]:
        job_id = f"{domain or 'a'}.{spec.submission_id}"
        view = JobView(job_id, spec, JobState.WAITING, spec.tasks, 0, 0, 1_000.0)
        return Ok(self.jobs.setdefault(job_id, view))

    async def cancel(self, job_id: str, team: str | None) -> Result[JobView, NutmegError]:
        found = await self.show(job_id, team)
        if isinstance(found, Ok):
            self.set_state(job_id, JobState.CANCELLED)
            return Ok(self.jobs[job_id])
        return found

    async def show(self, job_id: str, team: str | None) -> Result[JobView, NutmegError]:
        view = self.jobs.get(job_id)
        if view is None or team not in (None, view.spec.team):
            return Err(NotFound("The job does not exist", hint="Run 'nutmegctl job list'"))
        return Ok(view)

    async def list(self, team: str | None, limit: int) -> Result[Sequence[JobView], NutmegError]:
        return Ok([v for v in self.jobs.values() if team in (None, v.spec.team)][:limit])

    async def workers(self) -> Result[Sequence[WorkerView], NutmegError]:
        capacity = Resources(16_000, 64 * 1024**3)
        return Ok([WorkerView("w1", "a", "rack-1", "live", 2, capacity, Resources(4_000, 1024**3))])

    async def teams(self) -> Result[Sequence[TeamView], NutmegError]:
        quota = Resources(16_000, 64 * 1024**3)
        return Ok([TeamView(name, quota, Resources()) for name in ("counters", "labs")])

    def set_state(self, job_id: str, state: JobState) -> None:
        view = self.jobs[job_id]
        why = "Waits for the store" if state is JobState.WAITING else ""
        reason = WaitReason.STORE_OUTAGE if why else WaitReason.NONE
        self.jobs[job_id] = JobView(
            job_id, view.spec, state, 0, 0, 0, view.submitted_ms, reason, why
        )


class FakeStatus:
    """Status of an instance on which every filed ticket is in force."""

    def __init__(self, tickets: FakeTickets) -> None:
        self._tickets = tickets
        self.is_ready = True
        self.views: list[InstanceView] = []

    def identity(self) -> tuple[str, str]:
        return "e1", "a"

    def status(self) -> Mapping[str, Mapping[str, Any]]:
        return {"leadership": {"leader": "e1", "epoch": 3, "mode": "store"}}

    def instances(self) -> Sequence[InstanceView]:
        return self.views

    def ticket_number(self) -> int:
        return len(self._tickets.filed)

    def ready(self) -> bool:
        return self.is_ready


class AdminFixture:
    """Administration server with in-memory services."""

    def __init__(self) -> None:
        self.tickets = FakeTickets()
        self.jobs = FakeJobs()
        self.status = FakeStatus(self.tickets)
        self.events = EventRing("e1", ManualClock(1_000), 100)
        self.metrics = MetricsRegistry()
        services = AdminServices(
            self.tickets, self.jobs, self.status, self.events, self.metrics.render
        )
        self.server = AdminServer(
            "127.0.0.1:0", TOKENS, services, MachineSection(), Clock(), MetricsRegistry()
        )


@contextlib.asynccontextmanager
async def running_admin() -> AsyncIterator[AdminFixture]:
    """Run an administration server on a free port until the block ends."""
    fixture = AdminFixture()
    await fixture.server.start()
    try:
        yield fixture
    finally:
        await fixture.server.stop()

"""Handlers of commands. All are POST."""

import asyncio
from http import HTTPStatus

from result import Err

from nutmeglb._internal.admin.handlers import AdminHandler, CallRefused, logger
from nutmeglb_formats.exceptions import PermissionRefused
from nutmeglb_formats.models.admin import JobAnswer, JobRequest, TicketAnswer
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.ticket_file import ParseResult, parse_ticket_incrementally


class TicketHandler(AdminHandler):
    """Base of the handlers whose request body is a ticket file."""

    operators_only = True

    async def ticket(self) -> Ticket:
        """Return the ticket in the body. Yields to the event loop between the steps of parsing."""
        steps = parse_ticket_incrementally(self.body_text())
        while True:
            try:
                next(steps)
            except StopIteration as stop_iteration:
                return self._unwrap_parsed(stop_iteration.value)
            await asyncio.sleep(0)

    def _unwrap_parsed(self, parsed: ParseResult) -> Ticket:
        if isinstance(parsed, Err):
            raise CallRefused(parsed.err_value)
        return parsed.ok_value


class CheckTicketHandler(TicketHandler):
    """``POST /v1/tickets/check``."""

    async def post(self) -> None:
        """Validate a ticket without filing it."""
        ticket = await self.ticket()
        self.unwrap(await self.services.tickets.check(ticket))
        self.respond(TicketAnswer(touched=sorted(ticket.touched())))


class FileTicketHandler(TicketHandler):
    """``POST /v1/tickets``."""

    async def post(self) -> None:
        """File a ticket. Filing the same ticket id again returns the same number."""
        ticket = await self.ticket()
        number = self.unwrap(await self.services.tickets.file(ticket))
        logger.info("Ticket accepted", ticket=number, id=ticket.ticket_id, author=ticket.author)
        self.respond(
            TicketAnswer(number=number, touched=sorted(ticket.touched())), HTTPStatus.CREATED
        )


class SubmitJobHandler(AdminHandler):
    """``POST /v1/jobs``."""

    async def post(self) -> None:
        """Submit a job. Submitting the same submission id again returns the same job."""
        request = self.body_as(JobRequest)
        if not self.identity.may_act_for(request.team):
            hint = f"Submit as team {self.identity.team}"
            raise CallRefused([PermissionRefused("The token belongs to another team", hint=hint)])
        view = self.unwrap(await self.services.jobs.submit(request.to_spec(), request.domain))
        self.respond(JobAnswer(job=view), HTTPStatus.CREATED)


class CancelJobHandler(AdminHandler):
    """``POST /v1/jobs/<id>/cancel``."""

    async def post(self, job_id: str) -> None:
        """Cancel a job. Repeating it has no further effect."""
        view = self.unwrap(await self.services.jobs.cancel(job_id, self.identity.team))
        self.respond(JobAnswer(job=view))

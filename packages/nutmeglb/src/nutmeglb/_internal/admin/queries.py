"""Handlers of queries. All are GET."""

import json
from http import HTTPStatus
from importlib import metadata

from tornado import web

from nutmeglb._internal.admin.handlers import AdminHandler, CallRefused
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb_formats.exceptions import NotFound
from nutmeglb_formats.models.admin import (
    FiledTicket,
    FiledTicketAnswer,
    JobAnswer,
    JobListAnswer,
    StatusAnswer,
    TeamListAnswer,
    TicketListAnswer,
    TicketSummary,
    TimelineAnswer,
    WhyAnswer,
    WorkerListAnswer,
)
from nutmeglb_formats.models.events import EventFilter
from nutmeglb_formats.models.jobs import JobView

MAX_WHY_EVENTS = 20
MAX_TICKET_NUMBER = 9_999_999_999


class TicketListHandler(AdminHandler):
    """``GET /v1/tickets``."""

    parameters = ("limit",)
    operators_only = True

    async def get(self) -> None:
        """Respond with the latest tickets."""
        filed = self.unwrap(await self.services.tickets.list(self.limit()))
        self.respond(TicketListAnswer(tickets=[_summary(item) for item in filed]))


class TicketShowHandler(AdminHandler):
    """``GET /v1/tickets/<n>``."""

    operators_only = True

    async def get(self, number: str) -> None:
        """Respond with one ticket."""
        filed = self.unwrap(await self.services.tickets.get(int(number)))
        self.respond(FiledTicketAnswer(number=filed.number, ticket=filed.ticket))


class JobListHandler(AdminHandler):
    """``GET /v1/jobs``."""

    parameters = ("limit", "team")

    async def get(self) -> None:
        """Respond with the latest jobs. A team receives only its own."""
        team = self.identity.team
        if team is None:
            team = self.text_parameter("team")
        views = self.unwrap(await self.services.jobs.list(team, self.limit()))
        self.respond(JobListAnswer(jobs=[view for view in views if self._may_see(view)]))

    def _may_see(self, view: JobView) -> bool:
        return self.identity.may_act_for(view.spec.team)


class JobQueryHandler(AdminHandler):
    """Base of the handlers for one job."""

    async def job(self, job_id: str) -> JobView:
        """Return a job. A job of another team is reported as not found."""
        view = self.unwrap(await self.services.jobs.show(job_id, self.identity.team))
        if not self.identity.may_act_for(view.spec.team):
            hint = "Run 'nutmegctl job list' for the jobs of your team"
            raise CallRefused(
                [NotFound("The job does not exist", context={"job": job_id}, hint=hint)]
            )
        return view


class JobShowHandler(JobQueryHandler):
    """``GET /v1/jobs/<id>``."""

    async def get(self, job_id: str) -> None:
        """Respond with one job."""
        self.respond(JobAnswer(job=await self.job(job_id)))


class JobWhyHandler(JobQueryHandler):
    """``GET /v1/jobs/<id>/why``."""

    async def get(self, job_id: str) -> None:
        """Respond with the reason why a job waits and its latest events on this instance."""
        view = await self.job(job_id)
        events = self.services.events.query(EventFilter(job=job_id), MAX_WHY_EVENTS)
        self.respond(
            WhyAnswer(
                job_id=job_id,
                state=view.state.value,
                wait_reason=view.wait_reason.value,
                why=view.why,
                events=list(events),
            )
        )


class WorkersHandler(AdminHandler):
    """``GET /v1/workers``."""

    operators_only = True

    async def get(self) -> None:
        """Respond with the workers of all reachable failure domains."""
        workers = self.unwrap(await self.services.jobs.workers())
        self.respond(WorkerListAnswer(workers=list(workers)))


class TeamsHandler(AdminHandler):
    """``GET /v1/teams``."""

    async def get(self) -> None:
        """Respond with quota and use of all teams. A team receives only its own."""
        teams = self.unwrap(await self.services.jobs.teams())
        visible = [team for team in teams if self.identity.may_act_for(team.name)]
        self.respond(TeamListAnswer(teams=visible))


class StatusHandler(AdminHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        """Respond with the state of this instance and its view of the others."""
        status = self.services.status
        instance_id, domain = status.identity()
        self.respond(
            StatusAnswer(
                instance_id=instance_id,
                domain=domain,
                version=metadata.version("nutmeglb"),
                ready=status.ready(),
                ticket=status.ticket_number(),
                components={name: dict(values) for name, values in status.status().items()},
                instances=list(status.instances()),
            )
        )


class TimelineHandler(AdminHandler):
    """``GET /v1/timeline``."""

    parameters = ("request", "task", "job", "ticket", "worker", "endpoint", "kind", "limit")
    operators_only = True

    def get(self) -> None:
        """Respond with the latest matching events of this instance."""
        event_filter = EventFilter(
            request=self.text_parameter("request"),
            task=self.text_parameter("task"),
            job=self.text_parameter("job"),
            ticket=self.integer_parameter("ticket", 0, MAX_TICKET_NUMBER),
            worker=self.text_parameter("worker"),
            endpoint=self.text_parameter("endpoint"),
            kind=self.text_parameter("kind"),
        )
        events = self.services.events.query(event_filter, self.limit())
        self.respond(TimelineAnswer(events=list(events)))


class PublicHandler(web.RequestHandler):
    """Base of the handlers without authentication, for the balancer and the metrics collector."""

    def initialize(self, services: AdminServices) -> None:
        """Store the arguments that the server passes."""
        self.services = services


class MetricsHandler(PublicHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Respond with the metrics."""
        body, headers = self.services.render_metrics(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.finish(body)


class HealthHandler(PublicHandler):
    """``GET /healthz``."""

    def get(self) -> None:
        """Respond with 200, which shows that the event loop runs."""
        self.finish(json.dumps({"healthy": True}))


class ReadyHandler(PublicHandler):
    """``GET /readyz``."""

    def get(self) -> None:
        """Respond with 200 when the instance accepts requests, otherwise with 503."""
        ready = self.services.status.ready()
        self.set_status(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)
        self.finish(json.dumps({"ready": ready}))


def _summary(filed: FiledTicket) -> TicketSummary:
    ticket = filed.ticket
    return TicketSummary(
        number=filed.number,
        id=ticket.ticket_id,
        author=ticket.author,
        summary=ticket.summary,
        touched=sorted(ticket.touched()),
    )

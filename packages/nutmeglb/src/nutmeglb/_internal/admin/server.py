"""Listener of the administration API."""

from collections.abc import Mapping
from typing import Any

from tornado import httputil, routing, web

from nutmeglb._internal.admin import commands, queries
from nutmeglb._internal.admin.authentication import Authenticator
from nutmeglb._internal.admin.handlers import AdminHandler, UnknownPathHandler, logger
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb._internal.context import Metrics
from nutmeglb._internal.intake.listener import BoundedListener
from nutmeglb._internal.intake.requests import RequestCosts
from nutmeglb._internal.settings.models import MachineSection, TokensSection
from nutmeglb_decisions.intake.limits import divide_descriptors, limit_listener
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.ticket import TICKET_LIMIT_BYTES

# A ticket is the largest body.
BODY_LIMIT_BYTES = TICKET_LIMIT_BYTES
HEADER_LIMIT_BYTES = 16 * 1024
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
# A ticket or a job is held as text and as what it is decoded into. Metrics and lists of jobs and
# workers are the largest answers.
COSTS = RequestCosts(
    BODY_LIMIT_BYTES, HEADER_LIMIT_BYTES, processing_factor=4.0, answer_bytes=256 * 1_024
)
# Part of the memory for clients.
INTAKE_SHARE = 0.35

_ID_PATTERN = r"([A-Za-z0-9._-]{1,200})"
_AUTHENTICATED_PATHS: tuple[tuple[str, str, type[AdminHandler]], ...] = (
    ("POST", "/v1/tickets", commands.FileTicketHandler),
    ("POST", "/v1/tickets/check", commands.CheckTicketHandler),
    ("POST", "/v1/jobs", commands.SubmitJobHandler),
    ("POST", f"/v1/jobs/{_ID_PATTERN}/cancel", commands.CancelJobHandler),
    ("GET", "/v1/tickets", queries.TicketListHandler),
    ("GET", r"/v1/tickets/([0-9]{1,10})", queries.TicketShowHandler),
    ("GET", "/v1/jobs", queries.JobListHandler),
    ("GET", f"/v1/jobs/{_ID_PATTERN}", queries.JobShowHandler),
    ("GET", f"/v1/jobs/{_ID_PATTERN}/why", queries.JobWhyHandler),
    ("GET", "/v1/status", queries.StatusHandler),
    ("GET", "/v1/workers", queries.WorkersHandler),
    ("GET", "/v1/teams", queries.TeamsHandler),
    ("GET", "/v1/timeline", queries.TimelineHandler),
)
_PUBLIC_PATHS: tuple[tuple[str, type[web.RequestHandler]], ...] = (
    ("/metrics", queries.MetricsHandler),
    ("/healthz", queries.HealthHandler),
    ("/readyz", queries.ReadyHandler),
)


class MethodAndPathMatches(routing.PathMatches):
    """Matches a path and a method, so that commands and queries have separate handlers."""

    def __init__(self, method: str, path: str) -> None:
        super().__init__(path)
        self._method = method

    def match(self, request: httputil.HTTPServerRequest) -> dict[str, Any] | None:
        """Return the arguments of the handler, or ``None`` if the rule does not match."""
        return super().match(request) if request.method == self._method else None


class AdminServer:
    """Component that serves the administration API.

    Parameters
    ----------
    address
        ``ip:port`` to listen on. Port 0 picks a free port.
    """

    name = "admin"

    def __init__(
        self,
        address: str,
        tokens: TokensSection,
        services: AdminServices,
        machine: MachineSection,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._listen_address = address
        self._services = services
        descriptors = divide_descriptors(machine.max_descriptors).health
        self._listener = BoundedListener(
            "admin",
            _create_application(services, Authenticator(tokens)),
            limit_listener(
                machine.memory_mb, INTAKE_SHARE, descriptors, COSTS.largest_request_bytes
            ),
            COSTS,
            clock,
            metrics,
            idle_timeout_s=IDLE_TIMEOUT_S,
            body_timeout_s=BODY_TIMEOUT_S,
        )
        self._bound_address = ""

    @property
    def address(self) -> str:
        """Return the bound ``ip:port``, empty before the start."""
        return self._bound_address

    async def start(self) -> None:
        """Bind the listener and start to serve.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        self._bound_address = self._listener.listen(self._listen_address)
        logger.info("Listening", address=self._bound_address)

    async def drain(self, deadline_ms: float) -> None:
        """Keep serving: operators monitor the drain, and ``/readyz`` returns 503 during it."""

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._listener.close()

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""
        return {"address": self._bound_address}


def _create_application(services: AdminServices, authenticator: Authenticator) -> web.Application:
    closed = {"services": services, "authenticator": authenticator}
    rules: list[Any] = [
        routing.Rule(MethodAndPathMatches(method, path), handler, closed)
        for method, path, handler in _AUTHENTICATED_PATHS
    ]
    rules += [(path, handler, {"services": services}) for path, handler in _PUBLIC_PATHS]
    return web.Application(
        rules,
        default_handler_class=UnknownPathHandler,
        default_handler_args=closed,
        log_function=_log_call,
    )


def _log_call(handler: web.RequestHandler) -> None:
    logger.debug("Call", path=handler.request.path, status=handler.get_status())

"""Listener of the administration API."""

from collections.abc import Mapping
from typing import Any

from tornado import httpserver, httputil, netutil, routing, web

from nutmeglb._internal.admin import commands, queries
from nutmeglb._internal.admin.authentication import Authenticator
from nutmeglb._internal.admin.handlers import AdminHandler, UnknownPathHandler, logger
from nutmeglb._internal.admin.services import AdminServices
from nutmeglb._internal.settings.models import TokensSection
from nutmeglb_formats.models.ticket import TICKET_LIMIT_BYTES

# A ticket is the largest body.
BODY_LIMIT_BYTES = TICKET_LIMIT_BYTES
HEADER_LIMIT_BYTES = 16 * 1024
BODY_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0

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

    def __init__(self, address: str, tokens: TokensSection, services: AdminServices) -> None:
        self._listen_address = address
        self._services = services
        self._application = _create_application(services, Authenticator(tokens))
        self._server: httpserver.HTTPServer | None = None
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
        host, _, port = self._listen_address.rpartition(":")
        sockets = netutil.bind_sockets(int(port), host.strip("[]"))
        self._server = httpserver.HTTPServer(
            self._application,
            max_body_size=BODY_LIMIT_BYTES,
            max_header_size=HEADER_LIMIT_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self._server.add_sockets(sockets)
        self._bound_address = f"{host}:{sockets[0].getsockname()[1]}"
        logger.info("Listening", address=self._bound_address)

    async def drain(self, deadline_ms: float) -> None:
        """Keep serving: operators monitor the drain, and ``/readyz`` returns 503 during it."""

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None

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

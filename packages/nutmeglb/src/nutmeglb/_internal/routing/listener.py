"""HTTP listener for requests of callers."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPServerRequest
from tornado.web import Application, RequestHandler, stream_request_body

from nutmeglb._internal.context import Context
from nutmeglb._internal.intake.listener import BoundedListener
from nutmeglb._internal.intake.requests import Refusal, RequestCosts
from nutmeglb._internal.routing.exchange import REQUEST_ID_HEADER, Payload
from nutmeglb._internal.routing.runner import IncomingRequest, RequestRunner, RunningRequest
from nutmeglb_decisions.intake.limits import divide_descriptors, limit_listener
from nutmeglb_decisions.routing.request_types import Answer, RequestInfo
from nutmeglb_formats.identifiers import new_id
from nutmeglb_formats.models.config import RequestClass, Service
from nutmeglb_formats.wire.routing import RefusalReason, RequestOutcome

MAX_TIMEOUT_MS = 3_600_000.0
KEY_LIMIT_CHARACTERS = 256
CALLER_LIMIT_CHARACTERS = 128
OUTCOME_HEADER = "X-Request-Outcome"
# An oversized body is read and discarded up to this multiple of the limit, so that the caller can
# read the refusal. Beyond it the connection is closed.
DISCARD_FACTOR = 4
HEADER_LIMIT_BYTES = 64 * 1_024
# A body is held once while it is read, and twice while it is forwarded to an endpoint.
PROCESSING_FACTOR = 4.0
# Part of the memory for clients.
INTAKE_SHARE = 0.5
# Disables tornado's own limit, which refuses a body without an outcome header and a reason.
UNLIMITED_BYTES = 1 << 62
CONSUMED_HEADERS = frozenset(
    {
        "x-request-class",
        "x-request-timeout-ms",
        "x-caller",
        "x-idempotent",
        "x-request-id",
        "host",
    }
)
CONFLICT_REASONS = frozenset({RefusalReason.KEY_IN_PROGRESS, RefusalReason.KEY_REUSED})
HINTS = {
    RefusalReason.QUEUE_FULL: "Retry later or raise the service's queue_limit",
    RefusalReason.TOO_LATE: "Retry later or with a longer X-Request-Timeout-Ms",
    RefusalReason.SHED: "Retry later; requests of a higher class went first",
    RefusalReason.NO_ENDPOINT: "Check that the service has live endpoints in the instance list",
    RefusalReason.UNKNOWN_SERVICE: "File a ticket that declares the service",
    RefusalReason.KEY_IN_PROGRESS: "Wait for the first request with this Idempotency-Key",
    RefusalReason.KEY_REUSED: "Use a new Idempotency-Key for a different request",
    RefusalReason.KEY_UNAVAILABLE: "Retry later with the same Idempotency-Key",
    RefusalReason.BODY_TOO_LARGE: "Send a body within routing.body_limit_bytes",
}
NOT_RUN_HINT = "The request was not run; it is safe to retry"
NO_MEMORY_HINT = "Retry later; requests of other callers take up the memory of this instance"
UNKNOWN_HINT = "The request may have run; check its effect before a retry"


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A request that cannot be accepted."""

    status: HTTPStatus
    reason: str
    hint: str


class CallerListener:
    """HTTP server for ``/services/<service>/<path>``."""

    name = "listener"

    def __init__(self, ctx: Context, runner: RequestRunner) -> None:
        self._ctx = ctx
        self._runner = runner
        self._is_draining = False
        self._listener: BoundedListener | None = None
        self._address = ""

    @property
    def bound_address(self) -> str:
        """Return ``ip:port`` of the listener."""
        return self._address

    async def start(self) -> None:
        """Bind the listener."""
        routes = [(r"/services/[^/]+(?:/.*)?", CallerHandler, {"listener": self})]
        # There is no access log: outcomes are in the metrics and the timeline.
        application = Application(
            routes, default_handler_class=UnknownPathHandler, log_function=lambda handler: None
        )
        machine = self._ctx.settings.machine
        costs = RequestCosts(
            self.body_limit_bytes, HEADER_LIMIT_BYTES, PROCESSING_FACTOR, parses_forms=True
        )
        limits = limit_listener(
            machine.memory_mb,
            INTAKE_SHARE,
            divide_descriptors(machine.max_descriptors).callers,
            costs.largest_request_bytes,
        )
        self._listener = BoundedListener(
            "caller",
            application,
            limits,
            costs,
            self._ctx.clock,
            self._ctx.metrics,
            _no_memory_refusal(),
            max_body_bytes=UNLIMITED_BYTES,
        )
        self._address = self._listener.listen(self._ctx.settings.listen.caller)

    async def drain(self, deadline_ms: float) -> None:
        """Stop accepting connections and finish the requests in flight.

        Requests on open connections are still served, and each response closes its connection.
        """
        self._is_draining = True
        if self._listener is not None:
            self._listener.stop_accepting()
        await self._runner.drain(deadline_ms)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    def status(self) -> Mapping[str, object]:
        """Return the address and whether the listener is draining."""
        return {"address": self._address, "draining": self._is_draining}

    @property
    def draining(self) -> bool:
        """Return whether the listener is draining."""
        return self._is_draining

    @property
    def body_limit_bytes(self) -> int:
        """Return the largest accepted body."""
        return self._ctx.settings.routing.body_limit_bytes

    def new_request_id(self) -> str:
        """Return a unique request id."""
        return new_id(self._ctx.rng)

    async def run(self, incoming: IncomingRequest, handler: "CallerHandler") -> Answer:
        """Run a request and return its answer."""
        return await self._runner.run(incoming, handler.set_running_request)

    def parse(
        self, request_id: str, request: HTTPServerRequest, body: bytes
    ) -> IncomingRequest | InvalidRequest:
        """Return the request, or why it is refused."""
        _, _, name, *rest = (request.uri or "").split("/", 3)
        name, _, query = name.partition("?")
        service = self._ctx.config.current().services.get(name)
        if service is None:
            reason = RefusalReason.UNKNOWN_SERVICE
            return InvalidRequest(HTTPStatus.NOT_FOUND, reason, HINTS[reason])
        info = self._parse_request_info(request_id, request, service)
        if isinstance(info, InvalidRequest):
            return info
        if request.method == "GET" and body:
            return _invalid_request("A GET request has a body", "Use another method")
        path = "/" + (rest[0] if rest else "") + (f"?{query}" if query else "")
        headers = tuple(
            (key, value)
            for key, value in request.headers.get_all()
            if key.lower() not in CONSUMED_HEADERS
        )
        payload = Payload(request_id, request.method or "GET", path, headers, body)
        return IncomingRequest(info, service, payload, request.headers.get("Idempotency-Key", ""))

    def _parse_request_info(
        self, request_id: str, request: HTTPServerRequest, service: Service
    ) -> RequestInfo | InvalidRequest:
        headers = request.headers
        request_class = headers.get("X-Request-Class", service.default_class.value)
        if request_class not in set(RequestClass):
            return _invalid_request("X-Request-Class is invalid", "Use urgent or deferred")
        timeout_ms = _parse_timeout_ms(
            headers.get("X-Request-Timeout-Ms"), service.default_timeout_ms
        )
        if timeout_ms is None:
            return _invalid_request("X-Request-Timeout-Ms is invalid", "Use milliseconds above 0")
        idempotent = headers.get("X-Idempotent", str(service.idempotent)).lower()
        if idempotent not in ("true", "false"):
            return _invalid_request("X-Idempotent is invalid", "Use true or false")
        key = headers.get("Idempotency-Key", "")
        if len(key) > KEY_LIMIT_CHARACTERS:
            return _invalid_request("Idempotency-Key is too long", "Use at most 256 characters")
        caller = headers.get("X-Caller", request.remote_ip or "")[:CALLER_LIMIT_CHARACTERS]
        return RequestInfo(
            request_id,
            service.name,
            RequestClass(request_class),
            caller,
            self._ctx.clock.now_ms() + timeout_ms,
            idempotent == "true",
            has_key=bool(key),
        )


@stream_request_body
class CallerHandler(RequestHandler):
    """Handles one request. It limits the body itself, so that a refusal states its reason."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    def initialize(self, listener: CallerListener) -> None:
        """Set the listener."""
        self._listener = listener
        self._body = bytearray()
        self._received_bytes = 0
        self._running_request: RunningRequest | None = None
        self._is_body_refused = False
        self._is_caller_gone = False
        self._request_id = listener.new_request_id()

    def set_default_headers(self) -> None:
        """Send no server name and no default content type."""
        self.clear_header("Server")
        self.clear_header("Content-Type")

    def prepare(self) -> None:
        """Refuse a request whose Content-Length exceeds the limit."""
        self.set_header(REQUEST_ID_HEADER, self._request_id)
        if self._listener.draining:
            self.set_header("Connection", "close")
        try:
            length_bytes = int(self.request.headers.get("Content-Length", "0"))
        except ValueError:
            length_bytes = 0
        if length_bytes > self._listener.body_limit_bytes:
            self._refuse_body()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body up to the limit."""
        self._received_bytes += len(chunk)
        limit = self._listener.body_limit_bytes
        if self._received_bytes > DISCARD_FACTOR * limit:
            self._close_connection()
        if self._is_body_refused:
            return
        if self._received_bytes > limit:
            self._refuse_body()
            return
        self._body += chunk

    def set_running_request(self, running: RunningRequest) -> None:
        """Set the handle that ends the request when the caller disconnects."""
        self._running_request = running

    def on_connection_close(self) -> None:
        """End the request because its caller has disconnected."""
        super().on_connection_close()
        self._is_caller_gone = True
        # References in a cycle would keep the body until the next full garbage collection.
        self._body.clear()
        if self._running_request is not None:
            self._running_request.caller_gone()

    async def _run_request(self) -> None:
        if self._is_body_refused:
            return
        incoming = self._listener.parse(self._request_id, self.request, bytes(self._body))
        if isinstance(incoming, InvalidRequest):
            self._send_error(
                incoming.status, RequestOutcome.NOT_RUN, incoming.reason, incoming.hint
            )
            return
        answer = await self._listener.run(incoming, self)
        self._running_request = None
        if not self._is_caller_gone:
            self._send_answer(answer)

    async def get(self) -> None:
        """Run a GET request."""
        await self._run_request()

    head = post = delete = patch = put = options = get

    def _send_answer(self, answer: Answer) -> None:
        if answer.outcome is RequestOutcome.ANSWERED:
            self.set_status(answer.status, _reason_phrase(answer.status))
            for name, value in answer.headers:
                self.add_header(name, value)
            self.set_header(OUTCOME_HEADER, answer.outcome.value)
            self.finish(answer.body or None)
            return
        reason = answer.reason
        if answer.outcome is RequestOutcome.UNKNOWN:
            self._send_error(HTTPStatus.GATEWAY_TIMEOUT, answer.outcome, reason, UNKNOWN_HINT)
            return
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if reason in CONFLICT_REASONS:
            status = HTTPStatus.CONFLICT
        hint = HINTS.get(RefusalReason(reason), NOT_RUN_HINT) if reason in HINTS else NOT_RUN_HINT
        self._send_error(status, answer.outcome, reason, hint)

    def _refuse_body(self) -> None:
        self._is_body_refused = True
        self.set_header("Connection", "close")
        reason = RefusalReason.BODY_TOO_LARGE
        self._send_error(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RequestOutcome.NOT_RUN, reason, HINTS[reason]
        )

    def _send_error(
        self, status: HTTPStatus, outcome: RequestOutcome, reason: str, hint: str
    ) -> None:
        kind = "RequestRefused"
        if outcome is RequestOutcome.UNKNOWN:
            kind = "RequestOutcomeUnknown"
        self.set_status(status)
        self.set_header(OUTCOME_HEADER, outcome.value)
        self.set_header("Content-Type", "application/json")
        body = {
            "kind": kind,
            "reason": str(reason),
            "hint": hint,
            "request_id": self._request_id,
        }
        self.finish(json.dumps(body))

    def _close_connection(self) -> None:
        connection: Any = self.request.connection
        connection.stream.close()

    def compute_etag(self) -> str | None:
        """Add no entity tag, because the response is the endpoint's."""
        return None


class UnknownPathHandler(RequestHandler):
    """Handles requests to paths outside ``/services/``."""

    def prepare(self) -> None:
        """Refuse the request, whatever its method."""
        self.set_status(HTTPStatus.NOT_FOUND)
        self.set_header(OUTCOME_HEADER, RequestOutcome.NOT_RUN.value)
        self.finish(
            {
                "kind": "RequestRefused",
                "reason": "unknown_path",
                "hint": "Use /services/<service>/<path>",
            }
        )


def _no_memory_refusal() -> Refusal:
    """Return the answer to a request that is refused before it is read."""
    body = {
        "kind": "RequestRefused",
        "reason": RefusalReason.QUEUE_FULL.value,
        "hint": NO_MEMORY_HINT,
    }
    return Refusal({OUTCOME_HEADER: RequestOutcome.NOT_RUN.value}, json.dumps(body).encode())


def _invalid_request(reason: str, hint: str) -> InvalidRequest:
    return InvalidRequest(HTTPStatus.BAD_REQUEST, reason, hint)


def _parse_timeout_ms(text: str | None, default: float) -> float | None:
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 < value <= MAX_TIMEOUT_MS else None


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"

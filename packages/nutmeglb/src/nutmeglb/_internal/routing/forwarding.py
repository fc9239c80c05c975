"""Forwarding of requests and load summaries between failure domains."""

import asyncio
from collections.abc import Callable, Mapping

from result import Err

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context
from nutmeglb._internal.routing.exchange import Payload
from nutmeglb._internal.routing.runner import IncomingRequest, RequestRunner
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.routing.request_types import RequestInfo
from nutmeglb_decisions.routing.spillover import Spillover
from nutmeglb_formats.wire.routing import (
    DomainSummary,
    ForwardRequest,
    ForwardResponse,
    RefusalReason,
    RequestOutcome,
)

logger = get_logger("routing")
SUMMARY_INTERVAL_MS = 1_000.0
MS_PER_S = 1_000.0


class Forwarder:
    """Exchanges load summaries and requests with other domains.

    A request is forwarded at most once.
    """

    name = "forwarding"

    def __init__(
        self,
        ctx: Context,
        runner: RequestRunner,
        spillover: Spillover,
        summary: Callable[[], DomainSummary | None],
    ) -> None:
        self._ctx = ctx
        self._runner = runner
        self._spillover = spillover
        self._domain_summary = summary
        self._background = BackgroundTasks()
        self._forwarded_counter = ctx.metrics.counter(
            "nutmeglb_forwarded_requests_total", "Requests sent to another domain, by result."
        )
        runner.forwarding = self
        ctx.peers.on(DomainSummary, self._on_summary)
        ctx.peers.on(ForwardRequest, self._on_request)

    async def start(self) -> None:
        """Start to send load summaries."""
        self._background.spawn(self._send_summaries())

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: the request runner also waits for requests of other domains."""

    async def stop(self) -> None:
        """Cancel background tasks."""
        await self._background.cancel()

    def status(self) -> Mapping[str, object]:
        """Return the domains whose load is known."""
        return {"domains": sorted(self._spillover.domains())}

    async def forward(self, message: ForwardRequest) -> tuple[ForwardResponse | None, bool]:
        """Send a request to another domain, which runs it.

        Returns
        -------
        tuple
            The response or ``None``, and whether the request may have reached the other domain.
        """
        target = self._ctx.peers.relay_of(message.domain)
        if target is None:
            self._forwarded_counter.inc(result="no_path")
            return None, False
        self._ctx.events.emit(
            "request_forwarded",
            "the other domain has the shorter expected wait",
            request=message.request_id,
            domain=message.domain,
        )
        reply = await self._ctx.peers.request(target, message, max(1.0, message.timeout_ms))
        if isinstance(reply, Err):
            sent = bool(reply.err_value.context.get("sent", True))
            self._forwarded_counter.inc(result="lost" if sent else "no_path")
            return None, sent
        response = reply.ok_value
        if not isinstance(response, ForwardResponse):
            self._forwarded_counter.inc(result="lost")
            return None, True
        self._forwarded_counter.inc(result=response.outcome.value)
        return response, True

    async def _on_request(self, sender: str, message: ForwardRequest) -> ForwardResponse:
        service = self._ctx.config.current().services.get(message.service)
        if message.domain != self._ctx.domain or service is None:
            return _not_run_response(message, RefusalReason.UNKNOWN_SERVICE)
        if len(message.body) > self._ctx.settings.routing.body_limit_bytes:
            return _not_run_response(message, RefusalReason.BODY_TOO_LARGE)
        info = RequestInfo(
            message.request_id,
            message.service,
            message.request_class,
            message.caller,
            self._ctx.clock.now_ms() + message.timeout_ms,
            message.idempotent,
            forwarded=True,
        )
        payload = Payload(
            message.request_id, message.method, message.path, message.headers, message.body
        )
        answer = await self._runner.run(IncomingRequest(info, service, payload))
        return ForwardResponse(
            message.request_id,
            answer.outcome,
            answer.status,
            answer.headers,
            answer.body,
            answer.reason,
        )

    def _on_summary(self, sender: str, message: DomainSummary) -> None:
        if message.domain == self._ctx.domain:
            return
        self._spillover.update(self._ctx.clock.now_ms(), message)
        own = {member.instance_id for member in self._ctx.peers.members(self._ctx.domain)}
        if sender not in own:
            self._ctx.peers.broadcast_domain(message)

    async def _send_summaries(self) -> None:
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_MS / MS_PER_S)
            summary = self._domain_summary()
            if summary is None:
                continue
            domains = {member.domain for member in self._ctx.peers.members()}
            for domain in domains - {self._ctx.domain}:
                relay = self._ctx.peers.relay_of(domain)
                if relay is not None:
                    self._ctx.peers.send(relay, summary)


def _not_run_response(message: ForwardRequest, reason: RefusalReason) -> ForwardResponse:
    return ForwardResponse(message.request_id, RequestOutcome.NOT_RUN, reason=str(reason))

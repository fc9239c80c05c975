"""Runs requests by applying the effects of the request state machine."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context
from nutmeglb._internal.routing.exchange import Dispatcher, Payload
from nutmeglb._internal.routing.idempotency_keys import IdempotencyKeyService
from nutmeglb._internal.routing.slot_client import SlotClient
from nutmeglb._internal.routing.violations import ViolationReporter
from nutmeglb_decisions.routing.idempotency import fingerprint
from nutmeglb_decisions.routing.request_core import RequestCore
from nutmeglb_decisions.routing.request_types import (
    AbortExchange,
    Answer,
    CancelSlot,
    ClaimKey,
    Dispatch,
    Effects,
    ExchangeResult,
    Finish,
    Forward,
    ReleaseSlot,
    RequestEffect,
    RequestInfo,
    RequestSlot,
)
from nutmeglb_decisions.routing.retry_budget import RetryBudget
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.config import Service
from nutmeglb_formats.models.idempotency import STORED_BODY_LIMIT_BYTES
from nutmeglb_formats.wire.routing import (
    ClaimState,
    ForwardRequest,
    ForwardResponse,
    KeyAnswer,
    KeyClaim,
    KeyResult,
    RequestOutcome,
    SlotGrant,
    SlotRefused,
    SlotRequest,
)

MS_PER_S = 1_000.0
DRAIN_POLL_MS = 20.0
# Added to the timeout of a connection, so that the deadline timer ends the request first. Two
# timers for the same moment would report either of two reasons for the same end.
EXCHANGE_TIMEOUT_MARGIN_MS = 100.0
# Added to the time in which a claimed request must have ended, to allow for clock differences.
KEY_EXPIRY_MARGIN_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """An accepted request. ``key`` is empty without an idempotency key."""

    info: RequestInfo
    service: Service
    payload: Payload
    key: str = ""


class Forwarding(Protocol):
    """Sends requests to other domains."""

    async def forward(self, message: ForwardRequest) -> tuple[ForwardResponse | None, bool]:
        """Return the response, and whether the request may have reached the other domain."""


class RequestRunner:
    """Runs requests of callers and of other domains."""

    name = "requests"

    def __init__(
        self,
        ctx: Context,
        slots: SlotClient,
        dispatcher: Dispatcher,
        keys: IdempotencyKeyService,
        violations: ViolationReporter,
    ) -> None:
        self.ctx = ctx
        self.slots = slots
        self.dispatcher = dispatcher
        self.keys = keys
        self.violations = violations
        self.retry_budget = RetryBudget(ctx.settings.routing.retry_budget)
        self.background = BackgroundTasks()
        self.forwarding: Forwarding | None = None
        self._in_flight = 0
        self._requests_counter = ctx.metrics.counter(
            "nutmeglb_requests_total", "Requests by outcome."
        )
        self._retries_counter = ctx.metrics.counter("nutmeglb_request_retries_total", "Retries.")
        self._wait_seconds = ctx.metrics.histogram(
            "nutmeglb_request_wait_seconds", "Time from acceptance to the first dispatch."
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return self._in_flight

    async def start(self) -> None:
        """Do nothing: requests arrive from the listener and from other domains."""

    async def drain(self, deadline_ms: float) -> None:
        """Wait until no request is in flight, at most until the deadline."""
        while self._in_flight > 0 and self.ctx.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)

    async def stop(self) -> None:
        """Close every connection to endpoints."""
        await self.background.cancel()
        await self.dispatcher.stop()

    def status(self) -> Mapping[str, object]:
        """Return the load for the status query."""
        return {
            "in_flight": self._in_flight,
            "waiting_for_slot": self.slots.waiting,
            "exchanges": self.dispatcher.in_flight,
            "retries_available": int(self.retry_budget.available),
        }

    async def run(
        self,
        incoming: IncomingRequest,
        on_running: Callable[["RunningRequest"], None] | None = None,
    ) -> Answer:
        """Run a request and return its answer.

        ``on_running`` receives a handle with which the request can be ended early.
        """
        running = RunningRequest(self, incoming)
        self._in_flight += 1
        try:
            if on_running is not None:
                on_running(running)
            answer = await running.run()
        finally:
            self._in_flight -= 1
        self._requests_counter.inc(
            service=incoming.info.service,
            request_class=incoming.info.request_class.value,
            outcome=answer.outcome.value,
        )
        if answer.outcome is not RequestOutcome.ANSWERED:
            self.ctx.events.emit(
                "request_not_answered",
                answer.reason,
                request=incoming.info.request_id,
                outcome=answer.outcome.value,
            )
        return answer

    def count_dispatch(self, incoming: IncomingRequest, is_first: bool, wait_ms: float) -> None:
        """Record a dispatch as the first one or as a retry."""
        if is_first:
            self._wait_seconds.observe(wait_ms / MS_PER_S, service=incoming.info.service)
            return
        self._retries_counter.inc(service=incoming.info.service)
        self.ctx.events.emit(
            "request_retried", "an earlier exchange failed", request=incoming.info.request_id
        )


class RunningRequest:
    """One request in progress. Implements ``SlotRequester``."""

    def __init__(self, runner: RequestRunner, incoming: IncomingRequest) -> None:
        self._runner = runner
        self._incoming = incoming
        self._request_core = RequestCore(incoming.info, runner.retry_budget)
        self._answer_future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._started_ms = runner.ctx.clock.now_ms()
        self._has_dispatched = False

    async def run(self) -> Answer:
        """Run the request and return its answer, at the deadline at the latest."""
        self._handle_event(lambda now_ms: self._request_core.start(now_ms))
        remaining_ms = self._incoming.info.deadline_ms - self._now_ms()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, remaining_ms) / MS_PER_S, self._on_deadline)
        try:
            return await self._answer_future
        finally:
            timer.cancel()

    def caller_gone(self) -> None:
        """End the request because its caller has disconnected."""
        was_sent = self._runner.dispatcher.was_sent
        self._handle_event(lambda now_ms: self._request_core.caller_gone(now_ms, was_sent))

    def slot_request(self) -> SlotRequest:
        """Return the current slot request."""
        return self._request_core.slot_request(self._now_ms())

    def granted(self, grant: SlotGrant) -> None:
        """Continue with a grant."""
        self._handle_event(lambda now_ms: self._request_core.granted(now_ms, grant))

    def refused(self, message: SlotRefused) -> None:
        """Handle the refusal of the slot request."""
        self._handle_event(lambda now_ms: self._request_core.refused(now_ms, message))

    def _now_ms(self) -> float:
        return self._runner.ctx.clock.now_ms()

    def _on_deadline(self) -> None:
        was_sent = self._runner.dispatcher.was_sent
        self._handle_event(lambda now_ms: self._request_core.deadline_passed(now_ms, was_sent))

    def _on_exchange(self, result: ExchangeResult) -> None:
        self._handle_event(lambda now_ms: self._request_core.exchange_ended(now_ms, result))

    def _handle_event(self, event: Callable[[float], Effects]) -> None:
        try:
            for effect in event(self._now_ms()):
                self._apply_effect(effect)
        except InvariantViolation as violation:
            self._runner.violations.report(violation)
            self._finish(Answer(RequestOutcome.UNKNOWN, reason="invariant_violated"))

    def _apply_effect(self, effect: RequestEffect) -> None:
        runner = self._runner
        match effect:
            case ClaimKey():
                runner.background.spawn(self._claim_key())
            case RequestSlot(message):
                runner.slots.request_slot(message, self)
            case CancelSlot(slot_request_id):
                runner.slots.cancel(slot_request_id, self._incoming.info.service)
            case Dispatch():
                self._dispatch(effect)
            case AbortExchange(exchange_id):
                runner.dispatcher.abort(exchange_id)
            case ReleaseSlot(message):
                runner.slots.release(message)
            case Forward(domain):
                runner.background.spawn(self._forward(domain))
            case Finish(answer):
                self._finish(answer)

    def _dispatch(self, dispatch: Dispatch) -> None:
        now_ms = self._now_ms()
        remaining_ms = self._incoming.info.deadline_ms - now_ms
        timeout_ms = max(
            1.0, min(remaining_ms + EXCHANGE_TIMEOUT_MARGIN_MS, dispatch.grant.max_run_ms)
        )
        is_first = not self._has_dispatched
        self._has_dispatched = True
        self._runner.count_dispatch(self._incoming, is_first, now_ms - self._started_ms)
        self._runner.dispatcher.send(
            dispatch, self._incoming.payload, timeout_ms, self._on_exchange
        )

    async def _claim_key(self) -> None:
        incoming = self._incoming
        payload = incoming.payload
        remaining_ms = incoming.info.deadline_ms - self._now_ms()
        message = KeyClaim(
            incoming.info.service,
            incoming.key,
            incoming.info.request_id,
            fingerprint(payload.method, payload.path, payload.body),
            remaining_ms + incoming.service.max_run_ms + KEY_EXPIRY_MARGIN_MS,
        )
        answer = await self._runner.keys.claim(message, remaining_ms)
        if self._request_core.done and answer.state is ClaimState.CLAIMED:
            self._report_key_result(Answer(RequestOutcome.NOT_RUN))
            return
        self._on_key_answer(answer)

    def _on_key_answer(self, answer: KeyAnswer) -> None:
        self._handle_event(lambda now_ms: self._request_core.key_answered(now_ms, answer))

    async def _forward(self, domain: str) -> None:
        info = self._incoming.info
        payload = self._incoming.payload
        message = ForwardRequest(
            info.request_id,
            domain,
            info.service,
            payload.method,
            payload.path,
            payload.headers,
            payload.body,
            info.request_class,
            info.caller,
            info.deadline_ms - self._now_ms(),
            info.idempotent,
        )
        assert self._runner.forwarding is not None
        response, sent = await self._runner.forwarding.forward(message)
        self._handle_event(lambda now_ms: self._request_core.forward_ended(now_ms, response, sent))

    def _finish(self, answer: Answer) -> None:
        if self._answer_future.done():
            return
        if self._request_core.claimed:
            self._report_key_result(answer)
        self._answer_future.set_result(answer)

    def _report_key_result(self, answer: Answer) -> None:
        complete = len(answer.body) <= STORED_BODY_LIMIT_BYTES
        info = self._incoming.info
        self._runner.keys.report(
            KeyResult(
                info.service,
                self._incoming.key,
                info.request_id,
                answer.outcome,
                answer.status,
                answer.headers if complete else (),
                answer.body if complete else b"",
                complete,
            )
        )

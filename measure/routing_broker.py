"""Routing policy for the measurements that drives the shipped broker."""

import random

from measure.routing_harness import (
    ENDPOINTS,
    INTER_DOMAIN_LATENCY_MS,
    INTRA_DOMAIN_LATENCY_MS,
    Request,
    Run,
)
from nutmeglb_decisions.routing.broker import EndpointView, Send, SlotBrokerCore
from nutmeglb_decisions.routing.retry_budget import RetryBudget
from nutmeglb_formats.wire.routing import (
    DomainSummary,
    RefusalReason,
    ReleaseOutcome,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

SUMMARY_INTERVAL_MS = 1_000.0
GRANT_START_MS = 1_000.0
RETRY_SHARE = 0.1
MAX_ATTEMPTS = 3
MIN_TICK_MS = 1.0


class ShippedBroker:
    """Drives one ``SlotBrokerCore`` per domain, on the domain's first instance."""

    name = "broker"

    def begin(self, run: Run) -> None:
        """Create the brokers and configure the endpoints."""
        self._run = run
        domains = range(run.size.domains)
        self._leaders = [run.domain_of_instance.index(domain) for domain in domains]
        self._brokers = [
            SlotBrokerCore(f"d{domain}", 1, GRANT_START_MS, random.Random(domain))
            for domain in domains
        ]
        self._budgets = [RetryBudget(RETRY_SHARE) for _ in run.domain_of_instance]
        self._requests: dict[str, Request] = {}
        self._grants: dict[int, tuple[int, SlotGrant]] = {}
        self._next_tick_ms = [0.0] * run.size.domains
        service = run.size.service
        for domain in domains:
            views = [
                EndpointView(str(index), "", False)
                for index in range(ENDPOINTS)
                if run.domain_of_endpoint[index] == domain
            ]
            self._brokers[domain].configure(0.0, {service.name: service}, {service.name: views})
        run.at(SUMMARY_INTERVAL_MS, self._exchange_summaries)

    def arrive(self, request: Request) -> None:
        """Request a slot from the leader of the instance's domain."""
        self._budgets[request.instance].add_request()
        self._request_slot(request, request.domain, request.instance, forwarded=False)

    def _request_slot(
        self, request: Request, domain: int, instance: int, *, forwarded: bool
    ) -> None:
        delay_ms = 0.0 if instance == self._leaders[domain] else INTRA_DOMAIN_LATENCY_MS
        delay_ms += INTER_DOMAIN_LATENCY_MS if forwarded else 0.0
        request_id = f"{request.number}.{request.attempts}.{int(forwarded)}"
        self._requests[request_id] = request
        message = SlotRequest(
            request_id,
            self._run.size.service.name,
            request.request_class,
            request.caller,
            request.deadline_ms - self._run.now_ms - delay_ms,
            True,
            tuple(str(index) for index in request.avoid),
            forwarded,
        )
        self._run.after(delay_ms, self._handle_request, domain, instance, message)

    def _handle_request(self, domain: int, instance: int, message: SlotRequest) -> None:
        broker = self._brokers[domain]
        self._apply_effects(domain, broker.request(self._run.now_ms, str(instance), message))

    def _apply_effects(self, domain: int, effects: list[Send]) -> None:
        for effect in effects:
            delay_ms = (
                0.0 if int(effect.recipient) == self._leaders[domain] else INTRA_DOMAIN_LATENCY_MS
            )
            self._run.after(delay_ms, self._deliver, domain, int(effect.recipient), effect.message)
        self._schedule_tick(domain)

    def _schedule_tick(self, domain: int) -> None:
        due_ms = self._brokers[domain].next_timer_ms()
        now_ms = self._run.now_ms
        if due_ms is None or now_ms < self._next_tick_ms[domain] <= due_ms:
            return
        self._next_tick_ms[domain] = max(due_ms, now_ms + MIN_TICK_MS)
        self._run.at(self._next_tick_ms[domain], self._tick, domain, self._next_tick_ms[domain])

    def _tick(self, domain: int, planned_ms: float) -> None:
        if planned_ms == self._next_tick_ms[domain]:
            self._apply_effects(domain, self._brokers[domain].tick(self._run.now_ms))

    def _deliver(self, domain: int, instance: int, message: SlotGrant | SlotRefused) -> None:
        request = self._requests.pop(message.request_id, None)
        if request is None:
            return
        if isinstance(message, SlotRefused):
            self._handle_refusal(request, message)
            return
        if self._run.now_ms > request.deadline_ms:
            self._release(domain, instance, message, ReleaseOutcome.UNUSED, 0.0)
            self._run.refuse(request)
            return
        self._grants[request.number] = (domain, message)
        self._run.start(request, int(message.endpoint))

    def _handle_refusal(self, request: Request, message: SlotRefused) -> None:
        if (
            message.reason is not RefusalReason.SPILL
            or request.instance in self._run.failed_instances
        ):
            self._run.refuse(request)
            return
        domain = int(message.spill_to[1:])
        self._request_slot(request, domain, self._leaders[domain], forwarded=True)

    def finished(self, request: Request, endpoint: int, outcome: str, duration_ms: float) -> None:
        """Release the slot, and retry a failed request."""
        domain, grant = self._grants.pop(request.number)
        instance = request.instance
        kind = ReleaseOutcome(outcome)
        holder = instance if self._run.domain_of_instance[instance] == domain else -1
        holder = self._leaders[domain] if holder < 0 else holder
        if kind is ReleaseOutcome.ABANDONED:
            hold_ms = self._run.size.service.max_run_ms - duration_ms
            self._run.after(hold_ms, self._run.free_slot, endpoint)
        self._release(domain, holder, grant, kind, duration_ms)
        retry = kind is ReleaseOutcome.FAILED and request.attempts < MAX_ATTEMPTS
        if retry and self._budgets[instance].take_retry():
            request.avoid = (*request.avoid, endpoint)
            self._run.requeue(request)
            self._request_slot(request, request.domain, instance, forwarded=False)

    def _release(
        self, domain: int, holder: int, grant: SlotGrant, kind: ReleaseOutcome, duration_ms: float
    ) -> None:
        hold_ms = 0.0
        if kind is ReleaseOutcome.ABANDONED:
            hold_ms = self._run.size.service.max_run_ms - duration_ms
        message = SlotRelease(grant.grant_id, grant.service, kind, duration_ms, hold_ms)
        delay_ms = 0.0 if holder == self._leaders[domain] else INTRA_DOMAIN_LATENCY_MS
        self._run.after(delay_ms, self._apply_release, domain, holder, message)

    def _apply_release(self, domain: int, holder: int, message: SlotRelease) -> None:
        if holder in self._run.failed_instances:
            return
        effects = self._brokers[domain].release(self._run.now_ms, str(holder), message)
        self._apply_effects(domain, effects)

    def _exchange_summaries(self) -> None:
        for source in self._brokers:
            summary = source.summary()
            for broker in self._brokers:
                if broker is not source:
                    self._run.after(INTER_DOMAIN_LATENCY_MS, self._apply_summary, broker, summary)
        if self._run.now_ms < self._run.scenario.duration_ms:
            self._run.after(SUMMARY_INTERVAL_MS, self._exchange_summaries)

    def _apply_summary(self, broker: SlotBrokerCore, summary: DomainSummary) -> None:
        broker.spillover.update(self._run.now_ms, summary)

    def handle_instance_failure(self, instance: int) -> None:
        """Drop the instance's requests. Its slots stay in use until their grants expire."""
        for request_id, request in list(self._requests.items()):
            if request.instance == instance:
                del self._requests[request_id]
                self._run.refuse(request)
        for broker in self._brokers:
            broker.withdraw_requests_of(str(instance))

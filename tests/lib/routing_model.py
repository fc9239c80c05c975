"""Model of a failure domain for state machine tests: broker, holders, messages and endpoints.

All share one simulated clock. The endpoints are the ground truth: a run occupies its endpoint until
it ends, even after its holder has abandoned it or failed.
"""

import random
from dataclasses import dataclass, field, replace
from typing import Any

from nutmeglb_decisions.routing.broker import EndpointView, HeldSlot, Send, SlotBrokerCore
from nutmeglb_decisions.routing.request_core import RequestCore
from nutmeglb_decisions.routing.request_types import (
    Dispatch,
    Effects,
    ExchangeEnd,
    ExchangeResult,
    Finish,
    ReleaseSlot,
    RequestInfo,
    RequestSlot,
)
from nutmeglb_decisions.routing.retry_budget import RetryBudget
from nutmeglb_formats.models.config import RequestClass, Service
from nutmeglb_formats.wire.routing import (
    ReleaseOutcome,
    RequestOutcome,
    SlotCancel,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

SERVICE = Service("s", "team", slots=2, connections=4, max_run_ms=500.0, queue_limit=6)
START_WITHIN_MS = 200.0
STEP_MS = 25.0


@dataclass(slots=True)
class Exchange:
    """A dispatched request at an endpoint."""

    dispatch: Dispatch
    attempt: RequestCore
    end_ms: float
    end: ExchangeEnd
    status: int


@dataclass(slots=True)
class Holder:
    """Entry instance that requests slots and holds grants."""

    name: str
    epoch: int = 1
    paused: bool = False
    attempts: dict[str, RequestCore] = field(default_factory=dict)
    waiting: dict[str, RequestCore] = field(default_factory=dict)
    held: dict[str, tuple[SlotGrant, float]] = field(default_factory=dict)
    pending_dispatches: list[tuple[Dispatch, RequestCore]] = field(default_factory=list)
    exchanges: list[Exchange] = field(default_factory=list)
    inbox: list[Any] = field(default_factory=list)


class Domain:
    """Broker and request cores under test, with simulated holders, messages and endpoints."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.epoch = 1
        self.leader = "h0"
        self.holders = {name: Holder(name) for name in ("h0", "h1", "h2")}
        self.views = {name: EndpointView(name, name) for name in ("e0", "e1")}
        self.leaving_since_ms: dict[str, float] = {}
        self.runs: dict[str, list[float]] = {name: [] for name in self.views}
        self.messages: list[tuple[str, str, Any]] = []
        self.witness_records: dict[str, tuple[HeldSlot, float]] = {}
        self.sent: dict[str, int] = {}
        self.answers: dict[str, RequestOutcome] = {}
        self.request_infos: dict[str, RequestInfo] = {}
        self.broker = self._new_broker()

    def _new_broker(self) -> SlotBrokerCore:
        broker = SlotBrokerCore("d", self.epoch, START_WITHIN_MS, random.Random(self.epoch))
        self._apply_broker_effects(
            broker.configure(self.now_ms, {"s": SERVICE}, {"s": self.views.values()})
        )
        return broker

    # Events

    def request(self, holder: Holder, idempotent: bool, urgent: bool, timeout_ms: float) -> None:
        """Accept a request at an entry instance."""
        number = len(self.request_infos)
        info = RequestInfo(
            f"r{number}",
            "s",
            RequestClass.URGENT if urgent else RequestClass.DEFERRED,
            f"c{number % 2}",
            self.now_ms + timeout_ms,
            idempotent,
            forwarded=True,
        )
        self.request_infos[info.request_id] = info
        attempt = RequestCore(info, RetryBudget(0.5))
        holder.attempts[info.request_id] = attempt
        self._apply_request_effects(holder, attempt, attempt.start(self.now_ms))

    def deliver(self, index: int) -> None:
        """Deliver the message at an index; the test chooses the order."""
        sender, recipient, message = self.messages.pop(index)
        if recipient == "leader":
            self._deliver_to_broker(sender, message)
        elif recipient in self.holders:
            self._deliver_to_holder(self.holders[recipient], message)

    def advance(self, duration_ms: float) -> None:
        """Advance the clock in steps of ``STEP_MS``."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for name, runs in self.runs.items():
                self.runs[name] = [item for item in runs if item > self.now_ms]
            self._apply_broker_effects(self.broker.tick(self.now_ms))
            for holder in self.holders.values():
                self._advance_holder(holder)

    def resume(self, holder: Holder) -> None:
        """Resume a paused holder and deliver what arrived during the pause."""
        holder.paused = False
        inbox, holder.inbox = holder.inbox, []
        for message in inbox:
            self._deliver_to_holder(holder, message)
        self._advance_holder(holder)

    def leave(self, endpoint: str) -> None:
        """List an endpoint as leaving."""
        self.views[endpoint] = EndpointView(endpoint, endpoint, leaving=True)
        self.leaving_since_ms[endpoint] = self.now_ms
        views = {"s": self.views.values()}
        self._apply_broker_effects(self.broker.configure(self.now_ms, {"s": SERVICE}, views))

    def change_leader(self, *, old_dies: bool) -> None:
        """Elect another holder that is not paused. It collects the grants of all holders.

        A witness reports the former leader's own grants. Paused holders do not reply.
        """
        old = self.leader
        candidates = [h.name for h in self.holders.values() if not h.paused and h.name != old]
        if not candidates:
            return
        if old_dies:
            self.holders[old] = Holder(old, self.epoch + 1)
        self.epoch += 1
        self.leader = candidates[0]
        held: dict[str, HeldSlot] = {}
        unknown = False
        for holder in self.holders.values():
            if holder.paused:
                # The witness reports the grants that the former leader uses itself.
                unknown = unknown or holder.name != old
                continue
            holder.epoch = self.epoch
            for grant_id, (grant, expires_at_ms) in holder.held.items():
                hold_ms = expires_at_ms - self.now_ms
                held[grant_id] = HeldSlot(grant_id, holder.name, grant.endpoint, hold_ms)
        for grant_id, (item, expires_at_ms) in self.witness_records.items():
            if expires_at_ms > self.now_ms:
                held[grant_id] = replace(item, hold_ms=expires_at_ms - self.now_ms)
        self.witness_records = {}
        self.broker = self._new_broker()
        self.broker.recover(self.now_ms, {"s": held.values()}, unknown)
        self._record_held(set())
        for holder in self.holders.values():
            for attempt in holder.waiting.values():
                self._enqueue(holder.name, "leader", attempt.slot_request(self.now_ms))

    def die(self, name: str) -> None:
        """Restart an instance other than the leader, with empty state."""
        self.holders[name] = Holder(name, self.epoch)
        self._record_held(set(self.holders) - {name})

    def _record_held(self, connected: set[str]) -> None:
        for _, item in self.broker.slots_unreported_by(self.now_ms, connected):
            self.witness_records[item.grant_id] = (item, self.now_ms + item.hold_ms)

    # Message handling

    def _enqueue(self, sender: str, recipient: str, message: Any) -> None:
        self.messages.append((sender, recipient, message))

    def _deliver_to_broker(self, sender: str, message: Any) -> None:
        if isinstance(message, SlotRequest):
            self._apply_broker_effects(self.broker.request(self.now_ms, sender, message))
        elif isinstance(message, SlotRelease):
            is_abandoned = message.outcome is ReleaseOutcome.ABANDONED and message.hold_ms > 0.0
            if sender == self.leader and not is_abandoned:
                self.witness_records.pop(message.grant_id, None)
            self._apply_broker_effects(self.broker.release(self.now_ms, sender, message))
        else:
            self.broker.cancel(message)

    def _apply_broker_effects(self, effects: list[Send]) -> None:
        for effect in effects:
            message = effect.message
            if isinstance(message, SlotGrant):
                assert message.endpoint not in self.leaving_since_ms, "grant to a leaving endpoint"
                if effect.recipient == self.leader:
                    hold_ms = START_WITHIN_MS + SERVICE.max_run_ms
                    item = HeldSlot(message.grant_id, effect.recipient, message.endpoint, hold_ms)
                    self.witness_records[message.grant_id] = (item, self.now_ms + hold_ms)
            self._enqueue("leader", effect.recipient, message)

    def _deliver_to_holder(self, holder: Holder, message: Any) -> None:
        if holder.paused:
            holder.inbox.append(message)
        elif isinstance(message, SlotRefused):
            attempt = holder.waiting.pop(message.request_id, None)
            if attempt is not None:
                self._apply_request_effects(holder, attempt, attempt.refused(self.now_ms, message))
        elif message.epoch >= holder.epoch and message.grant_id not in holder.held:
            expires_at_ms = self.now_ms + message.start_within_ms + message.max_run_ms
            holder.held[message.grant_id] = (message, expires_at_ms)
            attempt = holder.waiting.pop(message.request_id, None)
            if attempt is None:
                release = SlotRelease(message.grant_id, "s", ReleaseOutcome.UNUSED)
                self._release(holder, release)
            else:
                self._apply_request_effects(holder, attempt, attempt.granted(self.now_ms, message))

    def _release(self, holder: Holder, message: SlotRelease) -> None:
        held = holder.held.pop(message.grant_id, None)
        if held is not None and message.outcome is ReleaseOutcome.ABANDONED:
            holder.held[message.grant_id] = (held[0], self.now_ms + message.hold_ms)
        self._enqueue(holder.name, "leader", message)

    def _apply_request_effects(
        self, holder: Holder, attempt: RequestCore, effects: Effects
    ) -> None:
        for effect in effects:
            match effect:
                case RequestSlot(message):
                    holder.waiting[message.request_id] = attempt
                    self._enqueue(holder.name, "leader", message)
                case ReleaseSlot(message):
                    self._release(holder, message)
                case Dispatch():
                    holder.pending_dispatches.append((effect, attempt))
                case Finish(answer):
                    self._record_answer(holder, attempt, answer.outcome)
                case _:
                    self._enqueue(holder.name, "leader", SlotCancel("none", "s"))

    def _record_answer(self, holder: Holder, attempt: RequestCore, outcome: RequestOutcome) -> None:
        request_id = attempt.info.request_id
        assert request_id not in self.answers, "a request is answered twice"
        self.answers[request_id] = outcome
        if outcome is RequestOutcome.NOT_RUN:
            assert (
                self.sent.get(request_id, 0) == 0
            ), "a request that may have run is reported as not run"
        holder.attempts.pop(request_id, None)
        for slot_request_id in [key for key, item in holder.waiting.items() if item is attempt]:
            del holder.waiting[slot_request_id]

    # Holders and endpoints

    def _advance_holder(self, holder: Holder) -> None:
        if holder.paused:
            return
        expired = [key for key, item in holder.held.items() if item[1] <= self.now_ms]
        for grant_id in expired:
            del holder.held[grant_id]
        pending_dispatches, holder.pending_dispatches = holder.pending_dispatches, []
        for dispatch, attempt in pending_dispatches:
            if not attempt.done:
                self._send(holder, dispatch, attempt)
        ended = [item for item in holder.exchanges if item.end_ms <= self.now_ms]
        holder.exchanges = [item for item in holder.exchanges if item.end_ms > self.now_ms]
        for item in ended:
            result = self._exchange_result(item.dispatch, item.attempt, item.end, item.status)
            self._apply_request_effects(
                holder, item.attempt, item.attempt.exchange_ended(self.now_ms, result)
            )
        for attempt in list(holder.attempts.values()):
            if self.now_ms >= attempt.info.deadline_ms:
                sent = {item.dispatch.exchange_id for item in holder.exchanges}
                self._apply_request_effects(
                    holder, attempt, attempt.deadline_passed(self.now_ms, sent.__contains__)
                )

    def _send(self, holder: Holder, dispatch: Dispatch, attempt: RequestCore) -> None:
        endpoint = dispatch.grant.endpoint
        reason = ""
        if self.now_ms >= dispatch.start_by_ms:
            reason = "grant_expired"
        elif self.rng.random() < 0.1:
            reason = "connect_failed"
        if reason:
            result = self._exchange_result(dispatch, attempt, ExchangeEnd.NOT_SENT, 0, reason)
            self._apply_request_effects(
                holder, attempt, attempt.exchange_ended(self.now_ms, result)
            )
            return
        request_id = attempt.info.request_id
        self.sent[request_id] = self.sent.get(request_id, 0) + 1
        assert (
            attempt.info.idempotent or self.sent[request_id] == 1
        ), "a request that is not idempotent is sent twice"
        run_ms = self.rng.choice((1.0, 60.0, 400.0, SERVICE.max_run_ms))
        end_ms = self.now_ms + run_ms
        self.runs[endpoint].append(end_ms)
        assert len(self.runs[endpoint]) <= SERVICE.slots, "an endpoint runs more than its slots"
        end = self.rng.choice((ExchangeEnd.RESPONSE, ExchangeEnd.RESPONSE, ExchangeEnd.CLOSED))
        status = self.rng.choice((200, 200, 500))
        if self.rng.random() < 0.3:
            # The holder aborts the exchange before the run ends.
            end, end_ms = ExchangeEnd.ABORTED, self.now_ms + run_ms / 4
        holder.exchanges.append(Exchange(dispatch, attempt, end_ms, end, status))

    @staticmethod
    def _exchange_result(
        dispatch: Dispatch,
        attempt: RequestCore,
        end: ExchangeEnd,
        status: int,
        reason: str = "closed",
    ) -> ExchangeResult:
        request_id = attempt.info.request_id
        return ExchangeResult(dispatch.exchange_id, request_id, end, status, reason=reason)

"""State machine of a caller's request, from its arrival to its answer."""

from collections.abc import Callable
from enum import StrEnum

from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.routing.request_types import (
    AbortExchange,
    Answer,
    CancelSlot,
    ClaimKey,
    Dispatch,
    Effects,
    ExchangeEnd,
    ExchangeResult,
    Finish,
    Forward,
    ReleaseSlot,
    RequestInfo,
    RequestSlot,
)
from nutmeglb_decisions.routing.retry_budget import RetryBudget
from nutmeglb_formats.wire.routing import (
    ClaimState,
    ForwardResponse,
    KeyAnswer,
    RefusalReason,
    ReleaseOutcome,
    RequestOutcome,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

MAX_DISPATCHES = 3
# Unused grants after which a request is refused, so that a stalled process does not loop forever.
MAX_UNUSED_GRANTS = 3
# Reasons for not using a grant that do not indicate an unhealthy endpoint.
UNUSED_REASONS = frozenset({RefusalReason.GRANT_EXPIRED, RefusalReason.ENDPOINT_LEAVING})
# Response statuses after which an idempotent request is retried at another endpoint.
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})
MIN_SERVER_ERROR_STATUS = 500


class _State(StrEnum):
    NEW = "new"
    CLAIMING = "claiming"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"
    DONE = "done"


class RequestCore:
    """Handles one request, including its retries. Every event carries the monotonic time.

    Parameters
    ----------
    budget
        Retry budget shared by all requests of this instance.
    """

    def __init__(self, info: RequestInfo, budget: RetryBudget) -> None:
        self.info = info
        self._budget = budget
        self._state = _State.NEW
        self._slot_request_count = 0
        self._slot_requested_ms = 0.0
        self._slot_request_id = ""
        self._grant: SlotGrant | None = None
        self._dispatched_ms = 0.0
        self._dispatch_count = 0
        self._unused_grant_count = 0
        self._avoid: tuple[str, ...] = ()
        self._may_have_run = False
        self._may_forward = not info.forwarded
        self._fallback_answer: Answer | None = None
        self._claimed = False

    @property
    def done(self) -> bool:
        """Return whether the final answer has been determined."""
        return self._state is _State.DONE

    @property
    def claimed(self) -> bool:
        """Return whether this request has claimed its idempotency key."""
        return self._claimed

    @property
    def grant(self) -> SlotGrant | None:
        """Return the grant in use, or ``None``."""
        return self._grant

    @property
    def dispatched_ms(self) -> float:
        """Return the time of the last dispatch."""
        return self._dispatched_ms

    def start(self, now_ms: float) -> Effects:
        """Claim the idempotency key if there is one, otherwise request a slot."""
        self._budget.add_request()
        if self.info.has_key:
            self._state = _State.CLAIMING
            return [ClaimKey()]
        return self._request_slot(now_ms)

    def key_answered(self, now_ms: float, answer: KeyAnswer) -> Effects:
        """Process the answer of the key's owner domain to the claim."""
        if self._state is not _State.CLAIMING:
            return []
        if answer.state is ClaimState.CLAIMED:
            self._claimed = True
            return self._request_slot(now_ms)
        if answer.state is ClaimState.STORED:
            stored = Answer(RequestOutcome.ANSWERED, answer.status, answer.headers, answer.body)
            return self._finish(stored)
        if answer.state is ClaimState.UNKNOWN:
            return self._finish(Answer(RequestOutcome.UNKNOWN, reason="key_outcome_unknown"))
        if answer.state is ClaimState.REFUSED and self.info.idempotent:
            return self._request_slot(now_ms)
        reasons = {
            ClaimState.IN_PROGRESS: RefusalReason.KEY_IN_PROGRESS,
            ClaimState.REUSED: RefusalReason.KEY_REUSED,
        }
        reason = reasons.get(answer.state, RefusalReason.KEY_UNAVAILABLE)
        return self._finish(Answer(RequestOutcome.NOT_RUN, reason=reason))

    def _request_slot(self, now_ms: float) -> Effects:
        if now_ms >= self.info.deadline_ms:
            return self._finish_failed(RefusalReason.TOO_LATE)
        self._state = _State.WAITING
        self._slot_request_count += 1
        self._slot_requested_ms = now_ms
        self._slot_request_id = f"{self.info.request_id}.{self._slot_request_count}"
        return [RequestSlot(self.slot_request(now_ms))]

    def slot_request(self, now_ms: float) -> SlotRequest:
        """Return the current slot request, which is sent again after a change of leader."""
        info = self.info
        return SlotRequest(
            request_id=self._slot_request_id,
            service=info.service,
            request_class=info.request_class,
            caller=info.caller,
            timeout_ms=info.deadline_ms - now_ms,
            idempotent=info.idempotent,
            avoid=self._avoid,
            forwarded=not self._may_forward,
        )

    def granted(self, now_ms: float, grant: SlotGrant) -> Effects:
        """Use a grant, or release it if its slot request was withdrawn or already answered."""
        if self._state is not _State.WAITING or grant.request_id != self._slot_request_id:
            if self._grant is not None and grant.grant_id == self._grant.grant_id:
                return []
            return [_release(grant, ReleaseOutcome.UNUSED)]
        # Counted from the time the request was sent, so this limit is not later than the leader's.
        start_by_ms = self._slot_requested_ms + grant.waited_ms + grant.start_within_ms
        if now_ms >= start_by_ms:
            return [_release(grant, ReleaseOutcome.UNUSED), *self._on_unused_grant(now_ms)]
        if now_ms >= self.info.deadline_ms:
            release = _release(grant, ReleaseOutcome.UNUSED)
            return [release, *self._finish_failed(RefusalReason.TOO_LATE)]
        require(
            self.info.idempotent or not self._may_have_run,
            "at_most_once",
            "A non-idempotent request would be dispatched again after it may have run",
            request=self.info.request_id,
        )
        self._state = _State.DISPATCHED
        self._grant = grant
        self._dispatched_ms = now_ms
        self._dispatch_count += 1
        return [Dispatch(grant.grant_id, grant, start_by_ms)]

    def _on_unused_grant(self, now_ms: float) -> Effects:
        self._unused_grant_count += 1
        if self._unused_grant_count >= MAX_UNUSED_GRANTS:
            return self._finish_failed(RefusalReason.GRANT_EXPIRED)
        return self._request_slot(now_ms)

    def refused(self, now_ms: float, message: SlotRefused) -> Effects:
        """Process a refused slot request: forward, retry or answer the request."""
        if self._state is not _State.WAITING or message.request_id != self._slot_request_id:
            return []
        if message.spill_to and self._may_forward:
            self._may_forward = False
            self._state = _State.FORWARDED
            return [Forward(message.spill_to)]
        if message.reason is RefusalReason.ENDPOINT_LEAVING:
            return self._on_unused_grant(now_ms)
        return self._finish_failed(message.reason)

    def forward_ended(self, now_ms: float, response: ForwardResponse | None, sent: bool) -> Effects:
        """Process the end of a forwarded request.

        Parameters
        ----------
        response
            The other domain's response, or ``None`` if there was none.
        sent
            Whether the request may have reached the other domain.
        """
        if self._state is not _State.FORWARDED:
            return []
        if response is None:
            if not sent or self.info.idempotent:
                return self._retry_forward(now_ms, sent)
            self._may_have_run = True
            return self._finish_failed(RefusalReason.FORWARD_FAILED)
        self._check_response_owner(response.request_id)
        if response.outcome is RequestOutcome.NOT_RUN:
            return self._request_slot(now_ms)
        self._may_have_run = True
        if response.outcome is RequestOutcome.UNKNOWN:
            return self._finish_failed(response.reason)
        answer = Answer(response.outcome, response.status, response.headers, response.body)
        return self._finish(answer)

    def _retry_forward(self, now_ms: float, sent: bool) -> Effects:
        self._may_have_run = self._may_have_run or sent
        if sent and not self._budget.take_retry():
            return self._finish_failed(RefusalReason.FORWARD_FAILED)
        return self._request_slot(now_ms)

    def exchange_ended(self, now_ms: float, result: ExchangeResult) -> Effects:
        """Process the result of an exchange. Results of abandoned exchanges are ignored."""
        grant = self._grant
        if self._state is not _State.DISPATCHED or grant is None:
            return []
        if result.exchange_id != grant.grant_id:
            return []
        self._check_response_owner(result.request_id)
        self._grant = None
        if result.end is ExchangeEnd.NOT_SENT:
            return self._on_not_sent(now_ms, grant, result)
        self._may_have_run = True
        if result.end is ExchangeEnd.RESPONSE:
            return self._on_response(now_ms, grant, result)
        outcome = ReleaseOutcome.FAILED
        if result.end is ExchangeEnd.ABORTED:
            outcome = ReleaseOutcome.ABANDONED
        release = self._release_sent(now_ms, grant, outcome)
        if self.info.idempotent:
            return [release, *self._retry(now_ms, grant, result.reason)]
        return [release, *self._finish_failed(result.reason)]

    def _on_not_sent(self, now_ms: float, grant: SlotGrant, result: ExchangeResult) -> Effects:
        if result.reason in UNUSED_REASONS:
            self._avoid = (*self._avoid, grant.endpoint)
            return [_release(grant, ReleaseOutcome.UNUSED), *self._on_unused_grant(now_ms)]
        release = _release(grant, ReleaseOutcome.FAILED)
        return [release, *self._retry(now_ms, grant, RefusalReason.CONNECT_FAILED)]

    def _on_response(self, now_ms: float, grant: SlotGrant, result: ExchangeResult) -> Effects:
        failed = result.status >= MIN_SERVER_ERROR_STATUS
        outcome = ReleaseOutcome.FAILED if failed else ReleaseOutcome.ANSWERED
        release = self._release_sent(now_ms, grant, outcome)
        answer = Answer(RequestOutcome.ANSWERED, result.status, result.headers, result.body)
        if self.info.idempotent and result.status in RETRYABLE_STATUSES:
            self._fallback_answer = answer
            return [release, *self._retry(now_ms, grant, "")]
        return [release, *self._finish(answer)]

    def _retry(self, now_ms: float, grant: SlotGrant, reason: str) -> Effects:
        self._avoid = (*self._avoid, grant.endpoint)
        if self._dispatch_count >= MAX_DISPATCHES or now_ms >= self.info.deadline_ms:
            return self._finish_failed(reason)
        if not self._budget.take_retry():
            return self._finish_failed(reason)
        return self._request_slot(now_ms)

    def deadline_passed(self, now_ms: float, was_sent: Callable[[str], bool]) -> Effects:
        """End the request because its deadline has passed.

        Parameters
        ----------
        was_sent
            Returns whether any byte of an exchange may have been sent.
        """
        return self._cancel(now_ms, was_sent, RefusalReason.TOO_LATE)

    def caller_gone(self, now_ms: float, was_sent: Callable[[str], bool]) -> Effects:
        """End the request because its caller closed the connection."""
        return self._cancel(now_ms, was_sent, "caller_gone")

    def _cancel(self, now_ms: float, was_sent: Callable[[str], bool], reason: str) -> Effects:
        if self._state is _State.WAITING:
            return [CancelSlot(self._slot_request_id), *self._finish_failed(reason)]
        if self._state is _State.FORWARDED:
            self._may_have_run = True
        if self._state is not _State.DISPATCHED or self._grant is None:
            return [] if self.done else self._finish_failed(reason)
        grant, self._grant = self._grant, None
        effects: Effects = [AbortExchange(grant.grant_id)]
        if was_sent(grant.grant_id):
            self._may_have_run = True
            effects.append(self._release_sent(now_ms, grant, ReleaseOutcome.ABANDONED))
        else:
            effects.append(_release(grant, ReleaseOutcome.UNUSED))
        return [*effects, *self._finish_failed(reason)]

    def _release_sent(
        self, now_ms: float, grant: SlotGrant, outcome: ReleaseOutcome
    ) -> ReleaseSlot:
        duration_ms = now_ms - self._dispatched_ms
        hold_ms = 0.0
        if outcome is ReleaseOutcome.ABANDONED:
            hold_ms = max(0.0, grant.max_run_ms - duration_ms)
        return _release(grant, outcome, duration_ms, hold_ms)

    def _finish_failed(self, reason: str) -> Effects:
        if self._fallback_answer is not None:
            return self._finish(self._fallback_answer)
        outcome = RequestOutcome.UNKNOWN if self._may_have_run else RequestOutcome.NOT_RUN
        return self._finish(Answer(outcome, reason=str(reason)))

    def _finish(self, answer: Answer) -> Effects:
        require(
            answer.outcome is not RequestOutcome.NOT_RUN or not self._may_have_run,
            "true_not_run",
            "A request that may have run would be reported as not run",
            request=self.info.request_id,
        )
        self._state = _State.DONE
        return [Finish(answer)]

    def _check_response_owner(self, request_id: str) -> None:
        require(
            request_id == self.info.request_id,
            "own_answer",
            "A response belongs to another request",
            request=self.info.request_id,
            response=request_id,
        )


def _release(
    grant: SlotGrant, outcome: ReleaseOutcome, duration_ms: float = 0.0, hold_ms: float = 0.0
) -> ReleaseSlot:
    message = SlotRelease(grant.grant_id, grant.service, outcome, duration_ms, hold_ms)
    return ReleaseSlot(message)

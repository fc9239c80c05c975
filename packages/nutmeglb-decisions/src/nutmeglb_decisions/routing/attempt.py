"""State machine of one caller's request, from its acceptance to its answer."""

from collections.abc import Callable
from enum import StrEnum

from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.routing.attempt_types import (
    AbortExchange,
    Answer,
    AskSlot,
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
# Unused grants after which a request is refused, so that a stalled process does not loop.
MAX_UNUSED_GRANTS = 3
# Reasons for not using a grant that say nothing about the endpoint's health.
UNUSED_REASONS = frozenset({RefusalReason.GRANT_EXPIRED, RefusalReason.ENDPOINT_LEAVING})
# Answers of an endpoint after which an idempotent request is tried elsewhere.
RETRIED_STATUSES = frozenset({500, 502, 503, 504})
FIRST_ERROR_STATUS = 500


class _State(StrEnum):
    NEW = "new"
    CLAIMING = "claiming"
    WAITING = "waiting"
    DISPATCHED = "dispatched"
    FORWARDED = "forwarded"
    DONE = "done"


class Attempt:
    """Runs one request. Every event carries the monotonic time in milliseconds.

    Parameters
    ----------
    budget
        Retry budget of this instance.
    """

    def __init__(self, info: RequestInfo, budget: RetryBudget) -> None:
        self.info = info
        self._budget = budget
        self._state = _State.NEW
        self._asked = 0
        self._asked_ms = 0.0
        self._slot_id = ""
        self._grant: SlotGrant | None = None
        self._dispatched_ms = 0.0
        self._dispatches = 0
        self._unused = 0
        self._avoid: tuple[str, ...] = ()
        self._sent = False
        self._may_spill = not info.forwarded
        self._fallback: Answer | None = None
        self._claimed = False

    @property
    def done(self) -> bool:
        """Return whether the caller has been answered."""
        return self._state is _State.DONE

    @property
    def claimed(self) -> bool:
        """Return whether the idempotency key is held by this request."""
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
        """Begin."""
        self._budget.add_request()
        if self.info.keyed:
            self._state = _State.CLAIMING
            return [ClaimKey()]
        return self._ask(now_ms)

    def key_answered(self, now_ms: float, answer: KeyAnswer) -> Effects:
        """Continue with the owner's answer to the claim."""
        if self._state is not _State.CLAIMING:
            return []
        if answer.state is ClaimState.CLAIMED:
            self._claimed = True
            return self._ask(now_ms)
        if answer.state is ClaimState.STORED:
            stored = Answer(RequestOutcome.ANSWERED, answer.status, answer.headers, answer.body)
            return self._finish(stored)
        if answer.state is ClaimState.UNKNOWN:
            return self._finish(Answer(RequestOutcome.UNKNOWN, reason="key_outcome_unknown"))
        if answer.state is ClaimState.REFUSED and self.info.idempotent:
            return self._ask(now_ms)
        reasons = {
            ClaimState.IN_PROGRESS: RefusalReason.KEY_IN_PROGRESS,
            ClaimState.REUSED: RefusalReason.KEY_REUSED,
        }
        reason = reasons.get(answer.state, RefusalReason.KEY_UNAVAILABLE)
        return self._finish(Answer(RequestOutcome.NOT_RUN, reason=reason))

    def _ask(self, now_ms: float) -> Effects:
        if now_ms >= self.info.deadline_ms:
            return self._give_up(RefusalReason.TOO_LATE)
        self._state = _State.WAITING
        self._asked += 1
        self._asked_ms = now_ms
        self._slot_id = f"{self.info.request_id}.{self._asked}"
        return [AskSlot(self.slot_request(now_ms))]

    def slot_request(self, now_ms: float) -> SlotRequest:
        """Return the current slot request. It is sent again after a change of leader."""
        info = self.info
        return SlotRequest(
            request_id=self._slot_id,
            service=info.service,
            request_class=info.request_class,
            caller=info.caller,
            timeout_ms=info.deadline_ms - now_ms,
            idempotent=info.idempotent,
            avoid=self._avoid,
            forwarded=not self._may_spill,
        )

    def granted(self, now_ms: float, grant: SlotGrant) -> Effects:
        """Use a grant. A grant for a withdrawn or answered slot request is given back."""
        if self._state is not _State.WAITING or grant.request_id != self._slot_id:
            if self._grant is not None and grant.grant_id == self._grant.grant_id:
                return []
            return [_release(grant, ReleaseOutcome.UNUSED)]
        # The leader received the request after it was sent, so its own limit is not earlier.
        start_by_ms = self._asked_ms + grant.waited_ms + grant.start_within_ms
        if now_ms >= start_by_ms:
            return [_release(grant, ReleaseOutcome.UNUSED), *self._unused_grant(now_ms)]
        if now_ms >= self.info.deadline_ms:
            release = _release(grant, ReleaseOutcome.UNUSED)
            return [release, *self._give_up(RefusalReason.TOO_LATE)]
        require(
            self.info.idempotent or not self._sent,
            "at_most_once",
            "A non-idempotent request would be dispatched twice",
            request=self.info.request_id,
        )
        self._state = _State.DISPATCHED
        self._grant = grant
        self._dispatched_ms = now_ms
        self._dispatches += 1
        return [Dispatch(grant.grant_id, grant, start_by_ms)]

    def _unused_grant(self, now_ms: float) -> Effects:
        self._unused += 1
        if self._unused >= MAX_UNUSED_GRANTS:
            return self._give_up(RefusalReason.GRANT_EXPIRED)
        return self._ask(now_ms)

    def refused(self, now_ms: float, message: SlotRefused) -> Effects:
        """Forward or end after a refused slot."""
        if self._state is not _State.WAITING or message.request_id != self._slot_id:
            return []
        if message.spill_to and self._may_spill:
            self._may_spill = False
            self._state = _State.FORWARDED
            return [Forward(message.spill_to)]
        if message.reason is RefusalReason.ENDPOINT_LEAVING:
            return self._unused_grant(now_ms)
        return self._give_up(message.reason)

    def forward_ended(self, now_ms: float, response: ForwardResponse | None, sent: bool) -> Effects:
        """Continue after a forwarded request.

        Parameters
        ----------
        response
            The other domain's response, or ``None`` without one.
        sent
            Whether the request may have reached the other domain.
        """
        if self._state is not _State.FORWARDED:
            return []
        if response is None:
            if not sent or self.info.idempotent:
                return self._ask_again(now_ms, sent)
            self._sent = True
            return self._give_up(RefusalReason.FORWARD_FAILED)
        self._check_own(response.request_id)
        if response.outcome is RequestOutcome.NOT_RUN:
            return self._ask(now_ms)
        self._sent = True
        if response.outcome is RequestOutcome.UNKNOWN:
            return self._give_up(response.reason)
        answer = Answer(response.outcome, response.status, response.headers, response.body)
        return self._finish(answer)

    def _ask_again(self, now_ms: float, sent: bool) -> Effects:
        self._sent = self._sent or sent
        if sent and not self._budget.take_retry():
            return self._give_up(RefusalReason.FORWARD_FAILED)
        return self._ask(now_ms)

    def exchange_ended(self, now_ms: float, result: ExchangeResult) -> Effects:
        """Continue after an exchange. Results of abandoned exchanges have no effect."""
        grant = self._grant
        if self._state is not _State.DISPATCHED or grant is None:
            return []
        if result.exchange_id != grant.grant_id:
            return []
        self._check_own(result.request_id)
        self._grant = None
        if result.end is ExchangeEnd.NOT_SENT:
            return self._not_sent(now_ms, grant, result)
        self._sent = True
        if result.end is ExchangeEnd.RESPONSE:
            return self._responded(now_ms, grant, result)
        outcome = ReleaseOutcome.FAILED
        if result.end is ExchangeEnd.ABORTED:
            outcome = ReleaseOutcome.ABANDONED
        release = self._release_sent(now_ms, grant, outcome)
        if self.info.idempotent:
            return [release, *self._retry(now_ms, grant, result.reason)]
        return [release, *self._give_up(result.reason)]

    def _not_sent(self, now_ms: float, grant: SlotGrant, result: ExchangeResult) -> Effects:
        if result.reason in UNUSED_REASONS:
            self._avoid = (*self._avoid, grant.endpoint)
            return [_release(grant, ReleaseOutcome.UNUSED), *self._unused_grant(now_ms)]
        release = _release(grant, ReleaseOutcome.FAILED)
        return [release, *self._retry(now_ms, grant, RefusalReason.CONNECT_FAILED)]

    def _responded(self, now_ms: float, grant: SlotGrant, result: ExchangeResult) -> Effects:
        failed = result.status >= FIRST_ERROR_STATUS
        outcome = ReleaseOutcome.FAILED if failed else ReleaseOutcome.ANSWERED
        release = self._release_sent(now_ms, grant, outcome)
        answer = Answer(RequestOutcome.ANSWERED, result.status, result.headers, result.body)
        if self.info.idempotent and result.status in RETRIED_STATUSES:
            self._fallback = answer
            return [release, *self._retry(now_ms, grant, "")]
        return [release, *self._finish(answer)]

    def _retry(self, now_ms: float, grant: SlotGrant, reason: str) -> Effects:
        self._avoid = (*self._avoid, grant.endpoint)
        if self._dispatches >= MAX_DISPATCHES or now_ms >= self.info.deadline_ms:
            return self._give_up(reason)
        if not self._budget.take_retry():
            return self._give_up(reason)
        return self._ask(now_ms)

    def deadline(self, now_ms: float, was_sent: Callable[[str], bool]) -> Effects:
        """End a request whose deadline has passed.

        Parameters
        ----------
        was_sent
            Returns whether a byte of an exchange may have been sent.
        """
        return self._stop(now_ms, was_sent, RefusalReason.TOO_LATE)

    def caller_gone(self, now_ms: float, was_sent: Callable[[str], bool]) -> Effects:
        """End a request whose caller closed the connection."""
        return self._stop(now_ms, was_sent, "caller_gone")

    def _stop(self, now_ms: float, was_sent: Callable[[str], bool], reason: str) -> Effects:
        if self._state is _State.WAITING:
            return [CancelSlot(self._slot_id), *self._give_up(reason)]
        if self._state is _State.FORWARDED:
            self._sent = True
        if self._state is not _State.DISPATCHED or self._grant is None:
            return [] if self.done else self._give_up(reason)
        grant, self._grant = self._grant, None
        effects: Effects = [AbortExchange(grant.grant_id)]
        if was_sent(grant.grant_id):
            self._sent = True
            effects.append(self._release_sent(now_ms, grant, ReleaseOutcome.ABANDONED))
        else:
            effects.append(_release(grant, ReleaseOutcome.UNUSED))
        return [*effects, *self._give_up(reason)]

    def _release_sent(
        self, now_ms: float, grant: SlotGrant, outcome: ReleaseOutcome
    ) -> ReleaseSlot:
        duration_ms = now_ms - self._dispatched_ms
        hold_ms = 0.0
        if outcome is ReleaseOutcome.ABANDONED:
            hold_ms = max(0.0, grant.max_run_ms - duration_ms)
        return _release(grant, outcome, duration_ms, hold_ms)

    def _give_up(self, reason: str) -> Effects:
        if self._fallback is not None:
            return self._finish(self._fallback)
        outcome = RequestOutcome.UNKNOWN if self._sent else RequestOutcome.NOT_RUN
        return self._finish(Answer(outcome, reason=str(reason)))

    def _finish(self, answer: Answer) -> Effects:
        require(
            answer.outcome is not RequestOutcome.NOT_RUN or not self._sent,
            "true_not_run",
            "A request that may have run would be reported as not run",
            request=self.info.request_id,
        )
        self._state = _State.DONE
        return [Finish(answer)]

    def _check_own(self, request_id: str) -> None:
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

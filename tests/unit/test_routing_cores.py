"""State machines of request routing on a manual clock; each test covers one rule."""

import random
from dataclasses import replace

import pytest

from nutmeglb_decisions.routing.admission import CALLER_QUANTUM, AdmissionQueue, WaitingRequest
from nutmeglb_decisions.routing.broker import EndpointView, Send, SlotBrokerCore
from nutmeglb_decisions.routing.idempotency import CommitRecord, KeyTable, Reply, owner_domain
from nutmeglb_decisions.routing.request_core import RequestCore
from nutmeglb_decisions.routing.request_types import (
    Dispatch,
    ExchangeEnd,
    ExchangeResult,
    Finish,
    ReleaseSlot,
    RequestInfo,
)
from nutmeglb_decisions.routing.retry_budget import MAX_SAVED_RETRIES, RetryBudget
from nutmeglb_decisions.routing.spillover import SUMMARY_MAX_AGE_MS, Spillover
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.config import RequestClass, Service
from nutmeglb_formats.models.idempotency import KEY_RETENTION_MS
from nutmeglb_formats.wire.routing import (
    ClaimState,
    DomainSummary,
    KeyClaim,
    KeyResult,
    ReleaseOutcome,
    RequestOutcome,
    ServiceSummary,
    SlotGrant,
    SlotRefused,
    SlotRelease,
    SlotRequest,
)

URGENT, DEFERRED = RequestClass.URGENT, RequestClass.DEFERRED
SERVICE = Service("s", "team", slots=2, connections=4, max_run_ms=1_000.0, queue_limit=4)
GRANT = SlotGrant("r.1", "g", "s", "e0", "e0", 50.0, 200.0, 1_000.0, 1)
INFO = RequestInfo("r", "s", URGENT, "c", 5_000.0, idempotent=False)


def _waiting_request(
    number: int, caller: str, request_class: RequestClass, start: float
) -> WaitingRequest:
    return WaitingRequest(f"{number}", "h", caller, request_class, 0.0, start, False, ())


@pytest.mark.parametrize(
    ("requests", "order"),
    [
        # Urgent requests start first; within a class, those whose latest start time is earliest.
        ([("a", DEFERRED, 1.0), ("b", URGENT, 9.0), ("c", URGENT, 5.0)], [2, 1, 0]),
        # A caller with many requests delays other callers by at most its quantum.
        (
            [("a", URGENT, 1.0)] * (CALLER_QUANTUM + 2) + [("b", URGENT, 9.0)],
            [*range(CALLER_QUANTUM), CALLER_QUANTUM + 2, CALLER_QUANTUM, CALLER_QUANTUM + 1],
        ),
    ],
)
def test_admission_order(requests: list[tuple[str, RequestClass, float]], order: list[int]) -> None:
    queue = AdmissionQueue(100)
    for number, (caller, request_class, start) in enumerate(requests):
        waiting_request = _waiting_request(number, caller, request_class, start)
        queue.assign_rank(waiting_request)
        assert queue.add(waiting_request) is None
    started: list[int] = []
    while (waiting_request := queue.first()) is not None:
        queue.start(waiting_request)
        started.append(int(waiting_request.request_id))
    assert started == order


@pytest.mark.parametrize(("new", "shed"), [(URGENT, "1"), (DEFERRED, "new")])
def test_full_queue_sheds_the_lowest_class(new: RequestClass, shed: str) -> None:
    queue = AdmissionQueue(2)
    for number, request_class in enumerate((URGENT, DEFERRED)):
        waiting_request = _waiting_request(number, "a", request_class, 1.0)
        queue.assign_rank(waiting_request)
        queue.add(waiting_request)
    waiting_request = replace(_waiting_request(2, "b", new, 9.0), request_id="new")
    queue.assign_rank(waiting_request)
    dropped = queue.add(waiting_request)
    assert dropped is not None
    assert dropped.request_id == shed
    assert len(queue) == 2


def _broker(endpoints: int = 2, service: Service = SERVICE) -> SlotBrokerCore:
    broker = SlotBrokerCore("d", 1, 200.0, random.Random(1))
    views = [EndpointView(f"e{number}", f"e{number}") for number in range(endpoints)]
    broker.configure(0.0, {"s": service}, {"s": views})
    return broker


def _request_slot(
    broker: SlotBrokerCore, now_ms: float, number: int, **changes: object
) -> list[Send]:
    message = SlotRequest(f"r{number}", "s", URGENT, "c", 2_000.0)
    return broker.request(now_ms, "h", replace(message, **changes))  # type: ignore[arg-type]


def _release(
    grant: SlotGrant, outcome: ReleaseOutcome, ms: float, hold: float = 0.0
) -> SlotRelease:
    return SlotRelease(grant.grant_id, "s", outcome, ms, hold)


def _first_grant(effects: list[Send]) -> SlotGrant:
    assert isinstance(effects[0].message, SlotGrant)
    return effects[0].message


@pytest.mark.parametrize(
    ("outcome", "hold", "free_at_ms"),
    [
        (ReleaseOutcome.ANSWERED, 0.0, 100.0),
        (ReleaseOutcome.UNUSED, 0.0, 100.0),
        # The endpoint may still be busy with an abandoned exchange.
        (ReleaseOutcome.ABANDONED, 900.0, 1_000.0),
        # Without a release, the grant expires after start limit, maximum run time and margin.
        (None, 0.0, 200.0 + 1_000.0 + 500.0),
    ],
)
def test_slot_is_freed_after_release_or_expiry(
    outcome: ReleaseOutcome | None, hold: float, free_at_ms: float
) -> None:
    broker = _broker(1, replace(SERVICE, slots=1))
    grant = _first_grant(_request_slot(broker, 0.0, 1))
    if outcome is not None:
        broker.release(100.0, "h", _release(grant, outcome, 100.0, hold))
    _request_slot(broker, 100.0, 2)
    early_effects = broker.tick(free_at_ms - 1.0)
    granted_early = any(isinstance(item.message, SlotGrant) for item in early_effects)
    assert not granted_early
    service = broker.service("s")
    assert service is not None
    effects = early_effects or broker.tick(free_at_ms)
    assert service.queued == 0
    assert all(isinstance(item.message, SlotGrant) for item in effects)


def test_failing_endpoint_is_skipped_and_probed_after_backoff() -> None:
    """Guards against an endpoint that attracts all requests because it fails immediately."""
    broker = _broker()
    used: list[str] = []
    for number in range(40):
        now_ms = 20.0 * number
        broker.tick(now_ms)
        grant = _first_grant(_request_slot(broker, now_ms, number, idempotent=True))
        used.append(grant.endpoint)
        failed = grant.endpoint == "e0"
        outcome = ReleaseOutcome.FAILED if failed else ReleaseOutcome.ANSWERED
        broker.release(now_ms + 10.0, "h", _release(grant, outcome, 1.0 if failed else 10.0))
    assert used.count("e0") <= 5
    grant = _first_grant(_request_slot(broker, 3_000.0, 99, idempotent=True))
    assert grant.endpoint == "e0"


def test_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    broker = _broker(1, replace(SERVICE, slots=1, queue_limit=100))
    for number in range(30):
        grant = _first_grant(_request_slot(broker, 100.0 * number, number))
        broker.release(100.0 * number + 90.0, "h", _release(grant, ReleaseOutcome.ANSWERED, 100.0))
    for number in range(100, 103):
        _request_slot(broker, 4_000.0, number)
    refused = _request_slot(broker, 4_000.0, 200, timeout_ms=150.0)[0].message
    assert isinstance(refused, SlotRefused)
    assert refused.reason == "too_late"


@pytest.mark.parametrize(("now_ms", "dispatched"), [(240.0, True), (260.0, False)])
def test_grant_is_not_used_after_its_start_limit(now_ms: float, dispatched: bool) -> None:
    """Guards G1 when the holder pauses: requested at 0 ms, granted at 50 ms, 200 ms to start."""
    attempt = RequestCore(INFO, RetryBudget(0.1))
    attempt.start(0.0)
    effects = attempt.granted(now_ms, GRANT)
    assert isinstance(effects[0], Dispatch) is dispatched
    if not dispatched:
        assert isinstance(effects[0], ReleaseSlot)
        assert effects[0].message.outcome is ReleaseOutcome.UNUSED


@pytest.mark.parametrize(
    ("idempotent", "end", "outcome"),
    [
        (False, ExchangeEnd.NOT_SENT, None),
        (False, ExchangeEnd.CLOSED, RequestOutcome.UNKNOWN),
        (False, ExchangeEnd.ABORTED, RequestOutcome.UNKNOWN),
        (True, ExchangeEnd.CLOSED, None),
    ],
)
def test_retry_depends_on_idempotency_and_exchange_end(
    idempotent: bool, end: ExchangeEnd, outcome: RequestOutcome | None
) -> None:
    attempt = RequestCore(replace(INFO, idempotent=idempotent), RetryBudget(0.1))
    attempt.start(0.0)
    attempt.granted(10.0, GRANT)
    last = attempt.exchange_ended(20.0, ExchangeResult("g", "r", end))[-1]
    answered = last.answer.outcome if isinstance(last, Finish) else None
    assert answered is outcome


def test_response_of_another_request_is_a_violation() -> None:
    attempt = RequestCore(INFO, RetryBudget(0.1))
    attempt.start(0.0)
    attempt.granted(10.0, GRANT)
    with pytest.raises(InvariantViolation, match="belongs to another request"):
        attempt.exchange_ended(20.0, ExchangeResult("g", "other", ExchangeEnd.RESPONSE, 200))


def test_retries_stay_within_the_budget() -> None:
    budget = RetryBudget(0.1)
    retries = 0
    for _ in range(10_000):
        budget.add_request()
        retries += budget.take_retry()
    assert retries <= 0.1 * 10_000 + MAX_SAVED_RETRIES


@pytest.mark.parametrize(
    ("local_wait_ms", "age_ms", "free", "chosen"),
    [
        (50.0, 0.0, 8, "b"),
        (1.0, 0.0, 8, None),
        (50.0, 0.0, 0, None),
        (float("inf"), 0.0, 0, "b"),
        (50.0, SUMMARY_MAX_AGE_MS + 1.0, 8, None),
    ],
)
def test_spillover_chooses_a_domain_with_a_shorter_wait(
    local_wait_ms: float, age_ms: float, free: int, chosen: str | None
) -> None:
    spillover = Spillover("a", random.Random(1))
    summary = ServiceSummary(8, free, 10 if free == 0 else 0, 50.0)
    spillover.update(0.0, DomainSummary("b", 1, {"s": summary}))
    assert spillover.choose(age_ms, "s", local_wait_ms) == chosen


def test_spillover_is_limited_between_summaries() -> None:
    spillover = Spillover("a", random.Random(1))
    spillover.update(0.0, DomainSummary("b", 1, {"s": ServiceSummary(8, 8, 0, 50.0)}))
    chosen = [spillover.choose(0.0, "s", 10.0) for _ in range(100)]
    assert chosen.count("b") <= 20


CLAIM = KeyClaim("s", "k", "r1", "f", 1_000.0)
REPEATED_CLAIM = replace(CLAIM, request_id="r2")


def _result(outcome: RequestOutcome, request_id: str = "r1") -> KeyResult:
    return KeyResult("s", "k", request_id, outcome, 200, (), b"body")


@pytest.mark.parametrize(
    ("outcome", "claim", "at_ms", "state"),
    [
        (None, REPEATED_CLAIM, 10.0, ClaimState.IN_PROGRESS),
        (None, REPEATED_CLAIM, 1_001.0, ClaimState.UNKNOWN),
        (RequestOutcome.ANSWERED, REPEATED_CLAIM, 10.0, ClaimState.STORED),
        (RequestOutcome.UNKNOWN, REPEATED_CLAIM, 10.0, ClaimState.UNKNOWN),
        (RequestOutcome.NOT_RUN, REPEATED_CLAIM, 10.0, None),
        (
            RequestOutcome.ANSWERED,
            replace(REPEATED_CLAIM, fingerprint="g"),
            10.0,
            ClaimState.REUSED,
        ),
        (RequestOutcome.ANSWERED, REPEATED_CLAIM, KEY_RETENTION_MS + 1.0, None),
    ],
)
@pytest.mark.parametrize("reloaded", [False, True])
def test_claim_of_a_repeated_key(
    outcome: RequestOutcome | None,
    claim: KeyClaim,
    at_ms: float,
    state: ClaimState | None,
    reloaded: bool,
) -> None:
    """Guards against a second run for a key (G5), also after a new leader has read the journal."""
    table, records = KeyTable(), []
    first = table.claim(0.0, CLAIM)
    assert isinstance(first, CommitRecord)
    records.append(first.record)
    assert table.committed(first.record).state is ClaimState.CLAIMED
    if outcome is not None:
        effect = table.result(_result(outcome))
        assert isinstance(effect, CommitRecord)
        records.append(effect.record)
    if reloaded:
        assert table.snapshot() == (records if outcome is not RequestOutcome.NOT_RUN else [])
        table = KeyTable()
        table.load(1.0, records)
    answer = table.claim(at_ms, claim)
    if state is None:
        assert isinstance(answer, CommitRecord)
    else:
        assert isinstance(answer, Reply)
        assert answer.answer.state is state


def test_claim_that_is_not_committed_leaves_the_key_free() -> None:
    table = KeyTable()
    first = table.claim(0.0, CLAIM)
    assert isinstance(first, CommitRecord)
    assert table.not_committed(first.record).state is ClaimState.REFUSED
    assert isinstance(table.claim(1.0, REPEATED_CLAIM), CommitRecord)


def test_owner_changes_only_for_keys_of_a_removed_domain() -> None:
    domains = ["a", "b", "c"]
    owners = {key: owner_domain("s", key, domains) for key in map(str, range(300))}
    assert min(list(owners.values()).count(domain) for domain in domains) > 50
    for key, owner in owners.items():
        if owner != "c":
            assert owner_domain("s", key, ["a", "b"]) == owner

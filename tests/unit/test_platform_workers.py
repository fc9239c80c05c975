"""Orders to the platform's runners: what an answer proves about a run."""

import asyncio

import pytest
from result import Err, Ok

from nutmeglb._internal.queues.ports import OrderAnswer, StartOrder
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_platform.http import Answer, CallFailure
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import worker_info

START = StartOrder("a.0.0.0", 1, "text", "", "", 5_000, 7)


class ScriptedHttp:
    """Answers every call with the same result."""

    def __init__(self, result):
        self._result = result

    async def call(self, method, url, timeout_ms, body=None, headers=None):
        return self._result


def send_order(result, call):
    gateway = RunnerGateway(ScriptedHttp(result), 100.0)
    if call == "start":
        return asyncio.run(gateway.start(worker_info(), START))
    if call == "stop":
        return asyncio.run(gateway.stop(worker_info(), "a.0.0.0", 1, 7))
    return asyncio.run(gateway.pace(worker_info(), "a.0.0.0", 1, 50, 7))


@pytest.mark.parametrize("call", ["start", "stop", "pace"])
@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, {"clock_ms": 5}, StartOutcome.STARTED),
        (400, {"clock_ms": 5}, StartOutcome.INVALID),
        (409, {"clock_ms": 5, "reason": "old"}, StartOutcome.STALE_RUN),
        (409, {"clock_ms": 5, "reason": "late"}, StartOutcome.LATE),
        (409, {"clock_ms": 5, "reason": "room"}, StartOutcome.NO_CAPACITY),
        (409, {"clock_ms": 5, "reason": "ticket"}, StartOutcome.TICKET),
        (421, {"clock_ms": 5}, StartOutcome.OTHER_INCARNATION),
        (429, None, StartOutcome.UNHEALTHY),
        (503, None, StartOutcome.UNHEALTHY),
        # The protocol does not say that any of these answers is without effect.
        (409, {"clock_ms": 5, "reason": "other"}, StartOutcome.UNKNOWN),
        (409, {"clock_ms": 5}, StartOutcome.UNKNOWN),
        (409, {"clock_ms": 5, "reason": None}, StartOutcome.UNKNOWN),
        (409, None, StartOutcome.UNKNOWN),
        (409, ["old"], StartOutcome.UNKNOWN),
        *((status, None, StartOutcome.UNKNOWN) for status in (202, 302, 404, 412, 500, 502, 504)),
    ],
)
def test_only_answers_of_the_protocol_are_conclusive(call, status, body, outcome):
    """Guards against a run that counts as refused while the worker may carry it out."""
    clock_ms = body.get("clock_ms") if isinstance(body, dict) else None
    answer = send_order(Ok(Answer(status, body)), call)
    assert answer == OrderAnswer(outcome, False, clock_ms)


def test_order_with_an_old_token_is_fenced():
    answer = send_order(Ok(Answer(409, {"clock_ms": 5, "reason": "fence"})), "start")
    assert answer.fenced


@pytest.mark.parametrize(
    ("failure", "outcome"),
    [
        (CallFailure.NOT_SENT, StartOutcome.NOT_DELIVERED),
        (CallFailure.UNANSWERED, StartOutcome.UNKNOWN),
        (CallFailure.MALFORMED, StartOutcome.UNKNOWN),
    ],
)
def test_only_an_order_that_was_certainly_not_sent_is_not_delivered(failure, outcome):
    assert send_order(Err(failure), "start") == OrderAnswer(outcome)


@pytest.mark.parametrize("status", [421, 404, 200, 204])
@pytest.mark.parametrize("body", [None, {}, [], {"clock_ms": 5}, "text"])
def test_answer_of_another_process_is_no_report(status, body):
    """Guards against a worker that is used at the address of another one, or of no worker."""
    gateway = RunnerGateway(ScriptedHttp(Ok(Answer(status, body))), 100.0)
    assert isinstance(asyncio.run(gateway.hold(worker_info(), 7, 0, None, 0)), Err)

"""Answers of the advice service: guards against tickets whose validity is not a time."""

import asyncio
import math

import pytest
from result import Err, Ok

from nutmeglb._internal.queues.ports import Advice
from nutmeglb_platform.advice import AdviceService
from nutmeglb_platform.http import Answer


class ScriptedHttp:
    """Answers every call with the same body."""

    def __init__(self, body):
        self._body = body

    async def call(self, method, url, timeout_ms, body=None):
        return Ok(Answer(200, self._body))


def request(body):
    service = AdviceService(ScriptedHttp(body), "advice:1")
    return asyncio.run(service.request_advice("a.0.0", ["w1", "w2"], 100.0))


@pytest.mark.parametrize(
    ("rows", "tickets"),
    [
        ([], ()),
        ([["w1", "t"], ["w2", ""]], (("w1", "t"), ("w2", ""))),
        ([["w1", "t", 7]], (("w1", "t"),)),
    ],
)
def test_answer_is_decoded(rows, tickets):
    assert request({"good": rows, "valid_ms": 50}) == Ok(Advice(tickets, 50.0))


@pytest.mark.parametrize(
    "body",
    [
        None,
        [],
        {},
        {"good": [], "valid_ms": None},
        *({"good": [], "valid_ms": ms} for ms in ("nan", "inf", math.nan, math.inf, -1, 1e300)),
        *({"good": rows, "valid_ms": 50} for rows in (None, "w1", {"w1": "t"}, ["w1"], [["w1"]])),
        *({"good": [row], "valid_ms": 50} for row in ([7, "t"], ["w1", None], ["w1", ["t"]])),
    ],
)
def test_odd_answer_is_an_error(body):
    """Guards against a step that never renews its tickets, since their end is not a number."""
    assert isinstance(request(body), Err)

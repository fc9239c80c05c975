"""Watch of the configuration on a scripted store: lag, order of versions, confirmation."""

import asyncio
import math
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import config_watch as module
from nutmeglb._internal.queues.config_watch import ConfigWatch, limits_from, wait_within
from nutmeglb._internal.queues.ports import Changes, Listing, StoredItem
from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb_decisions.queues.access import AccessLimits, Admission, Denial
from nutmeglb_decisions.queues.entry_age import StoreContact
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import StoredValueError, StoreUnavailable
from nutmeglb_formats.models.queues import Queue, QueueConfig, Team
from nutmeglb_formats.models.resources import Resources

CALL_TIMEOUT_MS = 700
FAILED = Err(StoreUnavailable("no answer", context={}, hint="none"))
REFUSED = Err(StoreUnavailable("status 429", context={}, hint="none"))
REFUSAL_MS = 4
BEAT_MS = 1_500.0
NONE = Ok(Changes((), 1))
LOST = Ok(Changes((), 0, history_lost=True))
QUEUE = Queue("q", "h", "/p/", "pool", 0, 1, 1.0, 0.0)
MALFORMED, DEFECT = b"malformed", b"defect"


def stored(revision, value=b"k"):
    return StoredItem("config", value, revision)


def listing(revision, value=b"k", as_of=None):
    return Ok(Listing((stored(revision, value),), as_of or revision))


def changed(*items, as_of=None):
    return Ok(Changes(items, as_of or items[-1].revision))


def settings_with(**sections):
    address = "127.0.0.1:1"
    return QueueSettings.model_validate(
        {
            "instance": {"id": "e", "failure_domain": "z"},
            "listen": {"caller": address, "health": address, "peer": address},
            "store": {"address": address, "call_timeout_ms": CALL_TIMEOUT_MS},
            **sections,
        }
    )


@dataclass(frozen=True)
class Slow:
    """An answer that takes its time."""

    answer: Any
    duration_ms: float


class World:
    """A scripted store. Each answer takes its time on a manual clock; the last one ends the run."""

    def __init__(self, answers, limits, wait_ms=1_500):
        self.clock = ManualClock(10_000.0)
        self.calls = []
        self.applied = []
        self._answers = list(answers)
        platform = SimpleNamespace(
            config_key="config", store=self, decode_config=self._decode_config
        )
        self.unanswered = 0
        self.contact = StoreContact(BEAT_MS)
        self.watch = ConfigWatch(
            platform, self.clock, self._record, self._count_unanswered, limits, wait_ms,
            self.contact.record,
        )  # fmt: skip

    def run(self):
        try:
            asyncio.run(self.watch.run())
        except asyncio.CancelledError:
            return

    def _record(self, config):
        self.applied.append((self.clock.now_ms() - 10_000.0, config.revision))

    def _count_unanswered(self):
        self.unanswered += 1

    async def range(self, prefix, *, large=False):
        return self._answer("read large" if large else "read", CALL_TIMEOUT_MS)

    async def changes(self, prefix, after, wait_ms, *, large):
        assert large
        call = f"watch {after}" if wait_ms else f"poll {after}"
        return self._answer(call, wait_ms + CALL_TIMEOUT_MS)

    def _answer(self, call, timeout_ms):
        if not self._answers:
            raise asyncio.CancelledError
        self.calls.append(call)
        answer = self._answers.pop(0)
        if answer is FAILED:
            self.clock.advance(timeout_ms)
        elif answer is REFUSED:
            self.clock.advance(REFUSAL_MS)
        elif isinstance(answer, Slow):
            self.clock.advance(answer.duration_ms)
            return answer.answer
        return answer

    async def _decode_config(self, item):
        if item.value == DEFECT:
            raise KeyError(item.value)
        if item.value == MALFORMED:
            return Err(StoredValueError("malformed", context={}, hint="none"))
        names = {item.value.decode(): "one"}
        teams = {"one": Team("one", 0, 1.0, Resources(0, 0, 0))}
        return Ok(QueueConfig(1, item.revision, (QUEUE,), frozenset(), 1, teams, names))


@pytest.fixture(autouse=True)
def pauses_s(monkeypatch):
    """Record the pauses in seconds, which cost no real time."""
    recorded = []

    async def sleep(duration_s):
        recorded.append(duration_s)

    monkeypatch.setattr(module.asyncio, "sleep", sleep)
    return recorded


LIMITS = AccessLimits(2_600.0)


@pytest.mark.parametrize(
    ("answers", "since_ms"),
    [
        ([listing(1)], 0.0),
        ([listing(1), Slow(NONE, 1_510.0), Slow(NONE, 1_510.0)], 0.0),
        # A call that was only refused is no gap.
        ([listing(1), REFUSED, Slow(NONE, 10.0)], 0.0),
        ([listing(1), NONE, FAILED, Slow(NONE, 10.0)], 1_500.0 + CALL_TIMEOUT_MS + 10.0),
        ([FAILED, REFUSED], None),
    ],
)
def test_follower_knows_since_when_the_store_has_answered(answers, since_ms):
    """Guards against a new leader that relies on entries from before an outage of the store."""
    world = World(answers, LIMITS)
    world.run()
    assert world.contact.since_ms == (math.inf if since_ms is None else 10_000.0 + since_ms)


@pytest.mark.parametrize("max_lag_ms", [2_000, 3_000, 4_000])
def test_version_takes_effect_in_time_after_a_watch_went_silent(max_lag_ms):
    """Guards against an instance that serves an old version behind a dead connection.

    The version is stored immediately after the watch began.
    """
    settings = settings_with(configuration={"max_lag_ms": max_lag_ms})
    answers = [listing(1), NONE, FAILED, changed(stored(2, b"new"))]
    world = World(answers, LIMITS, wait_within(settings))
    world.run()
    _, (applied_ms, revision) = world.applied
    assert revision == 2
    assert applied_ms + module.READ_MARGIN_MS <= max_lag_ms
    assert isinstance(world.watch.admit("h", "/p/x", "new"), Admission)


@pytest.mark.parametrize(
    ("answers", "calls"),
    [
        (
            [listing(1), NONE, changed(stored(2)), NONE, NONE],
            ["read large", "poll 1", "watch 1", "poll 2", "watch 2"],
        ),
        ([listing(1, as_of=9), LOST, listing(3)], ["read large", "poll 9", "read large"]),
        ([FAILED, FAILED, FAILED], ["read large", "read large", "read large"]),
        (
            [listing(1), NONE, FAILED, changed(stored(2)), NONE, NONE],
            ["read large", "poll 1", "watch 1", "poll 1", "poll 2", "watch 2"],
        ),
        (
            [listing(1), NONE, *[FAILED] * 6, changed(stored(2))],
            [
                *("read large", "poll 1"),
                *("watch 1", "poll 1", "read"),
                *("poll 1", "poll 1", "read large", "poll 1"),
            ],
        ),
    ],
    ids=["change", "history lost", "start", "silent", "outage"],
)
def test_calls_to_the_store(answers, calls):
    world = World(answers, LIMITS)
    world.run()
    assert world.calls == calls
    assert world.unanswered == sum(answer is FAILED for answer in answers)


@pytest.mark.parametrize(
    ("answers", "pauses"),
    [
        ([listing(1), FAILED, changed(as_of=1)], 0),
        ([FAILED, FAILED], 0),
        ([listing(1), REFUSED, changed(as_of=1), REFUSED, changed(as_of=1)], 2),
        ([REFUSED, REFUSED, REFUSED], 3),
    ],
    ids=["silent", "silent from the start", "every other call refused", "refused"],
)
def test_refused_calls_are_repeated_after_a_pause(pauses_s, answers, pauses):
    """Guards against a flood of calls to a store that refuses some of them."""
    World(answers, LIMITS).run()
    assert pauses_s == [(module.RETRY_MS - REFUSAL_MS) / module.MS_PER_S] * pauses


@pytest.mark.parametrize(
    ("answers", "revisions"),
    [
        ([listing(5), FAILED, FAILED, listing(4)], [5]),
        ([listing(5), changed(stored(4), as_of=6), changed(stored(7))], [5, 7]),
        ([listing(5), LOST, listing(3)], [5]),
        ([listing(5), changed(stored(6), stored(8))], [5, 8]),
        ([listing(5), changed(stored(6, MALFORMED)), changed(stored(8))], [5, 8]),
        ([listing(5), changed(stored(6, DEFECT)), changed(stored(6))], [5, 6]),
    ],
    ids=["read", "watch", "read again", "storm", "malformed", "defect"],
)
def test_older_version_never_replaces_a_newer_one(answers, revisions):
    world = World(answers, LIMITS)
    world.run()
    assert [revision for _, revision in world.applied] == revisions


@pytest.mark.parametrize(
    ("answers", "elapsed_ms", "key", "denial"),
    [
        ([listing(1)], 2_600, "other", Denial.KEY_UNKNOWN),
        ([listing(1)], 2_601, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1)], 99_999, "k", None),
        ([listing(1), NONE, FAILED, FAILED], 0, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1), FAILED, FAILED, listing(1)], 0, "other", Denial.KEY_UNKNOWN),
        ([Slow(listing(1), 1_400)], 1_200, "other", Denial.KEY_UNKNOWN),
        ([Slow(listing(1), 1_400)], 1_201, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1), NONE, Slow(changed(stored(2)), 2_600)], 1, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1), Slow(changed(stored(2)), 2_600), NONE], 1, "other", Denial.KEY_UNKNOWN),
        ([listing(1), FAILED, changed(as_of=2)], 0, "other", Denial.KEY_UNKNOWN),
        ([listing(1), changed(stored(2, MALFORMED))], 0, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1), changed(stored(2, DEFECT))], 2_601, "other", Denial.KEY_UNCONFIRMED),
        ([listing(1), changed(stored(2, b"other"))], 0, "k", Denial.KEY_UNKNOWN),
        ([listing(1), changed(stored(2, b"other"))], 0, "other", None),
        ([], 0, "k", Denial.QUEUE_UNCONFIRMED),
    ],
)
def test_unknown_key_is_denied_only_by_a_confirmed_configuration(answers, elapsed_ms, key, denial):
    world = World(answers, LIMITS)
    world.run()
    world.clock.advance(elapsed_ms)
    decision = world.watch.admit("h", "/p/x", key)
    assert (None if isinstance(decision, Admission) else decision) == denial


@pytest.mark.parametrize(
    ("sections", "limits"),
    [
        ({}, AccessLimits(2_600.0, math.inf, False)),
        ({"configuration": {"max_lag_ms": 2_000}}, AccessLimits(1_600.0, math.inf, False)),
        ({"teams": {"key_required": True}}, AccessLimits(2_600.0, math.inf, True)),
        ({"teams": {"revoke_ms": 5_000}}, AccessLimits(2_600.0, 4_600.0, False)),
    ],
)
def test_limits_follow_from_the_settings(sections, limits):
    assert limits_from(settings_with(**sections)) == limits

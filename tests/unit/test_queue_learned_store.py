"""The record of learned speeds is a hint: without a valid one a leader learns again."""

import asyncio

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import keys, learned_store
from nutmeglb._internal.queues.learned_store import LearnedStore
from nutmeglb._internal.queues.ports import Commit, StoredItem
from nutmeglb_decisions.queues.worker_speed import WorkerSpeed
from nutmeglb_formats.exceptions import StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import (
    Counter,
    LearnedSpeed,
    LearnedState,
    decode_queue_record,
    encode_queue_record,
)
from tests.lib.queues import CellWorld, worker_info

KEY_REVISION = 7
NO_ANSWER = Err(StoreOutcomeUnknown("no answer", hint="retry"))


class FakeStore:
    """Store that returns one value and gives the listed answers to writes."""

    def __init__(self, value=None, answers=()):
        self.value = value
        self.answers = list(answers)
        self.writes = []

    async def get(self, key):
        if isinstance(self.value, Err):
            return self.value
        return Ok(self.value and StoredItem(key, self.value, 1))

    async def commit(self, expected, puts, removals=()):
        self.writes.append((expected, puts))
        return self.answers.pop(0) if self.answers else Ok(Commit(True))


def world_of_one():
    world = CellWorld()
    world.show(worker_info("w1", machine="m-w1"))
    return world


@pytest.mark.parametrize(
    ("value", "slowness"),
    [
        (encode_queue_record(LearnedState([LearnedSpeed("m-w1", 500, 10)], [])), 1.65),
        (encode_queue_record(LearnedState([LearnedSpeed("m-w2", 500, 10)], [])), 1.0),
        (encode_queue_record(Counter(1, "writer")), 1.0),
        (b"malformed", 1.0),
        (None, 1.0),
        (NO_ANSWER, 1.0),
    ],
)
def test_takeover_starts_with_a_valid_record_only(value, slowness):
    world = world_of_one()
    asyncio.run(LearnedStore(FakeStore(value), world.cell, KEY_REVISION, None).load())
    assert world.worker("w1").slowness == pytest.approx(slowness, abs=0.01)


async def run_briefly(store, world, monkeypatch):
    monkeypatch.setattr(learned_store, "STORE_INTERVAL_S", 0.0)
    task = asyncio.create_task(LearnedStore(store, world.cell, KEY_REVISION, None).run())
    for _ in range(20):
        await asyncio.sleep(0)
    task.cancel()


@pytest.mark.parametrize(
    ("answers", "writes"),
    [((), 1), ((NO_ANSWER,), 2), ((Ok(Commit(False)), Ok(Commit(False))), 3)],
)
def test_changed_speeds_are_stored_under_the_condition_of_the_leader_key(
    answers, writes, monkeypatch
):
    world = world_of_one()
    world.cell.speeds.progress_is_visible = True
    world.cell.speeds.by_machine["m-w1"] = WorkerSpeed(0.5, 0.01, observations=3)
    store = FakeStore(answers=answers)
    asyncio.run(run_briefly(store, world, monkeypatch))
    assert len(store.writes) == writes
    expected, (put,) = store.writes[0]
    assert expected == {keys.LEADER: KEY_REVISION}
    stored = decode_queue_record(put.value, put.key).ok_value
    assert stored.speeds == [LearnedSpeed("m-w1", 500, 10)]


def test_nothing_is_stored_where_reports_show_no_progress(monkeypatch):
    store = FakeStore()
    asyncio.run(run_briefly(store, world_of_one(), monkeypatch))
    assert not store.writes

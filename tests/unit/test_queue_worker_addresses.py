"""A new leader finds out about workers that are gone at their last known addresses.

Guards against steps that wait, under each new leader, for the leases of workers that have crashed
and whose entries have left the store.
"""

import asyncio

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import keys, leader_hints
from nutmeglb._internal.queues.leader_hints import LeaderHints
from nutmeglb._internal.queues.ports import Commit, StoredItem
from nutmeglb_decisions.queues import progress, reports, worker_addresses
from nutmeglb_decisions.queues.ended_lives import OtherIncarnation, end_life
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import (
    Counter,
    JobProgress,
    WorkerAddress,
    WorkerAddresses,
    encode_queue_record,
)
from nutmeglb_formats.models.queues import StepProgress
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info

KEY_REVISION = 7
GONE = WorkerAddress("gone", "farm", "10.0.0.9:1", 900)
RECORD = encode_queue_record(WorkerAddresses([GONE]))


class FakeStore:
    """Store with one value per key, which records writes."""

    def __init__(self, values):
        self.values = values
        self.writes = []

    async def get(self, key):
        value = self.values.get(key)
        return value if isinstance(value, Err) else Ok(value and StoredItem(key, value, 1))

    async def commit(self, expected, puts, removals=()):
        self.writes.append((expected, puts))
        return Ok(Commit(True))


def world_of_new_leader():
    """Return a world whose only step has a listed worker and one without an entry."""
    world = CellWorld()
    world.cell.started_ms = world.now_ms
    world.cell.takeover_wait_deadline_ms = world.now_ms + 11_300.0
    stored = JobProgress(BATCH.name, "", 0.0, [], [StepProgress(0, 0, ["w1", "gone"], [], [])])
    progress.restore(world.cell, job("a", step()), stored, world.now_ms, world.now_ms)
    reports.apply_worker_list(world.cell, [worker_info("w1")], world.now_ms)
    return world


def load(world, values):
    store = FakeStore(values)
    hints = LeaderHints(store, world.cell, ManualClock(world.now_ms), KEY_REVISION, None)
    asyncio.run(hints.load())
    hints.recall_workers()
    return store, hints


def test_next_leader_does_not_wait_for_a_worker_without_an_entry_that_was_replaced():
    world = world_of_new_leader()
    load(world, {keys.ADDRESSES: RECORD})
    world.report("w1")
    world.now_ms += 100.0
    world.schedule()
    assert not world.started
    gone = world.worker("gone")
    assert gone.info.address == GONE.address and not gone.listed
    evidence = OtherIncarnation(GONE.address, GONE.started_ms, world.now_ms - 10.0)
    end_life(world.cell, gone, evidence, world.now_ms, world.now_ms)
    world.schedule()
    assert [order.worker_id for order in world.started] == ["w1"]
    (added_step,) = world.cell.jobs["a"].steps
    assert added_step.recorded == {"w1"}
    reports.apply_worker_list(world.cell, [worker_info("w1")], world.now_ms)
    assert "gone" not in world.cell.workers


def test_no_task_is_placed_on_a_worker_without_an_entry():
    world = world_of_new_leader()
    load(world, {keys.ADDRESSES: RECORD})
    for worker_id in ("w1", "gone"):
        world.report(worker_id, started_ms=world.worker(worker_id).started_ms)
    world.now_ms += 2_000.0
    for worker_id in ("w1", "gone"):
        world.report(worker_id, started_ms=world.worker(worker_id).started_ms)
    world.schedule()
    assert [order.worker_id for order in world.started] == ["w1"]


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"malformed",
        encode_queue_record(Counter(1, "writer")),
        encode_queue_record(WorkerAddresses([WorkerAddress("other", "farm", "10.0.0.8:1", 1)])),
        Err(StoreOutcomeUnknown("no answer", hint="retry")),
    ],
    ids=["none", "malformed", "another record", "another worker", "no answer"],
)
def test_without_its_address_a_worker_is_waited_for(value):
    world = world_of_new_leader()
    load(world, {keys.ADDRESSES: value})
    assert set(world.cell.workers) == {"w1"}
    (waiting,) = world.cell.jobs["a"].steps
    assert "gone" in waiting.unsettled


def test_addresses_are_stored_when_the_workers_change(monkeypatch):
    monkeypatch.setattr(leader_hints, "ADDRESS_INTERVAL_S", 0.0)
    world = CellWorld()
    world.show(worker_info("w1"))
    store, hints = load(world, {})

    async def scenario():
        running = asyncio.ensure_future(hints.run())
        for listed in (("w1",), ("w1", "w2")):
            world.show(*map(worker_info, listed))
            for _ in range(20):
                await asyncio.sleep(0)
        running.cancel()

    asyncio.run(scenario())
    written = [puts[0] for expected, puts in store.writes if expected == {keys.LEADER: 7}]
    assert [put.key for put in written] == [keys.ADDRESSES] * 2
    stored = worker_addresses.encode(world.cell, world.now_ms)
    assert written[-1].value == encode_queue_record(stored)

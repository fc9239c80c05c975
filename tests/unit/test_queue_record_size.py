"""The stored progress of a job with many occurrences stays below the largest value of the store."""

from dataclasses import dataclass, replace

import pytest

from nutmeglb._internal.queues.commits import _encode_write
from nutmeglb_decisions.queues import composition, lifecycle, progress, waiting
from nutmeglb_decisions.queues.composition import PartOptions
from tests.lib.queues import BATCH, CONFIG, CellWorld, job, step, worker_info

VALUE_BYTES = 12_000
WORKERS = 24
REPEATS = 120


@dataclass
class StoringWorld(CellWorld):
    """Cell whose records are stored as by the committer.

    Attributes
    ----------
    largest_bytes
        Size of the largest record that was stored.
    """

    largest_bytes: int = 0

    def store(self):
        writes = [_encode_write(dirty) for dirty in self.cell.dirty.values()]
        self.cell.dirty.clear()
        for write in writes:
            self.largest_bytes = max(self.largest_bytes, len(write.value))
            progress.committed(self.cell, write.job, write.progress)


@pytest.fixture
def world():
    world = StoringWorld()
    composition.configure(world.cell, CONFIG, PartOptions(value_bytes=VALUE_BYTES))
    world.show(*(worker_info(f"worker-{number:04}") for number in range(WORKERS)))
    return world


def repeated(*steps):
    return replace(job("a", *steps, queue=BATCH), repeats=REPEATS, interval_ms=0.0)


@pytest.mark.parametrize("steps", [[step(2)], [step(), step(2, after=(0,))], [step()] * 4])
def test_occurrences_that_are_all_due_fit_the_record_and_complete(world, steps):
    """Guards against a record that the store refuses for ever (review, case 6)."""
    added = world.add(repeated(*steps))
    rounds = 0
    while added.final is None:
        lifecycle.create_due_occurrences(world.cell, 1.0)
        world.now_ms += 100.0
        world.schedule()
        world.store()
        for order in world.answer_starts():
            world.end(order)
        rounds += 1
        assert rounds < 2 * REPEATS, f"{len(added.completed)} completed"
    assert world.largest_bytes <= VALUE_BYTES
    assert len(added.completed) == REPEATS


def test_wait_for_a_smaller_record_is_named(world):
    added = world.add(repeated(step(4)))
    lifecycle.create_due_occurrences(world.cell, 1.0)
    for _ in range(3):
        world.schedule()
        world.store()
    held = [each for each in added.steps if each.held_by]
    assert held
    cause = waiting.explain(world.cell, held[0], world.now_ms).cause
    assert cause == "the stored progress of its job is large until other occurrences end"


@pytest.mark.parametrize("repeats", [0, 2])
def test_job_with_a_large_record_goes_on_after_all_its_workers_were_replaced(world, repeats):
    """Guards against a job that waits for ever for its own ends to leave the record."""
    count = VALUE_BYTES
    record = replace(job("a", step(count, cpu=16_000, estimate_ms=1.0)), repeats=repeats)
    added = world.add(record)
    lifecycle.create_due_occurrences(world.cell, 1.0)
    for task in added.steps[0].tasks[: count - 1]:
        task.done = True
    added.steps[0].remaining = 1
    world.cell.mark_dirty(added)
    world.store()
    world.schedule()
    assert added.steps[0].tasks[-1].run is not None

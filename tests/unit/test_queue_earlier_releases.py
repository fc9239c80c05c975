"""Records and messages of earlier releases, which identify queues by their names."""

from types import SimpleNamespace

import pytest

from nutmeglb._internal.queues.service import QueueService
from nutmeglb_decisions.queues import learned_state
from nutmeglb_decisions.queues.access import find_queue_key
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.queue_records import LearnedRunTimes, LearnedState
from nutmeglb_formats.wire.queues import LoadReport, PendingQuery
from nutmeglb_formats.wire.registry import MESSAGES
from tests.lib.queues import BATCH, CONFIG, URGENT, CellWorld, job, step


@pytest.mark.parametrize(
    ("config", "queue", "key"),
    [
        (CONFIG, "urgent", URGENT.key),
        (CONFIG, URGENT.key, URGENT.key),
        (CONFIG, "removed", None),
        (CONFIG, "", None),
        (None, "urgent", None),
        (None, URGENT.key, URGENT.key),
    ],
)
def test_name_of_a_queue_is_resolved_by_the_configuration(config, queue, key):
    assert find_queue_key(config, queue) == key


@pytest.mark.parametrize(
    ("queue", "is_restored"), [("batch", True), (BATCH.key, True), ("removed", False)]
)
def test_learned_run_times_are_read(queue, is_restored):
    world = CellWorld()
    known = LearnedRunTimes(queue, 20.0, 7.0, 8.0, 1.0, 1.0, 0.1)
    learned_state.restore(world.cell, LearnedState([], [known]))
    assert list(world.cell.estimates.known_durations()) == ([BATCH.key] if is_restored else [])


@pytest.fixture
def follower_and_leader():
    """Service of an instance that leads, with the handlers of its peer messages."""
    world = CellWorld()
    world.add(job("00000000000000aa", step(), queue=BATCH))
    handlers = {}
    leader = SimpleNamespace(cell=world.cell, loaded=True)
    service = QueueService(
        ManualClock(1_000.0),
        SimpleNamespace(on=handlers.__setitem__),
        None,
        None,
        SimpleNamespace(current=CONFIG),
        None,
        lambda: leader,
    )
    return service, handlers


@pytest.mark.parametrize("by_key", [False, True])
def test_load_report_is_read(follower_and_leader, by_key):
    service, handlers = follower_and_leader
    batch, urgent = (BATCH.key, URGENT.key) if by_key else ("batch", "urgent")
    report = LoadReport([(batch, 500.0)], [(urgent, "one", 700.0), (urgent, "two", 800.0)])
    handlers[LoadReport]("e1", report)
    assert service._refusing == {BATCH.key: 500.0}
    assert service._refusing_teams == {(URGENT.key, "one"): 700.0, (URGENT.key, "two"): 800.0}


@pytest.mark.parametrize(
    ("query", "count"),
    [
        (PendingQuery("batch"), 1),
        (PendingQuery("urgent"), 0),
        (PendingQuery("removed"), 0),
        (PendingQuery(BATCH.key, by_key=True), 1),
        (PendingQuery(URGENT.key, by_key=True), 0),
    ],
)
def test_pending_jobs_are_counted(follower_and_leader, query, count):
    _, handlers = follower_and_leader
    assert handlers[PendingQuery]("e1", query).count == count


def test_query_by_key_is_not_mistaken_for_one_by_name():
    """Guards against an earlier release that looks for a queue with the key as its name."""
    assert MESSAGES.to_items(PendingQuery("batch"))[1] == 1
    assert MESSAGES.to_items(PendingQuery(BATCH.key, by_key=True))[1] == 2

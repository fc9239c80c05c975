"""The capacity of a worker is a fact with a time: when it counts, and for how long it is proved."""

import asyncio

import pytest
from pydantic import ValidationError

from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb_decisions.queues.effects import StopTask
from nutmeglb_decisions.queues.entry_age import CONTACT_SLACK_MS, EntryAge, StoreContact
from nutmeglb_decisions.queues.orders import StartOutcome
from tests.lib.queues import CellWorld, job, step, worker_info
from tests.lib.worker_link import Link

STABLE_MS = 3_000.0
BEAT_MS = 1_500.0
ORDER_MS = 400.0
SECTIONS = {
    "instance": {"id": "e1", "failure_domain": "z1"},
    "listen": dict.fromkeys(("caller", "health", "peer"), "127.0.0.1:0"),
    "store": {"address": "127.0.0.1:1"},
}


def list_workers(world, *infos, answering_since_ms=-BEAT_MS):
    """List workers for a leader with age limits, at the time of the world."""
    if world.cell.entry_age.max_age_ms > STABLE_MS:
        world.cell.entry_age = EntryAge.of(STABLE_MS, BEAT_MS, ORDER_MS)
    world.cell.entry_age.record_listing(world.now_ms, answering_since_ms)
    world.show(*infos)


@pytest.mark.parametrize(
    ("answers_ms", "since_ms"),
    [
        ([100.0], 100.0),
        ([100.0, 600.0, 1_100.0], 100.0),
        # A watch that waits for a whole beat is answered after it.
        ([100.0, 100.0 + BEAT_MS + CONTACT_SLACK_MS], 100.0),
        ([100.0, 2_500.0, 3_000.0], 2_500.0),
        ([100.0, 2_500.0, 2_400.0], 2_500.0),
    ],
)
def test_outage_of_the_store_is_noticed_as_a_gap_between_its_answers(answers_ms, since_ms):
    contact = StoreContact(BEAT_MS)
    for answered_ms in answers_ms:
        contact.record(answered_ms)
    assert contact.since_ms == since_ms


@pytest.mark.parametrize(
    ("failed_ms", "since_ms"), [(1_200.0, 1_700.0), (1_599.0, 1_700.0), (1_600.0, 100.0)]
)
def test_second_outage_within_a_beat_after_the_first_prolongs_the_gap(failed_ms, since_ms):
    """Guards against entries of workers whose only beat between two outages was lost, too."""
    contact = StoreContact(BEAT_MS)
    contact.record(100.0)
    contact.record(600.0)
    contact.record_failure(failed_ms)
    contact.record(1_700.0)
    assert contact.since_ms == since_ms


@pytest.mark.parametrize(
    ("listings", "proven_until_ms"),
    [
        # Pairs of the time of a listing and since when the store has answered.
        ([], float("-inf")),
        ([(10_000.0, 10_000.0)], float("-inf")),
        ([(10_000.0, 8_500.0)], 12_600.0),
        ([(10_000.0, 5_000.0), (10_500.0, 5_000.0)], 13_100.0),
        # Just after an outage some entries are older than it.
        ([(10_000.0, 5_000.0), (12_000.0, 12_000.0), (13_400.0, 12_000.0)], 12_600.0),
        ([(10_000.0, 5_000.0), (12_000.0, 12_000.0), (13_500.0, 12_000.0)], 16_100.0),
    ],
)
def test_listing_proves_the_capacity_until_a_change_that_it_misses_counts(
    listings, proven_until_ms
):
    """A change that no entry shows yet is younger than a beat, so it counts after stable_ms."""
    age = EntryAge.of(STABLE_MS, BEAT_MS, ORDER_MS)
    for sent_ms, since_ms in listings:
        age.record_listing(sent_ms, since_ms)
    assert age.proven_until_ms == proven_until_ms


@pytest.mark.parametrize(
    ("age_ms", "starts"), [(0.0, 1), (2_600.0, 1), (2_601.0, 0), (60_000.0, 0)]
)
def test_nothing_is_placed_by_an_entry_that_is_too_old(age_ms, starts):
    """Guards against starts beyond a capacity that shrank while the store did not answer."""
    world = CellWorld()
    list_workers(world, worker_info())
    world.add(job("a", step()))
    world.now_ms += age_ms
    world.schedule()
    assert len(world.started) == starts


def test_entry_read_again_lets_tasks_start():
    world = CellWorld()
    list_workers(world, worker_info())
    world.add(job("a", step()))
    world.now_ms += 60_000.0
    world.schedule()
    list_workers(world, worker_info(), answering_since_ms=world.now_ms)
    world.schedule()
    assert not world.started
    list_workers(world, worker_info(), answering_since_ms=world.now_ms - BEAT_MS)
    world.schedule()
    assert len(world.started) == 1


@pytest.mark.parametrize("age_ms", [-1.0, 1.0])
def test_order_queued_before_its_entry_became_too_old_is_not_sent(age_ms):
    """The age counts when the order is sent, however long ago the task was placed."""
    link = Link()
    link.worker.starts_until_ms = link.clock.now_ms() - age_ms
    asyncio.run(link.link.start(link.order))
    assert bool(link.sent) == (age_ms <= 0)
    assert bool(link.worker.runs) == (age_ms <= 0)


def test_entry_that_becomes_too_old_between_two_copies_leaves_the_outcome_unknown():
    """Guards against a second run of a task whose first order may be carried out late."""
    link = Link(answers=[StartOutcome.UNKNOWN], response_delay_ms=400.0)
    link.worker.starts_until_ms = link.clock.now_ms()
    asyncio.run(link.link.start(link.order))
    assert len(link.sent) == 1
    assert link.worker.runs
    assert link.world.cell.take_effects()


@pytest.mark.parametrize(
    ("cpu", "answers", "sent"),
    [
        (16_000, [], 1),
        (1_000, [], 1),
        (999, [], 0),
        (0, [], 0),
        # It shrinks while the first copy is unanswered.
        (999, [StartOutcome.UNKNOWN], 1),
    ],
)
def test_order_is_not_sent_to_a_worker_that_has_shrunk_since_the_task_was_placed(
    cpu, answers, sent
):
    """What is charged counts against the smaller capacity, also before a second copy is sent."""
    link = Link(answers)
    if answers:
        link.on_start = lambda: link.worker.update_info(worker_info(cpu=cpu))
    else:
        link.worker.update_info(worker_info(cpu=cpu))
    asyncio.run(link.link.start(link.order))
    assert len(link.sent) == sent
    # An unanswered copy may have started the run, so it is charged until its stop is proved.
    assert bool(link.worker.runs) == bool(sent)
    stops = [effect for effect in link.world.cell.take_effects() if isinstance(effect, StopTask)]
    assert len(stops) == len(answers)


def test_withheld_order_leaves_the_smaller_capacity_to_the_other_orders():
    """Guards against withholding all orders of a worker where one of them is too much."""
    link = Link()
    link.world.add(job("b", step()))
    link.world.schedule()
    second = link.world.started[-1]
    link.worker.update_info(worker_info(cpu=1_000))
    asyncio.run(link.link.start(link.order))
    asyncio.run(link.link.start(second))
    assert [order.task for order in link.sent] == [second.task]


def test_worker_is_not_avoided_because_its_entry_was_too_old():
    link = Link()
    link.worker.starts_until_ms = link.clock.now_ms() - 1.0
    asyncio.run(link.link.start(link.order))
    assert link.worker.avoided_until_ms == 0.0


# Rows of the listings of a worker, each its CPU, its start and the revision of its entry.
@pytest.mark.parametrize(
    ("listings", "counted_cpu"),
    [
        ([(4_000, 1, 5), (2_000, 1, 6)], 2_000),
        ([(4_000, 1, 5), (0, 1, 6)], 0),
        ([(4_000, 1, 5), (8_000, 1, 6)], 4_000),
        ([(4_000, 1, 5), (8_000, 1, 6), (8_000, 1, 6)], 8_000),
        ([(4_000, 1, 5), (8_000, 1, 6), (6_000, 1, 7)], 6_000),
        ([(4_000, 1, 5), (2_000, 1, 6), (4_000, 1, 7)], 2_000),
        ([(4_000, 1, 5), (8_000, 1, 6), (2_000, 1, 7), (8_000, 1, 8)], 2_000),
        # A delayed answer of the store shows a former entry.
        ([(8_000, 1, 5), (2_000, 1, 6), (8_000, 1, 5), (8_000, 1, 5)], 2_000),
        # The capacity of another incarnation is a new fact.
        ([(4_000, 1, 5), (8_000, 2, 6)], 8_000),
        ([(4_000, 1, 5), (8_000, 0, 6)], 4_000),
    ],
)
def test_single_or_outdated_reading_does_not_enlarge_a_worker(listings, counted_cpu):
    """Guards against starts by a capacity that the worker had before, or may not have yet."""
    world = CellWorld()
    for cpu, started_ms, revision in listings:
        world.show(worker_info(cpu=cpu, started_ms=started_ms, revision=revision))
        world.report("w1", started_ms=world.worker("w1").info.started_ms)
    world.add(job("a", step(20)))
    world.schedule()
    assert world.worker("w1").info.capacity.cpu_millis == counted_cpu
    assert len(world.started) == counted_cpu // 1_000


def test_change_of_capacity_is_logged_once_with_its_figures():
    world = CellWorld()
    for cpu in (4_000, 2_000, 2_000):
        world.show(worker_info(cpu=cpu))
    logged = [d for d in world.cell.take_decisions() if d.kind == "worker_resized"]
    assert [dict(d.fields)["new"].partition("/")[0] for d in logged] == ["2000"]
    assert dict(logged[0].fields)["former"].startswith("4000/")


@pytest.mark.parametrize(
    ("stable_ms", "list_ms", "valid"), [(3_000, 500, True), (901, 500, True), (900, 500, False)]
)
def test_age_limit_that_no_start_can_meet_is_refused(stable_ms, list_ms, valid):
    queues = {"worker_stable_ms": stable_ms, "list_ms": list_ms}
    try:
        QueueSettings.model_validate({**SECTIONS, "queues": queues})
    except ValidationError as error:
        assert not valid and "worker_stable_ms" in str(error)
    else:
        assert valid

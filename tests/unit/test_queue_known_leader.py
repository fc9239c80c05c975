"""What shows that a leader no longer sends orders, and how long its successor waits for that."""

import pytest

from nutmeglb._internal.queues.known_leader import MIN_REPLACEMENT_INTERVAL_MS, KnownLeader
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.queue_records import LeaderRecord
from tests.lib.queue_release_world import LASTING, ReleaseWorld
from tests.lib.queue_world import PROCESSES

AUTHORITY_MS = 5_000.0
# A lease of runs, and the time for which callers accept that a lasting task is not at work.
LEASE_MS = 6_000.0
ACCEPTED_MS = 9_000.0
OWN = LeaderRecord("e0", "e0-2", "a:1", 0, "")
OTHER = LeaderRecord("e1", "e1-1", "b:1", 3, "")
FORMER_OWN = LeaderRecord("e0", "e0-1", "a:1", 3, "")


def resign(known):
    known.note_resigned(OTHER.incarnation)


def end(known):
    known.note_ended()


def lead_again(known):
    known.note_ended()
    known.note_record(LeaderRecord("e1", "e1-1", "b:1", 5, ""))
    known.note_record(OTHER)


@pytest.mark.parametrize(
    ("record", "event", "age_ms", "replaceable", "free"),
    [
        (OTHER, None, 60_000.0, False, False),
        (OTHER, end, 5_300.0, True, True),
        (OTHER, end, 4_900.0, True, False),
        # The message may be late, and its sender lead again.
        (OTHER, resign, 60_000.0, True, False),
        (OTHER, lead_again, 60_000.0, False, False),
        (FORMER_OWN, None, 5_300.0, True, True),
        (FORMER_OWN, None, 0.0, True, False),
    ],
)
def test_evidence_that_a_leader_has_ended(record, event, age_ms, replaceable, free):
    clock = ManualClock(0.0)
    known = KnownLeader(clock, lambda: OWN)
    known.note_record(record)
    clock.advance(MIN_REPLACEMENT_INTERVAL_MS)
    known.note_record(LeaderRecord(record.instance_id, record.incarnation, "", 2, ""))
    known.note_record(record)
    if event is not None:
        event(known)
    clock.advance(age_ms)
    assert known.is_replaceable() is replaceable
    assert known.can_no_longer_order(record.term, AUTHORITY_MS) is free
    # Another leader in between has not been seen here.
    assert not known.can_no_longer_order(record.term + 1, AUTHORITY_MS)


@pytest.mark.parametrize(
    ("led_ms", "has_ended", "earliest_ms", "latest_ms"),
    [
        # review/4: the leader and the worker are lost at one moment.
        (8_000, True, LEASE_MS, ACCEPTED_MS),
        # An earlier leader could still send orders.
        (2_000, True, AUTHORITY_MS + LEASE_MS, 13_000.0),
        # The leader may only be paused, and still send orders.
        (8_000, False, AUTHORITY_MS + LEASE_MS, 14_000.0),
    ],
)
def test_lasting_task_of_a_lost_leader_and_worker_starts_again(
    led_ms, has_ended, earliest_ms, latest_ms
):
    """Guards against lasting tasks that are idle for the authority of a process that has ended."""
    world = ReleaseWorld()
    try:
        world.apply("submit", LASTING)
        world.apply("advance", led_ms)
        (lost,) = [life for life in world.lives.values() if life.runs]
        leader = next(n for n in PROCESSES if world.processes[n].leader is not None)
        lost_ms = world.simulation.now_ms
        world.apply("restart", lost.worker_id, 4_000, 60_000, 0.0)
        world.apply("pause", leader)
        if has_ended:
            world.apply("replace", 1 - leader)
        while not any(life.runs for life in world.lives.values() if life.is_up):
            world.advance(10.0)
            assert world.simulation.now_ms < lost_ms + 2 * ACCEPTED_MS
        assert earliest_ms <= world.simulation.now_ms - lost_ms <= latest_ms
    finally:
        world.close()

"""Release of the leadership: authority, lease, and records for the successor."""

import asyncio
import math
from dataclasses import replace

import pytest

from nutmeglb._internal.queues import keys, stored_jobs
from nutmeglb._internal.queues.leader_release import ReleaseFacts
from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import Counter, Waits, encode_queue_record
from standins.metadata_store import Fault
from tests.lib.queue_path import run_scenario

LONG_MS = 60_000.0
STRONG_MBPS = 1_000.0
WEAK_MBPS = 10.0
# Run lease in the default settings.
RUN_LEASE_S = 6.0


def test_early_resignation_passes_on_that_no_former_orders_exist():
    """Guards against idle workers after planned stops in quick succession."""

    async def scenario(path):
        former = path.leader
        other = next(entry for entry in path.entries if entry is not former)
        held = former.node._election
        claimed_ms = held._clock.now_ms() + LONG_MS
        held._term = replace(held.term, claimed_ms=claimed_ms, no_former_orders=True)
        await former.node.drain(former.frontend)
        await path.until(lambda: other.node.is_leading)
        assert other.node._election.term.no_former_orders

    run_scenario(scenario)


def test_weak_instance_leads_again_when_its_successor_stops_early():
    """Guards against a cell that has no leader for longer than the leases of its runs."""

    async def scenario(path):
        weak = path.entries[0]
        strong = await path.add_entry("strong", STRONG_MBPS)
        await path.until(lambda: strong.node.is_leading)
        await strong.node.drain(strong.frontend)
        async with asyncio.timeout(RUN_LEASE_S):
            while not weak.node.is_leading:
                await asyncio.sleep(0.02)

    run_scenario(scenario, entries=1, link_mbps=WEAK_MBPS)


@pytest.mark.parametrize("step", ["announce", "end of the lease"])
def test_renewal_during_a_handover_does_not_end_the_cooldown(step):
    """Guards against an election loop that steps down for another cause, without a cooldown.

    The loop keeps running while the store responds slowly to the handover.
    """

    async def scenario(path):
        held = path.leader.node._election
        store, answered = held._store, asyncio.Event()
        name = "commit" if step == "announce" else "lease_revoke"
        original = getattr(store, name)

        async def slow(*arguments):
            await answered.wait()
            return await original(*arguments)

        held._term = replace(held.term, claimed_ms=held._clock.now_ms() - LONG_MS)
        setattr(store, name, slow)
        handing_over = asyncio.create_task(held.hand_over(ReleaseFacts))
        await asyncio.sleep(0.3)
        answered.set()
        await handing_over
        setattr(store, name, original)
        assert held._cooldown_until_ms > Clock().now_ms()

    run_scenario(scenario, entries=1)


def test_leader_keeps_its_authority_while_the_store_cannot_elect_another():
    """A leader may command workers while the store is down, since nobody can be elected."""

    async def scenario(path):
        node = path.leader.node
        authority = node._election.term.authority
        path.inject_store_fault(Fault.SILENT)
        handing_over = asyncio.create_task(node._hand_over())
        await asyncio.sleep(0.1)
        assert authority.may_command
        path.heal()
        await handing_over

    run_scenario(scenario)


def test_successor_waits_for_orders_that_a_lost_leader_may_still_send():
    """Guards against a second run of a task that a partitioned leader has just started."""

    async def scenario(path):
        former = path.leader
        other = next(entry for entry in path.entries if entry is not former)
        held = former.node._election
        await held.stop()
        await held.step_down("lost")
        await path.until(lambda: other.node.is_leading)
        cell = other.node._leader.cell
        orders_until_ms = other.node._election.term.claimed_ms + held._settings.authority_ms
        assert cell.takeover_wait_deadline_ms >= orders_until_ms + cell.lease_expiry_after_ms

    run_scenario(scenario)


def test_orders_are_disabled_before_the_resignation_is_announced():
    async def scenario(path):
        held = path.leader.node._election
        held._term = replace(held.term, claimed_ms=held._clock.now_ms() - LONG_MS)
        authority, commit, may_command_values = held.term.authority, held._store.commit, []

        async def watched(expected, puts, removals=()):
            if keys.TERM in [put.key for put in puts]:
                may_command_values.append(authority.may_command)
            return await commit(expected, puts, removals)

        held._store.commit = watched
        await held.resign()
        held._store.commit = commit
        assert may_command_values == [False]

    run_scenario(scenario)


def test_late_announcement_of_a_former_leader_does_not_change_the_current_term():
    async def scenario(path):
        former = path.leader
        other = next(entry for entry in path.entries if entry is not former)
        held = former.node._election
        term = replace(held.term, claimed_ms=held._clock.now_ms() - LONG_MS)
        await former.node.drain(former.frontend)
        await path.until(lambda: other.node.is_leading)
        before = {key: path.store.data.items[key] for key in (keys.TERM, keys.LEADER)}
        await held._store_release(term, ReleaseFacts())
        assert {key: path.store.data.items.get(key) for key in before} == before

    run_scenario(scenario)


def test_election_stops_when_it_is_woken_at_the_same_time():
    """Guards against a process that never ends.

    A wake-up in the same iteration of the event loop hid the cancellation.
    """

    async def scenario(path):
        held = path.leader.node._election
        await asyncio.sleep(0.05)
        held._wake.set()
        await asyncio.sleep(0)
        stopping = asyncio.create_task(held.stop())
        done, _ = await asyncio.wait([stopping], timeout=3.0)
        for task in [] if done else held._background._tasks:
            task.cancel()
        assert done

    run_scenario(scenario)


def test_waits_are_collected_after_the_last_order():
    """Guards against a second run on a worker that answered and was used during the handover."""

    async def scenario(path):
        held = path.leader.node._election
        authority, may_command_values = held.term.authority, []

        def facts():
            may_command_values.append(authority.may_command)
            return ReleaseFacts()

        await held.hand_over(facts)
        assert may_command_values == [False]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("stored", "known"),
    [
        (Waits(3, [("w1", 500.0)]), True),
        (Waits(3, [("w1", math.nan)]), False),
        (Waits(3, [("w1", -1.0)]), False),
        (Counter(3, "w"), False),
        (None, False),
    ],
)
def test_malformed_waits_record_is_ignored(stored, known):
    item = StoredItem(keys.WAITS, encode_queue_record(stored), 1) if stored is not None else None
    assert stored_jobs.decode_waits(item) == (stored if known else None)

"""Leadership of a failure domain under store faults, pauses, restarts and partitions.

Guards against two instances of one domain that hold authority at the same time.
"""

import itertools
import random

import pytest
from hypothesis import HealthCheck, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from nutmeglb_decisions import leadership_events as ev
from nutmeglb_decisions.leadership import LeadershipCore
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.leader import LeaderRecord
from tests.lib.leadership_world import World

NAMES = ["a", "b", "c"]
PAIRS = [frozenset(pair) for pair in itertools.combinations(NAMES, 2)]
FAULTS = ("ok", "refuse", "lose_response", "hang")


def world_with_leader(seed_value: int = 1) -> tuple[World, str]:
    world = World(NAMES, seed_value)
    world.advance(10_000)
    (leader,) = world.leaders()
    return world, leader


class LeadershipMachine(RuleBasedStateMachine):
    @initialize(seed_value=st.integers(0, 1_000))
    def start(self, seed_value: int) -> None:
        self.world, _ = world_with_leader(seed_value)

    @rule(duration_ms=st.sampled_from((50.0, 700.0, 2_600.0, 6_000.0)))
    def advance(self, duration_ms: float) -> None:
        self.world.advance(duration_ms)

    @rule(name=st.sampled_from(NAMES), fault=st.sampled_from(FAULTS))
    def set_store_fault(self, name: str, fault: str) -> None:
        self.world.store_fault[name] = fault

    @rule(fault=st.sampled_from(FAULTS))
    def set_store_fault_for_all(self, fault: str) -> None:
        self.world.store_fault = dict.fromkeys(NAMES, fault)

    @rule(
        request_ms=st.sampled_from((2.0, 400.0, 1_500.0)),
        response_ms=st.sampled_from((2.0, 400.0, 1_500.0)),
    )
    def slow_store(self, request_ms: float, response_ms: float) -> None:
        self.world.store_latency_ms = request_ms
        self.world.response_latency_ms = response_ms

    @rule(on=st.booleans())
    def serve_stale_reads(self, on: bool) -> None:
        store = self.world.store
        self.world.stale = (store.leader, store.epoch) if on else None

    @rule()
    def store_loses_leases(self) -> None:
        for lease in list(self.world.store.leases):
            if self.world.store.leases[lease] - self.world.now_ms < 500:
                self.world.store.revoke(lease)

    @rule(name=st.sampled_from(NAMES), duration_ms=st.sampled_from((900.0, 2_900.0, 9_000.0)))
    def pause(self, name: str, duration_ms: float) -> None:
        self.world.pause(name, duration_ms)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.world.restart(name)

    @rule(pair=st.sampled_from(PAIRS), cut=st.booleans())
    def partition(self, pair: frozenset[str], cut: bool) -> None:
        (self.world.partitioned_pairs.add if cut else self.world.partitioned_pairs.discard)(pair)

    @rule(on=st.booleans())
    def drop_notices(self, on: bool) -> None:
        self.world.drop_notices = on

    @rule()
    def planned_stop_of_leader(self) -> None:
        for name in self.world.leaders():
            self.world.stop(name)
            self.world.advance(500)
            self.world.restart(name)

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @invariant()
    def epochs_are_won_once(self) -> None:
        if hasattr(self, "world"):
            assert len(set(self.world.elections)) == len({e for e, _ in self.world.elections})

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.heal()
            self.world.advance(30_000)
            assert len(self.world.leaders()) == 1


TestLeadership = seed(7)(LeadershipMachine).TestCase
TestLeadership.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_leader_continues_on_promises_while_the_store_is_unavailable() -> None:
    world, leader = world_with_leader()
    core = world.processes[leader].core
    world.store_fault = dict.fromkeys(NAMES, "refuse")
    for _ in range(100):
        world.advance(100)
        assert world.leaders() == [leader]
    assert (
        core.lease_authority_expires_at_ms() < world.now_ms < core.promise_authority_expires_at_ms()
    )
    world.heal()
    world.advance(3_000)
    assert world.leaders() == [leader]
    assert core.lease_authority_expires_at_ms() > world.now_ms
    assert len({epoch for epoch, _ in world.elections}) == 1


@pytest.mark.parametrize(
    ("fault", "within_ms"),
    [("stop", 1_500), ("kill", 8_000), ("pause", 12_000), ("cut_from_all", 12_000)],
)
def test_another_instance_takes_over(fault: str, within_ms: float) -> None:
    world, leader = world_with_leader()
    if fault == "stop":
        world.stop(leader)
    elif fault == "kill":
        world.pause(leader, 60_000)
        world.partitioned_pairs = {pair for pair in PAIRS if leader in pair}
    elif fault == "pause":
        world.pause(leader, 60_000)
    else:
        world.store_fault[leader] = "refuse"
        world.partitioned_pairs = {pair for pair in PAIRS if leader in pair}
    world.advance(within_ms)
    (successor,) = world.leaders()
    assert successor != leader


def candidate(now_ms: float) -> tuple[LeadershipCore, str]:
    """Return a core whose leader write is in flight, and the id of its election attempt."""
    core = LeadershipCore("x", ev.LeadershipTimes(), random.Random(1), 0.0)
    core.handle(ev.Tick(frozenset("a"), frozenset("a")), now_ms)
    core.handle(ev.LeaderRead(None, 5), now_ms)
    (grant,) = core.handle(ev.Tick(frozenset("a"), frozenset("a")), now_ms + 300)
    (write,) = core.handle(ev.LeaseGranted(grant.attempt, now_ms + 300, 1), now_ms + 300)
    assert isinstance(write, ev.WriteLeader)
    return core, write.record.attempt


def test_no_promise_while_an_attempt_is_in_progress() -> None:
    core, _ = candidate(10_000.0)
    answer = core.handle(ev.PromiseRequested("a", 5), 10_400.0)[0]
    assert answer == ev.Answer(accepted=False, known_epoch=5, store_reachable=True)


def test_no_attempt_while_a_promise_is_in_force() -> None:
    core, attempt = candidate(10_000.0)
    core.handle(ev.LeaderWritten(attempt, ev.WriteOutcome.NOT_APPLIED), 10_400.0)
    answer = core.handle(ev.PromiseRequested("a", 5), 10_500.0)[0]
    assert answer == ev.Answer(accepted=True, known_epoch=5, store_reachable=True)
    core.handle(ev.LeaderRead(None, 5), 10_600.0)
    tick_effects = [
        core.handle(ev.Tick(frozenset("a"), frozenset()), at) for at in (11_000.0, 12_400.0)
    ]
    assert not any(
        isinstance(effect, ev.GrantLease) for effects in tick_effects for effect in effects
    )


def test_attempt_that_took_effect_late_gives_no_authority_during_a_promise() -> None:
    core, attempt = candidate(10_000.0)
    core.handle(ev.LeaderWritten(attempt, ev.WriteOutcome.UNKNOWN), 10_400.0)
    core.handle(ev.PromiseRequested("a", 5), 10_500.0)
    core.handle(ev.LeaderRead(LeaderRecord("x", 6, attempt), 6), 10_600.0)
    core.handle(ev.LeaseRenewed(1, 10_600.0, ev.RenewOutcome.RENEWED), 10_700.0)
    assert not core.has_authority(12_400.0)
    assert core.has_authority(12_600.0)


def test_leader_without_the_store_and_one_promise_stops() -> None:
    world, leader = world_with_leader()
    world.store_fault = dict.fromkeys(NAMES, "refuse")
    world.partitioned_pairs = {next(pair for pair in PAIRS if leader in pair)}
    world.advance(5_000)
    assert world.leaders() == []
    world.listed = frozenset(NAMES) - (next(iter(world.partitioned_pairs)) - {leader})
    world.advance(8_000)
    assert world.leaders() == [leader]


def test_leader_that_alone_cannot_reach_the_store_hands_over() -> None:
    world, leader = world_with_leader()
    world.store_fault[leader] = "refuse"
    world.advance(5_000)
    assert world.leaders() == [leader]
    world.advance(15_000)
    (successor,) = world.leaders()
    assert successor != leader


@pytest.mark.parametrize(("pause_ms", "continues"), [(2_000.0, True), (4_000.0, False)])
def test_lone_instance_needs_the_store_after_a_long_pause(pause_ms: float, continues: bool) -> None:
    world = World(["a"], 1)
    world.advance(5_000)
    world.store_fault["a"] = "refuse"
    world.advance(10_000)
    assert world.leaders() == ["a"]
    world.pause("a", pause_ms)
    world.advance(10_000)
    assert world.leaders() == (["a"] if continues else [])


def test_unread_instance_list_gives_no_authority_without_the_store() -> None:
    world = World(["a"], 1)
    world.listed = None  # type: ignore[assignment]
    world.advance(10_000)
    assert world.leaders() == ["a"]
    world.store_fault["a"] = "refuse"
    world.advance(5_000)
    assert world.leaders() == []


def test_settling_reports_grants_and_unknown_holders() -> None:
    world = World(NAMES, 1)
    world.pause("c", 60_000)
    world.partitioned_pairs = {pair for pair in PAIRS if "c" in pair}
    world.advance(10_000)
    (leader,) = world.leaders()
    settled = [change for change in world.processes[leader].changes if change.settled]
    assert [change.unknown_holders for change in settled] == [("c",)]


def test_restarted_instance_does_not_campaign_within_a_promise() -> None:
    world = World(NAMES, 1)
    core = LeadershipCore("x", world.times, world.rng, 0.0)
    core.handle(ev.LeaderRead(None, 5), 10.0)
    times_ms = range(100, 2_500, 100)
    effects = [e for at in times_ms for e in core.handle(ev.Tick(None, frozenset()), float(at))]
    assert not any(isinstance(effect, ev.GrantLease) for effect in effects)


def test_authority_counts_from_the_time_a_renewal_was_sent() -> None:
    core, attempt = candidate(10_000.0)
    core.handle(ev.LeaderWritten(attempt, ev.WriteOutcome.APPLIED), 10_400.0)
    core.handle(ev.LeaseRenewed(1, 10_500.0, ev.RenewOutcome.RENEWED), 12_400.0)
    assert core.authority_expires_at_ms(12_400.0) == 10_500.0 + 3_000.0 - 500.0


def test_two_leaders_of_one_epoch_violate_the_invariant() -> None:
    world, leader = world_with_leader()
    core = world.processes[leader].core
    with pytest.raises(InvariantViolation):
        core.handle(ev.NoticeReceived("other", core.known_epoch), world.now_ms)

"""Whom a listener admits, refuses and closes: guards against memory that clients hold for ever."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from nutmeglb_decisions.intake.connections import (
    LINGER_MS,
    MAX_WAIT_MS,
    SLOW_REQUEST_MS,
    STALL_MS,
    ConnectionTable,
    Phase,
    Verdict,
)
from nutmeglb_decisions.intake.limits import ListenerLimits

SMALL = 10
LARGE = 100
LIMITS = ListenerLimits(4, 400, 100, SMALL)
# Three large requests fill the room that large requests may use.
FULL = 3


def table_with(requests, now_ms=0.0, limits=LIMITS):
    table = ConnectionTable(limits)
    numbers = []
    for request_bytes in requests:
        number = table.open("a", now_ms).number
        if request_bytes:
            assert table.reserve(number, request_bytes, now_ms).verdict is Verdict.ADMITTED
        numbers.append(number)
    return table, numbers


@pytest.mark.parametrize(
    ("held", "wanted", "age_ms", "verdict", "closed"),
    [
        ([], LARGE, 0.0, Verdict.ADMITTED, 0),
        ([LARGE] * 2, LARGE, 0.0, Verdict.ADMITTED, 0),
        ([LARGE] * FULL, LARGE, 0.0, Verdict.WAITING, 0),
        ([LARGE] * FULL, SMALL, 0.0, Verdict.ADMITTED, 0),
        ([LARGE] * FULL, LARGE, STALL_MS, Verdict.ADMITTED, 1),
        ([LARGE] * FULL, 3 * LARGE, STALL_MS, Verdict.ADMITTED, FULL),
        ([LARGE] * FULL, 4 * LARGE, STALL_MS, Verdict.REFUSED, 0),
        ([LARGE, LARGE, SMALL], 2 * LARGE, STALL_MS, Verdict.ADMITTED, 1),
    ],
    ids=[
        "empty",
        "last room",
        "full, all in progress",
        "small beside large ones",
        "one is stalled",
        "all are stalled",
        "never fits",
        "small ones make no room for large ones",
    ],
)
def test_reservation(held, wanted, age_ms, verdict, closed):
    table, numbers = table_with(held)
    newcomer = table.open("b", age_ms).number
    decision = table.reserve(newcomer, wanted, age_ms)
    assert (decision.verdict, len(decision.closed)) == (verdict, closed)
    assert set(decision.closed) <= set(numbers)


@pytest.mark.parametrize(
    ("phase", "age_ms", "admits"),
    [
        (Phase.IDLE, STALL_MS - 1, False),
        (Phase.IDLE, STALL_MS, True),
        (Phase.READING, STALL_MS, True),
        (Phase.RUNNING, 60_000.0, False),
        (Phase.ANSWERING, STALL_MS, True),
        (Phase.REFUSED, STALL_MS, True),
    ],
)
def test_new_connection_when_all_are_taken(phase, age_ms, admits):
    table, numbers = table_with([0] * LIMITS.connections)
    for number in numbers:
        if phase is not Phase.IDLE:
            table.reserve(number, SMALL, 0.0)
        if phase in (Phase.RUNNING, Phase.ANSWERING):
            table.run(number, 0.0)
        if phase is Phase.ANSWERING:
            table.answer(number, 0.0)
        if phase is Phase.REFUSED:
            table.refuse(number, 0.0)
        assert table.phase_of(number) is phase
    opened = table.open("b", age_ms)
    assert (opened.number is not None) == admits
    assert table.connections == LIMITS.connections


def test_connection_of_the_busiest_address_is_closed_first():
    table = ConnectionTable(LIMITS)
    ordinary = table.open("ordinary", 0.0).number
    strangers = [table.open("stranger", 10.0).number for _ in range(3)]
    assert table.open("other", 5_000.0).closed == (strangers[0],)
    assert table.phase_of(ordinary) is Phase.IDLE


def test_idlest_connection_is_closed_first_if_no_address_dominates():
    table = ConnectionTable(LIMITS)
    numbers = [table.open(f"client {each}", float(each)).number for each in range(4)]
    table.note_progress(numbers[0], 50.0)
    assert table.open("other", 5_000.0).closed == (numbers[1],)


def test_body_of_a_byte_now_and_then_frees_its_room_in_the_end():
    table, numbers = table_with([LARGE] * FULL)
    now_ms = 0.0
    while now_ms < SLOW_REQUEST_MS:
        assert table.reserve(table.open("b", now_ms).number or 0, LARGE, now_ms).closed == ()
        for number in numbers:
            table.note_progress(number, now_ms)
        now_ms += STALL_MS / 2
    newcomer = table.open("b", now_ms).number
    assert table.reserve(newcomer, LARGE, now_ms).verdict is Verdict.ADMITTED


def test_slow_body_is_left_alone_while_there_is_room():
    table, (number,) = table_with([LARGE])
    for second in range(600):
        assert table.advance(second * 1_000.0).closed == ()
    assert table.phase_of(number) is Phase.READING


def test_waiting_request_is_admitted_when_room_is_released():
    table, numbers = table_with([LARGE] * FULL)
    waiting = table.open("b", 0.0).number
    assert table.reserve(waiting, LARGE, 0.0).verdict is Verdict.WAITING
    assert table.advance(10.0).admitted == ()
    table.expect_request(numbers[0], 20.0)
    assert table.advance(20.0).admitted == (waiting,)
    assert table.phase_of(waiting) is Phase.READING


def test_waiting_request_is_refused_after_a_while():
    table, numbers = table_with([LARGE] * FULL)
    waiting = table.open("b", 0.0).number
    table.reserve(waiting, LARGE, 0.0)
    for number in numbers:
        table.run(number, 0.0)
    assert table.advance(MAX_WAIT_MS - 1).refused == ()
    assert table.advance(MAX_WAIT_MS).refused == (waiting,)
    assert table.phase_of(waiting) is Phase.REFUSED
    assert table.advance(MAX_WAIT_MS + LINGER_MS).expired == (waiting,)
    assert not table.needs_time


def test_time_in_which_the_process_did_not_run_counts_against_nobody():
    table, _ = table_with([LARGE] * FULL)
    waiting = table.open("b", 0.0).number
    table.reserve(waiting, LARGE, 0.0)
    changes = table.advance(5_000.0, late_ms=4_900.0)
    assert (changes.admitted, changes.refused, changes.closed) == ((), (), ())


def test_request_whose_client_has_gone_is_charged_until_it_was_processed():
    table, (number,) = table_with([LARGE])
    table.run(number, 0.0)
    table.close(number)
    assert (table.connections, table.request_bytes) == (0, LARGE)
    table.end_run(number, 0.0)
    assert table.request_bytes == 0


def test_requests_whose_clients_have_gone_keep_their_places():
    """Guards against any number of requests in progress, of clients that leave at once."""
    table = ConnectionTable(LIMITS)
    numbers = []
    for _ in range(LIMITS.connections):
        number = table.open("a", 0.0).number
        table.reserve(number, 0, 0.0)
        table.run(number, 0.0)
        table.close(number)
        numbers.append(number)
    assert table.connections == 0
    assert table.open("b", 60_000.0).number is None
    table.end_run(numbers[0], 60_000.0)
    assert table.open("b", 60_000.0).number is not None


def test_request_that_was_processed_as_its_client_left_is_no_longer_charged():
    table, (number,) = table_with([LARGE])
    table.run(number, 0.0)
    table.end_run(number, 0.0)
    table.close(number)
    assert (table.connections, table.request_bytes) == (0, 0)


@pytest.mark.parametrize("phase", [Phase.IDLE, Phase.RUNNING])
def test_shortage_of_descriptors_closes_no_running_request(phase):
    table, (number,) = table_with([SMALL])
    if phase is Phase.RUNNING:
        table.run(number, 0.0)
    assert table.relieve(0.0) == ((number,) if phase is Phase.IDLE else ())


class IntakeMachine(RuleBasedStateMachine):
    """Draws what clients do in any order."""

    numbers = Bundle("numbers")

    def __init__(self):
        super().__init__()
        self.table = ConnectionTable(LIMITS)
        self.now_ms = 0.0

    @rule(target=numbers, address=st.sampled_from("ab"))
    def open(self, address):
        return self.table.open(address, self.now_ms).number or 0

    @rule(number=numbers, request_bytes=st.integers(1, 350), may_wait=st.booleans())
    def reserve(self, number, request_bytes, may_wait):
        decide = self.table.reserve if may_wait else self.table.grow
        assert may_wait or decide(number, request_bytes, self.now_ms).verdict is not Verdict.WAITING
        if may_wait:
            decide(number, request_bytes, self.now_ms)

    @rule(number=numbers, event=st.sampled_from(["run", "answer", "refuse", "expect_request"]))
    def change(self, number, event):
        getattr(self.table, event)(number, self.now_ms)

    @rule(number=numbers)
    def progress(self, number):
        self.table.note_progress(number, self.now_ms)

    @rule(number=numbers)
    def end_run(self, number):
        self.table.end_run(number, 0.0)

    @rule(number=consumes(numbers))
    def close(self, number):
        self.table.close(number)
        self.table.end_run(number, 0.0)
        assert self.table.phase_of(number) is None

    @rule(passed_ms=st.sampled_from([1.0, 100.0, 1_000.0, 20_000.0]))
    def advance(self, passed_ms):
        self.now_ms += passed_ms
        changes = self.table.advance(self.now_ms)
        for number in changes.admitted:
            assert self.table.phase_of(number) is Phase.READING
        for number in changes.closed + changes.expired:
            assert self.table.phase_of(number) is None

    @invariant()
    def stays_within_its_limits(self):
        assert 0 <= self.table.connections <= LIMITS.connections
        assert 0 <= self.table.request_bytes <= LIMITS.request_bytes

    def teardown(self):
        for number in range(1, self.table._next_number):
            self.table.close(number)
            self.table.end_run(number, 0.0)
        assert (self.table.connections, self.table.request_bytes) == (0, 0)
        assert self.table._large_bytes == 0
        assert not self.table.needs_time


TestIntakeMachine = IntakeMachine.TestCase
TestIntakeMachine.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)


def test_crowd_of_any_kind_leaves_room_for_small_requests():
    """A crowd that holds all of the room for large requests, at the size of a real machine."""
    rng = random.Random(49)
    limits = ListenerLimits(400, 16_000_000, 4_000_000, 65_536)
    table = ConnectionTable(limits)
    now_ms = 0.0
    for _ in range(5_000):
        now_ms += rng.expovariate(1 / 3.0)
        number = table.open("stranger", now_ms).number
        if number is not None:
            table.reserve(number, rng.choice([70_000, 327_680, 3_145_728]), now_ms)
        table.advance(now_ms)
        assert table.request_bytes <= limits.request_bytes
    # At the latest after a stall, the table has a place for a new client and room for its request.
    now_ms += STALL_MS
    ordinary = table.open("ordinary", now_ms).number
    assert ordinary is not None
    assert table.reserve(ordinary, 10_000, now_ms).verdict is Verdict.ADMITTED

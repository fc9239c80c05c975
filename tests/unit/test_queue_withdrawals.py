"""Cancellations of jobs that are not stored: their marks, and all orders of concurrent calls."""

import asyncio
import random
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues import submissions as module
from nutmeglb._internal.queues.ports import Commit, Listing, StoredItem
from nutmeglb._internal.queues.submissions import Cancellation, Submission, Submissions
from nutmeglb._internal.queues.withdrawal_marks import (
    LEASE_MS,
    LEASE_USE_MS,
    TooManyWithdrawals,
    WithdrawalMarks,
)
from nutmeglb_decisions.queues import withdrawals
from nutmeglb_decisions.queues.access import ANY_CALLER, Caller
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import StoreOutcomeUnknown, StoreRefused, StoreUnavailable
from nutmeglb_formats.models.queue_records import (
    AcceptedJob,
    JobProgress,
    WithdrawnJob,
    decode_queue_record,
    encode_queue_record,
)
from tests.lib.queues import BATCH, URGENT, call_about, job, step

JOB = job("00000000000000aa", step(), queue=BATCH)
ONE, TWO = Caller("one"), Caller("two")
UNKNOWN = StoreOutcomeUnknown("no answer", context={}, hint="none")
UNAVAILABLE = StoreUnavailable("refused", context={}, hint="none")
REFUSED = StoreRefused("status 404", context={}, hint="none")
GATE = SimpleNamespace(allows_writes=True, record_failure=lambda: None)


@pytest.mark.parametrize(
    ("caller", "team", "is_barred"),
    [
        (ANY_CALLER, "", True),
        (ANY_CALLER, "one", True),
        (ONE, "one", True),
        (ONE, "", True),
        (ONE, "two", False),
        # A team's name cannot stand for every team.
        (Caller("every"), "two", False),
    ],
)
@pytest.mark.parametrize("queue", [BATCH, URGENT])
def test_cancellation_bars_the_submissions_that_its_caller_may_see(caller, team, is_barred, queue):
    scopes = withdrawals.cancelled_scopes(call_about(JOB, caller))
    submitted = withdrawals.submitted_scopes(replace(JOB, team=team, queue=queue))
    assert (not set(scopes).isdisjoint(submitted)) == (is_barred and queue is BATCH)


def test_scopes_have_a_bounded_length():
    """Guards against keys that are longer than the store allows."""
    queue = replace(BATCH, host="h" * 300, prefix="/" + "p" * 9_000)
    call = call_about(replace(JOB, queue=queue), Caller("t" * 9_000 + "\udcff"))
    for scope in withdrawals.cancelled_scopes(call):
        assert len(keys.withdrawn(JOB.job_id, scope)) < 100


def test_marks_of_an_instance_are_limited():
    """Guards against callers who fill the store by cancelling ids that never existed."""
    budget = withdrawals.MarkBudget(0.0)
    assert sum(not budget.take(0.0) for _ in range(1_000)) == withdrawals.MARKS_BURST
    wait_ms = budget.take(0.0)
    assert wait_ms == 1_000.0 / withdrawals.MARKS_PER_S
    assert not budget.take(wait_ms) and budget.take(wait_ms)
    assert budget.take(-1_000.0)


@dataclass
class LeaseStore:
    """Store whose commits are answered as scripted."""

    answers: list = field(default_factory=list)
    granted: list = field(default_factory=list)
    leases: list = field(default_factory=list)

    async def lease_grant(self, ttl_ms):
        self.granted.append(ttl_ms)
        return Ok(len(self.granted))

    async def commit(self, expected, puts, removals=()):
        self.leases.append({put.lease for put in puts})
        return self.answers.pop(0) if self.answers else Ok(Commit(True, 5))


def test_marks_share_a_lease_that_outlasts_each_of_them():
    store, clock = LeaseStore(), ManualClock(1_000.0)
    marks = WithdrawalMarks(store, clock)

    def put():
        return asyncio.run(marks.put(call_about(JOB, ONE), 0))

    assert put().unwrap().applied and put().unwrap().applied
    clock.advance(LEASE_USE_MS + 1.0)
    put()
    assert store.granted == [LEASE_MS] * 2 and store.leases == [{1}, {1}, {2}]
    assert LEASE_MS - LEASE_USE_MS >= withdrawals.MARK_LIFE_MS
    # The lease has ended in the store, so the next attempt obtains another one.
    store.answers = [Err(REFUSED)]
    assert isinstance(put(), Err)
    put()
    assert store.leases[-2:] == [{2}, {3}]
    for _ in range(withdrawals.MARKS_BURST):
        last = put()
    assert isinstance(last.err_value, TooManyWithdrawals)


class Store:
    """Store with conditional writes whose answers get lost and which may be executed late.

    ``check`` is called after each change.
    """

    def __init__(self, rng, check):
        self.rng = rng
        self.items = {}
        self.revision = 0
        self.late = []
        self.is_calm = False
        self._check = check

    async def get(self, key):
        await self._turn()
        return Err(UNAVAILABLE) if self._fails() else Ok(self.items.get(key))

    async def range(self, prefix):
        await self._turn()
        if self._fails():
            return Err(UNAVAILABLE)
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Ok(Listing(tuple(found), self.revision))

    async def lease_grant(self, ttl_ms):
        await self._turn()
        return Err(UNKNOWN) if self._fails() else Ok(1)

    async def commit(self, expected, puts, removals=()):
        await self._turn()
        fate = "answered" if self.is_calm else self.rng.choice(FATES)
        if fate == "unavailable":
            return Err(UNAVAILABLE)
        if fate == "late":
            self.late.append((expected, puts, removals))
        if fate in ("late", "lost"):
            return Err(UNKNOWN)
        answer = self.apply(expected, puts, removals)
        await self._turn()
        return Err(UNKNOWN) if fate == "answer lost" else Ok(answer)

    def apply(self, expected, puts, removals=()):
        found = {key: self.items[key] for key in expected if key in self.items}
        if any(not _holds(key, expected, found) for key in expected):
            return Commit(False, 0, found)
        self.revision += 1
        for put in puts:
            self.items[put.key] = StoredItem(put.key, put.value, self.revision)
        for key in removals:
            self.items.pop(key, None)
        self._check()
        return Commit(True, self.revision)

    def execute_late_write(self):
        if self.late:
            self.apply(*self.late.pop(self.rng.randrange(len(self.late))))

    def _fails(self):
        return not self.is_calm and self.rng.random() < 0.1

    async def _turn(self):
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if self.rng.random() < 0.2:
            self.execute_late_write()


FATES = ["answered"] * 4 + ["answer lost", "lost", "late", "late", "unavailable"]


def _holds(key, expected, found):
    return (found[key].revision if key in found else 0) == expected[key]


class World:
    """Three instances on one store, and what their callers were answered about one id."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock(1_000.0)
        self.store = Store(self.rng, self.check)
        self.instances = [Submissions(self.store, self.clock, GATE) for _ in range(3)]
        # Calls whose cancellation was acknowledged, or may take effect.
        self.acknowledged = []
        self.attempted = []

    def check(self):
        """Check that no job may start whose cancellation has been acknowledged."""
        item = self.store.items.get(keys.accepted(JOB.job_id))
        if item is None or keys.cancelled(JOB.job_id) in self.store.items:
            return
        record = decode_queue_record(item.value, item.key).unwrap()
        if isinstance(record, AcceptedJob):
            stored = record.job
            for call in self.acknowledged:
                assert not call.concerns(stored.queue.key, stored.team), "runs though cancelled"

    async def submit(self, record, caller):
        instance = self.rng.choice(self.instances)
        deadline_ms = self.clock.now_ms() + self.rng.choice([0.0, 100.0])
        call = call_about(record, caller)
        outcome = (await instance.submit(record, deadline_ms, call)).outcome
        if outcome == Submission.WITHDRAWN:
            assert any(c.concerns(record.queue.key, record.team) for c in self.attempted)
        return outcome

    async def cancel(self, record, caller):
        call = call_about(record, caller)
        self.attempted.append(call)
        instance = self.rng.choice(self.instances)
        deadline_ms = self.clock.now_ms() + self.rng.choice([0.0, 100.0])
        cancelled = await instance.cancel(call, deadline_ms)
        if isinstance(cancelled, Ok):
            self.acknowledged.append(call)
            self.check()
        return cancelled

    async def finish(self):
        """Store the end of the job, as a leader does, and remove its other records."""
        names = [f(JOB.job_id) for f in (keys.accepted, keys.cancelled)]
        accepted = self.store.items.get(names[0])
        if accepted is None:
            return
        record = decode_queue_record(accepted.value, accepted.key).unwrap()
        if isinstance(record, AcceptedJob):
            final = "cancelled" if names[1] in self.store.items else "completed"
            key, team = record.job.queue.key, record.job.team
            progress = encode_queue_record(JobProgress(key, final, 0.0, [], [], team))
            put = SimpleNamespace(key=keys.final(JOB.job_id), value=progress)
            self.store.apply({names[0]: accepted.revision}, [put], names)

    async def later(self, operation, *arguments):
        for _ in range(self.rng.randrange(40)):
            await asyncio.sleep(0)
        self.clock.advance(10.0)
        return await operation(*arguments)

    async def play(self):
        parties = [(replace(JOB, team=c.team), c) for c in (ONE, ONE, TWO)]
        parties.append((replace(JOB, team="one", queue=URGENT), ONE))
        parties = parties[: self.rng.choice([1, 2, 4])]
        if self.rng.random() < 0.2:
            withdrawn = SimpleNamespace(
                key=keys.accepted(JOB.job_id), value=encode_queue_record(WithdrawnJob("n"))
            )
            self.store.apply({}, [withdrawn])
        calls = []
        for number in range(self.rng.randrange(2, 9)):
            record, caller = self.rng.choice(parties)
            record = replace(record, nonce=str(number))
            calls.append(self.later(self.submit, record, caller))
        for _ in range(self.rng.randrange(1, 4)):
            calls.append(self.later(self.cancel, *self.rng.choice(parties)))
        if self.rng.random() < 0.5:
            calls.append(self.later(self.finish))
        await asyncio.gather(*calls)
        while self.store.late:
            self.store.execute_late_write()


@pytest.mark.parametrize("block", range(10))
def test_no_order_of_calls_and_late_writes_runs_a_cancelled_job(block, monkeypatch):
    """Guards against a job that runs after its cancelling was answered (review, case 8)."""
    monkeypatch.setattr(module, "RETRY_MS", 0.0)
    for seed in range(block * 60, block * 60 + 60):
        world = World(seed)
        try:
            asyncio.run(asyncio.wait_for(world.play(), 30.0))
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error


@pytest.mark.parametrize("record", [WithdrawnJob("n"), None])
def test_job_is_barred_beside_records_without_a_job(record, monkeypatch):
    """Guards against a cancellation that is never answered beside a record of a former release."""
    monkeypatch.setattr(module, "RETRY_MS", 0.0)

    async def scenario():
        world = World(0)
        world.store.is_calm = True
        if record is not None:
            put = SimpleNamespace(key=keys.accepted(JOB.job_id), value=encode_queue_record(record))
            world.store.apply({}, [put])
        assert await world.cancel(JOB, ANY_CALLER) == Ok(Cancellation.BARRED)
        assert await world.submit(JOB, ANY_CALLER) == Submission.WITHDRAWN
        assert await world.cancel(JOB, ANY_CALLER) == Ok(Cancellation.BARRED)

    asyncio.run(scenario())


def test_cancellation_beside_a_malformed_final_state_is_answered():
    async def scenario():
        world = World(0)
        world.store.is_calm = True
        put = SimpleNamespace(key=keys.final(JOB.job_id), value=b"\xff")
        world.store.apply({}, [put])
        assert await world.cancel(JOB, ANY_CALLER) == Ok(Cancellation.NOT_FOUND)

    asyncio.run(scenario())


@pytest.mark.parametrize("fates", [["lost"], ["late"], ["answer lost"], ["unavailable"]])
def test_cancellation_without_an_answer_is_reported_as_such(fates, monkeypatch):
    """Guards against a cancellation that is answered 503, as if it had no effect, and has one."""
    monkeypatch.setattr(module, "RETRY_MS", 0.0)
    monkeypatch.setattr(f"{__name__}.FATES", fates)

    async def scenario():
        world = World(1)
        world.store._fails = lambda: False
        call = call_about(JOB, ANY_CALLER)
        cancelled = await world.instances[0].cancel(call, world.clock.now_ms())
        expected = StoreUnavailable if fates == ["unavailable"] else StoreOutcomeUnknown
        assert isinstance(cancelled.err_value, expected)

    asyncio.run(scenario())

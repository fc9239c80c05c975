"""Submissions whose earlier attempt has an unknown outcome."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import cbor2
import pytest
from result import Err, Ok

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues import service as service_module
from nutmeglb._internal.queues import submissions as module
from nutmeglb._internal.queues.ports import Commit, StoredItem
from nutmeglb._internal.queues.service import QueueService
from nutmeglb._internal.queues.submissions import Cancellation, Submission, Submissions
from nutmeglb_decisions.queues.access import ANY_CALLER, Caller
from nutmeglb_decisions.queues.verdicts import LoadView
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import StoreOutcomeUnknown, StoreUnavailable
from nutmeglb_formats.models.queue_records import (
    AcceptedJob,
    JobProgress,
    decode_queue_record,
    encode_queue_record,
)
from tests.lib.queues import BATCH, call_about, job, step

JOB = job("00000000000000aa", step(), queue=BATCH)
UNKNOWN = Err(StoreOutcomeUnknown("no answer", context={}, hint="none"))
UNAVAILABLE = Err(StoreUnavailable("refused", context={}, hint="none"))
ACCEPTED = Ok(Commit(True, 5))
REFUSED = Ok(Commit(False, 0, {}))


class World:
    """Submissions on a scripted store and gate. No attempt is retried within its call."""

    def __init__(self):
        self.clock = ManualClock(1_000.0)
        self.answers = []
        self.gate = SimpleNamespace(
            allows_writes=True,
            record_failure=lambda: None,
            wait_for_check=lambda: asyncio.sleep(0),
        )
        self.submissions = Submissions(self, self.clock, self.gate)

    async def commit(self, expected, puts, removals=()):
        return self.answers.pop(0)

    def submit(self, *answers, record=JOB, allows_writes=True):
        self.answers = list(answers)
        self.gate.allows_writes = allows_writes
        return asyncio.run(self._submit(record)).outcome

    def _submit(self, record):
        return self.submissions.submit(record, self.clock.now_ms(), call_about(record))


@pytest.mark.parametrize("allows_writes", [False, True])
def test_attempt_after_an_unknown_outcome_is_not_refused(allows_writes):
    """Guards against a job that runs although its repeated submission was refused."""
    world = World()
    answers = [UNAVAILABLE] if allows_writes else []
    assert world.submit(*answers, allows_writes=allows_writes) == Submission.NOT_ACCEPTED
    assert world.submit(UNKNOWN) == Submission.UNKNOWN
    for _ in range(2):
        assert world.submit(*answers, allows_writes=allows_writes) == Submission.UNKNOWN
    other = job("00000000000000bb", step(), queue=BATCH)
    outcome = world.submit(*answers, record=other, allows_writes=allows_writes)
    assert outcome == Submission.NOT_ACCEPTED


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [(ACCEPTED, Submission.ACCEPTED), (REFUSED, Submission.REPEATED)],
)
def test_answer_of_the_store_resolves_an_earlier_attempt(answer, outcome):
    world = World()
    world.submit(UNKNOWN)
    assert world.submit(answer) == outcome
    assert not world.submissions.is_unresolved(JOB.job_id)


def of_team(team):
    return replace(JOB, team=team)


def stored(key, record):
    return {key: StoredItem(key, encode_queue_record(record), 3)}


def accepted(team):
    record = AcceptedJob(replace(of_team(team), nonce="of another submission"))
    return stored(keys.accepted(JOB.job_id), record)


def ended(team):
    return stored(keys.final(JOB.job_id), JobProgress("q", "completed", 0.0, [], [], team))


ONE = Caller("one")


@pytest.mark.parametrize(
    ("present", "caller", "outcome"),
    [
        (accepted("one"), ONE, Submission.REPEATED),
        (accepted("two"), ONE, Submission.ID_TAKEN),
        (accepted(""), ONE, Submission.REPEATED),
        (accepted("two"), ANY_CALLER, Submission.REPEATED),
        (ended("one"), ONE, Submission.REPEATED),
        (ended("two"), ONE, Submission.ID_TAKEN),
        (ended(""), ONE, Submission.REPEATED),
        (accepted("two") | ended("two"), ONE, Submission.ID_TAKEN),
    ],
)
@pytest.mark.parametrize("is_first_unanswered", [False, True])
def test_submission_of_an_existing_id_is_repeated_only_for_its_team(
    present, caller, outcome, is_first_unanswered
):
    """Guards against an answer that claims the acceptance of a job that is another team's."""
    world = World()
    world.answers = [Ok(Commit(False, 0, present))]
    if is_first_unanswered:
        world.answers.insert(0, UNKNOWN)
    record = of_team("one")
    call = call_about(record, caller)
    submitted = world.submissions.submit(record, world.clock.now_ms() + 1, call)
    assert asyncio.run(submitted).outcome == outcome


@pytest.mark.parametrize(
    ("present", "caller", "outcome"),
    [
        (accepted("one"), ONE, Cancellation.STORED),
        (accepted("two"), ONE, Cancellation.NOT_FOUND),
        (accepted("two"), ANY_CALLER, Cancellation.STORED),
        (ended("one"), ONE, Cancellation.STORED),
        (ended("two"), ONE, Cancellation.NOT_FOUND),
    ],
)
def test_cancellation_of_another_teams_job_has_no_effect(present, caller, outcome):
    world = World()

    async def listing(prefix):
        return Ok(SimpleNamespace(items=[i for k, i in present.items() if k.startswith(prefix)]))

    async def get(key):
        return Ok(present.get(key))

    world.range, world.get = listing, get
    # Only the cancellation of the caller's own unfinished job is written.
    world.answers = [ACCEPTED]
    cancelled = asyncio.run(world.submissions.cancel(call_about(JOB, caller), 0.0))
    assert cancelled == Ok(outcome)
    is_written = outcome == Cancellation.STORED and keys.accepted(JOB.job_id) in present
    assert len(world.answers) == (0 if is_written else 1)


def test_record_of_a_former_build_has_no_team():
    record = cbor2.loads(encode_queue_record(AcceptedJob(of_team("one"))))
    del record[2][0]["team"], record[2][0]["queue"]["public"]
    decoded = decode_queue_record(cbor2.dumps(record), "key").unwrap()
    assert (decoded.job.team, decoded.job.queue.public) == ("", False)


def test_unresolved_attempts_are_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_UNRESOLVED", 2)
    world = World()
    for number in range(3):
        world.submit(UNKNOWN, record=job(f"{number:016x}", step(), queue=BATCH))
    unresolved = [world.submissions.is_unresolved(f"{number:016x}") for number in range(3)]
    assert unresolved == [False, True, True]
    world.clock.advance(module.MAX_UNRESOLVED_AGE_MS)
    assert not world.submissions.is_unresolved(f"{2:016x}")


@pytest.mark.parametrize(
    ("first", "outcome"), [(UNKNOWN, Submission.ACCEPTED), (UNAVAILABLE, Submission.NOT_ACCEPTED)]
)
def test_queue_that_refuses_jobs_accepts_one_with_an_unresolved_attempt(first, outcome):
    """Guards against a refusal for lack of capacity of a job that may already be accepted."""
    world = World()
    world.submit(first)
    world.answers = [ACCEPTED]
    leader = SimpleNamespace(
        loaded=False,
        load=LoadView(refusing={BATCH.key: 500.0}),
        offer=lambda job, revision: None,
    )
    links = SimpleNamespace(on=lambda kind, handler: None, leader_id="")
    config = SimpleNamespace(current=None, last_contact_ms=None)
    log = SimpleNamespace(write=lambda decisions: None)

    async def absent(prefix_or_key):
        return (
            Ok(SimpleNamespace(items=())) if prefix_or_key.startswith(keys.ACCEPTED) else Ok(None)
        )

    world.range = world.get = absent

    async def scenario():
        service = QueueService(
            world.clock, links, world.submissions, world.gate, config, log, lambda: leader
        )
        answer = await service.submit(JOB, world.clock.now_ms(), call_about(JOB))
        await service.stop()
        return answer.outcome

    assert asyncio.run(scenario()) == outcome


@pytest.mark.parametrize(
    ("connections", "answers", "offered_to"),
    [
        (["e1"], {"e1": True}, ["e1"]),
        # The leader of the next term connects after the acceptance.
        (["", "", "e2"], {"e2": True}, ["e2"]),
        # The former leader has ended, or has stepped down and refuses the offer.
        (["e1", "", "e2"], {"e1": False, "e2": True}, ["e1", "e2"]),
        # A leader that is slow to answer gets no second offer.
        (["e1", "e1", "e1"], {"e1": False}, ["e1"]),
    ],
)
def test_accepted_job_is_offered_to_the_leader_that_follows(
    monkeypatch, connections, answers, offered_to
):
    """Guards against urgent jobs that wait for the next poll of the store after an election."""
    monkeypatch.setattr(service_module, "OFFER_CHECK_MS", 1.0)
    world = World()
    offers = []

    class Links:
        def on(self, kind, handler):
            pass

        @property
        def leader_id(self):
            world.clock.advance(service_module.MAX_OFFER_MS / 5)
            return connections.pop(0) if connections else ""

        async def request(self, peer, message, timeout_ms):
            offers.append(peer)
            return Ok(None) if answers[peer] else Err("no reply")

    async def scenario():
        arguments = (world.clock, Links(), world.submissions, world.gate, None, None)
        await QueueService(*arguments, lambda: None)._offer(JOB, 7)

    asyncio.run(scenario())
    assert offers == offered_to

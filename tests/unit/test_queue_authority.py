"""The leader's authority is checked before each order; stalls excuse unanswered calls."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from result import Err, Ok

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.authority import Authority, Term
from nutmeglb._internal.queues.election import Election
from nutmeglb._internal.queues.leader import Leader
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.loop_lag import SAMPLE_INTERVAL_MS, STALL_RETENTION_MS, LoopLag
from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb._internal.queues.worker_link import MAX_EXCUSED_CALLS, MAX_START_ATTEMPTS
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_decisions.queues.entry_age import EntryAge
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import StoreError
from nutmeglb_formats.models.queue_records import LeaderRecord
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info
from tests.lib.worker_link import Link

LEASE_MS = 1_500.0
AUTHORITY_LIMIT_MS = 5_000.0
UNANSWERED = StoreError("no answer", context={}, hint="none")
SECTIONS = {
    "instance": {"id": "e1", "failure_domain": "z1"},
    "listen": dict.fromkeys(("caller", "health", "peer"), "127.0.0.1:0"),
    "store": {"address": "127.0.0.1:1"},
}


@pytest.mark.parametrize(
    ("age_ms", "ended", "may_command", "is_exclusive"),
    [
        (0.0, False, True, True),
        (1_400.0, False, True, True),
        # The store's clock may run faster, so the lease may expire before 1,500 ms.
        (1_480.0, False, True, False),
        (4_900.0, False, True, False),
        (5_100.0, False, False, False),
        (0.0, True, False, False),
    ],
)
def test_authority_of_a_leader(age_ms, ended, may_command, is_exclusive):
    clock = ManualClock(10_000.0)
    authority = Authority(clock, LEASE_MS, AUTHORITY_LIMIT_MS, clock.now_ms())
    clock.advance(age_ms)
    if ended:
        authority.revoke()
    assert (authority.may_command, authority.is_exclusive) == (may_command, is_exclusive)


def test_late_confirmation_of_an_early_renewal_does_not_shorten_authority():
    clock = ManualClock()
    authority = Authority(clock, LEASE_MS, AUTHORITY_LIMIT_MS, 0.0)
    authority.record_renewal(2_000.0)
    authority.record_renewal(1_000.0)
    clock.advance(6_500.0)
    assert authority.may_command


def _make_leader(clock, authority):
    """Return a leader without a store, links or workers."""
    return Leader(
        LiveSettings(QueueSettings.model_validate(SECTIONS)),
        clock,
        random.Random(1),
        SimpleNamespace(store=None, connect_workers=lambda: None),
        None,
        None,
        None,
        SimpleNamespace(explains_missing_answer=lambda sent_ms: False),
        Term(0, 7, 7, 1, authority),
        "incarnation",
        lambda cause: None,
    )


@pytest.mark.parametrize(
    ("age_ms", "lease_left_ms", "expires"),
    [
        (1_000.0, -1_001.0, True),
        # A successor may have been elected after the last confirmation and before the expiry.
        (1_000.0, -999.0, False),
        (1_600.0, -1_601.0, False),
        (4_900.0, -4_901.0, False),
        (9_000.0, -9_001.0, False),
    ],
)
def test_runs_expire_only_while_no_successor_can_have_renewed_them(age_ms, lease_left_ms, expires):
    """During a handover, a successor may command a worker that the former leader cannot reach."""
    clock = ManualClock(10_000.0)
    leader = _make_leader(
        clock, Authority(clock, LEASE_MS, AUTHORITY_LIMIT_MS, clock.now_ms() - age_ms)
    )
    leader.cell.entry_age = EntryAge()
    world = CellWorld(now_ms=clock.now_ms(), cell=leader.cell)
    world.show(worker_info())
    world.add(job("a", step(), queue=BATCH))
    world.schedule()
    worker = world.worker("w1")
    worker.unanswered_since_ms = clock.now_ms()
    worker.lease_expires_at_ms = clock.now_ms() + lease_left_ms
    leader.tick()
    assert bool(worker.runs) == (not expires)


@pytest.mark.parametrize(
    ("lease_is_alive", "key_revision", "leads", "is_confirmed"),
    [
        (True, 7, True, True),
        (True, 8, False, False),
        (True, None, False, False),
        (False, 7, False, False),
        # An answer that disproves the leadership needs no second one.
        (None, 8, False, False),
        (False, "unanswered", False, False),
        # Half of a proof confirms nothing.
        (True, "unanswered", True, False),
        (None, 7, True, False),
    ],
)
def test_leader_whose_key_was_replaced_before_its_lease_ended_steps_down(
    lease_is_alive, key_revision, leads, is_confirmed
):
    """Guards against two leaders: the lease of a leader key may outlast the key."""
    clock = ManualClock(10_000.0)
    item = None if key_revision is None else StoredItem(keys.LEADER, b"", key_revision)

    async def keep_alive(lease):
        return Err(UNANSWERED) if lease_is_alive is None else Ok(lease_is_alive)

    async def get(key):
        return Err(UNANSWERED) if key_revision == "unanswered" else Ok(item)

    async def on_step_down(cause):
        causes.append(cause)

    causes = []
    election = Election(
        LiveSettings(QueueSettings.model_validate(SECTIONS)),
        clock,
        random.Random(1),
        SimpleNamespace(lease_keep_alive=keep_alive, get=get),
        SimpleNamespace(on=lambda *handler: None, broadcast=lambda message: None, followers=[]),
        lambda: LeaderRecord("e1", "incarnation", "127.0.0.1:1", 0, ""),
        None,
        on_step_down,
    )
    authority = Authority(clock, LEASE_MS, AUTHORITY_LIMIT_MS, clock.now_ms() - 400.0)
    term = election._term = Term(0, 7, 7, 1, authority)
    asyncio.run(election._send_renewal(term))
    assert (authority.may_command, causes == []) == (leads, leads)
    assert (authority.confirmed_ms == clock.now_ms()) == is_confirmed


@pytest.fixture(autouse=True)
def no_retry_delays(monkeypatch):
    """Replace the delays between retries by a zero sleep."""
    real_sleep = asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda delay, result=None: real_sleep(0))


@pytest.mark.parametrize("call", ["start", "stop", "_renew"])
def test_nothing_is_sent_after_the_authority_has_expired(call):
    """A paused leader may resume with queued orders when its successor already commands workers."""
    link = Link()
    link.may_command = False
    arguments = () if call == "_renew" else (link.order,)
    asyncio.run(getattr(link.link, call)(*arguments))
    assert link.sent == []


def test_withheld_order_frees_its_capacity():
    link = Link()
    link.may_command = False
    asyncio.run(link.link.start(link.order))
    assert not link.worker.runs
    assert link.worker.avoided_until_ms == 0.0


def test_authority_that_ends_between_two_copies_leaves_the_outcome_unknown():
    link = Link(answers=[StartOutcome.UNKNOWN])
    original = link.start

    async def start(worker, order):
        link.may_command = False
        return await original(worker, order)

    link.link._gateway.start = start
    asyncio.run(link.link.start(link.order))
    assert len(link.sent) == 1
    assert len(link.worker.runs) == 1


@pytest.mark.parametrize(("valid_for_ms", "sent"), [(100.0, 1), (-1.0, 0)])
def test_order_with_an_expired_ticket_is_not_sent(valid_for_ms, sent):
    """Load pattern: burst at a leader with event loop lag; tickets expire before orders go out."""
    link = Link()
    expires_at_ms = link.clock.now_ms() + valid_for_ms
    order = replace(link.order, ticket="t", ticket_expires_at_ms=expires_at_ms)
    asyncio.run(link.link.start(order))
    assert len(link.sent) == sent


@pytest.mark.parametrize(
    ("excused", "unanswered", "copies", "stops"),
    [
        (False, MAX_START_ATTEMPTS, MAX_START_ATTEMPTS, True),
        (True, 1, 2, False),
        (True, MAX_EXCUSED_CALLS, MAX_EXCUSED_CALLS + 1, False),
        (
            True,
            MAX_EXCUSED_CALLS + MAX_START_ATTEMPTS,
            MAX_EXCUSED_CALLS + MAX_START_ATTEMPTS,
            True,
        ),
    ],
)
def test_orders_unanswered_during_a_pause_of_the_leader(excused, unanswered, copies, stops):
    """A leader that was itself stalled does not withdraw runs that a healthy worker has started."""
    link = Link(answers=[StartOutcome.UNKNOWN] * unanswered)
    link.excused = excused
    asyncio.run(link.link.start(link.order))
    assert len(link.sent) == copies
    assert bool([e for e in link.world.cell.take_effects() if hasattr(e, "run")]) == stops


@pytest.mark.parametrize(
    ("excused", "calls", "silent"), [(False, 2, True), (True, 3, False), (True, 5, True)]
)
def test_worker_is_not_silent_because_the_leader_was_paused(excused, calls, silent):
    link = Link(answers=[StartOutcome.UNKNOWN] * calls)
    link.excused = excused

    async def hold():
        for _ in range(calls):
            await link.link._renew()

    asyncio.run(hold())
    assert (link.worker.unanswered_since_ms is not None) == silent


class LoopLagScript:
    """A ``LoopLag`` whose sleeps are late by scripted delays."""

    def __init__(self, *delays_ms):
        self.clock = ManualClock()
        self.delays_ms = list(delays_ms)
        self.lag = LoopLag(self.clock, MetricsRegistry(), self._sleep)

    def run(self):
        async def run_to_end_of_script():
            try:
                await self.lag.run()
            except EOFError:
                return

        asyncio.run(run_to_end_of_script())

    async def _sleep(self, duration_s):
        if not self.delays_ms:
            raise EOFError
        self.clock.advance(duration_s * 1_000.0 + self.delays_ms.pop(0))


@pytest.mark.parametrize(
    ("delays_ms", "waited_ms", "explains"),
    [
        ([0.0] * 10, 400.0, False),
        ([5.0] * 10, 400.0, False),
        ([0.0, 0.0, 900.0], 1_000.0, True),
        ([0.0, 0.0, 100.0], 400.0, False),
        ([60.0] * 10, 400.0, True),
        ([900.0] + [0.0] * 20, 400.0, False),
    ],
)
def test_process_pause_explains_a_missing_answer(delays_ms, waited_ms, explains):
    script = LoopLagScript(*delays_ms)
    script.run()
    assert script.lag.explains_missing_answer(script.clock.now_ms() - waited_ms) == explains


def test_pause_is_noticed_before_the_lag_monitor_wakes():
    """Call timeouts may be handled before the lag monitor runs."""

    async def scenario():
        script = LoopLagScript()
        script.lag._sleep = lambda duration_s: asyncio.Event().wait()
        watch = asyncio.create_task(script.lag.run())
        await asyncio.wait([watch], timeout=0)
        script.clock.advance(SAMPLE_INTERVAL_MS + 800.0)
        explains = script.lag.explains_missing_answer(script.clock.now_ms() - 850.0)
        watch.cancel()
        return explains

    assert asyncio.run(scenario())


def test_old_stalls_are_discarded():
    script = LoopLagScript(200.0, *[0.0] * int(STALL_RETENTION_MS / SAMPLE_INTERVAL_MS + 1))
    script.run()
    assert script.lag.stalled_ms(0.0) == 0.0

"""Ranking and placement of queue work under replayed load patterns."""

import random
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import admission, placing, pools
from nutmeglb_decisions.queues.advice import FIRST_CALL_WORKERS
from nutmeglb_decisions.queues.effects import RequestAdvice
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.ranking import Tier, objective_ms
from nutmeglb_decisions.queues.waiting_order import ranked_steps
from nutmeglb_formats.models.queues import AdviceTiming
from tests.lib.queues import ADVISED, BATCH, URGENT, CellWorld, job, step, worker_info


def ranked_job_ids(world):
    return [ranked.job.job_id for _, ranked in ranked_steps(world.cell, world.now_ms, 0.0)]


def test_burst_serves_urgent_and_timely_work_first():
    """Load pattern: burst beyond capacity; late work must not delay work that can be in time."""
    world = CellWorld()
    world.add(job("old-urgent", step(), queue=URGENT))
    world.now_ms += 15_000.0
    world.add(job("batch", step(), queue=BATCH))
    world.add(job("urgent", step(), queue=URGENT))
    assert ranked_job_ids(world) == ["urgent", "batch", "old-urgent"]


def test_small_work_starts_first_within_a_queue():
    world = CellWorld()
    world.add(job("wide", step(20), queue=BATCH))
    world.add(job("small", step(2), queue=BATCH))
    assert ranked_job_ids(world) == ["small", "wide"]


@pytest.mark.parametrize(
    ("waiting_ms", "wide_first"),
    [(0.0, False), (500.0, True), (2_000.0, True)],
)
def test_wide_work_is_not_overtaken_indefinitely(waiting_ms, wide_first):
    """Guards against a wide gang that a stream of small gangs overtakes indefinitely.

    The gang whose latest start time comes first has precedence.
    """
    world = CellWorld()
    world.add(job("wide", step(40, gang=True, estimate_ms=1_000.0), queue=BATCH))
    world.now_ms += waiting_ms
    world.add(job("small", step(2, gang=True, estimate_ms=1_000.0), queue=BATCH))
    assert (ranked_job_ids(world)[0] == "wide") == wide_first


def test_short_work_ranks_before_long_work_of_the_same_age():
    world = CellWorld()
    world.add(job("long", step(2, estimate_ms=4_000.0), queue=BATCH))
    world.add(job("short", step(2, estimate_ms=500.0), queue=BATCH))
    assert ranked_job_ids(world) == ["short", "long"]


@pytest.mark.parametrize(
    ("age_ms", "tier"),
    [(0.0, Tier.IN_TIME), (3_000.0, Tier.LATE), (9_000.0, Tier.TOO_LATE), (60_000.0, Tier.LATE)],
)
def test_tier_of_a_waiting_step(age_ms, tier):
    """In the last case the work has waited so long that it moves up a tier, to avoid starvation."""
    world = CellWorld()
    added = world.add(job("a", step(), queue=BATCH))
    assert objective_ms(added, world.cell.estimates) == pytest.approx(3_200.0)
    world.now_ms += age_ms
    ((rank, _),) = ranked_steps(world.cell, world.now_ms, 0.0)
    assert rank.tier == tier


def test_step_waits_for_earlier_steps():
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step(), step(after=(0,))))
    world.schedule()
    (first,) = world.answer_starts()
    assert first.task == "a.0.0.0"
    world.end(first)
    world.schedule()
    assert [start.task for start in world.started] == ["a.0.1.0"]


@pytest.mark.parametrize(
    ("spec", "workers", "placed"),
    [
        (step(5, cpu=4_000), 1, 4),
        (step(5, cpu=4_000), 2, 5),
        (step(4, max_per_worker=1), 2, 2),
        (step(4, cpu=4_000, fills=True), 1, 4),
        (step(8, cpu=4_000, gang=True), 1, 0),
        (step(8, cpu=4_000, gang=True), 2, 8),
        (step(150, cpu=4_500, gang=True), 60, 150),
        (step(60, max_per_worker=1), 60, 60),
        (step(1, required_label="gpu"), 2, 0),
    ],
)
def test_placed_tasks_fit_their_workers(spec, workers, placed):
    """Guards against an over-committed worker, and against a partly started gang."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(workers)))
    world.add(job("a", spec))
    world.schedule()
    assert len(world.started) == placed
    for worker in world.cell.workers.values():
        assert worker.used.fits_in(worker.info.capacity)


def test_waiting_gang_is_not_starved_by_small_tasks():
    """Guards against a gang that never starts beside a stream of small low-priority tasks."""
    world = CellWorld()
    world.show(worker_info("w1", cpu=4_000))
    world.add(job("running", step(2, cpu=1_000, estimate_ms=800.0), queue=URGENT))
    world.schedule()
    running = world.answer_starts()
    world.add(job("gang", step(4, cpu=1_000, gang=True), queue=URGENT))
    world.add(job("late", step(2, cpu=1_000, estimate_ms=5_000.0), queue=BATCH))
    world.add(job("brief", step(1, cpu=1_000, estimate_ms=300.0), queue=BATCH))
    world.schedule()
    backfilled = world.answer_starts()
    assert [start.task for start in backfilled] == ["brief.0.0.0"]
    for start in [*running, *backfilled]:
        world.end(start)
    world.schedule()
    assert {start.task.split(".")[0] for start in world.started} == {"gang"}


@pytest.mark.parametrize("seed", range(5))
def test_replayed_burst_completes_without_overcommitment(seed):
    """Load pattern: a random mix at twice the capacity; it completes without over-commitment."""
    rng = random.Random(seed)
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(4)))
    for number in range(60):
        gang = rng.random() < 0.4
        count = rng.choice([1, 2, 4, 8]) if gang else rng.choice([1, 3, 10])
        queue = rng.choice([URGENT, BATCH])
        spec = step(count, cpu=rng.choice([800, 1_400, 4_500]), gang=gang)
        world.add(job(f"j{number}", spec, queue=queue))
    for _ in range(400):
        world.schedule()
        for order in world.answer_starts():
            assert world.worker(order.worker_id).used.fits_in(
                world.worker(order.worker_id).info.capacity
            )
        runs = [run for worker in world.cell.workers.values() for run in worker.runs.values()]
        if not runs:
            break
        run = min(runs, key=lambda r: r.expected_end_ms)
        world.now_ms = max(world.now_ms, run.expected_end_ms) + rng.random()
        world.report(run.worker_id, ((run.task, run.number, "done", ""),))
        if run.step.spec.gang:
            for other in run.step.live_runs:
                world.report(other.worker_id, ((other.task, other.number, "done", ""),))
    assert not world.cell.active


def world_with_workers(workers=40):
    world = CellWorld()
    world.show(*(worker_info(f"w{n}") for n in range(workers)))
    return world


def test_advice_is_requested_before_a_start_and_only_approved_workers_are_used():
    world = world_with_workers()
    world.add(job("a", step(2), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    assert len(call.workers) == FIRST_CALL_WORKERS
    assert not world.started
    good = call.workers[3]
    world.advise(call, good)
    world.schedule()
    assert {start.worker_id for start in world.started} == {good}
    assert {start.ticket for start in world.started} == {f"t-{good}"}


def test_lost_advice_call_is_repeated():
    """Guards against a step that waits forever after one lost answer."""
    world = world_with_workers()
    world.add(job("a", step(), queue=ADVISED))
    world.schedule()
    world.asked.clear()
    world.now_ms += 60_000.0
    world.schedule()
    assert len(world.asked) == 1


def test_expired_tickets_are_renewed_and_not_used():
    world = world_with_workers(2)
    world.add(job("a", step(1, cpu=16_000), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    for worker in world.cell.workers.values():
        worker.avoided_until_ms = world.now_ms + 10_000.0
    world.advise(call, *call.workers)
    world.asked.clear()
    world.now_ms += 11_000.0
    world.schedule()
    assert not world.started
    assert len(world.asked) == 1


def test_ticket_of_a_former_incarnation_is_not_used():
    world = world_with_workers(1)
    world.add(job("a", step(), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.advise(call, "w0")
    world.show(worker_info("w0", started_ms=2_000))
    world.report("w0", running=())
    world.schedule()
    assert not world.started


def test_outstanding_advice_calls_are_bounded():
    """Guards against a burst of steps with slow advice whose calls queue for minutes."""
    world = world_with_workers()
    for number in range(100):
        world.add(job(f"j{number}", step(), queue=ADVISED))
    placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
    assert sum(effect.cost_ms for effect in world.cell.take_effects()) <= 4_000.0


def test_short_calls_do_not_wait_for_long_ones():
    """Guards against urgent steps that wait behind slow advice calls when all instances restart."""
    world = world_with_workers()
    quick = replace(URGENT, name="quick", prefix="/quick/", advice=AdviceTiming(12.0, 0.2, 1_500.0))
    for number in range(30):
        world.add(job(f"slow{number}", step(), queue=ADVISED))
    placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
    world.cell.take_effects()
    world.add(job("quick", step(), queue=quick))
    placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
    asked_steps = [e.step for e in world.cell.take_effects() if isinstance(e, RequestAdvice)]
    assert asked_steps == ["quick.0.0"]


def test_lone_new_leader_makes_no_long_call_before_its_followers_connect():
    world = world_with_workers()
    world.cell.started_ms = world.now_ms
    world.add(job("a", step(), queue=ADVISED))
    placing.schedule(world.cell, 1, world.rng, world.now_ms, world.now_ms)
    assert not world.cell.take_effects()
    placing.schedule(world.cell, 3, world.rng, world.now_ms, world.now_ms)
    assert len(world.cell.take_effects()) == 1


def test_refused_start_is_placed_on_another_worker():
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("w2"))
    world.add(job("a", step()))
    world.schedule()
    (order,) = world.answer_starts(StartOutcome.UNHEALTHY)
    world.now_ms += 200.0
    world.schedule()
    assert [start.worker_id for start in world.started] != [order.worker_id]


def test_nothing_is_refused_while_capacity_is_free():
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step(4), queue=BATCH))
    assert admission.refusing_queues(world.cell, world.now_ms) == {}


def test_overload_refuses_the_queue_that_cannot_be_served():
    """Load pattern: sustained overload; a new job could not complete while that is still useful."""
    world = CellWorld()
    world.show(worker_info("w1"))
    for number in range(20):
        world.add(job(f"j{number}", step(16), queue=BATCH))
    refusing = admission.refusing_queues(world.cell, world.now_ms)
    assert set(refusing) == {BATCH.key}
    assert 500.0 <= refusing[BATCH.key] <= 5_000.0


@pytest.mark.parametrize(
    ("spec", "refused"),
    [
        (step(), False),
        (step(required_label="k"), False),
        (step(required_label="gpu"), True),
        (step(cpu=16_000), False),
        (step(cpu=17_000), True),
        (step(cpu=17_000, fills=True), False),
    ],
)
def test_job_that_no_worker_can_run_is_refused(spec, refused):
    """Guards against a burst of such jobs, each of which would only wait until its deadline."""
    world = CellWorld()
    world.show(worker_info("w1"), worker_info("small", cpu=2_000))
    pool_records = pools.Pools.begin(world.now_ms)
    pool_records.refresh(world.cell, world.now_ms)
    assert not pools.unservable_cause(job("a", spec), pool_records.known_pools(world.now_ms))
    world.show(worker_info("small", cpu=2_000))
    later_ms = world.now_ms + pools.POOL_RETENTION_MS
    pool_records.refresh(world.cell, later_ms)
    assert (
        bool(pools.unservable_cause(job("a", spec), pool_records.known_pools(later_ms))) == refused
    )
    # The large worker has now been absent for longer than the retention time.
    expired_ms = later_ms + 1.0
    pool_records.refresh(world.cell, expired_ms)
    assert pools.unservable_cause(job("a", step(cpu=3_000)), pool_records.known_pools(expired_ms))
    assert not pools.unservable_cause(job("a", spec), [])


@pytest.mark.parametrize(
    ("record", "retry_ms"),
    [
        (job("a", step(), queue=URGENT), 1_000.0),
        (job("b", step(1, estimate_ms=8_000.0), queue=BATCH), 3_533.3),
        (job("c", step(1, estimate_ms=60_000.0), queue=BATCH), 4_000.0),
    ],
)
def test_retry_delay_follows_how_long_the_job_can_wait(record, retry_ms):
    assert admission.outage_retry_ms(record) == pytest.approx(retry_ms, abs=1.0)


def test_wide_gang_gets_more_approved_workers_than_it_fills():
    """Guards against a gang with few approved workers, which are never all free at once."""
    world = world_with_workers(100)
    world.add(job("a", step(40, cpu=2_450, gang=True), queue=ADVISED))
    for _ in range(4):
        world.asked.clear()
        world.schedule()
        for call in world.asked:
            world.advise(call, *call.workers[::4])
        world.now_ms += 300.0
    good = world.cell.active["a"].steps[0].advice.good
    assert len(good) * 6 >= 2 * 40


def test_renewal_names_only_the_approved_workers():
    """The approval rate is learned from first answers, so a renewal must not name more workers."""
    world = world_with_workers(100)
    world.add(job("a", step(4, cpu=2_450, gang=True), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.advise(call, *call.workers[:8])
    for worker in world.cell.workers.values():
        worker.avoided_until_ms = world.now_ms + 60_000.0
    world.asked.clear()
    world.now_ms += 2_000.0
    world.schedule()
    assert [set(renewal.workers) for renewal in world.asked] == [set(call.workers[:8])]


@pytest.mark.parametrize(
    ("queue", "spec"),
    [(URGENT, step(required_label="gpu")), (URGENT, step(cpu=64_000)), (ADVISED, step())],
)
def test_steps_that_cannot_start_do_not_block_others(queue, spec):
    """Guards against a job that waits behind a burst of jobs that have no worker or no advice."""
    world = CellWorld()
    world.show(worker_info("w1"))
    for number in range(400):
        world.add(job(f"stuck-{number}", spec, queue=replace(queue, priority=0)))
    world.add(job("ordinary", step(), queue=replace(BATCH, priority=2)))
    world.schedule()
    assert [start.task for start in world.started] == ["ordinary.0.0.0"]


def test_waiting_gangs_do_not_use_up_the_advice_budget():
    """Advice for gangs on full workers is requested once, and again just before they can start."""
    world = world_with_workers(24)
    for number in range(24):
        world.add(job(f"full-{number}", step(1, cpu=16_000, estimate_ms=20_000.0), queue=URGENT))
    world.schedule()
    orders = world.answer_starts()
    assert len(orders) == 24
    gangs = [f"gang-{number}" for number in range(12)]
    for name in gangs:
        world.add(job(name, step(8, cpu=4_000, gang=True, estimate_ms=9_000.0), queue=ADVISED))
    calls = []
    for _ in range(100):
        world.schedule()
        calls += world.asked
        answered, world.asked = world.asked, []
        world.now_ms += 100.0
        for call in answered:
            world.advise(call, *sorted(call.workers)[:6])
    assert len({call.step for call in calls}) == len(gangs)
    assert len(calls) == len(gangs)
    for order in orders:
        world.end(order)
    world.schedule()
    assert world.asked
    for call in world.asked:
        world.advise(call, *call.workers)
    world.schedule()
    assert world.started

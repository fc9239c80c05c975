"""Cost of a scheduling pass in a large fleet while hundreds of steps wait."""

import random

import pytest

from nutmeglb_decisions.queues import advice, placing, ranking, scheduling_pass, worker_selection
from nutmeglb_decisions.queues.effects import RequestAdvice
from nutmeglb_decisions.queues.headroom import spare_cpu
from tests.lib.queues import ADVISED, BATCH, URGENT, CellWorld, job, step, worker_info

WORKERS = 270


@pytest.fixture
def large_world():
    world = CellWorld()
    world.show(*(worker_info(f"w{n:03}") for n in range(WORKERS)))
    return world


@pytest.fixture
def capacity_checks(monkeypatch):
    """Record the calls in which a pass computes how many tasks fit on a worker."""
    recorded_calls = []

    def slots_on(*arguments):
        recorded_calls.append(arguments)
        return original(*arguments)

    original = worker_selection.slots_on
    for module in (worker_selection, placing, advice):
        monkeypatch.setattr(module, "slots_on", slots_on)
    return recorded_calls


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("steps", [50, 400])
def test_steps_that_wait_for_advice_cost_no_worker_checks(
    large_world, capacity_checks, gang, steps
):
    """Guards against slow passes while the advice calls of a burst are outstanding."""
    for number in range(steps):
        large_world.add(job(f"j{number}", step(20, cpu=4_500, gang=gang), queue=ADVISED))
    large_world.schedule()
    asked_steps = [effect.step for effect in large_world.asked]
    for name in asked_steps:
        step_state = large_world.cell.find_step(*_parse_step_name(name))
        assert step_state.advice.call_deadline_ms > large_world.now_ms
    waiting = steps - len(asked_steps)
    capacity_checks.clear()
    large_world.now_ms += 10.0
    placing.schedule(large_world.cell, 4, large_world.rng, large_world.now_ms, large_world.now_ms)
    assert not large_world.cell.take_effects()
    # Steps without a call find the budget exhausted before they check any worker.
    assert len(capacity_checks) <= waiting


def _parse_step_name(name):
    job_id, occurrence, number = name.split(".")
    return job_id, int(occurrence), int(number)


def test_answered_and_lost_calls_release_their_budget(large_world):
    """Guards against a budget that still counts lost calls, or calls of jobs that have ended."""
    for number in range(60):
        large_world.add(job(f"j{number}", step(2), queue=ADVISED))
    large_world.schedule()
    calls = [effect for effect in large_world.asked if isinstance(effect, RequestAdvice)]
    assert large_world.cell.advice_calls.keys() == {call.step for call in calls}
    large_world.advise(calls[0], "w000")
    assert calls[0].step not in large_world.cell.advice_calls
    large_world.now_ms += 60_000.0
    budget = advice.AdviceBudget.of(large_world.cell, 4, large_world.now_ms)
    assert not large_world.cell.advice_calls
    assert budget.long_ms == advice.instances_for_long_calls(4) * advice.LONG_CALL_MS_PER_INSTANCE


@pytest.mark.parametrize("seed", range(5))
def test_spare_cpu_is_kept_up_to_date_during_a_pass(seed):
    """Guards against low-priority work that takes CPU which it has to leave free.

    The spare CPU is updated at each start instead of being summed over all workers again.
    """
    rng = random.Random(seed)
    world = CellWorld()
    world.show(*(worker_info(f"w{n}", cpu=rng.choice((8_000, 16_000))) for n in range(12)))
    planned = {f"w{n}": rng.choice((0, 4_000)) for n in range(12)}
    keys = [("pool", unit) for unit in (0, 1_400, 5_000)]
    workers = world.cell.workers
    step_state = world.add(job("a", step(30, cpu=1_100), queue=BATCH)).steps[0]
    state = scheduling_pass.SchedulingPass(
        world.cell,
        rng,
        world.now_ms,
        world.now_ms,
        advice.AdviceBudget(0.0, 0.0),
        worker_selection.Reservations(),
        worker_selection.Reservations(),
    )
    state.planned_cpu = planned
    state.spare_cpu = {key: spare_cpu(workers.values(), key[0], planned, key[1]) for key in keys}
    for task in step_state.tasks:
        worker = rng.choice([w for w in workers.values() if w.free.cpu_millis >= 1_100])
        scheduling_pass.start_task(state, step_state, task, worker, 1, 1_000.0)
    for key in keys:
        assert state.spare_cpu[key] == spare_cpu(workers.values(), key[0], planned, key[1])


def test_rank_follows_the_estimates_after_its_cache_expires(large_world):
    """Forecasts are cached only briefly, so that newly learned run times take effect."""
    (waiting,) = large_world.add(job("a", step(estimate_ms=1_000.0), queue=URGENT)).steps
    rank = ranking.rank_of(waiting, 0.0, 0.0, large_world.cell.estimates)
    for _ in range(50):
        large_world.cell.estimates.observe(URGENT.key, 1_000.0, 4_000.0, 1.0)
    assert ranking.rank_of(waiting, 0.0, 50.0, large_world.cell.estimates) == rank
    later = ranking.rank_of(waiting, 0.0, 200.0, large_world.cell.estimates)
    assert later.remaining_work > 3 * rank.remaining_work


@pytest.mark.parametrize("renewals", [0, 30])
def test_renewals_do_not_raise_the_learned_approval_rate(large_world, renewals):
    """A renewal names only approved workers; counting it would make gangs name too few workers."""
    for number in range(20):
        step_state = large_world.add(job(f"j{number}", step(2), queue=ADVISED)).steps[0]
        named_workers = [f"w{n:03}" for n in range(40)]
        good = [(worker_id, "t") for worker_id in named_workers[:10]]
        for named in (named_workers, *[named_workers[:10]] * renewals):
            call = RequestAdvice(step_state.name, tuple(named), 0.0, (1_000,) * len(named))
            advice.answered(large_world.cell, step_state, call, good, large_world.now_ms)
    assert large_world.cell.approval_rates[ADVISED.key] == pytest.approx(0.25, abs=0.02)


def test_steps_whose_workers_are_not_stored_cost_no_worker_checks(large_world, capacity_checks):
    """Guards against passes that check these workers again and so delay storing them."""
    for number in range(100):
        large_world.add(job(f"j{number}", step(2), queue=ADVISED))
    placing.schedule(large_world.cell, 40, large_world.rng, large_world.now_ms, large_world.now_ms)
    calls = [e for e in large_world.cell.take_effects() if isinstance(e, RequestAdvice)]
    for call in calls:
        step_state = large_world.cell.find_step(*_parse_step_name(call.step))
        tickets = [(worker_id, "t") for worker_id in call.workers]
        advice.answered(large_world.cell, step_state, call, tickets, large_world.now_ms + 1_500.0)
    for _ in range(2):
        capacity_checks.clear()
        large_world.now_ms += 100.0
        placing.schedule(
            large_world.cell, 40, large_world.rng, large_world.now_ms, large_world.now_ms
        )
    assert not capacity_checks

"""Limits of teams on what they may have running."""

import random
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import (
    composition,
    lifecycle,
    progress,
    ranking,
    reports,
    takeover_wait,
    verdicts,
    waiting,
)
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.run_sums import RunSums
from nutmeglb_decisions.queues.team_use import possible_use
from nutmeglb_decisions.queues.waiting_order import runnable_steps
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import RunningTask, StepProgress, Team
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import ADVISED, BATCH, CONFIG, GB, URGENT, CellWorld, job, step, worker_info

UNTIL_MS = 11_000.0


def set_limits(world: CellWorld, **limits: int | Resources) -> None:
    """Configure teams with limits, in millicores if they are plain numbers."""
    teams = {
        name: Team(name, 0, 1.0, limit if isinstance(limit, Resources) else Resources(limit, 0, 0))
        for name, limit in limits.items()
    }
    composition.configure(world.cell, replace(CONFIG, teams=teams), composition.PartOptions())


def team_world(workers: int = 4, **limits: int | Resources) -> CellWorld:
    """Return a cell of empty workers of 16 cores, with teams."""
    world = CellWorld()
    set_limits(world, **limits)
    world.show(*(worker_info(f"w{n}") for n in range(workers)))
    return world


def running(world: CellWorld, team: str) -> int:
    """Return how many runs of a team there are on all workers."""
    runs = [run for worker in world.cell.workers.values() for run in worker.runs.values()]
    return sum(1 for run in runs if run.step.team == team)


@pytest.mark.parametrize(
    ("limit", "team", "spec", "started"),
    [
        (Resources(5_000, 0, 0), "a", step(20, cpu=1_000), 5),
        (Resources(5_999, 0, 0), "a", step(20, cpu=2_000), 2),
        (Resources(0, 7 * GB, 0), "a", step(20, cpu=100), 7),
        (Resources(5_000, 3 * GB, 0), "a", step(20, cpu=1_000), 3),
        (Resources(0, 0, 0), "a", step(20, cpu=1_000), 20),
        (Resources(5_000, 0, 0), "b", step(20, cpu=1_000), 20),
        (Resources(5_000, 0, 0), "", step(20, cpu=1_000), 20),
        (Resources(5_000, 0, 0), "a", step(5, cpu=1_000, gang=True), 5),
        (Resources(5_000, 0, 0), "a", step(6, cpu=1_000, gang=True), 0),
        (Resources(5_000, 0, 0), "a", step(20, cpu=1_000, fills=True), 5),
        (Resources(5_000, 0, 0), "a", step(20, cpu=1_000, lasting=True), 5),
    ],
)
def test_starts_stay_within_the_limit_of_the_team(limit, team, spec, started):
    world = team_world(a=limit)
    world.add(job("j", spec, team=team))
    world.schedule()
    assert running(world, team) == started


def test_limit_counts_all_jobs_of_the_team_and_no_other():
    world = team_world(a=4_000, b=3_000)
    for number in range(6):
        world.add(job(f"a{number}", step(3), team="a", queue=(URGENT, BATCH)[number % 2]))
        world.add(job(f"b{number}", step(3), team="b"))
    world.schedule()
    assert (running(world, "a"), running(world, "b")) == (4, 3)


@pytest.mark.parametrize("outcome", [StartOutcome.STARTED, StartOutcome.UNKNOWN])
def test_run_counts_until_its_end_is_known(outcome):
    """Runs without an answer and runs that are being stopped may still be active."""
    world = team_world(a=2_000)
    world.add(job("first", step(2), team="a"))
    world.schedule()
    orders = list(world.started)
    world.answer_starts(outcome)
    lifecycle.cancel_job(world.cell, "first", world.now_ms)
    world.add(job("next", step(2), team="a"))
    world.schedule()
    assert not world.started
    world.end(orders[0], "stopped")
    world.schedule()
    assert len(world.started) == 1


def test_lowered_limit_ends_nothing_and_starts_nothing_until_there_is_room():
    world = team_world(a=8_000)
    world.add(job("j", step(20), team="a"))
    world.schedule()
    orders = world.answer_starts()
    assert len(orders) == 8
    set_limits(world, a=3_000)
    for ended, order in enumerate(orders, start=1):
        world.schedule()
        assert not world.stopped
        assert running(world, "a") == max(3, 8 - ended + 1)
        world.end(order)


def test_team_that_is_no_longer_configured_has_no_limit():
    world = team_world(a=1_000)
    world.add(job("j", step(4), team="a"))
    set_limits(world, b=1_000)
    world.schedule()
    assert running(world, "a") == 4


def taken_over(world: CellWorld, record, workers: list[str], done: list[int]) -> None:
    """Restore a job whose tasks a former leader may have started on workers."""
    for worker in world.cell.workers.values():
        worker.settled = False
    stored = JobProgress(BATCH.name, "", 0.0, [], [StepProgress(0, 0, workers, done, [])])
    progress.restore(world.cell, record, stored, world.now_ms, world.now_ms)
    wait = takeover_wait.TakeoverWait(world.now_ms, UNTIL_MS, world.now_ms + UNTIL_MS)
    takeover_wait.begin(world.cell, wait)


@pytest.mark.parametrize(
    ("workers", "done", "cancelled", "started"),
    [
        (["gone"], [], False, 1),
        (["gone"], [0, 1], False, 3),
        (["gone"], [], True, 1),
        (["w0"], [], False, 5),
        (["w0"], [], True, 5),
    ],
)
def test_tasks_that_a_former_leader_may_have_started_count(workers, done, cancelled, started):
    """They count until their workers have answered, also those of a job that ends meanwhile."""
    world = team_world(a=5_000)
    taken_over(world, job("old", step(4), team="a"), workers, done)
    if cancelled:
        lifecycle.cancel_job(world.cell, "old", world.now_ms)
        world.store()
    for worker_id in world.cell.workers:
        world.report(worker_id, running=())
    world.add(job("new", step(5), team="a", queue=URGENT))
    world.schedule()
    assert len(world.started) == started
    world.tick(UNTIL_MS)
    world.schedule()
    assert len(world.started) == 5


def test_unknown_runs_fill_at_most_their_unsettled_workers():
    world = team_world(a=100_000)
    taken_over(world, job("old", step(40), team="a"), ["w0"], [])
    limits = {"a": Resources(100_000, 1 << 62, 1 << 62)}
    assert possible_use(world.cell, limits, world.now_ms).used("a").cpu_millis == 16_000


@pytest.mark.parametrize(
    ("task", "charged"),
    [
        ("known.0.0.9", {"a": 1_000, "b": 0}),
        ("ended.0.0.0", {"a": 0, "b": 14_000}),
        ("unheard.0.0.0", {"a": 14_000, "b": 14_000}),
        ("no task", {"a": 14_000, "b": 14_000}),
    ],
)
def test_stray_runs_of_unknown_size_count_as_the_free_capacity_of_their_worker(task, charged):
    world = team_world(1, a=50_000, b=50_000)
    world.add(job("other", step(2), team="c"))
    world.schedule()
    world.add(job("known", step(1), team="a"))
    world.cell.finished["ended"] = progress.FinishedJob("batch", "completed", 0.0, "b")
    others = tuple(RunningTask(order.task, order.run, "", 100) for order in world.answer_starts())
    world.report("w0", running=(*others, RunningTask(task, 1, "", 100)))
    limits = dict.fromkeys("ab", Resources(50_000, 1 << 62, 1 << 62))
    use = possible_use(world.cell, limits, world.now_ms)
    assert {team: use.used(team).cpu_millis for team in "ab"} == charged


@pytest.mark.parametrize("seed", range(5))
def test_sums_kept_from_pass_to_pass_equal_fresh_ones(seed):
    rng = random.Random(seed)
    world = team_world(3, a=20_000, b=9_000)
    kept = RunSums()
    live = []
    for number in range(120):
        world.now_ms += 100.0
        world.add(job(f"j{number}", step(rng.randint(1, 4)), team=rng.choice("abc")))
        if rng.random() < 0.2:
            lifecycle.cancel_job(world.cell, f"j{rng.randrange(number + 1)}", world.now_ms)
        rng.shuffle(live)
        while len(live) > 12:
            world.end(live.pop(), rng.choice(("done", "failed", "stopped")))
        if rng.random() < 0.1:
            worker_id = rng.choice(list(world.cell.workers))
            reports.end_all_runs(
                world.cell, world.worker(worker_id), "lost", world.now_ms, world.now_ms
            )
            world.cell.workers.pop(worker_id)
            world.show(*(worker_info(f"w{n}") for n in range(3)))
            live = [order for order in live if order.worker_id != worker_id]
        world.schedule()
        live += world.answer_starts()
        fresh = RunSums().update(world.cell.workers)
        sums = kept.update(world.cell.workers)
        assert {t: s for t, s in sums.items() if s != Resources()} == fresh


def test_step_that_waits_for_the_limit_reserves_nothing_and_asks_no_advice():
    world = team_world(a=2_000)
    world.add(job("first", step(2), team="a"))
    world.schedule()
    world.answer_starts()
    waiting_job = world.add(job("gang", step(2, gang=True), team="a", queue=ADVISED))
    world.add(job("other", step(60), team="b"))
    world.schedule()
    assert not world.asked
    assert waiting_job.steps[0].plan is None
    assert running(world, "b") == 60
    explanation = waiting.explain(world.cell, waiting_job.steps[0], world.now_ms)
    assert explanation.cause == waiting.CAUSES_BY_GATE["quota"]


@pytest.mark.parametrize(
    ("small_ms", "lasts_ms", "small_may_start"),
    [
        (500.0, 4_000.0, True),
        (3_900.0, 4_000.0, True),
        (4_100.0, 4_000.0, False),
        (60_000.0, 4_000.0, False),
        (60_000.0, 80_000.0, True),
    ],
)
def test_small_work_passes_a_gang_of_its_team_only_if_it_does_not_delay_it(
    small_ms, lasts_ms, small_may_start
):
    """A gang that would only start uselessly late holds nothing (last row)."""
    world = team_world(a=8_000)
    world.add(job("running", step(6, estimate_ms=lasts_ms), team="a"))
    world.schedule()
    world.answer_starts()
    world.add(job("gang", step(8, gang=True, estimate_ms=1_000.0), team="a", queue=URGENT))
    world.now_ms += 1.0 if lasts_ms < 10_000.0 else 9_000.0
    world.add(job("small", step(1, estimate_ms=small_ms), team="a"))
    world.schedule()
    assert bool(world.started) is small_may_start


def test_gang_of_a_small_team_starts_beside_its_own_stream_of_small_work():
    """The stream alone fills the limit."""
    world = team_world(a=8_000)
    ends: list[tuple[float, object]] = []
    gang_started_ms = None
    for tick in range(400):
        world.now_ms += 50.0
        if tick == 40:
            world.add(job("gang", step(7, gang=True), team="a"))
        if tick % 4 == 0:
            world.add(job(f"s{tick}", step(2, estimate_ms=800.0), team="a"))
        for at_ms, order in [item for item in ends if item[0] <= world.now_ms]:
            ends.remove((at_ms, order))
            world.end(order)
        world.schedule()
        for order in world.answer_starts():
            ends.append((world.now_ms + 800.0, order))
            if order.task.startswith("gang") and gang_started_ms is None:
                gang_started_ms = world.now_ms
        assert running(world, "a") <= 8
    assert gang_started_ms is not None
    assert gang_started_ms - (1_000.0 + 41 * 50.0) < 4_000.0


def test_gang_that_has_waited_very_long_goes_before_better_ranked_work_of_its_team():
    world = team_world(a=8_000)
    gang = world.add(job("gang", step(8, gang=True, estimate_ms=100.0), team="a"))
    for number in range(4):
        world.add(job(f"u{number}", step(2, estimate_ms=2_000.0), team="a", queue=URGENT))
    world.schedule()
    first = world.answer_starts()
    assert {order.task[0] for order in first} == {"u"}
    world.now_ms += 60_000.0
    world.add(job("late", step(8, estimate_ms=2_000.0), team="a", queue=URGENT))
    assert next(runnable_steps(gang)).held_by == "quota"
    for order in first:
        world.schedule()
        world.end(order)
    world.schedule()
    assert {order.task.partition(".")[0] for order in world.answer_starts()} == {"gang"}


@pytest.mark.parametrize(
    ("team", "spec", "refused"),
    [
        ("a", step(8, cpu=1_000, gang=True), False),
        ("a", step(9, cpu=1_000, gang=True), True),
        ("a", step(900, cpu=8_000), False),
        ("a", step(1, cpu=8_001), True),
        ("a", step(17, cpu=100, gang=True), True),
        ("free", step(900, cpu=8_001, gang=True), False),
        ("unknown", step(900, cpu=8_001, gang=True), False),
        ("", step(900, cpu=8_001, gang=True), False),
    ],
)
def test_gang_or_task_larger_than_the_limit_is_refused(team, spec, refused):
    """The limit of the team is 8 cores and 16 GB."""
    limits = {"a": Resources(8_000, 16 * GB, 0), "free": Resources()}
    config = replace(CONFIG, teams={n: Team(n, 0, 1.0, limit) for n, limit in limits.items()})
    view = verdicts.LoadView(config=config)
    refusal = verdicts.first_refusal(job("j", step(1, cpu=1), spec, team=team), view)
    assert (refusal is not None) is refused
    assert refusal is None or refusal.by_team
    assert verdicts.first_refusal(job("j", spec, team=team), verdicts.LoadView()) is None


@pytest.mark.parametrize(
    ("team", "count", "expected_ms"),
    [("a", 4, 1_000.0), ("a", 5, 2_000.0), ("a", 12, 3_000.0), ("b", 12, 1_000.0)],
)
def test_step_wider_than_its_team_may_run_takes_several_rounds(team, count, expected_ms):
    world = team_world(a=4_500)
    added = world.add(job("j", step(count), team=team))
    estimates = world.cell.estimates
    assert ranking.critical_path_ms(added, estimates) == expected_ms
    assert ranking.objective_ms(added, estimates) == 2.2 * expected_ms + 1_000.0


def test_forecast_of_a_started_step_counts_the_remaining_rounds():
    world = team_world(a=4_000)
    added = world.add(job("j", step(12), team="a"))
    world.schedule()
    world.now_ms += 200.0
    ranking.rank_of(added.steps[0], 0.0, world.now_ms, world.cell.estimates)
    assert added.steps[0].forecast.remaining_ms == 2_000.0
    assert added.steps[0].forecast.objective_ms == 2.2 * 3_000.0 + 1_000.0

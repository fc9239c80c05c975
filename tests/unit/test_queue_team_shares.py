"""Order among teams and refusals by team while capacity is short."""

import random
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import composition, team_admission, verdicts
from nutmeglb_decisions.queues.team_rates import TeamRates
from nutmeglb_formats.models.queues import Team
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import BATCH, CONFIG, URGENT, CellWorld, job, step, worker_info


def shared_world(workers: int, **teams: tuple[float, int]) -> CellWorld:
    """Return a cell of workers of 16 cores, with the weight and the limit of each team."""
    world = CellWorld()
    config = replace(
        CONFIG,
        teams={
            name: Team(name, 0, weight, Resources(limit, 0, 0))
            for name, (weight, limit) in teams.items()
        },
    )
    composition.configure(world.cell, config, composition.PartOptions())
    world.show(*(worker_info(f"w{n}") for n in range(workers)))
    return world


def test_jobs_beyond_the_rate_of_a_team_are_served_from_what_others_leave():
    """The large team fills all workers; its urgent jobs beyond the rate wait for the small one."""
    world = shared_world(2, large=(1.0, 0), small=(1.0, 0))
    for number in range(20):
        record = job(f"l{number}", step(4), team="large", queue=URGENT, accepted_ms=10.0 * number)
        world.add(record)
    world.schedule()
    orders = world.answer_starts()
    assert len(orders) == 32
    world.now_ms += 500.0
    world.add(job("s", step(2), team="small", accepted_ms=6_000.0))
    world.schedule()
    for order in orders[:4]:
        world.end(order)
    world.schedule()
    started = [order.task[0] for order in world.answer_starts()]
    assert sorted(started) == ["l", "l", "s", "s"]


@pytest.mark.parametrize(
    ("rate", "times_ms", "exceeding"),
    [
        (1.0, [0.0] * 8, 3),
        (1.0, [1_000.0 * n for n in range(30)], 0),
        (1.0, [500.0 * n for n in range(20)], 6),
        (0.1, [0.0, 0.0, 9_999.0, 10_001.0], 2),
        (7.0, [0.0] * 36, 1),
    ],
)
def test_jobs_beyond_the_rate_of_a_team_are_found_in_any_order_of_arrival(
    rate, times_ms, exceeding
):
    found = []
    for seed in range(3):
        world = CellWorld()
        jobs = [
            world.add(job(f"j{n:02}", step(), team="a", accepted_ms=at_ms))
            for n, at_ms in enumerate(times_ms)
        ]
        random.Random(seed).shuffle(jobs)
        TeamRates().classify(jobs, {"a": rate})
        found.append(sum(job.exceeds_rate for job in jobs))
    assert found == [exceeding] * 3


def refused(world: CellWorld) -> set[tuple[str, str]]:
    return set(team_admission.refusing_teams(world.cell))


def test_team_is_refused_by_its_own_backlog_against_its_limit_although_workers_are_free():
    world = shared_world(10, a=(1.0, 4_000), b=(1.0, 0))
    for number in range(12):
        world.add(job(f"a{number}", step(16), team="a"))
        world.add(job(f"b{number}", step(4), team="b"))
    assert refused(world) == {(BATCH.key, "a")}


def test_overload_by_one_team_refuses_no_team_within_its_share():
    """The large team has twenty times what the service does in the time that is useful."""
    world = shared_world(2, large=(5.0, 0), small=(1.0, 0))
    for number in range(60):
        world.add(job(f"l{number}", step(80), team="large", queue=(BATCH, URGENT)[number % 2]))
    for number in range(4):
        world.add(job(f"s{number}", step(2), team="small"))
    assert refused(world) == {(BATCH.key, "large"), (URGENT.key, "large")}
    view = verdicts.LoadView(refusing_teams=team_admission.refusing_teams(world.cell))
    refusal = verdicts.first_refusal(job("x", step(), team="large"), view)
    assert refusal is not None and refusal.by_team and refusal.retry_ms > 0
    assert verdicts.first_refusal(job("x", step(), team="small"), view) is None


def test_nothing_is_refused_while_there_is_room():
    world = shared_world(10, a=(1.0, 0), b=(1.0, 100_000))
    for number in range(10):
        world.add(job(f"j{number}", step(16), team="ab"[number % 2]))
    assert not refused(world)

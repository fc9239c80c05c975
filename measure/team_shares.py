"""Service of teams of very different size while one of them submits many times its usual.

Compares serving the jobs beyond the rate of their team last with first come, first served and with
priority alone.
"""

import math
import random
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import replace

from measure import queue_mix
from measure.figures import Figures
from measure.queue_leader import AdvisedReplay
from measure.queue_mix import CAPACITY, CONFIG, JOB_PROFILES
from measure.queue_passes import rank_by_arrival
from nutmeglb_decisions.queues import lifecycle, team_shares
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.parts import PassParts, Place
from nutmeglb_decisions.queues.ranking import rank_of
from nutmeglb_decisions.queues.team_rates import TeamRates
from nutmeglb_decisions.queues.waiting_order import RankFunction
from nutmeglb_formats.models.queues import QueueConfig, QueueJob, Team
from nutmeglb_formats.models.resources import Resources

SEEDS = (1, 2, 3)
WORKERS = 90
DURATION_MS = 20_000.0
TEAMS = 20
SKEW = 1.2
LOADS = (1.4,)
# The third largest team submits this many times its usual for a while.
HOT_TEAM, HOT_FACTOR, HOT_START_MS, HOT_MS = 2, 7.0, 6_000.0, 6_000.0
# Jobs per second that a team may expect to be served, as a multiple of its usual rate.
RATE_FACTOR = 1.9
WORST_TEAMS = TEAMS // 10
URGENT_QUEUE = "urgent"
PLACES = {"rate before start": Place.BEFORE_START, "rate first": Place.BEFORE_PRIORITY}


def team_sizes() -> list[float]:
    """Return the part of all jobs that each team submits."""
    sizes = [1 / (number + 1) ** SKEW for number in range(TEAMS)]
    return [size / sum(sizes) for size in sizes]


def arrivals(load: float, seed: int) -> list[tuple[float, QueueJob]]:
    """Return the jobs of all teams with their times of arrival in milliseconds."""
    rng = random.Random(seed)
    sizes = team_sizes()
    timed_jobs = [
        (at_ms, job, rng.choices(range(TEAMS), sizes)[0])
        for at_ms, job in queue_mix.arrivals(WORKERS, load, DURATION_MS, rng)
    ]
    hot_load = load * (HOT_FACTOR - 1) * sizes[HOT_TEAM]
    for at_ms, job in queue_mix.arrivals(WORKERS, hot_load, HOT_MS, rng):
        timed_jobs.append((HOT_START_MS + at_ms, replace(job, job_id=f"h{job.job_id}"), HOT_TEAM))
    return sorted(
        ((at, replace(job, team=f"t{n}", accepted_ms=at)) for at, job, n in timed_jobs),
        key=lambda item: item[0],
    )


def teams_config(load: float) -> QueueConfig:
    """Return a configuration in which each team's weight is above its usual rate."""
    per_s = sum(kind.per_s for kind in JOB_PROFILES) * load * WORKERS / queue_mix.WORKERS
    weights = [max(1.0, RATE_FACTOR * per_s * size) for size in team_sizes()]
    teams = {f"t{n}": Team(f"t{n}", 0, weight, Resources()) for n, weight in enumerate(weights)}
    return replace(CONFIG, teams=teams)


def _figures(
    replay: AdvisedReplay, timed_jobs: Sequence[tuple[float, QueueJob]], config: QueueConfig
) -> dict[str, float]:
    values = {kind.queue.name: kind.job_value for kind in JOB_PROFILES}
    cell = Cell(0, math.inf, math.inf)
    for _, job in timed_jobs:
        lifecycle.add_job(cell, job, 0.0)
    weights = {name: team.weight for name, team in (config.teams or {}).items()}
    TeamRates().classify(cell.active.values(), weights)
    owed: dict[str, float] = defaultdict(float)
    earned: dict[str, float] = defaultdict(float)
    urgent_ms = []
    for at_ms, job in timed_jobs:
        if cell.jobs[job.job_id].exceeds_rate:
            continue
        took_ms = replay.done.get(job.job_id, math.inf) - at_ms
        value = values[job.queue.name]
        owed[job.team] += value
        earned[job.team] += value * queue_mix.earned_fraction(job, took_ms)
        if job.queue.name == URGENT_QUEUE:
            urgent_ms.append(took_ms)
    by_team = sorted(earned[team] / owed[team] for team in owed)
    return {
        "all_share": round(sum(earned.values()) / sum(owed.values()), 3),
        "worst_teams_share": round(sum(by_team[:WORST_TEAMS]) / WORST_TEAMS, 3),
        "urgent_p99_ms": round(sorted(urgent_ms)[int(len(urgent_ms) * 0.99)]),
    }


def team_shares_mix() -> Iterator[Figures]:
    """Measure the earned share of the value owed, in all and of the worst-served teams."""
    rates = {kind.queue.name: kind.approval_rate for kind in JOB_PROFILES}
    policies: list[tuple[str, RankFunction, Place | None]] = [
        ("first come", rank_by_arrival, None),
        ("priority", rank_of, None),
        *((name, rank_of, place) for name, place in PLACES.items()),
    ]
    for load in LOADS:
        config = teams_config(load)
        for seed in SEEDS:
            timed_jobs = arrivals(load, seed)
            for name, rank, place in policies:
                replay = AdvisedReplay(WORKERS, config, rates)
                for worker in replay.cell.workers.values():
                    worker.update_info(replace(worker.info, capacity=CAPACITY))
                term = team_shares.order_term(config, place) if place is not None else None
                replay.cell.parts = PassParts(order_terms=(term,) if term else ())
                replay.run(timed_jobs, rank)
                size = f"{WORKERS} workers, {TEAMS} teams, load {load}"
                figures = _figures(replay, timed_jobs, config)
                yield Figures("team_shares_mix", size, name, "first come", seed, figures)


CASES = {"team_shares_mix": team_shares_mix}

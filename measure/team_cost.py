"""Cost of passes in a cell with teams, compared with the same load without teams."""

import random
from collections.abc import Iterator
from dataclasses import replace

from measure import queue_passes
from measure.figures import Figures
from measure.queue_leader import ADVICE_BY_QUEUE, CONFIG, QUEUES, AdvisedReplay
from measure.queue_passes import SEED, WORKER_CPU_MILLIS
from nutmeglb_decisions.queues import composition
from nutmeglb_decisions.queues.ranking import rank_of
from nutmeglb_formats.models.queues import QueueConfig, Team
from nutmeglb_formats.models.resources import Resources

# Workers and teams of a large deployment, and of the largest one.
SIZES = ((270, 20), (1_000, 230))
LOAD = 1.6
# Limit of each team as a multiple of its equal part of the capacity. The first one never binds.
LIMIT_FACTORS = {"limits far above use": 100.0, "limits that bind": 0.7}


def teams_config(workers: int, teams: int, limit_factor: float) -> QueueConfig:
    """Return a configuration in which all teams have the same weight and limit."""
    cpu_millis = int(limit_factor * workers * WORKER_CPU_MILLIS / teams)
    return replace(
        CONFIG,
        teams={f"t{n}": Team(f"t{n}", 0, 1.0, Resources(cpu_millis, 0, 0)) for n in range(teams)},
    )


def team_pass_cost() -> Iterator[Figures]:
    """Measure the time of passes with and without teams."""
    rates = {name: share for name, (_, share) in ADVICE_BY_QUEUE.items()}
    for workers, teams in SIZES:
        for policy, factor in {"no teams": 0.0, **LIMIT_FACTORS}.items():
            rng = random.Random(SEED)
            timed_jobs = [
                (at_ms, replace(job, team=f"t{number % teams}"))
                for number, (at_ms, job) in enumerate(
                    queue_passes.arrivals(workers, LOAD, rng, QUEUES)
                )
            ]
            config = teams_config(workers, teams, factor) if factor else CONFIG
            replay = AdvisedReplay(workers, config, rates)
            composition.configure(replay.cell, config, composition.PartOptions())
            replay.run(timed_jobs, rank_of)
            ordered = sorted(replay.pass_ms)
            figures = {
                "pass_mean_ms": round(replay.total_pass_ms / len(ordered), 2),
                "pass_p99_ms": round(ordered[int(len(ordered) * 0.99)], 2),
                "ms_per_start": round(replay.total_pass_ms / max(1, replay.starts), 3),
            }
            size = f"{workers} workers, {teams} teams, load {LOAD}"
            yield Figures("team_pass_cost", size, policy, "no teams", SEED, figures)


CASES = {"team_pass_cost": team_pass_cost}

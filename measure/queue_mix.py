"""Share of the possible value earned by a steady mix of urgent, gang and batch jobs, by load.

The mix follows the users' largest deployment: most jobs are urgent, and most of the value is in
gangs whose tasks may run on only a quarter of the workers.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from measure.figures import Figures
from measure.queue_leader import AdvisedReplay
from measure.queue_passes import GB, SERVICE
from nutmeglb_decisions.queues import lifecycle
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, objective_ms, rank_of
from nutmeglb_formats.models.queues import AdviceTiming, Queue, QueueConfig, QueueJob, StepSpec
from nutmeglb_formats.models.resources import Resources

SEEDS = (1, 2, 3)
WORKERS = 270
DURATION_MS = 25_000.0
LOADS = (1.0, 1.3)
LATE_VALUE_SHARE = 0.2
CAPACITY = Resources(16_000, 32 * GB, 0)
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class JobProfile:
    """Distribution of the jobs of one queue.

    Attributes
    ----------
    per_s
        Jobs per second at load 1 on ``WORKERS`` workers.
    tasks_per_step, cpu_millis, memory_gb, run_ms
        Mean and maximum for a step or task.
    gang_share, second_step_share, approval_rate
        Share of steps that are gangs, of jobs that have a second step, and of workers that the
        placement advice approves.
    job_value
        Value of a job that ends in time.
    checkpointing_share
        Share of steps whose tasks save their progress.
    """

    queue: Queue
    per_s: float
    tasks_per_step: tuple[float, float]
    cpu_millis: tuple[float, float]
    memory_gb: tuple[float, float]
    run_ms: tuple[float, float]
    gang_share: float
    second_step_share: float
    approval_rate: float
    job_value: float
    checkpointing_share: float = 0.0


def _make_queue(name: str, priority: int, stretch: float, slack_ms: float, *cost: float) -> Queue:
    advice = AdviceTiming(*cost, valid_ms=1_500.0)
    return Queue(name, "h", f"/{name}/", SERVICE, priority, 3, stretch, slack_ms, advice)


JOB_PROFILES = (
    JobProfile(
        _make_queue("urgent", 0, 1.5, 250.0, 16.9, 0.234),
        55.5, (3.1, 19), (3_900, 12_000), (7.3, 22), (640, 1_600), 0.3, 0.0, 0.7, 0.404,
    ),
    JobProfile(
        _make_queue("gangs", 1, 2.2, 1_000.0, 507.0, 7.28),
        3.75, (20, 120), (4_500, 7_600), (6.5, 13), (4_000, 10_000), 1.0, 0.2, 0.25, 6.84,
    ),
    JobProfile(
        _make_queue("batch", 2, 4.0, 3_000.0, 182.0, 2.6),
        5.01, (19, 96), (2_800, 8_300), (4.0, 12), (2_700, 6_800), 0.0, 0.5, 0.45, 3.2,
    ),
)  # fmt: skip
CONFIG = QueueConfig(1, 1, tuple(kind.queue for kind in JOB_PROFILES), frozenset({SERVICE}), 1)
# Applies to the tasks of a step, their sizes and their run times.
COEFFICIENT_OF_VARIATION = 0.6
# Maximum relative error of the declared run times.
ESTIMATE_ERROR = 0.45


def arrivals(
    workers: int, load: float, duration_ms: float, rng: random.Random
) -> list[tuple[float, QueueJob]]:
    """Return jobs with their arrival times in milliseconds, in order of time."""
    timed_jobs: list[tuple[float, QueueJob]] = []
    for kind in JOB_PROFILES:
        rate = kind.per_s * load * workers / WORKERS / MS_PER_S
        at_ms = rng.expovariate(rate)
        while at_ms < duration_ms:
            name = f"{len(timed_jobs):016x}"
            timed_jobs.append(
                (at_ms, QueueJob(name, kind.queue, "", make_steps(kind, rng), 0, 0, 0, 0, ""))
            )
            at_ms += rng.expovariate(rate)
    return sorted(timed_jobs, key=lambda item: item[0])


def make_steps(
    kind: JobProfile, rng: random.Random, estimate_error: float = ESTIMATE_ERROR
) -> tuple[StepSpec, ...]:
    """Return the steps of a job. Each one runs after the one before it."""
    count = 1 + (rng.random() < kind.second_step_share)
    return tuple(_make_step(kind, number, rng, estimate_error) for number in range(count))


def _make_step(
    kind: JobProfile, number: int, rng: random.Random, estimate_error: float
) -> StepSpec:
    memory = int(draw(kind.memory_gb, rng) * GB)
    return StepSpec(
        max(1, round(draw(kind.tasks_per_step, rng))),
        Resources(int(draw(kind.cpu_millis, rng)), memory, 0),
        draw(kind.run_ms, rng) * rng.uniform(1 - estimate_error, 1 + estimate_error),
        after=(number - 1,) if number else (),
        gang=rng.random() < kind.gang_share,
        checkpoints=bool(kind.checkpointing_share) and rng.random() < kind.checkpointing_share,
    )


def draw(bounds: tuple[float, float], rng: random.Random) -> float:
    """Draw from a log-normal distribution, given its mean and an upper bound."""
    mean, largest = bounds
    sigma = math.sqrt(math.log(1 + COEFFICIENT_OF_VARIATION * COEFFICIENT_OF_VARIATION))
    return min(largest, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


def earned_value_shares(
    workers: int, load: float, duration_ms: float, seed: int
) -> dict[str, float]:
    """Replay the mix and return the earned share of the possible value, per queue and in total."""
    rng = random.Random(seed)
    timed_jobs = arrivals(workers, load, duration_ms, rng)
    approval_rates = {kind.queue.name: kind.approval_rate for kind in JOB_PROFILES}
    replay = AdvisedReplay(workers, CONFIG, approval_rates)
    for worker in replay.cell.workers.values():
        worker.update_info(replace(worker.info, capacity=CAPACITY))
    replay.run(timed_jobs, rank_of)
    job_values = {kind.queue.name: kind.job_value for kind in JOB_PROFILES}
    offered_value = dict.fromkeys(job_values, 0.0)
    earned_value = dict.fromkeys(job_values, 0.0)
    for at_ms, record in timed_jobs:
        name = record.queue.name
        offered_value[name] += job_values[name]
        took_ms = replay.done.get(record.job_id, math.inf) - at_ms
        earned_value[name] += job_values[name] * earned_fraction(record, took_ms)
    result = {
        name: round(earned_value[name] / offered_value[name], 3)
        for name in job_values
        if offered_value[name]
    }
    return result | {"all": round(sum(earned_value.values()) / sum(offered_value.values()), 3)}


def earned_fraction(record: QueueJob, took_ms: float) -> float:
    """Return the part of its value that a job earns by ending after a time."""
    scratch_cell = Cell(0, math.inf, math.inf)
    lifecycle.add_job(scratch_cell, record, 0.0)
    limit_ms = objective_ms(scratch_cell.jobs[record.job_id], scratch_cell.estimates)
    if took_ms <= limit_ms:
        return 1.0
    return LATE_VALUE_SHARE if took_ms <= LATE_FACTOR * limit_ms else 0.0


def queue_mix() -> Iterator[Figures]:
    """Measure the earned share of the possible value, by load and seed."""
    for load in LOADS:
        for seed in SEEDS:
            shares = earned_value_shares(WORKERS, load, DURATION_MS, seed)
            figures = {f"{name}_share": share for name, share in shares.items()}
            yield Figures("queue_mix", f"{WORKERS} workers, load {load}", "", "", seed, figures)


CASES = {"queue_mix": queue_mix}

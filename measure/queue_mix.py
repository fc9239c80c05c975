"""Share of the worth that a steady mix of urgent pairs, wide gangs and batches earns, by load.

The mix follows the users' largest sheet: most callers are urgent, and most of the worth is in gangs
whose tasks may run on a quarter of the workers only.
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
LATE_SHARE = 0.2
CAPACITY = Resources(16_000, 32 * GB, 0)
MS_PER_S = 1_000.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job.

    Attributes
    ----------
    per_s
        Jobs a second at load 1 on ``WORKERS`` workers.
    width, cpu_millis, memory_gb, run_ms
        Mean and largest value for a step or task.
    gang_share, second_step_share, good_share
        Shares of steps that are gangs, of jobs with a second step, and of workers that may run it.
    worth
        Of a job that ends in time.
    """

    queue: Queue
    per_s: float
    width: tuple[float, float]
    cpu_millis: tuple[float, float]
    memory_gb: tuple[float, float]
    run_ms: tuple[float, float]
    gang_share: float
    second_step_share: float
    good_share: float
    worth: float


def _queue(name: str, priority: int, stretch: float, slack_ms: float, *cost: float) -> Queue:
    advice = AdviceTiming(*cost, valid_ms=1_500.0)
    return Queue(name, "h", f"/{name}/", SERVICE, priority, 3, stretch, slack_ms, advice)


KINDS = (
    Kind(
        _queue("urgent", 0, 1.5, 250.0, 16.9, 0.234),
        55.5, (3.1, 19), (3_900, 12_000), (7.3, 22), (640, 1_600), 0.3, 0.0, 0.7, 0.404,
    ),
    Kind(
        _queue("gangs", 1, 2.2, 1_000.0, 507.0, 7.28),
        3.75, (20, 120), (4_500, 7_600), (6.5, 13), (4_000, 10_000), 1.0, 0.2, 0.25, 6.84,
    ),
    Kind(
        _queue("batch", 2, 4.0, 3_000.0, 182.0, 2.6),
        5.01, (19, 96), (2_800, 8_300), (4.0, 12), (2_700, 6_800), 0.0, 0.5, 0.45, 3.2,
    ),
)  # fmt: skip
CONFIG = QueueConfig(1, 1, tuple(kind.queue for kind in KINDS), frozenset({SERVICE}), 1)
# Spread of sizes and times around their mean, and error of the declared run time.
SPREAD = 0.6
ESTIMATE_ERROR = 0.45


def arrivals(
    workers: int, load: float, duration_ms: float, rng: random.Random
) -> list[tuple[float, QueueJob]]:
    """Return jobs with their times of arrival in milliseconds."""
    found: list[tuple[float, QueueJob]] = []
    for kind in KINDS:
        rate = kind.per_s * load * workers / WORKERS / MS_PER_S
        at_ms = rng.expovariate(rate)
        while at_ms < duration_ms:
            name = f"{len(found):016x}"
            found.append((at_ms, QueueJob(name, kind.queue, "", _steps(kind, rng), 0, 0, 0, 0, "")))
            at_ms += rng.expovariate(rate)
    return sorted(found, key=lambda item: item[0])


def _steps(kind: Kind, rng: random.Random) -> tuple[StepSpec, ...]:
    count = 1 + (rng.random() < kind.second_step_share)
    return tuple(_step(kind, number, rng) for number in range(count))


def _step(kind: Kind, number: int, rng: random.Random) -> StepSpec:
    memory = int(_drawn(kind.memory_gb, rng) * GB)
    return StepSpec(
        max(1, round(_drawn(kind.width, rng))),
        Resources(int(_drawn(kind.cpu_millis, rng)), memory, 0),
        _drawn(kind.run_ms, rng) * rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR),
        after=(number - 1,) if number else (),
        gang=rng.random() < kind.gang_share,
    )


def _drawn(bounds: tuple[float, float], rng: random.Random) -> float:
    """Return a value from a log-normal distribution with a mean, cut at the largest."""
    mean, largest = bounds
    sigma = math.sqrt(math.log(1 + SPREAD * SPREAD))
    return min(largest, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


def earned_shares(workers: int, load: float, duration_ms: float, seed: int) -> dict[str, float]:
    """Replay the mix. Return the share of the worth earned, per queue and in all."""
    rng = random.Random(seed)
    arriving = arrivals(workers, load, duration_ms, rng)
    shares = {kind.queue.name: kind.good_share for kind in KINDS}
    replay = AdvisedReplay(workers, CONFIG, shares)
    for worker in replay.cell.workers.values():
        worker.update_info(replace(worker.info, capacity=CAPACITY))
    replay.run(arriving, rank_of)
    worths = {kind.queue.name: kind.worth for kind in KINDS}
    owed = dict.fromkeys(worths, 0.0)
    earned = dict.fromkeys(worths, 0.0)
    for at_ms, record in arriving:
        name = record.queue.name
        owed[name] += worths[name]
        took_ms = replay.done.get(record.job_id, math.inf) - at_ms
        earned[name] += worths[name] * _credit(record, took_ms)
    result = {name: round(earned[name] / owed[name], 3) for name in worths if owed[name]}
    return result | {"all": round(sum(earned.values()) / sum(owed.values()), 3)}


def _credit(record: QueueJob, took_ms: float) -> float:
    probe = Cell(0, math.inf)
    lifecycle.add_job(probe, record, 0.0)
    limit_ms = objective_ms(probe.jobs[record.job_id], probe.estimates)
    if took_ms <= limit_ms:
        return 1.0
    return LATE_SHARE if took_ms <= LATE_FACTOR * limit_ms else 0.0


def queue_mix() -> Iterator[Figures]:
    """Share of the worth earned, by load and seed."""
    for load in LOADS:
        for seed in SEEDS:
            shares = earned_shares(WORKERS, load, DURATION_MS, seed)
            figures = {f"{name}_share": share for name, share in shares.items()}
            yield Figures("queue_mix", f"{WORKERS} workers, load {load}", "", "", seed, figures)


CASES = {"queue_mix": queue_mix}

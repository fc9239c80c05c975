"""Jobs and workers of a deployment with uneven workers and wrong declared run times."""

import random
from dataclasses import dataclass, field, replace

from measure.queue_mix import MS_PER_S, JobProfile, draw
from measure.queue_passes import GB, SERVICE
from nutmeglb_formats.models.queues import AdviceTiming, Queue, QueueConfig, QueueJob, StepSpec
from nutmeglb_formats.models.resources import Resources

SPEEDS = (0.6, 1.0, 1.6)
SLOWDOWN_FACTOR = 6.0
SLOWDOWN_MS = (3_000.0, 8_000.0)
# Mean time between the slow-downs of one worker.
SLOWDOWN_INTERVAL_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class UnevenProfile:
    """Distribution of the jobs of one queue.

    Attributes
    ----------
    estimate_error
        Maximum relative error of the declared run times.
    unevenness
        Standard deviation of the run times of the tasks of one step, as a share of their mean.
    checkpoint_share
        Share of steps whose tasks save their progress.
    """

    jobs: JobProfile
    estimate_error: float
    unevenness: float
    checkpoint_share: float


def _make_queue(name: str, priority: int, stretch: float, slack_ms: float, *cost: float) -> Queue:
    advice = AdviceTiming(*cost, valid_ms=1_500.0)
    return Queue(name, "h", f"/{name}/", SERVICE, priority, 3, stretch, slack_ms, advice)


PROFILES = (
    UnevenProfile(
        JobProfile(
            _make_queue("urgent", 0, 1.5, 300.0, 9.36, 0.13),
            60.5, (3.2, 19), (5_000, 15_000), (18.0, 55), (540, 5_800), 0.3, 0.0, 0.7, 0.394,
        ), 0.9, 0.15, 0.0,
    ),
    UnevenProfile(
        JobProfile(
            _make_queue("gangs", 1, 2.2, 1_000.0, 702.0, 10.01),
            1.67, (20, 120), (9_000, 15_000), (26.0, 51), (5_300, 56_000), 1.0, 0.2, 0.25, 16.3,
        ), 0.5, 0.3, 0.5,
    ),
    UnevenProfile(
        JobProfile(
            _make_queue("batch", 2, 4.0, 3_000.0, 104.0, 1.43),
            5.42, (25, 150), (3_500, 10_000), (13.0, 38), (1_900, 20_000), 0.0, 0.5, 0.45, 3.14,
        ), 0.9, 0.15, 0.8,
    ),
)  # fmt: skip
CONFIG = QueueConfig(
    1, 1, tuple(profile.jobs.queue for profile in PROFILES), frozenset({SERVICE}), 1
)


@dataclass(slots=True)
class Load:
    """Jobs with their arrival times, and what the scheduler does not know about them.

    Attributes
    ----------
    work_ms
        Per task name: its run time on an average worker.
    true_steps
        Per job: its steps with the true mean run times as the declared ones.
    """

    timed_jobs: list[tuple[float, QueueJob]] = field(default_factory=list)
    work_ms: dict[str, float] = field(default_factory=dict)
    true_steps: dict[str, tuple[StepSpec, ...]] = field(default_factory=dict)


def make_load(load: float, duration_ms: float, rng: random.Random) -> Load:
    """Return the jobs of a replay, in order of time."""
    result = Load()
    for profile in PROFILES:
        rate = profile.jobs.per_s * load / MS_PER_S
        at_ms = rng.expovariate(rate)
        while at_ms < duration_ms:
            job_id = f"{len(result.timed_jobs):016x}"
            steps = _add_steps(result, profile, job_id, rng)
            job = QueueJob(job_id, profile.jobs.queue, "", steps, 0, 0.0, 0.0, 0.0, "")
            result.timed_jobs.append((at_ms, job))
            at_ms += rng.expovariate(rate)
    result.timed_jobs.sort(key=lambda item: item[0])
    return result


def _add_steps(
    load: Load, profile: UnevenProfile, job_id: str, rng: random.Random
) -> tuple[StepSpec, ...]:
    jobs = profile.jobs
    declared, true = [], []
    for number in range(1 + (rng.random() < jobs.second_step_share)):
        run_ms = draw(jobs.run_ms, rng)
        spec = StepSpec(
            max(1, round(draw(jobs.tasks_per_step, rng))),
            Resources(
                int(draw(jobs.cpu_millis, rng)), int(draw(jobs.memory_gb, rng) * GB), 0
            ),
            run_ms,
            after=(number - 1,) if number else (),
            gang=rng.random() < jobs.gang_share,
            checkpoints=rng.random() < profile.checkpoint_share,
        )  # fmt: skip
        true.append(spec)
        error = profile.estimate_error
        declared.append(replace(spec, estimate_ms=run_ms * rng.uniform(1 - error, 1 + error)))
        for index in range(spec.count):
            factor = 1.0 if spec.gang else max(0.3, rng.gauss(1.0, profile.unevenness))
            load.work_ms[f"{job_id}.0.{number}.{index}"] = run_ms * factor
    load.true_steps[job_id] = tuple(true)
    return tuple(declared)


@dataclass(slots=True)
class SimulatedWorker:
    """Speed of a worker over time.

    Attributes
    ----------
    slowdowns
        Periods in which the worker is slower by ``SLOWDOWN_FACTOR``, as pairs of times.
    """

    speed: float
    slowdowns: list[tuple[float, float]]

    def speed_at(self, now_ms: float) -> float:
        """Return the speed at a time, 1 for an average worker."""
        is_slow = any(start_ms <= now_ms < end_ms for start_ms, end_ms in self.slowdowns)
        return self.speed / SLOWDOWN_FACTOR if is_slow else self.speed


def draw_slowdowns(duration_ms: float, rng: random.Random) -> list[tuple[float, float]]:
    """Return the periods of slow-downs of a worker, in order of time."""
    slowdowns = []
    start_ms = rng.expovariate(1 / SLOWDOWN_INTERVAL_MS)
    while start_ms < duration_ms:
        end_ms = start_ms + rng.uniform(*SLOWDOWN_MS)
        slowdowns.append((start_ms, end_ms))
        start_ms = end_ms + rng.expovariate(1 / SLOWDOWN_INTERVAL_MS)
    return slowdowns

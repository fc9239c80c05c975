"""Admission control: which queues refuse new jobs, and when their callers may retry.

Load pattern: a sustained overload. A queue refuses jobs only when the work accepted before them
would occupy all capacity until after the latest time at which their completion is still useful.
So no job is refused while capacity is free, and none is accepted that is expected to complete too
late.
"""

from collections import defaultdict

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, critical_path_ms, objective_ms
from nutmeglb_decisions.queues.state import Job
from nutmeglb_formats.models.queues import QueueJob, QueueKey

# The delay is bounded, because the drain estimate is off by about the spread of the run times.
RETRY_AFTER_BOUNDS_MS = (500.0, 5_000.0)
# The slack of a job is divided by this number, so that its caller can retry this many times.
RETRY_ATTEMPTS = 3
OUTAGE_RETRY_BOUNDS_MS = (1_000.0, 4_000.0)


def outage_retry_ms(record: QueueJob) -> float:
    """Return the milliseconds after which the caller of a job that cannot be stored should retry.

    Load pattern: a store outage of unknown length. A job with slack retries at long intervals, so
    that its retries outlast the outage; an urgent job retries soon.
    """
    job = Job(record, 0.0)
    estimates = Estimates()
    spare_ms = objective_ms(job, estimates) - critical_path_ms(job, estimates)
    lowest, highest = OUTAGE_RETRY_BOUNDS_MS
    return min(highest, max(lowest, spare_ms / RETRY_ATTEMPTS))


def refusing_queues(cell: Cell, now_ms: float) -> dict[QueueKey, float]:
    """Return the queues that refuse jobs, each with the expected milliseconds until it accepts."""
    room = sum(
        w.info.capacity.cpu_millis
        for w in cell.workers.values()
        if w.listed and not w.info.draining
    )
    if not room:
        return {}
    backlog: dict[int, float] = defaultdict(float)
    objectives_ms: dict[QueueKey, list[float]] = defaultdict(list)
    priorities: dict[QueueKey, int] = {}
    for job in cell.active.values():
        priority = cell.policy_of(job).priority
        priorities[job.queue_key] = priority
        objectives_ms[job.queue_key].append(objective_ms(job, cell.estimates))
        backlog[priority] += _remaining_work(cell, job)
    refusing = {}
    for key, priority in priorities.items():
        drain_ms = sum(work for other, work in backlog.items() if other <= priority) / room
        median_objective_ms = sorted(objectives_ms[key])[len(objectives_ms[key]) // 2]
        excess_ms = drain_ms - LATE_FACTOR * median_objective_ms
        if excess_ms > 0:
            lowest, highest = RETRY_AFTER_BOUNDS_MS
            refusing[key] = min(highest, max(lowest, excess_ms))
    return refusing


def _remaining_work(cell: Cell, job: Job) -> float:
    """Return the remaining work of a job in millicores times milliseconds."""
    queue = job.queue_key
    return sum(
        step.remaining
        * step.charged.cpu_millis
        * cell.estimates.run_ms(queue, step.spec.estimate_ms)
        for step in job.steps
        if not step.spec.lasting
    )

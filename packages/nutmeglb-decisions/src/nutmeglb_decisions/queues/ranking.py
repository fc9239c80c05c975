"""Rank order of waiting steps.

Load pattern: bursts far above capacity, and wide gangs beside small ones in a busy cell. Work that
is too late to matter to its caller goes last. All other work is ordered by the queue's priority,
then by tier: work that can still meet its objective goes before work that can only be late. Within
a tier the order is by the latest start that keeps the work in its tier: short work has less slack,
and wide work is not overtaken indefinitely. After that, small work goes first, so that a burst
delays few callers.
"""

from dataclasses import dataclass
from enum import IntEnum

from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.state import Job, Step
from nutmeglb_decisions.queues.step_state import Forecast
from nutmeglb_decisions.queues.team_limits import waves

# A job that takes longer than this many times its objective is useless to its caller, according to
# the users' rules on credit.
LATE_FACTOR = 3.0
# Workers in the advice call that an objective allows for, according to the users' rules on credit.
OBJECTIVE_ADVICE_WORKERS = 30
# A waiting step moves up one tier after this many times its objective, so that wide work never
# starves.
AGING_FACTOR = 12.0
# Forecasts are cached, because thousands of steps may wait. Estimates change by a few percent in
# this time.
FORECAST_VALIDITY_MS = 100.0


class Tier(IntEnum):
    """How timely a job can still end, best first."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


# Jobs of a tier have to end within this many times their objective.
LIMIT_FACTORS = {Tier.IN_TIME: 1.0, Tier.LATE: LATE_FACTOR, Tier.TOO_LATE: float("inf")}


@dataclass(frozen=True, slots=True)
class Rank:
    """Sort key of a waiting step; lower goes first.

    Attributes
    ----------
    latest_start_ms
        Latest start in milliseconds that keeps the step in its tier; infinite if it is too late.
    remaining_work
        Remaining work in millicores times milliseconds.
    before_priority, before_start
        Named terms of optional parts, and where they stand in the order.
    """

    tier: int
    priority: int
    latest_start_ms: float
    remaining_work: float
    accepted_ms: float
    before_priority: tuple[tuple[str, float], ...] = ()
    before_start: tuple[tuple[str, float], ...] = ()

    @property
    def key(self) -> tuple[float, ...]:
        """Return the sort key."""
        too_late = self.tier == Tier.TOO_LATE
        return (
            too_late,
            *(value for _, value in self.before_priority),
            self.priority,
            self.tier,
            *(value for _, value in self.before_start),
            self.latest_start_ms,
            self.remaining_work,
            self.accepted_ms,
        )


def critical_path_ms(
    job: Job, estimates: Estimates, first: int = 0, first_count: int | None = None
) -> float:
    """Return the length in milliseconds of the critical path of a job from step ``first`` on.

    A step that is wider than its team may run takes several rounds, according to the users' rules
    on credit.

    Parameters
    ----------
    first_count
        Number of tasks of step ``first`` that have not started; by default all.
    """
    queue = job.record.queue
    advice_ms = queue.advice.call_ms(OBJECTIVE_ADVICE_WORKERS) if queue.advice else 0.0
    limit = estimates.team_limits.get(job.record.team)
    longest_ms: dict[int, float] = {}
    for number in reversed(range(len(job.record.steps))):
        step = job.record.steps[number]
        successors_ms = [
            longest_ms[later]
            for later in range(number + 1, len(job.record.steps))
            if number in job.record.steps[later].after
        ]
        count = first_count if number == first and first_count is not None else step.count
        rounds = waves(step, count, limit)
        step_ms = estimates.run_ms(job.queue_key, step.estimate_ms) * rounds + advice_ms
        longest_ms[number] = step_ms + max(successors_ms, default=0.0)
    if first:
        return longest_ms[first]
    return max(longest_ms.values(), default=0.0)


def objective_ms(job: Job, estimates: Estimates) -> float:
    """Return the time in milliseconds within which the caller expects a job to end."""
    queue = job.record.queue
    return queue.stretch * critical_path_ms(job, estimates) + queue.slack_ms


def rank_of(step: Step, start_ms: float, now_ms: float, estimates: Estimates) -> Rank:
    """Return the rank of a waiting step whose occurrence was due at ``start_ms``."""
    job = step.job
    forecast = forecast_of(step, now_ms, estimates)
    objective_duration_ms, critical_ms = forecast.objective_ms, forecast.remaining_ms
    end_ms = now_ms + critical_ms
    if end_ms <= start_ms + objective_duration_ms:
        tier = Tier.IN_TIME
    elif end_ms <= start_ms + LATE_FACTOR * objective_duration_ms:
        tier = Tier.LATE
    else:
        tier = Tier.TOO_LATE
    if tier and now_ms - start_ms > AGING_FACTOR * objective_duration_ms:
        tier = Tier(tier - 1)
    latest_start_ms = start_ms + LIMIT_FACTORS[tier] * objective_duration_ms - critical_ms
    waiting = sum(1 for task in step.tasks if not task.done and task.run is None)
    remaining_work = critical_ms * (1 + waiting * step.spec.needs.cpu_millis)
    return Rank(tier, job.record.queue.priority, latest_start_ms, remaining_work, job.accepted_ms)


def forecast_of(step: Step, now_ms: float, estimates: Estimates) -> Forecast:
    """Return the cached durations of a step and its job, recomputed once it has expired."""
    forecast = step.forecast
    if forecast is None or now_ms >= forecast.expires_at_ms:
        waiting = sum(1 for task in step.tasks if not task.done and task.run is None)
        remaining_ms = critical_path_ms(step.job, estimates, step.number, waiting)
        forecast = Forecast(
            remaining_ms, objective_ms(step.job, estimates), now_ms + FORECAST_VALIDITY_MS
        )
        step.forecast = forecast
    return forecast

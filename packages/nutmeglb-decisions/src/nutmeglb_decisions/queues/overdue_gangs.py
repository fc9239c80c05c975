"""Chooses the gangs that may plan their start although the usual conditions do not allow it.

Load pattern: a gang that is too late to be useful, or for which the plans of other gangs leave no
share, beside a steady stream of smaller work on its few approved workers. Without a plan it would
wait until these workers happen to be free at the same time. At most one gang per service is chosen,
the one that was accepted first, so that its wait is bounded and useful work loses little.
"""

from collections.abc import Sequence

from nutmeglb_decisions.queues.advice import approved_workers, eligible
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.gang_plans import capacity_without_lasting
from nutmeglb_decisions.queues.idle_jobs import LOW_UTILIZATION, utilization_by_service
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, Rank, Tier, forecast_of
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.worker_selection import slots_on

# In a busy service a gang may plan in any case once it has waited this many times its objective.
# Twice the time after which the job is useless to its caller leaves useful work the precedence.
OVERDUE_FACTOR = 2 * LATE_FACTOR
# Gangs whose workers are checked in one pass, to keep it short. Others follow in later passes,
# since the next check of a gang that its workers cannot hold is due after the interval.
MAX_CHECKED = 4
CHECK_INTERVAL_MS = 2_000.0
# Utilization up to which a gang in a service with free capacity keeps its plan, so that the plan is
# not dropped at each small change.
MAX_KEPT_UTILIZATION = 0.75


def choose_overdue(
    cell: Cell, ranked: Sequence[tuple[Rank, Step]], now_ms: float
) -> dict[str, Step]:
    """Return per service the gang that may plan regardless of its tier and share.

    A gang stays chosen until it starts, so that the capacity that it has accumulated is not lost.
    """
    waiting = [step for rank, step in ranked if step.spec.gang and _is_excluded(cell, rank, step)]
    if not waiting:
        cell.overdue_gangs.clear()
        return {}
    used = utilization_by_service(cell)
    waiting.sort(key=lambda step: step.job.accepted_ms)
    # False sorts before true.
    waiting.sort(key=lambda step: step not in cell.overdue_gangs.values())
    chosen: dict[str, Step] = {}
    checked = 0
    for step in waiting:
        service = cell.policy_of(step.job).service
        if service in chosen or now_ms < step.overdue_check_ms:
            continue
        if not _may_plan(cell, step, used.get(service, 1.0), now_ms):
            continue
        if checked == MAX_CHECKED:
            break
        checked += 1
        if _can_hold(cell, step):
            chosen[service] = step
        else:
            step.overdue_check_ms = now_ms + CHECK_INTERVAL_MS
    cell.overdue_gangs = chosen
    return chosen


def _is_excluded(cell: Cell, rank: Rank, step: Step) -> bool:
    """Return whether a gang that no gate holds gets no plan by the usual conditions.

    The plan of a chosen gang is not a usual one.
    """
    if step.held_by or not (step.advice.good or step.recorded):
        return False
    is_chosen = cell.overdue_gangs.get(cell.policy_of(step.job).service) is step
    return is_chosen or rank.tier == Tier.TOO_LATE or bool(step.unplanned)


def _may_plan(cell: Cell, step: Step, utilization: float, now_ms: float) -> bool:
    limit = LOW_UTILIZATION if step.plan is None else MAX_KEPT_UTILIZATION
    if utilization < limit:
        return True
    objective_ms = forecast_of(step, now_ms, cell.estimates).objective_ms
    return now_ms - step.job.accepted_ms >= OVERDUE_FACTOR * objective_ms


def _can_hold(cell: Cell, step: Step) -> bool:
    """Return whether the workers that a gang may use can hold it when other runs have ended."""
    if cell.policy_of(step.job).advice is not None:
        workers = approved_workers(cell, step)
    else:
        workers = [w for w in eligible(cell, step) if w.worker_id in step.recorded]
    return sum(slots_on(capacity_without_lasting(w), step, 0) for w in workers) >= step.spec.count

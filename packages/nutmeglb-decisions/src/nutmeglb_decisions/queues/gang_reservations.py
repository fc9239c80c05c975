"""Plans and reserves the capacity of a gang that does not fit yet."""

import math

from nutmeglb_decisions.queues import advice
from nutmeglb_decisions.queues.gang_plans import reserve_planned_capacity, update_plan
from nutmeglb_decisions.queues.ranking import Tier, rank_of
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass
from nutmeglb_decisions.queues.state import Step

# Share of the CPU of a gang's eligible workers that the waiting gangs of a service may reserve.
# More would leave too little for work that ends before they start. A single gang may reserve more.
MAX_RESERVED_SHARE = 0.3
# Gangs whose expected start is computed in one pass. Bounded to keep the pass short.
MAX_RESERVATION_ATTEMPTS = 16


def plan_and_reserve(state: SchedulingPass, step: Step, group: advice.WorkerGroup) -> float:
    """Reserve capacity for a gang. Return its expected start, or infinity without a reservation."""
    cell, now_ms = state.cell, state.now_ms
    if step.holds:
        return now_ms
    timing = cell.policy_of(step.job).advice
    allowed = step.recorded if timing is None else step.advice.good
    rank = rank_of(step, step.job.accepted_ms, now_ms, cell.estimates)
    service = cell.policy_of(step.job).service
    is_overdue = state.overdue.get(service) is step
    is_too_late = rank.tier == Tier.TOO_LATE
    is_beyond_limit = state.reservation_attempts >= MAX_RESERVATION_ATTEMPTS
    step.unplanned = ""
    if not allowed:
        step.unplanned = "no worker approved or stored"
    elif is_too_late and not is_overdue:
        step.unplanned = "too late to be useful"
    elif is_beyond_limit and not is_overdue:
        step.unplanned = "limit of plans in a pass"
    if step.unplanned:
        step.plan = None
        return math.inf
    state.reservation_attempts += 1
    good = [
        worker
        for worker in group.workers
        if worker.worker_id in allowed and worker.settled and worker.unanswered_since_ms is None
    ]
    queue = step.job.record.queue
    reserved = state.reserved_cpu.get(queue.service, 0)
    required_cpu = step.charged.cpu_millis * step.spec.count
    room = MAX_RESERVED_SHARE * sum(n * size.cpu_millis for size, n in group.capacities.items())
    exceeds_share = bool(reserved) and reserved + required_cpu > room
    if is_overdue and not (is_too_late or is_beyond_limit or exceeds_share):
        # It plans by the usual conditions, so that another gang may be chosen.
        cell.overdue_gangs.pop(service, None)
    if not good or (exceeds_share and not is_overdue):
        step.unplanned = "capacity reserved for other gangs" if good else "no worker is settled"
        step.plan = None
        return math.inf
    at_ms = update_plan(step, good, now_ms)
    if at_ms is None:
        step.unplanned = "it does not fit on its workers"
        return math.inf
    reserve_planned_capacity(step, cell.workers, state.reservations, now_ms)
    state.reserved_cpu[queue.service] = reserved + required_cpu
    previous_priority = state.gang_priorities.get(queue.service, queue.priority)
    state.gang_priorities[queue.service] = min(previous_priority, queue.priority)
    return at_ms

"""Plans of the workers on which waiting gangs will start, and of the start times.

Load pattern: gangs that need more than the free capacity, beside a stream of smaller work. A gang
keeps its planned workers from pass to pass, so that free capacity accumulates on them. Work that is
expected to end before the gang starts may still use that capacity.
"""

import math
from collections.abc import Mapping, Sequence

from nutmeglb_decisions.queues.state import Run, RunState, Step
from nutmeglb_decisions.queues.step_state import GangPlan
from nutmeglb_decisions.queues.worker_selection import Reservation, Reservations, slots_on
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.resources import Resources

# A run that has passed its expected end is expected to take this share of its age longer, because
# run times spread by a half around their mean.
OVERDUE_EXTENSION_SHARE = 0.15
# Interval between searches for a better plan, and the minimum gain in start time that justifies
# dropping a plan and the capacity that has accumulated for it.
REPLAN_INTERVAL_MS = 500.0
MIN_REPLAN_GAIN_MS = 1_500.0


def expected_end_ms(run: Run, now_ms: float) -> float:
    """Return when a run is expected to end, at the earliest ``now_ms``.

    A lasting task runs until its job is cancelled, so its end is infinitely far away.
    """
    if run.step.spec.lasting and run.state != RunState.STOPPING:
        return math.inf
    if run.expected_end_ms > now_ms:
        return run.expected_end_ms
    return now_ms + OVERDUE_EXTENSION_SHARE * (now_ms - run.ordered_ms)


def capacity_without_lasting(worker: Worker) -> Resources:
    """Return the capacity of a worker when all runs have ended that end by themselves."""
    lasting = (run.charged for run in worker.runs.values() if run.step.spec.lasting)
    return worker.info.capacity - sum(lasting, Resources())


def update_plan(step: Step, good: Sequence[Worker], now_ms: float) -> float | None:
    """Create, keep or replace the plan of a gang.

    Returns the expected start in milliseconds, or ``None`` if the gang fits nowhere.
    """
    by_id = {worker.worker_id: worker for worker in good}
    plan = step.plan
    if plan is not None and not plan.counts.keys() <= by_id.keys():
        plan = step.plan = None
    start_ms = None if plan is None else _start_ms(step, plan, by_id, now_ms)
    if start_ms is None:
        # A worker has shrunk below its part of the plan.
        plan = step.plan = None
    elif plan is not None:
        plan.start_ms = start_ms
        if now_ms < plan.next_review_ms:
            return start_ms
    other = _make_plan(step, good, now_ms)
    if other is None:
        return start_ms
    candidate_start_ms = _start_ms(step, other, by_id, now_ms)
    if candidate_start_ms is None:
        return start_ms
    if (
        plan is not None
        and start_ms is not None
        and start_ms <= candidate_start_ms + MIN_REPLAN_GAIN_MS
    ):
        plan.next_review_ms = now_ms + REPLAN_INTERVAL_MS
        return start_ms
    step.plan = other
    return candidate_start_ms


def reserve_planned_capacity(
    step: Step,
    workers: Mapping[str, Worker],
    reservations: Reservations,
    now_ms: float,
    position: int = 0,
    owner: Step | None = None,
) -> None:
    """Reserve the planned capacity of a step from its expected start on.

    Parameters
    ----------
    position
        Position of the step in rank order.
    owner
        The step, if the reservation is made before its turn and binds all others.
    """
    plan = step.plan
    if plan is None:
        return
    for worker_id, count in plan.counts.items():
        worker = workers.get(worker_id)
        if worker is None:
            continue
        amount = step.charged.scaled(count)
        surplus = _free_at(worker, plan.start_ms, now_ms) - amount
        reservations.add(
            worker_id, Reservation(plan.start_ms, surplus, position, owner, owner is not None)
        )


def _make_plan(step: Step, good: Sequence[Worker], now_ms: float) -> GangPlan | None:
    """Return a plan on the workers that have capacity first, or ``None`` if the gang fits nowhere.

    Each worker takes as many tasks as fit, because a gang on few workers leaves the others to the
    stream of urgent work.
    """
    options = []
    for worker in good:
        slots = slots_on(capacity_without_lasting(worker), step, 0)
        if slots:
            count = min(slots, step.spec.count)
            ready_ms = _ready_ms(step, worker, count, now_ms)
            if ready_ms is not None:
                options.append((ready_ms, worker.worker_id, count))
    options.sort()
    missing = step.spec.count
    counts: dict[str, int] = {}
    start_ms = now_ms
    for ready_ms, worker_id, count in options:
        counts[worker_id] = min(count, missing)
        missing -= counts[worker_id]
        start_ms = ready_ms
        if not missing:
            return GangPlan(counts, now_ms + REPLAN_INTERVAL_MS, start_ms)
    return None


def _ready_ms(step: Step, worker: Worker, count: int, now_ms: float) -> float | None:
    """Return when ``count`` tasks of a step are expected to fit on a worker, ``None`` for never."""
    free = worker.free
    if slots_on(free, step, 0) >= count:
        return now_ms
    for run in sorted(worker.runs.values(), key=lambda run: expected_end_ms(run, now_ms)):
        free = free + run.charged
        if slots_on(free, step, 0) >= count:
            end_ms = expected_end_ms(run, now_ms)
            return end_ms if math.isfinite(end_ms) else None
    return None


def _start_ms(
    step: Step, plan: GangPlan, workers: Mapping[str, Worker], now_ms: float
) -> float | None:
    """Return when all planned workers are expected to have capacity, or ``None`` for never."""
    start_ms = now_ms
    for worker_id, count in plan.counts.items():
        ready_ms = _ready_ms(step, workers[worker_id], count, now_ms)
        if ready_ms is None:
            return None
        start_ms = max(start_ms, ready_ms)
    return start_ms


def _free_at(worker: Worker, at_ms: float, now_ms: float) -> Resources:
    free = worker.free
    for run in worker.runs.values():
        if expected_end_ms(run, now_ms) <= at_ms:
            free = free + run.charged
    return free

"""The scheduling pass: ranks the waiting steps, requests advice and starts tasks that fit."""

import math
import random
from collections.abc import Sequence
from functools import partial

from nutmeglb_decisions.queues import (
    advice,
    advice_turns,
    gang_reservations,
    idle_turns,
    isolation,
    overdue_gangs,
    record_size,
    run_numbers,
    set_aside,
    unseen_runs,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.gang_plans import reserve_planned_capacity
from nutmeglb_decisions.queues.headroom import spare_cpu
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.ranking import Rank, Tier, rank_of
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass, start_task
from nutmeglb_decisions.queues.state import Step, Task
from nutmeglb_decisions.queues.waiting_order import RankFunction, ranked_steps, startable_tasks
from nutmeglb_decisions.queues.worker_selection import (
    Reservation,
    Reservations,
    choose_gang,
    choose_single,
    slots_on,
)
from nutmeglb_decisions.queues.worker_state import Worker

# Limit on worker checks, each of one step against one worker, so that a pass takes about 10 ms at
# most while thousands of steps wait. A step that waits for advice or has no worker uses none.
WORKER_CHECKS_PER_PASS = 20_000
# Share of the worker checks for the steps in rank order. The others go to the remaining steps in
# turn, so that none of these starves behind steps that cannot start while capacity is free.
BEST_RANK_SHARE = 0.75
# Workers recorded at once for a step that needs no advice; more if its tasks do not fit on these.
WORKERS_PER_RECORD = 30
# Interval between checks whether the selected workers can hold a step. The set of workers changes
# more slowly.
RECORD_CHECK_INTERVAL_MS = 500.0


def schedule(
    cell: Cell,
    calling_instances: int,
    rng: random.Random,
    now_ms: float,
    wall_ms: float,
    rank: RankFunction = rank_of,
    max_worker_checks: int = WORKER_CHECKS_PER_PASS,
) -> None:
    """Run one pass. Orders and advice requests are added to the effects of the cell.

    Parameters
    ----------
    calling_instances
        Number of instances that make advice calls.
    max_worker_checks
        Limit on the worker checks of this pass.
    """
    state = SchedulingPass(
        cell,
        rng,
        now_ms,
        wall_ms,
        advice.AdviceBudget.of(cell, calling_instances, now_ms),
        Reservations(),
        Reservations(),
    )
    isolation.release_workers(cell, now_ms)
    state.prepare_parts()
    ranked = ranked_steps(cell, now_ms, wall_ms, rank)
    state.turns = idle_turns.choose_turns(cell, ranked, now_ms)
    ranked = idle_turns.put_first(ranked, state.turns)
    for position, (_, step) in enumerate(ranked):
        if step.plan is not None:
            reserve_planned_capacity(step, cell.workers, state.planned, now_ms, position)
            for worker_id, count in step.plan.counts.items():
                amount = count * step.charged.cpu_millis
                state.planned_cpu[worker_id] = state.planned_cpu.get(worker_id, 0) + amount
    cell.class_usage.sample(cell.workers.values(), state.planned_cpu, now_ms)
    state.overdue = overdue_gangs.choose_overdue(cell, ranked, now_ms)
    for step in state.overdue.values():
        reserve_planned_capacity(step, cell.workers, state.reservations, now_ms, owner=step)
    advice_turns.keep_call_free(cell, ranked, state.budget, now_ms)
    for before in cell.parts.before_pass:
        set_aside.contain(cell, _name_of(before), now_ms, partial(before, state, ranked))
    not_reached = _place_until(state, ranked, BEST_RANK_SHARE * max_worker_checks)
    for _, step in not_reached:
        reserve_planned_capacity(step, cell.workers, state.reservations, now_ms)
    not_reached.sort(key=lambda item: item[1].last_tried_ms)
    _place_until(state, not_reached, max_worker_checks)
    for _, step in ranked:
        if step.lossy_tasks:
            run_numbers.release_unused_numbers(cell, step, now_ms)
    for after in cell.parts.after_pass:
        set_aside.contain(cell, _name_of(after), now_ms, partial(after, state, ranked))


def _name_of(function: object) -> str:
    return getattr(function, "__name__", type(function).__name__)


def _place_until(
    state: SchedulingPass, ranked: Sequence[tuple[Rank, Step]], max_worker_checks: float
) -> list[tuple[Rank, Step]]:
    """Place steps in order until the worker checks are used up. Return the steps not reached."""
    for position, (step_rank, step) in enumerate(ranked):
        if state.worker_checks >= max_worker_checks:
            return list(ranked[position:])
        step.last_tried_ms = state.now_ms
        try:
            _place_step(state, step)
        except Exception as error:
            _defer(state, step, error)
        else:
            if state.placed:
                step.deferral.failures = 0
        _log_placed(state, step, step_rank)
    return []


def _defer(state: SchedulingPass, step: Step, error: Exception) -> None:
    """Defer a step whose placement raised an unexpected error, so that all others proceed.

    A violated invariant does not end the term either: the next leader would place the same step.
    Members of a gang that were started in this pass have not been ordered yet, and are stopped.
    """
    if step.spec.gang:
        for run in state.placed:
            stop_run(state.cell, run)
    set_aside.defer_step(state.cell, step, error, state.now_ms)


def _place_step(state: SchedulingPass, step: Step) -> None:
    cell, now_ms = state.cell, state.now_ms
    group = _eligible_group(state, step)
    if not group.workers:
        return
    if not state.admits(step, step.spec.count if step.spec.gang else 1):
        step.plan = None
        return
    needs_advice = cell.policy_of(step.job).advice is not None
    if needs_advice and not step.lossy_tasks and not step.charged.fits_in(group.max_free):
        candidates = []
    elif needs_advice:
        candidates = advice.workers_with_ticket(cell, step, now_ms)
    else:
        candidates = _with_free_capacity(state, step, group.workers)
        _record_workers(cell, step, group.workers, candidates, now_ms)
    state.worker_checks += 1 + len(candidates)
    unseen_runs.settle_unseen_losses(cell, step)
    tasks = startable_tasks(step, now_ms)
    if step.lossy_tasks and not step.spec.gang:
        run_ms = _expected_run_ms(state, step)
        tasks = isolation.place_suspects(state, step, tasks, group.workers, candidates, run_ms)
        if step.job.final is not None:
            return
    ready = [worker for worker in candidates if _is_ready(step, worker, now_ms)]
    is_advice_due = needs_advice and advice.is_due(step, now_ms)
    if step.spec.gang:
        start_ms = _place_gang(state, step, ready, group, is_advice_due)
    else:
        start_ms = _place_singles(state, step, tasks, ready, is_advice_due)
    if start_ms is not None and step in state.turns:
        # It has tickets whenever one of its workers opens.
        start_ms = now_ms
    if start_ms is not None and is_advice_due:
        state.worker_checks += len(group.workers)
        advice.request_if_due(cell, step, group, state.budget, state.rng, now_ms, start_ms)


def _log_placed(state: SchedulingPass, step: Step, rank: Rank) -> None:
    """Log the started runs of a step in one line, each as ``INDEX@WORKER:RUN``."""
    placed, state.placed = state.placed, []
    if not placed:
        return
    now_ms, workers = state.now_ms, state.cell.workers
    state.cell.log_decision(
        "tasks_placed",
        "free capacity and rank",
        job=step.job.job_id,
        step=step.name,
        runs=" ".join(f"{run.index}@{run.worker_id}:{run.number}" for run in placed),
        tier=Tier(rank.tier).name.lower(),
        waited_ms=round(now_ms - (step.runnable_since_ms or now_ms)),
        expected_ms=round(_expected_run_ms(state, step)),
        reports_age_ms=round(now_ms - min(workers[run.worker_id].last_report_ms for run in placed)),
    )


def _eligible_group(state: SchedulingPass, step: Step) -> advice.WorkerGroup:
    """Return the workers that may run a step, cached per service and label for this pass."""
    service = state.cell.policy_of(step.job).service
    key = (service, step.spec.required_label)
    if key not in state.eligible:
        state.eligible[key] = advice.WorkerGroup.of(advice.eligible(state.cell, step))
    return state.eligible[key]


def _with_free_capacity(
    state: SchedulingPass, step: Step, workers: Sequence[Worker]
) -> list[Worker]:
    """Return the workers on which a task fits.

    Skips the search if a smaller task fitted on none of them earlier in this pass.
    """
    charged = step.charged
    key = (state.cell.policy_of(step.job).service, step.spec.required_label)
    sizes_without_capacity = state.sizes_without_capacity.setdefault(key, [])
    if any(smaller.fits_in(charged) for smaller in sizes_without_capacity):
        return []
    state.worker_checks += len(workers)
    fitting = [worker for worker in workers if charged.fits_in(worker.free)]
    if not fitting:
        sizes_without_capacity.append(charged)
    return fitting


def _is_ready(step: Step, worker: Worker, now_ms: float) -> bool:
    return (
        step.charged.fits_in(worker.free)
        and worker.worker_id in step.recorded
        and worker.accepts_starts(now_ms)
    )


def _record_workers(
    cell: Cell,
    step: Step,
    workers: Sequence[Worker],
    with_free_capacity: Sequence[Worker],
    now_ms: float,
) -> None:
    """Select workers to be stored for a step without advice, before a task is sent to them.

    Enough workers are selected to hold the whole step when they are empty. More follow when the
    selected ones are full and others have free capacity.
    """
    selected = step.selected
    missing = 0.0
    if now_ms >= step.record_check_ms:
        step.record_check_ms = now_ms + RECORD_CHECK_INTERVAL_MS
        missing = advice.missing_slots(step, [w for w in workers if w.worker_id in selected])
    if missing > 0:
        unselected = [w for w in workers if w.worker_id not in selected]
    elif any(worker.worker_id in selected for worker in with_free_capacity):
        return
    else:
        unselected = list(with_free_capacity)
    if not unselected:
        return
    unselected.sort(key=lambda worker: -slots_on(worker.free, step, 0))
    held, added = 0, []
    for number, worker in enumerate(unselected):
        if number >= WORKERS_PER_RECORD and held >= missing:
            break
        added.append(worker.worker_id)
        held += slots_on(worker.info.capacity, step, 0)
    record_size.select_workers(cell, step, added)


def _expected_run_ms(state: SchedulingPass, step: Step) -> float:
    queue = step.job.queue_key
    return state.cell.estimates.run_ms(queue, step.spec.estimate_ms)


def _place_singles(
    state: SchedulingPass,
    step: Step,
    tasks: Sequence[Task],
    ready: Sequence[Worker],
    is_advice_due: bool,
) -> float | None:
    """Start the tasks that fit. Return when the next may start.

    The result is ``None`` if all were started, or if no more of them may start now.

    Parameters
    ----------
    is_advice_due
        Whether to compute the time, which only an advice request needs. Otherwise it is infinite.
    """
    run_ms = _expected_run_ms(state, step)
    for task in tasks:
        if not state.admits_next(step):
            return None
        if not _leaves_headroom(state, step):
            return math.inf
        worker = _choose_worker(state, step, task, ready, run_ms)
        if worker is None:
            return _next_capacity_ms(state, step, run_ms) if is_advice_due else math.inf
        number = run_numbers.next_number(state.cell, step, (task,), (worker,), state.now_ms)
        if number is None:
            state.use_admission(step)
            _hold_capacity(state, step, worker, run_ms)
        else:
            start_task(state, step, task, worker, number, run_ms)
    # A suspect may start as soon as its worker is empty, for which it needs a valid ticket.
    return state.now_ms if step.held_by else None


def _choose_worker(
    state: SchedulingPass, step: Step, task: Task, ready: Sequence[Worker], run_ms: float
) -> Worker | None:
    """Return the worker for a task: the one that is stored for its next run, or else the best."""
    stored = run_numbers.reserved_workers((task,), ready) if task.losses else []
    for workers in (stored, ready):
        worker = choose_single(
            step, workers, state.reservations, state.now_ms, run_ms, state.planned, state.lost_ms
        )
        if worker is not None:
            return worker
    return None


def _hold_capacity(state: SchedulingPass, step: Step, worker: Worker, run_ms: float) -> None:
    """Keep room on a worker in this pass for a task that starts once its number is stored."""
    reservations = state.reservations
    if worker.worker_id not in state.held_for_numbers:
        state.held_for_numbers.add(worker.worker_id)
        reservations.add(worker.worker_id, Reservation(state.now_ms, worker.free))
    reservations.charge(worker.worker_id, step, state.now_ms + run_ms * worker.slowness)


def _leaves_headroom(state: SchedulingPass, step: Step) -> bool:
    """Return whether a task leaves the headroom for classes more urgent than the waiting gangs."""
    service = step.job.record.queue.service
    priority = state.gang_priorities.get(service)
    if priority is None or step.job.record.queue.priority < priority:
        return True
    class_usage = state.cell.class_usage
    headroom = class_usage.headroom(service, priority)
    if not headroom:
        return True
    key = (service, class_usage.unit(service, priority))
    if key not in state.spare_cpu:
        workers = state.cell.workers.values()
        state.worker_checks += len(workers)
        state.spare_cpu[key] = spare_cpu(workers, service, state.planned_cpu, key[1])
    return state.spare_cpu[key] - step.charged.cpu_millis >= headroom


def _next_capacity_ms(state: SchedulingPass, step: Step, run_ms: float) -> float:
    """Return when a task is expected to fit on one of the approved workers of its step."""
    good = advice.approved_workers(state.cell, step)
    if choose_single(step, good, state.reservations, state.now_ms, run_ms) is not None:
        return state.now_ms
    ends = [run.expected_end_ms for worker in good for run in worker.runs.values()]
    return max(state.now_ms, min(ends, default=math.inf))


def _place_gang(
    state: SchedulingPass,
    step: Step,
    ready: Sequence[Worker],
    group: advice.WorkerGroup,
    is_advice_due: bool,
) -> float | None:
    """Start a gang if it fits. Return its expected start, or ``None`` if it was started."""
    run_ms = _expected_run_ms(state, step)
    if step.lossy_tasks:
        ready = isolation.workers_for_gang(state, step, ready)
        if step.job.final is not None:
            return None
    assignment = None
    for workers in (run_numbers.reserved_workers(step.tasks, ready), ready):
        if assignment is None:
            assignment = choose_gang(
                step, workers, state.reservations, state.now_ms, run_ms, state.lost_ms
            )
    if assignment is None:
        good = advice.approved_workers(state.cell, step) if is_advice_due else []
        fits = choose_gang(step, good, state.reservations, state.now_ms, run_ms) is not None
        at_ms = gang_reservations.plan_and_reserve(state, step, group)
        return state.now_ms if fits or state.now_ms < step.expects_room_until_ms else at_ms
    chosen = [state.cell.workers[worker_id] for worker_id in assignment.worker_ids]
    number = run_numbers.next_number(state.cell, step, step.tasks, chosen, state.now_ms)
    if number is None:
        for worker in chosen:
            state.use_admission(step)
            _hold_capacity(state, step, worker, run_ms)
        return None
    step.plan = None
    step.unplanned = ""
    for task, worker in zip(step.tasks, chosen, strict=True):
        start_task(state, step, task, worker, number, run_ms)
    if step.lossy_tasks:
        isolation.isolate_gang(state, step)
    return None

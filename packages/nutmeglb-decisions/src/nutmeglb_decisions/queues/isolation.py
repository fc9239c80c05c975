"""Starts tasks that may crash their worker on workers without other work.

Load pattern: a job whose tasks crash each worker that starts them, among healthy work that was lost
with the same workers. A suspect waits for a worker without runs; one is kept for it and empties.
The wait is bounded: after it the task starts where the least work would be lost. Until one task of
a step has proved healthy, one task of its job at a time is tried, so that a bad job crashes
one worker more, and costs nobody else.

Which worker is kept is only memory of the leader. The next leader chooses again.
"""

import math
from collections.abc import Sequence

from nutmeglb_decisions.queues import crashing_tasks, run_numbers, worker_losses
from nutmeglb_decisions.queues.cell import Cell, KeptWorker
from nutmeglb_decisions.queues.idle_jobs import LOW_UTILIZATION, utilization_by_service
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass, start_task
from nutmeglb_decisions.queues.state import Isolation, Job, Run, Step, Task
from nutmeglb_decisions.queues.task_losses import TaskLosses
from nutmeglb_decisions.queues.worker_selection import Reservations, choose_single
from nutmeglb_decisions.queues.worker_state import Worker

# Longest wait for a worker without runs: the time of a few short runs.
MAX_WAIT_MS = 4_000.0
# The same of a lasting task, or while most of the capacity is free. Callers count a job that does
# nothing for 3 s beside free capacity as stuck.
MAX_IDLE_WAIT_MS = 2_000.0
# Time after which a worker that its task has not asked for is no longer kept: many passes.
MAX_UNUSED_MS = 2_000.0
# Suspects of one step that a pass tries to start, each with a search among all workers.
MAX_SUSPECTS_PER_PASS = 8
# Share of the workers of a service that may be kept empty for suspects; one in any case.
MAX_KEPT_SHARE = 0.125


def release_workers(cell: Cell, now_ms: float) -> None:
    """Make the workers available again on which no suspect runs or is about to start."""
    for worker_id, kept in list(cell.kept_workers.items()):
        worker = cell.workers.get(worker_id)
        if worker is not None and (_has_isolated_run(worker) or _is_needed(kept, worker, now_ms)):
            continue
        if worker is None:
            del cell.kept_workers[worker_id]
        else:
            crashing_tasks.release_worker(cell, worker)


def _has_isolated_run(worker: Worker) -> bool:
    return any(run.isolation != Isolation.NONE for run in worker.runs.values())


def _is_needed(kept: KeptWorker, worker: Worker, now_ms: float) -> bool:
    """Return whether a task still waits for a worker that empties.

    A task that has not asked for its worker lately waits for something else, as a team's limit.
    """
    task, step = kept.task, kept.step
    if step.spec.gang or now_ms > kept.wanted_ms + MAX_UNUSED_MS:
        return False
    waits = not task.done and task.run is None and step.job.final is None
    is_isolated = crashing_tasks.isolation_of(step, task) != Isolation.NONE
    return waits and is_isolated and worker.is_usable(now_ms) and not worker.info.draining


def place_suspects(
    state: SchedulingPass,
    step: Step,
    tasks: Sequence[Task],
    group: Sequence[Worker],
    candidates: Sequence[Worker],
    run_ms: float,
) -> list[Task]:
    """Start the isolated tasks among ``tasks`` that may start. Return those to place as usual.

    Parameters
    ----------
    group, candidates
        Workers that may run the step; those of them with a ticket, if it needs one.
    """
    cell, now_ms = state.cell, state.now_ms
    for task in tasks:
        if crashing_tasks.give_up_if_hopeless(cell, step, task, state.wall_ms):
            return []
    isolated = [t for t in tasks if crashing_tasks.isolation_of(step, t) != Isolation.NONE]
    if not isolated:
        return list(tasks)
    is_cleared = crashing_tasks.is_cleared(step)
    if cell.policy_of(step.job).advice is None:
        candidates = group
    usable = [
        worker
        for worker in candidates
        if worker.worker_id in step.recorded and worker.is_usable(now_ms)
    ]
    for task in isolated[:MAX_SUSPECTS_PER_PASS]:
        if not is_cleared and _has_trial(step.job):
            step.held_by = worker_losses.WAITS_FOR_TRIAL
            return []
        if not state.admits_next(step):
            break
        _place_suspect(state, step, task, group, usable, run_ms)
        if step.job.final is not None:
            return []
        if task.run is None:
            step.held_by = worker_losses.WAITS_FOR_EMPTY_WORKER
    if not is_cleared:
        return []
    isolated_indices = {task.index for task in isolated}
    return [task for task in tasks if task.index not in isolated_indices]


def _has_trial(job: Job) -> bool:
    """Return whether a suspect of a job runs that is not proved active."""
    return any(
        run.isolation != Isolation.NONE and not run.proved_active
        for step in job.steps
        if step.lossy_tasks
        for run in step.live_runs
    )


def _place_suspect(
    state: SchedulingPass,
    step: Step,
    task: Task,
    group: Sequence[Worker],
    usable: Sequence[Worker],
    run_ms: float,
) -> None:
    cell, losses = state.cell, task.losses
    if losses is None:
        return
    if losses.waits_since_ms is None:
        losses.waits_since_ms = state.now_ms
    kept = [worker for worker in group if _is_kept_for(cell, worker, task)]
    for worker in kept:
        crashing_tasks.release_worker(cell, worker)
    own = [worker for worker in usable if not worker.is_kept]
    empty = [worker for worker in own if not worker.runs]
    kept_empty = [worker for worker in empty if worker in kept]
    reservations = Reservations() if kept_empty else state.reservations
    stored = run_numbers.reserved_workers((task,), kept_empty or empty)
    chosen = choose_single(step, stored, reservations, state.now_ms, run_ms)
    if chosen is None:
        chosen = choose_single(step, kept_empty or empty, reservations, state.now_ms, run_ms)
    if chosen is None and _has_waited(state, step, losses):
        if crashing_tasks.must_run_alone(step, losses):
            cause = "workers crashed at its start twice, and none is without other work"
            crashing_tasks.give_up(cell, step, task, losses, cause, state.wall_ms)
            return
        chosen = _with_least_work(step, own, state.now_ms, run_ms)
    if chosen is None:
        run_numbers.release_number(cell, step, task)
        _keep_worker(state, step, task, kept, group)
        return
    number = run_numbers.next_number(cell, step, (task,), (chosen,), state.now_ms)
    if number is None:
        state.use_admission(step)
        crashing_tasks.keep_worker(cell, chosen, step, task, state.now_ms)
        return
    began_alone = not chosen.runs
    start_task(state, step, task, chosen, number, run_ms)
    losses.waits_since_ms = None
    if task.run is not None:
        task.run.began_alone = began_alone
        crashing_tasks.isolate(cell, chosen, task.run, state.now_ms)
        _log_isolated(state, task.run, losses, began_alone)


def _log_isolated(state: SchedulingPass, run: Run, losses: TaskLosses, alone: bool) -> None:
    state.cell.log_decision(
        "task_isolated",
        "runs of it were lost with their workers",
        job=run.step.job.job_id,
        task=run.task,
        worker=run.worker_id,
        run=run.number,
        isolation=run.isolation.value,
        alone=alone,
        losses=len(losses.by_run),
        proved=losses.proved,
    )


def _is_kept_for(cell: Cell, worker: Worker, task: Task) -> bool:
    kept = cell.kept_workers.get(worker.worker_id)
    return kept is not None and kept.task is task and not _has_isolated_run(worker)


def _has_waited(state: SchedulingPass, step: Step, losses: TaskLosses) -> bool:
    waited_ms = state.now_ms - (losses.waits_since_ms or state.now_ms)
    if waited_ms < MAX_IDLE_WAIT_MS:
        return False
    if step.spec.lasting or waited_ms >= MAX_WAIT_MS:
        return True
    used = utilization_by_service(state.cell)
    return used.get(state.cell.policy_of(step.job).service, 0.0) < LOW_UTILIZATION


def _with_least_work(
    step: Step, workers: Sequence[Worker], now_ms: float, run_ms: float
) -> Worker | None:
    """Return the worker with room for a task where a crash would cost the least work."""
    for worker in sorted(workers, key=lambda worker: _work_at_risk(worker, now_ms)):
        if choose_single(step, (worker,), Reservations(), now_ms, run_ms) is not None:
            return worker
    return None


def _work_at_risk(worker: Worker, now_ms: float) -> float:
    """Return the work done by the runs on a worker, in millicores times milliseconds."""
    return sum(run.charged.cpu_millis * (now_ms - run.ordered_ms) for run in worker.runs.values())


def _keep_worker(
    state: SchedulingPass,
    step: Step,
    task: Task,
    kept: Sequence[Worker],
    group: Sequence[Worker],
) -> None:
    """Keep the worker for a task that is expected to be without runs first, or the former one."""
    cell, now_ms = state.cell, state.now_ms
    for worker in kept[:1]:
        crashing_tasks.keep_worker(cell, worker, step, task, now_ms)
        return
    if sum(worker.is_kept for worker in group) >= max(1.0, MAX_KEPT_SHARE * len(group)):
        return
    allowed = step.recorded
    if cell.policy_of(step.job).advice is not None:
        allowed = allowed & step.advice.good
    choices = [
        (_empty_at_ms(worker, now_ms), worker.worker_id)
        for worker in group
        if worker.worker_id in allowed
        and worker.accepts_starts(now_ms)
        and step.charged.fits_in(worker.info.capacity)
    ]
    empty_at_ms, worker_id = min(choices, default=(math.inf, ""))
    if not math.isfinite(empty_at_ms):
        return
    crashing_tasks.keep_worker(cell, cell.workers[worker_id], step, task, now_ms)


def _empty_at_ms(worker: Worker, now_ms: float) -> float:
    """Return when all runs on a worker are expected to have ended."""
    if any(run.step.spec.lasting for run in worker.runs.values()):
        return math.inf
    return max((run.expected_end_ms for run in worker.runs.values()), default=now_ms)


def workers_for_gang(
    state: SchedulingPass, step: Step, ready: Sequence[Worker]
) -> Sequence[Worker]:
    """Return the workers on which a gang may start: those without runs, for a bounded time.

    The gang may be given up, and has none then.
    """
    for index in step.lossy_tasks:
        if crashing_tasks.give_up_if_hopeless(state.cell, step, step.tasks[index], state.wall_ms):
            return []
    if crashing_tasks.isolation_of_gang(step) == Isolation.NONE:
        return ready
    lossy = [step.tasks[index].losses for index in step.lossy_tasks]
    for losses in lossy:
        if losses is not None and losses.waits_since_ms is None:
            losses.waits_since_ms = state.now_ms
    if any(losses is not None and _has_waited(state, step, losses) for losses in lossy):
        return ready
    step.held_by = worker_losses.WAITS_FOR_EMPTY_WORKER
    return [worker for worker in ready if not worker.runs]


def isolate_gang(state: SchedulingPass, step: Step) -> None:
    """Place no other work beside a gang that was just started, if a member is a suspect."""
    for run in step.live_runs:
        worker = state.cell.workers[run.worker_id]
        run.began_alone = all(other.step is step for other in worker.runs.values())
        crashing_tasks.isolate(state.cell, worker, run, state.now_ms)
    for index in step.lossy_tasks:
        task = step.tasks[index]
        if task.losses is None or task.run is None:
            continue
        if task.run.isolation != Isolation.NONE:
            task.losses.waits_since_ms = None
            _log_isolated(state, task.run, task.losses, task.run.began_alone)

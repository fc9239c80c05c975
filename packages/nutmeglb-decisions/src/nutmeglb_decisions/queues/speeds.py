"""Speeds of workers, learned from the progress that their reports show.

Load pattern: workers whose speeds differ by nearly three times and that turn six times slower for
some seconds, under jobs whose declared run times are off by up to 0.9 of the true ones. The tasks
of one step take about the same time, so a task is compared with those of its step on other workers.
A change of speed shows in all tasks of the worker at once, a slow or hung task only in itself.
"""

import math
from collections.abc import Sequence
from statistics import median
from typing import Any

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.estimates import DEFAULT_RUN_MS
from nutmeglb_decisions.queues.run_progress import FULL_POINTS, MIN_POINTS, RunProgress
from nutmeglb_decisions.queues.state import Run, RunState, Step
from nutmeglb_decisions.queues.worker_speed import WorkerSpeed
from nutmeglb_decisions.queues.worker_state import Worker

# Variance of the logarithm of the run times of a step's tasks.
TASK_VARIANCE = 0.03
# The same for a gang, whose members do equal work. What remains is the rounding of progress.
MEMBER_VARIANCE = 0.005
# The workers of a step are compared once the duration of all its running tasks is known, at the
# latest after this time.
COMPARE_AFTER_MS = 400.0
# A duration counts once this many points of a task are done.
COUNTED_POINTS = 10
# A task that has made little progress counts as well, once it has run for this share of its
# expected run time.
MIN_COUNTED_POINTS = 3
COUNTED_SHARE = 0.25
# All tasks of a worker have to show less than this share of their former progress, or more than its
# inverse, in windows of this many points together.
CHANGED_SHARE = 0.5
CHANGE_POINTS = 10.0
# A single task does not show whether the worker or the task is slower, so it has to show more.
SINGLE_CHANGE_POINTS = 25.0
# The next report of a worker of which little is known is requested after this time, instead of
# after the longest wait for an end.
UNCERTAIN_VARIANCE = 0.03
UNCERTAIN_REPORT_MS = 400.0
# The same for a worker with a run that has passed its expected end by this share of its duration.
OVERDUE_SHARE = 0.2
OVERDUE_REPORT_MS = 400.0
# The end of a gang is expected from its members' progress, once so many of them have shown theirs.
KNOWN_MEMBERS_SHARE = 0.5
FIELD_DIGITS = 2


def observe_progress(cell: Cell, worker: Worker, run: Run, points: int, now_ms: float) -> None:
    """Apply the progress of a run in a report."""
    if run.step.spec.lasting or run.step.spec.fills or run.state == RunState.STOPPING:
        return
    progress = run.progress
    if points >= FULL_POINTS:
        # A member of a gang that waits for the others, or a worker that reports no progress.
        run.progress = None
        return
    if points > 0:
        cell.speeds.progress_is_visible = True
    if progress is None:
        start_ms = _known_start_ms(run)
        progress = (
            RunProgress.starting(now_ms, points)
            if start_ms is None
            else RunProgress.starting(start_ms)
        )
        run.progress = progress
    elif points < progress.last_points or (
        _known_start_ms(run) is None and points == progress.start_points
    ):
        run.progress = RunProgress.starting(now_ms, points)
        return
    progress.observe(now_ms, points)
    new_points = points - progress.start_points
    if new_points >= COUNTED_POINTS or (
        new_points >= MIN_COUNTED_POINTS
        and not progress.has_counted
        and now_ms - progress.start_ms > COUNTED_SHARE * _average_ms(cell, run.step)
    ):
        _count_duration(cell, worker, run, progress, now_ms)


def _known_start_ms(run: Run) -> float | None:
    """Return when the work of a run began; ``None`` if it shows only in its progress.

    A resumed task restores its checkpoint first, and the members of a gang wait for the last one.
    """
    return None if run.resumed or run.step.spec.gang else run.confirmed_ms


def _average_ms(cell: Cell, step: Step) -> float:
    return cell.estimates.run_ms(step.job.queue_key, step.spec.estimate_ms)


def observe_end(cell: Cell, worker: Worker, run: Run, now_ms: float) -> None:
    """Apply the completion of a run. The end of a gang only shows the slowest of its members."""
    if not cell.speeds.progress_is_visible or run.step.spec.gang or run.state == RunState.STOPPING:
        return
    progress = run.progress
    if progress is None:
        start_ms = _known_start_ms(run)
        if start_ms is None:
            return
        progress = RunProgress.starting(start_ms)
    progress.observe(now_ms, FULL_POINTS)
    if FULL_POINTS - progress.start_points >= COUNTED_POINTS:
        _count_duration(cell, worker, run, progress, now_ms)


def after_report(cell: Cell, worker: Worker, now_ms: float) -> None:
    """Compare the progress of a worker's tasks with their former one, after a report."""
    if not cell.speeds.progress_is_visible:
        return
    compared, cell.speeds.steps_to_compare = cell.speeds.steps_to_compare, []
    for step in compared:
        learn_from_step(cell, step, now_ms)
    running = [
        (run, run.progress)
        for run in worker.runs.values()
        if run.progress is not None and run.progress.last_ms == now_ms
    ]
    windows = []
    for _, progress in running:
        if not progress.points_per_ms:
            if progress.last_points - progress.mark_points >= MIN_POINTS:
                progress.close_window()
        elif progress.window_evidence >= MIN_POINTS:
            windows.append(progress)
    if windows:
        speed = cell.speeds.of(worker)
        _apply_change(cell, worker, speed, _changed_share(windows), windows, now_ms)
        for progress in windows:
            progress.close_window()
    _update_expected_ends(running)
    update_slowness(cell, worker)


def _changed_share(windows: Sequence[RunProgress]) -> float:
    """Return the progress of a worker's tasks as a share of the former one; 1 if unchanged.

    Tasks without any progress may hang, so they count only if no other shows more.
    """
    points = sum(progress.window_evidence for progress in windows)
    moving = [p.window_ratio for p in windows if p.last_points > p.mark_points]
    shares = moving or [progress.window_ratio for progress in windows]
    is_single = len(windows) == 1
    if points < (SINGLE_CHANGE_POINTS if is_single else CHANGE_POINTS) or (
        is_single and not moving
    ):
        return 1.0
    if max(shares) < CHANGED_SHARE or min(shares) > 1 / CHANGED_SHARE:
        return median(shares)
    return 1.0


def _apply_change(
    cell: Cell,
    worker: Worker,
    speed: WorkerSpeed,
    share: float,
    windows: Sequence[RunProgress],
    now_ms: float,
) -> None:
    if share == 1.0:
        speed.confirm(now_ms)
        return
    before = worker.slowness
    speed.change(-math.log(share), now_ms)
    for run in worker.runs.values():
        if run.progress is not None:
            _restart(run.progress, share, run.progress in windows, now_ms)
    update_slowness(cell, worker)
    points = round(sum(progress.window_evidence for progress in windows))
    share = round(share, FIELD_DIGITS)
    _log_change(
        cell, worker, "worker_speed_changed", before, share=share, tasks=len(windows), points=points
    )


def _restart(progress: RunProgress, share: float, has_window: bool, now_ms: float) -> None:
    """Compute the duration of a task anew after a change of its worker's speed."""
    progress.start_ms, progress.start_points = now_ms, progress.last_points
    if not has_window:
        progress.points_per_ms *= share
        progress.mark_ms, progress.mark_points = now_ms, progress.last_points


def _count_duration(
    cell: Cell, worker: Worker, run: Run, progress: RunProgress, now_ms: float
) -> None:
    """Record how long a task takes, once per run."""
    duration_ms = progress.duration_ms
    rack = run.step.spec.preferred_rack
    if progress.has_counted or not duration_ms or (rack and worker.info.rack != rack):
        return
    progress.has_counted = True
    points = progress.last_points - progress.start_points
    run.step.pace.add(worker.worker_id, duration_ms, points, now_ms)
    if run.step not in cell.speeds.steps_to_compare:
        cell.speeds.steps_to_compare.append(run.step)


def learn_from_step(cell: Cell, step: Step, now_ms: float) -> None:
    """Learn the speeds of workers from the tasks of a step, once they can be compared.

    Each worker is compared with the other ones of the step, and with what is known of its queue.
    """
    pace = step.pace
    if pace.first_ms is None or (
        now_ms < pace.first_ms + COMPARE_AFTER_MS and _has_uncounted(step)
    ):
        return
    pace.first_ms = None
    durations = cell.estimates.durations(step.job.queue_key)
    declared_ms = step.spec.estimate_ms or DEFAULT_RUN_MS
    prior_log, prior_weight = durations.log_ms(declared_ms), 1 / durations.variance
    logs: dict[str, tuple[float, float]] = {}
    total_weight, total = prior_weight, prior_weight * prior_log
    task_variance = MEMBER_VARIANCE if step.spec.gang else TASK_VARIANCE
    is_first = not any(record.is_used for record in pace.records.values())
    for worker_id, record in pace.records.items():
        worker = cell.workers.get(worker_id)
        if worker is None:
            continue
        speed = cell.speeds.of(worker)
        weight = 1 / (speed.variance + (task_variance + record.rounding_variance) / record.count)
        logs[worker_id] = (weight, record.log_mean - speed.log_slowness)
        total_weight += weight
        total += weight * logs[worker_id][1]
    for worker_id, (weight, log_ms) in logs.items():
        record = pace.records[worker_id]
        if record.is_used:
            continue
        record.is_used = True
        others_weight = total_weight - weight
        others_log = (total - weight * log_ms) / others_weight
        variance = 1 / others_weight + (task_variance + record.rounding_variance) / record.count
        log_ratio = record.log_mean - others_log
        _learn(cell, cell.workers[worker_id], log_ratio, variance, record.count, now_ms)
    if is_first and logs:
        observed = (total - prior_weight * prior_log) / (total_weight - prior_weight)
        durations.observe(declared_ms, observed)


def _has_uncounted(step: Step) -> bool:
    """Return whether a task of a step runs whose duration is not known yet."""
    return any(run.progress is None or not run.progress.has_counted for run in step.live_runs)


def _learn(
    cell: Cell, worker: Worker, log_ratio: float, variance: float, tasks: int, now_ms: float
) -> None:
    speed = cell.speeds.of(worker)
    before, was_slow, was_evident = worker.slowness, bool(speed.temporary_log), speed.is_evident
    speed.learn(log_ratio, variance, tasks, now_ms)
    update_slowness(cell, worker)
    if bool(speed.temporary_log) != was_slow:
        _log_change(cell, worker, "worker_speed_changed", before, tasks=tasks)
    elif speed.is_evident != was_evident:
        kind = "worker_speed_learned" if speed.is_evident else "worker_speed_uncertain"
        deviation = round(math.sqrt(speed.variance), FIELD_DIGITS)
        _log_change(cell, worker, kind, before, deviation=deviation, steps=speed.observations)


def _log_change(
    cell: Cell, worker: Worker, kind: str, former_slowness: float, **evidence: Any
) -> None:
    """Log a learned speed with the evidence for it."""
    cell.log_decision(
        kind,
        "run times and progress of its tasks",
        worker=worker.worker_id,
        former_slowness=round(former_slowness, FIELD_DIGITS),
        slowness=round(worker.slowness, FIELD_DIGITS),
        **evidence,
    )


def _update_expected_ends(running: Sequence[tuple[Run, RunProgress]]) -> None:
    """Set when runs end from their progress. A gang ends with the last of its members."""
    gangs: dict[int, Step] = {}
    for run, progress in running:
        end_ms = progress.expected_end_ms
        if end_ms is None or progress.last_points - progress.start_points < COUNTED_POINTS:
            continue
        run.own_end_ms = end_ms
        if run.step.spec.gang:
            gangs[id(run.step)] = run.step
        else:
            run.expected_end_ms = end_ms
    for step in gangs.values():
        runs = step.live_runs
        known_ms = [run.own_end_ms for run in runs if run.own_end_ms is not None]
        if len(known_ms) < KNOWN_MEMBERS_SHARE * len(runs):
            continue
        for run in runs:
            run.expected_end_ms = max(known_ms)


def update_slowness(cell: Cell, worker: Worker) -> None:
    """Set the slowness of a worker to the learned one, where reports show progress."""
    if cell.speeds.progress_is_visible:
        worker.slowness = cell.speeds.of(worker).slowness


def apply_time(cell: Cell, now_ms: float) -> None:
    """Let temporary changes of speed expire on workers that show no progress."""
    for worker in cell.workers.values():
        speed = cell.speeds.known(worker)
        if speed is not None and speed.temporary_log and speed.expire(now_ms):
            worker.slowness = speed.slowness


def next_report_ms(cell: Cell, worker: Worker, now_ms: float) -> float | None:
    """Return when a report would show more of a worker's speed; ``None`` if there is no hurry."""
    if not cell.speeds.progress_is_visible or not worker.runs:
        return None
    speed = cell.speeds.of(worker)
    if speed.variance > UNCERTAIN_VARIANCE and any(map(_is_uncounted, worker.runs.values())):
        return now_ms + UNCERTAIN_REPORT_MS
    if any(_is_overdue(run, now_ms) for run in worker.runs.values()):
        return now_ms + OVERDUE_REPORT_MS
    return None


def _is_uncounted(run: Run) -> bool:
    """Return whether a run has not shown yet how long it takes."""
    if run.progress is None:
        return run.activity is None and not run.step.spec.lasting
    return not run.progress.has_counted


def _is_overdue(run: Run, now_ms: float) -> bool:
    progress = run.progress
    end_ms = progress.expected_end_ms if progress is not None else None
    return end_ms is not None and now_ms > end_ms + OVERDUE_SHARE * (end_ms - run.ordered_ms)


def begin_life(cell: Cell, worker: Worker) -> None:
    """Start a new incarnation of a worker from what its machine showed before."""
    speed = cell.speeds.known(worker)
    if speed is not None:
        speed.begin_life()
        worker.slowness = speed.slowness

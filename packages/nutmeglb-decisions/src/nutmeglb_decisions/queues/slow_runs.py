"""Moves tasks away from workers that have turned slow.

Load pattern: workers that turn several times slower for some seconds, with tasks on them that would
end in time on another worker. A task is moved only if its job is late otherwise and in time after
the move, since a move throws away the work since the last checkpoint.
"""

from nutmeglb_decisions.queues.advice import is_usable
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.ranking import critical_path_ms, objective_ms
from nutmeglb_decisions.queues.run_progress import FULL_POINTS
from nutmeglb_decisions.queues.state import Run, RunState
from nutmeglb_decisions.queues.worker_selection import slots_on

# Time from the end of a run to the start of its task on another worker, and from there until a
# checkpoint is restored. Both are the longest in the users' requirements.
RESTART_MS = 100.0
RESTORE_MS = 250.0
# Runs are moved from workers that have turned slower by this factor at least.
MIN_FACTOR = 2.0
# A worker that has turned slow is expected to stay slow for this time at least.
REMAINING_SLOW_MS = 3_000.0


def move_slow_runs(cell: Cell, now_ms: float) -> None:
    """Stop the runs on slow workers that end in time only elsewhere."""
    for worker in list(cell.workers.values()):
        speed = cell.speeds.known(worker)
        if speed is None or not speed.temporary_log or worker.unanswered_since_ms is not None:
            continue
        factor = worker.slowness / speed.usual_slowness
        if factor < MIN_FACTOR:
            continue
        for run in list(worker.runs.values()):
            if (
                run.state == RunState.RUNNING
                and _gains_by_move(cell, run, factor, now_ms)
                and _has_room_elsewhere(cell, run)
            ):
                cell.log_decision(
                    "run_moved",
                    "its worker has turned slow",
                    task=run.task,
                    worker=worker.worker_id,
                    run=run.number,
                    percent=run.percent,
                    slowness=round(worker.slowness, 2),
                )
                for member in run.step.live_runs if run.step.spec.gang else (run,):
                    stop_run(cell, member)


def _has_room_elsewhere(cell: Cell, run: Run) -> bool:
    """Return whether workers at their usual speed have room for the tasks on the slow worker."""
    step = run.step
    missing = 1
    if step.spec.gang:
        missing = sum(member.worker_id == run.worker_id for member in step.live_runs)
    for worker_id in step.recorded:
        worker = cell.workers.get(worker_id)
        speed = cell.speeds.known(worker) if worker is not None else None
        if worker is None or worker_id == run.worker_id or (speed and speed.temporary_log):
            continue
        if worker.settled and is_usable(step, worker):
            missing -= slots_on(worker.free, step, 0)
        if missing <= 0:
            return True
    return False


def _gains_by_move(cell: Cell, run: Run, factor: float, now_ms: float) -> bool:
    """Return whether a job is in time only if a run of it is moved."""
    progress, step = run.progress, run.step
    if progress is None or not progress.points_per_ms:
        return False
    if step.spec.gang and not step.spec.checkpoints:
        return False
    left_ms = (FULL_POINTS - progress.last_points) / progress.points_per_ms
    usual_left_ms = left_ms / factor
    here_ms = min(left_ms, max(0.0, left_ms - REMAINING_SLOW_MS) / factor + REMAINING_SLOW_MS)
    elsewhere_ms = cell.stop_ends_after_ms + RESTART_MS
    if step.spec.checkpoints:
        elsewhere_ms += RESTORE_MS + usual_left_ms
    else:
        elsewhere_ms += FULL_POINTS / progress.points_per_ms / factor
    if elsewhere_ms >= here_ms:
        return False
    job = step.job
    later_ms = critical_path_ms(job, cell.estimates, step.number) - cell.estimates.run_ms(
        job.queue_key, step.spec.estimate_ms
    )
    left_to_due_ms = job.accepted_ms + objective_ms(job, cell.estimates) - now_ms - later_ms
    return elsewhere_ms <= left_to_due_ms < here_ms

"""Encodes the progress of a job for the store, and restores it for a new leader."""

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.finished_job import FinishedJob
from nutmeglb_decisions.queues.lifecycle import add_job
from nutmeglb_decisions.queues.state import Job, JobState, Step
from nutmeglb_decisions.queues.task_losses import (
    LOSS_ROW_ITEMS,
    LifeRow,
    LossRow,
    restore_losses,
)
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import QueueJob, StepProgress

# Index of the task, and number of its failed run.
FAILURE_ROW_ITEMS = 2


def encode(job: Job) -> JobProgress:
    """Return the progress of a job to store; only the final state for a finished job."""
    key = job.queue_key
    if job.final is not None:
        final, ended_ms = job.final.value, job.finished_wall_ms
        return JobProgress(key, final, ended_ms, [], [], job.record.team)
    steps = [_encode_step(step) for step in job.steps if step.occurrence not in job.completed]
    steps = [step for step in steps if step.workers or step.done or step.failures or step.losses]
    return JobProgress(key, "", 0.0, sorted(job.completed), steps, job.record.team)


def begin_commit(job: Job, progress: JobProgress) -> None:
    """Count as stored only what a record that is about to be written contains as well.

    A run number that was released and is reserved again meanwhile is in the stored record only
    until this one replaces it.
    """
    for stored in progress.steps:
        step = job.occurrences[stored.occurrence][stored.step]
        rows = _stored_rows(stored) if step.lossy_tasks else frozenset()
        for index in step.lossy_tasks:
            losses = step.tasks[index].losses
            if losses is not None:
                losses.stored &= rows


def committed(cell: Cell, job: Job, progress: JobProgress) -> None:
    """Apply the commit of a progress record of a job."""
    if progress.final:
        cell.jobs.pop(job.job_id, None)
        restore_final(cell, job.job_id, progress)
        return
    for stored in progress.steps:
        steps = job.occurrences.get(stored.occurrence)
        if steps:
            step = steps[stored.step]
            # Workers may have been forgotten since the record was encoded.
            step.recorded.update(step.selected.intersection(stored.workers))
            if step.lossy_tasks:
                _apply_stored_losses(step, stored)
    for number in progress.completed:
        steps = job.occurrences.get(number, [])
        if not any(step.live_runs for step in steps):
            job.occurrences.pop(number, None)


def restore(
    cell: Cell, record: QueueJob, progress: JobProgress | None, now_ms: float, wall_ms: float
) -> None:
    """Add a job found in the store, with the progress that a former leader stored.

    Each step waits for every worker to which a former leader may have sent one of its tasks.
    """
    # The wall clock may have jumped. An age that is too large only lowers the rank.
    age_ms = max(0.0, wall_ms - record.accepted_ms)
    if not add_job(cell, record, now_ms, now_ms - age_ms) or progress is None:
        return
    job = cell.jobs[record.job_id]
    job.completed = set(progress.completed)
    for stored in progress.steps:
        steps = job.occurrences.get(stored.occurrence) or job.add_occurrence(stored.occurrence)
        if 0 <= stored.step < len(steps):
            _restore_step(steps[stored.step], stored)
    # Recorded workers do not prove a start, because they are stored before one. Live and ended runs
    # prove it once their workers answer.
    job.has_started = bool(job.completed) or any(s.done or s.failures for s in progress.steps)


def set_job_aside(cell: Cell, record: QueueJob, error: Exception, now_ms: float) -> None:
    """Keep a job that could not be restored from its stored progress, without scheduling it.

    It remains accepted, and may be cancelled. Another leader, or a release that knows the record,
    restores it.
    """
    add_job(cell, record, now_ms)
    cell.active.pop(record.job_id, None)
    cell.dirty.pop(record.job_id, None)
    cell.log_decision("job_set_aside", repr(error), job=record.job_id)


def restore_final(cell: Cell, job_id: str, progress: JobProgress) -> None:
    """Keep the final state of a finished job for status queries."""
    state = JobState(progress.final)
    cell.finished[job_id] = FinishedJob(progress.queue, state, progress.finished_ms, progress.team)


def forget_finished(cell: Cell, before_wall_ms: float, limit: int) -> list[str]:
    """Drop at most ``limit`` jobs that ended before a time, and return their ids."""
    # Jobs are in the order of their ends, except for those that former leaders finished.
    old: list[str] = []
    for job_id, finished in cell.finished.items():
        if finished.finished_ms >= before_wall_ms or len(old) == limit:
            break
        old.append(job_id)
    for job_id in old:
        del cell.finished[job_id]
    return old


def _encode_step(step: Step) -> StepProgress:
    if step.spec.gang:
        failures = [[0, number] for number in sorted(step.failed_runs)]
    else:
        failures = [[t.index, n] for t in step.tasks for n in sorted(t.failed_runs)]
    done = [task.index for task in step.tasks if task.done]
    workers = sorted(step.selected | step.recorded)
    if step.spec.lasting:
        failures = []
    lossy = [(t.index, t.losses) for t in step.tasks if t.losses is not None and not t.done]
    losses = [list(row) for index, each in lossy for row in each.rows(index)]
    reserved = [row for index, each in lossy for row in each.life_rows(index)]
    return StepProgress(step.occurrence, step.number, workers, done, failures, losses, reserved)


def _failure_rows(stored: StepProgress) -> list[tuple[int, int]]:
    """Return the stored rows of failures, without malformed ones."""
    return [(row[0], row[1]) for row in stored.failures if len(row) == FAILURE_ROW_ITEMS]


def _loss_rows(stored: StepProgress) -> list[LossRow]:
    """Return the stored rows of losses, without malformed ones."""
    return [(row[0], row[1], row[2]) for row in stored.losses if len(row) == LOSS_ROW_ITEMS]


def _stored_rows(stored: StepProgress) -> frozenset[LossRow | LifeRow]:
    return frozenset([*_loss_rows(stored), *stored.reserved])


def _apply_stored_losses(step: Step, stored: StepProgress) -> None:
    rows = _stored_rows(stored)
    for index in step.lossy_tasks:
        losses = step.tasks[index].losses
        if losses is not None:
            losses.stored = rows


def _restore_step(step: Step, stored: StepProgress) -> None:
    step.recorded = set(stored.workers)
    step.selected = set(stored.workers)
    step.unsettled = set(stored.workers)
    step.advice.good = set(stored.workers)
    for index in stored.done:
        if 0 <= index < len(step.tasks) and not step.tasks[index].done:
            step.tasks[index].done = True
            step.remaining -= 1
    for index, number in _failure_rows(stored):
        if 0 <= index < len(step.tasks):
            failed = step.failed_runs if step.spec.gang else step.tasks[index].failed_runs
            failed.add(number)
    for index, losses in restore_losses(_loss_rows(stored), stored.reserved).items():
        if 0 <= index < len(step.tasks) and not step.tasks[index].done:
            step.tasks[index].losses = losses
            step.lossy_tasks.add(index)
            if losses.unseen:
                step.unseen_tasks.add(index)

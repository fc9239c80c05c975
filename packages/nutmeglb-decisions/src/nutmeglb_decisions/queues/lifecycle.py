"""Ends of runs, and the resulting state changes of tasks, steps and jobs."""

from nutmeglb_decisions.queues import late_orders
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StopTask
from nutmeglb_decisions.queues.job_memory import occurrence_bytes, record_bytes
from nutmeglb_decisions.queues.state import Job, JobState, Run, RunState, Step, Task
from nutmeglb_formats.models.queues import QueueJob

DONE = "done"
FAILED = "failed"
# Delay before a task is started again after a failure or a refused start, to avoid a tight loop.
RETRY_DELAY_MS = 100.0
# Unfinished tasks of one job beyond which no further occurrences of it are created, except that
# this many occurrences may always overlap.
MAX_UNFINISHED_TASKS = 10_000
MIN_UNFINISHED_OCCURRENCES = 10
# Largest number of occurrences of a job that one check creates, since it blocks the process.
MAX_OCCURRENCES_PER_CHECK = 1_000
# Maximum delay between restarts of a lasting task that fails repeatedly.
MAX_LASTING_RETRY_DELAY_MS = 2_000.0


def add_job(cell: Cell, record: QueueJob, now_ms: float, accepted_ms: float | None = None) -> bool:
    """Add an accepted job. Return false if it is already known.

    Its tasks are created now, or by ``create_due_occurrences`` when there is memory for them.
    """
    if record.job_id in cell.jobs or record.job_id in cell.finished:
        return False
    job = Job(record, now_ms if accepted_ms is None else accepted_ms)
    cell.jobs[record.job_id] = job
    cell.active[record.job_id] = job
    cell.job_memory.add(record_bytes(record))
    if not record.repeats and not _create_occurrence(cell, job):
        memory = cell.job_memory
        cell.log_decision(
            "job_deferred",
            "the tasks of the job exceed the free memory for jobs",
            job=record.job_id,
            needed_bytes=occurrence_bytes(record),
            used_bytes=memory.used_bytes,
            limit_bytes=memory.limit_bytes,
        )
    return True


def _create_occurrence(cell: Cell, job: Job) -> bool:
    """Create the next occurrence of a job, unless there is no memory for its tasks."""
    number, added_bytes = job.next_occurrence, occurrence_bytes(job.record)
    if number in job.completed or number in job.occurrences:
        job.next_occurrence += 1
        return True
    if not cell.job_memory.fits(added_bytes):
        return False
    cell.job_memory.add(added_bytes)
    job.next_occurrence += 1
    job.add_occurrence(number)
    return True


def create_due_occurrences(cell: Cell, wall_ms: float) -> None:
    """Create the occurrences of repeated jobs that are due, and those of jobs that await memory.

    Load pattern: a job whose occurrences are all due at once, by mistake or after a long outage. A
    job has a limited number of unfinished tasks, and the others follow when occurrences complete.
    """
    for job in cell.active.values():
        record = job.record
        if job.next_occurrence >= job.total_occurrences:
            continue
        unfinished = len(job.occurrences.keys() - job.completed)
        created = 0
        while (
            job.next_occurrence < job.total_occurrences
            and unfinished < _max_unfinished_occurrences(record)
            and created < MAX_OCCURRENCES_PER_CHECK
        ):
            number = job.next_occurrence
            if record.repeats and wall_ms < record.first_ms + number * record.interval_ms:
                break
            is_new = number not in job.completed and number not in job.occurrences
            if not _create_occurrence(cell, job):
                break
            unfinished += is_new
            created += is_new


def _max_unfinished_occurrences(record: QueueJob) -> int:
    tasks = sum(step.count for step in record.steps)
    return max(MIN_UNFINISHED_OCCURRENCES, MAX_UNFINISHED_TASKS // max(1, tasks))


def cancel_job(cell: Cell, job_id: str, wall_ms: float) -> bool:
    """Cancel a job whose cancellation is stored. Return whether it was unfinished."""
    job = cell.jobs.get(job_id)
    if job is None or job.final is not None:
        return False
    cell.log_decision("job_cancelled", "requested by the caller", job=job_id)
    finish_job(cell, job, JobState.CANCELLED, wall_ms)
    return True


def finish_job(cell: Cell, job: Job, final: JobState, wall_ms: float) -> None:
    """Set the final state of a job and stop its live runs."""
    if job.final is not None:
        return
    job.final = final
    job.finished_wall_ms = wall_ms
    cell.active.pop(job.job_id, None)
    cell.mark_dirty(job)
    for step in job.steps:
        if step.unsettled:
            cell.ended_unsettled.append(step)
        for run in step.live_runs:
            stop_run(cell, run)


def stop_run(cell: Cell, run: Run) -> None:
    """Order a run to stop. Its capacity stays charged until its end is known."""
    if run.state != RunState.STOPPING:
        repeat_stop(cell, run)


def repeat_stop(cell: Cell, run: Run) -> None:
    """Order a stop again, after one that had no effect or reached only a former incarnation."""
    run.state = RunState.STOPPING
    run.confirmed_ms = None
    cell.effects.append(StopTask(run.worker_id, run.task, run.number))


def end_run(
    cell: Cell, run: Run, outcome: str, checkpoint: str, now_ms: float, wall_ms: float
) -> None:
    """Release the capacity of a run that has ended, and apply its outcome."""
    cell.release(run)
    late_orders.record(cell, run, now_ms)
    apply_end(cell, run.step, run.index, run.number, outcome, checkpoint, now_ms, wall_ms)


def apply_end(
    cell: Cell,
    step: Step,
    index: int,
    number: int,
    outcome: str,
    checkpoint: str,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Apply the outcome of a run, including one that this leader did not know of."""
    job, task = step.job, step.tasks[index]
    task.last_run = max(task.last_run, number)
    if job.final is not None or task.done:
        return
    _save_checkpoint(step, task, checkpoint)
    if task.losses is not None and 0 < task.losses.reserved_run <= number:
        task.losses.reserved_run, task.losses.reserved_lives = 0, ()
        cell.mark_dirty(job)
    if step.spec.lasting:
        failures = len(task.failed_runs) + 1 if outcome == FAILED else 0
        task.failed_runs = set(range(failures))
        task.not_before_ms = now_ms + min(
            MAX_LASTING_RETRY_DELAY_MS, RETRY_DELAY_MS * (1 + failures)
        )
        return
    if outcome == DONE:
        _complete_task(cell, step, task, number, wall_ms)
    elif outcome == FAILED:
        _record_failure(cell, step, task, number, now_ms, wall_ms)
    else:
        task.not_before_ms = now_ms
    if step.spec.gang and not step.done:
        for other in step.live_runs:
            if other.number <= number:
                stop_run(cell, other)


def _save_checkpoint(step: Step, task: Task, checkpoint: str) -> None:
    if not checkpoint:
        return
    task.checkpoint = checkpoint
    if step.spec.gang:
        latest_checkpoint = max(checkpoint, *(other.checkpoint for other in step.tasks))
        for other in step.tasks:
            other.checkpoint = latest_checkpoint


def _complete_task(cell: Cell, step: Step, task: Task, number: int, wall_ms: float) -> None:
    """Complete a task, or all tasks of its gang: one completed member completes the gang.

    Other runs, which were started when the one with ``number`` seemed to have ended, are stopped.
    """
    completed = step.tasks if step.spec.gang else [task]
    for member in completed:
        if member.run is not None and member.run.number != number:
            stop_run(cell, member.run)
        if not member.done:
            member.done = True
            step.remaining -= 1
    cell.mark_dirty(step.job)
    if step.done:
        _complete_step(cell, step, wall_ms)


def _complete_step(cell: Cell, step: Step, wall_ms: float) -> None:
    job = step.job
    cell.log_decision("step_completed", "all tasks completed", job=job.job_id, step=step.name)
    if not all(other.done for other in job.occurrences[step.occurrence]):
        return
    job.completed.add(step.occurrence)
    if len(job.completed) == job.total_occurrences:
        cell.log_decision("job_completed", "all steps completed", job=job.job_id)
        finish_job(cell, job, JobState.COMPLETED, wall_ms)


def _record_failure(
    cell: Cell, step: Step, task: Task, number: int, now_ms: float, wall_ms: float
) -> None:
    failed_runs = step.failed_runs if step.spec.gang else task.failed_runs
    failed_runs.add(number)
    task.not_before_ms = now_ms + RETRY_DELAY_MS
    step.job.has_started = True
    cell.mark_dirty(step.job)
    attempts = cell.policy_of(step.job).attempts
    if len(failed_runs) >= attempts:
        cell.log_decision(
            "job_failed",
            "a task failed on all its attempts",
            job=step.job.job_id,
            task=step.task_name(task.index),
            attempts=attempts,
        )
        finish_job(cell, step.job, JobState.FAILED, wall_ms)

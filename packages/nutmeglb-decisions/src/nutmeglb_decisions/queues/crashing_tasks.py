"""Decides which tasks run without other work beside them, and which are given up.

A loss proves nothing about a task: it may have been beside one that crashed the worker, or the
worker may have crashed by itself. A second run without other work beside it tells the two apart.
"""

from nutmeglb_decisions.queues.cell import Cell, KeptWorker
from nutmeglb_decisions.queues.lifecycle import finish_job
from nutmeglb_decisions.queues.state import Isolation, JobState, Run, Step, Task
from nutmeglb_decisions.queues.task_losses import TaskLosses
from nutmeglb_decisions.queues.worker_state import Worker

# Losses after their start from which a task always runs without other work beside it, so that no
# further one costs others their work: with a start just before the crash on the worker, which may
# have caused it instead, and without one.
EXPLAINED_BEFORE_ISOLATION = 3
UNEXPLAINED_BEFORE_ISOLATION = 2
# Proved crashes after which a task is given up if its last run was alone and not proved active.
CRASHES_ALONE = 2
# The same if it was not alone.
MAX_CRASHES_AT_START = 3
# Losses of any evidence after which a task is given up if its last run was not proved active, since
# a worker that does not return proves no crash. One more may not have been seen under a former
# leader. Only for tasks with a limited number of attempts.
MAX_LOSSES_AT_START = 4
# The same for a task that crashes its workers late. Callers allow two starts after three crashes.
MAX_LOSSES = 5


def isolation_of(step: Step, task: Task) -> Isolation:
    """Return how the next run of a task is isolated. Losses that no leader has seen do not count.

    Healthy tasks of the same step prove nothing about a suspect: one task of many may crash its
    workers, because of its data.
    """
    if task.losses is None:
        return Isolation.NONE
    losses = task.losses.by_run.values()
    later = [loss for loss in losses if not loss.is_assumed and not loss.is_suspect]
    unexplained = sum(not loss.is_beside_suspect for loss in later)
    if unexplained >= UNEXPLAINED_BEFORE_ISOLATION or len(later) >= EXPLAINED_BEFORE_ISOLATION:
        return Isolation.WHOLE_RUN
    is_suspect = any(loss.is_suspect for loss in losses)
    return Isolation.UNTIL_PROVED if is_suspect else Isolation.NONE


def isolation_of_gang(step: Step) -> Isolation:
    """Return how the next run of a gang is isolated: as the member with the most evidence."""
    found = {isolation_of(step, step.tasks[index]) for index in step.lossy_tasks}
    for isolation in (Isolation.WHOLE_RUN, Isolation.UNTIL_PROVED):
        if isolation in found:
            return isolation
    return Isolation.NONE


def isolate(cell: Cell, worker: Worker, run: Run, now_ms: float) -> None:
    """Place no other work beside a run as long as the losses of its task require."""
    step, task = run.step, run.step.tasks[run.index]
    run.isolation = isolation_of_gang(step) if step.spec.gang else isolation_of(step, task)
    if run.isolation != Isolation.NONE:
        keep_worker(cell, worker, step, task, now_ms)


def keep_worker(cell: Cell, worker: Worker, step: Step, task: Task, now_ms: float) -> None:
    """Place nothing else on a worker as long as a task runs there, or is about to."""
    worker.set_kept(True)
    cell.kept_workers[worker.worker_id] = KeptWorker(step, task, now_ms)


def release_worker(cell: Cell, worker: Worker) -> None:
    """Make a kept worker available again."""
    cell.kept_workers.pop(worker.worker_id, None)
    worker.set_kept(False)


def is_cleared(step: Step) -> bool:
    """Return whether a task of a step has been proved active or has completed."""
    return step.has_proved_task or step.remaining < step.spec.count


def give_up_if_hopeless(cell: Cell, step: Step, task: Task, wall_ms: float) -> bool:
    """End a job as failed if a task of it crashes the workers that start it."""
    losses = task.losses
    if losses is None or not losses.by_run or task.done or step.job.final is not None:
        return False
    is_at_work = task.run is not None and task.run.proved_active
    cause = "" if is_at_work else _cause(step, losses)
    if cause:
        give_up(cell, step, task, losses, cause, wall_ms)
    return bool(cause)


def give_up(
    cell: Cell, step: Step, task: Task, losses: TaskLosses, cause: str, wall_ms: float
) -> None:
    """End a job as failed because of a task, and log why."""
    cell.log_decision(
        "task_given_up",
        cause,
        job=step.job.job_id,
        task=step.task_name(task.index),
        losses=len(losses.by_run),
        proved=losses.proved,
        runs=" ".join(_describe(number, losses) for number in sorted(losses.by_run)),
    )
    finish_job(cell, step.job, JobState.FAILED, wall_ms)


def must_run_alone(step: Step, losses: TaskLosses) -> bool:
    """Return whether a task starts only without other work beside it, or not at all.

    Two workers have crashed at its start. A third crash must not cost others their work. A lasting
    task is not given up for that.
    """
    return not step.spec.lasting and losses.crashes_at_start >= CRASHES_ALONE


def _cause(step: Step, losses: TaskLosses) -> str:
    """Return why a task is given up, or an empty text.

    A lasting task has to be started again however it ends. Only crashes count against it: callers
    allow to give up a task under which workers have crashed.
    """
    last, count, proved = losses.last, len(losses.by_run), losses.proved
    if step.spec.lasting:
        count, proved = losses.restarts, losses.crashes_at_start
    if count >= MAX_LOSSES:
        return "its runs were lost with their workers the maximum number of times"
    if not last.is_suspect:
        return ""
    if proved >= CRASHES_ALONE and last.is_proved and last.was_alone:
        return "a worker crashed at its start while it ran alone"
    if proved >= MAX_CRASHES_AT_START or count >= MAX_LOSSES_AT_START:
        return "workers were lost at its start too often"
    return ""


def _describe(number: int, losses: TaskLosses) -> str:
    """Return a loss as ``RUN:EVIDENCE``, with ``suspect`` and ``alone`` if it was so."""
    loss = losses.by_run[number]
    parts = [str(number), "proved" if loss.is_proved else "presumed"]
    return ":".join(parts + ["suspect"] * loss.is_suspect + ["alone"] * loss.was_alone)

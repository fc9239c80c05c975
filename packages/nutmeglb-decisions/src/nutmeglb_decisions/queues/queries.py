"""Read-only queries about jobs."""

from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import JobState
from nutmeglb_formats.models.queues import QueueKey


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job, its queue, and the name of its team.

    Attributes
    ----------
    queue
        Key of the queue; its name if the state was written by an earlier release.
    """

    state: JobState
    queue: str
    team: str = ""


def status_of(cell: Cell, job_id: str) -> JobStatus | None:
    """Return the stored state of a job, or ``None`` for an unknown job."""
    finished = cell.finished.get(job_id)
    if finished is not None:
        return JobStatus(finished.state, finished.queue, finished.team)
    job = cell.jobs.get(job_id)
    if job is None:
        return None
    state = JobState.RUNNING if job.has_started else JobState.QUEUED
    if job.final == JobState.CANCELLED:
        # A cancellation is stored before the scheduler learns of it.
        state = JobState.CANCELLED
    return JobStatus(state, job.queue_key, job.record.team)


def pending(cell: Cell, queue: QueueKey) -> int:
    """Return the number of a queue's accepted jobs for which no task has started."""
    return sum(1 for job in cell.active.values() if not job.has_started and job.queue_key == queue)

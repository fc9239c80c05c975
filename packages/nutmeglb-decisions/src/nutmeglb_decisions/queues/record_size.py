"""Bounds the stored progress of a job with many occurrences.

Load pattern: thousands of occurrences of a job are due at once. Their steps would each have workers
in the one record of the job, until it exceeds the largest value that the store takes. An occurrence
without stored workers then waits until others of its job have ended, which leaves them out of the
record. Later steps of an occurrence do not wait, since it stays in the record until its last ends.
"""

from collections.abc import Callable, Collection, Iterable

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Job, Step
from nutmeglb_formats.models.queue_records import JobProgress

GATE_NAME = "record_size"
# Part of the largest value of the store. Steps may need more workers later, and the ends and losses
# of their tasks are added.
RECORD_SHARE = 0.25
# Names and numbers in the record of one step, and the overhead of a worker's id.
STEP_BYTES = 64
WORKER_BYTES = 2


class RecordSizeGate:
    """Holds occurrences without stored workers while the record of their job is large."""

    name = GATE_NAME

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes

    def admits(self, step: Step, count: int) -> bool:
        """Return whether the occurrence has stored workers, or may have some.

        The other steps of the occurrences that are stored already are expected to need as much.
        """
        job = step.job
        if job.stored_worker_bytes * len(job.record.steps) < self._limit_bytes:
            return True
        return any(other.selected for other in job.occurrences[step.occurrence])

    def record_start(self, step: Step) -> None:
        """Do nothing: a task starts on stored workers only."""


def gate(value_bytes: float) -> Callable[[Cell, float], RecordSizeGate]:
    """Return the gate for a store that takes values of at most ``value_bytes``."""
    return lambda cell, now_ms: RecordSizeGate(value_bytes * RECORD_SHARE)


def select_workers(cell: Cell, step: Step, worker_ids: Iterable[str]) -> None:
    """Select workers to be stored for a step, before a task is sent to them."""
    added = set(worker_ids) - step.selected
    step.selected |= added
    step.job.stored_worker_bytes += _size_bytes(added)
    cell.mark_dirty(step.job)


def record_encoded(job: Job, encoded: JobProgress) -> None:
    """Note the size of the workers in the record of a job that is about to be written.

    Ends and losses of tasks are not counted: no later end of another occurrence removes them.
    """
    job.stored_worker_bytes = sum(
        _size_bytes(stored.workers) for stored in encoded.steps if stored.workers
    )


def _size_bytes(worker_ids: Collection[str]) -> int:
    return STEP_BYTES + sum(len(name) + WORKER_BYTES for name in worker_ids)

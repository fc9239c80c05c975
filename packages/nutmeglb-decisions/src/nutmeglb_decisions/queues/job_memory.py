"""Memory that accepted jobs take at the leader, and what may still be added.

Load pattern: submissions of legal size whose steps have many tasks, or many submissions with long
texts. A body of 2 KB can describe hundreds of thousands of tasks. Such a job is refused while it
would take a large part of the free memory, so that ordinary jobs fit. A job that was accepted all
the same is known, but its tasks are only created when there is memory for them.
"""

import math
from collections.abc import Mapping

from nutmeglb_decisions.queues.state import Job
from nutmeglb_formats.models.queues import QueueJob, StepSpec

BYTES_PER_MIB = 1_048_576
# Part of the memory of a process for accepted jobs.
JOB_SHARE = 0.2
# A job takes at most this part of the free memory for jobs.
LARGEST_JOB_SHARE = 0.25
# Memory of a job, a step and a task, without texts and lists.
JOB_BYTES = 1_500
STEP_BYTES = 3_500
TASK_BYTES = 400
PREDECESSOR_BYTES = 8
# Characters beyond Latin-1 take up to this many bytes, and texts rarely contain any.
WIDE_CHARACTER_BYTES = 4
# What instances accept of which the leader has not told them anything: the largest job on the
# smallest machine that has no jobs.
DEFAULT_LARGEST_JOB_BYTES = 8 * BYTES_PER_MIB
# Retry-After of a job that is too large at the moment.
RETRY_MS = 2_000.0


def job_limit_bytes(memory_mb: int) -> int:
    """Return the memory of a process for accepted jobs."""
    return int(memory_mb * BYTES_PER_MIB * JOB_SHARE)


def record_bytes(record: QueueJob) -> int:
    """Return the memory of a job without its steps' tasks."""
    return JOB_BYTES + _text_bytes(record.body) + sum(map(_spec_bytes, record.steps))


def occurrence_bytes(record: QueueJob) -> int:
    """Return the memory of the steps and tasks of one occurrence."""
    tasks = sum(step.count for step in record.steps)
    return STEP_BYTES * len(record.steps) + TASK_BYTES * tasks


def state_bytes(record: QueueJob) -> int:
    """Return the memory of a job with its first occurrence."""
    return record_bytes(record) + occurrence_bytes(record)


class JobMemory:
    """Memory that the jobs of a leader take, as last counted, and what was added since."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._sizes: dict[str, tuple[int, int]] = {}

    @property
    def used_bytes(self) -> int:
        """Return the memory that is taken."""
        return self._used_bytes

    @property
    def limit_bytes(self) -> float:
        """Return the memory for all jobs."""
        return self._limit_bytes

    @property
    def largest_job_bytes(self) -> float:
        """Return the size of the largest job that may be accepted."""
        return max(0.0, self._limit_bytes - self._used_bytes) * LARGEST_JOB_SHARE

    def fits(self, added_bytes: int) -> bool:
        """Return whether more state may be created."""
        return self._used_bytes + added_bytes <= self._limit_bytes

    def add(self, added_bytes: int) -> None:
        """Count state that was created."""
        self._used_bytes += added_bytes

    def refresh(self, jobs: Mapping[str, Job]) -> None:
        """Count the state of all jobs anew."""
        self._sizes = {
            job_id: self._sizes.get(job_id) or _sizes_of(job.record) for job_id, job in jobs.items()
        }
        self._used_bytes = sum(
            record + occurrence * len(jobs[job_id].occurrences)
            for job_id, (record, occurrence) in self._sizes.items()
        )


def _sizes_of(record: QueueJob) -> tuple[int, int]:
    return record_bytes(record), occurrence_bytes(record)


def _spec_bytes(step: StepSpec) -> int:
    texts = (step.required_label, step.preferred_rack, step.image)
    return sum(map(_text_bytes, texts)) + PREDECESSOR_BYTES * len(step.after)


def _text_bytes(text: str) -> int:
    return len(text) * (1 if text.isascii() else WIDE_CHARACTER_BYTES)

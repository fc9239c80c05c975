"""Recovery of jobs from the journal by a new leader, and snapshots of their state."""

from collections.abc import Iterable, Iterator
from typing import Any

from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.state import BITS_PER_BYTE, Attempt, Job, Phase
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import (
    AttemptEnded,
    AttemptKey,
    AttemptStarted,
    JobAccepted,
    JobCancelled,
    JobProgress,
    JobResized,
)


class JournalReplay:
    """Rebuilds jobs and open attempts from journal records, applied in order.

    Records of unknown jobs are ignored, because a later snapshot no longer contained these jobs.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._open_attempts: dict[str, dict[int, AttemptStarted]] = {}

    def apply(self, records: Iterable[Any]) -> None:
        """Apply records. Records that do not concern jobs are ignored."""
        for record in records:
            match record:
                case JobAccepted():
                    self._apply_accepted(record)
                case JobCancelled() if record.job_id in self.jobs:
                    self.jobs[record.job_id].cancelled = True
                case JobResized() if record.job_id in self.jobs:
                    self.jobs[record.job_id].tasks = record.tasks
                case AttemptStarted() if record.job_id in self.jobs:
                    self._apply_started(record)
                case AttemptEnded() if record.job_id in self.jobs:
                    self._apply_ended(record)
                case JobProgress() if record.job_id in self.jobs:
                    self._apply_progress(record)

    def _apply_accepted(self, record: JobAccepted) -> None:
        # A job is accepted again, perhaps with other contents, if the first append had no known
        # outcome. Its tasks then start from the last record.
        job = self.jobs.get(record.job_id)
        if job is not None and (job.numbers or job.done_count or job.ended):
            return
        self.jobs[record.job_id] = Job(
            record.job_id,
            record.spec,
            record.submitted_ms,
            len(self.jobs),
            ticket=record.ticket,
            service=record.service,
        )
        self._open_attempts[record.job_id] = {}

    def _apply_started(self, record: AttemptStarted) -> None:
        job = self.jobs[record.job_id]
        if record.number > job.numbers.get(record.index, 0) and not job.is_done(record.index):
            job.numbers[record.index] = record.number
            self._open_attempts[record.job_id][record.index] = record

    def _apply_ended(self, record: AttemptEnded) -> None:
        job = self.jobs[record.job_id]
        current = self._open_attempts[record.job_id].get(record.index)
        if record.completes and not job.is_done(record.index):
            job.set_done(record.index, record.number)
        if current is not None and (record.number >= current.number or record.completes):
            del self._open_attempts[record.job_id][record.index]

    def _apply_progress(self, record: JobProgress) -> None:
        job = self.jobs[record.job_id]
        job.done = bytearray(record.done) or job.done
        job.done_count = sum(byte.bit_count() for byte in job.done)
        job.numbers = dict(record.numbers)
        job.won = dict(record.won)
        job.cancelled = record.cancelled
        job.finished_ms = record.finished_ms

    def open_attempts(self, job: Job) -> list[AttemptStarted]:
        """Return the start records of a job's attempts that may still be running."""
        return list(self._open_attempts[job.job_id].values())


def recover(lifecycle: Lifecycle, records: Iterable[Any], now_ms: float) -> None:
    """Restore jobs and open attempts from the journal.

    Open attempts stay charged to their workers until the agents report them or their leases expire.
    """
    replay = JournalReplay()
    replay.apply(records)
    for job in replay.jobs.values():
        attempts = replay.open_attempts(job)
        _set_waiting_tasks(job, {attempt.index for attempt in attempts})
        if not job.is_service and job.done_count >= job.tasks and not job.finished_ms:
            job.finished_ms = lifecycle.wall_offset_ms + now_ms
        for record in attempts:
            _restore_attempt(lifecycle, job, record, now_ms)
        lifecycle.add_job(job)
        _stop_unwanted(lifecycle, job)


def _set_waiting_tasks(job: Job, live: set[int]) -> None:
    # A completed task has no number. The start records of tasks before it may have been lost.
    after_last_completed = int.from_bytes(job.done, "little").bit_length()
    attempted = [index for index in job.numbers if index < job.tasks]
    job.first_unattempted = max(after_last_completed, max(attempted, default=-1) + 1)
    job.retry_indexes.extend(
        index
        for index in range(job.first_unattempted)
        if index not in live and not job.is_done(index)
    )


def _restore_attempt(lifecycle: Lifecycle, job: Job, record: AttemptStarted, now_ms: float) -> None:
    key = AttemptKey(record.job_id, record.index, record.number)
    charged = job.spec.resources
    if record.charged:
        charged = Resources(record.charged[0], record.charged[1], charged.accelerators)
    attempt = Attempt(
        key,
        str(key),
        record.worker,
        charged,
        Phase.COMMITTED,
        now_ms,
        record.lease_ms,
        record.gang,
        record.gang > 0,
    )
    lifecycle.restore(job, attempt, now_ms)


def _stop_unwanted(lifecycle: Lifecycle, job: Job) -> None:
    members = list(job.live.values())
    is_partial_gang = any(member.gang and member.gang != len(members) for member in members)
    for attempt in members:
        if job.cancelled:
            lifecycle.stop(attempt, "job_cancelled")
        elif attempt.key.index >= job.tasks:
            lifecycle.stop(attempt, "fewer_replicas")
        elif is_partial_gang:
            lifecycle.stop(attempt, "gang_incomplete")


def snapshot(jobs: Iterable[Job], epoch: int) -> Iterator[Any]:
    """Yield the records from which ``recover`` restores the given jobs.

    Changes whose append has no outcome yet are included, because their records may precede the
    snapshot. They are harmless if the append fails: a start was not sent, a completion did happen,
    and the caller of a submission or cancellation receives no confirmation.
    """
    for job in jobs:
        yield JobAccepted(job.job_id, job.spec, job.submitted_ms, job.ticket, job.service)
        if job.tasks != job.spec.tasks:
            yield JobResized(job.job_id, job.tasks)
        numbers = tuple(
            (index, number - 1 if index in job.live else number)
            for index, number in job.numbers.items()
        )
        cancelled = job.cancelled or job.cancelling
        done = _with_completions(job.done, job.completing)
        won = {**job.won, **{i: n for i, n in job.completing.items() if n != 1}}
        yield JobProgress(
            job.job_id, bytes(done), numbers, tuple(won.items()), cancelled, job.finished_ms
        )
        for attempt in job.live.values():
            yield _started_record(job, attempt, epoch)


def _with_completions(done: bytearray, indexes: Iterable[int]) -> bytearray:
    result = bytearray(done)
    for index in indexes:
        byte, bit = divmod(index, BITS_PER_BYTE)
        result[byte] |= 1 << bit
    return result


def _started_record(job: Job, attempt: Attempt, epoch: int) -> AttemptStarted:
    charged = attempt.charged
    is_declared_size = charged == job.spec.resources
    size = () if is_declared_size else (charged.cpu_millis, charged.memory_bytes)
    key = attempt.key
    return AttemptStarted(
        key.job_id,
        key.index,
        key.number,
        attempt.worker,
        epoch,
        attempt.lease_ms,
        attempt.gang,
        size,
    )

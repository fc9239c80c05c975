"""Durable acceptance and cancellation of jobs by any instance, independent of the leader.

The answer to a cancellation holds for every write of a submission that may still take effect:
either the job is stored and the cancellation with it, or marks are stored whose absence each such
write requires (``withdrawal_marks``).
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import Commit, QueueStore, StoredItem, StoredPut
from nutmeglb._internal.queues.store_gate import StoreGate
from nutmeglb._internal.queues.withdrawal_marks import (
    TooManyWithdrawals,
    WithdrawalMarks,
    absent_marks,
    is_barred,
)
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues.access import JobCall
from nutmeglb_decisions.queues.queries import JobStatus
from nutmeglb_decisions.queues.state import JobState
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NotReady, NutmegError, StoreError, StoreOutcomeUnknown
from nutmeglb_formats.models.queue_records import (
    AcceptedJob,
    JobProgress,
    WithdrawnJob,
    decode_queue_record,
    encode_queue_record,
)
from nutmeglb_formats.models.queues import QueueJob

logger = get_logger("submissions")

RETRY_MS = 60.0
# An unanswered write may be executed seconds later. Attempts are remembered for longer than that.
MAX_UNRESOLVED_AGE_MS = 60_000.0
MAX_UNRESOLVED = 10_000
MS_PER_S = 1_000.0


class Submission(StrEnum):
    """Outcome of a submission.

    ``UNKNOWN`` means that the job may be accepted now or later. The caller must submit it again
    with the same id. ``ID_TAKEN`` means that the id belongs to a job that the caller may not see.
    ``WITHDRAWN`` means that the job was cancelled before it was stored, and never runs.
    """

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    NOT_ACCEPTED = "not_accepted"
    UNKNOWN = "unknown"
    ID_TAKEN = "id_taken"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class StoredSubmission:
    """Outcome of a submission. ``revision`` is that of the acceptance, if accepted."""

    outcome: Submission
    revision: int = 0


class Cancellation(StrEnum):
    """Outcome of a cancellation.

    ``STORED`` means that the job is cancelled or has ended. ``BARRED`` means that no job is stored,
    and that no submission of it that may be in progress takes effect. ``NOT_FOUND`` means that the
    id belongs to a job that the call is not about.
    """

    STORED = "stored"
    BARRED = "barred"
    NOT_FOUND = "not_found"


@dataclass(frozen=True, slots=True)
class _JobRecords:
    """Stored records of a job.

    Attributes
    ----------
    revision
        Revision of the key of the accepted job; 0 if it is absent.
    progress
        Progress or final state; ``None`` if it is absent or malformed.
    progress_is_final
        Whether the key of the final state is present.
    """

    accepted: StoredItem | None
    revision: int
    cancelled: bool
    progress: JobProgress | None
    progress_is_final: bool


class Submissions:
    """Stores accepted jobs and cancellations, and reads states of jobs from the store."""

    def __init__(self, store: QueueStore, clock: Clock, gate: StoreGate) -> None:
        self._store = store
        self._clock = clock
        self._gate = gate
        self._marks = WithdrawalMarks(store, clock)
        # Jobs whose last attempt here had an unknown outcome, with its time, oldest first.
        self._unresolved: dict[str, float] = {}

    def is_unresolved(self, job_id: str) -> bool:
        """Return whether an earlier attempt at this instance may still have been accepted.

        A repeated submission must not be refused then, because a refusal means that the job never
        runs.
        """
        attempted_ms = self._unresolved.get(job_id)
        return (
            attempted_ms is not None and self._clock.now_ms() - attempted_ms < MAX_UNRESOLVED_AGE_MS
        )

    async def submit(self, job: QueueJob, deadline_ms: float, call: JobCall) -> StoredSubmission:
        """Store a job unless a job with its id exists already.

        Parameters
        ----------
        deadline_ms
            Monotonic time until which a write with an unknown outcome is retried.
        call
            Decides whether a job with this id that exists already is the one that was submitted.
        """
        if not self._gate.allows_writes:
            return self._refuse(job.job_id)
        key = keys.accepted(job.job_id)
        value = encode_queue_record(AcceptedJob(job))
        revision = 0
        while True:
            expected = _acceptance_conditions(job, revision)
            committed = await self._store.commit(expected, [StoredPut(key, value)])
            if isinstance(committed, Err):
                self._gate.record_failure()
                if not isinstance(committed.err_value, StoreOutcomeUnknown):
                    return self._refuse(job.job_id)
                self._mark_unresolved(job.job_id)
                resolved = await self._resolve(job, revision, deadline_ms, call)
                if resolved.outcome != Submission.UNKNOWN:
                    self._unresolved.pop(job.job_id, None)
                return resolved
            commit = committed.ok_value
            if commit.applied:
                self._unresolved.pop(job.job_id, None)
                return StoredSubmission(Submission.ACCEPTED, commit.revision)
            present = commit.found or {}
            found = present.get(key)
            if found is None or not _is_withdrawn(found) or is_barred(job, present):
                self._unresolved.pop(job.job_id, None)
                return _existing(job, present, call)
            revision = found.revision

    def _refuse(self, job_id: str) -> StoredSubmission:
        """Return the outcome of an attempt without effect, which an earlier one may contradict."""
        is_unknown = self.is_unresolved(job_id)
        return StoredSubmission(Submission.UNKNOWN if is_unknown else Submission.NOT_ACCEPTED)

    def _mark_unresolved(self, job_id: str) -> None:
        self._unresolved.pop(job_id, None)
        self._unresolved[job_id] = self._clock.now_ms()
        if len(self._unresolved) > MAX_UNRESOLVED:
            del self._unresolved[next(iter(self._unresolved))]

    async def _resolve(
        self, job: QueueJob, revision: int, deadline_ms: float, call: JobCall
    ) -> StoredSubmission:
        """Retry the write of a job after an unanswered one, or find that the first took effect.

        Both writes require the same revision of the key, so only one of them takes effect, even if
        the first one is applied late.

        Load pattern: a store outage of a few seconds during a burst. The caller is still waiting.
        After an answer with an unknown outcome, its repeated submission would be refused during the
        outage, although the first write may still take effect.
        """
        key = keys.accepted(job.job_id)
        put = StoredPut(key, encode_queue_record(AcceptedJob(job)))
        while self._clock.now_ms() < deadline_ms:
            if not self._gate.allows_writes:
                await asyncio.sleep(RETRY_MS / MS_PER_S)
                continue
            committed = await self._store.commit(_acceptance_conditions(job, revision), [put])
            if isinstance(committed, Err):
                self._gate.record_failure()
                continue
            commit: Commit = committed.ok_value
            present = commit.found or {}
            found = present.get(key)
            if commit.applied or (found is not None and found.value == put.value):
                logger.info("submission accepted after an unanswered write", job=job.job_id)
                accepted = found.revision if found is not None else commit.revision
                return StoredSubmission(Submission.ACCEPTED, accepted)
            if found is not None and _is_withdrawn(found) and not is_barred(job, present):
                return StoredSubmission(Submission.NOT_ACCEPTED)
            # Another submission of the job was accepted, which may have run or ended already.
            return _existing(job, present, call)
        return StoredSubmission(Submission.UNKNOWN)

    async def cancel(self, call: JobCall, deadline_ms: float) -> Result[Cancellation, NutmegError]:
        """Store a cancellation.

        The error is ``StoreOutcomeUnknown`` if it may take effect all the same.

        Parameters
        ----------
        deadline_ms
            Monotonic time until which failed calls are retried.
        """
        unknown: NutmegError | None = None
        while True:
            attempt = await self._try_to_cancel(call)
            if isinstance(attempt, Ok):
                return attempt
            error = attempt.err_value
            if isinstance(error, StoreOutcomeUnknown):
                unknown = error
            is_over = self._clock.now_ms() >= deadline_ms
            if is_over or isinstance(error, TooManyWithdrawals):
                return Err(unknown or error)
            await asyncio.sleep(RETRY_MS / MS_PER_S)

    async def _try_to_cancel(self, call: JobCall) -> Result[Cancellation, NutmegError]:
        found = await self._read_job(call.job_id)
        if isinstance(found, Err):
            return Err(found.err_value)
        records = found.ok_value
        exists = records.accepted is not None or records.progress is not None
        if exists and not call.concerns(*_owner_of(records.accepted, records.progress)):
            return Ok(Cancellation.NOT_FOUND)
        if records.cancelled or records.progress_is_final:
            return Ok(Cancellation.STORED if exists else Cancellation.NOT_FOUND)
        committed: Result[Commit, NutmegError]
        if records.accepted is not None:
            key, accepted = keys.cancelled(call.job_id), records.accepted
            conditions = {key: 0, accepted.key: accepted.revision}
            committed = _widen(await self._store.commit(conditions, [StoredPut(key, b"1")]))
        else:
            committed = await self._marks.put(call, records.revision)
        if isinstance(committed, Err):
            return Err(committed.err_value)
        if not committed.ok_value.applied:
            return Err(NotReady("The records of the job have changed", hint="Retry the call"))
        return Ok(Cancellation.STORED if exists else Cancellation.BARRED)

    async def status(self, job_id: str) -> Result[JobStatus | None, StoreError]:
        """Return the state of a job according to the store, or ``None`` if it is unknown."""
        found = await self._read_job(job_id)
        if isinstance(found, Err):
            return Err(found.err_value)
        records = found.ok_value
        if records.accepted is None:
            if records.progress is None:
                return Ok(None)
            ended = records.progress
            return Ok(JobStatus(JobState(ended.final), ended.queue, ended.team))
        record = decode_queue_record(records.accepted.value, records.accepted.key)
        if isinstance(record, Err):
            return Ok(None)
        state = JobState.RUNNING if records.progress else JobState.QUEUED
        if records.cancelled:
            state = JobState.CANCELLED
        job = record.ok_value.job
        return Ok(JobStatus(state, job.queue.key, job.team))

    async def _read_job(self, job_id: str) -> Result[_JobRecords, StoreError]:
        """Read the records of a job.

        The final state is read last, since finishing a job removes its other keys.
        """
        listing = await self._store.range(keys.accepted(job_id))
        if isinstance(listing, Err):
            return Err(listing.err_value)
        items = {item.key: item for item in listing.ok_value.items}
        accepted = items.get(keys.accepted(job_id))
        revision = accepted.revision if accepted is not None else 0
        if accepted is not None and _is_withdrawn(accepted):
            accepted = None
        progress: JobProgress | None = None
        is_final = False
        unfinished_keys = [keys.progress(job_id)] if accepted else []
        for key in (*unfinished_keys, keys.final(job_id)):
            stored = await self._store.get(key)
            if isinstance(stored, Err):
                return Err(stored.err_value)
            if stored.ok_value is not None:
                progress = _decode_progress(stored.ok_value)
                is_final = key == keys.final(job_id)
                break
        if progress is not None and progress.final:
            accepted = None
        is_cancelled = keys.cancelled(job_id) in items
        return Ok(_JobRecords(accepted, revision, is_cancelled, progress, is_final))


def _decode_progress(item: StoredItem) -> JobProgress | None:
    loaded = decode_queue_record(item.value, item.key)
    if isinstance(loaded, Err) or not isinstance(loaded.ok_value, JobProgress):
        logger.error("malformed progress record ignored", key=item.key)
        return None
    return loaded.ok_value


def _owner_of(accepted: StoredItem | None, progress: JobProgress | None) -> tuple[str, str]:
    """Return the queue and the team of a job; both are empty if its record is malformed."""
    if accepted is not None:
        loaded = decode_queue_record(accepted.value, accepted.key)
        if isinstance(loaded, Err) or not isinstance(loaded.ok_value, AcceptedJob):
            return "", ""
        job = loaded.ok_value.job
        return job.queue.key, job.team
    return (progress.queue, progress.team) if progress is not None else ("", "")


def _widen(result: Result[Commit, StoreError]) -> Result[Commit, NutmegError]:
    return result if isinstance(result, Ok) else Err(result.err_value)


def _acceptance_conditions(job: QueueJob, revision: int) -> dict[str, int]:
    """Return the conditions of the write that accepts a job."""
    return {
        keys.accepted(job.job_id): revision,
        keys.final(job.job_id): 0,
        **absent_marks(job),
    }


def _existing(job: QueueJob, present: Mapping[str, StoredItem], call: JobCall) -> StoredSubmission:
    """Return the outcome of a submission whose id has a job, or a mark, in the store already."""
    accepted = present.get(keys.accepted(call.job_id))
    final = present.get(keys.final(call.job_id))
    if accepted is not None and _is_withdrawn(accepted):
        accepted = None
    if accepted is None and final is None and is_barred(job, present):
        return StoredSubmission(Submission.WITHDRAWN)
    progress = _decode_progress(final) if final is not None else None
    is_own = call.concerns(*_owner_of(accepted, progress))
    return StoredSubmission(Submission.REPEATED if is_own else Submission.ID_TAKEN)


def _is_withdrawn(item: StoredItem) -> bool:
    loaded = decode_queue_record(item.value, item.key)
    return isinstance(loaded, Ok) and isinstance(loaded.ok_value, WithdrawnJob)

"""Lifecycle of attempts, from allocation through the journal commit to the end or a retry."""

from collections.abc import Callable, Iterator

from nutmeglb_decisions.invariants import (
    GANG_WHOLE,
    SINGLE_COMPLETION,
    SINGLE_RUN,
    require,
)
from nutmeglb_decisions.tasks.capacity import DomainCapacity
from nutmeglb_decisions.tasks.events import SendCommands
from nutmeglb_decisions.tasks.outbox import Outbox
from nutmeglb_decisions.tasks.ranking import Shape
from nutmeglb_decisions.tasks.state import Attempt, Job, Phase
from nutmeglb_decisions.tasks.workers import WorkerLink
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.agent import FinishedTask, TaskOutcome
from nutmeglb_formats.models.config import JobKind
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptEnded, AttemptKey, AttemptStarted

LOST = "lost"
NEVER_SENT = "never_sent"
JOURNAL_BACKOFF_MS = 1_000.0

SizeOf = Callable[[Job], Resources]
OnEnd = Callable[[Job, Attempt, str, FinishedTask | None, float], None]


class Lifecycle:
    """Jobs and attempts, and the changes of their state.

    Parameters
    ----------
    domain
        Failure domain that this scheduler leads.
    epoch
        Leadership epoch.
    lease_ms
        Duration of task leases in milliseconds.
    margin_ms
        Allowance for clock differences, added to the expiry of every lease, in milliseconds.
    size_of
        Returns the expected size of a job's tasks.
    on_end
        Called after an attempt has ended, before its task is queued again.
    """

    def __init__(
        self,
        domain: str,
        epoch: int,
        lease_ms: float,
        margin_ms: float,
        on_end: OnEnd,
        size_of: SizeOf,
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.margin_ms = margin_ms
        self.jobs: dict[str, Job] = {}
        self.links: dict[str, WorkerLink] = {}
        self.capacity = DomainCapacity(domain, self._update_queued)
        self.outbox = Outbox()
        self.wall_offset_ms = 0.0
        self.unfinished_jobs = 0
        self.start_count = 0
        self.team_attempts: dict[str, dict[str, Attempt]] = {}
        self.reclaim = False
        self.assembly_deadlines_ms: dict[str, float] = {}
        self.journal_backoff_until_ms = 0.0
        self.jobs_with_hold: set[str] = set()
        self._on_end = on_end
        self._size_of = size_of
        self._next_sequence = 0
        self._pending_stops: list[tuple[Iterator[Attempt], str]] = []
        self._delayed: list[Job] = []
        self._failed_writes: list[Callable[[], None]] = []

    # Queue

    def add_job(self, job: Job) -> None:
        """Add an accepted job and queue it."""
        job.sequence = self._next_sequence
        self._next_sequence += 1
        self.jobs[job.job_id] = job
        self.unfinished_jobs += not job.ended
        self.enqueue(job)

    def enqueue(self, job: Job) -> None:
        """Add a job to the ranking, unless it is already there or has no task to place now.

        A gang of which a task has completed since it was queued is added again with its new size.
        The ranking discards its former entry.
        """
        has_current_entry = job.queued and not (job.is_gang and job.shape.gang_size != job.waiting)
        if has_current_entry or not job.is_placeable:
            return
        job.queued = True
        spec = job.spec
        job.shape = self.capacity.ranking.intern_shape(
            self._charged_size(job), job.waiting if job.is_gang else 1
        )
        self.capacity.ranking.add(
            spec.job_class,
            spec.team,
            job.shape,
            (job.sequence, job.job_id),
            share=self.capacity.quotas.share(spec.team),
            at_front=job.first_unattempted > 0,
        )

    def _charged_size(self, job: Job) -> Resources:
        spec = job.spec
        if not (self.reclaim and spec.preemptible and spec.kind is JobKind.BATCH):
            return spec.resources
        return self._size_of(job)

    def resize(self, job: Job, tasks: int) -> None:
        """Change the number of replicas of a service."""
        job.tasks = tasks
        job.first_unattempted = (
            min(job.first_unattempted, tasks)
            if not job.live
            else max(job.first_unattempted, max(job.live) + 1)
        )
        job.retry_indexes = type(job.retry_indexes)(
            index for index in job.retry_indexes if index < tasks
        )
        surplus = [attempt for index, attempt in job.live.items() if index >= tasks]
        self.schedule_stops(surplus, "fewer_replicas")
        self.enqueue(job)

    def end_job(self, job: Job, now_ms: float, *, cancelled: bool) -> None:
        """Mark a job as ended, so that none of its tasks is started again."""
        job.cancelled = cancelled
        job.finished_ms = self.wall_offset_ms + now_ms
        self.unfinished_jobs -= 1

    def _update_queued(self, job_id: str, shape: Shape) -> bool:
        job = self.jobs.get(job_id)
        if job is None or shape is not job.shape:
            return False
        is_placeable = job.is_placeable and not job.not_before_ms
        job.queued = is_placeable
        return is_placeable

    def delay(self, job: Job, until_ms: float) -> None:
        """Exclude a job from the ranking until ``until_ms``."""
        if not job.not_before_ms:
            self._delayed.append(job)
        job.not_before_ms = max(job.not_before_ms, until_ms)

    def release_delayed(self, now_ms: float) -> None:
        """Queue the jobs whose delay has expired."""
        due = [job for job in self._delayed if job.not_before_ms <= now_ms]
        if due:
            self._delayed = [job for job in self._delayed if job.not_before_ms > now_ms]
        for job in due:
            job.not_before_ms = 0.0
            self.enqueue(job)

    def ensure_link(self, worker: str, now_ms: float) -> WorkerLink:
        """Return the protocol state of a worker, and create it for a new worker."""
        link = self.links.get(worker)
        if link is None:
            link = WorkerLink(worker, now_ms, self.lease_ms, self.margin_ms)
            self.links[worker] = link
        return link

    def set_capacity(self, worker: str, capacity: Resources, rack: str) -> None:
        """Set the capacity and the rack of a worker, and charge its attempts to a new account."""
        is_known = self.capacity.account(worker) is not None
        old_rack = self.capacity.rack_of(worker)
        self.capacity.set_capacity(worker, capacity, rack)
        for attempt in self.links[worker].attempts.values():
            if not is_known:
                self.capacity.charge_existing(worker, attempt.name, attempt.charged)
            counts = self.jobs[attempt.key.job_id].rack_tasks
            _adjust_count(counts, old_rack, -1)
            _adjust_count(counts, rack, 1)

    # Start

    def start(
        self, job: Job, worker: str, charged: Resources, now_ms: float, *, gang: int = 0
    ) -> Attempt:
        """Allocate resources for the next task of a job and append its attempt to the journal."""
        require(job.waiting > 0, SINGLE_RUN, "A task beyond the last one would run", job=job.job_id)
        index = job.take_index()
        number = job.numbers.get(index, 0) + 1
        key = AttemptKey(job.job_id, index, number)
        require(
            index not in job.live and index not in job.completing and not job.is_done(index),
            SINGLE_RUN,
            "A task would run twice",
            task=str(key),
        )
        attempt = Attempt(
            key, str(key), worker, charged, Phase.RESERVED, now_ms, self.lease_ms, gang, gang > 0
        )
        self.capacity.charge(job.spec.team, worker, attempt.name, charged)
        self.start_count += 1
        job.numbers[index] = number
        self._register(job, attempt)
        size = () if charged == job.spec.resources else (charged.cpu_millis, charged.memory_bytes)
        self.outbox.write(
            AttemptStarted(
                job.job_id, index, number, worker, self.epoch, self.lease_ms, gang, size
            ),
            lambda now: self._start_committed(job, attempt, now),
            lambda now, error: self._start_failed(job, attempt, now, error),
        )
        self.outbox.log_decision(
            "task_placed", "fits", job=job.job_id, task=attempt.name, worker=worker
        )
        return attempt

    def _register(self, job: Job, attempt: Attempt) -> None:
        job.live[attempt.key.index] = attempt
        link = self.links[attempt.worker]
        link.attempts[attempt.name] = attempt
        self.team_attempts.setdefault(job.spec.team, {})[attempt.name] = attempt
        _adjust_count(job.rack_tasks, self.capacity.rack_of(attempt.worker), 1)
        _adjust_count(job.worker_tasks, attempt.worker, 1)

    def restore(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        """Restore an attempt that an earlier leader started."""
        self.ensure_link(attempt.worker, now_ms)
        attempt.expected_end_ms = now_ms + job.spec.run_ms
        self.capacity.quotas.add(job.spec.team, attempt.charged)
        self._register(job, attempt)

    def _start_committed(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        if job.live.get(attempt.key.index) is not attempt:
            return
        if attempt.stop_cause:
            self.end(job, attempt, TaskOutcome.STOPPED, now_ms)
            return
        attempt.phase = Phase.COMMITTED
        if self.capacity.ledger.account(attempt.worker) is not None:
            self.capacity.ledger.commit(attempt.worker, attempt.name)
        self.outbox.add(SendCommands(attempt.worker))

    def _start_failed(self, job: Job, attempt: Attempt, now_ms: float, error: NutmegError) -> None:
        # The record may still be in the journal. The attempt number is never reused and no
        # start command was sent, so a later leader that reads the record can still start it safely.
        self.journal_backoff_until_ms = now_ms + JOURNAL_BACKOFF_MS
        if job.live.get(attempt.key.index) is attempt:
            self.outbox.log_decision(
                "start_withdrawn", error.kind, job=job.job_id, task=attempt.name
            )
            self._remove(job, attempt)
            self._requeue(job, attempt)

    # End

    def end(
        self,
        job: Job,
        attempt: Attempt,
        outcome: str,
        now_ms: float,
        report: FinishedTask | None = None,
    ) -> None:
        """End an attempt that can no longer be running."""
        if job.live.get(attempt.key.index) is not attempt:
            return
        self._remove(job, attempt)
        index = attempt.key.index
        complete = index in job.completing or job.is_done(index)
        completes = outcome == TaskOutcome.SUCCEEDED and not job.is_service and not complete
        if completes:
            job.completing[index] = attempt.key.number
        self.write_end(job, attempt.key, attempt.worker, outcome, completes)
        self.outbox.log_decision(
            "task_ended", outcome, job=job.job_id, task=attempt.name, worker=attempt.worker
        )
        self._on_end(job, attempt, outcome, report, now_ms)
        if not completes and not complete:
            self._requeue(job, attempt)
        if completes and job.is_gang:
            self.release_gang(job)

    def _remove(self, job: Job, attempt: Attempt) -> None:
        del job.live[attempt.key.index]
        link = self.links[attempt.worker]
        link.attempts.pop(attempt.name, None)
        self.team_attempts[job.spec.team].pop(attempt.name, None)
        self.capacity.refund(job.spec.team, attempt.worker, attempt.name, attempt.charged)
        _adjust_count(job.rack_tasks, self.capacity.rack_of(attempt.worker), -1)
        _adjust_count(job.worker_tasks, attempt.worker, -1)

    def _requeue(self, job: Job, attempt: Attempt) -> None:
        if attempt.key.index < job.tasks:
            job.retry_indexes.append(attempt.key.index)
        self.enqueue(job)

    def write_end(
        self, job: Job, key: AttemptKey, worker: str, outcome: str, completes: bool
    ) -> None:
        """Append the end of an attempt to the journal, then acknowledge it to the agent."""
        name = str(key)
        link = self.links.get(worker)
        if link is not None:
            link.uncommitted_ends.add(name)
        succeeded = outcome == TaskOutcome.SUCCEEDED and not job.is_service

        def committed(now_ms: float) -> None:
            if link is not None:
                link.uncommitted_ends.discard(name)
            # A lost attempt may still be reported as successful, so it is not acknowledged.
            if outcome not in (LOST, NEVER_SENT):
                self.acknowledge_end(worker, name, discard=succeeded and not completes)
            if completes:
                self._record_completion(job, key, now_ms)

        def failed(now_ms: float, error: NutmegError) -> None:
            self.journal_backoff_until_ms = now_ms + JOURNAL_BACKOFF_MS
            self._failed_writes.append(lambda: self.write_end(job, key, worker, outcome, completes))

        record = AttemptEnded(key.job_id, key.index, key.number, str(outcome), completes)
        self.outbox.write(record, committed, failed)

    def retry_failed_writes(self, now_ms: float) -> None:
        """Retry the end records whose append failed."""
        if self._failed_writes and now_ms >= self.journal_backoff_until_ms:
            writes, self._failed_writes = self._failed_writes, []
            for write in writes:
                write()

    def acknowledge_end(self, worker: str, name: str, *, discard: bool) -> None:
        """Acknowledge the end of an attempt to its agent, which keeps or discards the result."""
        link = self.links.get(worker)
        if link is not None:
            (link.discard if discard else link.ack)[name] = None
            self.outbox.add(SendCommands(worker))

    def _record_completion(self, job: Job, key: AttemptKey, now_ms: float) -> None:
        require(
            key.index in job.completing and not job.is_done(key.index),
            SINGLE_COMPLETION,
            "A task would complete twice",
            task=str(key),
        )
        del job.completing[key.index]
        job.set_done(key.index, key.number)
        if job.done_count == job.tasks and not job.ended:
            self.end_job(job, now_ms, cancelled=False)
            self.outbox.log_decision("job_finished", "all tasks complete", job=job.job_id)
        self.enqueue(job)

    def complete_late(self, job: Job, key: AttemptKey, worker: str) -> None:
        """Complete a task by an attempt that was treated as lost, and stop its replacement."""
        replacement = job.live.get(key.index)
        job.completing[key.index] = key.number
        if key.index in job.retry_indexes:
            job.retry_indexes.remove(key.index)
        if replacement is not None:
            self.stop(replacement, "task_complete")
        self.write_end(job, key, worker, TaskOutcome.SUCCEEDED, True)

    # Stop

    def stop(self, attempt: Attempt, cause: str) -> None:
        """Ask the agent to stop an attempt. An uncommitted one ends when its start is committed."""
        if attempt.stop_cause and attempt.name not in self.links[attempt.worker].checkpoint:
            return
        attempt.stop_cause = cause
        if attempt.phase is not Phase.RESERVED:
            self.links[attempt.worker].stop[attempt.name] = None
            self.outbox.add(SendCommands(attempt.worker))

    def schedule_stops(self, attempts: list[Attempt], cause: str) -> None:
        """Schedule attempts to be stopped in bounded steps by ``stop_pending``."""
        if attempts:
            self._pending_stops.append((iter(attempts), cause))

    def has_pending_stops(self) -> bool:
        """Return whether attempts are scheduled to be stopped."""
        return bool(self._pending_stops)

    def stop_pending(self, limit: int) -> None:
        """Stop at most ``limit`` of the scheduled attempts."""
        while self._pending_stops and limit:
            attempts, cause = self._pending_stops[-1]
            attempt = next(attempts, None)
            if attempt is None:
                self._pending_stops.pop()
                continue
            limit -= 1
            job = self.jobs.get(attempt.key.job_id)
            if job is not None and job.live.get(attempt.key.index) is attempt:
                self.stop(attempt, cause)

    def release_gang(self, job: Job) -> None:
        """Release a gang to run once every member that has not completed is held by its agent.

        Members complete before a release only if an earlier leader had released the gang. The
        others are then sent again to agents that have restarted since.
        """
        members = list(job.live.values())
        if not members or not all(m.hold for m in members):
            return
        if any(m.phase is not Phase.HELD or m.stop_cause for m in members):
            return
        # A member has ended without success, or the job is cancelled: all are about to be stopped.
        if job.waiting or job.ended:
            return
        require(
            len(members) + len(job.completing) + job.done_count == job.tasks,
            GANG_WHOLE,
            "A gang would start in part",
            job=job.job_id,
        )
        for member in members:
            member.hold = False
            self.outbox.add(SendCommands(member.worker))


def _adjust_count(counts: dict[str, int], key: str, change: int) -> None:
    counts[key] = counts.get(key, 0) + change
    if counts[key] <= 0:
        del counts[key]

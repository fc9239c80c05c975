"""Life cycle of attempts: start after the journal commit, end, restart, completion."""

from collections.abc import Callable

from nutmeglb_decisions.tasks.events import SendCommands
from nutmeglb_decisions.tasks.invariants import (
    GANG_WHOLE,
    SINGLE_COMPLETION,
    SINGLE_RUN,
    ensure,
)
from nutmeglb_decisions.tasks.ledger import Account, Ledger
from nutmeglb_decisions.tasks.outbox import Outbox
from nutmeglb_decisions.tasks.placement import PlacementEngine
from nutmeglb_decisions.tasks.quotas import Quotas
from nutmeglb_decisions.tasks.ranking import Ranking, Shape
from nutmeglb_decisions.tasks.state import Attempt, Job, Phase
from nutmeglb_decisions.tasks.workers import WorkerLink
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.models.agent import FinishedTask, TaskOutcome
from nutmeglb_formats.models.jobs import WaitReason
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptEnded, AttemptKey, AttemptStarted

LOST = "lost"
NOT_JOURNALLED = "not_journalled"
REQUEUE_DELAY_MS = 1_000.0

OnEnd = Callable[[Job, Attempt, str, FinishedTask | None, float], None]


class Lifecycle:
    """Jobs, attempts and the accounts that they are charged to.

    Parameters
    ----------
    domain
        Failure domain that this scheduler leads.
    epoch
        Epoch of the leadership.
    lease_ms
        Length of task leases in milliseconds.
    margin_ms
        Clock margin added to every lease, in milliseconds.
    on_end
        Called after an attempt ended, before its task is queued again.
    """

    def __init__(
        self, domain: str, epoch: int, lease_ms: float, margin_ms: float, on_end: OnEnd
    ) -> None:
        self.domain = domain
        self.epoch = epoch
        self.lease_ms = lease_ms
        self.margin_ms = margin_ms
        self.jobs: dict[str, Job] = {}
        self.links: dict[str, WorkerLink] = {}
        self.quotas = Quotas(domain)
        self.outbox = Outbox()
        self.ranking = Ranking(self._keep)
        self.ledger = Ledger(self._account_changed)
        self.engine = PlacementEngine(self.ledger.accounts())
        self.wall_offset_ms = 0.0
        self.journal_hold_until_ms = 0.0
        self.held_jobs: set[str] = set()
        self._freed: dict[str, None] = {}
        self._on_end = on_end
        self._next_sequence = 0
        self._delayed: list[Job] = []
        self._postponed: list[Callable[[], None]] = []

    # Queue

    def add_job(self, job: Job) -> None:
        """Take over an accepted job and queue it."""
        job.sequence = self._next_sequence
        self._next_sequence += 1
        job.shape = Shape(job.spec.resources, job.tasks if job.is_gang else 1)
        self.jobs[job.job_id] = job
        self.enqueue(job)

    def enqueue(self, job: Job) -> None:
        """Queue a job unless it is queued, backs off or has nothing to place."""
        if job.queued or not self._placeable(job):
            return
        job.queued = True
        if job.is_gang:
            job.shape = Shape(job.spec.resources, job.waiting)
        spec = job.spec
        self.ranking.add(
            spec.job_class,
            spec.team,
            job.shape,
            (job.sequence, job.job_id),
            share=self.quotas.share(spec.team),
            first=job.fresh > 0,
        )

    def _placeable(self, job: Job) -> bool:
        return job.waiting > 0 and not (job.is_gang and (job.live or job.completing))

    def _keep(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        if job is None:
            return False
        keep = self._placeable(job) and not job.not_before_ms
        job.queued = keep
        return keep

    def delay(self, job: Job, until_ms: float) -> None:
        """Leave a job out of the ranking until a time."""
        if not job.not_before_ms:
            self._delayed.append(job)
        job.not_before_ms = max(job.not_before_ms, until_ms)

    def release_delayed(self, now_ms: float) -> None:
        """Queue the jobs whose delay is over."""
        due = [job for job in self._delayed if job.not_before_ms <= now_ms]
        if due:
            self._delayed = [job for job in self._delayed if job.not_before_ms > now_ms]
        for job in due:
            job.not_before_ms = 0.0
            self.enqueue(job)

    def link(self, worker: str, now_ms: float) -> WorkerLink:
        """Return the protocol state of a worker, creating it when it is new."""
        link = self.links.get(worker)
        if link is None:
            link = WorkerLink(worker, now_ms, self.lease_ms, self.margin_ms)
            self.links[worker] = link
        return link

    def wait_reason(self, job: Job, now_ms: float) -> tuple[WaitReason, str]:
        """Return why a job waits, as a kind and as a sentence."""
        if job.waiting == 0:
            return WaitReason.NONE, ""
        if job.not_before_ms > now_ms:
            return WaitReason.BACKOFF, "Its tasks fail on every worker; it is retried later."
        limit = self.quotas.limit(job.spec.team)
        together = job.spec.resources.scaled(job.shape.together)
        if limit is None or not together.fits_in(limit):
            return WaitReason.QUOTA, "It exceeds the team's quota in this failure domain."
        if not self.engine.fits_somewhere(job.spec.resources):
            return WaitReason.FITS_NOWHERE, "It is larger than every available worker."
        if not self.quotas.admits(job.spec.team, together):
            return WaitReason.QUOTA, "The team's quota is in use."
        if now_ms < self.journal_hold_until_ms:
            return WaitReason.STORE_OUTAGE, "The journal cannot be written."
        if job.job_id in self.held_jobs:
            return WaitReason.GANG_HOLD, "Workers are being kept free for it."
        return WaitReason.QUEUED, "It waits for free resources."

    # Resources

    def _account_changed(self, account: Account) -> None:
        self.engine.refresh(account)

    def unblock_freed(self) -> None:
        """Consider the shapes again that fit on workers with freed resources."""
        for worker in self._freed:
            account = self.ledger.account(worker)
            if account is not None and worker in self.engine.enabled():
                self.ranking.unblock_fitting(account.free)
        self._freed.clear()

    def mark_freed(self, worker: str) -> None:
        """Consider blocked shapes again on a worker at the next step."""
        self._freed[worker] = None

    def charge(self, job: Job, attempt: Attempt) -> None:
        """Charge an attempt to its worker and team."""
        self.ledger.reserve(attempt.worker, attempt.name, attempt.charged)
        self.quotas.charge(job.spec.team, attempt.charged)
        self.ranking.set_share(job.spec.team, self.quotas.share(job.spec.team), fell=False)

    def adopt(self, job: Job, attempt: Attempt) -> None:
        """Charge an attempt that the journal already holds."""
        if self.ledger.account(attempt.worker) is not None:
            self.ledger.adopt(attempt.worker, attempt.name, attempt.charged)

    def _refund(self, job: Job, attempt: Attempt) -> None:
        self.ledger.release(attempt.worker, attempt.name)
        self.quotas.refund(job.spec.team, attempt.charged)
        self.ranking.set_share(job.spec.team, self.quotas.share(job.spec.team), fell=True)
        self.mark_freed(attempt.worker)

    # Start

    def start(
        self, job: Job, worker: str, charged: Resources, now_ms: float, *, gang: int = 0
    ) -> Attempt:
        """Reserve resources for the next task of a job and write its attempt to the journal."""
        index = job.take_index()
        number = job.numbers.get(index, 0) + 1
        key = AttemptKey(job.job_id, index, number)
        ensure(
            index not in job.live and index not in job.completing and not job.is_done(index),
            SINGLE_RUN,
            "A task would run twice",
            task=str(key),
        )
        attempt = Attempt(
            key, str(key), worker, charged, Phase.RESERVED, now_ms, self.lease_ms, gang, gang > 0
        )
        self.charge(job, attempt)
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
        self.outbox.decided("task_placed", "fits", job=job.job_id, task=attempt.name, worker=worker)
        return attempt

    def _register(self, job: Job, attempt: Attempt) -> None:
        job.live[attempt.key.index] = attempt
        link = self.links[attempt.worker]
        link.attempts[attempt.name] = attempt
        rack = self.rack_of(attempt.worker)
        job.rack_tasks[rack] = job.rack_tasks.get(rack, 0) + 1
        job.worker_tasks[attempt.worker] = job.worker_tasks.get(attempt.worker, 0) + 1

    def restore(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        """Take over an attempt of an earlier leader."""
        self.link(attempt.worker, now_ms)
        self.quotas.adopt(job.spec.team, attempt.charged)
        self._register(job, attempt)

    def rack_of(self, worker: str) -> str:
        """Return the rack of a worker, or an empty text."""
        account = self.ledger.account(worker)
        return account.rack if account is not None else ""

    def _start_committed(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        if job.live.get(attempt.key.index) is not attempt:
            return
        if attempt.stop_cause:
            self.end(job, attempt, TaskOutcome.STOPPED, now_ms)
            return
        attempt.phase = Phase.COMMITTED
        if self.ledger.account(attempt.worker) is not None:
            self.ledger.commit(attempt.worker, attempt.name)
        self.outbox.add(SendCommands(attempt.worker))

    def _start_failed(self, job: Job, attempt: Attempt, now_ms: float, error: NutmegError) -> None:
        # The record may be in the journal. The attempt number is not used again, and no command
        # for it was sent, so a later leader that finds the record may still start it safely.
        self.journal_hold_until_ms = now_ms + REQUEUE_DELAY_MS
        if job.live.get(attempt.key.index) is attempt:
            self.outbox.decided("start_withdrawn", error.kind, job=job.job_id, task=attempt.name)
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
        """End an attempt that certainly runs no more."""
        if job.live.get(attempt.key.index) is not attempt:
            return
        self._remove(job, attempt)
        index = attempt.key.index
        complete = index in job.completing or job.is_done(index)
        completes = outcome == TaskOutcome.SUCCEEDED and not job.is_service and not complete
        if completes:
            job.completing.add(index)
        self.write_end(job, attempt.key, attempt.worker, outcome, completes)
        self.outbox.decided(
            "task_ended", outcome, job=job.job_id, task=attempt.name, worker=attempt.worker
        )
        self._on_end(job, attempt, outcome, report, now_ms)
        if not completes and not complete:
            self._requeue(job, attempt)

    def _remove(self, job: Job, attempt: Attempt) -> None:
        del job.live[attempt.key.index]
        link = self.links[attempt.worker]
        link.attempts.pop(attempt.name, None)
        self._refund(job, attempt)
        rack = self.rack_of(attempt.worker)
        for counts, key in ((job.rack_tasks, rack), (job.worker_tasks, attempt.worker)):
            counts[key] = counts.get(key, 1) - 1
            if counts[key] <= 0:
                del counts[key]

    def _requeue(self, job: Job, attempt: Attempt) -> None:
        if attempt.key.index < job.tasks:
            job.retries.append(attempt.key.index)
        self.enqueue(job)

    def write_end(
        self, job: Job, key: AttemptKey, worker: str, outcome: str, completes: bool
    ) -> None:
        """Write the end of an attempt to the journal, then acknowledge it to the agent."""

        def committed(now_ms: float) -> None:
            self.acknowledge(worker, str(key))
            if completes:
                self._completed(job, key, now_ms)

        def failed(now_ms: float, error: NutmegError) -> None:
            self.journal_hold_until_ms = now_ms + REQUEUE_DELAY_MS
            self._postponed.append(lambda: self.write_end(job, key, worker, outcome, completes))

        record = AttemptEnded(key.job_id, key.index, key.number, str(outcome), completes)
        self.outbox.write(record, committed, failed)

    def write_postponed(self, now_ms: float) -> None:
        """Write again the ends that the journal did not take."""
        if self._postponed and now_ms >= self.journal_hold_until_ms:
            writes, self._postponed = self._postponed, []
            for write in writes:
                write()

    def acknowledge(self, worker: str, name: str) -> None:
        """Let the agent forget an ended attempt."""
        link = self.links.get(worker)
        if link is not None:
            link.ack[name] = None
            self.outbox.add(SendCommands(worker))

    def _completed(self, job: Job, key: AttemptKey, now_ms: float) -> None:
        ensure(
            key.index in job.completing and not job.is_done(key.index),
            SINGLE_COMPLETION,
            "A task would complete twice",
            task=str(key),
        )
        job.completing.discard(key.index)
        job.set_done(key.index)
        if job.done_count == job.tasks:
            job.finished_ms = self.wall_offset_ms + now_ms
            self.outbox.decided("job_finished", "all tasks complete", job=job.job_id)
        self.enqueue(job)

    def complete_late(self, job: Job, key: AttemptKey, worker: str) -> None:
        """Count the success of an attempt that was given up, and stop its replacement."""
        replacement = job.live.get(key.index)
        job.completing.add(key.index)
        if key.index in job.retries:
            job.retries.remove(key.index)
        if replacement is not None:
            self.stop(replacement, "task_complete")
        self.write_end(job, key, worker, TaskOutcome.SUCCEEDED, True)

    # Stop

    def stop(self, attempt: Attempt, cause: str) -> None:
        """Ask the agent to stop an attempt. An attempt not yet journalled ends at its commit."""
        if attempt.stop_cause:
            return
        attempt.stop_cause = cause
        if attempt.phase is not Phase.RESERVED:
            self.links[attempt.worker].stop[attempt.name] = None
            self.outbox.add(SendCommands(attempt.worker))

    def release_gang(self, job: Job) -> None:
        """Let a gang run once the agents hold every member."""
        members = list(job.live.values())
        if not members or not all(m.hold for m in members):
            return
        if any(m.phase is not Phase.HELD or m.stop_cause for m in members):
            return
        ensure(
            len(members) == members[0].gang,
            GANG_WHOLE,
            "A gang would start in part",
            job=job.job_id,
        )
        for member in members:
            member.hold = False
            self.outbox.add(SendCommands(member.worker))

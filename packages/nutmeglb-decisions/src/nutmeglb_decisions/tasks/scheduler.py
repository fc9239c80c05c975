"""Task scheduler of a failure domain: events and time in, effects out."""

import random
from collections.abc import Iterable, Iterator
from typing import Any

from nutmeglb_decisions.tasks import submission
from nutmeglb_decisions.tasks.events import (
    Answer,
    Cancel,
    CommitFailed,
    Committed,
    Configured,
    Effect,
    Event,
    SendCommands,
    Submit,
    Synced,
    Tick,
    WorkersListed,
)
from nutmeglb_decisions.tasks.gangs import plan_members
from nutmeglb_decisions.tasks.invariants import GANG_WHOLE, ensure
from nutmeglb_decisions.tasks.lifecycle import LOST, Lifecycle
from nutmeglb_decisions.tasks.placement import Score, pack_score, spread_score
from nutmeglb_decisions.tasks.ranking import CLASS_ORDER, Shape
from nutmeglb_decisions.tasks.state import Attempt, Job, Phase
from nutmeglb_decisions.tasks.takeover import recover, snapshot
from nutmeglb_decisions.tasks.workers import Reports, WorkerLink
from nutmeglb_formats.exceptions import NotFound, NutmegError
from nutmeglb_formats.models.agent import FinishedTask, SyncRequest, TaskOutcome, TaskPhase
from nutmeglb_formats.models.config import Config, JobKind, PlacementPolicy
from nutmeglb_formats.models.tasks import JobAccepted, JobCancelled, parse_attempt

# One placement takes about 100 microseconds, so a step stays within a few milliseconds.
PLACEMENTS_PER_STEP = 32
# Starts that wait for the journal. A slow store must not collect reservations without bound.
MAX_OPEN_BATCHES = 8
STOPS_PER_STEP = 200
GANG_RETRY_MS = 100.0
RETENTION_MS = 24 * 3_600_000.0
DEFAULT_PLACEMENT = {
    JobKind.SERVICE: PlacementPolicy.SPREAD,
    JobKind.BATCH: PlacementPolicy.PACK,
    JobKind.GANG: PlacementPolicy.PACK,
}


class Scheduler:
    """Decides where and when the tasks of a failure domain run. Exists only on its leader.

    Parameters
    ----------
    domain, epoch
        Failure domain and epoch of the leadership.
    config
        Configuration in force.
    records
        Records of the journal, in order.
    lease_ms, margin_ms
        Length of task leases and clock margin in milliseconds.
    now_ms, wall_ms
        Monotonic and wall-clock time in milliseconds.
    """

    def __init__(
        self,
        *,
        domain: str,
        epoch: int,
        config: Config,
        records: Iterable[Any],
        lease_ms: float,
        margin_ms: float,
        now_ms: float,
        wall_ms: float,
        rng: random.Random,
    ) -> None:
        self._life = Lifecycle(domain, epoch, lease_ms, margin_ms, self._attempt_ended)
        self._life.wall_offset_ms = wall_ms - now_ms
        self._rng = rng
        self._accepting: dict[str, tuple[Job, list[int]]] = {}
        self._stopping: list[tuple[Iterator[Attempt], str]] = []
        self._next_gang_retry_ms = 0.0
        self._life.quotas.configure(config)
        self._config = config
        recover(self._life, records, now_ms)

    @property
    def life(self) -> Lifecycle:
        """Return the jobs, workers and accounts, for queries."""
        return self._life

    # Commands

    def handle(self, event: Event, now_ms: float) -> list[Effect]:
        """Apply one event and return its effects. Never blocks for long."""
        match event:
            case Submit():
                self._submit(event, now_ms)
            case Cancel():
                self._cancel(event)
            case Committed(batch):
                self._life.outbox.committed(batch, now_ms)
            case CommitFailed(batch, error):
                self._life.outbox.failed(batch, now_ms, error)
            case WorkersListed():
                self._workers_listed(event, now_ms)
            case Synced():
                self._synced(event, now_ms)
            case Configured(config):
                self._configured(config, now_ms)
            case Tick():
                self._tick(now_ms)
        return self._life.outbox.flush()

    def step(self, now_ms: float) -> list[Effect]:
        """Do a bounded amount of waiting work: stops first, then placements."""
        self._stop_some()
        self._life.unblock_freed()
        self._place_some(now_ms)
        return self._life.outbox.flush()

    def has_work(self, now_ms: float) -> bool:
        """Return whether another step would do something."""
        if self._stopping:
            return True
        return self._may_start(now_ms) and any(self._life.ranking.next_job(c) for c in CLASS_ORDER)

    def sync_request(self, worker: str, wait_ms: float) -> SyncRequest | None:
        """Return the next request to a worker's agent, or ``None`` for an unknown worker."""
        link = self._life.links.get(worker)
        if link is None:
            return None
        return link.request(self._life.domain, self._life.epoch, wait_ms, self._command_of)

    def has_commands(self, worker: str) -> bool:
        """Return whether commands wait for a worker."""
        link = self._life.links.get(worker)
        return link is not None and link.has_commands()

    def snapshot(self) -> list[Any]:
        """Return records of the full current state."""
        accepting = [job for job, _ in self._accepting.values()]
        return list(snapshot([*self._life.jobs.values(), *accepting], self._life.epoch))

    # Jobs

    def _submit(self, event: Submit, now_ms: float) -> None:
        spec = event.spec
        job_id = submission.submitted_job_id(self._life.domain, spec.team, spec.submission_id)
        if job_id in self._life.jobs:
            self._life.outbox.add(Answer(event.request, job_id))
            return
        error = submission.refusal(spec, self._life.quotas, len(self._life.jobs))
        if error is not None:
            self._life.outbox.add(Answer(event.request, error=error))
            return
        self._accept(Job(job_id, spec, event.wall_ms, 0), event.request)

    def _accept(self, job: Job, request: int) -> None:
        waiting = self._accepting.get(job.job_id)
        if waiting is not None:
            waiting[1].append(request)
            return
        self._accepting[job.job_id] = (job, [request])

        def committed(now_ms: float) -> None:
            _, requests = self._accepting.pop(job.job_id)
            job.accepted_ms = now_ms
            self._life.add_job(job)
            self._life.outbox.decided("job_accepted", "submitted", job=job.job_id)
            for number in requests:
                self._life.outbox.add(Answer(number, job.job_id))

        def failed(now_ms: float, error: NutmegError) -> None:
            _, requests = self._accepting.pop(job.job_id)
            for number in requests:
                self._life.outbox.add(Answer(number, error=error))

        record = JobAccepted(job.job_id, job.spec, job.submitted_ms, job.ticket, job.service)
        self._life.outbox.write(record, committed, failed)

    def _cancel(self, event: Cancel) -> None:
        job = self._life.jobs.get(event.job_id)
        if job is None:
            error = NotFound(
                "The job is unknown", context={"job": event.job_id}, hint="List the jobs"
            )
            self._life.outbox.add(Answer(event.request, error=error))
        elif job.ended:
            self._life.outbox.add(Answer(event.request, job.job_id))
        else:
            self._write_cancel(job, event.request)

    def _write_cancel(self, job: Job, request: int) -> None:
        job.cancelling = True

        def committed(now_ms: float) -> None:
            if not job.ended:
                job.cancelled = True
                job.finished_ms = self._life.wall_offset_ms + now_ms
                self._life.outbox.decided("job_cancelled", "command", job=job.job_id)
                if job.live:
                    self._stopping.append((iter(list(job.live.values())), "job_cancelled"))
            self._life.outbox.add(Answer(request, job.job_id))

        def failed(now_ms: float, error: NutmegError) -> None:
            job.cancelling = False
            self._life.outbox.add(Answer(request, error=error))

        self._life.outbox.write(JobCancelled(job.job_id), committed, failed)

    def _stop_some(self) -> None:
        left = STOPS_PER_STEP
        while self._stopping and left:
            attempts, cause = self._stopping[-1]
            attempt = next(attempts, None)
            if attempt is None:
                self._stopping.pop()
                continue
            self._life.stop(attempt, cause)
            left -= 1

    # Placement

    def _may_start(self, now_ms: float) -> bool:
        if now_ms < self._life.journal_hold_until_ms:
            return False
        return self._life.outbox.open_batches < MAX_OPEN_BATCHES

    def _place_some(self, now_ms: float) -> None:
        left = PLACEMENTS_PER_STEP
        if not self._may_start(now_ms):
            return
        for job_class in CLASS_ORDER:
            while left > 0:
                found = self._life.ranking.next_job(job_class)
                if found is None:
                    break
                job, shape = self._life.jobs[found[0]], found[1]
                left -= self._place(job, shape, now_ms)

    def _place(self, job: Job, shape: Shape, now_ms: float) -> int:
        charged = job.spec.resources
        if not self._life.quotas.admits(job.spec.team, charged.scaled(shape.together)):
            self._life.ranking.set_over_quota(job.spec.job_class, job.spec.team, shape)
            return 1
        end_ms = now_ms + job.spec.run_ms
        policy = self._policy_of(job)
        score = self._score_of(job, policy)

        def choose() -> str | None:
            return self._life.engine.choose(
                charged,
                score,
                spread=policy is PlacementPolicy.SPREAD,
                job_id=job.job_id,
                end_ms=end_ms,
            )

        if not job.is_gang:
            worker = choose()
            workers = None if worker is None else [worker]
        else:
            workers = plan_members(self._life.ledger, choose, charged, shape.together)
        if workers is None:
            self._life.ranking.block(shape)
            return shape.together
        self._start_all(job, workers, now_ms)
        return shape.together

    def _start_all(self, job: Job, workers: list[str], now_ms: float) -> None:
        gang = len(workers) if job.is_gang else 0
        for worker in workers:
            attempt = self._life.start(job, worker, job.spec.resources, now_ms, gang=gang)
            attempt.expected_end_ms = now_ms + job.spec.run_ms
        ensure(
            not job.is_gang or len(job.live) == gang,
            GANG_WHOLE,
            "A gang was reserved in part",
            job=job.job_id,
        )

    def _policy_of(self, job: Job) -> PlacementPolicy:
        kind = job.spec.kind
        return self._config.policy.placement.get(kind, DEFAULT_PLACEMENT[kind])

    def _score_of(self, job: Job, policy: PlacementPolicy) -> Score:
        if policy is PlacementPolicy.PACK:
            return pack_score
        return spread_score(
            lambda worker: job.worker_tasks.get(worker, 0),
            lambda rack: job.rack_tasks.get(rack, 0),
        )

    # Workers

    def _command_of(self, attempt: Attempt) -> str:
        return self._life.jobs[attempt.key.job_id].spec.command

    def _workers_listed(self, event: WorkersListed, now_ms: float) -> None:
        names = {item.worker for item in event.workers}
        for item in event.workers:
            link = self._life.link(item.worker, now_ms)
            link.listed, link.leaving = True, item.leaving
            self._set_enabled(link)
        for worker, link in list(self._life.links.items()):
            if worker not in names:
                link.listed = False
                self._set_enabled(link)
                self._forget_unused(link)

    def _forget_unused(self, link: WorkerLink) -> None:
        if not link.listed and not link.attempts and not link.orphans:
            self._life.ledger.remove(link.worker)
            del self._life.links[link.worker]

    def _set_enabled(self, link: WorkerLink) -> None:
        wanted = link.listed and not link.leaving and link.resolved
        enabled = link.worker in self._life.engine.enabled()
        if wanted and not enabled and self._life.ledger.account(link.worker) is not None:
            self._life.engine.enable(link.worker)
            self._life.mark_freed(link.worker)
        elif enabled and not wanted:
            self._life.engine.disable(link.worker)

    def _synced(self, event: Synced, now_ms: float) -> None:
        link = self._life.links.get(event.worker)
        if link is None or event.response.epoch != self._life.epoch:
            return
        reports = link.receive(event.response, now_ms)
        if reports is None:
            return
        response = event.response
        capacity = response.capacity.resources()
        account = self._life.ledger.account(link.worker)
        if account is None or account.capacity != capacity or account.rack != response.rack:
            self._life.ledger.set_capacity(link.worker, capacity, response.rack)
            self._life.mark_freed(link.worker)
        if account is None:
            for attempt in link.attempts.values():
                self._life.adopt(self._life.jobs[attempt.key.job_id], attempt)
        self._apply_reports(link, reports, now_ms)
        self._set_enabled(link)

    def _apply_reports(self, link: WorkerLink, reports: Reports, now_ms: float) -> None:
        for attempt, finished in reports.ended:
            self._end(attempt, finished.outcome, now_ms, finished)
        for attempt in reports.vanished:
            self._end(attempt, LOST, now_ms)
        for attempt, phase in reports.admitted:
            self._admitted(attempt, phase, now_ms)
        self._apply_orphans(link, reports)
        for finished in reports.late:
            self._late(link, finished)

    def _end(
        self, attempt: Attempt, outcome: str, now_ms: float, report: FinishedTask | None = None
    ) -> None:
        self._life.end(self._life.jobs[attempt.key.job_id], attempt, outcome, now_ms, report)

    def _admitted(self, attempt: Attempt, phase: TaskPhase, now_ms: float) -> None:
        job = self._life.jobs[attempt.key.job_id]
        attempt.seen = True
        attempt.phase = Phase.HELD if phase is TaskPhase.HELD else Phase.RUNNING
        if attempt.phase is Phase.RUNNING:
            attempt.started_ms = now_ms
            # A member that runs shows that an earlier leader released the whole gang.
            for member in job.live.values():
                member.hold = False
        if job.is_gang:
            self._life.release_gang(job)

    def _apply_orphans(self, link: WorkerLink, reports: Reports) -> None:
        current = {task.attempt: task.size.resources() for task in reports.orphans}
        for name in [name for name in link.orphans if name not in current]:
            del link.orphans[name]
            self._life.ledger.release(link.worker, name)
            self._life.mark_freed(link.worker)
        for name, size in current.items():
            if name not in link.orphans:
                link.orphans[name] = size
                self._life.ledger.adopt(link.worker, name, size)
            link.stop[name] = None
            self._life.outbox.add(SendCommands(link.worker))

    def _late(self, link: WorkerLink, finished: FinishedTask) -> None:
        key = parse_attempt(finished.attempt)
        job = self._life.jobs.get(key.job_id) if key is not None else None
        open_task = (
            key is not None
            and job is not None
            and key.index < job.tasks
            and key.index not in job.completing
            and not job.is_done(key.index)
            and not job.is_service
        )
        if not open_task or finished.outcome is not TaskOutcome.SUCCEEDED:
            self._life.acknowledge(link.worker, finished.attempt)
            return
        assert key is not None and job is not None
        # The attempt succeeded before its lease expired, but the report comes after the task was
        # given up. The completion counts, and a replacement is stopped.
        self._life.complete_late(job, key, link.worker)

    def _attempt_ended(
        self, job: Job, attempt: Attempt, outcome: str, report: FinishedTask | None, now_ms: float
    ) -> None:
        failed_gang = job.is_gang and outcome != TaskOutcome.SUCCEEDED
        if failed_gang and job.live:
            self._stopping.append((iter(list(job.live.values())), "gang_member_ended"))

    # Time

    def _tick(self, now_ms: float) -> None:
        for link in list(self._life.links.values()):
            if now_ms >= link.expiry_ms and (link.attempts or link.resolved or link.orphans):
                self._leases_expired(link, now_ms)
            self._forget_unused(link)
        self._life.release_delayed(now_ms)
        self._life.write_postponed(now_ms)
        if now_ms >= self._next_gang_retry_ms:
            self._next_gang_retry_ms = now_ms + GANG_RETRY_MS

    def _leases_expired(self, link: WorkerLink, now_ms: float) -> None:
        self._life.outbox.decided(
            "worker_lost", "leases expired", worker=link.worker, tasks=len(link.attempts)
        )
        link.resolved = False
        self._set_enabled(link)
        for attempt in list(link.attempts.values()):
            if attempt.phase is not Phase.RESERVED:
                self._end(attempt, LOST, now_ms)
        for name in list(link.orphans):
            del link.orphans[name]
            self._life.ledger.release(link.worker, name)
        link.stop.clear()
        link.checkpoint.clear()

    def _configured(self, config: Config, now_ms: float) -> None:
        self._config = config
        self._life.quotas.configure(config)

"""Task scheduler of a failure domain. Applies events and returns effects, without any I/O."""

import random
from collections.abc import Iterable
from typing import Any

from nutmeglb_decisions.tasks.dispatch import PLACEMENTS_PER_STEP, Dispatcher
from nutmeglb_decisions.tasks.estimates import Estimates
from nutmeglb_decisions.tasks.events import (
    Cancel,
    CommitFailed,
    Committed,
    Configured,
    Effect,
    Event,
    Submit,
    Synced,
    Tick,
    Unreachable,
    WorkersListed,
)
from nutmeglb_decisions.tasks.jobs import JobCommands
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.outcome_tracker import OutcomeTracker, job_key
from nutmeglb_decisions.tasks.preemptor import Preemptor
from nutmeglb_decisions.tasks.quarantine import Quarantine
from nutmeglb_decisions.tasks.recovery import recover, snapshot
from nutmeglb_decisions.tasks.state import Attempt, Job
from nutmeglb_decisions.tasks.worker_tracker import WorkerTracker
from nutmeglb_formats.models.agent import FinishedTask, SyncRequest, TaskOutcome
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.resources import Resources

STOPS_PER_STEP = 200
CLEANUP_INTERVAL_MS = 1_000.0


class Scheduler:
    """Decides where and when the tasks of a failure domain run. Only its leader has one.

    Parameters
    ----------
    domain, epoch
        Failure domain and leadership epoch.
    config
        Configuration in force.
    records
        Records of the journal, in order.
    lease_ms, margin_ms
        Duration of task leases, and allowance for clock differences, in milliseconds.
    now_ms, wall_ms
        Monotonic and wall-clock time in milliseconds.
    rng
        Source of jitter and random samples.
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
        self._estimates = Estimates()
        self._lifecycle = Lifecycle(
            domain, epoch, lease_ms, margin_ms, self._attempt_ended, self._expected_size
        )
        self._lifecycle.wall_offset_ms = wall_ms - now_ms
        self._lifecycle.capacity.quotas.configure(config)
        self._lifecycle.reclaim = config.policy.reclaim
        self._quarantine = Quarantine(rng)
        self._worker_tracker = WorkerTracker(self._lifecycle, self._quarantine)
        self._outcomes = OutcomeTracker(
            self._lifecycle,
            self._estimates,
            self._quarantine,
            self._worker_tracker.update_availability,
        )
        self._preemptor = Preemptor(self._lifecycle, config, rng)
        self._dispatcher = Dispatcher(
            self._lifecycle, config, self._estimates, self._outcomes, self._preemptor, rng
        )
        self._job_commands = JobCommands(self._lifecycle, config)
        self._next_cleanup_ms = now_ms
        recover(self._lifecycle, records, now_ms)

    @property
    def lifecycle(self) -> Lifecycle:
        """Return jobs, workers and accounts, for read access."""
        return self._lifecycle

    @property
    def estimates(self) -> Estimates:
        """Return the estimates of size and run time, for read access."""
        return self._estimates

    @property
    def preemptions(self) -> int:
        """Return the number of tasks that were preempted so far."""
        return self._preemptor.preemptions

    # Events

    def handle(self, event: Event, now_ms: float) -> list[Effect]:
        """Apply one event and return its effects."""
        match event:
            case Submit():
                self._job_commands.submit(event)
            case Cancel():
                self._job_commands.cancel(event)
            case Committed(batch):
                self._lifecycle.outbox.committed(batch, now_ms)
            case CommitFailed(batch, error):
                self._lifecycle.outbox.failed(batch, now_ms, error)
            case WorkersListed():
                self._worker_tracker.apply_list(event, now_ms)
            case Synced(worker, response):
                self._worker_tracker.apply_response(event, now_ms)
                if response.usage:
                    self._preemptor.reduce_overuse(worker, now_ms)
            case Unreachable(worker):
                self._worker_tracker.unreachable(worker, now_ms)
            case Configured(config, wall_ms):
                self._apply_config(config, wall_ms)
            case Tick():
                self._tick(now_ms)
        return self._lifecycle.outbox.flush()

    def step(self, now_ms: float, placements: int = PLACEMENTS_PER_STEP) -> list[Effect]:
        """Do a bounded amount of pending work: stops first, then at most ``placements``."""
        self._lifecycle.stop_pending(STOPS_PER_STEP)
        self._lifecycle.capacity.unblock_freed()
        self._dispatcher.place_tasks(now_ms, placements)
        return self._lifecycle.outbox.flush()

    def _apply_config(self, config: Config, wall_ms: float) -> None:
        self._lifecycle.capacity.quotas.configure(config)
        self._lifecycle.capacity.update_shares()
        self._dispatcher.configure(config)
        self._preemptor.configure(config)
        self._lifecycle.reclaim = config.policy.reclaim
        self._job_commands.configure(config, wall_ms)

    def _tick(self, now_ms: float) -> None:
        self._worker_tracker.tick(now_ms)
        self._lifecycle.release_delayed(now_ms)
        self._lifecycle.retry_failed_writes(now_ms)
        self._outcomes.tick(now_ms)
        self._dispatcher.tick(now_ms)
        if now_ms >= self._next_cleanup_ms:
            self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
            self._job_commands.remove_expired(now_ms)
            if now_ms >= self._lifecycle.journal_backoff_until_ms:
                self._job_commands.retry_reconcile(self._lifecycle.wall_offset_ms + now_ms)

    def _expected_size(self, job: Job) -> Resources:
        return self._estimates.size(job_key(job), job.spec.resources)

    def _attempt_ended(
        self, job: Job, attempt: Attempt, outcome: str, report: FinishedTask | None, now_ms: float
    ) -> None:
        self._outcomes.ended(job, attempt, outcome, report, now_ms)
        if job.is_gang and outcome != TaskOutcome.SUCCEEDED:
            self._lifecycle.schedule_stops(list(job.live.values()), "gang_member_ended")

    # Queries

    def has_work(self, now_ms: float) -> bool:
        """Return whether there is pending work for ``step``."""
        return (
            self._lifecycle.has_pending_stops()
            or self._lifecycle.capacity.has_freed_workers()
            or self._dispatcher.has_work(now_ms)
        )

    def sync_request(self, worker: str, wait_ms: float) -> SyncRequest | None:
        """Return the next sync request to a worker's agent, or ``None`` for an unknown worker."""
        link = self._lifecycle.links.get(worker)
        if link is None:
            return None
        return link.request(
            self._lifecycle.domain, self._lifecycle.epoch, wait_ms, self._command_of
        )

    def snapshot(self) -> list[Any]:
        """Return journal records of the full current state."""
        jobs = [*self._lifecycle.jobs.values(), *self._job_commands.pending_jobs()]
        return list(snapshot(jobs, self._lifecycle.epoch))

    def _command_of(self, attempt: Attempt) -> str:
        return self._lifecycle.jobs[attempt.key.job_id].spec.command

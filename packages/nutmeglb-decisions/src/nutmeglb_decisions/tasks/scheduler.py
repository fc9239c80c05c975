"""Task scheduler of a failure domain: events and time in, effects out."""

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
from nutmeglb_decisions.tasks.history import History, job_key
from nutmeglb_decisions.tasks.jobs import JobCommands
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.quarantine import Quarantine
from nutmeglb_decisions.tasks.reports import WorkerReports
from nutmeglb_decisions.tasks.room import RoomMaker
from nutmeglb_decisions.tasks.state import Attempt, Job
from nutmeglb_decisions.tasks.takeover import recover, snapshot
from nutmeglb_formats.models.agent import FinishedTask, SyncRequest, TaskOutcome
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.resources import Resources

STOPS_PER_STEP = 200
FORGET_INTERVAL_MS = 1_000.0


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
    rng
        Source of jitter and samples.
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
        self._life = Lifecycle(
            domain, epoch, lease_ms, margin_ms, self._attempt_ended, self._size_of
        )
        self._life.wall_offset_ms = wall_ms - now_ms
        self._life.capacity.quotas.configure(config)
        self._life.reclaim = config.policy.reclaim
        self._quarantine = Quarantine(rng)
        self._reports = WorkerReports(self._life, self._quarantine)
        self._history = History(
            self._life, self._estimates, self._quarantine, self._reports.update_availability
        )
        self._room = RoomMaker(self._life, config, rng)
        self._dispatch = Dispatcher(
            self._life, config, self._estimates, self._history, self._room, rng
        )
        self._jobs = JobCommands(self._life, config)
        self._next_forget_ms = now_ms
        recover(self._life, records, now_ms)

    @property
    def life(self) -> Lifecycle:
        """Return the jobs, workers and accounts, for queries."""
        return self._life

    @property
    def estimates(self) -> Estimates:
        """Return the estimates, for queries."""
        return self._estimates

    @property
    def preemptions(self) -> int:
        """Return the number of preempted tasks."""
        return self._room.preemptions

    # Commands

    def handle(self, event: Event, now_ms: float) -> list[Effect]:
        """Apply one event and return its effects."""
        match event:
            case Submit():
                self._jobs.submit(event)
            case Cancel():
                self._jobs.cancel(event)
            case Committed(batch):
                self._life.outbox.committed(batch, now_ms)
            case CommitFailed(batch, error):
                self._life.outbox.failed(batch, now_ms, error)
            case WorkersListed():
                self._reports.listed(event, now_ms)
            case Synced(worker, response):
                self._reports.synced(event, now_ms)
                if response.usage:
                    self._room.relieve(worker, now_ms)
            case Unreachable(worker):
                self._reports.unreachable(worker, now_ms)
            case Configured(config, wall_ms):
                self._configured(config, wall_ms)
            case Tick():
                self._tick(now_ms)
        return self._life.outbox.flush()

    def step(self, now_ms: float, placements: int = PLACEMENTS_PER_STEP) -> list[Effect]:
        """Do a bounded amount of waiting work: stops first, then at most ``placements``."""
        self._life.stop_some(STOPS_PER_STEP)
        self._life.capacity.unblock_freed()
        self._dispatch.place_some(now_ms, placements)
        return self._life.outbox.flush()

    def _configured(self, config: Config, wall_ms: float) -> None:
        self._life.capacity.quotas.configure(config)
        self._life.capacity.limits_changed()
        self._dispatch.configure(config)
        self._room.configure(config)
        self._life.reclaim = config.policy.reclaim
        self._jobs.configure(config, wall_ms)

    def _tick(self, now_ms: float) -> None:
        self._reports.tick(now_ms)
        self._life.release_delayed(now_ms)
        self._life.write_postponed(now_ms)
        self._history.tick(now_ms)
        self._dispatch.tick(now_ms)
        if now_ms >= self._next_forget_ms:
            self._next_forget_ms = now_ms + FORGET_INTERVAL_MS
            self._jobs.forget_old(now_ms)
            if now_ms >= self._life.journal_hold_until_ms:
                self._jobs.retry(self._life.wall_offset_ms + now_ms)

    def _size_of(self, job: Job) -> Resources:
        return self._estimates.size(job_key(job), job.spec.resources)

    def _attempt_ended(
        self, job: Job, attempt: Attempt, outcome: str, report: FinishedTask | None, now_ms: float
    ) -> None:
        self._history.ended(job, attempt, outcome, report, now_ms)
        if job.is_gang and outcome != TaskOutcome.SUCCEEDED:
            self._life.stop_later(list(job.live.values()), "gang_member_ended")

    # Queries

    def has_work(self, now_ms: float) -> bool:
        """Return whether another step would do something."""
        return (
            self._life.has_stops()
            or self._life.capacity.has_freed()
            or self._dispatch.has_work(now_ms)
        )

    def sync_request(self, worker: str, wait_ms: float) -> SyncRequest | None:
        """Return the next request to a worker's agent, or ``None`` for an unknown worker."""
        link = self._life.links.get(worker)
        if link is None:
            return None
        return link.request(self._life.domain, self._life.epoch, wait_ms, self._command_of)

    def snapshot(self) -> list[Any]:
        """Return records of the full current state."""
        jobs = [*self._life.jobs.values(), *self._jobs.accepting()]
        return list(snapshot(jobs, self._life.epoch))

    def _command_of(self, attempt: Attempt) -> str:
        return self._life.jobs[attempt.key.job_id].spec.command

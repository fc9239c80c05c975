"""Preempts deferred tasks for urgent ones, and reduces measured use above a worker's capacity."""

import random
from collections.abc import Callable

from nutmeglb_decisions.tasks.events import SendCommands
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.placement import Reservation
from nutmeglb_decisions.tasks.preemption import (
    CHECKPOINT_TIMEOUT_MS,
    PreemptionBudget,
    choose_quota_victims,
    choose_victims,
    sample_workers,
)
from nutmeglb_decisions.tasks.ranking import Shape
from nutmeglb_decisions.tasks.state import Attempt, Job, Phase
from nutmeglb_formats.models.config import Config, JobKind, RequestClass

PREEMPTION_CHECK_INTERVAL_MS = 50.0
# Delay before preempting for an urgent task, so that no budget is spent if tasks that end by
# themselves free enough capacity. With two journal commits and a checkpoint, the total stays within
# the 1.1 s of section 1.3 of the design page.
PREEMPT_AFTER_MS = 300.0
PREEMPTED = "preempted"
ChooseVictims = Callable[[Job, Shape, int, float], list[Attempt]]


class Preemptor:
    """Chooses deferred tasks and checkpoints, throttles or stops them."""

    def __init__(self, lifecycle: Lifecycle, config: Config, rng: random.Random) -> None:
        self._lifecycle = lifecycle
        self._config = config
        self._rng = rng
        self._budget = PreemptionBudget()
        self._preempted: dict[str, tuple[Attempt, float]] = {}
        self._reserved_workers: dict[str, tuple[str, float]] = {}
        self._next_check_ms = 0.0
        self.preemptions = 0

    def configure(self, config: Config) -> None:
        """Apply the policy of a new configuration."""
        self._config = config

    def tick(self, now_ms: float) -> None:
        """Preempt for waiting urgent tasks, and stop tasks whose checkpoint takes too long."""
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + PREEMPTION_CHECK_INTERVAL_MS
            self._expire_reservations(now_ms)
            self._stop_overdue_checkpoints(now_ms)
            self._preempt(now_ms)

    def release_reservation(self, job: Job) -> None:
        """Release the resources that are reserved for a job, if any."""
        reserved = self._reserved_workers.pop(job.job_id, None)
        if reserved is not None:
            self._lifecycle.capacity.engine.reservations.pop(reserved[0], None)
            self._lifecycle.capacity.mark_freed(reserved[0])

    def _reserve_freed_capacity(self, job: Job, shape: Shape, worker: str, now_ms: float) -> None:
        """Reserve resources on a worker until the job starts or ``CHECKPOINT_TIMEOUT_MS`` passes.

        Otherwise deferred tasks would take what the first victim frees before the last one ends.
        """
        reservations = self._lifecycle.capacity.engine.reservations
        if worker in reservations or job.job_id in self._reserved_workers:
            return
        reservations[worker] = Reservation(job.job_id, shape.resources, now_ms)
        self._reserved_workers[job.job_id] = (worker, now_ms + CHECKPOINT_TIMEOUT_MS)

    def _expire_reservations(self, now_ms: float) -> None:
        for job_id, (_, expires_at_ms) in list(self._reserved_workers.items()):
            if now_ms >= expires_at_ms:
                self.release_reservation(self._lifecycle.jobs[job_id])

    def _preempt(self, now_ms: float) -> None:
        """Preempt for urgent tasks that lack free capacity or quota of their own team."""
        ranking = self._lifecycle.capacity.ranking
        remaining = self._budget.remaining(self._config.policy.preemptions_per_minute, now_ms)
        if not remaining:
            return
        for _, job_id, shape in ranking.oldest_blocked(RequestClass.URGENT):
            remaining -= self._preempt_for(job_id, shape, remaining, now_ms, self._worker_victims)
        for _, job_id, shape in ranking.over_quota(RequestClass.URGENT):
            remaining -= self._preempt_for(job_id, shape, remaining, now_ms, self._quota_victims)

    def _preempt_for(
        self, job_id: str, shape: Shape, limit: int, now_ms: float, choose: ChooseVictims
    ) -> int:
        job = self._lifecycle.jobs[job_id]
        waits = shape.gang_size == 1 and job.waiting and now_ms >= job.next_preemption_ms
        if limit <= 0 or not waits or now_ms - job.accepted_ms < PREEMPT_AFTER_MS:
            return 0
        victims = choose(job, shape, limit, now_ms)
        for victim in victims:
            self._checkpoint(victim, PREEMPTED, now_ms)
            self._budget.spend(now_ms)
            self.preemptions += 1
        if victims:
            self._reserve_freed_capacity(job, shape, victims[0].worker, now_ms)
            # The victims may need the whole timeout to end. On average each waiting task of the job
            # gets victims once in this time.
            job.next_preemption_ms = now_ms + CHECKPOINT_TIMEOUT_MS / max(1, job.waiting)
        return len(victims)

    def _worker_victims(self, job: Job, shape: Shape, limit: int, now_ms: float) -> list[Attempt]:
        if not self._lifecycle.capacity.quotas.admits(job.spec.team, shape.resources):
            return []
        accounts = self._lifecycle.capacity.ledger.accounts()
        names = sample_workers(list(self._lifecycle.capacity.engine.enabled()), self._rng)
        workers = [(accounts[name], self._lifecycle.links[name]) for name in names]
        return choose_victims(shape.resources, workers, self._is_preemptible, limit, now_ms)

    def _quota_victims(self, job: Job, shape: Shape, limit: int, now_ms: float) -> list[Attempt]:
        quotas = self._lifecycle.capacity.quotas
        team_limit = quotas.limit(job.spec.team)
        if team_limit is None or not shape.resources.fits_in(team_limit):
            return []
        missing = quotas.used(job.spec.team) + shape.resources - team_limit
        attempts = self._lifecycle.team_attempts.get(job.spec.team, {}).values()
        return choose_quota_victims(missing, attempts, self._is_preemptible, limit)

    def _is_preemptible(self, attempt: Attempt) -> bool:
        spec = self._lifecycle.jobs[attempt.key.job_id].spec
        deferred = spec.job_class is RequestClass.DEFERRED and spec.kind is JobKind.BATCH
        return deferred and spec.preemptible

    def _checkpoint(self, attempt: Attempt, cause: str, now_ms: float) -> None:
        attempt.stop_cause = cause
        self._lifecycle.links[attempt.worker].checkpoint[attempt.name] = None
        self._preempted[attempt.name] = (attempt, now_ms + CHECKPOINT_TIMEOUT_MS)
        self._lifecycle.outbox.add(SendCommands(attempt.worker))
        self._lifecycle.outbox.log_decision(
            "task_preempted", cause, task=attempt.name, worker=attempt.worker
        )

    def _stop_overdue_checkpoints(self, now_ms: float) -> None:
        for name, (attempt, deadline_ms) in list(self._preempted.items()):
            link = self._lifecycle.links.get(attempt.worker)
            if link is None or link.attempts.get(name) is not attempt:
                del self._preempted[name]
            elif now_ms >= deadline_ms:
                del self._preempted[name]
                link.stop[name] = None
                self._lifecycle.outbox.add(SendCommands(attempt.worker))

    # Overuse of reclaimed resources

    def reduce_overuse(self, worker: str, now_ms: float) -> None:
        """Throttle, then checkpoint tasks while measured use exceeds a worker's capacity."""
        account = self._lifecycle.capacity.ledger.account(worker)
        link = self._lifecycle.links.get(worker)
        if account is None or link is None or not self._config.policy.reclaim:
            return
        running = [a for a in link.attempts.values() if a.phase is Phase.RUNNING]
        cpu = sum(a.used_cpu for a in running) - account.capacity.cpu_millis
        memory = sum(a.used_memory for a in running) - account.capacity.memory_bytes
        if cpu <= 0 and memory <= 0:
            return
        overusing = [a for a in running if self._exceeds_charge(a)]
        for attempt in sorted(overusing, key=lambda a: a.started_ms, reverse=True):
            if cpu > 0 and not attempt.throttled and not attempt.stop_cause:
                attempt.throttled = True
                link.throttle[attempt.name] = attempt.charged.cpu_millis
                cpu -= attempt.used_cpu - attempt.charged.cpu_millis
            elif (memory > 0 or cpu > 0) and not attempt.stop_cause:
                cpu -= attempt.used_cpu
                memory -= attempt.used_memory
                self._checkpoint(attempt, "reclaimed", now_ms)
        self._lifecycle.outbox.add(SendCommands(worker))

    def _exceeds_charge(self, attempt: Attempt) -> bool:
        over_cpu = attempt.used_cpu > attempt.charged.cpu_millis
        over_memory = attempt.used_memory > attempt.charged.memory_bytes
        return (over_cpu or over_memory) and self._is_preemptible(attempt)

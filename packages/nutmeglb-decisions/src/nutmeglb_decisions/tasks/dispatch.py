"""Places waiting tasks in bounded steps and holds workers for gangs and large tasks."""

import random
from collections.abc import Callable

from nutmeglb_decisions.invariants import GANG_WHOLE, require
from nutmeglb_decisions.tasks.estimates import Estimates
from nutmeglb_decisions.tasks.gangs import (
    MAX_HOLD_FACTOR,
    Hold,
    fits_now,
    fits_when_empty,
    plan_hold,
    plan_members,
)
from nutmeglb_decisions.tasks.ledger import Account
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.outcome_tracker import OutcomeTracker, job_key
from nutmeglb_decisions.tasks.placement import Score, pack_score, spread_score
from nutmeglb_decisions.tasks.preemptor import Preemptor
from nutmeglb_decisions.tasks.ranking import CLASS_ORDER, Shape
from nutmeglb_decisions.tasks.state import Attempt, Job
from nutmeglb_formats.models.config import Config, JobKind, PlacementPolicy, RequestClass
from nutmeglb_formats.models.resources import Resources

# One placement takes about 100 microseconds, so a step stays within a few milliseconds.
PLACEMENTS_PER_STEP = 32
# Limit on records whose append has no outcome yet. Without it, starts would allocate resources
# without bound while the store is slow.
MAX_OPEN_RECORDS = 2_000
# No workers are held for a job that has waited for less than this.
MIN_WAIT_BEFORE_HOLD_MS = 2_000.0
HOLD_CHECK_INTERVAL_MS = 200.0
# Workers are held only for gangs and for tasks of at least this share of the largest worker.
LARGE_TASK_SHARE = 0.25
QUOTA_BARRIER_AFTER_MS = 10_000.0
# Bounds the time of one check of the blocked gangs.
GANGS_PER_CHECK = 8
GANG_CHECK_INTERVAL_MS = 100.0
HOLD_CANDIDATES_PER_CHECK = 8
DEFAULT_PLACEMENT = {
    JobKind.SERVICE: PlacementPolicy.SPREAD,
    JobKind.BATCH: PlacementPolicy.PACK,
    JobKind.GANG: PlacementPolicy.PACK,
}


class Dispatcher:
    """Chooses the next waiting task and a worker for it."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        config: Config,
        estimates: Estimates,
        outcomes: OutcomeTracker,
        room: Preemptor,
        rng: random.Random,
    ) -> None:
        self._lifecycle = lifecycle
        self._config = config
        self._estimates = estimates
        self._outcomes = outcomes
        self._rng = rng
        self._hold: Hold | None = None
        self._next_hold_check_ms = 0.0
        self._next_gang_check_ms = 0.0
        self._gang_offset = 0
        self._preemptor = room

    def configure(self, config: Config) -> None:
        """Apply the policy of a new configuration."""
        self._config = config

    def may_start(self, now_ms: float) -> bool:
        """Return whether the journal can accept records of further starts."""
        if now_ms < self._lifecycle.journal_backoff_until_ms:
            return False
        return self._lifecycle.outbox.open_records < MAX_OPEN_RECORDS

    def has_work(self, now_ms: float) -> bool:
        """Return whether a further step could place a task or remove jobs from the ranking."""
        ranking = self._lifecycle.capacity.ranking
        if not self.may_start(now_ms):
            return False
        return any(ranking.next_job(name) or ranking.has_pending_removals for name in CLASS_ORDER)

    # Placement

    def place_tasks(self, now_ms: float, limit: int) -> None:
        """Place about ``limit`` tasks in ranking order. A gang is never split and may exceed it."""
        remaining = limit
        if not self.may_start(now_ms):
            return
        for job_class in CLASS_ORDER:
            while remaining > 0:
                candidate = self._lifecycle.capacity.ranking.next_job(job_class)
                if candidate is None:
                    break
                remaining -= self._place(self._lifecycle.jobs[candidate[0]], candidate[1], now_ms)

    def _place(self, job: Job, shape: Shape, now_ms: float) -> int:
        """Place a task or a whole gang. Return its cost against the limit, at least 1."""
        spec = job.spec
        if not self._lifecycle.capacity.quotas.admits(
            spec.team, shape.resources.scaled(shape.gang_size)
        ):
            self._skip_over_quota(job, shape, now_ms)
            return 1
        workers = self._find_workers(job, shape, now_ms)
        if workers is None:
            accounts = self._lifecycle.capacity.ledger.accounts().values()
            infeasible = not fits_when_empty(shape.resources, accounts, shape.gang_size)
            self._lifecycle.capacity.ranking.block(shape, infeasible=infeasible)
            return 1
        self._start_all(job, shape, workers, now_ms)
        return len(workers)

    def _find_workers(self, job: Job, shape: Shape, now_ms: float) -> list[str] | None:
        """Return a worker for the next task, or for every member of a gang."""
        if shape.gang_size > 1:
            return self._choose_members(job, shape, now_ms)
        worker = self._choose_worker(job, shape, now_ms)
        return None if worker is None else [worker]

    def _skip_over_quota(self, job: Job, shape: Shape, now_ms: float) -> None:
        limit = self._lifecycle.capacity.quotas.limit(job.spec.team)
        is_feasible = limit is not None and shape.resources.scaled(shape.gang_size).fits_in(limit)
        has_waited_long = now_ms - job.accepted_ms >= QUOTA_BARRIER_AFTER_MS
        self._lifecycle.capacity.ranking.set_over_quota(
            job.spec.job_class,
            job.spec.team,
            shape,
            barrier=job.sequence if is_feasible and has_waited_long else None,
        )

    def _choose_members(self, job: Job, shape: Shape, now_ms: float) -> list[str] | None:
        accounts = self._lifecycle.capacity.ledger.accounts()
        enabled = (accounts[worker] for worker in self._lifecycle.capacity.engine.enabled())
        if not fits_now(shape.resources, enabled, shape.gang_size):
            return None
        return plan_members(
            self._lifecycle.capacity.ledger,
            lambda: self._choose_worker(job, shape, now_ms),
            shape.resources,
            shape.gang_size,
        )

    def _choose_worker(self, job: Job, shape: Shape, now_ms: float) -> str | None:
        policy = self._placement_policy(job)
        end_ms = now_ms + self._estimates.run_ms(job_key(job), job.spec.run_ms)
        if job.spec.job_class is RequestClass.URGENT:
            # Urgent tasks may use reserved resources, so they never wait for a deferred gang.
            end_ms = now_ms
        score = self._score_function(job, policy)

        def choose(accept: Callable[[Account], bool] | None) -> str | None:
            return self._lifecycle.capacity.engine.choose(
                shape.resources,
                score,
                spread=policy is PlacementPolicy.SPREAD,
                job_id=job.job_id,
                end_ms=end_ms,
                accept=accept,
            )

        if job.failed_workers:
            worker = choose(lambda account: account.worker not in job.failed_workers)
            if worker is not None:
                return worker
        return choose(None)

    def _start_all(self, job: Job, shape: Shape, workers: list[str], now_ms: float) -> None:
        gang = len(workers) if job.is_gang else 0
        require(
            not job.is_gang or gang == job.waiting,
            GANG_WHOLE,
            "Another number of tasks than the gang's incomplete ones would start",
            job=job.job_id,
        )
        run_ms = self._estimates.run_ms(job_key(job), job.spec.run_ms)
        for worker in workers:
            attempt = self._lifecycle.start(job, worker, shape.resources, now_ms, gang=gang)
            attempt.expected_end_ms = now_ms + run_ms
            self._outcomes.record_placement(attempt, now_ms)
        require(
            not job.is_gang or len(job.live) == gang,
            GANG_WHOLE,
            "Resources were allocated for only part of a gang",
            job=job.job_id,
        )
        if gang:
            self._lifecycle.assembly_deadlines_ms[job.job_id] = (
                now_ms + self._config.policy.gang_hold_ms
            )
        self._preemptor.release_reservation(job)
        if self._hold is not None and self._hold.job_id == job.job_id:
            self._end_hold()

    def _placement_policy(self, job: Job) -> PlacementPolicy:
        kind = job.spec.kind
        return self._config.policy.placement.get(kind, DEFAULT_PLACEMENT[kind])

    def _score_function(self, job: Job, policy: PlacementPolicy) -> Score:
        if policy is PlacementPolicy.PACK:
            return pack_score
        return spread_score(
            lambda worker: job.worker_tasks.get(worker, 0),
            lambda rack: job.rack_tasks.get(rack, 0),
        )

    # Time

    def tick(self, now_ms: float) -> None:
        """Run the periodic checks of holds, gang assembly, blocked gangs and preemption."""
        if now_ms >= self._next_hold_check_ms:
            self._next_hold_check_ms = now_ms + HOLD_CHECK_INTERVAL_MS
            self._check_hold(now_ms)
            self._check_gang_assembly(now_ms)
        if now_ms >= self._next_gang_check_ms:
            self._next_gang_check_ms = now_ms + GANG_CHECK_INTERVAL_MS
            self._unblock_gangs()
        self._preemptor.tick(now_ms)

    # Holds

    def _unblock_gangs(self) -> None:
        """Unblock the next few gangs, in rotation, after resources were freed."""
        if not self._lifecycle.capacity.take_gangs_may_fit():
            return
        ranking = self._lifecycle.capacity.ranking
        gangs = [shape for shape in ranking.blocked() if shape.gang_size > 1]
        for number in range(min(GANGS_PER_CHECK, len(gangs))):
            ranking.unblock(gangs[(self._gang_offset + number) % len(gangs)])
        self._gang_offset += GANGS_PER_CHECK

    def _end_hold(self) -> None:
        reservations = self._lifecycle.capacity.engine.reservations
        for worker in [
            name
            for name, reservation in reservations.items()
            if reservation.job_id in self._lifecycle.jobs_with_hold
        ]:
            del reservations[worker]
        self._hold = None
        self._lifecycle.jobs_with_hold.clear()
        # Tasks that the reservations excluded may fit now.
        for worker in self._lifecycle.capacity.engine.enabled():
            self._lifecycle.capacity.mark_freed(worker)

    def _check_hold(self, now_ms: float) -> None:
        if self._hold is not None:
            job = self._lifecycle.jobs.get(self._hold.job_id)
            if job is not None and job.waiting and job.queued and now_ms < self._hold.expires_at_ms:
                self._place_held(job, now_ms)
                return
            self._end_hold()
        waiting: list[tuple[int, int, str, Shape]] = []
        largest_capacity = self._largest_worker()
        for job_class in CLASS_ORDER:
            for sequence, job_id, shape in self._lifecycle.capacity.ranking.oldest_blocked(
                job_class
            ):
                is_large = shape.resources.dominant_share(largest_capacity) >= LARGE_TASK_SHARE
                if shape.gang_size > 1 or is_large:
                    hold_count = self._lifecycle.jobs[job_id].hold_count
                    waiting.append((hold_count, sequence, job_id, shape))
        waiting.sort(key=lambda item: item[:2])
        for _, _, job_id, shape in waiting[:HOLD_CANDIDATES_PER_CHECK]:
            if self._begin_hold(self._lifecycle.jobs[job_id], shape, now_ms):
                return

    def _place_held(self, job: Job, now_ms: float) -> None:
        """Place the job that has the hold, ahead of other jobs of the same shape."""
        shape = job.shape
        needed = shape.resources.scaled(shape.gang_size)
        if not self.may_start(now_ms) or job.not_before_ms or not job.is_placeable:
            return
        if self._lifecycle.capacity.quotas.admits(job.spec.team, needed):
            workers = self._find_workers(job, shape, now_ms)
            if workers is not None:
                self._start_all(job, shape, workers, now_ms)

    def _largest_worker(self) -> Resources:
        accounts = self._lifecycle.capacity.ledger.accounts().values()
        return max((a.capacity for a in accounts), key=lambda c: c.cpu_millis, default=Resources())

    def _begin_hold(self, job: Job, shape: Shape, now_ms: float) -> bool:
        if not job.is_placeable or shape is not job.shape:
            return False
        if now_ms - job.accepted_ms < MIN_WAIT_BEFORE_HOLD_MS:
            return False
        if not self._lifecycle.capacity.quotas.admits(
            job.spec.team, shape.resources.scaled(shape.gang_size)
        ):
            return False
        accounts = self._lifecycle.capacity.ledger.accounts()
        workers = [
            (accounts[worker], self._finite_attempts(worker))
            for worker in self._lifecycle.capacity.engine.enabled()
        ]
        reservations = plan_hold(
            job.job_id, shape.resources, shape.gang_size, workers, now_ms, self._rng
        )
        if not reservations:
            return False
        factor = min(2**job.hold_count, MAX_HOLD_FACTOR)
        job.hold_count += 1
        self._hold = Hold(job.job_id, now_ms + self._config.policy.gang_hold_ms * factor)
        self._lifecycle.jobs_with_hold.add(job.job_id)
        self._lifecycle.capacity.engine.reservations.update(reservations)
        self._lifecycle.outbox.log_decision(
            "workers_held", "longest-waiting job", job=job.job_id, workers=len(reservations)
        )
        return True

    def _finite_attempts(self, worker: str) -> list[Attempt]:
        jobs = self._lifecycle.jobs
        attempts = self._lifecycle.links[worker].attempts.values()
        return [item for item in attempts if not jobs[item.key.job_id].is_service]

    def _check_gang_assembly(self, now_ms: float) -> None:
        for job_id, deadline_ms in list(self._lifecycle.assembly_deadlines_ms.items()):
            job = self._lifecycle.jobs.get(job_id)
            held = job is not None and any(member.hold for member in job.live.values())
            if job is None or not held:
                del self._lifecycle.assembly_deadlines_ms[job_id]
            elif now_ms >= deadline_ms:
                del self._lifecycle.assembly_deadlines_ms[job_id]
                self._lifecycle.schedule_stops(list(job.live.values()), "gang_not_assembled")

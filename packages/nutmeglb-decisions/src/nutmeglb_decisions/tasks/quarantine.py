"""Quarantine of workers on which tasks fail, and detection of jobs that fail everywhere.

A failure is attributed to the worker to the extent that the job succeeds on other workers, and to
the job to the extent that it fails there as well.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from nutmeglb_decisions.tasks.estimates import JobKey

# A task that runs longer than this has started successfully, so a later failure is not attributed
# to its worker.
EARLY_FAILURE_MS = 5_000.0
# Sum of failure weights. A failure of a job that never fails on other workers weighs nearly 1.
QUARANTINE_SCORE = 2.5
# Limit on the score that one job adds to a worker, until it was started at least
# ``MIN_EVIDENCE_STARTS`` times on other workers.
MAX_WEIGHT_WITHOUT_EVIDENCE = 1.0
MIN_EVIDENCE_STARTS = 3
SCORE_FACTOR_ON_SUCCESS = 0.5
FIRST_PROBE_DELAY_MS = 10_000.0
MAX_PROBE_DELAY_MS = 600_000.0
# A job that fails on this many workers without a success in between is considered faulty itself.
JOB_FAILING_WORKERS = 3
FIRST_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 300_000.0
# A fault on most workers at once has an external cause, and the other workers must stay usable.
MAX_QUARANTINED_SHARE = 0.3
MAX_JOB_NAMES = 5_000


@dataclass(slots=True)
class _WorkerState:
    score: float = 0.0
    quarantined: bool = False
    probe_allowed: bool = False
    next_probe_ms: float = 0.0
    delay_ms: float = FIRST_PROBE_DELAY_MS
    score_by_job: dict[JobKey, float] = field(default_factory=dict)


@dataclass(slots=True)
class _JobOutcomes:
    """Outcomes of a job name: ``[early failures, starts]`` per worker, and totals."""

    per_worker: dict[str, list[int]] = field(default_factory=dict)
    failures: int = 0
    starts: int = 0
    failed_since_success: set[str] = field(default_factory=set)

    def failure_share_elsewhere(self, worker: str) -> float:
        """Return the estimated failure rate on other workers, 0.5 if there are no starts."""
        failures, starts = self.per_worker.get(worker, (0, 0))
        return (self.failures - failures + 0.5) / (self.starts - starts + 1)

    def starts_elsewhere(self, worker: str) -> int:
        """Return the number of starts on other workers."""
        return self.starts - self.per_worker.get(worker, (0, 0))[1]


class Quarantine:
    """Failure scores of workers, and outcomes of jobs on them.

    Parameters
    ----------
    rng
        Source of the jitter of probes and backoffs.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, _WorkerState] = {}
        self._jobs: OrderedDict[JobKey, _JobOutcomes] = OrderedDict()

    def allows(self, worker: str) -> bool:
        """Return whether a worker may receive tasks now."""
        state = self._workers.get(worker)
        return state is None or not state.quarantined or state.probe_allowed

    def awaits_probe(self, worker: str) -> bool:
        """Return whether a quarantined worker may receive one task as a probe."""
        state = self._workers.get(worker)
        return state is not None and state.quarantined and state.probe_allowed

    def record_probe_start(self, worker: str, now_ms: float) -> None:
        """Exclude a quarantined worker from further tasks until the outcome of its probe."""
        state = self._workers[worker]
        state.probe_allowed = False
        state.next_probe_ms = now_ms + state.delay_ms

    def next_probe_ms(self, worker: str) -> float:
        """Return the time of the next probe of a quarantined worker, or 0 for another worker."""
        state = self._workers.get(worker)
        return state.next_probe_ms if state is not None and state.quarantined else 0.0

    def take_due_probes(self, now_ms: float) -> list[str]:
        """Return the workers whose probe is due, and allow one task on each."""
        due = [
            worker
            for worker, state in self._workers.items()
            if state.quarantined and not state.probe_allowed and now_ms >= state.next_probe_ms
        ]
        for worker in due:
            self._workers[worker].probe_allowed = True
        return due

    def succeeded(self, worker: str, key: JobKey) -> bool:
        """Record a start without an early failure. Return whether a quarantine ended."""
        self._record_start(worker, key, 0)
        self._jobs[key].failed_since_success.clear()
        state = self._workers.get(worker)
        if state is None:
            return False
        ended = state.quarantined
        state.score *= SCORE_FACTOR_ON_SUCCESS
        if ended or state.score < 0.1:
            del self._workers[worker]
        return ended

    def failed(self, worker: str, key: JobKey, workers: int, now_ms: float) -> bool:
        """Record an early failure. Return whether a quarantine began.

        Parameters
        ----------
        workers
            Number of workers in the failure domain.
        """
        self._record_start(worker, key, 1)
        self._jobs[key].failed_since_success.add(worker)
        state = self._workers.setdefault(worker, _WorkerState())
        state.score += self._failure_weight(worker, state, key)
        if state.quarantined:
            state.delay_ms = min(2 * state.delay_ms, MAX_PROBE_DELAY_MS)
            self._schedule_probe(state, now_ms)
            return False
        limit = max(1, int(MAX_QUARANTINED_SHARE * workers))
        if state.score < QUARANTINE_SCORE or self._quarantined_count() >= limit:
            return False
        state.quarantined = True
        self._schedule_probe(state, now_ms)
        return True

    def _failure_weight(self, worker: str, state: _WorkerState, key: JobKey) -> float:
        outcomes = self._jobs[key]
        weight = 1.0 - min(1.0, outcomes.failure_share_elsewhere(worker))
        if outcomes.starts_elsewhere(worker) < MIN_EVIDENCE_STARTS:
            # Many tasks of one faulty job may fail on this worker before any is tried elsewhere.
            weight = min(weight, MAX_WEIGHT_WITHOUT_EVIDENCE - state.score_by_job.get(key, 0.0))
            state.score_by_job[key] = state.score_by_job.get(key, 0.0) + weight
        return weight

    def fails_everywhere(self, key: JobKey, workers: int) -> bool:
        """Return whether a job failed on all or ``JOB_FAILING_WORKERS`` workers since a success."""
        outcomes = self._jobs.get(key)
        if outcomes is None:
            return False
        failed_workers = [w for w in outcomes.failed_since_success if self.allows(w)]
        return len(failed_workers) >= max(1, min(JOB_FAILING_WORKERS, workers))

    def backoff_ms(self, rounds: int) -> float:
        """Return the delay, with jitter, before a job that fails everywhere is tried again."""
        delay_ms = min(FIRST_BACKOFF_MS * 2.0 ** min(rounds, 30), MAX_BACKOFF_MS)
        return delay_ms * self._rng.uniform(0.75, 1.0)

    def _quarantined_count(self) -> int:
        return sum(state.quarantined for state in self._workers.values())

    def _schedule_probe(self, state: _WorkerState, now_ms: float) -> None:
        state.probe_allowed = False
        state.next_probe_ms = now_ms + state.delay_ms * self._rng.uniform(0.75, 1.0)

    def _record_start(self, worker: str, key: JobKey, failures: int) -> None:
        outcomes = self._jobs.get(key)
        if outcomes is None:
            outcomes = self._jobs[key] = _JobOutcomes()
            if len(self._jobs) > MAX_JOB_NAMES:
                self._jobs.popitem(last=False)
        self._jobs.move_to_end(key)
        outcomes.starts += 1
        outcomes.failures += failures
        counts = outcomes.per_worker.setdefault(worker, [0, 0])
        counts[0] += failures
        counts[1] += 1

"""Workers that fail the tasks they start, and jobs that fail everywhere.

A failure counts against a worker as far as the job succeeds elsewhere, and against the job as far
as other workers fail it too.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from nutmeglb_decisions.tasks.estimates import JobKey

# A task that fails later than this has run; its worker is not to blame for the start.
EARLY_FAILURE_MS = 5_000.0
# Sum of blame. One failure of a job that never fails elsewhere counts as nearly 1.
QUARANTINE_SCORE = 2.5
# One job blames a worker no more than this until it was started this often on other workers.
MAX_WEIGHT_WITHOUT_EVIDENCE = 1.0
MIN_EVIDENCE_STARTS = 3
SUCCESS_FACTOR = 0.5
FIRST_PROBE_MS = 10_000.0
MAX_PROBE_MS = 600_000.0
# Failures of one job on this many workers, without a success, are the job's own.
JOB_FAILING_WORKERS = 3
FIRST_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 300_000.0
# A fault that hits most workers at once comes from outside; the rest must stay usable.
MAX_QUARANTINED_SHARE = 0.3
MAX_JOB_NAMES = 5_000


@dataclass(slots=True)
class _WorkerState:
    score: float = 0.0
    quarantined: bool = False
    probing: bool = False
    next_probe_ms: float = 0.0
    delay_ms: float = FIRST_PROBE_MS
    score_by_job: dict[JobKey, float] = field(default_factory=dict)


@dataclass(slots=True)
class _JobOutcomes:
    """Outcomes of a job name: ``[early failures, starts]`` per worker, and in total."""

    per_worker: dict[str, list[int]] = field(default_factory=dict)
    failures: int = 0
    starts: int = 0
    failed_since_success: set[str] = field(default_factory=set)

    def failure_share_elsewhere(self, worker: str) -> float:
        """Return the share of failures on other workers, 0.5 without any evidence."""
        failures, starts = self.per_worker.get(worker, (0, 0))
        return (self.failures - failures + 0.5) / (self.starts - starts + 1)

    def starts_elsewhere(self, worker: str) -> int:
        """Return the number of starts on other workers."""
        return self.starts - self.per_worker.get(worker, (0, 0))[1]


class Quarantine:
    """Scores of workers and jobs.

    Parameters
    ----------
    rng
        Source of the jitter of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, _WorkerState] = {}
        self._jobs: OrderedDict[JobKey, _JobOutcomes] = OrderedDict()

    def allows(self, worker: str) -> bool:
        """Return whether a worker may receive tasks now."""
        state = self._workers.get(worker)
        return state is None or not state.quarantined or state.probing

    def awaits_probe(self, worker: str) -> bool:
        """Return whether a worker may receive one task only."""
        state = self._workers.get(worker)
        return state is not None and state.quarantined and state.probing

    def record_probe_start(self, worker: str, now_ms: float) -> None:
        """Give no second task to a quarantined worker before the probe's outcome."""
        state = self._workers[worker]
        state.probing = False
        state.next_probe_ms = now_ms + state.delay_ms

    def take_due_probes(self, now_ms: float) -> list[str]:
        """Return the workers that may now receive one task, and mark them."""
        due = [
            worker
            for worker, state in self._workers.items()
            if state.quarantined and not state.probing and now_ms >= state.next_probe_ms
        ]
        for worker in due:
            self._workers[worker].probing = True
        return due

    def succeeded(self, worker: str, key: JobKey) -> bool:
        """Record a start that did not fail soon. Return whether a quarantine ended."""
        self._record_start(worker, key, 0)
        self._jobs[key].failed_since_success.clear()
        state = self._workers.get(worker)
        if state is None:
            return False
        ended = state.quarantined
        state.score *= SUCCESS_FACTOR
        if ended or state.score < 0.1:
            del self._workers[worker]
        return ended

    def failed(self, worker: str, key: JobKey, workers: int, now_ms: float) -> bool:
        """Record a start that failed soon. Return whether a quarantine began.

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
            state.delay_ms = min(2 * state.delay_ms, MAX_PROBE_MS)
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
            # Many tasks of one bad job may fail on one worker before they are tried elsewhere.
            weight = min(weight, MAX_WEIGHT_WITHOUT_EVIDENCE - state.score_by_job.get(key, 0.0))
            state.score_by_job[key] = state.score_by_job.get(key, 0.0) + weight
        return weight

    def fails_everywhere(self, key: JobKey, workers: int) -> bool:
        """Return whether a job failed on several workers, or all, and nowhere succeeded since."""
        outcomes = self._jobs.get(key)
        if outcomes is None:
            return False
        failed_workers = [w for w in outcomes.failed_since_success if self.allows(w)]
        return len(failed_workers) >= max(1, min(JOB_FAILING_WORKERS, workers))

    def backoff_ms(self, rounds: int) -> float:
        """Return the delay before a job that fails everywhere is tried again."""
        delay_ms = min(FIRST_BACKOFF_MS * 2.0 ** min(rounds, 30), MAX_BACKOFF_MS)
        return delay_ms * self._rng.uniform(0.75, 1.0)

    def _quarantined_count(self) -> int:
        return sum(state.quarantined for state in self._workers.values())

    def _schedule_probe(self, state: _WorkerState, now_ms: float) -> None:
        state.probing = False
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

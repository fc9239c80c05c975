"""Updates estimates, worker quarantine and job backoff from the outcomes of attempts."""

from collections.abc import Callable

from nutmeglb_decisions.tasks.estimates import Estimates, JobKey
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.quarantine import (
    EARLY_FAILURE_MS,
    JOB_FAILING_WORKERS,
    Quarantine,
)
from nutmeglb_decisions.tasks.state import Attempt, Job, Phase
from nutmeglb_formats.models.agent import FinishedTask, TaskOutcome

# After the next probe of a worker, other jobs may take it for this time before the job whose task
# failed as the last one. A scheduling round takes less.
PROBE_PRECEDENCE_MS = 1_000.0
FAILURE_OUTCOMES = (TaskOutcome.FAILED, TaskOutcome.REFUSED)


def job_key(job: Job) -> JobKey:
    """Return the team and name, by which outcomes and estimates of jobs are aggregated."""
    return job.spec.team, job.spec.name


class OutcomeTracker:
    """Applies the outcomes of attempts to estimates, quarantine and backoff.

    Parameters
    ----------
    availability_changed
        Called with a worker after any change that may affect whether its quarantine admits tasks.
    """

    def __init__(
        self,
        lifecycle: Lifecycle,
        estimates: Estimates,
        quarantine: Quarantine,
        availability_changed: Callable[[str], None],
    ) -> None:
        self._lifecycle = lifecycle
        self._estimates = estimates
        self._quarantine = quarantine
        self._availability_changed = availability_changed
        self._probes: dict[str, Attempt] = {}

    def record_placement(self, attempt: Attempt, now_ms: float) -> None:
        """Record a placement. On a quarantined worker it becomes the probe."""
        if self._quarantine.awaits_probe(attempt.worker):
            self._quarantine.record_probe_start(attempt.worker, now_ms)
            self._probes[attempt.worker] = attempt
            self._availability_changed(attempt.worker)

    def ended(
        self, job: Job, attempt: Attempt, outcome: str, report: FinishedTask | None, now_ms: float
    ) -> None:
        """Record the end of an attempt. An end without a report from the agent is ignored."""
        if report is None:
            return
        key = job_key(job)
        if attempt.peak_cpu or attempt.peak_memory:
            self._estimates.observe_use(key, attempt.peak_cpu, attempt.peak_memory)
        if outcome == TaskOutcome.SUCCEEDED:
            self._estimates.observe_run(key, report.run_ms)
        if outcome in FAILURE_OUTCOMES and report.run_ms < EARLY_FAILURE_MS:
            self._record_early_failure(job, attempt, now_ms)
        elif outcome == TaskOutcome.SUCCEEDED or report.run_ms >= EARLY_FAILURE_MS:
            self._record_success(job, attempt.worker)

    def tick(self, now_ms: float) -> None:
        """Allow the probes that are due. A probe that outlasts the early-failure limit succeeds."""
        for worker, attempt in list(self._probes.items()):
            job = self._lifecycle.jobs.get(attempt.key.job_id)
            live = job is not None and job.live.get(attempt.key.index) is attempt
            if job is None or not live:
                del self._probes[worker]
            elif attempt.phase is Phase.RUNNING and now_ms - attempt.started_ms >= EARLY_FAILURE_MS:
                del self._probes[worker]
                self._record_success(job, worker)
        for worker in self._quarantine.take_due_probes(now_ms):
            self._availability_changed(worker)

    def _record_success(self, job: Job, worker: str) -> None:
        job.failures = job.backoff_rounds = 0
        job.failed_workers.clear()
        if self._quarantine.succeeded(worker, job_key(job)):
            self._lifecycle.outbox.log_decision(
                "quarantine_ended", "probe succeeded", worker=worker
            )
            self._availability_changed(worker)

    def _record_early_failure(self, job: Job, attempt: Attempt, now_ms: float) -> None:
        key = job_key(job)
        workers = len(self._lifecycle.links)
        job.failures += 1
        job.failed_workers.add(attempt.worker)
        if self._quarantine.failed(attempt.worker, key, workers, now_ms):
            self._lifecycle.outbox.log_decision(
                "quarantine_began", "tasks fail soon after start", worker=attempt.worker
            )
        self._availability_changed(attempt.worker)
        self._defer_after_probe(job, now_ms)
        is_backing_off = job.not_before_ms > now_ms
        enabled_count = len(self._lifecycle.capacity.engine.enabled())
        # Other jobs of the same name may succeed, so this job's own failures are checked as well.
        has_failed_widely = len(job.failed_workers) >= max(
            1, min(JOB_FAILING_WORKERS, enabled_count)
        )
        if not is_backing_off and (
            has_failed_widely or self._quarantine.fails_everywhere(key, enabled_count)
        ):
            delay_ms = self._quarantine.backoff_ms(job.backoff_rounds)
            job.backoff_rounds += 1
            self._lifecycle.delay(job, now_ms + delay_ms)
            self._lifecycle.outbox.log_decision(
                "job_backoff", "fails on every worker", job=job.job_id, delay_ms=delay_ms
            )

    def _defer_after_probe(self, job: Job, now_ms: float) -> None:
        """Leave the next probe of a worker to other jobs, if the last one was a task of this job.

        A job that always fails would otherwise take every probe, and a gang that needs the worker
        would never start.
        """
        probed = [w for w, probe in self._probes.items() if probe.key.job_id == job.job_id]
        next_probe_ms = max((self._quarantine.next_probe_ms(w) for w in probed), default=0.0)
        until_ms = next_probe_ms + PROBE_PRECEDENCE_MS
        if next_probe_ms and until_ms > job.not_before_ms:
            self._lifecycle.delay(job, until_ms)
            self._lifecycle.outbox.log_decision(
                "job_backoff",
                "a task failed as the probe of a worker",
                job=job.job_id,
                delay_ms=until_ms - now_ms,
            )

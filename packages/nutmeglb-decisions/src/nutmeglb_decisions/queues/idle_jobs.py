"""Logs jobs that are idle although capacity is free, and runs without a known outcome."""

from dataclasses import dataclass, field
from itertools import islice

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Job, Run, RunState
from nutmeglb_decisions.queues.waiting import log_wait
from nutmeglb_decisions.queues.waiting_order import runnable_steps
from nutmeglb_decisions.queues.worker_state import Worker

# Poll interval, and the time after which an idle job is reported if its service has free capacity.
POLL_INTERVAL_MS = 2_000.0
# A service has free capacity while less than this share of its CPU is in use.
LOW_UTILIZATION = 0.5
# Within this time every order is answered or superseded by a stop order, and the lease of a
# silent worker expires.
UNRESOLVED_MS = 9_000.0
# Maximum number of jobs, and of runs, reported per poll.
MAX_REPORTED = 8


@dataclass(slots=True)
class IdleJobMonitor:
    """Records for each job the time from which it is idle although one of its steps could start."""

    _idle_since_ms: dict[str, float] = field(default_factory=dict)
    _next_poll_ms: float = 0.0

    def poll(self, cell: Cell, now_ms: float) -> None:
        """Log jobs that are idle although capacity is free, and runs without an outcome."""
        if now_ms < self._next_poll_ms:
            return
        self._next_poll_ms = now_ms + POLL_INTERVAL_MS
        self._log_idle_jobs(cell, now_ms)
        self._log_unresolved_runs(cell, now_ms)

    def _log_idle_jobs(self, cell: Cell, now_ms: float) -> None:
        idle = [job for job in cell.active.values() if _is_idle(job)]
        idle_since_ms = self._idle_since_ms
        self._idle_since_ms = {job.job_id: idle_since_ms.get(job.job_id, now_ms) for job in idle}
        used = utilization_by_service(cell)
        reportable = [
            job
            for job in idle
            if now_ms - self._idle_since_ms[job.job_id] >= POLL_INTERVAL_MS
            and used.get(cell.policy_of(job).service, 1.0) < LOW_UTILIZATION
        ]
        reportable.sort(key=lambda job: self._idle_since_ms[job.job_id])
        for job in reportable[:MAX_REPORTED]:
            idle_ms = round(now_ms - self._idle_since_ms[job.job_id])
            share = round(used[cell.policy_of(job).service], 2)
            step = next(runnable_steps(job))
            log_wait(cell, "job_idle", step, now_ms, idle_ms=idle_ms, used_share=share)

    def _log_unresolved_runs(self, cell: Cell, now_ms: float) -> None:
        unresolved = (
            (worker, run, cause)
            for worker in cell.workers.values()
            for run in worker.runs.values()
            if (cause := _unresolved_cause(worker, run, now_ms))
        )
        for worker, run, cause in islice(unresolved, MAX_REPORTED):
            cell.log_decision(
                "run_unresolved",
                cause,
                task=run.task,
                worker=worker.worker_id,
                run=run.number,
                state=run.state.value,
                age_ms=round(now_ms - run.ordered_ms),
                report_age_ms=round(now_ms - worker.last_report_ms),
            )


def utilization_by_service(cell: Cell) -> dict[str, float]:
    """Return the share of the CPU in use for each service with listed workers.

    What runs on a worker that does not answer may have ended with it, and does not count.
    """
    used: dict[str, int] = {}
    total: dict[str, int] = {}
    for worker in cell.workers.values():
        if worker.listed:
            service = worker.info.service
            in_use = worker.used.cpu_millis if worker.unanswered_since_ms is None else 0
            used[service] = used.get(service, 0) + in_use
            total[service] = total.get(service, 0) + worker.info.capacity.cpu_millis
    return {service: used[service] / amount for service, amount in total.items() if amount}


def _is_idle(job: Job) -> bool:
    """Return whether a job has no live runs although a step of it could start."""
    steps = list(runnable_steps(job))
    return bool(steps) and not any(step.live_runs for step in steps)


def _unresolved_cause(worker: Worker, run: Run, now_ms: float) -> str:
    if now_ms - run.ordered_ms <= UNRESOLVED_MS:
        return ""
    if now_ms - worker.last_report_ms > UNRESOLVED_MS and worker.stalled_since_ms is None:
        return "its worker does not report, and its lease has not expired"
    if run.state == RunState.ORDERED and run.confirmed_ms is None:
        return "its start order has no outcome"
    return ""

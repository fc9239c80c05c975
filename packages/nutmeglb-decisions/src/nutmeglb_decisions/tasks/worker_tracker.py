"""Applies the instance list, agent responses and lease expiry to workers and their attempts."""

from nutmeglb_decisions.tasks.events import SendCommands, Synced, WorkersListed
from nutmeglb_decisions.tasks.lifecycle import LOST, NEVER_SENT, Lifecycle
from nutmeglb_decisions.tasks.quarantine import Quarantine
from nutmeglb_decisions.tasks.state import Attempt, Phase
from nutmeglb_decisions.tasks.workers import AttemptReports, WorkerLink
from nutmeglb_formats.models.agent import FinishedTask, TaskOutcome, TaskPhase, UsageReport
from nutmeglb_formats.models.tasks import AttemptKey, parse_attempt_key


class WorkerTracker:
    """Tracks which workers may receive tasks and what runs on them."""

    def __init__(self, lifecycle: Lifecycle, quarantine: Quarantine) -> None:
        self._lifecycle = lifecycle
        self._quarantine = quarantine

    # Availability

    def apply_list(self, event: WorkersListed, now_ms: float) -> None:
        """Apply the platform's instance list."""
        listed_workers = {item.worker for item in event.workers}
        for item in event.workers:
            link = self._lifecycle.ensure_link(item.worker, now_ms)
            link.listed, link.leaving = True, item.leaving
            self.update_availability(item.worker)
        for worker, link in list(self._lifecycle.links.items()):
            if worker not in listed_workers:
                link.listed = False
                self.update_availability(worker)
                self._remove_unused(link)

    def update_availability(self, worker: str) -> None:
        """Enable or disable placement on a worker after a change of its state."""
        link = self._lifecycle.links.get(worker)
        if link is None:
            return
        is_reachable = link.is_synced and not link.suspected
        is_available = (
            link.listed and not link.leaving and is_reachable and self._quarantine.allows(worker)
        )
        engine = self._lifecycle.capacity.engine
        if is_available and worker not in engine.enabled():
            engine.enable(worker)
            self._lifecycle.capacity.mark_freed(worker)
        elif not is_available and worker in engine.enabled():
            engine.disable(worker)

    def unreachable(self, worker: str, now_ms: float) -> None:
        """Disable placement on a worker after a failed call, and withdraw its unsent starts."""
        link = self._lifecycle.links.get(worker)
        if link is None:
            return
        link.suspected = True
        self.update_availability(worker)
        for attempt in list(link.attempts.values()):
            if attempt.phase is Phase.COMMITTED and not attempt.sent:
                self._end_attempt(attempt, NEVER_SENT, now_ms)

    def _remove_unused(self, link: WorkerLink) -> None:
        if not (link.listed or link.attempts or link.orphans or link.uncommitted_ends):
            self._lifecycle.capacity.engine.disable(link.worker)
            self._lifecycle.capacity.ledger.remove(link.worker)
            del self._lifecycle.links[link.worker]

    # Responses

    def apply_response(self, event: Synced, now_ms: float) -> None:
        """Apply an agent's response. A response from another epoch is ignored."""
        link = self._lifecycle.links.get(event.worker)
        if link is None or event.response.epoch != self._lifecycle.epoch:
            return
        reports = link.receive(event.response, now_ms)
        if reports is None:
            return
        link.suspected = False
        self._update_capacity(link, event)
        self._apply_reports(link, reports, now_ms)
        for usage in event.response.usage:
            self._record_usage(link, usage)
        self.update_availability(link.worker)

    def _update_capacity(self, link: WorkerLink, event: Synced) -> None:
        response = event.response
        capacity = response.capacity.resources()
        account = self._lifecycle.capacity.ledger.account(link.worker)
        if account is None or account.capacity != capacity or account.rack != response.rack:
            self._lifecycle.set_capacity(link.worker, capacity, response.rack)

    def _apply_reports(self, link: WorkerLink, reports: AttemptReports, now_ms: float) -> None:
        for attempt, finished in reports.ended:
            self._end_attempt(attempt, finished.outcome, now_ms, finished)
        for attempt in reports.unreported:
            self._end_attempt(attempt, LOST, now_ms)
        for attempt, phase in reports.admitted:
            self._apply_admission(attempt, phase, now_ms)
        self._apply_orphans(link, reports)
        for finished in reports.late:
            self._apply_late_finish(link, finished)

    def _end_attempt(
        self, attempt: Attempt, outcome: str, now_ms: float, report: FinishedTask | None = None
    ) -> None:
        self._lifecycle.end(
            self._lifecycle.jobs[attempt.key.job_id], attempt, outcome, now_ms, report
        )

    def _apply_admission(self, attempt: Attempt, phase: TaskPhase, now_ms: float) -> None:
        job = self._lifecycle.jobs[attempt.key.job_id]
        attempt.is_reported = attempt.sent = True
        attempt.phase = Phase.HELD if phase is TaskPhase.HELD else Phase.RUNNING
        if attempt.phase is Phase.RUNNING:
            attempt.started_ms = now_ms
            # A running member implies that an earlier leader has released the whole gang.
            for member in job.live.values():
                member.hold = False
        if job.is_gang:
            self._lifecycle.release_gang(job)

    def _apply_orphans(self, link: WorkerLink, reports: AttemptReports) -> None:
        reported_sizes = {task.attempt: task.size.resources() for task in reports.orphans}
        for name in [name for name in link.orphans if name not in reported_sizes]:
            self._release_orphan(link, name)
        for name, size in reported_sizes.items():
            if name not in link.orphans:
                link.orphans[name] = size
                self._lifecycle.capacity.ledger.allocate_existing(link.worker, name, size)
                self._lifecycle.outbox.log_decision(
                    "task_stopped", "not in the journal", task=name, worker=link.worker
                )
            link.stop[name] = None
            self._lifecycle.outbox.add(SendCommands(link.worker))

    def _release_orphan(self, link: WorkerLink, name: str) -> None:
        del link.orphans[name]
        self._lifecycle.capacity.ledger.release(link.worker, name)
        self._lifecycle.capacity.mark_freed(link.worker)

    def _apply_late_finish(self, link: WorkerLink, finished: FinishedTask) -> None:
        key = parse_attempt_key(finished.attempt)
        succeeded = finished.outcome is TaskOutcome.SUCCEEDED
        if key is None or not succeeded or not self._is_incomplete(key):
            won = key is not None and self._is_counted_completion(key)
            self._lifecycle.acknowledge_end(
                link.worker, finished.attempt, discard=succeeded and not won
            )
            return
        # The attempt succeeded before its lease expired, but was reported only after it was treated
        # as lost. Its completion counts, and a replacement is stopped.
        self._lifecycle.complete_late(self._lifecycle.jobs[key.job_id], key, link.worker)

    def _is_counted_completion(self, key: AttemptKey) -> bool:
        job = self._lifecycle.jobs.get(key.job_id)
        return job is not None and (job.is_service or job.completed_by(key))

    def _is_incomplete(self, key: AttemptKey) -> bool:
        job = self._lifecycle.jobs.get(key.job_id)
        if job is None or job.is_service or key.index >= job.tasks:
            return False
        return key.index not in job.completing and not job.is_done(key.index)

    def _record_usage(self, link: WorkerLink, usage: UsageReport) -> None:
        attempt = link.attempts.get(usage.attempt)
        if attempt is not None:
            attempt.used_cpu, attempt.used_memory = usage.cpu_millis, usage.memory_bytes
            attempt.peak_cpu = max(attempt.peak_cpu, usage.cpu_millis)
            attempt.peak_memory = max(attempt.peak_memory, usage.memory_bytes)

    # Expired leases

    def tick(self, now_ms: float) -> None:
        """End the attempts on workers whose leases have certainly expired."""
        for link in list(self._lifecycle.links.values()):
            held = link.attempts or link.is_synced or link.orphans
            if held and now_ms >= link.lease_expires_at_ms:
                self._expire_leases(link, now_ms)
            self._remove_unused(link)

    def _expire_leases(self, link: WorkerLink, now_ms: float) -> None:
        if link.is_synced:
            self._lifecycle.outbox.log_decision(
                "worker_lost", "leases expired", worker=link.worker, tasks=len(link.attempts)
            )
        link.is_synced = False
        self.update_availability(link.worker)
        for attempt in list(link.attempts.values()):
            if attempt.phase is not Phase.RESERVED:
                self._end_attempt(attempt, LOST, now_ms)
        for name in list(link.orphans):
            self._release_orphan(link, name)
        link.stop.clear()
        link.checkpoint.clear()

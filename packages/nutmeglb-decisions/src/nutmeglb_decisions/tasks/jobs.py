"""Submission, cancellation and declaration of jobs.

A change takes effect only after its record is committed to the journal.
"""

from collections.abc import Callable

from nutmeglb_decisions.tasks import submission
from nutmeglb_decisions.tasks.events import Answer, Cancel, Submit
from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.state import Job
from nutmeglb_formats.exceptions import NotFound, NutmegError
from nutmeglb_formats.models.config import Config, JobDefinition, Service
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.tasks import JobAccepted, JobCancelled, JobResized

OnDone = Callable[[str, NutmegError | None], None]
# An ended job is kept this long, so that a repeated submission returns it instead of a new job.
RETENTION_MS = 24 * 3_600_000.0
MAX_REMOVALS_PER_PASS = 200


class JobCommands:
    """Handles commands about jobs, and reconciles the jobs that tickets declare."""

    def __init__(self, lifecycle: Lifecycle, config: Config) -> None:
        self._lifecycle = lifecycle
        self._config = config
        self._pending_accepts: dict[str, tuple[Job, list[OnDone]]] = {}
        self._needs_reconcile = False

    def pending_jobs(self) -> list[Job]:
        """Return the jobs whose acceptance is not yet committed to the journal."""
        return [job for job, _ in self._pending_accepts.values()]

    def submit(self, event: Submit) -> None:
        """Accept a job. A repeated submission is answered with the existing job."""
        spec = event.spec
        job_id = submission.submitted_job_id(self._lifecycle.domain, spec.team, spec.submission_id)
        done = self._answer(event.request)
        if job_id in self._lifecycle.jobs:
            done(job_id, None)
            return
        error = submission.check_acceptable(
            spec, self._lifecycle.capacity.quotas, self._lifecycle.unfinished_jobs
        )
        if error is not None:
            done("", error)
            return
        self._accept(Job(job_id, spec, event.wall_ms, 0), done)

    def cancel(self, event: Cancel) -> None:
        """Cancel a job. Cancelling an ended job has no effect."""
        job = self._lifecycle.jobs.get(event.job_id)
        done = self._answer(event.request)
        if job is None:
            context = {"job": event.job_id}
            done("", NotFound("The job is unknown", context=context, hint="List the jobs"))
        elif job.ended:
            done(job.job_id, None)
        else:
            self._write_cancel(job, "command", done)

    def _answer(self, request: int) -> OnDone:
        return lambda job_id, error: self._lifecycle.outbox.add(Answer(request, job_id, error))

    def _accept(self, job: Job, done: OnDone) -> None:
        waiting = self._pending_accepts.get(job.job_id)
        if waiting is not None:
            waiting[1].append(done)
            return
        self._pending_accepts[job.job_id] = (job, [done])

        def committed(now_ms: float) -> None:
            _, callbacks = self._pending_accepts.pop(job.job_id)
            job.accepted_ms = now_ms
            self._lifecycle.add_job(job)
            self._lifecycle.outbox.log_decision("job_accepted", "journal commit", job=job.job_id)
            for callback in callbacks:
                callback(job.job_id, None)

        def failed(now_ms: float, error: NutmegError) -> None:
            _, callbacks = self._pending_accepts.pop(job.job_id)
            for callback in callbacks:
                callback("", error)

        record = JobAccepted(job.job_id, job.spec, job.submitted_ms, job.ticket, job.service)
        self._lifecycle.outbox.write(record, committed, failed)

    def _write_cancel(self, job: Job, cause: str, done: OnDone) -> None:
        job.cancelling = True

        def committed(now_ms: float) -> None:
            if not job.ended:
                self._lifecycle.end_job(job, now_ms, cancelled=True)
                self._lifecycle.outbox.log_decision("job_cancelled", cause, job=job.job_id)
                self._lifecycle.schedule_stops(list(job.live.values()), "job_cancelled")
            done(job.job_id, None)

        def failed(now_ms: float, error: NutmegError) -> None:
            job.cancelling = False
            done("", error)

        self._lifecycle.outbox.write(JobCancelled(job.job_id), committed, failed)

    # Declared jobs

    def configure(self, config: Config, wall_ms: float) -> None:
        """Create, resize and cancel jobs so that they match the configuration.

        A new leader may briefly have an older configuration than its predecessor had. Jobs that
        were declared by a later ticket are therefore not changed.
        """
        self._config = config
        self._needs_reconcile = False
        newest_tickets: dict[str, int] = {}
        for job in self._lifecycle.jobs.values():
            if job.ticket and not job.service:
                newest_tickets[job.spec.name] = max(
                    newest_tickets.get(job.spec.name, 0), job.ticket
                )
        for definition in config.jobs.values():
            if definition.domain == self._lifecycle.domain:
                self._declare_job(definition, newest_tickets.get(definition.name, 0), wall_ms)
        for service in config.services.values():
            self._declare_service(service, wall_ms)
        self._cancel_removed()

    def retry_reconcile(self, wall_ms: float) -> None:
        """Reconcile the declared jobs again after a journal append of one of them failed."""
        if self._needs_reconcile:
            self.configure(self._config, wall_ms)

    def _declaration_written(self, job_id: str, error: NutmegError | None) -> None:
        if error is not None:
            self._needs_reconcile = True

    def _declare_job(self, definition: JobDefinition, newest_ticket: int, wall_ms: float) -> None:
        ticket = self._config.changed_by.get(f"jobs/{definition.name}", self._config.number)
        job_id = submission.ticket_job_id(self._lifecycle.domain, definition.name, ticket)
        if ticket > newest_ticket and job_id not in self._lifecycle.jobs:
            spec = submission.spec_of_definition(definition, ticket)
            self._accept(
                Job(job_id, spec, wall_ms, 0, ticket=max(1, ticket)), self._declaration_written
            )

    def _declare_service(self, service: Service, wall_ms: float) -> None:
        ticket = self._config.changed_by.get(f"services/{service.name}", self._config.number)
        current_jobs = self._service_jobs(service.name)
        if any(job.ticket > ticket for job in current_jobs):
            return
        spec = submission.spec_of_service(service, ticket)
        reusable = next((job for job in current_jobs if _are_interchangeable(job.spec, spec)), None)
        for job in current_jobs:
            if job is not reusable:
                self._write_cancel(job, "ticket", self._declaration_written)
        if reusable is not None and service.replicas not in (0, reusable.tasks):
            self._resize(reusable, service.replicas)
        elif reusable is not None and service.replicas == 0:
            self._write_cancel(reusable, "ticket", self._declaration_written)
        job_id = submission.service_job_id(self._lifecycle.domain, service.name, ticket)
        if reusable is None and service.replicas and job_id not in self._lifecycle.jobs:
            job = Job(job_id, spec, wall_ms, 0, ticket=max(1, ticket), service=service.name)
            self._accept(job, self._declaration_written)

    def _service_jobs(self, name: str) -> list[Job]:
        jobs = self._lifecycle.jobs.values()
        return [job for job in jobs if job.service == name and not job.ended]

    def _resize(self, job: Job, tasks: int) -> None:
        def committed(now_ms: float) -> None:
            self._lifecycle.resize(job, tasks)

        def failed(now_ms: float, error: NutmegError) -> None:
            self._needs_reconcile = True

        self._lifecycle.outbox.write(JobResized(job.job_id, tasks), committed, failed)

    def _cancel_removed(self) -> None:
        config = self._config
        for job in list(self._lifecycle.jobs.values()):
            names = config.services if job.service else config.jobs
            is_declared = (job.service or job.spec.name) in names
            if job.ticket and not is_declared and not job.ended and job.ticket <= config.number:
                self._write_cancel(job, "ticket", self._declaration_written)

    # Retention

    def remove_expired(self, now_ms: float) -> None:
        """Remove jobs whose retention has expired, except those that are still declared."""
        limit_ms = self._lifecycle.wall_offset_ms + now_ms - RETENTION_MS
        old: list[str] = []
        for job in self._lifecycle.jobs.values():
            if len(old) == MAX_REMOVALS_PER_PASS or job.submitted_ms > limit_ms:
                break
            is_idle = job.ended and not job.live and not job.completing
            if is_idle and job.finished_ms <= limit_ms and not self._is_declared(job):
                old.append(job.job_id)
        for job_id in old:
            del self._lifecycle.jobs[job_id]

    def _is_declared(self, job: Job) -> bool:
        names = self._config.services if job.service else self._config.jobs
        return job.ticket > 0 and (job.service or job.spec.name) in names


def _are_interchangeable(one: JobSpec, other: JobSpec) -> bool:
    """Return whether tasks of the two specs can replace each other."""
    return (one.team, one.resources, one.job_class, one.command) == (
        other.team,
        other.resources,
        other.job_class,
        other.command,
    )

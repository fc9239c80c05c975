"""Job commands and queries of an entry instance, and its task scheduler while it leads."""

import asyncio
import itertools
from collections.abc import Mapping
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.context import Context, LeadershipChange
from nutmeglb._internal.jobs.driver import SchedulerDriver
from nutmeglb._internal.jobs.errors import from_body, to_body
from nutmeglb._internal.jobs.views import job_view, sum_of_teams, team_views, worker_views
from nutmeglb_decisions.tasks.events import Cancel, Submit
from nutmeglb_decisions.tasks.submission import choose_domain, domain_of
from nutmeglb_formats.exceptions import (
    LeadershipLost,
    NotFound,
    NutmegError,
    PeerError,
    PermissionRefused,
)
from nutmeglb_formats.models.admin import TeamView, WorkerView
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.jobs import JobSpec, JobView
from nutmeglb_formats.wire.tasks import (
    CancelJob,
    JobReply,
    ListJobs,
    ListReply,
    ListTeams,
    ListWorkers,
    ShowJob,
    SubmitJob,
)

FORWARD_TIMEOUT_MS = 10_000.0
# Longest path: the caller's instance, the leader of its domain, an instance of the other domain,
# and the leader there.
MAX_HOPS = 3
DEFAULT_LIMIT = 100
MAX_LIMIT = 1_000

JobCall = SubmitJob | CancelJob | ShowJob
ListCall = ListJobs | ListWorkers | ListTeams
Reply = JobReply | ListReply
# Aliases for use inside ``JobService``, where the method ``list`` shadows the built-in type.
JobViews = list[JobView]
WorkerViews = list[WorkerView]
TeamViews = list[TeamView]
ListReplies = list[ListReply]
Records = list[Any]


class JobService:
    """Handles commands and queries about jobs.

    In all methods, ``team`` is the team of the caller's token, or ``None`` for an operator. An
    instance that does not lead the failure domain concerned forwards the call to its leader.
    """

    name = "jobs"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._driver: SchedulerDriver | None = None
        self._takeover: asyncio.Task[None] | None = None
        self._command_numbers = itertools.count(1)
        for call in (SubmitJob, CancelJob, ShowJob, ListJobs, ListWorkers, ListTeams):
            ctx.peers.on(call, self._on_call)

    # Lifecycle

    async def start(self) -> None:
        """Subscribe to changes of the leadership, the configuration and the instance list."""
        self._ctx.leadership.subscribe(self._leadership_changed)
        self._ctx.config.subscribe(self._config_changed)
        self._ctx.instances.subscribe(self._instances_changed)
        self._ctx.journal.add_snapshot_source(self.snapshot_records)
        if self._ctx.leadership.is_leader():
            self._begin_takeover(self._ctx.leadership.epoch)

    async def drain(self, deadline_ms: float) -> None:
        """Stop starting tasks. Running tasks are left to the next leader."""
        if self._driver is not None:
            self._driver.pause()

    async def stop(self) -> None:
        """Stop commanding workers."""
        self._end_leading()

    def status(self) -> Mapping[str, object]:
        """Return the state of the scheduler."""
        if self._driver is None:
            return {"leading": False}
        return {"leading": True, **self._driver.status()}

    def snapshot_records(self) -> Records | None:
        """Return the journal records of all jobs and live attempts, ``None`` if not leading."""
        return self._driver.core.snapshot() if self._driver is not None else None

    # Commands

    async def submit(
        self, spec: JobSpec, domain: str | None = None, team: str | None = None
    ) -> Result[JobView, NutmegError]:
        """Accept a job. Returns once the job is stored in the journal.

        Parameters
        ----------
        domain
            Failure domain that runs the job. By default it is derived from the team and the
            submission id, so that a repeated submission reaches the same leader through any
            instance.
        """
        if team is not None and spec.team != team:
            return Err(_not_owner(spec.name))
        chosen_domain = domain or choose_domain(
            spec.team, spec.submission_id, self._ctx.config.current().policy, self._ctx.domain
        )
        return await self._job_call(SubmitJob(chosen_domain, team or "", 0, spec))

    async def cancel(self, job_id: str, team: str | None = None) -> Result[JobView, NutmegError]:
        """Cancel a job. Returns once the cancellation is stored in the journal."""
        return await self._job_call(CancelJob(domain_of(job_id), team or "", 0, job_id))

    # Queries

    async def show(self, job_id: str, team: str | None = None) -> Result[JobView, NutmegError]:
        """Return one job."""
        return await self._job_call(ShowJob(domain_of(job_id), team or "", 0, job_id))

    async def list(
        self, team: str | None = None, limit: int = DEFAULT_LIMIT
    ) -> Result[JobViews, NutmegError]:
        """Return the newest jobs of all reachable failure domains, limited to a team if given."""
        bounded = max(1, min(limit, MAX_LIMIT))
        replies = await self._list_call(lambda domain: ListJobs(domain, team or "", 0, bounded))
        if isinstance(replies, Err):
            return replies
        jobs = [view for reply in replies.ok_value for view in reply.jobs]
        jobs.sort(key=lambda view: view.submitted_ms, reverse=True)
        return Ok(jobs[:bounded])

    async def workers(self, team: str | None = None) -> Result[WorkerViews, NutmegError]:
        """Return the workers of all reachable failure domains."""
        replies = await self._list_call(lambda domain: ListWorkers(domain, team or "", 0))
        if isinstance(replies, Err):
            return replies
        return Ok([view for reply in replies.ok_value for view in reply.workers])

    async def teams(self, team: str | None = None) -> Result[TeamViews, NutmegError]:
        """Return quotas and usage in all reachable failure domains, of one team if given."""
        replies = await self._list_call(lambda domain: ListTeams(domain, team or "", 0))
        if isinstance(replies, Err):
            return replies
        views = sum_of_teams(view for reply in replies.ok_value for view in reply.teams)
        return Ok([view for view in views if team in (None, view.name)])

    # Forwarding

    async def _job_call(self, call: JobCall) -> Result[JobView, NutmegError]:
        if not isinstance(call, SubmitJob) and call.domain not in self._known_domains():
            return Err(_unknown_job(call.job_id))
        reply = await self._route(call)
        if isinstance(reply, Err):
            return reply
        if isinstance(reply.ok_value, JobReply) and reply.ok_value.view is not None:
            return Ok(reply.ok_value.view)
        return Err(_error_of(reply.ok_value))

    async def _list_call(self, make_call: Any) -> Result[ListReplies, NutmegError]:
        domains = self._known_domains()
        results = await asyncio.gather(*(self._route(make_call(name)) for name in sorted(domains)))
        replies: ListReplies = []
        error: NutmegError | None = None
        for domain, result in zip(sorted(domains), results, strict=True):
            reply = result.ok() if isinstance(result, Ok) else None
            if isinstance(reply, ListReply) and reply.error is None:
                replies.append(reply)
                continue
            error = result.err_value if isinstance(result, Err) else _error_of(result.ok_value)
            self._ctx.events.emit("list_incomplete", error.kind, domain=domain)
        return Ok(replies) if replies or error is None else Err(error)

    def _known_domains(self) -> set[str]:
        weighted = self._ctx.config.current().policy.domain_weights
        members = {member.domain for member in self._ctx.peers.members()}
        return {self._ctx.domain, *weighted, *members}

    async def _route(self, call: JobCall | ListCall) -> Result[Reply, NutmegError]:
        if call.domain == self._ctx.domain and self._driver is not None:
            return Ok(await self._answer(call, self._driver))
        target = self._target(call.domain)
        if target is None or target == self._ctx.instance_id or call.hops >= MAX_HOPS:
            return Err(_no_leader(call.domain))
        forwarded = _with_hop(call)
        result = await self._ctx.peers.request(target, forwarded, FORWARD_TIMEOUT_MS)
        if isinstance(result, Err):
            return Err(result.err_value)
        if not isinstance(result.ok_value, JobReply | ListReply):
            return Err(_bad_reply(target))
        return Ok(result.ok_value)

    def _target(self, domain: str) -> str | None:
        if domain == self._ctx.domain:
            return self._ctx.leadership.leader_instance
        return self._ctx.peers.relay_of(domain)

    async def _on_call(self, sender: str, call: JobCall | ListCall) -> Reply:
        result = await self._route(call)
        if isinstance(result, Ok):
            return result.ok_value
        body = to_body(result.err_value)
        if isinstance(call, SubmitJob | CancelJob | ShowJob):
            return JobReply(None, body)
        return ListReply(error=body)

    # Calls on the leader

    async def _answer(self, call: JobCall | ListCall, driver: SchedulerDriver) -> Reply:
        lifecycle = driver.core.lifecycle
        match call:
            case ListWorkers():
                return ListReply(workers=worker_views(lifecycle))
            case ListTeams():
                return ListReply(teams=team_views(lifecycle, self._ctx.config.current()))
            case ListJobs():
                return ListReply(jobs=self._newest(call, driver))
            case _:
                result = await self._answer_job(call, driver)
                if isinstance(result, Ok):
                    return JobReply(result.ok_value, None)
                return JobReply(None, to_body(result.err_value))

    def _newest(self, call: ListJobs, driver: SchedulerDriver) -> tuple[JobView, ...]:
        jobs = driver.core.lifecycle.jobs.values()
        selected = (job for job in reversed(jobs) if call.team in ("", job.spec.team))
        now_ms = self._ctx.clock.now_ms()
        limited = itertools.islice(selected, call.limit)
        return tuple(job_view(driver.core.lifecycle, job, now_ms) for job in limited)

    async def _answer_job(
        self, call: JobCall, driver: SchedulerDriver
    ) -> Result[JobView, NutmegError]:
        if isinstance(call, SubmitJob):
            if call.team and call.team != call.spec.team:
                return Err(_not_owner(call.spec.name))
            number = next(self._command_numbers)
            wall_ms = self._ctx.clock.wall_ms()
            result = await driver.command(number, Submit(number, call.spec, wall_ms))
            if isinstance(result, Err):
                return result
            return self._view(driver, result.ok_value)
        job = driver.core.lifecycle.jobs.get(call.job_id)
        if job is None:
            return Err(_unknown_job(call.job_id))
        if call.team and call.team != job.spec.team:
            return Err(_not_owner(call.job_id))
        if isinstance(call, CancelJob):
            number = next(self._command_numbers)
            result = await driver.command(number, Cancel(number, call.job_id))
            if isinstance(result, Err):
                return result
        return self._view(driver, call.job_id)

    def _view(self, driver: SchedulerDriver, job_id: str) -> Result[JobView, NutmegError]:
        job = driver.core.lifecycle.jobs.get(job_id)
        if job is None:
            return Err(_unknown_job(job_id))
        return Ok(job_view(driver.core.lifecycle, job, self._ctx.clock.now_ms()))

    # Leadership

    def _leadership_changed(self, change: LeadershipChange) -> None:
        leading = change.is_self and change.settled
        if self._driver is not None and self._driver.epoch == change.epoch and leading:
            return
        self._end_leading()
        if leading:
            self._begin_takeover(change.epoch)

    def _begin_takeover(self, epoch: int) -> None:
        self._takeover = asyncio.create_task(self._take_over(epoch))

    async def _take_over(self, epoch: int) -> None:
        records: Records = []
        while self._ctx.leadership.is_leader():
            loaded = await self._ctx.journal.load()
            if isinstance(loaded, Ok):
                records = loaded.ok_value
                break
            self._ctx.events.emit("journal_load_failed", str(loaded.err_value))
            await asyncio.sleep(self._ctx.rng.uniform(0.2, 0.5))
        if self._ctx.leadership.is_leader() and self._ctx.leadership.epoch == epoch:
            self._driver = SchedulerDriver(self._ctx, epoch, records, self._restart)
            self._driver.start()

    def _restart(self) -> None:
        """Recover from the journal after an invariant violation."""
        self._end_leading()
        if self._ctx.leadership.is_leader():
            self._begin_takeover(self._ctx.leadership.epoch)

    def _end_leading(self) -> None:
        if self._takeover is not None:
            self._takeover.cancel()
            self._takeover = None
        if self._driver is not None:
            self._driver.stop()
            self._driver = None

    def _config_changed(self, old: Config, new: Config) -> None:
        if self._driver is not None:
            self._driver.configure(new)

    def _instances_changed(self) -> None:
        if self._driver is not None:
            self._driver.list_workers()


def _with_hop(call: Any) -> Any:
    values = {name: getattr(call, name) for name in call.__dataclass_fields__}
    return type(call)(**{**values, "hops": call.hops + 1})


def _error_of(reply: Reply) -> NutmegError:
    return from_body(reply.error) if reply.error is not None else _bad_reply("peer")


def _not_owner(name: str) -> PermissionRefused:
    return PermissionRefused(
        "The job belongs to another team",
        context={"job": name},
        hint="Use the token of the team that owns the job",
    )


def _unknown_job(job_id: str) -> NotFound:
    return NotFound("The job is unknown", context={"job": job_id}, hint="List the jobs")


def _no_leader(domain: str) -> LeadershipLost:
    return LeadershipLost(
        "No leader of the failure domain can be reached",
        context={"domain": domain},
        hint="Retry in a few seconds",
    )


def _bad_reply(instance: str) -> PeerError:
    return PeerError(
        "The reply of a peer is malformed",
        context={"instance": instance},
        hint="Run the same release of nutmeglb on all instances",
    )

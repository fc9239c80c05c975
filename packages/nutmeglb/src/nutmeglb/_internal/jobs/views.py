"""Views of jobs, workers and teams for callers and operators."""

from collections.abc import Iterable

from nutmeglb_decisions.tasks.lifecycle import Lifecycle
from nutmeglb_decisions.tasks.state import Job
from nutmeglb_decisions.tasks.wait_reasons import wait_reason
from nutmeglb_formats.models.admin import TeamView, WorkerView
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.jobs import JobState, JobView
from nutmeglb_formats.models.resources import Resources


def job_view(lifecycle: Lifecycle, job: Job, now_ms: float) -> JobView:
    """Return the view of a job."""
    reason, why = wait_reason(lifecycle, job, now_ms)
    return JobView(
        job_id=job.job_id,
        spec=job.spec,
        state=_state(job),
        waiting=job.waiting,
        running=len(job.live),
        finished=job.done_count,
        submitted_ms=job.submitted_ms,
        wait_reason=reason,
        why=why,
    )


def _state(job: Job) -> JobState:
    if job.cancelled:
        return JobState.CANCELLED
    if job.finished_ms:
        return JobState.FINISHED
    return JobState.RUNNING if job.live or job.completing else JobState.WAITING


def worker_views(lifecycle: Lifecycle) -> tuple[WorkerView, ...]:
    """Return the views of all workers."""
    views = []
    for worker, link in sorted(lifecycle.links.items()):
        account = lifecycle.capacity.ledger.account(worker)
        views.append(
            WorkerView(
                worker_id=worker,
                domain=lifecycle.domain,
                rack=account.rack if account else "",
                state=_worker_state(lifecycle, worker),
                capacity=account.capacity if account else Resources(),
                allocated=account.allocated if account else Resources(),
                tasks=len(link.attempts),
            )
        )
    return tuple(views)


def _worker_state(lifecycle: Lifecycle, worker: str) -> str:
    link = lifecycle.links[worker]
    if not link.is_synced or link.suspected:
        return "unreachable"
    if link.leaving or not link.listed:
        return "leaving"
    return "live" if worker in lifecycle.capacity.engine.enabled() else "quarantined"


def team_views(lifecycle: Lifecycle, config: Config) -> tuple[TeamView, ...]:
    """Return each team's total quota and its usage in this failure domain."""
    waiting: dict[str, int] = {}
    running: dict[str, int] = {}
    for job in lifecycle.jobs.values():
        team = job.spec.team
        waiting[team] = waiting.get(team, 0) + job.waiting
        running[team] = running.get(team, 0) + len(job.live)
    return tuple(
        TeamView(
            name=name,
            quota=team.quota,
            allocated=lifecycle.capacity.quotas.used(name),
            running=running.get(name, 0),
            waiting=waiting.get(name, 0),
        )
        for name, team in sorted(config.teams.items())
    )


def sum_of_teams(views: Iterable[TeamView]) -> list[TeamView]:
    """Return one view per team, with usage summed over the failure domains."""
    total: dict[str, TeamView] = {}
    for view in views:
        known = total.get(view.name)
        if known is not None:
            view = TeamView(
                view.name,
                view.quota,
                known.allocated + view.allocated,
                known.running + view.running,
                known.waiting + view.waiting,
            )
        total[view.name] = view
    return list(total.values())

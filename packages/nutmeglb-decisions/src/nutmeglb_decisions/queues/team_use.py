"""Computes what the teams may have running, from the runs that the leader knows.

Nothing is counted beside the runs, so the result cannot differ from them after a lost answer or a
change of leader. Runs that are ordered, active or being stopped all count. So do tasks that a
former leader may have started on workers that have not answered this one yet.

Runs that no unfinished job needs may be of unknown size. They use at most the capacity of their
worker that no other run uses, which is charged to their team, or to every team if the job is
unknown.
"""

from collections.abc import Mapping

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.names import parse_task
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_decisions.shares import TeamUse
from nutmeglb_formats.models.resources import Resources


def possible_use(cell: Cell, limits: Mapping[str, Resources], now_ms: float) -> TeamUse:
    """Return the largest use that each team with a limit may have now."""
    use = TeamUse(limits)
    for team, amount in cell.run_sums.update(cell.workers).items():
        if team in limits:
            use.add(team, amount)
    if now_ms < cell.takeover_wait_deadline_ms:
        for step in cell.ended_unsettled:
            _add(use, step, _unknown_runs(cell, step, _unsettled_workers(cell, step)))
    if cell.takeover_wait_deadline_ms:
        for job in cell.active.values():
            for step in job.steps:
                if step.unsettled:
                    _add(use, step, _unknown_runs(cell, step, step.unsettled))
    for worker in cell.workers.values():
        if worker.stray_runs:
            _add_stray_runs(cell, worker, use)
    return use


def _add(use: TeamUse, step: Step, count: int) -> None:
    team = step.team
    if use.limit(team) is not None:
        use.add(team, step.needs.scaled(count))


def _unsettled_workers(cell: Cell, step: Step) -> set[str]:
    """Return the workers that may still hold runs of a step whose job has ended."""
    workers = cell.workers
    return {name for name in step.unsettled if name not in workers or not workers[name].settled}


def _unknown_runs(cell: Cell, step: Step, worker_ids: set[str]) -> int:
    """Return how many tasks of a step may run on workers without being known to this leader."""
    if not worker_ids:
        return 0
    waiting = sum(1 for task in step.tasks if not task.done and task.run is None)
    if not worker_ids <= cell.workers.keys():
        return waiting
    return min(waiting, sum(slots_on(cell.workers[name].free, step, 0) for name in worker_ids))


def _add_stray_runs(cell: Cell, worker: Worker, use: TeamUse) -> None:
    """Add the stray runs of a worker, the ones of unknown size once for each team."""
    teams_of_unknown_size: set[str] = set()
    for task, _ in worker.stray_runs:
        name = parse_task(task)
        job_id = name.job_id if name else ""
        job = cell.jobs.get(job_id)
        if name and job is not None and name.step < len(job.record.steps):
            if use.limit(job.record.team) is not None:
                use.add(job.record.team, job.record.steps[name.step].needs)
        elif job_id in cell.finished:
            teams_of_unknown_size.add(cell.finished[job_id].team)
        else:
            teams_of_unknown_size.update(use.limits())
    for team in teams_of_unknown_size & use.limits().keys():
        use.add(team, _non_negative(worker.free))


def _non_negative(amount: Resources) -> Resources:
    return Resources(
        max(0, amount.cpu_millis), max(0, amount.memory_bytes), max(0, amount.accelerators)
    )

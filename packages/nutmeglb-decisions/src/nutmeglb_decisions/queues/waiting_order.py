"""The steps that wait to be placed, in their order."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace

from nutmeglb_decisions.queues import set_aside
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.parts import OrderTerm, OrderValue, Place
from nutmeglb_decisions.queues.ranking import Rank, rank_of
from nutmeglb_decisions.queues.state import Job, Step, Task

RankFunction = Callable[[Step, float, float, Estimates], Rank]


def ranked_steps(
    cell: Cell, now_ms: float, wall_ms: float, rank: RankFunction = rank_of
) -> list[tuple[Rank, Step]]:
    """Return the steps with startable tasks, best rank first."""
    ranked = []
    order = [(term, term.prepare(cell, now_ms)) for term in cell.parts.order_terms]
    for job in cell.active.values():
        for step in runnable_steps(job):
            if step.runnable_since_ms is None:
                step.runnable_since_ms = now_ms
            if not startable_tasks(step, now_ms):
                continue
            try:
                step_rank = rank(step, due_ms(job, step, now_ms, wall_ms), now_ms, cell.estimates)
                if order:
                    step_rank = _with_terms(step_rank, step, order)
            except Exception as error:
                set_aside.defer_step(cell, step, error, now_ms)
            else:
                ranked.append((step_rank, step))
    ranked.sort(key=lambda item: item[0].key)
    return ranked


def _with_terms(step_rank: Rank, step: Step, order: Sequence[tuple[OrderTerm, OrderValue]]) -> Rank:
    """Return a rank with the values of the optional terms."""
    values = [(term.place, (term.name, value(step, step_rank))) for term, value in order]
    return replace(
        step_rank,
        before_priority=tuple(named for place, named in values if place is Place.BEFORE_PRIORITY),
        before_start=tuple(named for place, named in values if place is Place.BEFORE_START),
    )


def due_ms(job: Job, step: Step, now_ms: float, wall_ms: float) -> float:
    """Return the monotonic time at which the objective of a step's occurrence starts to count."""
    if not job.record.repeats:
        return job.accepted_ms
    due_wall_ms = job.record.first_ms + step.occurrence * job.record.interval_ms
    return now_ms - max(0.0, wall_ms - due_wall_ms)


def runnable_steps(job: Job) -> Iterator[Step]:
    """Yield the unfinished steps whose prerequisite steps are done."""
    for steps in job.occurrences.values():
        for step in steps:
            if not step.done and all(steps[required].done for required in step.spec.after):
                yield step


def startable_tasks(step: Step, now_ms: float) -> list[Task]:
    """Return the tasks that may start now; for a gang either all or none."""
    if step.unsettled or now_ms < step.deferral.until_ms:
        return []
    if step.spec.gang:
        if any(task.run or now_ms < task.not_before_ms for task in step.tasks):
            return []
        return step.tasks
    return [
        task
        for task in step.tasks
        if not task.done and task.run is None and now_ms >= task.not_before_ms
    ]

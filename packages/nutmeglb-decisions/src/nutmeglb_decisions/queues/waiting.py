"""Why a step waits, for the log lines that explain a late job."""

from dataclasses import dataclass

from nutmeglb_decisions.queues import advice
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.fitting import slots_on
from nutmeglb_decisions.queues.state import Step

# A step that has waited this long is explained, and again after the same time. Advice takes up to
# two seconds, so shorter waits are ordinary.
EXPLAIN_AFTER_MS = 4_000.0
# Steps explained in one look, longest waiting first.
MAX_EXPLAINED = 8


@dataclass(frozen=True, slots=True)
class Wait:
    """Cause of a wait, with the number of workers that pass each of the conditions.

    Attributes
    ----------
    eligible, durable, reachable, roomy
        Workers of the service with the label; of these, those recorded for the step and with a
        ticket where one is needed; of these, those that answer; of these, those with room.
    slots
        Tasks that fit on the last ones.
    """

    cause: str
    eligible: int
    durable: int
    reachable: int
    roomy: int
    slots: int


def explain(cell: Cell, step: Step, now_ms: float) -> Wait:
    """Return why no task of a step was started in the last pass."""
    eligible = advice.eligible(cell, step)
    advised = cell.policy_of(step.job).advice is not None
    usable = advice.with_ticket(cell, step, now_ms) if advised else eligible
    durable = [worker for worker in usable if worker.worker_id in step.recorded]
    reachable = [
        worker
        for worker in durable
        if worker.settled
        and not worker.strays
        and worker.unanswered_since_ms is None
        and now_ms >= worker.suspect_until_ms
    ]
    slots = [slots_on(worker.free, step, 0) for worker in reachable]
    roomy = sum(1 for count in slots if count)
    counts = (len(eligible), len(durable), len(reachable), roomy, sum(slots))
    return Wait(_cause(step, now_ms, advised, *counts), *counts)


def _cause(
    step: Step,
    now_ms: float,
    advised: bool,
    eligible: int,
    durable: int,
    reachable: int,
    roomy: int,
    slots: int,
) -> str:
    if step.unsettled:
        return "workers of a former leader have not answered"
    if not eligible:
        return "no worker of the service has the label"
    if advised and not durable:
        outstanding = step.advice.call_until_ms > now_ms
        return "advice is outstanding" if outstanding else "no valid ticket"
    if not durable:
        return "its workers are not stored yet"
    if not reachable:
        return "its workers do not answer or are avoided"
    if not roomy:
        return "no room"
    if step.spec.gang and slots < step.spec.count:
        return "no room for all members"
    return "room is kept for a gang, or work of a better rank came first"


def explain_waiting(cell: Cell, now_ms: float) -> None:
    """Log the causes of the longest waits."""
    due = [
        step
        for job in cell.active.values()
        for step in job.steps
        if step.opened_ms is not None
        and not step.done
        and not step.live_runs
        and now_ms - max(step.opened_ms, step.explained_ms) >= EXPLAIN_AFTER_MS
    ]
    due.sort(key=lambda step: step.opened_ms or 0.0)
    for step in due[:MAX_EXPLAINED]:
        step.explained_ms = now_ms
        wait = explain(cell, step, now_ms)
        cell.decide(
            "step_waiting",
            wait.cause,
            job=step.job.job_id,
            step=step.name,
            waited_ms=round(now_ms - (step.opened_ms or now_ms)),
            tasks=step.remaining,
            label=step.spec.required_label,
            eligible=wait.eligible,
            durable=wait.durable,
            reachable=wait.reachable,
            roomy=wait.roomy,
            slots=wait.slots,
        )

"""Determines why steps wait, for the log lines that explain late jobs."""

from dataclasses import asdict, dataclass
from typing import Any

from nutmeglb_decisions.queues import advice, quotas, record_size, worker_conditions, worker_losses
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Run, Step
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_decisions.queues.worker_state import Worker

# The cause of a wait is logged after this time, and again at this interval. Advice takes up to two
# seconds, so shorter waits are normal.
EXPLAIN_AFTER_MS = 4_000.0
# Causes of waits by the gate that did not admit a start.
CAUSES_BY_GATE = {
    record_size.GATE_NAME: "the stored progress of its job is large until other occurrences end",
    quotas.GATE_NAME: "the limit of its team is reached, or kept for a better-ranked step of it",
    worker_losses.WAITS_FOR_EMPTY_WORKER: (
        "runs were lost with their workers: it waits for a worker without other work, at most for"
        " a bounded time"
    ),
    worker_losses.WAITS_FOR_TRIAL: (
        "runs were lost with their workers: another task of the job runs alone until it is proved"
        " active or ends"
    ),
}
DEFERRED = "an unexpected error of nutmeglb defers it, see step_defect"
RUNS_ON_SILENT_WORKERS = "its runs may be active on workers that do not answer"
# What ends a wait, by its cause. Other causes end with the next pass or with the gate.
ENDS_BY_CAUSE = {
    RUNS_ON_SILENT_WORKERS: (
        "a proof that they have ended, the expiry of their leases, or the longest wait for a worker"
        " whose process stands still"
    ),
    "workers of a former leader have not answered": "their answers, or the takeover wait",
    "no worker of the service has the label": "a new worker",
    DEFERRED: "its next attempt, after twice the time at each further error",
    "advice call outstanding": "its answer or its timeout",
    "advice approved no worker": "a new worker",
    "advice not requested yet": "the budget of advice calls",
    "no valid ticket": "the next advice call",
    "its workers are not stored yet": "the next commit",
    "its workers are silent or avoided": "their answers",
    "no free capacity": "the end of runs on its workers",
    "no free capacity for all members": "the end of runs on its workers, or its plan",
}
SILENT = "its workers are silent or avoided"
NO_CAPACITY = "no free capacity"
NO_CAPACITY_FOR_ALL = "no free capacity for all members"
SHRUNK = "workers have shrunk below what they had"
STALE_ENTRIES = "the entries of its workers are too old to prove their capacity"
# Maximum number of steps logged at once, longest waiting first.
MAX_EXPLAINED = 8


@dataclass(frozen=True, slots=True)
class WaitExplanation:
    """Cause of a wait, with the number of workers that meet each condition.

    Attributes
    ----------
    eligible, durable, reachable, roomy
        Workers of the service with the label; those of them that are recorded for the step and
        have a ticket if it needs one; those of them that have answered this leader, are not silent
        or avoided and have no stray runs; and those of them with free capacity.
    slots
        Number of tasks that fit on the roomy workers.
    asked, good, call_left_ms
        Workers named to the advice service so far; those that it approved; and the time in
        milliseconds until the outstanding call counts as lost, 0 if there is none.
    unsettled
        Workers that may hold runs of a former leader and have not answered.
    full, unasked_roomy
        Approved or stored workers without room for a task; and workers with room that were not
        named to the advice service in their present incarnation.
    held_runs, lease_left_ms
        Live runs on workers that do not answer, and the longest remaining lease of these workers.
    unplanned
        Why a gang has no plan; empty if it has one or needs none.
    ends
        What ends the wait.
    shrunk
        Reachable workers that would have room for a task with the capacity that they had before.
    held_workers, held_in_service
        What keeps starts from its durable workers, and from the eligible ones
        (``worker_conditions``).
    """

    cause: str
    eligible: int
    durable: int
    reachable: int
    roomy: int
    slots: int
    asked: int
    good: int
    call_left_ms: int
    unsettled: int
    full: int
    unasked_roomy: int
    held_runs: int
    lease_left_ms: int
    unplanned: str
    ends: str
    shrunk: int
    held_workers: str
    held_in_service: str


def explain(cell: Cell, step: Step, now_ms: float) -> WaitExplanation:
    """Return why no task of a step was started in the last pass."""
    eligible = advice.eligible(cell, step)
    needs_advice = cell.policy_of(step.job).advice is not None
    candidates = advice.workers_with_ticket(cell, step, now_ms) if needs_advice else eligible
    durable = [worker for worker in candidates if worker.worker_id in step.recorded]
    reachable = [worker for worker in durable if worker.accepts_starts(now_ms)]
    shrunk = sum(1 for worker in reachable if _had_room(step, worker))
    slots = [slots_on(worker.free, step, 0) for worker in reachable]
    roomy = sum(1 for count in slots if count)
    counts = (len(eligible), len(durable), len(reachable), roomy, sum(slots))
    call_left_ms = round(max(0.0, step.advice.call_deadline_ms - now_ms))
    held = _silent_workers_of_runs(cell, step)
    cause = RUNS_ON_SILENT_WORKERS if held else _cause(step, now_ms, needs_advice, *counts)
    if shrunk and cause in (NO_CAPACITY, NO_CAPACITY_FOR_ALL):
        cause = SHRUNK
    elif cause == SILENT and any(now_ms > worker.starts_until_ms for worker in durable):
        cause = STALE_ENTRIES
    allowed = advice.approved_workers(cell, step) if needs_advice else durable
    return WaitExplanation(
        cause,
        *counts,
        asked=len(step.advice.asked),
        good=len(step.advice.good),
        call_left_ms=call_left_ms,
        unsettled=len(step.unsettled),
        full=sum(1 for worker in allowed if not slots_on(worker.free, step, 0)),
        unasked_roomy=(
            sum(1 for worker in eligible if _is_unasked_with_room(step, worker))
            if needs_advice
            else 0
        ),
        held_runs=len(held),
        lease_left_ms=round(
            max((worker.lease_expires_at_ms - now_ms for worker in held), default=0.0)
        ),
        unplanned=step.unplanned,
        ends=ENDS_BY_CAUSE.get(cause, ""),
        shrunk=shrunk,
        held_workers=worker_conditions.summarize(cell, durable, now_ms),
        held_in_service=worker_conditions.summarize(cell, eligible, now_ms),
    )


def _is_unasked_with_room(step: Step, worker: Worker) -> bool:
    is_asked = step.advice.asked.get(worker.worker_id) == worker.started_ms
    return not is_asked and slots_on(worker.free, step, 0) > 0


def _silent_workers_of_runs(cell: Cell, step: Step) -> list[Worker]:
    """Return the worker of each live run of a step whose worker does not answer."""
    return [cell.workers[run.worker_id] for run in step.live_runs if _is_on_silent(cell, run)]


def _is_on_silent(cell: Cell, run: Run) -> bool:
    worker = cell.workers.get(run.worker_id)
    return worker is not None and worker.unanswered_since_ms is not None


def _had_room(step: Step, worker: Worker) -> bool:
    """Return whether a worker has no room for a task only because it has shrunk."""
    former_free = worker.largest_capacity - worker.used
    return not slots_on(worker.free, step, 0) and slots_on(former_free, step, 0) > 0


def _cause(
    step: Step,
    now_ms: float,
    needs_advice: bool,
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
    if now_ms < step.deferral.until_ms:
        return DEFERRED
    if step.held_by:
        return CAUSES_BY_GATE.get(step.held_by, step.held_by)
    if needs_advice and not durable:
        return _advice_cause(step, eligible, now_ms)
    if not durable:
        return "its workers are not stored yet"
    if step.holds:
        return "runs are being stopped to make room for it"
    if not reachable:
        return SILENT
    if not roomy:
        return NO_CAPACITY
    if step.spec.gang and slots < step.spec.count:
        return NO_CAPACITY_FOR_ALL
    return "capacity reserved for a gang or used by better-ranked work"


def _advice_cause(step: Step, eligible: int, now_ms: float) -> str:
    advice_state = step.advice
    if advice_state.call_deadline_ms > now_ms:
        return "advice call outstanding"
    if not advice_state.good and len(advice_state.asked) >= eligible:
        return "advice approved no worker"
    if not advice_state.asked:
        return "advice not requested yet"
    if any(
        expires_at_ms > now_ms and worker_id not in step.recorded
        for worker_id, (_, expires_at_ms) in advice_state.tickets.items()
    ):
        return "its workers are not stored yet"
    return "no valid ticket"


def log_long_waits(cell: Cell, now_ms: float) -> None:
    """Log the causes of the longest waits that are due for a log line."""
    due = [
        step
        for job in cell.active.values()
        for step in job.steps
        if step.runnable_since_ms is not None
        and not step.done
        and now_ms - max(step.runnable_since_ms, step.wait_logged_ms) >= EXPLAIN_AFTER_MS
        and all(_is_on_silent(cell, run) for run in step.live_runs)
    ]
    due.sort(key=lambda step: step.runnable_since_ms or 0.0)
    for step in due[:MAX_EXPLAINED]:
        step.wait_logged_ms = now_ms
        waited_ms = round(now_ms - (step.runnable_since_ms or now_ms))
        log_wait(cell, "step_waiting", step, now_ms, waited_ms=waited_ms)


def log_wait(cell: Cell, kind: str, step: Step, now_ms: float, **fields: Any) -> None:
    """Log why a step waits, with the counts that determine the cause."""
    counts: dict[str, Any] = asdict(explain(cell, step, now_ms))
    cause = counts.pop("cause")
    if cause != step.wait_cause:
        step.wait_cause, step.wait_cause_since_ms = cause, now_ms
    if step.held_by == quotas.GATE_NAME:
        counts |= quotas.figures(cell, step.team, now_ms)
    cell.log_decision(
        kind,
        cause,
        job=step.job.job_id,
        step=step.name,
        tasks=step.remaining,
        label=step.spec.required_label,
        cause_for_ms=round(now_ms - step.wait_cause_since_ms),
        **fields,
        **counts,
    )

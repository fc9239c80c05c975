"""Decides which further workers a waiting step asks advice about.

Load pattern: the approved workers of a step are full, silent or avoided for seconds, while others
that advice was not asked about have room. Each worker is asked about once per incarnation, since
the answers do not change, so that the number of such calls is bounded by the number of workers.
"""

from collections.abc import Sequence

from nutmeglb_decisions.queues.crashing_tasks import isolation_of
from nutmeglb_decisions.queues.state import Isolation, Step
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_decisions.queues.worker_state import Worker

# A step that has no run asks about further workers after this time, and again at this interval. It
# is half of the time for which users accept an idle job beside free capacity.
WIDEN_AFTER_MS = 1_500.0
# Up to this share of the workers may have joined since the calls of a step before it makes another
# call about them. A larger share is a part of the service that the step has not covered yet.
TOP_UP_SHARE = 0.2


def track_idle_time(step: Step, now_ms: float) -> None:
    """Record since when a step that is due for a check has no run."""
    if step.live_runs:
        step.advice.idle_since_ms = None
    elif step.advice.idle_since_ms is None:
        step.advice.idle_since_ms = now_ms


def is_top_up(step: Step, good: Sequence[Worker], unasked_share: float) -> bool:
    """Return whether a step can do without the workers that it was not asked about, for a while.

    The approved workers can hold the step when empty, and only a few others have joined since. A
    call for each of them would take the place of calls of other steps.
    """
    slots = sum(slots_on(worker.info.capacity, step, 0) for worker in good)
    return slots >= step.spec.count and unasked_share <= TOP_UP_SHARE


def further_workers(
    step: Step, good: Sequence[Worker], unasked: Sequence[Worker], now_ms: float
) -> list[Worker]:
    """Return workers with room to ask about, if the approved ones have offered none for a while.

    Parameters
    ----------
    good, unasked
        Workers that advice approved, and workers that it was not asked about.
    """
    idle_since_ms = step.advice.idle_since_ms
    needs_empty = _needs_empty_worker(step)
    waits_since_ms = now_ms - WIDEN_AFTER_MS if needs_empty else idle_since_ms
    if waits_since_ms is None or now_ms < WIDEN_AFTER_MS + max(
        waits_since_ms, step.advice.widened_ms
    ):
        return []
    needed = step.spec.count if step.spec.gang else 1
    if sum(_slots(step, worker, needs_empty, now_ms) for worker in good) >= needed:
        return []
    return [worker for worker in unasked if _slots(step, worker, needs_empty, now_ms)]


def _needs_empty_worker(step: Step) -> bool:
    """Return whether a task of a step waits for a worker without runs."""
    waiting = (step.tasks[index] for index in step.lossy_tasks)
    return any(
        task.run is None and not task.done and isolation_of(step, task) != Isolation.NONE
        for task in waiting
    )


def _slots(step: Step, worker: Worker, needs_empty: bool, now_ms: float) -> int:
    """Return how many tasks of a step may start on a worker now."""
    if not worker.accepts_starts(now_ms) or (needs_empty and worker.runs):
        return 0
    return slots_on(worker.free, step, 0)

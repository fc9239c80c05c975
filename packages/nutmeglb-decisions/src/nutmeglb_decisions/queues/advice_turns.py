"""Chooses the waiting step for which an advice call is kept free in a pass.

Load pattern: advice takes a second, few instances can call, and better-ranked steps keep arriving
while most of the capacity is free. In rank order, the others would never be asked about.
"""

from collections.abc import Sequence

from nutmeglb_decisions.queues.advice import AdviceBudget, is_due
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.idle_jobs import LOW_UTILIZATION, utilization_by_service
from nutmeglb_decisions.queues.ranking import Rank
from nutmeglb_decisions.queues.state import Step

# A step without a run or a call for this long takes its turn. It is half of the time for which
# users accept an idle job beside free capacity; the call takes most of the rest.
TURN_AFTER_MS = 1_500.0


def keep_call_free(
    cell: Cell, ranked: Sequence[tuple[Rank, Step]], budget: AdviceBudget, now_ms: float
) -> None:
    """Keep a call free for the step that has waited longest for one, if its service has room."""
    advice_queues = [queue for queue in cell.queues.values() if queue.advice is not None]
    if not advice_queues:
        return
    used = utilization_by_service(cell)
    if not any(used.get(queue.service, 1.0) < LOW_UTILIZATION for queue in advice_queues):
        return
    longest_since_ms = now_ms - TURN_AFTER_MS
    chosen: Step | None = None
    cost_ms = 0.0
    for _, step in ranked:
        since_ms = _waiting_since_ms(step, now_ms)
        if since_ms > longest_since_ms or not is_due(step, now_ms) or step.live_runs:
            continue
        policy = cell.policy_of(step.job)
        if policy.advice is not None and used.get(policy.service, 1.0) < LOW_UTILIZATION:
            chosen, longest_since_ms = step, since_ms
            cost_ms = policy.advice.call_ms(1)
    if chosen is not None and budget.available_ms(cost_ms) > 0:
        chosen.advice.turn_ms = now_ms
        budget.keep_free(chosen, cost_ms)


def _waiting_since_ms(step: Step, now_ms: float) -> float:
    """Return since when a step has had neither a call nor a turn."""
    runnable_since_ms = now_ms if step.runnable_since_ms is None else step.runnable_since_ms
    return max(runnable_since_ms, step.advice.called_ms, step.advice.turn_ms)

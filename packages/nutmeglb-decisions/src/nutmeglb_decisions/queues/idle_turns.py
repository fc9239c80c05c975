"""Puts steps first that have waited long while most of the capacity of their service is free.

Load pattern: tasks crash their workers again and again. Many workers are gone or kept for suspects,
so that few accept starts at any moment. Each opens for a short time, and new or better-ranked work
takes it. Work that is late goes last, and would not start as long as this goes on, although little
of the capacity is in use.
"""

from collections.abc import Sequence
from heapq import nsmallest

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.idle_jobs import LOW_UTILIZATION, utilization_by_service
from nutmeglb_decisions.queues.ranking import Rank
from nutmeglb_decisions.queues.state import Step

# A step without a run for this long takes a turn. Callers accept an idle job beside free capacity
# for 3 s, of which an advice call takes most of the rest.
TURN_AFTER_MS = 2_000.0
# Steps of all services that take a turn at once, so that most advice calls are left to others.
MAX_TURNS = 4

RankedSteps = Sequence[tuple[Rank, Step]]


def choose_turns(cell: Cell, ranked: RankedSteps, now_ms: float) -> list[Step]:
    """Return the steps of idle jobs that have waited longest, beside free capacity.

    There are none unless workers are kept for tasks that may crash them.
    """
    if not cell.kept_workers:
        return []
    used = utilization_by_service(cell)
    if not any(share < LOW_UTILIZATION for share in used.values()):
        return []
    waiting = [
        (step.runnable_since_ms, position)
        for position, (_, step) in enumerate(ranked)
        if step.runnable_since_ms is not None
        and now_ms - step.runnable_since_ms >= TURN_AFTER_MS
        and used.get(cell.policy_of(step.job).service, 1.0) < LOW_UTILIZATION
        and not any(other.live_runs for other in step.job.steps)
    ]
    return [ranked[position][1] for _, position in nsmallest(MAX_TURNS, waiting)]


def put_first(ranked: RankedSteps, turns: Sequence[Step]) -> list[tuple[Rank, Step]]:
    """Return the ranked steps with those that take a turn before the others."""
    if not turns:
        return list(ranked)
    order = {id(step): position for position, step in enumerate(turns)}
    first = sorted(
        (each for each in ranked if id(each[1]) in order), key=lambda each: order[id(each[1])]
    )
    return first + [each for each in ranked if id(each[1]) not in order]

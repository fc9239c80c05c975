"""Term of the choice of a worker: who gets the fast ones.

Load pattern: urgent work and gangs that are in time only on fast workers, beside batch work that
could use any. Work with slack goes to the slowest worker on which it is in time, so that the fast
ones have room for the rest.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.estimates import DEFAULT_RUN_MS
from nutmeglb_decisions.queues.parts import LostTime, WorkerTerm
from nutmeglb_decisions.queues.ranking import step_forecast
from nutmeglb_decisions.queues.state import Step, Worker
from nutmeglb_decisions.queues.worker_speed import SLOWNESS_BOUNDS

# Share of steps that take no longer than the run time with which lateness is judged.
SAFE_SHARE = 0.8
# A worker that is slower than this has turned slow for a while, and is not filled on purpose.
MAX_USUAL_SLOWNESS = SLOWNESS_BOUNDS[1]


@dataclass(frozen=True, slots=True)
class Allowance:
    """What slowness a step can bear.

    Attributes
    ----------
    safe_run_ms
        Run time on an average worker that most steps of this kind do not exceed.
    left_ms
        Time until the step has to end for its job to be in time.
    yields
        Whether the step leaves fast workers to others while it is in time on slow ones.
    """

    safe_run_ms: float
    left_ms: float
    yields: bool


def _prepare(cell: Cell, now_ms: float) -> LostTime:
    if not any(speed.slowness != 1.0 for speed in cell.speeds.by_machine.values()):
        return lambda step, worker, run_ms: 0.0
    first_priorities: dict[str, int] = {}
    for queue in cell.queues.values():
        first = first_priorities.get(queue.service, queue.priority)
        first_priorities[queue.service] = min(first, queue.priority)
    allowances: dict[int, Allowance] = {}

    def lost_ms(step: Step, worker: Worker, run_ms: float) -> float:
        allowance = allowances.get(id(step))
        if allowance is None:
            allowance = _allowance(cell, step, first_priorities, now_ms)
            allowances[id(step)] = allowance
        return _lost_ms(allowance, worker.slowness, run_ms)

    return lost_ms


def _allowance(
    cell: Cell, step: Step, first_priorities: dict[str, int], now_ms: float
) -> Allowance:
    queue = cell.policy_of(step.job)
    expected = step_forecast(step, now_ms, cell.estimates)
    declared_ms = step.spec.estimate_ms or DEFAULT_RUN_MS
    run_ms = cell.estimates.run_ms(queue.name, declared_ms)
    later_ms = max(0.0, expected.remaining_ms - run_ms)
    left_ms = step.job.accepted_ms + expected.objective_ms - now_ms - later_ms
    yields = queue.priority > first_priorities.get(queue.service, 0) and not step.spec.gang
    safe_ms = cell.estimates.safe_run_ms(queue.name, declared_ms, SAFE_SHARE)
    return Allowance(safe_ms, left_ms, yields)


def _lost_ms(allowance: Allowance, slowness: float, run_ms: float) -> float:
    """Return the time by which a step is late on a worker, or by which others are for its sake."""
    late_ms = allowance.safe_run_ms * slowness - allowance.left_ms
    if late_ms > 0:
        return late_ms
    if not allowance.yields:
        return 0.0
    if slowness > MAX_USUAL_SLOWNESS:
        return run_ms * slowness
    bearable = min(allowance.left_ms / allowance.safe_run_ms, MAX_USUAL_SLOWNESS)
    return run_ms * (bearable - slowness)


SPEED_TERM = WorkerTerm("speed", _prepare)

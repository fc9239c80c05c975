"""Keeps the capacity that preemption frees for the step that it was freed for.

Load pattern: other work of the same priority waits as well, and would take what the first stopped
run frees before the last one has ended. A hold is only memory of the leader: the next leader holds
nothing, and the capacity goes to waiting work in rank order.
"""

from collections import defaultdict
from dataclasses import replace

from nutmeglb_decisions.queues.parts import RankedSteps
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass
from nutmeglb_decisions.queues.state import Run, RunState, Step
from nutmeglb_decisions.queues.step_state import RoomHold
from nutmeglb_decisions.queues.waiting_order import startable_tasks
from nutmeglb_decisions.queues.worker_selection import Reservation
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.resources import Resources

NOTHING = Resources()


def reserve_holds(state: SchedulingPass, ranked: RankedSteps) -> None:
    """Drop the holds that are no longer needed, and reserve the capacity of the others."""
    held: dict[str, Resources] = defaultdict(Resources)
    for position, (_, step) in enumerate(ranked):
        if not step.holds:
            continue
        step.holds = _remaining_holds(state, step)
        for worker_id, hold in step.holds.items():
            worker = state.cell.workers[worker_id]
            held[worker_id] = held[worker_id] + step.charged.scaled(hold.count)
            surplus = worker.free + incoming(worker, state.now_ms) - held[worker_id]
            reservation = Reservation(state.now_ms, surplus, position, step)
            state.reservations.add(worker_id, reservation)
            # Work of higher priority may use the capacity, but prefers other workers.
            state.planned.add(worker_id, replace(reservation, owner=None))
    state.cell.preemption.held_cpu_millis = sum(amount.cpu_millis for amount in held.values())


def _remaining_holds(state: SchedulingPass, step: Step) -> dict[str, RoomHold]:
    """Return the holds that a step still needs, each for the tasks that still need it."""
    waiting = len(startable_tasks(step, state.now_ms))
    holds = {}
    for worker_id, hold in step.holds.items():
        worker = state.cell.workers.get(worker_id)
        if worker is None or state.now_ms >= hold.expires_at_ms:
            continue
        count = min(_missing_count(step, worker_id, hold), waiting)
        if count > 0:
            holds[worker_id] = RoomHold(count, state.now_ms, hold.expires_at_ms)
            waiting -= count
    return holds


def _missing_count(step: Step, worker_id: str, hold: RoomHold) -> int:
    """Return how many tasks have not started in the capacity that is held for them."""
    started = sum(
        1
        for run in step.live_runs
        if run.worker_id == worker_id and run.ordered_ms >= hold.since_ms
    )
    return hold.count - started


def lost_room(state: SchedulingPass, step: Step) -> bool:
    """Return whether work of higher priority has taken some of the capacity held for a step."""
    for worker_id, hold in step.holds.items():
        worker = state.cell.workers.get(worker_id)
        if worker is None:
            return True
        room = worker.free + incoming(worker, state.now_ms)
        count = _missing_count(step, worker_id, hold)
        if count > 0 and not step.charged.scaled(count).fits_in(room):
            return True
    return False


def incoming(worker: Worker, now_ms: float) -> Resources:
    """Return the capacity of the runs that are being stopped for other work.

    A stop that took longer than expected no longer counts.
    """
    amount = NOTHING
    for run in worker.runs.values():
        if is_incoming(run, now_ms):
            amount = amount + run.charged
    return amount


def is_incoming(run: Run, now_ms: float) -> bool:
    """Return whether a run is being stopped for other work and is expected to end in time."""
    return run.state == RunState.STOPPING and now_ms < run.free_by_ms

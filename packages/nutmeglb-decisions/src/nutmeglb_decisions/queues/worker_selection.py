"""Selects workers for single tasks and gangs.

Load pattern: many small urgent tasks beside wide gangs. Small tasks go to the most utilized worker
on which they fit, so that whole workers stay free for gangs. A gang that does not fit yet reserves
capacity on its workers, for a bounded number of gangs; other work runs there only if it is expected
to end before the gang starts.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.parts import LostTime
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.resources import Resources

UNLIMITED = 1_000_000
NO_RUNS: Counter[str] = Counter()
# Differences of the lost time below this are ignored, so that utilization decides.
LOST_TIME_STEP_MS = 50.0


@dataclass(slots=True)
class Reservation:
    """Capacity of one worker that is reserved for a gang.

    Attributes
    ----------
    at_ms
        Expected start of the gang.
    surplus
        Capacity that remains at ``at_ms`` for other runs that last beyond it.
    position
        Position of the gang in the rank order of waiting steps, from 0.
    owner
        Step for which runs were stopped on the worker, if the reservation is for one. It binds
        neither this step nor work of higher priority.
    binds_all
        Whether it binds all steps but the owner.
    """

    at_ms: float
    surplus: Resources
    position: int = 0
    owner: Step | None = None
    binds_all: bool = False

    def is_open_to(self, step: Step) -> bool:
        """Return whether a step may use the capacity that was freed for the owner."""
        owner = self.owner
        if owner is None or owner is step:
            return owner is step
        has_precedence = step.job.record.queue.priority < owner.job.record.queue.priority
        return has_precedence and not self.binds_all


@dataclass(slots=True)
class Reservations:
    """All reservations of one scheduling pass, by worker."""

    by_worker: dict[str, list[Reservation]] = field(default_factory=dict)

    def binding(self, worker_id: str, step: Step) -> Iterator[Reservation]:
        """Yield the reservations on a worker that bind a step.

        A step with a hold on the worker is bound only by the holds before its own: the surplus of
        each hold is what remains after all earlier ones.
        """
        reservations = self.by_worker.get(worker_id, ())
        owned = next((n for n, each in enumerate(reservations) if each.owner is step), None)
        for reservation in reservations[:owned]:
            if not reservation.is_open_to(step):
                yield reservation

    def permits(self, worker_id: str, step: Step, end_ms: float) -> bool:
        """Return whether a task that ends at ``end_ms`` leaves all reserved capacity untouched."""
        return all(
            end_ms <= reservation.at_ms or step.charged.fits_in(reservation.surplus)
            for reservation in self.binding(worker_id, step)
        )

    def delay_penalty(self, worker_id: str, charged: Resources, end_ms: float) -> float:
        """Return the penalty of a run that ends at ``end_ms`` for the gangs that it delays.

        0 if it delays none, 1 if it delays the first gang in rank order, less for later ones.
        """
        delayed_positions = [
            reservation.position
            for reservation in self.by_worker.get(worker_id, ())
            if end_ms > reservation.at_ms and not charged.fits_in(reservation.surplus)
        ]
        return 1.0 / (1.0 + min(delayed_positions)) if delayed_positions else 0.0

    def charge(self, worker_id: str, step: Step, end_ms: float) -> None:
        """Charge a placed task to the surplus of the reservations that it outlasts."""
        for reservation in self.binding(worker_id, step):
            if end_ms > reservation.at_ms:
                reservation.surplus = reservation.surplus - step.charged

    def add(self, worker_id: str, reservation: Reservation) -> None:
        """Add a reservation on a worker."""
        self.by_worker.setdefault(worker_id, []).append(reservation)


@dataclass(frozen=True, slots=True)
class GangAssignment:
    """Workers for the tasks of a gang, in the order of the task indices."""

    worker_ids: tuple[str, ...]


def slots_on(free: Resources, step: Step, used_by_step: int) -> int:
    """Return how many tasks of a step fit into ``free`` on one worker.

    ``used_by_step`` is the number of tasks of the step that already run there.
    """
    charged = step.charged
    cpu, memory, accelerators = charged.cpu_millis, charged.memory_bytes, charged.accelerators
    if cpu > free.cpu_millis or memory > free.memory_bytes or accelerators > free.accelerators:
        return 0
    slot_count = free.cpu_millis // cpu if cpu else UNLIMITED
    if memory:
        slot_count = min(slot_count, free.memory_bytes // memory)
    if accelerators:
        slot_count = min(slot_count, free.accelerators // accelerators)
    if step.spec.max_per_worker:
        slot_count = min(slot_count, step.spec.max_per_worker - used_by_step)
    return max(0, slot_count)


def live_runs_per_worker(step: Step) -> Counter[str]:
    """Return the number of live runs of a step on each worker."""
    return Counter(run.worker_id for run in step.live_runs)


def choose_single(
    step: Step,
    candidates: Iterable[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
    planned: Reservations | None = None,
    lost_ms: LostTime | None = None,
) -> Worker | None:
    """Return the best worker for one task, or ``None`` if it fits on none.

    Workers in the preferred rack come first, then those where the task delays no gang, then those
    where callers lose the least time, then fast ones, then the most utilized.

    Parameters
    ----------
    reservations, planned
        Capacity that the task must not use, and capacity that it uses only if no other is left,
        starting with that of the last gangs in rank order.
    lost_ms
        Time that callers lose by a start on a worker.
    """
    runs_by_worker = live_runs_per_worker(step) if step.spec.max_per_worker else NO_RUNS
    best: tuple[float, ...] | None = None
    chosen: Worker | None = None
    for worker in candidates:
        if not slots_on(worker.free, step, runs_by_worker[worker.worker_id]):
            continue
        end_ms = now_ms + run_ms * worker.slowness
        if not reservations.permits(worker.worker_id, step, end_ms):
            continue
        score = (
            float(_is_outside_preferred_rack(step, worker)),
            planned.delay_penalty(worker.worker_id, step.charged, end_ms) if planned else 0.0,
            _rounded_lost_time(lost_ms, step, worker, run_ms),
            round(worker.slowness, 1),
            -worker.utilization,
        )
        if best is None or score < best:
            best, chosen = score, worker
    return chosen


def choose_gang(
    step: Step,
    candidates: Sequence[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
    lost_ms: LostTime | None = None,
) -> GangAssignment | None:
    """Return workers for all tasks of a gang, or ``None`` if they do not all fit now.

    For a step with ``same_rack``, each rack is tried alone before all candidates together.
    """
    groups: list[Sequence[Worker]] = [candidates]
    if step.spec.same_rack:
        racks = sorted({worker.info.rack for worker in candidates})
        groups = [[w for w in candidates if w.info.rack == rack] for rack in racks] + groups
    for group in groups:
        assignment = _assign_gang(step, group, reservations, now_ms, run_ms, lost_ms)
        if assignment is not None:
            return assignment
    return None


def _assign_gang(
    step: Step,
    group: Sequence[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
    lost_ms: LostTime | None,
) -> GangAssignment | None:
    """Assign the tasks of a gang to the workers of a group, or return ``None`` if they do not fit.

    The fastest workers are filled first, because a gang advances at the speed of its slowest
    member.
    """
    count = step.spec.count
    slots = {}
    for worker in group:
        slot_count = _unreserved_slots(
            step, worker, reservations, now_ms + run_ms * worker.slowness
        )
        if slot_count:
            slots[worker.worker_id] = (worker, slot_count)
    if sum(slot_count for _, slot_count in slots.values()) < count:
        return None
    chosen: list[str] = []
    ordered = sorted(slots.values(), key=lambda item: _gang_score(step, item[0], run_ms, lost_ms))
    for worker, slot_count in ordered:
        chosen.extend([worker.worker_id] * min(slot_count, count - len(chosen)))
    return GangAssignment(tuple(chosen))


def _gang_score(
    step: Step, worker: Worker, run_ms: float, lost_ms: LostTime | None
) -> tuple[float, ...]:
    return (
        float(_is_outside_preferred_rack(step, worker)),
        _rounded_lost_time(lost_ms, step, worker, run_ms),
        round(worker.slowness, 1),
        -worker.utilization,
    )


def _rounded_lost_time(
    lost_ms: LostTime | None, step: Step, worker: Worker, run_ms: float
) -> float:
    if lost_ms is None:
        return 0.0
    return float(round(lost_ms(step, worker, run_ms) / LOST_TIME_STEP_MS))


def _unreserved_slots(step: Step, worker: Worker, reservations: Reservations, end_ms: float) -> int:
    free = worker.free
    for reservation in reservations.binding(worker.worker_id, step):
        if end_ms > reservation.at_ms:
            free = free.component_min(reservation.surplus)
    return slots_on(free, step, 0)


def _is_outside_preferred_rack(step: Step, worker: Worker) -> bool:
    rack = step.spec.preferred_rack
    return bool(rack) and worker.info.rack != rack

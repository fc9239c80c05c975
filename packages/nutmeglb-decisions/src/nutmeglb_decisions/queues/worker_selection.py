"""Choice of workers for tasks and gangs.

Load pattern answered: many small urgent tasks beside wide gangs. Small tasks fill the fullest
worker that still has room, so that whole workers stay free for gangs; a gang that does not fit yet
reserves its workers for a bounded number of ranks, and smaller work runs there only when it is
expected to end before the gang starts.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.state import Step, Worker
from nutmeglb_formats.models.resources import Resources

UNLIMITED = 1_000_000
NO_RUNS: Counter[str] = Counter()


@dataclass(slots=True)
class Reservation:
    """Room of one worker kept for a gang.

    Attributes
    ----------
    at_ms
        Expected start of the gang.
    surplus
        What other work that lasts beyond ``at_ms`` may still take.
    place
        Position of the gang in the order of waiting steps, from 0.
    """

    at_ms: float
    surplus: Resources
    position: int = 0


@dataclass(slots=True)
class Reservations:
    """All reservations of one scheduling pass, by worker."""

    by_worker: dict[str, list[Reservation]] = field(default_factory=dict)

    def permits(self, worker_id: str, charged: Resources, end_ms: float) -> bool:
        """Return whether a run until ``end_ms`` leaves every reserved amount in place."""
        return all(
            end_ms <= reservation.at_ms or charged.fits_in(reservation.surplus)
            for reservation in self.by_worker.get(worker_id, ())
        )

    def delay_penalty(self, worker_id: str, charged: Resources, end_ms: float) -> float:
        """Return how much a run until ``end_ms`` harms the gangs: 0 not at all, 1 the first one."""
        delayed_positions = [
            reservation.position
            for reservation in self.by_worker.get(worker_id, ())
            if end_ms > reservation.at_ms and not charged.fits_in(reservation.surplus)
        ]
        return 1.0 / (1.0 + min(delayed_positions)) if delayed_positions else 0.0

    def charge(self, worker_id: str, charged: Resources, end_ms: float) -> None:
        """Take a placed run from the surplus."""
        for reservation in self.by_worker.get(worker_id, ()):
            if end_ms > reservation.at_ms:
                reservation.surplus = reservation.surplus - charged

    def add(self, worker_id: str, reservation: Reservation) -> None:
        """Keep room of a worker."""
        self.by_worker.setdefault(worker_id, []).append(reservation)


@dataclass(frozen=True, slots=True)
class GangAssignment:
    """Workers for the tasks of a step, in the order of the task indices given."""

    worker_ids: tuple[str, ...]


def slots_on(free: Resources, step: Step, used_by_step: int) -> int:
    """Return how many tasks of a step fit into ``free`` on one worker."""
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
) -> Worker | None:
    """Return the best worker for one task: its data's rack, then fast, then the fullest.

    Parameters
    ----------
    reservations, planned
        Room that the task must leave, and room that it takes only where no other is left, first
        that of the gangs that come last.
    """
    runs_by_worker = live_runs_per_worker(step) if step.spec.max_per_worker else NO_RUNS
    best: tuple[float, ...] | None = None
    chosen: Worker | None = None
    for worker in candidates:
        if not slots_on(worker.free, step, runs_by_worker[worker.worker_id]):
            continue
        end_ms = now_ms + run_ms * worker.slowness
        if not reservations.permits(worker.worker_id, step.charged, end_ms):
            continue
        score = (
            float(_is_outside_preferred_rack(step, worker)),
            planned.delay_penalty(worker.worker_id, step.charged, end_ms) if planned else 0.0,
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
) -> GangAssignment | None:
    """Return workers for all tasks of a gang, or ``None`` when they do not fit together."""
    groups: list[Sequence[Worker]] = [candidates]
    if step.spec.same_rack:
        racks = sorted({worker.info.rack for worker in candidates})
        groups = [[w for w in candidates if w.info.rack == rack] for rack in racks] + groups
    for group in groups:
        assignment = _assign_gang(step, group, reservations, now_ms, run_ms)
        if assignment is not None:
            return assignment
    return None


def _assign_gang(
    step: Step,
    group: Sequence[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
) -> GangAssignment | None:
    """Fill the fastest workers first: a gang advances at the speed of its slowest member."""
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
    for worker, slot_count in sorted(slots.values(), key=lambda item: _gang_score(step, item[0])):
        chosen.extend([worker.worker_id] * min(slot_count, count - len(chosen)))
    return GangAssignment(tuple(chosen))


def _gang_score(step: Step, worker: Worker) -> tuple[float, ...]:
    return (
        float(_is_outside_preferred_rack(step, worker)),
        round(worker.slowness, 1),
        -worker.utilization,
    )


def _unreserved_slots(step: Step, worker: Worker, reservations: Reservations, end_ms: float) -> int:
    free = worker.free
    for reservation in reservations.by_worker.get(worker.worker_id, ()):
        if end_ms > reservation.at_ms:
            free = _component_min(free, reservation.surplus)
    return slots_on(free, step, 0)


def _component_min(first: Resources, second: Resources) -> Resources:
    return Resources(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_bytes, second.memory_bytes),
        min(first.accelerators, second.accelerators),
    )


def _is_outside_preferred_rack(step: Step, worker: Worker) -> bool:
    rack = step.spec.preferred_rack
    return bool(rack) and worker.info.rack != rack

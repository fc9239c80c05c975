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
NONE_PRESENT: Counter[str] = Counter()


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
    place: int = 0


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

    def harm(self, worker_id: str, charged: Resources, end_ms: float) -> float:
        """Return how much a run until ``end_ms`` harms the gangs: 0 not at all, 1 the first one."""
        harmed = [
            reservation.place
            for reservation in self.by_worker.get(worker_id, ())
            if end_ms > reservation.at_ms and not charged.fits_in(reservation.surplus)
        ]
        return 1.0 / (1.0 + min(harmed)) if harmed else 0.0

    def charge(self, worker_id: str, charged: Resources, end_ms: float) -> None:
        """Take a placed run from the surplus."""
        for reservation in self.by_worker.get(worker_id, ()):
            if end_ms > reservation.at_ms:
                reservation.surplus = reservation.surplus - charged

    def add(self, worker_id: str, reservation: Reservation) -> None:
        """Keep room of a worker."""
        self.by_worker.setdefault(worker_id, []).append(reservation)


@dataclass(frozen=True, slots=True)
class Choice:
    """Workers for the tasks of a step, in the order of the task indices given."""

    worker_ids: tuple[str, ...]


def slots_on(free: Resources, step: Step, used_by_step: int) -> int:
    """Return how many tasks of a step fit into ``free`` on one worker."""
    charged = step.charged
    cpu, memory, accelerators = charged.cpu_millis, charged.memory_bytes, charged.accelerators
    if cpu > free.cpu_millis or memory > free.memory_bytes or accelerators > free.accelerators:
        return 0
    fitting = free.cpu_millis // cpu if cpu else UNLIMITED
    if memory:
        fitting = min(fitting, free.memory_bytes // memory)
    if accelerators:
        fitting = min(fitting, free.accelerators // accelerators)
    if step.spec.max_per_worker:
        fitting = min(fitting, step.spec.max_per_worker - used_by_step)
    return max(0, fitting)


def tasks_per_worker(step: Step) -> Counter[str]:
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
    present = tasks_per_worker(step) if step.spec.max_per_worker else NONE_PRESENT
    best: tuple[float, ...] | None = None
    chosen: Worker | None = None
    for worker in candidates:
        if not slots_on(worker.free, step, present[worker.worker_id]):
            continue
        end_ms = now_ms + run_ms * worker.slowness
        if not reservations.permits(worker.worker_id, step.charged, end_ms):
            continue
        score = (
            float(_is_remote(step, worker)),
            planned.harm(worker.worker_id, step.charged, end_ms) if planned else 0.0,
            round(worker.slowness, 1),
            -worker.fullness,
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
) -> Choice | None:
    """Return workers for all tasks of a gang, or ``None`` when they do not fit together."""
    groups: list[Sequence[Worker]] = [candidates]
    if step.spec.same_rack:
        racks = sorted({worker.info.rack for worker in candidates})
        groups = [[w for w in candidates if w.info.rack == rack] for rack in racks] + groups
    for group in groups:
        choice = _gang_in(step, group, reservations, now_ms, run_ms)
        if choice is not None:
            return choice
    return None


def _gang_in(
    step: Step,
    group: Sequence[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
) -> Choice | None:
    """Fill the fastest workers first: a gang advances at the speed of its slowest member."""
    count = step.spec.count
    slots = {}
    for worker in group:
        fitting = _unreserved_slots(step, worker, reservations, now_ms + run_ms * worker.slowness)
        if fitting:
            slots[worker.worker_id] = (worker, fitting)
    if sum(fitting for _, fitting in slots.values()) < count:
        return None
    chosen: list[str] = []
    for worker, fitting in sorted(slots.values(), key=lambda item: _gang_score(step, item[0])):
        chosen.extend([worker.worker_id] * min(fitting, count - len(chosen)))
    return Choice(tuple(chosen))


def _gang_score(step: Step, worker: Worker) -> tuple[float, ...]:
    return (float(_is_remote(step, worker)), round(worker.slowness, 1), -worker.fullness)


def _unreserved_slots(step: Step, worker: Worker, reservations: Reservations, end_ms: float) -> int:
    free = worker.free
    for reservation in reservations.by_worker.get(worker.worker_id, ()):
        if end_ms > reservation.at_ms:
            free = _smaller(free, reservation.surplus)
    return slots_on(free, step, 0)


def _smaller(first: Resources, second: Resources) -> Resources:
    return Resources(
        min(first.cpu_millis, second.cpu_millis),
        min(first.memory_bytes, second.memory_bytes),
        min(first.accelerators, second.accelerators),
    )


def _is_remote(step: Step, worker: Worker) -> bool:
    rack = step.spec.preferred_rack
    return bool(rack) and worker.info.rack != rack

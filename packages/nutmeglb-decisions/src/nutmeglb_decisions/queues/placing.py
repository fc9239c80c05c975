"""One scheduling pass: ranks the waiting steps, asks for advice and starts what fits."""

import math
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from nutmeglb_decisions.invariants import LEDGER_CAPACITY, require
from nutmeglb_decisions.queues import advice
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.fitting import (
    Reservations,
    choose_gang,
    choose_single,
    slots_on,
)
from nutmeglb_decisions.queues.gang_plans import keep_plan, reserve
from nutmeglb_decisions.queues.headroom import spare_cpu
from nutmeglb_decisions.queues.ranking import Rank, Tier, rank_of
from nutmeglb_decisions.queues.state import Job, Run, Step, Task, Worker
from nutmeglb_formats.models.resources import Resources

# Share of a service's processors that waiting gangs may keep; more would leave too little for work
# that ends before they start.
RESERVED_SHARE = 0.3
# Gangs whose expected start is computed in one pass, so that it stays short.
MAX_RESERVE_ATTEMPTS = 16
# Workers looked at in one pass, so that it takes some 10 ms at most while thousands of steps wait.
# A step that waits for advice or has no worker takes no part of it.
LOOKS_PER_PASS = 20_000
# Workers recorded at once for a step without advice, unless it needs more to hold all its tasks.
RECORD_WORKERS = 30
# Between two looks at whether the recorded workers can hold a step; workers come and go slower.
RECORD_CHECK_MS = 500.0

RankFunction = Callable[[Step, float, float, Estimates], Rank]


@dataclass(slots=True)
class Pass:
    """Inputs of one scheduling pass, and what it has found so far.

    Attributes
    ----------
    reservations, planned
        Room kept for gangs that were tried in this pass, which binds all that follow; and for all
        gangs as of the former pass, which better-ranked work avoids where it can.
    eligible
        Per service and label: the workers that may be used.
    placed
        Runs of the present step.
    planned_cpu
        Thousandths of a core that gangs wait for, per worker.
    reserved_cpu, gang_priorities
        Per service: thousandths of a core kept for gangs in this pass, and their best priority.
    looks
        Workers looked at.
    without_room
        Per service and label: sizes of tasks for which no worker has room. Room only shrinks
        during a pass, so larger tasks need not be tried.
    """

    cell: Cell
    rng: random.Random
    now_ms: float
    wall_ms: float
    budget: advice.AdviceBudget
    reservations: Reservations
    planned: Reservations
    reserved_cpu: dict[str, int] = field(default_factory=dict)
    reserve_attempts: int = 0
    looks: int = 0
    eligible: dict[tuple[str, str], list[Worker]] = field(default_factory=dict)
    without_room: dict[tuple[str, str], list[Resources]] = field(default_factory=dict)
    placed: list[Run] = field(default_factory=list)
    planned_cpu: dict[str, int] = field(default_factory=dict)
    gang_priorities: dict[str, int] = field(default_factory=dict)


def schedule(
    cell: Cell,
    callers: int,
    rng: random.Random,
    now_ms: float,
    wall_ms: float,
    rank: RankFunction = rank_of,
) -> None:
    """Run one pass. Orders and questions are added to the cell's effects."""
    state = Pass(
        cell,
        rng,
        now_ms,
        wall_ms,
        advice.AdviceBudget.of(cell, callers, now_ms),
        Reservations(),
        Reservations(),
    )
    ranked = ranked_steps(cell, now_ms, wall_ms, rank)
    for place, (_, step) in enumerate(ranked):
        if step.plan is not None:
            reserve(step, cell.workers, state.planned, now_ms, place)
            for worker_id, count in step.plan.counts.items():
                amount = count * step.spec.charged.cpu_millis
                state.planned_cpu[worker_id] = state.planned_cpu.get(worker_id, 0) + amount
    cell.class_use.look(cell.workers.values(), state.planned_cpu, now_ms)
    for step_rank, step in ranked:
        _place_step(state, step)
        _log_placed(state, step, step_rank)
        if state.looks >= LOOKS_PER_PASS:
            break


def ranked_steps(
    cell: Cell, now_ms: float, wall_ms: float, rank: RankFunction = rank_of
) -> list[tuple[Rank, Step]]:
    """Return the steps with a task that may start, best rank first."""
    ranked = []
    for job in cell.active.values():
        for step in _open_steps(job):
            if _waiting(step, now_ms):
                if step.opened_ms is None:
                    step.opened_ms = now_ms
                start_ms = _due_ms(job, step, now_ms, wall_ms)
                ranked.append((rank(step, start_ms, now_ms, cell.estimates), step))
    ranked.sort(key=lambda item: item[0].key)
    return ranked


def _due_ms(job: Job, step: Step, now_ms: float, wall_ms: float) -> float:
    """Return the monotonic time from which the objective of a step's occurrence counts."""
    if not job.record.repeats:
        return job.accepted_ms
    due_wall_ms = job.record.first_ms + step.occurrence * job.record.interval_ms
    return now_ms - max(0.0, wall_ms - due_wall_ms)


def _open_steps(job: Job) -> Iterator[Step]:
    for steps in job.occurrences.values():
        for step in steps:
            if not step.done and all(steps[before].done for before in step.spec.after):
                yield step


def _waiting(step: Step, now_ms: float) -> list[Task]:
    """Return the tasks that may start now: all or none of a gang."""
    if step.unsettled or now_ms < step.not_before_ms:
        return []
    if step.spec.gang:
        if any(task.run or now_ms < task.not_before_ms for task in step.tasks):
            return []
        return step.tasks
    return [
        task
        for task in step.tasks
        if not task.done and task.run is None and now_ms >= task.not_before_ms
    ]


def _place_step(state: Pass, step: Step) -> None:
    cell, now_ms = state.cell, state.now_ms
    workers = _eligible(state, step)
    if not workers:
        return
    if cell.policy_of(step.job).advice is None:
        candidates = _with_room(state, step, workers)
        _record_workers(cell, step, workers, candidates, now_ms)
    else:
        candidates = advice.with_ticket(cell, step, now_ms)
    state.looks += 1 + len(candidates)
    ready = [worker for worker in candidates if _ready(step, worker, now_ms)]
    if step.spec.gang:
        start_ms = _place_gang(state, step, ready, workers)
    else:
        start_ms = _place_singles(state, step, ready, workers)
    if start_ms is not None and advice.is_due(step, now_ms):
        state.looks += len(workers)
        advice.ask(cell, step, workers, state.budget, state.rng, now_ms, start_ms)


def _log_placed(state: Pass, step: Step, rank: Rank) -> None:
    """Log the starts of a step in one line: ``INDEX@WORKER:RUN`` each."""
    placed, state.placed = state.placed, []
    if not placed:
        return
    now_ms, workers = state.now_ms, state.cell.workers
    state.cell.decide(
        "tasks_placed",
        "room and rank",
        job=step.job.job_id,
        step=step.name,
        runs=" ".join(f"{run.index}@{run.worker_id}:{run.number}" for run in placed),
        tier=Tier(rank.tier).name.lower(),
        waited_ms=round(now_ms - (step.opened_ms or now_ms)),
        expected_ms=round(_run_ms(state, step)),
        reports_age_ms=round(now_ms - min(workers[run.worker_id].reported_ms for run in placed)),
    )


def _eligible(state: Pass, step: Step) -> list[Worker]:
    """Return the workers that may run a step, computed once per pass, service and label."""
    service = state.cell.policy_of(step.job).service
    key = (service, step.spec.required_label)
    if key not in state.eligible:
        state.eligible[key] = advice.eligible(state.cell, step)
    return state.eligible[key]


def _with_room(state: Pass, step: Step, workers: Sequence[Worker]) -> list[Worker]:
    """Return the workers with room for a task, at once when a smaller task found none before."""
    charged = step.spec.charged
    key = (state.cell.policy_of(step.job).service, step.spec.required_label)
    without_room = state.without_room.setdefault(key, [])
    if any(smaller.fits_in(charged) for smaller in without_room):
        return []
    state.looks += len(workers)
    found = [worker for worker in workers if charged.fits_in(worker.free)]
    if not found:
        without_room.append(charged)
    return found


def _ready(step: Step, worker: Worker, now_ms: float) -> bool:
    return (
        step.spec.charged.fits_in(worker.free)
        and worker.worker_id in step.recorded
        and worker.settled
        and not worker.strays
        and now_ms >= worker.suspect_until_ms
        and worker.unanswered_since_ms is None
    )


def _record_workers(
    cell: Cell, step: Step, workers: Sequence[Worker], with_room: Sequence[Worker], now_ms: float
) -> None:
    """Make workers durable for a step without advice, before a task is sent to them.

    The recorded workers can hold the whole step when they are empty. Others follow when the
    recorded ones are full and these have room.
    """
    wanted = step.wanted
    missing = 0.0
    if now_ms >= step.record_check_ms:
        step.record_check_ms = now_ms + RECORD_CHECK_MS
        missing = advice.missing_slots(step, [w for w in workers if w.worker_id in wanted])
    if missing > 0:
        others = [w for w in workers if w.worker_id not in wanted]
    elif any(worker.worker_id in wanted for worker in with_room):
        return
    else:
        others = list(with_room)
    if not others:
        return
    others.sort(key=lambda worker: -slots_on(worker.free, step, 0))
    held = 0
    for number, worker in enumerate(others):
        if number >= RECORD_WORKERS and held >= missing:
            break
        wanted.add(worker.worker_id)
        held += slots_on(worker.info.capacity, step, 0)
    cell.mark_dirty(step.job)


def _run_ms(state: Pass, step: Step) -> float:
    queue = step.job.record.queue.name
    return state.cell.estimates.run_ms(queue, step.spec.estimate_ms)


def _place_singles(
    state: Pass, step: Step, ready: Sequence[Worker], workers: Sequence[Worker]
) -> float | None:
    """Start what fits. Return when others may start, or ``None`` when none is left."""
    run_ms = _run_ms(state, step)
    for task in _waiting(step, state.now_ms):
        if not _leaves_headroom(state, step):
            return math.inf
        worker = choose_single(step, ready, state.reservations, state.now_ms, run_ms, state.planned)
        if worker is None:
            return _next_room_ms(state, step, workers, run_ms)
        number = state.cell.next_run(task.last_run)
        _start(state, step, task, worker, number, run_ms)
    return None


def _leaves_headroom(state: Pass, step: Step) -> bool:
    """Return whether a task leaves room for the classes better than that of a waiting gang."""
    service = step.job.record.queue.service
    priority = state.gang_priorities.get(service)
    if priority is None or step.job.record.queue.priority < priority:
        return True
    use = state.cell.class_use
    headroom = use.headroom(service, priority)
    if not headroom:
        return True
    workers = state.cell.workers.values()
    state.looks += len(workers)
    spare = spare_cpu(workers, service, state.planned_cpu, use.unit(service, priority))
    return spare - step.spec.charged.cpu_millis >= headroom


def _next_room_ms(state: Pass, step: Step, workers: Sequence[Worker], run_ms: float) -> float:
    """Return when one of a step's good workers is expected to have room for a task."""
    good = _good(step, workers)
    if choose_single(step, good, state.reservations, state.now_ms, run_ms) is not None:
        return state.now_ms
    ends = [run.expected_end_ms for worker in good for run in worker.runs.values()]
    return max(state.now_ms, min(ends, default=math.inf))


def _good(step: Step, workers: Sequence[Worker]) -> list[Worker]:
    """Return the workers that may run an advised step, whether a ticket is at hand or not."""
    good = step.advice.good
    return [w for w in workers if w.worker_id in good and w.unanswered_since_ms is None]


def _place_gang(
    state: Pass, step: Step, ready: Sequence[Worker], workers: Sequence[Worker]
) -> float | None:
    """Start a gang if it fits. Return when it may otherwise, or ``None`` when it was started."""
    run_ms = _run_ms(state, step)
    choice = choose_gang(step, ready, state.reservations, state.now_ms, run_ms)
    if choice is None:
        good = _good(step, workers)
        fits = choose_gang(step, good, state.reservations, state.now_ms, run_ms) is not None
        at_ms = _reserve(state, step, workers)
        return state.now_ms if fits else at_ms
    step.plan = None
    number = state.cell.next_run(max(task.last_run for task in step.tasks))
    for task, worker_id in zip(step.tasks, choice.worker_ids, strict=True):
        _start(state, step, task, state.cell.workers[worker_id], number, run_ms)
    return None


def _reserve(state: Pass, step: Step, workers: Sequence[Worker]) -> float:
    """Keep room for a gang. Return its expected start, infinite when nothing is kept."""
    cell, now_ms = state.cell, state.now_ms
    rank = rank_of(step, step.job.accepted_ms, now_ms, cell.estimates)
    if rank.tier == Tier.TOO_LATE or state.reserve_attempts >= MAX_RESERVE_ATTEMPTS:
        step.plan = None
        return math.inf
    state.reserve_attempts += 1
    terms = cell.policy_of(step.job).advice
    allowed = step.recorded if terms is None else step.advice.good
    good = [w for w in workers if w.worker_id in allowed and w.settled]
    queue = step.job.record.queue
    reserved = state.reserved_cpu.get(queue.service, 0)
    wanted = step.spec.charged.cpu_millis * step.spec.count
    room = RESERVED_SHARE * sum(worker.info.capacity.cpu_millis for worker in workers)
    if not good or (reserved and reserved + wanted > room):
        step.plan = None
        return math.inf
    at_ms = keep_plan(step, good, now_ms)
    if at_ms is None:
        return math.inf
    reserve(step, cell.workers, state.reservations, now_ms)
    state.reserved_cpu[queue.service] = reserved + wanted
    former = state.gang_priorities.get(queue.service, queue.priority)
    state.gang_priorities[queue.service] = min(former, queue.priority)
    return at_ms


def _start(state: Pass, step: Step, task: Task, worker: Worker, number: int, run_ms: float) -> None:
    cell, now_ms = state.cell, state.now_ms
    expected_ms = now_ms + run_ms * worker.slowness
    charged = step.spec.charged
    run = Run(step, task.index, number, worker.worker_id, charged, now_ms, expected_ms)
    run.resumed = bool(task.checkpoint)
    require(
        charged.fits_in(worker.free),
        LEDGER_CAPACITY,
        "A start exceeds the capacity of a worker",
        worker=worker.worker_id,
        task=run.task,
    )
    worker.charge(charged)
    # The order is sent after this pass and may be the first renewal in a long time.
    worker.lapse_ms = max(worker.lapse_ms, now_ms + cell.lapse_after_ms)
    worker.runs[(run.task, number)] = run
    state.reservations.charge(worker.worker_id, charged, expected_ms)
    state.planned.charge(worker.worker_id, charged, expected_ms)
    task.run = run
    task.last_run = number
    state.placed.append(run)
    ticket = step.advice.tickets.get(worker.worker_id, ("", 0.0))[0]
    body = step.job.record.body
    cell.effects.append(
        StartTask(worker.worker_id, run.task, number, body, task.checkpoint, ticket)
    )

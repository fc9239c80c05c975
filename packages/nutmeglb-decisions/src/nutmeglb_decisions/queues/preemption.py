"""Stops work of lower priority for steps that would miss their objective for want of room.

Load pattern: bursts of some seconds in which live orders, gangs and wide batch compete for too
little room. The order of waiting work alone does not help a gang: what it needs at once becomes
free piece by piece. The capacity of a stopped run counts as free when its end is proved; until then
it is held for the step (``room_holds``).
"""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from nutmeglb_decisions.queues import advice
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.gang_plans import expected_end_ms
from nutmeglb_decisions.queues.lifecycle import stop_run
from nutmeglb_decisions.queues.parts import RankedSteps
from nutmeglb_decisions.queues.ranking import Rank, Tier
from nutmeglb_decisions.queues.room_holds import is_incoming, lost_room
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass
from nutmeglb_decisions.queues.state import RunState, Step
from nutmeglb_decisions.queues.step_state import RoomHold
from nutmeglb_decisions.queues.victim_choice import Victim, VictimClass, VictimSearch
from nutmeglb_decisions.queues.waiting_order import startable_tasks
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_decisions.victims import Candidate, cheapest_victims
from nutmeglb_formats.models.resources import Resources

MS_PER_S = 1_000.0
# Interval of the searches. A stop takes several times as long.
CHECK_INTERVAL_MS = 50.0
# Time that an order and the report of its effect take, besides the stop itself.
ORDER_MS = 100.0
# Time that a hold lasts beyond the expected end of the victims. Stops are repeated after a lost
# answer, and room that better work takes is made free again.
HOLD_EXTRA_MS = 1_500.0
# Share of the CPU of all workers that may be spent on doing work again, averaged over seconds.
MAX_LOST_SHARE = 0.03
# Steps that one search considers, which bounds its time.
MAX_STEPS_PER_CHECK = 8
# Interval of the searches for one step, so that all steps have their turn.
STEP_INTERVAL_MS = 150.0
# Victims on one worker.
MAX_VICTIMS_PER_WORKER = 12


@dataclass(frozen=True, slots=True)
class PreemptionOptions:
    """Bounds of the workers.

    Attributes
    ----------
    max_stop_ms
        Longest time in milliseconds from the answer to a stop until the run has ended.
    restore_ms
        Time in milliseconds that a task needs to resume from its checkpoint.
    """

    max_stop_ms: float
    restore_ms: float

    @property
    def freed_after_ms(self) -> float:
        """Return the time from the decision to stop a run until its capacity is free."""
        return self.max_stop_ms + ORDER_MS


@dataclass(slots=True)
class _Room:
    """Room for tasks of one step on a worker: what is free, and what the stop of victims adds."""

    worker: Worker
    free: Resources
    count: int
    victims: list[Candidate[Victim]]

    @property
    def cost(self) -> float:
        return sum(candidate.cost for candidate in self.victims)


class _Search:
    """One search for steps that need preemption."""

    def __init__(self, state: SchedulingPass, options: PreemptionOptions) -> None:
        self._state = state
        self._cell = state.cell
        self._now_ms = state.now_ms
        self._freed_ms = state.now_ms + options.freed_after_ms
        self._options = options
        terms = tuple(term(state.cell, state.now_ms) for term in state.cell.parts.victim_terms)
        self._victims = VictimSearch(
            state.cell, state.now_ms, state.wall_ms, options.freed_after_ms, options.restore_ms,
            terms,
        )  # fmt: skip
        # Capacity that steps considered so far will use when it becomes free.
        self._promised: dict[str, Resources] = defaultdict(Resources)
        # Capacity that will be free on a worker at the time at which victims have ended.
        self._free_soon: dict[str, Resources] = {}

    def hold_promises(self, ranked: RankedSteps) -> None:
        """Count what is held for steps as promised."""
        for _, step in ranked:
            for worker_id, hold in step.holds.items():
                self._promise(worker_id, step, hold.count)

    def consider(self, step: Step, rank: Rank) -> None:
        """Stop runs for a step if it would be late otherwise."""
        count = self._admitted_count(step)
        workers = self._usable_workers(step)
        if not count or not workers:
            return
        step.room_search_ms = self._now_ms + STEP_INTERVAL_MS
        deadline_ms = rank.latest_start_ms - _lead_ms(self._cell, step, self._options)
        if self._promise_natural(step, workers, count, deadline_ms):
            return
        ready = [worker for worker in workers if self._will_be_ready(step, worker)]
        rooms = self._affordable_room(step, rank, ready, count)
        if rooms:
            self._apply(step, rank, rooms)
        elif len(ready) < len(workers) and self._affordable_room(step, rank, workers, count):
            # Nothing is stopped before the advice is valid, or its room would idle until then.
            step.expects_room_until_ms = self._now_ms + 2 * STEP_INTERVAL_MS

    def _admitted_count(self, step: Step) -> int:
        """Return how many tasks of a step wait and may start as far as the gates are concerned."""
        waiting = len(startable_tasks(step, self._now_ms))
        counts = (waiting,) if step.spec.gang else range(waiting, 0, -1)
        gates = self._state.gates
        admitted = (n for n in counts if all(gate.admits(step, n) for gate in gates))
        return next(admitted, 0)

    def _usable_workers(self, step: Step) -> list[Worker]:
        """Return the workers that could start a task of a step if they had room."""
        cell = self._cell
        if cell.policy_of(step.job).advice is not None:
            workers = advice.approved_workers(cell, step)
        else:
            workers = advice.eligible(cell, step)
        return [
            worker
            for worker in workers
            if worker.worker_id in step.recorded and worker.accepts_starts(self._now_ms)
        ]

    def _will_be_ready(self, step: Step, worker: Worker) -> bool:
        """Return whether a step can start on a worker as soon as victims have ended."""
        timing = self._cell.policy_of(step.job).advice
        if timing is None:
            return True
        _, expires_at_ms = step.advice.tickets.get(worker.worker_id, ("", 0.0))
        # Tickets from short calls are renewed all the time.
        is_short = timing.call_ms(len(step.advice.good)) <= advice.LONG_CALL_MS
        needed_until_ms = self._now_ms if is_short else self._freed_ms
        return expires_at_ms - advice.TICKET_MARGIN_MS > needed_until_ms

    def _affordable_room(
        self, step: Step, rank: Rank, workers: Sequence[Worker], count: int
    ) -> list[_Room]:
        """Return room for the tasks of a step, or nothing if that loses more than their work."""
        rooms = self._choose(step, workers, count)
        lost_work = sum(room.cost for room in rooms)
        return rooms if lost_work <= rank.remaining_work else []

    def _room_at(self, worker: Worker, step: Step, at_ms: float) -> Resources:
        """Return the capacity that a step can expect on a worker without further stops."""
        if at_ms != self._freed_ms:
            room = self._free_at(worker, at_ms)
        elif worker.worker_id in self._free_soon:
            room = self._free_soon[worker.worker_id]
        else:
            room = self._free_soon[worker.worker_id] = self._free_at(worker, at_ms)
        room = room - self._promised[worker.worker_id]
        for reservation in self._state.reservations.binding(worker.worker_id, step):
            if reservation.owner is None:
                room = room.component_min(reservation.surplus)
        return room

    def _free_at(self, worker: Worker, at_ms: float) -> Resources:
        """Return the capacity that will be free on a worker if nothing more starts or stops."""
        room = worker.free
        for run in worker.runs.values():
            if run.state == RunState.STOPPING:
                if is_incoming(run, self._now_ms):
                    room = room + run.charged
            elif expected_end_ms(run, self._now_ms) <= at_ms:
                room = room + run.charged
        return room

    def _promise(self, worker_id: str, step: Step, count: int) -> None:
        self._promised[worker_id] = self._promised[worker_id] + step.charged.scaled(count)

    def _promise_natural(
        self, step: Step, workers: Sequence[Worker], count: int, deadline_ms: float
    ) -> bool:
        """Return whether enough room becomes free in time by itself, and promise it to the step."""
        places = []
        for worker in workers:
            slots = min(count, slots_on(self._room_at(worker, step, deadline_ms), step, 0))
            if slots:
                places.append((worker.worker_id, slots))
                count -= slots
            if not count:
                for worker_id, taken in places:
                    self._promise(worker_id, step, taken)
                return True
        return False

    def _choose(self, step: Step, workers: Sequence[Worker], count: int) -> list[_Room]:
        """Return room for the tasks of a step, at the lowest loss that the fewest classes allow.

        Without a stop there is room for some of them at most: otherwise the result is empty.
        """
        queue = step.job.queue_key
        run_ms = self._cell.estimates.run_ms(queue, step.spec.estimate_ms)
        rooms = []
        for worker in workers:
            free = self._room_at(worker, step, self._freed_ms)
            slots = min(count, slots_on(free, step, 0))
            count -= slots
            if not count:
                return []
            rooms.append(_Room(worker, free, slots, []))
        candidates = {
            worker.worker_id: list(self._victims.candidates(worker, step, run_ms))
            for worker in workers
        }
        for worst_class in VictimClass:
            allowed = {
                worker_id: [c for c in found if c.victim.victim_class <= worst_class]
                for worker_id, found in candidates.items()
            }
            enlarged = _enlarge(step, rooms, count, allowed)
            if enlarged is not None:
                return enlarged
        return []

    def _apply(self, step: Step, rank: Rank, rooms: Sequence[_Room]) -> None:
        """Stop the victims and hold their capacity for the step."""
        expires_at_ms = self._freed_ms + HOLD_EXTRA_MS
        step.plan = None
        for room in rooms:
            worker_id = room.worker.worker_id
            step.holds[worker_id] = RoomHold(room.count, self._now_ms, expires_at_ms)
            self._promise(worker_id, step, room.count)
            for candidate in room.victims:
                self._stop(candidate.victim, step, rank)

    def _stop(self, victim: Victim, step: Step, rank: Rank) -> None:
        usage = self._cell.preemption
        for run in victim.runs:
            if run.state == RunState.STOPPING:
                continue
            stop_run(self._cell, run)
            run.free_by_ms = self._freed_ms + self._options.freed_after_ms
            run.step.tasks[run.index].preempted_loss_ms = victim.lost_ms
            lost_ms = victim.lost_ms + self._options.freed_after_ms
            usage.spend(lost_ms * run.charged.cpu_millis)
            self._cell.log_decision(
                "run_preempted",
                f"step {step.name} would miss its objective",
                task=run.task,
                worker=run.worker_id,
                run=run.number,
                victim=victim.victim_class.name.lower(),
                lost_ms=round(victim.lost_ms),
                victim_slack_ms=round(victim.slack_ms),
                step_slack_ms=round(rank.latest_start_ms - self._now_ms),
            )


def _enlarge(
    step: Step,
    rooms: Sequence[_Room],
    count: int,
    candidates: Mapping[str, Sequence[Candidate[Victim]]],
) -> list[_Room] | None:
    """Return room for ``count`` more tasks of a step, for the cheapest first.

    The result is ``None`` if it is not enough for all of them or, unless they are a gang, for any.
    """
    by_worker = {room.worker.worker_id: room for room in rooms}
    offers: list[tuple[float, str, _Room]] = []
    for room in rooms:
        _offer(step, room, candidates[room.worker.worker_id], offers)
    missing = count
    while missing and offers:
        _, worker_id, room = heapq.heappop(offers)
        by_worker[worker_id] = room
        missing -= 1
        _offer(step, room, candidates[worker_id], offers)
    if missing == count or (missing and step.spec.gang):
        return None
    return [room for room in by_worker.values() if room.count]


def _offer(
    step: Step,
    room: _Room,
    candidates: Sequence[Candidate[Victim]],
    offers: list[tuple[float, str, _Room]],
) -> None:
    """Add room for one more task on a worker, and its additional cost, to the offers."""
    worker, count = room.worker, room.count + 1
    request = step.charged.scaled(count)
    limit = step.spec.max_per_worker
    if not candidates or not request.fits_in(worker.info.capacity) or (limit and count > limit):
        return
    chosen = cheapest_victims(request, room.free, candidates, MAX_VICTIMS_PER_WORKER)
    if chosen is not None:
        more = _Room(worker, room.free, count, chosen)
        heapq.heappush(offers, (more.cost - room.cost, worker.worker_id, more))


def make_preemption(
    options: PreemptionOptions,
) -> Callable[[SchedulingPass, RankedSteps], None]:
    """Return the function that preempts after the steps of a pass are placed."""

    def preempt(state: SchedulingPass, ranked: RankedSteps) -> None:
        cell, now_ms = state.cell, state.now_ms
        if now_ms < cell.preemption.next_check_ms:
            return
        cell.preemption.next_check_ms = now_ms + CHECK_INTERVAL_MS
        waiting = list(_urgent_steps(cell, ranked, options, now_ms))
        if not waiting:
            return
        cpu_millis = sum(worker.info.capacity.cpu_millis for worker in cell.workers.values())
        cell.preemption.refill(MAX_LOST_SHARE * cpu_millis * MS_PER_S, now_ms)
        for _, step in waiting:
            if lost_room(state, step):
                step.holds = {}
        search = _Search(state, options)
        search.hold_promises(ranked)
        waiting = [(rank, step) for rank, step in waiting if not step.holds]
        for rank, step in waiting[:MAX_STEPS_PER_CHECK]:
            if cell.preemption.is_exhausted:
                break
            search.consider(step, rank)

    return preempt


def _urgent_steps(
    cell: Cell, ranked: RankedSteps, options: PreemptionOptions, now_ms: float
) -> Iterator[tuple[Rank, Step]]:
    """Yield the steps that wait for room, can be in time, and outrank work that runs."""
    lowest: dict[str, int] = {}
    for worker in cell.workers.values():
        for run in worker.runs.values():
            service, priority = worker.info.service, run.step.job.record.queue.priority
            lowest[service] = max(lowest.get(service, priority), priority)
    for rank, step in ranked:
        queue = cell.policy_of(step.job)
        if (
            rank.tier == Tier.IN_TIME
            and rank.priority < lowest.get(queue.service, rank.priority)
            and rank.latest_start_ms >= now_ms + _lead_ms(cell, step, options)
            and not step.held_by
            and now_ms >= step.room_search_ms
            and startable_tasks(step, now_ms)
        ):
            yield rank, step


def _lead_ms(cell: Cell, step: Step, options: PreemptionOptions) -> float:
    """Return the time from the decision to stop runs for a step until its tasks can start."""
    timing = cell.policy_of(step.job).advice
    call_ms = timing.call_ms(len(step.advice.good)) if timing else 0.0
    is_long = call_ms > advice.LONG_CALL_MS
    return options.freed_after_ms + (call_ms + ORDER_MS if is_long else 0.0)

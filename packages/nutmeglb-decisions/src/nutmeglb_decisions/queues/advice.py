"""Decides when to request placement advice for a step, and about which workers.

Load pattern: a burst of steps whose advice takes most of a second each. Advice is requested in rank
order. Tickets from short calls are renewed before they expire, so that capacity is used as soon as
it becomes free. Tickets from long calls are renewed only when the step is about to find capacity,
so that many waiting gangs do not use up all calls. The total duration of outstanding calls is
bounded by the number of calling instances, so that urgent steps do not queue behind others.
"""

import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from nutmeglb_decisions.queues import advice_coverage, record_size
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import RequestAdvice
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import AdviceTiming
from nutmeglb_formats.models.resources import Resources

# Minimum number of workers to name in a first call, and of new workers in a later one. The users'
# objective allows for one call on 30 workers per step.
FIRST_CALL_WORKERS = 30
# A gang needs capacity on all its workers at once. A busy cell has a sixth of its capacity free, so
# the approved workers of a gang must hold it this many times when empty. One call on many workers
# takes less time than two calls.
GANG_CAPACITY_FACTOR = 6.0
# Approval rate that is assumed before a queue's first answer, and the weight of each new answer.
DEFAULT_APPROVAL_RATE = 0.3
APPROVAL_RATE_WEIGHT = 0.1
# Maximum number of workers in one call, from the platform's protocol.
MAX_WORKERS_PER_CALL = 100
# A ticket is not used this shortly before its expiry, because the order takes a round trip.
TICKET_MARGIN_MS = 120.0
# A renewal is requested this long before the latest time at which the call can be sent.
RENEWAL_SEND_MARGIN_MS = 200.0
# A renewal is requested earlier than its answer is needed by this time plus the call's duration.
RENEWAL_LEAD_MS = RENEWAL_SEND_MARGIN_MS + TICKET_MARGIN_MS
# Interval of the checks whether a step needs a call. It is extended up to the maximum while the
# tickets are valid; the maximum is the time for which lost workers may go unnoticed.
MIN_RECHECK_MS = 60.0
MAX_RECHECK_MS = 500.0
# A call counts as lost after its expected duration times this factor plus this time.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_EXTRA_MS = 1_500.0
FAILED_CALL_RETRY_MS = 200.0
# Calls with a longer expected duration count as long.
LONG_CALL_MS = 150.0
# Share of the calling instances that take no long calls; at least one if there are several.
SHORT_CALL_INSTANCE_SHARE = 0.25
# Limit on outstanding calls per calling instance. A second call queues at the advice service while
# the first one runs.
LONG_CALL_MS_PER_INSTANCE = 1_000.0
SHORT_CALL_MS_PER_INSTANCE = 300.0
# A new leader is alone until its followers have connected. While alone, it makes no long calls for
# this time.
FOLLOWER_CONNECT_MS = 400.0


def instances_for_long_calls(calling_instances: int) -> int:
    """Return how many calling instances take long calls; the others take only short ones."""
    if calling_instances == 1:
        return 1
    return calling_instances - max(1, round(SHORT_CALL_INSTANCE_SHARE * calling_instances))


@dataclass(slots=True)
class AdviceBudget:
    """Total duration of long and of short advice calls that may still be started in one pass.

    Attributes
    ----------
    turn, is_turn_long
        Step for which the last call is kept free, or ``None``, and whether that is a long one.
    """

    long_ms: float
    short_ms: float
    turn: Step | None = None
    is_turn_long: bool = False

    @classmethod
    def of(cls, cell: Cell, calling_instances: int, now_ms: float) -> "AdviceBudget":
        """Return the budget that outstanding calls leave, and drop the calls that count as lost."""
        budget = cls(
            instances_for_long_calls(calling_instances) * LONG_CALL_MS_PER_INSTANCE,
            calling_instances * SHORT_CALL_MS_PER_INSTANCE,
        )
        if calling_instances == 1 and now_ms < cell.started_ms + FOLLOWER_CONNECT_MS:
            budget.long_ms = 0.0
        for name, (deadline_ms, cost_ms) in list(cell.advice_calls.items()):
            if deadline_ms > now_ms:
                budget.charge(cost_ms)
            else:
                del cell.advice_calls[name]
        return budget

    def available_ms(self, cost_ms: float) -> float:
        """Return the remaining budget for calls with the given expected duration."""
        return self.long_ms if cost_ms > LONG_CALL_MS else self.short_ms

    def keep_free(self, step: Step, cost_ms: float) -> None:
        """Keep the last call of this kind in this pass for a step."""
        self.turn, self.is_turn_long = step, cost_ms > LONG_CALL_MS

    def allows(self, step: Step, cost_ms: float) -> bool:
        """Return whether a step may start a call with the given expected duration."""
        available_ms = self.available_ms(cost_ms)
        is_long = cost_ms > LONG_CALL_MS
        if self.turn in (None, step) or is_long != self.is_turn_long:
            return available_ms > 0
        return available_ms > (LONG_CALL_MS_PER_INSTANCE if is_long else SHORT_CALL_MS_PER_INSTANCE)

    def charge(self, cost_ms: float) -> None:
        """Charge a call to the budget."""
        if cost_ms > LONG_CALL_MS:
            self.long_ms -= cost_ms
        else:
            self.short_ms -= cost_ms


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers that a step may use, regardless of advice.

    Attributes
    ----------
    capacities
        Number of workers per capacity. There are few distinct capacities.
    max_free
        Largest free amount of each resource on any of the workers. A task that exceeds it fits on
        none of them.
    """

    workers: Sequence[Worker]
    capacities: Counter[Resources]
    max_free: Resources

    @classmethod
    def of(cls, workers: Sequence[Worker]) -> "WorkerGroup":
        """Return the group of the given workers."""
        capacities = Counter(worker.info.capacity for worker in workers)
        free = [worker.free for worker in workers]
        max_free = Resources(
            max((amount.cpu_millis for amount in free), default=0),
            max((amount.memory_bytes for amount in free), default=0),
            max((amount.accelerators for amount in free), default=0),
        )
        return cls(workers, capacities, max_free)

    def slots(self, step: Step) -> int:
        """Return how many tasks of a step fit on the workers when they are empty."""
        return sum(slots_on(size, step, 0) * count for size, count in self.capacities.items())


def is_usable(step: Step, worker: Worker) -> bool:
    """Return whether the labels and the state of a worker allow a step to run there."""
    label = step.spec.required_label
    is_available = worker.listed and not worker.info.draining and not worker.is_replaced
    return is_available and (not label or label in worker.info.labels)


def eligible(cell: Cell, step: Step) -> list[Worker]:
    """Return the workers of a step's service that may run it, regardless of advice."""
    service = cell.policy_of(step.job).service
    return [w for w in cell.workers.values() if w.info.service == service and is_usable(step, w)]


def approved_workers(cell: Cell, step: Step) -> list[Worker]:
    """Return the reachable workers that advice allows, with or without a valid ticket."""
    service = cell.policy_of(step.job).service
    workers = (cell.workers.get(worker_id) for worker_id in sorted(step.advice.good))
    return [
        worker
        for worker in workers
        if worker is not None
        and worker.unanswered_since_ms is None
        and worker.info.service == service
        and is_usable(step, worker)
    ]


def workers_with_ticket(cell: Cell, step: Step, now_ms: float) -> list[Worker]:
    """Return the recorded workers with a valid ticket for their current incarnation."""
    if step.recorded.isdisjoint(step.advice.tickets):
        return []
    asked = step.advice.asked
    service = cell.policy_of(step.job).service
    usable = []
    for worker_id, (_, expires_at_ms) in step.advice.tickets.items():
        worker = cell.workers.get(worker_id)
        if (
            worker is not None
            and worker_id in step.recorded
            and now_ms < expires_at_ms - TICKET_MARGIN_MS
            and asked.get(worker_id) == worker.started_ms
            and worker.info.service == service
            and is_usable(step, worker)
        ):
            usable.append(worker)
    return usable


def request_if_due(
    cell: Cell,
    step: Step,
    group: WorkerGroup,
    budget: AdviceBudget,
    rng: random.Random,
    now_ms: float,
    start_ms: float,
) -> None:
    """Request advice for a step if it is missing, covers too few workers, or is about to expire.

    Parameters
    ----------
    start_ms
        Time at which the step is expected to find capacity. A renewal that takes a long call is
        timed to be answered about then: the approved workers do not change until then, and another
        step can use the call.
    """
    timing = cell.policy_of(step.job).advice
    state = step.advice
    if timing is None or not is_due(step, now_ms):
        return
    if not budget.allows(step, timing.call_ms(1)):
        return
    selected = _workers_to_name(cell, step, group, timing, rng, now_ms, start_ms)
    if not selected:
        state.not_before_ms = _next_check_ms(cell, step, timing, now_ms)
        return
    cost_ms = timing.call_ms(len(selected))
    state.call_deadline_ms = now_ms + cost_ms * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_MS
    state.called_ms = now_ms
    cell.advice_calls[step.name] = (state.call_deadline_ms, cost_ms)
    budget.charge(cost_ms)
    if budget.turn is step:
        budget.turn = None
    ids = tuple(worker.worker_id for worker in selected)
    incarnations = tuple(worker.started_ms for worker in selected)
    cell.effects.append(RequestAdvice(step.name, ids, cost_ms, incarnations))
    cell.log_decision(
        "advice_asked", "no valid ticket", job=step.job.job_id, step=step.name, workers=len(ids)
    )


def is_due(step: Step, now_ms: float) -> bool:
    """Return whether it is time to check whether a step needs a call."""
    return now_ms >= max(step.advice.call_deadline_ms, step.advice.not_before_ms)


def _workers_to_name(
    cell: Cell,
    step: Step,
    group: WorkerGroup,
    timing: AdviceTiming,
    rng: random.Random,
    now_ms: float,
    start_ms: float,
) -> list[Worker]:
    """Return the workers to name in a call, or none if no call is needed yet."""
    state = step.advice
    good = approved_workers(cell, step)
    missing = _missing_worker_count(cell, step, group, good)
    advice_coverage.track_idle_time(step, now_ms)
    asked = state.asked
    unasked = [w for w in group.workers if asked.get(w.worker_id) != w.started_ms]
    if (
        unasked
        and missing
        and not advice_coverage.is_top_up(step, good, len(unasked) / len(group.workers))
    ):
        named = good + _with_most_free_capacity(step, unasked, missing, rng)
        return named[:MAX_WORKERS_PER_CALL]
    further = advice_coverage.further_workers(step, good, unasked, now_ms)
    if further:
        state.widened_ms = now_ms
        named = _with_most_free_capacity(step, further, FIRST_CALL_WORKERS, rng) + good
        return named[:MAX_WORKERS_PER_CALL]
    if not good:
        return []
    cost_ms = timing.call_ms(len(good))
    if cost_ms > LONG_CALL_MS and start_ms > now_ms + cost_ms + RENEWAL_LEAD_MS:
        return []
    return good[:MAX_WORKERS_PER_CALL] if _renewal_ms(step, good, timing) <= now_ms else []


def _renewal_ms(step: Step, good: Sequence[Worker], timing: AdviceTiming) -> float:
    """Return when to renew the tickets of the approved workers, so that none expires."""
    tickets, named = step.advice.tickets, good[:MAX_WORKERS_PER_CALL]
    expires_at_ms = min(tickets.get(worker.worker_id, ("", 0.0))[1] for worker in named)
    return expires_at_ms - timing.call_ms(len(named)) - RENEWAL_LEAD_MS


def _next_check_ms(cell: Cell, step: Step, timing: AdviceTiming, now_ms: float) -> float:
    """Return the time of the next check of a step that needs no call now."""
    good = approved_workers(cell, step)
    renewal_ms = _renewal_ms(step, good, timing) if good else 0.0
    return max(now_ms + MIN_RECHECK_MS, min(renewal_ms, now_ms + MAX_RECHECK_MS))


def missing_slots(step: Step, workers: Sequence[Worker]) -> float:
    """Return how many slots a step still needs in addition to those of the given workers."""
    required_slots = (GANG_CAPACITY_FACTOR if step.spec.gang else 1.0) * step.spec.count
    return required_slots - sum(slots_on(worker.info.capacity, step, 0) for worker in workers)


def _missing_worker_count(
    cell: Cell, step: Step, group: WorkerGroup, good: Sequence[Worker]
) -> int:
    """Return how many more workers to name, so that enough approved workers can hold the step."""
    missing = missing_slots(step, good)
    if missing <= 0:
        return 0
    share = cell.approval_rates.get(step.job.queue_key, DEFAULT_APPROVAL_RATE)
    expected_slots = share * group.slots(step) / len(group.workers)
    return max(FIRST_CALL_WORKERS, math.ceil(missing / expected_slots)) if expected_slots else 0


def _with_most_free_capacity(
    step: Step, workers: Sequence[Worker], count: int, rng: random.Random
) -> list[Worker]:
    """Return the workers with the most free capacity, where tasks can start immediately."""
    sort_keys = [(-slots_on(worker.free, step, 0), rng.random()) for worker in workers]
    order = sorted(range(len(workers)), key=sort_keys.__getitem__)
    return [workers[position] for position in order[:count]]


def answered(
    cell: Cell,
    step: Step,
    call: RequestAdvice,
    tickets: Sequence[tuple[str, str]],
    expires_at_ms: float,
) -> None:
    """Apply the answer to a call. The workers in it must be stored before a task is sent to them.

    A worker that has restarted since the call is asked about again.
    """
    state, named = step.advice, call.workers
    cell.advice_calls.pop(step.name, None)
    state.call_deadline_ms = 0.0
    state.not_before_ms = 0.0
    _update_approval_rate(cell, step, named, tickets)
    asked_about = dict(zip(named, call.incarnations, strict=True))
    current = {
        worker_id: started_ms
        for worker_id, started_ms in asked_about.items()
        if worker_id in cell.workers and cell.workers[worker_id].started_ms == started_ms
    }
    state.asked.update(current)
    approved = {worker_id: ticket for worker_id, ticket in tickets if worker_id in current}
    state.good.difference_update(named)
    state.good.update(approved)
    state.tickets.update({name: (ticket, expires_at_ms) for name, ticket in approved.items()})
    # Each leader waits for the recorded workers, so those that are lost already are left out.
    usable = {worker.worker_id for worker in approved_workers(cell, step)}
    if not usable <= step.selected:
        record_size.select_workers(cell, step, usable)
    cell.log_decision(
        "advice_answered",
        "workers approved",
        job=step.job.job_id,
        step=step.name,
        good=len(tickets),
    )


def _update_approval_rate(
    cell: Cell, step: Step, named: Sequence[str], tickets: Sequence[tuple[str, str]]
) -> None:
    """Update the approval rate of a queue with the workers that were named for the first time."""
    unasked = [worker_id for worker_id in named if worker_id not in step.advice.asked]
    if not unasked:
        return
    approved = {worker_id for worker_id, _ in tickets}
    approved_share = sum(1 for worker_id in unasked if worker_id in approved) / len(unasked)
    queue = step.job.queue_key
    previous = cell.approval_rates.get(queue, DEFAULT_APPROVAL_RATE)
    cell.approval_rates[queue] = previous + APPROVAL_RATE_WEIGHT * (approved_share - previous)


def failed(cell: Cell, step: Step, now_ms: float) -> None:
    """Schedule the retry of a call that was refused or not answered."""
    cell.advice_calls.pop(step.name, None)
    step.advice.call_deadline_ms = 0.0
    step.advice.not_before_ms = now_ms + FAILED_CALL_RETRY_MS

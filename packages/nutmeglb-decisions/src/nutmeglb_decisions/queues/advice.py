"""When to ask for placement advice, about which workers.

Load pattern answered: a burst of steps whose advice takes most of a second each. The first steps in
rank order are asked for first. Tickets of short calls are renewed before they run out, so that room
that becomes free is used at once; those of long calls only when the step is about to find room, so
that many waiting gangs do not use up all calls. The calls outstanding are bounded by what the
callers can do, so that urgent steps do not wait behind a queue of others.
"""

import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import AskAdvice
from nutmeglb_decisions.queues.state import Step, Worker
from nutmeglb_decisions.queues.worker_selection import slots_on
from nutmeglb_formats.models.queues import AdviceTerms
from nutmeglb_formats.models.resources import Resources

# Workers named in a first call. The users' objective counts one call on 30 workers a step.
FIRST_CALL_WORKERS = 30
# A gang needs room on all its workers at once. A busy cell leaves a sixth of its room free, so the
# good workers of a gang hold it this many times when they are empty. One call on many workers takes
# less time than two calls.
GANG_CAPACITY_FACTOR = 6.0
# Share of good workers that is assumed before a queue's first answer, and the weight of a new one.
DEFAULT_APPROVAL_RATE = 0.3
APPROVAL_RATE_WEIGHT = 0.1
# Most workers that one call may name (from the platform's protocol).
MAX_WORKERS_PER_CALL = 100
# A ticket is not used in the last part of its validity: the order takes a round trip.
TICKET_MARGIN_MS = 120.0
# Renewals are asked for this long before the call has to be on its way.
RENEW_AHEAD_MS = 200.0
# Renewals are asked for so long before the call has to be answered.
RENEWAL_LEAD_MS = RENEW_AHEAD_MS + TICKET_MARGIN_MS
# While nothing is missing, a step's advice is looked at this seldom; while its tickets last, as
# seldom as workers may be lost without notice.
MIN_RECHECK_MS = 60.0
MAX_RECHECK_MS = 500.0
# An answer that is later than its cost by this factor and time counts as lost.
CALL_TIMEOUT_FACTOR = 3.0
CALL_TIMEOUT_EXTRA_MS = 1_500.0
FAILED_CALL_RETRY_MS = 200.0
# A call beyond this duration counts as long.
LONG_CALL_MS = 150.0
# Share of the callers that long calls leave alone, at least one of several.
SHORT_CALL_INSTANCE_SHARE = 0.25
# Outstanding work per calling instance: another call waits at the service while the first runs.
LONG_CALL_MS_PER_INSTANCE = 1_000.0
SHORT_CALL_MS_PER_INSTANCE = 300.0
# A new leader is alone until its followers have connected. Until then long calls wait.
FOLLOWER_CONNECT_MS = 400.0


def instances_for_long_calls(calling_instances: int) -> int:
    """Return how many of the callers take long calls, so that short ones do not wait for them."""
    if calling_instances == 1:
        return 1
    return calling_instances - max(1, round(SHORT_CALL_INSTANCE_SHARE * calling_instances))


@dataclass(slots=True)
class AdviceBudget:
    """Outstanding duration of long and of short calls that one pass may still add to."""

    long_ms: float
    short_ms: float

    @classmethod
    def of(cls, cell: Cell, calling_instances: int, now_ms: float) -> "AdviceBudget":
        """Return what the callers can still take."""
        budget = cls(
            instances_for_long_calls(calling_instances) * LONG_CALL_MS_PER_INSTANCE,
            calling_instances * SHORT_CALL_MS_PER_INSTANCE,
        )
        if calling_instances == 1 and now_ms < cell.started_ms + FOLLOWER_CONNECT_MS:
            budget.long_ms = 0.0
        for name, (until_ms, cost_ms) in list(cell.advice_calls.items()):
            if until_ms > now_ms:
                budget.charge(cost_ms)
            else:
                del cell.advice_calls[name]
        return budget

    def available_ms(self, cost_ms: float) -> float:
        """Return what is left for calls of a duration."""
        return self.long_ms if cost_ms > LONG_CALL_MS else self.short_ms

    def charge(self, cost_ms: float) -> None:
        """Take a call from what is left."""
        if cost_ms > LONG_CALL_MS:
            self.long_ms -= cost_ms
        else:
            self.short_ms -= cost_ms


@dataclass(frozen=True, slots=True)
class WorkerGroup:
    """Workers that a step may use, advice aside.

    Attributes
    ----------
    capacities
        Number of workers of each capacity, which few kinds of workers have.
    most_free
        Largest free amount of each resource on any of them. A task that exceeds it has no room.
    """

    workers: Sequence[Worker]
    capacities: Counter[Resources]
    max_free: Resources

    @classmethod
    def of(cls, workers: Sequence[Worker]) -> "WorkerGroup":
        """Count the capacities of workers."""
        capacities = Counter(worker.info.capacity for worker in workers)
        free = [worker.free for worker in workers]
        max_free = Resources(
            max((amount.cpu_millis for amount in free), default=0),
            max((amount.memory_bytes for amount in free), default=0),
            max((amount.accelerators for amount in free), default=0),
        )
        return cls(workers, capacities, max_free)

    def slots(self, step: Step) -> int:
        """Return how many tasks of a step the workers hold when they are empty."""
        return sum(slots_on(size, step, 0) * count for size, count in self.capacities.items())


def is_usable(step: Step, worker: Worker) -> bool:
    """Return whether a step may run on a worker as far as its labels and state tell."""
    label = step.spec.required_label
    return worker.listed and not worker.info.draining and (not label or label in worker.info.labels)


def eligible(cell: Cell, step: Step) -> list[Worker]:
    """Return the workers of the step's service that may run it, advice aside."""
    service = cell.policy_of(step.job).service
    return [w for w in cell.workers.values() if w.info.service == service and is_usable(step, w)]


def approved_workers(cell: Cell, step: Step) -> list[Worker]:
    """Return the workers that advice allows and that answer, whether a ticket is at hand or not."""
    service = cell.policy_of(step.job).service
    found = (cell.workers.get(worker_id) for worker_id in sorted(step.advice.good))
    return [
        worker
        for worker in found
        if worker is not None
        and worker.unanswered_since_ms is None
        and worker.info.service == service
        and is_usable(step, worker)
    ]


def workers_with_ticket(cell: Cell, step: Step, now_ms: float) -> list[Worker]:
    """Return the recorded workers for whose present incarnation a valid ticket is at hand."""
    if step.recorded.isdisjoint(step.advice.tickets):
        return []
    asked = step.advice.asked
    service = cell.policy_of(step.job).service
    found = []
    for worker_id, (_, until_ms) in step.advice.tickets.items():
        worker = cell.workers.get(worker_id)
        if (
            worker is not None
            and worker_id in step.recorded
            and now_ms < until_ms - TICKET_MARGIN_MS
            and asked.get(worker_id) == worker.started_ms
            and worker.info.service == service
            and is_usable(step, worker)
        ):
            found.append(worker)
    return found


def ask_if_due(
    cell: Cell,
    step: Step,
    group: WorkerGroup,
    budget: AdviceBudget,
    rng: random.Random,
    now_ms: float,
    start_ms: float,
) -> None:
    """Ask about a step when its answer is missing, too narrow, or about to run out.

    Parameters
    ----------
    start_ms
        Expected time at which the step finds room. A long call is made again only to be answered
        about then: the good workers do not change, and the call may serve another step.
    """
    terms = cell.policy_of(step.job).advice
    state = step.advice
    if terms is None or not is_due(step, now_ms):
        return
    if budget.available_ms(terms.call_ms(1)) <= 0:
        return
    selected = _workers_to_ask(cell, step, group, terms, rng, now_ms, start_ms)
    if not selected:
        state.not_before_ms = _next_check_ms(cell, step, terms, now_ms)
        return
    cost_ms = terms.call_ms(len(selected))
    state.call_deadline_ms = now_ms + cost_ms * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_EXTRA_MS
    cell.advice_calls[step.name] = (state.call_deadline_ms, cost_ms)
    budget.charge(cost_ms)
    ids = tuple(worker.worker_id for worker in selected)
    cell.effects.append(AskAdvice(step.name, ids, cost_ms))
    cell.log_decision(
        "advice_asked", "no valid ticket", job=step.job.job_id, step=step.name, workers=len(ids)
    )


def is_due(step: Step, now_ms: float) -> bool:
    """Return whether it is time to look at what is missing of a step's advice."""
    return now_ms >= max(step.advice.call_deadline_ms, step.advice.not_before_ms)


def _workers_to_ask(
    cell: Cell,
    step: Step,
    group: WorkerGroup,
    terms: AdviceTerms,
    rng: random.Random,
    now_ms: float,
    start_ms: float,
) -> list[Worker]:
    """Return the workers to name; none when the tickets at hand last long enough."""
    state = step.advice
    good = approved_workers(cell, step)
    missing = _missing_worker_count(cell, step, group, good)
    if missing:
        asked = state.asked
        unasked = [w for w in group.workers if asked.get(w.worker_id) != w.started_ms]
        if unasked:
            return (good + _with_most_free_capacity(step, unasked, missing, rng))[
                :MAX_WORKERS_PER_CALL
            ]
    if not good:
        return []
    cost_ms = terms.call_ms(len(good))
    if cost_ms > LONG_CALL_MS and start_ms > now_ms + cost_ms + RENEWAL_LEAD_MS:
        return []
    return good[:MAX_WORKERS_PER_CALL] if _renewal_ms(step, good, terms) <= now_ms else []


def _renewal_ms(step: Step, good: Sequence[Worker], terms: AdviceTerms) -> float:
    """Return when the tickets of good workers have to be renewed, so that none runs out."""
    tickets, named = step.advice.tickets, good[:MAX_WORKERS_PER_CALL]
    expires_ms = min(tickets.get(worker.worker_id, ("", 0.0))[1] for worker in named)
    return expires_ms - terms.call_ms(len(named)) - RENEWAL_LEAD_MS


def _next_check_ms(cell: Cell, step: Step, terms: AdviceTerms, now_ms: float) -> float:
    """Return the time of the next look at a step for which no call is due."""
    good = approved_workers(cell, step)
    renewal_ms = _renewal_ms(step, good, terms) if good else 0.0
    return max(now_ms + MIN_RECHECK_MS, min(renewal_ms, now_ms + MAX_RECHECK_MS))


def missing_slots(step: Step, workers: Sequence[Worker]) -> float:
    """Return how many more slots a step should have beside those of the given workers."""
    wanted_slots = (GANG_CAPACITY_FACTOR if step.spec.gang else 1.0) * step.spec.count
    return wanted_slots - sum(slots_on(worker.info.capacity, step, 0) for worker in workers)


def _missing_worker_count(
    cell: Cell, step: Step, group: WorkerGroup, good: Sequence[Worker]
) -> int:
    """Return how many more workers to name, so that the good ones hold the step beside others."""
    missing = missing_slots(step, good)
    if missing <= 0:
        return 0
    share = cell.approval_rates.get(step.job.record.queue.name, DEFAULT_APPROVAL_RATE)
    expected_slots = share * group.slots(step) / len(group.workers)
    return max(FIRST_CALL_WORKERS, math.ceil(missing / expected_slots)) if expected_slots else 0


def _with_most_free_capacity(
    step: Step, workers: Sequence[Worker], count: int, rng: random.Random
) -> list[Worker]:
    """Return the workers with most room, so that an answer is of use at once."""
    sort_keys = [(-slots_on(worker.free, step, 0), rng.random()) for worker in workers]
    order = sorted(range(len(workers)), key=sort_keys.__getitem__)
    return [workers[position] for position in order[:count]]


def answered(
    cell: Cell,
    step: Step,
    named: Sequence[str],
    tickets: Sequence[tuple[str, str]],
    valid_until_ms: float,
) -> None:
    """Apply an answer. The workers in it must be durable before a task is sent to them."""
    state = step.advice
    cell.advice_calls.pop(step.name, None)
    state.call_deadline_ms = 0.0
    state.not_before_ms = 0.0
    _update_approval_rate(cell, step, named, tickets)
    for worker_id in named:
        if worker_id in cell.workers:
            state.asked[worker_id] = cell.workers[worker_id].started_ms
    approved = {worker_id: ticket for worker_id, ticket in tickets if worker_id in cell.workers}
    state.good.difference_update(named)
    state.good.update(approved)
    state.tickets.update({name: (ticket, valid_until_ms) for name, ticket in approved.items()})
    if not state.good <= step.selected:
        step.selected |= state.good
        cell.mark_dirty(step.job)
    cell.log_decision(
        "advice_answered", "good workers", job=step.job.job_id, step=step.name, good=len(tickets)
    )


def _update_approval_rate(
    cell: Cell, step: Step, named: Sequence[str], tickets: Sequence[tuple[str, str]]
) -> None:
    """Learn the share of good workers from those that were named for the first time."""
    unasked = [worker_id for worker_id in named if worker_id not in step.advice.asked]
    if not unasked:
        return
    approved = {worker_id for worker_id, _ in tickets}
    found = sum(1 for worker_id in unasked if worker_id in approved) / len(unasked)
    queue = step.job.record.queue.name
    previous = cell.approval_rates.get(queue, DEFAULT_APPROVAL_RATE)
    cell.approval_rates[queue] = previous + APPROVAL_RATE_WEIGHT * (found - previous)


def failed(cell: Cell, step: Step, now_ms: float) -> None:
    """Note that a call was refused or not answered. It is made again after a pause."""
    cell.advice_calls.pop(step.name, None)
    step.advice.call_deadline_ms = 0.0
    step.advice.not_before_ms = now_ms + FAILED_CALL_RETRY_MS

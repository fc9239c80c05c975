"""Choice of deferred tasks to preempt for urgent ones, within a budget per minute."""

import random
from collections import deque
from collections.abc import Callable, Iterable

from nutmeglb_decisions.tasks.ledger import NO_RESOURCES, Account
from nutmeglb_decisions.tasks.state import Attempt, Phase
from nutmeglb_decisions.tasks.workers import WorkerLink
from nutmeglb_decisions.victims import Candidate, cheapest_victims
from nutmeglb_formats.models.resources import Resources

MINUTE_MS = 60_000.0
# Workers considered per decision, which bounds its time.
SAMPLED_WORKERS = 12
# A task that is still running this long after its checkpoint request is stopped.
CHECKPOINT_TIMEOUT_MS = 2_000.0


class PreemptionBudget:
    """Rate limit on preemptions over a sliding window of one minute."""

    def __init__(self) -> None:
        self._times_ms: deque[float] = deque()

    def remaining(self, limit: int, now_ms: float) -> int:
        """Return how many more tasks may be preempted now."""
        while self._times_ms and self._times_ms[0] <= now_ms - MINUTE_MS:
            self._times_ms.popleft()
        return max(0, limit - len(self._times_ms))

    def spend(self, now_ms: float) -> None:
        """Count a preemption against the limit."""
        self._times_ms.append(now_ms)


def choose_victims(
    request: Resources,
    workers: Iterable[tuple[Account, WorkerLink]],
    preemptible: Callable[[Attempt], bool],
    limit: int,
    now_ms: float,
) -> list[Attempt]:
    """Return tasks of one worker to preempt so that a request fits, or an empty list.

    The worker on which the least work is lost is chosen. Resources of tasks that are already being
    stopped count as free.
    """
    best: tuple[float, list[Attempt]] | None = None
    for account, link in workers:
        if not request.fits_in(account.capacity):
            continue
        victims = _victims_on(request, account, link, preemptible, limit, now_ms)
        if victims is None:
            continue
        cost = sum(_lost_work(victim, now_ms) for victim in victims)
        if best is None or cost < best[0]:
            best = (cost, victims)
    return best[1] if best is not None else []


def choose_quota_victims(
    missing: Resources,
    attempts: Iterable[Attempt],
    preemptible: Callable[[Attempt], bool],
    limit: int,
) -> list[Attempt]:
    """Return tasks of a team to preempt to free ``missing`` of its quota, or an empty list."""
    candidates = []
    for attempt in attempts:
        if attempt.stop_cause:
            missing = missing - attempt.charged
        elif attempt.phase is Phase.RUNNING and preemptible(attempt):
            candidates.append(attempt)
    candidates.sort(key=lambda attempt: -attempt.started_ms)
    victims: list[Attempt] = []
    for attempt in candidates:
        if missing.fits_in(NO_RESOURCES) or len(victims) == limit:
            break
        missing = missing - attempt.charged
        victims.append(attempt)
    return victims if missing.fits_in(NO_RESOURCES) else []


def _victims_on(
    request: Resources,
    account: Account,
    link: WorkerLink,
    preemptible: Callable[[Attempt], bool],
    limit: int,
    now_ms: float,
) -> list[Attempt] | None:
    room = account.free
    candidates = []
    for attempt in link.attempts.values():
        if attempt.stop_cause:
            room = room + attempt.charged
        elif attempt.phase is Phase.RUNNING and preemptible(attempt):
            cost = _lost_work(attempt, now_ms)
            candidates.append(Candidate(attempt, attempt.charged, cost))
    chosen = cheapest_victims(request, room, candidates, limit)
    return [candidate.victim for candidate in chosen] if chosen else None


def _lost_work(attempt: Attempt, now_ms: float) -> float:
    return (now_ms - attempt.started_ms) * (1 + attempt.charged.cpu_millis)


def sample_workers(workers: list[str], rng: random.Random) -> list[str]:
    """Return a random sample of at most ``SAMPLED_WORKERS`` workers."""
    if len(workers) <= SAMPLED_WORKERS:
        return workers
    return rng.sample(workers, SAMPLED_WORKERS)

"""All-or-nothing placement of gangs, and holds on workers for gangs and large tasks.

A hold reserves capacity for one blocked job: the one with the fewest holds so far, and the oldest
of several. At most one job of a failure domain has a hold, and jobs take turns in this order, so
holds cannot block each other. Other tasks may still use a held worker if they end before the
expected start of the job, or if they leave enough capacity free for it.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from nutmeglb_decisions.tasks.ledger import Account, Ledger
from nutmeglb_decisions.tasks.placement import Reservation
from nutmeglb_decisions.tasks.state import Attempt
from nutmeglb_formats.models.resources import Resources

ChooseWorker = Callable[[], str | None]
PLAN_PREFIX = "plan/"
# Workers considered for one hold. Bounds the planning time in failure domains of 1,000 workers.
MAX_PLAN_WORKERS = 256
# The duration of a job's holds doubles from one to the next, up to this many times the first.
MAX_HOLD_FACTOR = 16


@dataclass(frozen=True, slots=True)
class Hold:
    """Claim of one job on reserved workers, which ends at ``expires_at_ms``."""

    job_id: str
    expires_at_ms: float


def plan_members(
    ledger: Ledger, choose: ChooseWorker, request: Resources, members: int
) -> list[str] | None:
    """Return a worker for every member, or ``None`` when they do not all fit.

    Each choice is allocated temporarily before the next one is made, so that several members on
    one worker do not exceed its capacity. All of these allocations are released before returning.
    """
    workers: list[str] = []
    for number in range(members):
        worker = choose()
        if worker is None:
            break
        ledger.allocate(worker, f"{PLAN_PREFIX}{number}", request)
        workers.append(worker)
    for number, worker in enumerate(workers):
        ledger.release(worker, f"{PLAN_PREFIX}{number}")
    return workers if len(workers) == members else None


def members_that_fit(request: Resources, free: Resources, limit: int) -> int:
    """Return how many members of size ``request`` fit in ``free``, at most ``limit``."""
    count = limit
    for required, available in (
        (request.cpu_millis, free.cpu_millis),
        (request.memory_bytes, free.memory_bytes),
        (request.accelerators, free.accelerators),
    ):
        if required:
            count = min(count, max(0, available) // required)
    return count


def fits_now(request: Resources, accounts: Iterable[Account], members: int) -> bool:
    """Return whether all members fit in the free capacity, ignoring reservations."""
    fitting_members = 0
    for account in accounts:
        fitting_members += members_that_fit(request, account.free, members)
        if fitting_members >= members:
            return True
    return False


def fits_when_empty(request: Resources, accounts: Iterable[Account], members: int) -> bool:
    """Return whether all members would fit if the workers were empty."""
    fitting_members = 0
    for account in accounts:
        fitting_members += members_that_fit(request, account.capacity, members)
        if fitting_members >= members:
            return True
    return False


def plan_hold(
    job_id: str,
    request: Resources,
    members: int,
    workers: list[tuple[Account, list[Attempt]]],
    now_ms: float,
    rng: random.Random,
) -> dict[str, Reservation]:
    """Return the reservations with which all members fit at the earliest expected time.

    Parameters
    ----------
    workers
        Accounts of candidate workers, each with its attempts that are expected to end.

    Returns
    -------
    dict
        Reservations by worker, empty if the members do not fit even after all expected ends.
    """
    candidates = [item for item in workers if request.fits_in(item[0].capacity)]
    if len(candidates) > max(MAX_PLAN_WORKERS, 2 * members):
        candidates = rng.sample(candidates, max(MAX_PLAN_WORKERS, 2 * members))
    free = {account.worker: account.free for account, _ in candidates}
    fits = {worker: members_that_fit(request, amount, members) for worker, amount in free.items()}
    expected_ends = sorted(
        (max(now_ms, attempt.expected_end_ms), attempt.name, attempt)
        for _, attempts in candidates
        for attempt in attempts
    )
    total = sum(fits.values())
    start_ms = now_ms
    for end_ms, _, attempt in expected_ends:
        if total >= members:
            break
        worker = attempt.worker
        free[worker] = free[worker] + attempt.charged
        count = members_that_fit(request, free[worker], members)
        total += count - fits[worker]
        fits[worker] = count
        start_ms = end_ms
    if total < members:
        return {}
    return _plan_reservations(job_id, request, members, fits, start_ms)


def _plan_reservations(
    job_id: str, request: Resources, members: int, fits: dict[str, int], start_ms: float
) -> dict[str, Reservation]:
    reservations = {}
    remaining = members
    for worker in sorted(fits, key=lambda name: -fits[name]):
        count = min(remaining, fits[worker])
        if count == 0:
            break
        reservations[worker] = Reservation(job_id, request.scaled(count), start_ms)
        remaining -= count
    return reservations

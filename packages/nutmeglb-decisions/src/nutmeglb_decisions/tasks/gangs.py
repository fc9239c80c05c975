"""Gangs: all members are reserved in one step or none is."""

from collections.abc import Callable

from nutmeglb_decisions.tasks.ledger import Ledger
from nutmeglb_formats.models.resources import Resources

Choose = Callable[[], str | None]
PLAN_PREFIX = "plan/"


def plan_members(
    ledger: Ledger, choose: Choose, request: Resources, members: int
) -> list[str] | None:
    """Return a worker for every member, or ``None`` when they do not all fit.

    Each choice is reserved while the next one is made, so that members which share a worker are
    counted. All reservations are given back before returning.
    """
    workers: list[str] = []
    for number in range(members):
        worker = choose()
        if worker is None:
            break
        ledger.reserve(worker, f"{PLAN_PREFIX}{number}", request)
        workers.append(worker)
    for number, worker in enumerate(workers):
        ledger.release(worker, f"{PLAN_PREFIX}{number}")
    return workers if len(workers) == members else None

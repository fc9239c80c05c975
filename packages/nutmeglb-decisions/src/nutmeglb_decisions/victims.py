"""Choice of the tasks of one worker to stop so that a request fits there.

Used by both schedulers. What a victim costs is decided by the caller.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from nutmeglb_formats.models.resources import Resources

VictimT = TypeVar("VictimT")


@dataclass(frozen=True, slots=True)
class Candidate(Generic[VictimT]):
    """Work that may be stopped.

    Attributes
    ----------
    charged
        Capacity of the worker that its end frees.
    cost
        What is lost by its stop, in a unit of the caller's choice.
    """

    victim: VictimT
    charged: Resources
    cost: float


def cheapest_victims(
    request: Resources,
    free: Resources,
    candidates: Iterable[Candidate[VictimT]],
    limit: int,
) -> list[Candidate[VictimT]] | None:
    """Return at most ``limit`` candidates whose end lets a request fit, or ``None``.

    Candidates are added until the request fits, those with the lowest cost per processor first.
    Those that are not needed for it are then left out again, the most expensive first.
    """
    chosen: list[Candidate[VictimT]] = []
    for candidate in sorted(candidates, key=_cost_per_cpu):
        if request.fits_in(free):
            break
        chosen.append(candidate)
        free = free + candidate.charged
    if not request.fits_in(free):
        return None
    for candidate in reversed(chosen[:-1]):
        if request.fits_in(free - candidate.charged):
            chosen.remove(candidate)
            free = free - candidate.charged
    return chosen if len(chosen) <= limit else None


def _cost_per_cpu(candidate: Candidate[VictimT]) -> float:
    return candidate.cost / (1 + candidate.charged.cpu_millis)

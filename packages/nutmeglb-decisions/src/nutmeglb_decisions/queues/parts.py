"""Interfaces of the optional parts of a scheduling pass.

A part adds a term to the order of waiting steps, a term to the choice of a worker, a gate that a
start has to pass, or work before or after the steps of a pass are placed. It lives in a module of
its own; ``composition`` decides which parts are active. The pass itself names no part.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from nutmeglb_decisions.queues.ranking import Rank
from nutmeglb_decisions.queues.state import Run, Step
from nutmeglb_decisions.queues.worker_state import Worker

if TYPE_CHECKING:
    from nutmeglb_decisions.queues.cell import Cell
    from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass

RankedSteps = Sequence[tuple[Rank, Step]]
# Value of a term for a step with the given rank; the lower goes first.
OrderValue = Callable[[Step, Rank], float]
# Time in milliseconds that callers lose if a task of the step, which takes the given time in
# milliseconds on an average worker, starts on the worker.
LostTime = Callable[[Step, Worker, float], float]


class Place(IntEnum):
    """Where a term stands in the order of waiting steps, after the useless ones have been put last.

    A term before the priority outweighs the priority of queues; one before the start is compared
    among steps of equal priority and tier.
    """

    BEFORE_PRIORITY = 0
    BEFORE_START = 1


@dataclass(frozen=True, slots=True)
class OrderTerm:
    """A named term of the order of waiting steps.

    Attributes
    ----------
    prepare
        Returns the function for one pass, from the cell and the time.
    """

    name: str
    place: Place
    prepare: Callable[["Cell", float], OrderValue]


@dataclass(frozen=True, slots=True)
class WorkerTerm:
    """A named term of the choice of a worker.

    Attributes
    ----------
    prepare
        Returns the function for one pass, from the cell and the time, or ``None`` if no time is
        lost anywhere.
    """

    name: str
    prepare: Callable[["Cell", float], LostTime | None]


class StartGate(Protocol):
    """A limit on starts, created for one pass."""

    name: str

    def admits(self, step: Step, count: int) -> bool:
        """Return whether ``count`` more tasks of a step may start."""

    def record_start(self, step: Step) -> None:
        """Count a task of a step that was started in this pass."""


@dataclass(frozen=True, slots=True)
class RunObserver:
    """Functions that learn from runs.

    Attributes
    ----------
    record_start
        Called for each start of a pass, after the run was charged to its worker.
    record_end
        Called with the time in milliseconds for each completed run whose duration shows the run
        time of its task.
    """

    record_start: Callable[[Run, Worker], None]
    record_end: Callable[["Cell", Worker, Run, float], None]


@dataclass(frozen=True, slots=True)
class PassParts:
    """The active parts.

    Attributes
    ----------
    gates
        Each returns a gate for one pass, from the cell and the time.
    before_pass, after_pass
        Called with the pass and the ranked steps, before the first step is placed and after the
        last one.
    victim_terms
        Each returns for one pass, from the cell and the time, what the stop of a run costs besides
        its lost work, in millicores times milliseconds.
    """

    order_terms: tuple[OrderTerm, ...] = ()
    worker_terms: tuple[WorkerTerm, ...] = ()
    gates: tuple[Callable[["Cell", float], StartGate], ...] = ()
    before_pass: tuple[Callable[["SchedulingPass", RankedSteps], None], ...] = ()
    after_pass: tuple[Callable[["SchedulingPass", RankedSteps], None], ...] = ()
    victim_terms: tuple[Callable[["Cell", float], Callable[[Run], float]], ...] = ()
    observers: tuple[RunObserver, ...] = ()

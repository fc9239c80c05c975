"""Runs of a task that were lost with their workers."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

# Flags of a stored row.
_PROVED = 1
_SUSPECT = 2
_ALONE = 4
# The run was about to start when the row was written.
_RESERVED = 8
_ASSUMED = 16
_VANISHED = 32
_BESIDE_SUSPECT = 64

# Index of the task, number of the run, and flags.
LossRow = tuple[int, int, int]
# Worker id and start time of one of its incarnations.
Life = tuple[str, int]
# Index of the task, number of the run, and an incarnation of a worker on which it was to start.
LifeRow = tuple[int, int, str, int]
LOSS_ROW_ITEMS = 3
# Time for which a number is first kept although no worker can be chosen for its run.
MIN_UNUSED_MS = 250.0


@dataclass(frozen=True, slots=True)
class Loss:
    """A run that was lost with its worker.

    Attributes
    ----------
    is_proved
        Whether the worker has certainly crashed. It may otherwise only have been cut off.
    is_suspect
        Whether no report had shown the run active long enough after its order that its start did
        not crash the worker.
    was_alone
        Whether no other work was on the worker, and the worker was gone right after the start.
    is_assumed
        Whether no leader has seen it: the run may have started, and been lost, while the leader
        changed.
    is_vanished
        Whether the worker has not been back since, so that nothing shows that it has crashed.
    is_beside_suspect
        Whether the run was no suspect, and was lost with one: its worker crashed right after
        another start.
    """

    is_proved: bool
    is_suspect: bool
    was_alone: bool
    is_assumed: bool = False
    is_vanished: bool = False
    is_beside_suspect: bool = False

    @property
    def flags(self) -> int:
        """Return the flags of its stored row."""
        evidence = _PROVED * self.is_proved | _SUSPECT * self.is_suspect | _ALONE * self.was_alone
        evidence |= _ASSUMED * self.is_assumed | _VANISHED * self.is_vanished
        return evidence | _BESIDE_SUSPECT * self.is_beside_suspect


ASSUMED = Loss(is_proved=False, is_suspect=False, was_alone=False, is_assumed=True)
# The same for a run whose number a former leader had stored, and whose worker has vanished.
RESERVED = replace(ASSUMED, is_vanished=True)


@dataclass(slots=True, eq=False)
class TaskLosses:
    """The losses of one task.

    Its next run starts once they are stored together with its number and where it is to start.

    Attributes
    ----------
    by_run
        Losses by run number, so that none counts twice.
    reserved_run, reserved_lives
        Number that the next run is to have, 0 if none is to start; and the incarnations of workers
        on which it may start, of which a gang has several. Under the next leader the run counts as
        lost only if one of them has ended.
    unseen
        Per number that a former leader had stored: the incarnations on which the run was to start.
        They do not count as long as they may be alive. Empty if a former release has stored it.
    stored
        Rows as last stored.
    waits_since_ms
        Time from which the task has been waiting for a worker without other runs.
    wanted_ms, max_unused_ms
        When a worker was last chosen for the reserved run, and for how long the number is kept
        while none can be.
    """

    by_run: dict[int, Loss] = field(default_factory=dict)
    reserved_run: int = 0
    reserved_lives: tuple[Life, ...] = ()
    unseen: dict[int, tuple[Life, ...]] = field(default_factory=dict)
    stored: frozenset[LossRow | LifeRow] = frozenset()
    waits_since_ms: float | None = None
    wanted_ms: float = -math.inf
    max_unused_ms: float = MIN_UNUSED_MS

    @property
    def proved(self) -> int:
        """Return the number of losses by a certain crash."""
        return sum(loss.is_proved for loss in self.by_run.values())

    @property
    def restarts(self) -> int:
        """Return the number of losses after which the worker was back, and so had crashed."""
        return sum(not loss.is_vanished for loss in self.by_run.values())

    @property
    def crashes_at_start(self) -> int:
        """Return the number of losses by a certain crash at the start of the run."""
        return sum(loss.is_proved and loss.is_suspect for loss in self.by_run.values())

    @property
    def last(self) -> Loss:
        """Return the loss of the latest run."""
        return self.by_run[max(self.by_run)]

    def rows(self, index: int) -> list[LossRow]:
        """Return the rows to store for the task with the given index."""
        rows = [(index, number, loss.flags) for number, loss in sorted(self.by_run.items())]
        return rows + [(index, number, _RESERVED) for number in self._reserved_numbers()]

    def life_rows(self, index: int) -> list[LifeRow]:
        """Return the rows to store on where the runs with reserved numbers are to start."""
        return [
            (index, number, *life)
            for number, lives in self._reserved_numbers().items()
            for life in lives
        ]

    def _reserved_numbers(self) -> dict[int, tuple[Life, ...]]:
        own = {self.reserved_run: self.reserved_lives} if self.reserved_run else {}
        return self.unseen | own

    def is_stored(self, index: int) -> bool:
        """Return whether all rows are stored."""
        return self.stored.issuperset([*self.rows(index), *self.life_rows(index)])

    def withdraw(self, number: int) -> bool:
        """Remove what counts or may count of a run. Return whether there was anything."""
        return (self.by_run.pop(number, None), self.unseen.pop(number, None)) != (None, None)


def restore_losses(
    rows: Iterable[LossRow], life_rows: Iterable[LifeRow] = ()
) -> dict[int, TaskLosses]:
    """Return the losses by task that a former leader stored.

    A run that was about to start may have started and crashed its worker before the former leader
    knew. Whether it counts is decided when its workers are known.
    """
    lives: dict[tuple[int, int], tuple[Life, ...]] = {}
    for index, number, worker_id, started_ms in life_rows:
        key = (index, number)
        lives[key] = (*lives.get(key, ()), (worker_id, started_ms))
    found: dict[int, TaskLosses] = {}
    for index, number, flags in rows:
        losses = found.setdefault(index, TaskLosses())
        if flags & _RESERVED:
            losses.unseen[number] = lives.get((index, number), ())
        else:
            losses.by_run[number] = Loss(
                bool(flags & _PROVED),
                bool(flags & _SUSPECT),
                bool(flags & _ALONE),
                bool(flags & _ASSUMED),
                bool(flags & _VANISHED),
                bool(flags & _BESIDE_SUSPECT),
            )
    return found

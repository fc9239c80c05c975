"""Ranking of waiting jobs by class, dominant share of the team, and age.

Jobs of the same shape fit on the same workers. A shape that fits nowhere is blocked, and all its
jobs are skipped at no cost until resources that it fits in are freed.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.models.resources import Resources

# Jobs without tasks to place are removed in bounded steps of about a millisecond.
MAX_REMOVALS_PER_CALL = 500
# Limit on interned shapes. Beyond it, shapes without waiting jobs are evicted.
MAX_INTERNED_SHAPES = 5_000
CLASS_ORDER = (RequestClass.URGENT, RequestClass.DEFERRED)


@dataclass(frozen=True, slots=True, eq=False)
class Shape:
    """Resources and gang size of a task, which decide where it fits.

    ``gang_size`` is 1 for tasks that are placed one by one. Shapes come from
    ``Ranking.intern_shape`` and are compared and hashed by identity, because hashing them by value
    takes more than half of the time of a placement.
    """

    resources: Resources
    gang_size: int = 1


@dataclass(slots=True)
class _TeamQueue:
    """Waiting jobs of one class and team, by shape, oldest first.

    Attributes
    ----------
    barrier
        Order of acceptance of a job that has waited long for the team's quota. Younger jobs wait.
    is_ranked
        Whether the queue is considered. It is not while all its shapes exceed the quota.
    """

    share: float
    queues: dict[Shape, deque[tuple[int, str]]] = field(default_factory=dict)
    over_quota: set[Shape] = field(default_factory=set)
    barrier: int | None = None
    is_ranked: bool = True


class _ClassQueue:
    """Team queues of one class, ordered by the dominant shares of the teams."""

    def __init__(self, is_blocked: Callable[[Shape], bool]) -> None:
        self.is_blocked = is_blocked
        self.team_queues: dict[str, _TeamQueue] = {}
        self.order: SortedList = SortedList()
        self.queue_counts: dict[Shape, int] = {}
        self.placeable_shapes: set[Shape] = set()

    def team_queue(self, team: str, share: float) -> _TeamQueue:
        team_queue = self.team_queues.get(team)
        if team_queue is None:
            team_queue = self.team_queues[team] = _TeamQueue(share)
            self.order.add((share, team))
        return team_queue

    def queue(self, team: str, team_queue: _TeamQueue, shape: Shape) -> deque[tuple[int, str]]:
        queue = team_queue.queues.get(shape)
        if queue is None:
            self.resume(team, team_queue)
            queue = team_queue.queues[shape] = deque()
            self.queue_counts[shape] = self.queue_counts.get(shape, 0) + 1
            if not self.is_blocked(shape):
                self.placeable_shapes.add(shape)
        return queue

    def suspend(self, team: str, team_queue: _TeamQueue) -> None:
        """Exclude a team queue from the order if all its shapes exceed the quota."""
        if team_queue.is_ranked and len(team_queue.over_quota) == len(team_queue.queues):
            team_queue.is_ranked = False
            self.order.remove((team_queue.share, team))

    def resume(self, team: str, team_queue: _TeamQueue) -> None:
        """Return a suspended team queue to the order."""
        if not team_queue.is_ranked:
            team_queue.is_ranked = True
            self.order.add((team_queue.share, team))

    def remove_queue(self, team: str, team_queue: _TeamQueue, shape: Shape) -> None:
        del team_queue.queues[shape]
        team_queue.over_quota.discard(shape)
        self.queue_counts[shape] -= 1
        if not self.queue_counts[shape]:
            del self.queue_counts[shape]
            self.placeable_shapes.discard(shape)
        if not team_queue.queues:
            if team_queue.is_ranked:
                self.order.remove((team_queue.share, team))
            del self.team_queues[team]
        else:
            self.suspend(team, team_queue)

    def set_share(self, team: str, share: float) -> None:
        team_queue = self.team_queues.get(team)
        if team_queue is None or team_queue.share == share:
            return
        if team_queue.is_ranked:
            self.order.remove((team_queue.share, team))
            self.order.add((share, team))
        team_queue.share = share


class Ranking:
    """Waiting jobs of a failure domain.

    Parameters
    ----------
    is_placeable
        Returns whether a job still has a task to place with the shape of its entry. Other entries
        are removed lazily, when they are reached, so that a cancellation does not have to search
        the queues.
    """

    def __init__(self, is_placeable: Callable[[str, Shape], bool]) -> None:
        self.has_pending_removals = False
        self._is_placeable = is_placeable
        self._blocked: dict[Shape, None] = {}
        self._infeasible: dict[Shape, None] = {}
        self._shapes: dict[tuple[int, int, int, int], Shape] = {}
        self._classes = {name: _ClassQueue(self._is_blocked) for name in CLASS_ORDER}

    def intern_shape(self, resources: Resources, gang_size: int) -> Shape:
        """Return the interned shape, always the same object while it is in use."""
        key = (resources.cpu_millis, resources.memory_bytes, resources.accelerators, gang_size)
        shape = self._shapes.get(key)
        if shape is None:
            if len(self._shapes) >= MAX_INTERNED_SHAPES:
                self._shapes = {k: s for k, s in self._shapes.items() if self._in_use(s)}
            shape = self._shapes[key] = Shape(resources, gang_size)
        return shape

    def _is_blocked(self, shape: Shape) -> bool:
        return shape in self._blocked or shape in self._infeasible

    def _in_use(self, shape: Shape) -> bool:
        return shape in self._blocked or shape in self._infeasible or self.is_waiting(shape)

    def add(
        self,
        job_class: RequestClass,
        team: str,
        shape: Shape,
        job: tuple[int, str],
        *,
        share: float,
        at_front: bool = False,
    ) -> None:
        """Queue a job, given as its order of acceptance and its id.

        Parameters
        ----------
        share
            Dominant share of the team.
        at_front
            Queue the job ahead of the others of its team and shape.
        """
        class_queue = self._classes[job_class]
        queue = class_queue.queue(team, class_queue.team_queue(team, share), shape)
        if at_front:
            queue.appendleft(job)
        else:
            queue.append(job)

    def next_job(self, job_class: RequestClass) -> tuple[str, Shape] | None:
        """Return the job to place next, or ``None`` when none of this class can be placed now.

        At most ``MAX_REMOVALS_PER_CALL`` jobs without tasks to place are removed. Beyond that,
        ``None`` is returned and ``has_pending_removals`` is set.
        """
        class_queue = self._classes[job_class]
        remaining_removals = MAX_REMOVALS_PER_CALL
        self.has_pending_removals = False
        while class_queue.placeable_shapes and class_queue.order:
            candidate = self._first_candidate(class_queue)
            if candidate is None:
                return None
            team, team_queue, shape = candidate
            queue = team_queue.queues[shape]
            while queue and remaining_removals and not self._is_placeable(queue[0][1], shape):
                queue.popleft()
                remaining_removals -= 1
            if not remaining_removals:
                self.has_pending_removals = True
                return None
            if queue:
                return queue[0][1], shape
            class_queue.remove_queue(team, team_queue, shape)
        return None

    def _first_candidate(self, class_queue: _ClassQueue) -> tuple[str, _TeamQueue, Shape] | None:
        for _, team in class_queue.order:
            team_queue = class_queue.team_queues[team]
            if class_queue.placeable_shapes.isdisjoint(team_queue.queues):
                continue
            best: tuple[int, Shape] | None = None
            for shape, queue in team_queue.queues.items():
                sequence = queue[0][0] if queue else -1
                is_usable = (
                    shape in class_queue.placeable_shapes and shape not in team_queue.over_quota
                )
                if team_queue.barrier is not None and sequence > team_queue.barrier:
                    is_usable = False
                if is_usable and (best is None or sequence < best[0]):
                    best = (sequence, shape)
            if best is not None:
                return team, team_queue, best[1]
        return None

    def block(self, shape: Shape, *, infeasible: bool = False) -> None:
        """Skip a shape that currently fits nowhere.

        Parameters
        ----------
        infeasible
            The shape would not fit even on empty workers. It is not considered again until
            ``unblock_infeasible`` is called.
        """
        (self._infeasible if infeasible else self._blocked)[shape] = None
        for class_queue in self._classes.values():
            class_queue.placeable_shapes.discard(shape)

    def blocked(self) -> Collection[Shape]:
        """Return the feasible shapes that currently fit nowhere."""
        return self._blocked

    def unblock(self, shape: Shape) -> None:
        """Consider a blocked shape again."""
        self._blocked.pop(shape, None)
        self._infeasible.pop(shape, None)
        for class_queue in self._classes.values():
            if shape in class_queue.queue_counts:
                class_queue.placeable_shapes.add(shape)

    def unblock_infeasible(self) -> None:
        """Unblock every infeasible shape, after a change of the workers."""
        for shape in list(self._infeasible):
            self.unblock(shape)

    def unblock_fitting(self, free: Resources) -> None:
        """Unblock the shapes of single tasks that fit in ``free``. Gangs are not unblocked."""
        single_shapes = [s for s in self._blocked if s.gang_size == 1]
        for shape in [s for s in single_shapes if s.resources.fits_in(free)]:
            self.unblock(shape)

    def set_over_quota(
        self, job_class: RequestClass, team: str, shape: Shape, *, barrier: int | None = None
    ) -> None:
        """Skip a team's shape until the team uses less of its quota.

        Parameters
        ----------
        barrier
            Order of acceptance of a job that has waited long. Younger jobs of its team wait too,
            because they would otherwise use all quota that is freed.
        """
        team_queue = self._classes[job_class].team_queues[team]
        team_queue.over_quota.add(shape)
        if barrier is not None:
            team_queue.barrier = (
                barrier if team_queue.barrier is None else min(team_queue.barrier, barrier)
            )
        self._classes[job_class].suspend(team, team_queue)

    def set_share(self, team: str, share: float, *, is_decrease: bool) -> None:
        """Update the dominant share of a team. A decrease also lifts its quota blocks."""
        for class_queue in self._classes.values():
            class_queue.set_share(team, share)
            team_queue = class_queue.team_queues.get(team)
            if is_decrease and team_queue is not None:
                team_queue.over_quota.clear()
                team_queue.barrier = None
                class_queue.resume(team, team_queue)

    def is_waiting(self, shape: Shape) -> bool:
        """Return whether any job of the shape is queued."""
        return any(shape in class_queue.queue_counts for class_queue in self._classes.values())

    def over_quota(self, job_class: RequestClass) -> list[tuple[int, str, Shape]]:
        """Return the first job of each team and shape that exceeds its quota, oldest first."""
        class_queue = self._classes[job_class]
        heads = [
            (queue[0][0], queue[0][1], shape)
            for team_queue in class_queue.team_queues.values()
            for shape in team_queue.over_quota
            if (queue := team_queue.queues.get(shape))
        ]
        return sorted(heads, key=lambda head: head[:2])

    def oldest_blocked(self, job_class: RequestClass) -> list[tuple[int, str, Shape]]:
        """Return the first job of each team and blocked, feasible shape, oldest first."""
        class_queue = self._classes[job_class]
        if class_queue.placeable_shapes.issuperset(class_queue.queue_counts):
            return []
        heads = [
            (queue[0][0], queue[0][1], shape)
            for team_queue in class_queue.team_queues.values()
            for shape, queue in team_queue.queues.items()
            if queue and shape in self._blocked
        ]
        return sorted(heads, key=lambda head: head[:2])

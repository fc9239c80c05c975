"""Order in which waiting jobs are considered: class, dominant share of the team, age.

Jobs with the same shape fit in the same places. When a shape fits nowhere, all its jobs are skipped
at no cost until resources are freed that it fits in.
"""

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.models.resources import Resources

# Cancelled jobs are removed in bounded steps of about a millisecond.
REMOVALS_PER_CALL = 500
# Shapes remembered at once. Beyond that, shapes without waiting jobs are forgotten.
MAX_SHAPES = 5_000
CLASS_ORDER = (RequestClass.URGENT, RequestClass.DEFERRED)


@dataclass(frozen=True, slots=True, eq=False)
class Shape:
    """What decides where a task fits. ``together`` is the size of a gang, else 1.

    ``Ranking.shape`` returns one object per shape, so shapes are compared and hashed by identity.
    Hashing by value took more than half of a placement.
    """

    resources: Resources
    together: int = 1


@dataclass(slots=True)
class _Lane:
    """Waiting jobs of one class and team, by shape, oldest first.

    Attributes
    ----------
    barrier
        Younger jobs than this one wait, because it has waited long for the team's own quota.
    in_order
        Whether the lane is considered. It is not while every shape exceeds the quota.
    """

    share: float
    queues: dict[Shape, deque[tuple[int, str]]] = field(default_factory=dict)
    over_quota: set[Shape] = field(default_factory=set)
    barrier: int | None = None
    in_order: bool = True


class _ClassQueue:
    """Lanes of one class in order of the teams' shares."""

    def __init__(self, is_blocked: Callable[[Shape], bool]) -> None:
        self.is_blocked = is_blocked
        self.lanes: dict[str, _Lane] = {}
        self.order: SortedList = SortedList()
        self.lanes_waiting: dict[Shape, int] = {}
        self.open: set[Shape] = set()

    def lane(self, team: str, share: float) -> _Lane:
        lane = self.lanes.get(team)
        if lane is None:
            lane = self.lanes[team] = _Lane(share)
            self.order.add((share, team))
        return lane

    def queue(self, team: str, lane: _Lane, shape: Shape) -> deque[tuple[int, str]]:
        queue = lane.queues.get(shape)
        if queue is None:
            self.unpark(team, lane)
            queue = lane.queues[shape] = deque()
            self.lanes_waiting[shape] = self.lanes_waiting.get(shape, 0) + 1
            if not self.is_blocked(shape):
                self.open.add(shape)
        return queue

    def park(self, team: str, lane: _Lane) -> None:
        """Leave out a lane while all its shapes exceed the quota."""
        if lane.in_order and len(lane.over_quota) == len(lane.queues):
            lane.in_order = False
            self.order.remove((lane.share, team))

    def unpark(self, team: str, lane: _Lane) -> None:
        """Consider a lane again."""
        if not lane.in_order:
            lane.in_order = True
            self.order.add((lane.share, team))

    def drop_queue(self, team: str, lane: _Lane, shape: Shape) -> None:
        del lane.queues[shape]
        lane.over_quota.discard(shape)
        self.lanes_waiting[shape] -= 1
        if not self.lanes_waiting[shape]:
            del self.lanes_waiting[shape]
            self.open.discard(shape)
        if not lane.queues:
            if lane.in_order:
                self.order.remove((lane.share, team))
            del self.lanes[team]
        else:
            self.park(team, lane)

    def set_share(self, team: str, share: float) -> None:
        lane = self.lanes.get(team)
        if lane is None or lane.share == share:
            return
        if lane.in_order:
            self.order.remove((lane.share, team))
            self.order.add((share, team))
        lane.share = share


class Ranking:
    """Waiting jobs of a failure domain.

    Parameters
    ----------
    keep
        Whether a job still has a task to place. Other jobs are removed when they are reached, so
        that a cancellation costs nothing here.
    """

    def __init__(self, keep: Callable[[str], bool]) -> None:
        self.has_stale = False
        self._keep = keep
        self._blocked: dict[Shape, None] = {}
        self._unfit: dict[Shape, None] = {}
        self._shapes: dict[tuple[int, int, int, int], Shape] = {}
        self._classes = {name: _ClassQueue(self._is_blocked) for name in CLASS_ORDER}

    def shape(self, resources: Resources, together: int) -> Shape:
        """Return the shape of a task, always the same object while it is in use."""
        key = (resources.cpu_millis, resources.memory_bytes, resources.accelerators, together)
        shape = self._shapes.get(key)
        if shape is None:
            if len(self._shapes) >= MAX_SHAPES:
                self._shapes = {k: s for k, s in self._shapes.items() if self._in_use(s)}
            shape = self._shapes[key] = Shape(resources, together)
        return shape

    def _is_blocked(self, shape: Shape) -> bool:
        return shape in self._blocked or shape in self._unfit

    def _in_use(self, shape: Shape) -> bool:
        return shape in self._blocked or shape in self._unfit or self.is_waiting(shape)

    def add(
        self,
        job_class: RequestClass,
        team: str,
        shape: Shape,
        job: tuple[int, str],
        *,
        share: float,
        first: bool = False,
    ) -> None:
        """Add a job, given as its order of acceptance and its id.

        Parameters
        ----------
        share
            Dominant share of the team.
        first
            Put the job before the others of its team and shape.
        """
        group = self._classes[job_class]
        queue = group.queue(team, group.lane(team, share), shape)
        if first:
            queue.appendleft(job)
        else:
            queue.append(job)

    def next_job(self, job_class: RequestClass) -> tuple[str, Shape] | None:
        """Return the job to place next, or ``None`` when none of this class can be placed now.

        At most ``REMOVALS_PER_CALL`` jobs that wait no more are removed. When that is not enough,
        ``None`` is returned and ``has_stale`` is true.
        """
        group = self._classes[job_class]
        removals = REMOVALS_PER_CALL
        self.has_stale = False
        while group.open and group.order:
            found = self._first_of(group)
            if found is None:
                return None
            team, lane, shape = found
            queue = lane.queues[shape]
            while queue and removals and not self._keep(queue[0][1]):
                queue.popleft()
                removals -= 1
            if not removals:
                self.has_stale = True
                return None
            if queue:
                return queue[0][1], shape
            group.drop_queue(team, lane, shape)
        return None

    def _first_of(self, group: _ClassQueue) -> tuple[str, _Lane, Shape] | None:
        for _, team in group.order:
            lane = group.lanes[team]
            if group.open.isdisjoint(lane.queues):
                continue
            best: tuple[int, Shape] | None = None
            for shape, queue in lane.queues.items():
                first = queue[0][0] if queue else -1
                usable = shape in group.open and shape not in lane.over_quota
                if lane.barrier is not None and first > lane.barrier:
                    usable = False
                if usable and (best is None or first < best[0]):
                    best = (first, shape)
            if best is not None:
                return team, lane, best[1]
        return None

    def block(self, shape: Shape, *, unfit: bool = False) -> None:
        """Skip a shape because it fits nowhere now.

        Parameters
        ----------
        unfit
            The shape does not fit on the workers even when they are empty. It costs nothing until
            ``unblock_unfit``.
        """
        (self._unfit if unfit else self._blocked)[shape] = None
        for group in self._classes.values():
            group.open.discard(shape)

    def blocked(self) -> Collection[Shape]:
        """Return the shapes that fit nowhere now."""
        return self._blocked

    def unblock(self, shape: Shape) -> None:
        """Consider a shape again."""
        self._blocked.pop(shape, None)
        self._unfit.pop(shape, None)
        for group in self._classes.values():
            if shape in group.lanes_waiting:
                group.open.add(shape)

    def unblock_unfit(self) -> None:
        """Consider every shape again that was too large, after a change of the workers."""
        for shape in list(self._unfit):
            self.unblock(shape)

    def unblock_fitting(self, free: Resources) -> None:
        """Consider every shape again of which one task fits in ``free``. Gangs are left out."""
        single = [s for s in self._blocked if s.together == 1]
        for shape in [s for s in single if s.resources.fits_in(free)]:
            self.unblock(shape)

    def set_over_quota(
        self, job_class: RequestClass, team: str, shape: Shape, *, barrier: int | None = None
    ) -> None:
        """Skip a team's shape until the team's use falls.

        Parameters
        ----------
        barrier
            Order of acceptance of a job that has waited long. Younger jobs of its team wait too, so
            that they do not use up every part of the quota that is returned.
        """
        lane = self._classes[job_class].lanes[team]
        lane.over_quota.add(shape)
        if barrier is not None:
            lane.barrier = barrier if lane.barrier is None else min(lane.barrier, barrier)
        self._classes[job_class].park(team, lane)

    def set_share(self, team: str, share: float, *, fell: bool) -> None:
        """Take over a team's new dominant share. ``fell`` tells that its use is lower now."""
        for group in self._classes.values():
            group.set_share(team, share)
            lane = group.lanes.get(team)
            if fell and lane is not None:
                lane.over_quota.clear()
                lane.barrier = None
                group.unpark(team, lane)

    def is_waiting(self, shape: Shape) -> bool:
        """Return whether any job of the shape waits."""
        return any(shape in group.lanes_waiting for group in self._classes.values())

    def over_quota(self, job_class: RequestClass) -> list[tuple[int, str, Shape]]:
        """Return the first job of each lane and shape that exceeds a quota, oldest first."""
        group = self._classes[job_class]
        heads = [
            (queue[0][0], queue[0][1], shape)
            for lane in group.lanes.values()
            for shape in lane.over_quota
            if (queue := lane.queues.get(shape))
        ]
        return sorted(heads, key=lambda head: head[:2])

    def oldest_blocked(self, job_class: RequestClass) -> list[tuple[int, str, Shape]]:
        """Return the first job of each lane and blocked shape that could fit, oldest first."""
        group = self._classes[job_class]
        if group.open.issuperset(group.lanes_waiting):
            return []
        heads = [
            (queue[0][0], queue[0][1], shape)
            for lane in group.lanes.values()
            for shape, queue in lane.queues.items()
            if queue and shape in self._blocked
        ]
        return sorted(heads, key=lambda head: head[:2])

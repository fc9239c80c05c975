"""Order in which waiting jobs are considered: class, dominant share of the team, age.

Jobs with the same shape fit in the same places. When a shape fits nowhere, all its jobs are skipped
at no cost until resources are freed that it fits in.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from nutmeglb_formats.models.config import RequestClass
from nutmeglb_formats.models.resources import Resources

CLASS_ORDER = (RequestClass.URGENT, RequestClass.DEFERRED)


@dataclass(frozen=True, slots=True)
class Shape:
    """What decides where a task fits. ``together`` is the size of a gang, else 1."""

    resources: Resources
    together: int = 1


@dataclass(slots=True)
class _Lane:
    """Waiting jobs of one class and team, by shape, oldest first.

    Attributes
    ----------
    barrier
        Younger jobs than this one wait, because it has waited long for the team's own quota.
    """

    share: float
    queues: dict[Shape, deque[tuple[int, str]]] = field(default_factory=dict)
    over_quota: set[Shape] = field(default_factory=set)
    barrier: int | None = None


class _ClassQueue:
    """Lanes of one class in order of the teams' shares."""

    def __init__(self, blocked: set[Shape]) -> None:
        self.blocked = blocked
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

    def queue(self, lane: _Lane, shape: Shape) -> deque[tuple[int, str]]:
        queue = lane.queues.get(shape)
        if queue is None:
            queue = lane.queues[shape] = deque()
            self.lanes_waiting[shape] = self.lanes_waiting.get(shape, 0) + 1
            if shape not in self.blocked:
                self.open.add(shape)
        return queue

    def drop_queue(self, team: str, lane: _Lane, shape: Shape) -> None:
        del lane.queues[shape]
        lane.over_quota.discard(shape)
        self.lanes_waiting[shape] -= 1
        if not self.lanes_waiting[shape]:
            del self.lanes_waiting[shape]
            self.open.discard(shape)
        if not lane.queues:
            self.order.remove((lane.share, team))
            del self.lanes[team]

    def set_share(self, team: str, share: float) -> None:
        lane = self.lanes.get(team)
        if lane is not None and lane.share != share:
            self.order.remove((lane.share, team))
            lane.share = share
            self.order.add((share, team))


class Ranking:
    """Waiting jobs of a failure domain.

    Parameters
    ----------
    keep
        Whether a job still has a task to place. Other jobs are removed when they are reached, so
        that a cancellation costs nothing here.
    """

    def __init__(self, keep: Callable[[str], bool]) -> None:
        self._keep = keep
        self._blocked: set[Shape] = set()
        self._classes = {name: _ClassQueue(self._blocked) for name in CLASS_ORDER}

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
        queue = group.queue(group.lane(team, share), shape)
        if first:
            queue.appendleft(job)
        else:
            queue.append(job)

    def next_job(self, job_class: RequestClass) -> tuple[str, Shape] | None:
        """Return the job to place next, or ``None`` when none of this class can be placed now."""
        group = self._classes[job_class]
        while group.open:
            found = self._first_of(group)
            if found is None:
                return None
            team, lane, shape = found
            queue = lane.queues[shape]
            while queue and not self._keep(queue[0][1]):
                queue.popleft()
            if queue:
                return queue[0][1], shape
            group.drop_queue(team, lane, shape)
        return None

    def _first_of(self, group: _ClassQueue) -> tuple[str, _Lane, Shape] | None:
        for _, team in group.order:
            lane = group.lanes[team]
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

    def block(self, shape: Shape) -> None:
        """Skip a shape because it fits nowhere now."""
        self._blocked.add(shape)
        for group in self._classes.values():
            group.open.discard(shape)

    def blocked(self) -> set[Shape]:
        """Return the shapes that fit nowhere now."""
        return self._blocked

    def unblock(self, shape: Shape) -> None:
        """Consider a shape again."""
        self._blocked.discard(shape)
        for group in self._classes.values():
            if shape in group.lanes_waiting:
                group.open.add(shape)

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

    def set_share(self, team: str, share: float, *, fell: bool) -> None:
        """Take over a team's new dominant share. ``fell`` tells that its use is lower now."""
        for group in self._classes.values():
            group.set_share(team, share)
            lane = group.lanes.get(team)
            if fell and lane is not None:
                lane.over_quota.clear()
                lane.barrier = None

    def is_waiting(self, shape: Shape) -> bool:
        """Return whether any job of the shape waits."""
        return any(shape in group.lanes_waiting for group in self._classes.values())

    def oldest_blocked(self, job_class: RequestClass) -> list[tuple[int, str, Shape]]:
        """Return the first job of each lane and blocked shape, oldest first."""
        group = self._classes[job_class]
        heads = [
            (queue[0][0], queue[0][1], shape)
            for lane in group.lanes.values()
            for shape, queue in lane.queues.items()
            if queue and shape in self._blocked
        ]
        return sorted(heads, key=lambda head: head[:2])

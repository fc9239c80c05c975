"""State of a worker in the queue scheduler."""

import math
from dataclasses import dataclass, field, replace

from nutmeglb_decisions.queues.state import Run
from nutmeglb_formats.models.queues import QueueWorker
from nutmeglb_formats.models.resources import Resources

NO_RESOURCES = Resources()


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, and all runs that it may have.

    Attributes
    ----------
    info
        Latest entry of the worker in the store, possibly that of a former incarnation. Its capacity
        is the one that counts for starts: a larger one does so from its second reading on.
    started_ms
        Start time of the current incarnation, from its reports or its entry.
    used, free, utilization
        Capacity charged by all runs; the free capacity, negative after the worker has shrunk below
        what runs there; and the largest used share of any resource. They are cached, because a pass
        reads them far more often than they change.
    largest_capacity
        Largest amount of each resource that the present incarnation has shown.
    last_applied_end
        Highest number of an end that was applied.
    lease_expires_at_ms
        Time at which all runs on the worker have certainly ended if no renewal arrives.
    longest_lease_expires_at_ms
        The same for runs that may be active in an incarnation that is not known.
    reported_started_ms
        Start time of the incarnation that sent the last report; ``None`` before the first one.
    former_report_ms
        Time of the last report of the former incarnation.
    first_answer_ms
        Time of the first answer of the current incarnation, which has accepted the fencing token of
        this leader by then.
    starts_until_ms
        Time until which its entry proves its capacity, so that tasks may start.
    settled
        Whether the runs that former leaders left on the current incarnation are known.
    is_replaced, replaced_ms
        Whether another worker has answered at its address, and the worker has not reported since;
        and the time of that answer.
    report_clock_ms, first_answer_clock_ms
        Times on the worker's clock of the last report and of the first answer of this incarnation.
    stop_clocks_ms
        Per task and run number: time on the worker's clock at which it accepted a stop.
    avoided_until_ms
        Time before which no task is placed on the worker.
    last_report_ms
        Time of the last report.
    connected_calls
        Renewals since the last answer for which the worker accepted a new connection without
        answering; 0 again if the next call after a single one is not accepted.
    stalled_since_ms
        Time of the first of these calls, since which its process stands still; ``None`` if it does
        not.
    restarted_ms
        Time at which another incarnation was seen, or runs of the former one were last known.
    consecutive_bad_runs
        Failed or stuck runs since the last completed one.
    slowness
        Learned ratio of the run times on the worker to those on an average one.
    stray_runs
        Runs on the worker that belong to no unfinished job, and the time at which it accepted their
        stop, or ``None``. Their size may be unknown, so no task is placed beside them.
    has_moved
        Whether entries have named several addresses in the current incarnation. An incarnation has
        one, so it is not known which of them is the worker's.
    is_kept
        Whether nothing is placed on the worker beside a task that may crash it. No capacity counts
        as free then, so that other work looks for other workers.
    """

    info: QueueWorker
    used: Resources = field(default_factory=Resources)
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    listed: bool = True
    last_listed_ms: float = 0.0
    last_applied_end: int = 0
    lease_expires_at_ms: float = 0.0
    longest_lease_expires_at_ms: float = 0.0
    reported_started_ms: int | None = None
    former_report_ms: float = 0.0
    first_answer_ms: float | None = None
    starts_until_ms: float = math.inf
    settled: bool = False
    is_replaced: bool = False
    replaced_ms: float = 0.0
    avoided_until_ms: float = 0.0
    unanswered_since_ms: float | None = None
    last_report_ms: float = 0.0
    report_clock_ms: float = 0.0
    first_answer_clock_ms: float = 0.0
    stop_clocks_ms: dict[tuple[str, int], float] = field(default_factory=dict)
    connected_calls: int = 0
    stalled_since_ms: float | None = None
    restarted_ms: float = -math.inf
    consecutive_bad_runs: int = 0
    slowness: float = 1.0
    stray_runs: dict[tuple[str, int], float | None] = field(default_factory=dict)
    has_moved: bool = False
    is_kept: bool = False
    worker_id: str = field(init=False)
    started_ms: int = field(init=False)
    free: Resources = field(init=False)
    utilization: float = field(init=False)
    largest_capacity: Resources = field(init=False)
    _read_capacity: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.worker_id = self.info.worker_id
        self.started_ms = self.info.started_ms
        self._read_capacity = self.largest_capacity = self.info.capacity
        self._update_free()

    def update_info(self, info: QueueWorker) -> bool:
        """Replace the entry of the worker with a newer one. Return whether its capacity changed.

        Less capacity counts at once. More counts when a second reading shows it, so that no single
        reading enlarges a worker; an entry of another incarnation has nothing to do with the last.
        """
        capacity, former = info.capacity, self.info.capacity
        is_unchanged = capacity == self._read_capacity and capacity == former
        if is_unchanged and info.started_ms == self.info.started_ms:
            self.info = info
            return False
        if not self._is_other_incarnation(info):
            capacity = capacity.component_min(self._read_capacity)
            self.largest_capacity = capacity.component_max(self.largest_capacity)
        else:
            self.largest_capacity = capacity
        self._read_capacity = info.capacity
        self.info = info if capacity == info.capacity else replace(info, capacity=capacity)
        self._update_free()
        return capacity != former

    def _is_other_incarnation(self, info: QueueWorker) -> bool:
        started_ms = self.info.started_ms
        return bool(info.started_ms and started_ms) and info.started_ms != started_ms

    def accepts_starts(self, now_ms: float) -> bool:
        """Return whether any task may be placed on the worker, if it has the capacity."""
        return not self.is_kept and self.is_usable(now_ms)

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the worker may run tasks, which may have to be without other work."""
        return (
            self.settled
            and self.has_current_info
            and now_ms <= self.starts_until_ms
            and not self.stray_runs
            and now_ms >= self.avoided_until_ms
            and self.unanswered_since_ms is None
        )

    @property
    def has_current_info(self) -> bool:
        """Return whether the entry is that of the incarnation whose reports are applied.

        Capacity and labels may change with an incarnation. Start times of 0, which stand for a
        missing one, are not compared.
        """
        return self.info.started_ms == self.started_ms or not (
            self.info.started_ms and self.started_ms
        )

    @property
    def exceeds_capacity(self) -> bool:
        """Return whether more is charged than the worker has, whether it is kept or not."""
        return not (self.info.capacity - self.used).is_non_negative()

    def charge(self, amount: Resources) -> None:
        """Charge the capacity of a run."""
        self.used = self.used + amount
        self._update_free()

    def release_capacity(self, amount: Resources) -> None:
        """Release the capacity of a run that has ended."""
        self.used = self.used - amount
        self._update_free()

    def set_kept(self, is_kept: bool) -> None:
        """Keep the worker for a task that may crash it, or make it available again."""
        self.is_kept = is_kept
        self._update_free()

    def _update_free(self) -> None:
        self.free = NO_RESOURCES if self.is_kept else self.info.capacity - self.used
        self.utilization = self.used.dominant_share(self.info.capacity)

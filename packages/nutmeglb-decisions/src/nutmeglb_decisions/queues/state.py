"""State of jobs, runs and workers in the scheduler of queues."""

from dataclasses import dataclass, field
from enum import StrEnum

from nutmeglb_decisions.queues.names import step_name, task_name
from nutmeglb_formats.models.queues import QueueJob, QueueWorker, StepSpec
from nutmeglb_formats.models.resources import Resources


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class RunState(StrEnum):
    """Stage of a run on a worker."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker. It takes room until its end is known.

    Attributes
    ----------
    confirmed_ms
        Time of the worker's answer to the order, or to its stop; ``None`` while it is unknown
        whether the worker has or may still get the run.
    expected_end_ms
        Estimated end, for reservations.
    idle_since_ms, idle_ms
        Time of the first of the latest reports that show no processor in use, and the time between
        the first and the last of them.
    """

    step: "Step"
    index: int
    number: int
    worker_id: str
    charged: Resources
    ordered_ms: float
    expected_end_ms: float
    state: RunState = RunState.ORDERED
    confirmed_ms: float | None = None
    percent: int = 100
    wanted_percent: int = 100
    activity: int | None = None
    idle_since_ms: float | None = None
    idle_ms: float = 0.0
    resumed: bool = False

    @property
    def task(self) -> str:
        """Return the name of the task."""
        return self.step.task_name(self.index)


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes
    ----------
    last_run
        Highest run number used so far.
    checkpoint
        Last saved progress, empty when there is none.
    not_before_ms
        Earliest time of the next start.
    """

    index: int
    last_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    done: bool = False
    run: Run | None = None
    not_before_ms: float = 0.0


@dataclass(slots=True, eq=False)
class AdviceState:
    """What is known about the workers that may run a step.

    Attributes
    ----------
    asked
        Workers named so far, in their present incarnation.
    good
        Workers that may run the step.
    tickets
        Per worker: ticket and the time until which it is valid.
    call_until_ms
        An unanswered call counts as lost at this time; 0 when there is none.
    """

    asked: dict[str, int] = field(default_factory=dict)
    good: set[str] = field(default_factory=set)
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    call_deadline_ms: float = 0.0
    not_before_ms: float = 0.0


@dataclass(slots=True, eq=False)
class GangPlan:
    """Workers on which a gang waits for room.

    Attributes
    ----------
    counts
        Tasks per worker.
    review_ms
        Time of the next look for better workers.
    start_ms
        Expected start, as of the last look.
    """

    counts: dict[str, int]
    next_review_ms: float
    start_ms: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected times of a step, as of the latest estimates.

    Attributes
    ----------
    remaining_ms
        Longest chain of work from the step on.
    objective_ms
        Time within which the caller expects the end of the whole job.
    until_ms
        Time at which they are computed again.
    """

    remaining_ms: float
    objective_ms: float
    until_ms: float


@dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence of a job.

    Attributes
    ----------
    recorded
        Workers whose possible use is durable. A task starts only on these.
    unsettled
        Workers that may hold runs ordered by a former leader. The step waits for them.
    record_check_ms
        Time of the next look at whether the recorded workers can hold all tasks.
    failed_runs
        Numbers of the failed runs of a gang.
    opened_ms, explained_ms
        Time from which the step could start; time of the last log line on why it has not.
    reached_ms
        Time of the last pass that tried to start tasks of the step.
    outlook
        Expected times that its rank is made of, once they have been computed.
    charged
        What one task takes of a worker's capacity. Kept, since a pass reads it for each worker.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task]
    recorded: set[str] = field(default_factory=set)
    selected: set[str] = field(default_factory=set)
    unsettled: set[str] = field(default_factory=set)
    record_check_ms: float = 0.0
    advice: AdviceState = field(default_factory=AdviceState)
    remaining: int = 0
    failed_runs: set[int] = field(default_factory=set)
    not_before_ms: float = 0.0
    runnable_since_ms: float | None = None
    wait_logged_ms: float = 0.0
    last_tried_ms: float = 0.0
    plan: GangPlan | None = None
    forecast: Forecast | None = None
    charged: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.charged = self.spec.charged

    @property
    def name(self) -> str:
        """Return the step's name."""
        return step_name(self.job.job_id, self.occurrence, self.number)

    @property
    def done(self) -> bool:
        """Return whether all tasks have completed."""
        return self.remaining == 0

    @property
    def live_runs(self) -> list[Run]:
        """Return the runs that take room."""
        return [task.run for task in self.tasks if task.run is not None]

    def task_name(self, index: int) -> str:
        """Return the name of one of the tasks."""
        return task_name(self.job.job_id, self.occurrence, self.number, index)

    def forget_workers(self, worker_ids: set[str]) -> bool:
        """Forget workers that certainly run nothing of the step. Return whether it named any.

        They have to be asked about and stored again before they are used.
        """
        named = worker_ids & (self.selected | self.recorded)
        self.unsettled -= worker_ids
        self.selected -= named
        self.recorded -= named
        self.advice.good -= named
        if named:
            self.advice.not_before_ms = 0.0
        for worker_id in named:
            self.advice.asked.pop(worker_id, None)
            self.advice.tickets.pop(worker_id, None)
        return bool(named)


@dataclass(slots=True, eq=False)
class Job:
    """A job with its occurrences. Occurrences are created when they are due.

    Attributes
    ----------
    completed
        Numbers of the completed occurrences.
    begun
        Whether a worker has shown that a task has started.
    final
        Final state. Callers see it once it is stored.
    """

    record: QueueJob
    accepted_ms: float
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    next_occurrence: int = 0
    completed: set[int] = field(default_factory=set)
    has_started: bool = False
    final: JobState | None = None
    finished_wall_ms: float = 0.0

    @property
    def job_id(self) -> str:
        """Return the id."""
        return self.record.job_id

    @property
    def total_occurrences(self) -> int:
        """Return how often the steps run."""
        return max(1, self.record.repeats)

    @property
    def steps(self) -> list[Step]:
        """Return the steps of all occurrences so far."""
        return [step for steps in self.occurrences.values() for step in steps]

    def add_occurrence(self, number: int) -> list[Step]:
        """Create the steps of an occurrence."""
        steps = [
            Step(self, number, i, spec, [Task(n) for n in range(spec.count)], remaining=spec.count)
            for i, spec in enumerate(self.record.steps)
        ]
        self.occurrences[number] = steps
        return steps


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """What is kept of a finished job: its queue, final state and the wall-clock time of the end."""

    queue: str
    state: JobState
    finished_ms: float


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and everything that may run on it.

    Attributes
    ----------
    info
        Its latest entry in the store, which may be that of a former incarnation.
    started_ms
        Start time of the present incarnation, as its reports or its entry tell.
    used, free, fullness
        Sum of what all runs charge, asserted to stay within the capacity; what is left of it; and
        the largest used share of a resource. They are kept, since a pass reads them far more often
        than they change.
    seen_end
        Highest number of an end that was applied.
    lapse_ms
        Time at which everything on the worker has certainly ended if no renewal arrives.
    settled
        Whether this leader's token was accepted by the present incarnation.
    suspect_until_ms
        No task is placed before this time.
    reported_ms
        Time of the last report.
    bad_ends
        Failed or stuck runs since the last completed one.
    strays
        Runs on the worker that belong to no unfinished job. Their size may be unknown, so
        nothing is placed beside them.
    """

    info: QueueWorker
    used: Resources = field(default_factory=Resources)
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    listed: bool = True
    last_listed_ms: float = 0.0
    last_applied_end: int = 0
    lease_expiry_ms: float = 0.0
    settled: bool = False
    avoided_until_ms: float = 0.0
    unanswered_since_ms: float | None = None
    last_report_ms: float = 0.0
    consecutive_bad_runs: int = 0
    slowness: float = 1.0
    stray_runs: set[tuple[str, int]] = field(default_factory=set)
    worker_id: str = field(init=False)
    started_ms: int = field(init=False)
    free: Resources = field(init=False)
    utilization: float = field(init=False)

    def __post_init__(self) -> None:
        self.worker_id = self.info.worker_id
        self.started_ms = self.info.started_ms
        self._update_free()

    def update_info(self, info: QueueWorker) -> None:
        """Take over a newer entry of the worker."""
        self.info = info
        self._update_free()

    def charge(self, amount: Resources) -> None:
        """Take room for a run."""
        self.used = self.used + amount
        self._update_free()

    def release_capacity(self, amount: Resources) -> None:
        """Return the room of a run that has ended."""
        self.used = self.used - amount
        self._update_free()

    def _update_free(self) -> None:
        self.free = self.info.capacity - self.used
        self.utilization = self.used.dominant_share(self.info.capacity)

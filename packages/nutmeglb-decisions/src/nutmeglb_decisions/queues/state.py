"""State of jobs, runs and workers in the queue scheduler."""

from dataclasses import dataclass, field
from enum import StrEnum

from nutmeglb_decisions.queues.names import step_name, task_name
from nutmeglb_decisions.queues.run_progress import RunProgress, StepPace
from nutmeglb_decisions.queues.step_state import AdviceState, Deferral, Forecast, GangPlan, RoomHold
from nutmeglb_decisions.queues.task_losses import TaskLosses
from nutmeglb_formats.models.queues import QueueJob, QueueKey, StepSpec
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
    """Stage of a run, from its start order to its stop order."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Isolation(StrEnum):
    """How long no other work is placed beside a run, because its task may crash its worker."""

    NONE = "none"
    UNTIL_PROVED = "until_proved"
    WHOLE_RUN = "whole_run"


@dataclass(slots=True, eq=False)
class Run:
    """One attempt to run a task on a worker. It uses capacity until its end is known.

    Attributes
    ----------
    confirmed_ms
        Time of the worker's answer to the start order or to the stop order; ``None`` while it is
        unknown whether the worker has the run or may still receive it.
    worker_started_ms, stop_accepted_by
        Start times of the worker's incarnation for which the run was placed, and of the one that
        has accepted a stop, or ``None``. Another one may have less capacity, or other runs.
    is_life_known
        Whether an answer or a report has shown which incarnation has the run.
    unanswered_orders
        Number of copies of the start order that are not answered. Each may still be carried out.
    expected_end_ms
        Estimated end, used for reservations.
    idle_since_ms, idle_ms
        Time of the first report in the current series without CPU usage, and the time from that
        report to the last one.
    resumed
        Whether the run started from a checkpoint or was adopted. Its duration then does not show
        the run time of the task.
    progress
        Progress that the reports have shown; ``None`` if they show none.
    own_end_ms
        Expected end of the work of a gang's member alone; ``None`` while it is unknown.
    free_by_ms
        Time by which its capacity is expected to be free, if it is being stopped for other work;
        0 otherwise.
    beside
        Shares of the worker's processors that other kinds of tasks used at the start, if recorded.
    has_started
        Whether its worker has confirmed that it has started.
    proved_active
        Whether a report has shown it active long enough after its order that its start did not
        crash the worker.
    began_alone
        Whether it was started on a worker without other work, on which nothing is placed until it
        is proved active.
    is_gone_at_start
        Whether no connection to its worker could be established right after its order.
    isolation
        Whether other work may be placed beside it.
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
    worker_started_ms: int = 0
    stop_accepted_by: int | None = None
    is_life_known: bool = False
    unanswered_orders: int = 0
    percent: int = 100
    wanted_percent: int = 100
    activity: int | None = None
    idle_since_ms: float | None = None
    idle_ms: float = 0.0
    resumed: bool = False
    progress: RunProgress | None = None
    own_end_ms: float | None = None
    free_by_ms: float = 0.0
    beside: dict[str, float] | None = None
    has_started: bool = False
    proved_active: bool = False
    began_alone: bool = False
    is_gone_at_start: bool = False
    isolation: Isolation = Isolation.NONE

    @property
    def task(self) -> str:
        """Return the name of the task that is run."""
        return self.step.task_name(self.index)


@dataclass(frozen=True, slots=True)
class PresumedEnd:
    """A run that counts as ended although no worker has reported its end.

    Attributes
    ----------
    cause
        The observation from which the end was inferred.
    at_ms
        Time of the inference.
    state
        Stage of the run at that time.
    confirmed_for_ms, silent_for_ms
        Time since the run was confirmed, and since its worker became silent; ``None`` if neither
        had happened.
    lease_left_ms
        Remaining lease of the worker's runs, negative if it had expired.
    """

    worker_id: str
    cause: str
    at_ms: float
    state: str
    confirmed_for_ms: float | None
    lease_left_ms: float
    silent_for_ms: float | None


@dataclass(frozen=True, slots=True)
class PresumedLosses:
    """Runs that are taken for lost because the lease of their silent worker expired.

    Attributes
    ----------
    started_ms
        Start time of the worker's incarnation that had the runs.
    """

    started_ms: int
    runs: list[Run]


@dataclass(slots=True, eq=False)
class Task:
    """One task of a step.

    Attributes
    ----------
    last_run
        Highest run number used so far.
    failed_runs
        Numbers of the failed runs. Of a lasting task only their count is used, since its last end
        without a failure.
    checkpoint
        Last saved checkpoint; empty if there is none.
    not_before_ms
        Earliest time of the next start.
    preempted_loss_ms
        Time in milliseconds that its last preemption cost. It is not preempted again until it has
        run that long.
    losses
        Runs that were lost with their workers; ``None`` without any.
    """

    index: int
    last_run: int = 0
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ""
    done: bool = False
    run: Run | None = None
    not_before_ms: float = 0.0
    preempted_loss_ms: float = 0.0
    losses: TaskLosses | None = None


@dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence of a job.

    Attributes
    ----------
    recorded
        Workers stored as possibly used by the step. Its tasks start only on these.
    selected
        Workers to be stored, including the recorded ones.
    unsettled
        Workers that may hold runs ordered by a former leader. The step waits for them.
    record_check_ms
        Time of the next check whether the selected workers can hold all tasks.
    remaining
        Number of tasks that have not completed.
    failed_runs
        Numbers of the failed runs of a gang.
    deferral
        Until when no task starts, after an unexpected error of the step.
    runnable_since_ms, wait_logged_ms
        Time from which the step could start; time of the last log line on why it has not.
    last_tried_ms
        Time of the last pass that tried to start tasks of the step.
    forecast
        Expected durations from which the rank is computed; ``None`` before the first computation.
    charged
        Capacity that one task uses. Cached, because a pass reads it for each worker.
    team, needs
        Team of the job, and what one task counts towards the team's limit. Cached, because a pass
        reads them for each running step.
    pace
        Run time of the tasks on an average worker, as observed.
    holds
        Per worker: capacity that is kept for the step.
    room_search_ms
        Time of the next search for runs to stop for the step.
    expects_room_until_ms
        Time until which room is to be made for the step as soon as its advice is valid.
    held_by
        Name of the gate that kept the step from starting in the last pass; empty if none did.
    unplanned
        Why the last pass made no plan for the step, which is a gang; empty if it has one.
    overdue_check_ms
        Time of the next check whether its workers can hold the step, a gang without a plan.
    wait_cause, wait_cause_since_ms
        Last logged cause of its wait, and the time of the first of the consecutive lines with it.
    lossy_tasks
        Indices of the tasks with runs that were lost with their workers.
    has_proved_task
        Whether a run of a task has been proved active.
    may_have_lost_runs, has_restarted_worker
        Whether runs that a former leader ordered may have crashed their workers unseen, and whether
        such a worker has answered as an incarnation that may have begun since.
    unseen_tasks
        Indices of the tasks with runs that a former leader was about to start.
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
    deferral: Deferral = field(default_factory=Deferral)
    runnable_since_ms: float | None = None
    wait_logged_ms: float = 0.0
    last_tried_ms: float = 0.0
    plan: GangPlan | None = None
    forecast: Forecast | None = None
    holds: dict[str, RoomHold] = field(default_factory=dict)
    room_search_ms: float = 0.0
    expects_room_until_ms: float = 0.0
    held_by: str = ""
    unplanned: str = ""
    overdue_check_ms: float = 0.0
    wait_cause: str = ""
    wait_cause_since_ms: float = 0.0
    lossy_tasks: set[int] = field(default_factory=set)
    has_proved_task: bool = False
    may_have_lost_runs: bool = False
    has_restarted_worker: bool = False
    unseen_tasks: set[int] = field(default_factory=set)
    pace: StepPace = field(default_factory=StepPace)
    charged: Resources = field(init=False)
    team: str = field(init=False)
    needs: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.charged = self.spec.charged
        self.team = self.job.record.team
        self.needs = self.spec.needs

    @property
    def name(self) -> str:
        """Return the name of the step."""
        return step_name(self.job.job_id, self.occurrence, self.number)

    @property
    def done(self) -> bool:
        """Return whether all tasks have completed."""
        return self.remaining == 0

    @property
    def live_runs(self) -> list[Run]:
        """Return the runs that use capacity on a worker."""
        return [task.run for task in self.tasks if task.run is not None]

    def task_name(self, index: int) -> str:
        """Return the name of the task with the given index."""
        return task_name(self.job.job_id, self.occurrence, self.number, index)

    def forget_workers(self, worker_ids: set[str], lost: set[str]) -> bool:
        """Remove workers that certainly run nothing of the step. Return whether it had named any.

        Advice on them has to be requested, and they have to be stored, before they are used again.

        Parameters
        ----------
        lost
            Those of them that may have crashed.
        """
        named = worker_ids & (self.selected | self.recorded)
        if self.unsettled & lost:
            self.may_have_lost_runs = True
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
    """A job with its occurrences, which are created when they are due.

    Attributes
    ----------
    completed
        Numbers of the completed occurrences.
    has_started
        Whether a worker has confirmed that a task has started.
    exceeds_rate
        Whether the team had submitted more than its rate at the acceptance of the job; ``None``
        before it is known.
    final
        Final state. Callers see it once it is stored.
    stored_worker_bytes
        Size of the workers in its stored progress when last encoded, and what was added since.
    """

    record: QueueJob
    accepted_ms: float
    queue_key: QueueKey = field(init=False)
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    next_occurrence: int = 0
    completed: set[int] = field(default_factory=set)
    has_started: bool = False
    exceeds_rate: bool | None = None
    final: JobState | None = None
    finished_wall_ms: float = 0.0
    stored_worker_bytes: int = 0

    def __post_init__(self) -> None:
        self.queue_key = self.record.queue.key

    @property
    def job_id(self) -> str:
        """Return the id of the job."""
        return self.record.job_id

    @property
    def total_occurrences(self) -> int:
        """Return how often the steps of the job run."""
        return max(1, self.record.repeats)

    @property
    def steps(self) -> list[Step]:
        """Return the steps of all occurrences created so far."""
        return [step for steps in self.occurrences.values() for step in steps]

    def add_occurrence(self, number: int) -> list[Step]:
        """Create the steps of an occurrence and return them."""
        steps = [
            Step(self, number, i, spec, [Task(n) for n in range(spec.count)], remaining=spec.count)
            for i, spec in enumerate(self.record.steps)
        ]
        self.occurrences[number] = steps
        return steps

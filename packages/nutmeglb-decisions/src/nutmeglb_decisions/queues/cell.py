"""State shared by all parts of the queue scheduler."""

import math
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.effects import Decision, Effect
from nutmeglb_decisions.queues.entry_age import EntryAge
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.finished_job import FinishedJob
from nutmeglb_decisions.queues.headroom import ClassUsage
from nutmeglb_decisions.queues.interference import Interference
from nutmeglb_decisions.queues.job_memory import JobMemory
from nutmeglb_decisions.queues.lost_work import PreemptionUsage
from nutmeglb_decisions.queues.parts import PassParts
from nutmeglb_decisions.queues.run_sums import RunSums
from nutmeglb_decisions.queues.state import (
    Job,
    PresumedEnd,
    PresumedLosses,
    Run,
    Step,
    Task,
)
from nutmeglb_decisions.queues.team_rates import TeamRates
from nutmeglb_decisions.queues.worker_speed import Speeds
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import Queue, QueueConfig, QueueKey

# The run numbers of a term start at the term times this number, so that they increase from leader
# to leader without a journal entry for each start.
RUNS_PER_TERM = 10_000


@dataclass(frozen=True, slots=True)
class CountedLosses:
    """Runs that were counted as lost with one incarnation of a worker, and the time of the last."""

    counted_ms: float
    runs: list[Run]


@dataclass(frozen=True, slots=True)
class KeptWorker:
    """Task for which a worker is kept without other work, and when it last asked for it."""

    step: Step
    task: Task
    wanted_ms: float


@dataclass(slots=True)
class LateOrder:
    """Run that has ended while copies of its start order were unanswered.

    Attributes
    ----------
    sent_to_ms, barred_in_ms
        Start times of the worker's life that the order was sent to, and of the last one that was
        ordered to refuse it.
    until_ms
        Time after which no copy can be carried out any more.
    """

    task: str
    run: int
    sent_to_ms: int
    until_ms: float
    barred_in_ms: int = 0


@dataclass(slots=True)
class PartErrors:
    """Unexpected errors of one part under this leader, and when the next one is logged."""

    count: int = 0
    next_line_ms: float = -math.inf


@dataclass(slots=True)
class Cell:
    """Jobs and workers as one leader knows them, and the effects that are pending.

    Attributes
    ----------
    jobs, active, finished
        Jobs whose final state is not stored yet; those of them that have not ended; and jobs whose
        final state is stored.
    term
        Number of the leader's term, from 0.
    approval_rates
        Per queue: share of the workers named in advice calls that were approved.
    advice_calls
        Per step with an outstanding advice call: the time at which the call counts as lost, and its
        expected duration.
    dirty
        Jobs whose progress has changed since it was stored, in order of the change.
    lease_expiry_after_ms
        Time from the last order or renewal after which the lease of a run has certainly expired.
    max_lease_expiry_after_ms
        The same after an order to a worker that may have restarted: it was given for the clock of
        the former incarnation, and the worker only limits it to the longest lease.
    stop_ends_after_ms
        Time after the answer to a stop order after which the stopped run has certainly ended.
    max_stop_ms
        Longest time from the answer to a stop order to its end, on the worker's clock.
    max_kill_ms
        Time that both lease bounds contain, in which a worker ends its runs after their lease.
    max_stall_ms
        How long runs of a worker whose process stands still count as active after their lease.
    former_orders_end_ms
        Time after which no former leader can send orders: minus infinity in the first term;
        ``None`` if one may do so until a worker has accepted the fencing token of this leader.
    started_ms
        Time at which this leader finished its takeover.
    takeover_wait_deadline_ms
        Time at which all runs that former leaders ordered have certainly ended; 0 once it has
        passed.
    wait_deadlines_ms
        The same per worker, for workers that have not answered this leader.
    ended_unsettled
        Steps of jobs that ended before all workers of the step had answered this leader. Kept until
        no run of a former leader is left.
    presumed_ends
        Per task and run number: runs whose end was inferred without a report of it.
    presumed_losses
        Per silent worker: runs that are taken for lost with it.
    counted_losses
        Per worker: the runs that were counted as lost with its last incarnation, for a while.
    late_orders
        Per worker: ended runs whose orders it may still carry out.
    former_lives
        Per worker: start time of the last incarnation before which the former leader knew and had
        stored all ends of runs.
    leaving_lives
        Per worker that has announced that it leaves: start time of the incarnation that did.
    kept_workers
        Per worker on which nothing else is placed: the task that runs there or is about to.
    speeds
        Learned speeds of workers.
    run_sums, team_rates
        What each team has running now, and the rate at which it submits jobs.
    parts
        Optional parts that the configuration and the settings call for.
    preemption
        Work lost to preemption under this leader.
    interference
        Which kinds of tasks slow each other down; ``None`` if that is not learned.
    overdue_gangs
        Per service: the gang that may plan its start although the usual conditions do not allow it.
    part_errors
        Unexpected errors by the name of the part that raised them.
    entry_age
        Until when the entries of workers prove their capacity; without limit by default.
    job_memory
        Memory that the jobs take; without limit by default.
    """

    term: int
    lease_expiry_after_ms: float
    stop_ends_after_ms: float
    max_lease_expiry_after_ms: float = 0.0
    max_stop_ms: float = 0.0
    max_kill_ms: float = 0.0
    max_stall_ms: float = 0.0
    former_orders_end_ms: float | None = -math.inf
    started_ms: float = 0.0
    takeover_wait_deadline_ms: float = 0.0
    wait_deadlines_ms: dict[str, float] = field(default_factory=dict)
    config: QueueConfig | None = None
    jobs: dict[str, Job] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    active: dict[str, Job] = field(default_factory=dict)
    finished: dict[str, FinishedJob] = field(default_factory=dict)
    estimates: Estimates = field(default_factory=Estimates)
    effects: list[Effect] = field(default_factory=list)
    decisions: list[Decision] = field(default_factory=list)
    dirty: dict[str, Job] = field(default_factory=dict)
    queues: dict[QueueKey, Queue] = field(default_factory=dict)
    approval_rates: dict[QueueKey, float] = field(default_factory=dict)
    advice_calls: dict[str, tuple[float, float]] = field(default_factory=dict)
    class_usage: ClassUsage = field(default_factory=ClassUsage)
    ended_unsettled: list[Step] = field(default_factory=list)
    presumed_ends: dict[tuple[str, int], PresumedEnd] = field(default_factory=dict)
    presumed_losses: dict[str, PresumedLosses] = field(default_factory=dict)
    counted_losses: dict[str, CountedLosses] = field(default_factory=dict)
    late_orders: dict[str, list[LateOrder]] = field(default_factory=dict)
    former_lives: dict[str, int] = field(default_factory=dict)
    leaving_lives: dict[str, int] = field(default_factory=dict)
    kept_workers: dict[str, KeptWorker] = field(default_factory=dict)
    speeds: Speeds = field(default_factory=Speeds)
    run_sums: RunSums = field(default_factory=RunSums)
    team_rates: TeamRates = field(default_factory=TeamRates)
    parts: PassParts = field(default_factory=PassParts)
    preemption: PreemptionUsage = field(default_factory=PreemptionUsage)
    interference: Interference | None = None
    overdue_gangs: dict[str, Step] = field(default_factory=dict)
    entry_age: EntryAge = field(default_factory=EntryAge)
    job_memory: JobMemory = field(default_factory=JobMemory)
    part_errors: dict[str, PartErrors] = field(default_factory=dict)

    def configure(self, config: QueueConfig) -> None:
        """Replace the queue configuration."""
        self.config = config
        # Of queues at one address the first one counts, as for the calls of clients.
        self.queues = {}
        for queue in config.queues:
            self.queues.setdefault(queue.key, queue)

    def policy_of(self, job: Job) -> Queue:
        """Return the policy configured for the address of a job, or else that at its acceptance."""
        return self.queues.get(job.queue_key, job.record.queue)

    def mark_dirty(self, job: Job) -> None:
        """Mark the progress of a job as changed since it was stored."""
        self.dirty[job.job_id] = job

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects."""
        effects, self.effects = self.effects, []
        return effects

    def take_decisions(self) -> list[Decision]:
        """Return and clear the pending lines of the decision log."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def log_decision(
        self,
        kind: str,
        cause: str,
        *,
        job: str = "",
        task: str = "",
        worker: str = "",
        **fields: object,
    ) -> None:
        """Add a line to the decision log."""
        self.decisions.append(Decision(kind, cause, job, task, worker, tuple(fields.items())))

    def settles_at_ms(self, worker: Worker) -> float:
        """Return from when a report shows all runs that former leaders left on a worker.

        A run that a former leader has just stopped may be in no list until its stop has ended.
        """
        orders_end_ms = self.former_orders_end_ms
        if orders_end_ms is None:
            orders_end_ms = math.inf if worker.first_answer_ms is None else worker.first_answer_ms
        return orders_end_ms + self.stop_ends_after_ms

    def find_step(self, job_id: str, occurrence: int, number: int) -> Step | None:
        """Return a step of an unfinished job, or ``None`` if there is no such step."""
        job = self.active.get(job_id)
        steps = job.occurrences.get(occurrence) if job else None
        return steps[number] if steps and number < len(steps) else None

    def next_run_number(self, last_run: int) -> int:
        """Return the number of the next run of a task whose last run is given."""
        return max(last_run + 1, self.term * RUNS_PER_TERM + 1)

    def release(self, run: Run) -> None:
        """Release the capacity of a run and detach it from its task."""
        worker = self.workers.get(run.worker_id)
        if worker and worker.runs.pop((run.task, run.number), None) is run:
            worker.release_capacity(run.charged)
            worker.stop_clocks_ms.pop((run.task, run.number), None)
        task = run.step.tasks[run.index]
        if task.run is run:
            task.run = None

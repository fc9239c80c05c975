"""State that all parts of the scheduler share."""

from dataclasses import dataclass, field

from nutmeglb_decisions.queues.effects import Decision, Effect
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.headroom import ClassUsage
from nutmeglb_decisions.queues.state import FinishedJob, Job, Run, Step, Worker
from nutmeglb_formats.models.queues import Queue, QueueConfig

# Run numbers of one term start here times the term, so that they rise over leaders without a
# journal entry for each start.
RUNS_PER_TERM = 10_000


@dataclass(slots=True)
class Cell:
    """Jobs and workers of one leader, and what it wants done.

    Attributes
    ----------
    jobs, active, finished
        Jobs until their end is stored; those that have not ended; those whose end is stored.
    term
        Number of this leadership, from 0.
    good_shares
        Per queue: share of the named workers that placement advice calls good.
    advice_calls
        Per step with an outstanding call for advice: when it counts as lost, and its duration.
    dirty
        Jobs whose durable progress has changed, in order.
    lapse_after_ms
        Time after which a run has certainly ended, counted from its last order or renewal.
    started_ms
        Time at which this leader began.
    settle_until_ms
        Time at which everything that a former leader ordered has ended; 0 when it has passed.
    waits_until_ms
        The same for single workers that have not answered.
    """

    term: int
    lease_expiry_after_ms: float
    started_ms: float = 0.0
    settle_until_ms: float = 0.0
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
    queues: dict[str, Queue] = field(default_factory=dict)
    approval_rates: dict[str, float] = field(default_factory=dict)
    advice_calls: dict[str, tuple[float, float]] = field(default_factory=dict)
    class_usage: ClassUsage = field(default_factory=ClassUsage)

    def configure(self, config: QueueConfig) -> None:
        """Use a configuration."""
        self.config = config
        self.queues = {queue.name: queue for queue in config.queues}

    def policy_of(self, job: Job) -> Queue:
        """Return the policy of a job: the configured one, else that of its acceptance."""
        return self.queues.get(job.record.queue.name, job.record.queue)

    def mark_dirty(self, job: Job) -> None:
        """Note that a job's progress has to be stored."""
        self.dirty[job.job_id] = job

    def take_effects(self) -> list[Effect]:
        """Return and forget the effects."""
        effects, self.effects = self.effects, []
        return effects

    def take_decisions(self) -> list[Decision]:
        """Return and forget the log lines."""
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

    def find_step(self, job_id: str, occurrence: int, number: int) -> Step | None:
        """Return a step of an unfinished job."""
        job = self.active.get(job_id)
        steps = job.occurrences.get(occurrence) if job else None
        return steps[number] if steps and number < len(steps) else None

    def next_run_number(self, last_run: int) -> int:
        """Return the number of the next run of a task."""
        return max(last_run + 1, self.term * RUNS_PER_TERM + 1)

    def release(self, run: Run) -> None:
        """Give back what a run charged."""
        worker = self.workers.get(run.worker_id)
        if worker and worker.runs.pop((run.task, run.number), None) is run:
            worker.release_capacity(run.charged)
        task = run.step.tasks[run.index]
        if task.run is run:
            task.run = None

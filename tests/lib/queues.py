"""A cell with simulated workers on a manual clock, for tests of the queue scheduler."""

import random
from dataclasses import dataclass, field, replace

from nutmeglb_decisions.queues import (
    advice,
    lease_expiry,
    lifecycle,
    placing,
    progress,
    reports,
)
from nutmeglb_decisions.queues.access import (
    ANY_CALLER,
    Admission,
    Caller,
    JobAddress,
    JobCall,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import Effect, RequestAdvice, StartTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome, apply_start_answer
from nutmeglb_decisions.queues.state import Job
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import (
    AdviceTiming,
    EndedTask,
    Queue,
    QueueConfig,
    QueueJob,
    QueueWorker,
    RunningTask,
    StepSpec,
    WorkerReport,
)
from nutmeglb_formats.models.resources import Resources

SERVICE = "pool"
GB = 1 << 30
LEASE_EXPIRY_AFTER_MS = 6_300.0
STOP_ENDS_AFTER_MS = 360.0
URGENT = Queue("urgent", "q.example", "/u/", SERVICE, 0, 3, 1.5, 250.0)
BATCH = Queue("batch", "q.example", "/b/", SERVICE, 1, 2, 2.2, 1_000.0)
ADVISED = replace(BATCH, name="advised", prefix="/a/", advice=AdviceTiming(600.0, 9.0, 1_500.0))
CONFIG = QueueConfig(1, 1, (URGENT, BATCH, ADVISED), frozenset({SERVICE}), 262_144)


def worker_info(worker_id: str = "w1", cpu: int = 16_000, **changes: object) -> QueueWorker:
    """Return the store entry of a worker."""
    info = QueueWorker(
        worker_id,
        SERVICE,
        "10.0.0.1:1",
        "a",
        "r1-1",
        frozenset({"k", "r1-1"}),
        Resources(cpu, 64 * GB, 0),
        False,
        1_000,
    )
    return replace(info, **changes)  # type: ignore[arg-type]


def step(count: int = 1, cpu: int = 1_000, **changes: object) -> StepSpec:
    """Return a step of small tasks with an estimated run time of one second."""
    spec = StepSpec(count, Resources(cpu, GB, 0), estimate_ms=1_000.0)
    return replace(spec, **changes)  # type: ignore[arg-type]


def job(job_id: str, *steps: StepSpec, queue: Queue = BATCH, **changes: object) -> QueueJob:
    """Return the record of an accepted job."""
    record = QueueJob(job_id, queue, "body", steps, 0, 0.0, 0.0, 0.0, "nonce")
    return replace(record, **changes)  # type: ignore[arg-type]


def call_about(record: QueueJob, caller: Caller = ANY_CALLER) -> JobCall:
    """Return a call about a job at the address that it was submitted to."""
    address = JobAddress(record.queue.key, record.job_id)
    return JobCall(address, Admission(record.queue, caller), CONFIG)


@dataclass
class CellWorld:
    """Cell whose workers answer orders only when the test tells them to.

    Attributes
    ----------
    started
        Start orders that have not been answered yet.
    stopped, asked
        Stop orders and advice requests of all passes so far.
    ends
        Per worker: number of the last reported end.
    """

    now_ms: float = 1_000.0
    cell: Cell = field(default_factory=lambda: Cell(0, LEASE_EXPIRY_AFTER_MS, STOP_ENDS_AFTER_MS))
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    started: list[StartTask] = field(default_factory=list)
    stopped: list[StopTask] = field(default_factory=list)
    asked: list[RequestAdvice] = field(default_factory=list)
    ends: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cell.configure(CONFIG)

    def show(self, *infos: QueueWorker) -> None:
        """List workers in the store, and let new ones answer their first renewal."""
        reports.apply_worker_list(self.cell, infos, self.now_ms)
        for worker in self.cell.workers.values():
            if not worker.settled and not worker.runs:
                self.report(worker.worker_id)

    def worker(self, worker_id: str) -> Worker:
        """Return the state of a worker."""
        return self.cell.workers[worker_id]

    def add(self, record: QueueJob) -> Job:
        """Add an accepted job to the cell and return its state."""
        lifecycle.add_job(self.cell, record, self.now_ms)
        return self.cell.jobs[record.job_id]

    def store(self) -> None:
        """Store all dirty progress."""
        for dirty in list(self.cell.dirty.values()):
            progress.committed(self.cell, dirty, progress.encode(dirty))
        self.cell.dirty.clear()

    def schedule(self) -> list[Effect]:
        """Run three scheduling passes, storing progress after each, and return their effects."""
        effects: list[Effect] = []
        for _ in range(3):
            placing.schedule(self.cell, 4, self.rng, self.now_ms, self.now_ms)
            violations = [
                line
                for line in self.cell.decisions
                if line.kind == "step_defect" and "InvariantViolation" in line.cause
            ]
            assert not violations, violations
            self.store()
            effects += self.cell.take_effects()
        self.started += [e for e in effects if isinstance(e, StartTask)]
        self.stopped += [e for e in effects if isinstance(e, StopTask)]
        self.asked += [e for e in effects if isinstance(e, RequestAdvice)]
        return effects

    def answer_starts(self, outcome: StartOutcome = StartOutcome.STARTED) -> list[StartTask]:
        """Answer all unanswered start orders and return them."""
        answered, self.started = self.started, []
        for order in answered:
            self.answer(order, outcome)
        return answered

    def answer(self, order: StartTask, outcome: StartOutcome, certain: bool = True) -> None:
        """Answer one start order."""
        arguments = (order.worker_id, order.task, order.run, outcome, certain)
        apply_start_answer(self.cell, *arguments, self.now_ms, self.now_ms)

    def advise(self, call: RequestAdvice, *good: str) -> None:
        """Answer an advice call with tickets for the given workers."""
        job_id, occurrence, number = call.step.split(".")
        asked = self.cell.find_step(job_id, int(occurrence), int(number))
        assert asked is not None
        tickets = [(worker_id, f"t-{worker_id}") for worker_id in good]
        advice.answered(self.cell, asked, call, tickets, self.now_ms + 1_500.0)
        self.store()

    def end(self, order: StartTask, outcome: str = "done", checkpoint: str = "") -> None:
        """Report the end of a run, together with the runs that are still live on its worker."""
        self.report(order.worker_id, ((order.task, order.run, outcome, checkpoint),))

    def report(
        self,
        worker_id: str,
        ended: tuple[tuple[str, int, str, str], ...] = (),
        running: tuple[RunningTask, ...] | None = None,
        started_ms: int | None = None,
    ) -> None:
        """Report ended and live runs of a worker; by default all other runs are live."""
        worker = self.worker(worker_id)
        ended_tasks = []
        for task, run, outcome, checkpoint in ended:
            self.ends[worker_id] = self.ends.get(worker_id, 0) + 1
            ended_tasks.append(EndedTask(self.ends[worker_id], task, run, outcome, checkpoint))
        gone = {(task, run) for task, run, _, _ in ended}
        if running is None:
            keys = [key for key in worker.runs if key not in gone]
            running = tuple(RunningTask(task, run, "", 100) for task, run in keys)
        started = worker.started_ms if started_ms is None else started_ms
        report = WorkerReport(self.now_ms, started, running, tuple(ended_tasks))
        reports.apply_report(self.cell, worker, report, self.now_ms, self.now_ms, self.now_ms)
        self.store()

    def tick(self, duration_ms: float) -> None:
        """Advance the clock and end the runs whose lease has expired."""
        self.now_ms += duration_ms
        lease_expiry.expire_silent_workers(self.cell, self.now_ms, self.now_ms)

"""Agent side of the agent protocol, without I/O. See ``docs/agent-protocol.md``."""

import math
from dataclasses import asdict, dataclass, field

from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.agent import (
    Amounts,
    EpochRefusal,
    FinishedTask,
    RunningTask,
    StartCommand,
    SyncRequest,
    SyncResponse,
    TaskOutcome,
    TaskPhase,
    UsageReport,
)
from nutmeglb_formats.models.resources import Resources

DEFAULT_RUN_MS = 1_000.0
CHECKPOINT_DURATION_MS = 20.0
USAGE_LAG_MS = 500.0
RESPONSE_STEP_MS = 0.001
MS_PER_S = 1_000.0


@dataclass(slots=True)
class Run:
    """Record of one admitted attempt. Times are milliseconds on the agent's clock.

    Attributes
    ----------
    start_ms
        ``None`` for an attempt that was held but never started.
    acknowledged
        Whether the scheduler has acknowledged the outcome.
    """

    attempt: str
    epoch: int
    size: Resources
    admitted_ms: float
    start_ms: float | None = None
    end_ms: float | None = None
    outcome: str = ""
    acknowledged: bool = False


@dataclass(slots=True)
class Task:
    """An admitted task. ``end_ms`` is when its simulated run ends."""

    attempt: str
    size: Resources
    lease_end_ms: float
    run_ms: float
    outcome: TaskOutcome
    used: Resources
    run: Run
    phase: TaskPhase = TaskPhase.HELD
    start_ms: float = 0.0
    end_ms: float = math.inf


@dataclass(slots=True)
class Faults:
    """Injected faults. ``refuse`` refuses every start; ``fail_starts`` fails every started task."""

    fail_starts: bool = False
    refuse: bool = False
    lose_responses: int = 0
    freeze_ms: float = 0.0


@dataclass(slots=True)
class AgentState:
    """State of one worker: its tasks and their leases.

    A task ends when its lease expires, even while the agent hangs. The end is recorded at the
    expiry time, because a real agent enforces the lease with an operating system timer.

    Attributes
    ----------
    last_change_ms
        Lies between the last response before the latest change and the first one after it, so that
        the response time that the scheduler echoes tells whether it knows the change.
    """

    worker: str
    capacity: Resources
    clock: Clock
    rack: str = ""
    boot: str = "1"
    epoch: int = 0
    sequence: int = 0
    last_change_ms: float = 0.0
    faults: Faults = field(default_factory=Faults)
    record: list[Run] = field(default_factory=list)
    tasks: dict[str, Task] = field(default_factory=dict)
    finished: dict[str, FinishedTask] = field(default_factory=dict)
    _last_response_ms: float = 0.0
    _ended_runs: dict[str, Run] = field(default_factory=dict)

    def restart(self, boot: str) -> None:
        """Restart the agent: all tasks end and all state but the record is lost."""
        now_ms = self.clock.now_ms()
        self.advance()
        for task in self.tasks.values():
            task.run.end_ms, task.run.outcome = now_ms, "agent_restarted"
        self.tasks.clear()
        self.finished.clear()
        self._ended_runs.clear()
        self.boot = boot
        self.epoch = self.sequence = 0
        self._last_response_ms = self.last_change_ms = 0.0

    def next_change_ms(self) -> float:
        """Return when the next task ends or loses its lease, or infinity without tasks."""
        return min((min(t.end_ms, t.lease_end_ms) for t in self.tasks.values()), default=math.inf)

    def advance(self) -> None:
        """End the tasks whose run time or lease has expired."""
        now_ms = self.clock.now_ms()
        for task in list(self.tasks.values()):
            if task.end_ms <= min(now_ms, task.lease_end_ms):
                self._end_task(task, task.outcome, task.end_ms)
            elif task.lease_end_ms <= now_ms:
                self._end_task(task, TaskOutcome.LEASE_EXPIRED, task.lease_end_ms)

    def sync(self, request: SyncRequest) -> SyncResponse | EpochRefusal:
        """Apply one request and return the complete state, or a refusal for an old epoch."""
        self.advance()
        if request.epoch < self.epoch:
            return EpochRefusal(epoch=self.epoch)
        if request.epoch > self.epoch:
            self.epoch, self.sequence = request.epoch, 0
        if request.echo_boot == self.boot:
            self._renew_leases(request.echo_ms + request.lease_ms)
            if request.sequence > self.sequence:
                self.sequence = request.sequence
                self._apply_commands(request)
        return self.response()

    def response(self) -> SyncResponse:
        """Return the complete state for the scheduler."""
        self.advance()
        self._last_response_ms = max(self.clock.now_ms(), self._last_response_ms + RESPONSE_STEP_MS)
        now_ms = self._last_response_ms
        return SyncResponse(
            epoch=self.epoch,
            boot=self.boot,
            agent_ms=now_ms,
            capacity=Amounts.from_resources(self.capacity),
            rack=self.rack,
            running=tuple(self._running_report(task, now_ms) for task in self.tasks.values()),
            finished=tuple(self.finished.values()),
            usage=tuple(self._usage_reports(now_ms)),
        )

    def free_resources(self) -> Resources:
        """Return the capacity that is not allocated to admitted tasks."""
        free_resources = self.capacity
        for task in self.tasks.values():
            free_resources = free_resources - task.size
        return free_resources

    def _renew_leases(self, lease_end_ms: float) -> None:
        for task in self.tasks.values():
            task.lease_end_ms = max(task.lease_end_ms, lease_end_ms)

    def _apply_commands(self, request: SyncRequest) -> None:
        for name in request.stop:
            self._stop_task(name)
        for name in request.ack:
            if self.finished.pop(name, None) is not None and name in self._ended_runs:
                self._ended_runs.pop(name).acknowledged = True
        for name in request.discard:
            self.finished.pop(name, None)
        lease_end_ms = request.echo_ms + request.lease_ms
        for start in request.start:
            if lease_end_ms > self.clock.now_ms():
                self._start_task(start, lease_end_ms)
        for name in request.checkpoint:
            task = self.tasks.get(name)
            if task is not None and task.outcome is not TaskOutcome.CHECKPOINTED:
                task.outcome = TaskOutcome.CHECKPOINTED
                task.end_ms = min(task.end_ms, self.clock.now_ms() + CHECKPOINT_DURATION_MS)
        for throttle in request.throttle:
            task = self.tasks.get(throttle.attempt)
            if task is not None:
                limit = min(throttle.cpu_millis, task.used.cpu_millis)
                task.used = Resources(limit, task.used.memory_bytes, task.used.accelerators)

    def _start_task(self, start: StartCommand, lease_end_ms: float) -> None:
        if start.attempt in self.finished:
            return
        task = self.tasks.get(start.attempt)
        if task is None:
            size = start.size.resources()
            if self.faults.refuse or not size.fits_in(self.free_resources()):
                reason = "refused by a fault" if self.faults.refuse else "no room"
                self._add_finished(start.attempt, TaskOutcome.REFUSED, False, 0.0, reason)
                return
            task = self._admit(start, size, lease_end_ms)
        if task.phase is TaskPhase.HELD and not start.hold:
            self._begin_run(task)

    def _admit(self, start: StartCommand, size: Resources, lease_end_ms: float) -> Task:
        options = dict(item.split("=", 1) for item in start.command.split() if "=" in item)
        endless = start.command.startswith("service")
        run_ms = math.inf if endless else float(options.get("run_ms", DEFAULT_RUN_MS))
        outcome = TaskOutcome(options.get("outcome", TaskOutcome.SUCCEEDED))
        used = Resources(
            int(options.get("cpu_millis", size.cpu_millis)),
            int(options.get("memory_bytes", size.memory_bytes)),
            size.accelerators,
        )
        if self.faults.fail_starts:
            run_ms, outcome = 0.0, TaskOutcome.FAILED
        run = Run(start.attempt, self.epoch, size, self.clock.now_ms())
        self.record.append(run)
        task = Task(start.attempt, size, lease_end_ms, run_ms, outcome, used, run)
        self.tasks[start.attempt] = task
        self.last_change_ms = self._last_response_ms + RESPONSE_STEP_MS / 2
        return task

    def _begin_run(self, task: Task) -> None:
        now_ms = self.clock.now_ms()
        task.phase = TaskPhase.RUNNING
        task.start_ms = now_ms
        task.end_ms = now_ms + task.run_ms
        task.run.start_ms = now_ms
        self.last_change_ms = self._last_response_ms + RESPONSE_STEP_MS / 2

    def _stop_task(self, name: str) -> None:
        task = self.tasks.get(name)
        if task is not None:
            self._end_task(task, TaskOutcome.STOPPED, self.clock.now_ms())
        elif name not in self.finished:
            # Keeping the entry until it is acknowledged stops a delayed start command from running
            # the attempt.
            self._add_finished(name, TaskOutcome.STOPPED, False, 0.0, "not started")

    def _end_task(self, task: Task, outcome: TaskOutcome, end_ms: float) -> None:
        del self.tasks[task.attempt]
        task.run.end_ms, task.run.outcome = end_ms, outcome.value
        self._ended_runs[task.attempt] = task.run
        started = task.run.start_ms is not None
        run_ms = end_ms - task.start_ms if started else 0.0
        self._add_finished(task.attempt, outcome, started, run_ms, "")

    def _add_finished(
        self, name: str, outcome: TaskOutcome, started: bool, run_ms: float, reason: str
    ) -> None:
        self.finished[name] = FinishedTask(
            attempt=name, outcome=outcome, started=started, run_ms=max(0.0, run_ms), reason=reason
        )
        self.last_change_ms = self._last_response_ms + RESPONSE_STEP_MS / 2

    def _running_report(self, task: Task, now_ms: float) -> RunningTask:
        run_ms = now_ms - task.start_ms if task.phase is TaskPhase.RUNNING else 0.0
        return RunningTask(
            attempt=task.attempt,
            phase=task.phase,
            size=Amounts.from_resources(task.size),
            run_ms=max(0.0, run_ms),
        )

    def _usage_reports(self, now_ms: float) -> list[UsageReport]:
        return [
            UsageReport(
                attempt=task.attempt,
                cpu_millis=task.used.cpu_millis,
                memory_bytes=task.used.memory_bytes,
                age_ms=USAGE_LAG_MS,
            )
            for task in self.tasks.values()
            if task.phase is TaskPhase.RUNNING and now_ms - task.start_ms >= USAGE_LAG_MS
        ]

    def run_records(self) -> list[dict[str, object]]:
        """Return every admitted attempt as JSON. Times are seconds on the agent's clock."""
        self.advance()
        return [_run_record(run) for run in self.record]


def _run_record(run: Run) -> dict[str, object]:
    job, index, _ = run.attempt.rsplit("/", 2)
    return {
        "attempt": run.attempt,
        "task": f"{job}/{index}",
        "job": job,
        "epoch": run.epoch,
        "size": asdict(run.size),
        "admitted_s": run.admitted_ms / MS_PER_S,
        "started_s": None if run.start_ms is None else run.start_ms / MS_PER_S,
        "ended_s": None if run.end_ms is None else run.end_ms / MS_PER_S,
        "outcome": run.outcome,
        "acknowledged": run.acknowledged,
    }

"""Runs the task scheduler of a failure domain while this instance leads it."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.agents.client import AgentClient
from nutmeglb._internal.agents.worker import SyncCallbacks, WorkerSync
from nutmeglb._internal.context import Context
from nutmeglb_decisions.tasks.events import (
    Answer,
    Append,
    CommitFailed,
    Committed,
    Configured,
    Decision,
    Effect,
    Event,
    ListedWorker,
    SendCommands,
    Synced,
    Tick,
    Unreachable,
    WorkersListed,
)
from nutmeglb_decisions.tasks.scheduler import Scheduler
from nutmeglb_formats.exceptions import InvariantViolation, LeadershipLost, NutmegError
from nutmeglb_formats.models.agent import SyncRequest, SyncResponse
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.instances import InstanceRole, InstanceState

# A tick checks every worker. With 100 workers, 20 ticks per second exceed the leader's budget of
# 2.9 % of a core. Ends of tasks, commits and commands are handled without waiting for a tick.
TICK_MS = 200.0
MS_PER_S = 1_000.0


class SchedulerDriver:
    """Passes events to the scheduler and applies its effects.

    Parameters
    ----------
    records
        Journal records from which the scheduler recovers, in order.
    on_violation
        Called after an invariant violation. The scheduler must then be recovered from the journal.
    """

    def __init__(
        self, ctx: Context, epoch: int, records: list[Any], on_violation: Callable[[], None]
    ) -> None:
        self.epoch = epoch
        self._ctx = ctx
        self._on_violation = on_violation
        self._client = AgentClient(ctx.settings.store.call_timeout_ms)
        self._workers: dict[str, WorkerSync] = {}
        self._answers: dict[int, asyncio.Future[Result[str, NutmegError]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._paused = False
        self._violations = ctx.metrics.counter(
            "nutmeglb_invariant_violations_total", "Violated guarantees."
        )
        self.core = Scheduler(
            domain=ctx.domain,
            epoch=epoch,
            config=ctx.config.current(),
            records=records,
            lease_ms=ctx.settings.tasks.task_lease_ms,
            margin_ms=ctx.settings.leadership.margin_ms,
            now_ms=ctx.clock.now_ms(),
            wall_ms=ctx.clock.wall_ms(),
            rng=ctx.rng,
        )
        self._callbacks = SyncCallbacks(
            may_send=self._may_command,
            request=self._request,
            received=self._received,
            failed=self._failed,
            has_unconfirmed_starts=self._has_starts,
        )

    def start(self) -> None:
        """Start commanding workers."""
        self.configure(self._ctx.config.current())
        self.list_workers()
        self._spawn(self._run())

    def pause(self) -> None:
        """Stop starting tasks. Running tasks continue."""
        self._paused = True

    def stop(self) -> None:
        """Stop all loops, and fail the commands that wait for an answer."""
        for task in self._tasks:
            task.cancel()
        for worker in self._workers.values():
            worker.stop()
        self._workers.clear()
        self._client.close()
        for future in self._answers.values():
            if not future.done():
                future.set_result(Err(_leadership_lost(self._ctx.domain)))
        self._answers.clear()

    def status(self) -> Mapping[str, object]:
        """Return the epoch and the numbers of jobs, workers and open journal records."""
        lifecycle = self.core.lifecycle
        return {
            "epoch": self.epoch,
            "jobs": len(lifecycle.jobs),
            "workers": len(lifecycle.links),
            "workers_reachable": sum(w.reachable for w in self._workers.values()),
            "open_journal_records": lifecycle.outbox.open_records,
        }

    async def command(self, number: int, event: Event) -> Result[str, NutmegError]:
        """Apply a command and wait for the scheduler's answer.

        Returns
        -------
        Result[str, NutmegError]
            Id of the job concerned, or an error.
        """
        future: asyncio.Future[Result[str, NutmegError]] = asyncio.Future()
        self._answers[number] = future
        self.handle(event)
        try:
            return await future
        finally:
            self._answers.pop(number, None)

    def configure(self, config: Config) -> None:
        """Apply a configuration."""
        self.handle(Configured(config, self._ctx.clock.wall_ms()))

    def list_workers(self) -> None:
        """Apply the platform's instance list."""
        instances = self._ctx.instances.instances(InstanceRole.WORKER, self._ctx.domain)
        listed = tuple(
            ListedWorker(item.instance_id, item.state is InstanceState.LEAVING)
            for item in instances
        )
        self.handle(WorkersListed(listed))
        for item in instances:
            self._ensure_worker_sync(item.instance_id, item.address)
        for worker in [w for w in self._workers if w not in self.core.lifecycle.links]:
            self._workers.pop(worker).stop()

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and apply the resulting effects."""
        self._apply(lambda now_ms: self.core.handle(event, now_ms))
        self._wake.set()

    def _ensure_worker_sync(self, worker: str, address: str) -> None:
        current = self._workers.get(worker)
        if current is not None and current.address == address:
            return
        if current is not None:
            current.stop()
        wait_ms = self._ctx.settings.tasks.sync_wait_ms
        sync = WorkerSync(worker, address, self._client, self._callbacks, self._ctx.rng, wait_ms)
        self._workers[worker] = sync
        sync.start()

    async def _run(self) -> None:
        while True:
            self.handle(Tick())
            self._wake.clear()
            while not self._paused and self.core.has_work(self._ctx.clock.now_ms()):
                if not self._ctx.leadership.is_leader():
                    break
                self._apply(self.core.step)
                await asyncio.sleep(0)
            try:
                async with asyncio.timeout(TICK_MS / MS_PER_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _apply(self, decide: Callable[[float], list[Effect]]) -> None:
        try:
            effects = decide(self._ctx.clock.now_ms())
        except InvariantViolation as violation:
            self._report_violation(violation)
            return
        for effect in effects:
            self._apply_effect(effect)

    def _report_violation(self, violation: InvariantViolation) -> None:
        self._violations.inc(invariant=str(violation.context.get("invariant", "unknown")))
        self._ctx.events.emit("invariant_violated", str(violation))
        asyncio.get_running_loop().call_soon(self._on_violation)

    def _apply_effect(self, effect: Effect) -> None:
        match effect:
            case Append(batch, records):
                self._spawn(self._append(batch, records))
            case SendCommands(worker):
                if worker in self._workers:
                    self._workers[worker].wake()
            case Answer(number, job_id, error):
                future = self._answers.get(number)
                if future is not None and not future.done():
                    future.set_result(Ok(job_id) if error is None else Err(error))
            case Decision():
                self._emit(effect)

    def _emit(self, decision: Decision) -> None:
        fields: dict[str, Any] = dict(decision.fields)
        self._ctx.events.emit(
            decision.kind,
            decision.cause,
            job=decision.job,
            task=decision.task,
            worker=decision.worker,
            **fields,
        )

    async def _append(self, batch: int, records: tuple[Any, ...]) -> None:
        result = await self._ctx.journal.append(records)
        if isinstance(result, Ok):
            self.handle(Committed(batch))
        else:
            self.handle(CommitFailed(batch, result.err_value))

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callbacks of ``WorkerSync``

    def _may_command(self) -> bool:
        leadership = self._ctx.leadership
        return leadership.is_leader() and leadership.epoch == self.epoch

    def _request(self, worker: str, wait_ms: float) -> SyncRequest | None:
        try:
            return self.core.sync_request(worker, wait_ms)
        except InvariantViolation as violation:
            self._report_violation(violation)
            return None

    def _received(self, worker: str, response: SyncResponse) -> None:
        self.handle(Synced(worker, response))

    def _failed(self, worker: str) -> None:
        self.handle(Unreachable(worker))

    def _has_starts(self, worker: str) -> bool:
        link = self.core.lifecycle.links.get(worker)
        return link is not None and link.has_starts()


def _leadership_lost(domain: str) -> LeadershipLost:
    return LeadershipLost(
        "This instance stopped leading the failure domain",
        context={"domain": domain},
        hint="Repeat the command with the same submission id",
    )

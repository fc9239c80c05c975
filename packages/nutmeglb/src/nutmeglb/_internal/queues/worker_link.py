"""Lease renewals and orders of the leader for one worker."""

import asyncio
import math

from result import Err

from nutmeglb._internal.queues.leader_callbacks import LeaderCallbacks
from nutmeglb._internal.queues.order_slots import OrderSlots
from nutmeglb._internal.queues.ports import MAX_CALLS_PER_WORKER, StartOrder, WorkerGateway
from nutmeglb._internal.queues.worker_clock import WorkerClock, longest_lease_ms
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import (
    ended_lives,
    orders,
    poll_wait,
    reports,
    silent_workers,
    unknown_life_leases,
    worker_losses,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import PaceTask, StartTask, StopTask
from nutmeglb_decisions.queues.ended_lives import OtherIncarnation
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.clock import Clock

logger = get_logger("workers")

# Attempts to order a start without an answer. The run is stopped after them, so that an order that
# arrives late has no effect.
MAX_START_ATTEMPTS = 2
# Consecutive unanswered calls that are attributed to a stall of this process. Further ones count
# against the worker, so that a lost worker is detected even if this process keeps stalling.
MAX_EXCUSED_CALLS = 3
RETRY_MS = 100.0
MAX_RETRY_MS = 1_000.0
# Maximum wait for ends of runs to be stored before the next renewal. The worker answers immediately
# while there are ends that it may not discard yet.
END_FLUSH_TIMEOUT_MS = 400.0
# Interval at which the clock of an idle worker is read. The first lease after a reading is shorter
# by the maximum clock drift over this time.
IDLE_CLOCK_READ_MS = 20_000.0
MS_PER_S = 1_000.0


class WorkerLink:
    """Renews the lease of a worker's runs and sends orders to the worker."""

    def __init__(
        self,
        cell: Cell,
        worker: Worker,
        gateway: WorkerGateway,
        clock: Clock,
        fence: int,
        lease_ms: int,
        callbacks: LeaderCallbacks,
    ) -> None:
        self.worker = worker
        self._cell = cell
        self._gateway = gateway
        self._clock = clock
        self._fence = fence
        self._lease_ms = lease_ms
        self._callbacks = callbacks
        self._wake = asyncio.Event()
        # The attributes below refer to the incarnation of the worker that started at this time.
        self._started_ms = worker.started_ms
        self._last_stored_end = 0
        self._worker_clock = WorkerClock()
        self._last_call_answered = False
        self._last_report_sent_ms = 0.0
        self._restarted = asyncio.Event()
        self._unanswered_calls = 0
        self._excused_calls = 0
        self._order_slots = OrderSlots(MAX_CALLS_PER_WORKER - 1)
        self._has_unanswered_stop = False
        self._unanswered_order_ms = -math.inf

    def poll_replaced(self) -> None:
        """Call a silent worker now, since another one is listed at its address."""
        if self.worker.unanswered_since_ms is not None and not self.worker.is_replaced:
            self._restarted.set()

    def wake(self) -> None:
        """Renew the lease soon, after the worker was assigned a run or has restarted."""
        self._wake.set()
        if self.worker.started_ms != self._started_ms:
            self._restarted.set()

    async def run(self) -> None:
        """Renew the lease while the worker has runs or its state is unknown, until cancelled."""
        while True:
            worker = self.worker
            is_idle = not worker.runs and not worker.stray_runs
            if is_idle and worker.settled and not self._unanswered_calls:
                self._wake.clear()
                await self._wait_for_wake()
                self._last_call_answered = False
            await self._renew()

    async def _wait_for_wake(self) -> None:
        """Wait for ``wake``, or until the worker's clock has to be read again."""
        try:
            async with asyncio.timeout(IDLE_CLOCK_READ_MS / MS_PER_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew(self) -> None:
        worker = self.worker
        self._reset_after_restart()
        if not self._callbacks.may_command():
            # A renewal would keep runs alive that a successor assumes to have ended.
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            return
        sent_ms = self._clock.now_ms()
        # An unanswered renewal may still have extended the lease. A worker that did not answer is
        # therefore only queried, without a renewal.
        is_renewal = worker.first_answer_ms is not None and not self._unanswered_calls
        is_idle = worker.settled and not worker.runs and not worker.stray_runs
        wait_ms = self._longest_wait_ms(sent_ms) if is_renewal and not is_idle else 0
        deadline_ms = self._extend_lease() if is_renewal else None
        if worker.last_applied_end > self._last_stored_end:
            wait_ms = 0
        # After an unanswered call or an idle time the worker may have restarted. Acknowledging ends
        # would then make it discard ends that it has not reported yet.
        last_seen = self._last_stored_end if self._last_call_answered else 0
        self._last_call_answered = False
        sent_to = self._receiver()
        answer = await self._gateway.hold(worker.info, self._fence, last_seen, deadline_ms, wait_ms)
        now_ms = self._clock.now_ms()
        if isinstance(answer, Err):
            if answer.err_value.context.get("fenced"):
                self._callbacks.fenced(worker.worker_id)
                await asyncio.sleep(MAX_RETRY_MS / MS_PER_S)
                return
            if answer.err_value.context.get("other_incarnation"):
                self._end_life(sent_to)
            elif answer.err_value.context.get("answered"):
                silent_workers.record_other_answer(self._cell, worker, now_ms)
            if answer.err_value.context.get("not_sent"):
                worker_losses.record_unreachable(worker, now_ms)
            if not self._is_excused(sent_ms):
                is_connected = bool(answer.err_value.context.get("connected"))
                silent_workers.record_unanswered(self._cell, worker, is_connected, now_ms)
                await self._on_unanswered(now_ms)
            return
        report = answer.ok_value
        clock_gap = self._worker_clock.gap(report.clock_ms, now_ms)
        silent_workers.record_answer(self._cell, worker, report, clock_gap, now_ms)
        reports.apply_report(self._cell, worker, report, sent_ms, now_ms, self._clock.wall_ms())
        self._reset_after_restart()
        self._worker_clock.record(report.clock_ms, now_ms)
        self._last_call_answered = True
        self._last_report_sent_ms = sent_ms
        self._unanswered_calls = 0
        self._excused_calls = 0
        self._callbacks.changed()
        await self._repeat_stops()
        await self._store_ends()

    async def _repeat_stops(self) -> None:
        """Repeat the stops that the worker has not answered.

        Once one was not answered, they are sent before the next renewal and not beside it. The
        renewal may otherwise occupy the only connection that is to be had, and extend the lease of
        the runs to be stopped again and again.
        """
        if not self._has_unanswered_stop:
            orders.resend_stops(self._cell, self.worker)
            return
        self._has_unanswered_stop = False
        for effect in orders.unanswered_stops(self.worker):
            await self.stop(effect)
            if self._has_unanswered_stop:
                return

    def _longest_wait_ms(self, now_ms: float) -> int:
        return poll_wait.longest_wait_ms(
            self._cell, self.worker, self._last_report_sent_ms, now_ms, self._has_unanswered_stop
        )

    def _receiver(self) -> OtherIncarnation:
        """Return what an answer of another incarnation to a call sent now would prove."""
        worker = self.worker
        return OtherIncarnation(worker.info.address, worker.started_ms, self._clock.now_ms())

    def _end_life(self, evidence: OtherIncarnation) -> None:
        """Apply the answer of another incarnation to a call."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        ended_lives.end_life(self._cell, self.worker, evidence, now_ms, wall_ms)
        self._callbacks.changed()

    def _is_excused(self, sent_ms: float) -> bool:
        """Return whether to ignore a missing answer, since this process was stalled."""
        if self._excused_calls >= MAX_EXCUSED_CALLS or not self._callbacks.explains_missing_answer(
            sent_ms
        ):
            return False
        self._excused_calls += 1
        return True

    async def _on_unanswered(self, now_ms: float) -> None:
        self._unanswered_calls += 1
        if self._unanswered_calls > 1:
            orders.unanswered(self._cell, self.worker, now_ms)
        delay_ms = min(MAX_RETRY_MS, RETRY_MS * 2**self._unanswered_calls)
        try:
            async with asyncio.timeout(delay_ms / MS_PER_S):
                await self._restarted.wait()
        except TimeoutError:
            return

    async def _store_ends(self) -> None:
        """Acknowledge reported ends of runs once their effects are stored."""
        worker = self.worker
        started_ms, last_applied_end = worker.started_ms, worker.last_applied_end
        if last_applied_end == self._last_stored_end:
            return
        try:
            async with asyncio.timeout(END_FLUSH_TIMEOUT_MS / MS_PER_S):
                await self._callbacks.flush_progress()
        except TimeoutError:
            return
        if worker.started_ms == started_ms:
            self._last_stored_end = max(self._last_stored_end, last_applied_end)

    def _reset_after_restart(self) -> None:
        self._restarted.clear()
        if self.worker.started_ms != self._started_ms:
            self._started_ms = self.worker.started_ms
            self._last_stored_end = 0
            self._worker_clock.reset()
            self._last_call_answered = False
            self._unanswered_calls = 0

    def _extend_lease(self) -> int | None:
        """Record the expiry of a new lease, and return its end on the worker's clock.

        The end allows for a slow worker clock since its last reading. A successor does not know the
        time of that reading, so it waits for a full lease on the slowest clock.

        Returns
        -------
        int or None
            Milliseconds, or ``None`` if the clock of this incarnation has not been read.
        """
        self._reset_after_restart()
        now_ms = self._clock.now_ms()
        worker_clock_ms = self._worker_clock.earliest_ms(now_ms)
        if worker_clock_ms is None:
            return None
        orders.extend_lease(self.worker, now_ms + self._cell.lease_expiry_after_ms)
        unknown_life_leases.record_deadline(self._cell, self.worker, now_ms)
        return int(worker_clock_ms + self._lease_ms)

    async def start(self, effect: StartTask) -> None:
        """Order a start, and retry if it is not answered."""
        wanted_ms = self._clock.now_ms()
        async with self._order_slots.reserve(is_urgent=False):
            await self._start(effect, wanted_ms)

    async def _start(self, effect: StartTask, wanted_ms: float) -> None:
        outcome = StartOutcome.UNKNOWN
        is_conclusive = True
        copies = 0
        replaced: OtherIncarnation | None = None
        run = (self._cell, self.worker.worker_id, effect.task, effect.run)
        while copies < MAX_START_ATTEMPTS:
            if not orders.is_start_wanted(*run):
                if is_conclusive:
                    # A stop came first, and no copy was sent.
                    outcome = StartOutcome.NOT_DELIVERED
                    break
                # A report or a stop decides about the run.
                self.wake()
                return
            sent_ms = self._clock.now_ms()
            if not self._callbacks.may_command():
                outcome = StartOutcome.WITHHELD
                break
            if effect.ticket and sent_ms >= effect.ticket_expires_at_ms:
                outcome = StartOutcome.TICKET
                break
            if is_conclusive and self._unanswered_order_ms > wanted_ms:
                # The worker did not answer an order while this one waited for a slot.
                outcome = StartOutcome.NOT_DELIVERED
                break
            withheld = orders.withheld_cause(self.worker, sent_ms)
            if withheld is not None:
                outcome = withheld
                break
            deadline_ms = self._extend_lease()
            if deadline_ms is None or not orders.is_placed_on_current_incarnation(*run):
                outcome = StartOutcome.OTHER_INCARNATION
                break
            order = StartOrder(
                effect.task,
                effect.run,
                effect.body,
                effect.checkpoint,
                effect.ticket,
                deadline_ms,
                self._fence,
            )
            orders.record_start_sent(*run, 1)
            sent_to = self._receiver()
            answer = await self._gateway.start(self.worker.info, order)
            # The call may have waited in the client until now.
            unknown_life_leases.record_deadline(self._cell, self.worker, self._clock.now_ms())
            if answer.outcome != StartOutcome.UNKNOWN:
                orders.record_start_sent(*run, -1)
            if answer.outcome == StartOutcome.STARTED and answer.clock_ms is not None:
                # A later life may have answered, by whose clock the lease is longer.
                lease_ms = longest_lease_ms(deadline_ms, answer.clock_ms)
                lease_end_ms = self._clock.now_ms() + lease_ms
                unknown_life_leases.record_start_answer(*run, sent_ms, lease_end_ms)
            if answer.fenced:
                self._callbacks.fenced(self.worker.worker_id)
                return
            outcome = answer.outcome
            if outcome == StartOutcome.OTHER_INCARNATION:
                replaced = sent_to
            if outcome != StartOutcome.UNKNOWN:
                break
            is_conclusive = False
            if not self._is_excused(sent_ms):
                copies += 1
                self._unanswered_order_ms = self._clock.now_ms()
        orders.apply_start_answer(
            *run,
            outcome,
            is_conclusive,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        if replaced is not None:
            self._end_life(replaced)
        self.wake()
        self._callbacks.changed()

    async def stop(self, effect: StopTask) -> None:
        """Order a stop. An unconfirmed stop is repeated after the next renewal."""
        async with self._order_slots.reserve(is_urgent=True):
            await self._stop(effect)

    async def _stop(self, effect: StopTask) -> None:
        if not self._callbacks.may_command():
            self.wake()
            return
        started_ms, sent_to = self.worker.started_ms, self._receiver()
        answer = await self._gateway.stop(self.worker.info, effect.task, effect.run, self._fence)
        if answer.fenced:
            self._callbacks.fenced(self.worker.worker_id)
        elif answer.outcome == StartOutcome.STARTED and self.worker.started_ms == started_ms:
            # After any other answer the run may continue, or may still start.
            orders.apply_stop_answer(
                self._cell,
                self.worker.worker_id,
                effect.task,
                effect.run,
                self._clock.now_ms(),
                answer.clock_ms,
            )
        elif answer.outcome not in (StartOutcome.UNKNOWN, StartOutcome.STARTED):
            self._cell.log_decision(
                "stop_refused",
                answer.outcome,
                task=effect.task,
                worker=self.worker.worker_id,
                run=effect.run,
            )
        if answer.outcome == StartOutcome.OTHER_INCARNATION:
            self._end_life(sent_to)
        if answer.outcome in (StartOutcome.UNKNOWN, StartOutcome.NOT_DELIVERED):
            self._has_unanswered_stop = True
        self.wake()

    async def pace(self, effect: PaceTask) -> None:
        """Set the pace of a run. The next report shows whether it took effect."""
        async with self._order_slots.reserve(is_urgent=True):
            await self._pace(effect)

    async def _pace(self, effect: PaceTask) -> None:
        if not self._callbacks.may_command():
            return
        answer = await self._gateway.pace(
            self.worker.info, effect.task, effect.run, effect.percent, self._fence
        )
        if answer.fenced:
            self._callbacks.fenced(self.worker.worker_id)

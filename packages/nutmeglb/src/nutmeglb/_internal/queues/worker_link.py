"""One worker's lease and orders, for the leader."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err

from nutmeglb._internal.queues.authority import CLOCK_ERROR
from nutmeglb._internal.queues.ports import StartOrder, WorkerGateway
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import orders, reports
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import PaceTask, StartTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.state import Worker
from nutmeglb_formats.clock import Clock

logger = get_logger("workers")

# Longest wait for an end that a worker accepts in one call (from the platform's protocol).
LONG_POLL_MS = 2_000
# Added to every lapse for the path of the last renewal.
LAPSE_MARGIN_MS = 150.0
# Copies of an order before a stop makes sure that it is not carried out.
START_COPIES = 2
# Calls in a row whose missing answer is put down to a pause of this process. A worker that is
# really gone is found silent after these.
MAX_EXCUSED = 3
# Answers to a stop after which the run may go on, or may still start.
NOT_TAKEN = (StartOutcome.UNKNOWN, StartOutcome.UNHEALTHY, StartOutcome.OTHER_INCARNATION)
RETRY_MS = 100.0
RETRY_MAX_MS = 1_000.0
# Between renewals while ends wait to be stored: the worker answers at once then.
UNSTORED_MS = 400.0
# An idle worker's clock is read this often. The first lease after it is shorter by the error of a
# clock over this time.
IDLE_READ_MS = 20_000.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class LinkHooks:
    """What a worker link needs of the leader.

    Attributes
    ----------
    changed
        Called after a change of the cell.
    flushed
        Waits until everything dirty is stored.
    fenced
        Called when a worker obeys a higher token.
    broken
        Called with the cause when a guarantee does not hold.
    may_act
        Returns whether this leader may command workers now.
    explains_silence
        Returns whether the answer to a call that was sent at a time may be missing only because
        this process did not run.
    """

    changed: Callable[[], None]
    flushed: Callable[[], Awaitable[None]]
    fenced: Callable[[str], None]
    broken: Callable[[str], None]
    may_act: Callable[[], bool]
    explains_silence: Callable[[float], bool]


class WorkerLink:
    """Renews the lease of a worker's runs and carries out orders."""

    def __init__(
        self,
        cell: Cell,
        worker: Worker,
        gateway: WorkerGateway,
        clock: Clock,
        fence: int,
        lease_ms: int,
        hooks: LinkHooks,
    ) -> None:
        self.worker = worker
        self._cell = cell
        self._gateway = gateway
        self._clock = clock
        self._fence = fence
        self._lease_ms = lease_ms
        self._hooks = hooks
        self._wake = asyncio.Event()
        # What follows was learnt from the incarnation that began at this time.
        self._started_ms = worker.started_ms
        self._stored_end = 0
        self._clock_ms = 0.0
        self._clock_read_ms: float | None = None
        self._in_touch = False
        self._restarted = asyncio.Event()
        self._silences = 0
        self._excused = 0

    def wake(self) -> None:
        """Renew the lease soon: the worker has got a run, or is another incarnation."""
        self._wake.set()
        if self.worker.started_ms != self._started_ms:
            self._restarted.set()

    async def run(self) -> None:
        """Renew while runs or unsettled questions exist, until cancelled."""
        while True:
            worker = self.worker
            idle = not worker.runs and not worker.stray_runs
            if idle and worker.settled and not self._silences:
                self._wake.clear()
                await self._woken()
                self._in_touch = False
            await self._hold()

    async def _woken(self) -> None:
        """Wait for a wake-up, or until the worker's clock has to be read again."""
        try:
            async with asyncio.timeout(IDLE_READ_MS / MS_PER_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _hold(self) -> None:
        worker = self.worker
        self._forget_former_incarnation()
        if not self._hooks.may_act():
            # A renewal would keep runs alive that a successor takes for ended.
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            return
        sent_ms = self._clock.now_ms()
        # An unanswered renewal may still extend the lease, so a silent worker is only asked.
        renews = worker.settled and not self._silences
        wait_ms = LONG_POLL_MS if renews and worker.runs and not worker.stray_runs else 0
        deadline_ms = self._deadline_ms() if renews else None
        unstored = worker.last_applied_end > self._stored_end
        if unstored:
            wait_ms = 0
        # A worker that has come back meanwhile would forget ends of its own that it has not told.
        last_seen = self._stored_end if self._in_touch else 0
        self._in_touch = False
        answer = await self._gateway.hold(worker.info, self._fence, last_seen, deadline_ms, wait_ms)
        now_ms = self._clock.now_ms()
        if isinstance(answer, Err):
            if answer.err_value.context.get("fenced"):
                self._hooks.fenced(worker.worker_id)
                await asyncio.sleep(RETRY_MAX_MS / MS_PER_S)
                return
            if not self._is_excused(sent_ms):
                await self._silence(now_ms)
            return
        report = answer.ok_value
        reports.apply_report(self._cell, worker, report, sent_ms, now_ms, self._clock.wall_ms())
        self._forget_former_incarnation()
        self._note_clock(report.clock_ms, now_ms)
        self._in_touch = True
        self._silences = 0
        self._excused = 0
        orders.resend_stops(self._cell, worker)
        self._hooks.changed()
        await self._store_ends()

    def _is_excused(self, sent_ms: float) -> bool:
        """Return whether a missing answer shows nothing, since this process did not run."""
        if self._excused >= MAX_EXCUSED or not self._hooks.explains_silence(sent_ms):
            return False
        self._excused += 1
        return True

    async def _silence(self, now_ms: float) -> None:
        self._silences += 1
        if self._silences > 1:
            orders.unanswered(self._cell, self.worker, now_ms)
        delay_ms = min(RETRY_MAX_MS, RETRY_MS * 2**self._silences)
        try:
            async with asyncio.timeout(delay_ms / MS_PER_S):
                await self._restarted.wait()
        except TimeoutError:
            return

    async def _store_ends(self) -> None:
        """Let the worker forget its ends only after what follows from them is stored."""
        worker = self.worker
        started_ms, seen = worker.started_ms, worker.last_applied_end
        if seen == self._stored_end:
            return
        try:
            async with asyncio.timeout(UNSTORED_MS / MS_PER_S):
                await self._hooks.flushed()
        except TimeoutError:
            return
        if worker.started_ms == started_ms:
            self._stored_end = max(self._stored_end, seen)

    def _forget_former_incarnation(self) -> None:
        self._restarted.clear()
        if self.worker.started_ms != self._started_ms:
            self._started_ms = self.worker.started_ms
            self._stored_end = 0
            self._clock_read_ms = None
            self._in_touch = False
            self._silences = 0

    def _note_clock(self, clock_ms: float, now_ms: float) -> None:
        self._clock_ms = clock_ms
        self._clock_read_ms = now_ms

    def _deadline_ms(self) -> int | None:
        """Return the end of a new lease on the worker's clock, and note when it lapses here.

        The clock of the worker may have been slow since it was read. A successor, which does not
        know when that was, waits for the time that a lease takes on the slowest clock.
        """
        self._forget_former_incarnation()
        if self._clock_read_ms is None:
            return None
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._clock_read_ms
        longest_ms = self._lease_ms / (1 - CLOCK_ERROR)
        orders.extend_lease(self.worker, now_ms + longest_ms + LAPSE_MARGIN_MS)
        return int(self._clock_ms + age_ms * (1 - CLOCK_ERROR) + self._lease_ms)

    async def start(self, effect: StartTask) -> None:
        """Order a start, again when it is not answered."""
        outcome = StartOutcome.UNKNOWN
        certain = True
        copies = 0
        while copies < START_COPIES:
            sent_ms = self._clock.now_ms()
            if not self._hooks.may_act():
                outcome = StartOutcome.WITHHELD
                break
            if effect.ticket and sent_ms >= effect.ticket_until_ms:
                outcome = StartOutcome.TICKET
                break
            deadline_ms = self._deadline_ms()
            if deadline_ms is None:
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
            answer = await self._gateway.start(self.worker.info, order)
            if answer.fenced:
                self._hooks.fenced(self.worker.worker_id)
                return
            outcome = answer.outcome
            if outcome != StartOutcome.UNKNOWN:
                break
            certain = False
            if not self._is_excused(sent_ms):
                copies += 1
        orders.apply_start_answer(
            self._cell,
            self.worker.worker_id,
            effect.task,
            effect.run,
            outcome,
            certain,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        self.wake()
        self._hooks.changed()

    async def stop(self, effect: StopTask) -> None:
        """Order a stop. One that is not taken is ordered again after the next renewal."""
        if not self._hooks.may_act():
            return
        answer = await self._gateway.stop(self.worker.info, effect.task, effect.run, self._fence)
        if answer.fenced:
            self._hooks.fenced(self.worker.worker_id)
        elif answer.outcome not in NOT_TAKEN:
            orders.apply_stop_answer(
                self._cell,
                self.worker.worker_id,
                effect.task,
                effect.run,
                self._clock.now_ms(),
            )
        self.wake()

    async def pace(self, effect: PaceTask) -> None:
        """Order a pace. The next report shows whether it applies."""
        if not self._hooks.may_act():
            return
        answer = await self._gateway.pace(
            self.worker.info, effect.task, effect.run, effect.percent, self._fence
        )
        if answer.fenced:
            self._hooks.fenced(self.worker.worker_id)

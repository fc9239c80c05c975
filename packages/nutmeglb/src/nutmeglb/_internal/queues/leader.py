"""Work of the leader: one term of scheduling from taking over until the leadership ends."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from result import Err, Ok

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues import keys, stored_jobs
from nutmeglb._internal.queues.advisers import Advisers
from nutmeglb._internal.queues.authority import CLOCK_ERROR, Term
from nutmeglb._internal.queues.commits import Committer
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.election import TAKE_OVER_FAILED
from nutmeglb._internal.queues.inbox_reader import InboxReader
from nutmeglb._internal.queues.links import Links
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.queues.pass_pacing import PassPacer
from nutmeglb._internal.queues.pool_reports import pools_report
from nutmeglb._internal.queues.ports import Platform
from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb._internal.queues.stored_jobs import Inbox
from nutmeglb._internal.queues.worker_link import LAPSE_MARGIN_MS, LinkHooks
from nutmeglb._internal.queues.worker_links import WorkerLinks
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import (
    admission,
    advice,
    lifecycle,
    placing,
    progress,
    reports,
    settling,
    stuck_runs,
    waiting,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import AskAdvice, Effect
from nutmeglb_decisions.queues.idle_jobs import IdleJobMonitor
from nutmeglb_decisions.queues.names import parse_task
from nutmeglb_decisions.queues.pools import Pool, Pools
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import Waits
from nutmeglb_formats.models.queues import QueueConfig, QueueJob
from nutmeglb_formats.wire.queues import LoadReport, PoolsReport

logger = get_logger("leader")

MS_PER_S = 1_000.0
TICK_MS = 100.0
LOAD_REPORT_MS = 250.0
# An unchanged report is sent again after this time, well before followers forget it.
LOAD_REPEAT_MS = 1_000.0
RETRY_MS = 100.0
# A leader that cannot read what it has to schedule gives way. Reading takes a second on the slowest
# link of the users' sheets; a store outage ends the authority of a leader in the same time.
TAKE_OVER_LIMIT_MS = 5_000.0
# The time of day may jump by seconds, so finished jobs are kept this much longer.
WALL_CLOCK_ERROR_MS = 30_000.0
# Finished jobs whose keys are removed at once, and how often.
FORGET_BATCH = 100
FORGET_EVERY_MS = 2_000.0


class Leader:
    """Schedules all queues during one term.

    Parameters
    ----------
    on_lost
        Called with the cause when another leader shows itself.
    """

    def __init__(
        self,
        live: LiveSettings,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        links: Links,
        advisers: Advisers,
        log: DecisionLog,
        lag: LoopLag,
        term: Term,
        incarnation: str,
        on_lost: Callable[[str], None],
    ) -> None:
        self._live = live
        self._clock = clock
        self._rng = rng
        self._platform = platform
        self._links = links
        self._advisers = advisers
        self._log = log
        self._lag = lag
        self._term = term
        self._on_lost = on_lost
        settings = live.current.queues
        run_lease_ms = settings.lease_of_runs_ms
        self.cell = Cell(term.number, run_lease_ms / (1 - CLOCK_ERROR) + LAPSE_MARGIN_MS)
        self._committer = Committer(
            self.cell,
            platform.store,
            clock,
            term,
            incarnation,
            settings.commit_ms,
            on_lost,
            self._changed,
        )
        hooks = LinkHooks(
            self._changed,
            self._committer.flushed,
            self._fenced,
            on_lost,
            lambda: term.authority.may_act,
            lag.explains_silence,
        )
        self._workers = WorkerLinks(
            self.cell, platform.workers, clock, log, term.fence, run_lease_ms, hooks
        )
        self._background = BackgroundTasks()
        self._wake = asyncio.Event()
        self._idle_jobs = IdleJobMonitor()
        self._settling = settling.Settling(0.0, 0.0, 0.0)
        self._revision = 0
        self.loaded = False
        self._offered: list[tuple[QueueJob, int]] = []
        self.refusing: dict[str, float] = {}
        self.pools: list[Pool] = []

    @property
    def _settings(self) -> QueueSection:
        return self._live.current.queues

    async def start(self, config: QueueConfig) -> None:
        """Take over: read everything from the store, then hold every worker."""
        self.cell.configure(config)
        self._background.spawn(self._lag.run())
        self._background.spawn(self._guarded(self._take_over()))

    async def stop(self) -> None:
        """End all work. Orders on their way are fenced off by the next leader."""
        await self._background.cancel()
        await self._workers.stop()

    async def flushed(self, timeout_ms: float) -> None:
        """Store what is dirty, before a planned hand-over."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._committer.flushed()
        except TimeoutError:
            logger.warning("not all progress was stored before the hand-over")

    def configure(self, config: QueueConfig) -> None:
        """Use a new configuration."""
        self.cell.configure(config)
        self._changed()

    def offer(self, job: QueueJob, revision: int) -> None:
        """Take up a job whose acceptance is stored, once it is known what is stored of it.

        An offer may come late. A job that was accepted up to the revision which this leader has
        read is known here, or had ended by then under this leader or a former one.

        Parameters
        ----------
        revision
            Store revision of the acceptance.
        """
        if not self.loaded:
            self._offered.append((job, revision))
        elif revision > self._revision:
            self._add(job)
        elif job.job_id not in self.cell.jobs:
            logger.info("a late offer of a job that has ended", job=job.job_id, revision=revision)

    def _add(self, job: QueueJob) -> None:
        if lifecycle.add_job(self.cell, job, self._clock.now_ms()):
            self.cell.log_decision("job_taken_up", "accepted", job=job.job_id, queue=job.queue.name)
            self._changed()

    def cancel(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored."""
        if lifecycle.cancel_job(self.cell, job_id, self._clock.wall_ms()):
            self._changed()

    def waits(self) -> list[tuple[str, float]]:
        """Return what has been waited for workers that have not answered, for the successor."""
        elapsed_ms = (self._clock.now_ms() - self._settling.takeover_ms) * (1 - CLOCK_ERROR)
        return list(settling.waits(self.cell, self._settling, elapsed_ms).items())

    def _settle_from(self, begun_ms: float, waits: Waits | None) -> None:
        """Note how long workers of former leaders are waited for."""
        authority_ms = self._settings.authority_ms / (1 - CLOCK_ERROR)
        longest_ms = authority_ms + self.cell.lease_expiry_after_ms
        until_ms = begun_ms + (
            self.cell.lease_expiry_after_ms if self._term.no_former_orders else longest_ms
        )
        # Another leader in between may have used the workers.
        known = waits is not None and waits.term == self._term.number - 1
        waited = dict(waits.waited) if waits is not None and known else {}
        self._settling = settling.Settling(begun_ms, longest_ms, until_ms, waited)

    async def _take_over(self) -> None:
        begun_ms = self._clock.now_ms()
        while not await self._load(begun_ms):
            if self._clock.now_ms() - begun_ms > TAKE_OVER_LIMIT_MS:
                self._on_lost(TAKE_OVER_FAILED)
                return
            await asyncio.sleep(RETRY_MS / MS_PER_S)
        self.cell.started_ms = self._clock.now_ms()
        settling.begin(self.cell, self._settling)
        self.loaded = True
        logger.info(
            "took over",
            term=self._term.number,
            jobs=len(self.cell.active),
            workers=len(self.cell.workers),
            took_ms=round(self.cell.started_ms - begun_ms),
        )
        for job, revision in self._offered:
            self.offer(job, revision)
        self._offered.clear()
        for loop in (
            self._committer.run(),
            self._workers_loop(),
            InboxReader(
                self._platform.store,
                self.cell.jobs,
                lambda: self._settings.inbox_ms,
                self._take_in,
            ).run(self._revision),
            self._pass_loop(),
            self._tick_loop(),
            self._load_loop(),
            self._finished_loop(),
        ):
            self._background.spawn(self._guarded(loop))
        self._changed()

    async def _guarded(self, loop: Any) -> None:
        try:
            await loop
        except Exception as error:
            self._log.defect("leader", error)
            self._on_lost(f"a loop of the leader failed: {error!r}")

    async def _load(self, begun_ms: float) -> bool:
        """Read accepted jobs and progress. Return whether everything was read."""
        if not await self._committer.begin():
            return False
        stored = await stored_jobs.read_state(self._platform)
        if isinstance(stored, Err):
            logger.warning("what has to be scheduled is not read", cause=str(stored.err_value))
            return False
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        state = stored.ok_value
        self._settle_from(begun_ms, state.waits)
        for job in state.inbox.jobs:
            found = state.progress.get(job.job_id)
            progress.restore(self.cell, job, found, now_ms, wall_ms)
        for job_id in state.inbox.cancelled:
            lifecycle.cancel_job(self.cell, job_id, wall_ms)
        self._revision = state.inbox.revision
        reports.apply_worker_list(self.cell, state.workers, now_ms)
        self._workers.refresh()
        return True

    async def _finished_loop(self) -> None:
        """Read the states of finished jobs, then remove those that are old enough."""
        while isinstance(
            finished := await stored_jobs.read_progress(self._platform.store, keys.FINAL), Err
        ):
            await asyncio.sleep(RETRY_MS / MS_PER_S)
        for job_id, found in finished.ok_value.items():
            progress.restore_final(self.cell, job_id, found)
        while True:
            keep_ms = self._settings.status_s * MS_PER_S + WALL_CLOCK_ERROR_MS
            before_ms = self._clock.wall_ms() - keep_ms
            old = progress.forget_finished(self.cell, before_ms, FORGET_BATCH)
            self._committer.remove([keys.final(job_id) for job_id in old])
            await asyncio.sleep(FORGET_EVERY_MS / MS_PER_S)

    async def _workers_loop(self) -> None:
        while True:
            await asyncio.sleep(self._settings.list_ms / MS_PER_S)
            workers = await stored_jobs.read_workers(self._platform)
            if isinstance(workers, Ok):
                reports.apply_worker_list(self.cell, workers.ok_value, self._clock.now_ms())
                self._workers.refresh()
                self._changed()

    def _take_in(self, inbox: Inbox) -> None:
        for job in inbox.jobs:
            self._add(job)
        for job_id in inbox.cancelled:
            self.cancel(job_id)
        self._revision = inbox.revision

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self.tick()

    def tick(self) -> None:
        """Apply what follows from the passage of time alone."""
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        if self._term.authority.excludes_others:
            reports.expire_silent_workers(self.cell, now_ms, wall_ms)
        stuck_runs.stop_stuck_runs(self.cell, now_ms)
        waiting.log_long_waits(self.cell, now_ms)
        self._idle_jobs.poll(self.cell, now_ms)
        lifecycle.create_due_occurrences(self.cell, wall_ms)
        self._changed()

    async def _load_loop(self) -> None:
        pools = Pools.begin(self._clock.now_ms())
        sent: tuple[LoadReport, PoolsReport] | None = None
        sent_ms = 0.0
        while True:
            now_ms = self._clock.now_ms()
            pools.refresh(self.cell, now_ms)
            self.pools = pools.known_pools(now_ms)
            self.refusing = admission.refusing_queues(self.cell, now_ms)
            reports_now = LoadReport(sorted(self.refusing.items())), pools_report(self.pools)
            if reports_now != sent or now_ms - sent_ms >= LOAD_REPEAT_MS:
                for report in reports_now:
                    self._links.broadcast(report)
                sent, sent_ms = reports_now, now_ms
            await asyncio.sleep(LOAD_REPORT_MS / MS_PER_S)

    async def _pass_loop(self) -> None:
        pacer = PassPacer()
        while True:
            await self._wake.wait()
            self._wake.clear()
            begun_ms = self._clock.now_ms()
            placing.schedule(
                self.cell,
                self._advisers.callers,
                self._rng,
                begun_ms,
                self._clock.wall_ms(),
                max_worker_checks=pacer.looks,
            )
            for effect in self.cell.take_effects():
                self._carry_out(effect)
            self._log.write(self.cell.take_decisions())
            self._committer.poke()
            pacer.note(self._clock.now_ms() - begun_ms)
            await asyncio.sleep(pacer.rest_ms / MS_PER_S)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, AskAdvice):
            self._background.spawn(self._ask(effect))
        else:
            self._workers.carry_out(effect)

    async def _ask(self, effect: AskAdvice) -> None:
        answer = await self._advisers.ask(effect.step, effect.workers, effect.cost_ms)
        now_ms = self._clock.now_ms()
        name = parse_task(f"{effect.step}.0")
        step = self.cell.find_step(name.job_id, name.occurrence, name.step) if name else None
        if step is None:
            self.cell.advice_calls.pop(effect.step, None)
            return
        if isinstance(answer, Err):
            logger.warning("no advice", step=effect.step, cause=str(answer.err_value))
            advice.failed(self.cell, step, now_ms)
        elif answer.ok_value.refused:
            advice.failed(self.cell, step, now_ms)
        else:
            given = answer.ok_value
            advice.answered(self.cell, step, effect.workers, given.tickets, given.valid_until_ms)
        self._changed()

    def _changed(self) -> None:
        self._wake.set()

    def _fenced(self, worker_id: str) -> None:
        self._on_lost(f"worker {worker_id} obeys a higher fence token")

"""Scheduling of all queues by the leader, from the takeover until its term ends."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from result import Err

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Metrics
from nutmeglb._internal.queues import periodic_checks, stored_jobs
from nutmeglb._internal.queues.advice_dispatcher import AdviceDispatcher
from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT, Term
from nutmeglb._internal.queues.commits import Committer
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.election import TAKEOVER_FAILED
from nutmeglb._internal.queues.finished_jobs import keep_finished_jobs
from nutmeglb._internal.queues.inbox_reader import InboxReader
from nutmeglb._internal.queues.leader_callbacks import LeaderCallbacks
from nutmeglb._internal.queues.leader_hints import LeaderHints
from nutmeglb._internal.queues.leader_release import ReleaseFacts
from nutmeglb._internal.queues.lease_bounds import new_cell
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.load_reports import LoadReports
from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.queues.part_options import part_options
from nutmeglb._internal.queues.pass_pacing import PassPacer
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.ports import Platform
from nutmeglb._internal.queues.settings import QueueSection
from nutmeglb._internal.queues.stored_jobs import Inbox
from nutmeglb._internal.queues.worker_entries import WorkerEntries
from nutmeglb._internal.queues.worker_links import WorkerLinks
from nutmeglb._internal.queues.worker_listing import WorkerListing
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import (
    advice,
    composition,
    lifecycle,
    placing,
    progress,
    takeover_wait,
    unknown_life_leases,
)
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import Effect, RequestAdvice
from nutmeglb_decisions.queues.entry_age import StoreContact
from nutmeglb_decisions.queues.idle_jobs import IdleJobMonitor
from nutmeglb_decisions.queues.job_memory import JobMemory, job_limit_bytes
from nutmeglb_decisions.queues.names import parse_task
from nutmeglb_decisions.queues.verdicts import LoadView
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import Waits
from nutmeglb_formats.models.queues import QueueConfig, QueueJob

logger = get_logger("leader")

MS_PER_S = 1_000.0
TICK_MS = 100.0
RETRY_MS = 100.0
# A leader that cannot load its state within this time steps down. Loading takes one second on the
# slowest link in the users' requirements. The limit equals the default time after which a store
# outage ends the authority of a leader.
TAKEOVER_TIMEOUT_MS = 5_000.0


class Leader:
    """Schedules all queues during one term.

    Parameters
    ----------
    on_lost
        Called with the cause when this leader must step down.
    publish_metrics
        Called with the cell at each load report.
    contact
        Since when the store has answered this instance; by default since this leader first read it.
    """

    def __init__(
        self,
        live: LiveSettings,
        clock: Clock,
        rng: random.Random,
        platform: Platform,
        links: PeerLinks,
        advice_dispatcher: AdviceDispatcher,
        log: DecisionLog,
        lag: LoopLag,
        term: Term,
        incarnation: str,
        on_lost: Callable[[str], None],
        metrics: Metrics | None = None,
        publish_metrics: Callable[[Cell], None] = lambda _cell: None,
        contact: StoreContact | None = None,
    ) -> None:
        self._live = live
        self._clock = clock
        self._rng = rng
        self._platform = platform
        self._links = links
        self._advice_dispatcher = advice_dispatcher
        self._log = log
        self._lag = lag
        self._term = term
        self._on_lost = on_lost
        settings = live.current.queues
        self.cell = new_cell(term.number, settings)
        self.cell.job_memory = JobMemory(job_limit_bytes(live.current.machine.memory_mb))
        if term.number > 0:
            self.cell.former_orders_end_ms = None
        self._committer = Committer(
            self.cell,
            platform.store,
            clock,
            term,
            incarnation,
            settings.commit_ms,
            on_lost,
            self._request_pass,
        )
        callbacks = LeaderCallbacks(
            self._request_pass,
            self._committer.flush_progress,
            self._on_fenced,
            lambda: term.authority.may_command,
            lag.explains_missing_answer,
        )
        self._workers = WorkerLinks(
            self.cell,
            platform.connect_workers(),
            clock,
            log,
            term.fence,
            settings.lease_of_runs_ms,
            callbacks,
        )
        self._worker_entries = WorkerEntries(platform, metrics, log)
        self._listing = WorkerListing(
            self.cell, self._worker_entries, clock, contact, live, self._workers, self._request_pass
        )
        self._hints = LeaderHints(platform.store, self.cell, clock, term.key_revision, metrics)
        self._background = BackgroundTasks()
        self._wake = asyncio.Event()
        self._idle_jobs = IdleJobMonitor()
        self._load_reports = LoadReports(self.cell, clock, links, publish_metrics)
        self._takeover_wait = takeover_wait.TakeoverWait(0.0, 0.0, 0.0)
        self._revision = 0
        self.loaded = False
        self._early_offers: list[tuple[QueueJob, int]] = []

    @property
    def load(self) -> LoadView:
        """Return the load as last computed, without the configuration."""
        return self._load_reports.load

    @property
    def _settings(self) -> QueueSection:
        return self._live.current.queues

    async def start(self, config: QueueConfig) -> None:
        """Start the takeover: load the state from the store, then renew the leases of workers."""
        composition.configure(self.cell, config, part_options(self._live.current))
        self._background.spawn(self._lag.run())
        self._background.spawn(self._run_guarded(self._take_over()))

    async def stop(self) -> None:
        """Stop all background work. The next leader fences orders that are still in flight."""
        try:
            await self._background.cancel()
        finally:
            await self._workers.stop()

    async def flush_progress(self, timeout_ms: float) -> None:
        """Store unsaved progress before a planned handover, for up to ``timeout_ms``."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._committer.flush_progress()
        except TimeoutError:
            logger.warning("progress not fully stored in time for the handover; continuing")

    def configure(self, config: QueueConfig) -> None:
        """Apply a new configuration."""
        composition.configure(self.cell, config, part_options(self._live.current))
        self._request_pass()

    def offer(self, job: QueueJob, revision: int) -> None:
        """Schedule a job whose acceptance is stored. Offers before the takeover are deferred.

        An offer may arrive late. A job that was accepted no later than the revision that this
        leader has read is either known here or has ended under this leader or a former one.

        Parameters
        ----------
        revision
            Store revision of the acceptance.
        """
        if not self.loaded:
            self._early_offers.append((job, revision))
        elif revision > self._revision:
            self._add_job(job)
        elif job.job_id not in self.cell.jobs:
            logger.info("late offer of an ended job ignored", job=job.job_id, revision=revision)

    def _add_job(self, job: QueueJob) -> None:
        if lifecycle.add_job(self.cell, job, self._clock.now_ms()):
            self.cell.log_decision("job_taken_up", "accepted", job=job.job_id, queue=job.queue.name)
            self._request_pass()

    def cancel(self, job_id: str) -> None:
        """Cancel a job after its cancellation was stored."""
        if lifecycle.cancel_job(self.cell, job_id, self._clock.wall_ms()):
            self._request_pass()

    def release_facts(self) -> ReleaseFacts:
        """Return what the successor may rely on, after the last order of this leader."""
        now_ms = self._clock.now_ms()
        elapsed_ms = (now_ms - self._takeover_wait.takeover_ms) * (1 - MAX_CLOCK_DRIFT)
        waits = takeover_wait.waits(self.cell, self._takeover_wait, elapsed_ms)
        has_long_leases = unknown_life_leases.may_outlast_orders(self.cell, now_ms)
        return ReleaseFacts(list(waits.items()), has_long_leases)

    def _set_takeover_wait(self, start_ms: float, waits: Waits | None) -> None:
        """Set how long to wait for workers that may still run tasks of former leaders."""
        authority_ms = self._settings.authority_ms / (1 - MAX_CLOCK_DRIFT)
        max_wait_ms = authority_ms + self.cell.lease_expiry_after_ms
        deadline_ms = start_ms + (
            self.cell.lease_expiry_after_ms if self._term.no_former_orders else max_wait_ms
        )
        # The record is only valid for the next term: a leader in between may have used the workers.
        known = waits is not None and waits.term == self._term.number - 1
        waited = dict(waits.waited) if waits is not None and known else {}
        self._takeover_wait = takeover_wait.TakeoverWait(start_ms, max_wait_ms, deadline_ms, waited)

    async def _take_over(self) -> None:
        start_ms = self._clock.now_ms()
        while not await self._load_state(start_ms):
            if self._clock.now_ms() - start_ms > TAKEOVER_TIMEOUT_MS:
                self._on_lost(TAKEOVER_FAILED)
                return
            await asyncio.sleep(RETRY_MS / MS_PER_S)
        self.cell.started_ms = self._clock.now_ms()
        takeover_wait.begin(self.cell, self._takeover_wait)
        self.loaded = True
        logger.info(
            "took over",
            term=self._term.number,
            jobs=len(self.cell.active),
            workers=len(self.cell.workers),
            took_ms=round(self.cell.started_ms - start_ms),
        )
        for job, revision in self._early_offers:
            self.offer(job, revision)
        self._early_offers.clear()
        for loop in (
            self._committer.run(),
            self._listing.run(),
            InboxReader(
                self._platform.store,
                self.cell.jobs,
                lambda: self._settings.inbox_ms,
                self._apply_inbox,
            ).run(self._revision),
            self._pass_loop(),
            self._tick_loop(),
            self._load_reports.run(),
            keep_finished_jobs(
                self.cell,
                self._platform.store,
                self._committer,
                self._clock,
                lambda: self._settings.status_s,
            ),
            self._hints.run(),
        ):
            self._background.spawn(self._run_guarded(loop))
        self._request_pass()

    async def _run_guarded(self, loop: Any) -> None:
        try:
            await loop
        except Exception as error:
            self._log.defect("leader", error)
            self._on_lost(f"unexpected exception in the scheduler: {error!r}")

    async def _load_state(self, start_ms: float) -> bool:
        """Load accepted jobs, progress and workers. Return whether everything was read."""
        if not await self._committer.load_counter():
            return False
        sent_ms = self._clock.now_ms()
        stored, _ = await asyncio.gather(
            stored_jobs.read_state(self._platform.store, self._worker_entries), self._hints.load()
        )
        if isinstance(stored, Err):
            logger.warning("takeover: state not loaded; retrying", cause=str(stored.err_value))
            return False
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        state = stored.ok_value
        self._set_takeover_wait(start_ms, state.waits)
        for job in state.inbox.jobs:
            found = state.progress.get(job.job_id)
            try:
                progress.restore(self.cell, job, found, now_ms, wall_ms)
            except Exception as error:
                progress.set_job_aside(self.cell, job, error, now_ms)
        for job_id in state.inbox.cancelled:
            lifecycle.cancel_job(self.cell, job_id, wall_ms)
        self._revision = state.inbox.revision
        self._listing.apply(state.workers, sent_ms)
        self._hints.recall_workers()
        self._workers.refresh()
        return True

    def _apply_inbox(self, inbox: Inbox) -> None:
        for job in inbox.jobs:
            self._add_job(job)
        for job_id in inbox.cancelled:
            self.cancel(job_id)
        self._revision = inbox.revision

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self.tick()

    def tick(self) -> None:
        """Apply time-based changes, such as lease expiry and due occurrences of jobs."""
        periodic_checks.run(
            self.cell,
            self._term.authority,
            self._listing,
            self._idle_jobs,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        self._request_pass()

    async def _pass_loop(self) -> None:
        pacer = PassPacer()
        while True:
            await self._wake.wait()
            self._wake.clear()
            start_ms = self._clock.now_ms()
            placing.schedule(
                self.cell,
                self._advice_dispatcher.calling_instances,
                self._rng,
                start_ms,
                self._clock.wall_ms(),
                max_worker_checks=pacer.worker_checks,
            )
            for effect in self.cell.take_effects():
                self._apply_effect(effect)
            self._log.write(self.cell.take_decisions())
            self._log.count_preemption(self.cell.preemption)
            self._committer.request_commit()
            pacer.record_pass(self._clock.now_ms() - start_ms)
            await asyncio.sleep(pacer.pause_ms / MS_PER_S)

    def _apply_effect(self, effect: Effect) -> None:
        if isinstance(effect, RequestAdvice):
            self._background.spawn(self._request_advice(effect))
        else:
            self._workers.send_order(effect)

    async def _request_advice(self, effect: RequestAdvice) -> None:
        answer = await self._advice_dispatcher.request_advice(
            effect.step, effect.workers, effect.cost_ms
        )
        now_ms = self._clock.now_ms()
        name = parse_task(f"{effect.step}.0")
        step = self.cell.find_step(name.job_id, name.occurrence, name.step) if name else None
        if step is None:
            self.cell.advice_calls.pop(effect.step, None)
            return
        if isinstance(answer, Err):
            logger.warning(
                "advice call failed; retrying", step=effect.step, cause=str(answer.err_value)
            )
            advice.failed(self.cell, step, now_ms)
        elif answer.ok_value.refused:
            advice.failed(self.cell, step, now_ms)
        else:
            given = answer.ok_value
            advice.answered(self.cell, step, effect, given.tickets, given.expires_at_ms)
        self._request_pass()

    def _request_pass(self) -> None:
        self._wake.set()

    def _on_fenced(self, worker_id: str) -> None:
        self._on_lost(f"worker {worker_id} has accepted a higher fencing token")

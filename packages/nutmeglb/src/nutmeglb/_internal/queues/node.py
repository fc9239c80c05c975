"""Assembly and lifecycle of an entry instance that serves queues."""

import asyncio
import random
import secrets
import signal
from typing import Protocol

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Metrics
from nutmeglb._internal.peers.handshakes import HandshakeGate
from nutmeglb._internal.queues.advice_dispatcher import AdviceDispatcher
from nutmeglb._internal.queues.authority import Term
from nutmeglb._internal.queues.config_watch import ConfigWatch, limits_from, wait_within
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.election import Election
from nutmeglb._internal.queues.leader import Leader
from nutmeglb._internal.queues.leader_release import ReleaseFacts
from nutmeglb._internal.queues.live_settings import LiveSettings
from nutmeglb._internal.queues.loop_lag import LoopLag
from nutmeglb._internal.queues.part_metrics import PartMetrics
from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.ports import Platform
from nutmeglb._internal.queues.service import QueueService
from nutmeglb._internal.queues.store_gate import StoreGate
from nutmeglb._internal.queues.submissions import Submissions
from nutmeglb._internal.queues.succession import LeadershipHandover
from nutmeglb._internal.telemetry.hybrid_clock import HybridLogicalClock
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.intake.limits import limit_handshakes
from nutmeglb_decisions.queues.effects import Decision
from nutmeglb_decisions.queues.entry_age import StoreContact
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.queue_records import LeaderRecord
from nutmeglb_formats.models.queues import QueueConfig

logger = get_logger("node")

SEED_BITS = 64
INCARNATION_BYTES = 8
MS_PER_S = 1_000.0
# Time to store progress before the leadership is released.
FLUSH_TIMEOUT_MS = 500.0
# An instance whose last contact with the store is older than this reports that it is not ready.
MAX_CONTACT_AGE_MS = 2_500.0
POLL_INTERVAL_S = 0.05


class Frontend(Protocol):
    """Listeners for callers, the balancer and metrics."""

    @property
    def in_flight(self) -> int:
        """Return the number of requests that are being answered."""

    async def start(self) -> None:
        """Bind the listeners."""

    def begin_drain(self) -> None:
        """Ask callers to close their connections."""

    async def stop(self) -> None:
        """Close the listeners."""


class QueueNode:
    """Components of one entry instance.

    Attributes
    ----------
    service
        Commands and queries about jobs, for the frontend.
    config
        Current configuration, for the frontend.
    """

    def __init__(
        self, live: LiveSettings, platform: Platform, clock: Clock, metrics: Metrics
    ) -> None:
        settings = live.current
        self._live = live
        self._platform = platform
        self._clock = clock
        self._rng = random.Random(secrets.randbits(SEED_BITS))
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        hybrid_clock = HybridLogicalClock(clock)
        self._metrics = metrics
        self._log = DecisionLog(clock, hybrid_clock, metrics, lambda: live.current.log.lines_per_s)
        self._background = BackgroundTasks()
        self._draining = False
        self._leader: Leader | None = None
        instance = settings.instance
        self._links = PeerLinks(
            clock,
            instance.id,
            instance.failure_domain,
            settings.listen.peer,
            hybrid_clock,
            lambda gone: self._election.note_leader_connection_lost(gone),
            HandshakeGate(
                limit_handshakes(settings.machine.memory_mb, settings.machine.max_descriptors),
                clock,
                metrics,
            ),
        )
        self._lag = LoopLag(clock, metrics)
        self._part_metrics = PartMetrics(metrics)
        self._advice_dispatcher = AdviceDispatcher(platform.advice, self._links, clock, self._lag)
        self._gate = StoreGate(platform.store, self._store_changed)
        self._store_contact = StoreContact(settings.queues.worker_beat_ms)
        self.config = ConfigWatch(
            platform,
            clock,
            self._configured,
            self._store_unanswered,
            limits_from(settings),
            wait_within(settings),
            self._store_contact.record,
        )
        self.service = QueueService(
            clock,
            self._links,
            Submissions(platform.store, clock, self._gate),
            self._gate,
            self.config,
            self._log,
            lambda: self._leader,
        )
        self._election = Election(
            live,
            clock,
            self._rng,
            platform.store,
            self._links,
            self._own_record,
            self._on_elected,
            self._stepped_down,
        )
        self._leadership_handover = LeadershipHandover(
            self._links, self._strength, lambda: self.is_leading, self._hand_over
        )

    @property
    def is_leading(self) -> bool:
        """Return whether this instance leads and has completed its takeover."""
        return self._leader is not None and self._leader.loaded

    @property
    def followers(self) -> int:
        """Return the number of instances that follow this one."""
        return len(self._links.followers)

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send callers to this instance."""
        return (
            not self._draining
            and self.config.current is not None
            and self.config.reachable
            and self._gate.allows_writes
            and not self.config.is_stale(MAX_CONTACT_AGE_MS)
        )

    @property
    def draining(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._draining

    async def run(self, frontend: Frontend) -> ExitStatus:
        """Serve until SIGTERM or SIGINT, then perform a planned stop."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._live.reload)
        await self.start(frontend)
        await stop.wait()
        await self.drain(frontend)
        await self.stop(frontend)
        return ExitStatus.OK

    async def start(self, frontend: Frontend) -> None:
        """Bind the listeners and start watching the configuration, then join the election."""
        await self._links.start()
        await frontend.start()
        self._background.spawn(self.config.run())
        self._background.spawn(self._live.watch_file())
        self._background.spawn(self._begin_election())
        self._background.spawn(self._leadership_handover.run())
        logger.info("started", incarnation=self._incarnation)

    async def _begin_election(self) -> None:
        # A leader cannot schedule without a configuration.
        while self.config.current is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._election.start()

    async def drain(self, frontend: Frontend) -> None:
        """Release the leadership, and serve until the balancer has stopped sending callers."""
        self._draining = True
        limits = self._live.current.stop
        logger.info("draining", balancer_notice_ms=limits.balancer_notice_ms)
        frontend.begin_drain()
        await self._store_progress()
        await self._election.resign(self._release_facts)
        # Counts only time in which the process ran, since the balancer cannot check a paused one.
        for _ in range(int(limits.balancer_notice_ms / MS_PER_S / POLL_INTERVAL_S)):
            await asyncio.sleep(POLL_INTERVAL_S)
        deadline_ms = self._clock.now_ms() + limits.drain_limit_ms
        while frontend.in_flight and self._clock.now_ms() < deadline_ms:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self, frontend: Frontend) -> None:
        """Stop all components."""
        await frontend.stop()
        await self._election.stop()
        await self._stepped_down("stop")
        await self.service.stop()
        await self._gate.stop()
        await self._background.cancel()
        await self._links.stop()
        logger.info("stopped")

    def _strength(self) -> float:
        """Return the suitability of this instance as leader; 0 if it is not ready."""
        return self._election.strength if self.ready else 0.0

    async def _hand_over(self) -> None:
        await self._store_progress()
        await self._election.hand_over(self._release_facts)

    async def _store_progress(self) -> None:
        if self._leader is not None:
            await self._leader.flush_progress(FLUSH_TIMEOUT_MS)

    def _release_facts(self) -> ReleaseFacts:
        return self._leader.release_facts() if self._leader is not None else ReleaseFacts()

    def _own_record(self) -> LeaderRecord:
        return LeaderRecord(
            self._live.current.instance.id,
            self._incarnation,
            self._links.bound_address,
            0,
            self._links.secret,
        )

    async def _on_elected(self, term: Term) -> None:
        config = self.config.current
        assert config is not None
        self._leader = Leader(
            self._live,
            self._clock,
            self._rng,
            self._platform,
            self._links,
            self._advice_dispatcher,
            self._log,
            self._lag,
            term,
            self._incarnation,
            self._leadership_ended,
            self._metrics,
            self._part_metrics.publish,
            self._store_contact,
        )
        await self._leader.start(config)

    def _leadership_ended(self, cause: str) -> None:
        self._background.spawn(self._election.step_down(cause))

    async def _stepped_down(self, cause: str) -> None:
        leader, self._leader = self._leader, None
        if leader is not None:
            await leader.stop()
        self._part_metrics.publish(None)

    def _store_unanswered(self) -> None:
        self._gate.check()
        self._store_contact.record_failure(self._clock.now_ms())

    def _store_changed(self, answers: bool) -> None:
        kind = "store_regained" if answers else "store_lost"
        self._log.write([Decision(kind, "a call of a submission or a probe")])

    def _configured(self, config: QueueConfig) -> None:
        if self._leader is not None:
            self._leader.configure(config)

"""Failure domain in simulated time, with the real scheduler core and stand-in agents, without I/O.

A journal commit takes ``COMMIT_DURATION_MS``. Commits start at least ``COMMIT_INTERVAL_MS`` apart,
and each takes all pending appends. A call to an agent takes ``SYNC_DURATION_MS``.
"""

import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from nutmeglb_decisions.tasks.events import (
    Append,
    Cancel,
    Committed,
    Effect,
    Event,
    ListedWorker,
    SendCommands,
    Submit,
    Synced,
    Tick,
    Unreachable,
    WorkersListed,
)
from nutmeglb_decisions.tasks.scheduler import Scheduler
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.agent import SyncResponse
from nutmeglb_formats.models.config import Config, Policy, Team
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.resources import Resources
from standins.agent_state import AgentState

GIB = 1 << 30
DOMAIN = "a"
COMMIT_DURATION_MS = 4.0
COMMIT_INTERVAL_MS = 100.0
SYNC_DURATION_MS = 1.0
TICK_INTERVAL_MS = 50.0
HEARTBEAT_INTERVAL_MS = 5_000.0
CALL_TIMEOUT_MS = 2_000.0
LEASE_MS = 15_000.0
MARGIN_MS = 500.0
WORKERS_PER_RACK = 8
MAX_RECORDED_US = 10_000_000


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED_US, 3)


@dataclass
class Cell:
    """One failure domain.

    Attributes
    ----------
    decision_us
        Real time of every placement decision, in microseconds.
    core_time_s
        Real time of all calls of the core, in seconds.
    max_call_s
        Real time of the longest single call of the core, in seconds.
    """

    capacity: Resources
    workers: int
    teams: int
    seed: int
    team_share: float = 1.0
    policy: Policy = field(default_factory=lambda: Policy("default", domain_weights={DOMAIN: 1.0}))
    min_quota: Resources = Resources()
    decision_us: HdrHistogram = field(default_factory=make_histogram)
    placements: int = 0
    decision_s: float = 0.0
    core_time_s: float = 0.0
    max_call_s: float = 0.0
    commits: int = 0

    def __post_init__(self) -> None:
        self.clock = ManualClock(1_000.0)
        self.rng = random.Random(self.seed)
        self.submitted: dict[str, tuple[float, JobSpec]] = {}
        self.journal: list[Any] = []
        self.lost_workers: set[str] = set()
        self.epoch = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._appends: list[Append] = []
        self._is_commit_scheduled = False
        self._last_commit_ms = -COMMIT_INTERVAL_MS
        self._scheduled_syncs: set[str] = set()
        self._request_numbers = itertools.count(1)
        self.agents = {
            f"w{n:04}": AgentState(
                f"w{n:04}", self.capacity, self.clock, rack=f"r{n // WORKERS_PER_RACK}"
            )
            for n in range(self.workers)
        }
        self.config = self._make_config()
        self.start_leader()
        for number, worker in enumerate(self.agents):
            self._schedule_heartbeat(worker, number * HEARTBEAT_INTERVAL_MS / self.workers)
            self.schedule_sync(worker)
        self._tick()

    def _make_config(self) -> Config:
        total = self.capacity.scaled(self.workers)
        share = self.team_share / self.teams
        quota = Resources(int(total.cpu_millis * share), int(total.memory_bytes * share), 0)
        quota = Resources(
            max(quota.cpu_millis, self.min_quota.cpu_millis),
            max(quota.memory_bytes, self.min_quota.memory_bytes),
            0,
        )
        names = [f"team{n:03}" for n in range(self.teams)]
        teams = {name: Team(name, quota) for name in names}
        return Config(1, teams=teams, policies={"default": self.policy})

    def start_leader(self) -> None:
        """Start a new leader that recovers from the journal."""
        self.epoch += 1
        self._appends.clear()
        self.core = Scheduler(
            domain=DOMAIN,
            epoch=self.epoch,
            config=self.config,
            records=self.journal,
            lease_ms=LEASE_MS,
            margin_ms=MARGIN_MS,
            now_ms=self.now_ms,
            wall_ms=self.now_ms,
            rng=random.Random(self.seed),
        )
        self.handle(WorkersListed(tuple(ListedWorker(name) for name in self.agents)))

    @property
    def now_ms(self) -> float:
        """Return the simulated time in milliseconds."""
        return self.clock.now_ms()

    # Events

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Call ``action`` at a simulated time, or as soon as possible if it has passed."""
        heapq.heappush(self._events, (max(time_ms, self.now_ms), next(self._event_numbers), action))

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time and run the events that become due."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.now_ms)
            action()
            if not self._events or self._events[0][0] > time_ms:
                self.place_waiting_tasks()
        self.clock.advance(end_ms - self.now_ms)

    def handle(self, event: Event) -> None:
        """Pass an event to the core and apply its effects."""
        self._apply_effects(self._time_call(lambda: self.core.handle(event, self.now_ms)))

    def place_waiting_tasks(self) -> None:
        """Place one task at a time until nothing can be placed."""
        while self._time_call(lambda: self.core.has_work(self.now_ms)):
            before = self._start_count()
            started_s = time.perf_counter()
            effects = self._time_call(lambda: self.core.step(self.now_ms, 1))
            elapsed_s = time.perf_counter() - started_s
            placed = self._start_count() - before
            self.decision_s += elapsed_s
            self.placements += placed
            self.decision_us.record_value(max(1, int(elapsed_s * 1e6)))
            self._apply_effects(effects)

    def _start_count(self) -> int:
        return self.core.lifecycle.start_count

    def _time_call(self, call: Callable[[], Any]) -> Any:
        started_s = time.perf_counter()
        value = call()
        elapsed_s = time.perf_counter() - started_s
        self.core_time_s += elapsed_s
        self.max_call_s = max(self.max_call_s, elapsed_s)
        return value

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Append):
                self._appends.append(effect)
                self._schedule_commit()
            elif isinstance(effect, SendCommands):
                self.schedule_sync(effect.worker)

    # Journal

    def _schedule_commit(self) -> None:
        if not self._is_commit_scheduled:
            self._is_commit_scheduled = True
            start_ms = max(self.now_ms, self._last_commit_ms + COMMIT_INTERVAL_MS)
            self.at(start_ms, self._commit)

    def _commit(self) -> None:
        self._is_commit_scheduled = False
        self._last_commit_ms = self.now_ms
        appends, self._appends = self._appends, []
        if not appends:
            return
        self.commits += 1
        core = self.core
        for append in appends:
            self.journal.extend(append.records)

        def done() -> None:
            for append in appends:
                if self.core is core:
                    self.handle(Committed(append.batch))

        self.at(self.now_ms + COMMIT_DURATION_MS, done)

    # Agents

    def schedule_sync(self, worker: str) -> None:
        """Schedule a call to a worker's agent unless one is scheduled already."""
        if worker not in self._scheduled_syncs:
            self._scheduled_syncs.add(worker)
            self.at(self.now_ms + SYNC_DURATION_MS, lambda: self._sync(worker))

    def _sync(self, worker: str) -> None:
        self._scheduled_syncs.discard(worker)
        if worker in self.lost_workers:
            self.at(self.now_ms + CALL_TIMEOUT_MS, lambda: self._handle_timeout(worker))
            return
        request = self.core.sync_request(worker, 0.0)
        if request is None:
            return
        agent = self.agents[worker]
        answer = agent.sync(request)
        if isinstance(answer, SyncResponse):
            self.handle(Synced(worker, answer))
        self.at(agent.next_change_ms(), lambda: self.schedule_sync(worker))

    def _handle_timeout(self, worker: str) -> None:
        self.handle(Unreachable(worker))

    def _schedule_heartbeat(self, worker: str, delay_ms: float) -> None:
        def send_heartbeat() -> None:
            self.schedule_sync(worker)
            self._schedule_heartbeat(worker, HEARTBEAT_INTERVAL_MS)

        self.at(self.now_ms + delay_ms, send_heartbeat)

    def _tick(self) -> None:
        self.handle(Tick())
        self.at(self.now_ms + TICK_INTERVAL_MS, self._tick)

    # Jobs

    def submit(self, spec: JobSpec) -> None:
        """Submit a job now."""
        job_id = f"{spec.submission_id}"
        self.submitted[job_id] = (self.now_ms, spec)
        self.handle(Submit(next(self._request_numbers), spec, self.now_ms))

    def cancel(self, job_id: str) -> None:
        """Cancel a job now."""
        self.handle(Cancel(next(self._request_numbers), job_id))

    def waits_ms(self, is_included: Callable[[JobSpec], bool]) -> list[float]:
        """Return the sorted times from submission to first start of the tasks of the included jobs.

        Tasks that have not started count with the time until now.
        """
        first_start_ms: dict[tuple[str, int], float] = {}
        for agent in self.agents.values():
            for run in agent.record:
                if run.start_ms is None:
                    continue
                job_id, index, _ = run.attempt.rsplit("/", 2)
                key = (job_id, int(index))
                first_start_ms[key] = min(first_start_ms.get(key, run.start_ms), run.start_ms)
        waits = []
        for job in self.core.lifecycle.jobs.values():
            if not is_included(job.spec) or job.spec.submission_id not in self.submitted:
                continue
            submitted_ms, spec = self.submitted[job.spec.submission_id]
            for index in range(spec.tasks):
                start_ms = first_start_ms.get((job.job_id, index), self.now_ms)
                waits.append(max(0.0, start_ms - submitted_ms))
        return sorted(waits)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values, or 0 without values."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0

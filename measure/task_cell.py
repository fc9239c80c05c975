"""A failure domain in simulated time: the real scheduler core and agent state, no sockets.

The journal commits the first append after ``STORE_MS`` when idle, then one batch per
``COMMIT_INTERVAL_MS``. A call to an agent takes ``CALL_MS``.
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
STORE_MS = 4.0
COMMIT_INTERVAL_MS = 100.0
CALL_MS = 1.0
TICK_MS = 50.0
HEARTBEAT_MS = 5_000.0
CALL_TIMEOUT_MS = 2_000.0
LEASE_MS = 15_000.0
MARGIN_MS = 500.0
WORKERS_PER_RACK = 8
MAX_RECORDED_US = 10_000_000


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds with three digits."""
    return HdrHistogram(1, MAX_RECORDED_US, 3)


@dataclass
class Cell:
    """One failure domain.

    Attributes
    ----------
    decision_us
        Time of every placement decision, and ``busy_s`` the sum of all core time in seconds.
    longest_call_s
        Longest single call of the core.
    """

    capacity: Resources
    workers: int
    teams: int
    seed: int
    team_share: float = 1.0
    policy: Policy = field(default_factory=lambda: Policy("default", domain_weights={DOMAIN: 1.0}))
    least_quota: Resources = Resources()
    decision_us: HdrHistogram = field(default_factory=make_histogram)
    placements: int = 0
    decision_s: float = 0.0
    busy_s: float = 0.0
    longest_call_s: float = 0.0
    commits: int = 0

    def __post_init__(self) -> None:
        self.clock = ManualClock(1_000.0)
        self.rng = random.Random(self.seed)
        self.submitted: dict[str, tuple[float, JobSpec]] = {}
        self.journal: list[Any] = []
        self.dead: set[str] = set()
        self.epoch = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._appends: list[Append] = []
        self._commit_planned = False
        self._last_commit_ms = -COMMIT_INTERVAL_MS
        self._syncs_planned: set[str] = set()
        self._requests = itertools.count(1)
        self.agents = {
            f"w{n:04}": AgentState(
                f"w{n:04}", self.capacity, self.clock, rack=f"r{n // WORKERS_PER_RACK}"
            )
            for n in range(self.workers)
        }
        self.config = self._make_config()
        self.lead()
        for number, worker in enumerate(self.agents):
            self._heartbeat(worker, number * HEARTBEAT_MS / self.workers)
            self.plan_sync(worker)
        self._tick()

    def _make_config(self) -> Config:
        total = self.capacity.scaled(self.workers)
        share = self.team_share / self.teams
        quota = Resources(int(total.cpu_millis * share), int(total.memory_bytes * share), 0)
        quota = Resources(
            max(quota.cpu_millis, self.least_quota.cpu_millis),
            max(quota.memory_bytes, self.least_quota.memory_bytes),
            0,
        )
        names = [f"team{n:03}" for n in range(self.teams)]
        teams = {name: Team(name, quota) for name in names}
        return Config(1, teams=teams, policies={"default": self.policy})

    def lead(self) -> None:
        """Let a new leader recover from the journal."""
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
        """Run an action at a simulated time."""
        heapq.heappush(self._events, (max(time_ms, self.now_ms), next(self._order), action))

    def run(self, duration_ms: float) -> None:
        """Advance the simulated time."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.now_ms)
            action()
            if not self._events or self._events[0][0] > time_ms:
                self.place()
        self.clock.advance(end_ms - self.now_ms)

    def handle(self, event: Event) -> None:
        """Apply an event to the core."""
        self._take(self._timed(lambda: self.core.handle(event, self.now_ms)))

    def place(self) -> None:
        """Place one task at a time until nothing can be placed."""
        while self._timed(lambda: self.core.has_work(self.now_ms)):
            before = self._attempts()
            started_s = time.perf_counter()
            effects = self._timed(lambda: self.core.step(self.now_ms, 1))
            spent_s = time.perf_counter() - started_s
            placed = self._attempts() - before
            self.decision_s += spent_s
            self.placements += placed
            self.decision_us.record_value(max(1, int(spent_s * 1e6)))
            self._take(effects)

    def _attempts(self) -> int:
        return self.core.lifecycle.start_count

    def _timed(self, call: Callable[[], Any]) -> Any:
        started_s = time.perf_counter()
        value = call()
        spent_s = time.perf_counter() - started_s
        self.busy_s += spent_s
        self.longest_call_s = max(self.longest_call_s, spent_s)
        return value

    def _take(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Append):
                self._appends.append(effect)
                self._plan_commit()
            elif isinstance(effect, SendCommands):
                self.plan_sync(effect.worker)

    # Journal

    def _plan_commit(self) -> None:
        if not self._commit_planned:
            self._commit_planned = True
            start_ms = max(self.now_ms, self._last_commit_ms + COMMIT_INTERVAL_MS)
            self.at(start_ms, self._commit)

    def _commit(self) -> None:
        self._commit_planned = False
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

        self.at(self.now_ms + STORE_MS, done)

    # Agents

    def plan_sync(self, worker: str) -> None:
        """Call a worker's agent unless a call is planned."""
        if worker not in self._syncs_planned:
            self._syncs_planned.add(worker)
            self.at(self.now_ms + CALL_MS, lambda: self._sync(worker))

    def _sync(self, worker: str) -> None:
        self._syncs_planned.discard(worker)
        if worker in self.dead:
            self.at(self.now_ms + CALL_TIMEOUT_MS, lambda: self._timed_out(worker))
            return
        request = self.core.sync_request(worker, 0.0)
        if request is None:
            return
        agent = self.agents[worker]
        answer = agent.sync(request)
        if isinstance(answer, SyncResponse):
            self.handle(Synced(worker, answer))
        self.at(agent.next_change_ms(), lambda: self.plan_sync(worker))

    def _timed_out(self, worker: str) -> None:
        self.handle(Unreachable(worker))

    def _heartbeat(self, worker: str, delay_ms: float) -> None:
        def beat() -> None:
            self.plan_sync(worker)
            self._heartbeat(worker, HEARTBEAT_MS)

        self.at(self.now_ms + delay_ms, beat)

    def _tick(self) -> None:
        self.handle(Tick())
        self.at(self.now_ms + TICK_MS, self._tick)

    # Work

    def submit(self, spec: JobSpec) -> None:
        """Submit a job now."""
        job_id = f"{spec.submission_id}"
        self.submitted[job_id] = (self.now_ms, spec)
        self.handle(Submit(next(self._requests), spec, self.now_ms))

    def cancel(self, job_id: str) -> None:
        """Cancel a job now."""
        self.handle(Cancel(next(self._requests), job_id))

    def waits_ms(self, wanted: Callable[[JobSpec], bool]) -> list[float]:
        """Return the time from submission to first start of every task of the wanted jobs.

        Tasks that have not started count with their time until now.
        """
        first: dict[tuple[str, int], float] = {}
        for agent in self.agents.values():
            for run in agent.record:
                if run.start_ms is None:
                    continue
                job_id, index, _ = run.attempt.rsplit("/", 2)
                key = (job_id, int(index))
                first[key] = min(first.get(key, run.start_ms), run.start_ms)
        waits = []
        for job in self.core.lifecycle.jobs.values():
            if not wanted(job.spec) or job.spec.submission_id not in self.submitted:
                continue
            submitted_ms, spec = self.submitted[job.spec.submission_id]
            for index in range(spec.tasks):
                start_ms = first.get((job.job_id, index), self.now_ms)
                waits.append(max(0.0, start_ms - submitted_ms))
        return sorted(waits)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 when there are none."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0

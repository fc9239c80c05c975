"""In-memory failure domain: scheduler core, agents, journal and messages in flight."""

import random
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from nutmeglb_decisions.tasks.dispatch import PLACEMENTS_PER_STEP
from nutmeglb_decisions.tasks.events import (
    Answer,
    Append,
    Cancel,
    CommitFailed,
    Committed,
    Effect,
    Event,
    ListedWorker,
    Submit,
    Synced,
    Tick,
    Unreachable,
    WorkersListed,
)
from nutmeglb_decisions.tasks.scheduler import Scheduler
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import JournalError
from nutmeglb_formats.models.agent import SyncRequest, SyncResponse
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.journal import JOURNAL_RECORDS
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import AttemptEnded, AttemptStarted
from standins.agent_state import AgentState, Run

LEASE_MS = 1_000.0
MARGIN_MS = 100.0
GIB = 1 << 30
STORE_DOWN = JournalError("The store is down", hint="Wait")


@dataclass(frozen=True)
class SyncMessage:
    """Sync request or response in flight, with the number of the leader that it belongs to."""

    leader: int
    worker: str
    body: SyncRequest | SyncResponse


@dataclass
class World:
    """A failure domain that the test drives step by step."""

    config: Config
    workers: int = 3
    cpu_millis: int = 4_000
    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000.0))
    journal: list[Any] = field(default_factory=list)
    requests: list[SyncMessage] = field(default_factory=list)
    responses: list[SyncMessage] = field(default_factory=list)
    appends: dict[int, tuple[Any, ...]] = field(default_factory=dict)
    answers: dict[int, Answer] = field(default_factory=dict)
    frozen: set[str] = field(default_factory=set)
    effects: list[Effect] = field(default_factory=list)
    leaders: int = 0
    commands: int = 0
    core: Scheduler | None = None

    def __post_init__(self) -> None:
        capacity = Resources(self.cpu_millis, 16 * GIB, 0)
        self.agents = {
            f"w{n}": AgentState(f"w{n}", capacity, self.clock, rack=f"r{n // 2}")
            for n in range(self.workers)
        }
        self.replace_leader()

    @property
    def leader(self) -> Scheduler:
        assert self.core is not None
        return self.core

    def replace_leader(self, *, snapshot: bool = False) -> None:
        """Replace the leader. Appends without an outcome are lost."""
        if snapshot and self.core is not None:
            self.journal = [JOURNAL_RECORDS.to_items(record) for record in self.core.snapshot()]
        self.leaders += 1
        self.appends.clear()
        self.core = Scheduler(
            domain="a",
            epoch=self.leaders,
            config=self.config,
            records=[JOURNAL_RECORDS.from_items(items).unwrap() for items in self.journal],
            lease_ms=LEASE_MS,
            margin_ms=MARGIN_MS,
            now_ms=self.clock.now_ms(),
            wall_ms=self.clock.wall_ms(),
            rng=random.Random(self.leaders),
        )
        self.handle(WorkersListed(tuple(ListedWorker(name) for name in self.agents)))

    def handle(self, event: Event) -> None:
        self._record_effects(self.leader.handle(event, self.clock.now_ms()))

    def step(self, placements: int = PLACEMENTS_PER_STEP) -> None:
        self._record_effects(self.leader.step(self.clock.now_ms(), placements))

    def _record_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Append):
                self.appends[effect.batch] = effect.records
            elif isinstance(effect, Answer):
                self.answers[effect.request] = effect
        self.effects.extend(effects)

    def submit(self, spec: JobSpec) -> int:
        self.commands += 1
        self.handle(Submit(self.commands, spec, self.clock.wall_ms()))
        return self.commands

    def cancel(self, job_id: str) -> None:
        self.commands += 1
        self.handle(Cancel(self.commands, job_id))

    def commit(self, batch: int, *, applied: bool = True, reported: bool = True) -> None:
        """Finish an append.

        Parameters
        ----------
        applied
            Whether the store holds the records.
        reported
            Whether the leader learns that it was applied. Otherwise it sees a failed append.
        """
        records = self.appends.pop(batch)
        if applied:
            self.journal.extend(JOURNAL_RECORDS.to_items(record) for record in records)
        self.handle(Committed(batch) if applied and reported else CommitFailed(batch, STORE_DOWN))

    def commit_all(self) -> None:
        while self.appends:
            self.commit(next(iter(self.appends)))

    def send(self, worker: str) -> None:
        request = self.leader.sync_request(worker, 0.0)
        if request is not None:
            self.requests.append(SyncMessage(self.leaders, worker, request))

    def deliver_request(self, index: int, *, repeat: bool = False) -> None:
        sent = self.requests[index] if repeat else self.requests.pop(index)
        if sent.worker in self.frozen:
            return
        assert isinstance(sent.body, SyncRequest)
        answer = self.agents[sent.worker].sync(sent.body)
        if isinstance(answer, SyncResponse):
            self.responses.append(SyncMessage(sent.leader, sent.worker, answer))

    def deliver_response(self, index: int, *, repeat: bool = False) -> None:
        sent = self.responses[index] if repeat else self.responses.pop(index)
        assert isinstance(sent.body, SyncResponse)
        if sent.leader == self.leaders:
            self.handle(Synced(sent.worker, sent.body))

    def lose_contact(self, worker: str) -> None:
        self.handle(Unreachable(worker))

    def advance(self, duration_ms: float) -> None:
        self.clock.advance(duration_ms)
        for agent in self.agents.values():
            agent.advance()
        self.handle(Tick())

    def run_round(self, duration_ms: float = 60.0) -> None:
        """Advance the time, then place, commit and deliver everything without faults."""
        self.advance(duration_ms)
        now_ms = self.clock.now_ms()
        self.step()
        while self.leader.has_work(now_ms):
            self.step()
            self.commit_all()
        self.commit_all()
        self.exchange_all()

    def exchange_all(self) -> None:
        """Send to every worker, deliver all messages and commit all appends."""
        for worker in self.agents:
            self.send(worker)
        while self.requests:
            self.deliver_request(0)
        while self.responses:
            self.deliver_response(0)
        self.commit_all()

    # Recorded history and invariants

    def records(self, record_type: type[Any]) -> list[Any]:
        values = (JOURNAL_RECORDS.from_items(items).unwrap() for items in self.journal)
        return [value for value in values if isinstance(value, record_type)]

    def runs(self) -> list[Run]:
        return [run for agent in self.agents.values() for run in agent.record]

    def started(self) -> list[Run]:
        return [run for run in self.runs() if run.start_ms is not None]

    def check_single_run(self) -> None:
        """Check that runs of a task do not overlap and that at most one success is acknowledged."""
        runs_by_task: dict[str, list[Run]] = {}
        for run in self.started():
            runs_by_task.setdefault(run.attempt.rsplit("/", 1)[0], []).append(run)
        for task, runs in runs_by_task.items():
            runs.sort(key=lambda run: run.start_ms or 0.0)
            for first, second in pairwise(runs):
                ended_ms = first.end_ms
                assert ended_ms is not None, f"{task} runs twice"
                assert ended_ms <= (second.start_ms or 0.0), f"{task} runs twice"
            assert sum(run.acknowledged and run.outcome == "succeeded" for run in runs) <= 1, task

    def check_journal(self, committed: set[str]) -> None:
        for run in self.runs():
            assert run.attempt in committed, f"{run.attempt} started before its commit"

    def check_completions(self) -> None:
        done: dict[tuple[str, int], int] = {}
        for record in self.records(AttemptEnded):
            if record.completes:
                number = done.setdefault((record.job_id, record.index), record.number)
                assert number == record.number, f"{record.job_id}/{record.index} completed twice"

    def committed(self) -> set[str]:
        return {f"{r.job_id}/{r.index}/{r.number}" for r in self.records(AttemptStarted)}

    def check_ledger(self) -> None:
        for account in self.leader.lifecycle.capacity.ledger.accounts().values():
            assert account.free.is_non_negative(), f"{account.worker} is over-committed"
            self.leader.lifecycle.capacity.ledger.audit(account)

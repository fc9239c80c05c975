"""The scheduler's side of the agent protocol for one worker.

An agent measures leases on its own clock from ``echo_ms``, its time in the newest response that the
scheduler had received when it sent the request. The agent sent that response before the scheduler
received it. A renewal that is delivered late therefore cannot extend a lease beyond the time of
receipt plus the duration of the lease.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from nutmeglb_decisions.invariants import JOURNAL_FIRST, require
from nutmeglb_decisions.tasks.state import Attempt, Phase
from nutmeglb_formats.models.agent import (
    Amounts,
    FinishedTask,
    RunningTask,
    StartCommand,
    SyncRequest,
    SyncResponse,
    TaskPhase,
    ThrottleCommand,
)
from nutmeglb_formats.models.resources import Resources

# Limit per kind of command. Keeps a request well below 4 MB; the rest follows in the next one.
MAX_COMMANDS_PER_REQUEST = 500
# A link that is recreated in the same epoch must continue with higher sequence numbers. Numbering
# starts at the time in microseconds, which increases faster than requests are sent.
SEQUENCES_PER_MS = 1_000


@dataclass(frozen=True, slots=True)
class AttemptReports:
    """Differences between the attempts in a response and those known to the scheduler.

    Attributes
    ----------
    admitted
        Live attempts that the agent reports for the first time or in a new phase.
    ended
        Ended live attempts.
    unreported
        Live attempts that the agent had reported before and no longer reports.
    orphans
        Running attempts that the scheduler does not have as live.
    late
        Ended attempts that the scheduler does not have as live.
    """

    admitted: tuple[tuple[Attempt, TaskPhase], ...] = ()
    ended: tuple[tuple[Attempt, FinishedTask], ...] = ()
    unreported: tuple[Attempt, ...] = ()
    orphans: tuple[RunningTask, ...] = ()
    late: tuple[FinishedTask, ...] = ()


@dataclass(slots=True, eq=False)
class WorkerLink:
    """Protocol state of a worker.

    Attributes
    ----------
    listed, leaving
        Whether the platform lists the worker, and whether it lists it as leaving.
    is_synced
        Whether the agent has responded in this epoch and its leases have not expired since.
    uncommitted_ends
        Attempts whose end is not yet in the journal.
    suspected
        Whether the last call to the agent failed.
    received_ms
        Time of receipt of the newest response, initially the time of creation. No lease is
        renewed from a later time.
    """

    worker: str
    created_ms: float
    lease_ms: float
    margin_ms: float
    listed: bool = False
    leaving: bool = False
    is_synced: bool = False
    suspected: bool = False
    boot: str = ""
    agent_ms: float = -1.0
    received_ms: float = 0.0
    sequence: int = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)
    orphans: dict[str, Resources] = field(default_factory=dict)
    stop: dict[str, None] = field(default_factory=dict)
    checkpoint: dict[str, None] = field(default_factory=dict)
    throttle: dict[str, int] = field(default_factory=dict)
    ack: dict[str, None] = field(default_factory=dict)
    discard: dict[str, None] = field(default_factory=dict)
    uncommitted_ends: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.received_ms = self.created_ms
        self.sequence = int(self.created_ms * SEQUENCES_PER_MS)

    @property
    def lease_expires_at_ms(self) -> float:
        """Return the time at which every lease on the worker has certainly expired."""
        longest_lease_ms = max([self.lease_ms, *(item.lease_ms for item in self.attempts.values())])
        return self.received_ms + longest_lease_ms + self.margin_ms

    def has_starts(self) -> bool:
        """Return whether any start still has to be confirmed by the agent."""
        return self.is_synced and any(_needs_start(item) for item in self.attempts.values())

    def request(
        self, scheduler: str, epoch: int, wait_ms: float, command_of: Callable[[Attempt], str]
    ) -> SyncRequest:
        """Return the next request. Unconfirmed commands are repeated in every request."""
        self.sequence += 1
        return SyncRequest(
            scheduler=scheduler,
            epoch=epoch,
            sequence=self.sequence,
            lease_ms=self.lease_ms,
            wait_ms=wait_ms,
            echo_boot=self.boot,
            echo_ms=max(0.0, self.agent_ms),
            start=self._start_commands(command_of) if self.is_synced else (),
            stop=tuple(self.stop)[:MAX_COMMANDS_PER_REQUEST],
            checkpoint=tuple(self.checkpoint)[:MAX_COMMANDS_PER_REQUEST],
            throttle=tuple(
                ThrottleCommand(attempt=name, cpu_millis=limit)
                for name, limit in list(self.throttle.items())[:MAX_COMMANDS_PER_REQUEST]
            ),
            ack=tuple(self.ack)[:MAX_COMMANDS_PER_REQUEST],
            discard=tuple(self.discard)[:MAX_COMMANDS_PER_REQUEST],
        )

    def _start_commands(self, command_of: Callable[[Attempt], str]) -> tuple[StartCommand, ...]:
        commands = []
        for attempt in self.attempts.values():
            if not _needs_start(attempt):
                continue
            require(
                attempt.phase is not Phase.RESERVED,
                JOURNAL_FIRST,
                "An attempt would start before its journal record is committed",
                task=attempt.name,
            )
            attempt.sent = True
            commands.append(
                StartCommand(
                    attempt=attempt.name,
                    command=command_of(attempt),
                    size=Amounts.from_resources(attempt.charged),
                    hold=attempt.hold,
                )
            )
            if len(commands) == MAX_COMMANDS_PER_REQUEST:
                break
        return tuple(commands)

    def receive(self, response: SyncResponse, now_ms: float) -> AttemptReports | None:
        """Apply a response. Returns ``None`` if a newer response was applied before it."""
        same_boot = response.boot == self.boot
        if same_boot and response.agent_ms <= self.agent_ms:
            return None
        self.boot = response.boot
        self.agent_ms = response.agent_ms
        self.received_ms = now_ms
        self.is_synced = True
        running = {task.attempt: task for task in response.running}
        finished = {task.attempt: task for task in response.finished}
        self.ack = {name: None for name in self.ack if name in finished}
        self.discard = {name: None for name in self.discard if name in finished}
        self.stop = {name: None for name in self.stop if name not in finished}
        self.checkpoint = {name: None for name in self.checkpoint if name in running}
        self.throttle = {}
        return self._reports(running, finished)

    def _reports(
        self, running: dict[str, RunningTask], finished: dict[str, FinishedTask]
    ) -> AttemptReports:
        live = self.attempts
        return AttemptReports(
            admitted=tuple(
                (live[name], task.phase)
                for name, task in running.items()
                if name in live and live[name].phase.value != task.phase.value
            ),
            ended=tuple((live[name], task) for name, task in finished.items() if name in live),
            unreported=tuple(
                attempt
                for name, attempt in live.items()
                if attempt.is_reported and name not in running and name not in finished
            ),
            orphans=tuple(task for name, task in running.items() if name not in live),
            late=tuple(
                task
                for name, task in finished.items()
                if not (name in live or name in self.uncommitted_ends)
                and not (name in self.ack or name in self.discard)
            ),
        )


def _needs_start(attempt: Attempt) -> bool:
    if attempt.stop_cause or attempt.phase is Phase.RESERVED:
        return False
    return attempt.phase is Phase.COMMITTED or (attempt.phase is Phase.HELD and not attempt.hold)

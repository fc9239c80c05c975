"""Models of ``POST /v1/sync`` between a scheduler and the agent of a worker.

``docs/agent-protocol.md`` describes the rules that both sides follow.
"""

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from nutmeglb_formats.models.resources import Resources

AGENT_PROTOCOL_VERSION = 1
SYNC_PATH = "/v1/sync"
SYNC_LIMIT_BYTES = 4 * 1024 * 1024
MAX_ITEMS = 10_000

AttemptName = Annotated[str, Field(min_length=1, max_length=256)]


class AgentModel(BaseModel):
    """Base class of all models. Unknown fields are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Amounts(AgentModel):
    """Amounts of resources: processors in thousandths of a core, memory in bytes, accelerators."""

    cpu_millis: int = Field(0, ge=0)
    memory_bytes: int = Field(0, ge=0)
    accelerators: int = Field(0, ge=0)

    @classmethod
    def from_resources(cls, resources: Resources) -> "Amounts":
        """Return the amounts of a resource vector."""
        return cls(
            cpu_millis=resources.cpu_millis,
            memory_bytes=resources.memory_bytes,
            accelerators=resources.accelerators,
        )

    def resources(self) -> Resources:
        """Return the amounts as a resource vector."""
        return Resources(self.cpu_millis, self.memory_bytes, self.accelerators)


class TaskPhase(StrEnum):
    """Phase of an attempt that has not ended. A held attempt is admitted but not yet started."""

    HELD = "held"
    RUNNING = "running"


class TaskOutcome(StrEnum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LEASE_EXPIRED = "lease_expired"
    REFUSED = "refused"


class StartCommand(AgentModel):
    """Starts an attempt.

    Attributes
    ----------
    size
        Amounts that the attempt needs on the worker.
    hold
        Whether the agent only admits the attempt and waits for a second command without ``hold``.
    """

    attempt: AttemptName
    command: str = Field("", max_length=65_536)
    size: Amounts
    hold: bool = False


class ThrottleCommand(AgentModel):
    """Limits the processor time of an attempt to ``cpu_millis`` thousandths of a core."""

    attempt: AttemptName
    cpu_millis: int = Field(ge=0)


class SyncRequest(AgentModel):
    """Sent by the scheduler of a failure domain to an agent: commands and renewal of all leases.

    Attributes
    ----------
    scheduler
        Failure domain of the scheduler.
    epoch
        Epoch of the scheduler. The agent refuses an epoch lower than the highest it has seen.
    sequence
        Rises with every request of an epoch. The agent ignores the commands of a request that
        arrives after a later one.
    lease_ms
        Duration of the leases in milliseconds, from ``echo_ms`` on the agent's clock.
    wait_ms
        Longest time in milliseconds for which the agent may delay the response until it has
        something to report.
    echo_boot, echo_ms
        ``boot`` and ``agent_ms`` of the newest response that the scheduler has received.
    start
        Attempts to start or to admit.
    stop
        Attempts to stop.
    checkpoint
        Attempts that are to save their progress and end.
    throttle
        Limits on the processor time of attempts.
    ack
        Ended attempts to forget. The result of a successful attempt takes effect now.
    discard
        Ended attempts to forget whose results must not take effect, because another attempt has
        completed the task.
    """

    version: Literal[1] = 1
    scheduler: str = Field(min_length=1, max_length=64)
    epoch: int = Field(ge=1)
    sequence: int = Field(ge=1)
    lease_ms: float = Field(gt=0)
    wait_ms: float = Field(ge=0, le=60_000)
    echo_boot: str = Field("", max_length=64)
    echo_ms: float = Field(0.0, ge=0)
    start: tuple[StartCommand, ...] = Field((), max_length=MAX_ITEMS)
    stop: tuple[AttemptName, ...] = Field((), max_length=MAX_ITEMS)
    checkpoint: tuple[AttemptName, ...] = Field((), max_length=MAX_ITEMS)
    throttle: tuple[ThrottleCommand, ...] = Field((), max_length=MAX_ITEMS)
    ack: tuple[AttemptName, ...] = Field((), max_length=MAX_ITEMS)
    discard: tuple[AttemptName, ...] = Field((), max_length=MAX_ITEMS)


class RunningTask(AgentModel):
    """An attempt that the agent has admitted and that has not ended.

    Attributes
    ----------
    run_ms
        Time in milliseconds for which the attempt has run.
    """

    attempt: AttemptName
    phase: TaskPhase
    size: Amounts
    run_ms: float = Field(0.0, ge=0)


class FinishedTask(AgentModel):
    """An attempt that has ended or will never start. The agent reports it until acknowledged.

    Attributes
    ----------
    started
        Whether the attempt ever ran.
    run_ms
        Time in milliseconds for which the attempt ran.
    reason
        Explanation of an outcome other than success.
    """

    attempt: AttemptName
    outcome: TaskOutcome
    started: bool = True
    run_ms: float = Field(0.0, ge=0)
    reason: str = Field("", max_length=1_000)


class UsageReport(AgentModel):
    """Use of resources by an attempt, as measured ``age_ms`` milliseconds before the response."""

    attempt: AttemptName
    cpu_millis: int = Field(ge=0)
    memory_bytes: int = Field(ge=0)
    age_ms: float = Field(0.0, ge=0)


class SyncResponse(AgentModel):
    """Reply to ``SyncRequest``: complete state of the agent.

    Attributes
    ----------
    epoch
        Highest epoch that the agent has seen.
    boot
        Id that changes with every start of the agent. No task outlives its agent.
    agent_ms
        Time of the response in milliseconds on the agent's monotonic clock. It rises strictly with
        every response of a boot.
    capacity
        Total resources of the worker.
    """

    version: Literal[1] = 1
    epoch: int = Field(ge=0)
    boot: str = Field(min_length=1, max_length=64)
    agent_ms: float = Field(ge=0)
    capacity: Amounts
    rack: str = Field("", max_length=64)
    running: tuple[RunningTask, ...] = Field((), max_length=MAX_ITEMS)
    finished: tuple[FinishedTask, ...] = Field((), max_length=MAX_ITEMS)
    usage: tuple[UsageReport, ...] = Field((), max_length=MAX_ITEMS)


class EpochRefusal(AgentModel):
    """Body of a 409 response: the agent follows a scheduler with the higher epoch ``epoch``."""

    version: Literal[1] = 1
    epoch: int = Field(ge=0)

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
    """Base of all models: unknown fields are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Amounts(AgentModel):
    """Amounts of resources: millicores, bytes, accelerators."""

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
    """Phase of a task that has not ended."""

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
    """Start an attempt. With ``hold``, admit it and wait for a start without ``hold``."""

    attempt: AttemptName
    command: str = Field("", max_length=65_536)
    size: Amounts
    hold: bool = False


class ThrottleCommand(AgentModel):
    """Limit the processor time of an attempt, in millicores."""

    attempt: AttemptName
    cpu_millis: int = Field(ge=0)


class SyncRequest(AgentModel):
    """Commands and lease renewal.

    Attributes
    ----------
    scheduler
        Failure domain of the scheduler.
    sequence
        Rises with every request of an epoch. Commands of an overtaken request are ignored.
    echo_boot, echo_ms
        ``boot`` and ``agent_ms`` of the newest response that the scheduler has received. Leases
        run for ``lease_ms`` from ``echo_ms`` of the agent's clock.
    ack
        Ended attempts to forget. The result of a success takes effect now.
    discard
        Ended attempts to forget whose result must not take effect, because the task is complete
        through another attempt.
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
    """An attempt that the agent has admitted and that has not ended."""

    attempt: AttemptName
    phase: TaskPhase
    size: Amounts
    run_ms: float = Field(0.0, ge=0)


class FinishedTask(AgentModel):
    """An attempt that has ended or will never start. Kept until acknowledged.

    Attributes
    ----------
    started
        Whether the task ever ran.
    reason
        Explanation of an outcome other than success.
    """

    attempt: AttemptName
    outcome: TaskOutcome
    started: bool = True
    run_ms: float = Field(0.0, ge=0)
    reason: str = Field("", max_length=1_000)


class UsageReport(AgentModel):
    """Measured use of an attempt, ``age_ms`` milliseconds ago."""

    attempt: AttemptName
    cpu_millis: int = Field(ge=0)
    memory_bytes: int = Field(ge=0)
    age_ms: float = Field(0.0, ge=0)


class SyncResponse(AgentModel):
    """Complete state of the agent at ``agent_ms`` of its monotonic clock.

    Attributes
    ----------
    boot
        Changes with every start of the agent. No task outlives its agent.
    agent_ms
        Rises strictly with every response of a boot.
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
    """Body of a 409 response: the agent obeys a higher epoch."""

    version: Literal[1] = 1
    epoch: int = Field(ge=0)

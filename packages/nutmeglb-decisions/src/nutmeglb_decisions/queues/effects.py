"""What the scheduler of queues asks its surroundings to do."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order a worker to start a run.

    Attributes
    ----------
    ticket, ticket_until_ms
        Advice for the worker, and the monotonic time until which it is valid. Empty without advice.
    """

    worker_id: str
    task: str
    run: int
    body: str
    checkpoint: str
    ticket: str
    ticket_until_ms: float


@dataclass(frozen=True, slots=True)
class StopTask:
    """Order a worker to stop a run, until it answers."""

    worker_id: str
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Order a worker to let a run work at ``percent`` of its full speed."""

    worker_id: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which of the named workers may run a step. ``cost_ms`` is the expected duration."""

    step: str
    workers: tuple[str, ...]
    cost_ms: float


Effect = StartTask | StopTask | PaceTask | AskAdvice


@dataclass(frozen=True, slots=True)
class Decision:
    """One line of the decision log: what was decided about a job, and why."""

    kind: str
    cause: str
    job: str = ""
    task: str = ""
    worker: str = ""
    fields: tuple[tuple[str, object], ...] = ()

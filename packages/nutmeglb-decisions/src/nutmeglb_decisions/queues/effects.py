"""Effects that the queue scheduler requests, and lines of the decision log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTask:
    """Order a worker to start a run.

    Attributes
    ----------
    ticket, ticket_expires_at_ms
        Ticket of the placement advice for the worker, and the monotonic time at which it expires.
        The ticket is empty if the step needs no advice.
    """

    worker_id: str
    task: str
    run: int
    body: str
    checkpoint: str
    ticket: str
    ticket_expires_at_ms: float


@dataclass(frozen=True, slots=True)
class StopTask:
    """Order a worker to stop a run. The order is repeated until the worker answers."""

    worker_id: str
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class PaceTask:
    """Order a worker to throttle a run to ``percent`` of its full speed."""

    worker_id: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request advice on which of the workers may run a step.

    Attributes
    ----------
    cost_ms
        Expected duration of the call.
    incarnations
        Start times of the workers that the answer will be about, in the order of ``workers``.
    """

    step: str
    workers: tuple[str, ...]
    cost_ms: float
    incarnations: tuple[int, ...]


Effect = StartTask | StopTask | PaceTask | RequestAdvice


@dataclass(frozen=True, slots=True)
class Decision:
    """One line of the decision log: what was decided, and why."""

    kind: str
    cause: str
    job: str = ""
    task: str = ""
    worker: str = ""
    fields: tuple[tuple[str, object], ...] = ()

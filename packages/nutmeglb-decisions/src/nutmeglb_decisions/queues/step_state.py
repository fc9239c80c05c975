"""Advice, plans, holds and forecasts of a step in the queue scheduler."""

import math
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class AdviceState:
    """Placement advice for a step.

    Attributes
    ----------
    asked
        Per worker named so far: the start time of the incarnation that the answer is about.
    good
        Workers that advice approved for the step.
    tickets
        Per worker: the ticket and its expiry time.
    call_deadline_ms
        Time at which the outstanding call counts as lost; 0 if there is none.
    not_before_ms
        Time of the next check whether the step needs a call.
    idle_since_ms
        Time from which the step has had no run, as seen at the checks; ``None`` if it has one.
    widened_ms
        Time of the last call about further workers because the approved ones offered no room.
    called_ms, turn_ms
        Time of the last call, and of the last pass that kept a call free for the step.
    """

    asked: dict[str, int] = field(default_factory=dict)
    good: set[str] = field(default_factory=set)
    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    call_deadline_ms: float = 0.0
    not_before_ms: float = 0.0
    idle_since_ms: float | None = None
    widened_ms: float = -math.inf
    called_ms: float = -math.inf
    turn_ms: float = -math.inf


@dataclass(slots=True, eq=False)
class Deferral:
    """Consecutive unexpected errors of a step without a start, and until when it is deferred."""

    failures: int = 0
    until_ms: float = 0.0


@dataclass(slots=True, eq=False)
class GangPlan:
    """Workers on which a gang waits for capacity.

    Attributes
    ----------
    counts
        Planned number of tasks per worker.
    next_review_ms
        Time of the next search for a better plan.
    start_ms
        Expected start, as last computed.
    """

    counts: dict[str, int]
    next_review_ms: float
    start_ms: float


@dataclass(frozen=True, slots=True)
class RoomHold:
    """Capacity of one worker that is kept for a step, because runs were stopped for it.

    Attributes
    ----------
    count
        Number of tasks of the step that the capacity is for.
    since_ms
        Tasks that start on the worker from this time on use the hold.
    expires_at_ms
        Time at which the capacity is given up.
    """

    count: int
    since_ms: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected durations of a step and its job, cached for a short time.

    Attributes
    ----------
    remaining_ms
        Length of the critical path from the step on.
    objective_ms
        Time within which the caller expects the whole job to end.
    expires_at_ms
        Time at which the forecast is computed again.
    """

    remaining_ms: float
    objective_ms: float
    expires_at_ms: float

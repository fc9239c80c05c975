"""Jobs whose end is stored, as status queries see them."""

from dataclasses import dataclass

from nutmeglb_decisions.queues.state import JobState


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """Queue, final state, wall-clock end time and team of a finished job."""

    queue: str
    state: JobState
    finished_ms: float
    team: str = ""

"""Jobs whose end is stored, as status queries see them."""

from dataclasses import dataclass

from nutmeglb_decisions.queues.state import JobState


@dataclass(frozen=True, slots=True)
class FinishedJob:
    """Queue, final state, wall-clock end time and team of a finished job.

    Attributes
    ----------
    queue
        Key of the queue; its name if an earlier release stored the end of the job.
    """

    queue: str
    state: JobState
    finished_ms: float
    team: str = ""

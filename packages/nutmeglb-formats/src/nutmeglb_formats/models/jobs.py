"""Jobs as callers submit them, and their state as shown to callers and operators."""

from dataclasses import dataclass
from enum import StrEnum

from nutmeglb_formats.models.config import JobKind, RequestClass
from nutmeglb_formats.models.resources import Resources


class JobState(StrEnum):
    """State of a job."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class WaitReason(StrEnum):
    """Why a job waits. ``JobView.why`` explains the reason in words."""

    NONE = "none"
    QUEUED = "queued"
    FITS_NOWHERE = "fits_nowhere"
    QUOTA = "quota"
    GANG_HOLD = "gang_hold"
    QUARANTINE = "quarantine"
    BACKOFF = "backoff"
    STORE_OUTAGE = "store_outage"
    NO_LEADER = "no_leader"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    Attributes
    ----------
    submission_id
        Id chosen by the caller. Repeated submissions with the same id are one job.
    resources
        Amounts that one task needs.
    run_ms
        Declared run time of a task in milliseconds. It is only an estimate.
    command
        Opaque text passed to the worker agent.
    """

    submission_id: str
    name: str
    team: str
    kind: JobKind
    tasks: int
    resources: Resources
    job_class: RequestClass = RequestClass.DEFERRED
    run_ms: float = 60_000.0
    preemptible: bool = True
    command: str = ""


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job as shown to its team and to operators.

    Attributes
    ----------
    job_id
        ``<failure domain>.<uuid>``.
    waiting, running, finished
        Number of tasks in each state.
    submitted_ms
        Wall-clock time of acceptance in milliseconds since the Unix epoch.
    why
        Explanation of ``wait_reason`` in one sentence.
    """

    job_id: str
    spec: JobSpec
    state: JobState
    waiting: int
    running: int
    finished: int
    submitted_ms: float
    wait_reason: WaitReason = WaitReason.NONE
    why: str = ""

"""Queues of multi-step jobs: configuration, jobs and the workers that run their tasks."""

from dataclasses import dataclass, field

from nutmeglb_formats.models.resources import Resources


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Cost and validity of placement advice for one queue.

    Attributes
    ----------
    decide_ms, per_worker_ms
        Duration of one call: a fixed part and a part per named worker.
    valid_ms
        Validity of the tickets in an answer.
    """

    decide_ms: float
    per_worker_ms: float
    valid_ms: float

    def call_ms(self, workers: int) -> float:
        """Return the duration in milliseconds of a call that names ``workers`` workers."""
        return self.decide_ms + self.per_worker_ms * workers


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue and the policy of its jobs.

    Attributes
    ----------
    priority
        0 is the highest.
    attempts
        Failed runs after which a task, or a gang, has failed for good.
    stretch, slack_ms
        Objective of a job: ``stretch`` times its longest chain of work plus ``slack_ms``.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    slack_ms: float
    advice: AdviceTiming | None = None


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """The configuration of all queues in force. ``revision`` orders the versions."""

    version: int
    revision: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job: ``count`` equal tasks.

    Attributes
    ----------
    after
        Indices of earlier steps that must have completed.
    gang
        The tasks run only together and end together.
    max_per_worker
        Largest number of tasks on one worker; 0 means no limit.
    checkpoints
        The tasks save their progress, so a restart resumes.
    lasting
        The tasks run until the job is cancelled and restart however they end.
    fills
        The processors of the tasks are not charged to a worker; they use what others leave.
    tail_target_ms
        For lasting tasks: bound of the tail of their response time; 0 means none.
    may_miss
        Tasks of the step that may be away at once through our own actions; ``None`` means any.
    """

    count: int
    needs: Resources
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    checkpoints: bool = False
    copies: bool = False
    lasting: bool = False
    fills: bool = False
    image: str = ""
    tail_target_ms: float = 0.0
    may_miss: int | None = None

    @property
    def charged(self) -> Resources:
        """Return what one task takes of a worker's capacity."""
        if not self.fills:
            return self.needs
        return Resources(0, self.needs.memory_bytes, self.needs.accelerators)


@dataclass(frozen=True, slots=True)
class QueueJob:
    """An accepted job.

    Attributes
    ----------
    queue
        Policy at the time of acceptance; used when the queue is no longer configured.
    body
        Opaque text for the tasks.
    repeats, first_ms, interval_ms
        Number of occurrences (0: the steps run once, now), wall-clock time of the first, distance.
    accepted_ms
        Wall-clock time of acceptance in milliseconds.
    nonce
        Random value of the accepting call. It tells two submissions of one id apart.
    """

    job_id: str
    queue: Queue
    body: str
    steps: tuple[StepSpec, ...]
    repeats: int
    first_ms: float
    interval_ms: float
    accepted_ms: float
    nonce: str


@dataclass(frozen=True, slots=True)
class QueueWorker:
    """A worker as it describes itself in the platform's store.

    Attributes
    ----------
    started_ms
        Wall-clock time of the start of this incarnation. It tells incarnations of one id apart.
    remaining_ms
        While draining: time that is left at least; ``None`` when the worker does not say.
    """

    worker_id: str
    service: str
    address: str
    domain: str
    rack: str
    labels: frozenset[str]
    capacity: Resources
    draining: bool
    started_ms: int
    remaining_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker reports as present.

    Attributes
    ----------
    percent
        Share of its full speed at which the task works, 0 to 100.
    activity
        Processors in use in thousandths of a core, or the tail in milliseconds of a task with a
        tail target. ``None`` when the worker does not report it.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    activity: int | None = None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An end that a worker reports. ``number`` rises with each end of an incarnation."""

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a renewal of its lease."""

    clock_ms: float
    started_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Durable progress of one step of one occurrence.

    Attributes
    ----------
    workers
        Ids of all workers to which a task of the step may have been sent.
    done
        Indices of completed tasks.
    failures
        Pairs of task index and number of a failed run. The index of a gang is 0.
    """

    occurrence: int
    step: int
    workers: list[str] = field(default_factory=list)
    done: list[int] = field(default_factory=list)
    failures: list[list[int]] = field(default_factory=list)

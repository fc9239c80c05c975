"""Queues of multi-step jobs: their configuration, their jobs and the workers that run the tasks."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NewType

from nutmeglb_formats.codec import OMITTED_IF_EMPTY
from nutmeglb_formats.models.resources import Resources

# Identifies a queue by its address. Operators may rename a queue, and give its name to another one.
QueueKey = NewType("QueueKey", str)
# No name of a queue begins with it, so that records of earlier releases, which contain names, can
# be distinguished.
_KEY_START = "//"


def queue_key(host: str, prefix: str) -> QueueKey:
    """Return the key of the queue at an address."""
    return QueueKey(f"{_KEY_START}{host}{prefix}")


def is_queue_key(text: str) -> bool:
    """Return whether a stored or received text is a key, and not a name, of a queue."""
    return text.startswith(_KEY_START)


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Duration of calls to the advice service, and validity of its advice, for one queue.

    Attributes
    ----------
    decide_ms, per_worker_ms
        Duration of one call in milliseconds: a fixed part, and a part for each named worker.
    valid_ms
        Time in milliseconds for which the tickets in an answer are valid.
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
    name
        Name in the configuration, for logs. It may change, and move to another queue.
    host, prefix
        Host name and path prefix of the HTTP requests that belong to the queue. They identify it.
    service
        Service whose workers run the tasks.
    priority
        Rank of the queue; 0 is the highest.
    attempts
        Number of failed runs after which a task, or a gang, has failed for good.
    stretch, slack_ms
        Target duration of a job: ``stretch`` times the duration of its longest chain of steps, plus
        ``slack_ms`` milliseconds.
    advice
        Timing of placement advice; ``None`` if the queue needs none.
    public
        Whether calls need no key although teams are configured.
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
    public: bool = False

    @property
    def key(self) -> QueueKey:
        """Return the key of the queue."""
        return queue_key(self.host, self.prefix)


@dataclass(frozen=True, slots=True)
class Team:
    """A team whose jobs share the workers with those of other teams.

    Attributes
    ----------
    priority
        Rank of the team as configured; 0 is the highest.
    weight
        Relative share of the team when all capacity is in use. Also the number of jobs a second
        that the team may expect to be served.
    limit
        Largest amount of each resource that the team may use on all workers together; 0 means no
        limit.
    """

    name: str
    priority: int
    weight: float
    limit: Resources


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """The configuration of all queues in force.

    Attributes
    ----------
    version
        Version number in the platform's configuration.
    revision
        Store revision of the configuration, which orders the versions.
    services
        Names of all services.
    max_body_bytes
        Largest body of a submission in bytes, as configured. The frontend has its own fixed
        limit and does not use this value.
    teams
        Teams by name; ``None`` if the configuration knows no teams, and calls then need no key.
    team_names_by_key
        Name of the team of each key. Left out of ``repr``, since keys must not appear in logs.
    """

    version: int
    revision: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    max_body_bytes: int
    teams: Mapping[str, Team] | None = None
    team_names_by_key: Mapping[str, str] = field(default_factory=dict, repr=False)


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step of a job: ``count`` identical tasks.

    ``checkpoints``, ``copies``, ``image``, ``tail_target_ms`` and ``may_miss`` are stored as
    submitted, but the scheduler does not use them.

    Attributes
    ----------
    needs
        Resources that one task needs.
    estimate_ms
        Estimated run time of a task in milliseconds; 0 when unknown.
    after
        Indices of earlier steps that must be complete before this one starts.
    gang
        Whether all tasks start and end together.
    same_rack
        For gangs: whether to place all tasks in one rack if one has the capacity.
    required_label
        Label that a worker must have; empty means none.
    preferred_rack
        Rack in which workers are preferred; empty means none.
    max_per_worker
        Largest number of tasks on one worker; 0 means no limit.
    checkpoints
        Whether the tasks save their progress, so that a restart resumes from it.
    copies
        Whether several copies of a task may run at the same time.
    lasting
        Whether the tasks run until the job is cancelled and are restarted whenever they end.
    fills
        Whether the processors of the tasks are not charged to the worker. Such tasks use the
        processor time that other tasks leave idle.
    image
        Image that the tasks need.
    tail_target_ms
        For lasting tasks: upper bound of their tail latency in milliseconds; 0 means none.
    may_miss
        Number of the step's tasks that may be missing at the same time because of the scheduler's
        own actions; ``None`` means no limit.
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
        """Return the part of a worker's capacity that one task occupies."""
        if not self.fills:
            return self.needs
        return Resources(0, self.needs.memory_bytes, self.needs.accelerators)


@dataclass(frozen=True, slots=True)
class QueueJob:
    """An accepted job.

    Attributes
    ----------
    queue
        The queue at the time of acceptance, used when it is no longer configured.
    body
        Opaque text passed to the tasks.
    repeats
        Number of occurrences; 0 means that the steps run once, without delay.
    first_ms
        Wall-clock time of the first occurrence in milliseconds since the Unix epoch.
    interval_ms
        Time in milliseconds between the starts of two occurrences.
    accepted_ms
        Wall-clock time of acceptance in milliseconds since the Unix epoch.
    nonce
        Random value of the accepting call, which distinguishes two submissions of one id.
    team
        Name of the team whose key the submission carried; empty without one. It stays the same when
        the team's keys change.
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
    team: str = ""


@dataclass(frozen=True, slots=True)
class QueueWorker:
    """A worker as it describes itself in the platform's store.

    Attributes
    ----------
    started_ms
        Wall-clock time in milliseconds at which this incarnation started. It distinguishes the
        incarnations of one worker id.
    remaining_ms
        While draining: shortest time in milliseconds until the worker stops; ``None`` when the
        worker does not announce it. Not used by the scheduler.
    machine
        Name of the machine, which stays the same over the lives of a worker; empty when unknown.
    revision
        Store revision of the entry; 0 when unknown.
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
    machine: str = ""
    revision: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run in progress, as its worker reports it.

    Attributes
    ----------
    run
        Number of the run of the task.
    checkpoint
        Last checkpoint of the run; empty when there is none.
    percent
        Progress of the task in percent of its work, 0 to 100. Of a lasting task: 100 when it is at
        work. A member of a gang that has finished its part shows 100 until the others have.
    activity
        Processors in use in thousandths of a core or, for a task with a tail target, its tail
        latency in milliseconds. ``None`` when the worker does not report it.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    activity: int | None = None


@dataclass(frozen=True, slots=True)
class EndedTask:
    """An ended run, as its worker reports it.

    Attributes
    ----------
    number
        Number of the end, which rises with every ended run of a worker's incarnation.
    """

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a renewal of its lease.

    Attributes
    ----------
    clock_ms
        Time in milliseconds on the worker's clock.
    started_ms
        Wall-clock time in milliseconds at which the worker's incarnation started.
    """

    clock_ms: float
    started_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True, slots=True)
class StepProgress:
    """Durable progress of one step of one occurrence.

    Attributes
    ----------
    occurrence, step
        Number of the occurrence, and index of the step in the job.
    workers
        Ids of all workers to which a task of the step may have been sent.
    done
        Indices of completed tasks.
    failures
        Pairs of the index of a task and the number of its failed run. The index of a gang is 0.
    losses
        Rows of the index of a task, the number of a run that was lost with its worker, and flags.
        Releases that do not know the field ignore it, and records without losses leave it out.
    reserved
        Rows of the index of a task, the number of a run that is about to start, and the id and the
        start time of a worker on which it may start. Ignored and left out like ``losses``.
    """

    occurrence: int
    step: int
    workers: list[str] = field(default_factory=list)
    done: list[int] = field(default_factory=list)
    failures: list[list[int]] = field(default_factory=list)
    losses: list[list[int]] = field(default_factory=list, metadata=OMITTED_IF_EMPTY)
    reserved: list[tuple[int, int, str, int]] = field(
        default_factory=list, metadata=OMITTED_IF_EMPTY
    )

"""Stored records of queues. Each is ``[type code, version, fields]`` in CBOR. Codes 700 to 799."""

from dataclasses import dataclass, field
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import StoredValueError
from nutmeglb_formats.models.queues import QueueJob, StepProgress

QUEUE_RECORDS = TypeRegistry()
record = QUEUE_RECORDS.register

INCOMPATIBLE_RECORD_HINT = "Run a release of nutmeglb that knows this version, or remove the key"


@record(700, 1)
@dataclass(frozen=True, slots=True)
class AcceptedJob:
    """Value of ``in/<job id>``: an accepted job. Written by the instance that accepts the job."""

    job: QueueJob


@record(701, 1)
@dataclass(frozen=True, slots=True)
class WithdrawnJob:
    """Value of ``in/<job id>`` after a submission was refused whose write may still be in flight.

    Written by earlier releases only. Cancellations of jobs that are not stored use keys of their
    own instead (``withdrawal_marks``).

    Attributes
    ----------
    nonce
        Random value of the refused submission.
    """

    nonce: str


@record(702, 2, added=1)
@dataclass(frozen=True, slots=True)
class JobProgress:
    """Durable progress of a job, written by the leader.

    Value of ``st/<job id>`` until the job is finished, and of ``fin/<job id>`` from then on.

    Attributes
    ----------
    queue
        Key of the queue. Earlier releases stored its name.
    final
        Final state; empty while the job is not finished.
    finished_ms
        Wall-clock time of the end of the job in milliseconds since the Unix epoch.
    completed
        Numbers of the completed occurrences.
    steps
        Progress of the steps that have any, in all occurrences.
    team
        Name of the team of the job; empty without one. Added in version 2.
    """

    queue: str
    final: str
    finished_ms: float
    completed: list[int]
    steps: list[StepProgress]
    team: str = ""


@record(703, 1)
@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Value of the leader key: the instance that leads the queues.

    Attributes
    ----------
    incarnation
        Random value of the process, which distinguishes it from others under the same id.
    address
        ``host:port`` of the leader's listener for its followers.
    term
        Number of the leader's term. It rises with every leader.
    secret
        Secret with which followers authenticate to the leader.
    """

    instance_id: str
    incarnation: str
    address: str
    term: int
    secret: str


@record(704, 1)
@dataclass(frozen=True, slots=True)
class Counter:
    """Value of a key that orders writes: a number and the random value of its writer."""

    number: int
    writer: str


@record(705, 1)
@dataclass(frozen=True, slots=True)
class Waits:
    """How long leaders have waited for absent workers, written by a leader that steps down.

    The next leader waits for a worker only for the rest of the time.

    Attributes
    ----------
    term
        Number of the term that ended. Only the leader of the next term may use the record.
    waited
        Pairs of worker id and time in milliseconds that leaders have waited for the worker so far.
    """

    term: int
    waited: list[tuple[str, float]]


@dataclass(frozen=True, slots=True)
class LearnedSpeed:
    """Learned speed of one machine, in thousandths.

    Attributes
    ----------
    log_slowness, variance
        Natural logarithm of the ratio of run times to those on an average machine, and its
        variance.
    """

    machine: str
    log_slowness: int
    variance: int


@dataclass(frozen=True, slots=True)
class LearnedRunTimes:
    """Regression of true run times of a queue on declared ones, both as logarithms of milliseconds.

    Attributes
    ----------
    queue
        Key of the queue. Earlier releases stored its name.
    weight, mean_x, mean_y, spread_x, spread_xy
        Number of steps, means of the declared and the true run times, and sums of squared
        deviations and of products.
    variance
        Mean squared error.
    """

    queue: str
    weight: float
    mean_x: float
    mean_y: float
    spread_x: float
    spread_xy: float
    variance: float


@record(706, 1)
@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a leader has learned of machines and run times, as a hint for the next one."""

    speeds: list[LearnedSpeed]
    run_times: list[LearnedRunTimes]


@dataclass(frozen=True, slots=True)
class WorkerAddress:
    """Where an incarnation of a worker serves.

    Attributes
    ----------
    started_ms
        Wall-clock time in milliseconds at which the incarnation started.
    """

    worker_id: str
    service: str
    address: str
    started_ms: int


@record(707, 3, added=2)
@dataclass(frozen=True, slots=True)
class WorkerAddresses:
    """Addresses of the workers that a leader knows, as a hint for the next one.

    Entries of crashed workers leave the store, but steps wait for the workers that are stored as
    possibly used. The next leader finds out at their addresses whether they have ended.

    Attributes
    ----------
    leaving
        Worker id and start time of the incarnations that have announced that they leave. Added in
        version 2.
    unsettled
        Workers whose runs of a former incarnation may not be stored as ended yet. Added in
        version 3.
    """

    workers: list[WorkerAddress]
    leaving: list[tuple[str, int]] = field(default_factory=list)
    unsettled: list[str] = field(default_factory=list)


def encode_queue_record(value: object) -> bytes:
    """Encode a registered record."""
    return cbor2.dumps(QUEUE_RECORDS.to_items(value))


def decode_queue_record(data: bytes, key: str) -> Result[Any, StoredValueError]:
    """Decode a record. Never raises on bad input."""
    items = load_cbor(data)
    if isinstance(items, Ok):
        items = QUEUE_RECORDS.from_items(items.ok_value)
    if isinstance(items, Err):
        context = {"key": key, "cause": items.err_value}
        return Err(
            StoredValueError(
                "A stored record is malformed", context=context, hint=INCOMPATIBLE_RECORD_HINT
            )
        )
    return items

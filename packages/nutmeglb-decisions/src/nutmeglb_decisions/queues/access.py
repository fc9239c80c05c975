"""Decides whether a call may use a queue, for which team, and which jobs it may see.

Load pattern: keys are added and removed while instances lose their connection to the store. A
negative answer (unknown queue, unknown key) requires a configuration that was confirmed recently;
with an older one the instance cannot tell, and the caller may retry.
"""

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from nutmeglb_formats.models.queues import (
    Queue,
    QueueConfig,
    QueueKey,
    is_queue_key,
    queue_key,
)

JOB_ID_LENGTH = 16
JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")


class Denial(StrEnum):
    """Reason why a call is not served.

    ``QUEUE_UNCONFIRMED``, ``KEY_UNCONFIRMED`` and ``KEY_EXPIRED`` mean that this instance does not
    know the current configuration.
    """

    QUEUE_UNKNOWN = "queue_unknown"
    QUEUE_UNCONFIRMED = "queue_unconfirmed"
    KEY_UNKNOWN = "key_unknown"
    KEY_UNCONFIRMED = "key_unconfirmed"
    KEY_EXPIRED = "key_expired"


@dataclass(frozen=True, slots=True)
class AccessLimits:
    """How long an instance that lost the store relies on its configuration.

    Attributes
    ----------
    negative_age_ms
        Largest age in milliseconds of the confirmation of a configuration that is the reason for
        a negative answer.
    known_key_age_ms
        The same for calls with a known key.
    key_required
        Whether calls need a key also while the configuration has no team.
    """

    negative_age_ms: float
    known_key_age_ms: float = math.inf
    key_required: bool = False


@dataclass(frozen=True, slots=True)
class Caller:
    """On whose behalf a call is made.

    Attributes
    ----------
    team
        Team whose key the call carries; empty without one.
    sees_all
        Whether the call may see the jobs of every team.
    """

    team: str = ""
    sees_all: bool = False

    def may_see(self, team: str) -> bool:
        """Return whether the call may see a job of a team. Jobs without a team are open to all."""
        return self.sees_all or not team or team == self.team


ANY_CALLER = Caller(sees_all=True)


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted call."""

    queue: Queue
    caller: Caller


@dataclass(frozen=True, slots=True)
class JobAddress:
    """The address of a job: that of the queue that it was submitted to, and its id."""

    queue: QueueKey
    job_id: str


def parse_job_address(host: str, path: str) -> JobAddress | None:
    """Return the address of the job that a call names, or ``None`` if the path names no job.

    It does not depend on the configuration. While a job exists, its queue may be removed, and calls
    to its address may be served by a queue with a longer or a shorter prefix.
    """
    prefix, job_id = path[:-JOB_ID_LENGTH], path[-JOB_ID_LENGTH:]
    if not JOB_ID_PATTERN.fullmatch(job_id):
        return None
    return JobAddress(queue_key(host, prefix), job_id)


@dataclass(frozen=True, slots=True)
class JobCall:
    """An admitted call about a job.

    A job belongs to the address and the team that it was submitted for. Submission, query and
    cancellation ask ``concerns`` whether a job with the id is the one that the call is about.

    Attributes
    ----------
    admission
        How the call was admitted, possibly by a queue other than that of the address.
    config
        Configuration by which the call was admitted.
    """

    address: JobAddress
    admission: Admission
    config: QueueConfig | None = None

    @property
    def job_id(self) -> str:
        """Return the id that the call names."""
        return self.address.job_id

    @property
    def caller(self) -> Caller:
        """Return on whose behalf the call is made.

        A public queue opens only its own jobs to every caller, and not those of other queues.
        """
        queue, caller = self.admission.queue, self.admission.caller
        if queue.public and queue.key != self.address.queue:
            return Caller(caller.team)
        return caller

    def concerns(self, queue: str, team: str) -> bool:
        """Return whether a job with the id of the call is the one that the call is about.

        Parameters
        ----------
        queue
            Key of the job's queue; its name if an earlier release stored it.
        team
            Team of the job; empty if it has none.
        """
        if not self.caller.may_see(team):
            return False
        if is_queue_key(queue):
            return queue == self.address.queue
        if self.config is None:
            return False
        # The address of a queue that is no longer configured under its stored name is unknown.
        found = find_queue_key(self.config, queue)
        return found is None or found == self.address.queue


def find_queue_key(config: QueueConfig | None, queue: str) -> QueueKey | None:
    """Return the key of a queue that is given by its key, or by its name as in earlier releases.

    A name that is not configured has no key.
    """
    if is_queue_key(queue):
        return QueueKey(queue)
    queues = config.queues if config is not None else ()
    return next((known.key for known in queues if known.name == queue), None)


class QueueIndex:
    """Queues by host and path prefix.

    A lookup takes one hash access per distinct prefix length of the host, so its duration does not
    depend on the number of queues.
    """

    def __init__(self, queues: Iterable[Queue] = ()) -> None:
        self._by_host: dict[str, dict[str, Queue]] = {}
        for queue in queues:
            # Of queues with equal prefixes the first one counts.
            self._by_host.setdefault(queue.host, {}).setdefault(queue.prefix, queue)
        self._lengths = {
            host: sorted({len(prefix) for prefix in queues_by_prefix}, reverse=True)
            for host, queues_by_prefix in self._by_host.items()
        }

    def find(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path, or ``None``."""
        queues_by_prefix: Mapping[str, Queue] = self._by_host.get(host, {})
        for length in self._lengths.get(host, ()):
            queue = queues_by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


def decide_access(
    config: QueueConfig | None,
    queue: Queue | None,
    key: str,
    age_ms: float,
    limits: AccessLimits,
) -> Admission | Denial:
    """Admit a call to a queue, or deny it.

    Parameters
    ----------
    queue
        Queue of the call in ``config``; ``None`` if there is none.
    key
        Key of the call; empty without one.
    age_ms
        Time in milliseconds since the store last confirmed that ``config`` is the newest one.
    """
    is_current = config is not None and age_ms <= limits.negative_age_ms
    if config is None or queue is None:
        return Denial.QUEUE_UNKNOWN if is_current else Denial.QUEUE_UNCONFIRMED
    if not config.teams and not limits.key_required:
        return Admission(queue, ANY_CALLER)
    team = config.team_names_by_key.get(key, "") if key else ""
    if queue.public:
        return Admission(queue, Caller(team, sees_all=True))
    if not team:
        return Denial.KEY_UNKNOWN if is_current else Denial.KEY_UNCONFIRMED
    if age_ms > limits.known_key_age_ms:
        return Denial.KEY_EXPIRED
    return Admission(queue, Caller(team))

"""Interfaces through which the queue scheduler uses the platform."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.exceptions import AgentError, NutmegError, StoredValueError, StoreError
from nutmeglb_formats.models.queues import QueueConfig, QueueWorker, WorkerReport

# Concurrent calls to one worker, each on a connection: a renewal, which may wait for an end, and
# orders. A worker accepts 64 connections. Those of a former leader that is frozen, cut off or
# without power stay open, so this leaves room for the present leader beside eleven such leaders.
MAX_CALLS_PER_WORKER = 5


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A stored value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a key at a revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Values under a prefix, complete up to ``revision``."""

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in the order of their revisions, complete up to ``revision``.

    If ``history_lost`` is set, the store no longer has all of the changes. The values must then be
    read again.
    """

    changes: tuple[StoredItem | Removal, ...]
    revision: int
    history_lost: bool = False


@dataclass(frozen=True, slots=True)
class StoredPut:
    """A write. The value is removed when ``lease`` ends; 0 means no lease."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """Result of a transaction.

    Attributes
    ----------
    applied
        Whether all conditions held, so that the writes took effect.
    revision
        Revision of the writes, if applied.
    found
        Current values of the keys in the conditions, if not applied. Absent keys are missing.
    """

    applied: bool
    revision: int = 0
    found: Mapping[str, StoredItem] | None = None


class QueueStore(Protocol):
    """The platform's key-value store with revisions, leases and watches."""

    async def get(self, key: str) -> Result[StoredItem | None, StoreError]:
        """Return one value."""

    async def range(self, prefix: str, *, large: bool = False) -> Result[Listing, StoreError]:
        """Return all values under a prefix. ``large`` extends the timeout for full pages."""

    async def changes(
        self, prefix: str, after: int, wait_ms: int, *, large: bool = False
    ) -> Result[Changes, StoreError]:
        """Return the changes after a revision, waiting up to ``wait_ms`` for the first.

        ``large`` extends the timeout for large changes.
        """

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[StoredPut],
        removals: Sequence[str] = (),
    ) -> Result[Commit, StoreError]:
        """Apply all writes atomically if every key in ``expected`` has that revision.

        Revision 0 requires the key to be absent.
        """

    async def lease_grant(self, ttl_ms: int) -> Result[int, StoreError]:
        """Create a lease and return its id."""

    async def lease_keep_alive(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease. Return whether it still exists."""

    async def lease_revoke(self, lease: int) -> Result[None, StoreError]:
        """Revoke a lease, which removes its keys."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run.

    Attributes
    ----------
    deadline_ms
        End of the lease of the worker's runs, on the worker's clock.
    fence
        Fencing token of the leader's term.
    """

    task: str
    run: int
    body: str
    checkpoint: str
    ticket: str
    deadline_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to an order.

    Attributes
    ----------
    fenced
        Whether the worker refused the order since it has accepted a higher fencing token.
    clock_ms
        Time on the worker's clock, if the answer contains it.
    """

    outcome: StartOutcome
    fenced: bool = False
    clock_ms: float | None = None


class WorkerGateway(Protocol):
    """Calls to workers during one term. A call without an answer may have been executed."""

    def close(self) -> int:
        """Close all connections. Return the number of calls that were in progress."""

    async def start(self, worker: QueueWorker, order: StartOrder) -> OrderAnswer:
        """Order a worker to start a run."""

    async def stop(self, worker: QueueWorker, task: str, run: int, fence: int) -> OrderAnswer:
        """Order a worker to stop a run."""

    async def pace(
        self, worker: QueueWorker, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Set the speed of a run in percent of its full speed."""

    async def hold(
        self,
        worker: QueueWorker,
        fence: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, AgentError]:
        """Renew the lease of all runs of a worker and return its report.

        Parameters
        ----------
        last_seen
            Sequence number of the latest end of a run whose effects are stored. The worker may
            discard ends up to it.
        deadline_ms
            End of the lease on the worker's clock; ``None`` only requests the report.
        wait_ms
            How long the worker may wait for the end of a run before it answers.
        """


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the advice service.

    Attributes
    ----------
    tickets
        Pairs of a worker and its ticket, for the workers that may run the step.
    valid_ms
        How long the tickets are valid.
    refused
        Whether the service refused the call since too many are waiting.
    """

    tickets: tuple[tuple[str, str], ...]
    valid_ms: float
    refused: bool = False


class AdviceClient(Protocol):
    """The platform's placement advice service."""

    async def request_advice(
        self, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        """Request tickets for the workers that may run a step."""


class Platform(Protocol):
    """Services of the platform that the queue scheduler uses, in the terms of nutmeglb."""

    config_key: str
    workers_prefix: str
    store: QueueStore
    advice: AdviceClient | None

    def connect_workers(self) -> WorkerGateway:
        """Return a gateway to the workers with connections of its own, to be closed by the caller.

        Every worker limits the connections that it accepts from all instances together.
        """

    async def decode_config(self, item: StoredItem) -> Result[QueueConfig, StoredValueError]:
        """Decode the operators' configuration. Other tasks run between parts of a large one."""

    def decode_worker(self, item: StoredItem) -> Result[QueueWorker, StoredValueError]:
        """Decode the entry of a worker."""

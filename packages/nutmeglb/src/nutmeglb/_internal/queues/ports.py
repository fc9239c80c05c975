"""Interfaces between the queues and the platform that they run on."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.exceptions import AgentError, NutmegError, StoredValueError, StoreError
from nutmeglb_formats.models.queues import QueueConfig, QueueWorker, WorkerReport


@dataclass(frozen=True, slots=True)
class StoredItem:
    """A stored value. ``revision`` is that of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at ``revision``."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Values under a prefix. Changes after ``revision`` are not contained for certain."""

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes in order. ``history_lost``: read the values again and continue from there."""

    changes: tuple[StoredItem | Removal, ...]
    revision: int
    history_lost: bool = False


@dataclass(frozen=True, slots=True)
class StoredPut:
    """A write. ``lease`` 0 means that the value stays."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """Result of a transaction.

    Attributes
    ----------
    applied
        Whether all conditions held.
    revision
        Revision of the change when it was applied.
    found
        The present values of the conditions' keys otherwise; absent keys are missing.
    """

    applied: bool
    revision: int = 0
    found: Mapping[str, StoredItem] | None = None


class QueueStore(Protocol):
    """The platform's key-value store with revisions, leases and watches."""

    async def get(self, key: str) -> Result[StoredItem | None, StoreError]:
        """Return one value."""

    async def range(self, prefix: str, *, large: bool = False) -> Result[Listing, StoreError]:
        """Return all values under a prefix. ``large`` allows for the transfer of full pages."""

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Result[Changes, StoreError]:
        """Return the changes after a revision, waiting up to ``wait_ms`` for the first."""

    async def commit(
        self,
        expected: Mapping[str, int],
        puts: Sequence[StoredPut],
        removals: Sequence[str] = (),
    ) -> Result[Commit, StoreError]:
        """Apply all writes if every key has the expected revision; 0 means absent."""

    async def lease_grant(self, ttl_ms: int) -> Result[int, StoreError]:
        """Create a lease and return its id."""

    async def lease_keep_alive(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease. Return whether it still existed."""

    async def lease_revoke(self, lease: int) -> Result[None, StoreError]:
        """End a lease and remove its keys."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run. ``deadline_ms`` is a time on the worker's clock."""

    task: str
    run: int
    body: str
    checkpoint: str
    ticket: str
    deadline_ms: int
    fence: int


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to an order. ``fenced``: a leader with a higher token commands the worker."""

    outcome: StartOutcome
    fenced: bool = False
    clock_ms: float | None = None


class WorkerGateway(Protocol):
    """Calls to workers. Every call may have been executed when it is not answered."""

    async def start(self, worker: QueueWorker, order: StartOrder) -> OrderAnswer:
        """Order a start."""

    async def stop(self, worker: QueueWorker, task: str, run: int, fence: int) -> OrderAnswer:
        """Order a stop."""

    async def pace(
        self, worker: QueueWorker, task: str, run: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Set the share of its full speed at which a run works."""

    async def hold(
        self,
        worker: QueueWorker,
        fence: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_ms: int,
    ) -> Result[WorkerReport, AgentError]:
        """Renew the lease of all runs and return the worker's report."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the advice service. ``refused``: it has too many calls waiting."""

    tickets: tuple[tuple[str, str], ...]
    valid_ms: float
    refused: bool = False


class AdviceClient(Protocol):
    """The platform's placement advice service."""

    async def request_advice(
        self, step: str, workers: Sequence[str], timeout_ms: float
    ) -> Result[Advice, NutmegError]:
        """Ask which workers may run a step."""


class Platform(Protocol):
    """Everything that the platform offers to the queues, in the product's own terms."""

    config_key: str
    workers_prefix: str
    store: QueueStore
    workers: WorkerGateway
    advice: AdviceClient | None

    def decode_config(self, item: StoredItem) -> Result[QueueConfig, StoredValueError]:
        """Return the operators' configuration."""

    def decode_worker(self, item: StoredItem) -> Result[QueueWorker, StoredValueError]:
        """Return a worker from its entry."""

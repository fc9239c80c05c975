"""Interfaces that the components of an entry instance use of each other."""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from result import Result

from nutmeglb._internal.settings.models import Settings
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import JournalError, PeerError, StoreError
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.instances import Instance, InstanceRole
from nutmeglb_formats.models.instances import Member as Member
from nutmeglb_formats.models.instances import MemberState as MemberState

Reply = object | None
Handler = Callable[[str, Any], Reply | Awaitable[Reply]]


class PeerBus(Protocol):
    """Typed messages to other entry instances."""

    def send(self, instance_id: str, message: object) -> None:
        """Queue a message. It is dropped when the peer is not connected."""

    def broadcast_domain(self, message: object) -> None:
        """Queue a message to every connected instance of this failure domain."""

    async def request(
        self, instance_id: str, message: object, timeout_ms: float
    ) -> Result[Any, PeerError]:
        """Send a message and wait for the handler's reply."""

    def on(self, message_type: type[Any], handler: Handler) -> None:
        """Set the handler of a message type. It receives the sender and the message."""

    def members(self, domain: str | None = None) -> Sequence[Member]:
        """Return known entry instances, this one included, in order of instance id."""

    def connected(self, instance_id: str) -> bool:
        """Return whether a connection to the instance is open."""

    def relay_of(self, domain: str) -> str | None:
        """Return the connected instance through which another failure domain is reached."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after every change of membership or connections."""


class InstanceList(Protocol):
    """The platform's instance list, as last read."""

    def instances(self, role: InstanceRole, domain: str | None = None) -> Sequence[Instance]:
        """Return the listed instances of a role."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after every change of the list."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A stored value. ``version`` is 0 for an absent key."""

    key: str
    value: bytes
    version: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: the key's value equals ``value``; ``None`` means absent."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a transaction. ``lease`` 0 means no lease."""

    key: str
    value: bytes
    lease: int = 0


class CallPriority(StrEnum):
    """Priority of a store call in the process's call limiter, highest first."""

    LEASE = "lease"
    TICKET = "ticket"
    JOURNAL = "journal"
    OTHER = "other"


class Store(Protocol):
    """The platform's key-value store."""

    async def get(
        self, key: str, *, priority: CallPriority = CallPriority.OTHER
    ) -> Result[KeyValue | None, StoreError]:
        """Return one value, or ``None`` when the key is absent."""

    async def range(
        self,
        prefix: str,
        *,
        limit: int = 0,
        from_key: str = "",
        priority: CallPriority = CallPriority.OTHER,
    ) -> Result[list[KeyValue], StoreError]:
        """Return the values under a prefix in key order, from ``from_key`` on when it is given."""

    async def txn(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        *,
        priority: CallPriority = CallPriority.OTHER,
    ) -> Result[bool, StoreError]:
        """Apply all writes when every condition holds. Return whether they were applied."""

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Create a lease and return its id."""

    async def lease_keep_alive(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease. Return whether it still existed."""

    async def lease_revoke(self, lease: int) -> Result[None, StoreError]:
        """End a lease and delete its keys."""

    async def watch(
        self, prefix: str, on_change: Callable[[KeyValue], None], *, from_revision: int = 0
    ) -> Result[None, StoreError]:
        """Deliver changes until the connection ends; returns the reason."""


class LeadershipMode(StrEnum):
    """What the authority of the leader rests on."""

    STORE = "store"
    PEER_PROMISES = "promised"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class InUseGrant:
    """A slot grant that an instance held when it was asked by a new leader."""

    grant_id: str
    service: str
    endpoint: str
    holder: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class LeadershipChange:
    """Passed to subscribers.

    Attributes
    ----------
    settled
        On this instance as leader: all former grants are known or expired, work may start.
    in_use
        Grants that instances of the domain reported, when ``settled`` becomes true.
    unknown_holders
        Former members whose grants could not be learned. Their slots count as in use for the
        service's maximum run time.
    """

    epoch: int
    leader_instance: str | None
    is_self: bool
    settled: bool
    in_use: tuple[InUseGrant, ...] = ()
    unknown_holders: tuple[str, ...] = ()


class Leadership(Protocol):
    """Leadership of this instance's failure domain."""

    @property
    def epoch(self) -> int:
        """Return the highest epoch known."""

    @property
    def leader_instance(self) -> str | None:
        """Return the instance that leads the domain, if known."""

    @property
    def mode(self) -> LeadershipMode:
        """Return what the authority rests on."""

    def is_leader(self) -> bool:
        """Return whether this instance has authority now and has settled."""

    def authority_until_ms(self) -> float:
        """Return the monotonic time in milliseconds at which the authority ends."""

    def subscribe(self, callback: Callable[[LeadershipChange], None]) -> None:
        """Call back after every change."""

    def set_grant_reporter(self, reporter: Callable[[], Sequence[InUseGrant]]) -> None:
        """Set the source of grants reported to a new leader: own and witnessed ones."""


class Journal(Protocol):
    """Journal of the failure domain. Only the leader may use it."""

    async def append(self, records: Sequence[Any]) -> Result[None, JournalError]:
        """Commit records of ``nutmeglb_formats.models.journal`` as part of a group commit."""

    async def load(self) -> Result[list[Any], JournalError]:
        """Read the snapshot's records and all later ones, in order."""

    def set_snapshot_source(self, source: Callable[[], Sequence[Any] | None]) -> None:
        """Add a function that returns the records of its component's full current state.

        A snapshot holds the records of all added functions. A function returns ``None`` while its
        component has not loaded its state. The records cover every append that has returned, and
        may include appends that wait. After ``append`` has returned, the component changes its
        state without waiting for anything else.
        """


class Configuration(Protocol):
    """The configuration in force."""

    def current(self) -> Config:
        """Return the immutable configuration."""

    def subscribe(self, callback: Callable[[Config, Config], None]) -> None:
        """Call back with the old and the new configuration."""

    @property
    def stale_since_ms(self) -> float | None:
        """Return the wall-clock time since which neither store nor peer confirmed it."""


class EventLog(Protocol):
    """Time line of this instance."""

    def emit(
        self,
        kind: str,
        cause: str,
        *,
        request: str | None = None,
        task: str | None = None,
        job: str | None = None,
        ticket: int | None = None,
        worker: str | None = None,
        endpoint: str | None = None,
        **fields: object,
    ) -> None:
        """Record one decision."""


class Counter(Protocol):
    """Counter with bounded labels."""

    def inc(self, amount: float = 1.0, **labels: str) -> None:
        """Add ``amount``."""


class Gauge(Protocol):
    """Gauge with bounded labels."""

    def set(self, value: float, **labels: str) -> None:
        """Set the value."""


class Histogram(Protocol):
    """Histogram with bounded labels."""

    def observe(self, value: float, **labels: str) -> None:
        """Record ``value``."""


class Metrics(Protocol):
    """Factory of metrics, one registry per process. The same name returns the same metric."""

    def counter(self, name: str, help_text: str) -> Counter:
        """Return a counter."""

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Return a gauge."""

    def histogram(self, name: str, help_text: str) -> Histogram:
        """Return a histogram."""


@dataclass(slots=True)
class Context:
    """What every component receives."""

    settings: Settings
    clock: Clock
    rng: random.Random
    instance_id: str
    domain: str
    peers: PeerBus
    instances: InstanceList
    store: Store
    config: Configuration
    leadership: Leadership
    journal: Journal
    events: EventLog
    metrics: Metrics


class Component(Protocol):
    """A part of an entry instance with a life cycle."""

    name: str

    async def start(self) -> None:
        """Start timers and listeners."""

    async def drain(self, deadline_ms: float) -> None:
        """Finish work in flight until the monotonic deadline in milliseconds."""

    async def stop(self) -> None:
        """Release everything."""

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""

"""Protocols through which the components of an entry instance use each other."""

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
        """Queue a message. Without a connection, drop the message and open one."""

    def broadcast_domain(self, message: object) -> None:
        """Queue a message to every connected instance of this failure domain."""

    async def request(
        self, instance_id: str, message: object, timeout_ms: float
    ) -> Result[Any, PeerError]:
        """Send a message and wait for the handler's reply."""

    def on(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of a message type. It receives the sender and the message."""

    def members(self, domain: str | None = None) -> Sequence[Member]:
        """Return the known entry instances, including this one, in order of instance id."""

    def connected(self, instance_id: str) -> bool:
        """Return whether a connection to the instance is open."""

    def relay_of(self, domain: str) -> str | None:
        """Return the instance that relays messages to another failure domain, if one is known.

        It may not be connected yet: the first message to it opens a connection.
        """

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of membership or connections."""


class InstanceList(Protocol):
    """The platform's instance list as of the last successful read."""

    def instances(self, role: InstanceRole, domain: str | None = None) -> Sequence[Instance]:
        """Return the listed instances of a role."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of the list."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A stored value. ``version`` is 0 for an absent key."""

    key: str
    value: bytes
    version: int
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition of a transaction: the key has this value, or is absent if ``None``."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a transaction. ``lease`` 0 attaches the key to no lease."""

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
        """Return the values under a prefix in key order, starting at ``from_key`` if given."""

    async def txn(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        deletes: Sequence[str] = (),
        *,
        priority: CallPriority = CallPriority.OTHER,
    ) -> Result[bool, StoreError]:
        """Apply all writes if every condition holds. Return whether they were applied."""

    async def lease_grant(self, ttl_s: int) -> Result[int, StoreError]:
        """Create a lease and return its id."""

    async def lease_keep_alive(self, lease: int) -> Result[bool, StoreError]:
        """Renew a lease. Return whether it still existed."""

    async def lease_revoke(self, lease: int) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""

    async def watch(
        self, prefix: str, on_change: Callable[[KeyValue], None], *, from_revision: int = 0
    ) -> Result[None, StoreError]:
        """Pass changes to ``on_change`` until the connection ends. Return why it ended."""


class LeadershipMode(StrEnum):
    """Source of the leader's authority: its store lease, its peers' promises, or neither."""

    STORE = "store"
    PEER_PROMISES = "promised"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class InUseGrant:
    """Slot grant in use, as an instance reports it to a new leader."""

    grant_id: str
    service: str
    endpoint: str
    holder: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class LeadershipChange:
    """Change of the leader, its epoch or its authority.

    Attributes
    ----------
    settled
        Whether this instance is the leader and every earlier grant is known or has expired, so that
        it may start work.
    in_use
        Grants that instances of the domain reported. Set when ``settled`` becomes true.
    unknown_holders
        Former members that did not report their grants. Their slots count as in use for the
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
        """Return the highest known epoch."""

    @property
    def leader_instance(self) -> str | None:
        """Return the instance that leads the domain, if known."""

    @property
    def mode(self) -> LeadershipMode:
        """Return the source of this instance's authority."""

    def is_leader(self) -> bool:
        """Return whether this instance has authority now and all earlier grants are resolved."""

    def authority_expires_at_ms(self) -> float:
        """Return the monotonic time in milliseconds at which the authority ends."""

    def subscribe(self, callback: Callable[[LeadershipChange], None]) -> None:
        """Call ``callback`` after every change."""

    def set_grant_reporter(self, reporter: Callable[[], Sequence[InUseGrant]]) -> None:
        """Set the source of the grants that a new leader must know: own and witnessed ones."""


class Journal(Protocol):
    """Journal of the failure domain. Only the leader may use it."""

    async def append(self, records: Sequence[Any]) -> Result[None, JournalError]:
        """Commit records of ``nutmeglb_formats.models.journal`` as part of a group commit."""

    async def load(self) -> Result[list[Any], JournalError]:
        """Read the snapshot's records and all later ones, in order."""

    def add_snapshot_source(self, source: Callable[[], Sequence[Any] | None]) -> None:
        """Add a function that returns the records of its component's full current state.

        A snapshot holds the records of all added functions. A function returns ``None`` while its
        component has not loaded its state. The records cover every append that has returned, and
        may include pending appends. After ``append`` has returned, the component updates its state
        without awaiting anything else.
        """


class Configuration(Protocol):
    """The configuration in force."""

    def current(self) -> Config:
        """Return the immutable configuration."""

    def subscribe(self, callback: Callable[[Config, Config], None]) -> None:
        """Call ``callback`` with the old and the new configuration after every change."""

    @property
    def stale_since_ms(self) -> float | None:
        """Return the wall-clock time in milliseconds of the last confirmation, if it is stale.

        ``None`` while the store or a peer has confirmed it recently.
        """


class EventLog(Protocol):
    """Timeline of this instance: its decisions in order."""

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
    """Settings and services that every component receives."""

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
    """Part of an entry instance that is started, drained and stopped with it."""

    name: str

    async def start(self) -> None:
        """Start timers and listeners."""

    async def drain(self, deadline_ms: float) -> None:
        """Finish work in flight until the monotonic deadline in milliseconds."""

    async def stop(self) -> None:
        """Cancel the remaining work and release all resources."""

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""

"""Basis of a leader's authority: its store lease, and promises received and given."""

from dataclasses import dataclass, field

from nutmeglb_decisions.leadership_events import LeadershipTimes
from nutmeglb_formats.models.leader import LeaderRecord

NEVER_MS = float("-inf")


@dataclass(slots=True)
class ElectionAttempt:
    """An attempt to become leader by writing the leader key.

    Attributes
    ----------
    lease_requested_ms
        Time at which the request for the lease was sent. The lease is counted from here.
    """

    record: LeaderRecord
    expected_epoch: int
    lease: int = 0
    lease_requested_ms: float = NEVER_MS


@dataclass(slots=True)
class HeldTerm:
    """The term of an election that this instance won.

    Attributes
    ----------
    lease
        Store lease of the leader key, ``None`` after the store has ended it.
    lease_confirmed_ms
        Time at which the last confirmed grant or renewal of the lease was sent.
    promises
        Time at which the latest promise granted by each instance was requested.
    is_unpaused
        Whether this process has run without a long pause since the store last confirmed the lease.
    """

    epoch: int
    lease: int | None
    lease_confirmed_ms: float
    promises: dict[str, float] = field(default_factory=dict)
    is_unpaused: bool = True

    def lease_authority_expires_at_ms(self, times: LeadershipTimes) -> float:
        """Return the time at which the authority based on the store lease ends."""
        if self.lease is None:
            return NEVER_MS
        return self.lease_confirmed_ms + times.lease_ms - times.margin_ms

    def promise_authority_expires_at_ms(
        self, peers: "DomainPeers", times: LeadershipTimes
    ) -> float:
        """Return the time at which the authority based on promises of all other instances ends."""
        if not peers.has_platform_list:
            return NEVER_MS
        instance_names = peers.instance_names()
        if not instance_names:
            sole_instance_expires_at_ms = peers.updated_ms + times.lease_ms - times.margin_ms
            return sole_instance_expires_at_ms if self.is_unpaused else NEVER_MS
        oldest_promise_ms = min(self.promises.get(name, NEVER_MS) for name in instance_names)
        return oldest_promise_ms + times.promise_ms - times.margin_ms


class DomainPeers:
    """Other instances of the failure domain, listed by the platform or connected.

    A listed instance that is unreachable from here is included, because it may still reach the
    store and be elected.
    """

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._listed: frozenset[str] | None = None
        self._last_reachable_ms: dict[str, float] = {}
        self.reachable: frozenset[str] = frozenset()
        self.updated_ms = now_ms

    @property
    def has_platform_list(self) -> bool:
        """Return whether the platform's list has been read."""
        return self._listed is not None

    def instance_names(self) -> frozenset[str]:
        """Return the names of all other instances that could lead the domain."""
        return (self._listed or frozenset()) | self.reachable

    def update(
        self, listed: frozenset[str] | None, reachable: frozenset[str], now_ms: float
    ) -> None:
        """Replace the current state. ``listed`` is ``None`` if the list has not been read."""
        for name in reachable | self.reachable:
            self._last_reachable_ms[name] = now_ms
        if listed is not None:
            self._listed = listed
        self.reachable = reachable
        self.updated_ms = now_ms
        names = self.instance_names()
        self._last_reachable_ms = {name: self.last_reachable_ms(name) for name in names}

    def last_reachable_ms(self, name: str) -> float:
        """Return when an instance was last reachable; the process start if it never was."""
        return self._last_reachable_ms.get(name, self._started_ms)


class GivenPromise:
    """The promise that this instance gave to a leader that cannot reach the store."""

    def __init__(self) -> None:
        self._epoch = 0
        self._expires_at_ms = NEVER_MS

    def in_force(self, now_ms: float) -> bool:
        """Return whether this instance must neither campaign nor lead."""
        return now_ms < self._expires_at_ms

    def forbids(self, epoch: int, now_ms: float) -> bool:
        """Return whether accepting a leader of ``epoch`` would break the promise."""
        return self.in_force(now_ms) and epoch != self._epoch

    def give(self, epoch: int, expires_at_ms: float) -> None:
        """Promise not to campaign and to accept only the leader of ``epoch``."""
        self._epoch = epoch
        self._expires_at_ms = expires_at_ms

    def release(self, epoch: int) -> None:
        """End the promise because the leader it was given to released its leadership."""
        if epoch == self._epoch:
            self._expires_at_ms = NEVER_MS

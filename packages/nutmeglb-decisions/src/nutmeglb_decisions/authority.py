"""What the authority of a leader rests on: its lease, promises received, and promises given."""

from dataclasses import dataclass, field

from nutmeglb_decisions.leadership_events import LeadershipTimes
from nutmeglb_formats.models.leader import LeaderRecord

NEVER_MS = float("-inf")


@dataclass(slots=True)
class Attempt:
    """One attempt to write the leader key."""

    record: LeaderRecord
    epoch_before: int
    lease: int = 0
    granted_sent_ms: float = NEVER_MS


@dataclass(slots=True)
class Held:
    """A won election. ``lease`` is ``None`` after the store has ended it.

    Attributes
    ----------
    promises
        Times at which the promises received from other instances were asked for.
    unpaused
        Whether this process ran without a long pause since the store last confirmed the lease.
    """

    epoch: int
    lease: int | None
    confirmed_ms: float
    promises: dict[str, float] = field(default_factory=dict)
    unpaused: bool = True

    def store_until_ms(self, times: LeadershipTimes) -> float:
        """Return the end of the authority that rests on the store lease."""
        if self.lease is None:
            return NEVER_MS
        return self.confirmed_ms + times.lease_ms - times.margin_ms

    def promised_until_ms(self, neighbours: "Neighbours", times: LeadershipTimes) -> float:
        """Return the end of the authority that rests on promises of all other instances."""
        if not neighbours.list_known:
            return NEVER_MS
        others = neighbours.others()
        if not others:
            alone_ms = neighbours.updated_ms + times.lease_ms - times.margin_ms
            return alone_ms if self.unpaused else NEVER_MS
        oldest_ms = min(self.promises.get(name, NEVER_MS) for name in others)
        return oldest_ms + times.promise_ms - times.margin_ms


class Neighbours:
    """Other instances of the domain: those in the platform's list and those connected.

    A listed instance that cannot be reached counts, because it may be cut off from here and still
    reach the store.
    """

    def __init__(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._listed: frozenset[str] | None = None
        self._heard_ms: dict[str, float] = {}
        self.reachable: frozenset[str] = frozenset()
        self.updated_ms = now_ms

    @property
    def list_known(self) -> bool:
        """Return whether the platform's list has been read."""
        return self._listed is not None

    def others(self) -> frozenset[str]:
        """Return every other instance that may act."""
        return (self._listed or frozenset()) | self.reachable

    def update(
        self, listed: frozenset[str] | None, reachable: frozenset[str], now_ms: float
    ) -> None:
        """Set the present state. ``listed`` is ``None`` when the list has not been read."""
        for name in reachable | self.reachable:
            self._heard_ms[name] = now_ms
        if listed is not None:
            self._listed = listed
        self.reachable = reachable
        self.updated_ms = now_ms
        names = self.others()
        self._heard_ms = {name: self.heard_ms(name) for name in names}

    def heard_ms(self, name: str) -> float:
        """Return when an instance was last reachable, at the latest the start of the process."""
        return self._heard_ms.get(name, self._started_ms)


class GivenPromise:
    """The promise that this instance gave to a leader without the store."""

    def __init__(self) -> None:
        self._epoch = 0
        self._until_ms = NEVER_MS

    def in_force(self, now_ms: float) -> bool:
        """Return whether this instance must neither campaign nor lead."""
        return now_ms < self._until_ms

    def forbids(self, epoch: int, now_ms: float) -> bool:
        """Return whether following ``epoch`` would break the promise."""
        return self.in_force(now_ms) and epoch != self._epoch

    def give(self, epoch: int, until_ms: float) -> None:
        """Promise not to campaign and to follow ``epoch`` only."""
        self._epoch = epoch
        self._until_ms = until_ms

    def release(self, epoch: int) -> None:
        """End the promise because its leader gave up its authority."""
        if epoch == self._epoch:
            self._until_ms = NEVER_MS

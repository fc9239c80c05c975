"""How long a leader may command workers after the store last confirmed its lease."""

from dataclasses import dataclass

from nutmeglb_formats.clock import Clock

# Maximum relative difference between the rates of two clocks of the platform, such as those of the
# store and this machine (from the platform's protocol).
MAX_CLOCK_DRIFT = 0.02


class Authority:
    """Permission to command workers during one term, checked immediately before an order is sent.

    It may expire while the process is paused or its event loop is blocked.

    Parameters
    ----------
    lease_ms
        Lease of the leader key. Until it ends, no other instance can be elected.
    limit_ms
        How long a leader may command workers without a confirmed renewal. It may exceed the lease,
        since nobody can be elected while the store is down.
    confirmed_ms
        Monotonic time at which the claim, or the latest confirmed renewal, was sent.
    """

    def __init__(self, clock: Clock, lease_ms: float, limit_ms: float, confirmed_ms: float) -> None:
        self._clock = clock
        self._lease_ms = lease_ms
        self._limit_ms = limit_ms
        self._confirmed_ms = confirmed_ms
        self._is_revoked = False

    @property
    def may_command(self) -> bool:
        """Return whether orders may be sent to workers now."""
        return not self._is_revoked and self._age_ms <= self._limit_ms

    @property
    def is_exclusive(self) -> bool:
        """Return whether no other instance can be leader now."""
        return not self._is_revoked and self._age_ms <= self._lease_ms * (1 - MAX_CLOCK_DRIFT)

    @property
    def confirmed_ms(self) -> float:
        """Return the latest time at which certainly no other instance was leader."""
        return self._confirmed_ms

    @property
    def _age_ms(self) -> float:
        return self._clock.now_ms() - self._confirmed_ms

    def record_renewal(self, sent_ms: float) -> None:
        """Record that the store confirmed the lease and the leader key after ``sent_ms``."""
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def revoke(self) -> None:
        """Withdraw the permission permanently."""
        self._is_revoked = True


@dataclass(frozen=True, slots=True)
class Term:
    """One term of leadership of this instance.

    Attributes
    ----------
    fence
        Fencing token of all orders of the term. It increases with each leader.
    key_revision
        Revision of the leader key, which every commit requires to be unchanged.
    lease
        Id of the lease of the leader key.
    authority
        Permission to command workers.
    claimed_ms
        Monotonic time at which the leader key was claimed.
    no_former_orders
        Whether it is known that no former leader can still send orders.
    """

    number: int
    fence: int
    key_revision: int
    lease: int
    authority: Authority
    claimed_ms: float = 0.0
    no_former_orders: bool = False

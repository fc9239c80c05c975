"""How long a leader may act on what the store has confirmed."""

from dataclasses import dataclass

from nutmeglb_formats.clock import Clock

# Clocks of the store and of this machine may differ by this share (from the platform's protocol).
MAX_CLOCK_DRIFT = 0.02


class Authority:
    """Permission of one term to command workers. It is checked when an order leaves.

    A process that was paused, or whose event loop was late, may have lost it in the meantime.

    Parameters
    ----------
    lease_ms
        Lease of the leader key. Until it ends, no other instance leads.
    limit_ms
        Without the store, a leader commands this long: nobody can be elected while it is down.
    confirmed_ms
        Monotonic time at which the latest renewal that the store has confirmed was sent.
    """

    def __init__(self, clock: Clock, lease_ms: float, limit_ms: float, confirmed_ms: float) -> None:
        self._clock = clock
        self._lease_ms = lease_ms
        self._limit_ms = limit_ms
        self._confirmed_ms = confirmed_ms
        self._is_revoked = False

    @property
    def may_command(self) -> bool:
        """Return whether orders may be sent now."""
        return not self._is_revoked and self._age_ms <= self._limit_ms

    @property
    def is_exclusive(self) -> bool:
        """Return whether no other instance can lead now."""
        return not self._is_revoked and self._age_ms <= self._lease_ms * (1 - MAX_CLOCK_DRIFT)

    @property
    def _age_ms(self) -> float:
        return self._clock.now_ms() - self._confirmed_ms

    def record_renewal(self, sent_ms: float) -> None:
        """Note that the store has confirmed a renewal that was sent at a time."""
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)

    def revoke(self) -> None:
        """Withdraw the permission for good."""
        self._is_revoked = True


@dataclass(frozen=True, slots=True)
class Term:
    """A leadership of this instance.

    Attributes
    ----------
    fence
        Token of all orders; it rises with each leader.
    key_revision
        Revision of the leader key, a condition of every commit.
    lease
        Lease of the leader key.
    authority
        Permission to command workers.
    began_ms
        Monotonic time of the claim.
    no_former_orders
        Whether no former leader may send orders any more.
    """

    number: int
    fence: int
    key_revision: int
    lease: int
    authority: Authority
    claimed_ms: float = 0.0
    no_former_orders: bool = False

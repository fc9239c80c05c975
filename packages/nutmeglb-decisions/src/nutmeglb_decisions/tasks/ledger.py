"""Allocations of the workers of a failure domain. The domain's leader is the only writer."""

from collections.abc import Callable
from dataclasses import dataclass, field

from nutmeglb_decisions.invariants import LEDGER_CAPACITY, require
from nutmeglb_formats.models.resources import Resources

NO_RESOURCES = Resources()
# Every change checks the running sum. Adding up all entries is linear, so it is done less often.
AUDIT_INTERVAL_CHANGES = 64


@dataclass(slots=True)
class Allocation:
    """An allocation. It is committed once the journal holds the attempt."""

    resources: Resources
    committed: bool = False


@dataclass(slots=True)
class Account:
    """A worker's capacity, allocations and free resources."""

    worker: str
    rack: str
    capacity: Resources
    free: Resources
    allocations: dict[str, Allocation] = field(default_factory=dict)
    changes: int = 0

    @property
    def allocated(self) -> Resources:
        """Return the sum of all allocations."""
        return self.capacity - self.free


class Ledger:
    """Accounts of all workers.

    Parameters
    ----------
    on_change
        Called with every account whose free resources changed.
    """

    def __init__(self, on_change: Callable[[Account], None] = lambda account: None) -> None:
        self._accounts: dict[str, Account] = {}
        self._on_change = on_change

    def account(self, worker: str) -> Account | None:
        """Return a worker's account."""
        return self._accounts.get(worker)

    def accounts(self) -> dict[str, Account]:
        """Return all accounts by worker."""
        return self._accounts

    def set_capacity(self, worker: str, capacity: Resources, rack: str) -> Account:
        """Create an account or change its capacity.

        A worker that reports less than is allocated keeps a negative free amount, which blocks
        further reservations.
        """
        account = self._accounts.get(worker)
        if account is None:
            account = Account(worker, rack, capacity, capacity)
            self._accounts[worker] = account
        else:
            account.free = account.free + (capacity - account.capacity)
            account.capacity = capacity
            account.rack = rack
        self._on_change(account)
        return account

    def remove(self, worker: str) -> None:
        """Remove the account of a worker without allocations."""
        account = self._accounts.get(worker)
        if account is not None and not account.allocations:
            del self._accounts[worker]

    def allocate(self, worker: str, key: str, resources: Resources) -> None:
        """Reserve resources under a key.

        Raises
        ------
        InvariantViolation
            The worker does not have them free, or the key is already in use.
        """
        account = self._accounts[worker]
        require(
            resources.fits_in(account.free) and key not in account.allocations,
            LEDGER_CAPACITY,
            "A reservation exceeds the capacity of a worker",
            worker=worker,
            key=key,
        )
        self._add(account, key, Allocation(resources))

    def adopt(self, worker: str, key: str, resources: Resources) -> None:
        """Record an allocation that already exists on a worker, whatever is free."""
        account = self._accounts[worker]
        if key not in account.allocations:
            self._add(account, key, Allocation(resources, committed=True))

    def commit(self, worker: str, key: str) -> None:
        """Mark a reservation as journalled."""
        self._accounts[worker].allocations[key].committed = True

    def release(self, worker: str, key: str) -> Resources:
        """End an allocation and return what it held. Releasing an unknown key does nothing."""
        account = self._accounts.get(worker)
        entry = account.allocations.pop(key, None) if account is not None else None
        if account is None or entry is None:
            return NO_RESOURCES
        account.free = account.free + entry.resources
        self._record_change(account)
        return entry.resources

    def _add(self, account: Account, key: str, entry: Allocation) -> None:
        account.allocations[key] = entry
        account.free = account.free - entry.resources
        self._record_change(account)

    def _record_change(self, account: Account) -> None:
        account.changes += 1
        if account.changes % AUDIT_INTERVAL_CHANGES == 0:
            self.audit(account)
        self._on_change(account)

    def audit(self, account: Account) -> None:
        """Check that free and allocated resources add up to the capacity."""
        total = NO_RESOURCES
        for entry in account.allocations.values():
            total = total + entry.resources
        require(
            total == account.allocated,
            LEDGER_CAPACITY,
            "The allocations of a worker do not add up",
            worker=account.worker,
        )

"""Resource allocations on the workers of a failure domain. Only its leader changes them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from nutmeglb_decisions.invariants import LEDGER_CAPACITY, require
from nutmeglb_formats.models.resources import Resources

NO_RESOURCES = Resources()
# Every allocation is checked against the running total. Adding up all allocations of a worker takes
# linear time, so the full audit runs once in this many changes.
AUDIT_INTERVAL_CHANGES = 64


@dataclass(slots=True)
class Allocation:
    """Resources charged to one attempt. Committed once the attempt is in the journal."""

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
        """Return a worker's account, or ``None`` if the worker is unknown."""
        return self._accounts.get(worker)

    def accounts(self) -> dict[str, Account]:
        """Return all accounts by worker."""
        return self._accounts

    def set_capacity(self, worker: str, capacity: Resources, rack: str) -> Account:
        """Create an account or change its capacity.

        If the new capacity is less than what is allocated, the free capacity becomes negative and
        blocks further allocations.
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
        """Remove the account of a worker, unless it still has allocations."""
        account = self._accounts.get(worker)
        if account is not None and not account.allocations:
            del self._accounts[worker]

    def allocate(self, worker: str, key: str, resources: Resources) -> None:
        """Allocate resources under a key.

        Raises
        ------
        InvariantViolation
            The free capacity is insufficient, or the key is already in use.
        """
        account = self._accounts[worker]
        require(
            resources.fits_in(account.free) and key not in account.allocations,
            LEDGER_CAPACITY,
            "An allocation exceeds the free capacity of a worker, or its key is in use",
            worker=worker,
            key=key,
        )
        self._add(account, key, Allocation(resources))

    def allocate_existing(self, worker: str, key: str, resources: Resources) -> None:
        """Record an allocation that already exists on a worker, even beyond its free capacity."""
        account = self._accounts[worker]
        if key not in account.allocations:
            self._add(account, key, Allocation(resources, committed=True))

    def commit(self, worker: str, key: str) -> None:
        """Mark an allocation as committed to the journal."""
        self._accounts[worker].allocations[key].committed = True

    def release(self, worker: str, key: str) -> Resources:
        """Release an allocation and return its resources, or nothing for an unknown key."""
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
        """Check that the allocations add up to the difference of capacity and free resources."""
        total = NO_RESOURCES
        for entry in account.allocations.values():
            total = total + entry.resources
        require(
            total == account.allocated,
            LEDGER_CAPACITY,
            "The allocations of a worker do not add up to its allocated total",
            worker=account.worker,
        )

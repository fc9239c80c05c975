"""Resources of a failure domain: ledger, quotas, placement index and ranking, kept consistent."""

from collections.abc import Callable

from nutmeglb_decisions.tasks.ledger import Account, Ledger
from nutmeglb_decisions.tasks.placement import PlacementEngine
from nutmeglb_decisions.tasks.quotas import Quotas
from nutmeglb_decisions.tasks.ranking import Ranking, Shape
from nutmeglb_formats.models.resources import Resources


class DomainCapacity:
    """Free and used resources, and the jobs that wait for them.

    Parameters
    ----------
    is_placeable
        Returns whether a job still has a task to place with a shape.
    """

    def __init__(self, domain: str, is_placeable: Callable[[str, Shape], bool]) -> None:
        self.quotas = Quotas(domain)
        self.ranking = Ranking(is_placeable)
        self.ledger = Ledger(self._account_changed)
        self.engine = PlacementEngine(self.ledger.accounts())
        self._freed_workers: dict[str, None] = {}
        self._gangs_may_fit = False

    def _account_changed(self, account: Account) -> None:
        self.engine.refresh(account)

    def account(self, worker: str) -> Account | None:
        """Return a worker's account, or ``None`` if the worker is unknown."""
        return self.ledger.account(worker)

    def rack_of(self, worker: str) -> str:
        """Return the rack of a worker, or an empty string if the worker is unknown."""
        account = self.ledger.account(worker)
        return account.rack if account is not None else ""

    def charge(self, team: str, worker: str, name: str, resources: Resources) -> None:
        """Charge an attempt to its worker and team."""
        self.ledger.allocate(worker, name, resources)
        self.quotas.charge(team, resources)
        self.ranking.set_share(team, self.quotas.share(team), is_decrease=False)

    def charge_existing(self, worker: str, name: str, resources: Resources) -> None:
        """Charge a running attempt to its worker, even beyond the free capacity."""
        if self.ledger.account(worker) is not None:
            self.ledger.allocate_existing(worker, name, resources)

    def refund(self, team: str, worker: str, name: str, resources: Resources) -> None:
        """Reverse the charges of an ended attempt."""
        self.ledger.release(worker, name)
        self.quotas.refund(team, resources)
        self.ranking.set_share(team, self.quotas.share(team), is_decrease=True)
        self.mark_freed(worker)

    def update_shares(self) -> None:
        """Recompute the dominant shares of all teams after a change of their limits."""
        for team in self.quotas.limits():
            self.ranking.set_share(team, self.quotas.share(team), is_decrease=True)

    # Blocked shapes

    def set_capacity(self, worker: str, resources: Resources, rack: str) -> None:
        """Set the capacity and the rack of a worker."""
        self.ledger.set_capacity(worker, resources, rack)
        self.mark_freed(worker)
        self.ranking.unblock_infeasible()

    def mark_freed(self, worker: str) -> None:
        """Schedule the worker for another check of the blocked shapes at the next step."""
        self._freed_workers[worker] = None

    def has_freed_workers(self) -> bool:
        """Return whether ``unblock_freed`` has workers to check."""
        return bool(self._freed_workers)

    def unblock_freed(self) -> None:
        """Unblock the shapes that fit on a worker whose resources were freed."""
        for worker in self._freed_workers:
            account = self.ledger.account(worker)
            if account is not None and worker in self.engine.enabled():
                self.ranking.unblock_fitting(account.free)
                self._gangs_may_fit = True
        self._freed_workers.clear()

    def take_gangs_may_fit(self) -> bool:
        """Return whether resources were freed since the last call, and reset the flag."""
        freed, self._gangs_may_fit = self._gangs_may_fit, False
        return freed

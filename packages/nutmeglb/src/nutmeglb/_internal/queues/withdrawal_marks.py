"""Stores marks that bar submissions whose cancellation found no stored job."""

from collections.abc import Mapping

from result import Err, Ok, Result

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import Commit, QueueStore, StoredItem, StoredPut
from nutmeglb_decisions.queues import withdrawals
from nutmeglb_decisions.queues.access import JobCall
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import NotReady, NutmegError, StoreError, StoreRefused
from nutmeglb_formats.models.queues import QueueJob

# Marks of this time share a lease. A lease of the platform lasts ten minutes at most.
LEASE_USE_MS = 5 * 60_000.0
LEASE_MS = round(withdrawals.MARK_LIFE_MS + LEASE_USE_MS)
MARK = b"1"


class TooManyWithdrawals(NotReady):
    """Callers have cancelled too many jobs that are not stored. Nothing was written."""


class WithdrawalMarks:
    """Writes the marks of one instance. The store removes them when their lease ends.

    A lease is used for ``LEASE_USE_MS``, so that every mark stays for ``MARK_LIFE_MS`` at least.
    """

    def __init__(self, store: QueueStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._budget = withdrawals.MarkBudget(clock.now_ms())
        self._lease = 0
        # Monotonic and wall-clock time of the request for the lease. The monotonic clock does not
        # count the time for which the machine was suspended.
        self._requested_ms = (0.0, 0.0)

    async def put(self, call: JobCall, revision: int) -> Result[Commit, NutmegError]:
        """Bar all submissions of the job that a call is about, unless a job with its id is stored.

        If one has been stored meanwhile, the commit is not applied.

        Parameters
        ----------
        revision
            Revision of the key of the accepted job, at which it contained none.
        """
        wait_ms = self._budget.take(self._clock.now_ms())
        if wait_ms:
            return Err(
                TooManyWithdrawals(
                    "Too many cancellations of jobs that are not stored",
                    context={"job": call.job_id, "wait_ms": round(wait_ms)},
                    hint="Retry later, and cancel only jobs that were submitted",
                )
            )
        lease = await self._obtain_lease()
        if isinstance(lease, Err):
            return Err(lease.err_value)
        conditions = {keys.accepted(call.job_id): revision, keys.final(call.job_id): 0}
        puts = [
            StoredPut(keys.withdrawn(call.job_id, scope), MARK, lease.ok_value)
            for scope in withdrawals.cancelled_scopes(call)
        ]
        committed = await self._store.commit(conditions, puts)
        if isinstance(committed, Err):
            if isinstance(committed.err_value, StoreRefused):
                # The lease has ended, as may happen while the store is down.
                self._lease = 0
            return Err(committed.err_value)
        return Ok(committed.ok_value)

    async def _obtain_lease(self) -> Result[int, StoreError]:
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        requested_ms, requested_wall_ms = self._requested_ms
        age_ms = max(now_ms - requested_ms, wall_ms - requested_wall_ms)
        if not self._lease or age_ms > LEASE_USE_MS:
            granted = await self._store.lease_grant(LEASE_MS)
            if isinstance(granted, Err):
                return Err(granted.err_value)
            self._lease, self._requested_ms = granted.ok_value, (now_ms, wall_ms)
        return Ok(self._lease)


def absent_marks(job: QueueJob) -> dict[str, int]:
    """Return the conditions of a write that accepts a job: no mark bars it."""
    scopes = withdrawals.submitted_scopes(job)
    return {keys.withdrawn(job.job_id, scope): 0 for scope in scopes}


def is_barred(job: QueueJob, present: Mapping[str, StoredItem]) -> bool:
    """Return whether a mark among the records of a commit that was not applied bars a job."""
    return any(key in present for key in absent_marks(job))

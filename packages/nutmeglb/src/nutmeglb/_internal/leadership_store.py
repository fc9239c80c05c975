"""Store calls of leadership: executes effects of the state machine and returns its events."""

from result import Err, Result

from nutmeglb._internal.context import CallPriority, Compare, Put, Store
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions import leadership_events as ev
from nutmeglb_formats.exceptions import StoreError, StoreOutcomeUnknown
from nutmeglb_formats.models import leader as stored

logger = get_logger("leadership")

REVOKE_ATTEMPTS = 2


class LeadershipStore:
    """Executes the leadership store calls of one failure domain.

    Parameters
    ----------
    lease_s
        Length of the store lease in seconds.
    """

    def __init__(self, store: Store, domain: str, lease_s: int) -> None:
        self._store = store
        self._leader_key = stored.leader_key(domain)
        self._epoch_key = stored.epoch_key(domain)
        self._lease_s = lease_s

    async def execute(self, effect: ev.Effect, now_ms: float) -> ev.Event | None:
        """Execute the store call of an effect and return the event that reports its result.

        Parameters
        ----------
        now_ms
            Monotonic time of the call in milliseconds.
        """
        match effect:
            case ev.ReadLeader():
                return await self._read_leader()
            case ev.GrantLease(attempt):
                granted = await self._store.lease_grant(self._lease_s)
                return ev.LeaseGranted(attempt, now_ms, granted.ok())
            case ev.WriteLeader():
                return await self._write_leader(effect)
            case ev.RenewLease(lease, sent_ms):
                renewed = await self._store.lease_keep_alive(lease)
                return ev.LeaseRenewed(lease, sent_ms, _renew_outcome(renewed))
            case ev.RevokeLease(lease):
                await self._revoke_lease(lease)
                return None
        raise TypeError(f"{type(effect).__name__} is not a store call; handle it elsewhere")

    async def _read_leader(self) -> ev.Event:
        epoch = await self._read_epoch()
        if epoch is None:
            return ev.LeaderReadFailed()
        found = await self._store.get(self._leader_key, priority=CallPriority.LEASE)
        if isinstance(found, Err):
            return ev.LeaderReadFailed()
        if found.ok_value is None:
            return ev.LeaderRead(None, epoch)
        record = stored.decode_leader(found.ok_value.value)
        if isinstance(record, Err):
            logger.error(
                "cannot decode the stored leader record; the read counts as failed",
                cause=str(record.err_value),
            )
            return ev.LeaderReadFailed()
        # The epoch was read first, so a leader elected between the two reads has a higher one.
        return ev.LeaderRead(record.ok_value, max(epoch, record.ok_value.epoch))

    async def _read_epoch(self) -> int | None:
        found = await self._store.get(self._epoch_key, priority=CallPriority.LEASE)
        if isinstance(found, Err):
            return None
        if found.ok_value is None:
            return 0
        epoch = stored.decode_epoch(found.ok_value.value)
        if isinstance(epoch, Err):
            logger.error(
                "cannot decode the stored epoch; the read counts as failed",
                cause=str(epoch.err_value),
            )
            return None
        return epoch.ok_value

    async def _write_leader(self, effect: ev.WriteLeader) -> ev.LeaderWritten:
        record = effect.record
        epoch = stored.encode_epoch(record.epoch)
        assert epoch is not None
        result = await self._store.txn(
            [
                Compare(self._leader_key, None),
                Compare(self._epoch_key, stored.encode_epoch(effect.expected_epoch)),
            ],
            [
                Put(self._leader_key, stored.encode_leader(record), effect.lease),
                Put(self._epoch_key, epoch),
            ],
            priority=CallPriority.LEASE,
        )
        return ev.LeaderWritten(record.attempt, _write_outcome(result))

    async def _revoke_lease(self, lease: int) -> None:
        """Revoke a lease. If both attempts fail, it expires without being revoked."""
        for _ in range(REVOKE_ATTEMPTS):
            if not (await self._store.lease_revoke(lease)).is_err():
                return


def _write_outcome(result: Result[bool, StoreError]) -> ev.WriteOutcome:
    if isinstance(result, Err):
        unknown = isinstance(result.err_value, StoreOutcomeUnknown)
        return ev.WriteOutcome.UNKNOWN if unknown else ev.WriteOutcome.NOT_APPLIED
    applied = result.ok_value
    return ev.WriteOutcome.APPLIED if applied else ev.WriteOutcome.CONDITION_FAILED


def _renew_outcome(result: Result[bool, StoreError]) -> ev.RenewOutcome:
    if isinstance(result, Err):
        return ev.RenewOutcome.FAILED
    return ev.RenewOutcome.RENEWED if result.ok_value else ev.RenewOutcome.LEASE_NOT_FOUND

"""Store calls of the ticket log: reads, proposals, snapshots and removal of old tickets."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglb._internal.context import CallPriority, Compare, KeyValue, Put, Store
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.ticket_log import HISTORY_TICKETS
from nutmeglb_formats.exceptions import NutmegError, StoredValueError
from nutmeglb_formats.models import stored_ticket as stored
from nutmeglb_formats.models.stored_ticket import LogFence, NumberedTicket, TicketLogSnapshot

logger = get_logger("tickets")

READ_BATCH_TICKETS = 100
SNAPSHOT_INTERVAL_TICKETS = 100
# Etcd allows 128 operations in a transaction.
DELETE_BATCH_TICKETS = 120


@dataclass(frozen=True, slots=True)
class StoredTicket:
    """Ticket as read from the store, with its encoded form for peers."""

    number: int
    data: bytes
    value: NumberedTicket


class TicketStore:
    """Store calls of the ticket log.

    An absent key may belong to an unused number or to a removed ticket. Proposals therefore compare
    the fence, which changes with every removal.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._fence_data: bytes | None = None
        self._fence = LogFence(0, 1)

    @property
    def fence(self) -> LogFence:
        """Return the fence as last read."""
        return self._fence

    async def read_fence(self) -> Result[LogFence, NutmegError]:
        """Read the fence."""
        found = await self._store.get(stored.FENCE_KEY, priority=CallPriority.TICKET)
        if isinstance(found, Err):
            return Err(found.err_value)
        data = found.ok_value.value if found.ok_value else None
        fence = stored.decode_fence(data)
        if isinstance(fence, Err):
            return Err(fence.err_value)
        self._fence_data, self._fence = data, fence.ok_value
        return Ok(self._fence)

    async def read_after(self, number: int) -> Result[list[StoredTicket], NutmegError]:
        """Read the tickets after a number, at most one batch."""
        found = await self._store.range(
            stored.TICKET_PREFIX,
            limit=READ_BATCH_TICKETS,
            from_key=stored.ticket_key(number + 1),
            priority=CallPriority.TICKET,
        )
        if isinstance(found, Err):
            return Err(found.err_value)
        return decode_entries(found.ok_value)

    async def read(self, number: int) -> Result[StoredTicket | None, NutmegError]:
        """Read one ticket, ``None`` if it is absent."""
        found = await self._store.get(stored.ticket_key(number), priority=CallPriority.TICKET)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Ok(None)
        return decode_entry(found.ok_value)

    async def read_snapshot(self) -> Result[TicketLogSnapshot | None, NutmegError]:
        """Read the snapshot, ``None`` if there is none yet."""
        found = await self._store.get(stored.SNAPSHOT_KEY, priority=CallPriority.TICKET)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            return Ok(None)
        return _as_optional(stored.decode_snapshot(found.ok_value.value))

    async def propose(self, number: int, data: bytes) -> Result[bool, NutmegError]:
        """Write a ticket if its number is unused. Return whether it was written."""
        compares = [
            Compare(stored.ticket_key(number), None),
            Compare(stored.FENCE_KEY, self._fence_data),
        ]
        put = Put(stored.ticket_key(number), data)
        written = await self._store.txn(compares, [put], priority=CallPriority.TICKET)
        return Err(written.err_value) if isinstance(written, Err) else Ok(written.ok_value)

    def is_snapshot_due(self, number: int) -> bool:
        """Return whether a snapshot should be written after a ticket."""
        return number - self._fence.snapshot >= SNAPSHOT_INTERVAL_TICKETS

    async def write_snapshot(self, number: int, data: bytes) -> None:
        """Write the snapshot after ticket ``number`` and remove the oldest tickets.

        Any instance may do this; the fence lets only one of them succeed. After a failure, the next
        filed ticket triggers another attempt.
        """
        if len(data) > stored.SNAPSHOT_LIMIT_BYTES:
            logger.error("ticket snapshot too large; not written", bytes=len(data))
            return
        first_kept = max(self._fence.oldest, number - HISTORY_TICKETS + 1)
        oldest = min(self._fence.oldest + DELETE_BATCH_TICKETS, first_kept)
        fence = LogFence(number, oldest)
        written = await self._store.txn(
            [Compare(stored.FENCE_KEY, self._fence_data)],
            [Put(stored.SNAPSHOT_KEY, data), Put(stored.FENCE_KEY, stored.encode_fence(fence))],
            [stored.ticket_key(old) for old in range(self._fence.oldest, oldest)],
            priority=CallPriority.OTHER,
        )
        if isinstance(written, Err):
            logger.warning(
                "ticket snapshot not written; the next filed ticket triggers it again",
                cause=str(written.err_value),
            )
        await self.read_fence()


def decode_entry(item: KeyValue) -> Result[StoredTicket, NutmegError]:
    """Decode a ticket and check it against its key."""
    value = stored.decode_ticket(item.value)
    if isinstance(value, Err):
        return Err(value.err_value)
    ticket = value.ok_value
    if stored.ticket_key(ticket.number) != item.key:
        hint = "Find out what wrote to this key"
        return Err(
            StoredValueError(
                "The number of a stored ticket does not match its key",
                context={"key": item.key},
                hint=hint,
            )
        )
    return Ok(StoredTicket(ticket.number, item.value, ticket))


def decode_entries(items: Sequence[KeyValue]) -> Result[list[StoredTicket], NutmegError]:
    """Decode tickets, or return the first error."""
    tickets = []
    for item in items:
        ticket = decode_entry(item)
        if isinstance(ticket, Err):
            return ticket
        tickets.append(ticket.ok_value)
    return Ok(tickets)


def _as_optional(
    result: Result[TicketLogSnapshot, StoredValueError],
) -> Result[TicketLogSnapshot | None, NutmegError]:
    return Err(result.err_value) if isinstance(result, Err) else Ok(result.ok_value)

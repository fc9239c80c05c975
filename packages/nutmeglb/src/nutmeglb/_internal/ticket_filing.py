"""Filing of tickets: proposes ticket numbers until one is accepted, and resolves lost responses."""

import asyncio
from collections.abc import Sequence
from typing import Any

from result import Err, Ok, Result

from nutmeglb._internal.configuration import TicketConfiguration
from nutmeglb._internal.context import Context
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import (
    NutmegError,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    TicketInvalid,
)
from nutmeglb_formats.models.admin import FiledTicket
from nutmeglb_formats.models.stored_ticket import (
    SNAPSHOT_LIMIT_BYTES,
    NumberedTicket,
    encode_ticket,
)
from nutmeglb_formats.models.ticket import Ticket

logger = get_logger("tickets")

FILING_TIMEOUT_MS = 5_000.0
MAX_RETRY_DELAY_MS = 50.0


class TicketFiling:
    """Implements the ``TicketService`` of the administration API."""

    def __init__(self, ctx: Context, configuration: TicketConfiguration) -> None:
        self._ctx = ctx
        self._configuration = configuration
        self._filing_lock = asyncio.Lock()
        self._filed_counter = ctx.metrics.counter(
            "nutmeglb_tickets_filed_total", "Tickets filed at this instance, by outcome."
        )

    async def file(self, ticket: Ticket) -> Result[int, NutmegError]:
        """Validate and propose a ticket. Return its number.

        Errors are ``TicketInvalid``, ``TicketConflict`` and ``StoreError``. After
        ``StoreOutcomeUnknown`` the same ticket can be filed again: its id prevents a duplicate.
        """
        async with self._filing_lock:
            result = await self._file(ticket)
        outcome = result.err_value.kind if isinstance(result, Err) else "accepted"
        self._filed_counter.inc(outcome=outcome)
        self._ctx.events.emit(
            _event_kind_of(result),
            outcome,
            ticket=result.ok(),
            id=ticket.ticket_id,
            author=ticket.author,
        )
        return result

    async def check(self, ticket: Ticket) -> Result[None, NutmegError]:
        """Validate a ticket against the configuration in force without filing it."""
        proposal = self._configuration.log.propose(ticket)
        if isinstance(proposal, Err):
            return Err(proposal.err_value)
        return await self._check_snapshot_size(ticket, 0)

    async def get(self, number: int) -> Result[FiledTicket, NutmegError]:
        """Return an accepted ticket, or ``NotFound``."""
        return await self._configuration.get(number)

    async def list(self, limit: int) -> Result[Sequence[FiledTicket], NutmegError]:
        """Return the latest accepted tickets, latest first."""
        return await self._configuration.list(limit)

    async def _file(self, ticket: Ticket) -> Result[int, NutmegError]:
        """Propose until the ticket has a number, is refused, or the timeout is reached.

        An unknown outcome stays the result until a later read shows whether the write was applied.
        """
        deadline_ms = self._ctx.clock.now_ms() + FILING_TIMEOUT_MS
        failure: NutmegError = _timeout_error(ticket)
        while self._ctx.clock.now_ms() < deadline_ms:
            result = await self._try_file(ticket)
            if isinstance(result, Err) and isinstance(result.err_value, StoreError):
                if not isinstance(failure, StoreOutcomeUnknown):
                    failure = result.err_value
            elif isinstance(result, Err) or result.ok_value is not None:
                return result
            await asyncio.sleep(self._ctx.rng.uniform(0, MAX_RETRY_DELAY_MS) / 1_000)
        return Err(failure)

    async def _try_file(self, ticket: Ticket) -> Result[Any, NutmegError]:
        """Propose once. Return the number, or ``None`` if another ticket has taken it."""
        current = await self._refresh()
        if isinstance(current, Err):
            return current
        proposal = self._configuration.log.propose(ticket)
        if isinstance(proposal, Err):
            return Err(proposal.err_value)
        number = proposal.ok_value.number
        if proposal.ok_value.is_filed:
            return Ok(number)
        outcome = await self._propose(ticket, number)
        return outcome.map(lambda written: number if written else None)

    async def _refresh(self) -> Result[None, NutmegError]:
        fence = await self._configuration.store.read_fence()
        if isinstance(fence, Err):
            return Err(fence.err_value)
        return await self._configuration.catch_up()

    async def _propose(self, ticket: Ticket, number: int) -> Result[bool, NutmegError]:
        store = self._configuration.store
        if number < store.fence.oldest:
            # The read was stale: tickets from this number on have already been removed.
            return Ok(False)
        item = NumberedTicket(number, ticket)
        data = encode_ticket(item)
        fits = await self._check_snapshot_size(ticket, len(data))
        if isinstance(fits, Err):
            return Err(fits.err_value)
        written = await store.propose(number, data)
        if isinstance(written, Err) and isinstance(written.err_value, StoreOutcomeUnknown):
            return await self._resolve_unknown_outcome(item, data, written.err_value)
        if isinstance(written, Err) or not written.ok_value:
            return written
        self._apply_accepted(item, data)
        return Ok(True)

    async def _resolve_unknown_outcome(
        self, item: NumberedTicket, data: bytes, unknown: NutmegError
    ) -> Result[bool, NutmegError]:
        """Read the ticket of this number after a lost response and compare the ticket ids."""
        found = await self._configuration.store.read(item.number)
        if isinstance(found, Err) or found.ok_value is None:
            return Err(unknown)
        if found.ok_value.value.ticket.ticket_id != item.ticket.ticket_id:
            return Ok(False)
        self._apply_accepted(item, data)
        return Ok(True)

    def _apply_accepted(self, item: NumberedTicket, data: bytes) -> None:
        self._configuration.offer(item, data, "filed")
        if self._configuration.store.is_snapshot_due(item.number):
            self._configuration.write_snapshot()

    async def _check_snapshot_size(self, ticket: Ticket, size: int) -> Result[None, NutmegError]:
        """Refuse a ticket that would make the configuration too large for one stored value.

        Parameters
        ----------
        size
            Bytes of the encoded ticket; 0 encodes the ticket to find out.
        """
        size = size or len(encode_ticket(NumberedTicket(0, ticket)))
        bound_bytes = await self._configuration.snapshot_bound_bytes()
        if bound_bytes + size > SNAPSHOT_LIMIT_BYTES:
            bound_bytes = await self._configuration.snapshot_bound_bytes(measure=True)
        if bound_bytes + size <= SNAPSHOT_LIMIT_BYTES:
            return Ok(None)
        return Err(
            TicketInvalid(
                "The ticket would make the configuration too large",
                context={"bytes": bound_bytes + size, "limit": SNAPSHOT_LIMIT_BYTES},
                hint="Remove objects that are no longer needed first",
            )
        )


def _timeout_error(ticket: Ticket) -> NutmegError:
    return StoreUnavailable(
        "The ticket received no number in time",
        context={"id": ticket.ticket_id},
        hint="File the ticket again; other tickets are being filed at the same time",
    )


def _event_kind_of(result: Result[int, NutmegError]) -> str:
    if isinstance(result, Ok):
        return "ticket_filed"
    unknown = isinstance(result.err_value, StoreOutcomeUnknown)
    return "ticket_outcome_unknown" if unknown else "ticket_refused"

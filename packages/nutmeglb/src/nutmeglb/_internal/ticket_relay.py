"""Exchange of tickets between peers: announcements, and tickets in bounded batches."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglb._internal.context import PeerBus
from nutmeglb._internal.ticket_snapshot import SnapshotEncoder
from nutmeglb_decisions.ticket_log import TicketLog
from nutmeglb_formats.exceptions import NutmegError, PeerError
from nutmeglb_formats.models import stored_ticket as stored
from nutmeglb_formats.models.stored_ticket import NumberedTicket, TicketLogSnapshot
from nutmeglb_formats.wire.config import TicketAnnounce, TicketRelay, TicketsWanted

REQUEST_TIMEOUT_MS = 3_000.0
# Keeps a batch below the frame limit of 2 MB even if its last ticket has the maximum size.
MAX_BATCH_BYTES = 500_000
MAX_RECENT_TICKETS = 256
MAX_RECENT_BYTES = 4_000_000


class RecentTickets:
    """Encoded form of the latest tickets, bounded in number and bytes."""

    def __init__(self) -> None:
        self._items: deque[tuple[int, bytes]] = deque()
        self._bytes = 0

    def add(self, number: int, data: bytes) -> None:
        """Add a ticket. If it does not follow the last one, the earlier ones are discarded."""
        if self._items and self._items[-1][0] + 1 != number:
            self._items.clear()
            self._bytes = 0
        self._items.append((number, data))
        self._bytes += len(data)
        while len(self._items) > MAX_RECENT_TICKETS or self._bytes > MAX_RECENT_BYTES:
            self._bytes -= len(self._items.popleft()[1])

    def get(self, number: int) -> bytes | None:
        """Return a ticket, or ``None`` if it is not kept."""
        first = self._items[0][0] if self._items else number + 1
        index = number - first
        return self._items[index][1] if 0 <= index < len(self._items) else None

    def after(self, number: int) -> tuple[bytes, ...] | None:
        """Return a batch of the tickets after a number, or ``None`` if they are not kept."""
        batch: list[bytes] = []
        size = 0
        data = self.get(number + 1)
        while data is not None and size < MAX_BATCH_BYTES:
            batch.append(data)
            size += len(data)
            data = self.get(number + 1 + len(batch))
        return tuple(batch) or None


@dataclass(frozen=True, slots=True)
class RelayedTickets:
    """Decoded reply of a peer: a snapshot, or tickets in order."""

    snapshot: TicketLogSnapshot | None
    tickets: tuple[tuple[NumberedTicket, bytes], ...]


class TicketExchange:
    """Announces this instance's ticket number and exchanges tickets with peers.

    Parameters
    ----------
    on_announce
        Called with the sender and its announcement.
    is_loaded
        Returns whether a configuration has been loaded. Until then nothing is relayed, because an
        unknown configuration must not be taken for an empty one.
    """

    def __init__(
        self,
        peers: PeerBus,
        log: TicketLog,
        on_announce: Callable[[str, TicketAnnounce], Awaitable[None]],
        is_loaded: Callable[[], bool],
    ) -> None:
        self.recent = RecentTickets()
        self.snapshots = SnapshotEncoder(log)
        self._peers = peers
        self._log = log
        self._on_announce = on_announce
        self._is_loaded = is_loaded

    def register(self) -> None:
        """Register the message handlers."""
        self._peers.on(TicketAnnounce, self._on_announce)
        self._peers.on(TicketsWanted, self._on_tickets_wanted)

    def announce(self, confirmed_age_ms: float) -> None:
        """Send the number of the last applied ticket to every connected instance.

        Parameters
        ----------
        confirmed_age_ms
            Milliseconds since the store or a peer last confirmed the configuration.
        """
        message = TicketAnnounce(self._log.number, confirmed_age_ms)
        for member in self._peers.members():
            if self._peers.connected(member.instance_id):
                self._peers.send(member.instance_id, message)

    async def fetch(self, instance_id: str) -> Result[RelayedTickets, NutmegError]:
        """Request the tickets after the last applied one from a peer."""
        wanted = TicketsWanted(self._log.number)
        reply = await self._peers.request(instance_id, wanted, REQUEST_TIMEOUT_MS)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if not isinstance(reply.ok_value, TicketRelay):
            hint = "Run the same release of nutmeglb on all instances"
            return Err(PeerError("The peer sent a reply of an unexpected type", hint=hint))
        return _decode_relay(reply.ok_value)

    async def _on_tickets_wanted(self, sender: str, wanted: TicketsWanted) -> TicketRelay | None:
        if not self._is_loaded():
            return None
        number = self._log.number
        if wanted.after >= number:
            return TicketRelay(number)
        batch = self.recent.after(wanted.after)
        if batch is not None:
            return TicketRelay(number, batch)
        return TicketRelay(number, (), await self.snapshots.encode())


def _decode_relay(relay: TicketRelay) -> Result[RelayedTickets, NutmegError]:
    snapshot = None
    if relay.snapshot:
        decoded = stored.decode_snapshot(relay.snapshot)
        if isinstance(decoded, Err):
            return Err(decoded.err_value)
        snapshot = decoded.ok_value
    tickets = []
    for data in relay.tickets:
        ticket = stored.decode_ticket(data)
        if isinstance(ticket, Err):
            return Err(ticket.err_value)
        tickets.append((ticket.ok_value, data))
    return Ok(RelayedTickets(snapshot, tuple(tickets)))

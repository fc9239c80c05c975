"""Configuration in force, kept up to date from the ticket log in the store and from peers."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from result import Err, Ok, Result

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Context, KeyValue
from nutmeglb._internal.store.backoff import Backoff
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb._internal.ticket_relay import RelayedTickets, TicketExchange
from nutmeglb._internal.ticket_store import StoredTicket, TicketStore, decode_entry
from nutmeglb_decisions.ticket_log import OfferOutcome, TicketLog
from nutmeglb_formats.exceptions import InvariantViolation, NotFound, NutmegError, StoredValueError
from nutmeglb_formats.models.admin import FiledTicket
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.stored_ticket import (
    TICKET_PREFIX,
    NumberedTicket,
    TicketLogSnapshot,
    decode_ticket,
)
from nutmeglb_formats.wire.config import TicketAnnounce

logger = get_logger("tickets")

# The watch delivers new tickets immediately. The poll finds them when the watch has ended or was
# dropped without notice, well within the 4 s in which a ticket must be in force.
POLL_INTERVAL_MS = 1_500.0
ANNOUNCE_INTERVAL_MS = 1_000.0
STALE_AFTER_MS = 5_000.0
BOOTSTRAP_RETRY_DELAY_MS = 200.0
MAX_WATCH_BACKOFF_MS = 2_000.0
MAX_CATCH_UP_BATCHES = 1_000
# Size of a ticket's id, number and digest in the snapshot, in addition to its objects.
SNAPSHOT_ENTRY_BYTES = 150
# Tickets from these sources are new and are announced immediately. Others are announced with the
# next periodic announcement.
ANNOUNCED_SOURCES = ("filed", "watch")


class TicketConfiguration:
    """Implements the ``Configuration`` protocol of ``context.py``."""

    name = "configuration"

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._log = TicketLog()
        self.store = TicketStore(ctx.store)
        self.exchange = TicketExchange(
            ctx.peers, self._log, self._on_announce, lambda: self.is_loaded
        )
        self._background = BackgroundTasks()
        self._subscribers: list[Callable[[Config, Config], None]] = []
        self._catch_up_lock = asyncio.Lock()
        self._is_fetching = False
        self._snapshot_bound_bytes: int | None = None
        self._loaded = asyncio.Event()
        self._last_confirmed_ms = ctx.clock.now_ms()
        metrics = ctx.metrics
        self._number_gauge = metrics.gauge(
            "nutmeglb_ticket_number", "Number of the ticket in force."
        )
        self._applied_counter = metrics.counter(
            "nutmeglb_tickets_applied_total", "Tickets applied here."
        )
        self._stale_counter = metrics.counter(
            "nutmeglb_tickets_stale_total", "Old tickets ignored."
        )
        self._violations_counter = metrics.counter(
            "nutmeglb_invariant_violations_total", "Violated guarantees."
        )

    @property
    def log(self) -> TicketLog:
        """Return the ticket log."""
        return self._log

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration has been read from the store or a peer."""
        return self._loaded.is_set()

    @property
    def stale_since_ms(self) -> float | None:
        """Return the wall-clock time in milliseconds of the last confirmation, if it is stale.

        ``None`` while the store or a peer has confirmed it within ``STALE_AFTER_MS``.
        """
        age_ms = self._confirmed_age_ms()
        if age_ms < STALE_AFTER_MS:
            return None
        return self._ctx.clock.wall_ms() - age_ms

    def current(self) -> Config:
        """Return the immutable configuration."""
        return self._log.config

    def subscribe(self, callback: Callable[[Config, Config], None]) -> None:
        """Call ``callback`` with the old and the new configuration after every change."""
        self._subscribers.append(callback)

    async def wait_loaded(self) -> None:
        """Wait until a configuration has been read."""
        await self._loaded.wait()

    async def start(self) -> None:
        """Register the message handlers and start following the ticket log."""
        self.exchange.register()
        self._background.spawn(self._follow_log())
        self._background.spawn(self._announce_loop())

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: requests in flight still need the configuration."""

    async def stop(self) -> None:
        """Cancel all tasks."""
        await self._background.cancel()

    def status(self) -> Mapping[str, object]:
        """Return values for the status query."""
        return {
            "ticket": self._log.number,
            "loaded": self.is_loaded,
            "stale_since_ms": self.stale_since_ms,
        }

    async def get(self, number: int) -> Result[FiledTicket, NutmegError]:
        """Return an accepted ticket, or ``NotFound``."""
        recent_ticket = self._recent_ticket(number)
        if recent_ticket is not None:
            return Ok(recent_ticket)
        found = await self.store.read(number)
        if isinstance(found, Err):
            return Err(found.err_value)
        if found.ok_value is None:
            hint = "List the tickets; old ones are removed from the store"
            return Err(NotFound("The ticket does not exist", context={"number": number}, hint=hint))
        return Ok(FiledTicket(number, found.ok_value.value.ticket))

    async def list(self, limit: int) -> Result[Sequence[FiledTicket], NutmegError]:
        """Return the latest accepted tickets, latest first."""
        last = self._log.number
        numbers = range(last, max(0, last - limit), -1)
        recent_tickets = [
            ticket for number in numbers if (ticket := self._recent_ticket(number)) is not None
        ]
        if len(recent_tickets) == len(numbers):
            return Ok(recent_tickets)
        found: list[StoredTicket] = []
        after = max(0, last - limit)
        while after < last:
            batch = await self.store.read_after(after)
            if isinstance(batch, Err):
                return Err(batch.err_value)
            if not batch.ok_value:
                break
            found += batch.ok_value
            after = found[-1].number
        return Ok([FiledTicket(item.number, item.value.ticket) for item in reversed(found)])

    async def catch_up(self) -> Result[None, NutmegError]:
        """Apply every later ticket in the store."""
        async with self._catch_up_lock:
            for _ in range(MAX_CATCH_UP_BATCHES):
                started_ms = self._ctx.clock.now_ms()
                batch = await self.store.read_after(self._log.number)
                if isinstance(batch, Err):
                    return Err(batch.err_value)
                if not batch.ok_value:
                    self._confirm(started_ms)
                    return Ok(None)
                if batch.ok_value[0].number > self._log.number + 1:
                    # Older tickets have been removed; the snapshot replaces them.
                    loaded = await self._load_snapshot()
                    if isinstance(loaded, Err):
                        return loaded
                for item in batch.ok_value:
                    self.offer(item.value, item.data, "store")
                # The watch may have applied the whole batch during the read.
                if batch.ok_value[-1].number > self._log.number:
                    return Err(_missing_tickets_error(self._log.number, batch.ok_value[0].number))
                # Yields after each batch, so that a long log does not block the event loop.
                await asyncio.sleep(0)
        return Ok(None)

    def offer(self, item: NumberedTicket, data: bytes, source: str) -> OfferOutcome:
        """Apply a ticket if it is the next one, and notify the subscribers."""
        old = self._log.config
        try:
            outcome = self._log.offer(item.number, item.ticket)
        except InvariantViolation as violation:
            self._violations_counter.inc(invariant=str(violation.context.get("invariant")))
            self._ctx.events.emit("invariant_violated", str(violation), ticket=item.number)
            raise
        if outcome is OfferOutcome.STALE:
            self._stale_counter.inc()
        if outcome is OfferOutcome.APPLIED:
            self.exchange.recent.add(item.number, data)
            self._applied_counter.inc(source=source)
            self._ctx.events.emit(
                "ticket_applied",
                source,
                ticket=item.number,
                id=item.ticket.ticket_id,
                author=item.ticket.author,
            )
            if self._snapshot_bound_bytes is not None:
                self._snapshot_bound_bytes += len(data) + SNAPSHOT_ENTRY_BYTES
            self._publish(old)
            if source in ANNOUNCED_SOURCES:
                self.exchange.announce(self._confirmed_age_ms())
        return outcome

    async def snapshot_bound_bytes(self, *, measure: bool = False) -> int:
        """Return an upper bound of the snapshot's size in bytes.

        The size is measured once; the size of every ticket that is applied later is added to it.
        ``measure`` measures the exact size again.
        """
        bound_bytes = self._snapshot_bound_bytes
        if measure or bound_bytes is None:
            bound_bytes = self._snapshot_bound_bytes = len(await self.exchange.snapshots.encode())
        return bound_bytes

    def write_snapshot(self) -> None:
        """Write a snapshot in the background."""
        self._background.spawn(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        number = self._log.number
        data = await self.exchange.snapshots.encode()
        await self.store.write_snapshot(number, data)

    def _recent_ticket(self, number: int) -> FiledTicket | None:
        data = self.exchange.recent.get(number)
        decoded = decode_ticket(data) if data is not None else None
        if decoded is None or isinstance(decoded, Err):
            return None
        return FiledTicket(number, decoded.ok_value.ticket)

    def _publish(self, old: Config) -> None:
        self._number_gauge.set(float(self._log.number))
        for callback in self._subscribers:
            callback(old, self._log.config)

    def _install_snapshot(self, snapshot: TicketLogSnapshot, source: str) -> None:
        old = self._log.config
        if self._log.install_snapshot(snapshot) is OfferOutcome.APPLIED:
            self._snapshot_bound_bytes = None
            self._ctx.events.emit("snapshot_applied", source, ticket=self._log.number)
            self._publish(old)

    async def _load_snapshot(self) -> Result[None, NutmegError]:
        snapshot = await self.store.read_snapshot()
        if isinstance(snapshot, Err):
            return Err(snapshot.err_value)
        if snapshot.ok_value is not None:
            self._install_snapshot(snapshot.ok_value, "store")
        return Ok(None)

    async def _follow_log(self) -> None:
        while not self.is_loaded:
            await self._bootstrap()
            if not self.is_loaded:
                delay_ms = self._ctx.rng.uniform(0.5, 1.0) * BOOTSTRAP_RETRY_DELAY_MS
                await asyncio.sleep(delay_ms / 1_000)
        self._background.spawn(self._watch_loop())
        while True:
            await asyncio.sleep(self._ctx.rng.uniform(0.8, 1.0) * POLL_INTERVAL_MS / 1_000)
            await self._try_catch_up()

    async def _bootstrap(self) -> None:
        """Load the configuration from the store, or from a connected peer if the store fails."""
        loaded = await self._load_snapshot()
        if loaded.is_ok() and (await self._try_catch_up()).is_ok():
            self._set_loaded("store")
            return
        members = [m.instance_id for m in self._ctx.peers.members()]
        candidates = [name for name in members if self._ctx.peers.connected(name)]
        self._ctx.rng.shuffle(candidates)
        for name in candidates:
            if await self._fetch(name):
                self._set_loaded("peer")
                return

    def _set_loaded(self, source: str) -> None:
        self._loaded.set()
        self._ctx.events.emit("configuration_loaded", source, ticket=self._log.number)

    async def _try_catch_up(self) -> Result[None, NutmegError]:
        try:
            result = await self.catch_up()
        except InvariantViolation as violation:
            logger.error(
                "ticket log is inconsistent; keeping the configuration in force",
                cause=str(violation),
            )
            return Err(violation)
        if isinstance(result, Err):
            logger.warning(
                "cannot read the ticket log from the store; retrying", cause=str(result.err_value)
            )
        return result

    async def _watch_loop(self) -> None:
        backoff = Backoff(self._ctx.rng, MAX_WATCH_BACKOFF_MS)
        while True:
            started_ms = self._ctx.clock.now_ms()
            await self._ctx.store.watch(TICKET_PREFIX, self._on_change)
            if self._ctx.clock.now_ms() - started_ms > MAX_WATCH_BACKOFF_MS:
                backoff.reset()
            await asyncio.sleep(backoff.next_delay_ms() / 1_000)
            await self._try_catch_up()

    def _on_change(self, change: KeyValue) -> None:
        if change.version == 0:
            return
        ticket = decode_entry(change)
        if isinstance(ticket, Err):
            logger.error(
                "ignored a change of a stored ticket that cannot be decoded",
                cause=str(ticket.err_value),
            )
            return
        self._offer_or_catch_up(ticket.ok_value.value, ticket.ok_value.data)

    def _offer_or_catch_up(self, item: NumberedTicket, data: bytes) -> None:
        try:
            outcome = self.offer(item, data, "watch")
        except InvariantViolation as violation:
            logger.error(
                "ticket log is inconsistent; keeping the configuration in force",
                cause=str(violation),
            )
            return
        if outcome is OfferOutcome.GAP:
            self._background.spawn(self._try_catch_up())

    async def _announce_loop(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_MS / 1_000)
            if self.is_loaded:
                self.exchange.announce(self._confirmed_age_ms())

    async def _on_announce(self, sender: str, message: TicketAnnounce) -> None:
        if message.number > self._log.number and self.is_loaded and not self._is_fetching:
            self._is_fetching = True
            try:
                while message.number > self._log.number and await self._fetch(sender):
                    pass
            finally:
                self._is_fetching = False
        if message.number <= self._log.number and message.confirmed_age_ms >= 0:
            self._confirm(self._ctx.clock.now_ms() - message.confirmed_age_ms)

    async def _fetch(self, instance_id: str) -> bool:
        """Fetch and apply one batch of a peer's tickets.

        Return whether the log advanced. Before the first load, any valid reply counts.
        """
        fetched = await self.exchange.fetch(instance_id)
        if isinstance(fetched, Err):
            logger.warning(
                "ticket fetch failed; retrying", peer=instance_id, cause=str(fetched.err_value)
            )
            return False
        relayed_tickets: RelayedTickets = fetched.ok_value
        previous_number = self._log.number
        try:
            if relayed_tickets.snapshot is not None:
                self._install_snapshot(relayed_tickets.snapshot, "peer")
            for item, data in relayed_tickets.tickets:
                self.offer(item, data, "peer")
        except InvariantViolation as violation:
            logger.error(
                "ticket log of a peer conflicts with the local one; ignoring its reply",
                peer=instance_id,
                cause=str(violation),
            )
            return False
        return self._log.number > previous_number or not self.is_loaded

    def _confirm(self, at_ms: float) -> None:
        self._last_confirmed_ms = max(self._last_confirmed_ms, at_ms)

    def _confirmed_age_ms(self) -> float:
        return max(0.0, self._ctx.clock.now_ms() - self._last_confirmed_ms)


def _missing_tickets_error(number: int, next_number: int) -> NutmegError:
    return StoredValueError(
        "Tickets are missing in the store",
        context={"in_force": number, "next_found": next_number},
        hint="Stale reads resolve without intervention; if this persists, restore the missing keys",
    )

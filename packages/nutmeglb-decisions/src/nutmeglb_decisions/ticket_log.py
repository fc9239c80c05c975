"""Ticket log of one instance: detects conflicts and applies tickets in order."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import Any

from result import Err, Ok, Result

from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.ticket_validation import validate
from nutmeglb_formats.exceptions import NutmegError, TicketConflict, TicketInvalid
from nutmeglb_formats.models.config import Config
from nutmeglb_formats.models.stored_ticket import TicketLogSnapshot, ticket_digest
from nutmeglb_formats.models.ticket import Ticket

INVARIANT = "tickets"
SECTIONS = ("services", "jobs", "teams", "policies")
# Number of recent tickets whose ids and changed objects are kept. A ticket with an older base is
# refused, because it cannot be checked for conflicts.
HISTORY_TICKETS = 1_000
PRUNE_INTERVAL_TICKETS = 100


class OfferOutcome(Enum):
    """Result of offering a ticket or snapshot that was read from the store or relayed by a peer."""

    APPLIED = auto()
    STALE = auto()
    GAP = auto()


@dataclass(frozen=True, slots=True)
class Proposal:
    """Number at which to file a ticket, or at which it is already filed."""

    number: int
    is_filed: bool


class TicketLog:
    """Configuration in force. Tickets are applied in order and never reverted."""

    def __init__(self) -> None:
        self._config = Config()
        self._recent_tickets: dict[str, tuple[int, str]] = {}
        self._ids_by_number: dict[int, str] = {}

    @property
    def config(self) -> Config:
        """Return the configuration in force."""
        return self._config

    @property
    def number(self) -> int:
        """Return the number of the last ticket applied."""
        return self._config.number

    def offer(self, number: int, ticket: Ticket) -> OfferOutcome:
        """Apply a ticket if its number is the next one.

        Raises
        ------
        InvariantViolation
            If another ticket with the same number has been applied.
        """
        if number > self.number + 1:
            return OfferOutcome.GAP
        if number <= self.number:
            known = self._ids_by_number.get(number, ticket.ticket_id)
            require(
                known == ticket.ticket_id,
                INVARIANT,
                "Two different tickets have the same number",
                number=number,
                ticket=ticket.ticket_id,
                in_force=known,
            )
            return OfferOutcome.STALE
        self._replace_config(apply_ticket(self._config, number, ticket))
        self._record_ticket(ticket.ticket_id, number, ticket_digest(ticket))
        return OfferOutcome.APPLIED

    def install_snapshot(self, snapshot: TicketLogSnapshot) -> OfferOutcome:
        """Replace the state by a snapshot if it is newer."""
        if snapshot.config.number <= self.number:
            return OfferOutcome.STALE
        self._replace_config(snapshot.config)
        self._recent_tickets.clear()
        self._ids_by_number.clear()
        for ticket_id, (number, digest) in snapshot.recent.items():
            self._record_ticket(ticket_id, number, digest)
        return OfferOutcome.APPLIED

    def snapshot(self) -> TicketLogSnapshot:
        """Return a snapshot of the current state."""
        return TicketLogSnapshot(self._config, dict(self._recent_tickets))

    def propose(self, ticket: Ticket) -> Result[Proposal, NutmegError]:
        """Check a ticket for conflicts and faults against the configuration in force."""
        known = self._recent_tickets.get(ticket.ticket_id)
        if known is not None:
            return _resolve_known_ticket(ticket, *known)
        conflict = _find_conflict(self._config, ticket)
        if conflict is not None:
            return Err(conflict)
        fault = validate(ticket, self._config, apply_ticket(self._config, self.number + 1, ticket))
        return Err(fault) if fault is not None else Ok(Proposal(self.number + 1, False))

    def _replace_config(self, config: Config) -> None:
        require(
            config.number > self.number,
            INVARIANT,
            "The number of the configuration in force would not increase",
            number=config.number,
            in_force=self.number,
        )
        self._config = config

    def _record_ticket(self, ticket_id: str, number: int, digest: str) -> None:
        self._recent_tickets[ticket_id] = (number, digest)
        self._ids_by_number[number] = ticket_id
        oldest = self.number - HISTORY_TICKETS
        while self._ids_by_number and (first := next(iter(self._ids_by_number))) <= oldest:
            self._recent_tickets.pop(self._ids_by_number.pop(first), None)


def apply_ticket(config: Config, number: int, ticket: Ticket) -> Config:
    """Return the configuration that results from applying a ticket."""
    values: dict[str, Any] = {name: dict(getattr(config, name)) for name in SECTIONS}
    for entry in ticket.removed:
        section, _, name = entry.partition("/")
        values.get(section, {}).pop(name, None)
    for section in SECTIONS:
        for item in getattr(ticket, section):
            values[section][item.name] = item
    changed_by = dict(config.changed_by) | dict.fromkeys(ticket.touched(), number)
    if number % PRUNE_INTERVAL_TICKETS == 0:
        changed_by = _prune_changed_by(changed_by, number - HISTORY_TICKETS)
    return replace(config, number=number, changed_by=changed_by, **values)


def _prune_changed_by(changed_by: Mapping[str, int], oldest: int) -> dict[str, int]:
    return {entry: number for entry, number in changed_by.items() if number > oldest}


def _resolve_known_ticket(
    ticket: Ticket, number: int, digest: str
) -> Result[Proposal, NutmegError]:
    if ticket_digest(ticket) == digest:
        return Ok(Proposal(number, True))
    return Err(
        TicketInvalid(
            "A different ticket with this id has already been filed",
            context={"id": ticket.ticket_id, "number": number},
            hint="Choose a new ticket id",
        )
    )


def _find_conflict(config: Config, ticket: Ticket) -> NutmegError | None:
    if ticket.base > config.number:
        return TicketInvalid(
            "The base is greater than the number of the last ticket",
            context={"base": ticket.base, "last": config.number},
            hint=f"Set base to {config.number}",
        )
    if ticket.base < config.number - HISTORY_TICKETS:
        return TicketConflict(
            "The base is too old to check for conflicts",
            context={"base": ticket.base, "last": config.number},
            hint=f"Review the configuration in force and set base to {config.number}",
        )
    later = _later_changes(config.changed_by, ticket.touched(), ticket.base)
    if not later:
        return None
    number, entry = max(later)
    return TicketConflict(
        "A later ticket changed the same object",
        context={"object": entry, "ticket": number, "base": ticket.base},
        hint=f"Merge its change into this ticket and set base to {config.number}",
    )


def _later_changes(
    changed_by: Mapping[str, int], touched: Iterable[str], base: int
) -> list[tuple[int, str]]:
    changes = ((changed_by.get(entry, 0), entry) for entry in touched)
    return [(number, entry) for number, entry in changes if number > base]

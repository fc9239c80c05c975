"""Command ``ticket diff``."""

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session
from nutmegctl._internal.ticket_source import load_ticket
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.ticket_text import diff_tickets


@command(
    "ticket",
    "diff",
    examples=(
        "nutmegctl ticket diff 11 12",
        "nutmegctl ticket diff 12 raise-quota.yaml",
        "nutmegctl ticket diff old.yaml new.yaml",
    ),
)
async def ticket_diff(session: Session, old: str, new: str) -> ExitStatus:
    """Show the difference of two tickets.

    Each of the two is the number of an accepted ticket or a ticket file. Quantities are compared
    by value: '1 core' and '1000m' are equal.
    """
    difference = diff_tickets(
        await load_ticket(session, old), await load_ticket(session, new), old, new
    )
    session.output.text({"diff": difference}, difference or "The tickets are equal")
    return ExitStatus.OK

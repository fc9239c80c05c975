"""Command ``ticket check``."""

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmegctl._internal.ticket_source import read_ticket_file
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import TicketAnswer


@command(
    "ticket",
    "check",
    examples=("nutmegctl ticket check raise-quota.yaml",),
)
async def ticket_check(session: Session, file: str) -> ExitStatus:
    """Check a ticket file and change nothing.

    The file is checked here first, then against the configuration in force.
    """
    text = read_ticket_file(file)
    answer = unwrap(await session.client.post("/v1/tickets/check", TicketAnswer, text))
    session.output.text(answer, f"{file}: valid; it changes {', '.join(answer.touched)}")
    return ExitStatus.OK

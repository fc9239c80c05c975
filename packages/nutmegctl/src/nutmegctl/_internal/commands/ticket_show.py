"""Command ``ticket show``."""

from nutmegctl._internal.client import api_path
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import FiledTicketAnswer
from nutmeglb_formats.ticket_text import write_ticket


@command("ticket", "show", examples=("nutmegctl ticket show 12",))
async def ticket_show(session: Session, number: int) -> ExitStatus:
    """Show an accepted ticket as a ticket file."""
    answer = unwrap(await session.client.get(api_path("tickets", number), FiledTicketAnswer))
    session.output.text(answer, write_ticket(answer.ticket).rstrip("\n"))
    return ExitStatus.OK

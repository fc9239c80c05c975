"""Command ``ticket file``."""

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmegctl._internal.ticket_source import read_ticket_file
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import TicketAnswer


@command(
    "ticket",
    "file",
    examples=(
        "nutmegctl ticket file raise-quota.yaml",
        "nutmegctl ticket file raise-quota.yaml --json",
    ),
)
async def ticket_file(session: Session, file: str) -> ExitStatus:
    """File a ticket and print its number.

    The command returns when the ticket is accepted. 'ticket wait' waits until every live instance
    has it in force. Filing the same id twice is one ticket, so the command can be repeated.
    """
    text = read_ticket_file(file)
    answer = unwrap(await session.client.post("/v1/tickets", TicketAnswer, text))
    session.output.text(answer, f"Accepted as ticket {answer.number}")
    return ExitStatus.OK

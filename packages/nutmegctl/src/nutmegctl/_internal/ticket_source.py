"""Tickets from files and from the ticket log."""

from result import Err

from nutmegctl._internal.client import path_of
from nutmegctl._internal.connection import read_file
from nutmegctl._internal.session import CommandFailed, Session, unwrap
from nutmeglb_formats.models.admin import FiledTicketAnswer
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.ticket_file import parse_ticket


def ticket_text(file: str) -> str:
    """Return the text of a valid ticket file, or end the command with every fault."""
    text = unwrap(read_file(file))
    parse(text, file)
    return text


def parse(text: str, file: str) -> Ticket:
    """Return the ticket in a text, or end the command with every fault."""
    parsed = parse_ticket(text, file=file)
    if isinstance(parsed, Err):
        raise CommandFailed(parsed.err_value)
    return parsed.ok_value


async def ticket_of(session: Session, source: str) -> Ticket:
    """Return the ticket with a number, or in a file."""
    if source.isascii() and source.isdigit():
        return unwrap(
            await session.client.get(path_of("tickets", source), FiledTicketAnswer)
        ).ticket
    return parse(unwrap(read_file(source)), source)

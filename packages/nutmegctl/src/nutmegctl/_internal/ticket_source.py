"""Loads tickets from files and from the ticket log."""

from result import Err

from nutmegctl._internal.client import api_path
from nutmegctl._internal.connection import read_file
from nutmegctl._internal.session import CommandFailed, Session, unwrap
from nutmeglb_formats.models.admin import FiledTicketAnswer
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.ticket_file import parse_ticket


def read_ticket_file(file: str) -> str:
    """Return the text of a ticket file, or end the command with all errors found in it."""
    text = unwrap(read_file(file))
    parse_or_fail(text, file)
    return text


def parse_or_fail(text: str, file: str) -> Ticket:
    """Return the ticket in ``text``, or end the command with all errors found in it."""
    parse_result = parse_ticket(text, file=file)
    if isinstance(parse_result, Err):
        raise CommandFailed(parse_result.err_value)
    return parse_result.ok_value


async def load_ticket(session: Session, source: str) -> Ticket:
    """Return a ticket by its source, the number of an accepted ticket or the path of a file."""
    if source.isascii() and source.isdigit():
        return unwrap(
            await session.client.get(api_path("tickets", source), FiledTicketAnswer)
        ).ticket
    return parse_or_fail(unwrap(read_file(source)), source)

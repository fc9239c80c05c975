"""Command ``ticket list``."""

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import TicketListAnswer


@command("ticket", "list", examples=("nutmegctl ticket list --limit=5",))
async def ticket_list(session: Session, limit: int = 20) -> ExitStatus:
    """List accepted tickets, latest first."""
    answer = unwrap(await session.client.get("/v1/tickets", TicketListAnswer, limit=limit))
    rows = [
        (item.number, item.id, item.author, ", ".join(item.touched), item.summary)
        for item in answer.tickets
    ]
    session.output.answer(answer, ("number", "id", "author", "changes", "summary"), rows)
    return ExitStatus.OK

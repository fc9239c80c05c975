"""Command ``teams``."""

from nutmegctl._internal.output import format_resources
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import TeamListAnswer

HEADINGS = ("team", "quota", "allocated", "running", "waiting")


@command("teams", examples=("nutmegctl teams",))
async def teams(session: Session) -> ExitStatus:
    """List teams with quota and use. A team sees its own."""
    answer = unwrap(await session.client.get("/v1/teams", TeamListAnswer))
    rows = [
        (
            item.name,
            format_resources(item.quota),
            format_resources(item.allocated),
            item.running,
            item.waiting,
        )
        for item in answer.teams
    ]
    session.output.answer(answer, HEADINGS, rows)
    return ExitStatus.OK

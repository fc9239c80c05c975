"""Command ``job list``."""

from nutmegctl._internal.job_rows import HEADINGS, job_row
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobListAnswer


@command("job", "list", examples=("nutmegctl job list", "nutmegctl job list --team=labs --limit=5"))
async def job_list(session: Session, team: str = "", limit: int = 50) -> ExitStatus:
    """List jobs, latest first. A team sees its own."""
    answer = unwrap(await session.client.get("/v1/jobs", JobListAnswer, team=team, limit=limit))
    session.output.answer(answer, HEADINGS, [job_row(view) for view in answer.jobs])
    return ExitStatus.OK

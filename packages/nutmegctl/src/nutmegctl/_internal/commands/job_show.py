"""Command ``job show``."""

from nutmegctl._internal.client import api_path
from nutmegctl._internal.job_rows import job_details
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobAnswer


@command("job", "show", examples=("nutmegctl job show a.6f1c...",))
async def job_show(session: Session, job: str) -> ExitStatus:
    """Show a job."""
    answer = unwrap(await session.client.get(api_path("jobs", job), JobAnswer))
    session.output.answer(answer, ("field", "value"), job_details(answer.job))
    return ExitStatus.OK

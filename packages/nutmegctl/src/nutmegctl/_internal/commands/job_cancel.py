"""Command ``job cancel``."""

from nutmegctl._internal.client import api_path
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobAnswer


@command("job", "cancel", examples=("nutmegctl job cancel a.6f1c...",))
async def job_cancel(session: Session, job: str) -> ExitStatus:
    """Cancel a job. Repeating it has no further effect."""
    answer = unwrap(await session.client.post(api_path("jobs", job, "cancel"), JobAnswer))
    session.output.text(answer, f"Job {job} is {answer.job.state.value}")
    return ExitStatus.OK

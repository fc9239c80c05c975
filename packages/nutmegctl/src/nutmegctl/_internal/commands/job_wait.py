"""Command ``job wait``."""

from nutmegctl._internal.client import api_path
from nutmegctl._internal.job_rows import progress_line
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobAnswer
from nutmeglb_formats.models.jobs import JobState

ENDED_STATES = (JobState.FINISHED, JobState.CANCELLED)


@command(
    "job",
    "wait",
    examples=("nutmegctl job wait a.6f1c...", "nutmegctl job wait a.6f1c... --timeout-s=60"),
)
async def job_wait(session: Session, job: str, timeout_s: float = 3_600.0) -> ExitStatus:
    """Wait until a job has finished.

    The exit status is 3 when it was cancelled or has not finished before the time-out.
    """

    async def fetch_job() -> JobAnswer:
        return unwrap(await session.client.get(api_path("jobs", job), JobAnswer))

    answer = await session.wait(
        fetch_job,
        lambda latest: latest.job.state in ENDED_STATES,
        lambda latest: progress_line(latest.job),
        timeout_s,
    )
    session.output.text(answer, progress_line(answer.job))
    finished = answer.job.state is JobState.FINISHED
    return ExitStatus.OK if finished else ExitStatus.REFUSED

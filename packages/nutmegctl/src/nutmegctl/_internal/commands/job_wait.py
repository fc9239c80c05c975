"""Command ``job wait``."""

from nutmegctl._internal.client import path_of
from nutmegctl._internal.job_rows import progress
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import JobAnswer
from nutmeglb_formats.models.jobs import JobState

ENDED = (JobState.FINISHED, JobState.CANCELLED)


@command(
    "job",
    "wait",
    examples=("nutmegctl job wait a.6f1c...", "nutmegctl job wait a.6f1c... --timeout-s=60"),
)
async def job_wait(session: Session, job: str, timeout_s: float = 3_600.0) -> ExitStatus:
    """Wait until a job has finished.

    The exit status is 3 when it was cancelled or has not finished before the time-out.
    """

    async def look() -> JobAnswer:
        return unwrap(await session.client.get(path_of("jobs", job), JobAnswer))

    answer = await session.wait(
        look,
        lambda seen: seen.job.state in ENDED,
        lambda seen: progress(seen.job),
        timeout_s,
    )
    session.output.text(answer, progress(answer.job))
    finished = answer.job.state is JobState.FINISHED
    return ExitStatus.OK if finished else ExitStatus.REFUSED

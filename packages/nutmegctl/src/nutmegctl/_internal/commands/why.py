"""Command ``why``."""

from nutmegctl._internal.client import api_path
from nutmegctl._internal.event_rows import HEADINGS, event_row
from nutmegctl._internal.output import format_table
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import WhyAnswer


@command("why", examples=("nutmegctl why a.6f1c...",))
async def why(session: Session, job: str) -> ExitStatus:
    """Explain why a job waits, with its latest events."""
    answer = unwrap(await session.client.get(api_path("jobs", job, "why"), WhyAnswer))
    text = f"Job {job} is {answer.state}: {answer.why or answer.wait_reason}"
    if answer.events:
        text += f"\n\n{format_table(HEADINGS, [event_row(event) for event in answer.events])}"
    session.output.text(answer, text)
    return ExitStatus.OK

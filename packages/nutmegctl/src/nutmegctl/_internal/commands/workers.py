"""Command ``workers``."""

from nutmegctl._internal.output import format_resources
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import WorkerListAnswer

HEADINGS = ("worker", "domain", "rack", "state", "tasks", "capacity", "allocated", "used", "why")


@command("workers", examples=("nutmegctl workers", "nutmegctl workers --json"))
async def workers(session: Session) -> ExitStatus:
    """List the workers of all reachable failure domains, with what is allocated and used."""
    answer = unwrap(await session.client.get("/v1/workers", WorkerListAnswer))
    rows = [
        (
            item.worker_id,
            item.domain,
            item.rack,
            item.state,
            item.tasks,
            format_resources(item.capacity),
            format_resources(item.allocated),
            format_resources(item.used),
            item.why,
        )
        for item in answer.workers
    ]
    session.output.answer(answer, HEADINGS, rows)
    return ExitStatus.OK

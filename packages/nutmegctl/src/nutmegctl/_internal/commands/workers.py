"""Command ``workers``."""

from nutmegctl._internal.output import resources_text
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
            resources_text(item.capacity),
            resources_text(item.allocated),
            resources_text(item.used),
            item.why,
        )
        for item in answer.workers
    ]
    session.output.answer(answer, HEADINGS, rows)
    return ExitStatus.OK

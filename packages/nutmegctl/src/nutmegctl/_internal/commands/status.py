"""Command ``status``."""

from nutmegctl._internal.output import time_text
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import InstanceView, StatusAnswer


@command("status", examples=("nutmegctl status", "nutmegctl status --json"))
async def status(session: Session) -> ExitStatus:
    """Show an instance, its components and the instances that it knows."""
    answer = unwrap(await session.client.get("/v1/status", StatusAnswer))
    rows: list[tuple[object, ...]] = [
        ("instance", "", answer.instance_id),
        ("", "domain", answer.domain),
        ("", "version", answer.version),
        ("", "ready", str(answer.ready).lower()),
        ("", "ticket", answer.ticket),
    ]
    for name, values in sorted(answer.components.items()):
        rows += [(name, key, value) for key, value in sorted(values.items())]
    rows += [("instances", view.instance_id, _instance_text(view)) for view in answer.instances]
    session.output.answer(answer, ("component", "field", "value"), rows)
    return ExitStatus.OK


def _instance_text(view: InstanceView) -> str:
    ticket = "unknown" if view.ticket is None else view.ticket
    text = f"{view.state}, domain {view.domain}, ticket {ticket}"
    if view.stale_since_ms is None:
        return text
    return f"{text}, not confirmed since {time_text(view.stale_since_ms)}"

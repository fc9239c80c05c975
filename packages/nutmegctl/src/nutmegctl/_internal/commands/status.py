"""Command ``status``."""

from collections.abc import Mapping

from nutmegctl._internal.output import format_table, format_time
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import InstanceView, StatusAnswer

INSTANCE_HEADINGS = (
    "instance",
    "domain",
    "state",
    "ticket",
    "admin address",
    "not confirmed since",
)


@command("status", examples=("nutmegctl status", "nutmegctl status --json"))
async def status(session: Session) -> ExitStatus:
    """Show an instance, its components and the instances that it knows.

    TICKET is the number of the last ticket in force. An instance with a time under NOT CONFIRMED
    SINCE reaches neither the store nor a peer that does. --json shows nested values in full.
    """
    answer = unwrap(await session.client.get("/v1/status", StatusAnswer))
    rows: list[tuple[object, ...]] = [
        ("instance", "id", answer.instance_id),
        ("", "domain", answer.domain),
        ("", "version", answer.version),
        ("", "ready", _format_value(answer.ready)),
        ("", "ticket", answer.ticket),
    ]
    for name, values in sorted(answer.components.items()):
        rows += [(name, key, _format_value(value)) for key, value in sorted(values.items())]
    parts = [
        format_table(("component", "field", "value"), rows),
        format_table(INSTANCE_HEADINGS, [_instance_row(view) for view in answer.instances]),
    ]
    session.output.text(answer, "\n\n".join(parts))
    return ExitStatus.OK


def _instance_row(view: InstanceView) -> tuple[object, ...]:
    stale = "" if view.stale_since_ms is None else format_time(view.stale_since_ms)
    return (view.instance_id, view.domain, view.state, view.ticket, view.admin_address, stale)


def _format_value(value: object) -> str:
    """Return a value as the text of a cell. A list with nested values is shown as its length."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, Mapping):
        return ", ".join(f"{key} {_format_value(item)}" for key, item in value.items())
    if isinstance(value, list):
        has_nested = any(isinstance(item, Mapping | list) for item in value)
        return f"{len(value)} entries" if has_nested else ", ".join(map(_format_value, value))
    if isinstance(value, float):
        return f"{value:.1f}"
    return "" if value is None else str(value)

"""Command ``timeline``."""

import asyncio
from collections.abc import Sequence

from result import Err

from nutmegctl._internal.connection import read_file
from nutmegctl._internal.event_rows import HEADINGS, event_row
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import StatusAnswer, TimelineAnswer
from nutmeglb_formats.models.events import Event, EventFilter
from nutmeglb_formats.timeline import merge_events, read_log


@command(
    "timeline",
    examples=(
        "nutmegctl timeline --job=a.6f1c...",
        "nutmegctl timeline --kind=ticket --limit=200",
        "nutmegctl timeline --logs=e1.log,e2.log --request=5b2e...",
    ),
)
async def timeline(
    session: Session,
    request: str = "",
    task: str = "",
    job: str = "",
    ticket: int | None = None,
    worker: str = "",
    endpoint: str = "",
    kind: str = "",
    limit: int = 100,
    logs: str = "",
    live: bool = True,
) -> ExitStatus:
    """Merge the events of all instances in causal order.

    Events come from every instance that the first answering one knows, and from the log files in
    LOGS, separated by commas. With --live=false only the files are read. KIND selects events whose
    kind starts with it, LIMIT is the number of latest events per instance.
    """
    filters = {
        "request": request or None,
        "task": task or None,
        "job": job or None,
        "ticket": ticket,
        "worker": worker or None,
        "endpoint": endpoint or None,
        "kind": kind or None,
    }
    event_filter = EventFilter(**filters)  # type: ignore[arg-type]
    streams = [_read_log_file(session, path) for path in logs.split(",") if path]
    if live:
        streams += await _fetch_live_streams(session, {**filters, "limit": limit})
    events = (
        merge_events(streams, event_filter)[-limit:]
        if live
        else merge_events(streams, event_filter)
    )
    answer = TimelineAnswer(events=events)
    session.output.answer(answer, HEADINGS, [event_row(event) for event in events])
    return ExitStatus.OK


def _read_log_file(session: Session, path: str) -> Sequence[Event]:
    log_events = read_log(unwrap(read_file(path)).splitlines())
    if log_events.unreadable_count:
        session.output.progress(
            f"{path}: {log_events.unreadable_count} event lines cannot be read and are skipped"
        )
    return log_events.events


async def _fetch_live_streams(
    session: Session, parameters: dict[str, object]
) -> list[Sequence[Event]]:
    status = unwrap(await session.client.get("/v1/status", StatusAnswer))
    addresses = {view.instance_id: view.admin_address for view in status.instances}
    other_addresses = {
        name: address
        for name, address in addresses.items()
        if address and name != status.instance_id
    }
    own = unwrap(await session.client.get("/v1/timeline", TimelineAnswer, **parameters))
    answers = await asyncio.gather(
        *(
            session.client.for_instance(address).get("/v1/timeline", TimelineAnswer, **parameters)
            for address in other_addresses.values()
        )
    )
    streams: list[Sequence[Event]] = [own.events]
    for name, answer in zip(other_addresses, answers, strict=True):
        if isinstance(answer, Err):
            session.output.progress(f"{name} does not answer; its events are missing")
        else:
            streams.append(answer.ok_value.events)
    return streams

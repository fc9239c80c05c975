"""Command ``ticket wait``."""

import asyncio
from dataclasses import dataclass

from result import Ok

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import InstanceView, StatusAnswer

LIVE = "live"


@dataclass(frozen=True, slots=True)
class _Report:
    """Ticket in force on an instance. ``None`` when it does not answer."""

    instance_id: str
    ticket: int | None


@command(
    "ticket",
    "wait",
    examples=("nutmegctl ticket wait 12", "nutmegctl ticket wait 12 --timeout-s=10"),
)
async def ticket_wait(session: Session, number: int, timeout_s: float = 60.0) -> ExitStatus:
    """Wait until a ticket is in force on every live instance.

    After the time-out the instances without it are listed, and the exit status is 3.
    """
    reports = await session.wait(
        lambda: _reports(session),
        lambda seen: not _without(seen, number),
        lambda seen: f"waiting for {_names(_without(seen, number))}",
        timeout_s,
    )
    late = _without(reports, number)
    state = {
        "ticket": number,
        "in_force": [item.instance_id for item in reports if item not in late],
        "not_in_force": [item.instance_id for item in late],
    }
    if not late:
        session.output.text(state, f"Ticket {number} is in force on {_names(reports)}")
        return ExitStatus.OK
    session.output.text(state, f"Ticket {number} is not in force on {_names(late)}")
    return ExitStatus.REFUSED


async def _reports(session: Session) -> list[_Report]:
    answer = unwrap(await session.client.get("/v1/status", StatusAnswer))
    live = [view for view in answer.instances if view.state == LIVE]
    known = {answer.instance_id: answer.ticket}
    return list(await asyncio.gather(*(_report(session, view, known) for view in live)))


async def _report(session: Session, view: InstanceView, known: dict[str, int]) -> _Report:
    if view.instance_id in known:
        return _Report(view.instance_id, known[view.instance_id])
    if view.admin_address:
        answer = await session.client.at(view.admin_address).get("/v1/status", StatusAnswer)
        if isinstance(answer, Ok):
            return _Report(view.instance_id, answer.ok_value.ticket)
    return _Report(view.instance_id, view.ticket)


def _without(reports: list[_Report], number: int) -> list[_Report]:
    return [item for item in reports if item.ticket is None or item.ticket < number]


def _names(reports: list[_Report]) -> str:
    return ", ".join(item.instance_id for item in reports) or "no live instance"

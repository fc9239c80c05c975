"""Command ``ticket wait``."""

import asyncio
from dataclasses import dataclass

from result import Ok

from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.models.admin import InstanceView, StatusAnswer

LIVE_STATE = "live"


@dataclass(frozen=True, slots=True)
class _InstanceTicket:
    """Number of the ticket in force on an instance; ``None`` if it is not known."""

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
    instance_tickets = await session.wait(
        lambda: _fetch_all_tickets(session),
        lambda latest: not _without_ticket(latest, number),
        lambda latest: f"waiting for {_join_ids(_without_ticket(latest, number))}",
        timeout_s,
    )
    late = _without_ticket(instance_tickets, number)
    state = {
        "ticket": number,
        "in_force": [item.instance_id for item in instance_tickets if item not in late],
        "not_in_force": [item.instance_id for item in late],
    }
    if not late:
        session.output.text(state, f"Ticket {number} is in force on {_join_ids(instance_tickets)}")
        return ExitStatus.OK
    session.output.text(state, f"Ticket {number} is not in force on {_join_ids(late)}")
    return ExitStatus.REFUSED


async def _fetch_all_tickets(session: Session) -> list[_InstanceTicket]:
    answer = unwrap(await session.client.get("/v1/status", StatusAnswer))
    live = [view for view in answer.instances if view.state == LIVE_STATE]
    known_tickets = {answer.instance_id: answer.ticket}
    return list(
        await asyncio.gather(*(_fetch_ticket(session, view, known_tickets) for view in live))
    )


async def _fetch_ticket(
    session: Session, view: InstanceView, known_tickets: dict[str, int]
) -> _InstanceTicket:
    if view.instance_id in known_tickets:
        return _InstanceTicket(view.instance_id, known_tickets[view.instance_id])
    if view.admin_address:
        answer = await session.client.for_instance(view.admin_address).get(
            "/v1/status", StatusAnswer
        )
        if isinstance(answer, Ok):
            return _InstanceTicket(view.instance_id, answer.ok_value.ticket)
    return _InstanceTicket(view.instance_id, view.ticket)


def _without_ticket(instance_tickets: list[_InstanceTicket], number: int) -> list[_InstanceTicket]:
    return [item for item in instance_tickets if item.ticket is None or item.ticket < number]


def _join_ids(instance_tickets: list[_InstanceTicket]) -> str:
    return ", ".join(item.instance_id for item in instance_tickets) or "no live instance"

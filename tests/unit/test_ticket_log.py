"""Ticket log: validation, conflicts, order, and races on a simulated store.

Guards against tickets that overwrite a change unknown to their author, are reverted, or are lost
after they were accepted.
"""

import asyncio
from dataclasses import replace
from typing import Any

import cbor2
import pytest
from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from nutmeglb._internal.ticket_snapshot import SnapshotEncoder
from nutmeglb_decisions import ticket_log
from nutmeglb_decisions.ticket_log import OfferOutcome, TicketLog
from nutmeglb_formats.exceptions import InvariantViolation, TicketConflict, TicketInvalid
from nutmeglb_formats.models import stored_ticket as stored
from nutmeglb_formats.models.config import JobDefinition, JobKind, Policy, Service, Team
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket

CORE = Resources(1_000, 1_000, 0)
TEAM = Team("color", Resources(10_000, 10_000, 0))
POLICY = Policy("default", domain_weights={"east": 0.5, "west": 0.5})
SERVICE = Service("shade", "color")
JOB = JobDefinition("nightly", "color", "east", JobKind.BATCH, 3, CORE)


def ticket(ticket_id: str = "t1", base: int = 0, **changes: Any) -> Ticket:
    return Ticket(ticket_id, base, "mira", "summary", **changes)


def filed(log: TicketLog, item: Ticket) -> int:
    number = log.propose(item).unwrap().number
    assert log.offer(number, item) is OfferOutcome.APPLIED
    return number


def encode_snapshot(log: TicketLog) -> bytes:
    return asyncio.run(SnapshotEncoder(log).encode())


def log_with_base_ticket() -> TicketLog:
    log = TicketLog()
    filed(log, ticket("base", teams=(TEAM,), policies=(POLICY,), services=(SERVICE,), jobs=(JOB,)))
    return log


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"services": (replace(SERVICE, team="nobody"),)}, "team does not exist"),
        ({"jobs": (replace(JOB, domain="south"),)}, "no weight"),
        ({"removed": ("teams/color",)}, "team does not exist"),
        ({"removed": ("jobs/absent",)}, "does not exist"),
        ({"removed": ("colors/x",)}, "does not exist"),
        ({"jobs": (JOB,), "removed": ("jobs/nightly",)}, "occurs twice"),
        ({}, "changes nothing"),
        ({"jobs": (replace(JOB, resources=Resources()),)}, "not positive"),
        ({"jobs": (replace(JOB, resources=Resources(-1, 1, 0)),)}, "not positive"),
        ({"jobs": (replace(JOB, resources=CORE.scaled(6)),)}, "A task exceeds"),
        ({"jobs": (replace(JOB, kind=JobKind.GANG, tasks=6),)}, "whole gang exceeds"),
        ({"jobs": (replace(JOB, kind=JobKind.SERVICE),)}, "kind is not allowed"),
        ({"services": (replace(SERVICE, replicas=6, resources=CORE),)}, "replicas exceed"),
        ({"services": (replace(SERVICE, slots=8, connections=4),)}, "connections"),
        ({"services": (replace(SERVICE, max_run_ms=float("nan")),)}, "duration"),
        ({"teams": (Team("color", CORE.scaled(1)),)}, "A task exceeds"),
        ({"policies": (Policy("default", domain_weights={"a": 0.6, "b": 0.6}),)}, "sum to more"),
        ({"policies": (Policy("default", domain_weights={"a": -0.1}),)}, "negative"),
        ({"jobs": (replace(JOB, name="a/b"),)}, "name is not valid"),
        (
            {"jobs": tuple(replace(JOB, name=f"{n}", command="x" * 9_000) for n in range(120))},
            "byt",
        ),
    ],
)
def test_invalid_ticket_is_refused_as_a_whole(changes: dict[str, Any], text: str) -> None:
    log = log_with_base_ticket()
    error = log.propose(ticket(base=1, **changes)).unwrap_err()
    assert isinstance(error, TicketInvalid)
    assert text in str(error)
    assert log.number == 1


def test_later_change_of_the_same_object_is_a_conflict_naming_it() -> None:
    log = log_with_base_ticket()
    filed(log, ticket("t2", 1, jobs=(replace(JOB, tasks=4),)))
    assert log.propose(ticket("t3", 1, services=(SERVICE,))).is_ok()
    error = log.propose(ticket("t4", 1, removed=("jobs/nightly",))).unwrap_err()
    assert isinstance(error, TicketConflict)
    assert error.context["object"] == "jobs/nightly"
    assert error.context["ticket"] == 2


def test_same_id_is_one_ticket_and_other_content_is_refused() -> None:
    log = log_with_base_ticket()
    item = ticket("t2", 1, jobs=(replace(JOB, tasks=4),))
    filed(log, item)
    again = log.propose(item).unwrap()
    assert (again.number, again.is_filed) == (2, True)
    assert isinstance(log.propose(replace(item, summary="other")).unwrap_err(), TicketInvalid)


def test_base_outside_the_history_is_refused() -> None:
    log = log_with_base_ticket()
    for number in range(2, ticket_log.HISTORY_TICKETS + 3):
        log.offer(number, ticket(f"t{number}", number - 1, teams=(Team("x", CORE),)))
    late = ticket("late", 1, jobs=(JOB,))
    assert isinstance(log.propose(late).unwrap_err(), TicketConflict)
    future_ticket = ticket("ahead", log.number + 1, jobs=(JOB,))
    assert isinstance(log.propose(future_ticket).unwrap_err(), TicketInvalid)


def test_stale_data_is_ignored_and_a_gap_is_not_applied() -> None:
    log = log_with_base_ticket()
    filed(log, ticket("t2", 1, jobs=(replace(JOB, tasks=4),)))
    assert log.offer(4, ticket("t4")) is OfferOutcome.GAP
    assert log.install_snapshot(log_with_base_ticket().snapshot()) is OfferOutcome.STALE
    assert log.number == 2
    with pytest.raises(InvariantViolation):
        log.offer(2, ticket("other"))


def test_stored_forms_round_trip_and_bad_values_are_errors() -> None:
    log = log_with_base_ticket()
    item = stored.NumberedTicket(7, ticket(jobs=(JOB,), policies=(POLICY,)))
    assert stored.decode_ticket(stored.encode_ticket(item)).unwrap() == item
    data = encode_snapshot(log)
    assert stored.decode_snapshot(data).unwrap() == log.snapshot()
    for bad in (b"", b"\xff", b"\x82\x02\x01", cbor2.dumps([1, 1, [b"x"], {}, {}])):
        assert stored.decode_ticket(bad).is_err()
        assert stored.decode_snapshot(bad).is_err()
    assert stored.decode_ticket(data).is_err()
    assert stored.decode_snapshot(stored.encode_ticket(item)).is_err()


class TicketMachine(RuleBasedStateMachine):
    """Instances file tickets through compare-and-swap on a simulated stored log."""

    NAMES = ("a", "b", "c")

    @initialize()
    def start(self) -> None:
        self.stored: list[Ticket] = []
        self.acknowledged: dict[str, int] = {}
        self.logs = {name: TicketLog() for name in self.NAMES}
        self.unresolved: list[Ticket] = []
        self.count = 0

    def _make_ticket(self, base: int, team: str) -> Ticket:
        self.count += 1
        quota = Resources(self.count, 1, 0)
        return ticket(f"t{self.count}", base, teams=(Team(team, quota),))

    def _file(self, name: str, item: Ticket, fault: str) -> None:
        log = self.logs[name]
        proposal = log.propose(item)
        if proposal.is_err():
            return
        number = proposal.unwrap().number
        if proposal.unwrap().is_filed:
            self.acknowledged[item.ticket_id] = number
            return
        if fault == "refused":
            return
        applied = number == len(self.stored) + 1
        if applied:
            self.stored.append(item)
        if fault == "lost":
            self.unresolved.append(item)
        elif applied:
            assert log.offer(number, item) is OfferOutcome.APPLIED
            self.acknowledged[item.ticket_id] = number

    @rule(
        name=st.sampled_from(NAMES),
        age=st.integers(0, 2),
        team=st.sampled_from(("x", "y")),
        fault=st.sampled_from(("none", "none", "lost", "refused")),
    )
    def file(self, name: str, age: int, team: str, fault: str) -> None:
        base = max(0, self.logs[name].number - age)
        self._file(name, self._make_ticket(base, team), fault)

    @rule(team=st.sampled_from(("x", "y")))
    def two_operators_race(self, team: str) -> None:
        for name in ("a", "b"):
            self.read(name, len(self.stored))
        base = len(self.stored)
        items = {name: self._make_ticket(base, team) for name in ("a", "b")}
        for name, item in items.items():
            self._file(name, item, "none")
        for name, item in items.items():
            self.read(name, len(self.stored))
            self._file(name, item, "none")
        winners = [item for item in items.values() if item.ticket_id in self.acknowledged]
        assert len(winners) == 1
        (loser,) = [item for item in items.values() if item not in winners]
        assert isinstance(self.logs["a"].propose(loser).unwrap_err(), TicketConflict)

    @rule(name=st.sampled_from(NAMES), upto=st.integers(0, 30))
    def read(self, name: str, upto: int) -> None:
        """Read a prefix of the stored log."""
        for number, item in enumerate(self.stored[:upto], start=1):
            self.logs[name].offer(number, item)

    @rule(name=st.sampled_from(NAMES))
    def file_unresolved_again(self, name: str) -> None:
        if self.unresolved:
            self._file(name, self.unresolved[-1], "none")

    @rule(name=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def relay_snapshot(self, name: str, other: str) -> None:
        self.logs[name].install_snapshot(
            stored.decode_snapshot(encode_snapshot(self.logs[other])).unwrap()
        )

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        self.logs[name] = TicketLog()

    @invariant()
    def logs_are_prefixes_and_nothing_acknowledged_is_lost(self) -> None:
        if not hasattr(self, "stored"):
            return
        ids = [item.ticket_id for item in self.stored]
        assert len(ids) == len(set(ids))
        for ticket_id, number in self.acknowledged.items():
            assert ids[number - 1] == ticket_id
        for log in self.logs.values():
            replayed = TicketLog()
            for number, item in enumerate(self.stored[: log.number], start=1):
                replayed.offer(number, item)
            assert log.config == replayed.config


TestTickets = seed(11)(TicketMachine).TestCase
TestTickets.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, database=None
)

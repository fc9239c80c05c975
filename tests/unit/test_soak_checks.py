"""Guards against a soak check that misses a violation of its guarantee."""

from collections.abc import Iterable

import pytest

from nutmeglb_formats.models.resources import Resources
from scripts import soak_checks as checks
from scripts.soak_checks import (
    CallerRecord,
    EndpointRun,
    Span,
    TaskRun,
    TicketRecord,
    TicketSample,
    Violation,
)

TASK_RESOURCES = Resources(cpu_millis=600)


def run(marker: str, start_s: float, end_s: float) -> EndpointRun:
    return EndpointRun(marker, "e1", start_s, end_s)


def caller(marker: str, outcome: str, echoed: str = "", key: str = "") -> CallerRecord:
    return CallerRecord(marker, key, False, "a1", 0.0, 1.0, outcome, echoed)


def task(
    name: str, worker: str, start_s: float, end_s: float, outcome: str = "succeeded"
) -> TaskRun:
    return TaskRun(
        worker, f"{name}/1", name, "job", TASK_RESOURCES, start_s, start_s, end_s, outcome, True
    )


def ticket(number: int, outcome: str = "accepted", race: str = "") -> TicketRecord:
    return TicketRecord(f"t{number}", race, 0, outcome, number, 10.0)


def sample(at_s: float, number: int, incarnation: int = 1) -> TicketSample:
    return TicketSample("a1", incarnation, at_s, number)


CAPACITY = {"w1": Resources(cpu_millis=1_000), "w2": Resources(cpu_millis=1_000)}
KEYED_CALLS = [caller("x#1", "unknown", key="k"), caller("x#2", "answered", "x#2", key="k")]
OUTAGE = [Span("a1", 11.0, 13.0)]
PLANNED_STOP = [Span("a1", 0.5, 2.0)]


@pytest.mark.parametrize(
    ("violations", "count"),
    [
        (checks.check_slots([run("x", 0, 2), run("y", 1, 3)], 1, 10.0), 1),
        (checks.check_slots([run("x", 0, 1), run("y", 1, 3)], 1, 10.0), 0),
        (checks.check_slots([run("x", 0, 99), run("y", 10, 11)], 1, 10.0), 0),
        (checks.check_connections({"e1": 65}, 64), 1),
        (checks.check_capacity([task("a", "w1", 0, 2), task("b", "w1", 1, 3)], CAPACITY), 1),
        (checks.check_capacity([task("a", "w1", 0, 2), task("b", "w2", 1, 3)], CAPACITY), 0),
        (checks.check_single_run([task("a", "w1", 0, 2), task("a", "w2", 1, 3, "failed")]), 1),
        (checks.check_single_run([task("a", "w1", 0, 1, "failed"), task("a", "w2", 1, 3)]), 0),
        (checks.check_single_run([task("a", "w1", 0, 1), task("a", "w2", 1, 3)]), 1),
        (checks.check_completion([task("a", "w1", 0, 1)], {"job": 2}), 1),
        (checks.check_completion([task("a", "w1", 0, 1)], {"job": 1}), 0),
        (checks.check_gangs([task("a", "w1", 0, 1), task("b", "w2", 0, 1)], {"job": 2}), 0),
        (checks.check_gangs([task("a", "w1", 0, 1), task("b", "w2", 5, 6)], {"job": 2}), 1),
        (checks.check_response_owner([caller("x", "answered", "y")]), 1),
        (checks.check_response_owner([caller("x#2", "answered", "x#1", key="k")]), 0),
        (checks.check_response_owner([caller("x#2", "answered", "x#1")]), 1),
        (checks.check_not_run([caller("x", "not-run")], [run("x", 0, 1)]), 1),
        (checks.check_not_run([caller("x", "unknown")], [run("x", 0, 1)]), 0),
        (checks.check_at_most_once([caller("x", "answered")], [run("x", 0, 1)] * 2), 1),
        (checks.check_at_most_once(KEYED_CALLS, [run("x#1", 0, 1), run("x#2", 0, 1)]), 1),
        (checks.check_at_most_once(KEYED_CALLS, [run("x#2", 0, 1)]), 0),
        (checks.check_leaving([run("x", 2.1, 3)], [Span("e1", 0.0, 9.0)]), 1),
        (checks.check_leaving([run("x", 1.9, 3)], [Span("e1", 0.0, 9.0)]), 0),
        (checks.check_planned_stops([caller("x", "closed")], PLANNED_STOP), 1),
        (checks.check_planned_stops([caller("x", "refused")], PLANNED_STOP), 0),
        (checks.check_tickets([ticket(1, race="r"), ticket(2, race="r")], [], []), 1),
        (checks.check_tickets([ticket(1, race="r"), ticket(0, "conflict", "r")], [], []), 0),
        (checks.check_tickets([ticket(0, "conflict", "r")] * 2, [], []), 1),
        (checks.check_tickets([*[ticket(0, "conflict", "r")] * 2, ticket(1, race="q")], [], []), 0),
        (checks.check_tickets([], [sample(1, 5), sample(2, 4)], []), 1),
        (checks.check_tickets([], [sample(1, 5), sample(2, 0, incarnation=2)], []), 0),
        (checks.check_tickets([ticket(3)], [sample(14.1, 2)], []), 1),
        (checks.check_tickets([ticket(3)], [sample(13.9, 2), sample(14.1, 3)], []), 0),
        (checks.check_tickets([ticket(3)], [sample(14.1, 2)], OUTAGE), 0),
        (checks.check_tickets([ticket(3)], [sample(17.1, 2)], OUTAGE), 1),
    ],
)
def test_each_check_reports_its_violation(violations: Iterable[Violation], count: int) -> None:
    assert len(list(violations)) == count

"""Ticket files: guards against faults without line and path, and against misread values."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from pydantic import TypeAdapter

from nutmeglb_formats.models.config import (
    JobDefinition,
    JobKind,
    PlacementPolicy,
    Policy,
    Service,
    Team,
)
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.ticket import Ticket
from nutmeglb_formats.quantities import format_memory, parse_memory
from nutmeglb_formats.ticket_file import parse_ticket, parse_ticket_incrementally
from nutmeglb_formats.ticket_text import diff_tickets, write_ticket
from tests.lib.samples import TICKET


def test_quantities_and_identifiers_are_parsed() -> None:
    ticket = parse_ticket(TICKET.replace("raise-quota", "1e3")).unwrap()
    assert ticket.ticket_id == "1e3"
    assert ticket.services[0].max_run_ms == 10_000
    assert ticket.jobs[0].resources == Resources(500, 2 * 1024**3)
    assert ticket.teams[0].quota.cpu_millis == 200_000
    assert ticket.policies[0].placement == {JobKind.BATCH: PlacementPolicy.SPREAD}
    assert ticket.removed == ("jobs/old-job",)


def test_parsed_ticket_has_the_stored_form_of_the_ticket_read_back() -> None:
    """Guards against a file that is filed twice and taken for two different tickets.

    CBOR encodes 5000 and 5000.0 differently, so a parsed duration must have the stored type.
    """
    text = TICKET.replace("placement: {batch", "gang_hold: 5 s\n      placement: {batch")
    ticket = parse_ticket(text.replace("tasks: 12", "run: 5 s\n      tasks: 12")).unwrap()
    adapter = TypeAdapter(Ticket)
    read_back = adapter.validate_json(adapter.dump_json(ticket))
    assert repr(read_back) == repr(ticket)


@pytest.mark.parametrize(
    ("size_bytes", "text"),
    [
        (0, "0 B"),
        (64 * 10**9, "64 GB"),
        (64 * 1024**3, "64 GiB"),
        (1536 * 1024**2, "1536 MiB"),
        (1001, "1001 B"),
    ],
)
def test_memory_is_formatted_exactly_as_a_small_number(size_bytes: int, text: str) -> None:
    assert format_memory(size_bytes) == text
    assert parse_memory(text).unwrap() == size_bytes


@pytest.mark.parametrize(
    ("old", "new", "line", "path", "text"),
    [
        ("base: 3", "base: three", 3, "base", "whole number"),
        ("base: 3\n", "", 1, None, "'base' is missing"),
        ("format: 1", "format: 2", 1, "format", "format: 1"),
        ("author: mira", "author: ''", 4, "author", "empty"),
        ("author: mira", "autor: mira", 4, "autor", "Write 'author'"),
        ("slots: 8", "slots: 0", 8, "set.services.shade-engine.slots", "from 1"),
        ("10 s", "10", 8, "set.services.shade-engine.max_run", "unit is missing"),
        ("10 s", "10 GiB", 8, "set.services.shade-engine.max_run", "'GiB' is unknown"),
        ("500m", "0.5m", 15, "set.jobs.recalibration.resources.cpu", "whole number"),
        ("2 GiB", "2 cores", 15, "set.jobs.recalibration.resources.memory", "GiB"),
        ("kind: batch", "kind: service", 13, "set.jobs.recalibration.kind", "batch, gang"),
        ("      tasks: 12\n", "", 10, "set.jobs.recalibration", "'tasks' is missing"),
        ("b: 0.5", "b: 0.6", 21, "set.policies.default.domain_weights", "at most 1"),
        ("b: 0.5", "a: 0.5", 21, "set.policies.default.domain_weights.a", "twice"),
        ("batch: spread", "batch: near", 20, "set.policies.default.placement.batch", "pack"),
        ("[old-job]", "[recalibration]", 1, None, "both set and removed"),
        ("[old-job]", "[old-job, old-job]", 23, "remove.jobs[1]", "removed twice"),
        ("[old-job]", "old-job", 23, "remove.jobs", "list"),
        ("    recalibration:", "    're/cal':", 10, "set.jobs.re/cal", "name is not valid"),
        ("mira", "&a mira\nextra: *a", 4, None, "aliases"),
        ("mira", "!x mira", 4, None, "Tags"),
        ("mira", "a\n---\nb: c", 5, None, "several documents"),
        ("mira", "[", 6, None, "not valid YAML"),
        ("mira", "~", 4, "author", "single value"),
    ],
)
def test_error_names_line_path_and_remedy(
    old: str, new: str, line: int, path: str | None, text: str
) -> None:
    errors = parse_ticket(TICKET.replace(old, new, 1)).unwrap_err()
    assert any(
        text in str(error)
        and error.context["line"] == line
        and error.context.get("path") == path
        and error.hint
        for error in errors
    ), [str(error) for error in errors]


@pytest.mark.parametrize(
    "text", ["", "[" * 100_000, "- " * 5_000, "\x00", "x" * 1_000_001, "a", "{}", "format: 1"]
)
def test_hostile_text_is_rejected(text: str) -> None:
    assert parse_ticket(text).unwrap_err()


@seed(3)
@settings(max_examples=200, database=None, deadline=None)
@given(st.integers(0, len(TICKET)), st.text(max_size=10), st.integers(0, 20))
def test_damaged_ticket_never_raises(position: int, inserted: str, removed: int) -> None:
    parse_ticket(TICKET[:position] + inserted + TICKET[position + removed :])


NAMES = st.from_regex(r"[a-zA-Z0-9][a-zA-Z0-9._-]{0,20}", fullmatch=True)
RESOURCES = st.builds(
    Resources, st.integers(0, 10**8), st.integers(0, 1024**5), st.integers(0, 100)
)
TICKETS = st.builds(
    Ticket,
    NAMES,
    st.integers(0, 10**9),
    st.text("abc é:#'\"", min_size=1).filter(str.strip),
    st.text("abc\n-~{", min_size=1).filter(str.strip),
    services=st.lists(
        st.builds(
            Service, NAMES, NAMES, slots=st.integers(1, 99), idempotent=st.booleans(),
            max_run_ms=st.integers(1, 10**8).map(float), resources=RESOURCES,
        ),
        max_size=2,
        unique_by=lambda item: item.name,
    ).map(tuple),
    jobs=st.lists(
        st.builds(
            JobDefinition, NAMES, NAMES, NAMES, st.sampled_from([JobKind.BATCH, JobKind.GANG]),
            st.integers(1, 10**6), RESOURCES, command=st.text("a b\n:'", max_size=20),
        ),
        max_size=2,
        unique_by=lambda item: item.name,
    ).map(tuple),
    teams=st.lists(st.builds(Team, NAMES, RESOURCES), min_size=1, max_size=1).map(tuple),
    policies=st.just((Policy("default", {JobKind.GANG: PlacementPolicy.PACK}, {"a": 0.25}),)),
)  # fmt: skip


@seed(4)
@settings(max_examples=100, database=None, deadline=None)
@given(TICKETS)
def test_written_ticket_reads_back_equal(ticket: Ticket) -> None:
    assert parse_ticket(write_ticket(ticket)).unwrap() == ticket


def test_large_ticket_is_parsed_in_many_steps() -> None:
    jobs = "".join(
        f"    j{n}: {{team: t, domain: a, kind: batch, tasks: 1, resources: {{}}}}\n"
        for n in range(500)
    )
    text = f"format: 1\nid: x\nbase: 0\nauthor: a\nsummary: s\nset:\n  jobs:\n{jobs}"
    assert sum(1 for _ in parse_ticket_incrementally(text)) > 500
    assert len(parse_ticket(text).unwrap().jobs) == 500


def test_diff_shows_changed_lines_only() -> None:
    old = parse_ticket(TICKET).unwrap()
    new = parse_ticket(TICKET.replace("slots: 8", "slots: 9")).unwrap()
    changed = [line for line in diff_tickets(old, new, "1", "2").splitlines() if line[:1] in "+-"]
    assert [line.strip() for line in changed[2:]] == ["-      slots: 8", "+      slots: 9"]
    assert diff_tickets(old, old, "1", "1") == ""

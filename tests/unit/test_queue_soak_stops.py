"""Runs on workers whose process is stopped are told from runs on workers that are up.

Guards against a soak that takes a stop for an excuse, or counts a run that stands still.
"""

from dataclasses import asdict

import pytest

from scripts.queue_soak_checks import SHRINK_S, check_record, read_record
from scripts.queue_soak_jobs import SoakJob, Span, check_jobs
from scripts.queue_soak_logs import SoakLogs
from scripts.queue_soak_stops import first_moment_up, merge_events, stop_spans, time_up
from scripts.queue_soak_trace import describe, describe_pairs
from standins.worker_fleet_state import SHARED
from standins.worker_fleet_stops import ResumeFlavour
from tests.unit.test_queue_soak import OTHER, acknowledge, boot, end, event, lapse, resize

STOPPED = {"t": 2.0, "event": "process_stop", "process": "p1"}
CONTINUED = {"t": 9.0, "event": "process_continue", "process": "p1"}
NOTED = {"t": 9.1, "event": "resume", "process": "p1", "since": 1.99}
STOP = [STOPPED, CONTINUED, NOTED]
FIRST = event(1.0, "start", "a", process="p1")
SECOND = event(8.0, "start", "b", run=2)


def found(events, disturbances=()):
    events = sorted([boot("a"), boot("b"), *events], key=lambda each: each["t"])
    return [
        (each.rule, each.at_s, each.detail)
        for each in check_record(read_record(events), disturbances)
    ]


@pytest.mark.parametrize(
    ("events", "at_s", "detail"),
    [
        ([*STOP, end(9.1, "a", "lapsed"), SECOND], None, ""),
        ([*STOP, end(9.1, "a", "done"), SECOND], 9.1, "after a stop, for 0.000 s"),
        ([*STOP, end(9.1, "a", "stopped"), SECOND], 9.1, "after a stop, for 0.000 s"),
        ([*STOP, end(9.1, "a", "crashed"), SECOND], None, ""),
        ([*STOP, end(9.25, "a", "lapsed"), SECOND], 9.1, "after a stop, for 0.150 s"),
        ([*STOP, end(9.6, "a", "done"), SECOND], 9.1, "after a stop, for 0.500 s"),
        ([*STOP, SECOND, end(8.9, "b", "done", run=2)], None, ""),
        ([*STOP, SECOND, end(9.0, "b", "done", run=2), end(9.5, "a", "done")], None, ""),
        ([*STOP, SECOND, end(9.3, "b", "done", run=2)], 9.1, "after a stop, for 0.200 s"),
        ([*STOP, end(9.6, "a", "done"), event(1.9, "start", "b", run=2)], 1.9, ""),
        ([*STOP, end(9.6, "a", "done"), event(9.2, "start", "b", run=2)], 9.2, ""),
        ([STOPPED, CONTINUED, end(9.6, "a", "done"), SECOND], 9.0, "after a stop, for 0.600 s"),
        (
            [STOPPED, CONTINUED, NOTED | {"t": 10.1}, end(10.1, "a", "lapsed"), SECOND],
            9.0,
            "after a stop, for 1.100 s",
        ),
        ([STOPPED, NOTED, SECOND], None, ""),
        ([STOPPED, SECOND], None, ""),
        ([end(9.1, "a", "lapsed"), SECOND], 8.0, ""),
        (
            [{**each, "process": "p2"} for each in STOP] + [end(9.1, "a", "lapsed"), SECOND],
            8.0,
            "",
        ),
        (
            [*STOP, end(9.1, "a", "lapsed"), event(8.0, "start", "b", run=2, process="p2")],
            None,
            "",
        ),
    ],
    ids=[
        "lapsed at once", "done at once", "stopped at once", "crashed", "lapsed later",
        "done later", "second ended during the stop", "second ended before the resumption",
        "second ends after the stop", "second before the stop", "second after the stop",
        "resumption not noted", "resumption noted too late", "never told to go on",
        "still stopped", "no stop", "another process", "second on a third process",
    ],
)  # fmt: skip
def test_time_of_a_stop_does_not_count_for_runs_of_its_process(events, at_s, detail):
    expected = [] if at_s is None else [("TWICE", at_s, f"at the same time {detail}".strip())]
    assert found([FIRST, *events]) == expected


def test_start_after_an_acknowledged_end_counts_whatever_is_stopped():
    events = [FIRST, end(1.5, "a", "done"), acknowledge(1.6, "a"), *STOP, SECOND]
    assert found(events) == [("TWICE", 8.0, "after its end")]


@pytest.mark.parametrize(
    ("process", "count"), [("p1", 0), ("p2", 1), ("", 1)], ids=["stopped", "another", "shared"]
)
def test_order_that_a_stop_held_up_may_assume_the_capacity_before_it(process, count):
    start = event(9.2, "start", "a", process=process)
    shrunk = resize(1.9, 500)
    assert SHRINK_S < 9.2 - 1.9
    assert len(found([shrunk, *STOP, start])) == count


@pytest.mark.parametrize(
    ("span", "stops", "moment", "duration_s"),
    [
        ((1.0, 3.0), [], 1.0, 2.0),
        ((1.0, 1.0), [], 1.0, 0.0),
        ((1.0, 1.0), [(0.0, 2.0)], None, 0.0),
        ((1.0, 3.0), [(0.0, 2.0)], 2.0, 1.0),
        ((1.0, 3.0), [(2.0, 4.0)], 1.0, 1.0),
        ((1.0, 9.0), [(4.0, 5.0), (0.0, 2.0)], 2.0, 6.0),
        ((1.0, 9.0), [(0.0, 6.0), (2.0, 3.0)], 6.0, 3.0),
        ((1.0, 9.0), [(0.0, 2.0), (2.0, 9.0)], None, 0.0),
        ((1.0, float("inf")), [(0.0, float("inf"))], None, 0.0),
    ],
)
def test_moments_outside_of_stops(span, stops, moment, duration_s):
    assert first_moment_up(span, stops) == moment
    assert time_up(span, stops) == pytest.approx(duration_s)


def test_stops_of_each_process_are_read():
    other = {"t": 3.0, "event": "process_stop", "process": "p2"}
    second = [{**each, "t": each["t"] + 10.0} for each in STOP]
    events = [STOPPED, other, CONTINUED, NOTED, *second]
    assert stop_spans(events) == {"p1": [(2.0, 9.1), (12.0, 19.1)], "p2": [(3.0, float("inf"))]}


def test_records_are_merged_by_time_and_keep_their_own_order():
    late_call = {"t": 1.0, "event": "call"}
    one = [boot("a", t=0.0), FIRST, event(4.0, "end", "a"), late_call]
    two = [boot("b", t=0.5), event(2.0, "start", "b"), event(5.0, "end", "b")]
    merged = merge_events([one, two, [STOPPED]])
    assert merged == [one[0], two[0], one[1], two[1], STOPPED, one[2], late_call, two[2]]


GANG = {"count": 2, "cpu": 100, "mem_mb": 10, "gang": True, "requires": SHARED}
TASKS = {"count": 2, "cpu": 100, "mem_mb": 10}


@pytest.mark.parametrize(
    ("step", "labels", "is_advised", "is_idle"),
    [
        (TASKS, ["a"], False, True),
        (GANG, ["a"], False, False),
        (GANG, ["a", SHARED], False, True),
        (TASKS, ["a"], True, False),
    ],
    ids=["any", "gang", "gang beside shared workers", "advised"],
)
def test_jobs_are_idle_only_beside_workers_that_may_run_them(step, labels, is_advised, is_idle):
    record = read_record([boot("a") | {"labels": labels}, boot("b") | {"labels": labels}])
    job = SoakJob(
        OTHER.partition(".")[0], "/jobs/x", "one", 1.0, [step], is_advised=is_advised,
        state="completed", ended_s=90.0,
    )  # fmt: skip
    violations = list(check_jobs([job], record, 4, Span(50.0, 80.0)))
    assert bool(violations) == is_idle


def test_description_tells_the_stop_its_resumption_and_the_lease_before_it(tmp_path):
    hold = {"event": "call", "call": "hold", "worker": "a", "life": 1, "deadline_ms": 6_000}
    clocks = [{"clock_ms": clock_ms} for clock_ms in (500, 900)]
    events = [
        boot("a"), boot("b"), FIRST,
        hold | {"t": 1.5, "executed": 1.5, "reply": 200},
        hold | clocks[0] | {"t": 1.6, "reply": "silent"},
        STOPPED, SECOND, CONTINUED, NOTED,
        hold | clocks[1] | {"t": 9.2, "executed": 9.2, "reply": 200},
        lapse(9.3, "a"), end(9.3, "a", "lapsed"),
    ]  # fmt: skip
    record = read_record(events)
    (violation,) = check_record(record)
    lines = describe(violation, record, SoakLogs([])).splitlines()
    starts = [
        "lapse ", "last lease before the second start", "stop of p1 from 2.000 to 9.100", "resume ",
        "last lease before the stop", "clock over the stop 400 ms on the worker in 7600 ms",
        "call after the stop",
    ]  # fmt: skip
    shown = [line.strip() for line in lines if not line.strip().startswith(("run ", "TWICE"))]
    assert [line[: len(start)] for line, start in zip(shown, starts, strict=True)] == starts
    assert '"t": 1.5' in shown[1] and '"t": 1.5' in shown[4]


@pytest.mark.parametrize(
    ("flavour", "kind"),
    [
        ({}, "clock ran on, ends first, 0.00 s late"),
        (
            {"lateness_s": 0.5, "renews_lapsed": True},
            "clock ran on, ends first, 0.50 s late, renews",
        ),
        ({"ends_first": False, "lateness_s": 0.5}, "clock ran on, lapse first, 0.50 s late"),
        ({"clock_stands_still": True}, "clock stood still"),
    ],
)
def test_pairs_are_counted_by_what_the_process_does_after_its_stop(flavour, kind):
    noted = NOTED | asdict(ResumeFlavour(**flavour))
    ends = [end(9.6, "a", "done"), end(9.7, "b", "stopped", run=2)]
    events = [boot("a"), boot("b"), FIRST, STOPPED, SECOND, CONTINUED, noted, *ends]
    record = read_record(events)
    assert describe_pairs(check_record(record), record) == {f"{kind}: done and stopped": 1}


def test_pair_without_a_stop_is_counted_as_such():
    record = read_record([boot("a"), boot("b"), event(1.0, "start", "a"), SECOND])
    assert describe_pairs(check_record(record), record) == {"no stop: active and active": 1}

"""Checks of the queue soak on small records."""

import json

import pytest

from scripts.queue_soak_checks import check_record, read_record
from scripts.queue_soak_keys import MAX_LAG_S, KeyCall, KeyLife, KeyRecord, check_keys
from scripts.queue_soak_logs import SoakLogs

TASK = "00000000000000aa.0.0.3"


def boot(worker, life=1, t=0.0):
    return {
        "t": t, "event": "boot", "worker": worker, "life": life, "cpu": 1_000, "mem_mb": 100,
    }  # fmt: skip


def event(t, kind, worker, run=1, life=1, task=TASK, **fields):
    needs = {"cpu": 600, "mem_mb": 10}
    return {
        "t": t, "event": kind, "worker": worker, "life": life, "task": task, "run": run, **needs,
        **fields,
    }  # fmt: skip


def end(t, worker, how, number=1, **fields):
    return event(t, "end", worker, how=how, end=number, **fields)


def acknowledge(t, worker, last_seen=1):
    return {"t": t, "event": "ack", "worker": worker, "life": 1, "last_seen": last_seen}


def lapse(t, worker):
    return {"t": t, "event": "lapse", "worker": worker, "life": 1}


BOOTS = [boot("a"), boot("b")]
FIRST = event(1.0, "start", "a")
SECOND = event(2.0, "start", "b", run=2)


@pytest.mark.parametrize(
    ("events", "found"),
    [
        ([FIRST, end(1.9, "a", "stopped"), SECOND], []),
        ([FIRST, SECOND, end(2.1, "a", "stopped")], [("TWICE", "at the same time")]),
        ([FIRST, SECOND], [("TWICE", "at the same time")]),
        ([FIRST, end(1.5, "a", "crashed"), SECOND], []),
        ([FIRST, end(1.5, "a", "done"), SECOND], []),
        (
            [FIRST, end(1.5, "a", "done"), acknowledge(1.6, "a"), SECOND],
            [("TWICE", "after its end")],
        ),
        (
            [FIRST, end(1.5, "a", "done"), SECOND, acknowledge(2.5, "a")],
            [("TWICE", "after its end")],
        ),
        ([FIRST, end(1.5, "a", "done"), lapse(1.6, "a"), SECOND, acknowledge(2.5, "a")], []),
        (
            [FIRST, end(1.5, "a", "done"), acknowledge(1.6, "a"), lapse(1.7, "a"), SECOND],
            [("TWICE", "after its end")],
        ),
        ([FIRST, end(1.5, "a", "failed"), acknowledge(1.6, "a"), SECOND], []),
    ],
    ids=[
        "one after the other", "stopping", "never ended", "crashed", "not acknowledged",
        "acknowledged before", "acknowledged later", "lapsed between", "lapsed later", "failed",
    ],
)  # fmt: skip
def test_second_run_of_a_task_is_found(events, found):
    violations = check_record(read_record([*BOOTS, *events]))
    assert [(violation.rule, violation.detail) for violation in violations] == found


OTHER = "00000000000000bb.0.0.0"


@pytest.mark.parametrize(
    ("events", "count"),
    [
        ([FIRST, event(2.0, "start", "a", task=OTHER)], 1),
        ([FIRST, event(1.5, "stop", "a"), event(2.0, "start", "a", task=OTHER)], 1),
        ([FIRST, end(1.9, "a", "stopped"), event(2.0, "start", "a", task=OTHER)], 0),
        ([FIRST, event(2.0, "start", "b", task=OTHER)], 0),
        (
            [
                FIRST,
                end(1.5, "a", "crashed"),
                boot("a", 2, 1.5),
                event(2.0, "start", "a", task=OTHER, life=2),
            ],
            0,
        ),
    ],
    ids=["over", "stopping counts", "ended", "other worker", "restarted"],
)
def test_worker_over_its_capacity_is_found(events, count):
    violations = check_record(read_record([*BOOTS, *events]))
    assert [violation.rule for violation in violations] == ["LIMIT"] * count


def test_release_of_a_run_is_traced_to_its_line(tmp_path):
    step = TASK.rpartition(".")[0]
    lines = [
        {"kind": "runs_ended", "cause": "done", "step": step, "worker": "b", "runs": "3:1"},
        {"kind": "runs_ended", "cause": "lost", "step": step, "worker": "a", "runs": "1:1 3:1"},
        {"kind": "start_refused", "cause": "room", "task": OTHER, "worker": "a"},
    ]
    file = tmp_path / "edge-0.log"
    rows = [json.dumps(line | {"at_ms": 1_900.0, "order_ms": 1.0}) for line in lines]
    file.write_text("\n".join([*rows, "not JSON"]))
    (violation,) = check_record(read_record([*BOOTS, FIRST, SECOND]))
    logs = SoakLogs([file])
    assert [line["cause"] for line in logs.releases(violation)] == ["lost"]
    assert logs.cause(violation) == "TWICE runs_ended lost"


ADDED_S, REMOVED_S = 10.0, 20.0
LIVES = {
    "k": KeyLife("one", ADDED_S, REMOVED_S, REMOVED_S + 0.1),
    "new": KeyLife("one", ADDED_S),
    "never stored": KeyLife("one"),
}
LATE_S = REMOVED_S + 0.1 + MAX_LAG_S + 0.1


def key_call(sent_s, key, status, **fields):
    return KeyCall(sent_s, sent_s + 0.01, key, status, "GET", **fields)


@pytest.mark.parametrize(
    ("call", "disturbances", "found"),
    [
        (key_call(15.0, "k", 200), [], ""),
        (key_call(15.0, "other", 401), [], ""),
        (key_call(15.0, "other", 503), [], ""),
        (key_call(15.0, "other", 200), [], "GET served with a key that was never configured"),
        (key_call(15.0, "other", 200), [(0.0, 99.0)], "GET served with a key that was never conf"),
        (key_call(15.0, "k", 401), [], "GET refused with 401 though the key is configured"),
        (key_call(15.0, "k", 401), [(0.0, 99.0)], "GET refused with 401 though the key is conf"),
        (key_call(ADDED_S + 2.9, "k", 401), [], ""),
        (key_call(REMOVED_S - 0.005, "k", 401), [], ""),
        (key_call(30.0, "new", 401), [], "GET refused with 401 though the key is configured"),
        (key_call(15.0, "never stored", 200), [], ""),
        (key_call(LATE_S, "k", 401), [], ""),
        (key_call(LATE_S - 0.2, "k", 200), [], ""),
        (key_call(LATE_S, "k", 200), [], "GET served 3.1 s after the removal of its key"),
        (key_call(LATE_S, "k", 200), [(19.0, 19.5)], ""),
        (key_call(LATE_S, "k", 200), [(23.0, 24.0)], ""),
        (key_call(LATE_S, "k", 200), [(5.0, 16.0), (24.0, 25.0)], "GET served 3.1 s after the "),
        (key_call(15.0, "k", 410, is_foreign=True), [], ""),
        (key_call(15.0, "k", 200, is_foreign=True), [], "GET served for a job of another team"),
    ],
)
def test_answer_that_contradicts_the_keys_is_found(call, disturbances, found):
    violations = check_keys(KeyRecord(LIVES, [call]), disturbances)
    details = [violation.detail for violation in violations]
    assert len(details) == bool(found)
    assert all(violation.rule == "KEYS" for violation in violations)
    assert all(detail.startswith(found) for detail in details)

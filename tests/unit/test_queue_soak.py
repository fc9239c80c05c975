"""Checks of the queue soak on small records."""

import json

import pytest

from scripts.queue_soak_checks import SHRINK_S, check_record, read_record
from scripts.queue_soak_jobs import describe_crashes
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


def resize(t, cpu, worker="a", life=1):
    return {
        "t": t, "event": "resize", "worker": worker, "life": life, "cpu": cpu, "mem_mb": 100,
    }  # fmt: skip


SHRUNK_S = 20.0
KNOWN_S = SHRUNK_S + SHRINK_S


@pytest.mark.parametrize(
    ("events", "disturbances", "count"),
    [
        ([resize(SHRUNK_S, 500), event(KNOWN_S - 0.1, "start", "a")], [], 0),
        ([resize(SHRUNK_S, 500), event(KNOWN_S + 0.1, "start", "a")], [], 1),
        ([resize(SHRUNK_S, 600), event(KNOWN_S + 0.1, "start", "a")], [], 0),
        ([resize(SHRUNK_S, 500, "b"), event(KNOWN_S + 0.1, "start", "a")], [], 0),
        ([resize(SHRUNK_S, 500), event(KNOWN_S + 0.1, "start", "a", late_s=2.0)], [], 0),
        ([resize(SHRUNK_S, 500), event(KNOWN_S + 2.1, "start", "a", late_s=2.0)], [], 1),
        ([resize(SHRUNK_S, 500), event(KNOWN_S + 0.1, "start", "a")], [(21.0, 22.0)], 0),
        ([resize(SHRUNK_S, 500), event(22.1 + SHRINK_S, "start", "a")], [(21.0, 22.0)], 1),
        ([resize(SHRUNK_S, 500), event(KNOWN_S + 0.1, "start", "a")], [(5.0, 9.0)], 1),
        (
            [
                event(1.0, "start", "a"),
                resize(SHRUNK_S, 500),
                resize(40.0, 1_200),
                event(40.1, "start", "a", task=OTHER),
            ],
            [],
            0,
        ),
        (
            [
                event(1.0, "start", "a"),
                resize(SHRUNK_S, 500),
                event(KNOWN_S + 0.1, "start", "a", task=OTHER),
                resize(40.0, 1_200),
            ],
            [],
            1,
        ),
        (
            [
                resize(SHRUNK_S, 500),
                resize(SHRUNK_S + 1.0, 1_000),
                event(KNOWN_S + 0.1, "start", "a"),
            ],
            [],
            0,
        ),
        (
            [
                resize(SHRUNK_S, 500),
                boot("a", 2, SHRUNK_S + 1.0),
                event(KNOWN_S + 0.1, "start", "a", life=2),
            ],
            [],
            0,
        ),
    ],
    ids=[
        "not known yet", "known", "fits", "other worker", "sent before", "late but sent after",
        "during an outage", "after an outage", "outage before", "grown", "grown later",
        "back before", "next life",
    ],
)  # fmt: skip
def test_start_on_a_shrunk_worker_is_found(events, disturbances, count):
    violations = check_record(read_record([*BOOTS, *events]), disturbances)
    assert [violation.rule for violation in violations] == ["LIMIT"] * count


def crash_series(count, late=()):
    """Return a worker's lives, each of which but the last ends by a run of the task."""
    for life in range(1, count + 1):
        t = 10.0 * life
        late_s = 60.0 if life in late else 0.0
        yield boot("c", life, t)
        yield event(t + 1.0, "start", "c", run=life, life=life, late_s=late_s)
        yield event(t + 1.01, "crash", "c", run=life, life=life)
        yield end(t + 1.01, "c", "crashed", run=life, life=life)


@pytest.mark.parametrize(
    ("events", "found"),
    [
        (crash_series(3), []),
        (crash_series(5), []),
        (crash_series(6), [61.0]),
        (crash_series(9), [61.0]),
        (crash_series(6, late={6}), []),
        (crash_series(7, late={6}), [71.0]),
        ([e for e in crash_series(9) if e["event"] != "crash"], []),
    ],
    ids=["three", "two more", "three more", "many", "sent before", "one late", "bystander"],
)
def test_task_that_crashes_its_workers_without_end_is_found(events, found):
    violations = check_record(read_record(events))
    assert [(each.rule, each.at_s) for each in violations] == [("BUDGET", at_s) for at_s in found]


def test_runs_that_end_with_a_crash_are_counted():
    events = [
        boot("a"),
        FIRST,
        event(1.1, "start", "a", task=OTHER, cpu=1),
        event(1.2, "crash", "a"),
        end(1.2, "a", "crashed"),
        end(1.2, "a", "crashed", task=OTHER, run=1),
        boot("a", 2, 4.0),
        event(5.0, "start", "a", run=2, life=2),
        event(5.01, "crash", "a", run=2, life=2),
    ]
    record = read_record(events)
    assert [crash.bystanders for crash in record.crashes] == [1, 0]
    assert record.lives_end_s == {("a", 0): 0.0, ("a", 1): 1.2, ("a", 2): 5.01}
    assert describe_crashes(record.crashes) == {
        "workers": 2, "tasks": 1, "most_of_a_task": 2, "bystanders": 1, "bystanders_per_crash": 0.5,
    }  # fmt: skip


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


def test_workers_that_instances_list_are_counted(tmp_path):
    lines = [
        {"kind": "worker_listed", "worker": worker} for worker in ("a-odd-1", "a-odd-1", "w01")
    ] + [{"kind": "worker_silent", "worker": "z-odd-2"}]
    file = tmp_path / "edge-0.log"
    file.write_text("\n".join(json.dumps(line) for line in lines))
    assert SoakLogs([file]).listed("-odd-") == 1


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

"""Decoding of the platform's formats: guards against input that raises or is applied in part."""

import base64
import itertools
import json
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb_formats.models.queue_records import (
    AcceptedJob,
    Counter,
    JobProgress,
    LeaderRecord,
    Waits,
    WithdrawnJob,
    decode_queue_record,
    encode_queue_record,
)
from nutmeglb_formats.models.queues import StepProgress
from nutmeglb_platform import wire, wire_config, wire_workers
from nutmeglb_platform.store import _parse_answer, _parse_found_items
from tests.lib.queues import ADVISED, job, step

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)
SERVER_ENTRY = {
    "backend": "pool",
    "address": "10.0.0.1:1",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 5,
    "unheard_of": 1,
}


def item(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredItem("servers/w1", data, 7)


def test_worker_entry_is_decoded():
    worker = wire_workers.decode_worker("servers/", item(SERVER_ENTRY)).unwrap()
    assert (worker.worker_id, worker.service, worker.domain) == ("w1", "pool", "z1")
    assert (worker.rack, worker.labels) == ("r1-3", frozenset({"a", "r1-3"}))
    assert (worker.capacity.cpu_millis, worker.capacity.memory_bytes) == (16_000, 32 << 20)
    assert (worker.started_ms, worker.draining, worker.revision) == (5, False, 7)


@pytest.mark.parametrize(
    "change",
    [
        {"backend": 3},
        {"state": "asleep"},
        {"capacity": None},
        {"capacity": {"cpu": "many"}},
        {"labels": "a"},
        {"address": None},
        {"born": "yesterday"},
    ],
)
def test_malformed_worker_entry_is_an_error(change):
    decoded = wire_workers.decode_worker("servers/", item({**SERVER_ENTRY, **change}))
    assert isinstance(decoded, Err)
    assert decoded.err_value.hint


def test_configuration_is_decoded():
    advice = {"decide_ms": 10.5, "each_ms": 0.5, "valid_ms": 900}
    route = {"name": "r", "host": "h", "prefix": "/p/", "backend": "pool", "advice": advice}
    config = wire_config.decode_config(
        item({"version": 4, "routes": [route], "backends": [{"name": "pool"}], "limits": {}})
    ).unwrap()
    (queue,) = config.queues
    assert (config.version, config.revision, queue.service) == (4, 7, "pool")
    assert queue.advice is not None and queue.advice.call_ms(10) == 15.5


@pytest.mark.parametrize("text", ["nan", "inf", "-inf"])
@pytest.mark.parametrize(
    "change",
    [
        lambda text: {"stretch": text},
        lambda text: {"target_duration_ms": text},
        lambda text: {"priority": text},
        lambda text: {"advice": {"decide_ms": text, "valid_ms": 900}},
        lambda text: {"advice": {"decide_ms": 1, "valid_ms": text}},
    ],
)
def test_configuration_with_a_number_that_is_not_finite_is_an_error(change, text):
    """Guards against durations that end the term of each leader. The last configuration holds."""
    route = {"name": "r", "host": "h", "prefix": "/p/", "backend": "pool", **change(text)}
    decoded = wire_config.decode_config(item({"version": 4, "routes": [route]}))
    assert isinstance(decoded, Err)


@pytest.mark.parametrize(
    "value",
    [b"[" * 100_000 + b"]" * 100_000, b'{"version": 1e400}', b'{"version": 1e300}', b"\xff"],
)
def test_configuration_that_cannot_be_read_is_an_error(value):
    assert isinstance(wire_config.decode_config(item(value)), Err)


@pytest.mark.parametrize(
    ("body", "accepted"),
    [
        ({"steps": [{}]}, True),
        ({"steps": [{"count": 2, "cpu": 5, "gang": True}, {"after": [0]}], "spec": "x"}, True),
        ({"steps": []}, False),
        ({"steps": [{"count": 0}]}, False),
        ({"steps": [{"after": [0]}]}, False),
        ({"steps": [{"cpu": -1}]}, False),
        ({"spec": "x" * 4_001, "steps": [{}]}, False),
        ([], False),
    ],
)
def test_submission_is_validated(body, accepted):
    assert isinstance(wire.decode_job(json.dumps(body).encode()), Ok) == accepted


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *itertools.product(("cpu", "mem_mb", "gpu"), (1e308, 2**63, 2**70, "1e400")),
        *itertools.product(("estimate_ms", "target_ms"), ("inf", "nan", 1e308)),
        *itertools.product(("anti_affinity", "may_miss"), (1e300, -1)),
        ("after", [1e300]),
        ("count", 1e300),
    ],
)
def test_step_with_an_odd_number_is_refused(field, value):
    """Guards against an accepted job that ends the term of each leader that schedules it."""
    body = json.dumps({"steps": [{}, {field: value}]}).encode()
    assert isinstance(wire.decode_job(body), Err)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *itertools.product(("first_ms", "interval_ms"), ("nan", "inf", "-inf", 1e300)),
        *itertools.product(("times",), (2**63, 1e300, -1)),
    ],
)
def test_job_with_an_odd_time_is_refused(field, value):
    body = json.dumps({"steps": [{}], "times": 2, field: value}).encode()
    assert isinstance(wire.decode_job(body), Err)


@pytest.mark.parametrize(
    "body", [b"[" * 100_000 + b"]" * 100_000, b'{"steps": [{"cpu": 1e400}]}', b"\xff", b""]
)
def test_submission_that_cannot_be_read_is_refused(body):
    assert isinstance(wire.decode_job(body), Err)


REPORT = {
    "clock_ms": 5,
    "born": 2,
    "running": [["a.0.0.0", 1, "c", 40, 700], ["a.0.0.1", 1, "", 100]],
    "finished": [[3, "a.0.0.2", 1, "done", ""]],
}


def test_report_is_decoded():
    report = wire.decode_report(REPORT)
    assert report is not None
    assert (report.clock_ms, report.started_ms) == (5.0, 2)
    assert [run.activity for run in report.running] == [700, None]
    assert [end.number for end in report.ended] == [3]


def test_report_without_runs_is_decoded():
    report = wire.decode_report({**REPORT, "running": [], "finished": []})
    assert report is not None
    assert (report.running, report.ended) == ((), ())


def report_with(field, row, position, value):
    rows = [list(fields) for fields in REPORT[field]]
    rows[row][position] = value
    return {**REPORT, field: rows}


@pytest.mark.parametrize(
    "report",
    [
        *({**REPORT, "clock_ms": value} for value in ("nan", "inf", 1e300, -5, 2**63)),
        *({**REPORT, "born": value} for value in (math.inf, math.nan, 1e300, -3, 2**63)),
        *(
            report_with("finished", 0, 0, value)
            for value in (2**64, 1e300, -1, "9" * 400, math.inf)
        ),
        *(report_with("running", 0, 1, value) for value in (2**64, 1e300, -1, math.inf, None)),
        *(report_with("finished", 0, 2, value) for value in (2**64, -1)),
        *(report_with("running", 0, position, None) for position in (0, 2, 3, 4)),
        *(report_with("finished", 0, position, ["x"]) for position in (1, 3, 4)),
    ],
)
def test_report_with_an_odd_number_or_text_is_malformed(report):
    """Guards against a worker that is never found silent, since each renewal fails here.

    The clock and the number of the last end are sent back, as whole numbers of up to 64 bits.
    """
    assert wire.decode_report(report) is None


@pytest.mark.parametrize(
    ("position", "value", "bounded"),
    [
        (3, -50, 0),
        (3, 41.7, 41),
        (3, 1e300, 100),
        (3, math.inf, 100),
        (4, -1, 0),
        (4, 2**80, wire.MAX_CPU_MILLIS),
    ],
)
def test_rough_figure_of_a_run_is_bounded(position, value, bounded):
    """Guards against a run that counts as lost because of a figure that proves nothing."""
    report = wire.decode_report(report_with("running", 0, position, value))
    assert report is not None
    run = report.running[0]
    assert {3: run.percent, 4: run.activity}[position] == bounded


ABSENT = "absent"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *itertools.product(("running", "finished", "born"), (None, {}, "", False, 1.5, ABSENT)),
        *itertools.product(("clock_ms",), (None, {}, "", ABSENT)),
    ],
)
def test_report_without_a_field_is_malformed(field, value):
    """Guards against an incomplete answer that counts as proof that no run is active.

    Also guards against a report without a start time that looks like another incarnation.
    """
    report = {**REPORT, field: value}
    if value == ABSENT:
        del report[field]
    assert wire.decode_report(report) is None


@settings(max_examples=150, derandomize=True, deadline=None)
@given(JSON)
def test_no_decoder_raises_on_json(value):
    data = json.dumps(value).encode()
    wire_workers.decode_worker("servers/", item(data))
    wire_config.decode_config(item(data))
    wire.decode_job(data)
    wire.decode_report(value)
    _parse_answer("kv-txn", lambda: _parse_found_items(value))


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_no_decoder_raises_on_bytes(data):
    wire_workers.decode_worker("servers/", item(data))
    wire_config.decode_config(item(data))
    wire.decode_job(data)
    decode_queue_record(data, "key")


RECORDS = [
    AcceptedJob(job("00000000000000aa", step(3, after=(), gang=True), queue=ADVISED)),
    WithdrawnJob("n"),
    JobProgress("q", "", 0.0, [1], [StepProgress(0, 1, ["w1"], [0], [[0, 3]])]),
    LeaderRecord("e1", "i", "127.0.0.1:1", 3, "s"),
    Counter(4, "w"),
    Waits(3, [("w1", 2_500.0)]),
]


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_stored_records_are_read_back(record):
    assert decode_queue_record(encode_queue_record(record), "key").unwrap() == record


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.sampled_from(RECORDS), st.integers(0, 400), st.integers(0, 255))
def test_damaged_record_is_read_or_an_error(record, position, value):
    data = bytearray(encode_queue_record(record))
    data[position % len(data)] = value
    decode_queue_record(bytes(data), "key")


def test_absent_item_of_a_condition_is_omitted():
    value = base64.b64encode(b"x").decode()
    present_items = _parse_found_items(
        {"items": [{"key": "a", "revision": 0}, {"key": "b", "revision": 3, "value": value}]}
    )
    assert list(present_items) == ["b"]


def test_long_names_and_repeated_predecessors_are_shortened():
    """Guards against a body of a legal size that is kept as a text of several times its size."""
    names = {"requires": "r" * 50_000, "affinity": "f" * 201, "image": "\U0001f600" * 201}
    text = (
        '{"steps": [{}, {"after": [0, 0, 0], "requires": "%s", "affinity": "%s", "image": "%s"}]}'
    )
    first, second = (
        wire.decode_job((text % tuple(names.values())).encode()).ok_value.steps[1] for _ in range(2)
    )
    assert first == second
    assert first.after == (0,)
    kept = (first.required_label, first.preferred_rack, first.image)
    assert len(set(kept)) == 3 and all(len(name) <= 200 for name in kept)
    short = wire.decode_job(b'{"steps": [{"requires": "%s"}]}' % (b"r" * 200)).ok_value.steps[0]
    assert short.required_label == "r" * 200

"""Telemetry: guards against lost causal order, secrets in logs and unbounded label sets."""

import json
import logging
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.telemetry import logs
from nutmeglb._internal.telemetry.bridge import BridgeHandler
from nutmeglb._internal.telemetry.events import EventRing
from nutmeglb._internal.telemetry.hybrid_clock import MAX_AHEAD_MS, HybridLogicalClock
from nutmeglb._internal.telemetry.metrics import MAX_LABEL_SETS, MetricsRegistry
from nutmeglb_decisions.queues.effects import Decision
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.models.events import EventFilter, event_from_items, event_to_items
from nutmeglb_formats.timeline import merge_events, read_log


class RecordingOutput(logs.LogOutput):
    """Collects log lines instead of writing them."""

    def __init__(self, clock: ManualClock, **options: Any) -> None:
        super().__init__(clock, **options)
        self.lines: list[dict[str, Any]] = []

    def write_raw(self, line: dict[str, Any], message_type: str) -> None:
        self.lines.append({"message_type": message_type, **line})


def make_ring(name: str, clock: ManualClock, capacity: int = 100) -> EventRing:
    return EventRing(name, clock, capacity, lambda: 7, RecordingOutput(clock))


def test_event_after_a_message_sorts_after_its_sending_despite_a_slow_clock() -> None:
    fast, slow = ManualClock(20_000), ManualClock(1_000)
    sender, receiver = make_ring("z", fast), make_ring("a", slow)
    sender.emit("slot.granted", "free slot", request="r")
    receiver.observe(sender.stamp_ms())
    receiver.emit("request.sent", "granted", request="r")
    sender.observe(receiver.stamp_ms())
    sender.emit("slot.freed", "released", request="r")
    order = merge_events([receiver.query(EventFilter(), 10), sender.query(EventFilter(), 10)])
    assert [event.kind for event in order] == ["slot.granted", "request.sent", "slot.freed"]


def test_unrelated_events_are_in_order_of_wall_time() -> None:
    first, second = ManualClock(5), ManualClock(4)
    a, b = make_ring("a", first), make_ring("b", second)
    a.emit("x", "later")
    b.emit("y", "earlier")
    assert [
        e.kind for e in merge_events([a.query(EventFilter(), 9), b.query(EventFilter(), 9)])
    ] == [
        "y",
        "x",
    ]


def test_clock_far_ahead_is_ignored() -> None:
    clock = ManualClock(1_000)
    events = make_ring("a", clock)
    events.observe(1_000 + MAX_AHEAD_MS + 1)
    events.emit("x", "y")
    assert events.query(EventFilter(), 1)[0].order_ms == 1_000


def test_ring_is_bounded_and_filtered() -> None:
    events = make_ring("a", ManualClock(), capacity=3)
    for number in range(5):
        events.emit("k", "c", job=f"j{number}", ticket=number)
    assert [event.sequence for event in events.query(EventFilter(), 9)] == [3, 4, 5]
    assert [event.sequence for event in events.query(EventFilter(), 2)] == [4, 5]
    assert [event.ticket for event in events.query(EventFilter(job="j4"), 9)] == [4]


def test_logged_and_live_events_are_merged_once_and_unreadable_lines_counted() -> None:
    clock = ManualClock(1)
    events = make_ring("a", clock)
    events.emit("k", "c", wait_ms=1.5)
    live = events.query(EventFilter(), 9)
    line = json.dumps({"message_type": "event", "event": event_to_items(live[0])})
    other = json.dumps({"message_type": "routing", "text": "event"})
    log_events = read_log(
        [line, line[:-20], other, line.replace('"version": 1', '"version": 2'), ""]
    )
    assert log_events.unreadable_count == 2
    assert merge_events([log_events.events, live]) == live


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@seed(5)
@settings(max_examples=200, database=None, deadline=None)
@given(st.data())
def test_damaged_events_never_raise(data: st.DataObject) -> None:
    events = make_ring("a", ManualClock(1))
    events.emit("k", "c", request="r")
    items = event_to_items(events.query(EventFilter(), 1)[0])
    key = data.draw(st.sampled_from([*items, "extra"]))
    items[key] = data.draw(JSON)
    event_from_items(items)
    event_from_items(data.draw(JSON))
    line = json.dumps({"message_type": "event", "event": items})
    read_log([line[: data.draw(st.integers(0, len(line)))], data.draw(st.text(max_size=20))])


def test_repeats_are_limited_and_counted() -> None:
    clock = ManualClock()
    output = RecordingOutput(clock)
    for _ in range(logs.REPEAT_BURST + 3):
        output.write("store", logs.Level.WARNING, "Call failed", {})
    assert len(output.lines) == logs.REPEAT_BURST
    clock.advance(logs.REPEAT_WINDOW_MS)
    output.write("store", logs.Level.WARNING, "Call failed", {})
    assert output.lines[-1]["suppressed"] == 3
    assert output.lines[-1]["text"] == "store: Call failed"


@pytest.mark.parametrize(
    "fields",
    [
        {"api_token": "open-sesame"},
        {"note": "sent open-sesame to the store"},
        {"headers": {"Authorization": "Bearer x", "list": ["open-sesame"]}},
        {"error": ValueError("open-sesame")},
    ],
)
def test_secrets_are_not_logged(fields: dict[str, object]) -> None:
    clock = ManualClock()
    output = RecordingOutput(clock, secrets=["open-sesame"])
    output.write("admin", logs.Level.INFO, "Refused open-sesame", fields)
    EventRing("a", clock, 9, output=output).emit("k", "c", **fields)
    written = json.dumps(output.lines)
    assert "sesame" not in written
    assert "Bearer" not in written


def test_lines_below_the_level_are_not_written() -> None:
    output = RecordingOutput(ManualClock(), level=logs.Level.WARNING)
    output.write("admin", logs.Level.INFO, "Started", {})
    EventRing("a", ManualClock(), 9, output=output).emit("k", "c")
    assert output.lines == []


def test_label_values_are_bounded() -> None:
    registry = MetricsRegistry()
    counter = registry.counter("nutmeglb_test_total", "Test.")
    for number in range(MAX_LABEL_SETS + 50):
        registry.counter("nutmeglb_test_total", "Test.").inc(caller=str(number))
    text = registry.render()[0].decode()
    assert text.count("nutmeglb_test_total{") == MAX_LABEL_SETS + 1
    assert 'nutmeglb_test_total{caller="other"} 50' in text
    assert counter.value(caller="1") == 1
    with pytest.raises(TypeError):
        registry.gauge("nutmeglb_test_total", "Test.")


def test_histogram_is_rendered() -> None:
    registry = MetricsRegistry()
    registry.histogram("nutmeglb_wait_seconds", "Wait.").observe(0.02, service="s")
    text = registry.render()[0].decode()
    assert 'nutmeglb_wait_seconds_bucket{le="0.025",service="s"} 1' in text


def test_records_of_the_logging_module_have_prefix_fields_and_limits() -> None:
    clock = ManualClock()
    output = RecordingOutput(clock, secrets=["open-sesame"])
    handler = BridgeHandler(output)
    for number in range(logs.REPEAT_BURST + 2):
        record = logging.LogRecord(
            "nutmeglb._internal.store.client", logging.WARNING, "", 1, "Call %s", (number,), None
        )
        record.lease = "open-sesame"
        handler.emit(record)
    assert len(output.lines) == logs.REPEAT_BURST
    assert output.lines[0]["text"] == "store: Call 0"
    assert output.lines[0]["lease"] == logs.REDACTED
    assert output.lines[0]["level"] == "warning"


def decision_line(**changes: Any) -> str:
    """Return a line of the decision log with the prefix that a log collector adds."""
    line = {
        "kind": "tasks_placed",
        "cause": "room and rank",
        "job": "00aa",
        "step": "00aa.0.0",
        "sequence": 4,
        "at_ms": 12.5,
        "order_ms": 1_000.0,
        "message_type": "decision",
        "timestamp": 1.0,
        "instance": "e1",
    }
    return "  12.98 e1 " + json.dumps({**line, **changes})


@pytest.mark.parametrize(
    ("line", "job", "unreadable_count"),
    [
        (decision_line(), "00aa", 0),
        (decision_line(job=None, task="00aa.0.0.3"), "00aa", 0),
        (decision_line(job=None), None, 0),
        (decision_line()[:-9], None, 1),
        (decision_line(sequence="x"), None, 1),
        (decision_line(timestamp="x"), None, 1),
        (decision_line(kind=None), None, 1),
    ],
)
def test_timeline_reads_the_decisions_of_a_log(
    line: str, job: str | None, unreadable_count: int
) -> None:
    """Guards against decisions on queues that the timeline does not show."""
    log_events = read_log([line])
    assert log_events.unreadable_count == unreadable_count
    assert [event.job for event in log_events.events] == ([] if unreadable_count else [job])


def test_decisions_sort_after_their_causes_despite_a_slow_clock() -> None:
    lines: list[dict[str, Any]] = []
    fast, slow = ManualClock(20_000), ManualClock(1_000)
    sender, receiver = HybridLogicalClock(fast), HybridLogicalClock(slow)
    for clock, hybrid_clock in ((fast, sender), (slow, receiver)):
        output = RecordingOutput(clock)
        previous = logs.set_output(output)
        try:
            receiver.observe(sender.stamp_ms())
            log = DecisionLog(clock, hybrid_clock, MetricsRegistry(), lambda: 10)
            log.write([Decision("job_accepted", "stored", job="00aa")])
        finally:
            logs.set_output(previous)
        lines += output.lines
    assert lines[0]["order_ms"] < lines[1]["order_ms"]


def test_decision_log_is_bounded_and_keeps_decisions_that_explain_failures() -> None:
    clock = ManualClock(1_000)
    output = RecordingOutput(clock)
    previous = logs.set_output(output)
    try:
        log = DecisionLog(clock, HybridLogicalClock(clock), MetricsRegistry(), lambda: 2)
        log.write([Decision("tasks_placed", "room and rank")] * 5)
        log.write([Decision("job_refused", "insufficient capacity to start the job in time")])
        clock.advance(1_000)
        log.write([Decision("tasks_placed", "room and rank")])
    finally:
        logs.set_output(previous)
    kinds = [line["kind"] for line in output.lines]
    assert kinds == ["tasks_placed"] * 2 + ["job_refused", "left_out", "tasks_placed"]
    assert output.lines[3]["tasks_placed"] == 3

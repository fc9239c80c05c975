"""What the fleet's record tells about a violation: runs, calls, and stops of worker processes."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from typing import Any

from scripts.queue_soak_checks import FleetRecord, SeenRun, SeenViolation
from scripts.queue_soak_logs import SoakLogs

MS_PER_S = 1_000.0
SHOWN_RUNS = 12
# Stops and lapses are shown if they end this long before a violation, or later.
SHOWN_BEFORE_S = 15.0
SHOWN_CALLS = 4
CALL_FIELDS = (
    "t", "call", "worker", "life", "fence_token", "deadline_ms", "clock_ms", "executed", "replied",
    "reply", "reason", "task", "run", "faults",
)  # fmt: skip


def describe(violation: SeenViolation, record: FleetRecord, logs: SoakLogs) -> str:
    """Return a violation with its runs, the calls about them, and the lines of the logs."""
    lines = [f"{violation.rule} at {violation.at_s:.3f}: {violation.detail}"]
    for run in violation.runs[:SHOWN_RUNS]:
        lines.append(f"  run {json.dumps(asdict(run))}")
    if violation.rule in ("TWICE", "BUDGET"):
        task = violation.runs[0].task
        lines += [f"  call {json.dumps(c)}" for c in record.calls if c.get("task") == task]
        for run in violation.runs[:SHOWN_RUNS]:
            lines += [f"  {text}" for text in _stops(violation, run, record)]
        lines += [f"  log {json.dumps(line)}" for line in logs.about(violation.runs)]
    elif violation.job:
        lines += [f"  log {json.dumps(line)}" for line in logs.about_job(violation.job)]
    else:
        lines += [f"  log {json.dumps(line)}" for line in logs.releases(violation)]
    return "\n".join(lines)


def describe_pairs(violations: Iterable[SeenViolation], record: FleetRecord) -> dict[str, int]:
    """Return how often each kind of two runs at once was seen: first resumption, and both ends."""
    kinds: Counter[str] = Counter()
    for violation in violations:
        if violation.rule != "TWICE":
            continue
        first, second = violation.runs
        processes = {first.process, second.process} - {""}
        noted = [e for e in record.resumes if e["process"] in processes]
        resumed = next((e for e in reversed(noted) if e["t"] <= violation.at_s), None)
        ends = f"{first.how or 'active'} and {second.how or 'active'}"
        kinds[f"{_flavour(resumed)}: {ends}"] += 1
    return dict(sorted(kinds.items()))


def _flavour(resumed: dict[str, Any] | None) -> str:
    if resumed is None:
        return "no stop"
    if resumed["clock_stands_still"]:
        return "clock stood still"
    order = "ends" if resumed["ends_first"] else "lapse"
    renews = ", renews" if resumed["renews_lapsed"] and resumed["lateness_s"] else ""
    return f"clock ran on, {order} first, {resumed['lateness_s']:.2f} s late{renews}"


def _stops(violation: SeenViolation, run: SeenRun, record: FleetRecord) -> Iterator[str]:
    """Return lines on a run's worker: stops, resumptions, lapses, and the calls around them."""
    since_s = violation.at_s - SHOWN_BEFORE_S
    until_s = max(run.started_s for run in violation.runs) + SHOWN_BEFORE_S
    for event in record.lapses:
        if (event["worker"], event["life"]) == (run.worker, run.life) and (
            since_s <= event["t"] <= until_s
        ):
            yield f"lapse {json.dumps(event)}"
    calls = [call for call in record.calls if call["worker"] == run.worker]
    second_s = max(run.started_s for run in violation.runs)
    granted = [call for call in calls if call["t"] < second_s and _may_grant(call)]
    if granted and run.started_s < second_s:
        yield f"last lease before the second start {_shown(granted[-1])}"
    for start_s, end_s in record.stops.get(run.process, ()):
        if end_s < max(since_s, run.started_s) or start_s > min(until_s, run.ended_s):
            continue
        yield f"stop of {run.process} from {start_s:.3f} to {end_s:.3f}, {end_s - start_s:.3f} s"
        for event in record.resumes:
            if event["process"] == run.process and event["t"] == end_s:
                yield f"resume {json.dumps(event)}"
        before = [call for call in calls if call["t"] < start_s]
        granted = [call for call in before if _may_grant(call)]
        if granted:
            yield f"last lease before the stop {_shown(granted[-1])}"
        after = [call for call in calls if call["t"] >= end_s]
        if before and after:
            yield f"clock over the stop {_advance(before[-1], after[0])}"
        for call in after[:SHOWN_CALLS]:
            yield f"call after the stop {_shown(call)}"


def _may_grant(call: dict[str, Any]) -> bool:
    return "deadline_ms" in call and "executed" in call and call.get("reason") != "fence"


def _advance(before: dict[str, Any], after: dict[str, Any]) -> str:
    if "clock_ms" not in before or before["life"] != after["life"]:
        return "unknown, the worker restarted"
    clock_ms = after["clock_ms"] - before["clock_ms"]
    return f"{clock_ms} ms on the worker in {(after['t'] - before['t']) * MS_PER_S:.0f} ms"


def _shown(call: dict[str, Any]) -> str:
    return json.dumps({key: call[key] for key in CALL_FIELDS if key in call})

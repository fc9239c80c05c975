"""Checks of the queue soak on the record of the worker fleet: TWICE and LIMIT."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

DONE = "done"


@dataclass(slots=True)
class SeenRun:
    """A run as its worker saw it. Times are those of the monotonic clock in seconds."""

    worker: str
    life: int
    task: str
    number: int
    cpu: int
    mem_mb: int
    started_s: float
    fence: int = 0
    late_s: float = 0.0
    ended_s: float = float("inf")
    how: str = ""
    end: int = 0
    stop_s: float | None = None
    acknowledged_s: float | None = None
    lapsed_before_acknowledgement: bool = False

    @property
    def counts_as_done(self) -> bool:
        """Return whether no run of the task may start after this one."""
        return (
            self.how == DONE
            and self.acknowledged_s is not None
            and not self.lapsed_before_acknowledgement
        )


@dataclass(slots=True)
class SeenViolation:
    """A violation of a rule at a time, with the runs that show it."""

    rule: str
    at_s: float
    runs: tuple[SeenRun, ...]
    detail: str = ""


@dataclass(slots=True)
class FleetRecord:
    """The fleet's record, indexed."""

    runs: list[SeenRun] = field(default_factory=list)
    capacities: dict[tuple[str, int], tuple[int, int]] = field(default_factory=dict)
    calls: list[dict[str, Any]] = field(default_factory=list)


def read_record(events: Iterable[dict[str, Any]]) -> FleetRecord:
    """Index the events of a fleet, which are in the order of their times."""
    record = FleetRecord()
    active: dict[tuple[str, int, str, int], SeenRun] = {}
    unacknowledged: dict[tuple[str, int], list[SeenRun]] = defaultdict(list)
    for event in events:
        life = (event.get("worker", ""), event.get("life", 0))
        match event["event"]:
            case "boot":
                record.capacities[life] = (event["cpu"], event["mem_mb"])
            case "start":
                run = SeenRun(
                    *life,
                    event["task"],
                    event["run"],
                    event["cpu"],
                    event["mem_mb"],
                    event["t"],
                    event.get("fence", 0),
                    event.get("late_s", 0.0),
                )
                active[(*life, run.task, run.number)] = run
                record.runs.append(run)
            case "stop":
                active[(*life, event["task"], event["run"])].stop_s = event["t"]
            case "end":
                run = active.pop((*life, event["task"], event["run"]))
                run.ended_s, run.how, run.end = event["t"], event["how"], event["end"]
                unacknowledged[life].append(run)
            case "lapse":
                for run in unacknowledged[life]:
                    run.lapsed_before_acknowledgement = True
            case "ack":
                for run in unacknowledged[life]:
                    if run.end <= event["last_seen"]:
                        run.acknowledged_s = event["t"]
                unacknowledged[life] = [
                    run for run in unacknowledged[life] if run.acknowledged_s is None
                ]
            case "call":
                record.calls.append(event)
    return record


def check_record(record: FleetRecord) -> list[SeenViolation]:
    """Return all violations in the order of their times."""
    found = [*check_twice(record.runs), *check_limit(record.runs, record.capacities)]
    return sorted(found, key=lambda violation: violation.at_s)


def check_twice(runs: Iterable[SeenRun]) -> Iterator[SeenViolation]:
    """Check that no two runs of a task overlap, and that none starts after one that is done."""
    by_task: dict[str, list[SeenRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        for earlier in by_task[run.task]:
            if earlier.ended_s > run.started_s:
                yield SeenViolation("TWICE", run.started_s, (earlier, run), "at the same time")
            elif earlier.counts_as_done:
                yield SeenViolation("TWICE", run.started_s, (earlier, run), "after its end")
        by_task[run.task].append(run)


def check_limit(
    runs: Iterable[SeenRun], capacities: dict[tuple[str, int], tuple[int, int]]
) -> Iterator[SeenViolation]:
    """Check that no start brings a worker over its capacity."""
    by_life: dict[tuple[str, int], list[SeenRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_life[(run.worker, run.life)].append(run)
    for life, seen in by_life.items():
        cpu, mem_mb = capacities[life]
        active: list[tuple[float, int, SeenRun]] = []
        for order, run in enumerate(seen):
            while active and active[0][0] <= run.started_s:
                heapq.heappop(active)
            heapq.heappush(active, (run.ended_s, order, run))
            used = [each for _, _, each in active]
            used_cpu = sum(each.cpu for each in used)
            used_mem_mb = sum(each.mem_mb for each in used)
            if used_cpu > cpu or used_mem_mb > mem_mb:
                detail = f"{used_cpu} of {cpu} cpu, {used_mem_mb} of {mem_mb} MB"
                others = tuple(each for each in used if each is not run)
                yield SeenViolation("LIMIT", run.started_s, (run, *others), detail)

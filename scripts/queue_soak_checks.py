"""Checks of the queue soak on the record of the worker fleet: TWICE, LIMIT and BUDGET."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from scripts.queue_soak_stops import (
    RESUMED,
    Spans,
    first_moment_up,
    stop_spans,
    stops_of,
    time_up,
)
from standins.worker_fleet_state import SHARED

DONE = "done"
# Ends of runs that work until then.
WORKED = (DONE, "failed", "stopped")
# A shrink counts this long after it, or after the end of what kept it from the instances: a beat of
# the worker, and the time within which an instance has to act on what the store holds.
SHRINK_S = 1.5 + 3.0
# A task may be started this often after so many workers have crashed under it.
CRASHES = 3
STARTS_AFTER_CRASHES = 2


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
    crashed_worker: bool = False
    process: str = ""

    @property
    def job(self) -> str:
        """Return the id of the run's job."""
        return self.task.partition(".")[0]

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
    """A violation of a rule at a time, with the runs or the job that show it."""

    rule: str
    at_s: float
    runs: tuple[SeenRun, ...]
    detail: str = ""
    job: str = ""


@dataclass(frozen=True, slots=True)
class Size:
    """Capacity of a worker from a time on."""

    from_s: float
    cpu: int
    mem_mb: int


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a worker under a task. ``bystanders``: the other runs that ended with it."""

    at_s: float
    task: str
    bystanders: int


@dataclass(slots=True)
class FleetRecord:
    """The fleet's record, indexed."""

    runs: list[SeenRun] = field(default_factory=list)
    sizes: dict[tuple[str, int], list[Size]] = field(default_factory=dict)
    lives_end_s: dict[tuple[str, int], float] = field(default_factory=dict)
    crashes: list[Crash] = field(default_factory=list)
    calls: list[dict[str, Any]] = field(default_factory=list)
    labels: dict[tuple[str, int], Sequence[str]] = field(default_factory=dict)
    # Stops of each process that may be stopped, and what tells about them.
    stops: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    resumes: list[dict[str, Any]] = field(default_factory=list)
    lapses: list[dict[str, Any]] = field(default_factory=list)


def read_record(events: Iterable[dict[str, Any]]) -> FleetRecord:
    """Index the events of a fleet, which are in the order of their times."""
    events = list(events)
    record = FleetRecord(stops=stop_spans(events))
    active: dict[tuple[str, int, str, int], SeenRun] = {}
    unacknowledged: dict[tuple[str, int], list[SeenRun]] = defaultdict(list)
    for event in events:
        life = (event.get("worker", ""), event.get("life", 0))
        match event["event"]:
            case "boot":
                record.sizes[life] = [Size(event["t"], event["cpu"], event["mem_mb"])]
                record.labels[life] = event.get("labels", (SHARED,))
                record.lives_end_s.setdefault((life[0], life[1] - 1), event["t"])
            case "resize":
                record.sizes[life].append(Size(event["t"], event["cpu"], event["mem_mb"]))
            case "crash":
                present = [run for key, run in active.items() if key[:2] == life]
                record.crashes.append(Crash(event["t"], event["task"], len(present) - 1))
                active[(*life, event["task"], event["run"])].crashed_worker = True
                record.lives_end_s[life] = event["t"]
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
                    process=event.get("process", ""),
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
                record.lapses.append(event)
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
            case _ if event["event"] == RESUMED:
                record.resumes.append(event)
    return record


def check_record(
    record: FleetRecord, store_disturbances: Sequence[tuple[float, float]] = ()
) -> list[SeenViolation]:
    """Return all violations in the order of their times.

    Parameters
    ----------
    store_disturbances
        Start and end of what kept changes in the store from instances.
    """
    found = [
        *check_twice(record.runs, record.stops),
        *check_limit(record.runs, record.sizes, store_disturbances, record.stops),
        *check_budget(record.runs),
    ]
    return sorted(found, key=lambda violation: violation.at_s)


def check_twice(
    runs: Iterable[SeenRun], stops: Mapping[str, Spans] | None = None
) -> Iterator[SeenViolation]:
    """Check that no two runs of a task overlap, and that none starts after one that is done.

    Parameters
    ----------
    stops
        Stops of each process. Meanwhile, no run on its workers counts as active.
    """
    by_task: dict[str, list[SeenRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        for earlier in by_task[run.task]:
            if earlier.ended_s > run.started_s:
                yield from _check_overlap(earlier, run, stops or {})
            elif earlier.counts_as_done:
                yield SeenViolation("TWICE", run.started_s, (earlier, run), "after its end")
        by_task[run.task].append(run)


def _check_overlap(
    earlier: SeenRun, run: SeenRun, stops: Mapping[str, Spans]
) -> Iterator[SeenViolation]:
    """Check that two runs whose times overlap were not both on workers that are up."""
    ending = earlier if earlier.ended_s <= run.ended_s else run
    both = (run.started_s, max(run.started_s, ending.ended_s))
    away = [*stops_of(stops, earlier.process), *stops_of(stops, run.process)]
    at_s = first_moment_up(both, away)
    if at_s is None and ending.how in WORKED:
        # A run that ends by its work at the end of a stop has gone on.
        at_s = first_moment_up((ending.ended_s, ending.ended_s), away)
    if at_s is None:
        return
    detail = "at the same time"
    if at_s > run.started_s:
        detail += f" after a stop, for {time_up(both, away):.3f} s"
    yield SeenViolation("TWICE", at_s, (earlier, run), detail)


def check_limit(
    runs: Iterable[SeenRun],
    sizes: dict[tuple[str, int], list[Size]],
    store_disturbances: Sequence[tuple[float, float]] = (),
    stops: Mapping[str, Spans] | None = None,
) -> Iterator[SeenViolation]:
    """Check that no start brings a worker over its capacity."""
    by_life: dict[tuple[str, int], list[SeenRun]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_life[(run.worker, run.life)].append(run)
    for life, seen in by_life.items():
        active: list[tuple[float, int, SeenRun]] = []
        for order, run in enumerate(seen):
            while active and active[0][0] <= run.started_s:
                heapq.heappop(active)
            heapq.heappush(active, (run.ended_s, order, run))
            # An order may have waited in a buffer during a stop.
            held_up = [*store_disturbances, *stops_of(stops or {}, run.process)]
            cpu, mem_mb = _largest_size(sizes[life], run, held_up)
            used = [each for _, _, each in active]
            used_cpu = sum(each.cpu for each in used)
            used_mem_mb = sum(each.mem_mb for each in used)
            if used_cpu > cpu or used_mem_mb > mem_mb:
                detail = f"{used_cpu} of {cpu} cpu, {used_mem_mb} of {mem_mb} MB"
                others = tuple(each for each in used if each is not run)
                yield SeenViolation("LIMIT", run.started_s, (run, *others), detail)


def _largest_size(
    sizes: Sequence[Size], run: SeenRun, disturbances: Iterable[tuple[float, float]]
) -> tuple[int, int]:
    """Return the largest capacity that the sender of a run's order could still assume."""
    since_s = run.started_s - run.late_s - SHRINK_S
    for start_s, end_s in sorted(disturbances, reverse=True):
        if start_s < run.started_s and end_s > since_s:
            since_s = min(since_s, start_s - SHRINK_S)
    ends_s = [each.from_s for each in sizes[1:]] + [float("inf")]
    assumed = [
        size
        for size, end_s in zip(sizes, ends_s, strict=True)
        if size.from_s <= run.started_s and end_s > since_s
    ]
    return max(size.cpu for size in assumed), max(size.mem_mb for size in assumed)


def check_budget(runs: Iterable[SeenRun]) -> Iterator[SeenViolation]:
    """Check that a task which crashes its workers is soon started no more."""
    by_task: dict[str, list[SeenRun]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    for seen in by_task.values():
        crashed_s = sorted(run.ended_s for run in seen if run.crashed_worker)
        if len(crashed_s) < CRASHES:
            continue
        limit_s = crashed_s[CRASHES - 1]
        seen.sort(key=lambda run: run.started_s)
        # An order that was carried out late was sent before its start.
        further = [run for run in seen if run.started_s - run.late_s > limit_s]
        if len(further) > STARTS_AFTER_CRASHES:
            detail = f"{len(crashed_s)} workers crashed, {len(further)} starts after {CRASHES}"
            at_s = further[STARTS_AFTER_CRASHES].started_s
            yield SeenViolation("BUDGET", at_s, tuple(seen), detail)

"""Checks of the queue soak on jobs and workers: LOST, and what crashes of workers cost."""

import bisect
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from scripts.queue_soak_checks import DONE, SHRINK_S, Crash, FleetRecord, SeenRun, SeenViolation
from standins.advice_book import is_approved
from standins.worker_fleet_state import SHARED

FAILED, CRASHED = "failed", "crashed"
# The longest lease on the slowest clock, and a report: a run on a crashed worker may be taken for
# active until its lease has expired.
LEASE_S = 11.0
# A job may be given up once so many workers have crashed under one of its tasks.
CRASHES_TO_GIVE_UP = 2
IDLE_S = 3.0
SAMPLE_S = 0.25
BUSY_SHARE = 0.5


@dataclass(slots=True)
class SoakJob:
    """A job that was accepted. ``state`` is empty until its caller has seen its end."""

    job_id: str
    path: str
    team: str
    accepted_s: float
    steps: Sequence[Mapping[str, Any]]
    is_crashing: bool = False
    is_advised: bool = False
    is_cancelled: bool = False
    state: str = ""
    ended_s: float = math.inf


@dataclass(frozen=True, slots=True)
class Span:
    """Time in which neither load nor faults are the reason for a wait."""

    start_s: float
    end_s: float


def check_jobs(
    jobs: Iterable[SoakJob], record: FleetRecord, attempts: int, calm: Span
) -> Iterator[SeenViolation]:
    """Check that jobs are not given up, forgotten or left idle without cause."""
    runs: dict[str, list[SeenRun]] = defaultdict(list)
    for run in sorted(record.runs, key=lambda run: run.started_s):
        runs[run.job].append(run)
    capacity = _Capacity(record)
    for job in jobs:
        if job.is_cancelled:
            continue
        seen = runs[job.job_id]
        if job.state == "cancelled":
            yield _lost(job, job.ended_s, "cancelled by nobody")
        elif job.state == FAILED and not _may_fail(job, seen, attempts):
            yield _lost(job, job.ended_s, "failed without cause")
        elif not job.is_crashing:
            if not job.state:
                yield _lost(job, calm.end_s, f"not finished, accepted at {job.accepted_s:.3f}")
            idle_s = _idle_since(job, seen, capacity, calm)
            if idle_s is not None:
                yield _lost(job, idle_s, "nothing runs beside free capacity")


def describe_crashes(crashes: Sequence[Crash]) -> dict[str, float]:
    """Return how many workers crashed, under how many tasks, and what ended with them."""
    if not crashes:
        return {}
    bystanders = [crash.bystanders for crash in crashes]
    by_task = Counter(crash.task for crash in crashes)
    return {
        "workers": len(crashes),
        "tasks": len(by_task),
        "most_of_a_task": max(by_task.values()),
        "bystanders": sum(bystanders),
        "bystanders_per_crash": round(sum(bystanders) / len(crashes), 2),
    }


def _lost(job: SoakJob, at_s: float, detail: str) -> SeenViolation:
    kind = "crashing" if job.is_crashing else "healthy"
    return SeenViolation("LOST", at_s, (), f"{kind} job {job.job_id}: {detail}", job.job_id)


def _may_fail(job: SoakJob, runs: Iterable[SeenRun], attempts: int) -> bool:
    """Return whether a task or gang has failed often enough, or crashed enough workers."""
    failed: dict[str, set[int]] = defaultdict(set)
    crashes: Counter[str] = Counter()
    for run in runs:
        step, unit = _step(run), run.task
        if job.steps[step].get("gang"):
            unit = f"gang {step}"
        if run.how == FAILED:
            failed[unit].add(run.number)
        crashes[unit] += run.crashed_worker
    has_failed = any(len(numbers) >= attempts for numbers in failed.values())
    return has_failed or any(count >= CRASHES_TO_GIVE_UP for count in crashes.values())


def _step(run: SeenRun) -> int:
    return int(run.task.split(".")[2])


def _idle_since(
    job: SoakJob, runs: Sequence[SeenRun], capacity: "_Capacity", calm: Span
) -> float | None:
    """Return when a job became idle in a calm time beside free capacity, if it did."""
    idle_s = max(calm.start_s, job.accepted_s)
    limit_s = min(calm.end_s, job.ended_s)
    spans = [
        (run.started_s, run.ended_s + (LEASE_S if run.how == CRASHED else 0.0)) for run in runs
    ]
    for start_s, end_s in [*spans, (limit_s, limit_s)]:
        gap_s = min(start_s, limit_s) - idle_s
        if gap_s > IDLE_S:
            number = _due_step(job, runs, idle_s)
            if number is not None:
                step = f"{job.job_id}.0.{number}" if job.is_advised else ""
                needs = _Needs(job.steps[number], step)
                if capacity.is_free(needs, Span(idle_s, idle_s + gap_s)):
                    return idle_s
        idle_s = max(idle_s, end_s)
    return None


def _due_step(job: SoakJob, runs: Iterable[SeenRun], at_s: float) -> int | None:
    """Return the number of the first step that is not done at a time."""
    done: dict[int, set[str]] = defaultdict(set)
    for run in runs:
        if run.how == DONE and run.ended_s <= at_s:
            done[_step(run)].add(run.task)
    for number, step in enumerate(job.steps):
        if len(done[number]) < (1 if step.get("gang") else step["count"]):
            return number
    return None


@dataclass(frozen=True, slots=True)
class _Needs:
    """Needs of a step. ``advised_step`` is empty for a step that may run on all workers."""

    step: Mapping[str, Any]
    advised_step: str

    @property
    def twice(self) -> int:
        """Return how many tasks start together, twice over."""
        return 2 * self.step["count"] if self.step.get("gang") else 2

    def may_use(self, worker_id: str, labels: Sequence[str]) -> bool:
        """Return whether a worker may run tasks of the step."""
        if self.step.get("requires", "") not in ("", *labels):
            return False
        if self.advised_step and SHARED not in labels:
            return False
        return not self.advised_step or is_approved(self.advised_step, worker_id)

    def slots(self, free_cpu: int, free_mem_mb: int) -> int:
        """Return how many tasks fit into the free capacity of a worker."""
        return max(0, min(free_cpu // self.step["cpu"], free_mem_mb // self.step["mem_mb"]))


class _Capacity:
    """Capacity and use of the workers over time."""

    def __init__(self, record: FleetRecord) -> None:
        self._record = record
        self._runs: dict[tuple[str, int], list[SeenRun]] = defaultdict(list)
        for run in record.runs:
            self._runs[(run.worker, run.life)].append(run)

    def is_free(self, needs: _Needs, span: Span) -> bool:
        """Return whether there is capacity for a step's tasks twice over for some seconds."""
        free_samples = 0
        for number in range(int((span.end_s - span.start_s) / SAMPLE_S) + 1):
            at_s = span.start_s + number * SAMPLE_S
            free_samples = free_samples + 1 if self._is_free_at(needs, at_s) else 0
            if free_samples > IDLE_S / SAMPLE_S:
                return True
        return False

    def _is_free_at(self, needs: _Needs, at_s: float) -> bool:
        fitting = all_cpu = all_used_cpu = all_mem_mb = all_used_mem_mb = 0
        for life, sizes in self._record.sizes.items():
            if not sizes[0].from_s <= at_s < self._record.lives_end_s.get(life, math.inf):
                continue
            active = [r for r in self._runs[life] if r.started_s <= at_s < r.ended_s]
            used_cpu = sum(run.cpu for run in active)
            used_mem_mb = sum(run.mem_mb for run in active)
            latest = bisect.bisect_right(sizes, at_s, key=lambda size: size.from_s)
            all_cpu += sizes[latest - 1].cpu
            all_mem_mb += sizes[latest - 1].mem_mb
            all_used_cpu += used_cpu
            all_used_mem_mb += used_mem_mb
            # A new worker, or growth, is known to the instances some time later.
            known = bisect.bisect_right(sizes, at_s - SHRINK_S, key=lambda size: size.from_s)
            if known and needs.may_use(life[0], self._record.labels[life]):
                assumed = sizes[known - 1 : latest]
                free_cpu = min(size.cpu for size in assumed) - used_cpu
                free_mem_mb = min(size.mem_mb for size in assumed) - used_mem_mb
                fitting += needs.slots(free_cpu, free_mem_mb)
        is_busy = all_used_cpu >= BUSY_SHARE * all_cpu or all_used_mem_mb >= BUSY_SHARE * all_mem_mb
        return fitting >= needs.twice and not is_busy

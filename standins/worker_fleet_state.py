"""Workers of the fleet stand-in and what runs on them."""

import json
import random
from dataclasses import dataclass, field
from typing import Any

MS_PER_S = 1_000.0
# Label of the workers that share one process, which knows the members of gangs and the tickets.
SHARED = "shared"
DONE, FAILED = "done", "failed"


@dataclass(frozen=True, slots=True)
class Kind:
    """Capacity of a worker."""

    cpu: int
    mem_mb: int


@dataclass(slots=True)
class FleetRun:
    """A run on a worker.

    Attributes
    ----------
    ends_as
        Empty for a run that never ends by itself.
    crashes_worker
        Whether the worker's process ends soon after the start.
    """

    task: str
    number: int
    cpu: int
    mem_mb: int
    work_s: float
    ends_as: str
    gang_size: int
    crashes_worker: bool = False
    needs_ticket: bool = False
    stopping: bool = False

    @property
    def gang(self) -> tuple[str, int]:
        """Return the key of the run's gang."""
        return self.task.rpartition(".")[0], self.number


@dataclass(slots=True)
class FleetWorker:
    """One worker.

    Attributes
    ----------
    lists_stopping
        Whether reports contain a run that is being stopped as running.
    is_shared
        Whether the worker is in the process that knows the members of gangs and the tickets.
    clock_rate, clock_ms_at_start
        The worker's own clock.
    is_up
        Whether the worker's process runs.
    barred
        Highest run of each task that was stopped or has ended.
    """

    worker_id: str
    kind: Kind
    rack: str
    lists_stopping: bool = True
    is_shared: bool = True
    started_s: float = 0.0
    clock_rate: float = 1.0
    clock_ms_at_start: float = 0.0
    born: int = 0
    is_up: bool = True
    life: int = 0
    fence: int = 0
    lease_ms: float | None = None
    lease_check_pending: bool = False
    runs: dict[tuple[str, int], FleetRun] = field(default_factory=dict)
    barred: dict[str, int] = field(default_factory=dict)
    finished: list[list[Any]] = field(default_factory=list)
    ends: int = 0
    acknowledged: int = 0

    @property
    def labels(self) -> list[str]:
        """Return the labels that the worker's entry lists."""
        return ["a", self.rack, *([SHARED] if self.is_shared else [])]

    def clock_ms(self, now_s: float) -> float:
        """Return the worker's clock."""
        return self.clock_ms_at_start + (now_s - self.started_s) * MS_PER_S * self.clock_rate

    def real_s(self, clock_ms: float) -> float:
        """Return the real time at which the worker's clock shows a value."""
        return self.started_s + (clock_ms - self.clock_ms_at_start) / MS_PER_S / self.clock_rate


def decode_run(task: str, number: int, spec: str) -> FleetRun:
    """Return a run. The job's text tells what the tasks of each step do."""
    step = json.loads(spec)["steps"][int(task.split(".")[2])]
    draw = random.Random(f"{task} {number}").random()
    ends_as = DONE
    if draw < step.get("fail", 0.0):
        ends_as = FAILED
    elif draw > 1.0 - step.get("hang", 0.0):
        ends_as = ""
    work_s = step["work_ms"] / MS_PER_S * random.Random(task).uniform(0.7, 1.3)
    crashes_worker = int(task.split(".")[3]) in step.get("crash", ())
    return FleetRun(
        task,
        number,
        step["cpu"],
        step["mem_mb"],
        work_s,
        ends_as,
        step.get("gang", 0),
        crashes_worker,
        step.get("advised", False),
    )

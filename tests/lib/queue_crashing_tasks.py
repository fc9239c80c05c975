"""The queue world with jobs whose tasks crash the worker that starts them.

A worker that has crashed returns under its id after some seconds. The checker counts the crashes
under each task, the starts after them, and what the crashes cost other jobs.
"""

import random
from collections import defaultdict
from dataclasses import dataclass

from tests.lib.queue_single_run import SingleRunRecord
from tests.lib.queue_world import CPU, JOBS, PROCESSES, WORKERS, World
from tests.lib.queues import BATCH, job, step

# Time from a start of a crashing task to the end of its worker; of some tasks it is longer.
CRASHES_AFTER_MS = 10.0
CRASHES_LATE_AFTER_MS = 2_600.0
LATE = "crashes late"
ONE_OF_MANY = "its first task crashes"
WORKER_DOWN_MS = 3_000.0
# A task under which this many workers have crashed may be started this many times more, less one.
CRASHES_IN_BUDGET = 3
STARTS_AFTER_BUDGET = 3
# A task may be given up once this many workers have crashed under it, for whatever cause.
CRASHES_TO_GIVE_UP = 2
# Kinds of jobs whose tasks crash their worker, by number from ``FIRST_BAD`` on.
FIRST_BAD = 100
BAD_JOBS = (
    (step(1, 500),),
    (step(10, 300),),
    (step(3, 2_000),),
    (step(2, 1_000, gang=True),),
    (step(1, 1_000, lasting=True),),
    (step(2, 1_000, estimate_ms=10_000.0),),
    (step(10, 300, estimate_ms=2_000.0),),
)
BODIES = {5: LATE, 6: ONE_OF_MANY}
STEPS_PER_CASE = 40
DURATIONS_MS = (5, 60, 300, 1_500, 4_000)
DOWN_MS = (200, 3_000, 8_000)


@dataclass(frozen=True)
class Crash:
    """A crash of a worker: the task that caused it, and the runs of other jobs that it ended."""

    task: str
    lost: tuple[str, ...]

    @property
    def job_id(self):
        """Return the job that caused the crash."""
        return self.task.partition(".")[0]


class CrashRecord(SingleRunRecord):
    """Crashes under each task, and the starts after them."""

    def __init__(self, world):
        super().__init__(world)
        self.crashes = []
        self.crashes_under = defaultdict(int)
        self._starts_after_budget = defaultdict(int)

    def on_start(self, life, run, sent_to, known_cpu):
        """Let a crashing task end its worker, unless its budget of starts is exceeded."""
        super().on_start(life, run, sent_to, known_cpu)
        if not self._world.crashes_worker(run.task):
            return
        if self.crashes_under[run.task] >= CRASHES_IN_BUDGET:
            self._starts_after_budget[run.task] += 1
            count = self._starts_after_budget[run.task]
            assert count < STARTS_AFTER_BUDGET, f"BUDGET {run.task}: started {count} times more"
        is_late = self._world.jobs[run.task.partition(".")[0]].body == LATE
        after_ms = CRASHES_LATE_AFTER_MS if is_late else CRASHES_AFTER_MS
        self._world.simulation.at(after_ms, lambda: self._crash(life, run))

    def _crash(self, life, run):
        if not life.is_up or life.runs.get((run.task, run.number)) is not run:
            return
        job_id = run.task.partition(".")[0]
        lost = tuple(task for task, _ in life.runs if not task.startswith(job_id))
        self.crashes.append(Crash(run.task, lost))
        self._world.restart(life.worker_id, CPU, WORKER_DOWN_MS, 0.0)

    def on_crash(self, life):
        """Count a crash, by a task or by chance, under each task that is running."""
        super().on_crash(life)
        for task, _ in life.runs:
            self.crashes_under[task] += 1


class CrashWorld(World):
    """World in which the kinds from ``FIRST_BAD`` on are jobs of crashing tasks."""

    # Each crashing job takes a worker for several seconds, twice.
    settle_ms = 180_000.0
    crashed_workers_refuse = True

    def make_record(self):
        """Return what checks the starts and ends on the workers."""
        return CrashRecord(self)

    def make_job(self, job_id, kind):
        """Return the record of a job of a kind."""
        if kind < FIRST_BAD:
            return super().make_job(job_id, kind)
        body = BODIES.get(kind - FIRST_BAD, "crashes")
        return job(job_id, *BAD_JOBS[kind - FIRST_BAD], queue=BATCH, body=body)

    def is_bad(self, task):
        """Return whether a task belongs to a job with tasks that crash their workers."""
        return self.jobs[task.partition(".")[0]].body in ("crashes", LATE, ONE_OF_MANY)

    def crashes_worker(self, task):
        """Return whether a task crashes its worker."""
        is_first = task.endswith(".0")
        body = self.jobs[task.partition(".")[0]].body
        return self.is_bad(task) and (is_first or body != ONE_OF_MANY)

    def crashes_of(self, job_id):
        """Return the crashes that the tasks of a job caused."""
        return [crash for crash in self.record.crashes if crash.job_id == job_id]

    def _unfinished(self):
        """Return the jobs without their expected end.

        A crashing job fails. Another one may if several workers crashed under one of its tasks.
        """
        unfinished = []
        for job_id, final in super()._unfinished():
            is_bad = self.is_bad(f"{job_id}.0.0.0")
            crashes = [n for t, n in self.record.crashes_under.items() if t.startswith(job_id)]
            may_fail = is_bad or max(crashes, default=0) >= CRASHES_TO_GIVE_UP
            assert may_fail or final != "failed", f"FAILED {job_id}: it crashes no worker"
            if not (may_fail and final == "failed"):
                unfinished.append((job_id, final))
        return unfinished


def draw_case(seed):
    """Return the steps of a case with crashing jobs, restarts, cuts and changes of leader."""
    rng = random.Random(seed)
    steps = []
    while len(steps) < STEPS_PER_CASE:
        worker, process = rng.choice(WORKERS), rng.choice(PROCESSES)
        drawn = {
            "submit": lambda: (rng.randrange(len(JOBS)),),
            "submit_bad": lambda: (FIRST_BAD + rng.randrange(len(BAD_JOBS)),),
            "advance": lambda: (rng.choice(DURATIONS_MS),),
            "restart": lambda w=worker: (w, CPU, rng.choice(DOWN_MS), 0.0),
            "cut": lambda w=worker: (w, -1, rng.choice(("both", "answers", "none"))),
            "replace": lambda p=process: (p,),
            "kill": lambda p=process: (p,),
            "store_fault": lambda p=process: (p, rng.choice(("lost", "no_answer")), 1_500),
            "heal": lambda: (),
        }
        kinds = [*drawn, *["advance"] * 8, *["submit"] * 4, "submit_bad"]
        name = rng.choice(kinds)
        steps.append((name.removesuffix("_bad"), *drawn[name]()))
    return steps

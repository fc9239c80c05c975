"""The queue world with a team whose limit leaves room for few tasks, and workers that crash.

A worker crashes under the run that started last, among changes of leader, lost answers, outages of
the store and changes of the limit. No task ends as failed, so no job may, unless several workers
crashed under one of its tasks.
"""

import random
from collections import defaultdict

from tests.lib.queue_cases import FATE_NAMES
from tests.lib.queue_crashing_tasks import CRASHES_TO_GIVE_UP
from tests.lib.queue_world import CPU, PROCESSES, WORKERS
from tests.lib.queues import BATCH, job, step
from tests.lib.team_world import TEAMS, TeamRecord, TeamWorld

TEAM = TEAMS[0]
# Room for one to eight tasks.
LIMITS = (2_250, 4_000, 4_600, 9_000)
JOBS = (
    (step(12, 2_250, estimate_ms=1_400.0),),
    (step(6, 2_250, estimate_ms=1_400.0), step(3, 1_100, estimate_ms=700.0)),
    (step(8, 1_100, estimate_ms=900.0), step(2, 1_100, gang=True, estimate_ms=1_500.0, after=(0,))),
    (step(2, 1_100, gang=True, estimate_ms=3_000.0), step(5, 2_250, estimate_ms=1_000.0)),
)
STEPS_PER_CASE = 18
TAKEOVER_LIMIT_MS = 10_000.0
START_LIMIT_MS = 4_000.0
POLL_MS = 10.0


class LimitRecord(TeamRecord):
    """Also counts the crashes under each task."""

    def __init__(self, world):
        super().__init__(world)
        self.crashes_under = defaultdict(int)

    def on_crash(self, life):
        super().on_crash(life)
        for task, _ in life.runs:
            self.crashes_under[task] += 1


class LimitWorld(TeamWorld):
    """World with jobs of one team. Crashed workers refuse connections."""

    settle_ms = 120_000.0
    crashed_workers_refuse = True

    def make_record(self):
        return LimitRecord(self)

    def make_job(self, job_id, kind):
        return job(job_id, *JOBS[kind], queue=BATCH, team=TEAM, accepted_ms=float(self._born))

    def crash_last(self, down_ms, entry_lag_ms):
        """Crash the worker with the run of the highest number. It is back after a while."""
        busy = [life for life in self.lives.values() if life.is_up and life.runs]
        if busy:
            last = max(busy, key=lambda life: max(run.number for run in life.runs.values()))
            self.restart(last.worker_id, CPU, down_ms, entry_lag_ms)

    def until_start(self, after_ms):
        """Wait until a task starts, for a limited time, and for a while after that."""
        known = set(self._run_keys())
        for _ in range(round(START_LIMIT_MS / POLL_MS)):
            self.advance(POLL_MS)
            if set(self._run_keys()) - known:
                break
        self.advance(after_ms)

    def end_term(self, after_ms):
        """End the term of the leader, some time after it has read its state."""
        for _ in range(round(TAKEOVER_LIMIT_MS / POLL_MS)):
            if any(process.leader and process.leader.loaded for process in self.processes):
                break
            self.advance(POLL_MS)
        self.advance(after_ms)
        for process in self.processes:
            if process.leader is not None:
                process.loop.call_soon(process.leader._on_lost, "drawn")
        self.advance(POLL_MS)

    def _run_keys(self):
        return [key for life in self.lives.values() if life.is_up for key in life.runs]

    def _unfinished(self):
        """Return the jobs without their expected end."""
        unfinished = []
        for job_id, final in super()._unfinished():
            crashes = [n for t, n in self.record.crashes_under.items() if t.startswith(job_id)]
            may_fail = max(crashes, default=0) >= CRASHES_TO_GIVE_UP
            assert may_fail or final != "failed", f"FAILED {job_id}: without cause"
            if final != "failed":
                unfinished.append((job_id, final))
        return unfinished


def _draw_crash(rng):
    """Return the steps up to the crash of a worker under one of the first tasks."""
    jobs = [("submit", rng.randrange(len(JOBS))) for _ in range(rng.choice((1, 1, 2, 3)))]
    starts = [("until_start", 10) for _ in range(rng.randint(0, 5))]
    return [
        ("limit", TEAM, rng.choice(LIMITS)),
        *jobs,
        *starts,
        ("until_start", rng.choice((0, 5, 100, 400, 500, 600))),
        ("crash_last", rng.choice((5, 200, 700, 2_000, 6_500)), rng.choice((0, 0, 400, 2_500))),
    ]


def draw_case(seed):
    """Return the steps of a case with faults of few kinds around a crash."""
    rng = random.Random(seed)
    drawn = {
        "crash_last": lambda: (rng.choice((5, 200, 700, 2_000, 6_500)), rng.choice((0, 400))),
        "limit": lambda: (TEAM, rng.choice(LIMITS)),
        "kill": lambda: (rng.choice(PROCESSES),),
        "replace": lambda: (rng.choice(PROCESSES),),
        "end_term": lambda: (rng.choice((0, 20, 300, 380, 400, 700)),),
        "store_fault": lambda: (
            rng.choice(PROCESSES), rng.choice(("lost", "no_answer", "late")), 1_500,
        ),
        "fault": lambda: (
            rng.choice(WORKERS), rng.choice(("start", "hold", "stop")), rng.choice(FATE_NAMES),
            rng.choice((500, 1_200, 3_000)), rng.randint(1, 3),
        ),
        "outage": lambda: (rng.choice((300, 1_000, 4_000)),),
        "freeze": lambda: (rng.choice(PROCESSES), rng.choice((600, 2_000, 6_000))),
        "cut": lambda: (rng.choice(WORKERS), -1, rng.choice(("both", "answers", "calls"))),
        "submit": lambda: (rng.randrange(len(JOBS)),),
        "cancel": lambda: (rng.randrange(4),),
    }  # fmt: skip
    kinds = [*rng.sample(list(drawn), rng.randint(1, 5)), "crash_last", "crash_last"]
    steps = _draw_crash(rng)
    while len(steps) < STEPS_PER_CASE:
        name = rng.choice(kinds)
        arguments = drawn[name]()
        if name == "outage":
            steps += [("store_down", rng.random() < 0.5), ("advance", *arguments), ("store_up",)]
        elif name == "freeze":
            process, pause_ms = arguments
            steps += [("pause", process), ("advance", pause_ms), ("resume", process)]
        else:
            steps.append((name, *arguments))
        wait = ("advance", rng.choice((1, 10, 60, 150, 400, 1_200, 3_000)))
        steps.append(wait if rng.random() < 0.7 else ("until_start", rng.choice((0, 100, 600))))
    return steps


def draw_ended_terms(seed):
    """Return the steps of a case in which one term after the other ends, after a single crash."""
    rng = random.Random(seed)
    steps = [*_draw_crash(rng), ("advance", rng.choice((0, 100, 400, 700, 1_400, 4_000)))]
    # A leader places the first tasks about 370 ms after it has read its state.
    since_loaded_ms = rng.choice((10, 100, 300, 350, 370, 375, 380, 390, 400, 420, 500))
    for _ in range(rng.randint(6, 14)):
        steps.append(("end_term", since_loaded_ms + rng.choice((0, 0, 5, 10, 20, 50))))
        if rng.random() < 0.3:
            fate = rng.choice(("lost", "no_answer", "late"))
            steps.append(("store_fault", rng.choice(PROCESSES), fate, 1_500))
    return steps

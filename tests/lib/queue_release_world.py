"""The queue world with workers that are replaced as planned, under work that takes longer.

A leaving worker says so in its entry, serves for a while and is gone with everything on it. No task
ends as failed, so no job may.
"""

import json
import random

from tests.lib.queue_world import CPU, PROCESSES, WORKERS, World
from tests.lib.queues import BATCH, job, step

# Time for which a worker serves after the store has its announcement.
DRAIN_MS = 2_000.0
RETRY_MS = 500.0
HOUR_MS = 3_600_000.0
LASTING, LONG_TASK, LONG_GANG = range(3)
STEPS_OF = {
    LASTING: (step(1, 500, lasting=True, estimate_ms=HOUR_MS),),
    LONG_TASK: (step(1, 500, estimate_ms=40_000.0),),
    LONG_GANG: (step(2, 500, gang=True, estimate_ms=40_000.0),),
}
STEPS_PER_CASE = 30


class ReleaseWorld(World):
    """World in which workers leave as planned, and are back after a while."""

    settle_ms = 150_000.0
    crashed_workers_refuse = True

    def make_job(self, job_id, kind):
        """Return the record of a job of a kind."""
        return job(job_id, *STEPS_OF[kind], queue=BATCH, accepted_ms=float(self._born))

    def task_size(self, task):
        """Return the CPU and the run time of a task."""
        spec = self.step_of(task)
        return spec.needs.cpu_millis, spec.estimate_ms

    def release(self, worker, drain_ms, down_ms):
        """Let a worker leave as planned. It begins when the store has its announcement."""
        self._announce(self.lives[worker], drain_ms, down_ms)

    def release_with(self, index, drain_ms, down_ms):
        """Let the worker leave that has most runs, or one of the others."""
        by_runs = sorted(self.lives.values(), key=lambda life: -len(life.runs))
        self._announce(by_runs[index % len(by_runs)], drain_ms, down_ms)

    def _announce(self, life, drain_ms, down_ms):
        if self.lives[life.worker_id] is not life or not life.is_up:
            return
        if self.store.is_down:
            self.simulation.at(RETRY_MS, lambda: self._announce(life, drain_ms, down_ms))
            return
        entry = json.dumps({"born": life.born, "cpu": life.cpu, "draining": True}).encode()
        self.store.put(f"servers/{life.worker_id}", entry)
        self.simulation.at(drain_ms, lambda: self._leave(life, down_ms))

    def _leave(self, life, down_ms):
        if not life.is_up:
            return
        self.note(f"{life.worker_id} leaves with {list(life.runs)}")
        life.crash()
        self.store.remove(f"servers/{life.worker_id}")
        self.simulation.at(down_ms, lambda: self._begin_life(life.worker_id, CPU, 0.0, 0.0))

    def _unfinished(self):
        """Return the jobs without their expected end; those of lasting tasks need a live run."""
        unfinished = []
        for job_id, final in super()._unfinished():
            assert final != "failed", f"FAILED {job_id}: none of its runs has failed"
            is_lasting = self.jobs[job_id].steps[0].lasting
            is_at_work = any(
                task.startswith(job_id) for life in self.lives.values() for task, _ in life.runs
            )
            if not (is_lasting and is_at_work):
                unfinished.append((job_id, final))
        return unfinished


def draw_case(seed):
    """Return the steps of a case with releases beside changes of leader, outages and cuts."""
    rng = random.Random(seed)
    drawn = {
        "release_with": lambda: (0, rng.choice((2_000, 5_000)), rng.choice((500, 4_000))),
        "release": lambda: (rng.choice(WORKERS), DRAIN_MS, rng.choice((500, 9_000))),
        "kill": lambda: (rng.choice(PROCESSES),),
        "replace": lambda: (rng.choice(PROCESSES),),
        "outage": lambda: (rng.choice((1_000, 4_000)),),
        "freeze": lambda: (rng.choice(PROCESSES), rng.choice((2_000, 6_000))),
    }
    steps = [("submit", kind) for kind in STEPS_OF]
    while len(steps) < STEPS_PER_CASE:
        name = rng.choice([*drawn, "release_with", "release_with"])
        arguments = drawn[name]()
        if name == "outage":
            steps += [("store_down", rng.random() < 0.5), ("advance", *arguments), ("store_up",)]
        elif name == "freeze":
            process, pause_ms = arguments
            steps += [("pause", process), ("advance", pause_ms), ("resume", process)]
        else:
            steps.append((name, *arguments))
        steps.append(("advance", rng.choice((300, 1_500, 2_200, 6_000, 12_000))))
    return steps

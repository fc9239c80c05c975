"""Callers of the queue soak: they submit jobs, ask for their states and cancel some."""

import asyncio
import json
import random
from collections import Counter
from typing import Any

from scripts.queue_soak_cell import ADVISED, PREFIXES, SoakCell
from scripts.queue_soak_jobs import SoakJob
from scripts.queue_soak_keys import TEAMS, KeyChanges
from standins.worker_fleet_state import SHARED

POLL_S = 0.5
# For jobs whose tasks take up to this time.
JOB_LIMIT_S = 60.0
USUAL_MS = 4_000
# The tasks of each of up to three steps run twice, one after the other.
RUNS_IN_SERIES = 6
CANCELLED_SHARE = 0.15
GANG_SHARE = 0.25
FINAL_STATES = ("completed", "failed", "cancelled")
# Tasks of a step that crash their workers, if the step has any.
MOST_CRASHING = 2
LAST_CALLS = 3


def extra_time_s(longest_ms: int) -> float:
    """Return how much more time jobs need whose tasks take longer than usual."""
    return RUNS_IN_SERIES * max(0, longest_ms - USUAL_MS) / 1_000.0


class SoakLoad:
    """A fixed number of callers, each with one open job at a time.

    Attributes
    ----------
    jobs
        All accepted jobs.
    crashing_share
        Share of the new jobs that have tasks which crash their workers.
    """

    def __init__(
        self,
        cell: SoakCell,
        keys: KeyChanges,
        seed: int,
        callers: int,
        work_ms: tuple[int, int],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.jobs: list[SoakJob] = []
        self.crashing_share = 0.0
        self._is_closing = False
        self._cell = cell
        self._keys = keys
        self._seed = seed
        self._callers = callers
        self._work_ms = work_ms
        self._gang_label = SHARED if cell.fleet_processes.stoppable else ""
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(self._callers):
            rng = random.Random(f"caller {self._seed} {number}")
            team = TEAMS[number % len(TEAMS)]
            self._tasks.append(asyncio.create_task(self._run_caller(rng, team)))

    async def finish(self, limit_s: float) -> None:
        """Submit no more jobs, and wait until the accepted ones have ended or until a limit."""
        self._is_closing = True
        await asyncio.wait(self._tasks, timeout=limit_s)
        await self.stop()
        rng = random.Random(self._seed)
        for job in self.jobs:
            for _ in range(LAST_CALLS if not job.state else 0):
                if await self._is_ended(rng, job):
                    break

    async def stop(self) -> None:
        """Stop the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_caller(self, rng: random.Random, team: str) -> None:
        while not self._is_closing:
            job_id = f"{rng.getrandbits(64):016x}"
            prefix = rng.choice(PREFIXES)
            path = prefix + job_id
            is_crashing = rng.random() < self.crashing_share
            is_advised = prefix == ADVISED
            body = job_body(
                rng,
                self._work_ms,
                is_crashing=is_crashing,
                is_advised=is_advised,
                gang_label=self._gang_label,
            )
            if await self._submit(rng, team, path, body):
                now_s = asyncio.get_running_loop().time()
                job = SoakJob(job_id, path, team, now_s, body["steps"], is_crashing, is_advised)
                self.jobs.append(job)
                await self._follow(rng, job)

    async def _submit(self, rng: random.Random, team: str, path: str, body: dict[str, Any]) -> bool:
        for _ in range(10):
            status, _ = await self._call(rng, team, "POST", path, body)
            if status == 200:
                self.counts["accepted"] += 1
                if rng.random() < 0.05:
                    await asyncio.sleep(rng.uniform(0, 3.0))
                    await self._call(rng, team, "POST", path, body)
                return True
            self.counts[f"submit_{status}"] += 1
            await asyncio.sleep(rng.uniform(0.1, 0.5))
        return False

    async def _follow(self, rng: random.Random, job: SoakJob) -> None:
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + JOB_LIMIT_S + extra_time_s(self._work_ms[1])
        cancels = rng.random() < CANCELLED_SHARE
        cancel_at_s = loop.time() + rng.uniform(0.2, 4.0) if cancels else None
        while loop.time() < limit_s:
            await asyncio.sleep(POLL_S)
            if cancel_at_s is not None and loop.time() >= cancel_at_s:
                job.is_cancelled = True
                status, _ = await self._call(rng, job.team, "DELETE", job.path)
                cancel_at_s = None if status in (200, 410) else cancel_at_s
            if await self._is_ended(rng, job):
                return
        self.counts["unfinished"] += 1

    async def _is_ended(self, rng: random.Random, job: SoakJob) -> bool:
        status, content = await self._call(rng, job.team, "GET", job.path)
        if status != 200 or content["state"] not in FINAL_STATES:
            return False
        job.state, job.ended_s = content["state"], asyncio.get_running_loop().time()
        self.counts[job.state] += 1
        return True

    async def _call(
        self, rng: random.Random, team: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        running = [n for n, instance in enumerate(self._cell.instances) if instance.running]
        if not running:
            await asyncio.sleep(POLL_S)
            return 599, None
        return await self._keys.call(team, rng.choice(running), method, path, body)


def job_body(
    rng: random.Random,
    work_ms: tuple[int, int],
    *,
    is_crashing: bool = False,
    is_advised: bool = False,
    gang_label: str = "",
) -> dict[str, Any]:
    """Return a submission of one to three steps, some of which are gangs.

    Parameters
    ----------
    work_ms
        Shortest and longest estimate.
    gang_label
        Label that the workers of gangs need, if any.
    is_crashing
        Whether tasks of one step crash the workers that start them.
    is_advised
        Whether the workers that run the tasks need a ticket of the advice service.
    """
    steps: list[dict[str, Any]] = []
    actions = []
    for number in range(rng.choice((1, 1, 2, 3))):
        is_gang = rng.random() < GANG_SHARE
        count = rng.randint(2, 6) if is_gang else rng.randint(3, 20)
        estimate_ms = round(rng.uniform(*work_ms))
        needs = {"cpu": rng.choice((250, 500, 1_000, 2_000)), "mem_mb": rng.choice((128, 1_024))}
        step = {"count": count, **needs, "estimate_ms": estimate_ms}
        if is_gang:
            step["gang"] = True
            if gang_label:
                step["requires"] = gang_label
        if number:
            step["after"] = [number - 1]
        steps.append(step)
        actions.append(
            {
                **needs,
                "work_ms": estimate_ms,
                "gang": count if is_gang else 0,
                "fail": 0.02,
                "hang": 0.01,
                "advised": is_advised,
            }
        )
    if is_crashing:
        number = rng.randrange(len(steps))
        indexes = range(steps[number]["count"])
        actions[number]["crash"] = rng.sample(indexes, rng.randint(1, MOST_CRASHING))
    return {"spec": json.dumps({"steps": actions}, separators=(",", ":")), "steps": steps}

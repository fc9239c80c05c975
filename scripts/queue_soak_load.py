"""Callers of the queue soak: they submit jobs, ask for their states and cancel some."""

import asyncio
import json
import random
from collections import Counter
from typing import Any

from scripts.queue_soak_cell import PREFIXES, SoakCell
from scripts.queue_soak_keys import TEAMS, KeyChanges

POLL_S = 0.5
JOB_LIMIT_S = 60.0
CANCELLED_SHARE = 0.15
GANG_SHARE = 0.25
FINAL_STATES = ("completed", "failed", "cancelled")


class SoakLoad:
    """A fixed number of callers, each with one open job at a time."""

    def __init__(
        self, cell: SoakCell, keys: KeyChanges, seed: int, callers: int, longest_ms: int
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._cell = cell
        self._keys = keys
        self._seed = seed
        self._callers = callers
        self._longest_ms = longest_ms
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(self._callers):
            rng = random.Random(f"caller {self._seed} {number}")
            team = TEAMS[number % len(TEAMS)]
            self._tasks.append(asyncio.create_task(self._run_caller(rng, team)))

    async def stop(self) -> None:
        """Stop the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_caller(self, rng: random.Random, team: str) -> None:
        while True:
            path = rng.choice(PREFIXES) + f"{rng.getrandbits(64):016x}"
            body = job_body(rng, self._longest_ms)
            if await self._submit(rng, team, path, body):
                await self._follow(rng, team, path)

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

    async def _follow(self, rng: random.Random, team: str, path: str) -> None:
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + JOB_LIMIT_S
        cancels = rng.random() < CANCELLED_SHARE
        cancel_at_s = loop.time() + rng.uniform(0.2, 4.0) if cancels else None
        while loop.time() < limit_s:
            await asyncio.sleep(POLL_S)
            if cancel_at_s is not None and loop.time() >= cancel_at_s:
                status, _ = await self._call(rng, team, "DELETE", path)
                cancel_at_s = None if status in (200, 410) else cancel_at_s
            status, content = await self._call(rng, team, "GET", path)
            if status == 200 and content["state"] in FINAL_STATES:
                self.counts[content["state"]] += 1
                return
        self.counts["unfinished"] += 1

    async def _call(
        self, rng: random.Random, team: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        running = [n for n, instance in enumerate(self._cell.instances) if instance.running]
        if not running:
            await asyncio.sleep(POLL_S)
            return 599, None
        return await self._keys.call(team, rng.choice(running), method, path, body)


def job_body(rng: random.Random, longest_ms: int) -> dict[str, Any]:
    """Return a submission of one to three steps, some of which are gangs."""
    steps: list[dict[str, Any]] = []
    actions = []
    for number in range(rng.choice((1, 1, 2, 3))):
        is_gang = rng.random() < GANG_SHARE
        count = rng.randint(2, 6) if is_gang else rng.randint(3, 20)
        work_ms = round(rng.uniform(300, longest_ms))
        needs = {"cpu": rng.choice((250, 500, 1_000, 2_000)), "mem_mb": rng.choice((128, 1_024))}
        step = {"count": count, **needs, "estimate_ms": work_ms}
        if is_gang:
            step["gang"] = True
        if number:
            step["after"] = [number - 1]
        steps.append(step)
        actions.append(
            {
                **needs,
                "work_ms": work_ms,
                "gang": count if is_gang else 0,
                "fail": 0.02,
                "hang": 0.01,
            }
        )
    return {"spec": json.dumps({"steps": actions}, separators=(",", ":")), "steps": steps}

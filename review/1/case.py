"""The store turns the leader away for some seconds, several times one after the other."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from cell import HOST, PREFIX, RULE_BROKEN, RULE_HELD, Cell, run_case  # noqa: E402

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "route-1",
            "host": HOST,
            "prefix": PREFIX,
            "backend": "pool",
            "priority": 2,
            "attempts": 3,
            "stretch": 4.0,
            "target_duration_ms": 1_000,
        }
    ],
    "backends": [{"name": "pool", "enforces_capacity": False}],
    "limits": {"max_body_bytes": 262_144},
}
ENTRIES, RUNNERS, RUNNER_CPU = 8, 4, 16_000
TASKS, TASK_CPU, WORK_MS = 30, 500, 800
# One job in this time uses a third of the capacity on average.
JOB_INTERVAL_S = 0.6
TRAFFIC_S = 12.0
REFUSED_S = 7.0
REFUSAL_INTERVAL_S = 7.0
MAX_REFUSALS = 8
FORMER_LEADERS = 5
# The rule: this long after the end of the traffic, for 3 s.
FINISH_S, IDLE_S = 14.0, 3.0
MAX_USED = 0.5


async def scenario(has_trouble: bool) -> int:
    cell = Cell(HERE, entries=ENTRIES, runners=RUNNERS, config=CONFIG, cpu=RUNNER_CPU)
    try:
        await cell.start()
        refusals = asyncio.create_task(refuse_leaders(cell, has_trouble))
        accepted = await send_jobs(cell, refusals)
        cell.log("end of traffic")
        await asyncio.sleep(FINISH_S)
        checked_from_s = time.time()
        await asyncio.sleep(IDLE_S + 0.2)
        return await check(cell, accepted, checked_from_s)
    finally:
        if os.environ.get("KEEP"):
            (HERE / "entries.log").write_text(cell.entry_logs())
        cell.stop()


async def refuse_leaders(cell: Cell, has_trouble: bool) -> None:
    """Turn the leader away until several instances have led, and one leads for the first time.

    Without the disruption this takes as long.
    """
    led: set[int] = set()
    for _ in range(MAX_REFUSALS):
        await asyncio.sleep(REFUSAL_INTERVAL_S)
        if not has_trouble:
            continue
        leader = await cell.leader()
        if leader not in led and len(led) >= FORMER_LEADERS:
            return
        led.add(leader)
        await cell.refuse(leader, REFUSED_S)


async def send_jobs(cell: Cell, refusals: asyncio.Task[None]) -> list[str]:
    """Send jobs to all entry processes in turn, also for some time after the disruption.

    Return those that were accepted.
    """
    accepted = []
    end_s = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < end_s:
        if not refusals.done():
            end_s = time.monotonic() + TRAFFIC_S
        job = f"{number:016x}"
        step = {"count": TASKS, "cpu": TASK_CPU, "mem_mb": 100, "estimate_ms": WORK_MS}
        body = {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step]}
        status, _ = await cell.call(number % ENTRIES, "POST", job, body)
        if status == 200:
            accepted.append(job)
        number += 1
        await asyncio.sleep(JOB_INTERVAL_S)
    return accepted


async def check(cell: Cell, accepted: list[str], from_s: float) -> int:
    """Look for jobs without a running task for 3 s that are not complete."""
    running: dict[tuple[str, str, int], float] = {}
    last_at_work: dict[str, float] = {}
    done: set[str] = set()
    for event in cell.events("start", "end"):
        key = (event["by"], event["task"], event["run"])
        if event["event"] == "start":
            running[key] = event["t"]
        else:
            running.pop(key, None)
            last_at_work[event["task"].partition(".")[0]] = event["t"]
            if event["how"] == "done":
                done.add(event["task"])
    at_work = {task.partition(".")[0] for _, task, _ in running}
    idle = []
    for job in accepted:
        done_count = sum(f"{job}.0.0.{index}" in done for index in range(TASKS))
        is_idle = job not in at_work and last_at_work.get(job, 0.0) <= from_s
        if done_count < TASKS and is_idle:
            status, answer = await cell.call(0, "GET", job)
            idle.append(job)
            print(f"job {job}: {done_count} of {TASKS} tasks done, nothing runs, {status} {answer}")
    used = len(running) * TASK_CPU / (RUNNERS * RUNNER_CPU)
    peaks = {
        each["by"]: max(e["open"] for e in cell.events("connections") if e["by"] == each["by"])
        for each in cell.events("connections")
    }
    print(f"{len(accepted)} jobs accepted, {len(idle)} idle; {used:.0%} of the capacity in use")
    print(f"most open connections: {dict(sorted(peaks.items()))}")
    if idle and used < MAX_USED:
        print(f"LOST: {FINISH_S:.0f} s after the traffic, for {IDLE_S:.0f} s, nothing of them runs")
        return RULE_BROKEN
    return RULE_HELD


if __name__ == "__main__":
    sys.exit(run_case(scenario))

"""A long-running job, and one runner that goes down and up by turns for a few seconds."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from cell import HOST, PREFIX, RULE_BROKEN, RULE_HELD, Cell, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "route-1",
            "host": HOST,
            "prefix": PREFIX,
            "backend": "pool",
            "priority": 0,
            "attempts": 3,
            "stretch": 1.5,
            "target_duration_ms": 1_000,
        }
    ],
    "backends": [{"name": "pool", "enforces_capacity": False}],
    "limits": {"max_body_bytes": 262_144},
}
RUNNERS = 12
PERIOD_S = float(os.environ.get("PERIOD_S", "1.4"))
FLAP_S = 6.5
HOUR_MS = 3_600_000


async def scenario(has_trouble: bool) -> int:
    bounds = {"config_ms": 3_000, "stable_ms": 4_000}
    cell = Cell(HERE, entries=3, runners=RUNNERS, config=CONFIG, bounds=bounds, cpu=16_000)
    try:
        await cell.start()
        step = {"count": 3, "cpu": 1_400, "mem_mb": 512, "estimate_ms": 1_000, "long_running": True}
        body = {"spec": json.dumps({"work_ms": HOUR_MS}), "steps": [step]}
        status, _ = await cell.call(0, "POST", JOB, body)
        assert status == 200, "the job was not accepted"
        await asyncio.sleep(3.0)
        if has_trouble:
            await flap(cell)
        return await watch(cell)
    finally:
        if os.environ.get("KEEP"):
            (HERE / "entries.log").write_text(cell.entry_logs())
        cell.stop()


async def flap(cell: Cell) -> None:
    """Take a runner that runs the job down and up by turns."""
    runner = cell.events("start")[-1]["by"]
    end_s = time.monotonic() + FLAP_S
    while time.monotonic() < end_s:
        cell.kill_runner(runner)
        await asyncio.sleep(PERIOD_S / 2)
        await cell.start_runner(runner)
        await asyncio.sleep(PERIOD_S / 2)


async def watch(cell: Cell) -> int:
    """Ask for the state of the job until some time after the disruption."""
    state = ""
    deadline_s = time.monotonic() + 25
    while time.monotonic() < deadline_s and state != "failed":
        await asyncio.sleep(0.5)
        status, answer = await cell.call(1, "GET", JOB, log=False)
        if status == 200 and answer["state"] != state:
            state = answer["state"]
            cell.log("state", state=state)
    failed_ends = [e for e in cell.events("end") if e["how"] == "failed"]
    print(f"state {state}, {len(failed_ends)} ends `failed`, {len(cell.events('crash'))} crashes")
    if state == "failed" and not failed_ends:
        print("LOST: the job is shown as `failed` without cause: no run has ended `failed`")
        return RULE_BROKEN
    return RULE_HELD


if __name__ == "__main__":
    sys.exit(run_case(scenario))

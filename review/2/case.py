"""A long-running task, and a release: some runners are replaced one after the other."""

import asyncio
import json
import os
import sys
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
# A share of 0.45 of the runners, one at a time.
REPLACED = 5
GAP_S = 11.0
HOUR_MS = 3_600_000


async def scenario(has_trouble: bool) -> int:
    cell = Cell(HERE, entries=3, runners=RUNNERS, config=CONFIG, cpu=16_000)
    try:
        await cell.start()
        step = {"count": 1, "cpu": 1_400, "mem_mb": 512, "estimate_ms": 1_000, "long_running": True}
        body = {"spec": json.dumps({"work_ms": HOUR_MS}), "steps": [step]}
        status, _ = await cell.call(0, "POST", JOB, body)
        assert status == 200, "the job was not accepted"
        await asyncio.sleep(5.0)
        for number in range(REPLACED):
            if has_trouble:
                await cell.start_runner(f"i-{RUNNERS + number:02d}")
                cell.drain_runner(f"i-{number:02d}")
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(5.0)
        return await check(cell)
    finally:
        if os.environ.get("KEEP"):
            (HERE / "entries.log").write_text(cell.entry_logs())
        cell.stop()


async def check(cell: Cell) -> int:
    status, answer = await cell.call(1, "GET", JOB)
    failed_ends = [e for e in cell.events("end") if e["how"] == "failed"]
    left = [event["by"] for event in cell.events("left")]
    print(f"GET {status} {answer}, {len(failed_ends)} ends `failed`, runners left: {left}")
    if status == 200 and answer["state"] == "failed" and not failed_ends:
        print("LOST: the job is shown as `failed` without cause: no run has ended `failed`")
        return RULE_BROKEN
    return RULE_HELD


if __name__ == "__main__":
    sys.exit(run_case(scenario))

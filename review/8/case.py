"""A cancelled submission whose write the store carries out late."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from cell import BOUNDS, IS_TROUBLED, main  # noqa: E402

JOB = "00000000000000aa"
# For how long the store answers one of the instances nothing, and when it carries out a write that
# it received meanwhile.
SILENT_S = 2.5
LATE_S = 6.0
DEADLINE_S = 2.0


async def scenario(cell):
    await cell.start()
    # The instance that leads is not disturbed.
    first = next(each for each in cell.instances if each is not cell.leader)
    second = next(each for each in cell.instances if each is not first)
    body = {
        "spec": json.dumps({"ms": 1_000, "cpu": 1_000}),
        "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 1_000}],
    }
    if IS_TROUBLED:
        first.listener.late_s = LATE_S
        first.listener.answers = False
        cell.record(f"the store gives no response to {first.name}, for {SILENT_S} s")
        heal = asyncio.create_task(heal_after(cell, first.listener))
    await cell.call("POST", JOB, body, first, timeout_s=DEADLINE_S)
    status, _ = await cell.call("DELETE", JOB, None, second)
    acknowledged_s = cell.fleet.now_s
    if status not in (200, 410):
        return ""
    if IS_TROUBLED:
        await heal
    await asyncio.sleep(12.0)
    for instance in (first, second):
        await cell.call("GET", JOB, None, instance)
    cell.record(f"leader: {cell.leader.name}")
    late = [
        (task, at_s - acknowledged_s)
        for at_s, task, *_ in cell.fleet.starts
        if at_s > acknowledged_s + BOUNDS["cancel_ms"] / 1_000
    ]
    for task, after_s in late:
        cell.record(f"{task} was started {after_s:.1f} s after the answer {status} to DELETE")
    return "UNASKED, a task started later than cancel_ms after the acknowledgement" if late else ""


async def heal_after(cell, listener):
    await asyncio.sleep(SILENT_S)
    listener.answers = True
    cell.record("the store answers again")


main(FOLDER, scenario, instances=4)

"""A job of a route that the next version of the configuration holds under another name."""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from cell import BOUNDS, IS_TROUBLED, main  # noqa: E402

JOB = "00000000000000aa"


async def scenario(cell):
    await cell.start()
    body = {
        "spec": json.dumps({"ms": 12_000, "cpu": 1_000}),
        "steps": [{"count": 1, "cpu": 1_000, "mem_mb": 64, "estimate_ms": 12_000}],
    }
    status, _ = await cell.call("POST", JOB, body)
    if status != 200:
        return ""
    await asyncio.sleep(2.0)
    await cell.call("GET", JOB)
    config = json.loads(cell.store.value("op/config"))
    config["version"] = 9
    if IS_TROUBLED:
        # The route is removed, and another one is added for the same host and prefix.
        config["routes"][0]["name"] = "r-9"
    else:
        config["routes"][0]["timeout_ms"] = 2500
    cell.store.put("op/config", json.dumps(config).encode())
    cell.record(f"the operator writes version 9, routes {config['routes']}")
    await asyncio.sleep((BOUNDS["config_ms"] + BOUNDS["visible_ms"]) / 1_000)
    gone = []
    for instance in cell.instances:
        status, _ = await cell.call("GET", JOB, None, instance)
        gone += [instance.name] if status == 410 else []
    await asyncio.sleep(8.0)
    for instance in cell.instances:
        status, _ = await cell.call("GET", JOB, None, instance)
        gone += [instance.name] if status == 410 else []
    return f"LOST, GET of an accepted job is answered 410 by {sorted(set(gone))}" if gone else ""


main(FOLDER, scenario)

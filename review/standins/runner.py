"""Process of one runner, as PROTOCOL.md describes it. It starts what it is told to start.

The text of a job is JSON. ``work_ms`` is the time that a task takes; a list of it has one entry for
each index of a task. Everything that the runner does is appended to the record as one JSON line.
"""

import argparse
import asyncio
import base64
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent))

import standin_http as http

MAX_HOLD_MS = 10_000.0
MAX_ENDS = 500
# The sheets of the deployments: "8 slots and 64 connections each".
MAX_CONNECTIONS = 64
STOP_S = 0.1
# Time for which a leaving runner serves after it has said so: ``drain_ms`` and a little longer.
DRAIN_S = 3.5
TICK_S = 0.01


class Runner:
    """One life of a runner."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.id = arguments.id
        self.born = int(time.time() * 1_000)
        self.backend = arguments.backend
        self.zone = arguments.zone
        self.rack = arguments.rack
        self.cpu, self.mem_mb = arguments.cpu, arguments.mem_mb
        self.store = arguments.store
        self.beat_s = arguments.heartbeat_ms / 1_000
        self.record = os.open(arguments.record, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.origin_s = time.monotonic()
        self.fence = 0
        self.lease_ms: float | None = None
        self.running: dict[tuple[str, int], dict[str, Any]] = {}
        self.barred: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.ends = 0
        self.seq = 0
        self.draining_since_s: float | None = None
        self.ended = asyncio.Event()
        self.beat_due = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the runner's own steady clock."""
        return int((time.monotonic() - self.origin_s) * 1_000)

    def log(self, event: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = {"t": round(time.time(), 3), "by": self.id, "event": event, **fields}
        os.write(self.record, (json.dumps(line) + "\n").encode())

    async def handle(self, call: http.Call) -> Any:
        """Carry out a call of the scheduler."""
        if call.headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms(), "born": self.born}
        self.advance()
        body = call.body
        if body.get("fence_token", 0) < self.fence:
            return 409, self.content(reason="fence")
        self.fence = body.get("fence_token", 0)
        name = call.path.removeprefix("/v1/")
        if name == "run-start":
            return self.start(body)
        if name == "run-stop":
            self.stop(body["task"], body["run"])
            return 200, self.content()
        if name == "hold":
            return await self.hold(body)
        if name == "pace":
            return 200, self.content()
        return 404, self.content()

    def content(self, **fields: Any) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def start(self, body: dict[str, Any]) -> Any:
        task, number = body["task"], body["run"]
        self.extend(body["deadline_ms"])
        if (task, number) in self.running:
            return 200, self.content()
        if number <= self.barred.get(task, 0):
            return 409, self.content(reason="old")
        if body["deadline_ms"] <= self.clock_ms():
            return 409, self.content(reason="late")
        work_ms = json.loads(body["spec"])["work_ms"]
        if isinstance(work_ms, list):
            work_ms = work_ms[int(task.rpartition(".")[2])]
        now_s = time.monotonic()
        self.running[(task, number)] = {"from_s": now_s, "end_s": now_s + work_ms / 1_000}
        self.log("start", task=task, run=number, fence=self.fence)
        return 200, self.content()

    def stop(self, task: str, number: int) -> None:
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and "stop_s" not in run:
            run["stop_s"] = time.monotonic() + STOP_S
            self.log("stop", task=task, run=number)

    async def hold(self, body: dict[str, Any]) -> Any:
        if body.get("deadline_ms") is not None:
            self.extend(body["deadline_ms"])
        last_seen = body["last_seen"]
        if any(row[0] <= last_seen for row in self.finished):
            self.log("noted", last_seen=last_seen)
            self.finished = [row for row in self.finished if row[0] > last_seen]
        wait_until_s = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while not self.finished and time.monotonic() < wait_until_s:
            try:
                async with asyncio.timeout(wait_until_s - time.monotonic()):
                    await self.ended.wait()
            except TimeoutError:
                break
        self.advance()
        now_s = time.monotonic()
        running = []
        for (task, number), run in self.running.items():
            share = (now_s - run["from_s"]) / max(0.001, run["end_s"] - run["from_s"])
            running.append([task, number, "", min(99, int(100 * share)), 1_000])
        return 200, self.content(running=running, finished=self.finished[:MAX_ENDS])

    def extend(self, deadline_ms: float) -> None:
        lease_ms = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        if lease_ms > self.clock_ms():
            self.lease_ms = max(self.lease_ms or 0.0, lease_ms)

    def advance(self) -> None:
        """End what is due."""
        now_s = time.monotonic()
        for key, run in sorted(self.running.items(), key=lambda item: item[1]["end_s"]):
            if run["end_s"] <= now_s:
                self.end(key, "done")
            elif run.get("stop_s", now_s + 1) <= now_s:
                self.end(key, "stopped")
        if self.lease_ms is not None and self.clock_ms() >= self.lease_ms:
            self.lease_ms = None
            for key in list(self.running):
                self.end(key, "lapsed")

    def end(self, key: tuple[str, int], how: str) -> None:
        del self.running[key]
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        self.ends += 1
        self.finished.append([self.ends, key[0], key[1], how, ""])
        self.log("end", task=key[0], run=key[1], how=how, number=self.ends)
        self.ended.set()
        self.ended = asyncio.Event()

    def drain(self) -> None:
        """Begin to leave: say so, serve for a while, and exit."""
        self.draining_since_s = time.monotonic()
        self.log("draining")
        self.beat_due.set()

    async def leave(self) -> None:
        """Remove the entry of a runner that has left."""
        body = {"puts": [], "remove": [f"servers/{self.id}"]}
        await http.request(self.store, "POST", "/v1/kv-txn", body)
        self.log("left", running=[task for task, _ in self.running])

    async def beat(self, port: int) -> None:
        """Write the runner's entry again and again, until the time for draining has passed."""
        while True:
            self.beat_due.clear()
            self.seq += 1
            entry = {
                "backend": self.backend,
                "address": f"127.0.0.1:{port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready" if self.draining_since_s is None else "draining",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": ["a", self.rack],
                "born": self.born,
                "machine": self.id,
                "seq": self.seq,
            }
            if self.draining_since_s is not None:
                entry["remaining_ms"] = int(DRAIN_S * 1_000)
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            body = {"puts": [{"key": f"servers/{self.id}", "value": value}]}
            await http.request(self.store, "POST", "/v1/kv-txn", body)
            if self.draining_since_s is not None:
                await asyncio.sleep(DRAIN_S)
                return
            try:
                async with asyncio.timeout(self.beat_s):
                    await self.beat_due.wait()
            except TimeoutError:
                continue


async def main() -> None:
    """Serve until killed, or until drained after a SIGTERM."""
    parser = argparse.ArgumentParser()
    for name in ("id", "backend", "zone", "rack", "store", "record"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("cpu", "mem_mb", "port", "heartbeat_ms"):
        parser.add_argument(f"--{name}", type=int, required=True)
    arguments = parser.parse_args()
    runner = Runner(arguments)
    server = http.Server(runner.handle, max_connections=MAX_CONNECTIONS)
    await server.start(arguments.port)
    runner.log("up", born=runner.born, port=server.port)
    print(server.port, flush=True)
    beat = asyncio.create_task(runner.beat(server.port))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, runner.drain)
    shown = (0, 0)
    while not beat.done():
        await asyncio.sleep(TICK_S)
        runner.advance()
        if (server.connections, server.refused) != shown:
            shown = (server.connections, server.refused)
            runner.log("connections", open=shown[0], refused=shown[1])
    if runner.draining_since_s is not None:
        await runner.leave()


if __name__ == "__main__":
    asyncio.run(main())

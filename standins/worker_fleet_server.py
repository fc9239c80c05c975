"""Process that serves the workers of a fleet over HTTP, with faults set over a control listener.

Control calls: ``POST /fault`` with ``workers``, ``kind``, ``for_s`` and the fields of the kind adds
a fault; ``POST /restart`` with ``worker``, ``down_s`` and ``quiet``; ``POST /resize`` with
``worker``, ``cpu`` and ``mem_mb``; ``GET /entries`` returns the entries of the workers that are up,
for the metadata store; ``GET /usage`` returns the share of the capacity in use. Each instance has a
listener of the advice service. Several such processes may serve one platform: the shared one
without a name knows the members of gangs and issues the tickets, and the workers of the others lack
the label that steps with gangs require.
"""

import argparse
import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

from nutmeglb._internal.ports_file import write_ports_file
from standins.advice_book import MAX_WAITING, MAX_WORKERS, VALID_MS, answer_delay_s, is_approved
from standins.light_http import LightRequest, LightServer, NoResponse, Reply
from standins.worker_fleet import Fleet, FleetWorker, Kind
from standins.worker_fleet_faults import FleetFaults, WorkerFault
from standins.worker_fleet_stops import ProcessClock, StoppableFleet, draw_flavour

KINDS = (Kind(4_000, 16_384), Kind(6_000, 16_384), Kind(8_000, 32_768), Kind(16_000, 65_536))
RACKS = 4
DOMAINS = ("east", "north", "west")
MS_PER_S = 1_000.0
LATE_S = (2.0, 12.0)
# A crashed worker is back after this time.
RETURN_S = (2.5, 3.5)
TICK_S = 0.01


class FleetServer:
    """Serves all workers of a fleet."""

    def __init__(self, arguments: argparse.Namespace, record: TextIO) -> None:
        # The shared process has no name.
        self._process: str = arguments.process
        name = f"{self._process} {arguments.seed}".strip()
        self._listed_stopping_share = arguments.listed_stopping_share
        self._kind_change_share = arguments.kind_change_share
        self._late_calls_cross_lives = bool(arguments.late_calls_cross_lives)
        self._new_id_share = arguments.new_id_share
        self._rng = random.Random(f"fleet {name}")
        self._record_file = record
        self._now_s: Callable[[], float] = time.monotonic
        state_rng = random.Random(f"fleet state {name}")
        if self._process:
            flavour = draw_flavour(random.Random(f"flavour {name}"), arguments.clock)
            stoppable = StoppableFleet(state_rng, self._record, flavour, self._process)
            self._now_s = ProcessClock(stoppable.resume).now_s
            self._fleet: Fleet = stoppable
        else:
            self._fleet = Fleet(state_rng, self._record)
        self._servers: dict[str, LightServer] = {}
        self._faults = FleetFaults(self._rng)
        self._closes_lost: dict[str, bool] = {}
        self._domains: dict[str, str] = {}
        self._ended = asyncio.Event()
        self._late_calls: set[asyncio.Task[None]] = set()
        self._returns: set[asyncio.Task[None]] = set()
        self._control = LightServer(self._handle_control)
        self._advice = [LightServer(self._advice_handler()) for _ in range(arguments.instances)]
        self._ids = [f"{self._process}w{number:02d}" for number in range(arguments.workers)]

    async def start(self) -> dict[str, Any]:
        """Start all listeners and return the addresses of those for control and advice."""
        for number, worker_id in enumerate(self._ids, sum(self._process.encode())):
            worker = FleetWorker(worker_id, self._rng.choice(KINDS), f"r1-{number % RACKS}")
            worker.lists_stopping = self._rng.random() < self._listed_stopping_share
            worker.is_shared = not self._process
            self._closes_lost[worker_id] = self._rng.random() < 0.5
            self._domains[worker_id] = DOMAINS[number % len(DOMAINS)]
            self._faults.add_worker(worker_id)
            self._fleet.boot(worker, _wall_ms(), self._now_s())
            self._servers[worker_id] = LightServer(self._handler(worker))
            await self._servers[worker_id].start()
        for server in (self._control, *self._advice):
            await server.start()
        return {"control": self._control.address, "advice": [s.address for s in self._advice]}

    async def run(self) -> None:
        """Apply the events that are due, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._fleet.advance(self._now_s())

    def _record(self, event: dict[str, Any]) -> None:
        if event["event"] in ("end", "boot"):
            self._ended.set()
            self._ended = asyncio.Event()
        elif event["event"] == "crash":
            worker = self._fleet.workers[event["worker"]]
            self._servers[worker.worker_id].stop()
            returning = asyncio.create_task(self._return(worker))
            self._returns.add(returning)
            returning.add_done_callback(self._returns.discard)
        self._record_file.write(json.dumps(event) + "\n")

    async def _return(self, worker: FleetWorker) -> None:
        """Start a crashed worker again, under its id or another one, at the same address."""
        await asyncio.sleep(self._rng.uniform(*RETURN_S))
        if self._rng.random() < self._new_id_share:
            old = worker.worker_id
            self._fleet.rename(worker, f"{old.partition('-')[0]}-{worker.life + 1}")
            self._faults.rename(old, worker.worker_id)
            for traits in (self._servers, self._closes_lost, self._domains):
                traits[worker.worker_id] = traits.pop(old)
        self._fleet.boot(worker, _wall_ms(), self._now_s())
        await self._servers[worker.worker_id].start()

    def _handler(self, worker: FleetWorker) -> Callable[[LightRequest], Awaitable[Reply]]:
        async def handle(request: LightRequest) -> Reply:
            return await self._handle(worker, request)

        return handle

    async def _handle(self, worker: FleetWorker, request: LightRequest) -> Reply:
        name = request.path.rpartition("/")[2]
        kinds = self._draw_faults(worker.worker_id)
        event = self._order_event(worker, name, request, kinds)
        if "down" in kinds:
            reply: Reply = NoResponse.CLOSE
        elif "cut" in kinds:
            reply = NoResponse.SILENT
        elif "unhealthy" in kinds:
            status = self._rng.choice((429, 503))
            reply = (status, {"clock_ms": int(worker.clock_ms(self._now_s()))})
        elif "late" in kinds:
            delay_s = self._rng.uniform(*LATE_S)
            event["late_s"] = round(delay_s, 3)
            late = asyncio.create_task(self._execute_late(worker, name, request, delay_s))
            self._late_calls.add(late)
            late.add_done_callback(self._late_calls.discard)
            reply = self._lost(worker)
        else:
            reply = await self._execute_with_delays(worker, name, request, kinds, event)
        event["reply"] = reply.value if isinstance(reply, NoResponse) else reply[0]
        if not isinstance(reply, NoResponse) and "reason" in reply[1]:
            event["reason"] = reply[1]["reason"]
        if not isinstance(reply, NoResponse) and "running" in reply[1]:
            event["running"] = [row[:2] for row in reply[1]["running"]]
            event["finished"] = [row[0] for row in reply[1]["finished"]]
        event["replied"] = self._now_s()
        self._record(event)
        return reply

    def _order_event(
        self, worker: FleetWorker, name: str, request: LightRequest, kinds: set[str]
    ) -> dict[str, Any]:
        shown = ("task", "run", "fence_token", "last_seen", "deadline_ms", "wait_ms")
        return {
            "t": self._now_s(),
            "event": "call",
            "call": name,
            "worker": worker.worker_id,
            "life": worker.life,
            "clock_ms": int(worker.clock_ms(self._now_s())),
            "reused": request.reused,
            **{key: request.body[key] for key in shown if key in request.body},
            **({"faults": sorted(kinds)} if kinds else {}),
        }

    async def _execute_with_delays(
        self,
        worker: FleetWorker,
        name: str,
        request: LightRequest,
        kinds: set[str],
        event: dict[str, Any],
    ) -> Reply:
        if "slow" in kinds and self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(0, 0.6))
        lost = "lose" in kinds
        if lost and self._closes_lost[worker.worker_id] and self._rng.random() < 0.5:
            return NoResponse.CLOSE
        event["executed"] = self._now_s()
        reply = await self._execute(worker, name, request)
        if "slow" in kinds:
            await asyncio.sleep(self._rng.uniform(0, 0.6))
        if "mute" in kinds or "cut" in self._draw_faults(worker.worker_id):
            return NoResponse.SILENT
        return self._lost(worker) if lost else reply

    def _lost(self, worker: FleetWorker) -> NoResponse:
        closes = self._closes_lost[worker.worker_id]
        return NoResponse.CLOSE if closes else NoResponse.SILENT

    async def _execute(self, worker: FleetWorker, name: str, request: LightRequest) -> Reply:
        self._fleet.advance(self._now_s())
        if not worker.is_up:
            return NoResponse.CLOSE
        if not _is_expected(worker, request):
            return 421, {"clock_ms": int(worker.clock_ms(self._now_s())), "born": worker.born}
        life = worker.life
        deadline_s = self._now_s() + request.body.get("wait_ms", 0) / MS_PER_S
        reply = self._fleet.call(worker.worker_id, name, request.body, self._now_s())
        if reply is None:
            return NoResponse.CLOSE
        if name != "hold" or reply[0] != 200:
            return reply
        while not worker.finished and self._now_s() < deadline_s:
            ended = self._ended
            try:
                async with asyncio.timeout(deadline_s - self._now_s()):
                    await ended.wait()
            except TimeoutError:
                break
            if worker.life != life or not worker.is_up:
                return NoResponse.CLOSE
        now_s = self._now_s()
        self._fleet.advance(now_s)
        if worker.life != life or not worker.is_up:
            return NoResponse.CLOSE
        return 200, self._fleet.report(worker, now_s)

    async def _execute_late(
        self, worker: FleetWorker, name: str, request: LightRequest, delay_s: float
    ) -> None:
        life = worker.life
        await asyncio.sleep(delay_s)
        is_lost = worker.life != life and not self._late_calls_cross_lives
        is_lost = is_lost or not worker.is_up or not _is_expected(worker, request)
        if is_lost or "down" in self._draw_faults(worker.worker_id):
            return
        body = {**request.body, "wait_ms": 0}
        answer = self._fleet.call(worker.worker_id, name, body, self._now_s(), late_s=delay_s)
        if answer is None:
            return
        status, content = answer
        event = self._order_event(worker, name, request, set())
        self._record(event | {"executed_late": status, "reason": content.get("reason", "")})

    def _draw_faults(self, worker_id: str) -> set[str]:
        return self._faults.draw(worker_id, self._now_s())

    def _advice_handler(self) -> Callable[[LightRequest], Awaitable[Reply]]:
        """Return a handler of one instance's calls, which are answered in turn."""
        turn = asyncio.Lock()
        waiting = 0

        async def handle(request: LightRequest) -> Reply:
            nonlocal waiting
            if waiting >= MAX_WAITING:
                return 429, {}
            waiting += 1
            try:
                async with turn:
                    return await self._advise(request.body["step"], request.body["workers"])
            finally:
                waiting -= 1

        return handle

    async def _advise(self, step: str, workers: list[str]) -> Reply:
        if len(workers) > MAX_WORKERS:
            return 400, {}
        await asyncio.sleep(answer_delay_s(len(workers)))
        present = [self._fleet.workers[each] for each in workers if each in self._fleet.workers]
        good = [
            [each.worker_id, self._issue(step, each)]
            for each in present
            if each.is_up and is_approved(step, each.worker_id)
        ]
        return 200, {"good": good, "valid_ms": VALID_MS}

    def _issue(self, step: str, worker: FleetWorker) -> str:
        return self._fleet.advice.issue(step, worker.worker_id, worker.life, self._now_s())

    async def _handle_control(self, request: LightRequest) -> Reply:
        body = request.body
        match request.path:
            case "/fault":
                until_s = self._now_s() + body["for_s"]
                fault = WorkerFault(body["kind"], until_s, body.get("share", 1.0))
                self._faults.add(body["workers"], fault)
                self._record({"t": self._now_s(), "event": "fault", **body})
            case "/restart":
                self._restart(body["worker"], body["down_s"], body.get("quiet", False))
            case "/resize":
                self._resize(body["worker"], Kind(body["cpu"], body["mem_mb"]))
            case "/usage":
                return 200, self._usage()
            case "/entries":
                workers = [each for each in self._fleet.workers.values() if each.is_up]
                return 200, {worker.worker_id: self._entry(worker) for worker in workers}
        return 200, {}

    def _restart(self, worker_id: str, down_s: float, quiet: bool) -> None:
        """Restart a worker. After a quiet restart its open connections are not closed."""
        worker = self._fleet.workers.get(worker_id)
        if worker is None or not worker.is_up:
            return
        if self._rng.random() < self._kind_change_share:
            worker.kind = self._rng.choice(KINDS)
        # A worker's clock starts at its restart, and calls get no answer until it is up again.
        self._fleet.boot(worker, _wall_ms() + int(down_s * MS_PER_S), self._now_s())
        if not quiet:
            self._servers[worker_id].close_connections()
            down = WorkerFault("down", self._now_s() + down_s, 1.0)
            self._faults.add([worker_id], down)

    def _resize(self, worker_id: str, kind: Kind) -> None:
        worker = self._fleet.workers.get(worker_id)
        if worker is not None and worker.is_up:
            self._fleet.resize(worker, kind, self._now_s())

    def _usage(self) -> dict[str, float]:
        workers = self._fleet.workers.values()
        used = sum(run.cpu for worker in workers for run in worker.runs.values())
        return {"used": used, "cpu": sum(worker.kind.cpu for worker in workers)}

    def _entry(self, worker: FleetWorker) -> dict[str, Any]:
        return {
            "backend": "pool",
            "address": self._servers[worker.worker_id].address,
            "zone": self._domains[worker.worker_id],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": worker.kind.cpu, "mem_mb": worker.kind.mem_mb, "gpu": 0},
            "labels": worker.labels,
            "born": worker.born,
            "seq": 1,
        }


def _is_expected(worker: FleetWorker, request: LightRequest) -> bool:
    return request.headers.get("expect-instance") in (None, worker.worker_id)


def _wall_ms() -> int:
    return int(time.time() * MS_PER_S)


async def _main(arguments: argparse.Namespace, record: TextIO) -> None:
    server = FleetServer(arguments, record)
    write_ports_file(arguments.ports_file, await server.start())
    task = asyncio.create_task(server.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await task
    except asyncio.CancelledError:
        return


def main() -> None:
    """Parse the arguments and serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--listed_stopping_share", type=float, default=0.5)
    parser.add_argument("--kind_change_share", type=float, default=0.5)
    parser.add_argument("--late_calls_cross_lives", type=int, default=1)
    parser.add_argument("--new_id_share", type=float, default=0.5)
    parser.add_argument("--process", default="", help="Name of a process that may be stopped.")
    parser.add_argument("--clock", default="any", help="'runs on', 'stands still' or 'any'.")
    parser.add_argument("--record", required=True)
    parser.add_argument("--ports_file", required=True)
    arguments = parser.parse_args()
    with Path(arguments.record).open("w", buffering=65_536) as record:
        asyncio.run(_main(arguments, record))


if __name__ == "__main__":
    main()

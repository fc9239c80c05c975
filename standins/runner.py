"""HTTP stand-ins of the platform's runners and advice service, with fault injection."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import orjson
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.web import Application, RequestHandler

MS_PER_S = 1_000.0
POLL_INTERVAL_S = 0.005
# Longest lease that a runner grants, from the users' platform specification.
MAX_LEASE_S = 10.0
# Number of ends in one report, from the users' platform specification.
MAX_ENDS = 500
ADVICE_VALID_MS = 2_000.0
# Connections that a runner accepts, from the users' platform specification.
MAX_CONNECTIONS = 64


@dataclass
class RunnerData:
    """State and faults of one runner.

    Attributes
    ----------
    run_ms
        Duration of every run.
    failing
        Whether runs end as failed.
    silent
        Whether all calls have no effect and get no response.
    lose_start_responses
        Number of start calls to apply without a response.
    born
        Identifies the runner's process; a restart changes it.
    fence
        Highest fencing token received. Calls with a lower one are refused.
    finished
        Ended runs that are not acknowledged: number of the end, task, run, outcome, checkpoint.
    ended
        Number of the last end.
    highest_barred
        Highest run number of each task that was stopped or has ended in this incarnation. A start
        that is not higher is refused.
    paces
        Percent of each run that was set by a pace call.
    started
        All runs that were started, in order.
    clock_origin_s
        Event loop time at which the runner's clock shows 0.
    """

    run_ms: float = 30.0
    failing: bool = False
    silent: bool = False
    lose_start_responses: int = 0
    born: int = 1_000
    clock_origin_s: float = 0.0
    fence: int = 0
    lease_expires_at_s: float | None = None
    running: dict[tuple[str, int], float] = field(default_factory=dict)
    finished: list[list[Any]] = field(default_factory=list)
    ended: int = 0
    highest_barred: dict[str, int] = field(default_factory=dict)
    paces: dict[tuple[str, int], int] = field(default_factory=dict)
    started: list[tuple[str, int]] = field(default_factory=list)
    specs: dict[str, str] = field(default_factory=dict)

    def advance(self, now_s: float) -> None:
        """End the runs whose duration has passed, or all runs once the lease has expired."""
        for key, ends_at_s in sorted(self.running.items(), key=lambda item: item[1]):
            if ends_at_s <= min(now_s, self.lease_expires_at_s or now_s):
                self.end_run(key, "failed" if self.failing else "done")
        if self.lease_expires_at_s is not None and now_s > self.lease_expires_at_s:
            for key in list(self.running):
                self.end_run(key, "lapsed")

    def restart(self, born: int, now_s: float) -> None:
        """Restart the runner under the same id with empty state."""
        self.born = born
        self.clock_origin_s = now_s
        self.fence = self.ended = 0
        self.lease_expires_at_s = None
        self.running.clear()
        self.finished.clear()
        self.highest_barred.clear()
        self.paces.clear()

    def extend_lease(self, deadline_ms: float, now_s: float) -> None:
        """Extend, but never shorten, the lease of all runs to a time on the runner's clock."""
        expires_at_s = min(self.clock_origin_s + deadline_ms / MS_PER_S, now_s + MAX_LEASE_S)
        self.lease_expires_at_s = max(self.lease_expires_at_s or 0.0, expires_at_s)

    def end_run(self, key: tuple[str, int], outcome: str) -> None:
        """End a run and add it to the finished runs."""
        del self.running[key]
        self.paces.pop(key, None)
        self.ended += 1
        self.finished.append([self.ended, key[0], key[1], outcome, ""])
        self.highest_barred[key[0]] = max(self.highest_barred.get(key[0], 0), key[1])

    def stop_run(self, key: tuple[str, int]) -> None:
        """End a run as stopped. A run that is not there can then no longer start."""
        self.running.setdefault(key, 0.0)
        self.end_run(key, "stopped")


class RunnerStandin:
    """HTTP server for ``RunnerData`` on a free port of the loopback interface."""

    def __init__(self) -> None:
        self.data = RunnerData()
        self.address = ""
        self._server: _LimitedServer | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self.open_connections)

    @property
    def open_connections(self) -> frozenset[object]:
        """Return the open connections, so that they can be told from later ones."""
        return frozenset(self._server._connections) if self._server is not None else frozenset()

    async def start(self) -> None:
        """Bind the listener."""
        handlers = [(r"/v1/([a-z-]+)", _RunnerHandler, {"data": self.data})]
        self._server, self.address = _listen(handlers)

    def entry(self, backend: str, state: str = "ready") -> bytes:
        """Return the runner's entry for the metadata store."""
        return orjson.dumps(
            {
                "backend": backend,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": state,
                "cold_remaining_ms": 0,
                "capacity": {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0},
                "labels": ["a", "r1-1"],
                "born": self.data.born,
                "seq": 1,
            }
        )

    async def stop(self) -> None:
        """Close the listener."""
        await _close(self._server)


class AdviceStandin:
    """Advice service that approves every worker.

    The next ``unanswered_calls`` calls get no response.
    """

    def __init__(self) -> None:
        self.address = ""
        self.calls = 0
        self.unanswered_calls = 0
        self._server: HTTPServer | None = None

    async def start(self) -> None:
        """Bind the listener."""
        self._server, self.address = _listen([(r"/v1/advise", _AdviceHandler, {"standin": self})])

    async def stop(self) -> None:
        """Close the listener."""
        await _close(self._server)


class _LimitedServer(HTTPServer):
    """Closes connections beyond ``MAX_CONNECTIONS`` at once."""

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            stream.close()
            return
        super().handle_stream(stream, address)


def _listen(handlers: list[Any]) -> tuple[_LimitedServer, str]:
    server = _LimitedServer(Application(handlers, log_function=lambda _: None))
    server.listen(0, "127.0.0.1")
    (listener,) = server._sockets.values()
    return server, f"127.0.0.1:{listener.getsockname()[1]}"


async def _close(server: HTTPServer | None) -> None:
    if server is not None:
        server.stop()
        await server.close_all_connections()


class _RunnerHandler(RequestHandler):
    def initialize(self, data: RunnerData) -> None:
        self._data = data

    async def post(self, call: str) -> None:
        data = self._data
        body = orjson.loads(self.request.body)
        if data.silent:
            await asyncio.Event().wait()
        now_s = asyncio.get_running_loop().time()
        data.advance(now_s)
        if body["fence_token"] < data.fence:
            self._respond(409, reason="fence")
            return
        data.fence = body["fence_token"]
        if "deadline_ms" in body:
            data.extend_lease(body["deadline_ms"], now_s)
        if call == "run-start":
            await self._handle_start(body, now_s)
        elif call == "run-stop":
            data.stop_run((body["task"], body["run"]))
            self._respond(200)
        elif call == "pace":
            key = (body["task"], body["run"])
            if key in data.running:
                data.paces[key] = body["percent"]
            self._respond(200)
        elif call == "hold":
            await self._handle_hold(body)
        else:
            self._respond(404)

    async def _handle_start(self, body: dict[str, Any], now_s: float) -> None:
        data = self._data
        key = (body["task"], body["run"])
        if key not in data.running and body["run"] <= data.highest_barred.get(body["task"], 0):
            self._respond(409, reason="old")
            return
        if key not in data.running:
            data.running[key] = now_s + data.run_ms / MS_PER_S
            data.started.append(key)
            data.specs[body["task"]] = body["spec"]
        if data.lose_start_responses:
            data.lose_start_responses -= 1
            await asyncio.Event().wait()
        self._respond(200)

    async def _handle_hold(self, body: dict[str, Any]) -> None:
        data = self._data
        loop = asyncio.get_running_loop()
        data.finished = [row for row in data.finished if row[0] > body["last_seen"]]
        wait_until_s = loop.time() + body.get("wait_ms", 0) / MS_PER_S
        while not data.finished and loop.time() < wait_until_s:
            await asyncio.sleep(POLL_INTERVAL_S)
            data.advance(loop.time())
        if data.silent:
            await asyncio.Event().wait()
        running = [
            [*key, "", data.paces.get(key, 100), 5 * data.paces.get(key, 100)]
            for key in data.running
        ]
        self._respond(200, running=running, finished=data.finished[:MAX_ENDS])

    def _respond(self, status: int, **fields: Any) -> None:
        clock_ms = (asyncio.get_running_loop().time() - self._data.clock_origin_s) * MS_PER_S
        self.set_status(status)
        self.finish(orjson.dumps({"clock_ms": clock_ms, "born": self._data.born, **fields}))


class _AdviceHandler(RequestHandler):
    def initialize(self, standin: AdviceStandin) -> None:
        self._standin = standin

    async def post(self) -> None:
        self._standin.calls += 1
        if self._standin.unanswered_calls:
            self._standin.unanswered_calls -= 1
            await asyncio.Event().wait()
        workers = orjson.loads(self.request.body)["workers"]
        good = [[worker, f"ticket-{worker}"] for worker in workers]
        self.finish(orjson.dumps({"good": good, "valid_ms": ADVICE_VALID_MS}))

"""Stand-in of a worker agent over HTTP. It simulates tasks by waiting for their run time.

A task's command is a list of ``key=value`` items: ``run_ms``, ``outcome``, and the reported usage
``cpu_millis`` and ``memory_bytes``. A task whose command begins with ``service`` runs until it is
stopped.

``POST /v1/sync`` implements the agent protocol. ``GET /record`` returns all attempts that this
agent admitted. ``POST /faults`` sets faults: ``fail_starts`` and ``refuse`` (booleans),
``lose_responses`` (number of responses to drop) and ``freeze_ms`` (time without responses).
"""

import argparse
import asyncio
import json
import math

from pydantic import ValidationError
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from nutmeglb._internal.ports_file import write_ports_file
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.agent import SYNC_LIMIT_BYTES, EpochRefusal, SyncRequest, SyncResponse
from nutmeglb_formats.models.resources import Resources
from standins.agent_state import AgentState, Faults

MS_PER_S = 1_000.0
START_LINE_BYTES = 28
# Colon, space and CRLF of a header line.
HEADER_EXTRA_BYTES = 4


class AgentServer:
    """HTTP server for one ``AgentState``. ``bytes`` counts request and response sizes."""

    def __init__(self, state: AgentState) -> None:
        self.state = state
        self.port = 0
        self.calls = 0
        self.bytes = 0
        self._changed = asyncio.Condition()
        self._frozen_until_ms = 0.0
        self._server: HTTPServer | None = None

    def start(self, port: int = 0, host: str = "127.0.0.1") -> int:
        """Start listening and return the bound port."""
        sockets = bind_sockets(port, host)
        app = Application(
            [
                (r"/v1/sync", _Sync, {"agent": self}),
                (r"/record", _Record, {"agent": self}),
                (r"/faults", _SetFaults, {"agent": self}),
            ]
        )
        self._server = HTTPServer(app, max_body_size=SYNC_LIMIT_BYTES)
        self._server.add_sockets(sockets)
        self.port = int(sockets[0].getsockname()[1])
        return self.port

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def count_bytes(self, headers: HTTPHeaders, body: bytes) -> None:
        """Add the size of a request or response to ``bytes``, without TCP and IP overhead.

        The start line is counted with a fixed size.
        """
        lines = sum(
            len(name) + len(value) + HEADER_EXTRA_BYTES for name, value in headers.get_all()
        )
        self.bytes += START_LINE_BYTES + lines + len(body)

    def freeze(self, duration_ms: float) -> None:
        """Send no responses for ``duration_ms``."""
        self._frozen_until_ms = self.state.clock.now_ms() + duration_ms

    async def wait_until_unfrozen(self) -> None:
        """Wait until the time set by ``freeze`` has passed."""
        while self._frozen_until_ms > self.state.clock.now_ms():
            remaining_ms = self._frozen_until_ms - self.state.clock.now_ms()
            await asyncio.sleep(remaining_ms / MS_PER_S)

    async def sync(self, request: SyncRequest) -> SyncResponse | EpochRefusal:
        """Apply a request, then wait up to ``wait_ms`` for a change new to the scheduler."""
        await self.wait_until_unfrozen()
        self.calls += 1
        response = self.state.sync(request)
        if isinstance(response, EpochRefusal):
            return response
        async with self._changed:
            self._changed.notify_all()
        if await self._wait_for_change(request):
            await self.wait_until_unfrozen()
        if request.epoch < self.state.epoch:
            return EpochRefusal(epoch=self.state.epoch)
        return self.state.response()

    async def _wait_for_change(self, request: SyncRequest) -> bool:
        """Wait for a state change and return whether the call had to wait."""
        clock = self.state.clock
        deadline_ms = clock.now_ms() + request.wait_ms
        waited = False
        acknowledged_change_ms = (
            request.echo_ms if request.echo_boot == self.state.boot else -math.inf
        )
        while (
            self.state.last_change_ms <= acknowledged_change_ms
            and request.epoch >= self.state.epoch
        ):
            remaining_ms = min(deadline_ms, self.state.next_change_ms()) - clock.now_ms()
            if clock.now_ms() >= deadline_ms:
                break
            waited = True
            async with self._changed:
                try:
                    await asyncio.wait_for(
                        self._changed.wait(), max(0.001, remaining_ms / MS_PER_S)
                    )
                except TimeoutError:
                    self.state.advance()
        return waited


class _Handler(RequestHandler):
    def initialize(self, agent: AgentServer) -> None:
        self.agent = agent


class _Sync(_Handler):
    async def post(self) -> None:
        try:
            request = SyncRequest.model_validate_json(self.request.body)
        except ValidationError as error:
            self.set_status(400)
            self.write({"error": f"{error.error_count()} invalid fields"})
            return
        self.agent.count_bytes(self.request.headers, self.request.body)
        response = await self.agent.sync(request)
        faults = self.agent.state.faults
        if faults.lose_responses > 0:
            faults.lose_responses -= 1
            self.request.connection.stream.close()  # type: ignore[attr-defined]
            return
        if isinstance(response, EpochRefusal):
            self.set_status(409)
        self.set_header("Content-Type", "application/json")
        body = response.model_dump_json()
        self.agent.count_bytes(self._headers, body.encode())
        self.write(body)


class _Record(_Handler):
    def get(self) -> None:
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self.agent.state.run_records()))


class _SetFaults(_Handler):
    def post(self) -> None:
        faults = Faults(**json.loads(self.request.body))
        self.agent.state.faults = faults
        if faults.freeze_ms:
            self.agent.freeze(faults.freeze_ms)
        self.write({})


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--worker", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ports_file", default="")
    parser.add_argument("--cpu_millis", type=int, default=16_000)
    parser.add_argument("--memory_bytes", type=int, default=64_000_000_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--rack", default="")
    return parser.parse_args()


async def _serve(options: argparse.Namespace) -> None:
    clock = Clock()
    capacity = Resources(options.cpu_millis, options.memory_bytes, options.accelerators)
    boot = f"{clock.wall_ms():.0f}"
    agent = AgentServer(AgentState(options.worker, capacity, clock, options.rack, boot))
    port = agent.start(options.port)
    if options.ports_file:
        write_ports_file(options.ports_file, {"agent": f"127.0.0.1:{port}"})
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(_arguments()))

"""HTTP client of the platform: a host that accepts connections without answering is told apart.

Guards against a worker whose process stands still and that is taken for one that is cut off.
"""

import asyncio
import socket
from enum import StrEnum

import pytest
from result import Err, Ok

from nutmeglb_platform.http import CallFailure, HttpCaller
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import worker_info

TIMEOUT_MS = 300.0
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
FULL_BACKLOG_CONNECTIONS = 4


class Host(StrEnum):
    """What a host does with new connections."""

    STANDS_STILL = "the kernel accepts connections, the process does not"
    FULL_BACKLOG = "the kernel accepts no more connections"
    CLOSES = "closes each connection"
    NO_LISTENER = "no process listens on the port"


class Listener:
    """Listener whose process never accepts a connection."""

    def __init__(self, behaviour):
        self._fillers = []
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        if behaviour == Host.STANDS_STILL:
            self._socket.listen(16)
        elif behaviour == Host.FULL_BACKLOG:
            self._socket.listen(0)
            for _ in range(FULL_BACKLOG_CONNECTIONS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self._socket.getsockname())
                self._fillers.append(filler)

    def close(self):
        for each in (*self._fillers, self._socket):
            each.close()


async def start_host(behaviour):
    """Return a host with an address that can be closed."""
    if behaviour != Host.CLOSES:
        return Listener(behaviour)

    async def serve(reader, writer):
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    return server


async def call_twice(caller, address):
    """Return the outcome of a call after one without an answer, which uses a new connection."""
    url = f"http://{address}/v1/hold"
    await caller.call("POST", url, TIMEOUT_MS, {})
    return await caller.call("POST", url, TIMEOUT_MS, {})


@pytest.mark.parametrize(
    ("behaviour", "failure"),
    [
        (Host.STANDS_STILL, CallFailure.CONNECTED_UNANSWERED),
        (Host.FULL_BACKLOG, CallFailure.UNANSWERED),
        (Host.CLOSES, CallFailure.UNANSWERED),
        (Host.NO_LISTENER, CallFailure.NOT_SENT),
    ],
)
def test_only_a_host_that_accepts_connections_without_answering_is_connected(behaviour, failure):
    async def scenario():
        host = await start_host(behaviour)
        caller = HttpCaller(4)
        try:
            assert await call_twice(caller, host.address) == Err(failure)
            gateway = RunnerGateway(caller, TIMEOUT_MS)
            answer = await gateway.hold(worker_info(address=host.address), 7, 0, None, 0)
            is_connected = failure == CallFailure.CONNECTED_UNANSWERED
            assert answer.err_value.context["connected"] == is_connected
        finally:
            caller.close()
            host.close()

    asyncio.run(scenario())


def test_kept_connection_without_an_answer_does_not_show_whether_its_host_accepts_others():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"}")
            writer.write(RESPONSE)
            await reader.read()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        caller = HttpCaller(4)
        url = f"http://{host}:{port}/v1/hold"
        try:
            assert isinstance(await caller.call("POST", url, TIMEOUT_MS, {}), Ok)
            assert await caller.call("POST", url, TIMEOUT_MS, {}) == Err(CallFailure.UNANSWERED)
        finally:
            caller.close()
            server.close()

    asyncio.run(scenario())

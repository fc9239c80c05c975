"""Orders to a worker whose process has ended: only a failed connection proves that none was sent.

Guards against a task, or a whole gang, that is held for a full lease after an order that no worker
received, and against a second run after an order that may have been received.
"""

import asyncio
import socket
from enum import StrEnum

import pytest
from result import Err, Ok

from nutmeglb._internal.queues.ports import StartOrder
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_platform.http import CallFailure, HttpCaller
from nutmeglb_platform.workers import RunnerGateway
from tests.lib.queues import worker_info

TIMEOUT_MS = 500.0
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"clock_ms":5}'
ORDER = StartOrder("00000000000000aa.0.0.0", 1, "body", "", "", 6_000, 7)


class Server(StrEnum):
    """What the server does with connections and requests."""

    NO_LISTENER = "no process listens on the port"
    CLOSES_AFTER_REQUEST = "reads the request and closes the connection"
    CLOSES_AT_ONCE = "closes the connection without reading"
    NEVER_ANSWERS = "reads the request and does not answer"
    ANSWERS = "answers"


async def start_server(behaviour):
    """Return a server, or ``None`` without a listener, and its address."""
    if behaviour == Server.NO_LISTENER:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            return None, f"127.0.0.1:{unused.getsockname()[1]}"

    async def serve(reader, writer):
        if behaviour != Server.CLOSES_AT_ONCE:
            await reader.readuntil(b"}")
        if behaviour == Server.ANSWERS:
            writer.write(RESPONSE)
        if behaviour == Server.NEVER_ANSWERS:
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


@pytest.mark.parametrize(
    ("behaviour", "outcome"),
    [
        (Server.NO_LISTENER, StartOutcome.NOT_DELIVERED),
        (Server.CLOSES_AFTER_REQUEST, StartOutcome.UNKNOWN),
        (Server.CLOSES_AT_ONCE, StartOutcome.UNKNOWN),
        (Server.NEVER_ANSWERS, StartOutcome.UNKNOWN),
        (Server.ANSWERS, StartOutcome.STARTED),
    ],
)
def test_only_an_order_without_a_connection_is_not_delivered(behaviour, outcome):
    async def scenario():
        server, address = await start_server(behaviour)
        caller = HttpCaller(4)
        try:
            gateway = RunnerGateway(caller, TIMEOUT_MS)
            answer = await gateway.start(worker_info(address=address), ORDER)
            assert answer.outcome == outcome
        finally:
            caller.close()
            if server is not None:
                server.close()

    asyncio.run(scenario())


def test_order_on_a_kept_connection_counts_as_sent_if_the_process_ends_meanwhile():
    """The body was handed to the former connection, so the failed new one proves nothing."""

    async def scenario():
        ended = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"}")
            writer.write(RESPONSE)
            await reader.readuntil(b"}")
            server.close()
            writer.transport.abort()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        caller = HttpCaller(4)
        try:
            url = f"http://{host}:{port}/v1/run-start"
            assert isinstance(await caller.call("POST", url, TIMEOUT_MS, {"run": 1}), Ok)
            answer = await caller.call("POST", url, TIMEOUT_MS, {"run": 2})
            assert answer == Err(CallFailure.UNANSWERED)
            assert ended.is_set()
            again = await caller.call("POST", url, TIMEOUT_MS, {"run": 3})
            assert again == Err(CallFailure.NOT_SENT)
        finally:
            caller.close()

    asyncio.run(scenario())

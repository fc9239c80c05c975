"""HTTP client of the platform: requests on kept-alive connections that close without a response.

Guards against a second copy of an order that the caller does not know of. The answer to the second
copy says nothing about the first, which may have been carried out or be carried out late.
"""

import asyncio
from enum import StrEnum

import pytest
from result import Err, Ok

from nutmeglb_platform.http import CallFailure, HttpCaller

TIMEOUT_MS = 1_000.0
# curl checks a connection that was idle for more than a second before it reuses it.
IDLE_S = 1.2
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
# Larger than the send buffer of the client, so that the body is sent in several parts.
LARGE_BODY = {"spec": "x" * 300_000}


class Closing(StrEnum):
    """When the server closes a kept-alive connection."""

    IDLE = "after the first response"
    AFTER_REQUEST = "after reading the second request"
    AFTER_REQUEST_AND_LISTENER = "after reading the second request, with the listener"
    WITHIN_BODY = "while reading the body of the second request"


class ClosingServer:
    """Answers the first request on each connection and closes the first connection afterwards.

    Attributes
    ----------
    requests
        Method of each request that was read in full or in part.
    connections
        Number of accepted connections.
    """

    def __init__(self, closing):
        self.requests = []
        self.connections = 0
        self._closing = closing
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"http://{host}:{port}/v1/run-start"

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        closes = self.connections == 1
        try:
            await self._answer(reader, writer)
            if closes and self._closing == Closing.IDLE:
                return
            if closes:
                within_body = self._closing == Closing.WITHIN_BODY
                await self._read_request(reader, within_body)
                if self._closing == Closing.AFTER_REQUEST_AND_LISTENER:
                    self.close()
                return
            while True:
                await self._answer(reader, writer)
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        await self._read_request(reader)
        writer.write(RESPONSE)
        await writer.drain()

    async def _read_request(self, reader, within_body=False):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.requests.append(head.split(" ", 1)[0].upper())
        lengths = [line for line in head.split("\r\n") if line.startswith("content-length:")]
        length = int(lengths[0].partition(":")[2]) if lengths else 0
        await reader.readexactly(1 if within_body else length)


def run_scenario(scenario, closing, idle_s=0.05):
    async def main():
        server, caller = ClosingServer(closing), HttpCaller(4)
        url = await server.start()
        try:
            # Leaves one kept-alive connection.
            assert isinstance(await caller.call("POST", url, TIMEOUT_MS, {}), Ok)
            await asyncio.sleep(idle_s)
            await scenario(server, lambda *args: caller.call(args[0], url, TIMEOUT_MS, *args[1:]))
        finally:
            caller.close()
            server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("closing", "body"),
    [
        (Closing.AFTER_REQUEST, {"task": "a.0.0.0", "run": 1}),
        (Closing.AFTER_REQUEST, LARGE_BODY),
        (Closing.AFTER_REQUEST_AND_LISTENER, {"task": "a.0.0.0", "run": 1}),
        (Closing.WITHIN_BODY, LARGE_BODY),
    ],
)
def test_order_on_a_connection_that_closes_is_sent_once_and_unanswered(closing, body):
    async def scenario(server, call):
        answer = await call("POST", body)
        assert server.requests == ["POST", "POST"]
        assert answer == Err(CallFailure.UNANSWERED)
        assert server.connections == 1
        # The next call uses a new connection.
        if closing != Closing.AFTER_REQUEST_AND_LISTENER:
            assert isinstance(await call("POST", body), Ok)

    run_scenario(scenario, closing)


def test_order_on_a_connection_that_was_just_closed_costs_at_most_one_call():
    async def scenario(server, call):
        answer = await call("POST", {})
        assert answer == Err(CallFailure.UNANSWERED) or isinstance(answer, Ok)
        assert isinstance(await call("POST", {}), Ok)
        assert len(server.requests) == (3 if isinstance(answer, Ok) else 2)

    run_scenario(scenario, Closing.IDLE)


def test_write_without_a_body_does_not_use_a_connection_that_may_close():
    async def scenario(server, call):
        assert isinstance(await call("DELETE"), Ok)
        assert server.requests == ["POST", "DELETE"]
        assert server.connections == 2

    run_scenario(scenario, Closing.AFTER_REQUEST)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_call_is_answered_if_the_server_closed_its_idle_connection(method):
    """Guards against a lost call for each connection that the server closed while it was idle."""

    async def scenario(server, call):
        assert isinstance(await call(method, *([{}] if method == "POST" else [])), Ok)
        assert server.requests == ["POST", method]
        assert server.connections == 2

    run_scenario(scenario, Closing.IDLE, IDLE_S)


def test_read_is_repeated_if_its_connection_closes():
    async def scenario(server, call):
        assert isinstance(await call("GET"), Ok)
        assert server.requests == ["POST", "GET", "GET"]

    run_scenario(scenario, Closing.AFTER_REQUEST)

"""HTTP client of the platform: silent connections, connection limits and reuse."""

import asyncio

import pytest
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from nutmeglb_platform.http import (
    CLOSED_CONNECTION_IDLE_S,
    INITIAL_HANDLES,
    CallFailure,
    HttpCaller,
    max_worker_calls,
)

CALLS = 6
MAX_CALLS = 40


class Server:
    """HTTP server that answers every call except on the connections in ``silent``."""

    def __init__(self):
        self.silent = set()
        self.connections = set()
        self._server = HTTPServer(Application([(r"/.*", _Handler, {"server": self})]))

    def start(self):
        self._server.listen(0, "127.0.0.1")
        (listener,) = self._server._sockets.values()
        return f"http://127.0.0.1:{listener.getsockname()[1]}/"

    def stop(self):
        self._server.stop()


class _Handler(RequestHandler):
    def initialize(self, server):
        self._owner = server

    async def get(self):
        self._owner.connections.add(self.request.connection.stream)
        if self.request.connection.stream in self._owner.silent:
            await asyncio.Event().wait()
        # Keeps the connection busy, so that concurrent calls use a connection each.
        await asyncio.sleep(0.02)
        self.finish({})


def run_scenario(scenario, max_connections_per_host=0):
    async def main():
        server, caller = Server(), HttpCaller(MAX_CALLS, max_connections_per_host)
        url = server.start()

        async def send_calls(count):
            return await asyncio.gather(*(caller.call("GET", url, 300.0) for _ in range(count)))

        try:
            await scenario(server, send_calls)
        finally:
            caller.close()
            server.stop()

    asyncio.run(main())


def test_connections_that_go_silent_cost_one_timeout():
    """Guards against one timeout for each idle connection that was lost unnoticed."""

    async def scenario(server, send_calls):
        await send_calls(CALLS)
        server.silent = set(server.connections)
        assert not isinstance((await send_calls(1))[0], Ok)
        for _ in range(3):
            assert isinstance((await send_calls(1))[0], Ok)

    run_scenario(scenario)


@pytest.mark.parametrize("call_count", [INITIAL_HANDLES, MAX_CALLS, 2 * MAX_CALLS])
def test_handles_are_created_up_to_the_limit(call_count):
    """Guards against orders and store calls that wait for a handle.

    Long polls to hundreds of workers may use up the handles.
    """

    async def scenario(server, send_calls):
        answers = await send_calls(call_count)
        assert all(isinstance(answer, Ok) for answer in answers)
        assert len(server.connections) == min(call_count, MAX_CALLS)

    run_scenario(scenario)


@pytest.mark.parametrize("max_connections_per_host", [1, 4])
def test_connections_per_address_are_limited(max_connections_per_host):
    """Guards against more connections than a worker accepts.

    The worker refuses calls beyond its number of connections, as if it did not answer.
    """

    async def scenario(server, send_calls):
        for _ in range(3):
            assert all(isinstance(answer, Ok) for answer in await send_calls(12))
        assert len(server.connections) <= max_connections_per_host

    run_scenario(scenario, max_connections_per_host)


def test_calls_of_a_closed_client_end_and_its_connections_are_closed():
    """Guards against connections that outlast the term of a leader.

    A worker limits the connections of all instances together, so they would shut out the next one.
    """

    async def main():
        server, caller, later = Server(), HttpCaller(MAX_CALLS), HttpCaller(MAX_CALLS)
        url = server.start()
        try:
            await asyncio.gather(*(caller.call("GET", url, 300.0) for _ in range(CALLS)))
            server.silent = set(server.connections)
            calls = [asyncio.create_task(caller.call("GET", url, 9_000.0)) for _ in range(CALLS)]
            await asyncio.sleep(0.05)
            caller.close()
            for call in calls:
                assert await call == Err(CallFailure.UNANSWERED)
            assert await caller.call("GET", url, 300.0) == Err(CallFailure.NOT_SENT)
            # The descriptors of the closed connections are used again.
            for _ in range(2 * CALLS):
                assert isinstance(await later.call("GET", url, 300.0), Ok)
            assert len([each for each in server.connections if not each.closed()]) == 1
        finally:
            later.close()
            server.stop()

    asyncio.run(main())


def test_idle_connection_is_used_while_a_host_accepts_no_other():
    """Guards against a worker that is shut out although a connection to it is open.

    A connection that is refused, or closed at once, says nothing about those that are open.
    """

    async def main():
        accepted = 0
        ended = asyncio.Event()

        async def serve(reader, writer):
            nonlocal accepted
            accepted += 1
            if accepted > 1:
                writer.close()
                return
            try:
                while await reader.readuntil(b"}"):
                    await asyncio.sleep(0.05)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            except asyncio.IncompleteReadError:
                writer.close()
                ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        caller = HttpCaller(MAX_CALLS)

        async def send_order():
            return await caller.call("POST", f"http://{host}:{port}/v1/run-stop", 500.0, {"run": 1})

        try:
            assert isinstance(await send_order(), Ok)
            answers = await asyncio.gather(send_order(), send_order())
            assert sorted(isinstance(answer, Ok) for answer in answers) == [False, True]
            await asyncio.sleep(CLOSED_CONNECTION_IDLE_S + 0.1)
            assert isinstance(await send_order(), Ok)
        finally:
            caller.close()
            await ended.wait()
            server.close()

    asyncio.run(main())


@pytest.mark.parametrize(("descriptors", "calls"), [(4_100, 1_120), (8_192, 2_537), (256, 8)])
def test_calls_to_workers_fit_the_descriptors(descriptors, calls):
    assert max_worker_calls(descriptors) == calls


def test_connections_of_a_burst_are_reused_by_the_next_one():
    """Guards against new connections for the orders of each gang."""

    async def scenario(server, send_calls):
        await send_calls(CALLS)
        await send_calls(1)
        await send_calls(CALLS)
        assert len(server.connections) == CALLS

    run_scenario(scenario)

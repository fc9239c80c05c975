"""A listener with bounded room over real sockets: guards against lost answers and lost charges."""

import asyncio
import errno
import socket
import struct
from types import SimpleNamespace

import pytest
from tornado.web import Application, RequestHandler, stream_request_body

from nutmeglb._internal.intake.acceptor import Acceptor
from nutmeglb._internal.intake.listener import BoundedListener
from nutmeglb._internal.intake.requests import Refusal, RequestCosts
from nutmeglb._internal.telemetry.metrics import MetricsRegistry
from nutmeglb_decisions.intake.connections import STALL_MS
from nutmeglb_decisions.intake.limits import ListenerLimits
from nutmeglb_formats.clock import Clock, ManualClock

LIMITS = ListenerLimits(6, 60_000, 15_000, 6_000)
COSTS = RequestCosts(32_000, 8_192, 1.0)
LARGE_BYTES = 30_000
LIMIT_S = 20.0


class _Handler(RequestHandler):
    def initialize(self, served):
        self._served = served

    async def post(self):
        self._served.bodies.append((len(self.request.body), dict(self.request.arguments)))
        if self.request.path == "/hold":
            await self._served.release.wait()
        if self.request.path.startswith("/closes"):
            # The same as a reset that arrives before the answer is written.
            self.request.connection.stream.close()
        if self.request.path.endswith("raises"):
            raise RuntimeError("raised by the test")
        self.finish(b"%d" % len(self.request.body))

    def get(self):
        self.finish(self.request.path)


@stream_request_body
class _StreamingHandler(RequestHandler):
    def initialize(self, served):
        self._served = served
        self._size = 0

    def data_received(self, chunk):
        self._size += len(chunk)

    def on_connection_close(self):
        self._served.left += 1
        super().on_connection_close()

    async def post(self):
        self._served.bodies.append((self._size, {}))
        if self.request.query == "hold":
            await self._served.release.wait()
        if not self._served.left:
            self.finish(b"%d" % self._size)


def run_with_listener(scenario, limits=LIMITS, costs=COSTS, clock=None):
    async def main():
        served = SimpleNamespace(bodies=[], release=asyncio.Event(), left=0)
        application = Application(
            [
                (r"/stream", _StreamingHandler, {"served": served}),
                (r"/.*", _Handler, {"served": served}),
            ],
            log_function=lambda handler: None,
        )
        refusal = Refusal({"X-Outcome": "not-run"}, b'{"kind": "Refused"}')
        metrics = MetricsRegistry()
        listener = BoundedListener(
            "test", application, limits, costs, clock or Clock(), metrics, refusal
        )
        served.listener = listener
        served.metrics = metrics
        served.address = listener.listen("127.0.0.1:0").rpartition(":")
        try:
            async with asyncio.timeout(LIMIT_S):
                await scenario(served)
        finally:
            await listener.close()

    asyncio.run(main())


async def connect(served):
    host, _, port = served.address
    return await asyncio.open_connection(host, int(port))


def head(path, length, *fields):
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {length}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader):
    """Return status, headers and body of an answer."""
    status_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines if line)
    body = await reader.readexactly(int(headers.get("Content-Length", 0)))
    return int(status_line.split()[1]), headers, body


async def post(served, path, size):
    reader, writer = await connect(served)
    writer.write(head(path, size) + b"x" * size)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def hold_room(served, path="/x"):
    """Open a request for a large body and send only a part of it."""
    reader, writer = await connect(served)
    writer.write(head(path, LARGE_BYTES) + b"x" * 1_000)
    while not served.listener.table.request_bytes:
        await asyncio.sleep(0.01)
    return reader, writer


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("path", ["/x", "/stream"])
def test_refused_request_never_runs_and_its_client_reads_when_to_retry(path):
    async def scenario(served):
        _, holder = await hold_room(served)

        async def drip():
            while True:
                holder.write(b"x")
                await asyncio.sleep(0.1)

        dripping = asyncio.create_task(drip())
        status, headers, body = await post(served, path, LARGE_BYTES)
        dripping.cancel()
        assert (status, headers["Retry-After"]) == (503, "1")
        assert (headers["X-Outcome"], headers["Connection"]) == ("not-run", "close")
        assert body == b'{"kind": "Refused"}'
        assert served.bodies == []
        holder.close()
        await until(lambda: served.listener.table.connections == 0)
        assert served.listener.table.request_bytes == 0
        assert (await post(served, path, LARGE_BYTES))[0] == 200

    run_with_listener(scenario)


@pytest.mark.parametrize("path", ["/x", "/stream"])
def test_stalled_body_gives_its_room_to_the_next_request(path):
    async def scenario(served):
        reader, _ = await hold_room(served, path)
        assert (await post(served, "/x", LARGE_BYTES))[0] == 200
        assert await reader.read() == b""
        assert served.bodies == [(LARGE_BYTES, {})]
        assert served.left == (path == "/stream")

    run_with_listener(scenario)


def test_small_requests_are_served_beside_large_ones():
    async def scenario(served):
        await hold_room(served)
        for _ in range(20):
            assert (await post(served, "/x", 100))[0] == 200

    run_with_listener(scenario)


def test_slow_body_is_served_while_there_is_room():
    async def scenario(served):
        reader, writer = await connect(served)
        writer.write(head("/x", 12))
        for _ in range(12):
            await asyncio.sleep(0.15)
            writer.write(b"x")
        assert (await read_answer(reader))[0] == 200

    run_with_listener(scenario)


@pytest.mark.parametrize(
    ("sizes", "status", "size"),
    [([1] * 3_000, 200, 3_000), ([9_000, 9_000, 9_000], 200, 27_000), ([20_000] * 2, 400, None)],
)
def test_chunked_body(sizes, status, size):
    async def scenario(served):
        reader, writer = await connect(served)
        writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        for chunk in sizes:
            writer.write(b"%x\r\n%s\r\n" % (chunk, b"x" * chunk))
        writer.write(b"0\r\n\r\n")
        assert (await read_answer(reader))[0] == status
        assert [body for body, _ in served.bodies] == ([size] if size else [])

    run_with_listener(scenario)


def test_requests_that_are_sent_at_once_are_answered_in_order():
    async def scenario(served):
        reader, writer = await connect(served)
        for number in range(200):
            writer.write(f"GET /{number} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        for number in range(200):
            assert (await read_answer(reader))[2] == f"/{number}".encode()

    run_with_listener(scenario)


def test_fields_of_a_form_are_not_parsed():
    async def scenario(served):
        reader, writer = await connect(served)
        field = "Content-Type: application/x-www-form-urlencoded; charset=utf-8"
        writer.write(head("/x", 7, field) + b"a=1&b=2")
        assert (await read_answer(reader))[0] == 200
        assert served.bodies == [(7, {})]

    run_with_listener(scenario)


@pytest.mark.parametrize("length", ["-1", "1e3", "9" * 5_000, "\u00b2", ""])
def test_malformed_length_ends_only_its_own_connection(length):
    async def scenario(served):
        reader, writer = await connect(served)
        writer.write(f"POST /x HTTP/1.1\r\nContent-Length: {length}\r\n\r\n".encode("latin-1"))
        assert b"200" not in await reader.read()
        assert (await post(served, "/x", 10))[0] == 200

    run_with_listener(scenario)


@pytest.mark.parametrize("path", ["/hold", "/stream?hold"])
def test_request_whose_client_has_left_is_charged_until_its_handler_ends(path):
    async def scenario(served):
        _, writer = await connect(served)
        writer.write(head(path, LARGE_BYTES) + b"x" * LARGE_BYTES)
        await until(lambda: served.bodies)
        writer.close()
        await until(lambda: served.listener.table.connections == 0)
        assert served.listener.table.request_bytes >= LARGE_BYTES
        served.release.set()
        await until(lambda: served.listener.table.request_bytes == 0)

    run_with_listener(scenario)


@pytest.mark.parametrize("path", ["/x", "/stream"])
def test_clients_that_reset_their_connection_leave_no_charge(path):
    """Guards against a handler that finishes as its client leaves, and keeps its charge."""

    async def scenario(served):
        host, _, port = served.address
        for number in range(100):
            with socket.create_connection((host, int(port))) as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                client.sendall(head(path, 1_000) + b"x" * 1_000)
                # The server reads the request before the reset arrives, or after it.
                if number % 2:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)
        await until(lambda: served.listener.table.connections == 0)
        assert served.listener.table.request_bytes == 0

    run_with_listener(scenario)


@pytest.mark.parametrize("path", ["/closes", "/closes-and-raises"])
def test_answer_that_cannot_be_written_leaves_no_charge(path):
    async def scenario(served):
        _, writer = await connect(served)
        writer.write(head(path, 1_000) + b"x" * 1_000)
        await until(lambda: served.bodies)
        await until(lambda: served.listener.table.connections == 0)
        assert served.listener.table.request_bytes == 0

    run_with_listener(scenario)


def test_header_block_without_an_end_is_closed_when_it_exceeds_the_room():
    async def scenario(served):
        reader, writer = await connect(served)
        writer.write(b"GET / HTTP/1.1\r\n" + b"X: " + b"a" * 7_000)
        assert await reader.read() == b""
        assert served.listener.table.connections == 0
        assert (await post(served, "/x", 10))[0] == 200

    run_with_listener(scenario, limits=ListenerLimits(6, 8_000, 1_000, 6_000))


def test_connections_beyond_the_limit_replace_idle_ones_only():
    clock = ManualClock()

    async def scenario(served):
        idle = [await connect(served) for _ in range(LIMITS.connections)]
        await until(lambda: served.listener.table.connections == LIMITS.connections)
        reader, _ = await connect(served)
        assert await reader.read() == b""
        clock.advance(STALL_MS)
        assert (await post(served, "/x", 10))[0] == 200
        assert await idle[0][0].read() == b""
        assert served.listener.table.connections <= LIMITS.connections
        text = served.metrics.render()[0].decode()
        assert 'nutmeglb_intake_refused_total{cause="connections",listener="test"} 1' in text
        assert 'nutmeglb_intake_closed_total{cause="connections",listener="test"} 1' in text

    run_with_listener(scenario, clock=clock)


class _ListenerWithoutDescriptors:
    """Listening socket whose accept fails a number of times."""

    def __init__(self, failures):
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self.address = self._socket.getsockname()
        self.failures = failures
        self.accepts = 0

    def fileno(self):
        return self._socket.fileno()

    def accept(self):
        self.accepts += 1
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return self._socket.accept()

    def close(self):
        self._socket.close()


def test_accept_without_descriptors_pauses_and_is_repeated():
    async def main():
        listener = _ListenerWithoutDescriptors(3)
        accepted, shortages = [], []
        acceptor = Acceptor(
            listener,
            lambda connection, address: accepted.append(connection),
            lambda: shortages.append(listener.accepts),
        )
        client = socket.create_connection(listener.address)
        async with asyncio.timeout(LIMIT_S):
            while not accepted:
                await asyncio.sleep(0.01)
        acceptor.stop()
        accepted[0].close()
        client.close()
        # One attempt a pause, then the one that succeeds and the one that finds nothing more.
        assert shortages == [1, 2, 3]
        assert listener.accepts <= 5

    asyncio.run(main())

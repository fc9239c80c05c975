"""HTTP listener whose clients share a bounded amount of memory and descriptors."""

import asyncio
import re
import socket
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.netutil import bind_sockets

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.intake.acceptor import Acceptor
from nutmeglb._internal.intake.observed import ObservedConnection
from nutmeglb._internal.intake.report import IntakeReport
from nutmeglb._internal.intake.requests import BoundedRequest, Refusal, RequestCosts
from nutmeglb._internal.intake.stream import MeteredStream
from nutmeglb_decisions.intake.connections import Cause, ConnectionTable, Phase, Verdict
from nutmeglb_decisions.intake.limits import RECEIVE_BUFFER_BYTES, ListenerLimits
from nutmeglb_formats.clock import Clock

READ_CHUNK_BYTES = 16 * 1_024
# Answers that the kernel holds for a client that does not read them.
SEND_BUFFER_BYTES = 64 * 1_024
# Connections that the kernel holds until they are accepted.
BACKLOG = 128
# Header bytes that the charge of a connection includes.
INCLUDED_HEADER_BYTES = 4 * 1_024
HEADER_END = re.compile(rb"\r?\n\r?\n")
MAX_HEADER_END_BYTES = 4
TICK_MS = 100.0
# A tick that comes later than this shows that the process did not run.
MAX_TICK_DELAY_MS = 250.0
MS_PER_S = 1_000.0


class BoundedListener:
    """Accepts connections, and reads requests as far as the limits allow.

    Parameters
    ----------
    name
        Name of the listener in metrics and log lines.
    application
        Handles the requests.
    idle_timeout_s
        Longest time until the header block of a request is complete; ``None`` for an hour.
    body_timeout_s
        Longest time until the body is complete; ``None`` for no limit.
    max_body_bytes
        Length beyond which a body is refused before the handler sees it; ``None`` for that of the
        costs.
    """

    def __init__(
        self,
        name: str,
        application: HTTPServerConnectionDelegate,
        limits: ListenerLimits,
        costs: RequestCosts,
        clock: Clock,
        metrics: Metrics,
        refusal: Refusal = Refusal(),  # noqa: B008 - immutable
        idle_timeout_s: float | None = None,
        body_timeout_s: float | None = None,
        max_body_bytes: int | None = None,
    ) -> None:
        self._table = ConnectionTable(limits)
        self._report = IntakeReport(name, self._table, metrics)
        self._costs = costs
        self._clock = clock
        self._refusal = refusal
        self._streams: dict[int, MeteredStream] = {}
        # Header blocks that are not complete.
        self._headers: dict[int, _HeaderBlock] = {}
        self._waiters: dict[int, asyncio.Future[bool]] = {}
        self._acceptor: Acceptor | None = None
        self._tick: asyncio.TimerHandle | None = None
        self._tick_due_ms = 0.0
        self._server = _Server(
            application,
            self,
            chunk_size=READ_CHUNK_BYTES,
            max_header_size=costs.header_bytes,
            max_body_size=max_body_bytes or costs.body_bytes,
            idle_connection_timeout=idle_timeout_s,
            body_timeout=body_timeout_s,
        )

    @property
    def table(self) -> ConnectionTable:
        """Return the connections and their charges."""
        return self._table

    def listen(self, address: str) -> str:
        """Bind ``ip:port`` and start accepting. Return the bound address.

        Raises
        ------
        OSError
            When the address cannot be bound.
        """
        host, _, port = address.rpartition(":")
        (listener,) = bind_sockets(int(port), host.strip("[]"), backlog=BACKLOG)
        # Accepted connections inherit both sizes.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._acceptor = Acceptor(listener, self._open, self._relieve)
        return f"{host}:{listener.getsockname()[1]}"

    def stop_accepting(self) -> None:
        """Close the listening socket. Open connections are still served."""
        if self._acceptor is not None:
            self._acceptor.stop()
            self._acceptor = None

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        self.stop_accepting()
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_result(False)
        await self._server.close_all_connections()
        if self._tick is not None:
            self._tick.cancel()
            self._tick = None

    # RequestCharges

    def reserve(self, number: int, request_bytes: int) -> Verdict:
        """Raise the charge of a request."""
        self._headers.pop(number, None)
        decision = self._table.reserve(number, request_bytes, self._clock.now_ms())
        self._close_all(decision.closed, Cause.MEMORY)
        self._schedule_tick()
        return decision.verdict

    def wait(self, number: int) -> asyncio.Future[bool]:
        """Return whether a waiting request is admitted, as soon as that is decided."""
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters[number] = waiter
        return waiter

    def note_running(self, number: int) -> None:
        """Note that the request has been read completely."""
        self._table.run(number, self._clock.now_ms())

    def note_refused(self, number: int) -> None:
        """Note that the request is refused, and what it still sends is discarded."""
        self._table.refuse(number, self._clock.now_ms())
        self._report.note_refused(Cause.MEMORY)
        self._report.publish()
        self._schedule_tick()

    def end_run(self, number: int) -> None:
        """Note that the handler of a request has finished."""
        self._table.end_run(number, self._clock.now_ms())
        self._decide()

    # Connections

    def expect_request(
        self, stream: MeteredStream, connection: HTTPConnection, inner: HTTPMessageDelegate
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection."""
        number = stream.number
        if self._table.phase_of(number) is Phase.REFUSED:
            stream.close()
        else:
            self._table.expect_request(number, self._clock.now_ms())
            self._headers[number] = _HeaderBlock()
            self._decide()
        return BoundedRequest(self, number, connection, inner, self._costs, self._refusal)

    def forget(self, number: int) -> None:
        """Release the charges of a connection that is closed."""
        self._streams.pop(number, None)
        self._headers.pop(number, None)
        waiter = self._waiters.pop(number, None)
        if waiter is not None:
            waiter.cancel()
        self._table.close(number)
        self._decide()
        self._report.publish()

    def _open(self, connection: socket.socket, address: str) -> None:
        opened = self._table.open(address, self._clock.now_ms())
        self._close_all(opened.closed, Cause.CONNECTIONS)
        if opened.number is None:
            self._report.note_refused(Cause.CONNECTIONS)
            connection.close()
            return
        stream = MeteredStream(
            connection,
            opened.number,
            self._on_read,
            self._on_write,
            self._costs.header_bytes + 2 * READ_CHUNK_BYTES,
            READ_CHUNK_BYTES,
        )
        self._streams[opened.number] = stream
        self._report.publish()
        self._server.handle_stream(stream, (address, 0))

    def _on_read(self, number: int, data: memoryview) -> None:
        now_ms = self._clock.now_ms()
        self._table.note_progress(number, now_ms)
        header = self._headers.get(number)
        if header is None:
            return
        if header.ends_with(data):
            del self._headers[number]
        elif header.size > INCLUDED_HEADER_BYTES:
            self._grow_header(number, header.size, now_ms)

    def _grow_header(self, number: int, header_bytes: int, now_ms: float) -> None:
        decision = self._table.grow(number, 2 * header_bytes, now_ms)
        self._close_all(decision.closed, Cause.MEMORY)
        if decision.verdict is Verdict.REFUSED and number in self._streams:
            self._report.note_refused(Cause.MEMORY)
            # The stream cannot be closed while it reads.
            asyncio.get_running_loop().call_soon(self._streams[number].close)

    def _on_write(self, number: int) -> None:
        now_ms = self._clock.now_ms()
        if self._table.phase_of(number) is Phase.RUNNING:
            self._table.answer(number, now_ms)
        self._table.note_progress(number, now_ms)

    def _relieve(self) -> None:
        closed = self._table.relieve(self._clock.now_ms())
        self._report.note_refused(Cause.DESCRIPTORS)
        self._close_all(closed, Cause.DESCRIPTORS)

    def _close_all(self, numbers: tuple[int, ...], cause: Cause) -> None:
        for number in numbers:
            stream = self._streams.pop(number, None)
            if stream is not None:
                stream.close()
        self._report.note_closed(cause, len(numbers))

    # Waiting requests

    def _schedule_tick(self) -> None:
        if self._tick is None and self._table.needs_time:
            self._tick_due_ms = self._clock.now_ms() + TICK_MS
            self._tick = asyncio.get_running_loop().call_later(TICK_MS / MS_PER_S, self._on_tick)

    def _on_tick(self) -> None:
        self._tick = None
        delay_ms = self._clock.now_ms() - self._tick_due_ms
        self._decide(delay_ms if delay_ms > MAX_TICK_DELAY_MS else 0.0)
        self._schedule_tick()

    def _decide(self, late_ms: float = 0.0) -> None:
        """Carry out what the table decides on waiting and refused requests."""
        if not self._table.needs_time:
            return
        changes = self._table.advance(self._clock.now_ms(), late_ms)
        self._close_all(changes.closed, Cause.MEMORY)
        self._close_all(changes.expired, Cause.LINGER)
        for numbers, is_admitted in ((changes.admitted, True), (changes.refused, False)):
            for number in numbers:
                waiter = self._waiters.pop(number, None)
                if waiter is not None and not waiter.done():
                    waiter.set_result(is_admitted)


class _HeaderBlock:
    """Counts the bytes of a header block until its end."""

    def __init__(self) -> None:
        self.size = 0
        self._tail = b""

    def ends_with(self, data: memoryview) -> bool:
        """Count further bytes. Return whether the end of the block is among them."""
        self.size += len(data)
        text = self._tail + bytes(data)
        self._tail = text[-MAX_HEADER_END_BYTES + 1 :]
        return HEADER_END.search(text) is not None


class _Server(HTTPServer):
    """Serves HTTP on the streams of a listener."""

    # Tornado's own subclasses also differ from the base class in this signature.
    def initialize(  # type: ignore[override]
        self,
        application: HTTPServerConnectionDelegate,
        listener: BoundedListener,
        **options: Any,
    ) -> None:
        self._listener = listener
        super().initialize(application, **options)

    def start_request(self, server_conn: Any, request_conn: HTTPConnection) -> HTTPMessageDelegate:
        stream = server_conn.stream
        observed = ObservedConnection(request_conn, lambda: self._listener.end_run(stream.number))
        inner = super().start_request(server_conn, observed)
        return self._listener.expect_request(stream, request_conn, inner)

    def on_close(self, server_conn: Any) -> None:
        super().on_close(server_conn)
        self._listener.forget(server_conn.stream.number)

"""Small HTTP/1.1 server whose handlers decide whether and how a response is sent."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import orjson

HEAD_END = b"\r\n\r\n"
BODY_LIMIT_BYTES = 16 * 1_048_576


class NoResponse(Enum):
    """Ways in which a call gets no response."""

    # The connection stays open and returns nothing further.
    SILENT = "silent"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class LightRequest:
    """A request. ``reused`` tells whether an earlier one came over the same connection."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any
    reused: bool


Reply = tuple[int, Any] | NoResponse
Handler = Callable[[LightRequest], Awaitable[Reply]]


class LightServer:
    """Listener on a free port of the loopback interface, which it keeps while it is stopped."""

    def __init__(self, handler: Handler) -> None:
        self.address = ""
        self._handler = handler
        self._reservation: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Bind the listener, after a stop to the same port."""
        if self._reservation is None:
            # Without this socket, another connection could be given the port during a stop.
            self._reservation = _bind(0)
        port = self._reservation.getsockname()[1]
        self._server = await asyncio.start_server(
            self._serve, sock=_bind(port), limit=BODY_LIMIT_BYTES
        )
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Close the listener and all connections. Connections are refused until a start."""
        if self._server is not None:
            self._server.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Close all connections. The listener stays."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # The client has closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        reused = False
        while True:
            request = await _read_request(reader, reused)
            reply = await self._handler(request)
            if reply is NoResponse.SILENT:
                # Returns once the client has closed the connection.
                while await reader.read(65_536):
                    continue
                return
            if reply is NoResponse.CLOSE:
                return
            status, content = reply
            body = orjson.dumps(content)
            head = (
                f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            reused = True


def _bind(port: int) -> socket.socket:
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(("127.0.0.1", port))
    return bound


async def _read_request(reader: asyncio.StreamReader, reused: bool) -> LightRequest:
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    data = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    return LightRequest(
        method,
        parts.path,
        dict(parse_qsl(parts.query, keep_blank_values=True)),
        headers,
        orjson.loads(data) if data else None,
        reused,
    )

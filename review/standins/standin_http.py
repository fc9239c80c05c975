"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins of the review."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

BODY_LIMIT_BYTES = 16 * 1_048_576
# The handler wants the connection to end without a response.
DROP = object()
# The handler wants the connection to stay open without a response.
SILENT = object()


@dataclass(frozen=True, slots=True)
class Call:
    """A received request with its decoded JSON body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Any


Handler = Callable[[Call], Awaitable[Any]]


class Server:
    """Serves JSON requests. A handler returns status and body, ``DROP`` or ``SILENT``.

    Parameters
    ----------
    max_connections
        Further connections are closed at once; 0 means no limit.
    idle_s
        A connection without a request for so long is closed.
    """

    def __init__(self, handler: Handler, max_connections: int = 0, idle_s: float = 300.0) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._idle_s = idle_s
        self._server: asyncio.Server | None = None
        self.port = 0
        self.connections = 0
        self.refused = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=BODY_LIMIT_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._max_connections and self.connections >= self._max_connections:
            self.refused += 1
            writer.close()
            return
        self.connections += 1
        try:
            while True:
                async with asyncio.timeout(self._idle_s):
                    call = await _read_call(reader)
                reply = await self._handler(call)
                if reply is DROP:
                    break
                if reply is SILENT:
                    while await reader.read(65_536):
                        continue
                    break
                status, content = reply
                body = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        finally:
            self.connections -= 1
            writer.close()


async def _read_call(reader: asyncio.StreamReader) -> Call:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    data = await reader.readexactly(length) if length else b""
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Call(method, parts.path, query, headers, json.loads(data) if data else None)


async def request(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Send a request on a new connection. Status 0 means that there was no complete answer."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = json.dumps(body).encode() if body is not None else b""
                fields = {"Host": address, "Connection": "close", **(headers or {})}
                if data:
                    fields["Content-Type"] = "application/json"
                fields["Content-Length"] = str(len(data))
                lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                await writer.drain()
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                length = 0
                for line in head.split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        length = int(line.partition(":")[2])
                content = await reader.readexactly(length) if length else b""
                return status, json.loads(content) if content else None
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None

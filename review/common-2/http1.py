"""A small HTTP/1.1 server and client of the standard library, for the stand-ins of the review."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

# Answers of a handler that send nothing: the connection stays open, or is closed.
SILENT = "silent"
CLOSE = "close"


class Request:
    """A request with its decoded JSON body."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = json.loads(body) if body else {}


class Server:
    """A listener on a free loopback port. ``handler`` returns (status, body), SILENT or CLOSE."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self.port = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        """Listen on a free port, or after a stop on the same port again."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2**24, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Close the listener, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        reply = await self._handler(Request(method, target, headers, body))
        if reply == CLOSE:
            return False
        if reply == SILENT:
            while await reader.read(65_536):
                pass
            return False
        status, content = reply
        data = json.dumps(content, separators=(",", ":")).encode()
        writer.write(
            f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        return True


async def call(address, method, path, host="", body=None, timeout_s=5.0, headers=None):
    """Send one request on a new connection. Return (status, body), or (None, cause)."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            name, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(name, int(port), limit=2**24)
            data = json.dumps(body).encode() if body is not None else b""
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {host or address}",
                "Content-Type: application/json",
                f"Content-Length: {len(data)}",
                "Connection: close",
                *(f"{key}: {value}" for key, value in (headers or {}).items()),
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                key, _, value = line.partition(":")
                if key.strip().lower() == "content-length":
                    length = int(value)
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else None
    except TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, f"connection broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()

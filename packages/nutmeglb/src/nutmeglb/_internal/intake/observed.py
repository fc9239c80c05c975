"""Connection of a request that reports when its handler has finished."""

from asyncio import Future
from collections.abc import Callable
from typing import Any

from tornado.httputil import HTTPConnection, HTTPHeaders, RequestStartLine, ResponseStartLine


class ObservedConnection(HTTPConnection):
    """Passes everything on to the connection of a request.

    Parameters
    ----------
    on_finish
        Called when the handler has written its whole answer, also if its client has gone.
    """

    def __init__(self, connection: HTTPConnection, on_finish: Callable[[], None]) -> None:
        self._connection = connection
        self._on_finish = on_finish

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)

    def write_headers(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> "Future[None]":
        """Write the start line and the header block."""
        return self._connection.write_headers(start_line, headers, chunk)

    def write(self, chunk: bytes) -> "Future[None]":
        """Write a part of the body."""
        return self._connection.write(chunk)

    def finish(self) -> None:
        """End the answer."""
        try:
            self._connection.finish()
        finally:
            self._on_finish()

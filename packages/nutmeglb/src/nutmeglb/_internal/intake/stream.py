"""Stream that reports when bytes move."""

import socket
from collections.abc import Callable

from tornado.iostream import IOStream


class MeteredStream(IOStream):
    """Socket stream with a number, which reports each successful read and write.

    Parameters
    ----------
    on_read
        Called with the number of the connection and the bytes read, which are only valid meanwhile.
    on_write
        Called with the number of the connection.
    """

    def __init__(
        self,
        connection: socket.socket,
        number: int,
        on_read: Callable[[int, memoryview], None],
        on_write: Callable[[int], None],
        max_buffer_bytes: int,
        read_chunk_bytes: int,
    ) -> None:
        self.number = number
        self._on_read = on_read
        self._on_write = on_write
        super().__init__(
            connection, max_buffer_size=max_buffer_bytes, read_chunk_size=read_chunk_bytes
        )

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        size = super().read_from_fd(buf)
        if size:
            self._on_read(self.number, memoryview(buf)[:size])
        return size

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket."""
        size = super().write_to_fd(data)
        if size:
            self._on_write(self.number)
        return size

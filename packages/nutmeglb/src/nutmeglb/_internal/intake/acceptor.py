"""Accepts connections, also when descriptors run short."""

import asyncio
import errno
import socket
from collections.abc import Callable

# Connections accepted before other work gets its turn.
MAX_ACCEPTS_AT_ONCE = 64
# Pause after an accept that failed for want of a descriptor or of memory, so that it does not spin.
SHORTAGE_PAUSE_S = 0.1
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Acceptor:
    """Accepts the connections of one listening socket until it is stopped.

    Parameters
    ----------
    on_connection
        Called with each connection and the address of its client.
    on_shortage
        Called when a connection cannot be accepted for want of a descriptor or of memory.
    """

    def __init__(
        self,
        listener: socket.socket,
        on_connection: Callable[[socket.socket, str], None],
        on_shortage: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._on_connection = on_connection
        self._on_shortage = on_shortage
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None
        self._resume()

    def stop(self) -> None:
        """Stop accepting and close the listening socket."""
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        self._loop.remove_reader(self._listener)
        self._listener.close()

    def _resume(self) -> None:
        self._pause = None
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            if self._listener.fileno() < 0:
                return
            try:
                connection, address = self._listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in SHORTAGES:
                    raise
                self._loop.remove_reader(self._listener)
                self._pause = self._loop.call_later(SHORTAGE_PAUSE_S, self._resume)
                self._on_shortage()
                return
            connection.setblocking(False)
            self._on_connection(connection, str(address[0]))

"""Clients that open many connections, send what they are told, and stay open."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType

BYTES_PER_MIB = 1_048_576
# A crowd has sent all that it can when nothing more was taken from it for this long.
QUIET_S = 3.0
# A crowd whose requests take longer than this goes on sending beside the ordinary callers.
MAX_SENDING_S = 10.0
POLL_INTERVAL_S = 0.02
ESTABLISHED = "01"


@dataclass(frozen=True, slots=True)
class Crowd:
    """What each connection of a crowd sends.

    Attributes
    ----------
    connections
        Number of connections, all open at once.
    pieces
        Returns what a connection sends, by its number. The pieces are sent one after the other,
        while the other connections send theirs.
    """

    connections: int
    pieces: Callable[[int], Sequence[bytes]]


class OpenCrowd:
    """Connections of a crowd; an asynchronous context manager. They never read.

    Parameters
    ----------
    address
        ``ip:port`` to connect to.
    """

    def __init__(self, crowd: Crowd, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._crowd = crowd
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._sent_pieces = 0

    async def __aenter__(self) -> "OpenCrowd":
        for _ in range(self._crowd.connections):
            connection = socket.socket()
            connection.setblocking(False)
            self._sockets.append(connection)
        self._tasks = [
            asyncio.create_task(self._send(each, self._crowd.pieces(number)))
            for number, each in enumerate(self._sockets)
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._sockets:
            connection.close()

    async def has_sent(self) -> None:
        """Wait until all is sent, until nothing more is taken, or for ``MAX_SENDING_S``."""
        loop = asyncio.get_running_loop()
        seen, since, end = -1, loop.time(), loop.time() + MAX_SENDING_S
        while not all(task.done() for task in self._tasks) and loop.time() < end:
            if self._sent_pieces != seen:
                seen, since = self._sent_pieces, loop.time()
            elif loop.time() - since > QUIET_S:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _send(self, connection: socket.socket, pieces: Sequence[bytes]) -> None:
        loop = asyncio.get_running_loop()
        # A refused or closed connection is one of the answers that the crowd may get.
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, self._target)
            for piece in pieces:
                await loop.sock_sendall(connection, piece)
                self._sent_pieces += 1
                await asyncio.sleep(0)


class ProcessWatch:
    """Records the peaks of a process; an asynchronous context manager.

    Attributes
    ----------
    peak_unread_bytes
        Most bytes that the kernel has held unread on connections to the ports of the process.
    peak_descriptors
        Most descriptors that the process has had open.
    """

    def __init__(self, pid: int, addresses: Sequence[str]) -> None:
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0
        self._directory = Path(f"/proc/{pid}")
        self._ports = {int(address.rpartition(":")[2]) for address in addresses}
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "ProcessWatch":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()

    @property
    def peak_memory_bytes(self) -> int:
        """Return the peak of the resident memory and that of the unread bytes together."""
        return self._peak_resident_bytes() + self.peak_unread_bytes

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(FileNotFoundError):
                self.observe()
            await asyncio.sleep(POLL_INTERVAL_S)

    def observe(self) -> None:
        """Update the peaks."""
        self.peak_unread_bytes = max(self.peak_unread_bytes, self._unread_bytes())
        descriptors = len(list((self._directory / "fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def _peak_resident_bytes(self) -> int:
        for line in (self._directory / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("the kernel reports no peak of the resident memory")

    def _unread_bytes(self) -> int:
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            columns = line.split()
            port = int(columns[1].rpartition(":")[2], 16)
            if columns[3] == ESTABLISHED and port in self._ports:
                total += int(columns[4].partition(":")[2], 16)
        return total

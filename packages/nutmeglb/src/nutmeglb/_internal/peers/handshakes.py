"""Bounds connections to the peer listener whose opening handshake is not complete.

Until then nothing tells another instance from a stranger, so these connections are few, small, and
the first to be closed when a new one comes.
"""

import asyncio
import socket
from typing import Any

from websockets.asyncio.server import ServerConnection

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.intake.report import IntakeReport
from nutmeglb_decisions.intake.connections import Cause, ConnectionTable
from nutmeglb_decisions.intake.limits import ListenerLimits
from nutmeglb_formats.clock import Clock

# The handshake of an instance has a few hundred bytes.
MAX_HANDSHAKE_BYTES = 8 * 1_024
# Receive buffer of an instance. The kernel limits and doubles it.
PEER_RECEIVE_BUFFER_BYTES = 512 * 1_024


class HandshakeGate:
    """Admits connections until their handshake is complete."""

    def __init__(self, max_handshakes: int, clock: Clock, metrics: Metrics) -> None:
        self._table = ConnectionTable(ListenerLimits(max_handshakes, 0, 0))
        self._report = IntakeReport("peer", self._table, metrics)
        self._clock = clock
        self._open: dict[int, GatedConnection] = {}

    def create_connection(self, *arguments: Any, **options: Any) -> "GatedConnection":
        """Create a connection that this gate admits or closes."""
        return GatedConnection(self, *arguments, **options)

    def admit(self, connection: "GatedConnection", address: str) -> int:
        """Return the number of a new connection, or 0 after closing it."""
        opened = self._table.open(address, self._clock.now_ms())
        for number in opened.closed:
            self._open.pop(number).transport.abort()
        self._report.note_closed(Cause.CONNECTIONS, len(opened.closed))
        if opened.number is None:
            self._report.note_refused(Cause.CONNECTIONS)
            connection.transport.abort()
            return 0
        self._open[opened.number] = connection
        self._report.publish()
        return opened.number

    def receive(self, number: int, handshake_bytes: int) -> bool:
        """Return whether what has arrived may be read. Otherwise, close the connection."""
        connection = self._open.get(number)
        if connection is None:
            return False
        if handshake_bytes > MAX_HANDSHAKE_BYTES:
            self._report.note_refused(Cause.MEMORY)
            connection.transport.abort()
            return False
        self._table.note_progress(number, self._clock.now_ms())
        return True

    def leave(self, number: int) -> None:
        """Forget a connection whose handshake is complete, or that has closed."""
        if self._open.pop(number, None) is not None:
            self._table.close(number)
            self._report.publish()


class GatedConnection(ServerConnection):
    """Connection whose bytes are counted until its handshake is complete."""

    def __init__(self, gate: HandshakeGate, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._gate = gate
        self._number = 0
        self._handshake_bytes = 0
        self._is_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername") or ("",)
        self._number = self._gate.admit(self, str(peer[0]))

    def data_received(self, data: bytes) -> None:
        """Read the data, if the handshake is complete or small enough."""
        if not self._is_complete:
            self._handshake_bytes += len(data)
            if not self._gate.receive(self._number, self._handshake_bytes):
                return
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        super().connection_lost(exc)
        self._gate.leave(self._number)

    def complete_handshake(self) -> None:
        """Note that the other side is an instance of this cell, which may send more at once."""
        self._is_complete = True
        connection = self.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_RECEIVE_BUFFER_BYTES)
        self._gate.leave(self._number)

"""Listener for connections from other entry instances."""

import socket
from collections.abc import Awaitable, Callable

from tornado.netutil import bind_sockets
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.http11 import Request, Response

from nutmeglb._internal.peers.handshake import PeerIdentity, check_request, peer_identity
from nutmeglb._internal.peers.handshakes import GatedConnection, HandshakeGate
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.intake.limits import RECEIVE_BUFFER_BYTES
from nutmeglb_formats.wire.envelope import BATCH_LIMIT_BYTES

logger = get_logger("peers")

OPEN_TIMEOUT_S = 5.0
# A peer that does not answer pings does not answer a close frame either.
CLOSE_TIMEOUT_S = 1.0
# Connections that the kernel holds until they are accepted.
BACKLOG = 100


class PeerServer:
    """Accepts authenticated peer connections.

    Parameters
    ----------
    address
        ``ip:port``; port 0 picks a free port.
    on_connection
        Runs a connection until it closes.
    gate
        Bounds the connections whose handshake is not complete.
    ping_s
        Interval and timeout of keep-alive pings in seconds; ``None`` disables them.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        own_id: str,
        on_connection: Callable[[ServerConnection, PeerIdentity], Awaitable[None]],
        on_refused: Callable[[], None],
        gate: HandshakeGate,
        ping_s: float | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._secret = secret
        self._own_id = own_id
        self._on_connection = on_connection
        self._on_refused = on_refused
        self._gate = gate
        self._ping_s = ping_s
        self._server: Server | None = None

    @property
    def bound_address(self) -> str:
        """Return ``ip:port`` of the listener, empty before it is started."""
        if self._server is None:
            return ""
        host, port = next(iter(self._server.sockets)).getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Bind the listener."""
        (listener,) = bind_sockets(self._port, self._host, backlog=BACKLOG)
        # Accepted connections inherit the size until their handshake is complete.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await serve(
            self._handle_connection,
            sock=listener,
            backlog=BACKLOG,
            process_request=self._check_handshake,
            # websockets only calls this with the arguments of the class.
            create_connection=self._gate.create_connection,  # type: ignore[arg-type]
            compression=None,
            ping_interval=self._ping_s,
            ping_timeout=self._ping_s,
            close_timeout=CLOSE_TIMEOUT_S,
            open_timeout=OPEN_TIMEOUT_S,
            max_size=BATCH_LIMIT_BYTES,
            server_header=None,
        )

    async def stop(self) -> None:
        """Close the listener and every accepted connection."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _check_handshake(self, connection: ServerConnection, request: Request) -> Response | None:
        refusal = check_request(connection, request, self._secret, self._own_id)
        if refusal is not None:
            self._on_refused()
            logger.warning("refused a peer connection", status=refusal.status_code)
        return refusal

    async def _handle_connection(self, connection: ServerConnection) -> None:
        assert isinstance(connection, GatedConnection)
        connection.complete_handshake()
        name = peer_identity(connection.request) if connection.request else None
        if name is not None:
            await self._on_connection(connection, name)

"""Connections between the queue leader and its followers."""

import asyncio
import secrets
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import InvalidStatus, WebSocketException

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Handler
from nutmeglb._internal.peers.correlation import Correlator, peer_error
from nutmeglb._internal.peers.dispatch import MessageDispatcher
from nutmeglb._internal.peers.handshake import PEER_PATH, PeerIdentity, handshake_headers
from nutmeglb._internal.peers.handshakes import HandshakeGate
from nutmeglb._internal.peers.link import Link, LinkCallbacks
from nutmeglb._internal.peers.server import PeerServer
from nutmeglb._internal.telemetry.hybrid_clock import HybridLogicalClock
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import PeerError
from nutmeglb_formats.models.queue_records import LeaderRecord
from nutmeglb_formats.wire.envelope import BATCH_LIMIT_BYTES
from nutmeglb_formats.wire.membership import Reply, Request
from nutmeglb_formats.wire.registry import MESSAGES

logger = get_logger("links")

SEND_QUEUE_LIMIT = 5_000
# A round trip between failure domains takes milliseconds. A broken path must not block a caller.
OPEN_TIMEOUT_S = 0.7
# Pings detect a dead connection after at most twice this time, which is before a lease ends.
PING_INTERVAL_S = 0.8
# A leader that does not answer pings does not answer a closing frame either.
CLOSE_TIMEOUT_S = 0.3
SECRET_BYTES = 16


class PeerLinks:
    """Accepts followers while this instance leads, and keeps one connection to the leader.

    Parameters
    ----------
    on_lost
        Called when the connection to the leader fails or ends, with whether the leader's process
        has certainly ended.
    gate
        Bounds the connections to this instance whose handshake is not complete.
    """

    def __init__(
        self,
        clock: Clock,
        instance_id: str,
        domain: str,
        address: str,
        hybrid_clock: HybridLogicalClock,
        on_lost: Callable[[bool], None],
        gate: HandshakeGate,
    ) -> None:
        self._clock = clock
        self._instance_id = instance_id
        self._domain = domain
        self._on_lost = on_lost
        self._background = BackgroundTasks()
        self._correlator = Correlator()
        self._dispatcher = MessageDispatcher(self._send, self._background)
        self._links: dict[str, Link] = {}
        self._leader: LeaderRecord | None = None
        self._dial_task: asyncio.Task[None] | None = None
        # Followers read the secret from the leader record in the store.
        self.secret = secrets.token_hex(SECRET_BYTES)
        self._server = PeerServer(
            address,
            self.secret,
            instance_id,
            self._on_accepted,
            lambda: None,
            gate,
            PING_INTERVAL_S,
        )
        self._callbacks = LinkCallbacks(
            self._on_message,
            lambda peer, direction, size: None,
            lambda peer, cause: logger.warning(
                "malformed frame; closing the connection", peer=peer, cause=cause
            ),
            lambda link: False,
            hybrid_clock.stamp_ms,
            hybrid_clock.observe,
        )

    @property
    def followers(self) -> list[str]:
        """Return the instances that are connected to this one as their leader."""
        return [peer for peer, link in self._links.items() if not link.outgoing]

    @property
    def leader_id(self) -> str:
        """Return the id of the leader that this instance is connected to, or an empty string."""
        if self._leader and self._leader.instance_id in self._links:
            return self._leader.instance_id
        return ""

    @property
    def bound_address(self) -> str:
        """Return ``ip:port`` of the listener."""
        return self._server.bound_address

    def on(self, message_type: type[Any], handler: Handler) -> None:
        """Register the handler of a message type."""
        self._dispatcher.on(message_type, handler)

    async def start(self) -> None:
        """Bind the listener."""
        await self._server.start()

    async def stop(self) -> None:
        """Close all connections and the listener."""
        await self._background.cancel()
        await self._server.stop()

    def follow(self, leader: LeaderRecord | None) -> None:
        """Maintain a connection to a leader; ``None`` closes the current one."""
        if leader == self._leader:
            if leader and not self.leader_id:
                self._dial(leader)
            return
        if self._dial_task is not None:
            self._dial_task.cancel()
            self._dial_task = None
        self._leader = leader
        if leader is not None:
            self._dial(leader)

    def broadcast(self, message: object) -> None:
        """Send a message to every follower."""
        for peer in self.followers:
            self._send(peer, message)

    async def request(
        self, peer: str, message: object, timeout_ms: float
    ) -> Result[Any, PeerError]:
        """Send a request and wait for its reply."""
        if peer not in self._links:
            return Err(peer_error(peer, "not connected", sent=False))
        correlation, future = self._correlator.open(peer)
        self._send(peer, Request(correlation, MESSAGES.to_items(message)))
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await future
        except TimeoutError:
            return Err(peer_error(peer, f"no reply within {timeout_ms:.0f} ms"))
        finally:
            self._correlator.close(correlation)

    def _send(self, peer: str, message: object) -> None:
        link = self._links.get(peer)
        if link is not None and not link.put(message):
            logger.warning(
                "send queue full; message dropped", peer=peer, type=type(message).__name__
            )

    def _on_message(self, link: Link, message: Any) -> None:
        if isinstance(message, Reply):
            self._correlator.resolve(link.peer_id, message)
        else:
            self._dispatcher.deliver(link.peer_id, message)

    async def _on_accepted(self, connection: ServerConnection, name: PeerIdentity) -> None:
        await self._run_link(connection, name.instance_id, name.domain, outgoing=False)

    def _dial(self, leader: LeaderRecord) -> None:
        if self._dial_task is None or self._dial_task.done():
            self._dial_task = self._background.spawn(self._connect(leader))

    async def _connect(self, leader: LeaderRecord) -> None:
        opened = await self._open(leader)
        if isinstance(opened, Err):
            logger.info(
                "connection to the leader failed; checking the leader key",
                leader=leader.instance_id,
            )
            self._on_lost(opened.err_value)
            return
        logger.info("connected to the leader", leader=leader.instance_id, term=leader.term)
        await self._run_link(opened.ok_value, leader.instance_id, "", outgoing=True)
        logger.warning(
            "connection to the leader lost; checking the leader key", leader=leader.instance_id
        )
        self._on_lost(False)

    async def _open(self, leader: LeaderRecord) -> Result[Connection, bool]:
        """Return the connection, or as error whether the leader's process seems to have ended.

        That proves nothing: also a cut between failure domains may refuse connections.
        """
        try:
            connection = await connect(
                f"ws://{leader.address}{PEER_PATH}",
                additional_headers=handshake_headers(
                    leader.secret, self._instance_id, self._domain
                ),
                user_agent_header=None,
                compression=None,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_INTERVAL_S,
                close_timeout=CLOSE_TIMEOUT_S,
                open_timeout=OPEN_TIMEOUT_S,
                max_size=BATCH_LIMIT_BYTES,
                proxy=None,
            )
        except ConnectionRefusedError:
            return Err(True)
        except InvalidStatus as error:
            # Another process, which does not know the secret of the leader, listens at the address.
            return Err(error.response.status_code == HTTPStatus.UNAUTHORIZED)
        except (OSError, TimeoutError, WebSocketException):
            return Err(False)
        return Ok(connection)

    async def _run_link(
        self, connection: Connection, peer: str, domain: str, *, outgoing: bool
    ) -> None:
        link = Link(
            connection,
            peer,
            domain,
            outgoing=outgoing,
            header=lambda: (self._instance_id, 0),
            queue_limit=SEND_QUEUE_LIMIT,
            callbacks=self._callbacks,
            now_ms=self._clock.now_ms(),
        )
        self._links[peer] = link
        try:
            await link.run()
        finally:
            if self._links.get(peer) is link:
                del self._links[peer]
                self._correlator.fail(peer)

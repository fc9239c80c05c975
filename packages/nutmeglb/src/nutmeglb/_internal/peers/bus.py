"""Peer bus: typed messages between entry instances over WebSocket connections."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from result import Err, Result
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Handler, InstanceList, Metrics
from nutmeglb._internal.peers.correlation import Correlator, peer_error, result_of
from nutmeglb._internal.peers.dialer import Dialer
from nutmeglb._internal.peers.dispatch import MessageDispatcher
from nutmeglb._internal.peers.faults import FaultSwitch
from nutmeglb._internal.peers.handshake import PeerIdentity, handshake_headers
from nutmeglb._internal.peers.handshakes import HandshakeGate
from nutmeglb._internal.peers.link import Link, LinkCallbacks
from nutmeglb._internal.peers.links import LinkTable
from nutmeglb._internal.peers.server import PeerServer
from nutmeglb._internal.settings.models import Settings
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.membership import MemberChanged, Membership
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import PeerError
from nutmeglb_formats.models.instances import InstanceRole, Member
from nutmeglb_formats.wire.membership import Heartbeat, Reply, Request
from nutmeglb_formats.wire.registry import MESSAGES

logger = get_logger("peers")

# A connection opened on demand is closed after this time without a request or message.
IDLE_TIMEOUT_MS = 60_000.0
# A connection that receives nothing for this multiple of the suspicion time is closed and opened
# again, because a partition can leave it open on one side only.
SILENCE_FACTOR = 3.0
MS_PER_S = 1_000.0


class FrameClock(Protocol):
    """Clock whose timestamps order the timeline events of several instances."""

    def stamp_ms(self) -> float:
        """Return the time to put on an outgoing frame, in milliseconds."""

    def observe(self, sent_ms: float) -> None:
        """Advance the clock to the time on an incoming frame, in milliseconds."""


@dataclass(frozen=True, slots=True)
class LocalState:
    """State that this instance announces in its heartbeats."""

    leader: str = ""
    leader_epoch: int = 0
    ticket: int = 0
    stale_since_ms: float | None = None
    admin_address: str = ""


class Bus:
    """Peer bus component; implements the ``PeerBus`` protocol of ``context.py``.

    The instances of a failure domain form a full mesh, and relays connect failure domains. A
    message to any other listed instance opens a connection on demand, which is closed when idle.

    Parameters
    ----------
    gate
        Bounds the connections to this instance whose handshake is not complete.
    on_member_change
        Called with every change of a member's state.
    hybrid_clock
        Stamps outgoing frames; ``None`` stamps them with the wall clock.
    """

    name = "peers"

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        instances: InstanceList,
        metrics: Metrics,
        gate: HandshakeGate,
        on_member_change: Callable[[MemberChanged], None] = lambda change: None,
        hybrid_clock: FrameClock | None = None,
    ) -> None:
        self._settings = settings.peer
        self._clock = clock
        self._own_id = settings.instance.id
        self._domain = settings.instance.failure_domain
        self._instances = instances
        self._on_member_change = on_member_change
        self._local_state: Callable[[], LocalState] = LocalState
        self._membership = Membership(self._own_id, self._domain, settings.peer.suspect_ms)
        self._faults = FaultSwitch(settings.peer.fault_file)
        self._subscribers: list[Callable[[], None]] = []
        self._links = LinkTable(self._own_id)
        self._correlator = Correlator()
        self._background = BackgroundTasks()
        self._dispatcher = MessageDispatcher(self.send, self._background)
        self._is_leaving = False
        self._server = PeerServer(
            settings.listen.peer,
            settings.peer.secret,
            self._own_id,
            self._run_incoming,
            lambda: self._refused_connections.inc(),
            gate,
        )
        headers = handshake_headers(settings.peer.secret, self._own_id, self._domain)
        self._dialer = Dialer(
            clock, rng, headers, settings.peer.reconnect_max_ms, self._run_outgoing
        )
        self._callbacks = LinkCallbacks(
            self._on_message,
            self._count_bytes,
            self._count_bad_frame,
            self._is_partitioned,
            hybrid_clock.stamp_ms if hybrid_clock else clock.wall_ms,
            hybrid_clock.observe if hybrid_clock else lambda sent_ms: None,
        )
        self._bytes = metrics.counter("nutmeglb_peer_bytes_total", "Bytes exchanged with a peer.")
        self._bad_frames = metrics.counter(
            "nutmeglb_peer_bad_frames_total", "Bad frames from a peer."
        )
        self._dropped_messages = metrics.counter(
            "nutmeglb_peer_dropped_messages_total", "Messages not sent, by reason."
        )
        self._refused_connections = metrics.counter(
            "nutmeglb_peer_refused_connections_total", "Connections refused in the handshake."
        )
        self._open_connections = metrics.gauge(
            "nutmeglb_peer_connections", "Peers with an open connection."
        )

    @property
    def bound_address(self) -> str:
        """Return ``ip:port`` of the listener."""
        return self._server.bound_address

    def set_local_state(self, source: Callable[[], LocalState]) -> None:
        """Set the function that returns the state for heartbeats."""
        self._local_state = source

    # Lifecycle

    async def start(self) -> None:
        """Bind the listener and start to connect to other instances."""
        await self._server.start()
        self._faults.read()
        self._instances.subscribe(self._on_instance_list)
        self._refresh_own_member()
        self._on_instance_list()
        self._background.spawn(self._heartbeat_loop())

    async def drain(self, deadline_ms: float) -> None:
        """Announce that this instance is leaving."""
        self.announce_leaving()

    async def stop(self) -> None:
        """Close every connection and the listener."""
        await self._background.cancel()
        await self._dialer.stop()
        await self._server.stop()

    def status(self) -> Mapping[str, object]:
        """Return the known members and whether they are connected."""
        return {
            "address": self.bound_address,
            "relay": self._membership.is_relay(),
            "members": [
                {
                    "instance": member.instance_id,
                    "domain": member.domain,
                    "state": member.state.value,
                    "connected": self.connected(member.instance_id),
                }
                for member in self.members()
            ],
        }

    def announce_leaving(self) -> None:
        """Send a heartbeat now that marks this instance as leaving."""
        self._is_leaving = True
        self._refresh_own_member()
        self._send_heartbeats()

    def last_heartbeat(self, instance_id: str) -> Heartbeat | None:
        """Return the last heartbeat of another member, or ``None`` when there was none."""
        return self._membership.last_heartbeat(instance_id)

    # PeerBus

    def send(self, instance_id: str, message: object) -> None:
        """Queue a message. Without a connection, drop the message and open one."""
        link = self._link_or_dial(instance_id)
        if link is None:
            self._dropped_messages.inc(reason="not_connected")
            return
        self._enqueue(link, message)

    def broadcast_domain(self, message: object) -> None:
        """Queue a message to every connected instance of this failure domain."""
        for member in self._membership.members(self._domain):
            if member.instance_id in self._links:
                self.send(member.instance_id, message)

    async def request(
        self, instance_id: str, message: object, timeout_ms: float
    ) -> Result[Any, PeerError]:
        """Send a message and wait for the handler's reply.

        A connection is opened when there is none. A request to this instance itself calls the
        handler directly.
        """
        if instance_id == self._own_id:
            return await self._request_self(message, timeout_ms)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                link = await self._await_link(instance_id)
                if link is None:
                    return Err(peer_error(instance_id, "no connection", sent=False))
                return await self._request_over_link(link, message)
        except TimeoutError:
            return Err(peer_error(instance_id, f"no reply within {timeout_ms:.0f} ms"))

    def on(self, message_type: type[Any], handler: Handler) -> None:
        """Set the handler of a message type. It receives the sender and the message."""
        self._dispatcher.on(message_type, handler)

    def members(self, domain: str | None = None) -> Sequence[Member]:
        """Return known entry instances, this one included, in order of instance id."""
        return self._membership.members(domain)

    def connected(self, instance_id: str) -> bool:
        """Return whether a connection to the instance is open."""
        return instance_id in self._links

    def relay_of(self, domain: str) -> str | None:
        """Return the instance through which another failure domain is reached.

        Connected instances are preferred, then the leader that the own domain's relay announces.
        If the instance is not connected, the first ``request`` to it opens a connection.
        """
        return self._membership.relay_of(domain, self._dialer.unreachable())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of membership or connections."""
        self._subscribers.append(callback)

    # Connections

    async def _run_incoming(self, connection: ServerConnection, name: PeerIdentity) -> None:
        await self._run_link(connection, name.instance_id, name.domain, outgoing=False)

    async def _run_outgoing(self, connection: ClientConnection, instance_id: str) -> None:
        member = self._membership.member(instance_id)
        domain = member.domain if member else ""
        await self._run_link(connection, instance_id, domain, outgoing=True)

    async def _run_link(
        self, connection: Connection, peer_id: str, peer_domain: str, *, outgoing: bool
    ) -> None:
        link = Link(
            connection,
            peer_id,
            peer_domain,
            outgoing=outgoing,
            header=self._frame_header,
            queue_limit=self._settings.queue_frames,
            callbacks=self._callbacks,
            now_ms=self._clock.now_ms(),
        )
        if self._faults.is_partitioned(peer_domain):
            await link.close()
            return
        self._add_link(link)
        try:
            await link.run()
        finally:
            self._remove_link(link)

    def _add_link(self, link: Link) -> None:
        if not link.outgoing:
            self._dialer.reset_backoff(link.peer_id)
        for replaced in self._links.add(link):
            self._background.spawn(replaced.close())
        self._enqueue(link, self._heartbeat())
        now_ms = self._clock.now_ms()
        self._publish_changes(
            self._membership.on_connection(link.peer_id, True, now_ms), notify=True
        )

    def _remove_link(self, link: Link) -> None:
        if self._links.remove(link):
            self._correlator.fail(link.peer_id)
            now_ms = self._clock.now_ms()
            changes = self._membership.on_connection(link.peer_id, False, now_ms)
            self._publish_changes(changes, notify=True)

    def _link_or_dial(self, instance_id: str) -> Link | None:
        link = self._links.preferred(instance_id)
        if link is None:
            self._dial(instance_id)
        return link

    def _dial(self, instance_id: str) -> None:
        member = self._membership.member(instance_id)
        if member is None or not member.peer_address or self._faults.is_partitioned(member.domain):
            return
        self._dialer.dial(instance_id, member.peer_address)

    async def _await_link(self, instance_id: str) -> Link | None:
        link = self._link_or_dial(instance_id)
        if link is not None:
            return link
        await self._dialer.wait_for_attempt(instance_id)
        return self._links.preferred(instance_id)

    # Messages

    def _enqueue(self, link: Link, message: object) -> bool:
        if not isinstance(message, Heartbeat):
            link.last_used_ms = self._clock.now_ms()
        if link.put(message):
            return True
        self._dropped_messages.inc(reason="queue_full")
        return False

    async def _request_over_link(self, link: Link, message: object) -> Result[Any, PeerError]:
        correlation, future = self._correlator.open(link.peer_id)
        try:
            if not self._enqueue(link, Request(correlation, MESSAGES.to_items(message))):
                return Err(peer_error(link.peer_id, "the send queue is full", sent=False))
            return await future
        finally:
            self._correlator.close(correlation)

    async def _request_self(self, message: object, timeout_ms: float) -> Result[Any, PeerError]:
        request = Request(0, MESSAGES.to_items(message))
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return result_of(
                    self._own_id, await self._dispatcher.reply_to(self._own_id, request)
                )
        except TimeoutError:
            return Err(peer_error(self._own_id, f"no reply within {timeout_ms:.0f} ms"))

    def _on_message(self, link: Link, message: Any) -> None:
        now_ms = self._clock.now_ms()
        link.last_received_ms = now_ms
        if isinstance(message, Heartbeat):
            link.peer_domain = message.domain
            changes = self._membership.on_heartbeat(link.peer_id, message, now_ms)
            changes += self._membership.on_connection(link.peer_id, True, now_ms)
            self._publish_changes(changes)
            return
        link.last_used_ms = now_ms
        if isinstance(message, Reply):
            self._correlator.resolve(link.peer_id, message)
        else:
            self._dispatcher.deliver(link.peer_id, message)

    # Membership

    def _on_instance_list(self) -> None:
        listed = self._instances.instances(InstanceRole.ENTRY)
        self._publish_changes(self._membership.on_platform_list(listed, self._clock.now_ms()))
        self._connect_to_targets()

    async def _heartbeat_loop(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / MS_PER_S)
            self._faults.read()
            self._refresh_own_member()
            self._send_heartbeats()
            self._publish_changes(self._membership.advance(self._clock.now_ms()))
            self._connect_to_targets()
            self._close_unused_links()

    def _refresh_own_member(self) -> None:
        state = self._local_state()
        self._membership.set_self(self.bound_address, state.admin_address, leaving=self._is_leaving)
        if state.leader_epoch:
            self._membership.set_leader(self._domain, state.leader_epoch, state.leader)

    def _heartbeat(self) -> Heartbeat:
        state = self._local_state()
        return Heartbeat(
            self._domain,
            self.bound_address,
            state.admin_address,
            state.leader,
            state.leader_epoch,
            self._is_leaving,
            state.ticket,
            self._membership.relays(),
            state.stale_since_ms,
        )

    def _send_heartbeats(self) -> None:
        heartbeat = self._heartbeat()
        for link in self._links.all_preferred():
            self._enqueue(link, heartbeat)

    def _connect_to_targets(self) -> None:
        targets = self._membership.dial_targets(self._dialer.unreachable())
        for instance_id in targets:
            if instance_id not in self._links:
                self._dial(instance_id)

    def _close_unused_links(self) -> None:
        dial_targets = self._membership.dial_targets()
        now_ms = self._clock.now_ms()
        for link in self._links:
            silent = now_ms - link.last_received_ms > SILENCE_FACTOR * self._settings.suspect_ms
            idle = now_ms - link.last_used_ms > IDLE_TIMEOUT_MS
            if silent or (link.outgoing and idle and link.peer_id not in dial_targets):
                self._background.spawn(link.close())

    def _publish_changes(self, changes: list[MemberChanged], *, notify: bool = False) -> None:
        self._open_connections.set(float(len(self._links)))
        for change in changes:
            state = change.state or "gone"
            logger.info(
                "member state changed", peer=change.instance_id, state=state, cause=change.cause
            )
            if change.state is None:
                self._dialer.reset_backoff(change.instance_id)
            self._on_member_change(change)
        if changes or notify:
            for callback in self._subscribers:
                callback()

    def _frame_header(self) -> tuple[str, int]:
        return self._own_id, self._local_state().leader_epoch

    def _is_partitioned(self, link: Link) -> bool:
        return self._faults.is_partitioned(link.peer_domain)

    def _count_bytes(self, peer: str, direction: str, size: int) -> None:
        self._bytes.inc(size, peer=peer, direction=direction)

    def _count_bad_frame(self, peer: str, cause: str) -> None:
        self._bad_frames.inc(peer=peer)
        logger.warning("received a bad frame; closing the connection", peer=peer, cause=cause)

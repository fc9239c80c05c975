"""One open WebSocket connection to another entry instance."""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from result import Err
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed, ConnectionClosedError, PayloadTooBig
from websockets.frames import CloseCode

from nutmeglb._internal.peers.queue import SendQueue
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.wire.envelope import BATCH_TARGET_BYTES, decode_batch, encode_batch
from nutmeglb_formats.wire.registry import FRAME_LIMIT_BYTES, encode

logger = get_logger("peers")

CLOSE_TIMEOUT_S = 1.0


@dataclass(slots=True)
class LinkCallbacks:
    """Callbacks from a link to its owner.

    Attributes
    ----------
    on_message
        Called with the link and each received message.
    on_bytes
        Called with the peer, ``"sent"`` or ``"received"``, and a number of bytes.
    on_bad_frame
        Called with the peer and the cause before the connection is closed.
    is_partitioned
        Returns whether the fault switch drops all traffic to and from the peer.
    stamp_ms, observe
        Hybrid logical clock: ``stamp_ms`` returns the time for outgoing frames in milliseconds,
        ``observe`` receives the time on incoming ones.
    """

    on_message: Callable[["Link", Any], None]
    on_bytes: Callable[[str, str, int], None]
    on_bad_frame: Callable[[str, str], None]
    is_partitioned: Callable[["Link"], bool]
    stamp_ms: Callable[[], float]
    observe: Callable[[float], None]


class Link:
    """Peer connection: sends batches from a bounded queue and delivers received messages.

    Parameters
    ----------
    connection
        Open WebSocket connection, already authenticated.
    peer_id, peer_domain
        Identity of the other side.
    outgoing
        Whether this instance opened the connection.
    header
        Returns this instance's id and highest known epoch for the frames.
    queue_limit
        Maximum number of queued messages.
    """

    def __init__(
        self,
        connection: Connection,
        peer_id: str,
        peer_domain: str,
        *,
        outgoing: bool,
        header: Callable[[], tuple[str, int]],
        queue_limit: int,
        callbacks: LinkCallbacks,
        now_ms: float,
    ) -> None:
        self.peer_id = peer_id
        self.peer_domain = peer_domain
        self.outgoing = outgoing
        self.last_used_ms = now_ms
        self.last_received_ms = now_ms
        self._connection = connection
        self._frame_header = header
        self._queue = SendQueue(queue_limit)
        self._callbacks = callbacks
        self._send_task: asyncio.Task[None] | None = None

    def put(self, message: object) -> bool:
        """Queue a message. Return false when the queue is full."""
        return self._queue.put(message)

    async def run(self) -> None:
        """Send and receive until the connection closes."""
        self._send_task = asyncio.create_task(self._send_loop())
        try:
            await self._receive_loop()
        except ConnectionClosed as error:
            self._report_oversized(error)
        finally:
            self._send_task.cancel()
            await self.close()

    async def close(self, code: int = CloseCode.NORMAL_CLOSURE) -> None:
        """Close the connection, or abort it when the peer does not confirm in time."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._connection.close(code)
        except TimeoutError:
            self._connection.transport.abort()

    async def _receive_loop(self) -> None:
        async for data in self._connection:
            if self._callbacks.is_partitioned(self):
                continue
            self._callbacks.on_bytes(self.peer_id, "received", len(data))
            if not self._deliver(data):
                await self.close(CloseCode.INVALID_DATA)
                return

    def _deliver(self, data: str | bytes) -> bool:
        if isinstance(data, str):
            self._callbacks.on_bad_frame(self.peer_id, "a text frame instead of a binary one")
            return False
        batch = decode_batch(data)
        if isinstance(batch, Err):
            self._callbacks.on_bad_frame(self.peer_id, str(batch.err_value))
            return False
        if any(envelope.sender != self.peer_id for envelope in batch.ok_value):
            self._callbacks.on_bad_frame(self.peer_id, "the sender in a frame is not the peer")
            return False
        for envelope in batch.ok_value:
            self._callbacks.observe(envelope.sent_ms)
            self._callbacks.on_message(self, envelope.message)
        return True

    async def _send_loop(self) -> None:
        while True:
            messages = await self._queue.take_all()
            for batch in self._encode_batches(messages):
                if self._callbacks.is_partitioned(self):
                    continue
                try:
                    await self._connection.send(batch)
                except ConnectionClosed:
                    return
                self._callbacks.on_bytes(self.peer_id, "sent", len(batch))

    def _encode_batches(self, messages: Sequence[object]) -> Iterator[bytes]:
        sender, epoch = self._frame_header()
        sent_ms = self._callbacks.stamp_ms()
        frames: list[bytes] = []
        size = 0
        for message in messages:
            frame = encode(message, sender=sender, epoch=epoch, sent_ms=sent_ms)
            if len(frame) > FRAME_LIMIT_BYTES:
                logger.error(
                    "dropped a message that exceeds the frame limit", type=type(message).__name__
                )
                continue
            if frames and size + len(frame) > BATCH_TARGET_BYTES:
                yield encode_batch(frames)
                frames, size = [], 0
            frames.append(frame)
            size += len(frame)
        if frames:
            yield encode_batch(frames)

    def _report_oversized(self, error: ConnectionClosed) -> None:
        is_oversized = isinstance(error.__cause__, PayloadTooBig) or (
            isinstance(error, ConnectionClosedError)
            and error.sent is not None
            and error.sent.code == CloseCode.MESSAGE_TOO_BIG
        )
        if is_oversized:
            self._callbacks.on_bad_frame(self.peer_id, "oversized")

"""Batches the slot messages of an event loop iteration by receiving instance."""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from nutmeglb._internal.context import Context
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.wire.registry import MESSAGES
from nutmeglb_formats.wire.routing import RoutingBatch

logger = get_logger("routing")
# Bounds the size of a frame: a slot message takes about 200 bytes.
MAX_BATCH_MESSAGES = 500

MessageReceiver = Callable[[str, Any], None]


class Outbox:
    """Sends and receives batches of slot messages.

    Parameters
    ----------
    receive
        Called with sender and message for every received message, including those that this
        instance sends to itself.
    """

    def __init__(self, ctx: Context, receive: MessageReceiver) -> None:
        self._ctx = ctx
        self._receive = receive
        self._queued: dict[str, list[Any]] = {}
        self._is_flush_scheduled = False
        ctx.peers.on(RoutingBatch, self._on_batch)

    def send(self, instance_id: str, message: object) -> None:
        """Queue a message, which is sent in the next iteration of the event loop."""
        self._queued.setdefault(instance_id, []).append(message)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        queued, self._queued = self._queued, {}
        for instance_id, messages in queued.items():
            if instance_id == self._ctx.instance_id:
                for message in messages:
                    self._receive(instance_id, message)
                continue
            for start in range(0, len(messages), MAX_BATCH_MESSAGES):
                batch_messages = messages[start : start + MAX_BATCH_MESSAGES]
                batch = RoutingBatch(tuple(MESSAGES.to_items(item) for item in batch_messages))
                self._ctx.peers.send(instance_id, batch)

    def _on_batch(self, sender: str, batch: RoutingBatch) -> None:
        decoded = [MESSAGES.from_items(items) for items in batch.items]
        errors = [item.err_value for item in decoded if isinstance(item, Err)]
        if errors:
            logger.warning(
                "dropped a batch with a malformed message", sender=sender, cause=errors[0]
            )
            return
        for item in decoded:
            self._receive(sender, item.unwrap())

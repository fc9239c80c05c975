"""Dispatch of received messages to handlers, and replies to requests."""

import inspect
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.context import Handler
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import NutmegError
from nutmeglb_formats.wire.membership import Reply, Request
from nutmeglb_formats.wire.registry import MESSAGES

logger = get_logger("peers")

MAX_TRACEBACK_ENTRIES = 4


class MessageDispatcher:
    """Calls the handler of each message type.

    A failing handler is logged and does not affect the connection.

    Parameters
    ----------
    send
        Sends a message to an instance.
    """

    def __init__(self, send: Callable[[str, object], None], background: BackgroundTasks) -> None:
        self._send = send
        self._background = background
        self._handlers: dict[type[Any], Handler] = {}

    def on(self, message_type: type[Any], handler: Handler) -> None:
        """Set the handler of a message type."""
        self._handlers[message_type] = handler

    def deliver(self, sender: str, message: Any) -> None:
        """Call the handler of a message. Its result is sent back only for a request."""
        if isinstance(message, Request):
            self._background.spawn(self._send_reply(sender, message))
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            logger.warning(
                "dropped a message that has no handler", type=type(message).__name__, peer=sender
            )
            return
        try:
            outcome = handler(sender, message)
        except Exception as error:
            _log_failure(message, error)
            return
        if inspect.isawaitable(outcome):
            self._background.spawn(self._await_handler(message, outcome))

    async def reply_to(self, sender: str, request: Request) -> Reply:
        """Return the reply to a request. An error of the handler becomes an error reply."""
        decoded = MESSAGES.from_items(request.body)
        if isinstance(decoded, Err):
            return Reply(request.correlation, [], decoded.err_value)
        message = decoded.ok_value
        handler = self._handlers.get(type(message))
        if handler is None:
            return Reply(request.correlation, [], "the peer has no handler for the message")
        try:
            outcome = handler(sender, message)
            handler_result = await outcome if inspect.isawaitable(outcome) else outcome
        except NutmegError as refusal:
            # A refusal is a valid reply: the requesting peer decides how to proceed.
            logger.info(
                "the handler refused a request", type=type(message).__name__, cause=str(refusal)
            )
            return Reply(request.correlation, [], f"refused: {refusal.message}")
        except Exception as error:
            _log_failure(message, error)
            return Reply(request.correlation, [], f"the handler failed: {type(error).__name__}")
        return Reply(
            request.correlation,
            MESSAGES.to_items(handler_result) if handler_result is not None else [],
        )

    async def _send_reply(self, sender: str, request: Request) -> None:
        self._send(sender, await self.reply_to(sender, request))

    async def _await_handler(self, message: Any, outcome: Awaitable[object | None]) -> None:
        try:
            await outcome
        except Exception as error:
            _log_failure(message, error)


def _log_failure(message: Any, error: Exception) -> None:
    cause = "".join(traceback.format_exception(error)[-MAX_TRACEBACK_ENTRIES:])
    logger.error(
        "the handler of a message failed; the connection stays open",
        type=type(message).__name__,
        cause=cause,
    )

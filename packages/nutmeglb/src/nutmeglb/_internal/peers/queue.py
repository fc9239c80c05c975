"""Bounded send queue of one peer connection."""

import asyncio
from collections.abc import Hashable

from nutmeglb_formats.wire.registry import MESSAGES


class SendQueue:
    """Bounded queue of outgoing messages, in order of arrival.

    A queued message of a type marked ``latest_wins`` is replaced by a newer one of the same type.
    A message class may define ``latest_key`` to keep one queued message for each of its values.

    Parameters
    ----------
    limit
        Maximum number of queued messages.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: dict[Hashable, object] = {}
        self._next_key = 0
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: object) -> bool:
        """Queue a message. Return false when the queue is full."""
        key = self._key_of(message)
        if key not in self._messages and len(self._messages) >= self._limit:
            return False
        self._messages[key] = message
        self._not_empty.set()
        return True

    async def take_all(self) -> list[object]:
        """Wait until the queue is not empty, then remove and return everything."""
        await self._not_empty.wait()
        self._not_empty.clear()
        messages = list(self._messages.values())
        self._messages.clear()
        return messages

    def _key_of(self, message: object) -> Hashable:
        if MESSAGES.entry_of(message).latest_wins:
            return (type(message), getattr(message, "latest_key", None))
        self._next_key += 1
        return self._next_key

"""Limit of the concurrent orders to one worker."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class OrderSlots:
    """Lets a limited number of orders be in progress. Urgent ones go first, the others in turn.

    Parameters
    ----------
    count
        Number of orders that may be in progress.
    """

    def __init__(self, count: int) -> None:
        self._free = count
        self._urgent: deque[asyncio.Future[None]] = deque()
        self._others: deque[asyncio.Future[None]] = deque()

    @asynccontextmanager
    async def reserve(self, *, is_urgent: bool) -> AsyncIterator[None]:
        """Wait for a slot, and keep it until the context ends."""
        await self._acquire(self._urgent if is_urgent else self._others)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, queue: deque[asyncio.Future[None]]) -> None:
        if self._free:
            self._free -= 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            # The slot may have been handed over just before the cancellation.
            if not turn.cancelled():
                self._release()
            raise

    def _release(self) -> None:
        for queue in (self._urgent, self._others):
            while queue:
                turn = queue.popleft()
                if not turn.done():
                    turn.set_result(None)
                    return
        self._free += 1

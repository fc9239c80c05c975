"""Loops that keep one worker agent in sync with the scheduler."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from nutmeglb._internal.agents.client import AgentClient
from nutmeglb_formats.models.agent import SyncRequest, SyncResponse

MS_PER_S = 1_000.0
INITIAL_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 2_000.0
# An agent ignores the commands of a request that arrives after a later one. Starts that are still
# unconfirmed after this delay are sent again.
RESEND_DELAY_MS = 20.0


@dataclass(frozen=True, slots=True)
class SyncCallbacks:
    """Callbacks of the job service that the sync loops use.

    Attributes
    ----------
    may_send
        Returns whether this instance has authority now. Called immediately before every request.
    request
        Returns the next request to a worker, for a long poll of the given milliseconds, or
        ``None`` to send nothing.
    received
        Called with the response of a worker.
    failed
        Called after a failed call to a worker.
    has_unconfirmed_starts
        Returns whether a worker has yet to confirm the start of a task.
    """

    may_send: Callable[[], bool]
    request: Callable[[str, float], SyncRequest | None]
    received: Callable[[str, SyncResponse], None]
    failed: Callable[[str], None]
    has_unconfirmed_starts: Callable[[str], bool]


class WorkerSync:
    """Keeps one long-poll request and at most one command request to a worker in flight.

    Parameters
    ----------
    wait_ms
        Longest time in milliseconds for which the agent may delay the response to a long poll.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        client: AgentClient,
        port: SyncCallbacks,
        rng: random.Random,
        wait_ms: float,
    ) -> None:
        self.address = address
        self._worker = worker
        self._client = client
        self._callbacks = port
        self._rng = rng
        self._long_poll_ms = wait_ms
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def reachable(self) -> bool:
        """Return whether the last long poll succeeded."""
        return self._reachable

    _reachable = False

    def start(self) -> None:
        """Start both loops."""
        self._tasks = [
            asyncio.create_task(self._poll_loop()),
            asyncio.create_task(self._command_loop()),
        ]

    def wake(self) -> None:
        """Send pending commands immediately."""
        self._wake.set()

    def stop(self) -> None:
        """Stop both loops. Requests in flight are abandoned."""
        for task in self._tasks:
            task.cancel()

    async def _poll_loop(self) -> None:
        retry_delay_ms = INITIAL_RETRY_DELAY_MS
        while True:
            self._reachable = await self._sync(self._long_poll_ms)
            if self._reachable:
                retry_delay_ms = INITIAL_RETRY_DELAY_MS
                continue
            await asyncio.sleep(retry_delay_ms * self._rng.uniform(0.5, 1.0) / MS_PER_S)
            retry_delay_ms = min(2 * retry_delay_ms, MAX_RETRY_DELAY_MS)

    async def _command_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            # While the worker is unreachable, the retries of the long poll carry the commands.
            if (
                self._reachable
                and await self._sync(0.0)
                and self._callbacks.has_unconfirmed_starts(self._worker)
            ):
                await asyncio.sleep(RESEND_DELAY_MS / MS_PER_S)
                self._wake.set()

    async def _sync(self, wait_ms: float) -> bool:
        if not self._callbacks.may_send():
            return False
        request = self._callbacks.request(self._worker, wait_ms)
        if request is None:
            return False
        result = await self._client.sync(self.address, request)
        if not isinstance(result, Ok):
            self._callbacks.failed(self._worker)
            return False
        self._callbacks.received(self._worker, result.ok_value)
        return True

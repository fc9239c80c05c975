"""Outgoing connections to other entry instances, with backoff."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from nutmeglb._internal.peers.handshake import PEER_PATH
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.wire.envelope import BATCH_LIMIT_BYTES

logger = get_logger("peers")

OPEN_TIMEOUT_S = 2.0
MIN_DELAY_MS = 50.0
BACKOFF_FACTOR = 2.0


class Dialer:
    """Opens at most one outgoing connection to each instance.

    Failed attempts to the same instance are spaced by exponential backoff with jitter, so that
    instances do not reconnect at the same time after an outage.

    Parameters
    ----------
    headers
        Request headers of the handshake.
    max_delay_ms
        Longest delay between two attempts in milliseconds.
    on_connection
        Runs a connection until it closes. Receives the connection and the instance id.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        headers: dict[str, str],
        max_delay_ms: float,
        on_connection: Callable[[ClientConnection, str], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._headers = headers
        self._max_delay_ms = max_delay_ms
        self._on_connection = on_connection
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._attempt_events: dict[str, asyncio.Event] = {}
        self._failure_counts: dict[str, int] = {}
        self._next_attempt_ms: dict[str, float] = {}

    def unreachable(self) -> set[str]:
        """Return the instances whose last attempt failed and whose backoff has not passed.

        Once the backoff has passed, an instance is a candidate again. Otherwise one failed attempt
        to every instance of a failure domain would make that domain permanently unreachable.
        """
        now_ms = self._clock.now_ms()
        return {i for i in self._failure_counts if now_ms < self._next_attempt_ms.get(i, 0.0)}

    def dial(self, instance_id: str, address: str) -> None:
        """Start an attempt unless a task for the instance is active or its backoff lasts."""
        if instance_id in self._tasks:
            return
        if self._clock.now_ms() < self._next_attempt_ms.get(instance_id, 0.0):
            return
        self._attempt_events[instance_id] = asyncio.Event()
        task = asyncio.create_task(self._run(instance_id, address))
        self._tasks[instance_id] = task
        task.add_done_callback(lambda _: self._on_task_done(instance_id))

    async def wait_for_attempt(self, instance_id: str) -> None:
        """Wait until the current attempt to an instance, if any, has succeeded or failed."""
        attempt = self._attempt_events.get(instance_id)
        if attempt is not None:
            await attempt.wait()

    def reset_backoff(self, instance_id: str) -> None:
        """Drop the backoff state of an instance, so that the next dial is not delayed."""
        self._failure_counts.pop(instance_id, None)
        self._next_attempt_ms.pop(instance_id, None)

    async def stop(self) -> None:
        """Cancel every attempt and connection."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, instance_id: str, address: str) -> None:
        try:
            connection = await self._open_connection(address)
        except (OSError, TimeoutError, WebSocketException) as error:
            self._record_failure(instance_id, address, error)
            return
        self.reset_backoff(instance_id)
        asyncio.get_running_loop().call_soon(self._attempt_events[instance_id].set)
        await self._on_connection(connection, instance_id)
        # A peer that accepts and immediately closes must not be dialled in a tight loop.
        self._set_backoff(instance_id, MIN_DELAY_MS)

    def _on_task_done(self, instance_id: str) -> None:
        self._tasks.pop(instance_id, None)
        self._attempt_events.pop(instance_id).set()

    async def _open_connection(self, address: str) -> ClientConnection:
        return await connect(
            f"ws://{address}{PEER_PATH}",
            additional_headers=self._headers,
            user_agent_header=None,
            compression=None,
            ping_interval=None,
            open_timeout=OPEN_TIMEOUT_S,
            max_size=BATCH_LIMIT_BYTES,
            proxy=None,
        )

    def _record_failure(self, instance_id: str, address: str, error: Exception) -> None:
        failures = self._failure_counts.get(instance_id, 0) + 1
        self._failure_counts[instance_id] = failures
        bound_ms = min(self._max_delay_ms, MIN_DELAY_MS * BACKOFF_FACTOR**failures)
        self._set_backoff(instance_id, bound_ms)
        if failures == 1:
            logger.info(
                "cannot connect; retrying with backoff",
                peer=instance_id,
                address=address,
                cause=error,
            )

    def _set_backoff(self, instance_id: str, bound_ms: float) -> None:
        delay_ms = self._rng.uniform(MIN_DELAY_MS, max(MIN_DELAY_MS, bound_ms))
        self._next_attempt_ms[instance_id] = self._clock.now_ms() + delay_ms

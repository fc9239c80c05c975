"""Planned stop of an entry instance."""

import asyncio
import time
from collections.abc import Mapping

from nutmeglb._internal.lifecycle import Lifecycle
from nutmeglb._internal.settings.models import StopSection
from nutmeglb_formats.clock import Clock

BALANCER_NOTICE_MS = 200.0
MS_PER_S = 1_000.0
# Iterations of the event loop until a pending connection has been accepted and read.
ACCEPT_ITERATIONS = 4


class Listener:
    """Component that records when it stops accepting connections."""

    name = "listener"

    def __init__(self, order: list[str]) -> None:
        self._order = order

    async def start(self) -> None:
        pass

    async def drain(self, deadline_ms: float) -> None:
        self._order.append("listener closed")

    async def stop(self) -> None:
        pass

    def status(self) -> Mapping[str, object]:
        return {}


def test_connections_that_arrived_during_a_pause_are_accepted_before_the_listener_closes() -> None:
    """Guards against unread connections that are reset after a pause during the notice time."""
    order: list[str] = []

    async def accept() -> None:
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        order.append("connection accepted")

    async def main() -> None:
        stop = StopSection(balancer_notice_ms=BALANCER_NOTICE_MS)
        listener = Listener(order)
        lifecycle = Lifecycle(Clock(), stop, [listener], [listener], lambda: None)
        await lifecycle.start()
        drain = asyncio.create_task(lifecycle.drain())
        await asyncio.sleep(0)
        # Simulates a process that is paused for longer than the notice time.
        time.sleep(2 * BALANCER_NOTICE_MS / MS_PER_S)
        await asyncio.gather(accept(), drain)

    asyncio.run(main())
    assert order == ["connection accepted", "listener closed"]

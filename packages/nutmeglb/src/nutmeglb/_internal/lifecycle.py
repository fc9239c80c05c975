"""Start and planned stop of the components of an entry instance."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum

from nutmeglb._internal.context import Component
from nutmeglb._internal.settings.models import StopSection
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock

logger = get_logger("node")

MS_PER_S = 1_000.0
NOTICE_STEP_MS = 50.0
# A component that does not stop in this time is abandoned, so that the process always ends.
STOP_TIMEOUT_S = 5.0


class LifecycleState(StrEnum):
    """Stage of this instance's lifecycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle:
    """Starts components in order, and drains and stops them on a planned stop.

    Parameters
    ----------
    components
        In start order. They are stopped in reverse order.
    drain_order
        Components to drain, in order: first those that accept work, then those that finish it,
        then those that hold leases.
    on_draining
        Called when the planned stop begins, before the balancer's notice time.
    """

    def __init__(
        self,
        clock: Clock,
        settings: StopSection,
        components: Sequence[Component],
        drain_order: Sequence[Component],
        on_draining: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._components = list(components)
        self._drain_order = list(drain_order)
        self._on_draining = on_draining
        self._started: list[Component] = []
        self._state = LifecycleState.STARTING

    @property
    def state(self) -> LifecycleState:
        """Return the current stage."""
        return self._state

    async def start(self) -> None:
        """Start every component. If one fails, stop those that were started."""
        try:
            for component in self._components:
                await component.start()
                self._started.append(component)
        except BaseException:
            await self.stop()
            raise
        self._state = LifecycleState.SERVING

    async def drain(self) -> None:
        """Announce the stop, serve for the balancer's notice time and then drain the components."""
        self._state = LifecycleState.DRAINING
        logger.info("draining", balancer_notice_ms=self._settings.balancer_notice_ms)
        self._on_draining()
        await self._wait_for_balancer()
        deadline_ms = self._clock.now_ms() + self._settings.drain_limit_ms
        for component in self._drain_order:
            await self._drain_component(component, deadline_ms)

    async def _wait_for_balancer(self) -> None:
        """Serve for the notice time, counting only time in which the process ran.

        While the process is paused, the balancer does not notice the drain and still opens
        connections. Closing the listener directly after the pause would reset them unread.
        """
        remaining_ms = self._settings.balancer_notice_ms
        while remaining_ms > 0:
            step_ms = min(NOTICE_STEP_MS, remaining_ms)
            await asyncio.sleep(step_ms / MS_PER_S)
            remaining_ms -= step_ms

    async def stop(self) -> None:
        """Stop every started component in reverse order."""
        while self._started:
            component = self._started.pop()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await component.stop()
            except Exception as error:
                logger.error(
                    "component did not stop; continuing with the next one",
                    name=component.name,
                    cause=repr(error),
                )
        self._state = LifecycleState.STOPPED

    def status(self) -> dict[str, Mapping[str, object]]:
        """Return the status of every started component by name."""
        return {component.name: component.status() for component in self._started}

    async def _drain_component(self, component: Component, deadline_ms: float) -> None:
        remaining_s = max(0.0, deadline_ms - self._clock.now_ms()) / MS_PER_S
        try:
            async with asyncio.timeout(remaining_s + STOP_TIMEOUT_S):
                await component.drain(deadline_ms)
        except Exception as error:
            logger.error(
                "component did not drain; continuing with the next one",
                name=component.name,
                cause=repr(error),
            )

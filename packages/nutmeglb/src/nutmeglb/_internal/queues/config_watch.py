"""Watches the operators' configuration in the platform's store."""

import asyncio
from collections.abc import Callable

from result import Err

from nutmeglb._internal.queues.ports import Platform, Removal, StoredItem
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queues import Queue, QueueConfig

logger = get_logger("configuration")

# Each answered watch call also proves that the store is reachable, so calls are kept short.
WATCH_TIMEOUT_MS = 1_500
RETRY_MS = 150.0
MS_PER_S = 1_000.0


class ConfigWatch:
    """Newest configuration known to this instance. An older revision never replaces it.

    Parameters
    ----------
    on_change
        Called with each new configuration.
    on_unanswered
        Called when the store has not answered a call.

    Attributes
    ----------
    last_contact_ms
        Monotonic time of the latest answer of the store, ``None`` before the first.
    reachable
        Whether the latest call to the store was answered.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        on_change: Callable[[QueueConfig], None],
        on_unanswered: Callable[[], None],
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._on_change = on_change
        self._on_unanswered = on_unanswered
        self._revision = 0
        self.current: QueueConfig | None = None
        self.last_contact_ms: float | None = None
        self.reachable = False

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path, or ``None``."""
        if self.current is None:
            return None
        matching = [
            queue
            for queue in self.current.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def is_stale(self, limit_ms: float) -> bool:
        """Return whether the store last confirmed the configuration over ``limit_ms`` ago."""
        return (
            self.last_contact_ms is None or self._clock.now_ms() - self.last_contact_ms > limit_ms
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                answered = await (self._wait_for_change() if self.current else self._read())
            except Exception as error:
                # An instance that stopped watching would continue to use an outdated configuration.
                logger.error("configuration watch failed; retrying", cause=repr(error))
                answered = False
            self._record_contact(answered)
            if not answered:
                self._on_unanswered()
                await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _record_contact(self, answered: bool) -> None:
        if answered:
            self.last_contact_ms = self._clock.now_ms()
        if answered != self.reachable:
            self.reachable = answered
            logger.info("store reachable" if answered else "store does not answer; retrying")

    async def _read(self) -> bool:
        """Read the configuration, and the store revision from which to watch for changes.

        The revision of the configuration itself cannot be used for the watch, since it may be older
        than the history that the store keeps.
        """
        key = self._platform.config_key
        # With thousands of queues the transfer over a narrow link exceeds the timeout of a call.
        found = await self._platform.store.range(key, large=True)
        if isinstance(found, Err):
            return False
        item = next((item for item in found.ok_value.items if item.key == key), None)
        if item is None:
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            return True
        self._apply(item)
        self._revision = max(self._revision, found.ok_value.revision)
        return True

    async def _wait_for_change(self) -> bool:
        # After a failed call, the store answers without waiting, so that it counts as reachable
        # again immediately. The call may have failed because the transfer took too long.
        is_retry = not self.reachable
        found = await self._platform.store.changes(
            self._platform.config_key,
            self._revision,
            0 if is_retry else WATCH_TIMEOUT_MS,
            large=is_retry,
        )
        if isinstance(found, Err):
            return False
        if found.ok_value.history_lost:
            return await self._read()
        for change in found.ok_value.changes:
            if not isinstance(change, Removal) and change.key == self._platform.config_key:
                self._apply(change)
        self._revision = max(self._revision, found.ok_value.revision)
        return True

    def _apply(self, item: StoredItem) -> None:
        if self.current is not None and item.revision <= self.current.revision:
            return
        decoded = self._platform.decode_config(item)
        self._revision = max(self._revision, item.revision)
        if isinstance(decoded, Err):
            logger.error(
                "stored configuration is malformed; keeping the current one",
                cause=str(decoded.err_value),
            )
            return
        config = decoded.ok_value
        self.current = config
        logger.info(
            "configuration applied",
            version=config.version,
            revision=config.revision,
            queues=len(config.queues),
        )
        self._on_change(config)

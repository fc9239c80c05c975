"""Watches the operators' configuration in the platform's store."""

import asyncio
import math
from collections.abc import Callable

from result import Err

from nutmeglb._internal.queues.ports import Platform, Removal, StoredItem
from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import access
from nutmeglb_decisions.queues.access import AccessLimits, Admission, Denial, QueueIndex
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queues import QueueConfig

logger = get_logger("configuration")

# Each answered watch call also proves that the store is reachable, so calls are kept short.
WATCH_TIMEOUT_MS = 1_500
MIN_WAIT_MS = 100
# Part of the permitted lag that is reserved for the transfer of the store's answer, and its largest
# share.
TRANSFER_MARGIN_MS = 400.0
MAX_MARGIN_SHARE = 0.5
# Part of the permitted lag that is reserved for the call after an unanswered watch call.
READ_MARGIN_MS = 200.0
RETRY_MS = 150.0
# Of this many attempts without an answer, the last one is a read.
WATCHES_PER_READ = 3
MS_PER_S = 1_000.0


class ConfigWatch:
    """Newest configuration known to this instance. An older revision never replaces it.

    Parameters
    ----------
    on_change
        Called with each configuration when it takes effect.
    on_unanswered
        Called when the store has not answered a call.
    limits
        How long the configuration is relied on without the store.
    wait_ms
        Longest wait of a watch call for a change.
    on_answered
        Called with the monotonic time when the store has answered a call.

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
        limits: AccessLimits,
        wait_ms: int = WATCH_TIMEOUT_MS,
        on_answered: Callable[[float], None] = lambda _now_ms: None,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._on_change = on_change
        self._on_unanswered = on_unanswered
        self._limits = limits
        self._wait_ms = wait_ms
        self._on_answered = on_answered
        self._revision = 0
        self._seen_revision = 0
        self._malformed_revision = 0
        self._confirmed_ms = -math.inf
        self._is_confirmation_due = False
        self._index = QueueIndex()
        self._failures = 0
        self.current: QueueConfig | None = None
        self.last_contact_ms: float | None = None
        self.reachable = False

    @property
    def confirmed_age_ms(self) -> float:
        """Return the time in milliseconds since the store confirmed the current configuration.

        Infinite while a newer configuration is stored that cannot be decoded.
        """
        return self._clock.now_ms() - self._confirmed_ms

    def admit(self, host: str, path: str, key: str) -> Admission | Denial:
        """Decide on a call by the current configuration."""
        queue = self._index.find(host, path)
        return access.decide_access(self.current, queue, key, self.confirmed_age_ms, self._limits)

    def is_stale(self, limit_ms: float) -> bool:
        """Return whether the last contact with the store was over ``limit_ms`` ago."""
        return (
            self.last_contact_ms is None or self._clock.now_ms() - self.last_contact_ms > limit_ms
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            try:
                answered = await self._attempt()
            except Exception as error:
                # An instance that stopped watching would continue to use an outdated configuration.
                logger.error("configuration watch failed; retrying", cause=type(error).__name__)
                answered = False
            self._record_outcome(answered)
            if not answered:
                self._on_unanswered()
            # A call without an answer has lasted long already, so its retry is immediate.
            elapsed_ms = self._clock.now_ms() - started_ms
            if not answered and elapsed_ms < RETRY_MS:
                await asyncio.sleep((RETRY_MS - elapsed_ms) / MS_PER_S)

    async def _attempt(self) -> bool:
        """Call the store once, and return whether it answered.

        An instance that starts does not know the size of the configuration. Later, a watch allows
        for the transfer of one large version over a narrow link. If it fails repeatedly, there may
        be several versions to transfer, and only the current one is read.
        """
        if self.current is None:
            return await self._read(is_large=True)
        if self._failures % WATCHES_PER_READ != WATCHES_PER_READ - 1:
            return await self._wait_for_change()
        return await self._read(is_large=self._failures // WATCHES_PER_READ % 2 == 1)

    def _record_outcome(self, answered: bool) -> None:
        self._failures = 0 if answered else self._failures + 1
        if answered != self.reachable:
            self.reachable = answered
            logger.info("store reachable" if answered else "store does not answer; retrying")

    def _record_contact(self) -> float:
        """Record an answer of the store, and return the monotonic time."""
        self.last_contact_ms = self._clock.now_ms()
        self._on_answered(self.last_contact_ms)
        return self.last_contact_ms

    async def _read(self, *, is_large: bool) -> bool:
        """Read the configuration, and the store revision from which to watch for changes.

        The revision of the configuration itself cannot be used for the watch, since it may be older
        than the history that the store keeps.

        Parameters
        ----------
        is_large
            Whether to allow for the transfer of a large configuration over a narrow link.
        """
        key, started_ms = self._platform.config_key, self._clock.now_ms()
        found = await self._platform.store.range(key, large=is_large)
        if isinstance(found, Err):
            return False
        self._record_contact()
        item = next((item for item in found.ok_value.items if item.key == key), None)
        if item is None:
            await asyncio.sleep(RETRY_MS / MS_PER_S)
            return True
        await self._apply(item)
        self._confirm(started_ms)
        self._is_confirmation_due = True
        self._revision = max(self._revision, found.ok_value.revision)
        return True

    async def _wait_for_change(self) -> bool:
        started_ms = self._clock.now_ms()
        # After an unanswered call the store answers without waiting for a change, so that this
        # instance is ready again as soon as it reaches the store. The transfer of a version takes
        # time, in which there may have been another one.
        polls = self._is_confirmation_due or not self.reachable
        self._is_confirmation_due = False
        found = await self._platform.store.changes(
            self._platform.config_key, self._revision, 0 if polls else self._wait_ms, large=True
        )
        if isinstance(found, Err):
            return False
        answered_ms = self._record_contact()
        if found.ok_value.history_lost:
            return await self._read(is_large=True)
        versions = [
            change
            for change in found.ok_value.changes
            if not isinstance(change, Removal) and change.key == self._platform.config_key
        ]
        # Each version is complete, so that only the last one counts.
        for item in versions[-1:]:
            await self._apply(item)
        self._is_confirmation_due = bool(versions)
        self._confirm(started_ms if versions else answered_ms)
        self._revision = max(self._revision, found.ok_value.revision)
        return True

    def _confirm(self, answered_ms: float) -> None:
        """Record that the current configuration was the newest one at a time, if it was."""
        if self.current is not None and self.current.revision >= self._seen_revision:
            self._confirmed_ms = answered_ms
        else:
            self._confirmed_ms = -math.inf

    async def _apply(self, item: StoredItem) -> None:
        if self.current is not None and item.revision <= self.current.revision:
            return
        if item.revision == self._malformed_revision:
            return
        self._seen_revision = max(self._seen_revision, item.revision)
        decoded = await self._platform.decode_config(item)
        if isinstance(decoded, Err):
            self._malformed_revision = item.revision
            logger.error(
                "stored configuration is malformed; keeping the current one",
                cause=str(decoded.err_value),
            )
            return
        config = decoded.ok_value
        self._index = QueueIndex(config.queues)
        self.current = config
        logger.info(
            "configuration applied",
            version=config.version,
            revision=config.revision,
            queues=len(config.queues),
            teams=len(config.teams or ()),
            keys=len(config.team_names_by_key),
        )
        self._on_change(config)


def limits_from(settings: QueueSettings) -> AccessLimits:
    """Return how long an instance with these settings relies on its configuration."""
    revoke_ms = settings.teams.revoke_ms
    return AccessLimits(
        negative_age_ms=_without_margin(settings.configuration.max_lag_ms),
        known_key_age_ms=_without_margin(revoke_ms) if revoke_ms else math.inf,
        key_required=settings.teams.key_required,
    )


def wait_within(settings: QueueSettings) -> int:
    """Return the longest wait in milliseconds of a watch call.

    A call on a connection that went silent takes its wait and the timeout of a call. The read that
    follows it has to end within the permitted lag.
    """
    detected_ms = settings.configuration.max_lag_ms - READ_MARGIN_MS
    wait_ms = int(detected_ms - settings.store.call_timeout_ms)
    return min(WATCH_TIMEOUT_MS, max(MIN_WAIT_MS, wait_ms))


def _without_margin(duration_ms: float) -> float:
    return duration_ms - min(TRANSFER_MARGIN_MS, MAX_MARGIN_SHARE * duration_ms)

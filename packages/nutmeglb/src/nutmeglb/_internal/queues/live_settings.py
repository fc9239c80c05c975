"""Settings that are reloaded from their file while the process runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from result import Err, Result

from nutmeglb._internal.queues.settings import QueueSettings
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_formats.exceptions import SettingsError

logger = get_logger("settings")

SettingsLoader = Callable[[Path], Result[QueueSettings, tuple[SettingsError, ...]]]

# Keys that take effect without a restart. Leases and addresses require one, since other processes
# rely on them and they depend on each other.
LIVE_KEYS = frozenset(
    {
        "queues.list_ms",
        "queues.inbox_ms",
        "queues.status_s",
        "log.lines_per_s",
        "stop.balancer_notice_ms",
        "stop.drain_limit_ms",
    }
)
# Interval at which the file is checked for changes that were not signalled.
POLL_INTERVAL_MS = 2_000.0
MS_PER_S = 1_000.0


class LiveSettings:
    """The current settings, which a changed file replaces in part.

    Parameters
    ----------
    path, load
        Settings file and the function that reads it. Without a file the settings never change.
    """

    def __init__(
        self, settings: QueueSettings, path: Path | None = None, load: SettingsLoader | None = None
    ) -> None:
        self._current = settings
        self._path = path
        self._load = load
        self._last_file_version: tuple[int, int] | None = None
        self._last_file_version = self._file_version()

    @property
    def current(self) -> QueueSettings:
        """Return the current settings."""
        return self._current

    def reload(self) -> None:
        """Read the file again and apply the keys that need no restart."""
        if self._path is None or self._load is None:
            logger.info("settings not reloaded: the process was started without a settings file")
            return
        self._last_file_version = self._file_version()
        loaded = self._load(self._path)
        if isinstance(loaded, Err):
            for error in loaded.err_value:
                logger.error("invalid settings; keeping the current ones", cause=str(error))
            return
        changed = _changed_keys(self._current, loaded.ok_value)
        live = [key for key in changed if key in LIVE_KEYS]
        self._current = _apply_live_keys(self._current, loaded.ok_value, live)
        waiting = [key for key in changed if key not in LIVE_KEYS]
        logger.info("settings reloaded", applied=live, after_restart=waiting)

    async def watch_file(self) -> None:
        """Reload the file when it changes, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
            if self._file_version() != self._last_file_version:
                self.reload()

    def _file_version(self) -> tuple[int, int] | None:
        if self._path is None:
            return None
        try:
            status = self._path.stat()
        except OSError:
            # The file may be being replaced; the next poll checks it again.
            return self._last_file_version
        return status.st_mtime_ns, status.st_size


def _flatten(settings: QueueSettings) -> dict[str, object]:
    return {
        f"{section}.{key}": value
        for section, keys in settings.model_dump().items()
        for key, value in keys.items()
    }


def _changed_keys(current: QueueSettings, updated: QueueSettings) -> list[str]:
    values = _flatten(updated)
    return [key for key, value in _flatten(current).items() if values[key] != value]


def _apply_live_keys(
    current: QueueSettings, updated: QueueSettings, keys: list[str]
) -> QueueSettings:
    """Return the current settings with some keys taken from the updated ones."""
    values, given = current.model_dump(), updated.model_dump()
    for name in keys:
        section, _, key = name.partition(".")
        values[section][key] = given[section][key]
    return QueueSettings.model_validate(values)

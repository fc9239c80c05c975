"""Logs as JSON lines through eliot.

Each module has ``logger = get_logger("<component>")``, or a ``logging`` logger named after the
module, whose records ``bridge.install`` passes on. The text of a line starts with the fixed prefix
of the component. Repeats are rate-limited, and secrets are redacted before a line is written.
"""

import sys
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import IO, Any

import eliot

from nutmeglb._internal.telemetry.standard_output import StandardOutput
from nutmeglb_formats.clock import Clock

REDACTED = "[secret]"
SECRET_NAMES = ("token", "secret", "authorization", "password")
TEXT_LIMIT_CHARACTERS = 2_000
REPEAT_BURST = 5
REPEAT_WINDOW_MS = 10_000.0
# Bounds memory when texts contain varying values.
MAX_REPEAT_KEYS = 1_000
MS_PER_S = 1_000


class Level(IntEnum):
    """Severity of a line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


@dataclass(slots=True)
class _RepeatCounts:
    window_start_ms: float
    written: int = 0
    suppressed: int = 0


class LogOutput:
    """Destination of all loggers of the process.

    Parameters
    ----------
    level
        Lowest level that is written.
    secrets
        Values that are redacted wherever they occur in a line.
    """

    def __init__(
        self, clock: Clock, level: Level = Level.INFO, secrets: Iterable[str] = ()
    ) -> None:
        self._clock = clock
        self._level = level
        self._secrets = tuple(sorted(filter(None, secrets), key=len, reverse=True))
        self._repeats: OrderedDict[tuple[str, str], _RepeatCounts] = OrderedDict()
        self._eliot = eliot.Logger()

    def is_enabled(self, level: Level) -> bool:
        """Return whether lines of a level are written."""
        return level >= self._level

    def write(
        self,
        component: str,
        level: Level,
        text: str,
        fields: Mapping[str, object],
        repeat_key: str | None = None,
    ) -> None:
        """Write one line, unless its level is too low or it repeats too often.

        Lines with the same component and ``repeat_key`` count as repeats. The key defaults to the
        text.
        """
        if not self.is_enabled(level):
            return
        suppressed = self._admit(component, text if repeat_key is None else repeat_key)
        if suppressed is None:
            return
        line = {name: self.redact(name, value) for name, value in fields.items()}
        if suppressed:
            line["suppressed"] = suppressed
        text = self.redact("text", f"{component}: {text}")
        self.write_raw({"level": level.name.lower(), "text": text, **line}, component)

    def write_raw(self, line: dict[str, Any], message_type: str) -> None:
        """Write a line whose fields have already been redacted."""
        line["message_type"] = message_type
        line["timestamp"] = self._clock.wall_ms() / MS_PER_S
        self._eliot.write(line)

    def redact(self, name: str, value: object) -> Any:
        """Return a JSON value with secrets redacted and long texts truncated."""
        if any(secret_name in name.lower() for secret_name in SECRET_NAMES):
            return REDACTED
        if value is None or isinstance(value, bool | int | float):
            return value
        if isinstance(value, Mapping):
            return {str(key): self.redact(str(key), item) for key, item in value.items()}
        if isinstance(value, list | tuple | set | frozenset):
            return [self.redact(name, item) for item in value]
        text = str(value)
        for secret in self._secrets:
            if secret in text:
                text = text.replace(secret, REDACTED)
        return text[:TEXT_LIMIT_CHARACTERS]

    def _admit(self, component: str, text: str) -> int | None:
        """Return the number of suppressed repeats, or ``None`` when the line is suppressed."""
        now_ms = self._clock.now_ms()
        key = (component, text)
        repeats = self._repeats.get(key)
        if repeats is None or now_ms - repeats.window_start_ms >= REPEAT_WINDOW_MS:
            suppressed = repeats.suppressed if repeats else 0
            self._repeats[key] = _RepeatCounts(now_ms, written=1)
            self._repeats.move_to_end(key)
            if len(self._repeats) > MAX_REPEAT_KEYS:
                self._repeats.popitem(last=False)
            return suppressed
        if repeats.written < REPEAT_BURST:
            repeats.written += 1
            return 0
        repeats.suppressed += 1
        return None


_output = LogOutput(Clock())


class ComponentLogger:
    """Writes lines with the fixed prefix of a component."""

    def __init__(self, component: str) -> None:
        self._component = component

    def debug(self, text: str, **fields: object) -> None:
        """Write a line for developers."""
        _output.write(self._component, Level.DEBUG, text, fields)

    def info(self, text: str, **fields: object) -> None:
        """Write a line about normal operation."""
        _output.write(self._component, Level.INFO, text, fields)

    def warning(self, text: str, **fields: object) -> None:
        """Write a line about a fault that was handled."""
        _output.write(self._component, Level.WARNING, text, fields)

    def error(self, text: str, **fields: object) -> None:
        """Write a line about a fault that needs an operator."""
        _output.write(self._component, Level.ERROR, text, fields)


def get_logger(component: str) -> ComponentLogger:
    """Return the logger of a component. Its lines start with ``<component>: ``."""
    return ComponentLogger(component)


def current_output() -> LogOutput:
    """Return the process's log output."""
    return _output


def set_output(output: LogOutput) -> LogOutput:
    """Replace the process's log output and return the previous one."""
    global _output
    previous, _output = _output, output
    return previous


def configure(
    *,
    clock: Clock,
    level: str,
    file: str,
    instance_id: str,
    secrets: Iterable[str],
    stream: IO[bytes] | StandardOutput | None = None,
) -> LogOutput:
    """Send the process's log to a stream, a file, or standard error when neither is given.

    Raises
    ------
    OSError
        When the file cannot be opened for appending.
    """
    if stream is None:
        stream = Path(file).open("ab") if file else sys.stderr  # type: ignore[assignment]  # noqa: SIM115
    eliot.to_file(stream)
    eliot.add_global_fields(instance=instance_id)
    set_output(LogOutput(clock, Level[level.upper()], secrets))
    return _output

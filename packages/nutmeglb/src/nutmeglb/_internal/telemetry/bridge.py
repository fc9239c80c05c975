"""Forwards records of ``logging`` loggers, including those of libraries, to the log output."""

import logging

from nutmeglb._internal.telemetry.logs import Level, LogOutput

PACKAGE_PREFIX = "nutmeglb._internal."
# These write a line for every request or connection at level info. Those of ``tornado.general``
# contain malformed headers, in which there may be a caller's key.
QUIETED_LOGGERS = ("tornado.access", "tornado.general", "websockets", "asyncio")
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class BridgeHandler(logging.Handler):
    """Writes records with the prefix of their component.

    ``extra`` arguments become fields of the line. Repeats are detected by the message before its
    arguments are inserted.
    """

    def __init__(self, output: LogOutput) -> None:
        super().__init__()
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record. Never raises."""
        try:
            fields = {k: v for k, v in vars(record).items() if k not in _STANDARD_ATTRIBUTES}
            if record.exc_info and record.exc_info[1] is not None:
                fields["exception"] = repr(record.exc_info[1])
                fields["traceback"] = logging.Formatter().formatException(record.exc_info)
            self._output.write(
                component_of(record.name),
                _level(record.levelno),
                record.getMessage(),
                fields,
                repeat_key=str(record.msg),
            )
        except Exception:
            self.handleError(record)


def component_of(logger_name: str) -> str:
    """Return the fixed prefix for a logger name, such as ``routing``."""
    return logger_name.removeprefix(PACKAGE_PREFIX).split(".")[0]


def install(output: LogOutput, level: str) -> None:
    """Send all records of the process to the output."""
    root = logging.getLogger()
    root.handlers = [BridgeHandler(output)]
    root.setLevel(level.upper())
    for quieted_logger in QUIETED_LOGGERS:
        logging.getLogger(quieted_logger).setLevel(logging.WARNING)


def _level(number: int) -> Level:
    for level in reversed(Level):
        if number >= level:
            return level
    return Level.DEBUG

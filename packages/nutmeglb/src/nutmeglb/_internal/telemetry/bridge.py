"""Sends records of the standard library's ``logging`` to the process's log."""

import logging

from nutmeglb._internal.telemetry.logs import Level, current_output

SEPARATOR = ": "


class BridgeHandler(logging.Handler):
    """Writes records as lines. A text ``component: text`` keeps its component."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        component, found, text = record.getMessage().partition(SEPARATOR)
        if not found or " " in component:
            component, text = record.name.rpartition(".")[2], record.getMessage()
        fields: dict[str, object] = {}
        if record.exc_info and record.exc_info[1] is not None:
            fields["cause"] = repr(record.exc_info[1])
        current_output().write(component, _level(record.levelno), text, fields)


def install_bridge() -> None:
    """Send every record of this process and of its libraries to the process's log."""
    root = logging.getLogger()
    root.handlers = [BridgeHandler()]
    root.setLevel(logging.INFO)
    for library in ("websockets", "tornado.access", "asyncio"):
        logging.getLogger(library).setLevel(logging.WARNING)


def _level(number: int) -> Level:
    return Level(max(Level.DEBUG, min(Level.ERROR, number // 10 * 10)))

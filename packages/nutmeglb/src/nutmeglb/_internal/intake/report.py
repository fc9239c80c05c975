"""Metrics and log lines about clients that were refused or closed."""

from nutmeglb._internal.context import Metrics
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.intake.connections import Cause, ConnectionTable

logger = get_logger("intake")


class IntakeReport:
    """Counts what the limits of one listener refuse. Log lines are limited by the log output.

    Parameters
    ----------
    listener
        Name of the listener in metrics and log lines.
    """

    def __init__(self, listener: str, table: ConnectionTable, metrics: Metrics) -> None:
        self._listener = listener
        self._table = table
        self._refused = metrics.counter(
            "nutmeglb_intake_refused_total", "Requests and connections refused, by cause."
        )
        self._closed = metrics.counter(
            "nutmeglb_intake_closed_total", "Connections closed in favour of others, by cause."
        )
        self._connections = metrics.gauge(
            "nutmeglb_intake_connections", "Open connections of clients."
        )
        self._request_bytes = metrics.gauge(
            "nutmeglb_intake_request_bytes", "Memory that requests are charged."
        )

    def publish(self) -> None:
        """Update the gauges."""
        self._connections.set(float(self._table.connections), listener=self._listener)
        self._request_bytes.set(float(self._table.request_bytes), listener=self._listener)

    def note_refused(self, cause: Cause) -> None:
        """Count a request or a connection that was refused."""
        self._refused.inc(listener=self._listener, cause=cause.value)
        self._log("refused a client: a limit of the listener is reached", cause)

    def note_closed(self, cause: Cause, count: int) -> None:
        """Count connections closed in favour of others, or since their refusal was not read."""
        if count:
            self._closed.inc(float(count), listener=self._listener, cause=cause.value)
            self._log("closed connections of clients without progress", cause, closed=count)

    def _log(self, text: str, cause: Cause, **fields: object) -> None:
        limits = self._table.limits
        logger.warning(
            text,
            listener=self._listener,
            cause=cause.value,
            connections=self._table.connections,
            max_connections=limits.connections,
            request_bytes=self._table.request_bytes,
            max_request_bytes=limits.request_bytes,
            **fields,
        )

"""Timeline of this instance: a bounded ring buffer of events that are also written to the log."""

from collections import deque
from collections.abc import Callable

from nutmeglb._internal.telemetry.hybrid_clock import HybridLogicalClock
from nutmeglb._internal.telemetry.logs import Level, LogOutput, current_output
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.events import (
    EVENT_MESSAGE_TYPE,
    Event,
    EventFilter,
    Scalar,
    event_to_items,
)


class EventRing:
    """Implements ``EventLog`` and ``EventQuery``.

    Parameters
    ----------
    epoch
        Returns the highest known leadership epoch.
    capacity
        Number of events kept. The oldest are dropped first.
    output
        Log that receives every event. ``None`` uses the process's log.
    """

    def __init__(
        self,
        instance_id: str,
        clock: Clock,
        capacity: int,
        epoch: Callable[[], int] = lambda: 0,
        output: LogOutput | None = None,
    ) -> None:
        self._instance_id = instance_id
        self._clock = clock
        self._epoch_source = epoch
        self._output = output
        self._events: deque[Event] = deque(maxlen=capacity)
        self._sequence = 0
        self._hybrid_clock = HybridLogicalClock(clock)

    def set_epoch_source(self, epoch: Callable[[], int]) -> None:
        """Set the function that returns the epoch, once the leadership has been created."""
        self._epoch_source = epoch

    def stamp_ms(self) -> float:
        """Return the timestamp of an outgoing peer frame in milliseconds."""
        return self._hybrid_clock.stamp_ms()

    def observe(self, sent_ms: float) -> None:
        """Advance to the timestamp of an incoming peer frame. Later events sort after it."""
        self._hybrid_clock.observe(sent_ms)

    def emit(
        self,
        kind: str,
        cause: str,
        *,
        request: str | None = None,
        task: str | None = None,
        job: str | None = None,
        ticket: int | None = None,
        worker: str | None = None,
        endpoint: str | None = None,
        **fields: object,
    ) -> None:
        """Record one decision."""
        output = self._output or current_output()
        wall_ms = self._clock.wall_ms()
        self._sequence += 1
        event = Event(
            self._instance_id,
            self._sequence,
            self._clock.now_ms(),
            wall_ms,
            self._hybrid_clock.advance(),
            self._epoch_source(),
            kind,
            cause,
            request,
            task,
            job,
            ticket,
            worker,
            endpoint,
            {name: _scalar(output.redact(name, value)) for name, value in fields.items()},
        )
        self._events.append(event)
        if output.is_enabled(Level.INFO):
            output.write_raw({"event": event_to_items(event)}, EVENT_MESSAGE_TYPE)

    def query(self, event_filter: EventFilter, limit: int) -> list[Event]:
        """Return the latest matching events, oldest first."""
        matching_events: list[Event] = []
        for event in reversed(self._events):
            if len(matching_events) >= limit:
                break
            if event_filter.matches(event):
                matching_events.append(event)
        matching_events.reverse()
        return matching_events


def _scalar(value: object) -> Scalar:
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return str(value)

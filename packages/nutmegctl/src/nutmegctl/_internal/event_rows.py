"""Table rows of events."""

from nutmegctl._internal.output import format_time
from nutmeglb_formats.models.events import ID_FIELDS, Event

HEADINGS = ("time (UTC)", "instance", "epoch", "event", "cause", "ids", "fields")


def event_row(event: Event) -> tuple[object, ...]:
    """Return the table row of an event. Its time is from the clock of the event's instance."""
    ids = [
        f"{name}={getattr(event, name)}" for name in ID_FIELDS if getattr(event, name) is not None
    ]
    fields = [f"{name}={value}" for name, value in event.fields.items()]
    return (
        format_time(event.wall_ms),
        event.instance,
        event.epoch,
        event.kind,
        event.cause,
        " ".join(ids),
        " ".join(fields),
    )

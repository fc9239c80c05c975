"""Tables of events."""

from nutmegctl._internal.output import time_text
from nutmeglb_formats.models.events import ID_FIELDS, Event

HEADINGS = ("time (UTC)", "instance", "epoch", "event", "cause", "ids", "fields")


def row(event: Event) -> tuple[object, ...]:
    """Return the row of an event. The time is that of the instance's own clock."""
    ids = [
        f"{name}={getattr(event, name)}" for name in ID_FIELDS if getattr(event, name) is not None
    ]
    fields = [f"{name}={value}" for name, value in event.fields.items()]
    return (
        time_text(event.wall_ms),
        event.instance,
        event.epoch,
        event.kind,
        event.cause,
        " ".join(ids),
        " ".join(fields),
    )

"""Frames between entry instances.

A frame is one CBOR array ``[frame version, sender, epoch, [type code, version, fields], time]``.
The time is optional. It is the sender's hybrid logical clock in milliseconds, which orders the
events of the timeline (``nutmeglb_formats.timeline``).
"""

from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import FrameError

FRAME_VERSION = 1
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
REQUIRED_FRAME_ITEMS = 4
# The end of the year 9999, in milliseconds since the Unix epoch.
MAX_TIME_MS = 253_402_300_800_000

MESSAGES = TypeRegistry()
message = MESSAGES.register


@dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded frame.

    Attributes
    ----------
    sent_ms
        Hybrid logical clock of the sender in milliseconds; 0 when the frame has no time.
    """

    sender: str
    epoch: int
    message: Any
    sent_ms: float = 0.0


def encode(value: object, *, sender: str, epoch: int, sent_ms: float = 0.0) -> bytes:
    """Encode a registered message as one frame."""
    return cbor2.dumps([FRAME_VERSION, sender, epoch, MESSAGES.to_items(value), sent_ms])


def decode(data: bytes) -> Result[Envelope, FrameError]:
    """Decode and validate one frame. Never raises on bad input."""
    if len(data) > FRAME_LIMIT_BYTES:
        return Err(_error("The frame is too large", bytes=len(data), limit=FRAME_LIMIT_BYTES))
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The frame is not valid CBOR", cause=loaded.err_value))
    frame = loaded.ok_value
    if not isinstance(frame, list) or len(frame) not in (
        REQUIRED_FRAME_ITEMS,
        REQUIRED_FRAME_ITEMS + 1,
    ):
        return Err(_error("The frame is not an array of four items and an optional time"))
    version, sender, epoch, items, *rest = frame
    if version != FRAME_VERSION:
        return Err(_error("The frame version is not supported", version=version))
    sent_ms = rest[0] if rest else 0.0
    if not isinstance(sender, str) or type(epoch) is not int or not _is_valid_time(sent_ms):
        return Err(_error("The frame header is malformed"))
    value = MESSAGES.from_items(items)
    if isinstance(value, Err):
        return Err(_error("The message is invalid", cause=value.err_value))
    return Ok(Envelope(sender, epoch, value.ok_value, float(sent_ms)))


def _is_valid_time(value: object) -> bool:
    return type(value) in (int, float) and 0 <= value < MAX_TIME_MS  # type: ignore[operator]


def _error(text: str, **context: object) -> FrameError:
    return FrameError(
        text, context=context, hint="Run the same release of nutmeglb on all instances"
    )

"""Frames between entry instances.

A frame is one CBOR array ``[frame version, sender, epoch, [type code, version, fields]]``.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import TypeRegistry, load_cbor
from nutmeglb_formats.exceptions import FrameError

FRAME_VERSION = 1
FRAME_LIMIT_BYTES = 2 * 1024 * 1024
FRAME_ITEMS = 4

MESSAGES = TypeRegistry()
message = MESSAGES.register


@dataclass(frozen=True, slots=True)
class Envelope:
    """A decoded frame."""

    sender: str
    epoch: int
    message: Any


def encode(value: object, *, sender: str, epoch: int) -> bytes:
    """Encode a registered message as one frame."""
    return cbor2.dumps([FRAME_VERSION, sender, epoch, MESSAGES.to_items(value)])


def decode(data: bytes) -> Result[Envelope, FrameError]:
    """Decode and validate one frame. Never raises on bad input."""
    if len(data) > FRAME_LIMIT_BYTES:
        return Err(_error("The frame is too large", bytes=len(data), limit=FRAME_LIMIT_BYTES))
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error("The frame is not valid CBOR", cause=loaded.err_value))
    frame = loaded.ok_value
    if not isinstance(frame, list) or len(frame) != FRAME_ITEMS:
        return Err(_error("The frame is not an array of four items"))
    version, sender, epoch, items = frame
    if version != FRAME_VERSION:
        return Err(_error("The frame version is not supported", version=version))
    if not isinstance(sender, str) or type(epoch) is not int:
        return Err(_error("The frame header is malformed"))
    value = MESSAGES.from_items(items)
    if isinstance(value, Err):
        return Err(_error("The message is invalid", cause=value.err_value))
    return Ok(Envelope(sender, epoch, value.ok_value))


def _error(text: str, **context: object) -> FrameError:
    return FrameError(
        text, context=context, hint="Run the same release of nutmeglb on all instances"
    )

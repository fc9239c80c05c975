"""Batches of frames: a WebSocket message holds the frames that one event-loop iteration sends."""

from collections.abc import Sequence

import cbor2
from result import Err, Ok, Result

from nutmeglb_formats.codec import load_cbor
from nutmeglb_formats.exceptions import FrameError
from nutmeglb_formats.wire.registry import FRAME_LIMIT_BYTES, Envelope, decode

# The sender starts a new batch when the next frame would make the current one larger than this. A
# batch therefore stays below BATCH_LIMIT_BYTES, which the receiver enforces, also when many frames
# wait for one peer.
BATCH_TARGET_BYTES = 256 * 1024
BATCH_LIMIT_BYTES = FRAME_LIMIT_BYTES + BATCH_TARGET_BYTES + 64 * 1024


def encode_batch(frames: Sequence[bytes]) -> bytes:
    """Encode frames as one CBOR array of byte strings."""
    return cbor2.dumps(list(frames))


def decode_batch(data: bytes) -> Result[list[Envelope], FrameError]:
    """Decode and validate the frames of a batch. One invalid frame invalidates the whole batch."""
    loaded = load_cbor(data)
    if isinstance(loaded, Err):
        return Err(_error(loaded.err_value))
    frames = loaded.ok_value
    if not isinstance(frames, list) or not all(isinstance(frame, bytes) for frame in frames):
        return Err(_error("not an array of byte strings"))
    envelopes = []
    for frame in frames:
        decoded = decode(frame)
        if isinstance(decoded, Err):
            return Err(decoded.err_value)
        envelopes.append(decoded.ok_value)
    return Ok(envelopes)


def _error(cause: str) -> FrameError:
    return FrameError(
        "The batch of frames is malformed",
        context={"cause": cause},
        hint="Run the same release of nutmeglb on all instances",
    )

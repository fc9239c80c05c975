"""Matching of replies to requests over the peer bus."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from nutmeglb_formats.exceptions import PeerError
from nutmeglb_formats.wire.membership import Reply
from nutmeglb_formats.wire.registry import MESSAGES


@dataclass(slots=True)
class _PendingRequest:
    instance_id: str
    future: asyncio.Future[Result[Any, PeerError]]


class Correlator:
    """Matches replies to pending requests by correlation number and replying instance."""

    def __init__(self) -> None:
        self._last_correlation = 0
        self._pending: dict[int, _PendingRequest] = {}

    def open(self, instance_id: str) -> tuple[int, asyncio.Future[Result[Any, PeerError]]]:
        """Register a request. Return its correlation number and the future of its result."""
        self._last_correlation += 1
        future: asyncio.Future[Result[Any, PeerError]] = asyncio.get_running_loop().create_future()
        self._pending[self._last_correlation] = _PendingRequest(instance_id, future)
        return self._last_correlation, future

    def close(self, correlation: int) -> None:
        """Remove a pending request. A reply that arrives later is ignored."""
        self._pending.pop(correlation, None)

    def resolve(self, sender: str, reply: Reply) -> bool:
        """Deliver a reply. Return false when no request to the sender waits for it."""
        pending = self._pending.get(reply.correlation)
        if pending is None or pending.instance_id != sender:
            return False
        del self._pending[reply.correlation]
        if not pending.future.done():
            pending.future.set_result(result_of(sender, reply))
        return True

    def fail(self, instance_id: str) -> None:
        """Fail every pending request to an instance whose last connection has closed."""
        for correlation in list(self._correlations_to(instance_id)):
            pending = self._pending.pop(correlation)
            if not pending.future.done():
                pending.future.set_result(
                    Err(peer_error(instance_id, "the connection closed before the reply arrived"))
                )

    def _correlations_to(self, instance_id: str) -> Iterator[int]:
        return (c for c, p in self._pending.items() if p.instance_id == instance_id)


def peer_error(instance_id: str, cause: str, *, sent: bool = True) -> PeerError:
    """Return the error of a request that has no reply.

    Parameters
    ----------
    sent
        Whether the request may have reached the peer.
    """
    return PeerError(
        "The request to the peer failed",
        context={"instance": instance_id, "cause": cause, "sent": sent},
        hint="Check that the instance is running and that its peer address is reachable",
    )


def result_of(sender: str, reply: Reply) -> Result[Any, PeerError]:
    """Return the message in a reply, or its error."""
    if reply.error:
        return Err(peer_error(sender, reply.error))
    if not reply.body:
        return Ok(None)
    decoded = MESSAGES.from_items(reply.body)
    if isinstance(decoded, Err):
        return Err(peer_error(sender, decoded.err_value))
    return Ok(decoded.ok_value)

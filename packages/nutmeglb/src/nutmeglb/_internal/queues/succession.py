"""Handover of the leadership from a weak machine to a follower on a stronger one."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues.succession import FULL_STRENGTH, SuccessorSelector
from nutmeglb_formats.wire.queues import StrengthQuery, StrengthReply

logger = get_logger("succession")

# Interval between queries of the followers. Three consecutive results trigger a handover, so a
# stronger follower leads after a few seconds.
POLL_INTERVAL_MS = 1_000.0
# A follower answers within a round trip. One that does not answer could not take over either.
REPLY_TIMEOUT_MS = 500.0
MS_PER_S = 1_000.0


class LeadershipHandover:
    """Monitors the strength of the followers and hands over the leadership to a stronger one.

    Parameters
    ----------
    strength
        Returns the current suitability of this instance as leader, from 0 to 1.
    is_leading
        Returns whether this instance leads and has completed its takeover.
    hand_over
        Releases the leadership of this instance.
    """

    def __init__(
        self,
        links: PeerLinks,
        strength: Callable[[], float],
        is_leading: Callable[[], bool],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        self._links = links
        self._strength = strength
        self._is_leading = is_leading
        self._hand_over = hand_over
        links.on(StrengthQuery, self._on_query)

    async def run(self) -> None:
        """Query the followers periodically until cancelled."""
        succession = SuccessorSelector()
        while True:
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
            own = self._strength()
            if not self._is_leading() or not 0 < own < FULL_STRENGTH:
                succession = SuccessorSelector()
                continue
            follower = succession.choose_successor(own, await self._query_strengths())
            if follower and self._is_leading():
                logger.info("handing over to a stronger follower", own=own, follower=follower)
                await self._hand_over()

    async def _query_strengths(self) -> dict[str, float]:
        """Return the strength of each follower that answers."""
        followers = self._links.followers
        replies = await asyncio.gather(
            *(self._links.request(peer, StrengthQuery(), REPLY_TIMEOUT_MS) for peer in followers)
        )
        return {
            peer: reply.ok_value.strength
            for peer, reply in zip(followers, replies, strict=True)
            if isinstance(reply, Ok)
        }

    def _on_query(self, sender: str, message: StrengthQuery) -> StrengthReply:
        return StrengthReply(self._strength())

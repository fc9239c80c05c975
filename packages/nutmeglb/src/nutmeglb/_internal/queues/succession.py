"""Asks the followers how well they could lead, while this instance leads on a weak machine."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from nutmeglb._internal.queues.links import Links
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues.succession import FULL_STRENGTH, Succession
from nutmeglb_formats.wire.queues import StrengthQuery, StrengthReply

logger = get_logger("succession")

# Between two looks at the followers. With three in a row a stronger one leads after some seconds.
LOOK_MS = 1_000.0
# A follower answers in a round trip; one that is out of reach could not take over.
REPLY_TIMEOUT_MS = 500.0
MS_PER_S = 1_000.0


class StrongerFollowers:
    """Hands the leadership over to a follower on a stronger machine.

    Parameters
    ----------
    strength
        Returns how well this instance could lead now.
    leads
        Returns whether this instance leads and has taken over.
    hand_over
        Ends the leadership of this instance.
    """

    def __init__(
        self,
        links: Links,
        strength: Callable[[], float],
        leads: Callable[[], bool],
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        self._links = links
        self._strength = strength
        self._leads = leads
        self._hand_over = hand_over
        links.on(StrengthQuery, self._on_query)

    async def run(self) -> None:
        """Look at the followers until cancelled."""
        succession = Succession()
        while True:
            await asyncio.sleep(LOOK_MS / MS_PER_S)
            own = self._strength()
            if not self._leads() or not 0 < own < FULL_STRENGTH:
                succession = Succession()
                continue
            follower = succession.choose_successor(own, await self._ask())
            if follower and self._leads():
                logger.info("hands over to a stronger instance", own=own, follower=follower)
                await self._hand_over()

    async def _ask(self) -> dict[str, float]:
        """Return the strength of the followers that answer."""
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

"""Decides when a leader hands over to a stronger instance.

Load pattern: instances restart one after another, and one with little CPU time or a slow network
link is elected meanwhile. It would delay every order of a backlog while stronger ones are idle.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Strength of an instance that can lead the whole cell; weaker ones have proportionally less.
FULL_STRENGTH = 1.0
# A change of leader costs about a second of work, which a smaller gain would not justify.
MIN_STRENGTH_GAIN = 0.25
# Consecutive checks at which the same instance must be stronger, because one that has just started
# may be stopped again soon.
CONSECUTIVE_CHECKS = 3


@dataclass(slots=True)
class SuccessorSelector:
    """Selects a follower that was stronger than the leader at several consecutive checks."""

    _consecutive_checks: dict[str, int] = field(default_factory=dict)

    def choose_successor(self, own: float, followers: Mapping[str, float]) -> str:
        """Return the follower to which the leader should hand over, or an empty string.

        Parameters
        ----------
        own, followers
            Strength of the leader, and of each follower that could lead now.
        """
        required_strength = own + MIN_STRENGTH_GAIN
        self._consecutive_checks = {
            follower: self._consecutive_checks.get(follower, 0) + 1
            for follower, strength in followers.items()
            if strength >= required_strength
        }
        ready = [
            follower
            for follower, checks in self._consecutive_checks.items()
            if checks >= CONSECUTIVE_CHECKS
        ]
        return max(ready, key=lambda follower: followers[follower], default="")

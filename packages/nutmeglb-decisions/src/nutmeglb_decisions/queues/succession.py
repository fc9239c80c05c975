"""When a leader gives way to a stronger instance.

Load pattern answered: instances restart one after another, and one with little processor time or a
narrow link is elected meanwhile. It delays every order of a backlog while stronger ones idle.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# Strength of an instance that can carry the cell; weaker ones have less, in proportion.
FULL_STRENGTH = 1.0
# A change of leader costs the work of a second, so that a small gain is not worth it.
MIN_STRENGTH_GAIN = 0.25
# Looks in a row at which the same instance must be stronger. One that has just started may be
# stopped again soon.
CONSECUTIVE_CHECKS = 3


@dataclass(slots=True)
class Succession:
    """Followers that have been stronger than the leader, by the number of looks in a row."""

    _consecutive_checks: dict[str, int] = field(default_factory=dict)

    def choose_successor(self, own: float, followers: Mapping[str, float]) -> str:
        """Return the follower that the leader should give way to, or an empty text.

        Parameters
        ----------
        own, followers
            Strength of the leader, and of the followers that could lead now.
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

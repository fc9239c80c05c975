"""Functions of the leader that the links to its workers call."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(slots=True)
class LeaderCallbacks:
    """Functions of the leader that a worker link calls.

    Attributes
    ----------
    changed
        Called after a change of the cell.
    flush_progress
        Waits until all progress that is dirty now is stored.
    fenced
        Called with the worker's id when it has accepted a higher fencing token.
    may_command
        Returns whether this leader may command workers now.
    explains_missing_answer
        Returns whether a stall of this process may be the reason that a call has no answer. Called
        with the monotonic time at which the call was sent.
    """

    changed: Callable[[], None]
    flush_progress: Callable[[], Awaitable[None]]
    fenced: Callable[[str], None]
    may_command: Callable[[], bool]
    explains_missing_answer: Callable[[float], bool]

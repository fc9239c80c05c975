"""How long the entries of workers in the store prove their capacity.

Load pattern: the capacity of a worker shrinks while the store is down, or just before. The entry
shows it after one beat at the latest, if the store accepts writes, and the worker may be overloaded
from some time after that. So tasks start only while the last reading is recent enough.
"""

import math
from dataclasses import dataclass

# Longest time between two answers of the store beyond one beat. A watch waits for a beat and takes
# a round trip.
CONTACT_SLACK_MS = 250.0


@dataclass(slots=True)
class StoreContact:
    """Since when the store has answered this instance without a gap.

    Workers write their entries to the same store. After a gap their entries may be outdated until
    each of them has had the time of one beat for its next write.

    Attributes
    ----------
    beat_ms
        Interval at which workers write their entries.
    since_ms
        Time of the first answer after the last gap; infinite before the first answer.
    """

    beat_ms: float
    since_ms: float = math.inf
    _last_ms: float = -math.inf

    def record(self, answered_ms: float) -> None:
        """Record an answer of the store."""
        if answered_ms - self._last_ms > self.beat_ms + CONTACT_SLACK_MS:
            self.since_ms = answered_ms
        self._last_ms = max(self._last_ms, answered_ms)

    def record_failure(self, failed_ms: float) -> None:
        """Record a call without an answer. Within a beat after a gap, it prolongs the gap.

        The workers may not have written since the gap. Later, a single lost call proves no outage.
        """
        if failed_ms - self.since_ms < self.beat_ms:
            self.since_ms = math.inf
            self._last_ms = -math.inf


@dataclass(slots=True)
class EntryAge:
    """Until when the entries that were read last prove the capacity of their workers.

    Attributes
    ----------
    beat_ms
        Interval at which workers write their entries.
    max_age_ms
        Time for which tasks may start after the entries were read. An entry may already have been
        one beat old then.
    proven_until_ms
        Time after which no task starts before the entries are read again.
    """

    beat_ms: float = 0.0
    max_age_ms: float = math.inf
    proven_until_ms: float = math.inf

    @classmethod
    def of(cls, stable_ms: float, beat_ms: float, order_ms: float) -> "EntryAge":
        """Return the age limits of a leader that has not read any entry.

        Parameters
        ----------
        stable_ms
            Time for which a former, larger capacity counts after the beat that shows the change.
        order_ms
            Longest time from the sending of an order until the worker carries it out.
        """
        return cls(beat_ms, stable_ms - order_ms, -math.inf)

    def record_listing(self, sent_ms: float, answering_since_ms: float) -> None:
        """Record that all entries were read.

        Parameters
        ----------
        sent_ms
            Time at which the request was sent.
        answering_since_ms
            Since when the store has answered. Before it has done so for a beat, some of the entries
            may be from before the gap, so they prove nothing new.
        """
        if sent_ms - answering_since_ms >= self.beat_ms:
            self.proven_until_ms = max(self.proven_until_ms, sent_ms + self.max_age_ms)

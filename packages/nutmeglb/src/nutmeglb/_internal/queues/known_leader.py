"""What an instance knows of the leader whose record it has read: since when, and whether it ended.

Load pattern: the leader and a worker are lost at one moment. The next leader cannot know the lease
of the worker's runs, and waits until no former leader can have extended it. If the process of the
leader has certainly ended, the wait is shorter by the time for which one may still send orders.
"""

from collections.abc import Callable

from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.models.queue_records import LeaderRecord

# Minimum interval between replacements of leaders whose lease has not ended. A leader that only
# this instance cannot reach must not be replaced repeatedly.
MIN_REPLACEMENT_INTERVAL_MS = 5_000.0


class KnownLeader:
    """The leader record as last read, and what shows that its process no longer leads.

    Parameters
    ----------
    own
        Returns the leader record of this instance, without a term.
    """

    def __init__(self, clock: Clock, own: Callable[[], LeaderRecord]) -> None:
        self._clock = clock
        self._own = own
        self._record: LeaderRecord | None = None
        self._seen_ms = 0.0
        self._has_ended = False
        self._has_resigned = False
        self._replaced_ms = -MIN_REPLACEMENT_INTERVAL_MS

    def note_record(self, record: LeaderRecord) -> None:
        """Record that the leader key has been read."""
        if record != self._record:
            self._record, self._seen_ms = record, self._clock.now_ms()
            # What is known of a former term says nothing about this one, also of the same process.
            self._has_ended = self._has_resigned = False

    def note_ended(self) -> None:
        """Record that the leader's process has ended: its address refuses connections."""
        self._has_ended = True

    def note_resigned(self, incarnation: str) -> None:
        """Record that a leader says that it has stepped down.

        The message may be late, and the process lead again. So it is no proof that it has ended.
        """
        if self._record is not None and self._record.incarnation == incarnation:
            self._has_resigned = True

    def note_replaced(self, now_ms: float) -> None:
        """Record that this instance has replaced a leader whose lease had not ended."""
        self._replaced_ms = now_ms

    def is_replaceable(self) -> bool:
        """Return whether the leader's process has ended although its lease has not."""
        if self._is_former_process_of_own():
            return True
        return (self._has_ended or self._has_resigned) and (
            self._clock.now_ms() - self._replaced_ms >= MIN_REPLACEMENT_INTERVAL_MS
        )

    def can_no_longer_order(self, term: int, authority_ms: float) -> bool:
        """Return whether neither the leader of a term nor earlier ones can send orders.

        Earlier leaders were last confirmed before the key of this term was written, and so before
        it was read here. Their authority ends once that is long enough ago.
        """
        if self._record is None or self._record.term != term:
            return False
        known_ms = (self._clock.now_ms() - self._seen_ms) * (1 - MAX_CLOCK_DRIFT)
        others_have_ended = known_ms * (1 - MAX_CLOCK_DRIFT) >= authority_ms
        return others_have_ended and (self._has_ended or self._is_former_process_of_own())

    def _is_former_process_of_own(self) -> bool:
        own, record = self._own(), self._record
        return (
            record is not None
            and record.instance_id == own.instance_id
            and record.incarnation != own.incarnation
        )

"""What a leader that releases its leadership as planned stores for its successor."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.authority import MAX_CLOCK_DRIFT, Term
from nutmeglb._internal.queues.ports import StoredPut
from nutmeglb_formats.models.queue_records import Counter, Waits, encode_queue_record

# Writer of the stored term once no present or former leader can send orders any more.
NO_WRITER = ""


@dataclass(frozen=True, slots=True)
class ReleaseFacts:
    """What a leader knows about the workers when it has sent its last order.

    Attributes
    ----------
    waits
        Pairs of a worker id and the milliseconds that leaders have waited for that worker.
    has_long_leases
        Whether a run may have a longer lease than was ordered.
    """

    waits: Sequence[tuple[str, float]] = ()
    has_long_leases: bool = False


# Returns the facts, to be called after the last order.
ReleaseFactsFunction = Callable[[], ReleaseFacts]


def release_puts(
    term: Term, facts: ReleaseFacts, now_ms: float, authority_ms: float
) -> list[StoredPut]:
    """Return the records that let the successor wait less for workers.

    The term is only marked as free of orders once it is old enough that the former leader can no
    longer send any either. The longer wait that follows otherwise covers the longest lease.
    """
    puts = [StoredPut(keys.WAITS, encode_queue_record(Waits(term.number, list(facts.waits))))]
    age_ms = (now_ms - term.claimed_ms) * (1 - MAX_CLOCK_DRIFT)
    is_free = term.no_former_orders or age_ms >= authority_ms
    if is_free and not facts.has_long_leases:
        puts.append(StoredPut(keys.TERM, encode_queue_record(Counter(term.number, NO_WRITER))))
    return puts

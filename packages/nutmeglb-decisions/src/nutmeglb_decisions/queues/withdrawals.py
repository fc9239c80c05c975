"""Which submissions a cancellation bars whose job is not stored, and how many may be stored.

Load pattern: the write of a submission got no answer, and the caller cancels the job. The write may
still take effect seconds later, so the cancellation stores marks whose absence every write of a
submission requires. Nobody knows whether a job that is cancelled was ever submitted, so the marks
that callers can cause are limited, and expire.
"""

import hashlib
from dataclasses import dataclass

from nutmeglb_decisions.queues.access import JobCall
from nutmeglb_formats.models.queues import QueueJob, QueueKey

# Exceeds the longest deadline of a submission (a minute), the time until its last write without an
# answer can be executed, and the pauses of an instance in between.
MARK_LIFE_MS = 5 * 60_000.0
# Per instance. All instances together share the platform's limit of writes.
MARKS_PER_S = 0.5
# Cancellations at once, as after an outage of the store that left many submissions in doubt.
MARKS_BURST = 50
MS_PER_S = 1_000.0
DIGEST_BYTES = 8
_EVERY_TEAM = "every"
_ONE_TEAM = "team"


def cancelled_scopes(call: JobCall) -> tuple[str, ...]:
    """Return the scopes of submissions that a cancellation bars: those that its caller may see."""
    queue, caller = call.address.queue, call.caller
    if caller.sees_all:
        return (_scope(queue, _EVERY_TEAM),)
    return tuple(_scope(queue, _ONE_TEAM, team) for team in dict.fromkeys((caller.team, "")))


def submitted_scopes(job: QueueJob) -> tuple[str, ...]:
    """Return the scopes of cancellations that bar a submission."""
    return (_scope(job.queue.key, _EVERY_TEAM), _scope(job.queue.key, _ONE_TEAM, job.team))


def _scope(queue: QueueKey, *parts: str) -> str:
    """Return a name of bounded length for an address and the teams of its jobs."""
    text = "\0".join((queue, *parts)).encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True)
class MarkBudget:
    """Token bucket of the marks that an instance stores."""

    filled_ms: float
    tokens: float = MARKS_BURST

    def take(self, now_ms: float) -> float:
        """Take a token, or return the milliseconds until there is one; 0 if one was taken."""
        rate_per_ms = MARKS_PER_S / MS_PER_S
        elapsed_ms = max(0.0, now_ms - self.filled_ms)
        self.tokens = min(MARKS_BURST, self.tokens + elapsed_ms * rate_per_ms)
        self.filled_ms = now_ms
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / rate_per_ms
        self.tokens -= 1.0
        return 0.0

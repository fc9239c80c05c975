"""Rates at which teams submit jobs, compared with the rates that they may expect to be served."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.state import Job

# A team may submit the jobs of this time at once. Equals the window in which rates are compared.
BURST_S = 5.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: float


@dataclass(slots=True)
class TeamRates:
    """Token bucket of each team, in the memory of one leader."""

    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def classify(self, jobs: Iterable[Job], rates: Mapping[str, float]) -> None:
        """Determine which new jobs exceed the rate of their team, in jobs per second.

        The times of acceptance are stored, so that leaders agree as far as they know the same jobs.
        """
        for job in sorted(jobs, key=lambda job: job.record.accepted_ms):
            rate = rates.get(job.record.team)
            if rate is None:
                job.exceeds_rate = False
                continue
            at_ms, most = job.record.accepted_ms, max(1.0, rate * BURST_S)
            bucket = self._buckets.setdefault(job.record.team, _Bucket(most, at_ms))
            elapsed_s = max(0.0, at_ms - bucket.filled_ms) / MS_PER_S
            bucket.tokens = min(most, bucket.tokens + rate * elapsed_s)
            bucket.filled_ms = max(bucket.filled_ms, at_ms)
            job.exceeds_rate = bucket.tokens < 1.0
            if not job.exceeds_rate:
                bucket.tokens -= 1.0

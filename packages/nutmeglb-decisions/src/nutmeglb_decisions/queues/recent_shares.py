"""Share of the capacity that each team had in the last seconds, and the rate of its jobs."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.state import Job

# Time constant of the average share: the length of the window in which teams are compared.
WINDOW_MS = 5_000.0
MS_PER_S = 1_000.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_ms: float


@dataclass(slots=True)
class RecentShares:
    """Average share and token bucket of each team, in the memory of one leader."""

    _averages: dict[str, float] = field(default_factory=dict)
    _sampled_ms: float = 0.0
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def sample(self, shares: Mapping[str, float], now_ms: float) -> None:
        """Update the averages with the dominant shares of the capacity that teams have now."""
        keep = math.exp(-max(0.0, now_ms - self._sampled_ms) / WINDOW_MS)
        self._sampled_ms = now_ms
        for team in self._averages.keys() | shares.keys():
            average = self._averages.get(team, 0.0) * keep + shares.get(team, 0.0) * (1 - keep)
            self._averages[team] = average

    def average(self, team: str) -> float:
        """Return the average share of a team."""
        return self._averages.get(team, 0.0)

    def classify(self, jobs: Iterable[Job], rates: Mapping[str, float]) -> None:
        """Determine which new jobs exceed the rate of their team, in jobs per second.

        The times of acceptance are stored, so that leaders agree as far as they know the same jobs.
        """
        for job in sorted(jobs, key=lambda job: job.record.accepted_ms):
            rate = rates.get(job.record.team)
            if rate is None:
                job.exceeds_rate = False
                continue
            at_ms, most = job.record.accepted_ms, max(1.0, rate * WINDOW_MS / MS_PER_S)
            bucket = self._buckets.setdefault(job.record.team, _Bucket(most, at_ms))
            elapsed_s = max(0.0, at_ms - bucket.filled_ms) / MS_PER_S
            bucket.tokens = min(most, bucket.tokens + rate * elapsed_s)
            bucket.filled_ms = max(bucket.filled_ms, at_ms)
            job.exceeds_rate = bucket.tokens < 1.0
            if not job.exceeds_rate:
                bucket.tokens -= 1.0

"""Run times learned from completed runs, because declared estimates are far off."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.durations import QueueDurations
from nutmeglb_formats.models.queues import QueueKey
from nutmeglb_formats.models.resources import Resources

# Weight of a new observation. The average covers about the last eight completed runs, so at 8 of
# them per second and queue it follows a load change within a second.
RATIO_WEIGHT = 0.12
# A ratio outside these bounds is due to a stuck or an empty task, not to a wrong estimate.
RATIO_BOUNDS = (0.1, 8.0)
DEFAULT_RUN_MS = 2_000.0
# A worker's slowness adapts more slowly than a queue's ratio, because each run affects both.
SLOWNESS_WEIGHT = 0.08
SLOWNESS_BOUNDS = (0.5, 6.0)


@dataclass(slots=True)
class Estimates:
    """Learned run times per queue.

    Where reports show the progress of tasks, they are learned from the steps of all workers
    (``durations``), else from the mean ratio of actual to declared run times.

    Attributes
    ----------
    team_limits
        What each team with a limit may have running, on which the duration of wide steps depends.
    """

    team_limits: Mapping[str, Resources] = field(default_factory=dict)
    _ratios: dict[QueueKey, float] = field(default_factory=dict)
    _durations: dict[QueueKey, QueueDurations] = field(default_factory=dict)

    def durations(self, queue: QueueKey) -> QueueDurations:
        """Return the run times of a queue that are learned from progress."""
        return self._durations.setdefault(queue, QueueDurations())

    def known_durations(self) -> dict[QueueKey, QueueDurations]:
        """Return the run times learned from progress, per queue."""
        return {key: known for key, known in self._durations.items() if known.is_known}

    def set_durations(self, queue: QueueKey, durations: QueueDurations) -> None:
        """Replace the run times of a queue that are learned from progress."""
        self._durations[queue] = durations

    def run_ms(self, queue: QueueKey, declared_ms: float, slowness: float = 1.0) -> float:
        """Return the expected run time in milliseconds on a worker of the given slowness."""
        declared_ms = declared_ms or DEFAULT_RUN_MS
        durations = self._durations.get(queue)
        if durations is not None and durations.is_known:
            return math.exp(durations.log_ms(declared_ms)) * slowness
        return declared_ms * self._ratios.get(queue, 1.0) * slowness

    def safe_run_ms(self, queue: QueueKey, declared_ms: float, share: float) -> float:
        """Return the run time on an average worker that the given share of steps does not exceed.

        Without learned run times this is the expected one.
        """
        declared_ms = declared_ms or DEFAULT_RUN_MS
        durations = self._durations.get(queue)
        if durations is None or not durations.is_known:
            return self.run_ms(queue, declared_ms)
        return durations.quantile_ms(declared_ms, share)

    def observe(
        self, queue: QueueKey, declared_ms: float, actual_ms: float, slowness: float
    ) -> float:
        """Learn from a completed run, and return the new slowness of its worker."""
        declared_ms = declared_ms or DEFAULT_RUN_MS
        expected_ms = self.run_ms(queue, declared_ms, slowness)
        ratio = _clamp(actual_ms / declared_ms / slowness, RATIO_BOUNDS)
        previous = self._ratios.get(queue, 1.0)
        self._ratios[queue] = previous + RATIO_WEIGHT * (ratio - previous)
        factor = _clamp(actual_ms / expected_ms, RATIO_BOUNDS)
        return _clamp(slowness * (1 + SLOWNESS_WEIGHT * (factor - 1)), SLOWNESS_BOUNDS)


def _clamp(value: float, bounds: tuple[float, float]) -> float:
    return min(max(value, bounds[0]), bounds[1])

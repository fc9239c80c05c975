"""Run times learned from completed runs, because declared estimates are far off."""

from collections.abc import Mapping
from dataclasses import dataclass, field

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
    """Learned ratio of actual to declared run time per queue.

    Attributes
    ----------
    team_limits
        What each team with a limit may have running, on which the duration of wide steps depends.
    """

    team_limits: Mapping[str, Resources] = field(default_factory=dict)
    _ratios: dict[str, float] = field(default_factory=dict)

    def run_ms(self, queue: str, declared_ms: float, slowness: float = 1.0) -> float:
        """Return the expected run time in milliseconds on a worker of the given slowness."""
        declared_ms = declared_ms or DEFAULT_RUN_MS
        return declared_ms * self._ratios.get(queue, 1.0) * slowness

    def observe(self, queue: str, declared_ms: float, actual_ms: float, slowness: float) -> float:
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

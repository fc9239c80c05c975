"""Progress of a run, and relative durations of the tasks of a step, as reports show them."""

import math
from dataclasses import dataclass, field

# A task reports its progress in whole points of a hundred. Over fewer points than this, the
# rounding would distort a rate by more than a tenth.
MIN_POINTS = 5
FULL_POINTS = 100
# Standard deviation of a difference of two rounded values.
ROUNDING_DEVIATION = 0.4


@dataclass(slots=True)
class RunProgress:
    """Progress of one run.

    Attributes
    ----------
    start_ms, start_points
        Time and progress from which the duration of the task is computed.
    mark_ms, mark_points
        Time and progress at the end of the last window.
    points_per_ms
        Rate in the last window; 0 before the first one has ended.
    last_ms, last_points
        Latest progress.
    has_counted
        Whether the duration of the task has been compared with those of others.
    """

    start_ms: float
    start_points: int
    mark_ms: float
    mark_points: int
    last_ms: float
    last_points: int
    points_per_ms: float = 0.0
    has_counted: bool = False

    @classmethod
    def starting(cls, now_ms: float, points: int = 0) -> "RunProgress":
        """Return the progress of a run that is first observed now."""
        return cls(now_ms, points, now_ms, points, now_ms, points)

    def observe(self, now_ms: float, points: int) -> None:
        """Record the progress in a report."""
        self.last_ms = now_ms
        self.last_points = points

    @property
    def duration_ms(self) -> float | None:
        """Return the duration of the whole task at its observed rate, if it has any progress."""
        points = self.last_points - self.start_points
        if points <= 0 or self.last_ms <= self.start_ms:
            return None
        return (self.last_ms - self.start_ms) * FULL_POINTS / points

    @property
    def window_points(self) -> float:
        """Return the progress since the last window, as expected from the rate before."""
        return self.points_per_ms * (self.last_ms - self.mark_ms)

    @property
    def window_ratio(self) -> float:
        """Return the actual progress since the last window, as a share of the expected one."""
        # Progress is rounded down, by half a point on average.
        return (self.last_points - self.mark_points + 0.5) / (self.window_points + 0.5)

    @property
    def window_evidence(self) -> float:
        """Return the larger one of the actual and the expected progress since the last window."""
        return max(self.window_points, self.last_points - self.mark_points)

    def close_window(self) -> None:
        """Start a new window. Its rate is that of the one that ends."""
        points = self.last_points - self.mark_points
        elapsed_ms = self.last_ms - self.mark_ms
        if points and elapsed_ms > 0:
            self.points_per_ms = points / elapsed_ms
        self.mark_ms, self.mark_points = self.last_ms, self.last_points

    @property
    def expected_end_ms(self) -> float | None:
        """Return when the run ends at its last rate; ``None`` while that is unknown."""
        if not self.points_per_ms:
            return None
        return self.last_ms + (FULL_POINTS - self.last_points) / self.points_per_ms


@dataclass(slots=True)
class PaceRecord:
    """Durations of the tasks of one step on one worker.

    Attributes
    ----------
    log_sum
        Sum of the logarithms of the durations in milliseconds.
    is_used
        Whether the speed of the worker was learned from it.
    rounding_variance
        Largest variance of a logarithm that is due to the rounding of progress.
    """

    log_sum: float = 0.0
    count: int = 0
    is_used: bool = False
    rounding_variance: float = 0.0

    @property
    def log_mean(self) -> float:
        """Return the mean of the logarithms."""
        return self.log_sum / self.count


@dataclass(slots=True)
class StepPace:
    """Durations of the tasks of a step per worker.

    Attributes
    ----------
    first_ms
        Time of the first record that is not used yet; ``None`` without one.
    """

    records: dict[str, PaceRecord] = field(default_factory=dict)
    first_ms: float | None = None

    def add(self, worker_id: str, duration_ms: float, points: int, now_ms: float) -> None:
        """Add the duration of one task, as extrapolated from its progress over some points."""
        record = self.records.setdefault(worker_id, PaceRecord())
        record.log_sum += math.log(duration_ms)
        record.count += 1
        rounding = ROUNDING_DEVIATION / points
        record.rounding_variance = max(record.rounding_variance, rounding * rounding)
        if not record.is_used and self.first_ms is None:
            self.first_ms = now_ms

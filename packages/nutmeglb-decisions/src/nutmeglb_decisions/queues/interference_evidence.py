"""Evidence on how one kind of tasks is slowed down by the kinds beside it on a worker.

Load pattern: tasks that compete for something that is not charged, on workers of uneven speed and
with wrong estimates. Durations of runs are regressed on the shares of their neighbours by
generalized least squares, in which runs on one worker and runs of one step have common errors.
"""

import math
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.least_squares import Vector, solve_with_inverse

# Number of neighbouring kinds with a coefficient of their own. The others share the next one, and
# the last is that of the utilization above FULL_SHARE.
NEIGHBOURS = 7
REST, FULL, Y = NEIGHBOURS, NEIGHBOURS + 1, NEIGHBOURS + 2
FULL_SHARE = 0.8
# Evidence is halved in this time.
HALF_LIFE_MS = 60_000.0
# Standard errors by which the effect of a pair must exceed what callers notice.
BEGIN_ERRORS = 4.5
# Fewer steps, faded, give no reliable standard error.
MIN_STEPS = 40.0
# A logarithm beyond this is due to a hung or an empty task.
MAX_LOG_RATIO = 1.5
# Precision of the assumption that there is no effect, in squared shares.
RIDGE = 0.01
MAX_NAMES = 32
# Number of former runs that the mean of a worker or step covers, and that of a kind.
MEAN_RUNS = 20
KIND_MEAN_RUNS = 200
# Largest share of the variance of tasks that those of one step are taken to have in common.
MAX_SHARED = 0.95
# The share is taken for this one at first, with the weight of this sum of squares.
FIRST_SHARED = 0.9
FIRST_SQUARES = 2.0
MIN_SQUARES = 1e-6
# A kind gets the coefficient of another one if it is seen this much more.
REPLACE_FACTOR = 2.0


@dataclass(slots=True)
class Group:
    """Mean of the former observations of one worker or step, whose errors have a common part."""

    mean: Vector
    count: int = 0

    def innovation(self, values: Vector, shared: float) -> Vector:
        """Return the part of an observation that the former ones do not predict, and add it.

        Generalized least squares for errors with a common part of each group: innovations have
        independent errors of equal variance.

        Parameters
        ----------
        shared
            Share of the variance that the group has in common, below 1.
        """
        former = self.count * shared / (1 + (self.count - 1) * shared) if self.count else 0.0
        scale = 1 / math.sqrt(1 - former * shared)
        result = [scale * (new - former * old) for new, old in zip(values, self.mean, strict=True)]
        self.count = min(self.count + 1, MEAN_RUNS)
        self.mean = [
            old + (new - old) / self.count for new, old in zip(values, self.mean, strict=True)
        ]
        return result


@dataclass(slots=True)
class KindEvidence:
    """Evidence on the runs of one kind.

    Attributes
    ----------
    columns
        Neighbouring kinds with a coefficient of their own.
    seen
        Faded sum of the shares beside runs of this kind, by neighbouring kind.
    moments
        Faded sums of products of the observed values.
    usual
        Faded sums of shares and squared shares, by column.
    mean_log, logs
        Running mean of the logarithm of the ratio of actual to declared durations, and how many it
        covers.
    runs, steps
        Faded numbers of runs, and of steps or single tasks.
    step_products, step_squares
        Faded sums of the products of two logarithms of one step, and of their squares.
    """

    columns: list[str] = field(default_factory=list)
    seen: dict[str, float] = field(default_factory=dict)
    moments: list[Vector] = field(default_factory=lambda: [[0.0] * (Y + 1) for _ in range(Y + 1)])
    usual: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0] for _ in range(REST)])
    mean_log: float = 0.0
    logs: int = 0
    step_products: float = FIRST_SHARED * FIRST_SQUARES
    step_squares: float = FIRST_SQUARES
    runs: float = 0.0
    steps: float = 0.0
    updated_ms: float = 0.0
    next_check_ms: float = 0.0

    def fade(self, now_ms: float) -> None:
        """Fade the evidence for the time since the last update."""
        factor = 0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.updated_ms = now_ms
        self.runs *= factor
        self.steps *= factor
        self.step_products *= factor
        self.step_squares *= factor
        self.moments = [[factor * value for value in row] for row in self.moments]
        self.usual = [[factor * value for value in row] for row in self.usual]
        self.seen = {name: factor * value for name, value in self.seen.items()}

    def see(self, beside: dict[str, float]) -> bool:
        """Count neighbours. Return whether a coefficient now stands for another kind."""
        for name, share in beside.items():
            if name in self.seen or len(self.seen) < MAX_NAMES:
                self.seen[name] = self.seen.get(name, 0.0) + share
            else:
                least = min(self.seen, key=lambda seen: self.seen[seen])
                if least not in self.columns:
                    del self.seen[least]
                    self.seen[name] = share
        others = [name for name in self.seen if name not in self.columns]
        if not others:
            return False
        most = max(others, key=lambda name: self.seen[name])
        if len(self.columns) < NEIGHBOURS:
            self.columns.append(most)
            self._reset(len(self.columns) - 1)
            return True
        least = min(self.columns, key=lambda name: self.seen.get(name, 0.0))
        if self.seen[most] <= REPLACE_FACTOR * self.seen.get(least, 0.0):
            return False
        column = self.columns.index(least)
        self.columns[column] = most
        self._reset(column)
        return True

    def _reset(self, column: int) -> None:
        self.usual[column] = [0.0, 0.0]
        self.moments[column] = [0.0] * (Y + 1)
        for row in self.moments:
            row[column] = 0.0

    def values(self, beside: dict[str, float], utilization: float, log_ratio: float) -> Vector:
        """Return an observation: shares by column, utilization above the limit, logarithm."""
        values = [0.0] * (Y + 1)
        for name, share in beside.items():
            column = self.columns.index(name) if name in self.columns else REST
            values[column] += share
        for column in range(REST):
            self.usual[column][0] += values[column]
            self.usual[column][1] += values[column] * values[column]
        values[FULL] = max(0.0, utilization - FULL_SHARE)
        values[Y] = log_ratio
        return values

    def log_ratio(self, took_ms: float, declared_ms: float) -> float:
        """Return the logarithm of a duration over the usual one of the kind, within limits."""
        log = math.log(max(took_ms, 1.0) / declared_ms)
        if not self.logs:
            self.mean_log = log
        self.logs = min(self.logs + 1, KIND_MEAN_RUNS)
        difference = min(max(log - self.mean_log, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        self.mean_log += difference / self.logs
        return difference

    def shared_by_step(self, former: Group, values: Vector) -> float:
        """Return the share of the variance of logarithms that tasks of one step have in common."""
        if not former.count:
            self.steps += 1
        else:
            self.step_products += values[Y] * former.mean[Y]
            self.step_squares += values[Y] * values[Y]
        shared = self.step_products / max(self.step_squares, MIN_SQUARES)
        return min(max(shared, 0.0), MAX_SHARED)

    def add(self, values: Vector) -> None:
        """Add an observation, as deviations from means."""
        self.runs += 1
        for row, value in zip(self.moments, values, strict=True):
            if value:
                for column, other in enumerate(values):
                    row[column] += value * other

    def effects(self) -> dict[str, tuple[float, float, float]]:
        """Return slope, effect and standard error of the effect by neighbouring kind.

        The effect is the difference from that of another kind, because a full worker slows tasks
        down beside all kinds, and a choice between workers depends on differences only.
        """
        free = self.runs - Y
        if self.steps < MIN_STEPS or free <= 0:
            return {}
        products = [row[:Y] for row in self.moments[:Y]]
        slopes, inverse = solve_with_inverse(products, [row[Y] for row in self.moments[:Y]], RIDGE)
        explained = sum(slope * row[Y] for slope, row in zip(slopes, self.moments[:Y], strict=True))
        variance = max(0.0, self.moments[Y][Y] - explained) / free
        found = {}
        for column, name in enumerate(self.columns):
            total, squares = self.usual[column]
            if not total:
                continue
            slope = slopes[column]
            usual_share = squares / total
            contrasts = [
                _bound(
                    slope - slopes[n],
                    variance * (inverse[column][column] + inverse[n][n] - 2 * inverse[column][n]),
                )
                for n in range(REST + 1)
                if n != column and self.moments[n][n] > 0.0
            ]
            if not contrasts:
                continue
            _, slope, error = max(contrasts)
            found[name] = (slope, slope * usual_share, error * usual_share)
        return found


def _bound(slope: float, variance: float) -> tuple[float, float, float]:
    """Return the lower confidence bound of a slope, the slope, and its standard error."""
    error = math.sqrt(max(0.0, variance))
    return slope - BEGIN_ERRORS * error, slope, error

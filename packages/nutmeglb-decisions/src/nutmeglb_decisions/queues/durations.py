"""Run times of tasks per queue, learned from declared ones that are far off.

Load pattern: declared run times that are off by up to 0.9 of the true ones, in either direction. A
declared run time of half the usual one then mostly means that the declaration is too low. So the
logarithm of the true run time is a linear function of that of the declared one, with a slope of 1
where declarations are exact and of 0 where they mean nothing.
"""

import math
from dataclasses import dataclass
from statistics import NormalDist

# Weight of the assumption that declared run times are exact, in steps.
PRIOR_STEPS = 4.0
# Variance of the logarithm of a declared run time among the steps of a queue, which this assumption
# includes.
PRIOR_SPREAD = 0.2
# Variance of the logarithm of a run time around the expected one, as long as little is known, and
# the least one that is assumed.
PRIOR_VARIANCE = 0.3
MIN_VARIANCE = 0.01
# Older steps lose weight, so that a change of the load is followed within this many steps.
MEMORY_STEPS = 300.0
# Steps from which the learned run times are used.
MIN_STEPS = 12.0


@dataclass(slots=True)
class QueueDurations:
    """Regression of the true run times of a queue's steps on the declared ones, in logarithms.

    Attributes
    ----------
    weight, mean_x, mean_y
        Number of steps, older ones weighted less, and means of the logarithms of the declared and
        the true run times.
    spread_x, spread_xy
        Weighted sums of the squared deviations of the declared run times, and of the products.
    variance
        Mean squared error of the predictions.
    """

    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    spread_x: float = 0.0
    spread_xy: float = 0.0
    variance: float = PRIOR_VARIANCE

    @property
    def is_known(self) -> bool:
        """Return whether enough steps were observed."""
        return self.weight >= MIN_STEPS

    @property
    def slope(self) -> float:
        """Return by how much the true run time follows the declared one, from 0 to 1."""
        prior = PRIOR_STEPS * PRIOR_SPREAD
        slope = (self.spread_xy + prior) / (self.spread_x + prior)
        return min(max(slope, 0.0), 1.0)

    def log_ms(self, declared_ms: float) -> float:
        """Return the expected logarithm of the run time in milliseconds on an average worker."""
        x = math.log(declared_ms)
        if not self.weight:
            return x
        # The mean error is learned at once: a common factor needs few steps.
        return self.mean_y + self.slope * (x - self.mean_x)

    def quantile_ms(self, declared_ms: float, share: float) -> float:
        """Return the run time that the given share of steps does not exceed."""
        deviations = NormalDist().inv_cdf(share)
        return math.exp(self.log_ms(declared_ms) + deviations * math.sqrt(self.variance))

    def observe(self, declared_ms: float, log_ms: float) -> None:
        """Learn from the logarithm of a step's run time on an average worker."""
        x = math.log(declared_ms)
        error = log_ms - self.log_ms(declared_ms)
        self.weight = min(self.weight + 1, MEMORY_STEPS)
        share = 1 / self.weight
        self.variance = max(
            MIN_VARIANCE,
            self.variance + (error * error - self.variance) / (self.weight + PRIOR_STEPS),
        )
        keep = 1 - 1 / MEMORY_STEPS
        deviation_x = x - self.mean_x
        self.mean_x += share * deviation_x
        self.mean_y += share * (log_ms - self.mean_y)
        self.spread_x = keep * self.spread_x + deviation_x * (x - self.mean_x)
        self.spread_xy = keep * self.spread_xy + deviation_x * (log_ms - self.mean_y)

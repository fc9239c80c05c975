"""Error of expected run times when the declared ones are off, and how often a quantile holds."""

import math
import random
from collections.abc import Iterator
from statistics import median

from measure.figures import Figures
from measure.queue_mix import draw
from nutmeglb_decisions.queues.estimates import Estimates

SEEDS = (1, 2, 3)
STEPS = 300
# Declared run times are off by a factor of up to 1 minus to 1 plus this.
ERRORS = (0.2, 0.5, 0.9)
RUN_MS = (1_900.0, 20_000.0)
QUEUE = "queue"
HIGH_SHARE = 0.9


def run_time_errors(error: float, seed: int) -> dict[str, float]:
    """Return the median relative errors of declared, mean-ratio and learned run times."""
    rng = random.Random(seed)
    before, learned = Estimates(), Estimates()
    declared_errors, before_errors, learned_errors = [], [], []
    within = 0
    for _ in range(STEPS):
        true_ms = draw(RUN_MS, rng)
        declared_ms = true_ms * rng.uniform(1 - error, 1 + error)
        high_ms = learned.safe_run_ms(QUEUE, declared_ms, HIGH_SHARE)
        declared_errors.append(abs(math.log(declared_ms / true_ms)))
        before_errors.append(abs(math.log(before.run_ms(QUEUE, declared_ms) / true_ms)))
        learned_errors.append(abs(math.log(learned.run_ms(QUEUE, declared_ms) / true_ms)))
        within += true_ms <= high_ms
        before.observe(QUEUE, declared_ms, true_ms, 1.0)
        learned.durations(QUEUE).observe(declared_ms, math.log(true_ms))
    return {
        "declared_error": round(math.expm1(median(declared_errors)), 3),
        "mean_ratio_error": round(math.expm1(median(before_errors)), 3),
        "learned_error": round(math.expm1(median(learned_errors)), 3),
        "within_p90_share": round(within / STEPS, 3),
    }


def queue_durations() -> Iterator[Figures]:
    """Measure the error of expected run times by the error of declared ones."""
    for error in ERRORS:
        for seed in SEEDS:
            figures = run_time_errors(error, seed)
            size = f"{STEPS} steps, declared off by {error}"
            yield Figures("queue_durations", size, "learned", "mean ratio", seed, figures)


CASES = {"queue_durations": queue_durations}

"""What a leader has learned of speeds and run times, for the record that its successor reads.

Load pattern: a change of leader under load. Without the record the next leader would place urgent
work on slow workers for as many seconds as the former one needed to learn.
"""

import math

from nutmeglb_decisions.queues.access import find_queue_key
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.durations import QueueDurations
from nutmeglb_decisions.queues.worker_speed import (
    NEW_LIFE_VARIANCE,
    SLOWNESS_BOUNDS,
    WorkerSpeed,
)
from nutmeglb_formats.models.queue_records import LearnedRunTimes, LearnedSpeed, LearnedState

# Speeds are stored in thousandths.
SCALE = 1_000
# Stored run times count as this many steps at most, so that the next leader soon corrects them.
MAX_STORED_STEPS = 50.0
MAX_LOG_MS = math.log(1e9)


def encode(cell: Cell) -> LearnedState:
    """Return the record of what is known. Temporary changes of speed are left out."""
    speeds = [
        LearnedSpeed(name, round(speed.base_log * SCALE), round(speed.variance * SCALE))
        for name, speed in sorted(cell.speeds.by_machine.items())
        if speed.observations
    ]
    run_times = [
        LearnedRunTimes(
            key, known.weight, known.mean_x, known.mean_y, known.spread_x, known.spread_xy,
            known.variance,
        )
        for key, known in sorted(cell.estimates.known_durations().items())
    ]  # fmt: skip
    return LearnedState(speeds, run_times)


def restore(cell: Cell, stored: LearnedState) -> None:
    """Start with what a former leader has learned. Invalid entries are ignored."""
    lower, upper = (math.log(bound) for bound in SLOWNESS_BOUNDS)
    for entry in stored.speeds:
        base_log = entry.log_slowness / SCALE
        if lower <= base_log <= upper and entry.variance >= 0:
            variance = max(entry.variance / SCALE, NEW_LIFE_VARIANCE)
            cell.speeds.by_machine[entry.machine] = WorkerSpeed(base_log, variance, observations=1)
            cell.speeds.progress_is_visible = True
    for known in stored.run_times:
        values = (known.weight, known.mean_x, known.mean_y, known.spread_x, known.spread_xy)
        is_valid = all(math.isfinite(value) for value in (*values, known.variance))
        key = find_queue_key(cell.config, known.queue)
        if (
            key is not None
            and is_valid
            and known.weight > 0
            and known.variance > 0
            and known.spread_x >= 0
        ):
            share = min(1.0, MAX_STORED_STEPS / known.weight)
            cell.estimates.set_durations(
                key,
                QueueDurations(
                    known.weight * share,
                    min(max(known.mean_x, 0.0), MAX_LOG_MS),
                    min(max(known.mean_y, 0.0), MAX_LOG_MS),
                    known.spread_x * share,
                    known.spread_xy * share,
                    known.variance,
                ),
            )
    for worker in cell.workers.values():
        speed = cell.speeds.known(worker)
        if speed is not None:
            worker.slowness = speed.slowness

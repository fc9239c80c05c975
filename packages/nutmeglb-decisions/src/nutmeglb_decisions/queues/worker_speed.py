"""What is known of the speed of one worker, and the speeds of all workers."""

import math
from dataclasses import dataclass, field
from statistics import median

from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.worker_state import Worker

# Variance of the logarithm of the speed of a worker of which nothing is known.
PRIOR_VARIANCE = 0.16
MIN_VARIANCE = 0.004
# Variance at the start of a new life: a machine keeps its kind, but a new life may be of another.
NEW_LIFE_VARIANCE = 0.02
# Tasks in a row whose run times on a worker are off by this factor show that its speed has changed.
# A single task may be unusual by itself.
SURPRISING_FACTOR = 2.5
SURPRISES = 3
# An observation further than this many standard deviations from its expectation counts as if it
# were this far away: a task may take many times as long as those of its step.
MAX_DEVIATIONS = 2.5
# A speed is evident when it differs from the average by this factor, and by this many standard
# deviations. Smaller differences do not decide whether a job is in time.
EVIDENT_FACTOR = 1.2
EVIDENT_DEVIATIONS = 1.0
# Bounds of the learned slowness, with and without a temporary change.
SLOWNESS_BOUNDS = (0.4, 2.5)
TEMPORARY_BOUND = 10.0
# A temporary change below this factor has ended.
ENDED_FACTOR = 1.3
# A temporary change is believed for this time after the last evidence of it, and then halved each
# time this passes again.
BELIEVED_MS = 2_000.0


def speed_class(slowness: float) -> str:
    """Return whether a worker of the given slowness counts as fast, average or slow."""
    if slowness < 1 / EVIDENT_FACTOR:
        return "fast"
    return "slow" if slowness > EVIDENT_FACTOR else "average"


@dataclass(slots=True)
class WorkerSpeed:
    """Learned slowness of one machine, the ratio of its run times to those on an average one.

    Attributes
    ----------
    base_log, variance
        Logarithm of the slowness without a temporary change, and its variance.
    temporary_log
        Logarithm of the factor of a temporary change; 0 without one.
    confirmed_ms
        Time of the last evidence of the temporary change.
    observations
        Number of steps that were learned from.
    surprises
        Logarithms of the latest unexpected ratios in a row, one per task and all of one sign.
    """

    base_log: float = 0.0
    variance: float = PRIOR_VARIANCE
    temporary_log: float = 0.0
    confirmed_ms: float = 0.0
    observations: int = 0
    surprises: list[float] = field(default_factory=list)

    @property
    def is_evident(self) -> bool:
        """Return whether the worker clearly differs from an average one."""
        least_log = max(math.log(EVIDENT_FACTOR), EVIDENT_DEVIATIONS * math.sqrt(self.variance))
        return abs(self.base_log) > least_log

    @property
    def log_slowness(self) -> float:
        """Return the logarithm of the current slowness."""
        return self.base_log + self.temporary_log

    @property
    def slowness(self) -> float:
        """Return the current slowness; 1 without a temporary change or evidence."""
        return self.usual_slowness * math.exp(self.temporary_log)

    @property
    def usual_slowness(self) -> float:
        """Return the slowness without a temporary change; 1 without evidence."""
        return math.exp(self.base_log) if self.is_evident else 1.0

    def learn(self, log_ratio: float, variance: float, tasks: int, now_ms: float) -> None:
        """Learn from run times that differ from the expected ones of an average worker.

        Parameters
        ----------
        log_ratio, variance
            Logarithm of the ratio to the expected run time, and the variance that it has itself.
        tasks
            Number of tasks with this mean ratio.
        """
        limit = MAX_DEVIATIONS * math.sqrt(self.variance + variance)
        difference = log_ratio - self.log_slowness
        is_surprise = abs(difference) > max(limit, math.log(SURPRISING_FACTOR))
        if not is_surprise:
            self.surprises = []
        else:
            self.surprises = [d for d in self.surprises if (d > 0) == (difference > 0)]
            self.surprises.extend([difference] * tasks)
            if len(self.surprises) >= SURPRISES:
                self.change(median(self.surprises), now_ms)
                return
        gain = self.variance / (self.variance + variance)
        step = gain * min(max(difference, -limit), limit)
        self.observations += 1
        if self.temporary_log:
            self.confirmed_ms = now_ms
            self._set_temporary(self.temporary_log + step)
            return
        lower, upper = SLOWNESS_BOUNDS
        self.base_log = min(max(self.base_log + step, math.log(lower)), math.log(upper))
        self.variance = max(MIN_VARIANCE, self.variance * (1 - gain))

    def change(self, log_factor: float, now_ms: float) -> None:
        """Apply a change of the slowness by the given factor."""
        self.confirmed_ms = now_ms
        self.surprises = []
        if log_factor < 0 and not self.temporary_log:
            # The worker was slow since it was first observed, so its usual speed is not known.
            self.base_log, self.variance = 0.0, PRIOR_VARIANCE
            return
        self._set_temporary(self.temporary_log + log_factor)

    def confirm(self, now_ms: float) -> None:
        """Record that the tasks of the worker progress as before."""
        self.confirmed_ms = now_ms

    def expire(self, now_ms: float) -> bool:
        """Halve a temporary change that was not confirmed for some time. Return whether it was."""
        if now_ms - self.confirmed_ms < BELIEVED_MS:
            return False
        self.confirmed_ms = now_ms
        self._set_temporary(self.temporary_log / 2)
        return True

    def begin_life(self) -> None:
        """Start a new life of the machine."""
        self.temporary_log = 0.0
        self.surprises = []
        self.variance = max(self.variance, NEW_LIFE_VARIANCE)

    def _set_temporary(self, log_factor: float) -> None:
        is_over = log_factor < math.log(ENDED_FACTOR)
        self.temporary_log = 0.0 if is_over else min(log_factor, math.log(TEMPORARY_BOUND))


@dataclass(slots=True)
class Speeds:
    """Learned speeds by machine; by worker where the platform names no machines.

    Attributes
    ----------
    progress_is_visible
        Whether any report has shown progress of a task. Without it, no speed is learned here.
    steps_to_compare
        Steps of which the report in hand has shown new durations.
    """

    by_machine: dict[str, WorkerSpeed] = field(default_factory=dict)
    progress_is_visible: bool = False
    steps_to_compare: list[Step] = field(default_factory=list)

    def of(self, worker: Worker) -> WorkerSpeed:
        """Return what is known of a worker."""
        return self.by_machine.setdefault(worker.info.machine or worker.worker_id, WorkerSpeed())

    def known(self, worker: Worker) -> WorkerSpeed | None:
        """Return what is known of a worker, or ``None`` if nothing is."""
        return self.by_machine.get(worker.info.machine or worker.worker_id)

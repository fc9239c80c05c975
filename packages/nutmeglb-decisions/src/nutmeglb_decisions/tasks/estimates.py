"""Estimates of task size and run time per team and job name, based on earlier tasks."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from nutmeglb_formats.models.resources import Resources

# Samples per job name. After a job changes, its estimates are up to date within this many tasks.
SAMPLE_WINDOW = 64
# With fewer samples the upper quantiles are meaningless.
MIN_SAMPLES = 5
SIZE_QUANTILE = 0.95
RUN_QUANTILE = 0.75
SIZE_MARGIN = 1.15
MAX_JOB_NAMES = 5_000

JobKey = tuple[str, str]


@dataclass(slots=True)
class _Samples:
    cpu: deque[int] = field(default_factory=lambda: deque(maxlen=SAMPLE_WINDOW))
    memory: deque[int] = field(default_factory=lambda: deque(maxlen=SAMPLE_WINDOW))
    run_ms: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLE_WINDOW))


def quantile(values: deque[int] | deque[float], share: float) -> float:
    """Return the value that ``share`` (0 to 1) of the values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Estimates:
    """Usage samples of a bounded number of job names. The least recently used name is evicted."""

    def __init__(self) -> None:
        self._samples: OrderedDict[JobKey, _Samples] = OrderedDict()

    def observe_use(self, key: JobKey, cpu_millis: int, memory_bytes: int) -> None:
        """Record the peak usage of one task."""
        samples = self._samples_of(key)
        samples.cpu.append(cpu_millis)
        samples.memory.append(memory_bytes)

    def observe_run(self, key: JobKey, run_ms: float) -> None:
        """Record the run time of one successful task."""
        self._samples_of(key).run_ms.append(run_ms)

    def run_ms(self, key: JobKey, declared_ms: float) -> float:
        """Return the expected run time of a task in milliseconds."""
        samples = self._samples.get(key)
        if samples is None or len(samples.run_ms) < MIN_SAMPLES:
            return declared_ms
        return quantile(samples.run_ms, RUN_QUANTILE)

    def size(self, key: JobKey, declared: Resources) -> Resources:
        """Return the expected peak usage of a task, at most the declared size."""
        samples = self._samples.get(key)
        if samples is None or len(samples.cpu) < MIN_SAMPLES:
            return declared
        cpu = int(quantile(samples.cpu, SIZE_QUANTILE) * SIZE_MARGIN)
        memory = int(quantile(samples.memory, SIZE_QUANTILE) * SIZE_MARGIN)
        return Resources(
            min(max(1, cpu), declared.cpu_millis),
            min(max(1, memory), declared.memory_bytes),
            declared.accelerators,
        )

    def _samples_of(self, key: JobKey) -> _Samples:
        samples = self._samples.get(key)
        if samples is None:
            samples = self._samples[key] = _Samples()
            if len(self._samples) > MAX_JOB_NAMES:
                self._samples.popitem(last=False)
        self._samples.move_to_end(key)
        return samples

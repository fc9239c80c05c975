"""Headroom that work of lower priority leaves to urgent work while gangs wait.

Load pattern: a saturated service with a steady stream of short urgent tasks. Without headroom,
low-priority work takes the capacity of each urgent task that ends, and the next urgent task then
takes the capacity that accumulates for a gang, so that no gang ever starts.
"""

from collections import defaultdict
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from nutmeglb_decisions.queues.worker_state import Worker

# The recorded peak usage of a class halves in this time; urgent tasks last about a second.
PEAK_HALF_LIFE_MS = 2_000.0
# Summing over thousands of runs is expensive, and a recorded peak loses only 2 % in this interval.
SAMPLE_INTERVAL_MS = 50.0


@dataclass(slots=True)
class ClassUsage:
    """Current and recent peak CPU usage per service and priority.

    Attributes
    ----------
    cpu_outside_plans
        Millicores in use on workers that no gang waits for.
    largest_task_cpu
        Millicores of the largest task seen.
    """

    cpu_outside_plans: dict[tuple[str, int], int] = field(default_factory=dict)
    largest_task_cpu: dict[tuple[str, int], int] = field(default_factory=dict)
    _peaks: dict[tuple[str, int], float] = field(default_factory=dict)
    _sampled_ms: float = -SAMPLE_INTERVAL_MS

    def sample(self, workers: Iterable[Worker], planned: Container[str], now_ms: float) -> None:
        """Sum up the CPU that runs use, at most once per sample interval.

        ``planned`` holds the workers that gangs wait for.
        """
        if now_ms - self._sampled_ms < SAMPLE_INTERVAL_MS:
            return
        cpu_in_use: dict[tuple[str, int], int] = defaultdict(int)
        cpu_outside_plans: dict[tuple[str, int], int] = defaultdict(int)
        for worker in workers:
            for run in worker.runs.values():
                queue = run.step.job.record.queue
                key, cpu = (queue.service, queue.priority), run.charged.cpu_millis
                cpu_in_use[key] += cpu
                if worker.worker_id not in planned:
                    cpu_outside_plans[key] += cpu
                self.largest_task_cpu[key] = max(self.largest_task_cpu.get(key, 0), cpu)
        decay = 0.5 ** ((now_ms - self._sampled_ms) / PEAK_HALF_LIFE_MS)
        self._sampled_ms = now_ms
        self.cpu_outside_plans = dict(cpu_outside_plans)
        decayed_peaks = {key: peak * decay for key, peak in self._peaks.items()}
        self._peaks = {
            key: max(cpu_in_use.get(key, 0), decayed_peaks.get(key, 0.0))
            for key in cpu_in_use.keys() | decayed_peaks.keys()
        }

    def headroom(self, service: str, priority: int) -> float:
        """Return the millicores to keep free for the classes of higher priority.

        This is their recent peak usage minus their usage on workers that no gang waits for. Their
        usage on the workers that gangs wait for will need capacity on other workers, too.
        """
        return sum(
            peak - self.cpu_outside_plans.get(key, 0)
            for key, peak in self._peaks.items()
            if key[0] == service and key[1] < priority
        )

    def unit(self, service: str, priority: int) -> int:
        """Return the millicores of the largest task in the classes of higher priority."""
        return max(
            (
                cpu
                for key, cpu in self.largest_task_cpu.items()
                if key[0] == service and key[1] < priority
            ),
            default=0,
        )


def spare_cpu(
    workers: Iterable[Worker], service: str, planned: Mapping[str, int], unit: int
) -> int:
    """Return the free millicores of a service that are not planned for gangs.

    Parameters
    ----------
    planned
        Millicores that gangs wait for, per worker.
    unit
        Millicores of the largest urgent task. Smaller amounts on a worker do not count.
    """
    return sum(
        usable_spare_cpu(worker.free.cpu_millis - planned.get(worker.worker_id, 0), unit)
        for worker in workers
        if worker.info.service == service
    )


def usable_spare_cpu(amount: int, unit: int) -> int:
    """Return the free millicores of one worker, or 0 if a task of size ``unit`` does not fit."""
    return amount if amount >= max(1, unit) else 0

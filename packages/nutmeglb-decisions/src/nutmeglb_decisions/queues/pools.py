"""Tracks which labels and task sizes the workers of each service support.

Load pattern: a burst of jobs that need a label or a size that no worker has. They are refused
immediately, because each of them would only wait until its deadline.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.models.queues import QueueJob, StepSpec
from nutmeglb_formats.models.resources import Resources

# Pseudo label that matches every worker.
ANY_LABEL = ""
# An absent worker still counts for this long, because crashed ones return within some seconds.
POOL_RETENTION_MS = 10_000.0
# Retry delay for the caller of a job that no worker can run.
UNSERVABLE_RETRY_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class Pool:
    """Largest amount of each resource on any worker of a service with a label."""

    service: str
    label: str
    largest: Resources


@dataclass(slots=True)
class Pools:
    """The pools seen recently.

    Attributes
    ----------
    first_refresh_ms
        Time of the first refresh. No pools are reported until all workers had time to register.
    """

    first_refresh_ms: float
    _last_seen_ms: dict[Pool, float]

    @classmethod
    def begin(cls, now_ms: float) -> "Pools":
        """Return a state without pools that starts at ``now_ms``."""
        return cls(now_ms, {})

    def refresh(self, cell: Cell, now_ms: float) -> None:
        """Add the pools of the listed workers, and drop those not seen for the retention time."""
        for pool in _current_pools(cell):
            self._last_seen_ms[pool] = now_ms
        for pool, seen_ms in list(self._last_seen_ms.items()):
            if now_ms - seen_ms > POOL_RETENTION_MS:
                del self._last_seen_ms[pool]

    def known_pools(self, now_ms: float) -> list[Pool]:
        """Return the pools, or none while some workers may not have registered yet."""
        return (
            list(self._last_seen_ms) if now_ms - self.first_refresh_ms >= POOL_RETENTION_MS else []
        )


def _current_pools(cell: Cell) -> Iterable[Pool]:
    largest: dict[tuple[str, str], Resources] = {}
    for worker in cell.workers.values():
        if not worker.listed:
            continue
        for label in (ANY_LABEL, *worker.info.labels):
            key = (worker.info.service, label)
            largest[key] = largest.get(key, Resources()).component_max(worker.info.capacity)
    return [Pool(service, label, amount) for (service, label), amount in largest.items()]


def unservable_cause(record: QueueJob, pools: Iterable[Pool]) -> str:
    """Return why no worker can run some step of a job, or an empty string if workers can.

    The string is also empty for a service without pools, whose workers may not be known yet.
    """
    by_label: dict[str, list[Resources]] = {}
    for pool in pools:
        if pool.service == record.queue.service:
            by_label.setdefault(pool.label, []).append(pool.largest)
    if not by_label:
        return ""
    return next((cause for step in record.steps if (cause := _cause(step, by_label))), "")


def _cause(step: StepSpec, by_label: Mapping[str, list[Resources]]) -> str:
    largest_amounts = by_label.get(step.required_label)
    if not largest_amounts:
        return "no worker has the label of a step"
    if not any(step.charged.fits_in(amount) for amount in largest_amounts):
        return "no worker is large enough for a task of a step"
    return ""

"""What the workers of each service can run at all.

Load pattern answered: a burst of jobs that need a label or a size that no worker has. They are
refused at once, since each would only wait until its deadline.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.models.queues import QueueJob, StepSpec
from nutmeglb_formats.models.resources import Resources

# Label of every worker.
ANY_LABEL = ""
# A worker that is away for less than this still counts: crashed ones return within some seconds.
POOL_RETENTION_MS = 10_000.0
# A caller that needs a worker of another kind comes back this late.
UNSERVABLE_RETRY_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class Pool:
    """Largest amount of each resource that one of the workers with a label has."""

    service: str
    label: str
    largest: Resources


@dataclass(slots=True)
class Pools:
    """The pools that were seen lately.

    Attributes
    ----------
    since_ms
        Time of the first look. Before all workers had time to show themselves nothing is judged.
    """

    first_refresh_ms: float
    _last_seen_ms: dict[Pool, float]

    @classmethod
    def begin(cls, now_ms: float) -> "Pools":
        """Return an empty state."""
        return cls(now_ms, {})

    def refresh(self, cell: Cell, now_ms: float) -> None:
        """Note the workers that are listed now."""
        for pool in _pools(cell):
            self._last_seen_ms[pool] = now_ms
        for pool, seen_ms in list(self._last_seen_ms.items()):
            if now_ms - seen_ms > POOL_RETENTION_MS:
                del self._last_seen_ms[pool]

    def known_pools(self, now_ms: float) -> list[Pool]:
        """Return the pools, or nothing while it is too early to judge."""
        return (
            list(self._last_seen_ms) if now_ms - self.first_refresh_ms >= POOL_RETENTION_MS else []
        )


def _pools(cell: Cell) -> Iterable[Pool]:
    largest: dict[tuple[str, str], Resources] = {}
    for worker in cell.workers.values():
        if not worker.listed:
            continue
        for label in (ANY_LABEL, *worker.info.labels):
            key = (worker.info.service, label)
            largest[key] = _component_max(largest.get(key, Resources()), worker.info.capacity)
    return [Pool(service, label, amount) for (service, label), amount in largest.items()]


def _component_max(first: Resources, second: Resources) -> Resources:
    return Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_bytes, second.memory_bytes),
        max(first.accelerators, second.accelerators),
    )


def unservable_cause(record: QueueJob, pools: Iterable[Pool]) -> str:
    """Return why no worker can run one of a job's steps, or an empty text.

    A service without any pool is not judged: its workers may not be known yet.
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

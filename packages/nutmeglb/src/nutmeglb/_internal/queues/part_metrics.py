"""Metrics of the optional parts of the scheduler, which only the leader has."""

from nutmeglb._internal.context import Metrics
from nutmeglb_decisions.queues.cell import Cell


class PartMetrics:
    """Metrics that are published from the cell of the leader."""

    def __init__(self, metrics: Metrics) -> None:
        self._pairs = metrics.gauge(
            "nutmeglb_interference_pairs", "Pairs of kinds of tasks that are kept apart."
        )
        self._placements = metrics.counter(
            "nutmeglb_kept_apart_total", "Starts on a worker without an expected slow-down."
        )

    def publish(self, cell: Cell | None) -> None:
        """Publish the figures of a leader, or none after its term."""
        learned = cell.interference if cell else None
        self._pairs.set(learned.pair_count if learned else 0)
        if learned is not None:
            self._placements.inc(learned.take_placements())

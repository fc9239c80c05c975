"""Conversion of worker pools to and from messages between instances."""

from collections.abc import Iterable

from nutmeglb_decisions.queues.pools import Pool
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.wire.queues import PoolsReport


def pools_report(pools: Iterable[Pool]) -> PoolsReport:
    """Return the message that reports pools to the followers."""
    rows = [
        (
            pool.service,
            pool.label,
            pool.largest.cpu_millis,
            pool.largest.memory_bytes,
            pool.largest.accelerators,
        )
        for pool in pools
    ]
    return PoolsReport(sorted(rows))


def pools_from(report: PoolsReport) -> list[Pool]:
    """Return the pools that a message reports."""
    return [Pool(row[0], row[1], Resources(row[2], row[3], row[4])) for row in report.pools]

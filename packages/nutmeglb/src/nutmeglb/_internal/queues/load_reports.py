"""Computes which jobs are refused for load, and sends it to the followers."""

import asyncio
from collections.abc import Callable

from nutmeglb._internal.queues.peer_links import PeerLinks
from nutmeglb._internal.queues.pool_reports import pools_report
from nutmeglb_decisions.queues import admission, team_admission
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.job_memory import DEFAULT_LARGEST_JOB_BYTES
from nutmeglb_decisions.queues.pools import Pools
from nutmeglb_decisions.queues.verdicts import LoadView
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.wire.queues import LoadReport, PoolsReport

INTERVAL_MS = 250.0
# An unchanged report is repeated after this time, before the followers' copies expire.
REPEAT_MS = 1_000.0
MS_PER_S = 1_000.0


class LoadReports:
    """Keeps the load of a leader up to date, for itself and its followers.

    Parameters
    ----------
    publish_metrics
        Called with the cell at each update.
    """

    def __init__(
        self,
        cell: Cell,
        clock: Clock,
        links: PeerLinks,
        publish_metrics: Callable[[Cell], None],
    ) -> None:
        self._cell = cell
        self._clock = clock
        self._links = links
        self._publish_metrics = publish_metrics
        self.load = LoadView()

    async def run(self) -> None:
        """Update and send the load until cancelled."""
        pools = Pools.begin(self._clock.now_ms())
        sent: tuple[LoadReport, PoolsReport] | None = None
        sent_ms = 0.0
        while True:
            now_ms = self._clock.now_ms()
            self._publish_metrics(self._cell)
            pools.refresh(self._cell, now_ms)
            self._cell.job_memory.refresh(self._cell.jobs)
            self.load = _load_of(self._cell, pools, now_ms)
            reports = _reports(self.load)
            if reports != sent or now_ms - sent_ms >= REPEAT_MS:
                for report in reports:
                    self._links.broadcast(report)
                sent, sent_ms = reports, now_ms
            await asyncio.sleep(INTERVAL_MS / MS_PER_S)


def _load_of(cell: Cell, pools: Pools, now_ms: float) -> LoadView:
    known, largest_bytes = pools.known_pools(now_ms), cell.job_memory.largest_job_bytes
    if cell.config is not None and cell.config.teams:
        return LoadView(
            refusing_teams=team_admission.refusing_teams(cell),
            pools=known,
            largest_job_bytes=largest_bytes,
        )
    return LoadView(
        refusing=admission.refusing_queues(cell, now_ms),
        pools=known,
        largest_job_bytes=largest_bytes,
    )


def _reports(load: LoadView) -> tuple[LoadReport, PoolsReport]:
    rows: list[tuple[str, str, float]] = [
        (key, team, retry_ms) for (key, team), retry_ms in sorted(load.refusing_teams.items())
    ]
    refusing: list[tuple[str, float]] = [(key, ms) for key, ms in sorted(load.refusing.items())]
    largest_bytes = load.largest_job_bytes
    # Without the field, which former releases do not know, the default applies.
    if largest_bytes >= DEFAULT_LARGEST_JOB_BYTES:
        report = LoadReport(refusing, rows)
    else:
        report = LoadReport(refusing, rows, max(1, int(largest_bytes)))
    return report, pools_report(load.pools)

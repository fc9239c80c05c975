"""Loads the states of finished jobs after a takeover, and removes them after their retention."""

import asyncio
from collections.abc import Callable

from result import Err

from nutmeglb._internal.queues import keys, stored_jobs
from nutmeglb._internal.queues.commits import Committer
from nutmeglb._internal.queues.ports import QueueStore
from nutmeglb_decisions.queues import progress
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.clock import Clock

MS_PER_S = 1_000.0
RETRY_MS = 100.0
# The wall clock may jump by seconds, so finished jobs are kept this much longer.
WALL_CLOCK_ERROR_MS = 30_000.0
# Number of finished jobs whose keys are removed together, and the interval between removals.
PRUNE_BATCH = 100
PRUNE_INTERVAL_MS = 2_000.0


async def keep_finished_jobs(
    cell: Cell,
    store: QueueStore,
    committer: Committer,
    clock: Clock,
    status_s: Callable[[], float],
) -> None:
    """Load the states of finished jobs, then periodically remove the expired ones.

    Parameters
    ----------
    status_s
        Returns for how many seconds the state of a finished job is kept.
    """
    while isinstance(finished := await stored_jobs.read_progress(store, keys.FINAL), Err):
        await asyncio.sleep(RETRY_MS / MS_PER_S)
    for job_id, found in finished.ok_value.items():
        progress.restore_final(cell, job_id, found)
    while True:
        before_ms = clock.wall_ms() - status_s() * MS_PER_S - WALL_CLOCK_ERROR_MS
        old = progress.forget_finished(cell, before_ms, PRUNE_BATCH)
        committer.remove([keys.final(job_id) for job_id in old])
        await asyncio.sleep(PRUNE_INTERVAL_MS / MS_PER_S)

"""Addresses of workers, which the next leader needs for those whose entries have left the store.

Load pattern: a change of leader while workers crash. Steps wait for each recorded worker that may
still run a task of a former leader. A worker without an entry is called at its last known address:
it answers, or another one answers there, which proves that it has ended (``ended_lives``).
"""

from nutmeglb_decisions.queues import speeds
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.takeover_wait import unsettled_workers
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queue_records import WorkerAddress, WorkerAddresses
from nutmeglb_formats.models.queues import QueueWorker
from nutmeglb_formats.models.resources import Resources


def encode(cell: Cell) -> WorkerAddresses:
    """Return the record of all workers that this leader knows."""
    workers = sorted(cell.workers.items())
    return WorkerAddresses(
        [
            WorkerAddress(name, worker.info.service, worker.info.address, worker.started_ms)
            for name, worker in workers
        ]
    )


def restore(cell: Cell, stored: WorkerAddresses) -> None:
    """Add the workers for which steps wait and which have no entry any more.

    They have no capacity, and are not listed, so no task is placed on them.
    """
    missing = unsettled_workers(cell) - cell.workers.keys()
    recalled = [known for known in stored.workers if known.worker_id in missing]
    for known in recalled:
        info = QueueWorker(
            worker_id=known.worker_id,
            service=known.service,
            address=known.address,
            domain="",
            rack="",
            labels=frozenset(),
            capacity=Resources(),
            draining=False,
            started_ms=known.started_ms,
        )
        worker = cell.workers[known.worker_id] = Worker(info, listed=False)
        speeds.begin_life(cell, worker)
    if recalled:
        cell.log_decision(
            "workers_recalled", "recorded for steps, without an entry", workers=len(recalled)
        )

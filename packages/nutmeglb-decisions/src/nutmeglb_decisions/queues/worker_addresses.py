"""Addresses of workers, which the next leader needs for those whose entries have left the store.

Load pattern: a change of leader while workers crash. Steps wait for each recorded worker that may
still run a task of a former leader. A worker without an entry is called at its last known address:
it answers, or another one answers there, which proves that it has ended (``ended_lives``).
"""

from nutmeglb_decisions.queues import leaving_workers, speeds
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.takeover_wait import unsettled_workers
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queue_records import WorkerAddress, WorkerAddresses
from nutmeglb_formats.models.queues import QueueWorker
from nutmeglb_formats.models.resources import Resources

# Time for which the end of a former incarnation may not be stored: several commits.
STORED_AFTER_MS = 2_000.0


def encode(cell: Cell, now_ms: float) -> WorkerAddresses:
    """Return the record of all workers that this leader knows."""
    workers = sorted(cell.workers.items())
    undecided = _undecided_workers(cell)
    for worker_id, worker in workers:
        if not worker.settled or worker_id in undecided or _has_former_runs(worker):
            worker.restarted_ms = now_ms
    return WorkerAddresses(
        [
            WorkerAddress(name, worker.info.service, worker.info.address, worker.started_ms)
            for name, worker in workers
        ],
        sorted(cell.leaving_lives.items()),
        [name for name, worker in workers if now_ms < worker.restarted_ms + STORED_AFTER_MS],
    )


def _undecided_workers(cell: Cell) -> set[str]:
    """Return the workers of steps that may have lost runs while the leader changed."""
    return {
        worker_id
        for job in cell.active.values()
        for step in job.steps
        if step.unsettled or step.unseen_tasks or step.may_have_lost_runs
        for worker_id in step.recorded
    }


def _has_former_runs(worker: Worker) -> bool:
    return any(run.worker_started_ms != worker.started_ms for run in worker.runs.values())


def restore(cell: Cell, stored: WorkerAddresses) -> None:
    """Add the workers for which steps wait and which have no entry any more.

    They have no capacity, and are not listed, so no task is placed on them. Those that left as
    planned are remembered, since the former leader may have seen that alone.
    """
    cell.former_lives = {
        known.worker_id: known.started_ms
        for known in stored.workers
        if known.worker_id not in stored.unsettled
    }
    listed = {worker_id for worker_id, worker in cell.workers.items() if worker.listed}
    leaving_workers.remember(
        cell,
        [
            life
            for life in stored.leaving
            if life[0] not in cell.leaving_lives
            and not (life[0] in listed and cell.workers[life[0]].started_ms == life[1])
        ],
    )
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

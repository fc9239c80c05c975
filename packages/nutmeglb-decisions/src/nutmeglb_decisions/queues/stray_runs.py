"""Runs that a worker reports although no unfinished job needs them.

They are stopped. Their size may be unknown, so no task is placed beside one until its end is
reported, or until it has certainly ended after its worker accepted the stop.
"""

from collections.abc import Container, Iterable

from nutmeglb_decisions.queues import stop_proofs
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import StopTask
from nutmeglb_decisions.queues.worker_state import Worker


def track(cell: Cell, worker: Worker, key: tuple[str, int], now_ms: float) -> None:
    """Track a stray run, and order its stop until the worker accepts one."""
    if key not in worker.stray_runs:
        worker.stray_runs[key] = None
        # Its lease may have been extended by a former leader.
        worker.lease_expires_at_ms = max(
            worker.lease_expires_at_ms,
            cell.takeover_wait_deadline_ms,
            now_ms + cell.lease_expiry_after_ms,
        )
        cell.log_decision("stray_run", "no unfinished task", task=key[0], worker=worker.worker_id)
    stopped_ms = worker.stray_runs[key]
    if stopped_ms is not None and now_ms >= stopped_ms + cell.stop_ends_after_ms:
        # The stop had no effect.
        worker.stray_runs[key] = None
    if worker.stray_runs[key] is None:
        cell.effects.append(StopTask(worker.worker_id, key[0], key[1]))


def forget_ended(
    cell: Cell,
    worker: Worker,
    ended: Iterable[tuple[str, int]],
    running: Container[tuple[str, int]],
    sent_ms: float,
) -> None:
    """Forget the stray runs of which a report, requested at ``sent_ms``, proves the end."""
    for key in ended:
        worker.stray_runs.pop(key, None)
        stop_proofs.forget(worker, key)
    for key, stopped_ms in list(worker.stray_runs.items()):
        if key in running:
            continue
        if stopped_ms is None:
            cell.effects.append(StopTask(worker.worker_id, key[0], key[1]))
        elif sent_ms >= stopped_ms + cell.stop_ends_after_ms and stop_proofs.has_passed(
            cell, worker, key
        ):
            del worker.stray_runs[key]
            stop_proofs.forget(worker, key)

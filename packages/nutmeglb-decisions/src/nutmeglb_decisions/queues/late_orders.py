"""Bars copies of start orders that a worker may carry out in its next life.

Load pattern: a copy of a start order gets no answer, another copy is answered, the run ends, and
the worker restarts. The worker has then forgotten the run, and the first copy may still arrive. A
stop that the new life accepts bars the run number there.
"""

from nutmeglb_decisions.queues import stray_runs
from nutmeglb_decisions.queues.cell import Cell, LateOrder
from nutmeglb_decisions.queues.state import Run
from nutmeglb_decisions.queues.worker_state import Worker

# Exceeds the seconds after which a call that got no answer may still be executed.
MAX_DELAY_MS = 30_000.0
# Ended runs with unanswered copies that are kept per worker; the oldest are dropped.
MAX_PER_WORKER = 200


def record(cell: Cell, run: Run, now_ms: float) -> None:
    """Remember a run that ends while copies of its start order are unanswered."""
    if not run.unanswered_orders:
        return
    orders = cell.late_orders.setdefault(run.worker_id, [])
    orders.append(LateOrder(run.task, run.number, run.worker_started_ms, now_ms + MAX_DELAY_MS))
    del orders[:-MAX_PER_WORKER]


def bar(cell: Cell, worker: Worker, now_ms: float) -> None:
    """Stop the runs that a new life of a worker may still start by an order to a former one."""
    known = cell.late_orders.pop(worker.worker_id, [])
    orders = [order for order in known if order.until_ms > now_ms]
    if orders:
        cell.late_orders[worker.worker_id] = orders
    for order in orders:
        if worker.started_ms not in (order.sent_to_ms, order.barred_in_ms):
            order.barred_in_ms = worker.started_ms
            stray_runs.track(cell, worker, (order.task, order.run), now_ms)

"""Ends the runs of a worker whose incarnation is proved to have ended.

A call names the worker that it is meant for, and any other worker that receives it says so. Such an
answer from the address of a worker proves that the incarnation which served there has ended:

- An incarnation serves at one address for all of its life, and two processes never serve there at
  once. So whoever answers at the address after the call was sent has replaced it. The incarnation
  was known before the call was sent, so it cannot be a later one.
- Everything that ran on it has ended with it. A delayed order names the worker as well, so its
  successor at the address refuses it, and no connection leads to the ended process.

The answer proves nothing in these cases, and is ignored:

- The entry names another address by now, or another incarnation has been seen: the answer is about
  a former life, and the current one may run tasks.
- Entries have named several addresses in the current incarnation. Another program may have written
  one of them, so the worker may be at another address than the one that was called.
- The worker itself has answered a call that was sent later than this one. Answers on different
  connections may overtake each other. The next renewal decides.
- The start time of the worker is unknown, so that a later incarnation cannot be told apart.

A restart under the same id is no such proof, since the new incarnation accepts the calls. Its
reports decide (``absent_runs``). The argument relies on ids not returning to an address at which
another id has answered. If one does, its runs count as stray and are stopped.
"""

from dataclasses import dataclass

from nutmeglb_decisions.queues import reports
from nutmeglb_decisions.queues.absent_runs import LOST
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.state import Run
from nutmeglb_decisions.queues.worker_state import Worker


@dataclass(frozen=True, slots=True)
class OtherIncarnation:
    """An answer that another worker gave to a call for this one.

    Attributes
    ----------
    address, started_ms
        Address to which the call was sent, and start time of the incarnation that was known then.
    sent_ms
        Monotonic time at which the call was sent.
    """

    address: str
    started_ms: int
    sent_ms: float


def end_life(
    cell: Cell, worker: Worker, evidence: OtherIncarnation, now_ms: float, wall_ms: float
) -> list[Run]:
    """End all runs of a worker that has been replaced at its address, and return them.

    Steps no longer wait for the worker, and no task is placed on it until it reports.
    """
    if worker.is_replaced or cell.workers.get(worker.worker_id) is not worker:
        return []
    objection = _objection(worker, evidence)
    cell.log_decision(
        "worker_replaced",
        objection or "another incarnation answers at its address",
        worker=worker.worker_id,
        address=evidence.address,
        started_ms=evidence.started_ms,
        runs=len(worker.runs),
        sent_ms_ago=round(now_ms - evidence.sent_ms),
        lease_left_ms=round(worker.lease_expires_at_ms - now_ms),
    )
    if objection:
        return []
    worker.is_replaced = True
    worker.replaced_ms = now_ms
    if worker.unanswered_since_ms is None:
        worker.unanswered_since_ms = now_ms
    lost = list(worker.runs.values())
    reports.end_all_runs(cell, worker, LOST, now_ms, wall_ms)
    worker.stray_runs.clear()
    # A later incarnation under the same id is read before it is used.
    worker.settled = False
    reports.forget_workers(cell, {worker.worker_id})
    return lost


def _objection(worker: Worker, evidence: OtherIncarnation) -> str:
    """Return why an answer does not prove the end of the current incarnation, or nothing."""
    if worker.info.address != evidence.address:
        return "ignored: the worker has another address by now"
    if not evidence.started_ms or worker.started_ms != evidence.started_ms:
        return "ignored: the call was for another incarnation"
    if worker.has_moved:
        return "ignored: the incarnation has had entries with several addresses"
    confirmed_ms = (run.confirmed_ms for run in worker.runs.values())
    answered_ms = max((ms for ms in confirmed_ms if ms is not None), default=0.0)
    if max(answered_ms, worker.last_report_ms) > evidence.sent_ms:
        return "ignored: the worker has answered meanwhile"
    return ""

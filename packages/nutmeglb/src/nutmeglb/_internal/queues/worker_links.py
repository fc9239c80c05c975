"""Maintains the links to all workers during one term and sends orders through them."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.leader_callbacks import LeaderCallbacks
from nutmeglb._internal.queues.ports import WorkerGateway
from nutmeglb._internal.queues.worker_link import WorkerLink
from nutmeglb._internal.telemetry.logs import get_logger
from nutmeglb_decisions.queues import orders
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import PaceTask, StartTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.clock import Clock

logger = get_logger("workers")

Order = StartTask | StopTask | PaceTask


class WorkerLinks:
    """Manages one link per worker of the cell.

    Parameters
    ----------
    lease_ms
        Lease of a worker's runs.
    """

    def __init__(
        self,
        cell: Cell,
        gateway: WorkerGateway,
        clock: Clock,
        log: DecisionLog,
        fence: int,
        lease_ms: int,
        callbacks: LeaderCallbacks,
    ) -> None:
        self._cell = cell
        self._gateway = gateway
        self._clock = clock
        self._log = log
        self._fence = fence
        self._lease_ms = lease_ms
        self._callbacks = callbacks
        self._background = BackgroundTasks()
        self._links: dict[str, WorkerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def refresh(self) -> None:
        """Create links to new workers, and remove those of workers that left the cell."""
        addresses = Counter(worker.info.address for worker in self._cell.workers.values())
        for worker_id, worker in self._cell.workers.items():
            known = self._links.get(worker_id)
            if known is not None and known.worker is worker:
                if addresses[worker.info.address] > 1:
                    known.poll_replaced()
                if not worker.settled:
                    known.wake()
                continue
            self._remove(worker_id)
            link = WorkerLink(
                self._cell,
                worker,
                self._gateway,
                self._clock,
                self._fence,
                self._lease_ms,
                self._callbacks,
            )
            self._links[worker_id] = link
            self._tasks[worker_id] = self._background.spawn(self._run_link(link))
        for worker_id in list(self._links):
            if worker_id not in self._cell.workers:
                self._remove(worker_id)

    def send_order(self, order: Order) -> None:
        """Send an order in the background. A start for a worker without a link fails."""
        link = self._links.get(order.worker_id)
        if link is None:
            self._report_unsent(order)
            return
        match order:
            case StartTask():
                self._background.spawn(self._run_order(link.start(order), order))
            case StopTask():
                self._background.spawn(self._run_order(link.stop(order), order))
            case PaceTask():
                self._background.spawn(self._run_order(link.pace(order), order))

    def _report_unsent(self, order: Order) -> None:
        """Log an order that cannot be sent. A stop is repeated after the worker's next report."""
        self._cell.log_decision(
            "order_not_sent",
            "the worker has no link",
            task=order.task,
            worker=order.worker_id,
            run=order.run,
            order=type(order).__name__,
        )
        if isinstance(order, StartTask):
            self._record_start(order, StartOutcome.NO_LINK, is_conclusive=True)
        self._callbacks.changed()

    def _record_start(
        self, order: StartTask, outcome: StartOutcome, *, is_conclusive: bool
    ) -> None:
        orders.apply_start_answer(
            self._cell,
            order.worker_id,
            order.task,
            order.run,
            outcome,
            is_conclusive,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    async def stop(self) -> None:
        """Close all links and connections. The next leader fences orders still in flight."""
        try:
            await self._background.cancel()
        finally:
            calls = self._gateway.close()
            logger.info("connections to workers closed", links=len(self._links), calls=calls)

    async def _run_link(self, link: WorkerLink) -> None:
        """Run a link. An unexpected exception only affects this worker.

        The next leader would read the same report, so also a violated invariant does not end the
        term. The worker counts as silent: nothing starts there, and its runs end with their lease
        unless a later report is applied.
        """
        worker = link.worker
        try:
            await link.run()
        except Exception as error:
            self._log.defect(f"worker {worker.worker_id}", error)
            # The next refresh creates a new link, which queries the worker's runs again.
            worker.settled = False
            orders.unanswered(self._cell, worker, self._clock.now_ms())
            if self._links.get(worker.worker_id) is link:
                del self._links[worker.worker_id]
                del self._tasks[worker.worker_id]

    async def _run_order(self, call: Coroutine[Any, Any, None], order: Order) -> None:
        """Send an order. After an unexpected exception its outcome counts as unknown."""
        try:
            await call
        except Exception as error:
            self._log.defect(f"order for worker {order.worker_id}", error)
            if isinstance(order, StartTask):
                self._record_start(order, StartOutcome.UNKNOWN, is_conclusive=False)

    def _remove(self, worker_id: str) -> None:
        self._links.pop(worker_id, None)
        task = self._tasks.pop(worker_id, None)
        if task is not None:
            task.cancel()

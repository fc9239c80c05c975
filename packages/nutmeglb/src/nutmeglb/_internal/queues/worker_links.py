"""Holds all workers of one term and carries out orders."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from nutmeglb._internal.background import BackgroundTasks
from nutmeglb._internal.queues.decision_log import DecisionLog
from nutmeglb._internal.queues.ports import WorkerGateway
from nutmeglb._internal.queues.worker_link import LinkHooks, WorkerLink
from nutmeglb_decisions.queues import orders
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import PaceTask, StartTask, StopTask
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.clock import Clock
from nutmeglb_formats.exceptions import InvariantViolation

Order = StartTask | StopTask | PaceTask


class WorkerLinks:
    """One link for each worker of the cell.

    Parameters
    ----------
    lease_ms
        Lease of the runs of a worker.
    """

    def __init__(
        self,
        cell: Cell,
        gateway: WorkerGateway,
        clock: Clock,
        log: DecisionLog,
        fence: int,
        lease_ms: int,
        hooks: LinkHooks,
    ) -> None:
        self._cell = cell
        self._gateway = gateway
        self._clock = clock
        self._log = log
        self._fence = fence
        self._lease_ms = lease_ms
        self._hooks = hooks
        self._background = BackgroundTasks()
        self._links: dict[str, WorkerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def refresh(self) -> None:
        """Link new workers, and drop those that the cell has forgotten."""
        for worker_id, worker in self._cell.workers.items():
            known = self._links.get(worker_id)
            if known is not None and known.worker is worker:
                if not worker.settled:
                    known.wake()
                continue
            self._drop(worker_id)
            link = WorkerLink(
                self._cell,
                worker,
                self._gateway,
                self._clock,
                self._fence,
                self._lease_ms,
                self._hooks,
            )
            self._links[worker_id] = link
            self._tasks[worker_id] = self._background.spawn(self._hold(link))
        for worker_id in list(self._links):
            if worker_id not in self._cell.workers:
                self._drop(worker_id)

    def carry_out(self, order: Order) -> None:
        """Send an order in the background. A start for a worker without a link is refused."""
        link = self._links.get(order.worker_id)
        if link is None:
            self._note_unsent(order)
            return
        match order:
            case StartTask():
                self._background.spawn(self._ordered(link.start(order), order))
            case StopTask():
                self._background.spawn(self._ordered(link.stop(order), order))
            case PaceTask():
                self._background.spawn(self._ordered(link.pace(order), order))

    def _note_unsent(self, order: Order) -> None:
        """Log an order that is not sent. A stop is ordered again after the next report."""
        self._cell.log_decision(
            "order_not_sent",
            "the worker has no link",
            task=order.task,
            worker=order.worker_id,
            run=order.run,
            order=type(order).__name__,
        )
        if isinstance(order, StartTask):
            self._end_start(order, StartOutcome.NO_LINK, certain=True)
        self._hooks.changed()

    def _end_start(self, order: StartTask, outcome: StartOutcome, *, certain: bool) -> None:
        orders.apply_start_answer(
            self._cell,
            order.worker_id,
            order.task,
            order.run,
            outcome,
            certain,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    async def stop(self) -> None:
        """End all links. Orders on their way are fenced off by the next leader."""
        await self._background.cancel()

    async def _hold(self, link: WorkerLink) -> None:
        """Hold a worker. A defect that its answers show costs this worker alone."""
        worker = link.worker
        try:
            await link.run()
        except InvariantViolation as error:
            self._log.defect(f"worker {worker.worker_id}", error)
            self._hooks.broken(f"a guarantee does not hold: {error}")
        except Exception as error:
            self._log.defect(f"worker {worker.worker_id}", error)
            # What it runs is read again through a new link, after the next read of the workers.
            worker.settled = False
            if self._links.get(worker.worker_id) is link:
                del self._links[worker.worker_id]
                del self._tasks[worker.worker_id]

    async def _ordered(self, sending: Coroutine[Any, Any, None], order: Order) -> None:
        """Carry out an order. After a defect its outcome counts as unknown."""
        try:
            await sending
        except Exception as error:
            self._log.defect(f"order for worker {order.worker_id}", error)
            if isinstance(order, StartTask):
                self._end_start(order, StartOutcome.UNKNOWN, certain=False)

    def _drop(self, worker_id: str) -> None:
        self._links.pop(worker_id, None)
        task = self._tasks.pop(worker_id, None)
        if task is not None:
            task.cancel()

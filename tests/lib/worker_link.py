"""A worker link against a scripted worker, for tests of its decisions."""

from result import Err, Ok

from nutmeglb._internal.queues.ports import OrderAnswer
from nutmeglb._internal.queues.worker_link import LeaderCallbacks, WorkerLink
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_formats.clock import ManualClock
from nutmeglb_formats.exceptions import AgentError
from nutmeglb_formats.models.queues import WorkerReport
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info


class Link:
    """A worker link on a manual clock, with a scripted worker.

    Attributes
    ----------
    sent
        Start orders, stop orders and deadlines of renewals, in the order sent.
    last_seen_sent
        ``last_seen`` of each renewal: the worker may discard ends up to this number.
    waits_sent
        Time of each renewal for which the worker may wait for an end.
    next_report
        Report with which the worker answers renewals.
    on_start
        Called when a start order arrives.
    """

    def __init__(self, answers=(), response_delay_ms=0.0):
        self.world = CellWorld()
        self.clock = ManualClock(self.world.now_ms)
        self.world.show(worker_info())
        self.world.add(job("a", step(), queue=BATCH))
        self.world.schedule()
        (self.order,) = self.world.started
        self.worker = self.world.worker("w1")
        self.may_command = True
        self.excused = False
        self.sent = []
        self.answers = list(answers)
        self.response_delay_ms = response_delay_ms
        self.next_report = WorkerReport(0.0, self.worker.info.started_ms, (), ())
        self.last_seen_sent = []
        self.waits_sent = []
        self.on_start = lambda: None
        callbacks = LeaderCallbacks(
            lambda: None,
            _no_operation,
            lambda worker_id: None,
            lambda: self.may_command,
            lambda sent_ms: self.excused,
        )
        self.link = WorkerLink(self.world.cell, self.worker, self, self.clock, 7, 6_000, callbacks)
        self.link._worker_clock.record(0.0, self.clock.now_ms())

    async def start(self, worker, order):
        self.sent.append(order)
        self.on_start()
        outcome = self.answers.pop(0) if self.answers else StartOutcome.STARTED
        self.clock.advance(self.response_delay_ms)
        return OrderAnswer(outcome)

    async def stop(self, worker, task, run, fence):
        self.sent.append((task, run))
        return OrderAnswer(self.answers.pop(0) if self.answers else StartOutcome.STARTED)

    async def hold(self, worker, fence, last_seen, deadline_ms, wait_ms):
        self.sent.append(deadline_ms)
        self.last_seen_sent.append(last_seen)
        self.waits_sent.append(wait_ms)
        if self.answers and self.answers.pop(0) == StartOutcome.UNKNOWN:
            return Err(AgentError("no answer", context={}, hint="none"))
        return Ok(self.next_report)


async def _no_operation():
    return None

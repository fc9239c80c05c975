"""An order to a worker that is kept for a suspect is not sent once the worker has shrunk."""

import pytest

from nutmeglb_decisions.queues import crashing_tasks, orders
from nutmeglb_decisions.queues.orders import StartOutcome
from tests.lib.queues import CellWorld, job, step, worker_info


@pytest.mark.parametrize("is_kept", [False, True])
def test_order_is_not_sent_to_a_kept_worker_that_has_shrunk(is_kept):
    """Guards against a start beyond the capacity, which a kept worker shows as zero free."""
    world = CellWorld()
    world.show(worker_info("w1", 4_000))
    added = world.add(job("a", step(1, 3_000)))
    world.schedule()
    worker = world.worker("w1")
    if is_kept:
        (a_step,) = added.steps
        crashing_tasks.keep_worker(world.cell, worker, a_step, a_step.tasks[0], world.now_ms)
    world.show(worker_info("w1", 2_000))
    assert orders.withheld_cause(worker, world.now_ms) == StartOutcome.SHRUNK

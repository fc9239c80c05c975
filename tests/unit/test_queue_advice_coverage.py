"""Steps that wait ask advice about every worker that may run them, in few calls."""

from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import reports
from tests.lib.queues import ADVISED, CellWorld, job, step, worker_info

JOB = "00000000000000aa"
RESTARTED_MS = 2_000


def world_with_call(workers, spec):
    """Return a world with a waiting step, and its first advice call."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n:02}") for n in range(workers)))
    world.add(job(JOB, spec, queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    world.asked.clear()
    return world, call


@pytest.mark.parametrize("good", [(), ("w00",)])
def test_worker_that_restarts_during_a_call_is_asked_about_again(good):
    """Guards against an answer about a former incarnation that counts for the next one."""
    world, call = world_with_call(1, step())
    infos = [replace(worker_info("w00"), started_ms=RESTARTED_MS)]
    reports.apply_worker_list(world.cell, infos, world.now_ms)
    world.report("w00", running=())
    world.advise(call, *good)
    world.schedule()
    assert not world.started
    assert [again.workers for again in world.asked] == [("w00",)]

"""Job mix of the largest deployment: urgent pairs, and wide gangs that few workers may run."""

import pytest

from measure.queue_mix import earned_value_shares
from tests.lib.queues import ADVISED, CellWorld, job, step, worker_info

# The users' target for a day without faults on their largest deployment.
SERVED_SHARE = 0.894
WORKERS = 90
DURATION_MS = 8_000.0


@pytest.mark.parametrize("load", [1.0, 1.3])
@pytest.mark.parametrize("seed", range(3))
def test_busy_cell_serves_gangs_beside_urgent_work(load, seed):
    """Guards against gangs that wait for few approved workers or are overtaken by small ones."""
    shares = earned_value_shares(WORKERS, load, DURATION_MS, seed)
    assert shares["all"] >= SERVED_SHARE
    assert shares["urgent"] >= SERVED_SHARE


@pytest.mark.parametrize("count", [10, 20])
def test_one_advice_call_names_enough_workers_for_a_gang_in_a_busy_cell(count):
    """In a cell that is two thirds full, a second call would delay the gang by a second or more."""
    world = CellWorld()
    world.show(*(worker_info(f"w{n:03}") for n in range(270)))
    world.add(job("a", step(count, cpu=5_000, gang=True, estimate_ms=4_000.0), queue=ADVISED))
    world.schedule()
    (call,) = world.asked
    # One worker in four is approved. An empty worker fits three tasks, and a third is free.
    slots_of_approved_workers = len(call.workers) // 4 * 3
    assert slots_of_approved_workers / 3 >= count

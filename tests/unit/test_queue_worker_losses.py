"""Runs that are lost with their worker: which are logged as suspects, and what counts."""

import pytest

from nutmeglb_decisions.queues import orders
from nutmeglb_decisions.queues.effects import StopTask
from tests.lib.queues import CellWorld, job, step, worker_info


def world_before_a_loss() -> CellWorld:
    """Return a world whose worker has an active run, and one that has just been started."""
    world = CellWorld()
    world.show(worker_info("w1"))
    world.add(job("a", step()))
    world.schedule()
    world.answer_starts()
    world.tick(2_000.0)
    world.report("w1")
    world.add(job("b", step()))
    world.schedule()
    world.answer_starts()
    world.tick(10.0)
    return world


def let_leases_expire(world: CellWorld, worker_id: str = "w1") -> None:
    """Let a worker be silent until the leases of its runs have expired."""
    orders.unanswered(world.cell, world.worker(worker_id), world.now_ms)
    world.tick(10_000.0)


def restart(world: CellWorld, worker_id: str = "w1", started_ms: int = 9_000) -> None:
    """Let a worker answer as another incarnation, which has no runs and accepts all stops."""
    world.tick(3_000.0)
    world.report(worker_id, running=(), started_ms=started_ms)
    for effect in world.cell.take_effects():
        if isinstance(effect, StopTask):
            orders.apply_stop_answer(
                world.cell, effect.worker_id, effect.task, effect.run, world.now_ms
            )
    world.tick(1_000.0)
    world.report(worker_id, running=())


@pytest.mark.parametrize(
    ("lose", "evidence"), [(restart, "proved"), (let_leases_expire, "presumed")]
)
def test_loss_of_a_worker_names_the_runs_that_may_have_crashed_it(lose, evidence):
    world = world_before_a_loss()
    lose(world)
    lines = [line for line in world.cell.take_decisions() if line.kind == "runs_lost"]
    fields = [dict(line.fields) for line in lines]
    assert lines and {line.cause for line in lines} == {evidence}
    assert sum(each["runs"] for each in fields) == 2
    suspects = " ".join(each["suspects"] for each in fields).split()
    assert [each.rpartition(":")[0] for each in suspects] == ["b.0.0.0:1"]

"""Steps that wait for workers to which a former leader may have sent tasks."""

from nutmeglb_decisions.queues import progress, waiting
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import RunningTask, StepProgress
from tests.lib.queues import BATCH, CellWorld, job, step, worker_info

MAX_WAIT_MS = 11_300.0
STORED = JobProgress(BATCH.name, "", 0.0, [], [StepProgress(0, 0, ["gone", "w1"], [], [])])


def world_after_takeover() -> CellWorld:
    """Return a cell whose new leader has restored a job; one worker of the job is absent."""
    world = CellWorld()
    world.cell.started_ms = world.now_ms
    world.cell.takeover_wait_deadline_ms = world.now_ms + MAX_WAIT_MS
    progress.restore(world.cell, job("a", step()), STORED, world.now_ms, world.now_ms)
    world.show(worker_info())
    return world


def test_absent_worker_is_not_waited_for_again_in_the_next_term():
    """Guards against a step that waits again for the same absent worker after each handover."""
    world = world_after_takeover()
    world.tick(MAX_WAIT_MS + 1.0)
    world.schedule()
    assert world.started
    (stored,) = progress.encode(world.cell.jobs["a"]).steps
    assert stored.workers == ["w1"]


def test_wait_for_workers_of_a_former_leader_is_explained():
    """Guards against a delayed job whose log does not show why it waited."""
    world = world_after_takeover()
    for _ in range(6):
        world.tick(1_000.0)
        world.schedule()
        waiting.log_long_waits(world.cell, world.now_ms)
    causes = [d.cause for d in world.cell.take_decisions() if d.kind == "step_waiting"]
    assert causes == ["workers of a former leader have not answered"]


def test_worker_with_a_stray_run_is_kept_until_its_lease_expires():
    """Guards against dropping a worker that still has a run unknown to this leader."""
    world = world_after_takeover()
    world.report("w1", running=(RunningTask("other.0.0.0", 1, "", 100),))
    world.worker("w1").lease_expires_at_ms = world.now_ms + 6_000.0
    world.show()
    assert "w1" in world.cell.workers
    world.worker("w1").unanswered_since_ms = world.now_ms
    world.tick(6_000.0)
    assert not world.worker("w1").stray_runs

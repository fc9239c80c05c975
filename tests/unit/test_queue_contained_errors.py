"""An unexpected error outside a pass affects one job, worker or check, and ends no term."""

import pytest

from nutmeglb._internal.queues import keys, periodic_checks
from nutmeglb._internal.queues import leader as leader_module
from nutmeglb_decisions.queues import reports
from nutmeglb_formats.models.queue_records import decode_queue_record
from tests.lib.queue_world import WORKERS, World


def terms(world) -> int:
    """Return how many terms have begun."""
    return sum("leads term" in line for line in world.trace)


def final_of(world, job_id) -> str:
    """Return the stored final state of a job."""
    item = world.store.items.get(keys.final(job_id))
    return decode_queue_record(item[0].value, "").ok_value.final if item else ""


def test_check_that_always_raises_does_not_stop_the_others(monkeypatch):
    """Guards against terms that end one after the other on the same state."""

    def broken(*arguments):
        raise ValueError("unexpected")

    monkeypatch.setattr(periodic_checks.stuck_runs, "stop_stuck_runs", broken)
    world = World()
    try:
        world.apply("submit", 0)
        world.apply("advance", 100)
        world.apply("restart", WORKERS[0], 4_000, 2_000, 0.0)
        world.apply("advance", 25_000)
        assert terms(world) == 1
        assert final_of(world, f"{0:016x}") == "completed"
        assert {each.kind for each in world.defects} == {"part_defect"}
        assert len(world.defects) == 3
    finally:
        world.close()


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_job_whose_progress_cannot_be_restored_is_set_aside(is_cancelled, monkeypatch):
    """Guards against a stored record on which the takeover of each leader fails."""
    restore = leader_module.progress.restore
    bad, good = f"{0:016x}", f"{1:016x}"

    def failing(cell, record, *arguments):
        if record.job_id == bad:
            raise ValueError("unexpected")
        restore(cell, record, *arguments)

    world = World()
    try:
        world.apply("submit", 4)
        world.apply("submit", 4)
        world.apply("advance", 1_000)
        monkeypatch.setattr(leader_module.progress, "restore", failing)
        for process in (0, 1):
            world.apply("kill", process)
        world.apply("advance", 30_000)
        assert terms(world) == 2
        assert (final_of(world, bad), final_of(world, good)) == ("", "completed")
        assert keys.accepted(bad) in world.store.items
        assert [each.kind for each in world.defects] == ["job_set_aside"]
        if is_cancelled:
            world.apply("cancel", 0)
            world.apply("advance", 2_000)
            assert final_of(world, bad) == "cancelled"
            return
        # A leader that can read the record continues the job.
        monkeypatch.setattr(leader_module.progress, "restore", restore)
        for process in (0, 1):
            world.apply("kill", process)
        world.apply("advance", 40_000)
        assert final_of(world, bad) == "completed"
    finally:
        world.close()


def test_worker_whose_reports_always_raise_loses_its_runs_to_others(monkeypatch):
    """Guards against a report that ends the term of each leader, or leaves a job without an end."""
    apply_report = reports.apply_report

    def failing(cell, worker, report, *arguments):
        if worker.worker_id == WORKERS[0] and worker.runs:
            raise ValueError("unexpected")
        apply_report(cell, worker, report, *arguments)

    monkeypatch.setattr(reports, "apply_report", failing)
    world = World()
    try:
        for _ in range(3):
            world.apply("submit", 1)
        world.apply("advance", 40_000)
        assert terms(world) == 1
        assert [final_of(world, f"{number:016x}") for number in range(3)] == ["completed"] * 3
        assert {part for part, _ in world.defects} == {f"worker {WORKERS[0]}"}
    finally:
        world.close()

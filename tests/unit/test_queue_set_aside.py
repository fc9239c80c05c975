"""A step or a part of a pass that raises an unexpected error is left out, and tried again."""

import itertools
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues import placing, waiting, waiting_order
from nutmeglb_decisions.queues.lifecycle import cancel_job
from nutmeglb_decisions.queues.set_aside import FIRST_RETRY_MS, MAX_RETRY_MS
from tests.lib.queues import CellWorld, job, step, worker_info

PASS_MS = 50.0
# Callers count a job as stuck that has nothing running for this time beside free capacity.
STUCK_MS = 3_000.0


def world_with_two_jobs() -> CellWorld:
    """Return a world with the jobs ``bad`` and ``good``, and room for both."""
    world = CellWorld()
    world.show(worker_info())
    world.add(job("bad", step()))
    world.add(job("good", step()))
    return world


def fail_for(job_id, function, errors):
    """Return a function that raises for the steps of a job while ``errors`` has entries."""

    def failing(*arguments, **named):
        found = next(each for each in arguments if hasattr(each, "spec"))
        if errors and found.job.job_id == job_id:
            raise ValueError(errors.pop())
        return function(*arguments, **named)

    return failing


def play(world, until_ms) -> list:
    """Run passes until a time, and return the lines on the errors of steps."""
    lines = []
    while world.now_ms < until_ms:
        placing.schedule(world.cell, 4, world.rng, world.now_ms, world.now_ms)
        world.store()
        lines += [
            (world.now_ms, line)
            for line in world.cell.take_decisions()
            if line.kind in ("step_defect", "part_defect")
        ]
        world.now_ms += PASS_MS
    return lines


PLACES = {"placement": (placing, "_place_step"), "ranking": (placing, "rank_of")}


@pytest.mark.parametrize("place", PLACES)
def test_step_that_always_raises_is_tried_less_and_less_often(place, monkeypatch):
    """Guards against a violation that recurs at a fixed interval for ever, in each term."""
    world = world_with_two_jobs()
    module, name = PLACES[place]
    errors = ["unexpected"] * 1_000
    failing = fail_for("bad", getattr(module, name), errors)
    monkeypatch.setattr(module, name, failing)
    if place == "ranking":
        defaults = (failing, placing.WORKER_CHECKS_PER_PASS)
        monkeypatch.setattr(placing.schedule, "__defaults__", defaults)
    begin_ms = world.now_ms
    lines = play(world, begin_ms + 300_000.0)
    times = [at_ms for at_ms, _ in lines]
    assert times[:4] == [begin_ms + each for each in (0, 250, 750, 1_750)]
    gaps = [after - before for before, after in itertools.pairwise(times)]
    assert gaps == sorted(gaps)
    assert gaps[-1] == MAX_RETRY_MS
    assert {line.job for _, line in lines} == {"bad"}
    fields = [dict(line.fields) for _, line in lines]
    assert [each["failures"] for each in fields] == list(range(1, len(lines) + 1))
    assert world.cell.jobs["good"].steps[0].live_runs
    bad = world.cell.jobs["bad"]
    assert bad.final is None
    assert "step_defect" in waiting.explain(world.cell, bad.steps[0], world.now_ms).cause
    assert cancel_job(world.cell, "bad", world.now_ms)


@pytest.mark.parametrize("failures", [1, 2, 3])
def test_step_that_raises_a_few_times_starts_before_its_caller_takes_it_for_stuck(
    failures, monkeypatch
):
    world = world_with_two_jobs()
    errors = ["unexpected"] * failures
    monkeypatch.setattr(placing, "_place_step", fail_for("bad", placing._place_step, errors))
    assert len(play(world, world.now_ms + STUCK_MS - FIRST_RETRY_MS)) == failures
    (bad,) = world.cell.jobs["bad"].steps
    assert bad.live_runs
    assert bad.deferral.failures == 0


def test_part_that_raises_in_each_pass_leaves_out_only_itself():
    """Guards against a part around the steps that ends the term of each leader."""
    world = world_with_two_jobs()

    def broken_part(state, ranked):
        raise ValueError("unexpected")

    parts = {"before_pass": (broken_part,), "after_pass": (broken_part,)}
    world.cell.parts = replace(world.cell.parts, **parts)
    lines = play(world, world.now_ms + 25_000.0)
    assert [dict(line.fields)["part"] for _, line in lines] == ["broken_part"] * 3
    assert dict(lines[-1][1].fields)["errors"] > 100
    assert all(each.steps[0].live_runs for each in world.cell.jobs.values())


def test_deferral_of_a_step_is_named_as_the_cause_of_its_wait_only_while_it_lasts():
    world = world_with_two_jobs()
    (good,) = world.cell.jobs["good"].steps
    good.deferral.until_ms = world.now_ms + 1.0
    assert waiting_order.startable_tasks(good, world.now_ms) == []
    assert waiting_order.startable_tasks(good, world.now_ms + 1.0) == good.tasks
    assert waiting.explain(world.cell, good, world.now_ms).cause == waiting.DEFERRED
    assert waiting.explain(world.cell, good, world.now_ms + 1.0).cause != waiting.DEFERRED

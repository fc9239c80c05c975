"""Workers, limits and jobs of the queue soak."""

import random

import pytest

from scripts.queue_soak import process_sizes
from scripts.queue_soak_load import extra_time_s, job_body
from standins.worker_fleet_state import SHARED


@pytest.mark.parametrize(("longest_ms", "extra_s"), [(500, 0.0), (4_000, 0.0), (10_000, 36.0)])
def test_jobs_with_longer_tasks_get_more_time(longest_ms, extra_s):
    assert extra_time_s(longest_ms) == extra_s


@pytest.mark.parametrize("gang_label", ["", SHARED])
def test_only_gangs_require_the_label_of_workers_that_know_each_other(gang_label):
    rng = random.Random(1)
    bodies = [job_body(rng, (5_000, 8_000), gang_label=gang_label) for _ in range(60)]
    steps = [step for body in bodies for step in body["steps"]]
    gangs = [step for step in steps if step.get("gang")]
    assert 0 < len(gangs) < len(steps)
    assert all(step.get("requires", "") == gang_label for step in gangs)
    assert not any("requires" in step for step in steps if not step.get("gang"))
    assert all(5_000 <= step["estimate_ms"] <= 8_000 for step in steps)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(("processes", "workers"), [(0, 40), (3, 40), (8, 40), (7, 18), (3, 2)])
def test_at_most_half_of_the_workers_are_in_processes_that_may_be_stopped(seed, processes, workers):
    sizes = process_sizes(seed, processes, workers)
    assert sum(sizes) <= workers // 2
    assert all(size > 0 for size in sizes)
    assert len(sizes) == processes or sum(sizes) == workers // 2

"""No job stays idle after workers crash, whether or not others take their addresses.

Guards against LOST: a job that could run and does not, while most of the capacity is free.
"""

import random

import pytest

from tests.lib.queue_cases import CALLS, FATE_NAMES, LATE_MS
from tests.lib.queue_churn_world import JOBS, SLOTS, ChurnWorld
from tests.lib.queue_world import PROCESSES, replay

SEEDS = range(12)
# Workers that had crashed had no entry when a new leader had to find out whether they run.
FAULTY_SEEDS = (*SEEDS, 105, 122)
STEPS = 30
DURATIONS_MS = (50, 200, 500, 1_000)
DOWN_MS = (500, 3_000, 3_000)


def draw_case(seed):
    """Return the steps of a case."""
    rng = random.Random(seed)
    steps = []
    for _ in range(STEPS):
        steps.append(("submit", rng.randrange(len(JOBS))))
        if rng.random() < 0.5:
            steps.append(("crash", rng.choice(SLOTS), rng.choice(DOWN_MS)))
        steps.append(("advance", rng.choice(DURATIONS_MS)))
    # Crashes just before the end of the faults.
    for slot in rng.sample(SLOTS, 4):
        steps += [("crash", slot, rng.choice(DOWN_MS)), ("advance", 50)]
    return steps


@pytest.mark.parametrize("seed", SEEDS)
def test_no_job_is_idle_beside_free_capacity_after_workers_crash(seed):
    replay(draw_case(seed), make_world=ChurnWorld)


def draw_faulty_case(seed):
    """Return the steps of a case with lost, late and repeated calls and changes of leader."""
    rng = random.Random(seed)
    steps = []
    for step in draw_case(seed):
        steps.append(step)
        if rng.random() < 0.3:
            fate, late_ms = rng.choice(FATE_NAMES), rng.choice(LATE_MS)
            count = rng.randint(1, 4)
            steps.append(("fault_at", rng.choice(SLOTS), rng.choice(CALLS), fate, late_ms, count))
        if rng.random() < 0.03:
            steps.append(
                (rng.choice(("kill", "pause", "resume", "replace")), rng.choice(PROCESSES))
            )
    return steps


@pytest.mark.parametrize("seed", FAULTY_SEEDS)
def test_no_task_runs_twice_when_workers_are_replaced_while_calls_are_lost_or_late(seed):
    """Guards against a proof of the end of a run that a delayed order or answer contradicts."""
    replay(draw_faulty_case(seed), make_world=ChurnWorld)

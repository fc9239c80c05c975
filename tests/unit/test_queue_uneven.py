"""Uneven workers and wrong declared run times: more jobs are in time with learned speeds."""

import pytest

from measure import queue_durations
from measure.queue_uneven import BEFORE, MOVES, replay_load

DURATION_MS = 8_000.0


@pytest.mark.parametrize("seed", [1, 2])
def test_learned_speeds_serve_more_urgent_work_and_more_value(seed):
    before = replay_load(BEFORE, 1.0, seed, DURATION_MS)
    learned = replay_load(MOVES, 1.0, seed, DURATION_MS)
    assert learned["urgent"] >= before["urgent"]
    assert learned["all"] > before["all"]


@pytest.mark.parametrize("seed", queue_durations.SEEDS)
@pytest.mark.parametrize("error", [0.5, 0.9])
def test_run_times_are_learned_from_wrong_declarations(error, seed):
    figures = queue_durations.run_time_errors(error, seed)
    assert figures["learned_error"] < figures["declared_error"]
    assert figures["learned_error"] < figures["mean_ratio_error"]
    assert figures["within_p90_share"] >= 0.85

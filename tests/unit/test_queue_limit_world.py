"""A team at its limit completes its work, whatever happens around the crash of a worker."""

import pytest

from tests.lib.queue_cases import failure_of
from tests.lib.queue_limit_world import LimitWorld, draw_case, draw_ended_terms
from tests.lib.queue_world import replay

# Seeds in which the numbers of runs that no leader had ordered added up to five losses.
SEEDS_OF_ENDED_TERMS = (12, 27, 30, 61, 81, 83, 85, 88, 95, 96, 98, 109)


@pytest.mark.parametrize("seed", SEEDS_OF_ENDED_TERMS)
def test_healthy_job_is_not_given_up_however_many_terms_end_after_one_crash(seed):
    """Guards against a job that is shown as failed although none of its runs has failed."""
    replay(draw_ended_terms(seed), make_world=LimitWorld)


@pytest.mark.parametrize("draw", [draw_case, draw_ended_terms])
def test_seeded_cases(draw):
    """Plays the cases of fixed seeds."""
    failures = {}
    for seed in range(1_000, 1_030):
        error = failure_of(draw(seed), LimitWorld)
        if error is not None:
            failures[seed] = str(error)
    assert not failures

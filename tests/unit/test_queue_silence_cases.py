"""No task runs twice beside a worker whose lease lasts longer than the leader counts.

Suspended machines, which accept no connections, cannot be distinguished from a cut. They are in
``tests/lib/queue_silence_cases.py`` and not among the tests.
"""

import pytest

from tests.lib import queue_cases, queue_silence_draws
from tests.lib.queue_silence_cases import DEADLINES, KILLS, STOPPED
from tests.lib.queue_world import replay

# Per kind of silence: number of drawn cases.
SEEDED = {"stopped": 20, "deadlines": 30, "kills": 10}


@pytest.mark.parametrize("name", STOPPED)
def test_worker_that_was_stopped_runs_no_task_beside_another(name):
    replay(STOPPED[name])


@pytest.mark.parametrize("name", DEADLINES)
def test_no_task_starts_before_the_deadline_of_a_former_leader(name):
    replay(DEADLINES[name])


@pytest.mark.parametrize("name", KILLS)
def test_no_task_starts_before_its_run_is_killed_late(name):
    replay(KILLS[name])


@pytest.mark.parametrize("kind", SEEDED)
def test_seeded_silences(kind):
    """Plays the cases of fixed seeds. ``tests/lib/queue_silence_draws.py`` plays others."""
    failures = {}
    for number in range(SEEDED[kind]):
        error = queue_cases.failure_of(queue_silence_draws.draw_case(kind, number))
        if error is not None:
            failures[number] = str(error)
    assert not failures

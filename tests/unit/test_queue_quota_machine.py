"""No team exceeds its limit, whatever happens to calls, workers, leaders, the store and limits."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from tests.lib import queue_cases
from tests.lib.team_world import LIMITS, TEAMS, TeamWorld
from tests.unit.test_queue_single_run_machine import SingleRunMachine


class QuotaMachine(SingleRunMachine):
    """Draws the same events, and changes of the limits."""

    @initialize()
    def begin(self) -> None:
        self.world = TeamWorld()

    @rule(team=st.sampled_from(TEAMS), cpu=st.sampled_from(LIMITS))
    def limit(self, team: str, cpu: int) -> None:
        self.world.apply("limit", team, cpu)


# The seed of a state machine alone does not make its draws the same in each process.
QuotaMachine.TestCase.settings = settings(SingleRunMachine.TestCase.settings, derandomize=True)
TestQuotaMachine = QuotaMachine.TestCase


def with_limits(number: int) -> list[tuple]:
    """Return the case of a seed with changes of the limits between its steps."""
    rng = random.Random(number)
    steps = []
    for drawn in queue_cases.draw_case(number):
        steps.append(drawn)
        if rng.random() < 0.2:
            steps.append(("limit", rng.choice(TEAMS), rng.choice(LIMITS)))
    return steps


def test_seeded_cases() -> None:
    """Plays the cases of fixed seeds."""
    failures = {}
    for number in range(40):
        error = queue_cases.failure_of(with_limits(number), TeamWorld)
        if error is not None:
            failures[number] = str(error)
    assert not failures

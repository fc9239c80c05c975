"""Workers whose capacity changes while they run, with the store down or the leader replaced.

The world checks at each start that no worker is overfull by the capacity that counts: a larger one
at once, a smaller one a beat and 3,000 ms after the change.
"""

from functools import partial

import pytest

from tests.lib import queue_cases
from tests.lib.queue_world import World, replay

LONG_OUTAGE = (("advance", 4_000), ("advance", 700))
CASES = {
    "leader_without_the_store_uses_a_capacity_that_has_shrunk": [
        ("store_down", True),
        ("resize", "w0", 1_000, 700),
        ("submit", 5),
        ("advance", 4_000),
        ("advance", 160),
    ],
    "entry_is_outdated_just_after_the_store_is_back": [
        ("resize", "w0", 0, 0),
        ("store_down", True),
        ("advance", 4_000),
        ("advance", 530),
        ("submit", 4),
        ("store_up",),
        ("advance", 2_000),
    ],
    "worker_grows_and_shrinks_around_the_begin_of_an_outage": [
        ("resize", "w1", 8_000, 0),
        ("advance", 1_500),
        ("store_down", False),
        ("resize", "w1", 4_000, 1_500),
        *LONG_OUTAGE,
        ("submit", 2),
        ("submit", 2),
        ("store_up",),
        ("advance", 2_000),
    ],
    "entry_shows_it_but_the_instances_are_cut_off_the_store": [
        ("resize", "w0", 1_000, 1_500),
        *[("submit", 5)] * 7,
        ("advance", 300),
        ("store_cut", 0, True),
        ("store_cut", 1, True),
        ("advance", 4_000),
        ("advance", 900),
    ],
    "leader_is_replaced_while_a_worker_shrinks": [
        ("submit", 5),
        ("submit", 5),
        ("submit", 6),
        ("advance", 60),
        ("store_cut", 0, True),
        ("resize", "w0", 1_000, 1_500),
        ("replace", 1),
        ("advance", 4_000),
        ("kill", 1),
        ("submit", 6),
        ("resize", "w1", 0, 1_500),
        ("advance", 4_000),
    ],
    "second_outage_follows_before_the_worker_could_write_its_entry": [
        ("resize", "w1", 0, 0),
        ("store_down", False),
        ("advance", 700),
        ("submit", 2),
        ("advance", 4_000),
        ("heal",),
        ("advance", 700),
        ("submit", 2),
        ("store_down", False),
        ("advance", 700),
    ],
    "tasks_wait_for_room_that_has_gone_during_an_outage": [
        ("store_down", False),
        ("advance", 1_500),
        ("submit", 6),
        ("resize", "w1", 1_000, 1_500),
        ("advance", 4_600),
        ("store_up",),
        ("advance", 2_000),
    ],
}


@pytest.mark.parametrize("name", CASES)
def test_no_task_starts_by_a_capacity_that_is_not_proved(name):
    """Guards against starts beyond a capacity that has shrunk while no entry could show it."""
    replay(CASES[name])


# All kinds of faults but outages of the store and what the instances do.
EXCLUDED = (
    "restart", "fault", "cut", "unlist", "habit", "health", "hang", "kill", "store_fault",
)  # fmt: skip


@pytest.mark.parametrize(
    ("agreements", "excluded", "added", "numbers"),
    [
        # 80 and 92 failed with LIMIT before the age of entries was limited.
        ("", (), ["resize"], range(76, 96)),
        # So did 1028, 1040 and 1043; 1132 because of a second outage right after one.
        ("", EXCLUDED, ["resize", "store_down"], [*range(1_026, 1_046), 1_132]),
        ("pressure", (), ["resize"], range(300, 312)),
    ],
)
def test_seeded_cases(agreements, excluded, added, numbers):
    """Plays cases of fixed seeds. ``python -m tests.lib.queue_cases`` plays others."""
    failures = {}
    for number in numbers:
        steps = queue_cases.draw_case(number, excluded, added)
        error = queue_cases.failure_of(steps, partial(World, agreements))
        if error is not None:
            failures[number] = str(error)
    assert not failures

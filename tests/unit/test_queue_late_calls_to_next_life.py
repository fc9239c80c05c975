"""A call that is carried out seconds later, by the next life of its worker, lengthens a lease."""

import pytest

from tests.lib.queue_lease_world import LeaseWorld
from tests.lib.queue_world import replay

IDLE = ("advance", 9_000)
RESTART = ("restart", "w0", 4_000, 5, 60_000)
RESTART_SHOWN = ("restart", "w0", 4_000, 5, 10)
LONG_TASK = ("submit", 4)
CUT = ("cut", "w0", -1, "both")
WAIT = ("advance", 16_000)


@pytest.mark.parametrize("late_ms", [1_000, 2_000, 3_000, 5_000])
def test_order_that_the_next_life_carries_out_late_ends_before_its_task_starts_again(late_ms):
    replay(
        [
            IDLE,
            ("fault", "w0", "start", "late", late_ms, 1),
            LONG_TASK,
            ("advance", 100),
            RESTART,
            CUT,
            WAIT,
        ],
        make_world=LeaseWorld,
    )


@pytest.mark.parametrize("late_ms", [3_000, 5_000, 8_000])
def test_renewal_that_the_next_life_carries_out_late_does_not_outlast_the_counted_lease(late_ms):
    replay(
        [
            IDLE,
            *[LONG_TASK] * 12,
            ("advance", 1_500),
            ("fault", "w0", "hold", "late", late_ms, 1),
            ("until", "w0 hold"),
            RESTART_SHOWN,
            ("advance", late_ms + 50),
            CUT,
            WAIT,
        ],
        make_world=LeaseWorld,
    )

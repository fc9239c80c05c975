"""A leader that refuses connections may only be cut off, with workers that it can still reach."""

import pytest

from tests.lib.queue_world import PROCESSES, World

CUT_MS = 6_600.0


@pytest.mark.parametrize("before_end_ms", [100.0, 1_500.0, 3_000.0])
def test_run_that_ended_beside_a_cut_off_leader_does_not_start_again(before_end_ms):
    """Guards against a successor that takes a leader for ended whose address refuses connections.

    The leader extends the lease of its worker until its own authority ends.
    """
    world = World()
    try:
        world.apply("submit", 4)
        world.apply("advance", 8_000.0 - before_end_ms)
        ((worker, life),) = [(name, each) for name, each in world.lives.items() if each.runs]
        leader = next(n for n in PROCESSES if world.processes[n].leader is not None)
        world.apply("store_cut", leader, True)
        world.apply("cut", worker, 1 - leader, "both")
        world.apply("replace", 1 - leader)
        world.apply("advance", CUT_MS)
        assert not life.runs
        world.finish()
        starts = [line for line in world.trace if "STARTS" in line]
        assert len(starts) == 1, starts
    finally:
        world.close()

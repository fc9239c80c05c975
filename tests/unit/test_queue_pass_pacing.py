"""Passes of a slow leader leave time for the commits and orders on which starts depend."""

import pytest

from nutmeglb._internal.queues.pass_pacing import (
    MAX_REST_MS,
    MIN_LOOKS,
    PASS_LIMIT_MS,
    PASS_MS,
    PassPacer,
)
from nutmeglb_decisions.queues.placing import WORKER_CHECKS_PER_PASS

PASSES = 30


@pytest.mark.parametrize(
    ("ms_per_look", "fixed_ms", "longest_ms"),
    [
        (0.0, 0.1, PASS_LIMIT_MS),
        (0.000_5, 1.0, PASS_LIMIT_MS),
        (0.005, 1.0, PASS_LIMIT_MS),
        (0.002, 40.0, 40.0 + 0.002 * MIN_LOOKS),
    ],
    ids=["idle", "fast", "slow", "slow by its ranks alone"],
)
def test_pass_of_a_slow_leader_is_short(ms_per_look, fixed_ms, longest_ms):
    """Guards against passes that block the event loop while steps wait for commits."""
    pacer = PassPacer()
    for _ in range(PASSES):
        took_ms = fixed_ms + pacer.looks * ms_per_look
        pacer.note(took_ms)
    assert fixed_ms + pacer.looks * ms_per_look <= longest_ms
    assert pacer.rest_ms == max(PASS_MS, took_ms)
    assert MIN_LOOKS <= pacer.looks <= WORKER_CHECKS_PER_PASS


def test_one_pass_in_a_pause_of_the_process_costs_little():
    pacer = PassPacer()
    pacer.note(5_000.0)
    assert (pacer.looks, pacer.rest_ms) == (WORKER_CHECKS_PER_PASS // 2, MAX_REST_MS)
    for _ in range(4):
        pacer.note(1.0)
    assert (pacer.looks, pacer.rest_ms) == (WORKER_CHECKS_PER_PASS, PASS_MS)

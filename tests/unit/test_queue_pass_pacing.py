"""Scheduling passes of a slow leader leave time for the commits and orders that starts need."""

import pytest

from nutmeglb._internal.queues.pass_pacing import (
    MAX_PAUSE_MS,
    MIN_PAUSE_MS,
    MIN_WORKER_CHECKS,
    TARGET_PASS_MS,
    PassPacer,
)
from nutmeglb_decisions.queues.placing import WORKER_CHECKS_PER_PASS

PASSES = 30


@pytest.mark.parametrize(
    ("ms_per_check", "overhead_ms", "max_pass_ms"),
    [
        (0.0, 0.1, TARGET_PASS_MS),
        (0.000_5, 1.0, TARGET_PASS_MS),
        (0.005, 1.0, TARGET_PASS_MS),
        (0.002, 40.0, 40.0 + 0.002 * MIN_WORKER_CHECKS),
    ],
    ids=["idle", "fast", "slow", "slow ranking"],
)
def test_pass_of_a_slow_leader_is_short(ms_per_check, overhead_ms, max_pass_ms):
    """Guards against passes that block the event loop and so delay commits that steps wait for."""
    pacer = PassPacer()
    for _ in range(PASSES):
        took_ms = overhead_ms + pacer.worker_checks * ms_per_check
        pacer.record_pass(took_ms)
    assert overhead_ms + pacer.worker_checks * ms_per_check <= max_pass_ms
    assert pacer.pause_ms == max(MIN_PAUSE_MS, took_ms)
    assert MIN_WORKER_CHECKS <= pacer.worker_checks <= WORKER_CHECKS_PER_PASS


def test_slowdown_after_one_pass_during_a_process_pause_is_brief():
    pacer = PassPacer()
    pacer.record_pass(5_000.0)
    assert (pacer.worker_checks, pacer.pause_ms) == (WORKER_CHECKS_PER_PASS // 2, MAX_PAUSE_MS)
    for _ in range(4):
        pacer.record_pass(1.0)
    assert (pacer.worker_checks, pacer.pause_ms) == (WORKER_CHECKS_PER_PASS, MIN_PAUSE_MS)

"""Decisions of deployments that have switched no optional part on stay the same."""

import hashlib
import random

import pytest

from measure import queue_leader, queue_passes
from nutmeglb_decisions.queues.effects import RequestAdvice
from nutmeglb_decisions.queues.ranking import rank_of

PLAIN_QUEUES = queue_passes.CONFIG.queues


def decisions_digest(replay: queue_passes.Replay, queues, workers: int, load: float) -> str:
    """Replay a load and return a digest of all effects, in order."""
    digest = hashlib.sha256()
    apply_effects = replay.apply_effects

    def record_effects(now_ms, rng):
        effects = apply_effects(now_ms, rng)
        for effect in effects:
            digest.update(f"{now_ms} {order_text(effect)}\n".encode())
        return effects

    replay.apply_effects = record_effects
    replay.run(queue_passes.arrivals(workers, load, random.Random(7), queues), rank_of)
    return digest.hexdigest()[:16]


def order_text(effect) -> str:
    """Return what an effect orders, without fields that later releases add."""
    if isinstance(effect, RequestAdvice):
        return f"advise {effect.step} {','.join(effect.workers)}"
    return f"{type(effect).__name__} {effect.worker_id} {effect.task} {effect.run}"


def plain_replay(workers: int) -> queue_passes.Replay:
    """Return a cell whose queues need no advice."""
    return queue_passes.Replay(workers)


def advised_replay(workers: int) -> queue_passes.Replay:
    """Return a cell whose queues all need advice."""
    rates = {name: share for name, (_, share) in queue_leader.ADVICE_BY_QUEUE.items()}
    return queue_leader.AdvisedReplay(workers, queue_leader.CONFIG, rates)


# Digests of the orders that the scheduler gave before order terms, worker terms, start gates and
# teams existed (commit cbf7ade).
RECORDED = [
    (plain_replay, PLAIN_QUEUES, 12, 0.8, "c636439130326848"),
    (plain_replay, PLAIN_QUEUES, 12, 2.0, "948fad3bdd95f8a7"),
    (advised_replay, queue_leader.QUEUES, 12, 0.8, "6f50f78f5a2003c8"),
    (advised_replay, queue_leader.QUEUES, 12, 1.6, "5b0e185beb4900b4"),
]


@pytest.mark.parametrize(("make_replay", "queues", "workers", "load", "recorded"), RECORDED)
def test_orders_equal_the_recorded_ones(make_replay, queues, workers, load, recorded):
    assert decisions_digest(make_replay(workers), queues, workers, load) == recorded

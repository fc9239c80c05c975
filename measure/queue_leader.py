"""CPU time of a leader's decisions per started task, with placement advice for all queues."""

import heapq
import random
import time
from collections.abc import Iterator, Mapping
from dataclasses import replace

from measure import queue_passes
from measure.figures import Figures
from measure.queue_passes import BATCH, GANGS, SEED, SERVICE, URGENT, Replay
from nutmeglb_decisions.queues import advice, placing
from nutmeglb_decisions.queues.effects import RequestAdvice, StartTask
from nutmeglb_decisions.queues.ranking import rank_of
from nutmeglb_decisions.queues.waiting_order import RankFunction
from nutmeglb_formats.models.queues import AdviceTiming, QueueConfig

# Cost of an advice call and approval rate per queue, from the users' largest deployment.
ADVICE_BY_QUEUE = {
    URGENT.name: (AdviceTiming(16.9, 0.234, 1_500.0), 0.7),
    GANGS.name: (AdviceTiming(507.0, 7.28, 1_500.0), 0.25),
    BATCH.name: (AdviceTiming(182.0, 2.6, 1_500.0), 0.45),
}
QUEUES = tuple(
    replace(queue, advice=ADVICE_BY_QUEUE[queue.name][0]) for queue in (URGENT, GANGS, BATCH)
)
CONFIG = QueueConfig(1, 1, QUEUES, frozenset({SERVICE}), 1)
WORKERS = (24, 175, 270, 1_000)
LOADS = (0.8, 1.6)
# The users' deployments have about one instance that can call the advice service for every three
# workers.
ADVICE_CALLERS_PER_WORKER = 0.33


class AdvisedReplay(Replay):
    """Replay in which each step needs advice. An advice call takes as long as its cost."""

    def __init__(
        self, workers: int, config: QueueConfig, approval_rates: Mapping[str, float]
    ) -> None:
        super().__init__(workers)
        self.cell.configure(config)
        self._approval_rates = approval_rates
        self.starts = 0
        self.total_pass_ms = 0.0
        self._max_calls = max(2, round(workers * ADVICE_CALLERS_PER_WORKER))
        self._pending_calls: list[tuple[float, int, RequestAdvice]] = []
        self._call_count = 0

    @property
    def has_pending_events(self) -> bool:
        """Return whether any event is still to come."""
        return bool(self._pending_calls) or super().has_pending_events

    def step(self, now_ms: float, rng: random.Random, rank: RankFunction) -> None:
        """Complete due advice calls, run a pass, and apply its effects."""
        started_s = time.process_time()
        while self._pending_calls and self._pending_calls[0][0] <= now_ms:
            self._complete_call(heapq.heappop(self._pending_calls)[2], now_ms, rng)
        placing.schedule(self.cell, self._max_calls, rng, now_ms, now_ms, rank)
        self.pass_ms.append((time.process_time() - started_s) * 1_000)
        self.total_pass_ms += self.pass_ms[-1]
        for effect in self.apply_effects(now_ms, rng):
            if isinstance(effect, StartTask):
                self.starts += 1
            elif isinstance(effect, RequestAdvice):
                self._call_count += 1
                heapq.heappush(
                    self._pending_calls, (now_ms + effect.cost_ms, self._call_count, effect)
                )

    def _complete_call(self, call: RequestAdvice, now_ms: float, rng: random.Random) -> None:
        job_id, occurrence, number = call.step.split(".")
        step = self.cell.find_step(job_id, int(occurrence), int(number))
        if step is None:
            return
        share = self._approval_rates[step.job.record.queue.name]
        good = [
            (worker_id, "ticket")
            for worker_id in call.workers
            if worker_id in step.advice.good or rng.random() < share
        ]
        advice.answered(self.cell, step, call, good, now_ms + 1_500.0)


def queue_leader_cost() -> Iterator[Figures]:
    """Measure the time of passes per started task, below and above capacity."""
    for workers in WORKERS:
        for load in LOADS:
            approval_rates = {name: share for name, (_, share) in ADVICE_BY_QUEUE.items()}
            replay = AdvisedReplay(workers, CONFIG, approval_rates)
            arrivals = queue_passes.arrivals(workers, load, random.Random(SEED), QUEUES)
            replay.run(arrivals, rank_of)
            ordered = sorted(replay.pass_ms)
            figures = {
                "pass_mean_ms": round(replay.total_pass_ms / len(ordered), 2),
                "pass_p99_ms": round(ordered[int(len(ordered) * 0.99)], 2),
                "ms_per_start": round(replay.total_pass_ms / max(1, replay.starts), 3),
            }
            size = f"{workers} workers, load {load}"
            yield Figures("queue_leader_cost", size, "passes", "", SEED, figures)


CASES = {"queue_leader_cost": queue_leader_cost}

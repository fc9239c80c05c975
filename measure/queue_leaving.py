"""Value served when a part of the workers leaves at a notice of two seconds."""

import random
from collections.abc import Iterator
from dataclasses import replace

from measure.figures import Figures
from measure.queue_pressure import (
    STOP_MS,
    WORKERS,
    PressureReplay,
    Scenario,
    arrivals,
    earned_shares,
)
from nutmeglb_decisions.queues import orders, reports
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.leaving import LeavingOptions
from nutmeglb_decisions.queues.ranking import rank_of
from nutmeglb_decisions.queues.waiting_order import RankFunction

SEEDS = (1, 2, 3)
LOADS = (1.0, 1.4)
DURATION_MS = 9_000.0
# A seventh of the workers announces its end at each of these times.
NOTICES_MS = (3_000.0, 6_000.0)
LEAVING_SHARE = 0.14
REMAINING_MS = 1_900.0
ENTRY_AGE_MS = 500.0
LEASE_EXPIRY_AFTER_MS = 6_270.0
CALL_TIMEOUT_MS = 400.0


class LeavingReplay(PressureReplay):
    """Replay in which some workers announce their end and leave.

    Attributes
    ----------
    ended_with_worker
        Number of runs that were lost with their worker.
    """

    def __init__(self, workers: int, options: PartOptions, seed: int) -> None:
        super().__init__(workers, options, seed)
        self.cell.lease_expiry_after_ms = LEASE_EXPIRY_AFTER_MS
        self.ended_with_worker = 0
        self._leaving_rng = random.Random(seed)
        self._notices_ms = list(NOTICES_MS)
        self._leaves_ms: dict[str, float] = {}
        self._gone: set[str] = set()

    def step(self, now_ms: float, rng: random.Random, rank: RankFunction) -> None:
        """Announce and carry out the ends of workers, and run a pass."""
        if self._notices_ms and now_ms >= self._notices_ms[0]:
            self._notices_ms.pop(0)
            self._announce(now_ms)
        for worker_id, leaves_ms in self._leaves_ms.items():
            if now_ms >= leaves_ms and worker_id not in self._gone:
                self._leave(worker_id, now_ms)
            if now_ms >= leaves_ms + CALL_TIMEOUT_MS:
                orders.unanswered(self.cell, self.cell.workers[worker_id], now_ms)
        reports.expire_silent_workers(self.cell, now_ms, now_ms)
        super().step(now_ms, rng, rank)

    def _announce(self, now_ms: float) -> None:
        staying = [w for w in self.cell.workers.values() if not w.info.draining]
        count = round(LEAVING_SHARE * len(self.cell.workers))
        for worker in self._leaving_rng.sample(staying, count):
            worker.update_info(replace(worker.info, draining=True, remaining_ms=REMAINING_MS))
            age_ms = self._leaving_rng.uniform(0.0, ENTRY_AGE_MS)
            self._leaves_ms[worker.worker_id] = now_ms + REMAINING_MS - age_ms

    def _leave(self, worker_id: str, now_ms: float) -> None:
        worker = self.cell.workers[worker_id]
        self._gone.add(worker_id)
        self.ended_with_worker += len(worker.runs)
        for step in {run.step for run in worker.runs.values() if run.step.spec.gang}:
            for run in step.live_runs:
                self._break(run, now_ms)
        worker.lease_expires_at_ms = self._leaves_ms[worker_id] + LEASE_EXPIRY_AFTER_MS

    def _report(self, worker_id: str, ended: tuple[tuple[str, int], ...], now_ms: float) -> None:
        if worker_id not in getattr(self, "_gone", ()):
            super()._report(worker_id, ended, now_ms)


POLICIES = {
    "runs end with their worker": PartOptions(),
    "runs are stopped before": PartOptions(leaving=LeavingOptions(STOP_MS, ENTRY_AGE_MS)),
}


def queue_leaving() -> Iterator[Figures]:
    """Measure the earned share of the value by load, policy and seed."""
    for load in LOADS:
        for seed in SEEDS:
            jobs = arrivals(Scenario("steady", load), WORKERS, DURATION_MS, seed)
            for name, options in POLICIES.items():
                replay = LeavingReplay(WORKERS, options, seed)
                replay.run([(job.accepted_ms, job) for job in jobs], rank_of)
                figures = earned_shares(jobs, replay.done) | {
                    "stopped_runs": replay.stopped_runs,
                    "ended_with_worker": replay.ended_with_worker,
                }
                size = f"{WORKERS} workers, load {load}"
                baseline = "runs end with their worker"
                yield Figures("queue_leaving", size, name, baseline, seed, figures)


CASES = {"queue_leaving": queue_leaving}

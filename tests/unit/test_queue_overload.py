"""Gangs start in time under a saturating load of smaller work."""

import heapq
import random
from dataclasses import replace

import pytest

from nutmeglb_decisions.queues.ranking import critical_path_ms, objective_ms
from tests.lib.queues import BATCH, CONFIG, URGENT, CellWorld, job, step, worker_info

LOWEST = replace(BATCH, name="lowest", prefix="/l/", priority=2, stretch=4.0)
STEP_MS = 50.0
WORKERS = 8


class LoadGenerator:
    """Keeps all workers full with periodic urgent pairs and a backlog of lowest-priority work."""

    def __init__(self, seed: int, urgent_every_ms: float) -> None:
        self.world = CellWorld()
        queues = (*CONFIG.queues, LOWEST)
        self.world.cell.configure(replace(CONFIG, queues=queues))
        self.world.show(*(worker_info(f"w{n}") for n in range(WORKERS)))
        self._rng = random.Random(seed)
        self._urgent_every_ms = urgent_every_ms
        self._next_urgent_ms = 0.0
        self._job_count = 0
        self._start_count = 0
        self._pending_ends: list[tuple[float, int, object]] = []
        self.first_start_ms: dict[str, float] = {}

    def advance(self, until_ms: float) -> None:
        """Simulate arrivals, ends and scheduling passes until a point in time."""
        world = self.world
        while world.now_ms < until_ms:
            world.now_ms += STEP_MS
            self._add_arrivals()
            while self._pending_ends and self._pending_ends[0][0] <= world.now_ms:
                world.end(heapq.heappop(self._pending_ends)[2])
            world.schedule()
            for order in world.answer_starts():
                self.first_start_ms.setdefault(order.task.split(".")[0], world.now_ms)
                run = world.worker(order.worker_id).runs[order.task, order.run]
                estimate_ms = run.step.spec.estimate_ms
                end_ms = world.now_ms + estimate_ms * self._rng.uniform(0.7, 1.4)
                self._start_count += 1
                heapq.heappush(self._pending_ends, (end_ms, self._start_count, order))

    def _add_arrivals(self) -> None:
        world = self.world
        while self._next_urgent_ms <= world.now_ms:
            self._next_urgent_ms += self._urgent_every_ms
            self._add(step(2, cpu=1_400), URGENT)
        waiting = [
            job
            for job in world.cell.active.values()
            if job.record.queue.name == LOWEST.name and not job.has_started
        ]
        for _ in range(6 - len(waiting)):
            self._add(step(8, cpu=1_000, estimate_ms=3_400.0), LOWEST)

    def _add(self, spec, queue) -> None:
        self._job_count += 1
        self.world.add(job(f"j{self._job_count}", spec, queue=queue))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "cpu"), [(4, 4_500), (8, 4_500), (12, 3_000)])
@pytest.mark.parametrize("urgent_every_ms", [200.0, 80.0])
def test_gang_starts_in_time_under_saturating_load(seed, count, cpu, urgent_every_ms):
    """Guards against urgent tasks that take the capacity accumulated for a gang.

    They do so when low-priority work uses all other capacity.
    """
    load = LoadGenerator(seed, urgent_every_ms)
    load.advance(8_000.0)
    gang = load.world.add(job("gang", step(count, cpu=cpu, gang=True, estimate_ms=6_200.0)))
    estimates = load.world.cell.estimates
    latest_start_ms = 8_000.0 + objective_ms(gang, estimates) - critical_path_ms(gang, estimates)
    load.advance(latest_start_ms + STEP_MS)
    assert load.first_start_ms.get("gang", float("inf")) <= latest_start_ms + STEP_MS


def test_gang_of_one_service_does_not_block_another_service():
    """Guards against capacity reserved on workers that the waiting gang cannot use."""
    load = LoadGenerator(0, 200.0)
    world = load.world
    elsewhere = replace(LOWEST, name="elsewhere", prefix="/e/", service="second")
    urgent = replace(URGENT, name="quick", prefix="/q/", service="second")
    queues = (*CONFIG.queues, LOWEST, elsewhere, urgent)
    world.cell.configure(replace(CONFIG, queues=queues))
    infos = [worker.info for worker in world.cell.workers.values()]
    world.show(*infos, worker_info("second", cpu=4_000, service="second"))
    world.add(job("quick", step(3, cpu=1_000), queue=urgent))
    load.advance(8_000.0)
    world.add(job("gang", step(12, cpu=4_500, gang=True, estimate_ms=6_200.0)))
    world.add(job("filler", step(4, cpu=1_000), queue=elsewhere))
    load.advance(8_000.0 + STEP_MS)
    assert "gang" not in load.first_start_ms
    filler = [run for run in world.worker("second").runs.values() if run.task.startswith("filler")]
    assert len(filler) == 4

"""Replayed burst of jobs: share in time compared with first come, first served; cost of a pass."""

import heapq
import random
import time
from collections.abc import Iterator

from measure.figures import Figures
from nutmeglb_decisions.queues import lifecycle, placing, progress, reports
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import Effect, StartTask
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.orders import StartOutcome, apply_start_answer
from nutmeglb_decisions.queues.ranking import Rank, Tier, objective_ms, rank_of
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.waiting_order import RankFunction
from nutmeglb_formats.models.queues import (
    EndedTask,
    Queue,
    QueueConfig,
    QueueJob,
    QueueWorker,
    RunningTask,
    StepSpec,
    WorkerReport,
)
from nutmeglb_formats.models.resources import Resources

SEED = 7
GB = 1 << 30
SERVICE = "pool"
URGENT = Queue("urgent", "h", "/u/", SERVICE, 0, 3, 1.5, 250.0)
GANGS = Queue("gangs", "h", "/g/", SERVICE, 1, 2, 2.2, 1_000.0)
BATCH = Queue("batch", "h", "/b/", SERVICE, 2, 3, 4.0, 3_000.0)
CONFIG = QueueConfig(1, 1, (URGENT, GANGS, BATCH), frozenset({SERVICE}), 1)
WORKER_CPU_MILLIS = 16_000
LEASE_EXPIRY_AFTER_MS = 1e9
STOP_ENDS_AFTER_MS = 1e9
# Work that arrives in the burst, as a multiple of the capacity.
LOADS = (0.8, 2.0)
BURST_MS = 6_000.0
WORKERS = (24, 175)
PASS_INTERVAL_MS = 20.0


def rank_by_arrival(step: Step, start_ms: float, now_ms: float, estimates: Estimates) -> Rank:
    """Rank steps by the time at which their job was accepted."""
    return Rank(Tier.IN_TIME, 0, 0.0, 0.0, step.job.accepted_ms)


def arrivals(
    workers: int, load: float, rng: random.Random, queues: tuple[Queue, ...] | None = None
) -> list[tuple[float, QueueJob]]:
    """Return a mix of small urgent jobs, gangs and wide batches whose work adds up to ``load``."""
    queues = queues or CONFIG.queues
    remaining_work = load * workers * WORKER_CPU_MILLIS * BURST_MS
    timed_jobs: list[tuple[float, QueueJob]] = []
    while remaining_work > 0:
        queue = rng.choices(queues, (0.84, 0.04, 0.12))[0]
        count, cpu, mean_ms = {
            URGENT.name: (rng.randint(1, 3), 1_400, 1_000.0),
            GANGS.name: (rng.randint(4, 16), 4_500, 6_200.0),
            BATCH.name: (rng.randint(4, 20), 980, 3_400.0),
        }[queue.name]
        estimate_ms = mean_ms * rng.uniform(0.5, 1.6)
        spec = StepSpec(count, Resources(cpu, GB, 0), estimate_ms, gang=queue.name == GANGS.name)
        at_ms = rng.uniform(0.0, BURST_MS)
        name = f"{len(timed_jobs):016x}"
        job = QueueJob(name, queue, "", (spec,), 0, 0.0, 0.0, 0.0, "")
        timed_jobs.append((at_ms, job))
        remaining_work -= count * cpu * estimate_ms
    return sorted(timed_jobs, key=lambda item: item[0])


class Replay:
    """Simulation of a cell under a given list of jobs, without I/O."""

    def __init__(self, workers: int) -> None:
        self.cell = Cell(0, LEASE_EXPIRY_AFTER_MS, STOP_ENDS_AFTER_MS)
        self.cell.configure(CONFIG)
        self.pass_ms: list[float] = []
        self.done: dict[str, float] = {}
        self._task_ends: list[tuple[float, int, str, str, int]] = []
        self._last_end_numbers: dict[str, int] = {}
        infos = [
            QueueWorker(
                f"w{n}", SERVICE, "", "", "", frozenset(), Resources(WORKER_CPU_MILLIS, 64 * GB, 0),
                False, 1,
            )
            for n in range(workers)
        ]  # fmt: skip
        reports.apply_worker_list(self.cell, infos, 0.0)
        for info in infos:
            self._report(info.worker_id, (), 0.0)

    @property
    def has_pending_events(self) -> bool:
        """Return whether any event is still to come."""
        return bool(self._task_ends)

    def run(self, timed_jobs: list[tuple[float, QueueJob]], rank: RankFunction) -> None:
        """Run the simulation until all tasks have ended."""
        rng = random.Random(SEED)
        now_ms = 0.0
        waiting = list(reversed(timed_jobs))
        while waiting or self.has_pending_events:
            now_ms += PASS_INTERVAL_MS
            while waiting and waiting[-1][0] <= now_ms:
                lifecycle.add_job(self.cell, waiting.pop()[1], now_ms)
            while self._task_ends and self._task_ends[0][0] <= now_ms:
                _, _, worker, task, number = heapq.heappop(self._task_ends)
                self._report(worker, ((task, number),), now_ms)
            self.step(now_ms, rng, rank)

    def step(self, now_ms: float, rng: random.Random, rank: RankFunction) -> None:
        """Run a scheduling pass and apply its effects."""
        started_s = time.perf_counter()
        placing.schedule(self.cell, 8, rng, now_ms, now_ms, rank)
        self.pass_ms.append((time.perf_counter() - started_s) * 1_000)
        self.apply_effects(now_ms, rng)

    def apply_effects(self, now_ms: float, rng: random.Random) -> list[Effect]:
        """Commit progress, start tasks, and return all effects of the pass."""
        self._commit_progress(now_ms)
        effects = self.cell.take_effects()
        for effect in effects:
            if isinstance(effect, StartTask):
                self._start_task(effect, now_ms, rng)
        self.cell.take_decisions()
        return effects

    def _commit_progress(self, now_ms: float) -> None:
        for job in list(self.cell.dirty.values()):
            encoded = progress.encode(job)
            progress.committed(self.cell, job, encoded)
            if encoded.final:
                self.done[job.job_id] = now_ms
        self.cell.dirty.clear()

    def _start_task(self, order: StartTask, now_ms: float, rng: random.Random) -> None:
        started = StartOutcome.STARTED
        apply_start_answer(
            self.cell, order.worker_id, order.task, order.run, started, True, now_ms, now_ms
        )
        run = self.cell.workers[order.worker_id].runs[(order.task, order.run)]
        end_ms = now_ms + run.step.spec.estimate_ms * rng.uniform(0.7, 1.4)
        entry = (end_ms, len(self.pass_ms), order.worker_id, order.task, order.run)
        heapq.heappush(self._task_ends, entry)

    def _report(self, worker_id: str, ended: tuple[tuple[str, int], ...], now_ms: float) -> None:
        worker = self.cell.workers[worker_id]
        ended_tasks = []
        for task, number in ended:
            self._last_end_numbers[worker_id] = self._last_end_numbers.get(worker_id, 0) + 1
            ended_tasks.append(
                EndedTask(self._last_end_numbers[worker_id], task, number, "done", "")
            )
        present = tuple(
            RunningTask(task, number, "", 100)
            for task, number in worker.runs
            if (task, number) not in ended
        )
        report = WorkerReport(now_ms, 1, present, tuple(ended_tasks))
        reports.apply_report(self.cell, worker, report, now_ms, now_ms, now_ms)


def queue_burst() -> Iterator[Figures]:
    """Measure the share of jobs that end within their objective, per queue."""
    for load in LOADS:
        timed_jobs = arrivals(WORKERS[0], load, random.Random(SEED))
        for name, rank in (("first come", rank_by_arrival), ("tier, priority, work", rank_of)):
            replay = Replay(WORKERS[0])
            replay.run(timed_jobs, rank)
            shares = {
                f"{queue.name}_in_time_share": _in_time_share(replay, timed_jobs, queue)
                for queue in CONFIG.queues
            }
            size = f"{WORKERS[0]} workers, load {load}"
            yield Figures("queue_burst", size, name, "first come", SEED, shares)


def _in_time_share(replay: Replay, timed_jobs: list[tuple[float, QueueJob]], queue: Queue) -> float:
    own = [(at_ms, job) for at_ms, job in timed_jobs if job.queue is queue]
    in_time = 0
    for at_ms, record in own:
        scratch_cell = Cell(0, LEASE_EXPIRY_AFTER_MS, STOP_ENDS_AFTER_MS)
        lifecycle.add_job(scratch_cell, record, 0.0)
        limit_ms = objective_ms(scratch_cell.jobs[record.job_id], scratch_cell.estimates)
        in_time += replay.done.get(record.job_id, float("inf")) - at_ms <= limit_ms
    return round(in_time / max(1, len(own)), 3)


def queue_pass_cost() -> Iterator[Figures]:
    """Measure the duration of a scheduling pass while more work waits than fits."""
    for workers in WORKERS:
        replay = Replay(workers)
        replay.run(arrivals(workers, LOADS[-1], random.Random(SEED)), rank_of)
        ordered = sorted(replay.pass_ms)
        figures = {
            "pass_p50_ms": round(ordered[len(ordered) // 2], 2),
            "pass_p99_ms": round(ordered[int(len(ordered) * 0.99)], 2),
        }
        size = f"{workers} workers, load {LOADS[-1]}"
        yield Figures("queue_pass_cost", size, "one pass", "", SEED, figures)


CASES = {"queue_burst": queue_burst, "queue_pass_cost": queue_pass_cost}

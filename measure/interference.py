"""Synthetic cell in which kinds of tasks slow each other down by a known amount, or do not."""

import heapq
import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from measure.figures import Figures
from measure.queue_passes import GB, SERVICE, Replay
from nutmeglb_decisions.queues import composition, lifecycle, placing
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.effects import StartTask
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.interference import Pair, shares_beside
from nutmeglb_decisions.queues.orders import StartOutcome, apply_start_answer
from nutmeglb_decisions.queues.ranking import objective_ms
from nutmeglb_decisions.queues.state import Run
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import Queue, QueueConfig, QueueJob, StepSpec
from nutmeglb_formats.models.resources import Resources

TICK_MS = 100.0
MS_PER_S = 1_000.0
KINDS = ("a", "b", "c")
QUEUES = {name: Queue(name, "h", f"/{name}/", SERVICE, 1, 3, 2.2, 500.0) for name in KINDS}
KINDS_BY_KEY = {queue.key: name for name, queue in QUEUES.items()}
CONFIG = QueueConfig(1, 1, tuple(QUEUES.values()), frozenset({SERVICE}), 1)
# Tasks in a step, millicores and mean duration of a task.
SHAPES = {"a": (4, 1_000, 1_000.0), "b": (4, 3_000, 3_000.0), "c": (6, 1_500, 1_500.0)}
SEEDS = (1, 2, 3)
WORKERS = 8

# Slow-down by kind and neighbouring kind: logarithm per whole worker used by the neighbour.
Truth = Mapping[tuple[str, str], float]


@dataclass(frozen=True, slots=True)
class Scene:
    """A synthetic cell.

    Attributes
    ----------
    truth
        Effects at a time in milliseconds.
    load
        Work that arrives as a share of the capacity, without any effect.
    speeds
        Spread of the logarithm of the workers' slowness.
    estimate_error
        Largest relative error of the estimate of a step.
    estimate_factors
        Ratio of declared to true durations by queue.
    slow_worker
        Factor of the run times on the first worker after a third of the time.
    hung_share
        Share of the tasks that take eight times as long.
    full_effect
        Logarithm of the slow-down of every task by utilization above 80 %, per whole worker.
    noise
        Spread of the logarithm of the run times.
    """

    truth: Callable[[float], Truth] = lambda _now_ms: {}
    load: float = 0.7
    speeds: float = 0.0
    estimate_error: float = 0.0
    estimate_factors: Mapping[str, float] = field(default_factory=dict)
    slow_worker: float = 1.0
    hung_share: float = 0.0
    full_effect: float = 0.0
    noise: float = 0.2
    duration_ms: float = 150_000.0


def constant(truth: Truth) -> Callable[[float], Truth]:
    """Return effects that do not change."""
    return lambda _now_ms: truth


@dataclass(slots=True)
class _Progress:
    """Work left of a run, in milliseconds on an idle average worker."""

    run: Run
    left_ms: float
    idle_ms: float
    slow_down: float = 1.0


class SyntheticCell(Replay):
    """Simulation of a cell in which the speed of a task depends on what runs beside it.

    Attributes
    ----------
    counted
        Pairs that counted, and when they first did.
    pairs_at
        Counting pairs by second.
    durations
        Per kind: ratios of durations to those on an idle worker of the same speed.
    """

    def __init__(
        self, scene: Scene, seed: int, keep_apart: bool = True, workers: int = WORKERS
    ) -> None:
        super().__init__(workers)
        composition.configure(self.cell, CONFIG, PartOptions(keep_apart=keep_apart))
        self.scene = scene
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.slowness = {w: math.exp(self.rng.gauss(0, scene.speeds)) for w in self.cell.workers}
        self.counted: dict[tuple[str, str], float] = {}
        self.pairs_at: dict[int, set[tuple[str, str]]] = {}
        self.durations: dict[str, list[float]] = {name: [] for name in KINDS}
        self.in_time = self.jobs = 0
        self._running: dict[str, dict[tuple[str, int], _Progress]] = {}
        self._changed: set[str] = set()

    def simulate(self) -> None:
        """Run the simulation for its duration."""
        arrivals = self._arrivals()
        added: dict[str, tuple[float, float]] = {}
        while self.now_ms < self.scene.duration_ms:
            self.now_ms += TICK_MS
            while arrivals and arrivals[0][0] <= self.now_ms:
                at_ms, record = heapq.heappop(arrivals)[0:3:2]
                lifecycle.add_job(self.cell, record, self.now_ms)
                limit_ms = objective_ms(self.cell.jobs[record.job_id], Estimates())
                added[record.job_id] = at_ms, limit_ms
            for worker_id in list(self._running):
                self._advance(worker_id)
            placing.schedule(self.cell, 8, self.rng, self.now_ms, self.now_ms)
            self.apply_effects(self.now_ms, self.rng)
            self._note_pairs()
        self.jobs = len(added)
        self.in_time = sum(
            self.done.get(job, math.inf) - at_ms <= limit for job, (at_ms, limit) in added.items()
        )

    def _note_pairs(self) -> None:
        learned = self.cell.interference
        pairs: Mapping[str, Mapping[str, Pair]] = learned.pairs if learned else {}
        counting = {
            (KINDS_BY_KEY[key], KINDS_BY_KEY[other]) for key, by in pairs.items() for other in by
        }
        for pair in counting:
            self.counted.setdefault(pair, self.now_ms)
        self.pairs_at[int(self.now_ms / MS_PER_S)] = counting

    def _arrivals(self) -> list[tuple[float, int, QueueJob]]:
        timed: list[tuple[float, int, QueueJob]] = []
        capacity = sum(w.info.capacity.cpu_millis for w in self.cell.workers.values())
        scene, rng = self.scene, self.rng
        for name, (count, cpu, run_ms) in SHAPES.items():
            rate = scene.load * capacity / len(SHAPES) / (count * cpu * run_ms)
            at_ms = rng.expovariate(rate)
            while at_ms < scene.duration_ms:
                error = rng.uniform(1 - scene.estimate_error, 1 + scene.estimate_error)
                declared_ms = run_ms * error * scene.estimate_factors.get(name, 1.0)
                spec = StepSpec(count, Resources(cpu, GB, 0), declared_ms)
                job_id = f"{len(timed):016x}"
                job = QueueJob(job_id, QUEUES[name], "", (spec,), 0, 0.0, 0.0, 0.0, "")
                timed.append((at_ms, len(timed), job))
                at_ms += rng.expovariate(rate)
        heapq.heapify(timed)
        return timed

    def _start_task(self, order: StartTask, now_ms: float, rng: random.Random) -> None:
        apply_start_answer(
            self.cell, order.worker_id, order.task, order.run, StartOutcome.STARTED, True,
            now_ms, now_ms,
        )  # fmt: skip
        run = self.cell.workers[order.worker_id].runs[(order.task, order.run)]
        mean_ms = SHAPES[run.step.job.record.queue.name][2]
        work_ms = mean_ms * math.exp(self.rng.gauss(0, self.scene.noise))
        if self.rng.random() < self.scene.hung_share:
            work_ms *= 8
        progress = _Progress(run, work_ms, work_ms)
        self._changed.add(order.worker_id)
        self._running.setdefault(order.worker_id, {})[(order.task, order.run)] = progress

    def _slow_down(self, worker: Worker, run: Run) -> float:
        """Return the factor of the run time of a task by its worker and what runs beside it."""
        truth, kind = self.scene.truth(self.now_ms), run.step.job.record.queue.name
        factor = self.slowness[worker.worker_id]
        if worker.worker_id == "w0" and self.now_ms > self.scene.duration_ms / 3:
            factor *= self.scene.slow_worker
        beside = shares_beside(worker, run)
        log = sum(
            truth.get((kind, KINDS_BY_KEY[key]), 0.0) * share for key, share in beside.items()
        )
        used = worker.used.cpu_millis / worker.info.capacity.cpu_millis
        return factor * math.exp(log + self.scene.full_effect * max(0.0, used - 0.8))

    def _advance(self, worker_id: str) -> None:
        worker, running = self.cell.workers[worker_id], self._running[worker_id]
        ended = []
        if worker_id in self._changed or self.now_ms % MS_PER_S < TICK_MS:
            for progress in running.values():
                progress.slow_down = self._slow_down(worker, progress.run)
            self._changed.discard(worker_id)
        for key, progress in running.items():
            progress.left_ms -= TICK_MS / progress.slow_down
            if progress.left_ms <= 0:
                ended.append(key)
        for key in ended:
            progress = running.pop(key)
            took_ms = self.now_ms - progress.run.ordered_ms
            kind = progress.run.step.job.record.queue.name
            self.durations[kind].append(took_ms / progress.idle_ms / self.slowness[worker_id])
        if ended:
            self._changed.add(worker_id)
            self._report(worker_id, tuple(ended), self.now_ms)


ONE_PAIR = {("a", "b"): 1.0}
SCENES = {
    "none": Scene(),
    "one pair": Scene(constant(ONE_PAIR)),
    "two harm a third": Scene(constant({("a", "b"): 1.0, ("a", "c"): 1.0})),
    "one pair, uneven": Scene(constant(ONE_PAIR), speeds=0.4, estimate_error=0.45),
    "comes and goes": Scene(
        lambda now_ms: ONE_PAIR if 100_000 < now_ms < 200_000 else {}, duration_ms=400_000
    ),
    "none, uneven": Scene(speeds=0.4, estimate_error=0.45),
    "slow worker": Scene(slow_worker=3.0),
    "hung tasks": Scene(hung_share=0.01),
    "wrong estimates": Scene(estimate_factors={"a": 0.3, "b": 2.5}),
    "full worker": Scene(full_effect=2.5, load=0.9),
}


def interference() -> Iterator[Figures]:
    """Measure synthetic cells with and without the part, by scene and seed."""
    for name, scene in SCENES.items():
        for seed in SEEDS:
            for keep_apart in (True, False):
                cell = SyntheticCell(scene, seed, keep_apart)
                cell.simulate()
                true_pairs = {pair for ms in cell.pairs_at for pair in scene.truth(ms * MS_PER_S)}
                figures = {
                    "in_time_share": round(cell.in_time / cell.jobs, 3),
                    "tasks_per_s": round(
                        sum(map(len, cell.durations.values())) * MS_PER_S / scene.duration_ms, 2
                    ),
                    "false_pairs": len(set(cell.counted) - true_pairs),
                    "found_after_s": max(
                        (round(cell.counted[p] / MS_PER_S) for p in true_pairs & set(cell.counted)),
                        default=-1,
                    ),
                }
                for kind, ratios in cell.durations.items():
                    figures[f"{kind}_slow_down"] = round(sum(ratios) / len(ratios), 3)
                policy = "kept apart" if keep_apart else "not kept apart"
                yield Figures("interference", name, policy, "not kept apart", seed, figures)


CASES = {"interference": interference}

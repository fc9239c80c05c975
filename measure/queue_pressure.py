"""Value served when urgent jobs, gangs and wide batch compete for too little room, by policy.

The mix, the sizes and the advice are those of the users' order scheduling: live orders that are due
shortly after their own work, beside gangs of twenty tasks and batch of twenty-five.
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from measure.figures import Figures
from measure.queue_leader import AdvisedReplay
from measure.queue_mix import GB, LATE_VALUE_SHARE, MS_PER_S, JobProfile, make_steps
from measure.queue_passes import SERVICE
from nutmeglb_decisions.queues import advice, composition, reports
from nutmeglb_decisions.queues.composition import PartOptions
from nutmeglb_decisions.queues.effects import Effect, RequestAdvice, StartTask, StopTask
from nutmeglb_decisions.queues.headroom import ClassUsage
from nutmeglb_decisions.queues.names import parse_task
from nutmeglb_decisions.queues.orders import StartOutcome, apply_start_answer, apply_stop_answer
from nutmeglb_decisions.queues.preemption import PreemptionOptions
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, OBJECTIVE_ADVICE_WORKERS, rank_of
from nutmeglb_decisions.queues.scheduling_pass import SchedulingPass, start_task
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.waiting_order import ranked_steps, startable_tasks
from nutmeglb_decisions.queues.worker_selection import Reservations, slots_on
from nutmeglb_formats.models.queues import (
    AdviceTiming,
    EndedTask,
    Queue,
    QueueConfig,
    QueueJob,
    RunningTask,
    WorkerReport,
)
from nutmeglb_formats.models.resources import Resources

SEEDS = (1, 2)
WORKERS = 176
CAPACITY = Resources(32_000, 64 * GB, 0)
DURATION_MS = 12_000.0
STOP_MS = 200.0
STOP_ENDS_AFTER_MS = 360.0
RESTORE_MS = 250.0
# Entry instances that call the advice service.
ADVICE_CALLERS = 36
# Maximum relative error of the declared run times, and spread of the tasks of a step.
ESTIMATE_ERROR = 0.2
TASK_SPREAD = 0.15
# Bounds on the size of a job relative to the mean of its queue, in the value of a job.
FIXED_VALUE_SHARE = 0.3
MAX_VALUE_FACTOR = 4.0
BOUND_GRID_MS = 1_000.0


def _make_queue(name: str, priority: int, stretch: float, slack_ms: float, *cost: float) -> Queue:
    timing = AdviceTiming(*cost, valid_ms=1_500.0)
    return Queue(name, "h", f"/{name}/", SERVICE, priority, 3, stretch, slack_ms, timing)


JOB_PROFILES = (
    JobProfile(
        _make_queue("orders", 0, 1.5, 250.0, 14.3, 0.208),
        33.1, (3.2, 19), (5_000, 15_000), (7.1, 21), (1_000, 2_500), 0.3, 0.0, 0.7, 0.421,
    ),
    JobProfile(
        _make_queue("gangs", 1, 2.2, 1_000.0, 442.0, 6.37),
        2.23, (20, 120), (9_000, 15_000), (13, 25), (4_000, 10_000), 1.0, 0.2, 0.25, 7.12,
        checkpointing_share=0.5,
    ),
    JobProfile(
        _make_queue("batch", 2, 4.0, 3_000.0, 130.0, 1.82),
        6.38, (25, 150), (3_500, 10_000), (6.4, 19), (2_700, 6_800), 0.0, 0.5, 0.45, 2.69,
        checkpointing_share=0.8,
    ),
)  # fmt: skip
CONFIG = QueueConfig(1, 1, tuple(kind.queue for kind in JOB_PROFILES), frozenset({SERVICE}), 1)
APPROVAL_RATES = {kind.queue.name: kind.approval_rate for kind in JOB_PROFILES}
JOB_VALUES = {kind.queue.name: kind.job_value for kind in JOB_PROFILES}


@dataclass(frozen=True, slots=True)
class Burst:
    """Rate of some queues, all if empty, as a multiple of the usual one, for a time."""

    start_ms: float
    duration_ms: float
    factor: float
    queue: str = ""


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load of one replay: a multiple of the usual rates, and bursts on top of it."""

    name: str
    load: float
    bursts: tuple[Burst, ...] = ()

    def rate_factor(self, queue: str, at_ms: float) -> float:
        """Return the multiple of the usual rate of a queue at a time."""
        factor = self.load
        for burst in self.bursts:
            if burst.queue in ("", queue) and 0 <= at_ms - burst.start_ms < burst.duration_ms:
                factor *= burst.factor
        return factor


SCENARIOS = (
    Scenario("steady", 1.0),
    Scenario("steady, above capacity", 1.6),
    Scenario("burst of orders", 1.2, (Burst(4_000, 4_000, 3.0, "orders"),)),
    Scenario("burst of all", 1.0, (Burst(4_000, 6_000, 2.2),)),
    Scenario("large burst of all", 1.2, (Burst(4_000, 6_000, 3.0),)),
)


def arrivals(scenario: Scenario, workers: int, duration_ms: float, seed: int) -> list[QueueJob]:
    """Return the jobs of a scenario in order of their arrival, which is ``accepted_ms``."""
    rng = random.Random(seed)
    jobs: list[QueueJob] = []
    for kind in JOB_PROFILES:
        peak = scenario.load * max((burst.factor for burst in scenario.bursts), default=1.0) ** 2
        rate = kind.per_s * peak * workers / WORKERS / MS_PER_S
        at_ms = rng.expovariate(rate)
        while at_ms < duration_ms:
            if rng.random() * peak < scenario.rate_factor(kind.queue.name, at_ms):
                steps = make_steps(kind, rng, ESTIMATE_ERROR)
                job_id = f"{len(jobs):016x}"
                jobs.append(QueueJob(job_id, kind.queue, "", steps, 0, 0, 0, at_ms, ""))
            at_ms += rng.expovariate(rate)
    return sorted(jobs, key=lambda job: job.accepted_ms)


def run_ms(job: QueueJob, step: int, index: int) -> float:
    """Return the actual duration of a task, which is the same under all policies."""
    spec = job.steps[step]
    of_step = random.Random(f"{job.job_id}.{step}").uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)
    if spec.gang:
        return spec.estimate_ms * of_step
    of_task = random.Random(f"{job.job_id}.{step}.{index}")
    return spec.estimate_ms * of_step * of_task.uniform(1 - TASK_SPREAD, 1 + TASK_SPREAD)


def step_ms(job: QueueJob, step: int) -> float:
    """Return the duration of the longest task of a step."""
    return max(run_ms(job, step, index) for index in range(job.steps[step].count))


def objective_ms(job: QueueJob) -> float:
    """Return the time in which the caller of a job expects its end. Steps are a chain."""
    timing = job.queue.advice
    advice_ms = timing.call_ms(OBJECTIVE_ADVICE_WORKERS) if timing else 0.0
    chain_ms = sum(step_ms(job, number) + advice_ms for number in range(len(job.steps)))
    return job.queue.stretch * chain_ms + job.queue.slack_ms


def work(job: QueueJob) -> float:
    """Return the work of a job in millicores times milliseconds."""
    return sum(
        spec.needs.cpu_millis * run_ms(job, number, index)
        for number, spec in enumerate(job.steps)
        for index in range(spec.count)
    )


def job_values(jobs: Sequence[QueueJob]) -> dict[str, float]:
    """Return the value of each job in time, which grows with its work."""
    works = {job.job_id: work(job) for job in jobs}
    values = {}
    for name, value in JOB_VALUES.items():
        own = [job.job_id for job in jobs if job.queue.name == name]
        mean = sum(works[job_id] for job_id in own) / max(1, len(own))
        for job_id in own:
            size = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * works[job_id] / mean
            values[job_id] = value * min(MAX_VALUE_FACTOR, size)
    return values


@dataclass(slots=True)
class _LiveRun:
    """A run on a worker: its start, the progress it resumed from, and the time of its stop."""

    started_ms: float
    resumed_ms: float
    stopped_ms: float | None = None


class PressureReplay(AdvisedReplay):
    """Replay in which stops end runs after a while and checkpoints save their progress.

    Attributes
    ----------
    stopped_runs, lost_core_s
        Number of stopped runs, and work in core-seconds that was done and not saved.
    """

    def __init__(self, workers: int, options: PartOptions, seed: int) -> None:
        super().__init__(workers, CONFIG, APPROVAL_RATES)
        self.cell.stop_ends_after_ms = STOP_ENDS_AFTER_MS
        composition.configure(self.cell, CONFIG, options)
        self._max_calls = ADVICE_CALLERS
        for worker in self.cell.workers.values():
            worker.update_info(replace(worker.info, capacity=CAPACITY))
        self.stopped_runs = 0
        self.lost_core_s = 0.0
        self._live: dict[tuple[str, int], _LiveRun] = {}
        self._stop_rng = random.Random(seed)
        self._event_numbers = itertools.count()

    def apply_effects(self, now_ms: float, rng: random.Random) -> list[Effect]:
        """Apply the effects of a pass, also its stops."""
        effects = super().apply_effects(now_ms, rng)
        for effect in effects:
            if isinstance(effect, StopTask):
                self._stop_task(effect, now_ms)
        return effects

    def is_approved(self, step: str, queue: str, worker_id: str) -> bool:
        """Return whether the advice approves a worker for a step. Its answer never changes."""
        return random.Random(f"{step} {worker_id}").random() < APPROVAL_RATES[queue]

    def _complete_call(self, call: RequestAdvice, now_ms: float, rng: random.Random) -> None:
        name = parse_task(f"{call.step}.0")
        step = self.cell.find_step(name.job_id, name.occurrence, name.step) if name else None
        if step is not None:
            queue = step.job.record.queue.name
            good = [(w, "ticket") for w in call.workers if self.is_approved(call.step, queue, w)]
            advice.answered(self.cell, step, call, good, now_ms + 1_500.0)

    def _start_task(self, order: StartTask, now_ms: float, rng: random.Random) -> None:
        outcome = StartOutcome.STARTED
        apply_start_answer(
            self.cell, order.worker_id, order.task, order.run, outcome, True, now_ms, now_ms
        )
        run = self.cell.workers[order.worker_id].runs[(order.task, order.run)]
        resumed_ms = float(order.checkpoint or 0.0)
        total_ms = run_ms(run.step.job.record, run.step.number, run.index)
        duration_ms = total_ms - resumed_ms + (RESTORE_MS if order.checkpoint else 0.0)
        self._live[(order.task, order.run)] = _LiveRun(now_ms, resumed_ms)
        self._push_end(now_ms + duration_ms, order.worker_id, order.task, order.run)

    def _push_end(self, at_ms: float, worker_id: str, task: str, number: int) -> None:
        entry = (at_ms, next(self._event_numbers), worker_id, task, number)
        heapq.heappush(self._task_ends, entry)

    def _stop_task(self, order: StopTask, now_ms: float) -> None:
        live = self._live.get((order.task, order.run))
        if live is not None and live.stopped_ms is None:
            live.stopped_ms = now_ms
            apply_stop_answer(self.cell, order.worker_id, order.task, order.run, now_ms)
            end_ms = now_ms + self._stop_rng.uniform(0.0, STOP_MS)
            self._push_end(end_ms, order.worker_id, order.task, order.run)

    def _report(self, worker_id: str, ended: tuple[tuple[str, int], ...], now_ms: float) -> None:
        worker = self.cell.workers[worker_id]
        live = self._live if hasattr(self, "_live") else {}
        ends = []
        for task, number in ended:
            was = live.pop((task, number), None)
            run = worker.runs.get((task, number))
            if was is None or run is None:
                continue
            done_ms = was.resumed_ms + now_ms - was.started_ms
            done_ms -= RESTORE_MS if was.resumed_ms else 0.0
            total_ms = run_ms(run.step.job.record, run.step.number, run.index)
            outcome, saved = "done", ""
            if was.stopped_ms is not None and done_ms < total_ms:
                outcome = "stopped"
                saved = self._save(run.step, was, done_ms, run.charged.cpu_millis, now_ms)
            self._last_end_numbers[worker_id] = self._last_end_numbers.get(worker_id, 0) + 1
            number_of_end = self._last_end_numbers[worker_id]
            ends.append(EndedTask(number_of_end, task, number, outcome, saved))
        gone = {(ended_task.task, ended_task.run) for ended_task in ends}
        present = tuple(
            RunningTask(task, number, "", 100)
            for task, number in worker.runs
            if (task, number) not in gone
        )
        report = WorkerReport(now_ms, 1, present, tuple(ends))
        reports.apply_report(self.cell, worker, report, now_ms, now_ms, now_ms)

    def _save(
        self, step: Step, was: _LiveRun, done_ms: float, cpu_millis: int, now_ms: float
    ) -> str:
        """Count the work that a stop loses, and return the checkpoint that it leaves."""
        self.stopped_runs += 1
        saves = step.spec.checkpoints and done_ms > 0
        lost_ms = RESTORE_MS if saves else now_ms - was.started_ms
        self.lost_core_s += lost_ms * cpu_millis / 1e6
        return f"{done_ms:09.1f}" if saves else ""


class FirstFitReplay(PressureReplay):
    """Replay of a plain policy: priority, then age; the first approved worker; no waiting plans.

    It knows the advice without a call.
    """

    def step(self, now_ms: float, rng: random.Random, rank: object) -> None:
        """Start what fits, in order."""
        state = SchedulingPass(
            self.cell, rng, now_ms, now_ms, advice.AdviceBudget(0.0, 0.0), Reservations(),
            Reservations(),
        )  # fmt: skip
        steps = [step for _, step in ranked_steps(self.cell, now_ms, now_ms)]
        steps.sort(key=lambda step: (step.job.record.queue.priority, step.job.accepted_ms))
        for step in steps:
            self._place_first_fit(state, step, now_ms)
        self.apply_effects(now_ms, rng)

    def _place_first_fit(self, state: SchedulingPass, step: Step, now_ms: float) -> None:
        queue = step.job.record.queue.name
        places: list[str] = []
        tasks = startable_tasks(step, now_ms)
        for worker in self.cell.workers.values():
            if len(places) == len(tasks):
                break
            slots = slots_on(worker.free, step, 0)
            if slots and self.is_approved(step.name, queue, worker.worker_id):
                places += [worker.worker_id] * min(slots, len(tasks) - len(places))
        if step.spec.gang and len(places) < len(tasks):
            return
        number = self.cell.next_run_number(max((task.last_run for task in tasks), default=0))
        for task, worker_id in zip(tasks, places, strict=False):
            start_task(state, step, task, self.cell.workers[worker_id], number, 0.0)


def value_bound(jobs: Sequence[QueueJob], workers: int) -> float:
    """Return a share of the value that no scheduler can exceed.

    All workers are one pool of processors, work can be divided at will and moved at no cost. Of the
    jobs that arrive and are due within a window, no more work than the pool does in it is in time.
    The bound is that of the window that costs most; all other jobs count as in time.
    """
    values = job_values(jobs)
    total = sum(values.values())
    rows = [(job.accepted_ms, job.accepted_ms + objective_ms(job), work(job), job) for job in jobs]
    end_ms = max(due_ms for _, due_ms, _, _ in rows)
    times = [BOUND_GRID_MS * n for n in range(math.ceil(end_ms / BOUND_GRID_MS) + 1)]
    least = total
    for first, last in itertools.combinations(times, 2):
        inside = [row for row in rows if first <= row[0] and row[1] <= last]
        room = workers * CAPACITY.cpu_millis * (last - first)
        if sum(row[2] for row in inside) <= room:
            continue
        lost = 0.0
        inside.sort(key=lambda row: values[row[3].job_id] / row[2], reverse=True)
        for _, _, amount, job in inside:
            in_time_share = min(1.0, max(0.0, room / amount))
            lost += values[job.job_id] * (1 - in_time_share) * (1 - LATE_VALUE_SHARE)
            room -= amount
        least = min(least, total - lost)
    return least / total


def earned_shares(jobs: Sequence[QueueJob], done: dict[str, float]) -> dict[str, float]:
    """Return the earned share of the value per queue and in total."""
    values = job_values(jobs)
    offered, earned = dict.fromkeys(JOB_VALUES, 0.0), dict.fromkeys(JOB_VALUES, 0.0)
    for job in jobs:
        took_ms, limit_ms = done.get(job.job_id, math.inf) - job.accepted_ms, objective_ms(job)
        share = 1.0 if took_ms <= limit_ms else LATE_VALUE_SHARE
        offered[job.queue.name] += values[job.job_id]
        if took_ms <= LATE_FACTOR * limit_ms:
            earned[job.queue.name] += share * values[job.job_id]
    shares = {f"{name}_share": earned[name] / offered[name] for name in offered if offered[name]}
    shares["all_share"] = sum(earned.values()) / sum(offered.values())
    return {name: round(share, 3) for name, share in shares.items()}


class _NoHeadroom(ClassUsage):
    """Usage that asks lower work to leave nothing free."""

    def headroom(self, service: str, priority: int) -> float:
        return 0.0


def _without_headroom(workers: int, seed: int) -> PressureReplay:
    """Return a replay in which room for urgent work is made free, but not kept free."""
    replay = PressureReplay(workers, WITH_PREEMPTION, seed)
    replay.cell.class_usage = _NoHeadroom()
    return replay


WITH_PREEMPTION = PartOptions(PreemptionOptions(STOP_MS, RESTORE_MS))
MakeReplay = Callable[[int, int], PressureReplay]
POLICIES: dict[str, MakeReplay] = {
    "plain priority, first fit": lambda workers, seed: FirstFitReplay(workers, PartOptions(), seed),
    "no preemption": lambda workers, seed: PressureReplay(workers, PartOptions(), seed),
    "preemption": lambda workers, seed: PressureReplay(workers, WITH_PREEMPTION, seed),
    "preemption without headroom": _without_headroom,
}


def play(
    scenario: Scenario, make_replay: MakeReplay, workers: int, duration_ms: float, seed: int
) -> tuple[list[QueueJob], PressureReplay]:
    """Replay a scenario under a policy. Return its jobs and the finished replay."""
    jobs = arrivals(scenario, workers, duration_ms, seed)
    replay = make_replay(workers, seed)
    replay.run([(job.accepted_ms, job) for job in jobs], rank_of)
    return jobs, replay


def queue_pressure() -> Iterator[Figures]:
    """Measure the earned share of the value by load, policy and seed, and its bound."""
    for scenario in SCENARIOS:
        for seed in SEEDS:
            size = f"{WORKERS} workers, {scenario.name}"
            for name, make_replay in POLICIES.items():
                jobs, replay = play(scenario, make_replay, WORKERS, DURATION_MS, seed)
                figures = earned_shares(jobs, replay.done) | {
                    "stopped_runs": replay.stopped_runs,
                    "lost_core_s": round(replay.lost_core_s, 1),
                }
                yield Figures("queue_pressure", size, name, "no preemption", seed, figures)
            bound = {"all_share": round(value_bound(jobs, WORKERS), 3)}
            yield Figures("queue_pressure", size, "bound", "no preemption", seed, bound)


CASES = {"queue_pressure": queue_pressure}

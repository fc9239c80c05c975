"""Share of the possible value earned on workers of uneven speed, with wrong declared run times.

The load follows a deployment of the users: a third of the workers take 1.7 times as long as an
average one and a third 0.6 times, some turn six times slower for seconds, and the declared run
times are off by up to 0.9 of the true ones.
"""

import heapq
import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from unittest import mock

from measure.figures import Figures
from measure.queue_leader import AdvisedReplay
from measure.queue_mix import LATE_VALUE_SHARE
from measure.queue_passes import GB, PASS_INTERVAL_MS
from measure.uneven_load import (
    CONFIG,
    PROFILES,
    SPEEDS,
    Load,
    SimulatedWorker,
    draw_slowdowns,
    make_load,
)
from nutmeglb_decisions.queues import lifecycle, orders, placing, reports, slow_runs, speeds
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.effects import Effect, StartTask, StopTask
from nutmeglb_decisions.queues.estimates import Estimates
from nutmeglb_decisions.queues.orders import StartOutcome
from nutmeglb_decisions.queues.parts import LostTime
from nutmeglb_decisions.queues.ranking import LATE_FACTOR, Rank, Tier, objective_ms, rank_of
from nutmeglb_decisions.queues.state import Step
from nutmeglb_decisions.queues.waiting_order import RankFunction
from nutmeglb_decisions.queues.worker_selection import Reservations, choose_single, slots_on
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import (
    EndedTask,
    RunningTask,
    WorkerReport,
)
from nutmeglb_formats.models.resources import Resources

SEEDS = (1, 2, 3)
WORKERS = 176
DURATION_MS = 20_000.0
LOADS = (1.0,)
CAPACITY = Resources(32_000, 128 * GB, 0)
# The replay ends this time after the last arrival.
DRAIN_MS = 15_000.0
CHECKPOINT_MS = 500.0
RESTORE_MS = 100.0
# Time that a job spends outside of the scheduler: acceptance, orders, and answers to its caller.
OUTSIDE_MS = 200.0
POLL_MS = 2_000.0
STOP_MS = 100.0
STOP_ENDS_AFTER_MS = 560.0


class UnevenReplay(AdvisedReplay):
    """Replay on workers of uneven speed, whose reports show what the protocol defines."""

    def __init__(self, load: Load, rng: random.Random, duration_ms: float) -> None:
        rates = {profile.jobs.queue.name: profile.jobs.approval_rate for profile in PROFILES}
        super().__init__(WORKERS, CONFIG, rates)
        self.cell.stop_ends_after_ms = STOP_ENDS_AFTER_MS
        self.load = load
        self.simulated = {
            worker_id: SimulatedWorker(
                SPEEDS[number % len(SPEEDS)], draw_slowdowns(4 * duration_ms, rng)
            )
            for number, worker_id in enumerate(self.cell.workers)
        }
        for worker in self.cell.workers.values():
            worker.update_info(replace(worker.info, capacity=CAPACITY))
        self._work_left: dict[tuple[str, int], float] = {}
        self._stopping: list[tuple[float, int, str, str, int]] = []
        self.now_ms = 0.0
        self.stops = 0
        self._end_ms = duration_ms + DRAIN_MS
        self.shows_progress = True
        self.moves_runs = True
        self.before_pass: Callable[[UnevenReplay], None] | None = None

    @property
    def has_pending_events(self) -> bool:
        """Return whether any event is still to come."""
        is_over = self.now_ms >= self._end_ms
        is_busy = bool(self._work_left or self._stopping) or super().has_pending_events
        return is_busy and not is_over

    def step(self, now_ms: float, rng: random.Random, rank: RankFunction) -> None:
        """Advance all runs, deliver due reports, and run a pass."""
        self.now_ms = now_ms
        ended = self._advance()
        stopped: dict[str, list[tuple[str, int]]] = {}
        while self._stopping and self._stopping[0][0] <= now_ms:
            _, _, worker_id, task, number = heapq.heappop(self._stopping)
            if self._work_left.pop((task, number), None) is not None:
                stopped.setdefault(worker_id, []).append((task, number))
        for worker_id, worker in self.cell.workers.items():
            wanted_ms = speeds.next_report_ms(self.cell, worker, worker.last_report_ms)
            due_ms = min(worker.last_report_ms + POLL_MS, wanted_ms or math.inf)
            is_due = worker.runs and now_ms >= due_ms
            if worker_id in ended or worker_id in stopped or is_due:
                self._send_report(
                    worker_id, ended.get(worker_id, ()), stopped.get(worker_id, ()), now_ms
                )
        speeds.apply_time(self.cell, now_ms)
        if self.moves_runs:
            slow_runs.move_slow_runs(self.cell, now_ms)
        if self.before_pass is not None:
            self.before_pass(self)
        super().step(now_ms, rng, rank)

    def apply_effects(self, now_ms: float, rng: random.Random) -> list[Effect]:
        """Carry out the orders of a pass."""
        effects = super().apply_effects(now_ms, rng)
        for effect in effects:
            if isinstance(effect, StopTask):
                self.stops += 1
                entry = (now_ms + STOP_MS, self.stops, effect.worker_id, effect.task, effect.run)
                heapq.heappush(self._stopping, entry)
                orders.apply_stop_answer(
                    self.cell, effect.worker_id, effect.task, effect.run, now_ms
                )
        return effects

    def _start_task(self, order: StartTask, now_ms: float, rng: random.Random) -> None:
        outcome = StartOutcome.STARTED
        orders.apply_start_answer(
            self.cell, order.worker_id, order.task, order.run, outcome, True, now_ms, now_ms
        )
        work_ms = self.load.work_ms[order.task]
        if order.checkpoint:
            work_ms = max(0.0, work_ms - float(order.checkpoint)) + RESTORE_MS
        self._work_left[(order.task, order.run)] = work_ms

    def _advance(self) -> dict[str, list[tuple[str, int]]]:
        """Let all runs work for one interval. Return those that have ended, per worker.

        The members of a gang work at their own speed, and end together with the last one.
        """
        left_by_gang: dict[tuple[str, int], float] = {}
        finished: list[tuple[str, tuple[str, int], tuple[str, int] | None]] = []
        for worker_id, worker in self.cell.workers.items():
            worked_ms = self.simulated[worker_id].speed_at(self.now_ms) * PASS_INTERVAL_MS
            for key, run in worker.runs.items():
                if key not in self._work_left:
                    continue
                left_ms = self._work_left[key] = max(0.0, self._work_left[key] - worked_ms)
                gang = (run.step.name, run.number) if run.step.spec.gang else None
                if gang is not None:
                    left_by_gang[gang] = max(left_by_gang.get(gang, 0.0), left_ms)
                if not left_ms:
                    finished.append((worker_id, key, gang))
        ended: dict[str, list[tuple[str, int]]] = {}
        for worker_id, key, gang in finished:
            if gang is None or not left_by_gang[gang]:
                ended.setdefault(worker_id, []).append(key)
                del self._work_left[key]
        return ended

    def _send_report(
        self,
        worker_id: str,
        ended: list[tuple[str, int]] | tuple[()],
        stopped: list[tuple[str, int]] | tuple[()],
        now_ms: float,
    ) -> None:
        worker = self.cell.workers[worker_id]
        rows = []
        for (task, number), outcome in [
            *((key, "done") for key in ended),
            *((key, "stopped") for key in stopped),
        ]:
            self._last_end_numbers[worker_id] = self._last_end_numbers.get(worker_id, 0) + 1
            checkpoint = ""
            if outcome == "stopped":
                run = worker.runs[(task, number)]
                checkpoint = self._checkpoint(run.step, task, number, exact=True)
            rows.append(
                EndedTask(self._last_end_numbers[worker_id], task, number, outcome, checkpoint)
            )
        present = tuple(
            RunningTask(
                task,
                number,
                self._checkpoint(run.step, task, number),
                self._points(task, number),
                1,
            )
            for (task, number), run in worker.runs.items()
            if (task, number) in self._work_left
        )
        report = WorkerReport(now_ms, 1, present, tuple(rows))
        reports.apply_report(self.cell, worker, report, now_ms, now_ms, now_ms)

    def _points(self, task: str, number: int) -> int:
        if not self.shows_progress:
            return 100
        return min(100, int(100 * self._done_ms(task, number) / self.load.work_ms[task]))

    def _done_ms(self, task: str, number: int) -> float:
        return max(0.0, self.load.work_ms[task] - self._work_left.get((task, number), 0.0))

    def _checkpoint(self, step: Step, task: str, number: int, exact: bool = False) -> str:
        if not step.spec.checkpoints:
            return ""
        done_ms = self._done_ms(task, number)
        saved_ms = done_ms if exact else done_ms // CHECKPOINT_MS * CHECKPOINT_MS
        return f"{saved_ms:012.3f}" if saved_ms > 0 else ""


@dataclass(frozen=True, slots=True)
class Policy:
    """A scheduler in the replay.

    Attributes
    ----------
    chooses
        Chooses the worker of a single task.
    before_pass
        Called with the replay before each pass.
    knows_run_times
        Whether jobs declare their true run times.
    shows_progress
        Whether the reports of workers show the progress of tasks.
    moves_runs
        Whether runs are moved from workers that have turned slow.
    """

    name: str
    rank: RankFunction = rank_of
    chooses: Callable[..., Worker | None] = choose_single
    before_pass: Callable[[UnevenReplay], None] | None = None
    knows_run_times: bool = False
    shows_progress: bool = True
    moves_runs: bool = True


def rank_by_priority(step: Step, start_ms: float, now_ms: float, estimates: Estimates) -> Rank:
    """Rank steps by priority, then by the time at which their job was accepted."""
    return Rank(Tier.IN_TIME, step.job.record.queue.priority, 0.0, 0.0, step.job.accepted_ms)


def first_fit(
    step: Step,
    candidates: Iterable[Worker],
    reservations: Reservations,
    now_ms: float,
    run_ms: float,
    planned: Reservations | None = None,
    lost_ms: LostTime | None = None,
) -> Worker | None:
    """Return the first worker on which a task fits."""
    for worker in candidates:
        end_ms = now_ms + run_ms * worker.slowness
        if reservations.permits(worker.worker_id, step.charged, end_ms) and slots_on(
            worker.free, step, 0
        ):
            return worker
    return None


def reveal_speeds(replay: UnevenReplay) -> None:
    """Set the learned slowness of all workers to the true one."""
    for worker_id, simulated in replay.simulated.items():
        replay.cell.workers[worker_id].slowness = 1 / simulated.speed_at(replay.now_ms)


BEFORE = Policy("before", shows_progress=False)
LEARNED = Policy("learned speeds", moves_runs=False)
MOVES = Policy("learned speeds, moved runs")
PLAIN = Policy(
    "plain priority, first fit", rank_by_priority, shows_progress=False, chooses=first_fit
)
BOUND = Policy("speeds and run times known", before_pass=reveal_speeds, knows_run_times=True)
POLICIES = (BEFORE, PLAIN, LEARNED, MOVES, BOUND)


def replay_load(
    policy: Policy, load_factor: float, seed: int, duration_ms: float = DURATION_MS
) -> dict[str, float]:
    """Replay a load and return the earned share of the possible value, per queue and in total."""
    rng = random.Random(seed)
    load = make_load(load_factor, duration_ms, rng)
    replay = UnevenReplay(load, rng, duration_ms)
    replay.before_pass = policy.before_pass
    replay.shows_progress = policy.shows_progress
    replay.moves_runs = policy.moves_runs
    timed_jobs = load.timed_jobs
    if policy.knows_run_times:
        timed_jobs = [
            (at_ms, replace(job, steps=load.true_steps[job.job_id])) for at_ms, job in timed_jobs
        ]
    with mock.patch.object(placing, "choose_single", policy.chooses):
        replay.run(timed_jobs, policy.rank)
    return _shares(replay, load)


def _shares(replay: UnevenReplay, load: Load) -> dict[str, float]:
    values = {profile.jobs.queue.name: profile.jobs.job_value for profile in PROFILES}
    offered = dict.fromkeys(values, 0.0)
    earned = dict.fromkeys(values, 0.0)
    for at_ms, job in load.timed_jobs:
        name = job.queue.name
        true_job = replace(job, steps=load.true_steps[job.job_id])
        scratch_cell = Cell(0, math.inf, math.inf)
        lifecycle.add_job(scratch_cell, true_job, 0.0)
        limit_ms = objective_ms(scratch_cell.jobs[job.job_id], scratch_cell.estimates)
        took_ms = replay.done.get(job.job_id, math.inf) - at_ms + OUTSIDE_MS
        offered[name] += values[name]
        if took_ms <= LATE_FACTOR * limit_ms:
            earned[name] += values[name] * (1.0 if took_ms <= limit_ms else LATE_VALUE_SHARE)
    shares = {name: round(earned[name] / offered[name], 3) for name in values if offered[name]}
    return shares | {"all": round(sum(earned.values()) / sum(offered.values()), 3)}


def queue_uneven() -> Iterator[Figures]:
    """Measure the earned share of the possible value, by policy, load and seed."""
    for load in LOADS:
        for seed in SEEDS:
            for policy in POLICIES:
                shares = replay_load(policy, load, seed)
                figures = {f"{name}_share": share for name, share in shares.items()}
                size = f"{WORKERS} workers, load {load}"
                yield Figures("queue_uneven", size, policy.name, BEFORE.name, seed, figures)


CASES = {"queue_uneven": queue_uneven}

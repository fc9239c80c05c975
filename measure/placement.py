"""Placement: decision time, packing, waiting time by class, fairness and preemptions."""

import math
import random
from collections.abc import Callable, Iterator

from measure.figures import Figures
from measure.task_cell import DOMAIN, GIB, Cell, quantile
from nutmeglb_formats.models.config import JobKind, Policy, RequestClass
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.resources import Resources

SEED = 11
TEAMS = 230
# The quotas of all teams add up to 1.5 times the capacity of the cell. A minimum per team applies
# where such a quota would be too small for any task.
QUOTA_SHARE = 1.5
MIN_QUOTA = Resources(64_000, 128 * GIB, 0)
SIZES = (24, 100, 300, 1_000)
WORKER = Resources(32_000, 64 * GIB, 0)
# Section 1.3 of the design document: 350 starts/s and 3,700 running tasks on 1,000 workers.
STARTS_PER_S_PER_WORKER = 0.35
RUNNING_PER_WORKER = 3.7
SERVICE_SHARE = 0.2
URGENT_SHARE = 0.3
GANG_SHARE = 0.03
# Simulated time by number of workers. Larger cells reach the same number of starts sooner.
DURATION_MS = {24: 60_000.0, 100: 40_000.0, 300: 30_000.0, 1_000: 20_000.0}
# Ratio of offered work to capacity. It is above 1 so that every quota is contended.
OVERLOAD = 1.3
TARGET_PLACEMENTS_PER_S = 3_000.0
TARGET_P99_US = 1_000.0
TARGET_URGENT_S = 1.1
TARGET_PACKING_GAP = 0.05


def draw_error_factor(rng: random.Random) -> float:
    """Draw an error factor between 0.1 and 10 from a log-uniform distribution."""
    return 10.0 ** rng.uniform(-1.0, 1.0)


def draw_peak_size(rng: random.Random) -> Resources:
    """Draw the size of a task of the peak load: 3.7 average tasks fill a worker."""
    cpu = int(math.exp(rng.gauss(math.log(7_500), 0.6)))
    memory = int(math.exp(rng.gauss(math.log(14.0), 0.6)) * GIB)
    # People declare sizes in steps, so the CPU is rounded down to a multiple of 500 millicores.
    return Resources(max(500, min(16_000, cpu // 500 * 500)), min(32 * GIB, memory), 0)


def draw_turvatool_size(rng: random.Random) -> Resources:
    """Draw the size of a review or certificate task of the Turvatool mix."""
    cpu = rng.choice((500, 1_000, 1_000, 2_000, 2_000, 4_000, 8_000))
    memory = rng.choice((1, 1, 2, 2, 4, 4, 8, 16))
    return Resources(cpu, memory * GIB, 0)


def make_job(
    number: int,
    rng: random.Random,
    *,
    mean_run_ms: float,
    kind: JobKind = JobKind.BATCH,
    size: Resources | None = None,
) -> JobSpec:
    """Return one random job of the mix."""
    run_ms = rng.expovariate(1.0 / mean_run_ms)
    urgent = kind is JobKind.BATCH and rng.random() < URGENT_SHARE
    resources = size or draw_peak_size(rng)
    if kind is JobKind.GANG:
        resources = Resources(rng.choice((1_000, 2_000, 4_000)), 4 * GIB, 0)
    used = max(1, int(resources.cpu_millis * min(1.0, draw_error_factor(rng))))
    return JobSpec(
        submission_id=f"s{number}",
        name=f"job{number % 40}",
        team=f"team{rng.randrange(TEAMS):03}",
        kind=kind,
        tasks=rng.choice((4, 8)) if kind is JobKind.GANG else 1,
        resources=resources,
        job_class=RequestClass.URGENT if urgent else RequestClass.DEFERRED,
        run_ms=max(1.0, run_ms * draw_error_factor(rng)),
        command=f"run_ms={run_ms:.0f} cpu_millis={used}",
    )


def add_services(cell: Cell, rng: random.Random) -> int:
    """Submit the long-running services, a fifth of all tasks, and return their number."""
    count = int(cell.workers * RUNNING_PER_WORKER * SERVICE_SHARE)
    for number in range(count):
        spec = make_job(1_000_000 + number, rng, mean_run_ms=1e9)
        size = Resources(2_000, 4 * GIB, 0)
        cell.submit(
            JobSpec(
                submission_id=spec.submission_id,
                name="replica",
                team=spec.team,
                kind=JobKind.BATCH,
                tasks=1,
                resources=size,
                preemptible=False,
                run_ms=1e9,
                command="service replica",
            )
        )
    return count


def _schedule_arrivals(cell: Cell, rng: random.Random, duration_ms: float) -> None:
    """Schedule job arrivals. Gangs are rarer because each brings several tasks."""
    rate = cell.workers * STARTS_PER_S_PER_WORKER * OVERLOAD / 1_000.0
    running = cell.workers * RUNNING_PER_WORKER * (1.0 - SERVICE_SHARE)
    mean_run_ms = running / (cell.workers * STARTS_PER_S_PER_WORKER) * 1_000.0
    time_ms, number = cell.now_ms, 0
    end_ms = time_ms + duration_ms
    while time_ms < end_ms:
        time_ms += rng.expovariate(rate)
        kind = JobKind.GANG if rng.random() < GANG_SHARE else JobKind.BATCH
        spec = make_job(number, rng, mean_run_ms=mean_run_ms, kind=kind)
        cell.at(time_ms, lambda spec=spec: cell.submit(spec))
        number += 1


def _fairness_index(cell: Cell) -> float:
    """Return Jain's fairness index of the dominant shares of teams with waiting work; 1 is even."""
    waiting = {job.spec.team for job in cell.core.lifecycle.jobs.values() if job.waiting}
    shares = [cell.core.lifecycle.capacity.quotas.share(team) for team in waiting]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


def _verdict(value: float, target: float, unit: str, *, at_least: bool = False) -> str:
    met = value >= target if at_least else value <= target
    relation = "at least" if at_least else "at most"
    return f"{'met' if met else 'missed'}: {value:.3g} {unit}, {relation} {target:g}"


def peak() -> Iterator[Figures]:
    """Run the peak load of section 1.3 on one core at every size.

    Two of the sizes also run with four times the preemption budget.
    """
    for workers in SIZES:
        yield _run_peak(workers, 1)
    for workers in (24, 300):
        yield _run_peak(workers, 4)


def _run_peak(workers: int, budget_factor: int) -> Figures:
    # The default preemption budget of 60 per minute is meant for a failure domain of 100 workers.
    budget = max(60, 60 * workers // 100) * budget_factor
    policy = Policy("default", domain_weights={DOMAIN: 1.0}, preemptions_per_minute=budget)
    cell = Cell(
        WORKER,
        workers,
        TEAMS,
        SEED,
        team_share=QUOTA_SHARE,
        min_quota=MIN_QUOTA,
        policy=policy,
    )
    rng = random.Random(SEED)
    cell.run(200.0)
    add_services(cell, rng)
    cell.run(2_000.0)
    start_ms, starts, core_time_s = cell.now_ms, cell.core.lifecycle.start_count, cell.core_time_s
    _schedule_arrivals(cell, rng, DURATION_MS[workers])
    cell.run(DURATION_MS[workers])
    return _peak_figures(cell, f"pack, {budget} preemptions/min", start_ms, starts, core_time_s)


def _peak_figures(
    cell: Cell, policy: str, start_ms: float, starts: int, core_time_s: float
) -> Figures:
    workers = cell.workers
    urgent = cell.waits_ms(lambda s: s.job_class is RequestClass.URGENT and s.run_ms < 1e8)
    deferred = cell.waits_ms(
        lambda s: s.job_class is RequestClass.DEFERRED
        and s.kind is JobKind.BATCH
        and s.run_ms < 1e8
    )
    gangs = cell.waits_ms(lambda s: s.kind is JobKind.GANG)
    per_s = cell.placements / cell.decision_s
    seconds = (cell.now_ms - start_ms) / 1_000.0
    p99_us = cell.decision_us.get_value_at_percentile(99)
    figures = {
        "placements_per_s": round(per_s),
        "decision_p50_us": cell.decision_us.get_value_at_percentile(50),
        "decision_p99_us": p99_us,
        "decision_max_us": cell.decision_us.get_max_value(),
        "starts_per_simulated_s": round((cell.core.lifecycle.start_count - starts) / seconds, 1),
        "core_share_of_cpu": round((cell.core_time_s - core_time_s) / seconds, 3),
        "urgent_wait_p50_s": round(quantile(urgent, 0.5) / 1e3, 3),
        "urgent_wait_p99_s": round(quantile(urgent, 0.99) / 1e3, 3),
        "urgent_in_time_share": round(_share_within(urgent, TARGET_URGENT_S * 1e3), 4),
        "deferred_wait_p50_s": round(quantile(deferred, 0.5) / 1e3, 3),
        "deferred_wait_p99_s": round(quantile(deferred, 0.99) / 1e3, 3),
        "gang_wait_p50_s": round(quantile(gangs, 0.5) / 1e3, 3),
        "gang_wait_max_s": round(quantile(gangs, 1.0) / 1e3, 3),
        "fairness_jain_index": round(_fairness_index(cell), 3),
        "preemptions": cell.core.preemptions,
        "waiting_tasks_at_end": sum(job.waiting for job in cell.core.lifecycle.jobs.values()),
        "used_share": round(used_share(cell), 3),
    }
    targets = {"urgent_wait_p99": _verdict(figures["urgent_wait_p99_s"], TARGET_URGENT_S, "s")}
    if workers == 100:
        targets["placements"] = _verdict(per_s, TARGET_PLACEMENTS_PER_S, "/s", at_least=True)
        targets["decision_p99"] = _verdict(p99_us, TARGET_P99_US, "us")
    size = f"{workers} workers, {TEAMS} teams"
    return Figures("placement_peak", size, policy, "", SEED, figures, targets)


def _share_within(waits: list[float], limit_ms: float) -> float:
    return sum(wait <= limit_ms for wait in waits) / len(waits) if waits else 1.0


def used_share(cell: Cell) -> float:
    """Return the allocated share of the scarcest resource over all workers."""
    accounts = cell.core.lifecycle.capacity.ledger.accounts().values()
    total = sum((account.capacity for account in accounts), Resources())
    used = sum((account.allocated for account in accounts), Resources())
    return used.dominant_share(total)


# Packing


def _fill_by_policy(sizes: list[Resources], choose_worker: Callable[..., int | None]) -> float:
    free = [WORKER] * 24
    for size in sizes:
        index = choose_worker(free, size)
        if index is not None:
            free[index] = free[index] - size
    used = WORKER.scaled(24) - sum(free, Resources())
    return used.dominant_share(WORKER.scaled(24))


def _first_fit(free: list[Resources], size: Resources) -> int | None:
    return next((i for i, room in enumerate(free) if size.fits_in(room)), None)


def _least_loaded(free: list[Resources], size: Resources) -> int | None:
    fitting = [i for i, room in enumerate(free) if size.fits_in(room)]
    return max(fitting, key=lambda i: free[i].cpu_millis, default=None)


def single_worker_share(sizes: list[Resources]) -> float:
    """Return ``used_share`` as it would be if the cell were one worker, filled in queue order."""
    total = WORKER.scaled(24)
    free = total
    for size in sizes:
        if size.fits_in(free):
            free = free - size
    return (total - free).dominant_share(total)


def _fill_by_scheduler(sizes: list[Resources]) -> float:
    cell = Cell(WORKER, 24, TEAMS, SEED, team_share=float(TEAMS))
    rng = random.Random(SEED)
    cell.run(100.0)
    for number, size in enumerate(sizes):
        cell.submit(make_job(number, rng, mean_run_ms=1e9, size=size))
    cell.run(1_000.0)
    return used_share(cell)


def packing() -> Iterator[Figures]:
    """Fill 24 workers from a long Turvatool queue until nothing more fits."""
    for name, seeds in (("turvatool", (1, 2, 3, 4, 5)),):
        shares_by_policy: dict[str, list[float]] = {
            "pack": [],
            "first_fit": [],
            "least_loaded": [],
            "bound": [],
        }
        for seed in seeds:
            rng = random.Random(seed)
            sizes = [draw_turvatool_size(rng) for _ in range(900)]
            shares_by_policy["pack"].append(_fill_by_scheduler(sizes))
            shares_by_policy["first_fit"].append(_fill_by_policy(sizes, _first_fit))
            shares_by_policy["least_loaded"].append(_fill_by_policy(sizes, _least_loaded))
            shares_by_policy["bound"].append(single_worker_share(sizes))
        gap = max(
            1 - a / b
            for a, b in zip(shares_by_policy["pack"], shares_by_policy["bound"], strict=True)
        )
        figures = {
            f"{policy}_{part}_share": round(value, 4)
            for policy, values in shares_by_policy.items()
            for part, value in (("mean", sum(values) / len(values)), ("least", min(values)))
        }
        yield Figures(
            "placement_packing",
            f"24 workers, {name} mix, 5 queues of 900 tasks",
            "pack",
            "first fit; least loaded; one worker of the size of the cell",
            SEED,
            {**figures, "worst_gap_to_bound_share": round(gap, 4)},
            {"packing": _verdict(gap, TARGET_PACKING_GAP, "of the bound")},
        )


CASES = {"placement_peak": peak, "placement_packing": packing}

"""Failure cases: failing workers and jobs, cancellations, infeasible jobs, lost racks, domains."""

import gc
import random
from collections.abc import Iterator
from dataclasses import replace

from measure.figures import Figures
from measure.placement import GIB, WORKER, make_job
from measure.task_cell import LEASE_MS, MARGIN_MS, WORKERS_PER_RACK, Cell
from nutmeglb_formats.models.config import JobKind, RequestClass
from nutmeglb_formats.models.jobs import JobSpec
from nutmeglb_formats.models.resources import Resources
from standins.agent_state import Run

SEED = 5
WORKERS = 24
CANCELLATIONS = 10_000
MAX_STEP_MS = 10.0
MAX_FAILED_SHARE = 0.01
TASK_SIZE = Resources(1_000, 2 * GIB, 0)


def _make_cell(workers: int = WORKERS, capacity: Resources = WORKER) -> Cell:
    cell = Cell(capacity, workers, 20, SEED, team_share=20.0)
    cell.run(300.0)
    return cell


def _make_spec(number: int, **changes: object) -> JobSpec:
    spec = JobSpec(
        submission_id=f"s{number}",
        name="work",
        team=f"team{number % 20:03}",
        kind=JobKind.BATCH,
        tasks=1,
        resources=TASK_SIZE,
        job_class=RequestClass.DEFERRED,
        run_ms=2_000.0,
        command="run_ms=2000",
    )
    return replace(spec, **changes)  # type: ignore[arg-type]


def _schedule_arrivals(cell: Cell, rate_per_s: float, duration_ms: float) -> None:
    rng = random.Random(SEED)
    time_ms, end_ms, number = cell.now_ms, cell.now_ms + duration_ms, 0
    while time_ms < end_ms:
        time_ms += rng.expovariate(rate_per_s / 1_000.0)
        spec = _make_spec(number, name=f"work{number % 10}")
        cell.at(time_ms, lambda spec=spec: cell.submit(spec))
        number += 1


def _failed_runs(cell: Cell) -> list[Run]:
    runs = [run for agent in cell.agents.values() for run in agent.record]
    failed = [run for run in runs if run.outcome == "failed"]
    return sorted(failed, key=lambda run: run.admitted_ms)


def bad_worker() -> Iterator[Figures]:
    """Run for 10 minutes while 1 of 24 workers fails every task that it starts."""
    cell = _make_cell()
    cell.agents["w0000"].faults.fail_starts = True
    _schedule_arrivals(cell, 20.0, 600_000.0)
    cell.run(600_000.0)
    failed = _failed_runs(cell)
    after = failed[10:]
    tenth_failure_ms = failed[9].admitted_ms if len(failed) > 9 else cell.now_ms
    runs = [run for agent in cell.agents.values() for run in agent.record]
    later_runs = [run for run in runs if run.admitted_ms > tenth_failure_ms]
    share = len(after) / max(1, len(later_runs))
    figures = {
        "failed_starts": len(failed),
        "failed_after_first_ten": len(after),
        "starts_after_first_ten": len(later_runs),
        "failed_share_after_first_ten": round(share, 5),
        "jobs_unfinished_after_10_min": cell.core.lifecycle.unfinished_jobs,
    }
    met = "met" if share < MAX_FAILED_SHARE else "missed"
    yield Figures(
        "trouble_bad_worker",
        f"{WORKERS} workers, 20 starts/s, 10 min",
        "quarantine",
        "",
        SEED,
        figures,
        {"failed_share": f"{met}: {share:.4f}, below {MAX_FAILED_SHARE}"},
    )


def bad_job() -> Iterator[Figures]:
    """Run for 10 minutes with other work while a job of 100 tasks fails on every worker."""
    cell = _make_cell()
    _schedule_arrivals(cell, 20.0, 600_000.0)
    failing_job = _make_spec(900_000, name="bad", tasks=100, command="run_ms=50 outcome=failed")
    cell.submit(failing_job)
    quarantined = 0
    for _ in range(60):
        cell.run(10_000.0)
        quarantined = max(quarantined, WORKERS - len(cell.core.lifecycle.capacity.engine.enabled()))
    failed = _failed_runs(cell)
    first_minute = sum(run.admitted_ms < 61_000.0 for run in failed)
    figures = {
        "failed_starts_first_minute": first_minute,
        "failed_starts_10_min": len(failed),
        "workers_quarantined_most": quarantined,
        "other_jobs_unfinished": cell.core.lifecycle.unfinished_jobs - 1,
    }
    yield Figures(
        "trouble_bad_job", f"{WORKERS} workers, one job of 100 tasks", "backoff", "", SEED, figures
    )


def cancellations() -> Iterator[Figures]:
    """Cancel 10,000 jobs at once, 3,200 of them running, without and with the garbage collector."""
    for with_collector in (False, True):
        gc.collect()
        if not with_collector:
            gc.disable()
        try:
            yield _cancel_all("collector on" if with_collector else "collector off")
        finally:
            gc.enable()


def _cancel_all(policy: str) -> Figures:
    cell = _make_cell(100)
    for number in range(CANCELLATIONS):
        cell.submit(_make_spec(number, run_ms=1e8, command="run_ms=100000000"))
    cell.run(3_000.0)
    running = sum(len(link.attempts) for link in cell.core.lifecycle.links.values())
    cell.max_call_s = 0.0
    before_s = cell.core_time_s
    for job_id in list(cell.core.lifecycle.jobs):
        cell.cancel(job_id)
    cell.run(5_000.0)
    remaining = sum(len(link.attempts) for link in cell.core.lifecycle.links.values())
    max_step_ms = cell.max_call_s * 1e3
    figures = {
        "running_before": running,
        "running_after_5_s": remaining,
        "longest_step_ms": round(max_step_ms, 3),
        "core_time_total_ms": round((cell.core_time_s - before_s) * 1e3, 1),
        "store_writes": cell.commits,
    }
    met = "met" if max_step_ms < MAX_STEP_MS else "missed"
    return Figures(
        "trouble_cancellations",
        f"{CANCELLATIONS} jobs, 100 workers",
        f"lazy removal, {policy}",
        "",
        SEED,
        figures,
        {"longest_step": f"{met}: {max_step_ms:.2f} ms, below {MAX_STEP_MS} ms"},
    )


def fits_nowhere() -> Iterator[Figures]:
    """Compare the cost of ordinary work with and without 5,000 jobs that fit on no worker."""
    for waiting in (0, 5_000):
        cell = _make_cell()
        rng = random.Random(SEED)
        for number in range(waiting):
            size = Resources(33_000 + rng.randrange(100) * 1_000, 65 * GIB, 0)
            cell.submit(_make_spec(500_000 + number, resources=size))
        cell.run(1_000.0)
        started, core_time_s = cell.core.lifecycle.start_count, cell.core_time_s
        _schedule_arrivals(cell, 20.0, 30_000.0)
        cell.run(30_000.0)
        starts = cell.core.lifecycle.start_count - started
        figures = {
            "starts": starts,
            "core_time_per_start_us": round((cell.core_time_s - core_time_s) / starts * 1e6),
            "decision_p99_us": cell.decision_us.get_value_at_percentile(99),
        }
        yield Figures(
            "trouble_fits_nowhere",
            f"{WORKERS} workers, 20 starts/s, {waiting} jobs that fit nowhere",
            "blocked shapes",
            "no such jobs",
            SEED,
            figures,
        )


def estimates() -> Iterator[Figures]:
    """Count the tasks that end before the estimates are within 20 % of the actual use."""
    for factor in (10.0, 0.1):
        # The worker has capacity for four tasks of the declared size.
        cell = _make_cell(1)
        actual_run_ms, actual_cpu_millis = 2_000.0, 800
        spec = _make_spec(
            1,
            name="estimated",
            tasks=200,
            resources=Resources(8_000, 2 * GIB, 0),
            run_ms=actual_run_ms * factor,
            command=f"run_ms={actual_run_ms:.0f} cpu_millis={actual_cpu_millis} memory_bytes={GIB}",
        )
        cell.submit(spec)
        tasks_until_run_time = tasks_until_size = 0
        for _ in range(700):
            cell.run(100.0)
            done = next(iter(cell.core.lifecycle.jobs.values())).done_count
            key = (spec.team, spec.name)
            run_ms = cell.core.estimates.run_ms(key, spec.run_ms)
            cpu = cell.core.estimates.size(key, spec.resources).cpu_millis
            if not tasks_until_run_time and abs(run_ms / actual_run_ms - 1) <= 0.2:
                tasks_until_run_time = done
            if not tasks_until_size and abs(cpu / actual_cpu_millis - 1) <= 0.2:
                tasks_until_size = done
        figures = {
            "tasks_until_run_time": tasks_until_run_time,
            "tasks_until_size": tasks_until_size,
        }
        yield Figures(
            "trouble_estimates",
            f"declared run time {factor:g} times, size 10 times what is used",
            "usage quantiles",
            "",
            SEED,
            figures,
        )


def _time_until_placed(cell: Cell, tasks: int, limit_ms: float) -> float:
    started_ms = cell.now_ms
    while cell.now_ms - started_ms < limit_ms:
        cell.run(100.0)
        live = {run.attempt for a in cell.agents.values() for run in a.record if not run.end_ms}
        reachable = {
            run.attempt
            for worker, a in cell.agents.items()
            if worker not in cell.lost_workers
            for run in a.record
            if run.start_ms is not None and not run.end_ms
        }
        if len(reachable) >= tasks and len(live) >= tasks:
            return (cell.now_ms - started_ms) / 1e3
    return limit_ms / 1e3


def _fill_with_services(cell: Cell, share: float) -> int:
    tasks = int(cell.workers * WORKER.cpu_millis * share / 2_000)
    rng = random.Random(SEED)
    for number in range(tasks):
        spec = make_job(number, rng, mean_run_ms=1e8, size=Resources(2_000, 2 * GIB, 0))
        spec = replace(spec, team=f"team{number % 20:03}", command="service x", run_ms=1e9)
        cell.submit(spec)
    cell.run(5_000.0)
    return tasks


def lost_rack() -> Iterator[Figures]:
    """Lose 8 of 24 workers at once; the remaining workers have capacity for all tasks."""
    cell = _make_cell()
    tasks = _fill_with_services(cell, 0.6)
    commits = cell.commits
    cell.lost_workers |= set(list(cell.agents)[:WORKERS_PER_RACK])
    seconds = _time_until_placed(cell, tasks, 60_000.0)
    lost = sum(len(cell.agents[worker].record) for worker in cell.lost_workers)
    figures = {
        "tasks_lost": lost,
        "time_until_all_placed_s": round(seconds, 2),
        "task_lease_and_margin_s": (LEASE_MS + MARGIN_MS) / 1e3,
        "store_writes": cell.commits - commits,
    }
    yield Figures(
        "trouble_lost_rack",
        f"{WORKERS_PER_RACK} of {WORKERS} workers, {tasks} tasks",
        "restart after certain lease expiry",
        "",
        SEED,
        figures,
    )


def lost_domain() -> Iterator[Figures]:
    """Lose the leader and all workers of a domain for 30 s; the workers return without tasks."""
    cell = _make_cell()
    tasks = _fill_with_services(cell, 0.9)
    cell.lost_workers |= set(cell.agents)
    records = len(cell.journal)
    cell.run(30_000.0)
    commits = cell.commits
    for agent in cell.agents.values():
        agent.restart("2")
    cell.lost_workers.clear()
    cell.start_leader()
    for worker in cell.agents:
        cell.schedule_sync(worker)
    seconds = _time_until_placed(cell, tasks, 60_000.0)
    figures = {
        "tasks": tasks,
        "journal_records_replayed": records,
        "time_after_return_until_all_placed_s": round(seconds, 2),
        "store_writes": cell.commits - commits,
    }
    yield Figures(
        "trouble_lost_domain",
        f"leader and {WORKERS} workers lost for 30 s",
        "recovery from journal and agents",
        "",
        SEED,
        figures,
    )


CASES = {
    "trouble_bad_worker": bad_worker,
    "trouble_bad_job": bad_job,
    "trouble_cancellations": cancellations,
    "trouble_fits_nowhere": fits_nowhere,
    "trouble_estimates": estimates,
    "trouble_lost_rack": lost_rack,
    "trouble_lost_domain": lost_domain,
}

"""Applies the entries of workers in the store and their answers to renewals."""

from collections.abc import Iterable

from nutmeglb_decisions.queues import (
    crashing_tasks,
    late_orders,
    leaving_workers,
    presumed_ends,
    run_numbers,
    speeds,
    stop_proofs,
    stray_runs,
    unknown_life_leases,
    unseen_runs,
    worker_losses,
)
from nutmeglb_decisions.queues.absent_runs import LOST, apply_absence
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.lifecycle import DONE, FAILED, apply_end, end_run, repeat_stop
from nutmeglb_decisions.queues.names import TaskName, parse_task
from nutmeglb_decisions.queues.state import Run, RunState, Task
from nutmeglb_decisions.queues.worker_losses import LossEvidence
from nutmeglb_decisions.queues.worker_state import Worker
from nutmeglb_formats.models.queues import EndedTask, QueueWorker, RunningTask, WorkerReport
from nutmeglb_formats.models.resources import Resources

# Maximum number of ends in one report, from the platform's protocol. A report with this
# many ends may be incomplete, so a run that is absent from it does not count as lost.
MAX_ENDS_PER_REPORT = 500
# Consecutive failed or stuck runs after which a worker is avoided. If the tasks of a queue fail in
# one run of twenty by themselves, this happens by chance once in 8,000 runs.
AVOID_AFTER_BAD_RUNS = 3
AVOID_MS = 2_500.0


def apply_worker_list(cell: Cell, listed: Iterable[QueueWorker], now_ms: float) -> None:
    """Apply the entries of all workers in the store, which may be outdated."""
    entries = {info.worker_id: info for info in listed}
    for worker_id, info in entries.items():
        worker = cell.workers.get(worker_id)
        if worker is None:
            note_announcement(cell, info)
            worker = cell.workers[worker_id] = Worker(info, last_listed_ms=now_ms)
            speeds.begin_life(cell, worker)
            cell.log_decision("worker_listed", "new entry", worker=worker_id, service=info.service)
        elif info.revision < worker.info.revision:
            # A delayed answer of the store.
            continue
        else:
            _apply_entry(cell, worker, info, now_ms)
        worker.starts_until_ms = cell.entry_age.proven_until_ms
    gone = set()
    for worker_id, worker in list(cell.workers.items()):
        if worker_id in entries:
            continue
        if worker.listed:
            worker.listed = False
            cell.log_decision(
                "worker_unlisted", "no entry", worker=worker_id, runs=len(worker.runs)
            )
        is_idle = not worker.runs and not worker.stray_runs
        is_known = worker.settled or worker.is_replaced or not cell.takeover_wait_deadline_ms
        if is_idle and is_known:
            gone.add(worker_id)
    if gone:
        forget_workers(cell, gone)
    for worker_id in gone:
        del cell.workers[worker_id]


def forget_workers(cell: Cell, worker_ids: set[str]) -> None:
    """Remove idle workers from the stored progress, so that no later leader waits for them."""
    lost = {each for each in worker_ids if not leaving_workers.has_left(cell, each)}
    for job in cell.active.values():
        named = [step.forget_workers(worker_ids, lost) for step in job.steps]
        if any(named):
            cell.mark_dirty(job)


def _apply_entry(cell: Cell, worker: Worker, info: QueueWorker, now_ms: float) -> None:
    # An unchanged entry is outdated if a report has already shown a later incarnation, and one
    # without a start time shows none.
    if info.started_ms and info.started_ms not in (worker.info.started_ms, worker.started_ms):
        _change_incarnation(cell, worker, info.started_ms, "its entry", now_ms)
    elif info.address != worker.info.address:
        worker.has_moved = True
    note_announcement(cell, info)
    if info.draining and not worker.info.draining:
        cell.log_decision("worker_draining", "marked in its entry", worker=worker.worker_id)
    former = worker.info.capacity
    if worker.update_info(info):
        _log_resized(cell, worker, former)
    worker.listed = True
    worker.last_listed_ms = now_ms


def note_announcement(cell: Cell, info: QueueWorker) -> None:
    """Apply what an entry says about a planned leave, perhaps after the worker has left."""
    if leaving_workers.note_entry(cell, info):
        worker_losses.withdraw_losses_of_life(cell, info.worker_id, info.started_ms)


def _log_resized(cell: Cell, worker: Worker, former: Resources) -> None:
    cell.log_decision(
        "worker_resized",
        "another capacity in its entry",
        worker=worker.worker_id,
        former=_amounts(former),
        new=_amounts(worker.info.capacity),
        used=_amounts(worker.used),
        runs=len(worker.runs),
    )


def _amounts(amount: Resources) -> str:
    return f"{amount.cpu_millis}/{amount.memory_bytes}/{amount.accelerators}"


def _change_incarnation(
    cell: Cell, worker: Worker, started_ms: int, source: str, now_ms: float
) -> None:
    """Switch to another incarnation of a worker. Its runs are unknown until its first report.

    The new incarnation may have accepted orders before this leader knew of it. Its reports show
    which runs it has; others end when they are absent, are refused or their lease expires.
    """
    cell.log_decision(
        "worker_restarted",
        f"another start time in {source}",
        worker=worker.worker_id,
        former_ms=worker.started_ms,
        started_ms=started_ms,
        runs=len(worker.runs),
    )
    worker.started_ms = started_ms
    worker.restarted_ms = now_ms
    speeds.begin_life(cell, worker)
    worker.is_replaced = False
    worker.has_moved = False
    worker.connected_calls = 0
    worker.stalled_since_ms = None
    stop_proofs.forget_life(worker)
    worker.first_answer_ms = None
    worker.settled = False
    worker.lease_expires_at_ms = max(
        worker.lease_expires_at_ms, now_ms + cell.max_lease_expiry_after_ms
    )
    worker.last_applied_end = 0


def log_ends(cell: Cell, worker: Worker, ends: Iterable[tuple[str, int, str]]) -> None:
    """Log ended runs in one line per step and outcome, each as ``INDEX:RUN``."""
    groups: dict[tuple[str, str], list[str]] = {}
    for task, number, outcome in ends:
        step, _, index = task.rpartition(".")
        groups.setdefault((step, outcome), []).append(f"{index}:{number}")
    for (step, outcome), runs in groups.items():
        cell.log_decision(
            "runs_ended",
            outcome,
            job=step.partition(".")[0],
            step=step,
            worker=worker.worker_id,
            runs=" ".join(runs),
        )


def end_all_runs(cell: Cell, worker: Worker, outcome: str, now_ms: float, wall_ms: float) -> None:
    """End every run on a worker with the given outcome."""
    end_runs(cell, worker, list(worker.runs.values()), outcome, now_ms, wall_ms)


def end_runs(
    cell: Cell, worker: Worker, runs: list[Run], outcome: str, now_ms: float, wall_ms: float
) -> None:
    """End runs on a worker with the given outcome, which names the evidence of their end."""
    log_ends(cell, worker, [(run.task, run.number, outcome) for run in runs])
    for run in runs:
        presumed_ends.record(cell, run, outcome, now_ms)
        end_run(cell, run, outcome, "", now_ms, wall_ms)
    is_presumed = outcome == presumed_ends.LEASE_EXPIRED
    evidence = LossEvidence.PRESUMED if is_presumed else LossEvidence.PROVED
    worker_losses.record_losses(cell, worker, runs, evidence, now_ms, wall_ms)


def apply_report(
    cell: Cell,
    worker: Worker,
    report: WorkerReport,
    sent_ms: float,
    now_ms: float,
    wall_ms: float,
) -> None:
    """Apply a worker's answer to a renewal that was sent at ``sent_ms``.

    Each renewal has to be sent after the answer to the previous one. So a report always comes from
    the current incarnation, even with an earlier start time: the wall clock may have been set back.
    A report that was requested before another worker answered at the address is outdated.
    """
    if worker.is_replaced and sent_ms <= worker.replaced_ms:
        return
    if report.started_ms != worker.started_ms:
        _change_incarnation(cell, worker, report.started_ms, "its report", now_ms)
    if worker.reported_started_ms != report.started_ms:
        worker.former_report_ms = worker.last_report_ms
        worker.reported_started_ms = report.started_ms
        worker.stray_runs.clear()
    late_orders.bar(cell, worker, now_ms)
    is_first_answer = worker.first_answer_ms is None
    stop_proofs.record_report(worker, report.clock_ms, is_first_answer)
    worker.unanswered_since_ms = None
    worker.is_replaced = False
    worker.last_report_ms = now_ms
    worker_losses.record_answer(cell, worker, report.started_ms, wall_ms)
    new_ends = [ended for ended in report.ended if ended.number > worker.last_applied_end]
    log_ends(cell, worker, [(ended.task, ended.run, ended.outcome) for ended in new_ends])
    for ended in new_ends:
        worker.last_applied_end = max(worker.last_applied_end, ended.number)
        presumed_ends.log_contradiction(
            cell, worker.worker_id, (ended.task, ended.run), ended.outcome, now_ms
        )
        _apply_end(cell, worker, ended, now_ms, wall_ms)
    running_by_key = {(running.task, running.run): running for running in report.running}
    for key, running in running_by_key.items():
        _apply_running(cell, worker, key, running, sent_ms, now_ms)
    speeds.after_report(cell, worker, now_ms)
    if is_first_answer:
        worker.first_answer_ms = now_ms
        unknown_life_leases.record_first_answer(cell, worker, now_ms)
    ended_keys = [(ended.task, ended.run) for ended in report.ended]
    stray_runs.forget_ended(cell, worker, ended_keys, running_by_key, sent_ms)
    if len(report.ended) < MAX_ENDS_PER_REPORT:
        ended_runs = apply_absence(cell, worker, running_by_key, sent_ms, now_ms, wall_ms)
        log_ends(cell, worker, [(run.task, run.number, LOST) for run in ended_runs])
        if (
            not worker.settled
            and sent_ms >= cell.settles_at_ms(worker)
            and stop_proofs.has_passed_for_former_leaders(cell, worker)
        ):
            worker.settled = True
            unseen_runs.record_settled(cell, worker)


def _apply_end(cell: Cell, worker: Worker, ended: EndedTask, now_ms: float, wall_ms: float) -> None:
    run = worker.runs.get((ended.task, ended.run))
    if run is not None:
        run.step.job.has_started = True
        _update_estimates(cell, worker, run, ended.outcome, now_ms)
        end_run(cell, run, ended.outcome, ended.checkpoint, now_ms, wall_ms)
        return
    name = parse_task(ended.task)
    step = cell.find_step(name.job_id, name.occurrence, name.step) if name else None
    if name is not None and step is not None and name.index < len(step.tasks):
        step.job.has_started = True
        worker_losses.withdraw(cell, step, name.index, ended.run)
        apply_end(
            cell, step, name.index, ended.run, ended.outcome, ended.checkpoint, now_ms, wall_ms
        )


def _update_estimates(cell: Cell, worker: Worker, run: Run, outcome: str, now_ms: float) -> None:
    step = run.step
    if outcome == DONE:
        worker.consecutive_bad_runs = 0
        speeds.observe_end(cell, worker, run, now_ms)
        if not step.spec.lasting and run.confirmed_ms is not None and not run.resumed:
            for observer in cell.parts.observers:
                observer.record_end(cell, worker, run, now_ms)
            worker.slowness = cell.estimates.observe(
                step.job.queue_key,
                step.spec.estimate_ms,
                now_ms - run.ordered_ms,
                worker.slowness,
            )
            speeds.update_slowness(cell, worker)
    elif outcome == FAILED and run.state != RunState.STOPPING:
        record_bad_run(cell, worker, FAILED, now_ms)


def record_bad_run(cell: Cell, worker: Worker, cause: str, now_ms: float) -> None:
    """Count a failed or stuck run, and avoid a worker with several consecutive ones."""
    worker.consecutive_bad_runs += 1
    if worker.consecutive_bad_runs >= AVOID_AFTER_BAD_RUNS:
        worker.avoided_until_ms = now_ms + AVOID_MS
        cell.log_decision(
            "worker_avoided", cause, worker=worker.worker_id, in_a_row=worker.consecutive_bad_runs
        )


def _apply_running(
    cell: Cell,
    worker: Worker,
    key: tuple[str, int],
    running: RunningTask,
    sent_ms: float,
    now_ms: float,
) -> None:
    presumed_ends.log_contradiction(cell, worker.worker_id, key, "running", now_ms)
    run = worker.runs.get(key) or _adopt(cell, worker, running, now_ms)
    if run is None:
        stray_runs.track(cell, worker, key, now_ms)
        return
    stop_is_overdue = (
        run.state == RunState.STOPPING
        and run.confirmed_ms is not None
        and now_ms >= run.confirmed_ms + cell.stop_ends_after_ms
    )
    if stop_is_overdue:
        repeat_stop(cell, run)
    run.has_started = run.is_life_known = True
    if run.state == RunState.ORDERED:
        run.state = RunState.RUNNING
        run.confirmed_ms = now_ms
        run.step.job.has_started = True
    if running.checkpoint:
        run.step.tasks[run.index].checkpoint = running.checkpoint
    run.percent = running.percent
    run.activity = running.activity
    speeds.observe_progress(cell, worker, run, running.percent, now_ms)
    _track_activity(run, now_ms)
    worker_losses.record_active(cell, run, sent_ms)


def _track_activity(run: Run, now_ms: float) -> None:
    """Track for how long all reports have shown no CPU usage of a run."""
    if run.activity != 0 or run.step.spec.lasting:
        run.idle_since_ms = None
        run.idle_ms = 0.0
    elif run.idle_since_ms is None:
        run.idle_since_ms = now_ms
    else:
        run.idle_ms = now_ms - run.idle_since_ms


def _adopt(cell: Cell, worker: Worker, running: RunningTask, now_ms: float) -> Run | None:
    """Adopt a run that a former leader started, unless its task no longer needs it."""
    name = parse_task(running.task)
    step = cell.find_step(name.job_id, name.occurrence, name.step) if name else None
    if name is None or step is None or not _is_adoptable(step.tasks, name, running.run):
        return None
    task = step.tasks[name.index]
    run_numbers.adopt_number(cell, step, task, running.run, worker)
    expected_ms = cell.estimates.run_ms(step.job.queue_key, step.spec.estimate_ms, worker.slowness)
    run = Run(
        step, name.index, running.run, worker.worker_id, step.charged, now_ms,
        now_ms + expected_ms, RunState.RUNNING, now_ms, resumed=True,
        worker_started_ms=worker.started_ms, is_life_known=True,
    )  # fmt: skip
    worker.stray_runs.pop((running.task, running.run), None)
    worker.runs[(running.task, running.run)] = run
    worker.charge(run.charged)
    lease_expires_at_ms = now_ms + cell.lease_expiry_after_ms
    worker.lease_expires_at_ms = max(
        worker.lease_expires_at_ms, cell.takeover_wait_deadline_ms, lease_expires_at_ms
    )
    task.run = run
    task.last_run = max(task.last_run, running.run)
    step.job.has_started = True
    if step.lossy_tasks:
        crashing_tasks.isolate(cell, worker, run, now_ms)
    cell.log_decision(
        "run_adopted", "reported by its worker", task=run.task, worker=worker.worker_id
    )
    return run


def _is_adoptable(tasks: list[Task], name: TaskName, number: int) -> bool:
    if name.index >= len(tasks):
        return False
    task = tasks[name.index]
    return not task.done and task.run is None and number >= task.last_run

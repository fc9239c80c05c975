"""Checks of the queue soak on jobs that are given up, forgotten or left idle."""

import math

import pytest

from scripts import queue_soak_jobs
from scripts.queue_soak_checks import SeenRun, check_record, read_record
from scripts.queue_soak_jobs import SoakJob, Span, check_jobs

JOB_ID = "00000000000000aa"
ATTEMPTS = 4
CALM = Span(100.0, 130.0)
TASKS = {"count": 2, "cpu": 500, "mem_mb": 10}
GANG = {**TASKS, "gang": True}


def job(state="", ended_s=math.inf, steps=(TASKS,), **fields):
    return SoakJob(JOB_ID, f"/jobs/{JOB_ID}", "one", 1.0, steps, state=state, ended_s=ended_s,
                   **fields)  # fmt: skip


def seen_run(started_s, ended_s, how="done", index=0, step=0, number=1, **fields):
    task = f"{JOB_ID}.0.{step}.{index}"
    return SeenRun("a", 1, task, number, 500, 10, started_s, ended_s=ended_s, how=how, **fields)


def record_of(runs, cpu=4_000, ends_at_s=None, resized=()):
    """Return the record of a worker that runs a job's tasks, and of one that is free."""
    boots = [
        {"t": 0.0, "event": "boot", "worker": worker, "life": 1, "cpu": cpu, "mem_mb": 100}
        for worker in ("a", "b")
    ]
    sizes = [
        {"t": t, "event": "resize", "worker": worker, "life": 1, "cpu": size, "mem_mb": 100}
        for t, size in resized
        for worker in ("a", "b")
    ]
    record = read_record(boots + sizes)
    record.runs.extend(runs)
    if ends_at_s is not None:
        record.lives_end_s.update({("a", 1): ends_at_s, ("b", 1): ends_at_s})
    return record


def details(checked, record):
    violations = list(check_jobs([checked], record, ATTEMPTS, CALM))
    assert all(violation.rule == "LOST" for violation in violations)
    assert all(violation.job == JOB_ID for violation in violations)
    return [violation.detail.partition(": ")[2].partition(",")[0] for violation in violations]


def failures(count, **fields):
    return [seen_run(n, n + 0.5, "failed", number=n, **fields) for n in range(1, count + 1)]


def crashes(count, **fields):
    fields = {"crashed_worker": True, **fields}
    return [seen_run(n, n + 0.5, "crashed", number=n, **fields) for n in range(1, count + 1)]


UNFOUNDED = ["failed without cause"]


@pytest.mark.parametrize(
    ("checked", "runs", "found"),
    [
        (job("failed", 50.0), failures(ATTEMPTS), []),
        (job("failed", 50.0), failures(ATTEMPTS - 1), UNFOUNDED),
        (job("failed", 50.0), failures(2) + failures(2, index=1), UNFOUNDED),
        (job("failed", 50.0, [GANG]), failures(2) + failures(ATTEMPTS, index=1)[2:], []),
        (job("failed", 50.0, [GANG]), failures(2) + failures(2, index=1), UNFOUNDED),
        (job("failed", 50.0, [TASKS, TASKS]), failures(2) + failures(2, step=1), UNFOUNDED),
        (job("failed", 50.0), crashes(5, crashed_worker=False), UNFOUNDED),
        (job("failed", 50.0, is_crashing=True), crashes(2), []),
        (job("failed", 50.0, is_crashing=True), crashes(1), UNFOUNDED),
        (job("failed", 50.0, is_crashing=True), crashes(1) + crashes(1, index=1), UNFOUNDED),
        (job("failed", 50.0, [GANG], is_crashing=True), crashes(1) + crashes(1, index=1), []),
        (job("failed", 50.0, is_cancelled=True), [], []),
        (job("cancelled", 50.0), [], ["cancelled by nobody"]),
        (job("cancelled", 50.0, is_cancelled=True), [], []),
        (job("completed", 50.0), [seen_run(1, 2), seen_run(1, 2, index=1)], []),
    ],
    ids=[
        "all attempts", "too few attempts", "attempts of two tasks", "attempts of a gang",
        "same attempts of a gang", "attempts of two steps", "bystander of crashes",
        "two crashes", "one crash", "crashes of two tasks", "crashes of a gang",
        "failed and cancelled", "cancelled by nobody", "cancelled", "completed",
    ],
)  # fmt: skip
def test_job_given_up_without_cause_is_found(checked, runs, found):
    assert details(checked, record_of(runs)) == found


IDLE = ["nothing runs beside free capacity"]
LATE = ["not finished"]


@pytest.mark.parametrize(
    ("checked", "record", "found"),
    [
        (job(), record_of([]), LATE + IDLE),
        (job(), record_of([seen_run(90, 128)]), LATE),
        (job(is_crashing=True), record_of([]), []),
        (job(is_cancelled=True), record_of([]), []),
        (job("completed", 99.0), record_of([]), []),
        (job("completed", 102.9), record_of([]), []),
        (job("completed", 104.0), record_of([]), IDLE),
        (job("completed", 110.0), record_of([seen_run(90, 101), seen_run(103.5, 109)]), []),
        (job("completed", 110.0), record_of([seen_run(90, 101), seen_run(104.5, 109)]), IDLE),
        (job("completed", 110.0), record_of([seen_run(90, 101), seen_run(90, 105, index=1)]), []),
        (job("completed", 110.0, [GANG]), record_of([seen_run(90, 101)]), []),
        (job("completed", 110.0, [TASKS, GANG]), record_of([seen_run(90, 101)]), IDLE),
        (job("completed", 110.0), record_of([seen_run(90, 101, "lapsed")]), IDLE),
        (job("completed", 110.0), record_of([seen_run(90, 101, "crashed")]), []),
        (job("completed", 120.0), record_of([seen_run(90, 101, "crashed")]), IDLE),
        (job("completed", 110.0), record_of([], cpu=900), IDLE),
        (job("completed", 110.0), record_of([], cpu=400), []),
        (job("completed", 110.0, [GANG]), record_of([], cpu=900), []),
        (job("completed", 110.0), record_of([], ends_at_s=99.0), []),
        (job("completed", 105.0), record_of([], cpu=400, resized=[(98.0, 2_000)]), []),
        (job("completed", 110.0), record_of([], cpu=400, resized=[(98.0, 2_000)]), IDLE),
        (job("completed", 110.0), record_of([], resized=[(98.0, 400)]), []),
    ],
    ids=[
        "never started", "runs", "crashing", "cancelled", "before the calm", "short", "long",
        "short gap", "long gap", "other task runs", "gang is done", "next step is due", "lapsed",
        "lease after a crash", "after the lease", "fits", "does not fit", "not twice over",
        "workers are down", "growth not known", "growth known", "shrunk",
    ],
)  # fmt: skip
def test_job_forgotten_or_left_idle_is_found(checked, record, found):
    assert details(checked, record) == found


@pytest.mark.parametrize("is_approving", [True, False])
def test_job_is_idle_only_beside_workers_that_its_advice_approves(monkeypatch, is_approving):
    monkeypatch.setattr(queue_soak_jobs, "is_approved", lambda step, worker_id: is_approving)
    found = IDLE if is_approving else []
    assert details(job("completed", 110.0, is_advised=True), record_of([])) == found


@pytest.mark.parametrize(("busy_cpu", "found"), [(1_000, IDLE), (4_000, [])])
def test_job_that_waits_while_half_of_the_capacity_is_used_is_not_idle(busy_cpu, found):
    busy = SeenRun("b", 1, "00000000000000bb.0.0.0", 1, busy_cpu, 10, 1.0)
    record = record_of([busy])
    assert not check_record(record)
    assert details(job("completed", 110.0), record) == found

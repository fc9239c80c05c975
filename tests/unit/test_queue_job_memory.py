"""Memory of accepted jobs: guards against small bodies that describe more tasks than fit."""

import tracemalloc
from dataclasses import replace

import pytest
from result import Ok

from nutmeglb._internal.queues.load_reports import _reports
from nutmeglb_decisions.queues import lifecycle, progress, queries
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_decisions.queues.job_memory import (
    DEFAULT_LARGEST_JOB_BYTES,
    LARGEST_JOB_SHARE,
    JobMemory,
    job_limit_bytes,
    occurrence_bytes,
    record_bytes,
    state_bytes,
)
from nutmeglb_decisions.queues.state import Job, JobState
from nutmeglb_decisions.queues.verdicts import LoadView, first_refusal
from nutmeglb_formats.models.queue_records import JobProgress
from nutmeglb_formats.models.queues import StepProgress
from nutmeglb_formats.wire.queues import LoadReport
from nutmeglb_formats.wire.registry import MESSAGES
from tests.lib.queues import job, step

MIB = 1_048_576
SMALLEST_MACHINE_MB = 160
WIDE = "\U0001f600"


def cell_with_limit(size):
    return Cell(0, 1_000.0, 100.0, job_memory=JobMemory(size))


@pytest.mark.parametrize(
    "record",
    [
        job("a", step(1)),
        job("a", step(10_000)),
        job("a", *[step(1)] * 64),
        job("a", step(1), body="x" * 4_000),
        job("a", step(1), body=WIDE * 4_000),
        job("a", *[step(1, required_label="x" * 200, image=WIDE * 200)] * 64),
    ],
    ids=["one task", "many tasks", "many steps", "text", "wide text", "names"],
)
def test_estimate_of_a_job_covers_what_its_state_takes(record):
    tracemalloc.start()
    created = Job(replace(record, body=record.body + " "), 0.0)
    created.add_occurrence(0)
    taken, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The specification of the steps exists once and is part of what was passed in.
    assert taken <= state_bytes(record)


@pytest.mark.parametrize(
    ("record", "largest_bytes", "is_refused"),
    [
        (job("a", step(150), step(150)), DEFAULT_LARGEST_JOB_BYTES, False),
        (job("a", step(10_000)), DEFAULT_LARGEST_JOB_BYTES, False),
        (job("a", *[step(10_000)] * 64), DEFAULT_LARGEST_JOB_BYTES, True),
        (job("a", step(1)), 100_000, False),
        (job("a", step(1_000)), 100_000, True),
        (job("a", step(1)), 0.0, True),
    ],
)
def test_job_that_takes_too_much_of_the_free_memory_is_refused(record, largest_bytes, is_refused):
    refusal = first_refusal(record, LoadView(largest_job_bytes=largest_bytes))
    assert (refusal is not None) == is_refused
    if refusal is not None:
        assert refusal.retry_ms > 0 and not refusal.by_team


def test_smallest_machine_accepts_the_default_when_it_is_empty():
    memory = JobMemory(job_limit_bytes(SMALLEST_MACHINE_MB))
    assert memory.largest_job_bytes >= DEFAULT_LARGEST_JOB_BYTES
    memory.add(int(0.9 * memory.limit_bytes))
    assert memory.largest_job_bytes == pytest.approx(
        0.1 * LARGEST_JOB_SHARE * memory.limit_bytes, rel=0.01
    )


def test_count_is_taken_anew_from_the_jobs():
    cell = cell_with_limit(MIB)
    record = job("a", step(100))
    lifecycle.add_job(cell, record, 0.0)
    assert cell.job_memory.used_bytes == record_bytes(record) + occurrence_bytes(record)
    cell.job_memory.refresh(cell.jobs)
    assert cell.job_memory.used_bytes == record_bytes(record) + occurrence_bytes(record)
    cell.job_memory.refresh({})
    assert cell.job_memory.used_bytes == 0


def test_tasks_of_a_job_beyond_the_limit_are_created_later():
    """A job that was accepted by an instance that knew less of the load is not lost."""
    cell = cell_with_limit(100_000)
    first, second = job("a", step(200)), job("b", step(200))
    for record in (first, second):
        assert lifecycle.add_job(cell, record, 0.0)
    waiting = cell.jobs["b"]
    assert (cell.jobs["a"].steps != [], waiting.steps) == (True, [])
    assert queries.status_of(cell, "b").state is JobState.QUEUED
    assert [line.job for line in cell.decisions if line.kind == "job_deferred"] == ["b"]
    lifecycle.create_due_occurrences(cell, 0.0)
    assert waiting.steps == []
    lifecycle.finish_job(cell, cell.jobs["a"], JobState.CANCELLED, 0.0)
    del cell.jobs["a"]
    cell.job_memory.refresh(cell.jobs)
    lifecycle.create_due_occurrences(cell, 0.0)
    assert [len(each.tasks) for each in waiting.steps] == [200]
    lifecycle.create_due_occurrences(cell, 0.0)
    assert list(waiting.occurrences) == [0]


def test_progress_of_a_job_beyond_the_limit_is_restored():
    cell = cell_with_limit(10_000)
    record = job("a", step(200))
    stored = JobProgress("q", "", 0.0, [], [StepProgress(0, 0, done=[3])])
    progress.restore(cell, record, stored, 0.0, 0.0)
    (restored,) = cell.jobs["a"].steps
    assert [task.index for task in restored.tasks if task.done] == [3]
    lifecycle.create_due_occurrences(cell, 0.0)
    assert cell.jobs["a"].steps == [restored]


@pytest.mark.parametrize(
    ("largest_bytes", "sent"),
    [(float(DEFAULT_LARGEST_JOB_BYTES), 0), (1e12, 0), (5_000.5, 5_000), (0.0, 1)],
)
def test_followers_learn_of_a_shortage_only(largest_bytes, sent):
    report, _ = _reports(LoadView({"q": 500.0}, largest_job_bytes=largest_bytes))
    assert report.largest_job_bytes == sent
    items = MESSAGES.to_items(report)
    assert MESSAGES.from_items(items) == Ok(report)
    assert items[1] == (3 if sent else 1)
    former = LoadReport([("q", 1.0)], [("q", "t", 2.0)])
    assert MESSAGES.to_items(former)[1] == 2
    assert MESSAGES.from_items(MESSAGES.to_items(former)) == Ok(former)

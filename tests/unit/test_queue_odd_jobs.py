"""Jobs with odd figures: guards against a stored job that stops each leader in turn."""

import math
from dataclasses import replace

import pytest

from nutmeglb._internal.queues import keys
from nutmeglb._internal.queues.ports import StoredItem
from nutmeglb._internal.queues.stored_jobs import decode_inbox
from nutmeglb_decisions.queues import lifecycle
from nutmeglb_decisions.queues.cell import Cell
from nutmeglb_formats.models.queue_records import AcceptedJob, encode_queue_record
from nutmeglb_formats.models.resources import Resources
from tests.lib.queues import job, step

JOB = "00000000000000aa"
OTHER = "00000000000000bb"


def stored(record):
    value = encode_queue_record(AcceptedJob(record))
    return StoredItem(keys.accepted(record.job_id), value, 3)


@pytest.mark.parametrize(
    "record",
    [
        job(JOB, step(needs=Resources(2**63, 0, 0))),
        job(JOB, step(needs=Resources(int(1e308), 0, 0))),
        job(JOB, step(needs=Resources(0, 2**70, 0))),
        job(JOB, step(needs=Resources(0, 0, -1))),
        job(JOB, step(), step(estimate_ms=math.inf)),
        job(JOB, step(estimate_ms=math.nan)),
        replace(job(JOB, step()), repeats=2, first_ms=math.nan),
        replace(job(JOB, step()), repeats=2, interval_ms=-math.inf),
    ],
)
def test_stored_job_with_an_odd_figure_is_skipped(record):
    """Guards against a job of an earlier release that ends the term of each leader."""
    inbox = decode_inbox([stored(record), stored(job(OTHER, step()))], 9)
    assert [found.job_id for found in inbox.jobs] == [OTHER]


@pytest.mark.parametrize(
    ("count", "unfinished"), [(1, 10_000), (900, 11), (10_000, 10)], ids=["small", "wide", "widest"]
)
def test_repeats_that_are_all_due_do_not_block_the_process(count, unfinished):
    """Guards against a check that creates 2**53 occurrences before any other work is done."""
    cell = Cell(1, 0.0, 0.0)
    record = replace(job(JOB, step(count)), repeats=2**53 - 1, interval_ms=0.0)
    lifecycle.add_job(cell, record, 0.0)
    (repeated,) = cell.active.values()
    for _ in range(12):
        lifecycle.create_due_occurrences(cell, 1.0)
    assert len(repeated.occurrences) == unfinished
    for number in range(2):
        repeated.completed.add(number)
    lifecycle.create_due_occurrences(cell, 1.0)
    assert len(repeated.occurrences) == unfinished + 2


def test_completed_repeats_do_not_delay_the_others(monkeypatch):
    """Guards against a restored job whose next occurrence waits for many checks."""
    monkeypatch.setattr(lifecycle, "MAX_OCCURRENCES_PER_CHECK", 10)
    cell = Cell(1, 0.0, 0.0)
    lifecycle.add_job(cell, replace(job(JOB, step()), repeats=25), 0.0)
    (repeated,) = cell.active.values()
    repeated.completed.update(range(24))
    lifecycle.create_due_occurrences(cell, 1.0)
    assert list(repeated.occurrences) == [24]
